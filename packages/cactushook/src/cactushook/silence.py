"""Tracks nodes that do not respond, so that others get the requests meanwhile.

A node reports silent nodes to its peers. A peer does not rely on the report, but pings
the reported node itself, since a node that is cut off finds all others silent.
"""

import collections
import typing as t

# A node that stays silent for longer is no longer tracked.
FORGET_MS = 30_000.0
# A node that a peer reported in this time is not reported again.
REPORT_TTL_MS = 3_000.0
MAX_TRACKED = 256


class SilentPeers:
    """The nodes that do not respond to this one at present, by address.

    It has no clock of its own: the caller passes the time.
    """

    def __init__(self) -> None:
        self._silent_since_ms: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._reported_ms: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._unreported: list[str] = []

    def __len__(self) -> int:
        return len(self._silent_since_ms)

    def is_silent(self, address: str) -> bool:
        """Returns whether a node does not respond."""
        return address in self._silent_since_ms

    def mark_silent(self, address: str, now_ms: float) -> bool:
        """Records that a node did not respond; returns whether that is new."""
        if address in self._silent_since_ms:
            return False
        self._silent_since_ms[address] = now_ms
        if not self._was_reported(address, now_ms):
            self._record_report(address, now_ms)
            self._unreported.append(address)
        if len(self._silent_since_ms) > MAX_TRACKED:
            self._silent_since_ms.popitem(last=False)
        return True

    def mark_responding(self, address: str) -> bool:
        """Records a sign of life of a node; returns whether it was silent."""
        return self._silent_since_ms.pop(address, None) is not None

    def record_report(self, address: str, now_ms: float) -> bool:
        """Records a peer's report; returns whether to ping the reported node."""
        is_new = not self._was_reported(address, now_ms)
        self._record_report(address, now_ms)
        return is_new and not self.is_silent(address)

    def take_unreported(self) -> tuple[str, ...]:
        """Returns the nodes that peers should be told of, each only once."""
        addresses = tuple(a for a in self._unreported if self.is_silent(a))
        self._unreported = []
        return addresses

    def select_probes(self, listed: t.Container[str], now_ms: float) -> tuple[str, ...]:
        """Returns the silent nodes to ask again, and forgets those that are gone.

        Args:
            listed: addresses of the nodes that the host list contains.
            now_ms: the time.
        """
        for address, since_ms in list(self._silent_since_ms.items()):
            if address not in listed or now_ms - since_ms > FORGET_MS:
                del self._silent_since_ms[address]
        return tuple(self._silent_since_ms)

    def _was_reported(self, address: str, now_ms: float) -> bool:
        reported_ms = self._reported_ms.get(address, float("-inf"))
        return now_ms - reported_ms < REPORT_TTL_MS

    def _record_report(self, address: str, now_ms: float) -> None:
        self._reported_ms[address] = now_ms
        self._reported_ms.move_to_end(address)
        if len(self._reported_ms) > MAX_TRACKED:
            self._reported_ms.popitem(last=False)


__all__ = ["SilentPeers"]
