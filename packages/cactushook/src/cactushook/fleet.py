"""Data classes for the decoded records of the platform."""

import dataclasses

from .calls import Listing
from .exceptions import CactushookError
from .nodes import HostRecord
from .snapshot import Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Configured limits on what callers may send.

    Attributes:
        header_bytes: size of request line and headers together.
        body_bytes: size of the body of one request.
        slow_timeout_ms: longest wait for a complete request.
        idle_timeout_ms: how long a connection may stay idle.
    """

    header_bytes: int
    body_bytes: int
    slow_timeout_ms: int
    idle_timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """Holds the decoded records of the platform.

    Attributes:
        snapshot: the configuration; None while no usable one is available.
        hosts: the hosts of all listed backend servers.
        own: the listing of the backend server beside the node.
        limits: limits on what callers may send; None while unknown.
        faults: errors of the records that cannot be used.
        is_decoding: whether a newer configuration is being decoded in steps.
    """

    snapshot: Snapshot | None
    hosts: tuple[HostRecord, ...]
    own: Listing | None
    limits: CallerLimits | None = None
    faults: tuple[CactushookError, ...] = ()
    is_decoding: bool = False


__all__ = ["CallerLimits", "Fleet"]
