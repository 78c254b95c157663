"""Steps that connect two links in memory, or a link with a scripted peer."""

import random
import struct
import time
import tracemalloc

import hypothesis
import trio
import trio.testing
import xxhash
from behave import given
from behave import then
from behave import when
from cactushook import ErrorKind
from cactushook import WireError
from cactushook_node import wire
from cactushook_node.http_messages import ReplyChunk
from cactushook_node.http_messages import ReplyRefused
from hypothesis import strategies as st

from features import edge_fixtures
from features import link_fixtures

REQUESTS = 60
BODY = bytes(100_000)
PAYLOADS = 10_000
MAX_DECODE_S = 2.0
MAX_DECODE_BYTES = 32_000_000
TICK_MS = 500
IDLE_MS = 31_000


def to_frame(payload):
    checksum = xxhash.xxh32_intdigest(payload)
    return struct.pack("!II", len(payload), checksum) + payload


def encode_payload(message):
    return wire.encode(message)[wire.FRAME_HEADER_BYTES :]


def _wrong_checksum():
    frame = bytearray(wire.encode(link_fixtures.call(1)))
    frame[-3] ^= 1
    return bytes(frame)


def _two_messages():
    both = encode_payload(link_fixtures.call(1))[:-1] + encode_payload(
        wire.CancelMessage(1)
    )
    return to_frame(both)


def _missing_field():
    message = link_fixtures.call(1)
    message.target = None
    return wire.encode(message)


def _unknown_host_state():
    entry = wire.HostEntry("a", "127.0.0.1:1", "d", "r", "s", "strange", 1)
    return wire.encode(wire.HostsMessage([entry], False))


def _nested_lists(levels):
    field_header, stop = b"\x0f\x00\x01", b"\x00"
    return to_frame(field_header + levels * b"\x0f\x00\x00\x00\x01" + stop)


HANG = wire.encode(link_fixtures.call(1, "HANG"))
FAULTS = {
    "a frame whose checksum is wrong": _wrong_checksum(),
    "a frame that is longer than the limit": struct.pack("!II", 200_001, 0),
    "an unknown message": to_frame(b"\x0c\x03\xe7\x00\x00"),
    "two messages in one frame": _two_messages(),
    "a message without a required field": _missing_field(),
    "a truncated message": to_frame(
        encode_payload(link_fixtures.call(1, body=b"x" * 99))[:-50]
    ),
    "two requests with the same stream id": HANG + HANG,
    "credit beyond the limit": HANG + wire.encode(wire.CreditMessage(1, 8)),
    "an unknown host state": _unknown_host_state(),
    "a list nested 5000 levels deep": _nested_lists(5_000),
}


@given("two nodes with a connection between them")
def two_nodes(context):
    context.environment = edge_fixtures.environment()
    context.peer_environment = edge_fixtures.environment()


@when("the peer sends {fault}")
def peer_sends(context, fault):
    async def body(nursery):
        near, far = trio.testing.memory_stream_pair()
        link = link_fixtures.start(
            nursery, context.environment, near, link_fixtures.Handler()
        )
        await far.send_all(FAULTS[fault])
        await edge_fixtures.wait_until(lambda: link.closed)
        context.next_answer = await _request_on_new_link(nursery, context.environment)

    link_fixtures.run(body)


async def _request_on_new_link(nursery, environment):
    near, far = trio.testing.memory_stream_pair()
    link_fixtures.start(nursery, environment, near, link_fixtures.Handler())
    requester = link_fixtures.start(
        nursery, edge_fixtures.environment(), far, link_fixtures.Handler()
    )
    return await _request(requester, body=b"again")


async def _request(link, method="GET", body=b""):
    exchange = link.open_exchange()
    await link.send(link_fixtures.call(exchange.stream_id, method, body))
    event = await anext(exchange.events)
    exchange.close()
    return event


@then('the connection closes, and the fault is counted as "{kind}"')
@then('the fault is counted as "{kind}"')
def fault_counted(context, kind):
    assert (
        edge_fixtures.counted(
            context.environment, "cactushook_frames_refused", kind=kind
        )
        == 1
    )


@then("a new connection to the same node works")
def new_connection_works(context):
    assert context.next_answer.body == b"again", context.next_answer


@given("a node that has sent a request to a gate")
def sent_request(context):
    context.environment = edge_fixtures.environment()


def _with_gate(context, body):
    async def run(nursery):
        near, far = trio.testing.memory_stream_pair()
        link = link_fixtures.start(
            nursery, context.environment, near, link_fixtures.Handler()
        )
        exchange = link.open_exchange()
        await link.send(link_fixtures.call(exchange.stream_id))
        await body(link, exchange, far)

    link_fixtures.run(run)


async def _collect(context, exchange):
    context.events = []
    async for event in exchange.events:
        context.events.append(event)
        if isinstance(event, ReplyRefused) or event.last:
            return


@when("the gate answers with {fault}")
def gate_answers(context, fault):
    chunk = wire.ChunkMessage(1, b"x", False)
    messages = {
        "more chunks than it has credit for": [
            link_fixtures.reply(1, last=False),
            *[chunk] * 30,
        ],
        "a chunk before the start": [chunk],
        "two starts": [
            link_fixtures.reply(1, last=False),
            link_fixtures.reply(1, last=False),
        ],
    }[fault]

    async def body(link, exchange, far):
        await far.send_all(b"".join(map(wire.encode, messages)))
        await edge_fixtures.wait_until(lambda: link.closed)
        await _collect(context, exchange)

    _with_gate(context, body)


@then('the request fails as "{kind}" without a complete answer')
def request_fails(context, kind):
    *preceding, last = context.events or [None]
    if last is not None and isinstance(last, ReplyRefused):
        assert last.kind is ErrorKind(kind), last
    else:
        # The channel had no room for the refusal; its end reports the loss as well.
        preceding = context.events
    assert not any(event.last for event in preceding), context.events


@when("the request is abandoned, and the gate answers it late and another one in time")
def abandon_first(context):
    async def body(link, exchange, far):
        exchange.close()
        other = link.open_exchange()
        late_answer, answer = (
            link_fixtures.reply(exchange.stream_id, b"late"),
            link_fixtures.reply(2, b"own"),
        )
        await far.send_all(wire.encode(late_answer) + wire.encode(answer))
        await _collect(context, other)

    _with_gate(context, body)


@then("the late answer is counted and the other one arrives")
def late_counted(context):
    assert edge_fixtures.counted(context.environment, "cactushook_late_answers") == 1
    assert [event.body for event in context.events] == [b"own"]


def _advance(environment, delay_ms):
    environment.timers.advance(environment.timers.now_ms + delay_ms)


def _tick(context, times):
    for _ in range(times):
        _advance(context.environment, TICK_MS)


@when("the gate sends nothing for several ticks")
def silent_gate(context):
    async def body(link, exchange, far):
        await trio.testing.wait_all_tasks_blocked()
        _tick(context, 5)
        await _collect(context, exchange)

    _with_gate(context, body)


@then('the connection was closed with reason "{reason}"')
def closed_with_reason(context, reason):
    counter = "cactushook_links_ended"
    assert edge_fixtures.counted(context.environment, counter, reason=reason) == 1


@when("the gate answers pings for many ticks, and then the request")
def answers_pings(context):
    async def body(link, exchange, far):
        decoder = wire.FrameDecoder(200_000)
        pings = 0
        await trio.testing.wait_all_tasks_blocked()
        for _ in range(20):
            _tick(context, 1)
            await trio.testing.wait_all_tasks_blocked()
            for message in decoder.feed(await far.receive_some(100_000)):
                if isinstance(message, wire.PingMessage):
                    pings += 1
                    await far.send_all(wire.encode(wire.PingMessage(True)))
            await trio.testing.wait_all_tasks_blocked()
        assert pings >= 19, pings
        await far.send_all(wire.encode(link_fixtures.reply(1, b"own")))
        await _collect(context, exchange)

    _with_gate(context, body)


@then("the answer arrives")
def answer_arrives(context):
    assert [event.body for event in context.events] == [b"own"]


def _with_two(context, body):
    async def run(nursery):
        near, far = trio.testing.memory_stream_pair()
        context.handlers = [link_fixtures.Handler(), link_fixtures.Handler()]
        first = link_fixtures.start(
            nursery, context.environment, near, context.handlers[0]
        )
        second = link_fixtures.start(
            nursery, context.peer_environment, far, context.handlers[1]
        )
        await body(first, second)

    link_fixtures.run(run)


@when("a request at the other node fails unexpectedly")
def fails_at_other(context):
    async def body(first, second):
        context.events = [
            await _request(first, "FAIL"),
            await _request(first, body=b"next"),
        ]

    _with_two(context, body)


@then('it is refused as "{kind}" and the next request is answered')
def refused_then_answered(context, kind):
    failed, answered = context.events
    assert failed.kind is ErrorKind(kind), failed
    assert answered.body == b"next", answered
    counter = "cactushook_handler_failures"
    assert edge_fixtures.counted(context.peer_environment, counter, place="link") == 1


@when("both send many large requests at the same time")
def both_send(context):
    context.answered = 0

    async def send_large(link):
        event = await _request(link, body=BODY)
        context.answered += event.body == BODY

    async def body(first, second):
        async with trio.open_nursery() as nursery:
            for _ in range(REQUESTS):
                nursery.start_soon(send_large, first)
                nursery.start_soon(send_large, second)

    _with_two(context, body)


@then("all of them are answered")
def all_answered(context):
    assert context.answered == 2 * REQUESTS, context.answered


@when("an answer of 64 MB is read slowly")
def read_slowly(context):
    context.max_in_flight = 0

    async def body(first, second):
        exchange = first.open_exchange()
        await first.send(link_fixtures.call(exchange.stream_id, "LARGE"))
        read = 0
        async for event in exchange.events:
            await trio.testing.wait_all_tasks_blocked()
            in_flight = context.handlers[1].sent_chunks - read
            context.max_in_flight = max(context.max_in_flight, in_flight)
            read += isinstance(event, ReplyChunk)
            if event.last:
                break
            exchange.on_event_consumed()
        context.read_chunks = read
        exchange.close()

    _with_two(context, body)


@then("the chunks in flight never exceed the credit")
def bounded(context):
    assert context.read_chunks == link_fixtures.ANSWER_CHUNKS, context.read_chunks
    # A chunk counts as sent only once it has acquired its credit.
    assert context.max_in_flight <= wire.INITIAL_CREDIT_CHUNKS, context.max_in_flight


def _damaged(rng):
    message = rng.choice(
        [
            link_fixtures.call(1, body=b"x" * 50),
            link_fixtures.reply(1, b"y" * 50),
            wire.HostsMessage(
                [wire.HostEntry("a", "b", "c", "d", "e", "live", 1)] * 3, False
            ),
        ]
    )
    payload = bytearray(encode_payload(message))
    for _ in range(rng.randint(1, 4)):
        payload[rng.randrange(len(payload))] = rng.randrange(256)
    return bytes(payload[: rng.randint(0, len(payload))] or payload)


def _decode(payload):
    started_s = time.process_time()
    tracemalloc.reset_peak()
    try:
        messages = list(wire.FrameDecoder(200_000).feed(to_frame(payload)))
        assert len(messages) == 1, messages
    except WireError:
        pass
    assert time.process_time() - started_s < MAX_DECODE_S, payload
    assert tracemalloc.get_traced_memory()[1] < MAX_DECODE_BYTES, payload


@when("ten thousand payloads, random and damaged, are decoded")
def decode_many(context):
    rng = random.Random(1)
    tracemalloc.start()
    context.resources.callback(tracemalloc.stop)
    for _ in range(PAYLOADS - 1_000):
        _decode(_damaged(rng))
    settings = hypothesis.settings(
        max_examples=1_000, derandomize=True, database=None, deadline=None
    )
    settings(hypothesis.given(st.binary(max_size=300))(_decode))()
    context.decoded = True


@then("each decodes to one message or raises a wire error")
def decoded(context):
    assert context.decoded


@when("it is idle for 31 s while the other node sends a last request")
def idle_with_last_request(context):
    async def body(first, second):
        await trio.testing.wait_all_tasks_blocked()
        _advance(context.environment, IDLE_MS)
        assert first.retired and not second.retired
        context.events = [await _request(second, body=b"last")]
        for _ in range(2):
            await trio.testing.wait_all_tasks_blocked()
            _advance(context.environment, TICK_MS)
            _advance(context.peer_environment, TICK_MS)
        await trio.testing.wait_all_tasks_blocked()
        context.closed = [first.closed, second.closed]

    _with_two(context, body)


@then("that request is answered and both ends are closed")
def answered_and_closed(context):
    assert [event.body for event in context.events] == [b"last"], context.events
    assert context.closed == [True, True], context.closed
