"""Decides whether the configuration in force is current enough to check keys with it.

A key that was revoked is still in an older configuration. A node that does not know how
old its configuration is must therefore not accept keys.
"""

import math

# Share of the maximum age after which keys are no longer accepted. The rest is a margin
# for requests that were accepted just before and have yet to reach a worker.
MAX_AGE_SHARE = 0.9
# Peers that must know nothing newer before a node that started without contact to the
# store accepts keys. A single peer may itself have been out of contact for long.
MIN_PEERS = 2


class Confirmation:
    """When the configuration in force was last known to be that of the store.

    It has no clock of its own: the caller passes the time.

    Args:
        max_age_ms: with a bound, keys are accepted only if the last confirmation is
            younger. Without one, keys are accepted from the first confirmation on, or
            once `MIN_PEERS` peers know nothing newer.

    Attributes:
        is_decoding: whether the node has a later configuration that is being decoded.
    """

    def __init__(self, max_age_ms: float | None) -> None:
        self.is_decoding = False
        self._max_age_ms = max_age_ms
        self._confirmed_ms = -math.inf
        self._peers: set[str] = set()
        self._has_started = False

    def record(self, confirmed_ms: float) -> None:
        """Records that the store had nothing newer at a time, which may lie back."""
        self._confirmed_ms = max(self._confirmed_ms, confirmed_ms)
        self._has_started = self._has_started or confirmed_ms > -math.inf

    def record_peer(self, address: str, knows_more: bool) -> None:
        """Records whether a peer knows something newer."""
        if self._has_started:
            return
        if knows_more:
            self._peers.clear()
            return
        self._peers.add(address)
        self._has_started = len(self._peers) >= MIN_PEERS

    def age_ms(self, now_ms: float) -> float:
        """Returns the time since the last confirmation; infinite without one."""
        return now_ms - self._confirmed_ms

    def knows_all_keys(self, now_ms: float) -> bool:
        """Returns whether a key that is not in force is not valid."""
        return self.allows_keys(now_ms) and not self.is_decoding

    def allows_keys(self, now_ms: float) -> bool:
        """Returns whether keys may be accepted."""
        if self._max_age_ms is None:
            return self._has_started
        return self.age_ms(now_ms) < MAX_AGE_SHARE * self._max_age_ms


__all__ = ["Confirmation"]
