"""The timer service: one clock that parts subscribe to."""

import dataclasses
import heapq
import itertools
import typing as t

PAUSE_THRESHOLD_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Pause:
    """The process did not run for a while.

    Attributes:
        started_ms: last moment known to have run.
        length_ms: how late the clock was read.
    """

    started_ms: float
    length_ms: float


@dataclasses.dataclass(slots=True)
class Subscription:
    """A part's entry in the timer service."""

    period_ms: float
    callback: t.Callable[[float], None]
    cancelled: bool = False

    def cancel(self) -> None:
        """Stops further calls."""
        self.cancelled = True


class TimerService:
    """Calls subscribers when their period has passed; reports pauses.

    It has no clock of its own: whoever drives it calls `advance` with the time.

    Args:
        now_ms: the time at the start.
        pause_threshold_ms: a gap between two readings that counts as a pause.
    """

    def __init__(
        self, now_ms: float, pause_threshold_ms: float = PAUSE_THRESHOLD_MS
    ) -> None:
        self.now_ms = now_ms
        self._pause_threshold_ms = pause_threshold_ms
        self._queue: list[tuple[float, int, Subscription]] = []
        self._order = itertools.count()
        self._on_pause: list[t.Callable[[Pause], None]] = []

    def every(
        self,
        period_ms: float,
        callback: t.Callable[[float], None],
        first_ms: float | None = None,
    ) -> Subscription:
        """Calls back each period with the time, first after ``first_ms``."""
        subscription = Subscription(period_ms, callback)
        delay_ms = period_ms if first_ms is None else first_ms
        self._push(self.now_ms + delay_ms, subscription)
        return subscription

    def after(
        self, delay_ms: float, callback: t.Callable[[float], None]
    ) -> Subscription:
        """Calls back once, after a delay."""
        subscription = Subscription(0, callback)
        self._push(self.now_ms + delay_ms, subscription)
        return subscription

    def on_pause(self, callback: t.Callable[[Pause], None]) -> None:
        """Calls back when the process turns out to have been paused."""
        self._on_pause.append(callback)

    @property
    def next_due_ms(self) -> float | None:
        """Time of the next call, or None."""
        return self._queue[0][0] if self._queue else None

    def advance(self, now_ms: float) -> None:
        """Sets the time and calls all that is due, in order of time."""
        gap_ms = now_ms - self.now_ms
        started_ms = self.now_ms
        self.now_ms = max(now_ms, self.now_ms)
        if gap_ms > self._pause_threshold_ms:
            for callback in self._on_pause:
                callback(Pause(started_ms, gap_ms))
        while self._queue and self._queue[0][0] <= self.now_ms:
            self._run_next()

    def _run_next(self) -> None:
        _, _, subscription = heapq.heappop(self._queue)
        if subscription.cancelled:
            return
        subscription.callback(self.now_ms)
        if subscription.period_ms > 0 and not subscription.cancelled:
            self._push(self.now_ms + subscription.period_ms, subscription)

    def _push(self, at_ms: float, subscription: Subscription) -> None:
        heapq.heappush(self._queue, (at_ms, next(self._order), subscription))
