"""Decides at the gate which requests run, wait or are refused."""

import dataclasses
import math
import typing as t

from .calls import Call
from .calls import Load
from .calls import Refusal
from .concurrency_limit import ConcurrencyLimit
from .exceptions import ErrorKind
from .nodes import Limits
from .nodes import RouteClass
from .ramp import ColdRateLimiter
from .ramp import Ramp
from .run_times import RunTimes
from .urgency import urgency

MIXED_BULK_SHARE = 0.5
# Weight of a new sample in the moving average of the service time.
SERVICE_TIME_WEIGHT = 0.1
# Retry delay advised to a caller whose request timed out in the queue.
RETRY_AFTER_MS = 200
# Share of its remaining time that a request may wait for a slot if it can no longer
# meet its objective.
LATE_WAIT_SHARE = 0.15


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The request may be sent to the worker now."""

    call: Call


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """The request waits for a slot until ``until_ms``."""

    call: Call
    until_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request is refused, at once or after it waited."""

    call: Call
    refusal: Refusal


Verdict: t.TypeAlias = Admitted | Queued | Refused


@dataclasses.dataclass(frozen=True, slots=True)
class _Running:
    call: Call
    started_ms: float
    level: int


class Admission:
    """Limits the requests at one worker to its slots.

    Each admitted call must be ended by exactly one `release`, made only when the
    worker has finished with it.

    Args:
        limits: the worker's limits.
        now_ms: the time at the start.
        learns: whether slots that do not add to the worker's throughput are left
            unused.
    """

    def __init__(self, limits: Limits, now_ms: float, learns: bool = False) -> None:
        self.limits = limits
        self.ramp = _make_ramp(limits, now_ms)
        self.concurrency_limit = (
            ConcurrencyLimit(_usable_slots(limits), now_ms) if learns else None
        )
        self.draining = False
        self.domain_out = False
        self.bulk_share = MIXED_BULK_SHARE
        self._running: dict[str, _Running] = {}
        self._queue: list[Queued] = []
        self._service_ms = 0.0
        self._run_times = RunTimes()
        self._ended_count = 0

    def configure(self, limits: Limits, domain_out: bool, now_ms: float) -> None:
        """Applies a new configuration; restarts the ramp when the domain returns."""
        if self.domain_out and not domain_out:
            self.ramp.restart(now_ms)
        self.limits = limits
        self.domain_out = domain_out
        if self.concurrency_limit is not None:
            self.concurrency_limit.resize(_usable_slots(limits), now_ms)
        match self.ramp:
            case ColdRateLimiter():
                per_s = limits.cold_requests_per_s or limits.slots
                self.ramp.resize(_usable_slots(limits), per_s)
            case Ramp():
                self.ramp.resize(_usable_slots(limits), limits.ramp_ms)

    def forget_worker(self, now_ms: float) -> None:
        """Discards what was learned, since the worker restarted or was replaced."""
        self._run_times = RunTimes()
        if self.concurrency_limit is not None:
            self.concurrency_limit.reset(now_ms)

    @property
    def slots(self) -> int:
        """The worker's slots when it is warm."""
        return _usable_slots(self.limits)

    @property
    def useful_slots(self) -> int:
        """The slots that add to the worker's throughput, as far as is known."""
        if self.concurrency_limit is None:
            return self.slots
        return self.concurrency_limit.limit

    def load(self, now_ms: float) -> Load:
        """Returns the load that is reported to entries with every answer."""
        return Load(
            running=len(self._running),
            queued=len(self._queue),
            capacity=self._capacity(now_ms),
            accepting=self.accepting,
            service_ms=self._reported_service_ms(now_ms),
        )

    def _capacity(self, now_ms: float) -> int:
        """Returns the slots that may be used now."""
        return min(self.ramp.capacity(now_ms), self.useful_slots)

    def _wait_ms(self, ahead: int, service_ms: float, now_ms: float) -> float:
        wait_ms = self.ramp.wait_ms(ahead, service_ms, now_ms)
        if self.concurrency_limit is None or self.ramp.is_cold(now_ms):
            return wait_ms
        return wait_ms * self.ramp.capacity(now_ms) / self._capacity(now_ms)

    def _reported_service_ms(self, now_ms: float) -> float:
        """Returns how long requests of the usual mix take at present.

        A worker that turns slow is recognized before its requests end, by requests
        that have run for longer than their kinds usually take.
        """
        mix_ms = self._run_times.mix_ms
        running = self._running.values()
        age_ms = sum(now_ms - item.started_ms for item in running)
        usual_ms = sum(self._service_ms_of(item.call) for item in running)
        if not usual_ms:
            return max(mix_ms, age_ms / max(1, len(running)))
        return mix_ms * max(1.0, age_ms / usual_ms)

    @property
    def accepting(self) -> bool:
        """Whether new work is accepted."""
        return not (self.draining or self.domain_out)

    @property
    def running(self) -> tuple[Call, ...]:
        """The requests at the worker."""
        return tuple(item.call for item in self._running.values())

    @property
    def service_ms(self) -> float:
        """Mean time that a request takes at the worker."""
        return self._service_ms

    def started_ms(self, request_id: str) -> float:
        """Returns when a running request was sent to the worker."""
        return self._running[request_id].started_ms

    def level(self, request_id: str) -> int:
        """Returns how many requests the worker had when it got a running one."""
        return self._running[request_id].level

    @property
    def oldest_started_ms(self) -> float:
        """When the oldest running request was sent; infinity if nothing runs."""
        return min(
            (item.started_ms for item in self._running.values()), default=math.inf
        )

    @property
    def waiting(self) -> tuple[Call, ...]:
        """The requests that wait for a slot."""
        return tuple(item.call for item in self._queue)

    def holds(self, request_id: str) -> bool:
        """Returns whether a request with this id runs or waits."""
        is_waiting = any(item.call.request_id == request_id for item in self._queue)
        return is_waiting or request_id in self._running

    @property
    def is_idle(self) -> bool:
        """Whether nothing runs and nothing waits."""
        return not self._running and not self._queue

    def is_full_while_cold(self, now_ms: float) -> bool:
        """Returns whether the worker is cold and has no slot free."""
        is_full = len(self._running) >= self._capacity(now_ms)
        return is_full and self.ramp.is_cold(now_ms)

    def offer(self, call: Call, now_ms: float) -> list[Verdict]:
        """Decides on a new request.

        Returns:
            Verdicts on waiting requests, followed by one on this request.
        """
        verdicts = self.expire(now_ms)
        refusal = self._offer_refusal(call, now_ms)
        if refusal is not None:
            return [*verdicts, Refused(call, refusal)]
        if self._has_room(call, now_ms):
            return [*verdicts, self._admit(call, now_ms)]
        if not call.may_wait:
            return [*verdicts, Refused(call, self._busy_refusal(call, now_ms))]
        return [*verdicts, *self._enqueue(call, now_ms)]

    def release(
        self, request_id: str, now_ms: float, answered: bool = True
    ) -> list[Verdict]:
        """Ends a request and returns the verdicts on waiting requests.

        Args:
            request_id: the request.
            now_ms: the time.
            answered: whether the worker answered it; the time that another request
                took tells nothing about the worker's limit.
        """
        if self.concurrency_limit is not None:
            self.concurrency_limit.on_ended(request_id, answered, now_ms)
        ended = self._running.pop(request_id, None)
        if ended is not None and ended.call.route_class is not RouteClass.BULK:
            self._update_service_ms(now_ms - ended.started_ms)
            self._run_times.record(_kind(ended.call), now_ms - ended.started_ms)
        return self.expire(now_ms)

    def cancel(self, request_id: str) -> None:
        """Removes a waiting request from the queue."""
        self._queue = [
            item for item in self._queue if item.call.request_id != request_id
        ]

    def expire(self, now_ms: float) -> list[Verdict]:
        """Returns the verdicts that have become due."""
        verdicts: list[Verdict] = []
        waiting: list[Queued] = []
        for item in sorted(self._queue, key=_serving_order):
            if item.until_ms <= now_ms:
                verdicts.append(Refused(item.call, _timeout_refusal(item, now_ms)))
            elif self._has_room(item.call, now_ms):
                verdicts.append(self._admit(item.call, now_ms))
            else:
                waiting.append(item)
        self._queue = waiting
        return verdicts

    def _enqueue(self, call: Call, now_ms: float) -> list[Verdict]:
        wait_ms = self._expected_wait_ms(call, now_ms)
        latest_start_ms = self._latest_start_ms(call, now_ms)
        service_ms = self._service_ms_of(call)
        # The wait is an estimate: a queued request may start one service time late, but
        # not so late that it cannot end. Its refusal reaches the caller in time.
        until_ms = min(
            now_ms + self.limits.queue_timeout_ms,
            latest_start_ms + service_ms,
            call.deadline_ms - service_ms,
        )
        if now_ms + wait_ms > min(until_ms, latest_start_ms):
            detail = "no slot is expected to become free in time"
            return [Refused(call, self._refusal(detail, wait_ms, now_ms))]
        shed: list[Verdict] = []
        if len(self._queue) >= self.limits.queue_length:
            displaced = self._find_displaced(call)
            if displaced is None:
                return [Refused(call, self._full_refusal(now_ms))]
            self._queue.remove(displaced)
            shed.append(Refused(displaced.call, self._full_refusal(now_ms)))
        queued = Queued(call, until_ms)
        self._queue.append(queued)
        return [*shed, queued]

    def _find_displaced(self, call: Call) -> Queued | None:
        last = max(reversed(self._queue), key=_serving_order, default=None)
        if last is not None and urgency(last.call) > urgency(call):
            return last
        return None

    def _expected_wait_ms(self, call: Call, now_ms: float) -> float:
        if call.route_class is RouteClass.BULK:
            return 0.0
        own = urgency(call)
        ahead = [item.call for item in self._queue if urgency(item.call) <= own]
        ahead_ms = sum(self._service_ms_of(item) for item in ahead)
        mean_ms = (ahead_ms + self._service_ms) / (len(ahead) + 1)
        return self._wait_ms(len(ahead) + 1, mean_ms, now_ms)

    def _latest_start_ms(self, call: Call, now_ms: float) -> float:
        """Returns when a request must start at the latest to meet its objective.

        A request that can no longer meet it may use the remaining room: it may wait
        for `LATE_WAIT_SHARE` of the time that its run leaves before the deadline.
        """
        if call.objective_ms == math.inf:
            return math.inf
        service_ms = self._service_ms_of(call)
        start_ms = call.objective_ms - service_ms
        if start_ms > now_ms:
            return start_ms
        left_ms = call.deadline_ms - service_ms - now_ms
        return now_ms + LATE_WAIT_SHARE * max(0.0, left_ms)

    def _service_ms_of(self, call: Call) -> float:
        """Returns how long a request like this one takes at the worker."""
        return self._run_times.mean_ms(_kind(call), self._service_ms)

    def _update_service_ms(self, service_ms: float) -> None:
        self._ended_count += 1
        weight = max(SERVICE_TIME_WEIGHT, 1 / self._ended_count)
        self._service_ms += weight * (service_ms - self._service_ms)

    def _admit(self, call: Call, now_ms: float) -> Admitted:
        self._running[call.request_id] = _Running(call, now_ms, len(self._running) + 1)
        self.ramp.admit(now_ms)
        if self.concurrency_limit is not None:
            # A download's time depends on its receiver, not on the worker.
            is_bulk = call.route_class is RouteClass.BULK
            kind = "" if is_bulk else _kind(call)
            self.concurrency_limit.on_admitted(call.request_id, kind, now_ms)
        return Admitted(call)

    def _has_room(self, call: Call, now_ms: float) -> bool:
        capacity = self._capacity(now_ms)
        if len(self._running) >= capacity:
            return False
        if call.route_class is not RouteClass.BULK:
            return True
        bulk = sum(c.route_class is RouteClass.BULK for c in self.running)
        return bulk < max(1, int(capacity * self.bulk_share))

    def _offer_refusal(self, call: Call, now_ms: float) -> Refusal | None:
        if self.draining:
            return Refusal(ErrorKind.DRAINING, "the node is shutting down")
        if self.domain_out:
            return Refusal(ErrorKind.DOMAIN_OUT, "the failure domain is out")
        if call.deadline_ms <= now_ms:
            return Refusal(ErrorKind.DEADLINE_NOT_RUN, "the deadline has passed")
        return None

    def _busy_refusal(self, call: Call, now_ms: float) -> Refusal:
        wait_ms = self._expected_wait_ms(call, now_ms)
        return self._refusal("no slot is free", wait_ms, now_ms)

    def _full_refusal(self, now_ms: float) -> Refusal:
        wait_ms = self._wait_ms(len(self._queue), self._service_ms, now_ms)
        return self._refusal("all slots and the queue are full", wait_ms, now_ms)

    def _refusal(self, detail: str, wait_ms: float, now_ms: float) -> Refusal:
        is_cold = self.ramp.is_cold(now_ms)
        return Refusal(
            ErrorKind.COLD_START if is_cold else ErrorKind.OVERLOADED,
            detail,
            retry_after_ms=round(self.ramp.retry_after_ms(wait_ms, now_ms)),
        )


def _serving_order(item: Queued) -> tuple[bool, int, int]:
    """Returns the sort key of a waiting request; ties keep the queue's order."""
    return urgency(item.call)


def _kind(call: Call) -> str:
    """Returns the kind within which run times are compared."""
    return call.route or f"{call.route_class.value} {call.priority}"


def _make_ramp(limits: Limits, now_ms: float) -> Ramp | ColdRateLimiter:
    if limits.cold_requests_per_s is None:
        return Ramp(_usable_slots(limits), limits.ramp_ms, now_ms)
    return ColdRateLimiter(_usable_slots(limits), limits.cold_requests_per_s)


def _usable_slots(limits: Limits) -> int:
    return min(limits.slots, limits.connections)


def _timeout_refusal(item: Queued, now_ms: float) -> Refusal:
    if item.call.deadline_ms <= now_ms:
        return Refusal(ErrorKind.DEADLINE_NOT_RUN, "the deadline passed in the queue")
    return Refusal(
        ErrorKind.QUEUE_TIMEOUT,
        "no slot became free in time",
        retry_after_ms=RETRY_AFTER_MS,
    )
