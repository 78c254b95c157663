"""Decides what a request that got no answer says about its worker."""

import collections
import dataclasses

from .breaker import CircuitBreaker
from .calls import Call
from .capacity_resets import CapacityResets
from .capacity_resets import Judged
from .capacity_resets import Loss
from .exceptions import ErrorKind

# Requests lost within this time before a crash is detected may have caused it.
CRASH_WINDOW_MS = 1_000
MAX_LOST_REQUESTS = 64
# Abandoned requests that the worker may have run within this time before it may have
# caused it, too: without further requests, a crash shows only at the next start.
ABANDONED_WINDOW_MS = 10_000
MAX_ABANDONED_REQUESTS = 64
# How much later than it happens another start of the worker is listed.
LISTING_LAG_MS = 2_000
# Failures after which the worker certainly does not run the request.
_ENDED_KINDS = frozenset(
    (
        ErrorKind.WORKER_LOST,
        ErrorKind.WORKER_REJECTED,
        ErrorKind.WORKER_REPLACED,
        ErrorKind.WORKER_UNREACHABLE,
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Abandoned:
    """A request that its gate gave up after it was sent.

    Its caller left, its deadline passed, or its answer was invalid. The worker may not
    notice that, and stops at the deadline at the latest.
    """

    call: Call
    until_ms: float


class WorkerLosses:
    """Keeps the requests that may have crashed a worker, and judges each loss.

    Args:
        breaker: counts the losses that are failures of the worker.
    """

    def __init__(self, breaker: CircuitBreaker) -> None:
        self._breaker = breaker
        self._sent_ids: set[str] = set()
        self._lost: collections.deque[Loss] = collections.deque(
            maxlen=MAX_LOST_REQUESTS
        )
        self._abandoned: collections.deque[_Abandoned] = collections.deque(
            maxlen=MAX_ABANDONED_REQUESTS
        )
        # When the latest request was sent that was answered.
        self._alive_ms = float("-inf")
        self.resets = CapacityResets()

    @property
    def has_abandoned(self) -> bool:
        """Whether abandoned requests are kept that may have crashed the worker."""
        return bool(self._abandoned)

    def record_sent(self, call: Call) -> None:
        """Records that a request is being sent to the worker."""
        self._sent_ids.add(call.request_id)

    def record_end(self, call: Call, failure: ErrorKind | None, now_ms: float) -> None:
        """Records that a request ended at its gate.

        Args:
            call: the request.
            failure: why it got no complete answer; None if it got one.
            now_ms: the time.
        """
        was_sent = call.request_id in self._sent_ids
        self._sent_ids.discard(call.request_id)
        if was_sent and failure is not None and failure not in _ENDED_KINDS:
            until_ms = max(call.deadline_ms, now_ms)
            self._abandoned.append(_Abandoned(call, until_ms))

    def record_loss(self, call: Call, level: int, now_ms: float) -> None:
        """Records a request whose connection ended without an answer.

        Args:
            call: the request.
            level: requests at the worker when it was sent, itself included.
            now_ms: the time.
        """
        loss = Loss(call, level, now_ms)
        self._lost.append(loss)
        self._apply(self.resets.record_loss(loss), now_ms)

    def record_answer(self, level: int, started_ms: float, now_ms: float) -> None:
        """Records an answered request.

        An answer shows that the worker ran when the request was sent, not that it runs
        now. It clears the requests that the worker had ceased to run before, unless
        another start has answered that is not listed yet.
        """
        while self._lost and self._lost[0].lost_ms < started_ms:
            self._lost.popleft()
        self._alive_ms = max(self._alive_ms, started_ms)
        for item in tuple(self._abandoned):
            if item.until_ms < self._alive_ms - LISTING_LAG_MS:
                self._abandoned.remove(item)
        self._apply(self.resets.record_answer(level, started_ms, now_ms), now_ms)

    def judge(self, oldest_started_ms: float, now_ms: float) -> None:
        """Judges the losses that have become due."""
        self._apply(self.resets.judge(oldest_started_ms, now_ms), now_ms)

    def take_suspects(self, now_ms: float, lag_ms: float = 0.0) -> list[Call]:
        """Returns the requests that may have crashed the worker, and forgets them.

        Args:
            now_ms: the time.
            lag_ms: for how long answers may have come from another start already.
        """
        since_ms = now_ms - CRASH_WINDOW_MS
        suspects = [loss.call for loss in self._lost if loss.lost_ms > since_ms]
        since_ms = max(now_ms - ABANDONED_WINDOW_MS, self._alive_ms - lag_ms)
        suspects += [item.call for item in self._abandoned if item.until_ms > since_ms]
        self.forget_suspects()
        self.resets.on_worker_down()
        return suspects

    def forget_suspects(self) -> None:
        """Forgets the requests that may have crashed a worker that is gone."""
        self._lost.clear()
        self._abandoned.clear()

    def _apply(self, judged: Judged, now_ms: float) -> None:
        for loss in judged.resets:
            if loss in self._lost:
                self._lost.remove(loss)
        for _ in judged.failures:
            self._breaker.record_outcome(True, now_ms)


__all__ = ["LISTING_LAG_MS", "WorkerLosses"]
