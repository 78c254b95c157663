"""A circuit breaker for a worker that fails its requests."""

import collections
import dataclasses

WINDOW_MS = 4_000.0
MAX_KEPT_RUNS = 20
MIN_FAILURES = 4
OPEN_SHARE = 0.35
# While the breaker is open, one request per period tests whether the worker recovered.
TRIAL_PERIOD_MS = 500.0
# Without a retryable request for this long, any request is the trial: a service may
# have no retryable routes, and its workers would never be used again.
ANY_TRIAL_PERIOD_MS = 2_000.0
TRIALS_TO_CLOSE = 3
# How long a failed nested call explains a failure of its parent.
NESTED_FAILURE_TTL_MS = 1_500.0
MAX_NESTED_FAILURES = 50


@dataclasses.dataclass(frozen=True, slots=True)
class _Run:
    ended_ms: float
    failed: bool


class CircuitBreaker:
    """Opens when a worker fails many of its latest requests, even if it seems healthy.

    A failure that follows a failed call by the same worker does not count: its cause
    lies elsewhere, and other workers would fail as well.
    """

    def __init__(self) -> None:
        self._runs: collections.deque[_Run] = collections.deque(maxlen=MAX_KEPT_RUNS)
        self._nested_failures_ms: collections.deque[float] = collections.deque(
            maxlen=MAX_NESTED_FAILURES
        )
        self._is_open = False
        self._good_trials = 0
        self._trial_ms = float("-inf")

    def reset(self) -> None:
        """Closes the breaker and forgets all runs, since the worker was replaced."""
        self._runs.clear()
        self._nested_failures_ms.clear()
        self._is_open = False

    def record_nested_failure(self, now_ms: float) -> None:
        """Records that a call made by the worker has failed."""
        self._nested_failures_ms.append(now_ms)

    def record_outcome(self, failed: bool, now_ms: float) -> None:
        """Records how a run ended."""
        if failed and self._take_nested_failure(now_ms):
            return
        self._runs.append(_Run(now_ms, failed))
        if self._is_open:
            self._record_trial(failed)
        elif self._is_failing(now_ms):
            self._is_open = True
            self._good_trials = 0
            # The first retryable request is a trial at once.
            self._trial_ms = now_ms - TRIAL_PERIOD_MS

    @property
    def is_open(self) -> bool:
        """Whether requests should go to other workers."""
        return self._is_open

    def allow_request(self, is_retryable: bool, insists: bool, now_ms: float) -> bool:
        """Decides whether a request may be sent to the worker.

        Args:
            is_retryable: whether it may be sent again if it fails.
            insists: whether no other gate is asked if this one refuses.
            now_ms: the time.
        """
        if not self._is_open or insists:
            return True
        period_ms = TRIAL_PERIOD_MS if is_retryable else ANY_TRIAL_PERIOD_MS
        if now_ms - self._trial_ms < period_ms:
            return False
        self._trial_ms = now_ms
        return True

    def _record_trial(self, failed: bool) -> None:
        self._good_trials = 0 if failed else self._good_trials + 1
        if self._good_trials >= TRIALS_TO_CLOSE:
            self._is_open = False
            self._runs.clear()

    def _is_failing(self, now_ms: float) -> bool:
        since_ms = now_ms - WINDOW_MS
        recent = [run.failed for run in self._runs if run.ended_ms > since_ms]
        failures = sum(recent)
        return failures >= MIN_FAILURES and failures >= OPEN_SHARE * len(recent)

    def _take_nested_failure(self, now_ms: float) -> bool:
        """Takes one recent nested failure; returns whether there was one."""
        while (
            self._nested_failures_ms
            and self._nested_failures_ms[0] < now_ms - NESTED_FAILURE_TTL_MS
        ):
            self._nested_failures_ms.popleft()
        if not self._nested_failures_ms:
            return False
        self._nested_failures_ms.popleft()
        return True


__all__ = ["CircuitBreaker"]
