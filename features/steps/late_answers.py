"""Steps on answers that another node's gate starts and ends late, or never."""

import re

import trio
import trio.testing
from behave import given
from behave import then
from behave import when
from cactushook import HostRecord
from cactushook import RouteClass
from cactushook_node import wire
from cut_answers import run_node

from features import edge_fixtures
from features import link_fixtures

OWN_SERVICE = "other"
GATE_ADDRESS = "127.0.0.1:1"
START = b"start"
REST = b"rest"
RAW = b"GET /a HTTP/1.1\r\nHost: x\r\nRequest-Id: 01\r\nConnection: close\r\n\r\n"


class StartingGate(link_fixtures.Handler):
    """Starts each answer, and sends its rest as a script says.

    Args:
        rest: words of the scenario that say what follows the start.
    """

    def __init__(self, rest):
        super().__init__()
        self._rest = rest
        self.has_ended = False

    async def on_call(self, link, call):
        """Starts an answer, until the entry ends the request."""
        try:
            await self._answer(link, call.stream_id)
        finally:
            self.has_ended = True

    async def _answer(self, link, stream_id):
        if self._rest == "starts no answer":
            await trio.sleep_forever()
        await link.send(link_fixtures.reply(stream_id, START, last=False))
        delays_ms = [int(number) for number in re.findall(r"\d+", self._rest)]
        if "without end" in self._rest:
            while True:
                await trio.sleep(delays_ms[0] / 1_000)
                await link.acquire_credit(stream_id)
                await link.send(wire.ChunkMessage(stream_id, REST, False))
        if not delays_ms:
            await trio.sleep_forever()
        await trio.sleep(delays_ms[0] / 1_000)
        await link.send(wire.ChunkMessage(stream_id, REST, True))


class OneLink:
    """Reaches one gate, at any address."""

    def __init__(self, nursery, gate):
        near, far = trio.testing.memory_stream_pair()
        environment = edge_fixtures.environment()
        link_fixtures.start(nursery, environment, far, gate)
        self._link = link_fixtures.start(
            nursery, environment, near, link_fixtures.Handler()
        )

    async def get(self, address):
        """Returns the link."""
        return self._link


@given('a route of class "{name}" with a timeout of {timeout_ms:d} ms to another node')
def route_to_another(context, name, timeout_ms):
    context.route = {"route_class": RouteClass(name), "timeout_ms": timeout_ms}


@when("its gate starts an answer and {rest}")
def gate_starts(context, rest):
    gate = context.gate = StartingGate(rest)

    async def use(node, public):
        record = HostRecord(
            name="gate",
            address=GATE_ADDRESS,
            domain="cesis",
            region="vidzeme",
            service="reports",
        )
        node.environment.membership.replace_all([record])
        started_s = trio.current_time()
        context.answer, context.is_reset = await edge_fixtures.call(public, RAW)
        context.took_ms = (trio.current_time() - started_s) * 1_000
        await trio.testing.wait_all_tasks_blocked()
        context.has_ended = gate.has_ended

    run_node(
        lambda stream: None,
        use,
        links=lambda nursery: OneLink(nursery, gate),
        service=OWN_SERVICE,
        route=context.route,
    )


@when("its gate starts no answer")
def gate_starts_none(context):
    gate_starts(context, "starts no answer")


def assert_took(context, least_ms, most_ms):
    assert least_ms <= context.took_ms <= most_ms, context.took_ms


@then(
    "the caller has the end of a broken answer {least_ms:d} to {most_ms:d} ms after "
    "its request"
)
def answer_broken(context, least_ms, most_ms):
    assert_took(context, least_ms, most_ms)
    assert context.is_reset, context.answer


@then("the gate is told that the request has ended")
def gate_told(context):
    assert context.has_ended


@then("the caller gets the whole answer")
def whole_answer(context):
    assert not context.is_reset, context.answer
    body = context.answer.partition(b"\r\n\r\n")[2]
    assert START in body and REST in body and body.endswith(b"0\r\n\r\n"), body


@then(
    "the caller is refused with {status:d} {least_ms:d} to {most_ms:d} ms after its "
    "request"
)
def refused_in_time(context, status, least_ms, most_ms):
    assert_took(context, least_ms, most_ms)
    assert context.answer.startswith(f"HTTP/1.1 {status} ".encode()), context.answer
