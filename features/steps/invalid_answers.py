"""Steps on answers that are no valid HTTP, from a worker or another node's gate."""

import h11
import trio.testing
from behave import given
from behave import then
from behave import when
from cactushook import HostRecord
from cactushook_node import wire

from features import edge_fixtures
from features import link_fixtures
from features.steps import cut_answers

START = cut_answers.START
CHUNKS = b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
NAMES = {
    "a blank in a field's name": b"Bad Name",
    "a control byte in a field's name": b"Bad\x01Name",
}
BAD = b"Bad Name: x\r\n"
ANSWERS = {
    **{fault: START + name + b": x\r\n" for fault, name in NAMES.items()},
    "such a name in an informational response": START.replace(b"200 OK", b"103 Early")
    + BAD
    + b"\r\n"
    + START,
    "such a name in the trailers of its chunks": START + CHUNKS + BAD + b"\r\n",
}
REMOTE = HostRecord(
    name="remote",
    address="127.0.0.1:1",
    domain="cesis",
    region="vidzeme",
    service=cut_answers.SERVICE,
)


class RemoteGate(link_fixtures.Handler):
    """Answers each request on a link in memory with the same status and headers."""

    def __init__(self, status, headers):
        super().__init__()
        self._status, self._headers = status, headers

    def pool(self, nursery):
        self._nursery = nursery
        return self

    async def get(self, address):
        near, far = trio.testing.memory_stream_pair()
        link_fixtures.start(self._nursery, edge_fixtures.environment(), far, self)
        own = link_fixtures.Handler()
        return link_fixtures.start(
            self._nursery, edge_fixtures.environment(), near, own
        )

    async def on_call(self, link, call):
        reply = link_fixtures.reply(call.stream_id, b"body")
        reply.status, reply.headers = self._status, self._headers
        await link.send(reply)


@given("a node whose worker sends {fault}")
def faulty_worker(context, fault):
    status = fault.removeprefix("status ").encode()
    answer = ANSWERS.get(fault, START.replace(b"200", status))
    answer += cut_answers.LENGTH + cut_answers.BODY
    # It sends the whole answer to the first request.
    worker = cut_answers.CuttingWorker(answer, "close", requests=len(answer))
    context.serve, context.options = worker.serve, {}


@given("a node that calls another node's gate, which sends {fault}")
def faulty_gate(context, fault):
    name = NAMES.get(fault)
    status = 200 if name else int(fault.removeprefix("status "))
    gate = RemoteGate(status, [wire.Header(name, b"x")] if name else [])
    context.serve = cut_answers.CuttingWorker(b"", "close").serve
    context.options = {"links": gate.pool, "service": "other"}


@when("its caller sends a request that may run once only")
def send(context):
    async def use(node, address):
        node.environment.membership.merge(REMOTE)
        raw = b"GET /1 HTTP/1.1\r\nHost: x\r\nRequest-Id: 01\r\n"
        raw += b"Connection: close\r\n\r\n"
        context.outcome = await edge_fixtures.call(address, raw)

    cut_answers.run_node(context.serve, use, **context.options)


@then("the caller gets no valid answer, but {status:d}")
def no_valid_answer(context, status):
    data, is_reset = context.outcome
    http = h11.Connection(h11.CLIENT)
    http.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
    http.receive_data(data)
    found = http.next_event()
    # The trailers arrive after the start of the answer, which is then cut by a reset.
    assert is_reset or found.status_code == status, context.outcome
    if not is_reset:
        names = dict(found.headers)
        assert names[b"cactushook-error"] in (b"worker_lost", b"answer_invalid"), names
        assert names[b"cactushook-ran"] == b"maybe", names
