"""Reads HTTP answers of the platform within limits on length and time."""

import dataclasses
import typing as t

import httpcore
import trio
from cactushook import ErrorKind
from cactushook import SourceError


@dataclasses.dataclass(frozen=True, slots=True)
class CallLimits:
    """Limits of one call.

    Attributes:
        connect_s: longest wait for a new connection.
        pool_s: longest wait for a free connection of the pool.
        read_s: longest wait for the next bytes.
        total_s: longest time of the whole call.
        answer_bytes: greatest length of the answer's body.
    """

    connect_s: float
    pool_s: float
    read_s: float
    total_s: float
    answer_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A complete answer."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


def _ignore(size_bytes: int) -> None:
    pass


async def _raise_write_error(event: str, info: dict[str, t.Any]) -> None:
    """Ends a call whose request could not be sent.

    httpcore drops this error and reads the answer. If the error was that of a reset,
    reading then ends as after an orderly close, and a part of an answer looks whole.
    """
    if event.startswith("http11.send_request_") and event.endswith(".failed"):
        error = info["exception"]
        if isinstance(error, httpcore.WriteError):
            raise SourceError(ErrorKind.SOURCE_UNREACHABLE, repr(error)) from error


async def get(
    pool: httpcore.AsyncConnectionPool,
    url: str,
    limits: CallLimits,
    on_received: t.Callable[[int], None] = _ignore,
) -> HttpAnswer:
    """Sends a GET request and reads the answer; one that does not end is given up.

    Args:
        pool: opens and keeps the connections.
        url: the target.
        limits: limits of the call.
        on_received: called with the length of each part of the body.

    Raises:
        SourceError: there is no answer within the limits.
    """
    timeout = {
        "connect": limits.connect_s,
        "read": limits.read_s,
        "write": limits.read_s,
        "pool": limits.pool_s,
    }
    try:
        with trio.fail_after(limits.total_s):
            extensions = {"timeout": timeout, "trace": _raise_write_error}
            async with pool.stream("GET", url, extensions=extensions) as response:
                body = await _read_body(response, limits.answer_bytes, on_received)
                return HttpAnswer(response.status, tuple(response.headers), body)
    except (
        httpcore.NetworkError,
        httpcore.TimeoutException,
        httpcore.ProtocolError,
        trio.TooSlowError,
    ) as error:
        raise SourceError(ErrorKind.SOURCE_UNREACHABLE, repr(error)) from error


async def _read_body(
    response: httpcore.Response,
    limit_bytes: int,
    on_received: t.Callable[[int], None],
) -> bytes:
    body = bytearray()
    async for part in t.cast(t.AsyncIterable[bytes], response.aiter_stream()):
        body += part
        on_received(len(part))
        if len(body) > limit_bytes:
            raise SourceError(
                ErrorKind.SOURCE_UNREACHABLE,
                f"the answer is longer than {limit_bytes} bytes",
            )
    return bytes(body)
