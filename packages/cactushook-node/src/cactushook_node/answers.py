"""Takes in a backend server's answers and sends them on."""

import dataclasses
import typing as t

import trio
from cactushook import Call
from cactushook import Load
from cactushook import RouteClass
from cactushook.key_table import StoredAnswer

from . import wire
from .http_messages import Emit
from .http_messages import Headers
from .http_messages import ReplyChunk
from .http_messages import ReplyEvent
from .http_messages import ReplyStart
from .worker_client import WorkerReply

MAX_STORED_ANSWER_BYTES = 1_048_576
# An answer up to this length is taken from the backend server at once, so that its
# slot does not wait for the network; longer ones are streamed.
MAX_BUFFERED_BYTES = 2_097_152
# The same for all answers together.
MAX_BUFFERED_TOTAL_BYTES = 25_165_824


@dataclasses.dataclass(frozen=True, slots=True)
class BufferedReply:
    """A whole answer that has still to be sent to the entry."""

    status: int
    headers: Headers
    body: bytes


class AnswerRecorder:
    """Collects the answer to a keyed request, unless it grows too large."""

    def __init__(self) -> None:
        self._start: ReplyStart | None = None
        self._body = bytearray()
        self._too_large = False

    async def emit(self, event: ReplyEvent) -> None:
        """Takes in a part of the answer."""
        match event:
            case ReplyStart():
                self._start = event
                self._add(event.body)
            case ReplyChunk(data):
                self._add(data)

    @property
    def answer(self) -> StoredAnswer | None:
        """The whole answer, or None if it is too large to be kept."""
        if self._start is None or self._too_large:
            return None
        return StoredAnswer(self._start.status, self._start.headers, bytes(self._body))

    def _add(self, data: bytes) -> None:
        if len(self._body) + len(data) > MAX_STORED_ANSWER_BYTES:
            self._too_large = True
            self._body.clear()
        if not self._too_large:
            self._body += data


class AnswerBuffer:
    """Holds whole answers until the network has taken them, within a bound.

    Args:
        load: returns the load that is told with an answer.
    """

    def __init__(self, load: t.Callable[[], Load]) -> None:
        self._load = load
        self._buffered_bytes = 0
        self._sending = 0

    @property
    def is_idle(self) -> bool:
        """Whether no answer is being sent."""
        return not self._sending

    async def receive(
        self, call: Call, reply: WorkerReply, emit: Emit, scope: trio.CancelScope
    ) -> BufferedReply | None:
        """Takes in an answer and returns it; one that is too long is streamed."""
        body = bytearray()
        buffered_bytes = 0
        started = False
        try:
            async for data in reply.body:
                body += data
                if not started and self._has_room(len(body)):
                    self._buffered_bytes += len(data)
                    buffered_bytes += len(data)
                    continue
                while len(body) > wire.CHUNK_BYTES:
                    part = bytes(body[: wire.CHUNK_BYTES])
                    del body[: wire.CHUNK_BYTES]
                    if started:
                        await emit(ReplyChunk(part, False))
                    else:
                        await self._start(call, reply, part, emit, scope)
                        started = True
        finally:
            self._buffered_bytes -= buffered_bytes
        if not started:
            return BufferedReply(reply.status, reply.headers, bytes(body))
        await emit(ReplyChunk(bytes(body), True))
        return None

    def _has_room(self, size_bytes: int) -> bool:
        total_bytes = self._buffered_bytes + size_bytes
        return (
            size_bytes <= MAX_BUFFERED_BYTES and total_bytes <= MAX_BUFFERED_TOTAL_BYTES
        )

    async def send(self, reply: BufferedReply, emit: Emit) -> None:
        """Sends a whole answer to the entry, part by part."""
        size_bytes = len(reply.body)
        self._buffered_bytes += size_bytes
        self._sending += 1
        try:
            first = reply.body[: wire.CHUNK_BYTES]
            last = size_bytes <= wire.CHUNK_BYTES
            load = self._load()
            await emit(ReplyStart(reply.status, reply.headers, first, last, load))
            for start in range(wire.CHUNK_BYTES, size_bytes, wire.CHUNK_BYTES):
                end = start + wire.CHUNK_BYTES
                await emit(ReplyChunk(reply.body[start:end], end >= size_bytes))
        finally:
            self._sending -= 1
            self._buffered_bytes -= size_bytes

    async def _start(
        self,
        call: Call,
        reply: WorkerReply,
        part: bytes,
        emit: Emit,
        scope: trio.CancelScope,
    ) -> None:
        if call.route_class is RouteClass.BULK:
            scope.deadline = float("inf")
        await emit(ReplyStart(reply.status, reply.headers, part, False, self._load()))
