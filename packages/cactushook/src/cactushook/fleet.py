"""What a platform's records say, in the project's own types."""

import dataclasses

from .calls import Listing
from .exceptions import CactushookError
from .nodes import HostRecord
from .snapshot import Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send, as the configuration says.

    Attributes:
        header_bytes: request line and headers together.
        body_bytes: body of one request.
        slow_timeout_ms: longest wait for a whole request.
        idle_timeout_ms: how long a connection may stay idle.
    """

    header_bytes: int
    body_bytes: int
    slow_timeout_ms: int
    idle_timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """The platform's records, decoded.

    Attributes:
        snapshot: the configuration; None while there is none that can be used.
        hosts: the hosts of all listed backend servers.
        own: the listing of the backend server beside the node.
        limits: what callers may send; None while nothing is known.
        faults: records that cannot be used, and why.
    """

    snapshot: Snapshot | None
    hosts: tuple[HostRecord, ...]
    own: Listing | None
    limits: CallerLimits | None = None
    faults: tuple[CactushookError, ...] = ()


__all__ = ["CallerLimits", "Fleet"]
