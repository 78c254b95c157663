"""Decides whether an entry retries a request."""

import collections
import dataclasses
import math
import typing as t

from .exceptions import ERROR_RESPONSES
from .exceptions import ErrorKind
from .exceptions import Ran
from .exceptions import Retry
from .nodes import RouteClass

# Part of a window's retries that only nested requests may take, at most.
MAX_NESTED_RESERVE = 0.5
# Above 1, since the refusal of a nested request also loses the work that its parent has
# done.
NESTED_RESERVE_FACTOR = 2.0
MIN_BUDGET = 10.0
MAX_BUDGET = 100.0


@dataclasses.dataclass(frozen=True, slots=True)
class RetryElsewhere:
    """Send the request to another worker."""


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """Answer the caller with this error kind."""

    kind: ErrorKind


OVERLOAD_KINDS = frozenset(
    (
        ErrorKind.OVERLOADED,
        ErrorKind.COLD_START,
        ErrorKind.QUEUE_TIMEOUT,
        ErrorKind.RETRY_BUDGET_SPENT,
    )
)


# Refusals of a gate whose worker has no slot free.
BUSY_KINDS = frozenset((ErrorKind.OVERLOADED, ErrorKind.COLD_START))

Decision: t.TypeAlias = RetryElsewhere | GiveUp

# Refusals given before anything was sent to the worker. Asking another gate then does
# not count as a retry.
NOT_SENT_KINDS = frozenset(
    (
        ErrorKind.OVERLOADED,
        ErrorKind.COLD_START,
        ErrorKind.QUEUE_TIMEOUT,
        ErrorKind.NOT_READY,
        ErrorKind.DRAINING,
        ErrorKind.DOMAIN_OUT,
        ErrorKind.VERSION_BEHIND,
        ErrorKind.PEER_UNREACHABLE,
        ErrorKind.WORKER_UNREACHABLE,
        ErrorKind.WORKER_UNKNOWN,
        ErrorKind.WORKER_FAILING,
        ErrorKind.NESTED_UNAVAILABLE,
    )
)


class Budget(t.Protocol):
    """Bounds how often a service's requests are retried."""

    def record_request(self) -> None:
        """Counts a first attempt."""

    def spend(self, kind: ErrorKind | None = None) -> bool:
        """Takes one retry after a failure of a kind; returns False if none is left."""


class WindowBudget:
    """Limits the retries of one service within a sliding window.

    While nested requests arrive, a part of the retries is reserved for them. It counts
    toward the same limit, so the sum stays within ``ratio`` x requests + ``slack``.

    Args:
        ratio: retries allowed per request of the window.
        slack: retries allowed in addition.
        window_ms: length of the window.
        failed_ratio: of these, retries allowed after a worker reported a failure;
            ``ratio`` by default. Such a failure says little about the worker: a
            nested call may have failed, and a retry makes that call again.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_ms: float,
        failed_ratio: float | None = None,
    ) -> None:
        self.slack = slack
        self._failed_ratio = ratio if failed_ratio is None else failed_ratio
        self._failure_retries: collections.deque[float] = collections.deque()
        self._ratio = ratio
        self._window_ms = window_ms
        self._now_ms = 0.0
        self._fraction = 0.0
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()
        self._nested_requests: collections.deque[float] = collections.deque()
        self._nested_retries: collections.deque[float] = collections.deque()
        self.nested: Budget = _NestedBudget(self)

    def advance(self, now_ms: float) -> None:
        """Sets the time and drops everything that is older than the window."""
        self._now_ms = now_ms
        since_ms = now_ms - self._window_ms
        for times in (
            self._requests,
            self._retries,
            self._failure_retries,
            self._nested_requests,
            self._nested_retries,
        ):
            while times and times[0] <= since_ms:
                times.popleft()

    def record_request(self) -> None:
        """Counts a first attempt."""
        self._requests.append(self._now_ms)

    def record_nested_request(self) -> None:
        """Counts the first attempt of a nested request."""
        self.record_request()
        self._nested_requests.append(self._now_ms)

    def spend(self, kind: ErrorKind | None = None) -> bool:
        """Takes one retry after a failure of a kind; returns False if none is left."""
        return self._spend(kind, self._limit - self._unused_reserve)

    def spend_nested(self, kind: ErrorKind | None = None) -> bool:
        """Takes one retry of a nested request, also from the reserve."""
        if not self._spend(kind, self._limit):
            return False
        self._nested_retries.append(self._now_ms)
        return True

    @property
    def _limit(self) -> float:
        return self._ratio * len(self._requests) + self.slack

    @property
    def _unused_reserve(self) -> int:
        """Retries that nested requests may still take from their reserve."""
        if not self._nested_requests:
            return 0
        share = len(self._nested_requests) / len(self._requests)
        reserve = min(MAX_NESTED_RESERVE, NESTED_RESERVE_FACTOR * share) * self._limit
        return max(0, math.floor(reserve) - len(self._nested_retries))

    def _spend(self, kind: ErrorKind | None, limit: float) -> bool:
        requests = len(self._requests)
        if len(self._retries) + 1 > limit:
            return False
        if kind is ErrorKind.WORKER_FAILED:
            if (
                len(self._failure_retries) + 1
                > self._failed_ratio * requests + self.slack
            ):
                return False
            self._failure_retries.append(self._now_ms)
        self._retries.append(self._now_ms)
        return True

    def charge(self, count: float) -> None:
        """Counts retries that were made elsewhere; fractions accumulate."""
        self._fraction += count
        while self._fraction >= 1:
            self._fraction -= 1
            self._retries.append(self._now_ms)


class _NestedBudget:
    """The budget of a service as its nested requests use it."""

    def __init__(self, budget: WindowBudget) -> None:
        self._budget = budget

    def record_request(self) -> None:
        """Counts a first attempt."""
        self._budget.record_nested_request()

    def spend(self, kind: ErrorKind | None = None) -> bool:
        """Takes one retry, also from the reserve; returns False if none is left."""
        return self._budget.spend_nested(kind)


class RetryBudget:
    """Limits the retries of one service to a share of its requests.

    Args:
        permille: retries gained per thousand requests.
    """

    def __init__(self, permille: int) -> None:
        self._gain = permille / 1_000
        self._balance = MIN_BUDGET

    def record_request(self) -> None:
        """Counts a first attempt."""
        self._balance = min(MAX_BUDGET, self._balance + self._gain)

    def spend(self, kind: ErrorKind | None = None) -> bool:
        """Takes one retry after any failure; returns False if none is left."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


def decide(
    kind: ErrorKind,
    route_class: RouteClass,
    attempts_left: int,
    budget: Budget,
    redirects_left: int = 0,
) -> Decision:
    """Decides whether a failed attempt is retried.

    Args:
        kind: the error kind that ended the attempt.
        route_class: the route's class.
        attempts_left: sends still allowed after this one.
        budget: the service's budget.
        redirects_left: how many more gates may be asked, without cost to the budget,
            after a refusal in `NOT_SENT_KINDS`.
    """
    response = ERROR_RESPONSES[kind]
    if kind in NOT_SENT_KINDS and redirects_left > 0:
        return RetryElsewhere()
    if response.retry is Retry.NEVER or attempts_left < 1:
        return GiveUp(kind)
    if response.ran is Ran.MAYBE and route_class is not RouteClass.IDEMPOTENT:
        return GiveUp(_kind_after_possible_run(route_class, kind))
    if not budget.spend(kind):
        return GiveUp(ErrorKind.RETRY_BUDGET_SPENT if response.ran is Ran.NO else kind)
    return RetryElsewhere()


def retry_advice(kind: ErrorKind) -> Retry:
    """Returns the retry advice for a caller.

    Callers are advised not to retry an overload: the entry has already tried other
    workers, and retries at each level of a deep call would multiply.
    """
    return Retry.NEVER if kind in OVERLOAD_KINDS else ERROR_RESPONSES[kind].retry


def _kind_after_possible_run(route_class: RouteClass, kind: ErrorKind) -> ErrorKind:
    if route_class is RouteClass.AT_MOST_ONCE:
        return ErrorKind.OUTCOME_UNKNOWN
    return kind
