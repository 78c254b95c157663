"""Names of the headers that the node reads and sets, taken from the settings."""

import dataclasses
import uuid

from cactushook import ErrorKind
from cactushook import RequestError

from .settings import HeaderSettings

MAX_DIGITS = 9


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names in lower case; an empty name is neither read nor set.

    Attributes:
        request_id: identifier of a request, echoed by the backend server.
        timeout_ms: time for which the sender waits, in milliseconds.
        hops: number of services that the request has passed through.
        attempts: number of remaining attempts.
        caller_service: service of the host whose entry forwards the request.
        target_instance: the backend server's instance that may run the request.
        signature: proof that an answer is the backend server's.
        not_executed: present if the backend server did not run the request.
        cold_remaining_ms: how much longer the backend server stays cold.
        workspace: name of the caller's workspace.
        instance: id that changes with each start of the backend server.
    """

    request_id: bytes
    timeout_ms: bytes
    hops: bytes
    attempts: bytes
    caller_service: bytes
    target_instance: bytes
    signature: bytes
    not_executed: bytes
    cold_remaining_ms: bytes
    workspace: bytes
    instance: bytes

    @property
    def overridden(self) -> frozenset[bytes]:
        """Names of the caller's headers that the node replaces."""
        names = (
            self.timeout_ms,
            self.hops,
            self.attempts,
            self.caller_service,
            self.target_instance,
            self.workspace,
        )
        return frozenset(name for name in names if name)


def load_header_names(settings: HeaderSettings, instance: str) -> HeaderNames:
    """Returns the header names from the settings, in lower case.

    Args:
        settings: all names except ``instance``.
        instance: name of the header that identifies the backend server's instance.
    """
    fields = [field.name for field in dataclasses.fields(HeaderNames)]
    names = [getattr(settings, name) for name in fields if name != "instance"]
    return HeaderNames(*(text.lower().encode() for text in (*names, instance)))


def parse_number(value: bytes) -> int | None:
    """Returns the number in a header's value, or None if it is not a valid number."""
    if not value.isdigit() or len(value) > MAX_DIGITS:
        return None
    return int(value)


def find_header(headers: tuple[tuple[bytes, bytes], ...], name: bytes) -> bytes:
    """Returns the value of a header, or empty bytes; ``name`` is in lower case."""
    if not name:
        return b""
    return next((value for key, value in headers if key == name), b"")


def parse_issued_ms(key: str, header: str) -> float:
    """Returns when a key was issued, in milliseconds since the epoch.

    Args:
        key: the key, a UUID of version 7.
        header: name of the header that holds it.

    Raises:
        RequestError: there is no key, or it is not valid.
    """
    if not key:
        raise RequestError(ErrorKind.KEY_MISSING, f"header {header!r} is missing")
    try:
        parsed = uuid.UUID(key)
    except ValueError as error:
        raise RequestError(
            ErrorKind.REQUEST_INVALID, f"header {header!r} is not a UUID"
        ) from error
    if parsed.version != 7:
        raise RequestError(
            ErrorKind.REQUEST_INVALID, f"header {header!r} is not a UUID of version 7"
        )
    return parsed.int >> 80
