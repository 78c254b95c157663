"""The entry's HTTP edge: listeners for public and internal callers."""

import dataclasses
import select
import socket
import typing as t

import trio
from cactushook import ErrorKind
from cactushook import RequestError

from .caller_sockets import bind_caller_sockets
from .caller_sockets import CallerSockets
from .entry import Entry
from .entry_request import EntryRequest
from .environment import Environment
from .environment import Readiness
from .headers import find_header
from .http_server import AnswerTruncatedError
from .http_server import CallerGoneError
from .http_server import HttpConnection
from .http_server import HttpRequest
from .logs import MAX_REQUEST_ID_CHARACTERS

DISCONNECT_SWEEP_MS = 100
# Accepted at the most while the listeners close, so that a flood cannot delay a stop.
MAX_PENDING_ACCEPTS = 200
# How long callers of a starting node wait to be accepted; then they are refused.
READY_WAIT_MS = 500
PLACE = "edge"


@dataclasses.dataclass(frozen=True, slots=True)
class _Receiving:
    """A connection whose next request is awaited."""

    http: HttpConnection
    fd: int
    scope: trio.CancelScope

    @property
    def is_idle(self) -> bool:
        """Whether no part of a request has arrived, read or unread."""
        return self.http.is_idle and not _is_readable(self.fd)


@dataclasses.dataclass(frozen=True, slots=True)
class _Listening:
    """The listener of one address."""

    fd: int
    scope: trio.CancelScope
    closed: trio.Event

    @property
    def has_pending(self) -> bool:
        """Whether connections wait to be accepted."""
        return _is_readable(self.fd)


class Edge:
    """Turns HTTP requests into entry requests.

    A single task serves a connection and all of its requests.

    Args:
        environment: the node's central object.
        entry: serves the requests.
        sockets: at which callers connect; bound by `serve` if there are none yet.
    """

    def __init__(
        self,
        environment: Environment,
        entry: Entry,
        sockets: CallerSockets | None = None,
    ) -> None:
        self._environment = environment
        self._entry = entry
        self._sockets = sockets
        self._running: dict[int, trio.CancelScope] = {}
        self._receiving: dict[int, _Receiving] = {}
        self._listening: list[_Listening] = []
        self._stopped = False
        environment.timers.every(DISCONNECT_SWEEP_MS, self._cancel_abandoned)

    @property
    def is_idle(self) -> bool:
        """Whether no request runs or has arrived in part."""
        return not self._running and all(
            receiving.is_idle for receiving in self._receiving.values()
        )

    async def serve_once_ready(self) -> None:
        """Accepts callers once the node is ready, or after `READY_WAIT_MS`."""
        ready = trio.Event()

        def on_readiness(readiness: Readiness) -> None:
            if readiness.ready:
                ready.set()

        self._environment.board.readiness.watch(on_readiness)
        with trio.move_on_after(READY_WAIT_MS / 1_000):
            await ready.wait()
        await self.serve()

    async def serve(
        self, task_status: trio.TaskStatus[t.Any] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Accepts callers until cancelled, unless the edge has been stopped already."""
        if self._stopped:
            return
        sockets = self._sockets or bind_caller_sockets(self._environment.settings)
        async with trio.open_nursery() as nursery:
            await nursery.start(self._listen, sockets.public, False, nursery)
            await nursery.start(self._listen, sockets.internal, True, nursery)
            task_status.started()
            await trio.sleep_forever()

    async def stop_accepting(self) -> None:
        """Closes the listeners and idle connections.

        Requests that run and those that have arrived, also unread ones, are served.
        """
        for _ in range(MAX_PENDING_ACCEPTS):
            if not any(listening.has_pending for listening in self._listening):
                break
            await trio.lowlevel.checkpoint()
        self._stopped = True
        for listening in self._listening:
            listening.scope.cancel()
        for listening in self._listening:
            await listening.closed.wait()
        # The connections accepted last start to receive.
        await trio.lowlevel.checkpoint()
        for receiving in self._receiving.values():
            if receiving.is_idle:
                receiving.scope.cancel()

    async def receive(self, http: HttpConnection, fd: int) -> HttpRequest | None:
        """Returns a connection's next request, or None if there are no more."""
        with trio.CancelScope() as scope:
            receiving = _Receiving(http, fd, scope)
            if self._stopped and receiving.is_idle:
                return None
            self._receiving[fd] = receiving
            try:
                return await http.receive()
            finally:
                del self._receiving[fd]
        return None

    async def _listen(
        self,
        bound: socket.socket,
        internal: bool,
        handlers: trio.Nursery,
        task_status: trio.TaskStatus[t.Any],
    ) -> None:
        accept = Listener(self, self._environment, internal).accept
        listener = trio.SocketListener(trio.socket.from_stdlib_socket(bound))
        with trio.CancelScope() as scope:
            listening = _Listening(bound.fileno(), scope, trio.Event())
            self._listening.append(listening)
            await trio.serve_listeners(
                accept, [listener], handler_nursery=handlers, task_status=task_status
            )
        listening.closed.set()

    async def serve_request(
        self,
        http: HttpConnection,
        request: HttpRequest,
        fd: int,
        internal: bool,
        nested: bool,
    ) -> bool:
        """Serves one request and returns whether the connection can be reused."""
        # A new connection may have waited to be accepted, and any one while the loop
        # was late; its caller may have left meanwhile.
        may_have_waited = http.is_first_request or self._environment.lag.last_ms > 0
        if may_have_waited and _has_hung_up(fd):
            self._record_abandoned()
            http.reset()
            return False
        with trio.CancelScope() as scope:
            self._running[fd] = scope
            try:
                await self._serve(http, request, internal, nested)
            except AnswerTruncatedError as error:
                self._environment.metrics.answers_cut.labels(error.reason).inc()
                self._log_answer_cut(request, str(error))
                http.reset()
                return False
            except CallerGoneError as error:
                self._environment.metrics.refusals.labels(error.kind.value, PLACE).inc()
                if error.kind is ErrorKind.CALLER_TOO_SLOW:
                    self._log_answer_cut(request, error.kind.value)
                http.reset()
                return False
            except trio.Cancelled:
                http.reset_if_incomplete()
                raise
            finally:
                self._running.pop(fd, None)
        return not scope.cancelled_caught and http.prepare_next_request()

    async def _serve(
        self,
        http: HttpConnection,
        request: HttpRequest,
        internal: bool,
        nested: bool,
    ) -> None:
        entry_request = EntryRequest(
            request.method,
            request.target,
            request.headers,
            request.body,
            internal,
            nested,
        )
        try:
            await self._entry.serve(entry_request, http.emit)
        except (AnswerTruncatedError, CallerGoneError):
            raise
        except Exception as error:
            self._environment.metrics.handler_failures.labels(PLACE).inc()
            self._environment.log.warning("request_failed", reason=repr(error))
            await http.refuse(ErrorKind.INTERNAL_ERROR, "the node failed")

    def _cancel_abandoned(self, now_ms: float) -> None:
        """Cancels requests whose callers have closed their connections."""
        if not self._running:
            return
        poll = select.poll()
        for fd in self._running:
            poll.register(fd, select.POLLRDHUP)
        for fd, _ in poll.poll(0):
            self._record_abandoned()
            self._running.pop(fd).cancel()

    def _log_answer_cut(self, request: HttpRequest, reason: str) -> None:
        environment = self._environment
        request_id = find_header(request.headers, environment.headers.request_id)
        environment.log.warning(
            "answer_cut",
            request_id=request_id.decode("latin-1")[:MAX_REQUEST_ID_CHARACTERS],
            reason=reason,
        )

    def _record_abandoned(self) -> None:
        kind = ErrorKind.CANCELLED.value
        self._environment.metrics.refusals.labels(kind, PLACE).inc()


def _is_readable(fd: int) -> bool:
    return _has_event(fd, select.POLLIN)


def _has_hung_up(fd: int) -> bool:
    return _has_event(fd, select.POLLRDHUP)


def _has_event(fd: int, event: int) -> bool:
    poll = select.poll()
    poll.register(fd, event)
    return bool(poll.poll(0))


class Listener:
    """Accepts connections on one address and limits their number.

    Args:
        edge: serves the requests.
        environment: the node's central object.
        internal: whether the callers are the users' internal services.
    """

    def __init__(self, edge: Edge, environment: Environment, internal: bool) -> None:
        self._edge = edge
        self._log = environment.log
        self._metrics = environment.metrics
        self._environment = environment
        self._internal = internal
        self._worker_ip = environment.settings.worker.address.rpartition(":")[0]
        self._open_count = 0

    async def accept(self, stream: trio.SocketStream) -> None:
        """Serves one connection until it ends."""
        self._open_count += 1
        try:
            limits = self._environment.edge_limits
            http = HttpConnection(stream, limits, self._is_leaving)
            if self._open_count <= limits.connections:
                await self._serve_connection(http, stream)
            elif self._open_count <= 2 * limits.connections:
                await self._refuse(
                    http,
                    ErrorKind.TOO_MANY_CONNECTIONS,
                    f"more than {limits.connections} connections are open",
                )
        except Exception as error:
            self._metrics.handler_failures.labels(PLACE).inc()
            self._log.warning("connection_failed", reason=repr(error))
        finally:
            self._open_count -= 1

    def _is_leaving(self) -> bool:
        return self._environment.board.leaving.value

    async def _serve_connection(
        self, http: HttpConnection, stream: trio.SocketStream
    ) -> None:
        fd = stream.socket.fileno()
        nested = stream.socket.getpeername()[0] == self._worker_ip
        try:
            while (request := await self._edge.receive(http, fd)) is not None:
                if not await self._edge.serve_request(
                    http, request, fd, self._internal, nested
                ):
                    return
                http.limits = self._environment.edge_limits
        except RequestError as error:
            await self._refuse(http, error.kind, error.message)

    async def _refuse(self, http: HttpConnection, kind: ErrorKind, detail: str) -> None:
        self._metrics.refusals.labels(kind.value, PLACE).inc()
        try:
            await http.refuse_and_close(kind, detail)
        except (CallerGoneError, trio.BrokenResourceError):
            return
