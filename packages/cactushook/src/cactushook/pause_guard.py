"""Refuses new work after a pause until a node's view of the fleet is fresh again."""

from .calls import Refusal
from .exceptions import ErrorKind

PAUSE_REFRESH_MS = 1_000
PAUSE_DRAIN_MS = 100


class PauseGuard:
    """Remembers a pause of the process until another node has sent its view."""

    def __init__(self) -> None:
        self._refuse_until_ms = 0.0

    def on_pause(self, now_ms: float) -> None:
        """Refuses new work until `on_peer_update`, for at most `PAUSE_REFRESH_MS`."""
        self._refuse_until_ms = now_ms + PAUSE_REFRESH_MS

    def on_peer_update(self, now_ms: float) -> None:
        """Records that another node has sent its view.

        An update within `PAUSE_DRAIN_MS` of a pause is ignored, since it may have
        been sent before the pause.
        """
        if now_ms >= self._refuse_until_ms - PAUSE_REFRESH_MS + PAUSE_DRAIN_MS:
            self._refuse_until_ms = 0.0

    def refusal(self, now_ms: float) -> Refusal | None:
        """Returns why new work is refused, or None."""
        if now_ms >= self._refuse_until_ms:
            return None
        detail = "the node refreshes its view after a pause"
        return Refusal(ErrorKind.NOT_READY, detail)


__all__ = ["PauseGuard"]
