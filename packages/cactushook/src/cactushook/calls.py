"""Requests between nodes, and the listing, load and refusals of a gate."""

import dataclasses
import math

from .exceptions import ErrorKind
from .nodes import HostRecord
from .nodes import HostState
from .nodes import RouteClass


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One request on its way to a worker.

    Attributes:
        request_id: unique for each attempt of the entry.
        service: the service that runs it.
        route_class: how it may be treated.
        deadline_ms: when the caller stops waiting, on this node's clock.
        version: configuration version that the entry routed by.
        attempts_left: sends still allowed, this one included.
        hops: number of services that the request has passed through.
        key: key of an at-most-once request, or empty.
        key_issued_ms: when the key was issued, epoch milliseconds, 0 if unknown.
        resend_window_ms: how long a keyed answer is kept.
        fingerprint: digest of method, path and body.
        variant: digest of the caller and the host; a worker may treat requests with
            one fingerprint differently by these.
        fences: hosts that have not run the key and promise not to.
        objective_ms: time after which an answer is of less use, on this node's clock.
        priority: rank in a queue, 0 first.
        nested: whether the request was made by work that runs at a worker.
        resent: whether an earlier send of the request reached a worker.
        insists: whether no other gate is asked if this one refuses.
        answer_bytes: expected length of the answer; 0 if it is not known.
        may_wait: whether it may wait for a slot; if not, another gate is asked at once.
        workspace: name of the caller's workspace, known only at the entry; empty
            without one.
        route: path of the route that covers it; requests of one route do similar work.
    """

    request_id: str
    service: str
    route_class: RouteClass
    deadline_ms: float
    version: int
    attempts_left: int = 1
    hops: int = 0
    key: str = ""
    key_issued_ms: float = 0
    resend_window_ms: float = 600_000
    fingerprint: str = ""
    variant: str = ""
    fences: tuple[str, ...] = ()
    objective_ms: float = math.inf
    priority: int = 0
    nested: bool = False
    resent: bool = False
    insists: bool = False
    answer_bytes: int = 0
    may_wait: bool = True
    workspace: str = ""
    route: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """The backend server beside a gate, as the platform lists it.

    Attributes:
        instance: id that changes with each start; other instances refuse requests
            that name it.
        service: the service that it runs.
        slots: requests that it runs at once.
        state: live or leaving.
        cold_remaining_ms: how much longer it stays cold, as of the listing's writing.
        started_ms: wall-clock time of its current start; 0 if it does not report it.
    """

    instance: str
    service: str
    slots: int
    state: HostState
    cold_remaining_ms: float = 0.0
    started_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """The load that a gate reports with every answer.

    Attributes:
        running: requests at the worker.
        queued: requests that wait.
        capacity: slots that may be used now; below the limit during a ramp.
        accepting: whether new work is accepted.
        send_ms: how long a large answer waits for the host's network link.
        service_ms: time that a request takes at the worker; 0 if it is not known.
        overload_level: the gate's overload level; entries shed requests by the mean of
            the service's gates.
    """

    running: int = 0
    queued: int = 0
    capacity: int = 1
    accepting: bool = True
    send_ms: float = 0.0
    service_ms: float = 0.0
    overload_level: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The reason why a request gets no worker's answer.

    Attributes:
        kind: the error kind.
        detail: explanation for people.
        home: the host to ask first, with ``NOT_HOME``.
        fenced: whether the gate promises not to run the key from now on.
        retry_after_ms: expected time until there is room; 0 if it is not known.
    """

    kind: ErrorKind
    detail: str
    home: HostRecord | None = None
    fenced: bool = False
    retry_after_ms: int = 0
