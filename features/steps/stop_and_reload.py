"""Steps on planned stops, reloaded settings and a log that is not read."""

import json
import os
import pathlib
import socket
import tempfile

import msgspec
import trio
from behave import given
from behave import then
from behave import when
from cactushook import ErrorKind
from cactushook.fleet import CallerLimits
from cactushook_node.edge import Edge
from cactushook_node.entry import Entry
from cactushook_node.entry_request import EntryRequest
from cactushook_node.environment import Environment
from cactushook_node.environment import Readiness
from cactushook_node.gate import Gate
from cactushook_node.http_messages import ReplyRefused
from cactushook_node.http_server import HttpConnection
from cactushook_node.link_pool import LinkPool
from cactushook_node.logs import LineWriter
from cactushook_node.quotas import Quotas
from cactushook_node.settings import EdgeLimits
from cactushook_node.settings import read_settings

from features import daemon
from features import edge_fixtures

REQUEST = b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n"


class SlowEntry(edge_fixtures.ScriptedEntry):
    """Answers ``/slow`` once the test releases it."""

    async def serve(self, request, emit):
        self.requests.append(request)
        if request.target == b"/slow":
            await self.released.wait()
        await emit(edge_fixtures.whole(b"body"))


@given("an edge that serves while its node stops")
def stopping_edge(context):
    env = edge_fixtures.environment()
    limits = msgspec.structs.replace(env.settings.limits, connections=10)
    env.settings = msgspec.structs.replace(env.settings, limits=limits)
    context.environment = env
    context.entry = SlowEntry()


def run_edge(context, body):
    env = context.environment

    async def main():
        context.entry.released = trio.Event()
        async with trio.open_nursery() as nursery:
            edge = Edge(env, context.entry)
            await nursery.start(edge.serve)
            await body(edge, env.settings.public_listen)
            nursery.cancel_scope.cancel()

    trio.run(main)


@when("one connection is idle, one has sent half a request and one request runs")
def three_connections(context):
    context.stopped = None


@when("the edge stops accepting")
def stops(context):
    async def body(edge, address):
        idle, half, busy = [await edge_fixtures.connect(address) for _ in range(3)]
        await idle.send_all(REQUEST)
        assert b"200" in await idle.receive_some(edge_fixtures.PART_BYTES)
        await half.send_all(REQUEST[:10])
        await busy.send_all(REQUEST.replace(b"/a", b"/slow"))
        await edge_fixtures.wait_until(lambda: len(context.entry.requests) == 2)
        await trio.sleep(0.05)
        context.environment.board.leaving.write(True)
        await edge.stop_accepting()
        context.idle = await edge_fixtures.read_to_end(idle)
        await half.send_all(REQUEST[10:])
        context.half = await edge_fixtures.read_to_end(half)
        context.entry.released.set()
        context.busy = await edge_fixtures.read_to_end(busy)
        try:
            await edge_fixtures.connect(address)
            context.refused = False
        except OSError:
            context.refused = True

    run_edge(context, body)


@then("the idle connection is closed without an answer")
def idle_closed(context):
    assert context.idle == (b"", False), context.idle


def assert_whole_and_closing(outcome, header):
    data, reset = outcome
    head, _, body = data.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200") and not reset, outcome
    assert header.encode() in head.lower() and body == b"body", outcome


@then('the running request is answered whole with "{header}"')
def busy_answered(context, header):
    assert_whole_and_closing(context.busy, header)


@then("the half request is answered once it is whole")
def half_answered(context):
    assert_whole_and_closing(context.half, "connection: close")


@then("a new connection is refused")
def new_refused(context):
    assert context.refused


@when("a request is sent on a kept-alive connection")
def kept_connection(context):
    async def body(edge, address):
        stream = await edge_fixtures.connect(address)
        await stream.send_all(REQUEST)
        assert b"200" in await stream.receive_some(edge_fixtures.PART_BYTES)
        context.environment.board.leaving.write(True)
        await stream.send_all(REQUEST)
        context.outcome = await edge_fixtures.read_to_end(stream)

    run_edge(context, body)


@then('it is answered whole with "{header}"')
def answered_closing(context, header):
    assert_whole_and_closing(context.outcome, header)


@when("the configuration allows {count:d} bytes of headers")
def header_limit(context, count):
    limits = CallerLimits(count, 1_000, 1_000, 1_000)
    context.environment.board.caller_limits.write(limits)


@then("a request with {count:d} bytes of headers is refused with {status:d}")
def header_refused(context, count, status):
    async def body(edge, address):
        raw = REQUEST.replace(b"\r\n\r\n", b"\r\na: " + b"x" * count + b"\r\n\r\n")
        context.outcome = await edge_fixtures.call(address, raw)

    run_edge(context, body)
    assert context.outcome[0].startswith(f"HTTP/1.1 {status}".encode()), context.outcome


def send_refusal(kind, retry_after_ms):
    class Stream:
        sent = b""

        async def send_all(self, data):
            self.sent += data

    async def main():
        stream = Stream()
        http = HttpConnection(stream, EdgeLimits())
        http._http.receive_data(REQUEST)
        http._http.next_event()
        http._http.next_event()
        await http.emit(
            ReplyRefused(ErrorKind(kind), "", retry_after_ms=retry_after_ms)
        )
        return stream.sent.lower()

    return trio.run(main)


@then('a refusal "{kind}" with a retry time of {retry_after_ms:d} ms has "{header}"')
def has_retry_after(context, kind, retry_after_ms, header):
    assert header.encode() in send_refusal(kind, retry_after_ms)


@then(
    'a refusal "{kind}" with a retry time of {retry_after_ms:d} ms has no retry-after'
)
def has_no_retry_after(context, kind, retry_after_ms):
    assert b"retry-after" not in send_refusal(kind, retry_after_ms)


@given("a node's settings in a file")
def settings_file(context):
    directory = tempfile.TemporaryDirectory(prefix="cactushook-test-")
    context.file = pathlib.Path(context.resources.enter_context(directory)) / "s.jsonc"
    context.file.write_text(json.dumps(daemon.GOOD_SETTINGS))
    context.environment = Environment(read_settings(context.file), context.file)
    context.logged = []
    log = context.environment.log
    log.info = lambda event, **fields: context.logged.append((event, fields))
    log.warning = log.info


@when('the file gets other peers and the log level "{level}"')
def other_settings(context, level):
    changed = {
        **daemon.GOOD_SETTINGS,
        "peers": ["127.0.0.1:9"],
        "log": {"level": level},
    }
    context.file.write_text(json.dumps(changed))


@then('reloading it changes "{names}"')
def settings_reloaded(context, names):
    context.environment.reload_settings("signal")
    event, fields = context.logged[-1]
    assert event == "settings_read", context.logged
    assert ", ".join(sorted(fields["changed"])) == names, fields
    assert context.environment.settings.peers == ("127.0.0.1:9",)


@when("the file is cut in half")
def cut_in_half(context):
    text = context.file.read_text()
    context.file.write_text(text[: len(text) // 2])


@then("reloading it changes nothing and logs the reason")
def reload_refused(context):
    context.environment.reload_settings("file")
    event, fields = context.logged[-1]
    assert event == "settings_refused" and "s.jsonc" in fields["reason"], fields
    assert context.environment.settings.peers == ("127.0.0.1:9",)


@given("a log whose reader reads nothing")
def unread_log(context):
    context.read_fd, context.write_fd = os.pipe()
    context.resources.callback(os.close, context.read_fd)
    context.resources.callback(os.close, context.write_fd)
    context.writer = LineWriter(context.write_fd)


@when("{count:d} lines are written")
def lines_written(context, count):
    context.count = count
    for number in range(count):
        context.writer.write(f"{number} {'x' * 100}\n")
        if number % 1_000 == 0:
            context.writer.write_pending()


@then("writing returned and lines were dropped and counted")
def lines_dropped(context):
    assert not context.writer.write_pending()
    assert 0 < context.writer.dropped < context.count


@when("the reader reads everything")
def reader_reads(context):
    received = bytearray()
    while not context.writer.write_pending():
        received += os.read(context.read_fd, 65_536)
    os.set_blocking(context.read_fd, False)
    try:
        while part := os.read(context.read_fd, 65_536):
            received += part
    except BlockingIOError:
        pass
    context.received = bytes(received)


@then("all lines that were kept arrive whole")
def lines_whole(context):
    lines = context.received.decode().splitlines()
    assert len(lines) == context.count - context.writer.dropped
    assert all(line.split()[1] == "x" * 100 for line in lines)


@given("an entry of a node that has no configuration")
def entry_without_configuration(context):
    env = context.environment = edge_fixtures.environment()
    links = LinkPool(env, handler=None, tasks=None)
    quotas = Quotas(env, links, None)
    context.entry = Entry(env, links, Gate(env, tasks=None), quotas)


@when("the node is stopped and a request arrives")
def request_at_stop(context):
    board = context.environment.board
    board.leaving.write(True)
    board.readiness.write(Readiness(False, "draining"))
    context.events = []

    async def emit(event):
        context.events.append(event)

    request = EntryRequest("GET", b"/a", (), b"", internal=False)
    trio.run(context.entry.serve, request, emit)


@when("requests arrive whose callers wait {timeout_ms:d} ms")
def requests_at_start(context, timeout_ms):
    context.events = []

    async def emit(event):
        context.events.append(event)

    async def serve_all():
        name = context.environment.headers.timeout_ms
        headers = ((name, str(timeout_ms).encode()),)
        request = EntryRequest("GET", b"/a", headers, b"", internal=False)
        for _ in range(50):
            await context.entry.serve(request, emit)

    trio.run(serve_all)


@then(
    'each is refused as "{kind}", with a retry time of {least_ms:d} to {most_ms:d} ms'
)
def refused_with_retry(context, kind, least_ms, most_ms):
    assert len(context.events) == 50
    for event in context.events:
        assert isinstance(event, ReplyRefused) and event.kind.value == kind, event
        assert least_ms <= event.retry_after_ms <= most_ms, event


@then('the request is refused as "{kind}"')
def request_refused(context, kind):
    (event,) = context.events
    assert isinstance(event, ReplyRefused) and event.kind.value == kind, event


@when(
    "the edge stops accepting just after {new:d} new connections and {idle:d} idle "
    "ones sent requests"
)
def stops_under_load(context, new, idle):
    limits = context.environment.settings.limits
    assert new + idle <= limits.connections

    async def body(edge, address):
        ip, _, port = address.rpartition(":")
        streams = [await edge_fixtures.connect(address) for _ in range(idle)]
        for stream in streams:
            await stream.send_all(REQUEST)
            assert b"200" in await stream.receive_some(edge_fixtures.PART_BYTES)
        await trio.sleep(0.05)
        context.environment.board.leaving.write(True)
        # Without the event loop, so that the edge has seen none of it when it stops.
        sockets = [socket.create_connection((ip, int(port))) for _ in range(new)]
        sockets += [stream.socket._sock for stream in streams]
        for sock in sockets:
            sock.send(REQUEST.replace(b"/a", b"/slow"))
        await edge.stop_accepting()
        assert not edge.is_idle
        context.entry.released.set()
        for sock in sockets[:new]:
            sock.setblocking(False)
            streams.append(trio.SocketStream(trio.socket.from_stdlib_socket(sock)))
        context.outcomes = [await edge_fixtures.read_to_end(s) for s in streams]
        await edge_fixtures.wait_until(lambda: edge.is_idle)

    run_edge(context, body)


@then('each of the {count:d} requests is answered whole with "{header}"')
def each_answered(context, count, header):
    assert len(context.outcomes) == count
    for outcome in context.outcomes:
        assert_whole_and_closing(outcome, header)
