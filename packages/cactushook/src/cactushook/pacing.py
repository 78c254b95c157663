"""Keeps large answers from filling the queue of a host's network link."""

from .calls import Call
from .calls import Refusal
from .exceptions import ErrorKind

# Share of the link that paced data may take; the rest is left to short messages.
LINK_SHARE = 0.85
# Sending time that a late wake-up may catch up on.
BURST_MS = 5.0
# Share of its remaining time that a request may wait for the link if it can no longer
# meet its objective.
LATE_SHARE = 0.3
_BITS_PER_BYTE = 8
_BITS_PER_MS_OF_MBPS = 1_000


class Pacer:
    """Schedules the parts of large answers on a host's network link.

    Data that is sent without waiting counts too, so that all data together keeps to
    the rate.

    Args:
        link_mbps: rate of the host's link, in megabits per second; None for a link that
            needs no pacing.
    """

    def __init__(self, link_mbps: float | None) -> None:
        self._bytes_per_ms = 0.0
        if link_mbps is not None:
            bits_per_ms = link_mbps * _BITS_PER_MS_OF_MBPS
            self._bytes_per_ms = LINK_SHARE * bits_per_ms / _BITS_PER_BYTE
        self._free_ms = 0.0
        self._reserved_bytes = 0

    def schedule_send_ms(self, size_bytes: int, now_ms: float) -> float:
        """Counts bytes that are about to be sent and returns how long they wait."""
        if not self._bytes_per_ms:
            return 0.0
        start_ms = max(self._free_ms, now_ms - BURST_MS)
        self._free_ms = start_ms + size_bytes / self._bytes_per_ms
        return max(0.0, start_ms - now_ms)

    def reserve(self, size_bytes: int) -> "Reservation":
        """Reserves bytes for an answer that is expected to be sent."""
        self._reserved_bytes += size_bytes
        return Reservation(self, size_bytes)

    def release_bytes(self, size_bytes: int) -> None:
        """Takes bytes off the reserved total."""
        self._reserved_bytes -= size_bytes

    def wait_ms(self, size_bytes: int, now_ms: float) -> float:
        """Returns the time until an answer would be sent, behind all reserved ones."""
        if not self._bytes_per_ms:
            return 0.0
        ahead_bytes = self._reserved_bytes + size_bytes
        return max(0.0, self._free_ms - now_ms) + ahead_bytes / self._bytes_per_ms


class Reservation:
    """The part of an expected answer that has not been sent yet.

    Args:
        pacer: the pacer that holds the reservation.
        size_bytes: expected length of the answer.
    """

    def __init__(self, pacer: Pacer, size_bytes: int) -> None:
        self._pacer = pacer
        self._left_bytes = size_bytes

    def consume(self, size_bytes: int) -> None:
        """Takes a part that is about to be sent off the reservation."""
        released_bytes = min(size_bytes, self._left_bytes)
        self._left_bytes -= released_bytes
        self._pacer.release_bytes(released_bytes)

    def close(self) -> None:
        """Releases the rest, since nothing more will be sent."""
        self.consume(self._left_bytes)


def refuse_unsendable(
    call: Call, send_ms: float, run_ms: float, now_ms: float
) -> Refusal | None:
    """Refuses a request whose answer the link would not carry in time.

    A request that can no longer meet its objective may use the remaining room on the
    link: it may wait for `LATE_SHARE` of its remaining time.

    Args:
        call: the request.
        send_ms: time until the answer would be sent, without its run.
        run_ms: time that a run takes.
        now_ms: the time.
    """
    limit_ms = call.objective_ms
    if limit_ms <= now_ms + run_ms:
        limit_ms = now_ms + run_ms + LATE_SHARE * max(0.0, call.deadline_ms - now_ms)
    # Some of the data ahead of the answer is sent while the request runs.
    if now_ms + max(run_ms, send_ms) <= limit_ms:
        return None
    detail = f"the network link would need {send_ms:.0f} ms to send the answer"
    return Refusal(ErrorKind.OVERLOADED, detail, retry_after_ms=round(send_ms))


__all__ = ["Pacer", "Reservation", "refuse_unsendable"]
