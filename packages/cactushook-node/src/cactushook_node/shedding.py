"""Sheds less urgent requests at the entry, and reports a gate's part in the level."""

import dataclasses

from cactushook import Call
from cactushook import ErrorKind
from cactushook import Load
from cactushook import Refusal
from cactushook.overload_level import EntryLevels
from cactushook.overload_level import GateLevel
from cactushook.overload_level import Passage
from cactushook.overload_level import QUEUE_REFUSAL_KINDS
from cactushook.overload_level import RetryTimes
from cactushook.overload_level import UrgencyCache

from .environment import Environment
from .logs import OUTCOME_ANSWERED

CHECK_PERIOD_MS = 1_000
# Shortest time between log lines about one service.
LOG_INTERVAL_MS = 10_000.0
_UNSERVED_KINDS = (
    *QUEUE_REFUSAL_KINDS,
    ErrorKind.RETRY_BUDGET_SPENT,
    ErrorKind.DEADLINE_NOT_RUN,
)
_UNSERVED_OUTCOMES = frozenset(kind.value for kind in _UNSERVED_KINDS)


class EntryShedding:
    """Sheds requests of services that are over their capacity.

    Args:
        environment: the node's central object.
    """

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self._levels = EntryLevels()
        self._urgencies = UrgencyCache()
        self._retry_times = RetryTimes()
        self._logged_ms: dict[str, float] = {}
        self._shedding: set[str] = set()
        environment.timers.every(CHECK_PERIOD_MS, self._on_timer)

    def record_load(self, service: str, host: str, load: Load, now_ms: float) -> None:
        """Records the level that came with a gate's answer."""
        ranks = self._urgencies.get(service, self._environment.store.snapshot)
        if ranks.differ:
            level = min(load.overload_level, float(len(ranks.priorities)))
            self._levels.record_report(service, host, level, now_ms)

    def record_outcome(self, service: str, outcome: str) -> None:
        """Records whether a request was served or lacked capacity."""
        is_served = outcome == OUTCOME_ANSWERED
        if not is_served and outcome not in _UNSERVED_OUTCOMES:
            return
        now_ms = self._environment.now_ms()
        self._levels.record_outcome(service, is_served)
        if is_served:
            self._retry_times.record_served(service, now_ms)

    def pass_on(self, call: Call, remaining_ms: float) -> Call | Refusal:
        """Returns the call to send, or the refusal of a call that is shed.

        Args:
            call: the request.
            remaining_ms: time until the caller stops waiting.
        """
        environment = self._environment
        ranks = self._urgencies.get(call.service, environment.store.snapshot)
        if call.nested or not ranks.differ:
            return call
        now_ms = environment.now_ms()
        draw = environment.rng.random()
        match self._levels.decide(call.service, ranks.rank(call), now_ms, draw):
            case Passage.PASS:
                return call
            case Passage.PROMOTE:
                return dataclasses.replace(call, priority=ranks.priorities[-1])
        environment.metrics.shed.labels(str(call.priority)).inc()
        wait_ms = self._retry_times.next_ms(call.service, remaining_ms, now_ms)
        detail = f"{call.service!r} serves more urgent requests"
        return Refusal(ErrorKind.OVERLOADED, detail, retry_after_ms=round(wait_ms))

    def _on_timer(self, now_ms: float) -> None:
        """Updates the metric and logs where shedding starts and ends."""
        for service in self._levels.services:
            level = self._levels.level(service, now_ms)
            self._environment.metrics.overload_level.labels(service).set(level)
            is_shedding = level > 0
            logged_ms = self._logged_ms.get(service)
            if is_shedding is (service in self._shedding) or (
                logged_ms is not None and now_ms - logged_ms < LOG_INTERVAL_MS
            ):
                continue
            self._logged_ms[service] = now_ms
            if is_shedding:
                self._shedding.add(service)
                self._environment.log.info(
                    "shedding_started", service=service, level=round(level, 2)
                )
            else:
                self._shedding.discard(service)
                self._environment.log.info("shedding_ended", service=service)


class OverloadReport:
    """A gate's part in the level of its service.

    Args:
        environment: the node's central object.
    """

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self._level = GateLevel()
        self._urgencies = UrgencyCache()
        self._service = environment.settings.service

    def record(self, call: Call, refusal: Refusal | None) -> None:
        """Records how the gate ended a request."""
        environment = self._environment
        self._service = call.service
        ranks = self._urgencies.get(call.service, environment.store.snapshot)
        kind = None if refusal is None else refusal.kind
        self._level.record(call, kind, ranks, environment.now_ms())

    def add_level(self, load: Load) -> Load:
        """Returns the load with the gate's present overload level."""
        environment = self._environment
        ranks = self._urgencies.get(self._service, environment.store.snapshot)
        now_ms = environment.now_ms()
        level = self._level.record_load(load.queued > 0, ranks, now_ms)
        return dataclasses.replace(load, overload_level=level)


__all__ = ["EntryShedding", "OverloadReport"]
