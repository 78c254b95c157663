"""Timer service: one clock that components subscribe to."""

import dataclasses
import heapq
import itertools
import typing as t

PAUSE_THRESHOLD_MS = 1_000

T = t.TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class Pause:
    """A period in which the process did not run.

    Attributes:
        started_ms: last time at which the process is known to have run.
        length_ms: time from then until the clock was read again.
    """

    started_ms: float
    length_ms: float


@dataclasses.dataclass(slots=True)
class Subscription:
    """A registered callback of the timer service."""

    period_ms: float
    callback: t.Callable[[float], None]
    cancelled: bool = False

    def cancel(self) -> None:
        """Cancels further calls."""
        self.cancelled = True


class TimerService:
    """Calls subscribers when their period has elapsed and reports pauses.

    It has no clock of its own: the caller passes the time to `advance`.

    Args:
        now_ms: the start time.
        pause_threshold_ms: a longer gap between two readings counts as a pause.
        on_error: called with an error that a callback raised; the other callbacks, and
            the next call of the same one, are not affected. By default `advance`
            raises the error.
    """

    def __init__(
        self,
        now_ms: float,
        pause_threshold_ms: float = PAUSE_THRESHOLD_MS,
        on_error: t.Callable[[Exception], None] | None = None,
    ) -> None:
        self.now_ms = now_ms
        self._pause_threshold_ms = pause_threshold_ms
        self._on_error = on_error
        self._queue: list[tuple[float, int, Subscription]] = []
        self._sequence = itertools.count()
        self._pause_callbacks: list[t.Callable[[Pause], None]] = []

    def every(
        self,
        period_ms: float,
        callback: t.Callable[[float], None],
        first_ms: float | None = None,
    ) -> Subscription:
        """Registers a callback that is called with the time once per period.

        The first call comes after ``first_ms``, or after one period by default.
        """
        subscription = Subscription(period_ms, callback)
        delay_ms = period_ms if first_ms is None else first_ms
        self._push(self.now_ms + delay_ms, subscription)
        return subscription

    def after(
        self, delay_ms: float, callback: t.Callable[[float], None]
    ) -> Subscription:
        """Registers a callback that is called once, after a delay."""
        subscription = Subscription(0, callback)
        self._push(self.now_ms + delay_ms, subscription)
        return subscription

    def on_pause(self, callback: t.Callable[[Pause], None]) -> None:
        """Registers a callback that is called after the process was paused."""
        self._pause_callbacks.append(callback)

    @property
    def next_due_ms(self) -> float | None:
        """Time of the next call, or None if none is scheduled."""
        return self._queue[0][0] if self._queue else None

    def advance(self, now_ms: float) -> None:
        """Sets the time and runs all due callbacks in order of time."""
        gap_ms = now_ms - self.now_ms
        started_ms = self.now_ms
        self.now_ms = max(now_ms, self.now_ms)
        if gap_ms > self._pause_threshold_ms:
            for callback in self._pause_callbacks:
                self._call(callback, Pause(started_ms, gap_ms))
        while self._queue and self._queue[0][0] <= self.now_ms:
            self._run_next()

    def _run_next(self) -> None:
        _, _, subscription = heapq.heappop(self._queue)
        if subscription.cancelled:
            return
        self._call(subscription.callback, self.now_ms)
        if subscription.period_ms > 0 and not subscription.cancelled:
            self._push(self.now_ms + subscription.period_ms, subscription)

    def _call(self, callback: t.Callable[[T], None], argument: T) -> None:
        try:
            callback(argument)
        except Exception as error:
            if self._on_error is None:
                raise
            self._on_error(error)

    def _push(self, at_ms: float, subscription: Subscription) -> None:
        heapq.heappush(self._queue, (at_ms, next(self._sequence), subscription))
