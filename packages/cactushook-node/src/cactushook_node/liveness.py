"""Detects a peer that no longer responds on a connection."""

import enum

# Ticks after which a ping is unanswered; it was sent at the first silent tick.
UNANSWERED_TICKS = 2
SILENT_TICKS_LIMIT = 3
STUCK_TICKS_LIMIT = 6
# A peer that is silent for longer is given up with all requests.
DEAD_TICKS_LIMIT = 20


class Liveness(enum.Enum):
    """State of the peer after a tick.

    A peer that is ``SILENT`` gets no new requests, but may wake and answer those that
    it has.
    """

    ALIVE = "alive"
    SUSPECT = "suspect"
    SILENT = "silent"
    DEAD = "dead"


class LivenessMonitor:
    """Counts ticks without a sign of life from the peer.

    The monitor counts ticks instead of time, so that after a pause of this node its
    peers still have the full number of ticks to respond. Silent ticks count only while
    requests are open, so that idle connections cause no pings.
    """

    def __init__(self) -> None:
        self._silent_ticks = 0
        self._stuck_ticks = 0

    @property
    def is_ping_unanswered(self) -> bool:
        """Whether the peer has had a tick to answer a ping and has not."""
        return self._silent_ticks >= UNANSWERED_TICKS

    def on_bytes_received(self) -> None:
        """Resets the count of silent ticks."""
        self._silent_ticks = 0

    def on_bytes_sent(self) -> None:
        """Resets the count of stuck ticks, since the connection accepted bytes."""
        self._stuck_ticks = 0

    def tick(self, has_open_requests: bool, has_unsent_frames: bool) -> Liveness:
        """Counts one tick and returns the state of the peer.

        Args:
            has_open_requests: whether requests of either side are open.
            has_unsent_frames: whether frames wait to be sent.
        """
        self._stuck_ticks = self._stuck_ticks + 1 if has_unsent_frames else 0
        self._silent_ticks = self._silent_ticks + 1 if has_open_requests else 0
        if max(self._silent_ticks, self._stuck_ticks) > DEAD_TICKS_LIMIT:
            return Liveness.DEAD
        if (
            self._silent_ticks > SILENT_TICKS_LIMIT
            or self._stuck_ticks > STUCK_TICKS_LIMIT
        ):
            return Liveness.SILENT
        return Liveness.SUSPECT if self._silent_ticks else Liveness.ALIVE
