"""Reports what a gate has learned of its backend server: metrics and log events."""

from cactushook import Load
from cactushook.concurrency_limit import LimitReports
from cactushook.gatekeeping import Gatekeeper

from .environment import Environment


class GateReports:
    """Sets the gate's metrics and logs changes of what it has learned.

    Args:
        environment: the node's central object.
        keeper: holds the gate's state.
    """

    def __init__(self, environment: Environment, keeper: Gatekeeper) -> None:
        self._environment = environment
        self._keeper = keeper
        self._reset_limit: int | None = None
        self._blocked_routes: tuple[str, ...] = ()
        self._limit_reports = LimitReports()
        self._trusted_count = 0
        self._cleared_count = 0

    def update(self, load: Load, now_ms: float) -> None:
        """Reports the present load and what has changed."""
        metrics = self._environment.metrics
        metrics.running.set(load.running)
        metrics.capacity.set(load.capacity)
        self._report_reset_limit()
        self._report_blocked_routes()
        self._report_useful_slots(now_ms)
        self._report_cleared_suspects()

    def _report_reset_limit(self) -> None:
        limit = self._keeper.reset_limit
        if limit == self._reset_limit:
            return
        self._reset_limit = limit
        self._environment.metrics.reset_limit.set(limit or 0)
        self._environment.log.warning(
            "reset_limit_changed", limit=limit, instance=self._keeper.instance
        )

    def _report_blocked_routes(self) -> None:
        routes = self._keeper.nested.blocked_routes
        if routes == self._blocked_routes:
            return
        self._blocked_routes = routes
        self._environment.metrics.blocked_routes.set(len(routes))
        self._environment.log.warning("blocked_routes_changed", routes=routes)

    def _report_useful_slots(self, now_ms: float) -> None:
        admission = self._keeper.admission
        if admission is None:
            return
        slots, useful_slots = admission.slots, admission.useful_slots
        self._environment.metrics.useful_slots.set(useful_slots)
        previous = self._limit_reports.take(useful_slots, slots, now_ms)
        if previous is not None:
            self._environment.log.info(
                "useful_slots_changed",
                slots=slots,
                previous=previous,
                useful_slots=useful_slots,
            )

    def _report_cleared_suspects(self) -> None:
        crashes = self._keeper.crashes
        trusted_count = crashes.trusted_count - self._trusted_count
        cleared_count = crashes.cleared_count - self._cleared_count
        if not trusted_count and not cleared_count:
            return
        self._trusted_count = crashes.trusted_count
        self._cleared_count = crashes.cleared_count
        counter = self._environment.metrics.crash_suspects_cleared
        counter.labels("answered_before").inc(trusted_count)
        counter.labels("answered_after").inc(cleared_count)
        self._environment.log.info(
            "crash_suspects_cleared",
            answered_before=trusted_count,
            answered_after=cleared_count,
            instance=self._keeper.instance,
        )


__all__ = ["GateReports"]
