"""Fixtures that run links in memory with scripted handlers."""

import trio
from cactushook import Load
from cactushook_node import wire
from cactushook_node.links import Link

from features import edge_fixtures

ANSWER_CHUNKS = 1_024


class Handler:
    """Handles the messages and requests that a link receives, as scripted."""

    def __init__(self, link_failure=None):
        self.link_failure = link_failure
        self.calls = 0
        self.sent_chunks = 0

    async def on_hello(self, link, hello):
        pass

    async def on_control_message(self, link, message):
        wire.control_from_message(message)

    async def on_call(self, link, call):
        self.calls += 1
        if call.method == "FAIL":
            raise ValueError("seeded")
        if call.method == "HANG":
            await trio.sleep_forever()
        if call.method == "LARGE":
            await self._stream(link, call.stream_id)
            return
        await link.send(reply(call.stream_id, call.body, True))

    async def _stream(self, link, stream_id):
        await link.send(reply(stream_id, b"", False))
        for index in range(ANSWER_CHUNKS):
            await link.acquire_credit(stream_id)
            last = index == ANSWER_CHUNKS - 1
            self.sent_chunks += 1
            chunk = wire.ChunkMessage(stream_id, bytes(wire.CHUNK_BYTES), last)
            await link.send(chunk)


def call(stream_id, method="GET", body=b""):
    """Returns a request as an entry sends it."""
    return wire.CallMessage(
        stream_id=stream_id,
        request_id="r",
        service_name="reports",
        route_class="idempotent",
        method=method,
        target=b"/",
        headers=[],
        body=body,
        timeout_ms=1_000,
        version=1,
        attempts_left=1,
        hops=1,
        key="",
        key_issued_ms=0,
        resend_window_ms=0,
        fingerprint="",
        fences=[],
    )


def reply(stream_id, body=b"", last=True):
    """Returns the start of an answer."""
    return wire.ReplyMessage(
        stream_id=stream_id,
        status=200,
        headers=[],
        body=body,
        last=last,
        load=wire.load_to_message(Load()),
    )


def start(nursery, environment, stream, handler):
    """Runs a link on a stream and returns it."""
    link = Link(environment, stream, handler)
    nursery.start_soon(link.run)
    return link


def run(body):
    """Runs a test with a nursery that ends with it."""

    async def main():
        async with trio.open_nursery() as nursery:
            with trio.fail_after(edge_fixtures.WAIT_LIMIT_S):
                await body(nursery)
            nursery.cancel_scope.cancel()

    trio.run(main)
