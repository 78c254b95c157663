"""HTTP client of this host's backend server, on h11 and trio streams."""

import contextlib
import dataclasses
import select
import typing as t

import h11
import trio
from cactushook import ErrorKind
from cactushook import RequestError

from .headers import find_header
from .headers import HeaderNames
from .http_messages import check_status
from .http_messages import Headers
from .http_messages import remove_hop_by_hop
from .http_messages import WorkerRequest
from .settings import WorkerSettings

KEEPALIVE_EXPIRY_S = 60
# Connections are reused within this share of the idle timeout that the backend server
# announces, so that it does not close one while a request is on its way.
KEEPALIVE_SHARE = 0.8
RECEIVE_BYTES = 65_536
MAX_HEAD_BYTES = 65_536
MAX_STRAY_ANSWERS = 4
MAX_INFORMATIONAL_RESPONSES = 16
# Limits on the body of a refusal or of an answer to another request, which is read
# only to reuse the connection.
MAX_DISCARDED_BYTES = 65_536
DISCARD_TIMEOUT_S = 0.25
_BODILESS_METHODS = frozenset(("GET", "HEAD", "DELETE", "OPTIONS", "TRACE"))
_REPLACED_HEADERS = frozenset((b"content-length", b"expect"))
_MISDIRECTED = 421


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerReply:
    """A backend server's answer whose body is still arriving.

    Attributes:
        status: HTTP status.
        headers: headers without hop-by-hop ones.
        body: parts of the body, of any length.
    """

    status: int
    headers: Headers
    body: t.AsyncIterable[bytes]


class WorkerClient:
    """Sends requests to the backend server over persistent connections.

    Args:
        settings: address of the backend server and connect timeout.
        names: header names.
        connections: maximum number of open connections.
    """

    def __init__(
        self, settings: WorkerSettings, names: HeaderNames, connections: int
    ) -> None:
        self._settings = settings
        self._names = names
        self._max_connections = connections
        self._open_count = 0
        self._idle_connections: list[_Connection] = []

    @contextlib.asynccontextmanager
    async def send(
        self,
        request: WorkerRequest,
        requires_request_id: bool = True,
        on_connected: t.Callable[[], None] | None = None,
    ) -> t.AsyncIterator[WorkerReply]:
        """Sends a request and yields its reply.

        A request without an id gets a connection of its own if answers are matched by
        id, since an answer to an earlier request could not be told apart.

        Args:
            request: the request.
            requires_request_id: whether the answer must carry the request's id.
            on_connected: called when the request is about to be sent; it does not run
                before.

        Raises:
            RequestError: ``WORKER_UNREACHABLE``, ``WORKER_REJECTED`` or
                ``WORKER_REPLACED`` if the request certainly did not run,
                ``WORKER_LOST`` or ``ANSWER_INVALID`` if it may have.
        """
        encoded = _EncodedRequest(request, self._settings.address)
        has_id = self._is_identified(encoded)
        if has_id:
            connection = await self._acquire_connection()
        else:
            connection = await self._open_connection()
        reusable = False
        if on_connected is not None:
            on_connected()
        try:
            yield await connection.exchange(encoded, self._names, requires_request_id)
            reusable = connection.is_finished
        except (trio.BrokenResourceError, h11.RemoteProtocolError) as error:
            raise RequestError(
                ErrorKind.WORKER_LOST, f"connection lost: {error!r}"
            ) from error
        except RequestError as error:
            reusable = (
                error.kind is ErrorKind.WORKER_REJECTED and connection.is_finished
            )
            raise
        finally:
            if reusable and has_id:
                self._idle_connections.append(connection)
            else:
                self._discard(connection)

    async def probe(self) -> bool:
        """Returns whether the backend server accepts a connection, and keeps it.

        A client that may open no further connection takes the open ones as proof.
        """
        if self._open_count >= self._max_connections:
            return True
        try:
            self._idle_connections.append(await self._open_connection())
        except RequestError:
            return False
        return True

    def close_idle_connections(self) -> None:
        """Closes all connections that no request uses."""
        while self._idle_connections:
            self._discard(self._idle_connections.pop())

    def _is_identified(self, encoded: "_EncodedRequest") -> bool:
        name = self._names.request_id
        return not name or bool(find_header(encoded.headers, name))

    async def _acquire_connection(self) -> "_Connection":
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if connection.is_usable:
                return connection
            self._discard(connection)
        return await self._open_connection()

    async def _open_connection(self) -> "_Connection":
        if self._open_count >= self._max_connections:
            raise RequestError(
                ErrorKind.WORKER_UNREACHABLE,
                f"all {self._max_connections} connections are in use",
            )
        self._open_count += 1
        try:
            return await self._connect()
        except BaseException:
            self._open_count -= 1
            raise

    async def _connect(self) -> "_Connection":
        ip, _, port = self._settings.address.rpartition(":")
        try:
            with trio.fail_after(self._settings.connect_timeout_ms / 1_000):
                return _Connection(await trio.open_tcp_stream(ip, int(port)))
        except (OSError, trio.TooSlowError) as error:
            raise RequestError(
                ErrorKind.WORKER_UNREACHABLE, f"no connection: {error!r}"
            ) from error

    def _discard(self, connection: "_Connection") -> None:
        connection.close()
        self._open_count -= 1


class _EncodedRequest:
    """Holds an encoded request and creates parsers for its answers."""

    def __init__(self, request: WorkerRequest, address: str) -> None:
        headers = [h for h in request.headers if h[0] not in _REPLACED_HEADERS]
        if all(name != b"host" for name, _ in headers):
            headers.append((b"host", address.encode()))
        if request.body or request.method not in _BODILESS_METHODS:
            headers.append((b"content-length", str(len(request.body)).encode()))
        self.headers: Headers = tuple(headers)
        self._request = request
        self.data, self.first_parser = self._encode()

    def create_parser(self) -> h11.Connection:
        """Returns a parser for another answer on the same connection."""
        return self._encode()[1]

    def _encode(self) -> tuple[bytes, h11.Connection]:
        request = self._request
        http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        try:
            head = h11.Request(
                method=request.method, target=request.target, headers=self.headers
            )
            data = http.send(head)
            if request.body:
                data += http.send(h11.Data(data=request.body))
            return data + http.send(h11.EndOfMessage()), http
        except h11.LocalProtocolError as error:
            raise RequestError(
                ErrorKind.REQUEST_INVALID, f"the request cannot be forwarded: {error}"
            ) from error


class _Connection:
    """One connection to the backend server."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._http: h11.Connection | None = None
        self._idle_since_s = trio.current_time()
        self._expiry_s: float = KEEPALIVE_EXPIRY_S
        self._unsent = b""
        # The kernel reports the error of a reset once. After a send took it, receiving
        # returns an orderly end.
        self._send_error: OSError | None = None
        self._poll = select.poll()
        self._poll.register(stream.socket.fileno(), select.POLLIN)

    @property
    def is_usable(self) -> bool:
        """Whether the connection can be reused for a request.

        It cannot if it was idle for too long, or if the peer has closed it or sent
        unsolicited data.
        """
        idle_s = trio.current_time() - self._idle_since_s
        return idle_s < self._expiry_s and not self._poll.poll(0)

    @property
    def is_finished(self) -> bool:
        """Whether the answer was read to its end and the connection can be reused.

        Bytes after an answer belong to no request, so the connection is not reused.
        """
        http = self._http
        if http is None or self._unsent or http.trailing_data[0]:
            return False
        return http.our_state is h11.DONE and http.their_state is h11.DONE

    def close(self) -> None:
        """Closes the connection at once."""
        self._stream.socket.close()

    async def exchange(
        self, encoded: _EncodedRequest, names: HeaderNames, requires_request_id: bool
    ) -> WorkerReply:
        """Sends a request and returns its reply.

        Skips answers to earlier requests, which their request ids identify.
        """
        request_id = find_header(encoded.headers, names.request_id)
        self._http = encoded.first_parser
        await self._send(encoded.data)
        for _ in range(MAX_STRAY_ANSWERS):
            response, headers = await self._read_head()
            answered_id = find_header(headers, names.request_id)
            if answered_id == request_id or not request_id:
                refusal = None
                if requires_request_id:
                    refusal = _find_refusal(response.status_code, headers, names)
                if refusal is None:
                    return WorkerReply(response.status_code, headers, self._read_body())
                await self._discard_body()
                raise refusal
            if not answered_id and not requires_request_id:
                return WorkerReply(response.status_code, headers, self._read_body())
            await self._skip_answer(encoded)
        raise RequestError(
            ErrorKind.ANSWER_INVALID, "the connection carries answers to other requests"
        )

    async def _send(self, data: bytes) -> None:
        """Sends what the socket accepts at once; the rest is sent while reading."""
        try:
            sent = await self._stream.socket.send(data)
        except OSError as error:
            raise trio.BrokenResourceError(f"cannot send: {error}") from error
        self._unsent = data[sent:]

    async def _read_head(self) -> tuple[h11.Response, Headers]:
        for _ in range(MAX_INFORMATIONAL_RESPONSES):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                check_status(event.status_code)
                self._record_expiry(event.headers)
                headers = remove_hop_by_hop(event.headers)
                if find_header(headers, b"content-encoding"):
                    raise RequestError(
                        ErrorKind.ANSWER_INVALID, "the answer's body is encoded"
                    )
                return event, headers
            if not isinstance(event, h11.InformationalResponse):
                raise RequestError(
                    ErrorKind.ANSWER_INVALID, "the connection ended before an answer"
                )
        raise RequestError(
            ErrorKind.ANSWER_INVALID, "too many informational responses arrived"
        )

    async def _skip_answer(self, encoded: _EncodedRequest) -> None:
        await self._discard_body()
        http = t.cast(h11.Connection, self._http)
        if http.their_state is not h11.DONE:
            raise RequestError(
                ErrorKind.WORKER_LOST,
                "the connection ended within an answer to another request",
            )
        self._http = encoded.create_parser()
        if http.trailing_data[0]:
            self._http.receive_data(http.trailing_data[0])

    async def _discard_body(self) -> None:
        """Reads a short body to its end.

        Raises:
            RequestError: ``ANSWER_INVALID`` if the body exceeds the limits, since an
                answer that does not end proves nothing about the request.
        """
        size_bytes = 0
        with trio.move_on_after(DISCARD_TIMEOUT_S) as scope:
            async for part in self._read_body():
                size_bytes += len(part)
                if size_bytes > MAX_DISCARDED_BYTES:
                    break
        if size_bytes > MAX_DISCARDED_BYTES or scope.cancelled_caught:
            raise RequestError(ErrorKind.ANSWER_INVALID, "the answer does not end")

    async def _read_body(self) -> t.AsyncIterator[bytes]:
        while not isinstance(event := await self._next_event(), h11.EndOfMessage):
            yield bytes(event.data)
        self._idle_since_s = trio.current_time()

    async def _next_event(self) -> t.Any:
        http = t.cast(h11.Connection, self._http)
        while (event := http.next_event()) is h11.NEED_DATA:
            if self._unsent:
                await self._send_or_wait()
            data = await self._stream.receive_some(RECEIVE_BYTES)
            if not data and self._send_error is not None:
                raise trio.BrokenResourceError(
                    f"reset while sending: {self._send_error}"
                ) from self._send_error
            http.receive_data(data)
        return event

    async def _send_or_wait(self) -> None:
        """Sends the rest of the request, but returns as soon as an answer arrives."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_rest, nursery.cancel_scope)
            await trio.lowlevel.wait_readable(self._stream.socket)
            nursery.cancel_scope.cancel()

    async def _send_rest(self, scope: trio.CancelScope) -> None:
        while self._unsent:
            try:
                sent = await self._stream.socket.send(self._unsent)
            except OSError as error:
                # Data that the peer sent before it closed can still be read.
                self._send_error = error
                break
            self._unsent = self._unsent[sent:]
        scope.cancel()

    def _record_expiry(self, headers: t.Iterable[tuple[bytes, bytes]]) -> None:
        for name, value in headers:
            if name == b"keep-alive":
                self._expiry_s = KEEPALIVE_SHARE * _parse_keepalive_timeout_s(value)


def _parse_keepalive_timeout_s(value: bytes) -> float:
    """Returns the idle timeout in a ``Keep-Alive`` header, limited to the default."""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return min(float(number), KEEPALIVE_EXPIRY_S)
    return KEEPALIVE_EXPIRY_S


def _find_refusal(
    status: int, headers: Headers, names: HeaderNames
) -> RequestError | None:
    """Returns the error for an answer that is no valid result of the request."""
    if status == _MISDIRECTED and names.target_instance:
        return RequestError(
            ErrorKind.WORKER_REPLACED, "another instance of the backend server answered"
        )
    if find_header(headers, names.not_executed):
        return RequestError(
            ErrorKind.WORKER_REJECTED,
            f"the backend server answered {status} without running the request",
        )
    succeeded = 200 <= status < 300
    if succeeded and names.signature and not find_header(headers, names.signature):
        return RequestError(ErrorKind.ANSWER_INVALID, "the answer is not signed")
    return None
