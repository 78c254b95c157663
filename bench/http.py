"""A small HTTP client on h11 and trio streams, with little overhead for timing."""

import contextlib
import typing as t

import h11
import trio

MAX_IDLE_S = 60
RECEIVE_BYTES = 65_536
ERROR_HEADER = b"cactushook-error"


class Connection:
    """One keep-alive connection.

    Args:
        stream: the connected stream.
        address: host and port, for the ``host`` header.
    """

    def __init__(self, stream: trio.abc.Stream, address: str) -> None:
        self._stream = stream
        self._host = (b"host", address.encode())
        self._http = h11.Connection(h11.CLIENT)
        self.last_used_s = trio.current_time()

    async def get(self, target: str) -> str:
        """Sends a request, reads the whole answer and returns its error kind.

        The kind is empty for an answer without the error header.
        """
        request = h11.Request(method="GET", target=target, headers=[self._host])
        data = self._http.send(request) + self._http.send(h11.EndOfMessage())
        await self._stream.send_all(data)
        error = "no answer"
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._http.receive_data(await self._stream.receive_some(RECEIVE_BYTES))
            elif isinstance(event, h11.Response):
                headers = dict(event.headers)
                error = headers.get(ERROR_HEADER, b"").decode()
            elif isinstance(event, h11.EndOfMessage):
                self._http.start_next_cycle()
                return error

    async def close(self) -> None:
        """Closes the connection."""
        await self._stream.aclose()


class Pool:
    """Idle connections to one address; the last used one is reused first.

    Args:
        address: IP and port.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._idle: list[Connection] = []

    async def open(self, count: int, target: str) -> None:
        """Opens connections in advance and makes a call on each idle connection."""
        self._idle += [await self._connect() for _ in range(count)]
        for connection in self._idle:
            await connection.get(target)

    async def close(self) -> None:
        """Closes all idle connections."""
        while self._idle:
            await self._idle.pop().close()

    @contextlib.asynccontextmanager
    async def connection(self) -> t.AsyncIterator[Connection]:
        """Provides an idle or a new connection, and keeps it afterwards."""
        connection = await self._pop_idle() or await self._connect()
        yield connection
        connection.last_used_s = trio.current_time()
        self._idle.append(connection)

    async def _pop_idle(self) -> Connection | None:
        while self._idle:
            connection = self._idle.pop()
            if trio.current_time() - connection.last_used_s < MAX_IDLE_S:
                return connection
            await connection.close()
        return None

    async def _connect(self) -> Connection:
        ip, _, port = self._address.rpartition(":")
        stream = await trio.open_tcp_stream(ip, int(port))
        return Connection(stream, self._address)
