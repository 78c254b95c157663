"""What an entry holds of one workspace's quota: leases, demand and fallback share."""

import collections
import dataclasses
import math

from .quota_bounds import LEASE_MS
from .quota_messages import MAX_RETURNS
from .quota_messages import TokenGrant
from .quota_messages import TokenRequest
from .quota_messages import TokenReturn

# How long a request waits for the home's answer.
WAIT_MS = 100.0
# How often a home that does not answer or does not serve is asked again.
PROBE_PERIOD_MS = 500.0
# How soon a home that lacks tokens can be asked again.
ASK_PERIOD_MS = 200.0
# Demand is averaged over this time.
DEMAND_PERIOD_MS = 300.0
# Tokens are requested for the demand of this time.
PREFETCH_MS = 300.0
# They are requested once those at hand cover the demand of less than this time.
LOW_MS = 150.0
# At a lower rate, tokens are requested one by one.
MIN_PREFETCH_PER_S = 7.0
# Demand has ended after a gap of this many times the mean one.
END_GAPS = 5.0
# The rate of granted tokens, by which waits are estimated, is averaged over this time.
GRANTED_PERIOD_MS = 2_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class LeasedToken:
    """A token of a lease.

    Attributes:
        sequence: sequence number of the request that brought the lease.
        ends_ms: when the lease ends.
    """

    sequence: int
    ends_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class FallbackToken:
    """A token of the fallback share.

    Attributes:
        used_ms: when it was taken.
    """

    used_ms: float


@dataclasses.dataclass(slots=True)
class _Lease:
    sequence: int
    ends_ms: float
    tokens: int


class DecayingRate:
    """Events per second, averaged with exponential decay.

    Args:
        period_ms: the decay's time constant.
    """

    def __init__(self, period_ms: float) -> None:
        self._period_ms = period_ms
        self._per_s = 0.0
        self._updated_ms = 0.0

    def at(self, now_ms: float) -> float:
        """Returns the rate at a time."""
        elapsed_ms = max(0.0, now_ms - self._updated_ms)
        return self._per_s * math.exp(-elapsed_ms / self._period_ms)

    def record(self, count: float, now_ms: float) -> None:
        """Counts events."""
        self._per_s = self.at(now_ms) + count * 1_000 / self._period_ms
        self._updated_ms = max(now_ms, self._updated_ms)


class Balance:
    """What an entry holds of one workspace's quota.

    Attributes:
        name: name of the workspace.
        home: name of the home's host.
        waiting: number of requests that wait for the home's answer.
        is_served: whether the home grants tokens, as far as it is known.
        is_short: whether the latest answer granted fewer tokens than were wanted.
        used_ms: time of the latest request.
    """

    def __init__(self, name: str, home: str) -> None:
        self.name = name
        self.home = home
        self.waiting = 0
        self.is_served = True
        self.is_short = False
        self.used_ms = 0.0
        self.blocked_until_ms = 0.0
        self._leases: collections.deque[_Lease] = collections.deque()
        self._returned: collections.Counter[int] = collections.Counter()
        # Tokens returned with the latest message, whose answer has yet to come.
        self._returning = 0
        self._demand = DecayingRate(DEMAND_PERIOD_MS)
        self._granted = DecayingRate(GRANTED_PERIOD_MS)
        self._fallback_uses_ms: collections.deque[float] = collections.deque()
        self._rate_per_s = 0.0
        self._next_free_ms = 0.0
        self._asked_ms = -math.inf

    def change_home(self, home: str) -> None:
        """Sets another home, which is assumed to grant tokens."""
        self.home = home
        self.is_served = True
        self.is_short = False
        self.blocked_until_ms = 0.0

    @property
    def tokens(self) -> int:
        """Leased tokens at hand."""
        return sum(lease.tokens for lease in self._leases)

    @property
    def is_urgent(self) -> bool:
        """Whether a message to the home cannot wait."""
        return bool(self._returned) or (self.waiting > 0 and not self.is_short)

    def demand_per_s(self, now_ms: float) -> float:
        """Returns the recent rate of requests, refused ones included."""
        return self._demand.at(now_ms)

    def granted_per_s(self, now_ms: float) -> float:
        """Returns the recent rate of tokens that the home granted."""
        return self._granted.at(now_ms)

    def record_request(self, now_ms: float) -> None:
        """Counts a caller's request."""
        self.used_ms = now_ms
        self._demand.record(1, now_ms)

    def expire(self, now_ms: float) -> None:
        """Ends leases; their unused tokens are returned with the next message."""
        while self._leases and self._leases[0].ends_ms <= now_ms:
            lease = self._leases.popleft()
            self._return(lease.sequence, lease.tokens)

    def take(self, now_ms: float) -> LeasedToken | None:
        """Takes a token of the lease that ends first, if there is one."""
        self.expire(now_ms)
        for lease in self._leases:
            if lease.tokens > 0:
                lease.tokens -= 1
                return LeasedToken(lease.sequence, lease.ends_ms)
        return None

    def put_back(self, token: LeasedToken | FallbackToken, now_ms: float) -> None:
        """Puts back the token of a request that did not run."""
        self.expire(now_ms)
        match token:
            case FallbackToken(used_ms):
                if used_ms in self._fallback_uses_ms:
                    self._fallback_uses_ms.remove(used_ms)
            case LeasedToken(sequence):
                for lease in self._leases:
                    if lease.sequence == sequence:
                        lease.tokens += 1
                        return
                self._return(sequence, 1)

    def _return(self, sequence: int, tokens: int) -> None:
        if tokens > 0:
            self._returned[sequence] += tokens

    def take_fallback(
        self, share: int, window_ms: float, now_ms: float
    ) -> FallbackToken | None:
        """Takes a token of the fallback share, each of which is used once a window."""
        uses_ms = self._fallback_uses_ms
        while uses_ms and uses_ms[0] <= now_ms - window_ms:
            uses_ms.popleft()
        if len(uses_ms) >= share:
            return None
        uses_ms.append(now_ms)
        return FallbackToken(now_ms)

    def fallback_wait_ms(self, window_ms: float, now_ms: float) -> float:
        """Returns the time until a token of the fallback share is free again."""
        if not self._fallback_uses_ms:
            return window_ms
        return max(1.0, self._fallback_uses_ms[0] + window_ms - now_ms)

    def needs_request(self, is_reachable: bool, now_ms: float) -> bool:
        """Returns whether the home is to be asked now."""
        self.expire(now_ms)
        if not (is_reachable and self.is_served):
            is_used = now_ms - self.used_ms < PROBE_PERIOD_MS
            return is_used and self.is_probe_due(now_ms)
        if self._returned:
            return True
        if now_ms < self.blocked_until_ms - WAIT_MS:
            return False
        demand = self._demand.at(now_ms)
        is_low = self.tokens < demand * LOW_MS / 1_000
        return self.waiting > 0 or (is_low and self._prefetch(now_ms) > 0)

    def is_probe_due(self, now_ms: float) -> bool:
        """Returns whether a home that granted nothing may be asked again."""
        return now_ms - self._asked_ms >= PROBE_PERIOD_MS

    def build_request(self, now_ms: float) -> TokenRequest:
        """Returns the request for the home."""
        self._asked_ms = now_ms
        latest = sorted(self._returned, reverse=True)[:MAX_RETURNS]
        returned = tuple(TokenReturn(s, self._returned[s]) for s in latest)
        self._returned.clear()
        self._returning = sum(item.tokens for item in returned)
        missing = max(0, self._prefetch(now_ms) - self.tokens)
        wanted = max(self.waiting, missing)
        demand = self._demand.at(now_ms)
        return TokenRequest(self.name, wanted, returned, demand)

    def apply_grant(
        self, grant: TokenGrant, sequence: int, sent_ms: float, now_ms: float
    ) -> None:
        """Adds the tokens of a home's answer to a request that was sent at a time."""
        self.is_served = grant.is_serving
        self._returning = 0
        self.is_short = grant.wait_ms > 0
        self._rate_per_s = grant.rate_per_s
        self.blocked_until_ms = now_ms + grant.wait_ms if grant.wait_ms else 0.0
        self._granted.record(grant.tokens, now_ms)
        if grant.tokens > 0:
            ends_ms = sent_ms + LEASE_MS
            self._leases.append(_Lease(sequence, ends_ms, grant.tokens))

    def is_hopeless(self, now_ms: float) -> bool:
        """Returns whether no token is expected while a further request would wait."""
        if now_ms >= self.blocked_until_ms or self._returned:
            return False
        is_answer_due = now_ms - self._asked_ms < ASK_PERIOD_MS
        if is_answer_due and self.waiting < self._returning:
            return False
        if self.blocked_until_ms - now_ms > WAIT_MS:
            return True
        return self.waiting > 1 + self._granted.at(now_ms) * WAIT_MS / 1_000

    def next_free_ms(self, most_ms: float, now_ms: float) -> float:
        """Returns the time until a token is expected for one more refused request.

        Each refused request gets a later time, at the rate that the home expects, and
        none before the home can be asked again.
        """
        rate_per_s = max(self._rate_per_s, 1_000 / most_ms)
        asked_ms = now_ms + ASK_PERIOD_MS
        earliest_ms = max(asked_ms, self.blocked_until_ms, self._next_free_ms)
        self._next_free_ms = min(earliest_ms + 1_000 / rate_per_s, now_ms + most_ms)
        return self._next_free_ms - now_ms

    def _prefetch(self, now_ms: float) -> int:
        demand = self._demand.at(now_ms)
        has_ended = (now_ms - self.used_ms) * demand > END_GAPS * 1_000
        if has_ended or demand < MIN_PREFETCH_PER_S:
            return 0
        return math.floor(demand * PREFETCH_MS / 1_000)


__all__ = ["Balance", "DecayingRate", "FallbackToken", "LeasedToken"]
