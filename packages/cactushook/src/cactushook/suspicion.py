"""Peers that did not answer: avoided for a while, never removed."""

import collections
import dataclasses

MISSES_TO_SUSPECT = 2
SUSPECTED_MS = 30_000.0
KEPT_SUSPICIONS = 512


@dataclasses.dataclass(frozen=True, slots=True)
class _Suspicion:
    misses: int
    until_ms: float


class Suspicions:
    """What a node itself saw of peers that failed to answer.

    Suspicion is not passed on: a node that is cut off would spread it about the
    whole other side. It ends when the peer is heard, when its record shows a new
    incarnation, or with time.
    """

    def __init__(self) -> None:
        self._found: collections.OrderedDict[str, _Suspicion] = (
            collections.OrderedDict()
        )

    def record_misses(
        self, address: str, now_ms: float, misses: int = MISSES_TO_SUSPECT
    ) -> None:
        """Counts misses of a peer; enough of them make it suspected."""
        known = self._found.pop(address, None)
        if known is not None and known.until_ms > now_ms:
            misses += known.misses
        self._found[address] = _Suspicion(misses, now_ms + SUSPECTED_MS)
        while len(self._found) > KEPT_SUSPICIONS:
            self._found.popitem(last=False)

    def clear(self, address: str) -> None:
        """Ends the suspicion of a peer."""
        self._found.pop(address, None)

    def is_suspected(self, address: str, now_ms: float) -> bool:
        """Tells whether a peer is better avoided."""
        known = self._found.get(address)
        if known is None or known.until_ms <= now_ms:
            return False
        return known.misses >= MISSES_TO_SUSPECT
