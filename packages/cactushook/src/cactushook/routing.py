"""Chooses the worker that an entry sends a request to."""

import dataclasses
import random
import typing as t

from .calls import Load
from .exceptions import ErrorKind
from .nodes import HostRecord
from .nodes import HostState
from .snapshot import Snapshot

LOAD_TTL_MS = 2_000
# A wait of so long for a host's link weighs as much as all of its worker's slots.
SEND_SCALE_MS = 250.0
SPILL_RATIO = 0.8
# Large answers stay near also if they wait a little: they are dear between domains.
BULKY_SPILL_RATIO = 1.6
UNKNOWN_CAPACITY = 10

# How long a worker is passed over after a refusal or failure. An overload says
# little of the next second; a worker that stops does not come back soon.
AVOID_MS: t.Mapping[ErrorKind, float] = {
    ErrorKind.OVERLOADED: 50,
    ErrorKind.COLD_START: 50,
    ErrorKind.QUEUE_TIMEOUT: 50,
    ErrorKind.VERSION_BEHIND: 200,
    ErrorKind.NOT_READY: 500,
    ErrorKind.WORKER_UNREACHABLE: 500,
    ErrorKind.WORKER_LOST: 500,
    ErrorKind.PEER_UNREACHABLE: 1_000,
    ErrorKind.PEER_LOST: 1_000,
    ErrorKind.DRAINING: 2_000,
    ErrorKind.WORKER_REJECTED: 50,
    ErrorKind.WORKER_REPLACED: 500,
    ErrorKind.WORKER_UNKNOWN: 500,
    ErrorKind.WORKER_FAILED: 20,
    ErrorKind.WORKER_FAILING: 500,
    ErrorKind.ANSWER_INVALID: 20,
    ErrorKind.DOMAIN_OUT: 2_000,
}


@dataclasses.dataclass(slots=True)
class _Known:
    """What an entry has seen of one worker."""

    load: Load | None = None
    told_ms: float = 0.0
    sent_since: int = 0
    in_flight: int = 0
    avoid_until_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Passed:
    """A worker that was passed over, and why."""

    host: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The outcome of routing one request.

    Attributes:
        host: the worker's host, or None.
        passed: the workers passed over.
    """

    host: HostRecord | None
    passed: tuple[Passed, ...] = ()


class Router:
    """An entry's view of the workers of all services.

    Args:
        domain: the entry's own failure domain.
        region: the entry's own region.
        rng: source of randomness.
        own: name of the entry's own host.
    """

    def __init__(
        self, domain: str, region: str, rng: random.Random, own: str = ""
    ) -> None:
        self._own = own
        self._domain = domain
        self._region = region
        self._rng = rng
        self._known: dict[str, _Known] = {}
        self._domain_until_ms: dict[str, float] = {}

    def record_load(self, host: str, load: Load, now_ms: float) -> None:
        """Notes the load that came with an answer."""
        known = self._get(host)
        known.load = load
        known.told_ms = now_ms
        known.sent_since = 0

    def avoid(self, host: HostRecord, kind: ErrorKind, now_ms: float) -> None:
        """Passes a worker over for a while after a refusal or failure.

        A domain that is out is passed over as a whole.
        """
        known = self._get(host.name)
        until_ms = now_ms + AVOID_MS.get(kind, 0)
        if kind is ErrorKind.DOMAIN_OUT:
            self._domain_until_ms[host.domain] = until_ms
        known.avoid_until_ms = max(known.avoid_until_ms, until_ms)

    def on_request_sent(self, host: str) -> None:
        """Counts a request sent to a worker."""
        known = self._get(host)
        known.in_flight += 1
        known.sent_since += 1

    def on_request_ended(self, host: str) -> None:
        """Counts a request ended."""
        known = self._get(host)
        known.in_flight = max(0, known.in_flight - 1)

    def choose(
        self,
        service: str,
        snapshot: Snapshot,
        hosts: t.Iterable[HostRecord],
        now_ms: float,
        tried: t.Collection[str] = (),
        expects_large_answer: bool = False,
    ) -> Choice:
        """Chooses a worker: near first, by load, widening when full.

        A worker that refused lately or does not accept work is passed over, but
        taken as the last resort when no other is left. A request that was tried
        before goes to the least loaded worker wherever it is.

        Args:
            service: the service to reach.
            snapshot: the configuration in force.
            hosts: the host list.
            now_ms: the time.
            tried: hosts already tried for this request.
            expects_large_answer: whether a large answer is expected.
        """
        passed: list[Passed] = []
        usable: list[HostRecord] = []
        doubtful: list[HostRecord] = []
        for host in hosts:
            if host.service != service:
                continue
            barred = _barred(host, snapshot, tried)
            reason = barred or self._doubt(host, now_ms)
            if not reason:
                usable.append(host)
                continue
            passed.append(Passed(host.name, reason))
            if not barred:
                doubtful.append(host)
        if usable and tried:
            least = min(
                usable,
                key=lambda h: (self._ratio(h, now_ms, expects_large_answer), h.name),
            )
            return Choice(least, tuple(passed))
        if usable:
            return Choice(
                self._pick(usable, now_ms, expects_large_answer), tuple(passed)
            )
        return Choice(self._least_bad(doubtful, now_ms), tuple(passed))

    def _doubt(self, host: HostRecord, now_ms: float) -> str:
        if self._domain_until_ms.get(host.domain, 0.0) > now_ms:
            return "its failure domain refused recently"
        known = self._known.get(host.name)
        if known is None:
            return ""
        if known.avoid_until_ms > now_ms:
            return "refused recently"
        load = known.load
        if load is not None and not load.accepting and self._is_fresh(known, now_ms):
            return "does not accept work"
        return ""

    def _least_bad(
        self, doubtful: list[HostRecord], now_ms: float
    ) -> HostRecord | None:
        def rank(host: HostRecord) -> tuple[float, float, float, str]:
            return (
                max(now_ms, self._domain_until_ms.get(host.domain, 0.0)),
                max(now_ms, self._get(host.name).avoid_until_ms),
                self._ratio(host, now_ms),
                host.name,
            )

        return min(doubtful, key=rank, default=None)

    def _pick(
        self, usable: list[HostRecord], now_ms: float, expects_large_answer: bool
    ) -> HostRecord:
        spill_ratio = BULKY_SPILL_RATIO if expects_large_answer else SPILL_RATIO
        own = next((host for host in usable if host.name == self._own), None)
        if (
            expects_large_answer
            and own is not None
            and self._ratio(own, now_ms) <= SPILL_RATIO
        ):
            return own
        near = [host for host in usable if host.domain == self._domain]
        region = [host for host in usable if host.region == self._region]
        for candidates in (near, region, usable):
            roomy = [
                h
                for h in candidates
                if self._ratio(h, now_ms, expects_large_answer) <= spill_ratio
            ]
            if roomy:
                return self._better_of_two(roomy, now_ms, expects_large_answer)
        return self._better_of_two(usable, now_ms, expects_large_answer)

    def _better_of_two(
        self, candidates: list[HostRecord], now_ms: float, expects_large_answer: bool
    ) -> HostRecord:
        if len(candidates) == 1:
            return candidates[0]
        first, second = self._rng.sample(candidates, 2)
        if self._ratio(second, now_ms, expects_large_answer) < self._ratio(
            first, now_ms, expects_large_answer
        ):
            return second
        return first

    def _ratio(
        self, host: HostRecord, now_ms: float, expects_large_answer: bool = False
    ) -> float:
        """Returns the share of usable slots taken if one more request is sent.

        For a large answer the wait for the host's link counts too.
        """
        known = self._known.get(host.name)
        if known is None:
            return 1 / UNKNOWN_CAPACITY
        if known.load is None or not self._is_fresh(known, now_ms):
            return (known.in_flight + 1) / UNKNOWN_CAPACITY
        load = known.load
        told = load.running + load.queued + known.sent_since
        ratio = (max(known.in_flight, told) + 1) / max(1, load.capacity)
        return ratio + load.send_ms / SEND_SCALE_MS if expects_large_answer else ratio

    def _is_fresh(self, known: _Known, now_ms: float) -> bool:
        return now_ms - known.told_ms <= LOAD_TTL_MS

    def _get(self, host: str) -> _Known:
        return self._known.setdefault(host, _Known())


def _barred(host: HostRecord, snapshot: Snapshot, tried: t.Collection[str]) -> str:
    if host.state is not HostState.LIVE:
        return host.state.value
    if snapshot.is_out(host.domain):
        return "failure domain out"
    return "already tried" if host.name in tried else ""
