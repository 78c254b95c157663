"""Measures how late an event loop runs, and how much new work to refuse because of it.

A node without processor time reads requests long after they arrived. Those that it
serves then are late, so it serves some in time and refuses the others at once.
"""

# Weight of the previous lag where the loop is less late than before.
DECAY = 0.7
# A smaller lag is common and counts as none.
MIN_LAG_MS = 50.0
MAX_LAG_MS = 2_000.0
# Share of new requests that is refused: none up to the first lag, the most from the
# second on.
SHED_FROM_MS = 300.0
SHED_MOST_FROM_MS = 1_000.0
MAX_SHED_SHARE = 0.9


class LagMeter:
    """Records how late an event loop's timers run.

    Attributes:
        last_ms: how late the loop was last; a request that is read now may have waited
            for that long.
        lag_ms: how late it was in the last fraction of a second.
    """

    def __init__(self) -> None:
        self.last_ms = 0.0
        self.lag_ms = 0.0

    def record(self, late_ms: float) -> None:
        """Records how late a timer ran."""
        self.last_ms = min(late_ms, MAX_LAG_MS) if late_ms >= MIN_LAG_MS else 0.0
        self.lag_ms = max(self.last_ms, DECAY * self.lag_ms)

    @property
    def shed_share(self) -> float:
        """Share of new requests to refuse at once."""
        excess_ms = self.lag_ms - SHED_FROM_MS
        range_ms = SHED_MOST_FROM_MS - SHED_FROM_MS
        return MAX_SHED_SHARE * min(1.0, max(0.0, excess_ms / range_ms))


__all__ = ["LagMeter"]
