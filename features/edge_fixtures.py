"""Fixtures that run an edge in this process with a scripted entry."""

import contextlib
import dataclasses
import socket
import struct
import typing as t

import msgspec
import trio
from cactushook import Load
from cactushook_node.edge import Edge
from cactushook_node.entry_request import EntryRequest
from cactushook_node.environment import Environment
from cactushook_node.http_messages import Emit
from cactushook_node.http_messages import ReplyChunk
from cactushook_node.http_messages import ReplyEvent
from cactushook_node.http_messages import ReplyStart
from cactushook_node.settings import Settings

from standins.fleet import free_addresses

LIMITS = {
    "header_bytes": 2_048,
    "header_count": 10,
    "target_bytes": 1_024,
    "body_bytes": 2_048,
    "frame_bytes": 200_000,
    "connections": 2,
    "slow_caller_timeout_ms": 300,
}
WAIT_LIMIT_S = 20
PART_BYTES = 65_536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def environment() -> Environment:
    """Returns the environment of a node that is not running."""
    names = ("node_listen", "public_listen", "internal_listen", "admin_listen")
    worker, platform, *own = free_addresses(2 + len(names))
    raw = {
        "host": "host-1",
        "domain": "cesis",
        "region": "vidzeme",
        "service": "reports",
        "worker": {"address": worker},
        "platform": {"address": platform},
        "limits": LIMITS,
        "seed": 1,
        **dict(zip(names, own, strict=True)),
    }
    return Environment(msgspec.convert(raw, Settings))


def counted(env: Environment, counter: str, **labels: str) -> float:
    """Returns the value of a counter, or 0 if it was never incremented."""
    return env.metrics.registry.get_sample_value(f"{counter}_total", labels) or 0


async def wait_until(condition: t.Callable[[], bool]) -> None:
    """Waits until a condition holds, for `WAIT_LIMIT_S` at most."""
    with trio.fail_after(WAIT_LIMIT_S):
        while not condition():
            await trio.sleep(0.01)


@dataclasses.dataclass(slots=True)
class ScriptedEntry:
    """Replaces the entry; emits the same events for every request."""

    events: t.Sequence[ReplyEvent] = ()
    failure: Exception | None = None
    endless: bool = False
    hangs: bool = False
    requests: list[EntryRequest] = dataclasses.field(default_factory=list)
    ended: int = 0

    async def serve(self, request: EntryRequest, emit: Emit) -> None:
        """Answers a request as scripted."""
        self.requests.append(request)
        try:
            if self.failure is not None:
                raise self.failure
            if self.hangs:
                await trio.sleep_forever()
            for event in self.events or (whole(request.target),):
                await emit(event)
            while self.endless:
                await emit(ReplyChunk(bytes(PART_BYTES), False))
        finally:
            self.ended += 1


def whole(body: bytes) -> ReplyStart:
    """Returns a complete answer in one event."""
    return ReplyStart(200, (), body, True, Load())


@contextlib.asynccontextmanager
async def edge(env: Environment, entry: ScriptedEntry) -> t.AsyncIterator[None]:
    """Serves callers of the edge while the block runs."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(env.run_timers)
        await nursery.start(Edge(env, entry).serve)
        yield
        nursery.cancel_scope.cancel()


async def serve(
    nursery: trio.Nursery,
    address: str,
    handler: t.Callable[[trio.SocketStream], t.Awaitable[None]],
) -> None:
    """Serves TCP connections at an address until the nursery is cancelled."""
    ip, _, port = address.rpartition(":")
    await nursery.start(
        lambda task_status: trio.serve_tcp(
            handler, int(port), host=ip, task_status=task_status
        )
    )


def reset_on_close(stream: trio.SocketStream) -> None:
    """Makes the close of a connection a reset."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


async def connect(address: str) -> trio.SocketStream:
    """Opens a TCP connection to an address."""
    ip, _, port = address.rpartition(":")
    return await trio.open_tcp_stream(ip, int(port))


async def read_to_end(stream: trio.abc.ReceiveStream) -> tuple[bytes, bool]:
    """Returns all bytes until the other end closes, and whether it was a reset."""
    data = b""
    with trio.fail_after(WAIT_LIMIT_S):
        try:
            while part := await stream.receive_some(PART_BYTES):
                data += part
        except trio.BrokenResourceError:
            return data, True
    return data, False


async def call(address: str, raw: bytes) -> tuple[bytes, bool]:
    """Sends raw bytes; returns the bytes received and whether a reset ended them."""
    async with await connect(address) as stream:
        await stream.send_all(raw)
        return await read_to_end(stream)


def counted_all(env: Environment, counter: str) -> float:
    """Returns the sum of a counter over its labels."""
    return sum(
        sample.value
        for metric in env.metrics.registry.collect()
        for sample in metric.samples
        if sample.name == f"{counter}_total"
    )
