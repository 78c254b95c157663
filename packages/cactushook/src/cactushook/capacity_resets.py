"""Learns at how many concurrent requests a worker resets connections.

Some workers reset a connection when they are at capacity. Such a reset differs from a
crash and from a failing worker in that the requests which run beside it survive, and in
that requests at lower concurrency are answered. A loss is therefore judged a moment
later, once it is known which requests survived.
"""

import collections
import dataclasses

from .calls import Call

# Within this time a crash of the worker ends all requests that ran at the loss.
SETTLE_MS = 100.0
# A loss that is not explained within this time counts as a failure of the worker.
MAX_PENDING_MS = 2_000.0
WINDOW_MS = 10_000.0
MAX_KEPT_RUNS = 40
# A single loss may have another cause, such as an idle connection that just expired.
MIN_RESETS = 2
# A worker that loses this share of the requests at lower concurrency fails at any load.
MAX_LOST_BELOW_SHARE = 0.15
# So does one that answered most of the latest requests at this or higher concurrency.
LATEST_RUNS_ABOVE = 4
MAX_ANSWERED_ABOVE = 2
# Time between probes of the limit; it doubles with each probe, up to the maximum.
MIN_PROBE_PERIOD_MS = 5_000.0
MAX_PROBE_PERIOD_MS = 60_000.0
# Delay of the next probe after one that was answered.
ANSWERED_PROBE_DELAY_MS = 1_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """A request whose connection to the worker ended without an answer.

    Attributes:
        call: the request.
        level: requests at the worker when it was sent, itself included.
        lost_ms: when the connection ended.
    """

    call: Call
    level: int
    lost_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Judged:
    """Losses that were judged now.

    Attributes:
        failures: losses that count against the worker.
        resets: losses because the worker was at capacity.
    """

    failures: tuple[Loss, ...] = ()
    resets: tuple[Loss, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class _Run:
    level: int
    ended_ms: float
    lost: bool


@dataclasses.dataclass(slots=True)
class _PendingLoss:
    loss: Loss
    # Whether a request that ran at the loss was answered after it.
    has_survivor: bool = False


class CapacityResets:
    """Judges losses and holds the number of requests that a worker is known to take."""

    def __init__(self) -> None:
        self._runs: collections.deque[_Run] = collections.deque(maxlen=MAX_KEPT_RUNS)
        self._pending: list[_PendingLoss] = []
        self._resets: collections.deque[Loss] = collections.deque(maxlen=MAX_KEPT_RUNS)
        self._limit: int | None = None
        self._limit_set_ms = 0.0
        self._next_probe_ms = 0.0
        self._probe_period_ms = MIN_PROBE_PERIOD_MS
        # Whether the latest probe was answered.
        self._is_rising = False

    @property
    def limit(self) -> int | None:
        """Requests that the worker may get at once; None if nothing was learned."""
        return self._limit

    @property
    def cap(self) -> int | None:
        """The limit, or less while losses are not judged yet; None if there is none."""
        levels = [item.loss.level - 1 for item in self._pending]
        if self._limit is not None:
            levels.append(self._limit)
        return min(levels, default=None)

    def reset(self) -> None:
        """Forgets everything, since the worker was replaced."""
        self._runs.clear()
        self._pending.clear()
        self._forget_limit()

    def record_loss(self, loss: Loss) -> Judged:
        """Records a lost request, which is judged now or later."""
        now_ms = loss.lost_ms
        may_be_reset = loss.level > 1 and not self._fails_at_any_load(
            loss.level, now_ms
        )
        self._runs.append(_Run(loss.level, now_ms, True))
        if may_be_reset:
            self._pending.append(_PendingLoss(loss))
            return Judged()
        if self._limit is not None and self._fails_below(self._limit + 1, now_ms):
            self._forget_limit()
        return Judged((loss,))

    def record_answer(self, level: int, started_ms: float, now_ms: float) -> Judged:
        """Records an answered request.

        Args:
            level: requests at the worker when it was sent, itself included.
            started_ms: when it was sent.
            now_ms: the time.
        """
        self._runs.append(_Run(level, now_ms, False))
        if (
            self._limit is not None
            and level > self._limit
            and started_ms >= self._limit_set_ms
        ):
            self._set_limit(level, now_ms)
            self._is_rising = True
            self._probe_period_ms = MIN_PROBE_PERIOD_MS
            self._next_probe_ms = now_ms + ANSWERED_PROBE_DELAY_MS
        resets = []
        for item in list(self._pending):
            ran_at_loss = started_ms <= item.loss.lost_ms
            has_settled = now_ms >= item.loss.lost_ms + SETTLE_MS
            if (ran_at_loss and has_settled) or (not ran_at_loss and item.has_survivor):
                resets.append(item.loss)
                self._pending.remove(item)
            item.has_survivor |= ran_at_loss
        return self._learn(resets, (), now_ms)

    def judge(self, oldest_started_ms: float, now_ms: float) -> Judged:
        """Judges the losses that have become due.

        Args:
            oldest_started_ms: when the oldest request at the worker was sent; infinity
                if there is none.
            now_ms: the time.
        """
        resets, failures, remaining = [], [], []
        for item in self._pending:
            age_ms = now_ms - item.loss.lost_ms
            if age_ms < SETTLE_MS:
                remaining.append(item)
            elif oldest_started_ms <= item.loss.lost_ms:
                resets.append(item.loss)
            elif not item.has_survivor or age_ms >= MAX_PENDING_MS:
                failures.append(item.loss)
            else:
                remaining.append(item)
        self._pending = remaining
        return self._learn(resets, failures, now_ms)

    def on_worker_down(self) -> None:
        """Drops the losses that are not judged yet, since the worker has crashed."""
        self._pending.clear()

    def take_probe(self, running: int, is_repeatable: bool, now_ms: float) -> bool:
        """Decides whether a request may be sent beyond the limit, and counts it.

        Its connection may be reset. A request that must not run again probes only if no
        other has done so for `MAX_PROBE_PERIOD_MS`, or after a probe that was answered.

        Args:
            running: requests at the worker at present.
            is_repeatable: whether the request may run again.
            now_ms: the time.
        """
        may_probe = is_repeatable or self._is_rising
        due_ms = self._next_probe_ms + (0 if may_probe else MAX_PROBE_PERIOD_MS)
        if self._pending or running != self._limit or now_ms < due_ms:
            return False
        self._is_rising = False
        self._probe_period_ms = min(MAX_PROBE_PERIOD_MS, 2 * self._probe_period_ms)
        self._next_probe_ms = now_ms + self._probe_period_ms
        return True

    def drop_limit_from(self, slots: int) -> None:
        """Forgets the limit if it is not below the worker's slots."""
        if self._limit is not None and self._limit >= slots:
            self._forget_limit()

    def _learn(self, resets: list[Loss], failures: list[Loss], now_ms: float) -> Judged:
        self._resets.extend(resets)
        since_ms = now_ms - WINDOW_MS
        levels = [loss.level for loss in self._resets if loss.lost_ms > since_ms]
        if resets and len(levels) >= MIN_RESETS:
            limit = min(levels) - 1
            if self._limit is None or limit < self._limit:
                self._set_limit(limit, now_ms)
                self._next_probe_ms = max(
                    self._next_probe_ms, now_ms + self._probe_period_ms
                )
        return Judged(tuple(failures), tuple(resets))

    def _set_limit(self, limit: int, now_ms: float) -> None:
        self._limit = limit
        self._limit_set_ms = now_ms

    def _forget_limit(self) -> None:
        self._limit = None
        self._is_rising = False
        self._resets.clear()
        self._probe_period_ms = MIN_PROBE_PERIOD_MS

    def _fails_at_any_load(self, level: int, now_ms: float) -> bool:
        above = [run.lost for run in self._recent(now_ms) if run.level >= level]
        latest = above[-LATEST_RUNS_ABOVE:]
        answered_above = len(latest) - sum(latest)
        return answered_above > MAX_ANSWERED_ABOVE or self._fails_below(level, now_ms)

    def _fails_below(self, level: int, now_ms: float) -> bool:
        # The losses of a burst are judged by the requests that survived it.
        since_ms = now_ms - SETTLE_MS
        below = [
            run.lost
            for run in self._recent(now_ms)
            if run.level < level and not (run.lost and run.ended_ms > since_ms)
        ]
        lost = sum(below)
        return lost >= MIN_RESETS and lost > MAX_LOST_BELOW_SHARE * len(below)

    def _recent(self, now_ms: float) -> list[_Run]:
        since_ms = now_ms - WINDOW_MS
        return [run for run in self._runs if run.ended_ms > since_ms]


__all__ = ["CapacityResets", "Judged", "Loss"]
