"""Tracks peers that did not answer; they are avoided for a while, never removed."""

import collections
import dataclasses

MISSES_TO_SUSPECT = 2
SUSPECTED_MS = 30_000.0
MAX_SUSPICIONS = 512


@dataclasses.dataclass(frozen=True, slots=True)
class _Suspicion:
    misses: int
    until_ms: float


class Suspicions:
    """Peers that failed to answer this node.

    Suspicions are not sent to other nodes: a node that is cut off would spread
    suspicion of every node on the other side. A suspicion ends when the peer is
    heard, when a newer record of it arrives, or after ``SUSPECTED_MS``.
    """

    def __init__(self) -> None:
        self._by_address: collections.OrderedDict[str, _Suspicion] = (
            collections.OrderedDict()
        )

    def record_misses(
        self, address: str, now_ms: float, misses: int = MISSES_TO_SUSPECT
    ) -> None:
        """Counts misses of a peer, which is suspected from ``MISSES_TO_SUSPECT`` on."""
        known = self._by_address.pop(address, None)
        if known is not None and known.until_ms > now_ms:
            misses += known.misses
        self._by_address[address] = _Suspicion(misses, now_ms + SUSPECTED_MS)
        while len(self._by_address) > MAX_SUSPICIONS:
            self._by_address.popitem(last=False)

    def clear(self, address: str) -> None:
        """Ends the suspicion of a peer."""
        self._by_address.pop(address, None)

    def is_suspected(self, address: str, now_ms: float) -> bool:
        """Returns whether a peer is suspected and should be avoided."""
        known = self._by_address.get(address)
        if known is None or known.until_ms <= now_ms:
            return False
        return known.misses >= MISSES_TO_SUSPECT
