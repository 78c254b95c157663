"""Decides which requests an entry sheds while a service is over its capacity.

Gates derive a level from the urgent requests that they refuse and report it with their
load; entries shed less urgent requests by the mean of the levels that they hear. See
``docs/design/overload.md``.
"""

import dataclasses
import enum
import math

from .calls import Call
from .exceptions import ErrorKind
from .snapshot import Snapshot

# Interval at which a gate adapts its level.
WINDOW_MS = 350.0
# Change of a gate's level in a window in which all requests were urgent and refused.
RISE = 2.5
MAX_RISE = 0.25
# A window with few requests raises the level as if it had this many.
MIN_WINDOW_REQUESTS = 4
# Factors by which the level falls in a window without refused urgent requests: while
# requests waited, and while none did.
DECAY = 0.93
FREE_DECAY = 0.2
# A lower level counts as none.
MIN_LEVEL = 0.05
# An entry uses the reports of this time.
REPORT_TTL_MS = 1_500.0
# The least urgent are served at least at this ratio of the mean share.
FAIR_SHARE_RATIO = 0.25
# Promotes more than must be served, since gates refuse some.
FAIR_MARGIN = 1.2
# Relative increase of the promoted share by rank, so that chance serves no rank less
# than a lower one.
RANK_STEP = 0.2
# Weight of the latest request in the mean share that is served.
SERVED_WEIGHT = 0.02
# Weight of the latest interval in the mean between served requests.
GAP_WEIGHT = 0.1
# Shed requests return after this time at the earliest, and within this share of the
# time that their callers have left, which those honour.
MIN_RETURN_MS = 100.0
RETURN_SHARE = 0.25

# Refusals for lack of capacity by a gate at which the request was allowed to wait.
QUEUE_REFUSAL_KINDS = frozenset(
    (ErrorKind.OVERLOADED, ErrorKind.COLD_START, ErrorKind.QUEUE_TIMEOUT)
)


@dataclasses.dataclass(frozen=True, slots=True)
class Urgencies:
    """The priorities that requests for one service have, the least urgent first."""

    priorities: tuple[int, ...]

    @property
    def differ(self) -> bool:
        """Whether some requests are more urgent than others."""
        return len(self.priorities) > 1

    def rank(self, call: Call) -> int:
        """Returns a request's rank; 0 is the least urgent.

        Nested requests rank above all others.
        """
        if call.nested:
            return len(self.priorities)
        return sum(priority > call.priority for priority in self.priorities)


def urgencies(service: str, snapshot: Snapshot) -> Urgencies:
    """Returns the priorities of a service's routes and of all workspaces."""
    found = {item.priority for item in snapshot.workspaces.values()} - {None}
    for bound in snapshot.routes:
        if service in bound.services:
            found.add(bound.route.priority)
    return Urgencies(tuple(sorted(found, reverse=True)))


class Passage(enum.Enum):
    """What an entry does with a request."""

    PASS = "pass"
    # Passed with the urgency of the most urgent, since gates serve those first.
    PROMOTE = "promote"
    SHED = "shed"


class UrgencyCache:
    """Keeps the priorities of each service until the configuration changes."""

    def __init__(self) -> None:
        self._snapshot: Snapshot | None = None
        self._found: dict[str, Urgencies] = {}

    def get(self, service: str, snapshot: Snapshot) -> Urgencies:
        """Returns the priorities that requests for a service have."""
        if snapshot is not self._snapshot:
            self._snapshot = snapshot
            self._found = {}
        found = self._found.get(service)
        if found is None:
            found = self._found[service] = urgencies(service, snapshot)
        return found


def decide(rank: int, level: float, served_share: float, draw: float) -> Passage:
    """Decides whether an entry passes a request that is not nested.

    A level of 1.5 sheds the least urgent as far as fairness permits and half as many of
    the next. No rank is shed more than a less urgent one.

    Args:
        rank: rank of the request.
        level: mean level of the service's gates.
        served_share: share of all requests for the service that are served.
        draw: uniform random number of [0, 1).
    """
    if level <= 0:
        return Passage.PASS
    fair_share = FAIR_SHARE_RATIO * FAIR_MARGIN * served_share * (1 + RANK_STEP * rank)
    if draw < fair_share:
        return Passage.PROMOTE
    shed_share = (1 - fair_share) * min(1.0, max(0.0, level - rank))
    return Passage.SHED if draw >= 1 - shed_share else Passage.PASS


class GateLevel:
    """A gate's part in the level of its service.

    The level rises while the gate refuses requests that are more urgent than those shed
    at the level, and falls otherwise. The most urgent rank is never shed.
    """

    def __init__(self) -> None:
        self._level = 0.0
        self._window_ends_ms = 0.0
        self._requests = 0
        self._refused = 0
        self._had_queue = False

    def record(
        self, call: Call, kind: ErrorKind | None, ranks: Urgencies, now_ms: float
    ) -> None:
        """Records how the gate decided on a request.

        Args:
            call: the request.
            kind: why it was refused, or None.
            ranks: the priorities of the service.
            now_ms: the time.
        """
        self._advance(ranks, now_ms)
        self._requests += 1
        if kind not in QUEUE_REFUSAL_KINDS or not call.may_wait or not ranks.differ:
            return
        if ranks.rank(call) >= max(1, math.floor(self._level)):
            self._refused += 1

    def record_load(self, has_queue: bool, ranks: Urgencies, now_ms: float) -> float:
        """Records whether requests wait, and returns the level to report."""
        self._advance(ranks, now_ms)
        self._had_queue = self._had_queue or has_queue
        return self._level

    def _advance(self, ranks: Urgencies, now_ms: float) -> None:
        if now_ms < self._window_ends_ms:
            return
        if self._refused:
            share = self._refused / max(MIN_WINDOW_REQUESTS, self._requests)
            self._level += min(MAX_RISE, RISE * share)
        else:
            self._level *= DECAY if self._had_queue else FREE_DECAY
        self._level = min(self._level, float(len(ranks.priorities)))
        # Windows in which nothing at all was recorded.
        idle_windows = int((now_ms - self._window_ends_ms) // WINDOW_MS)
        self._level *= FREE_DECAY**idle_windows
        if self._level < MIN_LEVEL:
            self._level = 0.0
        self._window_ends_ms = now_ms + WINDOW_MS
        self._requests = self._refused = 0
        self._had_queue = False


@dataclasses.dataclass(slots=True)
class _Service:
    levels: dict[str, tuple[float, float]] = dataclasses.field(default_factory=dict)
    served_share: float = 1.0


class EntryLevels:
    """What an entry knows of the levels of all services."""

    def __init__(self) -> None:
        self._services: dict[str, _Service] = {}

    def record_report(
        self, service: str, host: str, level: float, now_ms: float
    ) -> None:
        """Records the level that a gate reported."""
        self._get(service).levels[host] = (now_ms, level)

    def record_outcome(self, service: str, is_served: bool) -> None:
        """Records whether a request, shed or not, was served.

        Nothing is kept of services whose gates have reported nothing.
        """
        known = self._services.get(service)
        if known is None:
            return
        known.served_share += SERVED_WEIGHT * (is_served - known.served_share)

    @property
    def services(self) -> tuple[str, ...]:
        """The services of which something is known."""
        return tuple(self._services)

    def level(self, service: str, now_ms: float) -> float:
        """Returns the mean of the latest levels of the gates heard recently.

        A level fades with its age, so that an entry which sheds most of its requests,
        and hears little, soon tries more of them.
        """
        known = self._services.get(service)
        if known is None:
            return 0.0
        since_ms = now_ms - REPORT_TTL_MS
        known.levels = {
            host: report
            for host, report in known.levels.items()
            if report[0] > since_ms
        }
        if not known.levels:
            return 0.0
        faded = [
            level * (at_ms - since_ms) / REPORT_TTL_MS
            for at_ms, level in known.levels.values()
        ]
        mean = sum(faded) / len(faded)
        return mean if mean >= MIN_LEVEL else 0.0

    def decide(self, service: str, rank: int, now_ms: float, draw: float) -> Passage:
        """Decides whether a request that is not nested is passed."""
        level = self.level(service, now_ms)
        if not level:
            return Passage.PASS
        return decide(rank, level, self._services[service].served_share, draw)

    def _get(self, service: str) -> _Service:
        return self._services.setdefault(service, _Service())


class RetryTimes:
    """Spreads the return of shed requests over the time in which they can be served.

    They are told to return one after the other, at the interval at which this entry's
    requests are served. Where that exceeds their time, the order starts anew.
    """

    def __init__(self) -> None:
        self._served_ms: dict[str, float] = {}
        self._gap_ms: dict[str, float] = {}
        self._next_ms: dict[str, float] = {}

    def record_served(self, service: str, now_ms: float) -> None:
        """Records that a request was served."""
        before_ms = self._served_ms.get(service)
        self._served_ms[service] = now_ms
        if before_ms is not None:
            gap_ms = self._gap_ms.get(service, now_ms - before_ms)
            change_ms = now_ms - before_ms - gap_ms
            self._gap_ms[service] = gap_ms + GAP_WEIGHT * change_ms

    def next_ms(self, service: str, remaining_ms: float, now_ms: float) -> float:
        """Returns the wait of the next shed request.

        Args:
            service: the service.
            remaining_ms: time until the caller stops waiting.
            now_ms: the time.
        """
        at_ms = self._next_ms.get(service, now_ms) + self._gap_ms.get(service, 0.0)
        earliest_ms = now_ms + MIN_RETURN_MS
        if not earliest_ms <= at_ms <= now_ms + RETURN_SHARE * remaining_ms:
            at_ms = earliest_ms
        self._next_ms[service] = at_ms
        return at_ms - now_ms


__all__ = [
    "EntryLevels",
    "GateLevel",
    "Passage",
    "QUEUE_REFUSAL_KINDS",
    "RetryTimes",
    "Urgencies",
    "UrgencyCache",
    "decide",
    "urgencies",
]
