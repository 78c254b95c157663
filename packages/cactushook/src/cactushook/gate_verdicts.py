"""Typed results of a gate: verdicts on requests, and how admitted ones ended."""

import dataclasses
import typing as t

from . import key_table
from .admission import Verdict
from .calls import Call
from .calls import Refusal
from .crashes import CrashReport
from .exceptions import ErrorKind


@dataclasses.dataclass(frozen=True, slots=True)
class DuplicateInFlight:
    """A copy of the request is running; this one waits until its key settles."""

    call: Call


@dataclasses.dataclass(frozen=True, slots=True)
class Replayed:
    """The request ran before; the caller gets the stored answer."""

    call: Call
    answer: key_table.StoredAnswer


GateVerdict: t.TypeAlias = Verdict | DuplicateInFlight | Replayed


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The worker answered.

    Attributes:
        latency_ms: time until the answer began.
        instance: identity of the worker's current instance; empty if the answer
            omits it.
        stored: answer to keep for copies of a keyed request, if any.
        failed: whether the answer reports a failure of the worker.
    """

    latency_ms: float
    instance: bytes = b""
    stored: key_table.StoredAnswer | None = None
    failed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The worker returned no complete answer."""

    kind: ErrorKind
    detail: str = ""


Outcome: t.TypeAlias = Answered | Failed


def reported_failure(outcome: Outcome) -> bool | None:
    """Returns whether a run failed while its worker went on; None if unknown."""
    match outcome:
        case Answered(failed=failed):
            return failed
        case Failed(ErrorKind.DEADLINE_EXCEEDED):
            return True
    return None


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """Holds the consequences of the end of a request at the worker.

    Attributes:
        verdicts: verdicts on requests that waited.
        crashes: reports to send to the other gates of the service.
        refusal: refusal to return to the entry, if any. An answered request has one
            only if it is keyed and its answer was not kept.
    """

    verdicts: tuple[Verdict, ...]
    crashes: tuple[CrashReport, ...] = ()
    refusal: Refusal | None = None


__all__ = [
    "Answered",
    "DuplicateInFlight",
    "Ended",
    "Failed",
    "GateVerdict",
    "Outcome",
    "Replayed",
    "reported_failure",
]
