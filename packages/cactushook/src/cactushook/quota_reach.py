"""The share of the fleet that can reach a node, by which it grants quotas as a home."""

import collections
import typing as t

from .nodes import HostRecord
from .nodes import HostState

# A live host that vanished from the host list may run on the other side of a partition
# for this long.
LAPSE_MS = 600_000.0
# A home that reaches no more than this part of the fleet grants nothing, and one that
# reaches all but this part grants the whole quota.
MIN_PART = 0.25


class FleetReach:
    """Counts the known hosts, and those that vanished without leaving.

    In a partition, the side that reaches the platform sees the other side's hosts
    vanish; the other side keeps its list and measures which hosts it reaches. Together,
    the shares of both sides do not exceed 1.
    """

    def __init__(self) -> None:
        self._states: dict[str, HostState] = {}
        self._live_count = 0
        self._lapsed_ms: collections.OrderedDict[str, float] = collections.OrderedDict()

    def update(self, hosts: t.Iterable[HostRecord], now_ms: float) -> None:
        """Takes the records of the host list."""
        states = {host.name: host.state for host in hosts}
        for name, state in self._states.items():
            is_absent = states.get(name, HostState.GONE) is HostState.GONE
            if state is HostState.LIVE and is_absent:
                self._lapsed_ms[name] = now_ms
        for name, state in states.items():
            if state is not HostState.GONE:
                self._lapsed_ms.pop(name, None)
        self._states = states
        self._live_count = sum(state is HostState.LIVE for state in states.values())

    def share(self, reached: float, now_ms: float) -> float:
        """Returns the share of a quota that this node may grant as a home.

        A fleet that lacks a quarter of its hosts still gets the whole quota. The shares
        of the parts of a divided fleet do not exceed 1 together.

        Args:
            reached: share of the listed live hosts that reach it.
            now_ms: the time.
        """
        part = reached * self.listed_part(now_ms)
        return min(1.0, max(0.0, (part - MIN_PART) / (1 - 2 * MIN_PART)))

    def listed_part(self, now_ms: float) -> float:
        """Returns the part of the known hosts that the host list has."""
        while self._lapsed_ms and self._oldest_ms() <= now_ms - LAPSE_MS:
            self._lapsed_ms.popitem(last=False)
        known = self._live_count + len(self._lapsed_ms)
        return self._live_count / known if known else 0.0

    def _oldest_ms(self) -> float:
        return next(iter(self._lapsed_ms.values()))


__all__ = ["FleetReach"]
