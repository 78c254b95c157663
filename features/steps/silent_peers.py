"""Steps on links whose other node is silent."""

import trio
import trio.testing
from behave import given
from behave import then
from behave import when
from cactushook_node import wire
from cactushook_node.http_messages import ReplyRefused
from cactushook_node.http_messages import ReplyStart

from features import edge_fixtures
from features import link_fixtures

TICK_MS = 500
SILENT_BYTES = 100_000


class SlowHandler(link_fixtures.Handler):
    """Answers a request once the test releases it."""

    def __init__(self):
        super().__init__()
        self.released = trio.Event()

    async def on_call(self, link, call):
        await self.released.wait()
        await link.send(link_fixtures.reply(call.stream_id, b"own"))


@given("an entry with a request at a gate that may not be sent again")
def unrepeatable(context):
    context.environment = edge_fixtures.environment()
    context.repeatable = [False]


@given("an entry with a request at a gate that may be sent again")
def repeatable(context):
    context.environment = edge_fixtures.environment()
    context.repeatable = [True]


@given("another one that may not")
def another_unrepeatable(context):
    context.repeatable.append(False)


async def tick(environment, count):
    for _ in range(count):
        environment.timers.advance(environment.timers.now_ms + TICK_MS)
        await trio.testing.wait_all_tasks_blocked()


async def collect(exchange):
    """Returns the last event of an exchange and closes it, as an entry does."""
    event = await anext(exchange.events)
    exchange.close()
    return event


def run_silence(context, count, answers):
    async def body(nursery):
        near, far = trio.testing.memory_stream_pair()
        link = link_fixtures.start(
            nursery, context.environment, near, link_fixtures.Handler()
        )
        exchanges = [link.open_exchange(flag) for flag in context.repeatable]
        for exchange in exchanges:
            await link.send(link_fixtures.call(exchange.stream_id))
        await trio.testing.wait_all_tasks_blocked()
        await tick(context.environment, count)
        if answers:
            answer = link_fixtures.reply(exchanges[-1].stream_id, b"own")
            await far.send_all(wire.encode(answer))
        context.events = [await collect(exchange) for exchange in exchanges]
        context.retired = link.retired
        await trio.testing.wait_all_tasks_blocked()
        decoder = wire.FrameDecoder(SILENT_BYTES)
        context.received = list(decoder.feed(await far.receive_some(SILENT_BYTES)))

    link_fixtures.run(body)


@when("the gate is silent for {count:d} ticks and then answers")
def silent_then_answers(context, count):
    run_silence(context, count, answers=True)


@when("the gate is silent for {count:d} ticks")
def stays_silent(context, count):
    run_silence(context, count, answers=False)


@then("new requests use another connection")
def uses_another(context):
    assert context.retired


@then('the first request fails as "{kind}" while the second one is answered')
def first_fails(context, kind):
    first, second = context.events
    assert isinstance(first, ReplyRefused) and first.kind.value == kind, first
    assert isinstance(second, ReplyStart) and second.body == b"own", second


@then("the gate is told to cancel the first request")
def told_to_cancel(context):
    cancelled = [
        message.stream_id
        for message in context.received
        if isinstance(message, wire.CancelMessage)
    ]
    assert cancelled == [1], cancelled


@then('the silent gate\'s request fails as "{kind}"')
def request_fails(context, kind):
    (event,) = context.events
    assert isinstance(event, ReplyRefused) and event.kind.value == kind, event


@then('the connection ended as "{reason}"')
def ended_as(context, reason):
    counter = "cactushook_links_ended"
    assert edge_fixtures.counted(context.environment, counter, reason=reason) == 1


@given("a gate that runs a request for an entry")
def running_gate(context):
    context.environment = edge_fixtures.environment()


@when("the entry is silent for {count:d} ticks and the request then ends")
def silent_entry(context, count):
    async def body(nursery):
        near, far = trio.testing.memory_stream_pair()
        handler = SlowHandler()
        link_fixtures.start(nursery, context.environment, near, handler)
        await far.send_all(wire.encode(link_fixtures.call(1)))
        await trio.testing.wait_all_tasks_blocked()
        await tick(context.environment, count)
        handler.released.set()
        await trio.testing.wait_all_tasks_blocked()
        decoder = wire.FrameDecoder(SILENT_BYTES)
        context.received = list(decoder.feed(await far.receive_some(SILENT_BYTES)))

    link_fixtures.run(body)


@then("the entry gets the answer")
def entry_gets(context):
    bodies = [
        message.body
        for message in context.received
        if isinstance(message, wire.ReplyMessage)
    ]
    assert bodies == [b"own"], context.received
