"""Decides at the gate which keyed requests may run, so that each runs at most once."""

import dataclasses
import typing as t

from . import homes
from . import key_table
from .admission import Refused
from .admission import Verdict
from .calls import Call
from .calls import Refusal
from .exceptions import ERROR_RESPONSES
from .exceptions import ErrorKind
from .exceptions import Ran
from .gate_verdicts import Answered
from .gate_verdicts import DuplicateInFlight
from .gate_verdicts import Failed
from .gate_verdicts import GateVerdict
from .gate_verdicts import Outcome
from .gate_verdicts import Replayed
from .nodes import HostRecord
from .nodes import RouteClass

# Refusals of a keyed request that fence its key, so that another host may run it.
FENCING_KINDS = frozenset(
    (
        ErrorKind.OVERLOADED,
        ErrorKind.COLD_START,
        ErrorKind.QUEUE_TIMEOUT,
        ErrorKind.DRAINING,
        ErrorKind.DOMAIN_OUT,
        ErrorKind.WORKER_UNREACHABLE,
    )
)

_KEY_FENCED_REFUSAL = Refusal(
    ErrorKind.KEY_FENCED, "this host will not run the key", fenced=True
)
_TABLE_FULL_REFUSAL = Refusal(ErrorKind.OVERLOADED, "the key table is full")


class KeyedRequests:
    """Holds the keys that a gate knows, and its place among their homes.

    ``epoch_ms`` is the time since the epoch.

    Args:
        own: the gate's own host.

    Attributes:
        homes: state of the other homes of the service's keys.
    """

    def __init__(self, own: HostRecord) -> None:
        self.homes = homes.Homes(own)
        self._keys = key_table.KeyTable()

    def home_refusal(
        self, call: Call, hosts: t.Collection[HostRecord], epoch_ms: float
    ) -> Refusal | None:
        """Returns why this host may not run a key, or None if it is the key's home."""
        self.homes.record_departures(hosts, epoch_ms)
        match self.homes.classify_key(call, hosts):
            case homes.HigherRanked(host):
                detail = f"host {host.name!r} ranks higher for this key"
                return Refusal(ErrorKind.NOT_HOME, detail, home=host)
            case homes.OutcomeUnknown(reason):
                return Refusal(ErrorKind.OUTCOME_UNKNOWN, reason)
            case homes.NotYetHome():
                return self.fence(call, epoch_ms)
        return None

    def reserve(self, call: Call, epoch_ms: float) -> Refusal | None:
        """Reserves a key to run here; returns a refusal if the table is full."""
        return None if self._keys.reserve(call, epoch_ms) else _TABLE_FULL_REFUSAL

    def fence(self, call: Call, epoch_ms: float) -> Refusal:
        """Guarantees that the key does not run here, and returns the refusal."""
        return (
            _KEY_FENCED_REFUSAL
            if self._keys.fence(call, epoch_ms)
            else _TABLE_FULL_REFUSAL
        )

    def give_up_refused(self, verdicts: list[Verdict]) -> list[Verdict]:
        """Fences or frees the keys of refused requests; returns the final verdicts."""
        return [self._give_up_if_refused(verdict) for verdict in verdicts]

    def _give_up_if_refused(self, verdict: Verdict) -> Verdict:
        is_keyed = verdict.call.route_class is RouteClass.AT_MOST_ONCE
        if not is_keyed or not isinstance(verdict, Refused):
            return verdict
        return Refused(verdict.call, self._give_up_key(verdict.call, verdict.refusal))

    def _give_up_key(self, call: Call, refusal: Refusal) -> Refusal:
        """Fences a reserved key if another host may run it, or frees it."""
        if refusal.kind not in FENCING_KINDS:
            self._keys.release(call.key)
            return refusal
        self._keys.fence_reserved(call.key)
        return dataclasses.replace(refusal, fenced=True)

    def look_up(self, call: Call, epoch_ms: float) -> GateVerdict | None:
        """Returns the verdict on a request whose key is known, or None."""
        match self._keys.look_up(call, epoch_ms):
            case key_table.InFlight():
                return DuplicateInFlight(call)
            case key_table.Replay(answer):
                return Replayed(call, answer)
            case key_table.OutcomeUnknown(reason):
                return Refused(call, Refusal(ErrorKind.OUTCOME_UNKNOWN, reason))
            case key_table.Fenced():
                return Refused(call, _KEY_FENCED_REFUSAL)
            case key_table.Reused():
                detail = "the key belongs to another request"
                return Refused(call, Refusal(ErrorKind.KEY_REUSED, detail))
            case key_table.IssuedInFuture():
                detail = "the key was issued in the future"
                return Refused(call, Refusal(ErrorKind.REQUEST_INVALID, detail))
        return None

    def settle(self, call: Call, outcome: Outcome) -> Refusal | None:
        """Records how a keyed request ended; returns the refusal, if it has one."""
        match outcome:
            case Answered(stored=key_table.StoredAnswer() as stored):
                self._keys.record_answer(call.key, stored)
                return None
            case Failed(kind, detail) if ERROR_RESPONSES[kind].ran is Ran.NO:
                return self._give_up_key(call, Refusal(kind, detail))
            case Failed(kind, detail):
                reason = detail or kind.value
            case _:
                reason = "the answer was too large to keep"
        self._keys.mark_outcome_unknown(call.key, reason)
        return Refusal(ErrorKind.OUTCOME_UNKNOWN, reason)


__all__ = ["KeyedRequests"]
