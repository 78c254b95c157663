"""Connections between nodes, each of which carries many requests at once."""

import itertools
import typing as t

import trio
from cactushook import ErrorKind
from cactushook import Load
from cactushook import RequestError
from cactushook import WireError

from . import wire
from .environment import Environment
from .exchanges import Exchange
from .frame_writer import FrameWriter
from .liveness import Liveness
from .liveness import LivenessMonitor
from .reply_messages import event_from_message

SEND_BUFFER_BYTES = 1_048_576
RECEIVE_BYTES = 65_536
WATCH_PERIOD_MS = 300
IDLE_LIMIT_MS = 30_000
# How long a connection that has ended here waits for the peer to end it too.
CLOSE_LIMIT_MS = 2_000
PLACE = "link"


class LinkHandler(t.Protocol):
    """Handles the messages of a link that are not answers."""

    async def on_hello(self, link: "Link", hello: wire.Message) -> None:
        """Handles the peer's hello, which starts a connection."""

    async def on_call(self, link: "Link", call: wire.Message) -> None:
        """Handles a request, in a task that a cancel message ends."""

    async def on_control_message(self, link: "Link", message: wire.Message) -> None:
        """Handles a control message."""


class Link:
    """One connection to another node.

    Sending never blocks receiving: frames are buffered and one task writes them, so
    that two nodes cannot deadlock.

    A link that was idle for ``IDLE_LIMIT_MS``, or whose node stops, is retired: before
    the connection closes, each side announces that it sends no further requests, so
    that none is lost. A link to a silent peer is retired too, but kept for the answers
    that it still carries. The connection then ends in both directions one after the
    other, since a close with unread bytes would discard what the peer has not received
    yet.

    Args:
        environment: the node's central object.
        stream: the connection.
        handler: receives requests and control messages.

    Attributes:
        peer_hello: the other node's hello, or None until it arrives.
        closed: whether the connection has ended.
        retired: whether new requests must use another connection.
        hello_received: set once the hello has arrived or the link has closed.
        received_ms: when bytes arrived last.
        is_silent: whether the peer sent nothing although it was pinged.
    """

    def __init__(
        self, environment: Environment, stream: trio.abc.Stream, handler: LinkHandler
    ) -> None:
        self.environment = environment
        self.peer_hello: t.Any = None
        self.closed = False
        self.retired = False
        self.hello_received = trio.Event()
        self._stream = stream
        self._handler = handler
        self._has_answered = False
        self._exchanges: dict[int, Exchange] = {}
        self._scopes: dict[int, trio.CancelScope] = {}
        self._call_credits: dict[int, trio.Semaphore] = {}
        self._stream_ids = itertools.count(1)
        self._liveness = LivenessMonitor()
        self._writer = FrameWriter(stream, self._on_written)
        self._used_ms = environment.timers.now_ms
        self.received_ms = environment.now_ms()
        self._peer_retired = False
        self.is_silent = False
        self._scope = trio.CancelScope()

    async def send(self, message: wire.Message) -> None:
        """Queues a message once the buffer has space; does nothing on a closed link.

        Raises:
            RequestError: the message is a request, and the link was left meanwhile.
        """
        await self._writer.wait_for_space(SEND_BUFFER_BYTES)
        if self.retired and isinstance(message, wire.CallMessage):
            raise RequestError(
                ErrorKind.PEER_UNREACHABLE, "the connection was left before the request"
            )
        self.send_soon(message)

    def send_soon(self, message: wire.Message) -> bool:
        """Queues a message immediately and returns whether it was queued.

        A peer that reads nothing until the buffer is full is disconnected.
        """
        if self.closed:
            return False
        frame = wire.encode(message)
        if self._writer.queued_bytes + len(frame) > self._buffer_limit_bytes:
            self.abort("send_buffer_full")
            return False
        self._used_ms = self.environment.timers.now_ms
        self._writer.queue(frame)
        self._has_answered |= isinstance(message, wire.ANSWER_MESSAGES)
        self._count("out", message, len(frame))
        return True

    @property
    def is_idle(self) -> bool:
        """Whether no request is open and all frames have been written."""
        return not (self._exchanges or self._scopes or self._writer.unsent_bytes)

    def retire(self) -> None:
        """Leaves the link, which ends once both sides have left it and it is idle."""
        if not self.retired:
            self._retire(answer=False)

    def open_exchange(self, is_repeatable: bool = True) -> Exchange:
        """Returns the exchange for a new request."""
        exchange = Exchange(self, next(self._stream_ids), is_repeatable)
        self._exchanges[exchange.stream_id] = exchange
        return exchange

    def remove_exchange(self, stream_id: int) -> None:
        """Removes an exchange; answers that arrive later are counted and dropped."""
        self._exchanges.pop(stream_id, None)

    async def acquire_credit(self, stream_id: int) -> None:
        """Waits until another chunk of a stream may be sent."""
        await self._call_credits[stream_id].acquire()

    async def run(self) -> None:
        """Sends and receives until the connection ends."""
        ticks = self.environment.timers.every(WATCH_PERIOD_MS, self._on_tick)
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._writer.run)
                    self.send_soon(self._build_hello())
                    await self._receive_frames(nursery)
                    nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except* Exception as group:
            self._record_failure(group)
        finally:
            ticks.cancel()
            self._log_requests_lost()
            self._close()

    def _log_requests_lost(self) -> None:
        """Logs a connection that the peer or the network ended within requests."""
        if self.closed or not (self._exchanges or self._scopes):
            return
        peer = self.peer_hello
        self.environment.log.warning(
            "requests_lost",
            address=peer.host.address if peer is not None else "",
            retired=self.retired,
            sent_count=len(self._exchanges),
            served_count=len(self._scopes),
        )

    @property
    def _buffer_limit_bytes(self) -> int:
        return SEND_BUFFER_BYTES + 2 * self.environment.settings.limits.frame_bytes

    def _build_hello(self) -> wire.Message:
        environment = self.environment
        head = environment.store.head
        return wire.Hello(
            host=wire.host_to_message(environment.membership.own),
            version=head.version,
            root=head.root,
            floor_version=0,
        )

    def abort(self, reason: str) -> None:
        """Closes the connection because of an error, and counts and logs the reason."""
        if self.closed:
            return
        self.environment.metrics.links_ended.labels(reason).inc()
        self.environment.log.warning("link_ended", reason=reason)
        self._close()
        self._scope.cancel()

    def _close(self) -> None:
        self.closed = True
        self.hello_received.set()
        self._writer.close()
        for exchange in list(self._exchanges.values()):
            exchange.fail(ErrorKind.PEER_LOST, "the connection was lost")
        self._exchanges.clear()

    def _record_failure(self, group: BaseExceptionGroup[Exception]) -> None:
        self.environment.metrics.handler_failures.labels(PLACE).inc()
        self.environment.log.warning("link_failed", reason=repr(group.exceptions))

    def _on_tick(self, now_ms: float) -> None:
        """Checks whether the peer responds and whether the link is idle."""
        if self.closed:
            return
        awaits_peer = self.retired and not self._peer_retired
        liveness = self._liveness.tick(
            has_open_requests=bool(self._exchanges or self._scopes or awaits_peer),
            has_unsent_frames=bool(self._writer.unsent_bytes),
        )
        match liveness:
            case Liveness.SUSPECT:
                if self._liveness.is_ping_unanswered:
                    self.on_ping_unanswered()
                self.send_soon(wire.PingMessage(False))
            case Liveness.SILENT:
                self.on_ping_unanswered()
                self._on_silence()
            case Liveness.DEAD:
                self.abort("peer_unresponsive")
            case Liveness.ALIVE:
                self._end_if_idle(now_ms)

    def on_ping_unanswered(self) -> None:
        """Leaves the link to the work that it carries.

        Also an idle link may carry a request that has not arrived yet. A host that
        responds again is reached sooner over a new connection: this one repeats its
        lost bytes at growing intervals.
        """
        if self.retired:
            return
        if self.peer_hello is not None:
            self.environment.mark_peer_silent(self.peer_hello.host.address)
        self.retire()

    def _record_received(self) -> None:
        environment = self.environment
        self._liveness.on_bytes_received()
        self._used_ms = environment.timers.now_ms
        self.received_ms = environment.now_ms()
        if len(environment.silent_peers) and self.peer_hello is not None:
            environment.mark_peer_responding(self.peer_hello.host.address)

    def _on_silence(self) -> None:
        """Gives up the requests that another node can run.

        Work that cannot be repeated, and the work that runs here for the peer, keep the
        connection: the peer may only be slow.
        """
        if not self.is_silent:
            self.is_silent = True
            self.environment.log.warning("peer_silent")
        for exchange in list(self._exchanges.values()):
            if exchange.is_repeatable and not exchange.has_started:
                exchange.give_up("the node is silent")
        if not (self._exchanges or self._scopes or self._has_answered):
            self.abort("peer_unresponsive")

    def _end_if_idle(self, now_ms: float) -> None:
        if not self.is_idle:
            return
        if self.retired and self._peer_retired:
            self._end_sending()
        elif now_ms - self._used_ms >= IDLE_LIMIT_MS:
            self.retire()

    def _on_written(self) -> None:
        self._liveness.on_bytes_sent()
        if self._peer_retired:
            self._end_if_idle(self.environment.timers.now_ms)

    def _end_sending(self) -> None:
        """Closes the link; the connection ends when the peer has ended it too."""
        self._close()
        self.environment.timers.after(
            CLOSE_LIMIT_MS, lambda now_ms: self._scope.cancel()
        )

    def _retire(self, answer: bool) -> None:
        self.retired = True
        peer = self.peer_hello
        self.environment.log.debug(
            "link_retired", address=peer.host.address if peer is not None else ""
        )
        self.send_soon(wire.RetireMessage(answer))

    async def _receive_frames(self, nursery: trio.Nursery) -> None:
        buffer = wire.FrameDecoder(self.environment.settings.limits.frame_bytes)
        while data := await self._stream.receive_some(RECEIVE_BYTES):
            self._record_received()
            try:
                for message in buffer.feed(data):
                    self._count("in", message, buffer.last_frame_bytes)
                    await self._dispatch(message, nursery)
            except WireError as error:
                self.environment.metrics.frames_refused.labels(error.kind.value).inc()
                self.environment.log.warning("frame_refused", reason=str(error))
                return

    async def _dispatch(self, message: wire.Message, nursery: trio.Nursery) -> None:
        match message:
            case wire.ReplyMessage() | wire.ChunkMessage() | wire.RefusalMessage():
                self._deliver(message)
            case wire.CallMessage():
                self._accept_call(message, nursery)
            case wire.CreditMessage():
                self._grant_credit(message)
            case wire.CancelMessage():
                scope = self._scopes.get(message.stream_id)
                if scope is not None:
                    scope.cancel()
            case wire.PingMessage():
                if not message.answer:
                    self.send_soon(wire.PingMessage(True))
            case wire.RetireMessage():
                self._peer_retired = True
                if not message.answer:
                    self._retire(answer=True)
                self._end_if_idle(self.environment.timers.now_ms)
            case wire.Hello():
                self.peer_hello = message
                self.hello_received.set()
                await self._handler.on_hello(self, message)
            case _:
                await self._handler.on_control_message(self, message)

    def _accept_call(self, message: wire.Message, nursery: trio.Nursery) -> None:
        stream_id = message.stream_id
        if stream_id in self._scopes:
            raise WireError(
                ErrorKind.FRAME_INVALID, f"stream {stream_id} is already open"
            )
        self._scopes[stream_id] = trio.CancelScope()
        self._call_credits[stream_id] = trio.Semaphore(
            wire.INITIAL_CREDIT_CHUNKS, max_value=wire.INITIAL_CREDIT_CHUNKS
        )
        nursery.start_soon(self._serve, message)

    def _count(self, direction: str, message: wire.Message, size_bytes: int) -> None:
        if isinstance(message, wire.CONTROL_MESSAGES):
            counter = self.environment.metrics.control_bytes.labels(direction)
            counter.inc(size_bytes)

    def _deliver(self, message: wire.Message) -> None:
        exchange = self._exchanges.get(message.stream_id)
        if exchange is None:
            self.environment.metrics.late_answers.inc()
            return
        exchange.deliver(event_from_message(message))

    def _grant_credit(self, message: wire.Message) -> None:
        semaphore = self._call_credits.get(message.stream_id)
        if semaphore is None:
            return
        if not 0 < message.chunks <= wire.INITIAL_CREDIT_CHUNKS - semaphore.value:
            raise WireError(
                ErrorKind.CREDIT_OVERRUN,
                f"invalid credit grant of {message.chunks} chunks",
            )
        for _ in range(message.chunks):
            semaphore.release()

    async def _serve(self, message: wire.Message) -> None:
        stream_id = message.stream_id
        with self._scopes[stream_id]:
            try:
                await self._handler.on_call(self, message)
            except WireError:
                raise
            except Exception as error:
                self._refuse_failed_call(stream_id, error)
            finally:
                del self._scopes[stream_id]
                del self._call_credits[stream_id]

    def _refuse_failed_call(self, stream_id: int, error: Exception) -> None:
        self.environment.metrics.handler_failures.labels(PLACE).inc()
        self.environment.log.warning("call_failed", reason=repr(error))
        self.send_soon(
            wire.RefusalMessage(
                stream_id=stream_id,
                kind=ErrorKind.INTERNAL_ERROR.value,
                detail="the node failed",
                load=wire.load_to_message(Load()),
                home=[],
                fenced=False,
            )
        )
