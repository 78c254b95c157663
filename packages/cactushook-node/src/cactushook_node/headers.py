"""Names of the headers that the node reads and sets, as the settings give them."""

import dataclasses

from .settings import HeaderSettings


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names in lower case; an empty name is neither read nor set.

    Attributes:
        request_id: identity of a request, echoed by the backend server.
        timeout_ms: milliseconds that the sender waits.
        hops: services that the request has passed through.
        attempts: sends that are left.
        caller_service: service of the host where the request began.
        target_instance: the backend server's start that may run the request.
        signature: proof that an answer is the backend server's.
        not_executed: states that the backend server did not run the request.
        cold_remaining_ms: how much longer the backend server stays cold.
        instance: identity of the backend server's present start.
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
    instance: bytes

    @property
    def overridden(self) -> frozenset[bytes]:
        """Headers of a caller that the node replaces by its own."""
        names = (
            self.timeout_ms,
            self.hops,
            self.attempts,
            self.caller_service,
            self.target_instance,
        )
        return frozenset(name for name in names if name)


def header_names(settings: HeaderSettings, instance: str) -> HeaderNames:
    """Returns the names that the settings give, in lower case.

    Args:
        settings: the names but one.
        instance: header that shows the backend server's identity.
    """
    fields = [field.name for field in dataclasses.fields(HeaderNames)]
    texts = [getattr(settings, name) for name in fields if name != "instance"]
    return HeaderNames(*(text.lower().encode() for text in (*texts, instance)))


def find_header(headers: tuple[tuple[bytes, bytes], ...], name: bytes) -> bytes:
    """Returns the value of a header whose name is in lower case, or nothing."""
    if not name:
        return b""
    return next((value for key, value in headers if key == name), b"")
