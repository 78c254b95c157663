"""Decides whether a node that started or was paused may take work."""

import dataclasses
import typing as t

from .versions import VersionStore

PEERS_TO_HEAR = 2


@dataclasses.dataclass(frozen=True, slots=True)
class VersionReadiness:
    """Whether a node may take work, and why not."""

    ready: bool
    reason: str


class Boot:
    """A node's peers are its memory: they are heard before it takes work.

    Args:
        store: the configuration in force.
        now_ms: the time at the start.
        wait_ms: longest wait for peers that do not answer.
    """

    def __init__(self, store: VersionStore, now_ms: float, wait_ms: float) -> None:
        self._store = store
        self._wait_ms = wait_ms
        self._asked_ms: float | None = None
        self._asked: set[str] = set()
        self._heard: set[str] = set()
        self._settled = False
        self.restart(now_ms)

    def restart(self, now_ms: float) -> None:
        """Begins again: what the node knew may be old."""
        self._asked_ms = None
        self._asked.clear()
        self._heard.clear()
        self._settled = False

    def record_asked(self, addresses: t.Iterable[str], now_ms: float) -> None:
        """Notes that peers were asked, or that the node has none."""
        self._asked.update(addresses)
        if self._asked_ms is None:
            self._asked_ms = now_ms

    def on_peer_version(self, sender: str, version: int, is_answer: bool) -> None:
        """Notes a peer's version, which is a floor until the node is ready.

        Only answers of peers that were asked count: other messages may have waited
        while the process was paused.
        """
        if self._settled:
            return
        if is_answer and sender in self._asked:
            self._heard.add(sender)
        self._store.raise_floor(version)

    def readiness(self, now_ms: float) -> VersionReadiness:
        """Returns whether the node may take work."""
        if self._settled:
            return VersionReadiness(True, "ready")
        if self._store.head.version == 0:
            return VersionReadiness(False, "no version in force")
        if not self._store.is_at_floor:
            return VersionReadiness(
                False, f"behind version {self._store.floor_version}"
            )
        if len(self._heard) < PEERS_TO_HEAR and not self._waited(now_ms):
            return VersionReadiness(False, "asking peers")
        self._settled = True
        return VersionReadiness(True, "ready")

    def _waited(self, now_ms: float) -> bool:
        return self._asked_ms is not None and now_ms - self._asked_ms >= self._wait_ms
