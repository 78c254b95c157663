"""Receives a backend server's answers and forwards them."""

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
# Answers up to this length are read into memory before they are sent, so that a slot of
# the backend server does not wait for the network. Longer answers are streamed.
MAX_BUFFERED_BYTES = 2_097_152
# Limit for all buffered answers together.
MAX_BUFFERED_TOTAL_BYTES = 25_165_824


@dataclasses.dataclass(frozen=True, slots=True)
class BufferedReply:
    """A complete answer that is still to be sent to the entry."""

    status: int
    headers: Headers
    body: bytes


class AnswerRecorder:
    """Records the answer to a keyed request, unless it is too large."""

    def __init__(self) -> None:
        self._start: ReplyStart | None = None
        self._body = bytearray()
        self._is_too_large = False

    async def emit(self, event: ReplyEvent) -> None:
        """Records a part of the answer."""
        match event:
            case ReplyStart():
                self._start = event
                self._append_body(event.body)
            case ReplyChunk(data):
                self._append_body(data)

    @property
    def answer(self) -> StoredAnswer | None:
        """The complete answer, or None if it is too large to be stored."""
        if self._start is None or self._is_too_large:
            return None
        return StoredAnswer(self._start.status, self._start.headers, bytes(self._body))

    def _append_body(self, data: bytes) -> None:
        if len(self._body) + len(data) > MAX_STORED_ANSWER_BYTES:
            self._is_too_large = True
            self._body.clear()
        if not self._is_too_large:
            self._body += data


class AnswerBuffer:
    """Buffers complete answers until they are sent, up to a total length.

    Args:
        load: returns the load that is reported with an answer.
    """

    def __init__(self, load: t.Callable[[], Load]) -> None:
        self._load = load
        self._buffered_bytes = 0
        self._sending_count = 0

    @property
    def is_idle(self) -> bool:
        """Whether no answer is being sent."""
        return not self._sending_count

    async def receive(
        self, call: Call, reply: WorkerReply, emit: Emit, scope: trio.CancelScope
    ) -> BufferedReply | None:
        """Reads an answer and returns it, or streams it and returns None.

        An answer is streamed if it exceeds the limits of the buffer.
        """
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
                        await self._send_start(call, reply, part, emit, scope)
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
        """Sends a complete answer to the entry in chunks."""
        size_bytes = len(reply.body)
        self._buffered_bytes += size_bytes
        self._sending_count += 1
        try:
            first = reply.body[: wire.CHUNK_BYTES]
            last = size_bytes <= wire.CHUNK_BYTES
            load = self._load()
            await emit(ReplyStart(reply.status, reply.headers, first, last, load))
            for start in range(wire.CHUNK_BYTES, size_bytes, wire.CHUNK_BYTES):
                end = start + wire.CHUNK_BYTES
                await emit(ReplyChunk(reply.body[start:end], end >= size_bytes))
        finally:
            self._sending_count -= 1
            self._buffered_bytes -= size_bytes

    async def _send_start(
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
