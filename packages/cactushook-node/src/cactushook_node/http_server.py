"""HTTP/1.1 server connections for callers, on h11 and trio streams."""

import dataclasses
import re
import socket
import struct
import typing as t

import h11
import msgspec
import trio
from cactushook import ERROR_RESPONSES
from cactushook import ErrorKind
from cactushook import RequestError
from cactushook import retries

from .http_messages import Headers
from .http_messages import ReplyChunk
from .http_messages import ReplyEvent
from .http_messages import ReplyRefused
from .http_messages import ReplyStart
from .settings import EdgeLimits

LINGER_S = 1.0
RECEIVE_BYTES = 65_536
BAD_FRAMING = "bad_framing"
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_HEADER_OVERHEAD_BYTES = len(b": \r\n")
# Statuses that come with the time after which a caller may retry.
_RETRY_AFTER_STATUSES = (429, 503)
_UNAUTHORIZED = 401
_CHALLENGE = ((b"www-authenticate", b"Bearer"),)
# The part of h11's messages before what they quote of a request, which may hold a key.
_PROTOCOL_FAULT = re.compile(r"[\w /.-]*")
_BODILESS_STATUSES = (204, 304)


class AnswerTruncatedError(Exception):
    """The rest of an answer is not available; the connection is reset.

    Args:
        reason: code of the reason, a label of a metric.
        detail: what happened.
    """

    def __init__(self, reason: str, detail: str = "") -> None:
        super().__init__(f"{reason}: {detail}")
        self.reason = reason


class CallerGoneError(Exception):
    """The caller closed its connection or reads its answer too slowly.

    Args:
        kind: ``CANCELLED`` or ``CALLER_TOO_SLOW``.
    """

    def __init__(self, kind: ErrorKind) -> None:
        super().__init__(kind.value)
        self.kind = kind


class RefusalBody(msgspec.Struct, frozen=True):
    """Body of a refusal, as JSON."""

    error: str
    ran: str
    retry: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request; header names are in lower case."""

    method: str
    target: bytes
    headers: Headers
    body: bytes


class HttpConnection:
    """Reads requests from one caller's connection and writes their answers in turn.

    Args:
        stream: the open connection.
        limits: limits on what the caller may send.
        is_leaving: returns whether answers announce that the connection closes.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        limits: EdgeLimits,
        is_leaving: t.Callable[[], bool] = bool,
    ) -> None:
        self._stream = stream
        self.limits = limits
        self._is_leaving = is_leaving
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        self._served_count = 0
        self._is_writing = False
        self.started = False

    @property
    def is_idle(self) -> bool:
        """Whether no part of a request has arrived."""
        return self._http.their_state is h11.IDLE and not self._http.trailing_data[0]

    @property
    def is_first_request(self) -> bool:
        """Whether no request of the connection has been answered yet."""
        return self._served_count == 0

    async def receive(self) -> HttpRequest | None:
        """Returns the next request, or None if the caller sends no more.

        Raises:
            RequestError: the request exceeds a limit or is not HTTP; the caller of
                this method must answer with `refuse` and close the connection.
        """
        self.started = False
        idle_s = self.limits.idle_timeout_ms / 1_000
        if not self._served_count:
            idle_s = max(idle_s, self._slow_caller_timeout_s)
        with trio.move_on_after(idle_s) as scope:
            try:
                return await self._receive(scope)
            except h11.RemoteProtocolError as error:
                raise _request_error_from(error) from error
            except trio.BrokenResourceError:
                return None
        if self.is_idle:
            return None
        raise RequestError(
            ErrorKind.CALLER_TOO_SLOW, "the request did not arrive in time"
        )

    async def emit(self, event: ReplyEvent) -> None:
        """Writes one event of the answer.

        Raises:
            AnswerTruncatedError: the rest of the answer is not available.
            CallerGoneError: the caller closed the connection or reads too slowly.
        """
        match event:
            case ReplyStart(status, headers, body, last):
                await self._write_start(status, headers, body, last)
            case ReplyChunk(data, last):
                await self._write(self._encode(data, last))
            case ReplyRefused(kind, detail):
                await self.refuse(kind, detail, _retry_after_headers(event))

    async def refuse(self, kind: ErrorKind, detail: str, extra: Headers = ()) -> None:
        """Answers with an error kind; truncates an answer that has started.

        Raises:
            AnswerTruncatedError: the answer has started.
        """
        if self.started:
            raise AnswerTruncatedError(kind.value, detail)
        response = ERROR_RESPONSES[kind]
        advice = retries.retry_advice(kind).value
        body = RefusalBody(kind.value, response.ran.value, advice, detail)
        headers = (*refusal_headers(kind), *extra)
        await self._write_start(
            response.status, headers, msgspec.json.encode(body), True
        )

    def prepare_next_request(self) -> bool:
        """Prepares for the next request and returns whether there can be one."""
        http = self._http
        if http.our_state is h11.DONE and http.their_state is h11.DONE:
            http.start_next_cycle()
            self._served_count += 1
            return True
        return False

    async def refuse_and_close(self, kind: ErrorKind, detail: str) -> None:
        """Refuses, then discards further data so that the refusal arrives."""
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        await self.refuse(kind, detail, ((b"connection", b"close"),))
        if isinstance(self._stream, trio.abc.HalfCloseableStream):
            with trio.move_on_after(LINGER_S):
                await self._stream.send_eof()
                while await self._stream.receive_some(RECEIVE_BYTES):
                    pass

    def reset_if_incomplete(self) -> None:
        """Makes the close a reset if only a part of an answer was written."""
        if self._is_writing or self._http.our_state is h11.SEND_BODY:
            self.reset()

    def reset(self) -> None:
        """Makes the close a TCP reset, which no caller takes for the answer's end."""
        if isinstance(self._stream, trio.SocketStream):
            self._stream.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )

    @property
    def _slow_caller_timeout_s(self) -> float:
        return self.limits.slow_caller_timeout_ms / 1_000

    async def _receive(self, scope: trio.CancelScope) -> HttpRequest | None:
        if not self.is_idle:
            self._limit_receiving(scope)
        head = await self._next_event(scope)
        if not isinstance(head, h11.Request):
            return None
        self._check_head(head)
        if self._http.they_are_waiting_for_100_continue:
            proceed = h11.InformationalResponse(status_code=100, headers=[])
            await self._stream.send_all(self._http.send(proceed))
        body = await self._receive_body(scope)
        headers = tuple((bytes(name), bytes(value)) for name, value in head.headers)
        return HttpRequest(head.method.decode(), bytes(head.target), headers, body)

    async def _receive_body(self, scope: trio.CancelScope) -> bytes:
        limit_bytes = self.limits.body_bytes
        body = bytearray()
        while True:
            event = await self._next_event(scope)
            if not isinstance(event, h11.Data):
                return bytes(body)
            body += event.data
            if len(body) > limit_bytes:
                raise RequestError(
                    ErrorKind.BODY_TOO_LARGE, f"the body exceeds {limit_bytes} bytes"
                )

    async def _next_event(self, scope: trio.CancelScope) -> t.Any:
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            is_first_part = self.is_idle
            data = await self._stream.receive_some(RECEIVE_BYTES)
            if is_first_part:
                self._limit_receiving(scope)
            self._http.receive_data(data)

    def _limit_receiving(self, scope: trio.CancelScope) -> None:
        scope.deadline = trio.current_time() + self._slow_caller_timeout_s

    def _check_head(self, head: h11.Request) -> None:
        limits = self.limits
        if len(head.target) > limits.target_bytes:
            raise RequestError(
                ErrorKind.TARGET_TOO_LONG,
                f"the target exceeds {limits.target_bytes} bytes",
            )
        if len(head.headers) > limits.header_count:
            raise RequestError(
                ErrorKind.HEADER_TOO_LARGE,
                f"the request has more than {limits.header_count} headers",
            )
        size_bytes = len(head.method) + len(head.target)
        names = set()
        for name, value in head.headers:
            size_bytes += len(name) + len(value) + _HEADER_OVERHEAD_BYTES
            names.add(name)
        if size_bytes > limits.header_bytes:
            raise RequestError(
                ErrorKind.HEADER_TOO_LARGE,
                f"the headers exceed {limits.header_bytes} bytes",
            )
        if b"transfer-encoding" in names and b"content-length" in names:
            raise RequestError(
                ErrorKind.REQUEST_INVALID,
                "the request has both content-length and transfer-encoding",
            )
        if head.method == b"CONNECT":
            raise RequestError(
                ErrorKind.REQUEST_INVALID, "method CONNECT is not supported"
            )

    async def _write_start(
        self, status: int, headers: Headers, body: bytes, last: bool
    ) -> None:
        head = h11.Response(
            status_code=status,
            headers=self._add_framing_headers(status, headers, body, last),
        )
        try:
            data = self._http.send(head)
        except h11.LocalProtocolError as error:
            raise AnswerTruncatedError(BAD_FRAMING, str(error)) from error
        data += self._encode(body, last)
        self.started = True
        await self._write(data)

    def _add_framing_headers(
        self, status: int, headers: Headers, body: bytes, last: bool
    ) -> list[tuple[bytes, bytes]]:
        framed = list(headers)
        if self._is_leaving() and (b"connection", b"close") not in framed:
            framed.append((b"connection", b"close"))
        if not last or status in _BODILESS_STATUSES:
            return framed
        if any(name == b"content-length" for name, _ in headers):
            return framed
        framed.append((b"content-length", str(len(body)).encode()))
        return framed

    def _encode(self, body: bytes, last: bool) -> bytes:
        try:
            data = self._http.send(h11.Data(data=body)) if body else b""
            if last:
                data += self._http.send(h11.EndOfMessage())
        except h11.LocalProtocolError as error:
            raise AnswerTruncatedError(BAD_FRAMING, str(error)) from error
        return data

    async def _write(self, data: bytes) -> None:
        self._is_writing = True
        try:
            with trio.fail_after(self._slow_caller_timeout_s):
                await self._stream.send_all(data)
            self._is_writing = False
        except trio.TooSlowError as error:
            raise CallerGoneError(ErrorKind.CALLER_TOO_SLOW) from error
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallerGoneError(ErrorKind.CANCELLED) from error


def refusal_headers(kind: ErrorKind) -> Headers:
    """Returns the headers that describe a refusal to a caller."""
    response = ERROR_RESPONSES[kind]
    challenge = _CHALLENGE if response.status == _UNAUTHORIZED else ()
    return (
        *challenge,
        (b"content-type", b"application/json"),
        (b"cactushook-error", kind.value.encode()),
        (b"cactushook-ran", response.ran.value.encode()),
        (b"cactushook-retry", retries.retry_advice(kind).value.encode()),
    )


def _retry_after_headers(event: ReplyRefused) -> Headers:
    status = ERROR_RESPONSES[event.kind].status
    if event.retry_after_ms <= 0 or status not in _RETRY_AFTER_STATUSES:
        return ()
    return ((b"retry-after", f"{event.retry_after_ms / 1_000:.3f}".encode()),)


def _request_error_from(error: h11.RemoteProtocolError) -> RequestError:
    if error.error_status_hint == 431:
        return RequestError(ErrorKind.HEADER_TOO_LARGE, "the headers are too large")
    fault = _PROTOCOL_FAULT.match(str(error))
    reason = fault.group().strip() if fault else ""
    return RequestError(ErrorKind.REQUEST_INVALID, f"not HTTP/1.1: {reason}")
