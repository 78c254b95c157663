"""The tokens of one workspace's quota at its home and their division among entries."""

import collections
import dataclasses
import math
import typing as t

from .quota_bounds import HELD_MS
from .quota_bounds import LEASE_MS
from .quota_messages import TokenGrant
from .quota_messages import TokenRequest
from .quota_messages import TokenReturn

# An entry that has not asked for this long has no part in the division.
ASKER_TTL_MS = 1_000.0
# How often the division among entries is computed, unless an entry's demand changes by
# this part of the rate.
DIVISION_PERIOD_MS = 100.0
DIVISION_CHANGE = 0.1
# An entry leaves in the bucket what the fair rates of the others yield in this time.
RESERVE_MS = 100.0
# Tokens that an entry may want beyond the demand of a lease.
WANTED_SLACK = 2
# A home tells entries that lack tokens when to ask again, so that their messages stay
# below a base rate plus a multiple of the token rate, up to a maximum.
BASE_REQUESTS_PER_S = 20.0
REQUESTS_PER_TOKEN = 1.5
MAX_REQUESTS_PER_S = 200.0
MAX_WAIT_MS = 5_000.0


@dataclasses.dataclass(slots=True)
class _Asker:
    demand_per_s: float
    credit: float
    updated_ms: float


@dataclasses.dataclass(slots=True)
class _Lease:
    entry: str
    sequence: int
    tokens: int
    ends_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class BucketLimits:
    """The limits of a bucket.

    Attributes:
        rate_per_s: tokens added each second.
        capacity: maximum number of tokens in the bucket and on lease.
        late_tokens: tokens that may come back after their lease in any window.
        window_ms: length of the window.
    """

    rate_per_s: float
    capacity: float
    late_tokens: float
    window_ms: float


class QuotaBucket:
    """The tokens of one workspace at its home.

    The tokens in the bucket and those on lease never exceed the capacity together. They
    grow by the rate and, within an allowance for each window, by tokens that come back
    after their lease. So in any window, at most the capacity, the rate times the window
    and the allowance can be used, whatever entries ask for.

    Args:
        now_ms: the time; the bucket starts empty.
    """

    def __init__(self, now_ms: float) -> None:
        self.rate_per_s = 0.0
        self.capacity = 0.0
        self._level = 0.0
        self._leased = 0
        self._now_ms = now_ms
        self._leases: collections.deque[_Lease] = collections.deque()
        self._late: collections.deque[tuple[float, int]] = collections.deque()
        self._late_left = 0
        self._askers: dict[str, _Asker] = {}
        self._fair_rate_per_s = math.inf
        self._promised_per_s = 0.0
        self._divided_ms = -math.inf

    def advance(self, limits: BucketLimits, now_ms: float) -> None:
        """Sets the limits and the time; a time before the last one counts as that."""
        elapsed_ms = max(0.0, now_ms - self._now_ms)
        self._now_ms += elapsed_ms
        self.rate_per_s, self.capacity = limits.rate_per_s, limits.capacity
        since_ms = self._now_ms - limits.window_ms
        while self._late and self._late[0][0] <= since_ms:
            self._late.popleft()
        used = sum(count for _, count in self._late)
        self._late_left = max(0, math.floor(limits.late_tokens) - used)
        while self._leases and self._leases[0].ends_ms <= self._now_ms:
            self._leased -= self._leases.popleft().tokens
        self._level += elapsed_ms * limits.rate_per_s / 1_000
        self._clip()

    def answer(self, entry: str, sequence: int, request: TokenRequest) -> TokenGrant:
        """Takes back returned tokens and grants what the division allows."""
        for item in request.returned:
            self._take_back(entry, item)
        asker = self._record_asker(entry, request.demand_per_s)
        self._divide()
        wanted = min(request.wanted, self._max_wanted(asker))
        tokens = self._grant(asker, wanted)
        if tokens > 0:
            ends_ms = self._now_ms + HELD_MS
            self._leases.append(_Lease(entry, sequence, tokens, ends_ms))
        is_short = request.wanted > tokens
        wait_ms = math.ceil(self._wait_ms(asker)) if is_short else 0
        rate_per_s = min(self.rate_per_s, self._fair_rate_per_s)
        return TokenGrant(request.workspace, tokens, wait_ms, rate_per_s)

    def _grant(self, asker: _Asker, wanted: int) -> int:
        allowed = max(asker.credit, self._level - self._reserve(asker))
        tokens = max(0, math.floor(min(wanted, allowed, self._level)))
        self._level -= tokens
        self._leased += tokens
        asker.credit = max(0.0, asker.credit - tokens)
        return tokens

    def _take_back(self, entry: str, item: TokenReturn) -> None:
        """Puts tokens back, at most as many as the lease had."""
        for lease in self._leases:
            if (lease.entry, lease.sequence) == (entry, item.sequence):
                count = max(0, min(item.tokens, lease.tokens))
                lease.tokens -= count
                self._leased -= count
                break
        else:
            count = max(0, min(item.tokens, self._late_left))
            if count:
                self._late_left -= count
                self._late.append((self._now_ms, count))
        self._level += count
        self._clip()

    def _clip(self) -> None:
        self._level = max(0.0, min(self._level, self.capacity - self._leased))

    def _record_asker(self, entry: str, demand_per_s: float) -> _Asker:
        asker = self._askers.get(entry)
        if asker is None:
            asker = self._askers[entry] = _Asker(demand_per_s, 1.0, self._now_ms)
            self._divided_ms = -math.inf
        change_per_s = abs(demand_per_s - asker.demand_per_s)
        if change_per_s > DIVISION_CHANGE * self.rate_per_s:
            self._divided_ms = -math.inf
        elapsed_s = (self._now_ms - asker.updated_ms) / 1_000
        asker.demand_per_s = demand_per_s
        asker.updated_ms = self._now_ms
        if math.isfinite(self._fair_rate_per_s):
            most = max(1.0, self._fair_rate_per_s * LEASE_MS / 1_000)
            gained = self._fair_rate_per_s * elapsed_s
            asker.credit = min(most, asker.credit + gained)
        return asker

    def _divide(self) -> None:
        """Computes the rate that no entry exceeds while others lack tokens."""
        if self._now_ms - self._divided_ms < DIVISION_PERIOD_MS:
            return
        self._divided_ms = self._now_ms
        since_ms = self._now_ms - max(ASKER_TTL_MS, 2 * self._pause_ms())
        self._askers = {
            name: asker
            for name, asker in self._askers.items()
            if asker.updated_ms >= since_ms
        }
        demands = sorted(asker.demand_per_s for asker in self._askers.values())
        self._fair_rate_per_s = max_min_rate(demands, self.rate_per_s)
        self._promised_per_s = sum(min(d, self._fair_rate_per_s) for d in demands)

    def _reserve(self, asker: _Asker) -> float:
        own_per_s = min(asker.demand_per_s, self._fair_rate_per_s)
        others_per_s = min(self.rate_per_s, max(0.0, self._promised_per_s - own_per_s))
        return others_per_s * RESERVE_MS / 1_000

    def _max_wanted(self, asker: _Asker) -> int:
        lease_demand = min(asker.demand_per_s * LEASE_MS / 1_000, self.capacity)
        return math.ceil(lease_demand) + WANTED_SLACK

    def _wait_ms(self, asker: _Asker) -> float:
        if self.rate_per_s <= 0:
            return MAX_WAIT_MS
        by_level_s = (1 + self._reserve(asker) - self._level) / self.rate_per_s
        by_credit_s = (1 - self._level) / self.rate_per_s
        if math.isfinite(self._fair_rate_per_s):
            own_s = (1 - asker.credit) / max(self._fair_rate_per_s, 1e-6)
            by_credit_s = max(by_credit_s, own_s)
        wait_ms = self._full_ms() + 1_000 * min(by_level_s, by_credit_s)
        return min(MAX_WAIT_MS, max(1.0, self._pause_ms(), wait_ms))

    def _full_ms(self) -> float:
        """Returns the time until leases end, if they leave no room for a token."""
        if not self._leases or self.capacity - self._leased - self._level >= 1:
            return 0.0
        return self._leases[0].ends_ms - self._now_ms

    def _pause_ms(self) -> float:
        per_s = BASE_REQUESTS_PER_S + REQUESTS_PER_TOKEN * self.rate_per_s
        return len(self._askers) * 1_000 / min(MAX_REQUESTS_PER_S, per_s)


def max_min_rate(demands: t.Sequence[float], total: float) -> float:
    """Returns the rate up to which each demand is met; infinite if all are met.

    Args:
        demands: demands in ascending order.
        total: the rate to divide.
    """
    left = total
    for index, demand in enumerate(demands):
        fair = left / (len(demands) - index)
        if demand > fair:
            return fair
        left -= demand
    return math.inf


__all__ = ["BucketLimits", "QuotaBucket", "max_min_rate"]
