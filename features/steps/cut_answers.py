"""Steps on answers that a worker breaks off; callers and worker use sockets."""

import dataclasses

import h11
import msgspec
import trio
from behave import given
from behave import then
from behave import when
from cactushook import Head
from cactushook import Limits
from cactushook import Route
from cactushook import RouteClass
from cactushook import Snapshot
from cactushook import TeamFile
from cactushook.snapshot import bind_route
from cactushook_node.edge import Edge
from cactushook_node.entry import Entry
from cactushook_node.environment import Environment
from cactushook_node.environment import Readiness
from cactushook_node.gate import Gate
from cactushook_node.link_pool import LinkPool
from cactushook_node.quotas import Quotas
from cactushook_node.settings import HeaderSettings

from features import edge_fixtures

SIGNATURE = "Signature"
HEADERS = HeaderSettings(signature=SIGNATURE, request_id="Request-Id")
SERVICE = "reports"
BODY = b"hello world!"
START = f"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n{SIGNATURE}: s\r\n".encode()
LENGTH = f"Content-Length: {len(BODY)}\r\n\r\n".encode()
ANSWERS = {
    "a length": START + LENGTH + BODY,
    "bare line feeds": (START + LENGTH).replace(b"\r\n", b"\n") + BODY,
    "chunks": START
    + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n world!\r\n"
    b"0\r\n\r\n",
    "an informational answer first": START.replace(b"200 OK", b"103 Early")
    + b"\r\n"
    + START
    + LENGTH
    + BODY,
    "no body": START.replace(b"200 OK", b"204 None") + b"\r\n",
    "neither length nor body": START + b"\r\n",
}
# Ends of the answers that have a body.
WHOLE_ENDINGS = (BODY, b"0\r\n\r\n")
# The bytes before a reset must have been read: a reset discards unread ones.
READ_TIME_S = 0.01


@dataclasses.dataclass(slots=True)
class CuttingWorker:
    """A worker that sends a byte more of its answer with each request, then closes."""

    answer: bytes
    ending: str
    requests: int = 0

    async def serve(self, stream):
        data = b""
        while b"\r\n\r\n" not in data:
            part = await stream.receive_some(edge_fixtures.PART_BYTES)
            if not part:
                return
            data += part
        (request_id,) = (
            line.partition(b": ")[2]
            for line in data.split(b"\r\n")
            if line.lower().startswith(b"request-id: ")
        )
        cut = self.answer[: self.requests]
        self.requests += 1
        # The id has the length of its placeholder, so that each byte is cut once.
        await stream.send_all(cut.replace(b"ID", request_id))
        if self.ending == "reset":
            await trio.sleep(READ_TIME_S)
            edge_fixtures.reset_on_close(stream)


class OneNode:
    """Edge, entry and gate of a node that has a configuration with one service."""

    def __init__(
        self,
        worker_address,
        nursery,
        links=None,
        service=SERVICE,
        more_routes=None,
        route=None,
    ):
        settings = edge_fixtures.environment().settings
        self.environment = Environment(
            msgspec.structs.replace(
                settings,
                service=service,
                headers=HEADERS,
                worker=msgspec.structs.replace(settings.worker, address=worker_address),
            )
        )
        env = self.environment
        gate = Gate(env, nursery)
        links = links(nursery) if links else LinkPool(env, None, nursery)
        entry = Entry(env, links, gate, Quotas(env, links, nursery))
        self.edge = Edge(env, entry)
        env.board.readiness.write(Readiness(True, "ready"))
        route = {"route_class": RouteClass.NON_IDEMPOTENT, **(route or {})}
        snapshot = self._make_snapshot({"/": SERVICE, **(more_routes or {})}, route)
        env.store.apply_snapshot(snapshot)
        env.board.snapshot.write(snapshot)

    def _make_snapshot(self, paths, route):
        limits = Limits(slots=1, connections=5, ramp_ms=1)
        services = {
            name: TeamFile(service=name, team="", failure_domains=(), limits=limits)
            for name in paths.values()
        }
        bound = tuple(
            bind_route(
                Route(
                    path=path,
                    methods=("GET", "HEAD"),
                    service=name,
                    **route,
                ),
                services,
                "",
            )
            for path, name in paths.items()
        )
        return Snapshot(Head(version=1, root=""), services, {}, bound)


def run_node(serve_worker, use, **options):
    """Calls a function with a node whose worker serves connections as given."""

    async def main():
        address = edge_fixtures.free_addresses(1)[0]
        async with trio.open_nursery() as nursery:
            await edge_fixtures.serve(nursery, address, serve_worker)
            node = OneNode(address, nursery, **options)
            nursery.start_soon(node.environment.run_timers)
            await nursery.start(node.edge.serve)
            await use(node, node.environment.settings.public_listen)
            nursery.cancel_scope.cancel()

    trio.run(main)


async def call(address, method, number):
    """Returns the status and the body of an answer; no status if it is not whole."""
    # Each path is another request, so that none is held to crash the worker.
    raw = f"{method} /{number} HTTP/1.1\r\nHost: x\r\nRequest-Id: {number:02}\r\n"
    async with await edge_fixtures.connect(address) as stream:
        await stream.send_all(f"{raw}Connection: close\r\n\r\n".encode())
        data, is_reset = await edge_fixtures.read_to_end(stream)
    http = h11.Connection(h11.CLIENT)
    http.send(h11.Request(method=method, target="/", headers=[("host", "x")]))
    http.send(h11.EndOfMessage())
    http.receive_data(data)
    if not is_reset:
        http.receive_data(b"")
    status, body = None, b""
    try:
        while not isinstance(event := http.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA or isinstance(event, h11.ConnectionClosed):
                return None, body
            if isinstance(event, h11.Response):
                status = event.status_code
            if isinstance(event, h11.Data):
                body += event.data
    except h11.RemoteProtocolError:
        return None, body
    return status, body


@given("a node whose worker answers with {framing}")
def node_with_worker(context, framing):
    context.answer = ANSWERS[framing]


@when(
    'its worker cuts the answer to a "{method}" request after each byte by a {ending}'
)
def cuts_each(context, method, ending):
    # A head is the whole answer to HEAD.
    size = len(context.answer) - (len(BODY) if method == "HEAD" else 0)
    has_body = method != "HEAD" and context.answer.endswith(WHOLE_ENDINGS)
    context.body = BODY if has_body else b""
    worker = context.worker = CuttingWorker(context.answer, ending)
    context.outcomes = []

    async def use(node, public):
        for number in range(size + 1):
            context.outcomes.append(await call(public, method, number))

    run_node(worker.serve, use)


def successes(context):
    return [
        (size, outcome)
        for size, outcome in enumerate(context.outcomes)
        if outcome[0] is not None and outcome[0] < 300
    ]


@then("only the whole answer reaches the caller as a success")
def only_whole(context):
    found = successes(context)
    assert [size for size, _ in found] == [len(context.outcomes) - 1], found
    assert found[0][1][1] == context.body, found


@then("the caller gets a success for {count:d} of them")
def success_count(context, count):
    found = successes(context)
    assert len(found) == count, found


@then("each request reached the worker")
def all_reached(context):
    assert context.worker.requests == len(context.outcomes), context.worker.requests
