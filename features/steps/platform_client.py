"""Steps on the client of the platform's configuration service."""

import trio
from behave import given
from behave import then
from behave import when
from cactushook import Slot
from cactushook import SourceError
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

    async def main():
        address = edge_fixtures.free_addresses(1)[0]
        ip, _, port = address.rpartition(":")
        async with trio.open_nursery() as nursery:
            await nursery.start(
                lambda task_status: trio.serve_tcp(
                    serve, int(port), host=ip, task_status=task_status
                )
            )
            client = HttpPlatform(
                PlatformSettings(address=address), Metrics(), Slot("reachable", None)
            )
            started_s = trio.current_time()
            context.failure = None
            with trio.move_on_after(edge_fixtures.WAIT_LIMIT_S):
                try:
                    await client.read_value("digest")
                except SourceError as error:
                    context.failure = error
            context.took_s = trio.current_time() - started_s
            nursery.cancel_scope.cancel()

    trio.run(main)


@then('the call fails within {limit_s:d} s as "{kind}"')
def call_fails(context, limit_s, kind):
    assert context.failure is not None, "the call did not end"
    assert context.failure.kind.value == kind, context.failure
    assert context.took_s < limit_s, context.took_s


@then("less than {limit_mb:d} MB of the answer were taken")
def taken_less(context, limit_mb):
    assert context.taken_bytes < limit_mb * 1_000_000, context.taken_bytes
