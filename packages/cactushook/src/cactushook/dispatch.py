"""The order of an entry's decisions on one request, without input or output."""

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

MAX_HOME_STEPS = 12
CATCH_UP_MS = 50

# Kinds that a gate gives to a keyed request only as its home, or that concern
# every copy of the request: the key has not run.
_WORD_OF_HOME = frozenset(
    (
        ErrorKind.OVERLOADED,
        ErrorKind.COLD_START,
        ErrorKind.QUEUE_TIMEOUT,
        ErrorKind.CRASH_SUSPECT,
        ErrorKind.DEADLINE_NOT_RUN,
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
        call: what to send.
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
    """What an entry goes by at one moment."""

    snapshot: Snapshot
    hosts: t.Collection[HostRecord]


class Dispatch:
    """The attempts of one request that needs no home.

    Args:
        call: the request.
        router: the entry's router.
        budget: the service's retry budget.
        redirects: gates that may be asked, without cost, after one refused and
            sent nothing to its worker.
        bulky: whether a large answer is expected.
    """

    def __init__(
        self,
        call: Call,
        router: Router,
        budget: Budget,
        redirects: int = 0,
        bulky: bool = False,
    ) -> None:
        self._call = call
        self._router = router
        self._budget = budget
        self._redirects_left = redirects
        self._bulky = bulky
        self._sent = 0
        self._tried: list[str] = []
        self._asked: HostRecord | None = None
        self._may_have_run: Refusal | None = None

    def first_step(self, view: RoutingView, now_ms: float) -> Step:
        """Decides where the request goes first."""
        self._budget.record_request()
        return self._next(view, now_ms, None)

    def step_after_refusal(
        self, refusal: Refusal, view: RoutingView, now_ms: float
    ) -> Step:
        """Decides after an attempt that did not give a worker's answer."""
        if self._asked is not None:
            self._router.avoid(self._asked, refusal.kind, now_ms)
        if ERROR_RESPONSES[refusal.kind].ran is Ran.MAYBE:
            self._may_have_run = refusal
        if now_ms >= self._call.deadline_ms:
            return self._refuse(_late(refusal))
        call, kind = self._call, refusal.kind
        free = kind in retries.NOT_SENT_KINDS and self._redirects_left > 0
        if free:
            self._sent -= 1
        left = call.attempts_left - self._sent
        decision = retries.decide(
            kind, call.route_class, left, self._budget, self._redirects_left
        )
        self._redirects_left -= free
        match decision:
            case retries.GiveUp(final):
                return self._refuse(dataclasses.replace(refusal, kind=final))
            case retries.RetryElsewhere():
                return self._next(view, now_ms, refusal)

    def _next(self, view: RoutingView, now_ms: float, last: Refusal | None) -> Step:
        call = self._call
        choice = self._router.choose(
            call.service,
            view.snapshot,
            view.hosts,
            now_ms,
            self._tried,
            self._bulky,
        )
        if choice.host is None:
            detail = f"no worker of {call.service!r} takes work"
            return self._refuse(last or Refusal(ErrorKind.NO_WORKER, detail))
        left = call.attempts_left - self._sent
        failing = last is not None and last.kind is ErrorKind.WORKER_FAILING
        self._asked = choice.host
        self._tried.append(choice.host.name)
        self._sent += 1
        sent = dataclasses.replace(
            call,
            attempts_left=left,
            resent=self._sent > 1 or call.resent,
            insists=failing and self._redirects_left == 0,
        )
        return SendTo(choice.host, sent, call.deadline_ms - now_ms)

    def _refuse(self, refusal: Refusal) -> Refuse:
        """Refuses; never as "not run" if an earlier attempt may have run."""
        if (
            self._may_have_run is not None
            and ERROR_RESPONSES[refusal.kind].ran is Ran.NO
        ):
            return Refuse(self._may_have_run)
        return Refuse(refusal)


class KeyedDispatch:
    """The way of one keyed request to its home.

    The hosts are asked in the order of their ranking for the key. One is passed
    over only if it fenced the key, or if it is leaving and cannot be reached: the
    next host then decides whether it left before the key was issued.

    Args:
        call: the request.
        budget: the service's retry budget.
    """

    def __init__(self, call: Call, budget: Budget) -> None:
        self._call = call
        self._budget = budget
        self._turned_away = 0
        self._learned: dict[str, HostRecord] = {}
        self._passed: set[str] = set()
        self._fences: tuple[str, ...] = ()
        self._steps = 0
        self._asked: HostRecord | None = None

    def first_step(self, view: RoutingView, now_ms: float) -> Step:
        """Decides where the request goes first."""
        self._budget.record_request()
        return self._next(view, now_ms)

    def step_after_refusal(
        self, refusal: Refusal, view: RoutingView, now_ms: float
    ) -> Step:
        """Decides after an attempt that did not give a worker's answer."""
        host = t.cast(HostRecord, self._asked)
        if now_ms >= self._call.deadline_ms:
            return Refuse(_final(refusal))
        if refusal.fenced and self._may_go_on(refusal):
            self._passed.add(host.name)
            self._fences = (*self._fences, host.name)
            return self._next(view, now_ms)
        match refusal.kind:
            case ErrorKind.NOT_HOME if self._learn(refusal.home):
                return self._next(view, now_ms)
            case ErrorKind.PEER_UNREACHABLE if host.state is HostState.LEAVING:
                self._passed.add(host.name)
                return self._next(view, now_ms)
            case ErrorKind.VERSION_BEHIND:
                return self._next(view, now_ms, CATCH_UP_MS)
        return Refuse(_final(refusal))

    def _may_go_on(self, refusal: Refusal) -> bool:
        """Tells whether the next host is asked; an overload costs an attempt."""
        if refusal.kind is ErrorKind.KEY_FENCED:
            return True
        self._turned_away += 1
        left = self._call.attempts_left - self._turned_away
        route_class = self._call.route_class
        decision = retries.decide(refusal.kind, route_class, left, self._budget)
        return isinstance(decision, retries.RetryElsewhere)

    def _learn(self, home: HostRecord | None) -> bool:
        if home is None or home.name in self._passed or home.name in self._learned:
            return False
        self._learned[home.name] = home
        return True

    def _next(self, view: RoutingView, now_ms: float, after_ms: float = 0.0) -> Step:
        self._steps += 1
        hosts = [*view.hosts, *self._learned.values()]
        for host in homes.ranking(self._call.key, self._call.service, hosts):
            if host.state is HostState.GONE or host.name in self._passed:
                continue
            if self._steps > MAX_HOME_STEPS:
                break
            self._asked = host
            call = dataclasses.replace(self._call, fences=self._fences)
            return SendTo(host, call, call.deadline_ms - now_ms, after_ms)
        detail = "no host can be asked for this key"
        return Refuse(Refusal(ErrorKind.HOME_UNREACHABLE, detail))


def _late(refusal: Refusal) -> Refusal:
    if ERROR_RESPONSES[refusal.kind].ran is Ran.NO:
        return Refusal(ErrorKind.DEADLINE_NOT_RUN, refusal.detail)
    return Refusal(ErrorKind.DEADLINE_EXCEEDED, refusal.detail)


def _final(refusal: Refusal) -> Refusal:
    if refusal.kind in _WORD_OF_HOME:
        return refusal
    if ERROR_RESPONSES[refusal.kind].ran is Ran.NO:
        return Refusal(ErrorKind.HOME_UNREACHABLE, refusal.detail)
    return Refusal(ErrorKind.OUTCOME_UNKNOWN, refusal.detail)


def dispatch(
    call: Call,
    router: Router,
    budget: Budget,
    redirects: int = 0,
    bulky: bool = False,
) -> Dispatch | KeyedDispatch:
    """Returns the decisions for one request."""
    if call.key:
        return KeyedDispatch(call, budget)
    return Dispatch(call, router, budget, redirects, bulky)


__all__ = [
    "Dispatch",
    "KeyedDispatch",
    "Refuse",
    "RoutingView",
    "SendTo",
    "Step",
    "dispatch",
]
