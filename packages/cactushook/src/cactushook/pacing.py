"""Keeps large answers from filling the queue of a host's network link."""

# Share of the link that paced data may take; the rest is left to short messages.
LINK_SHARE = 0.85
# What a late wake-up may catch up on.
BURST_MS = 5.0
_BITS_PER_BYTE = 8
_BITS_PER_MS_OF_MBPS = 1_000


class Pacer:
    """Tells how long a part of a large answer waits before it is sent.

    What is sent without waiting counts too, so that both together keep to the rate.

    Args:
        link_mbps: rate of the host's link, in megabits a second; None for a link that
            needs no pacing.
    """

    def __init__(self, link_mbps: float | None) -> None:
        self._bytes_per_ms = 0.0
        if link_mbps is not None:
            bits_per_ms = link_mbps * _BITS_PER_MS_OF_MBPS
            self._bytes_per_ms = LINK_SHARE * bits_per_ms / _BITS_PER_BYTE
        self._free_ms = 0.0

    def delay_ms(self, size_bytes: int, now_ms: float) -> float:
        """Counts bytes that are about to be sent and returns how long they wait."""
        if not self._bytes_per_ms:
            return 0.0
        start_ms = max(self._free_ms, now_ms - BURST_MS)
        self._free_ms = start_ms + size_bytes / self._bytes_per_ms
        return max(0.0, start_ms - now_ms)


__all__ = ["Pacer"]
