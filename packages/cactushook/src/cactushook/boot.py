"""Decides whether a node that started or was paused may accept work."""

import dataclasses
import typing as t

from .versions import VersionStore

MIN_PEER_ANSWERS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class VersionReadiness:
    """Whether a node may accept work, and the reason."""

    ready: bool
    reason: str


class Boot:
    """Decides when a node is ready after a start or a pause.

    A node does not store which version it had in force, but its peers know it. The
    node therefore waits for answers from some of them before it accepts work.

    Args:
        store: the configuration in force.
        now_ms: the start time.
        wait_ms: longest wait for answers from peers.
    """

    def __init__(self, store: VersionStore, now_ms: float, wait_ms: float) -> None:
        self._store = store
        self._wait_ms = wait_ms
        self._queried_ms: float | None = None
        self._queried_peers: set[str] = set()
        self._answered_peers: set[str] = set()
        self._is_ready = False
        self.restart(now_ms)

    def restart(self, now_ms: float) -> None:
        """Resets the state, because what the node knew may be outdated."""
        self._queried_ms = None
        self._queried_peers.clear()
        self._answered_peers.clear()
        self._is_ready = False

    def record_asked(self, addresses: t.Iterable[str], now_ms: float) -> None:
        """Records the peers that were queried, possibly none, and starts the wait."""
        self._queried_peers.update(addresses)
        if self._queried_ms is None:
            self._queried_ms = now_ms

    def on_peer_version(self, sender: str, version: int, is_answer: bool) -> None:
        """Records a peer's version as a floor until the node is ready.

        Only answers from queried peers count towards readiness, since other messages
        may have been waiting while the process was paused.
        """
        if self._is_ready:
            return
        if is_answer and sender in self._queried_peers:
            self._answered_peers.add(sender)
        self._store.raise_floor(version)

    def readiness(self, now_ms: float) -> VersionReadiness:
        """Returns whether the node may accept work."""
        if self._is_ready:
            return VersionReadiness(True, "ready")
        if self._store.head.version == 0:
            return VersionReadiness(False, "no version in force")
        if not self._store.is_at_floor:
            return VersionReadiness(
                False, f"behind version {self._store.floor_version}"
            )
        if len(self._answered_peers) < MIN_PEER_ANSWERS and not self._has_waited(
            now_ms
        ):
            return VersionReadiness(False, "waiting for peers")
        self._is_ready = True
        return VersionReadiness(True, "ready")

    def _has_waited(self, now_ms: float) -> bool:
        return (
            self._queried_ms is not None and now_ms - self._queried_ms >= self._wait_ms
        )
