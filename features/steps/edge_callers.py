"""Steps that send raw requests to an edge."""

import logging
import logging.handlers

import h11
import msgspec
import trio
from behave import given
from behave import then
from behave import when
from cactushook import ErrorKind
from cactushook import Load
from cactushook_node.http_messages import ReplyRefused
from cactushook_node.http_messages import ReplyStart

from features import edge_fixtures

HOST = b"Host: x\r\n"
GET = b"GET /a HTTP/1.1\r\n" + HOST
POST = b"POST /a HTTP/1.1\r\n" + HOST
SMUGGLED = b"GET /hidden HTTP/1.1\r\n" + HOST + b"\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
REQUESTS = {
    "too many header bytes in one packet": GET + b"A: " + b"x" * 3_000 + b"\r\n\r\n",
    "header bytes without an end": GET + b"A: " + b"x" * 100_000,
    "too many headers": GET + b"A: x\r\n" * 11 + b"\r\n",
    "a target that is too long": b"GET /" + b"a" * 1_200 + GET[6:] + b"\r\n",
    "a body that is too large": POST + b"Content-Length: 3000\r\n\r\n" + b"x" * 3_000,
    "a chunked body that is too large": POST
    + CHUNKED
    + b"\r\nbb8\r\n"
    + b"x" * 3_000
    + b"\r\n0\r\n\r\n",
    "content-length and transfer-encoding": POST
    + b"Content-Length: 4\r\n"
    + CHUNKED
    + b"\r\n0\r\n\r\n"
    + SMUGGLED,
    "two different content-lengths": POST
    + b"Content-Length: 0\r\nContent-Length: 60\r\n\r\n"
    + SMUGGLED,
    "a content-length that is not a number": POST + b"Content-Length: -1\r\n\r\n",
    "a transfer-encoding other than chunked": POST
    + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"
    + SMUGGLED,
    "a space before the colon of a header": GET + b"A : x\r\n\r\n",
    "no host header": b"GET /a HTTP/1.1\r\n\r\n",
    "a CONNECT request": b"CONNECT a:1 HTTP/1.1\r\n" + HOST + b"\r\n",
    "bytes that are not HTTP": b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n",
    "headers that never end": GET,
    "a body that never ends": POST + b"Content-Length: 9\r\n\r\nx",
}
LENGTH = ((b"content-length", b"100"),)
CONNECTION_LOST = ReplyRefused(ErrorKind.PEER_LOST, "the connection was lost")
TRUNCATED_ANSWERS = {
    "a content-length": (
        ReplyStart(200, LENGTH, b"part", False, Load()),
        CONNECTION_LOST,
    ),
    "chunks": (ReplyStart(200, (), b"part", False, Load()), CONNECTION_LOST),
    "a connection close": (
        ReplyStart(200, (), b"part", False, Load()),
        CONNECTION_LOST,
    ),
    "a length that is too long for its body": (
        ReplyStart(200, LENGTH, b"part", True, Load()),
    ),
}


@given("an edge with small limits")
def small_limits(context):
    context.environment = edge_fixtures.environment()
    context.entry = edge_fixtures.ScriptedEntry()


@given("an edge whose entry sends an endless answer")
def endless(context):
    start = ReplyStart(200, (), b"part", False, Load())
    context.environment = edge_fixtures.environment()
    context.entry = edge_fixtures.ScriptedEntry(events=(start,), endless=True)


@given("an edge whose entry never answers")
def hanging(context):
    context.environment = edge_fixtures.environment()
    context.entry = edge_fixtures.ScriptedEntry(hangs=True)


@given("an edge whose entry truncates an answer framed by {framing}")
def truncating(context, framing):
    context.framing = framing
    context.environment = edge_fixtures.environment()
    context.entry = edge_fixtures.ScriptedEntry(events=TRUNCATED_ANSWERS[framing])


@given("an edge whose entry fails unexpectedly")
def failing(context):
    context.environment = edge_fixtures.environment()
    context.entry = edge_fixtures.ScriptedEntry(failure=ValueError("seeded"))


@given("an edge that closes idle connections after {idle_ms:d} ms")
def closes_idle(context, idle_ms):
    env = context.environment = edge_fixtures.environment()
    limits = msgspec.structs.replace(
        env.settings.limits, idle_timeout_ms=idle_ms, slow_caller_timeout_ms=5_000
    )
    env.settings = msgspec.structs.replace(env.settings, limits=limits)
    context.entry = edge_fixtures.ScriptedEntry(events=(edge_fixtures.whole(b"body"),))


@when(
    "a caller begins its second request after {idle_ms:d} ms and ends it {ms:d} ms on"
)
def begins_late(context, idle_ms, ms):
    first = GET + b"\r\n"
    last = GET + b"Connection: close\r\n\r\n"

    async def body():
        async with await edge_fixtures.connect(_public(context)) as stream:
            await stream.send_all(first)
            answer = await stream.receive_some(edge_fixtures.PART_BYTES)
            await trio.sleep(idle_ms / 1_000)
            await stream.send_all(last[:10])
            await trio.sleep(ms / 1_000)
            await stream.send_all(last[10:])
            rest, _ = await edge_fixtures.read_to_end(stream)
            context.answers = [answer, rest]

    _run(context, body)


@then("both requests are answered")
def both_answered(context):
    for answer in context.answers:
        assert answer.startswith(b"HTTP/1.1 200"), answer


def _public(context):
    return context.environment.settings.public_listen


def _run(context, body):
    async def main():
        async with edge_fixtures.edge(context.environment, context.entry):
            await body()

    trio.run(main)


def _parse_response(data, method="GET"):
    http = h11.Connection(h11.CLIENT)
    http.send(h11.Request(method=method, target="/", headers=[("host", "x")]))
    http.send(h11.EndOfMessage())
    http.receive_data(data)
    http.receive_data(b"")
    head, body = http.next_event(), b""
    while isinstance(event := http.next_event(), h11.Data):
        body += event.data
    assert isinstance(event, h11.EndOfMessage), event
    return head, body


@when("a caller sends three requests in one packet")
def pipelined(context):
    names = (b"/one", b"/two", b"/three")
    raw = b"".join(b"GET " + n + b" HTTP/1.1\r\n" + HOST + b"\r\n" for n in names)

    async def body():
        async with await edge_fixtures.connect(_public(context)) as stream:
            await stream.send_all(raw)
            await stream.send_eof()
            context.answer, _ = await edge_fixtures.read_to_end(stream)

    _run(context, body)


@then("the answers come in the same order, each to its own request")
def in_order(context):
    bodies = [
        part.partition(b"\r\n\r\n")[2] for part in _split_responses(context.answer)
    ]
    assert bodies == [b"/one", b"/two", b"/three"], bodies


def _split_responses(data):
    return [b"HTTP" + part for part in data.split(b"HTTP")[1:]]


@when("more callers connect than the limit allows")
def too_many(context):
    async def body():
        address = _public(context)
        request = GET + b"\r\n"
        async with (
            await edge_fixtures.connect(address),
            await edge_fixtures.connect(address) as second,
        ):
            await second.send_all(request)
            await second.receive_some(1)
            context.refused, _ = await edge_fixtures.call(address, request)
        await edge_fixtures.wait_until(lambda: True)
        for _ in range(200):
            context.later, _ = await edge_fixtures.call(
                address, GET + b"Connection: close\r\n\r\n"
            )
            if context.later.startswith(b"HTTP/1.1 200"):
                return
            await trio.sleep(0.02)

    _run(context, body)


@then('the last one is refused with kind "{kind}"')
def last_refused(context, kind):
    head, body = _parse_response(context.refused)
    assert head.status_code == 503, head
    assert msgspec.json.decode(body)["error"] == kind, body
    env = context.environment
    assert (
        edge_fixtures.counted(env, "cactushook_refusals", kind=kind, place="edge") >= 1
    )


@then("after a caller has disconnected, another one is served")
def served_later(context):
    assert context.later.startswith(b"HTTP/1.1 200"), context.later


@when("a caller sends a request and reads nothing")
def reads_nothing(context):
    async def body():
        async with await edge_fixtures.connect(_public(context)) as stream:
            await stream.send_all(GET + b"\r\n")
            await edge_fixtures.wait_until(lambda: context.entry.ended == 1)

    _run(context, body)


@when("a caller sends a request and closes its connection")
def disconnects(context):
    async def body():
        async with await edge_fixtures.connect(_public(context)) as stream:
            await stream.send_all(GET + b"\r\n")
            await edge_fixtures.wait_until(lambda: len(context.entry.requests) == 1)
        await edge_fixtures.wait_until(lambda: context.entry.ended == 1)

    _run(context, body)


@then('the request ends and is counted as "{kind}"')
def ended_and_counted(context, kind):
    env = context.environment
    assert (
        edge_fixtures.counted(env, "cactushook_refusals", kind=kind, place="edge") == 1
    )


@when("a caller reads that answer")
def reads(context):
    version = b"1.0" if context.framing == "a connection close" else b"1.1"
    raw = b"GET /a HTTP/" + version + b"\r\n" + HOST + b"\r\n"

    async def body():
        context.answer, context.was_reset = await edge_fixtures.call(
            _public(context), raw
        )

    _run(context, body)


@then("the caller can detect that it is incomplete")
def incomplete(context):
    assert edge_fixtures.counted_all(context.environment, "cactushook_answers_cut") == 1
    if context.was_reset:
        return
    try:
        _parse_response(context.answer)
    except h11.RemoteProtocolError:
        return
    raise AssertionError(f"the truncated answer looks complete: {context.answer!r}")


@given("a recorded log")
def recorded_log(context):
    logger = logging.getLogger("cactushook.node")
    handler = logging.handlers.BufferingHandler(capacity=1_000)
    logger.addHandler(handler)
    context.resources.callback(logger.removeHandler, handler)
    context.log_records = handler.buffer


@then('the log says that an answer was cut because of "{kind}"')
def cut_logged(context, kind):
    cuts = [r for r in context.log_records if r.getMessage() == "answer_cut"]
    assert len(cuts) == 1 and cuts[0].reason.startswith(kind), cuts


@when("a caller sends two requests")
def two_requests(context):
    raw = GET + b"Connection: close\r\n\r\n"

    async def body():
        context.answers = [
            await edge_fixtures.call(_public(context), raw) for _ in range(2)
        ]

    _run(context, body)


@then('both are answered with kind "{kind}" and the failures are counted')
def both_failed(context, kind):
    for data, _ in context.answers:
        head, body = _parse_response(data)
        assert head.status_code == 500
        assert msgspec.json.decode(body)["error"] == kind
    env = context.environment
    assert edge_fixtures.counted(env, "cactushook_handler_failures", place="edge") == 2


@when("a caller sends {request}")
def sends(context, request):
    async def body():
        context.answer, _ = await edge_fixtures.call(
            _public(context), REQUESTS[request]
        )

    _run(context, body)


@then('it is refused with status {status:d} and kind "{kind}", counted, and not run')
def refused(context, status, kind):
    head, body = _parse_response(context.answer)
    headers = dict(head.headers)
    assert head.status_code == status, (head, body)
    assert headers[b"cactushook-error"].decode() == kind, headers
    assert headers[b"cactushook-ran"] == b"no", headers
    assert b"cactushook-retry" in headers, headers
    assert msgspec.json.decode(body)["error"] == kind, body
    env = context.environment
    assert (
        edge_fixtures.counted(env, "cactushook_refusals", kind=kind, place="edge") == 1
    )
    assert context.entry.requests == []


@when("the node ends while a caller reads an answer that ends with its connection")
def node_ends_meanwhile(context):
    async def main():
        async with edge_fixtures.edge(context.environment, context.entry):
            stream = await edge_fixtures.connect(_public(context))
            await stream.send_all(b"GET /a HTTP/1.0\r\n\r\n")
            head = await stream.receive_some(edge_fixtures.PART_BYTES)
        async with stream:
            context.outcome = await edge_fixtures.read_to_end(stream)
        assert head.startswith(b"HTTP/1.1 200") and b"chunked" not in head, head

    trio.run(main)


@then("that connection is reset")
def connection_reset(context):
    _, reset = context.outcome
    assert reset, "the answer looks complete"
