"""An entry's part of the quotas: verdicts on requests and messages to homes."""

import dataclasses
import math
import typing as t

from .quota_balance import Balance
from .quota_balance import FallbackToken
from .quota_balance import LeasedToken
from .quota_balance import WAIT_MS
from .quota_bounds import LEASE_MS
from .quota_bounds import QuotaBounds
from .quota_messages import LeaseGrant
from .quota_messages import LeaseRequest
from .tokens import TokenBucket
from .workspaces import Workspace

# A home that has not answered for this long counts as unreachable.
ANSWER_TIMEOUT_MS = 200.0
# Messages to one home; those that a caller's request within its quota, or tokens to
# return, wait for have an allowance of their own.
REQUESTS_PER_S = 5.0
REQUEST_BURST = 2.0
URGENT_BURST = 4.0
# Requests that wait for a home which did not answer or did not serve when it was asked
# last.
MAX_WAITING_FOR_PROBE = 10
# State of a workspace without requests is dropped after this time.
IDLE_MS = 60_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The request has a token."""

    token: LeasedToken | FallbackToken


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """The home's answer may bring a token before this time."""

    until_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class OverQuota:
    """There is no token for the request.

    Attributes:
        retry_after_ms: time until a token is expected for it.
        by_fallback: whether no home was reached.
    """

    retry_after_ms: float
    by_fallback: bool = False


QuotaVerdict: t.TypeAlias = Admitted | Waiting | OverQuota


class _Home:
    """What an entry knows of one home."""

    def __init__(self, now_ms: float) -> None:
        self.balances: dict[str, Balance] = {}
        self.pacing = TokenBucket(REQUESTS_PER_S, REQUEST_BURST, now_ms)
        self.urgent = TokenBucket(REQUESTS_PER_S, URGENT_BURST, now_ms)
        self.sent_ms: dict[int, float] = {}
        self.is_reachable = True

    def check_answers(self, now_ms: float) -> None:
        for sequence, sent_ms in list(self.sent_ms.items()):
            if now_ms - sent_ms >= ANSWER_TIMEOUT_MS:
                self.is_reachable = False
            if now_ms - sent_ms >= LEASE_MS:
                del self.sent_ms[sequence]

    def may_send(self, due: t.Iterable[Balance], now_ms: float) -> bool:
        is_urgent = any(balance.is_urgent for balance in due)
        return self.pacing.take(now_ms) or (is_urgent and self.urgent.take(now_ms))

    def is_awaited(self, now_ms: float) -> bool:
        sent_ms = max(self.sent_ms.values(), default=-math.inf)
        return now_ms - sent_ms < ANSWER_TIMEOUT_MS


class EntryQuotas:
    """Decides at one entry whether requests are within their workspaces' quotas.

    All times are monotonic; a time before the last one counts as that.

    Args:
        entry: name of the entry's host.
        incarnation: differs for each start of the entry.
        bounds: the bound's parameters.
        now_ms: the time of the start.
    """

    def __init__(
        self, entry: str, incarnation: int, bounds: QuotaBounds, now_ms: float
    ) -> None:
        self._entry = entry
        self._incarnation = incarnation
        self._bounds = bounds
        self._started_ms = now_ms
        self._now_ms = now_ms
        self._sequence = 0
        self._balances: dict[str, Balance] = {}
        self._homes: dict[str, _Home] = {}

    @property
    def balances(self) -> t.Mapping[str, Balance]:
        """Balances of the workspaces in use, by name."""
        return self._balances

    @property
    def homes(self) -> t.Collection[str]:
        """Names of the hosts of the homes in use."""
        return self._homes.keys()

    def is_reachable(self, home: str) -> bool:
        """Returns whether a home has answered recently or has not been asked."""
        known = self._homes.get(home)
        return known is None or known.is_reachable

    def is_serving(self, name: str) -> bool:
        """Returns whether a workspace's home grants tokens, as far as is known."""
        return self._is_granting(self._balances[name])

    def acquire(
        self,
        workspace: Workspace,
        home: str,
        fallback: t.Callable[[], int],
        now_ms: float,
    ) -> QuotaVerdict:
        """Returns the verdict on a new request.

        Args:
            workspace: the caller's workspace, which has a rate.
            home: name of the home's host; empty if none is known.
            fallback: returns this entry's share of the fallback tokens.
            now_ms: the time.
        """
        now_ms = self._advance(now_ms)
        balance = self._balance(workspace.name, home)
        balance.record_request(now_ms)
        verdict = self._decide(balance, fallback, now_ms)
        if isinstance(verdict, Waiting):
            balance.waiting += 1
        return verdict

    def acquire_waiting(
        self, name: str, fallback: t.Callable[[], int], until_ms: float, now_ms: float
    ) -> QuotaVerdict:
        """Returns the verdict on a request that has waited."""
        now_ms = self._advance(now_ms)
        balance = self._balances[name]
        balance.waiting -= 1
        verdict = self._decide(balance, fallback, now_ms)
        if not isinstance(verdict, Waiting):
            return verdict
        if now_ms >= until_ms:
            is_awaited = self._home(balance.home).is_awaited(now_ms)
            if is_awaited or not self._is_granting(balance):
                return self._take_fallback(balance, fallback, now_ms)
            return self._over_quota(balance, now_ms)
        balance.waiting += 1
        return Waiting(until_ms)

    def cancel_waiting(self, name: str) -> None:
        """Records that a request no longer waits, since its caller went away."""
        self._balances[name].waiting -= 1

    def release(
        self, name: str, token: LeasedToken | FallbackToken, now_ms: float
    ) -> None:
        """Puts back the token of a request that was refused and did not run."""
        balance = self._balances.get(name)
        if balance is not None:
            balance.put_back(token, self._advance(now_ms))

    def next_request(self, home: str, now_ms: float) -> LeaseRequest | None:
        """Returns the message that is to be sent to a home now, if any."""
        now_ms = self._advance(now_ms)
        state = self._home(home)
        state.check_answers(now_ms)
        if state.is_awaited(now_ms):
            return None
        due = [
            balance
            for balance in state.balances.values()
            if balance.needs_request(state.is_reachable, now_ms)
        ]
        if not due or not state.may_send(due, now_ms):
            return None
        self._sequence += 1
        state.sent_ms[self._sequence] = now_ms
        requests = tuple(balance.build_request(now_ms) for balance in due)
        return LeaseRequest(self._entry, self._incarnation, self._sequence, requests)

    def apply(self, home: str, answer: LeaseGrant, now_ms: float) -> bool:
        """Takes a home's answer; returns False for a duplicate or late one."""
        now_ms = self._advance(now_ms)
        state = self._homes.get(home)
        if state is None or answer.incarnation != self._incarnation:
            return False
        sent_ms = state.sent_ms.pop(answer.sequence, None)
        if sent_ms is None:
            return False
        state.is_reachable = True
        for grant in answer.grants:
            balance = state.balances.get(grant.workspace)
            if balance is not None:
                balance.apply_grant(grant, answer.sequence, sent_ms, now_ms)
        return True

    def drop_idle(self, now_ms: float) -> None:
        """Drops the state of workspaces and homes that are no longer in use."""
        now_ms = self._advance(now_ms)
        idle_ms = max(IDLE_MS, self._bounds.window_ms)
        for name, balance in list(self._balances.items()):
            if not balance.waiting and now_ms - balance.used_ms >= idle_ms:
                del self._balances[name]
                self._home(balance.home).balances.pop(name, None)
        self._homes = {n: home for n, home in self._homes.items() if home.balances}

    def _advance(self, now_ms: float) -> float:
        self._now_ms = max(self._now_ms, now_ms)
        return self._now_ms

    def _balance(self, name: str, home: str) -> Balance:
        balance = self._balances.get(name)
        if balance is None:
            balance = self._balances[name] = Balance(name, home)
        elif balance.home != home:
            self._home(balance.home).balances.pop(name, None)
            balance.change_home(home)
        self._home(home).balances[name] = balance
        return balance

    def _home(self, home: str) -> _Home:
        state = self._homes.get(home)
        if state is None:
            state = self._homes[home] = _Home(self._now_ms)
        return state

    def _decide(
        self, balance: Balance, fallback: t.Callable[[], int], now_ms: float
    ) -> QuotaVerdict:
        token = balance.take(now_ms)
        if token is not None:
            return Admitted(token)
        state = self._home(balance.home)
        state.check_answers(now_ms)
        if not self._is_granting(balance):
            verdict = self._take_fallback(balance, fallback, now_ms)
            if isinstance(verdict, OverQuota) and self._may_recover(balance, now_ms):
                return Waiting(now_ms + WAIT_MS)
            return verdict
        if balance.is_hopeless(now_ms):
            return self._over_quota(balance, now_ms)
        return Waiting(now_ms + WAIT_MS)

    def _is_granting(self, balance: Balance) -> bool:
        """Returns whether the home grants tokens, as far as is known."""
        state = self._home(balance.home)
        return bool(balance.home) and state.is_reachable and balance.is_served

    def _may_recover(self, balance: Balance, now_ms: float) -> bool:
        """Returns whether a home that granted nothing lately is being asked again."""
        if not balance.home or balance.waiting >= MAX_WAITING_FOR_PROBE:
            return False
        is_awaited = self._home(balance.home).is_awaited(now_ms)
        return is_awaited or balance.is_probe_due(now_ms)

    def _take_fallback(
        self, balance: Balance, fallback: t.Callable[[], int], now_ms: float
    ) -> QuotaVerdict:
        """Uses the fallback share, but not in the first window after a start.

        What an earlier process of this entry used in that window is not known.
        """
        window_ms = self._bounds.window_ms
        is_new = now_ms < self._started_ms + window_ms
        if not is_new:
            token = balance.take_fallback(fallback(), window_ms, now_ms)
            if token is not None:
                return Admitted(token)
        wait_ms = balance.fallback_wait_ms(window_ms, now_ms)
        return OverQuota(wait_ms, by_fallback=True)

    def _over_quota(self, balance: Balance, now_ms: float) -> OverQuota:
        return OverQuota(balance.next_free_ms(self._bounds.window_ms, now_ms))


__all__ = [
    "Admitted",
    "EntryQuotas",
    "OverQuota",
    "QuotaVerdict",
    "Waiting",
]
