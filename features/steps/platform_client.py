"""Steps on the client of the platform's configuration service."""

import re
import socket
import threading
import time
from unittest import mock

import httpcore
import msgspec
import trio
from behave import given
from behave import then
from behave import when
from cactushook import Head
from cactushook import Slot
from cactushook import SourceError
from cactushook_cli import client as cli_client
from cactushook_node import bounded_http
from cactushook_node.bounded_http import CallLimits
from cactushook_node.metrics import Metrics
from cactushook_node.platform import HttpPlatform
from cactushook_node.settings import PlatformSettings

from features import edge_fixtures

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# Start, repeated part and pause after each part, in seconds.
ANSWERS = {
    "endless body": (CHUNKED, b"10000\r\n" + 65_536 * b" " + b"\r\n", 0.0),
    "endless head": (b"HTTP/1.1 200 OK\r\n", 8_192 * b"X-A: a\r\n", 0.0),
    "slow body": (CHUNKED, b"1\r\n \r\n", 0.2),
}
# Bounds the memory of a client that keeps all of an answer.
SENT_LIMIT_BYTES = 100_000_000


@given("a platform that sends an {answer}")
def platform(context, answer):
    context.answer = ANSWERS[answer]
    context.taken_bytes = 0


async def call_platform(context, serve, call):
    """Serves a platform, and records the result or the error of a call to it."""
    address = edge_fixtures.free_addresses(1)[0]
    async with trio.open_nursery() as nursery:
        await edge_fixtures.serve(nursery, address, serve)
        client = HttpPlatform(
            PlatformSettings(address=address), Metrics(), Slot("reachable", None)
        )
        started_s = trio.current_time()
        context.failure = context.result = None
        with trio.move_on_after(edge_fixtures.WAIT_LIMIT_S):
            try:
                context.result = await call(client)
            except SourceError as error:
                context.failure = error
        context.took_s = trio.current_time() - started_s
        nursery.cancel_scope.cancel()


@when("a node reads a value from it")
def reads_value(context):
    async def serve(stream):
        start, part, gap_s = context.answer
        await stream.receive_some(edge_fixtures.PART_BYTES)
        try:
            await stream.send_all(start)
            while context.taken_bytes < SENT_LIMIT_BYTES:
                await stream.send_all(part)
                context.taken_bytes += len(part)
                await trio.sleep(gap_s)
        except trio.BrokenResourceError:
            return
        await trio.sleep_forever()

    trio.run(call_platform, context, serve, lambda client: client.read_value("digest"))


CUT_ANSWER = b"HTTP/1.1 200 OK\r\n\r\n1"
LIMITS = CallLimits(connect_s=1, pool_s=1, read_s=1, total_s=2, answer_bytes=100)


class LateBackend(httpcore.TrioBackend):
    """Returns a connection only after what its server does at once has arrived."""

    async def connect_tcp(self, *args, **kwargs):
        stream = await super().connect_tcp(*args, **kwargs)
        await trio.sleep(0.1)
        return stream


@when("a server resets a connection after part of an answer, before it has the request")
def resets_early(context):
    async def serve(stream):
        await stream.send_all(CUT_ANSWER)
        edge_fixtures.reset_on_close(stream)

    async def main():
        address = edge_fixtures.free_addresses(1)[0]
        async with trio.open_nursery() as nursery:
            await edge_fixtures.serve(nursery, address, serve)
            pool = httpcore.AsyncConnectionPool(network_backend=LateBackend())
            started_s = trio.current_time()
            try:
                answer = await bounded_http.get(pool, f"http://{address}/", LIMITS)
                context.failure, context.result = None, answer.body
            except SourceError as error:
                context.failure = error
            context.took_s = trio.current_time() - started_s
            nursery.cancel_scope.cancel()

    trio.run(main)


@when("the command line reads a page whose connection is reset before it sends")
def cli_resets_early(context):
    connect = httpcore.SyncBackend.connect_tcp

    def connect_late(*args, **kwargs):
        stream = connect(*args, **kwargs)
        time.sleep(0.1)
        return stream

    def serve():
        connection, _ = listener.accept()
        connection.sendall(CUT_ANSWER)
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, edge_fixtures.RESET_ON_CLOSE
        )
        connection.close()

    context.failure = None
    started_s = time.monotonic()
    with (
        socket.create_server(("127.0.0.1", 0)) as listener,
        mock.patch.object(httpcore.SyncBackend, "connect_tcp", connect_late),
    ):
        server = threading.Thread(target=serve)
        server.start()
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        try:
            context.result = cli_client.fetch_json(address, b"/status", int)
        except SourceError as error:
            context.failure = error
        server.join()
    context.took_s = time.monotonic() - started_s


@given("a platform whose connections are silent")
def silent_platform(context):
    context.published_s = float("inf")
    context.is_silent = True


@given("a platform that publishes version {version:d} after {delay_ms:d} ms")
def publishing_platform(context, version, delay_ms):
    context.version = version
    context.published_s = delay_ms / 1_000
    context.is_silent = False


@when("a reader waits for a version")
def reader_waits(context):
    context.calls = 0

    async def serve(stream):
        published_s = started_s + context.published_s
        while data := await stream.receive_some(edge_fixtures.PART_BYTES):
            context.calls += 1
            if context.is_silent:
                await trio.sleep_forever()
            wait_ms = int(re.search(rb"wait_ms=([0-9]+)", data)[1])
            with trio.move_on_after(wait_ms / 1_000):
                await trio.sleep_until(published_s)
            is_published = trio.current_time() >= published_s
            head = Head(version=context.version if is_published else 1, root="")
            body = msgspec.json.encode(head)
            start = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            await stream.send_all(start.encode() + body)

    async def main():
        nonlocal started_s
        started_s = trio.current_time()
        await call_platform(
            context, serve, lambda client: client.watch_head(1, is_reader=True)
        )

    started_s = 0.0
    trio.run(main)


@then("it receives version {version:d} after {count:d} calls")
def receives_version(context, version, count):
    assert context.result is not None, context.failure
    assert (context.result.version, context.calls) == (version, count)


@then('the call fails within {limit_s:d} s as "{kind}"')
def call_fails(context, limit_s, kind):
    assert context.failure is not None, context.result or "the call did not end"
    assert context.failure.kind.value == kind, context.failure
    assert context.took_s < limit_s, context.took_s


@then("less than {limit_mb:d} MB of the answer were taken")
def taken_less(context, limit_mb):
    assert context.taken_bytes < limit_mb * 1_000_000, context.taken_bytes
