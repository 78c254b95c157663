"""Decides whether the other end of a connection still responds."""

import enum

SILENT_TICKS_LIMIT = 3
STUCK_TICKS_LIMIT = 6


class Liveness(enum.Enum):
    """What to do at a tick."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


class LivenessMonitor:
    """Counts ticks without a sign of the peer.

    Ticks are counted instead of time, so that a node that was paused itself gives its
    peers as many ticks as ever to be heard. Only a peer from which something is
    awaited is asked, so that idle connections cost nothing.
    """

    def __init__(self) -> None:
        self._silent_ticks = 0
        self._stuck_ticks = 0

    def on_bytes_received(self) -> None:
        """Notes that bytes arrived."""
        self._silent_ticks = 0

    def on_bytes_sent(self) -> None:
        """Notes that the peer's host took in bytes."""
        self._stuck_ticks = 0

    def tick(self, has_open_requests: bool, has_unsent_frames: bool) -> Liveness:
        """Counts one tick.

        Args:
            has_open_requests: whether requests of either side are open.
            has_unsent_frames: whether frames wait for the connection.
        """
        self._stuck_ticks = self._stuck_ticks + 1 if has_unsent_frames else 0
        self._silent_ticks = self._silent_ticks + 1 if has_open_requests else 0
        if self._silent_ticks > SILENT_TICKS_LIMIT:
            return Liveness.DEAD
        if self._stuck_ticks > STUCK_TICKS_LIMIT:
            return Liveness.DEAD
        return Liveness.SUSPECT if self._silent_ticks else Liveness.ALIVE
