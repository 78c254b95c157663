"""Detects hosts that left, from a reader's successive readings of a host list."""

import typing as t

import msgspec

from .membership import DomainView
from .nodes import HostRecord
from .nodes import HostState

ABSENT_MS = 30_000.0
OTHER_DOMAIN_ABSENT_MS = 300_000.0
NEVER_LISTED_MS = 600_000.0


class DepartureDetector:
    """Compares readings of one failure domain's host list with the known records.

    The list lags, so a single reading proves nothing. A host is gone when it was
    listed before and has been absent for ``absent_ms``, or when it was never listed
    for ``NEVER_LISTED_MS``. The longer time also applies while more than half of the
    live hosts are missing from the list, which is more likely a fault of the list. A
    host that is marked as gone although it runs refutes the mark.

    Args:
        absent_ms: how long a previously listed host must be absent.
    """

    def __init__(self, absent_ms: float = ABSENT_MS) -> None:
        self._absent_ms = absent_ms
        self._listed_states: dict[str, HostState] = {}
        self._absent_since_ms: dict[str, float] = {}

    def detect(
        self, view: DomainView, listed: t.Iterable[HostRecord], now_ms: float
    ) -> list[HostRecord]:
        """Returns the records whose state a reading changes, with their new state.

        Args:
            view: the node's view of the failure domain.
            listed: the platform's host list.
            now_ms: the time of the reading.
        """
        states = {record.name: record.state for record in listed}
        missing_count = sum(record.name not in states for record in view.live)
        is_doubtful = missing_count * 2 > len(view.live)
        changed = [
            msgspec.structs.replace(record, state=state)
            for record in view.records.values()
            if (state := self._changed_state(record, states, is_doubtful, now_ms))
            is not None
        ]
        absent = view.records.keys() - states.keys()
        self._absent_since_ms = {
            name: self._absent_since_ms.get(name, now_ms) for name in absent
        }
        kept = {n: s for n, s in self._listed_states.items() if n in view.records}
        self._listed_states = {**kept, **states}
        return changed

    def _changed_state(
        self,
        record: HostRecord,
        states: t.Mapping[str, HostState],
        is_doubtful: bool,
        now_ms: float,
    ) -> HostState | None:
        state = states.get(record.name)
        if record.state is HostState.GONE:
            return None
        if state is HostState.LEAVING:
            was_live = self._listed_states.get(record.name) is HostState.LIVE
            return state if was_live and record.state is HostState.LIVE else None
        if state is not None:
            return None
        since_ms = self._absent_since_ms.get(record.name, now_ms)
        was_listed = record.name in self._listed_states
        is_trusted = was_listed and not is_doubtful
        limit_ms = self._absent_ms if is_trusted else NEVER_LISTED_MS
        return HostState.GONE if now_ms - since_ms >= limit_ms else None
