"""Cold-start ramp: how many slots a worker may use while it warms up."""

import math

COLD_SLOTS = 1
WARM_SAMPLES = 30
SLOW_RATIO = 3.0
SLOW_ANSWERS = 8
LEVEL_SHARE = 0.05
# Requests that a cold worker may get at once.
COLD_BURST = 2.0
# How long a worker is taken as cold when it may have restarted unseen.
ASSUMED_COLD_MS = 3_000.0


class Ramp:
    """Grows the usable slots from one to all after a cold start.

    Args:
        slots: the worker's slots when warm.
        ramp_ms: time from cold to warm.
        now_ms: time of the first start, which is taken as cold.
    """

    def __init__(self, slots: int, ramp_ms: float, now_ms: float) -> None:
        self._slots = slots
        self._ramp_ms = ramp_ms
        self._cold_since_ms = now_ms

    def resize(self, slots: int, ramp_ms: float) -> None:
        """Follows a change of the worker's limits."""
        self._slots = slots
        self._ramp_ms = ramp_ms

    def restart(self, now_ms: float) -> None:
        """Notes that the worker is cold again."""
        self._cold_since_ms = now_ms

    def admit(self, now_ms: float) -> None:
        """Counts a request that is sent to the worker; the ramp bounds slots alone."""

    def capacity(self, now_ms: float) -> int:
        """Returns the slots that may be used now."""
        share = min(1.0, max(0.0, (now_ms - self._cold_since_ms) / self._ramp_ms))
        return max(COLD_SLOTS, math.floor(self._slots * share))

    def wait_ms(self, ahead: int, service_ms: float, now_ms: float) -> float:
        """Returns how long a request waits behind others that wait."""
        return ahead * service_ms / self.capacity(now_ms)

    def is_cold(self, now_ms: float) -> bool:
        """Tells whether the ramp is still running."""
        return self.capacity(now_ms) < self._slots


class ColdRateLimiter:
    """Bounds the requests a second of a worker that tells how long it stays cold.

    Args:
        slots: slots of the worker.
        per_s: requests a second that the cold worker can bear.
    """

    def __init__(self, slots: int, per_s: float) -> None:
        self._slots = slots
        self._per_s = per_s
        self._cold_until_ms = 0.0
        self._tokens = 1.0
        self._filled_ms = 0.0

    def resize(self, slots: int, per_s: float) -> None:
        """Follows a change of the worker's limits."""
        self._slots = slots
        self._per_s = per_s

    def restart(self, now_ms: float) -> None:
        """Notes that the worker may be cold again, until it tells more."""
        self.set_cold_remaining(ASSUMED_COLD_MS, now_ms)

    def set_cold_remaining(self, left_ms: float, now_ms: float) -> None:
        """Takes in how much longer the worker stays cold."""
        if left_ms > 0 and not self.is_cold(now_ms):
            self._tokens = 1.0
            self._filled_ms = now_ms
        self._cold_until_ms = now_ms + left_ms

    def capacity(self, now_ms: float) -> int:
        """Returns the slots that may be used now."""
        if not self.is_cold(now_ms):
            return self._slots
        return self._slots if self._fill(now_ms) >= 1 else 0

    def admit(self, now_ms: float) -> None:
        """Counts a request that is sent to the worker."""
        if self.is_cold(now_ms):
            self._tokens = self._fill(now_ms) - 1

    def wait_ms(self, ahead: int, service_ms: float, now_ms: float) -> float:
        """Returns how long a request waits behind others that wait."""
        if self.is_cold(now_ms):
            return ahead / self._per_s * 1_000
        return ahead * service_ms / self._slots

    def is_cold(self, now_ms: float) -> bool:
        """Tells whether the worker is still cold."""
        return now_ms < self._cold_until_ms

    def _fill(self, now_ms: float) -> float:
        gained = (now_ms - self._filled_ms) / 1_000 * self._per_s
        self._tokens = min(COLD_BURST, self._tokens + gained)
        self._filled_ms = now_ms
        return self._tokens


class SlowdownDetector:
    """Recognises a worker that turned cold by a run of slow answers."""

    def __init__(self) -> None:
        self._level_ms = 0.0
        self._samples = 0
        self._slow = 0

    def reset(self) -> None:
        """Starts to learn the warm level anew."""
        self._level_ms = 0.0
        self._samples = 0
        self._slow = 0

    def observe(self, latency_ms: float) -> bool:
        """Takes in an answer's latency and tells whether the worker turned cold."""
        if self._samples >= WARM_SAMPLES and latency_ms > SLOW_RATIO * self._level_ms:
            self._slow += 1
            return self._slow >= SLOW_ANSWERS
        self._slow = 0
        self._samples += 1
        share = max(LEVEL_SHARE, 1 / self._samples)
        self._level_ms += share * (latency_ms - self._level_ms)
        return False
