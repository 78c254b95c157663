"""A circuit breaker in front of one worker that fails what it is sent."""

import collections
import dataclasses

WINDOW_MS = 4_000.0
KEPT_RUNS = 20
MIN_FAILURES = 4
OPEN_SHARE = 0.35
# While open, one request is let through in each such time to see whether it recovered.
TRIAL_PERIOD_MS = 500.0
TRIALS_TO_CLOSE = 3
# A call that failed explains its parent's failure for so long.
EXCUSE_MS = 1_500.0
MAX_EXCUSES = 50


@dataclasses.dataclass(frozen=True, slots=True)
class _Run:
    ended_ms: float
    failed: bool


class CircuitBreaker:
    """Opens when a worker fails many of its latest requests, its health aside.

    A failure that follows from a failed call of the same worker counts for nothing: the
    cause lies elsewhere, and other workers would fail alike.
    """

    def __init__(self) -> None:
        self._runs: collections.deque[_Run] = collections.deque(maxlen=KEPT_RUNS)
        self._excuses_ms: collections.deque[float] = collections.deque(
            maxlen=MAX_EXCUSES
        )
        self._open = False
        self._good_trials = 0
        self._trial_ms = float("-inf")

    def reset(self) -> None:
        """Forgets everything, since another worker took the place."""
        self._runs.clear()
        self._excuses_ms.clear()
        self._open = False

    def record_nested_failure(self, now_ms: float) -> None:
        """Notes that a call which the worker made has failed."""
        self._excuses_ms.append(now_ms)

    def record_outcome(self, failed: bool, now_ms: float) -> None:
        """Takes in how a run ended."""
        if failed and self._is_excused(now_ms):
            return
        self._runs.append(_Run(now_ms, failed))
        if self._open:
            self._judge_trial(failed)
        else:
            self._open = self._is_failing(now_ms)
            self._good_trials = 0

    @property
    def is_open(self) -> bool:
        """Whether requests should rather go to other workers."""
        return self._open

    def allow_request(self, may_repeat: bool, insists: bool, now_ms: float) -> bool:
        """Decides on a request.

        Args:
            may_repeat: whether it may be sent again if it fails.
            insists: whether no other worker takes it.
            now_ms: the time.
        """
        if not self._open or insists:
            return True
        if not may_repeat or now_ms - self._trial_ms < TRIAL_PERIOD_MS:
            return False
        self._trial_ms = now_ms
        return True

    def _judge_trial(self, failed: bool) -> None:
        self._good_trials = 0 if failed else self._good_trials + 1
        if self._good_trials >= TRIALS_TO_CLOSE:
            self._open = False
            self._runs.clear()

    def _is_failing(self, now_ms: float) -> bool:
        since_ms = now_ms - WINDOW_MS
        recent = [run.failed for run in self._runs if run.ended_ms > since_ms]
        failures = sum(recent)
        return failures >= MIN_FAILURES and failures >= OPEN_SHARE * len(recent)

    def _is_excused(self, now_ms: float) -> bool:
        while self._excuses_ms and self._excuses_ms[0] < now_ms - EXCUSE_MS:
            self._excuses_ms.popleft()
        if not self._excuses_ms:
            return False
        self._excuses_ms.popleft()
        return True


__all__ = ["CircuitBreaker"]
