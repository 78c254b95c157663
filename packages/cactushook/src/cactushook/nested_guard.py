"""Decides which requests are refused because the requests that they make would fail.

A run whose nested requests cannot be served holds a slot and then fails. A gate sees
the nested requests of its worker and how its runs end. It refuses a route's requests
only while most of its runs fail and the services that they call do not serve.
"""

import collections
import dataclasses
import typing as t

from .calls import Refusal
from .exceptions import ErrorKind

WINDOW_MS = 3_000.0
MAX_KEPT_OUTCOMES = 20
MIN_OUTCOMES = 5
# A refusal also loses the runs that would have succeeded, so nearly all must fail.
BLOCK_FAILED_SHARE = 0.85
BLOCK_UNSERVED_SHARE = 0.6
# One request per period is let through, so that a recovery is noticed.
TRIAL_PERIOD_MS = 500.0
TRIALS_TO_UNBLOCK = 3
RETRY_AFTER_MS = 1_000
# A route calls a service if its runs make this many requests there on average.
MIN_CALLS_PER_RUN = 0.5
MIN_RUNS = 10
MAX_COUNTED_RUNS = 200.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Outcome:
    ended_ms: float
    failed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _Running:
    route: str
    is_trial: bool


class _Recent:
    """The latest outcomes of one kind of request."""

    def __init__(self) -> None:
        self._outcomes: collections.deque[_Outcome] = collections.deque(
            maxlen=MAX_KEPT_OUTCOMES
        )

    def add(self, failed: bool, now_ms: float) -> None:
        self._outcomes.append(_Outcome(now_ms, failed))

    def clear(self) -> None:
        self._outcomes.clear()

    def is_failing(self, share: float, now_ms: float) -> bool:
        """Returns whether at least a share of enough recent outcomes are failures."""
        failed = [item.failed for item in self._outcomes if _is_recent(item, now_ms)]
        return len(failed) >= MIN_OUTCOMES and sum(failed) >= share * len(failed)

    def has_failed(self, now_ms: float) -> bool:
        """Returns whether there is a recent failure."""
        return any(item.failed and _is_recent(item, now_ms) for item in self._outcomes)


def _is_recent(outcome: _Outcome, now_ms: float) -> bool:
    return outcome.ended_ms > now_ms - WINDOW_MS


@dataclasses.dataclass(slots=True)
class _Route:
    """What is known of a route's runs."""

    runs: float = 0.0
    calls: dict[str, float] = dataclasses.field(default_factory=dict)
    recent: _Recent = dataclasses.field(default_factory=_Recent)
    is_blocked: bool = False
    good_trials: int = 0
    trial_ms: float = float("-inf")

    def record_run(self) -> None:
        """Counts a run; halves all counts above `MAX_COUNTED_RUNS` to fade old runs."""
        self.runs += 1
        if self.runs > MAX_COUNTED_RUNS:
            self.runs /= 2
            self.calls = {name: count / 2 for name, count in self.calls.items()}

    def services(self) -> list[str]:
        """Returns the services that the route's runs usually call."""
        if self.runs < MIN_RUNS:
            return []
        least = MIN_CALLS_PER_RUN * self.runs
        return [name for name, count in self.calls.items() if count >= least]


class NestedGuard:
    """Learns which routes call which services, and refuses routes whose calls fail.

    A nested request does not name the run that made it. It is attributed to a route
    only while all runs at the worker are of that route; a run is counted likewise.
    """

    def __init__(self) -> None:
        self._running: dict[str, _Running] = {}
        self._routes: dict[str, _Route] = {}
        self._services: dict[str, _Recent] = {}

    @property
    def blocked_routes(self) -> tuple[str, ...]:
        """Routes whose requests are refused, except for trials."""
        return tuple(name for name, item in self._routes.items() if item.is_blocked)

    def on_run_started(self, request_id: str, route: str) -> None:
        """Records that a request was sent to the worker."""
        state = self._routes.setdefault(route, _Route())
        self._running[request_id] = _Running(route, state.is_blocked)
        if self._sole_route() == route:
            state.record_run()

    def on_run_ended(self, request_id: str, failed: bool | None, now_ms: float) -> None:
        """Records how a run ended.

        Args:
            request_id: the request, which need not be known.
            failed: whether it failed in a way that a failed nested request explains;
                None if its end says nothing about that.
            now_ms: the time.
        """
        run = self._running.pop(request_id, None)
        if run is None or failed is None:
            return
        state = self._routes[run.route]
        if not state.is_blocked:
            state.recent.add(failed, now_ms)
            state.is_blocked = self._should_block(state, now_ms)
            state.good_trials = 0
            state.trial_ms = now_ms
        elif run.is_trial:
            state.good_trials = 0 if failed else state.good_trials + 1
            if state.good_trials >= TRIALS_TO_UNBLOCK:
                self._unblock(state)

    def on_call(self, service: str) -> None:
        """Records that the worker made a request to a service."""
        route = self._sole_route()
        if route is not None:
            calls = self._routes[route].calls
            calls[service] = calls.get(service, 0.0) + 1

    def on_call_ended(self, service: str, served: bool, now_ms: float) -> None:
        """Records whether a request of the worker was served."""
        self._services.setdefault(service, _Recent()).add(not served, now_ms)

    def refuse(self, route: str, now_ms: float) -> Refusal | None:
        """Returns the refusal of a new request, or None if it may run.

        A route is unblocked after good trials, and also when the services that it calls
        have not failed recently, so that it cannot stay blocked without a cause.
        """
        state = self._routes.get(route)
        if state is None or not state.is_blocked:
            return None
        if not any(recent.has_failed(now_ms) for recent in self._called(state)):
            self._unblock(state)
            return None
        if now_ms - state.trial_ms >= TRIAL_PERIOD_MS:
            state.trial_ms = now_ms
            return None
        return Refusal(
            ErrorKind.NESTED_UNAVAILABLE,
            "the requests that this one makes are not served at present",
            retry_after_ms=RETRY_AFTER_MS,
        )

    def _should_block(self, state: _Route, now_ms: float) -> bool:
        return state.recent.is_failing(BLOCK_FAILED_SHARE, now_ms) and any(
            recent.is_failing(BLOCK_UNSERVED_SHARE, now_ms)
            for recent in self._called(state)
        )

    def _unblock(self, state: _Route) -> None:
        state.is_blocked = False
        state.recent.clear()

    def _called(self, state: _Route) -> t.Iterator[_Recent]:
        for service in state.services():
            if service in self._services:
                yield self._services[service]

    def _sole_route(self) -> str | None:
        routes = {run.route for run in self._running.values()}
        return routes.pop() if len(routes) == 1 else None


__all__ = ["NestedGuard"]
