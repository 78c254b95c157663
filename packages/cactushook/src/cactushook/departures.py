"""Decides which hosts left, from a reader's successive readings of a host list."""

import typing as t

import msgspec

from .membership import DomainView
from .nodes import HostRecord
from .nodes import HostState

ABSENT_MS = 30_000.0
OTHER_DOMAIN_ABSENT_MS = 300_000.0
NEVER_LISTED_MS = 600_000.0


class DepartureDetector:
    """Compares readings of one failure domain's list with what the node knows.

    The list lags, so a single reading proves nothing: a host is gone when it was
    listed before and has been absent for a while, or was never listed for
    ``NEVER_LISTED_MS``. That longer time also holds while the list lacks more than
    half of the live hosts, which is more likely a fault of the list. A host that is
    marked although it runs refutes the mark.

    Args:
        absent_ms: how long a host that was listed must be absent.
    """

    def __init__(self, absent_ms: float = ABSENT_MS) -> None:
        self._absent_ms = absent_ms
        self._listed: dict[str, HostState] = {}
        self._absent_since_ms: dict[str, float] = {}

    def detect(
        self, view: DomainView, listed: t.Iterable[HostRecord], now_ms: float
    ) -> list[HostRecord]:
        """Returns the records that a reading changes.

        Args:
            view: the failure domain as the node knows it.
            listed: the platform's list.
            now_ms: the time of the reading.
        """
        states = {record.name: record.state for record in listed}
        lacking = sum(record.name not in states for record in view.live)
        doubtful = lacking * 2 > len(view.live)
        changed = [
            msgspec.structs.replace(record, state=state)
            for record in view.records.values()
            if (state := self._judge(record, states, doubtful, now_ms)) is not None
        ]
        absent = view.records.keys() - states.keys()
        self._absent_since_ms = {
            name: self._absent_since_ms.get(name, now_ms) for name in absent
        }
        kept = {n: s for n, s in self._listed.items() if n in view.records}
        self._listed = {**kept, **states}
        return changed

    def _judge(
        self,
        record: HostRecord,
        states: t.Mapping[str, HostState],
        doubtful: bool,
        now_ms: float,
    ) -> HostState | None:
        state = states.get(record.name)
        if record.state is HostState.GONE:
            return None
        if state is HostState.LEAVING:
            turned = self._listed.get(record.name) is HostState.LIVE
            return state if turned and record.state is HostState.LIVE else None
        if state is not None:
            return None
        since_ms = self._absent_since_ms.get(record.name, now_ms)
        listed_before = record.name in self._listed
        trusted = listed_before and not doubtful
        limit_ms = self._absent_ms if trusted else NEVER_LISTED_MS
        return HostState.GONE if now_ms - since_ms >= limit_ms else None
