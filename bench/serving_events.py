"""Events of a simulated serving session; times are in virtual milliseconds."""

import dataclasses
import typing as t

from cactushook import DomainState
from cactushook import ErrorKind


@dataclasses.dataclass(frozen=True, slots=True)
class RequestSent:
    """A caller sent a request to an entry."""

    at_ms: float
    label: str
    entry: str
    path: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptSent:
    """An entry sent an attempt to a host."""

    at_ms: float
    label: str
    entry: str
    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A gate refused a request."""

    at_ms: float
    label: str
    host: str
    kind: ErrorKind


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """A worker started a request.

    Attributes:
        running: requests that the worker runs, this one included.
        slots: the worker's limit of concurrent requests.
    """

    at_ms: float
    label: str
    host: str
    key: str
    running: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """A worker ended a request; ``outcome`` is answered, crashed or an error kind."""

    at_ms: float
    label: str
    host: str
    outcome: str


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """A caller received an answer.

    Attributes:
        answer_of: label of the request that produced the answer.
        whole: whether the answer is complete.
        claimed_whole: whether the entry presented the answer as complete.
    """

    at_ms: float
    label: str
    answer_of: str
    whole: bool
    claimed_whole: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """A caller received a refusal; ``key`` is empty for a request without a key."""

    at_ms: float
    label: str
    key: str
    kind: ErrorKind


@dataclasses.dataclass(frozen=True, slots=True)
class LateAnswer:
    """An entry dropped an answer to a request that had already ended."""

    at_ms: float
    entry: str


@dataclasses.dataclass(frozen=True, slots=True)
class DomainSet:
    """Operators published a new state of a failure domain."""

    at_ms: float
    domain: str
    state: DomainState


@dataclasses.dataclass(frozen=True, slots=True)
class HostLeaves:
    """A host began its planned stop."""

    at_ms: float
    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault was injected or occurred at a worker."""

    at_ms: float
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A periodic check found calls that wait at a gate while slots are idle."""

    at_ms: float
    host: str
    queued: int
    idle: int


Event: t.TypeAlias = (
    RequestSent
    | AttemptSent
    | Refused
    | Started
    | Finished
    | Answered
    | Failed
    | LateAnswer
    | DomainSet
    | HostLeaves
    | Fault
    | Waiting
)
