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
# A wait of this length for a host's link counts as much as all slots of its worker.
SEND_SCALE_MS = 250.0
SPILL_RATIO = 0.8
# Large answers stay near even if they wait a little, since sending them between
# domains is expensive.
LARGE_ANSWER_SPILL_RATIO = 1.6
UNKNOWN_CAPACITY = 10

# How long a worker is passed over after a refusal or failure. An overload says little
# about the next second; a worker that stops does not return soon.
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
class _WorkerState:
    """An entry's knowledge of one worker."""

    load: Load | None = None
    load_received_ms: float = 0.0
    sent_since_load: int = 0
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
        self._workers: dict[str, _WorkerState] = {}
        self._domain_until_ms: dict[str, float] = {}

    def record_load(self, host: str, load: Load, now_ms: float) -> None:
        """Records the load that came with an answer."""
        worker = self._get_state(host)
        worker.load = load
        worker.load_received_ms = now_ms
        worker.sent_since_load = 0

    def avoid(self, host: HostRecord, kind: ErrorKind, now_ms: float) -> None:
        """Passes a worker over for a while after a refusal or failure.

        A domain that is out is passed over as a whole.
        """
        worker = self._get_state(host.name)
        until_ms = now_ms + AVOID_MS.get(kind, 0)
        if kind is ErrorKind.DOMAIN_OUT:
            self._domain_until_ms[host.domain] = until_ms
        worker.avoid_until_ms = max(worker.avoid_until_ms, until_ms)

    def on_request_sent(self, host: str) -> None:
        """Counts a request sent to a worker."""
        worker = self._get_state(host)
        worker.in_flight += 1
        worker.sent_since_load += 1

    def on_request_ended(self, host: str) -> None:
        """Counts a request as ended."""
        worker = self._get_state(host)
        worker.in_flight = max(0, worker.in_flight - 1)

    def choose(
        self,
        service: str,
        snapshot: Snapshot,
        hosts: t.Iterable[HostRecord],
        now_ms: float,
        tried: t.Collection[str] = (),
        expects_large_answer: bool = False,
    ) -> Choice:
        """Chooses a worker by distance and load.

        Near workers come first; farther ones are considered when those are full. A
        worker that refused recently or does not accept work is chosen only if no
        other is left. A retry goes to the least loaded worker wherever it is.

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
            exclusion = _exclusion_reason(host, snapshot, tried)
            reason = exclusion or self._doubt_reason(host, now_ms)
            if not reason:
                usable.append(host)
                continue
            passed.append(Passed(host.name, reason))
            if not exclusion:
                doubtful.append(host)
        if usable and tried:
            least = min(
                usable,
                key=lambda h: (
                    self._load_ratio(h, now_ms, expects_large_answer),
                    h.name,
                ),
            )
            return Choice(least, tuple(passed))
        if usable:
            return Choice(
                self._choose_nearest(usable, now_ms, expects_large_answer),
                tuple(passed),
            )
        return Choice(self._choose_last_resort(doubtful, now_ms), tuple(passed))

    def _doubt_reason(self, host: HostRecord, now_ms: float) -> str:
        if self._domain_until_ms.get(host.domain, 0.0) > now_ms:
            return "its failure domain refused recently"
        worker = self._workers.get(host.name)
        if worker is None:
            return ""
        if worker.avoid_until_ms > now_ms:
            return "refused recently"
        load = worker.load
        if load is not None and not load.accepting and self._is_fresh(worker, now_ms):
            return "does not accept work"
        return ""

    def _choose_last_resort(
        self, doubtful: list[HostRecord], now_ms: float
    ) -> HostRecord | None:
        def rank(host: HostRecord) -> tuple[float, float, float, str]:
            return (
                max(now_ms, self._domain_until_ms.get(host.domain, 0.0)),
                max(now_ms, self._get_state(host.name).avoid_until_ms),
                self._load_ratio(host, now_ms),
                host.name,
            )

        return min(doubtful, key=rank, default=None)

    def _choose_nearest(
        self, usable: list[HostRecord], now_ms: float, expects_large_answer: bool
    ) -> HostRecord:
        spill_ratio = LARGE_ANSWER_SPILL_RATIO if expects_large_answer else SPILL_RATIO
        own = next((host for host in usable if host.name == self._own), None)
        if (
            expects_large_answer
            and own is not None
            and self._load_ratio(own, now_ms) <= SPILL_RATIO
        ):
            return own
        near = [host for host in usable if host.domain == self._domain]
        region = [host for host in usable if host.region == self._region]
        for candidates in (near, region, usable):
            with_room = [
                h
                for h in candidates
                if self._load_ratio(h, now_ms, expects_large_answer) <= spill_ratio
            ]
            if with_room:
                return self._choose_less_loaded(with_room, now_ms, expects_large_answer)
        return self._choose_less_loaded(usable, now_ms, expects_large_answer)

    def _choose_less_loaded(
        self, candidates: list[HostRecord], now_ms: float, expects_large_answer: bool
    ) -> HostRecord:
        if len(candidates) == 1:
            return candidates[0]
        first, second = self._rng.sample(candidates, 2)
        if self._load_ratio(second, now_ms, expects_large_answer) < self._load_ratio(
            first, now_ms, expects_large_answer
        ):
            return second
        return first

    def _load_ratio(
        self, host: HostRecord, now_ms: float, expects_large_answer: bool = False
    ) -> float:
        """Returns the share of usable slots taken if one more request is sent.

        For a large answer the wait for the host's link counts too.
        """
        worker = self._workers.get(host.name)
        if worker is None:
            return 1 / UNKNOWN_CAPACITY
        if worker.load is None or not self._is_fresh(worker, now_ms):
            return (worker.in_flight + 1) / UNKNOWN_CAPACITY
        load = worker.load
        reported = load.running + load.queued + worker.sent_since_load
        ratio = (max(worker.in_flight, reported) + 1) / max(1, load.capacity)
        return ratio + load.send_ms / SEND_SCALE_MS if expects_large_answer else ratio

    def _is_fresh(self, worker: _WorkerState, now_ms: float) -> bool:
        return now_ms - worker.load_received_ms <= LOAD_TTL_MS

    def _get_state(self, host: str) -> _WorkerState:
        return self._workers.setdefault(host, _WorkerState())


def _exclusion_reason(
    host: HostRecord, snapshot: Snapshot, tried: t.Collection[str]
) -> str:
    if host.state is not HostState.LIVE:
        return host.state.value
    if snapshot.is_out(host.domain):
        return "failure domain out"
    return "already tried" if host.name in tried else ""
