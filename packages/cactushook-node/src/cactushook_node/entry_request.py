"""A caller's request at the entry, and the error that refuses it."""

import dataclasses

from cactushook import ErrorKind
from cactushook import Refusal
from cactushook import RequestError

from .headers import find_header
from .headers import parse_number
from .http_messages import Headers


@dataclasses.dataclass(frozen=True, slots=True)
class EntryRequest:
    """A caller's request.

    Attributes:
        method: HTTP method.
        target: path and query.
        headers: all headers, names in lower case.
        body: the complete body.
        internal: whether it arrived on the internal address.
        nested: whether a request that runs at this host's worker made it.
    """

    method: str
    target: bytes
    headers: Headers
    body: bytes
    internal: bool
    nested: bool = False

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.split(b"?", 1)[0].decode("latin-1")

    def header(self, name: bytes) -> bytes:
        """Returns a header's value, or empty bytes."""
        return find_header(self.headers, name)

    def parse_number(self, name: bytes, default: int) -> int:
        """Returns the number in a header, or a default without the header.

        Raises:
            RequestError: the header is not a number.
        """
        raw = self.header(name)
        if not raw:
            return default
        number = parse_number(raw)
        if number is None:
            raise RequestError(
                ErrorKind.REQUEST_INVALID, f"header {name.decode()!r} is not a number"
            )
        return number

    @property
    def host(self) -> str:
        """The host in the ``Host`` header, in lower case and without a port."""
        host = find_header(self.headers, b"host").decode("latin-1").lower()
        return host.partition(":")[0]


class RefusedError(RequestError):
    """The entry refuses a request, with a reason and a time after which to retry.

    Args:
        refusal: the reason, which the caller receives.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.kind, refusal.detail)
        self.refusal = refusal
