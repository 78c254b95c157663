"""Requests to backend servers and the events of their answers."""

import dataclasses
import typing as t

import h11
from cactushook import ErrorKind
from cactushook import HostRecord
from cactushook import Load
from cactushook import RequestError

# Of final responses, in RFC 9110.
MIN_STATUS = 200
MAX_STATUS = 599

Headers: t.TypeAlias = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerRequest:
    """An HTTP request as it is sent to the backend server.

    Attributes:
        method: HTTP method.
        target: path and query.
        headers: end-to-end headers; hop-by-hop headers are removed.
        body: the complete body.
    """

    method: str
    target: bytes
    headers: Headers
    body: bytes

    def with_headers(self, added: Headers) -> "WorkerRequest":
        """Returns the request with further headers, except those with an empty name."""
        named = (header for header in added if header[0])
        return dataclasses.replace(self, headers=(*self.headers, *named))


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyStart:
    """Status, headers and first part of the body; `last` if no part follows."""

    status: int
    headers: Headers
    body: bytes
    last: bool
    load: Load


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyChunk:
    """A further part of the body; `last` if no part follows."""

    data: bytes
    last: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyRefused:
    """An error kind that replaces an answer or the rest of one."""

    kind: ErrorKind
    detail: str
    load: Load | None = None
    home: HostRecord | None = None
    fenced: bool = False
    retry_after_ms: int = 0


ReplyEvent: t.TypeAlias = ReplyStart | ReplyChunk | ReplyRefused
Emit: t.TypeAlias = t.Callable[[ReplyEvent], t.Awaitable[None]]

HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


def remove_hop_by_hop(headers: t.Iterable[tuple[bytes, bytes]]) -> Headers:
    """Removes headers that apply to a single connection; lower-cases the names."""
    lowered = [(bytes(name).lower(), bytes(value)) for name, value in headers]
    dropped = HOP_BY_HOP
    for name, value in lowered:
        if name == b"connection":
            dropped = dropped | {token.strip() for token in value.lower().split(b",")}
    return tuple(header for header in lowered if header[0] not in dropped)


def check_status(status: int) -> None:
    """Checks the status of a final response.

    Raises:
        RequestError: ``ANSWER_INVALID`` if HTTP has no such status.
    """
    if not MIN_STATUS <= status <= MAX_STATUS:
        raise RequestError(ErrorKind.ANSWER_INVALID, f"the answer's status is {status}")


def check_start(start: ReplyStart) -> None:
    """Checks an answer of another node, which h11 has not parsed.

    Raises:
        RequestError: ``ANSWER_INVALID`` if HTTP has no such status or headers.
    """
    check_status(start.status)
    try:
        h11.Response(status_code=start.status, headers=list(start.headers))
    except h11.LocalProtocolError as error:
        raise RequestError(ErrorKind.ANSWER_INVALID, str(error)) from error
