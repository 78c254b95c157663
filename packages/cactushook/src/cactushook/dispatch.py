"""Makes an entry's decisions on one request, without I/O."""

import dataclasses
import typing as t

from . import homes
from . import retries
from .calls import Call
from .calls import Refusal
from .exceptions import ERROR_RESPONSES
from .exceptions import ErrorKind
from .exceptions import Ran
from .nodes import HostRecord
from .nodes import HostState
from .retries import Budget
from .routing import Router
from .snapshot import Snapshot
from .worker_views import CAPACITY_KINDS

MAX_HOME_STEPS = 12
CATCH_UP_MS = 50

# Refusals of a keyed request that only its home gives, or that apply to every copy of
# the request: the key has not run.
_HOME_REFUSAL_KINDS = frozenset(
    (
        ErrorKind.OVERLOADED,
        ErrorKind.COLD_START,
        ErrorKind.QUEUE_TIMEOUT,
        ErrorKind.CRASH_SUSPECT,
        ErrorKind.DEADLINE_NOT_RUN,
        ErrorKind.NESTED_UNAVAILABLE,
        ErrorKind.DRAINING,
        ErrorKind.DOMAIN_OUT,
        ErrorKind.WORKER_UNREACHABLE,
        ErrorKind.KEY_REUSED,
        ErrorKind.REQUEST_INVALID,
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class SendTo:
    """Send the call to a host.

    Attributes:
        host: where to send it.
        call: the call to send.
        answer_timeout_ms: how long to wait for the answer to start.
        delay_ms: how long to wait before sending.
    """

    host: HostRecord
    call: Call
    answer_timeout_ms: float
    delay_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Answer the caller with a refusal."""

    refusal: Refusal


Step: t.TypeAlias = SendTo | Refuse


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingView:
    """The snapshot and hosts that an entry routes by at one moment."""

    snapshot: Snapshot
    hosts: t.Collection[HostRecord]


class _GrantedRetry:
    """A retry that was granted before."""

    def record_request(self) -> None:
        """Counts nothing."""

    def spend(self, kind: ErrorKind | None = None) -> bool:
        """Grants the retry."""
        return True


_GRANTED = _GrantedRetry()


class Dispatch:
    """Decides on the attempts of one request that needs no home.

    The budget pays for requests that reach a worker: a retry that a gate refused
    without sending it is made at another gate at no further cost. After an overload it
    costs again, so that retries do not add to the overload.

    A nested request whose gates are overloaded is tried while its deadline and budget
    allow, also beyond its attempts, since its refusal loses its parent's work.

    Args:
        call: the request.
        router: the entry's router.
        budget: the service's retry budget.
        redirects: how many more gates may be asked, without cost, after a gate that
            refused without sending anything to its worker.
        expects_large_answer: whether a large answer is expected.
        crossing_cost_ms: by how much the wait in another domain must be shorter.
    """

    def __init__(
        self,
        call: Call,
        router: Router,
        budget: Budget,
        redirects: int = 0,
        expects_large_answer: bool = False,
        crossing_cost_ms: float = 0.0,
    ) -> None:
        self._call = call
        self._router = router
        self._budget = budget
        self._redirects_left = redirects
        self._expects_large_answer = expects_large_answer
        self._crossing_cost_ms = crossing_cost_ms
        self._sent_count = 0
        self._tried_names: list[str] = []
        # Gates that were only busy; the last one asked may be one of them.
        self._busy_names: set[str] = set()
        # Hosts whose latest refusal or failure was not for lack of capacity.
        self._failed_names: set[str] = set()
        self._may_wait = True
        # A retry that the budget granted and that has reached no worker yet.
        self._has_unused_retry = False
        self._current_host: HostRecord | None = None
        self._maybe_run_refusal: Refusal | None = None

    def first_step(self, view: RoutingView, now_ms: float) -> Step:
        """Decides where the request goes first."""
        self._budget.record_request()
        if now_ms >= self._call.deadline_ms:
            return Refuse(_NOT_SENT_IN_TIME)
        return self._next_step(view, now_ms, None)

    def step_after_refusal(
        self, refusal: Refusal, view: RoutingView, now_ms: float
    ) -> Step:
        """Decides on the next step after an attempt without a worker's answer."""
        if self._current_host is not None:
            self._record_refusal(self._current_host, refusal, now_ms)
        if ERROR_RESPONSES[refusal.kind].ran is Ran.MAYBE:
            self._maybe_run_refusal = refusal
        if now_ms >= self._call.deadline_ms:
            return self._refuse(_late_refusal(refusal))
        match self._decide(refusal.kind):
            case retries.GiveUp(final):
                return self._refuse(dataclasses.replace(refusal, kind=final))
            case retries.RetryElsewhere():
                return self._next_step(view, now_ms, refusal)

    def _decide(self, kind: ErrorKind) -> retries.Decision:
        """Decides whether the request is sent again, and counts what that costs."""
        call = self._call
        was_sent = kind not in retries.NOT_SENT_KINDS
        is_free = not was_sent and self._redirects_left > 0
        is_busy = not was_sent and kind in retries.OVERLOAD_KINDS
        # Attempts of a nested request that met an overload are not counted: each
        # further gate costs the budget, which ends the search.
        if is_free or (call.nested and is_busy):
            self._sent_count -= 1
        if was_sent or kind in retries.OVERLOAD_KINDS:
            self._has_unused_retry = False
        decision = retries.decide(
            kind,
            call.route_class,
            call.attempts_left - self._sent_count,
            _GRANTED if self._has_unused_retry else self._budget,
            self._redirects_left,
        )
        self._redirects_left -= is_free
        if isinstance(decision, retries.RetryElsewhere) and not is_free:
            self._has_unused_retry = True
        return decision

    def _next_step(
        self, view: RoutingView, now_ms: float, last: Refusal | None
    ) -> Step:
        call = self._call
        choice = self._router.choose(
            call.service,
            view.snapshot,
            view.hosts,
            now_ms,
            self._excluded_names(),
            self._expects_large_answer,
            least_loaded=last is not None and not self._may_ask_further(last),
            crossing_cost_ms=self._crossing_cost_ms,
            refused_wait_ms=0.0 if last is None else last.retry_after_ms,
            failed=self._failed_names,
        )
        if choice.host is None:
            detail = f"no worker of {call.service!r} accepts work"
            return self._refuse(last or Refusal(ErrorKind.NO_WORKER, detail))
        left = call.attempts_left - self._sent_count
        self._current_host = choice.host
        self._tried_names.append(choice.host.name)
        self._sent_count += 1
        self._may_wait = (
            self._redirects_left == 0 or self._expects_large_answer or choice.is_only
        )
        sent = dataclasses.replace(
            call,
            attempts_left=left,
            resent=self._sent_count > 1 or call.resent,
            insists=last is not None and self._redirects_left == 0,
            may_wait=self._may_wait,
        )
        return SendTo(choice.host, sent, call.deadline_ms - now_ms)

    def _record_refusal(
        self, host: HostRecord, refusal: Refusal, now_ms: float
    ) -> None:
        """Passes the host over for a while, unless it just had no slot free."""
        if refusal.kind in CAPACITY_KINDS:
            self._failed_names.discard(host.name)
        else:
            self._failed_names.add(host.name)
        if refusal.kind in retries.BUSY_KINDS and not self._may_wait:
            self._busy_names.add(host.name)
        else:
            self._busy_names.discard(host.name)
            self._router.avoid(host, refusal.kind, now_ms)

    def _excluded_names(self) -> t.Collection[str]:
        if self._redirects_left > 0:
            return self._tried_names
        return [name for name in self._tried_names if name not in self._busy_names]

    def _may_ask_further(self, last: Refusal) -> bool:
        """Returns whether a gate was only busy and more than one is left to ask."""
        return last.kind in retries.BUSY_KINDS and self._redirects_left > 0

    def _refuse(self, refusal: Refusal) -> Refuse:
        """Refuses the call; never as "not run" if an earlier attempt may have run."""
        if (
            self._maybe_run_refusal is not None
            and ERROR_RESPONSES[refusal.kind].ran is Ran.NO
        ):
            return Refuse(self._maybe_run_refusal)
        return Refuse(refusal)


class KeyedDispatch:
    """Decides on the attempts of one keyed request to reach its home.

    The hosts are asked in the order of their ranking for the key. A host is skipped
    only if it fenced the key, is gone, or is leaving and cannot be reached. If it
    is gone or leaving, the next host decides whether it left before the key was issued.

    Args:
        call: the request.
        budget: the service's retry budget.
    """

    def __init__(self, call: Call, budget: Budget) -> None:
        self._call = call
        self._budget = budget
        self._refused_attempts = 0
        self._learned_hosts: dict[str, HostRecord] = {}
        self._skipped_names: set[str] = set()
        self._fences: tuple[str, ...] = ()
        self._steps = 0
        self._current_host: HostRecord | None = None

    def first_step(self, view: RoutingView, now_ms: float) -> Step:
        """Decides where the request goes first."""
        self._budget.record_request()
        if now_ms >= self._call.deadline_ms:
            return Refuse(_NOT_SENT_IN_TIME)
        return self._next_step(view, now_ms)

    def step_after_refusal(
        self, refusal: Refusal, view: RoutingView, now_ms: float
    ) -> Step:
        """Decides on the next step after an attempt without a worker's answer."""
        host = t.cast(HostRecord, self._current_host)
        if now_ms >= self._call.deadline_ms:
            return Refuse(_final_refusal(refusal))
        if refusal.fenced and self._take_attempt(refusal):
            self._skipped_names.add(host.name)
            self._fences = (*self._fences, host.name)
            return self._next_step(view, now_ms)
        match refusal.kind:
            case ErrorKind.NOT_HOME if self._learn_home(refusal.home):
                return self._next_step(view, now_ms)
            case ErrorKind.PEER_UNREACHABLE if host.state is HostState.LEAVING:
                self._skipped_names.add(host.name)
                return self._next_step(view, now_ms)
            case ErrorKind.VERSION_BEHIND:
                return self._next_step(view, now_ms, CATCH_UP_MS)
        return Refuse(_final_refusal(refusal))

    def _take_attempt(self, refusal: Refusal) -> bool:
        """Takes an attempt at the next host; returns False if none is left.

        After ``KEY_FENCED`` the attempt costs nothing.
        """
        if refusal.kind is ErrorKind.KEY_FENCED:
            return True
        self._refused_attempts += 1
        left = self._call.attempts_left - self._refused_attempts
        route_class = self._call.route_class
        decision = retries.decide(refusal.kind, route_class, left, self._budget)
        return isinstance(decision, retries.RetryElsewhere)

    def _learn_home(self, home: HostRecord | None) -> bool:
        if (
            home is None
            or home.name in self._skipped_names
            or home.name in self._learned_hosts
        ):
            return False
        self._learned_hosts[home.name] = home
        return True

    def _next_step(
        self, view: RoutingView, now_ms: float, delay_ms: float = 0.0
    ) -> Step:
        self._steps += 1
        hosts = [*view.hosts, *self._learned_hosts.values()]
        for host in homes.ranking(self._call.key, self._call.service, hosts):
            if host.state is HostState.GONE or host.name in self._skipped_names:
                continue
            if self._steps > MAX_HOME_STEPS:
                break
            self._current_host = host
            call = dataclasses.replace(self._call, fences=self._fences)
            return SendTo(host, call, call.deadline_ms - now_ms, delay_ms)
        detail = "no host can be asked for this key"
        return Refuse(Refusal(ErrorKind.HOME_UNREACHABLE, detail))


_NOT_SENT_IN_TIME = Refusal(
    ErrorKind.DEADLINE_NOT_RUN, "the deadline passed before the request was sent"
)


def _late_refusal(refusal: Refusal) -> Refusal:
    if ERROR_RESPONSES[refusal.kind].ran is Ran.NO:
        return Refusal(ErrorKind.DEADLINE_NOT_RUN, refusal.detail)
    return Refusal(ErrorKind.DEADLINE_EXCEEDED, refusal.detail)


def _final_refusal(refusal: Refusal) -> Refusal:
    if refusal.kind in _HOME_REFUSAL_KINDS:
        return refusal
    if ERROR_RESPONSES[refusal.kind].ran is Ran.NO:
        return Refusal(ErrorKind.HOME_UNREACHABLE, refusal.detail)
    return Refusal(ErrorKind.OUTCOME_UNKNOWN, refusal.detail)


def dispatch(
    call: Call,
    router: Router,
    budget: Budget,
    redirects: int = 0,
    expects_large_answer: bool = False,
    crossing_cost_ms: float = 0.0,
) -> Dispatch | KeyedDispatch:
    """Returns the object that decides on the attempts of one request."""
    if call.key:
        return KeyedDispatch(call, budget)
    return Dispatch(
        call, router, budget, redirects, expects_large_answer, crossing_cost_ms
    )


__all__ = [
    "Dispatch",
    "KeyedDispatch",
    "Refuse",
    "RoutingView",
    "SendTo",
    "Step",
    "dispatch",
]
