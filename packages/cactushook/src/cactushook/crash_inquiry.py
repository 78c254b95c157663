"""Decides how long a gate waits for what its peers know of crashes."""

import typing as t

from .calls import Refusal
from .exceptions import ErrorKind

# How long new work is refused at most while peers are asked.
INQUIRY_LIMIT_MS = 300
MAX_ASKED_PEERS = 8


class CrashInquiry:
    """Follows the questions that a gate has sent to the other gates of its service.

    A gate that starts, or whose backend server does, may have missed reports of
    crashes. New work is refused until a peer that has nothing to ask itself has
    answered, or each peer has answered or cannot be reached, for ``INQUIRY_LIMIT_MS``
    at most.
    """

    def __init__(self) -> None:
        self._awaited: frozenset[str] = frozenset()
        self._until_ms = 0.0

    def start(self, addresses: t.Collection[str], now_ms: float) -> None:
        """Records that the peers at these addresses are being asked."""
        self._awaited = frozenset(addresses)
        self._until_ms = now_ms + INQUIRY_LIMIT_MS

    def on_answer(self, address: str, complete: bool) -> None:
        """Records an answer.

        Args:
            address: the peer's address.
            complete: whether the peer did not wait for answers itself.
        """
        self._awaited = frozenset() if complete else self._awaited - {address}

    def on_unreachable(self, address: str) -> None:
        """Records that a peer cannot be reached."""
        self._awaited -= {address}

    def is_waiting(self, now_ms: float) -> bool:
        """Returns whether answers are awaited."""
        return bool(self._awaited) and now_ms < self._until_ms

    def refusal(self, now_ms: float) -> Refusal | None:
        """Returns why new work is refused, or None."""
        if not self.is_waiting(now_ms):
            return None
        detail = "the node asks its peers which requests crash backend servers"
        return Refusal(ErrorKind.NOT_READY, detail)


__all__ = ["CrashInquiry"]
