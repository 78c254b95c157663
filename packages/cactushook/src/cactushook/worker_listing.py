"""The backend server beside a gate: how it is listed, and whether it can be used."""

from .calls import Listing
from .calls import Refusal
from .exceptions import ErrorKind
from .nodes import HostState


class WorkerListing:
    """Holds how the platform lists a backend server, and what contradicts that.

    Args:
        service: the service while the backend server is not listed.
        is_required: whether requests are refused until it is listed.
    """

    def __init__(self, service: str, is_required: bool) -> None:
        self.is_required = is_required
        self.current: Listing | None = None
        self.is_down = False
        # Whether the end of the listed start is known.
        self._has_ended = False
        self._service = service
        self._replaced_instance = ""

    @property
    def service(self) -> str:
        """The service that the backend server runs."""
        return self._service if self.current is None else self.current.service

    @property
    def instance(self) -> str:
        """Identity of the current instance, empty if it is not listed."""
        return "" if self.current is None else self.current.instance

    def limit_slots(self, slots: int) -> int:
        """Returns the slots to use of those that the configuration gives."""
        return slots if self.current is None else min(slots, self.current.slots)

    def mark_down(self) -> None:
        """Records that the backend server accepts no connections."""
        self.is_down = True
        self._has_ended = True

    def shows_crash(self, listing: Listing) -> bool:
        """Returns whether a new listing shows a crash that is not known yet.

        It does if another start of the service is listed, and the one before was not
        listed as leaving.
        """
        current = self.current
        if current is None or current.state is not HostState.LIVE or self._has_ended:
            return False
        is_other = _start_identity(current) != _start_identity(listing)
        return is_other and current.service == listing.service

    def apply(self, listing: Listing) -> bool:
        """Sets the listing; returns whether it is that of another start."""
        is_other = _start_identity(self.current) != _start_identity(listing)
        self.current = listing
        if is_other:
            self._replaced_instance = ""
            self._has_ended = False
        return is_other

    def mark_replaced(self) -> None:
        """Records that another instance than the listed one has answered."""
        self._replaced_instance = self.instance

    def refusal(self) -> Refusal | None:
        """Returns why the backend server gets no requests, or None."""
        if not self.is_required:
            return None
        if self.current is None:
            detail = "the platform does not list the backend server"
            return Refusal(ErrorKind.WORKER_UNKNOWN, detail)
        if self.current.state is not HostState.LIVE:
            return Refusal(ErrorKind.DRAINING, "the backend server is leaving")
        if self._replaced_instance == self.current.instance:
            detail = "the backend server restarted and is not listed yet"
            return Refusal(ErrorKind.WORKER_UNKNOWN, detail)
        if self.is_down:
            detail = "the backend server accepts no connections"
            return Refusal(ErrorKind.WORKER_UNREACHABLE, detail)
        return None


def _start_identity(listing: Listing | None) -> tuple[str, int] | None:
    return None if listing is None else (listing.instance, listing.started_ms)


__all__ = ["WorkerListing"]
