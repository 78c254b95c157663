"""Token buckets and throttles that bound a rate without coordination."""

import math

MAX_LATE_MS = 500


class TokenBucket:
    """Allows a steady rate and a bounded burst.

    Args:
        rate_per_s: tokens added each second.
        burst: most tokens held.
        now_ms: the time at the start; the bucket starts full.
    """

    def __init__(self, rate_per_s: float, burst: float, now_ms: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._updated_ms = now_ms

    def set_rate(self, rate_per_s: float, now_ms: float) -> None:
        """Changes the steady rate from now on."""
        self._refill(now_ms)
        self._rate_per_s = rate_per_s

    def take(self, now_ms: float, count: float = 1) -> bool:
        """Takes tokens if there are enough; returns whether it did."""
        self._refill(now_ms)
        if self._tokens < count:
            return False
        self._tokens -= count
        return True

    def take_up_to(self, now_ms: float, count: int) -> int:
        """Takes as many whole tokens as there are, at most ``count``."""
        self._refill(now_ms)
        taken = min(count, int(self._tokens))
        self._tokens -= taken
        return taken

    def wait_ms(self, now_ms: float, count: float = 1) -> float:
        """Returns the time until ``take`` can succeed."""
        self._refill(now_ms)
        lacking = max(0.0, count - self._tokens)
        return lacking * 1_000 / self._rate_per_s

    def _refill(self, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - self._updated_ms)
        self._updated_ms = max(now_ms, self._updated_ms)
        gained = elapsed_ms * self._rate_per_s / 1_000
        self._tokens = min(self._burst, self._tokens + gained)


class PeriodicThrottle:
    """Allows one call per period, at a moment that is drawn once per node.

    When many throttles of a fleet are asked at the same time, their calls spread over
    the period; full token buckets would let all calls through.

    Args:
        phase: share of the period before the node's moment, 0 to 1, at random.
        now_ms: the time at the start.
    """

    def __init__(self, phase: float, now_ms: float) -> None:
        self._phase = phase
        self._start_ms = now_ms
        self._moment_ms: float | None = None

    def take(self, now_ms: float, period_ms: float) -> bool:
        """Requests a call; returns whether the moment for it has come.

        The first request only sets the moment. A moment that was missed by more than
        `MAX_LATE_MS` passes unused.
        """
        moment_ms = self._moment_ms
        if moment_ms is None or now_ms - moment_ms > MAX_LATE_MS:
            self._moment_ms = self._next_ms(now_ms, period_ms)
            return False
        if now_ms < moment_ms:
            return False
        self._moment_ms = None
        return True

    def _next_ms(self, now_ms: float, period_ms: float) -> float:
        first_ms = self._start_ms + self._phase * period_ms
        periods = math.floor((now_ms - first_ms) / period_ms) + 1
        return first_ms + periods * period_ms
