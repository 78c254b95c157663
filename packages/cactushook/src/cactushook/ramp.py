"""Limits the load on a cold worker and detects when a worker turns cold."""

import collections
import math

COLD_SLOTS = 1
WARM_SAMPLES = 30
SLOW_RATIO = 3.0
SLOW_ANSWERS = 8
MIN_LEVEL_WEIGHT = 0.05
# Requests that a cold worker may get at once.
COLD_BURST = 2.0
# A cold worker's requests are counted in any span of this length.
COLD_WINDOW_MS = 1_000.0
# How long a worker is treated as cold when it may have restarted unnoticed.
ASSUMED_COLD_MS = 3_000.0


class Ramp:
    """Grows the usable slots from one to all after a cold start.

    Args:
        slots: the worker's slots when warm.
        ramp_ms: time from cold to warm.
        now_ms: time of the first start, which is treated as cold.
    """

    def __init__(self, slots: int, ramp_ms: float, now_ms: float) -> None:
        self._slots = slots
        self._ramp_ms = ramp_ms
        self._cold_since_ms = now_ms

    def resize(self, slots: int, ramp_ms: float) -> None:
        """Applies a change of the worker's limits."""
        self._slots = slots
        self._ramp_ms = ramp_ms

    def restart(self, now_ms: float) -> None:
        """Restarts the ramp because the worker is cold again."""
        self._cold_since_ms = now_ms

    def admit(self, now_ms: float) -> None:
        """Does nothing: the ramp limits only slots, not the rate of requests."""

    def capacity(self, now_ms: float) -> int:
        """Returns the slots that may be used now."""
        share = min(1.0, max(0.0, (now_ms - self._cold_since_ms) / self._ramp_ms))
        return max(COLD_SLOTS, math.floor(self._slots * share))

    def wait_ms(self, ahead: int, service_ms: float, now_ms: float) -> float:
        """Returns how long a request is expected to wait behind ``ahead`` requests."""
        return ahead * service_ms / self.capacity(now_ms)

    def retry_after_ms(self, wait_ms: float, now_ms: float) -> float:
        """Returns when a refused request should return; ``wait_ms`` is the queue's."""
        return wait_ms

    def is_cold(self, now_ms: float) -> bool:
        """Returns whether the ramp is still running."""
        return self.capacity(now_ms) < self._slots


class ColdRateLimiter:
    """Limits the request rate of a cold worker that reports how long it stays cold.

    The report comes late: the worker has been cold for a moment, and has got requests
    at the full rate. Those of the last second count towards the limit.

    Args:
        slots: slots of the worker.
        per_s: requests per second that the cold worker can handle.
    """

    def __init__(self, slots: int, per_s: float) -> None:
        self._slots = slots
        self._per_s = per_s
        self._cold_until_ms = 0.0
        self._tokens = 1.0
        self._filled_ms = 0.0
        # When the latest requests were sent, as many as may be in a second.
        self._sent_ms: collections.deque[float] = collections.deque()

    def resize(self, slots: int, per_s: float) -> None:
        """Applies a change of the worker's limits."""
        self._slots = slots
        self._per_s = per_s

    def restart(self, now_ms: float) -> None:
        """Treats the worker as cold for `ASSUMED_COLD_MS` or until its next report."""
        self.set_cold_remaining(ASSUMED_COLD_MS, now_ms)

    def set_cold_remaining(self, left_ms: float, now_ms: float) -> None:
        """Sets how much longer the worker stays cold."""
        if left_ms > 0 and not self.is_cold(now_ms):
            self._tokens = 1.0
            self._filled_ms = now_ms
        self._cold_until_ms = now_ms + left_ms

    def capacity(self, now_ms: float) -> int:
        """Returns the slots that may be used now."""
        if not self.is_cold(now_ms):
            return self._slots
        has_room = self._refill(now_ms) >= 1 and not self._full_for_ms(now_ms)
        return self._slots if has_room else 0

    def admit(self, now_ms: float) -> None:
        """Counts a request that is sent to the worker."""
        if self.is_cold(now_ms):
            self._tokens = self._refill(now_ms) - 1
        self._sent_ms.append(now_ms)
        while len(self._sent_ms) > self._most_per_second:
            self._sent_ms.popleft()

    def wait_ms(self, ahead: int, service_ms: float, now_ms: float) -> float:
        """Returns how long a request is expected to wait behind ``ahead`` requests."""
        if self.is_cold(now_ms):
            return self._full_for_ms(now_ms) + ahead / self._per_s * 1_000
        return ahead * service_ms / self._slots

    def retry_after_ms(self, wait_ms: float, now_ms: float) -> float:
        """Returns when a refused request should return; ``wait_ms`` is the queue's.

        More requests than a cold worker can handle come until it is warm.
        """
        return max(wait_ms, self._cold_until_ms - now_ms)

    def is_cold(self, now_ms: float) -> bool:
        """Returns whether the worker is still cold."""
        return now_ms < self._cold_until_ms

    @property
    def _most_per_second(self) -> int:
        return max(1, math.floor(self._per_s + COLD_BURST))

    def _full_for_ms(self, now_ms: float) -> float:
        """Returns how long no request may be sent because of those sent before."""
        if len(self._sent_ms) < self._most_per_second:
            return 0.0
        return max(0.0, self._sent_ms[-self._most_per_second] + COLD_WINDOW_MS - now_ms)

    def _refill(self, now_ms: float) -> float:
        gained = (now_ms - self._filled_ms) / 1_000 * self._per_s
        self._tokens = min(COLD_BURST, self._tokens + gained)
        self._filled_ms = now_ms
        return self._tokens


class SlowdownDetector:
    """Detects from a run of slow answers that a worker has turned cold."""

    def __init__(self) -> None:
        self._warm_level_ms = 0.0
        self._samples = 0
        self._slow_answers = 0

    def reset(self) -> None:
        """Forgets the latencies and learns the warm level again."""
        self._warm_level_ms = 0.0
        self._samples = 0
        self._slow_answers = 0

    def observe(self, latency_ms: float) -> bool:
        """Records an answer's latency; returns whether the worker has turned cold."""
        if (
            self._samples >= WARM_SAMPLES
            and latency_ms > SLOW_RATIO * self._warm_level_ms
        ):
            self._slow_answers += 1
            return self._slow_answers >= SLOW_ANSWERS
        self._slow_answers = 0
        self._samples += 1
        weight = max(MIN_LEVEL_WEIGHT, 1 / self._samples)
        self._warm_level_ms += weight * (latency_ms - self._warm_level_ms)
        return False
