"""Chooses the worker that an entry sends a request to."""

import dataclasses
import random
import typing as t

from .calls import Load
from .candidates import CandidateCache
from .candidates import Candidates
from .candidates import Location
from .demand import Demand
from .domain_choice import DomainChoice
from .exceptions import ErrorKind
from .nodes import HostRecord
from .nodes import HostState
from .silence import SilentPeers
from .snapshot import Snapshot
from .worker_views import AVOID_MS
from .worker_views import WorkerViews

SPILL_RATIO = 0.8
# Large answers stay near even if they wait a little, since sending them between
# domains is expensive.
LARGE_ANSWER_SPILL_RATIO = 1.6
# Workers of a sample among which the one expected to answer first is chosen.
COMPARED_HOSTS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The outcome of routing one request.

    Attributes:
        host: the worker's host, or None.
        is_only: whether no other worker is expected to accept the request.
    """

    host: HostRecord | None
    is_only: bool = True


class Router:
    """An entry's view of the workers of all services.

    Args:
        domain: the entry's own failure domain.
        region: the entry's own region.
        rng: source of randomness.
        own: name of the entry's own host.
        silent_peers: nodes that do not respond; they get requests last.
    """

    def __init__(
        self,
        domain: str,
        region: str,
        rng: random.Random,
        own: str = "",
        silent_peers: SilentPeers | None = None,
    ) -> None:
        self._rng = rng
        self._candidates = CandidateCache(Location(own, domain, region))
        # An empty collection counts too: the node adds to it.
        if silent_peers is None:
            silent_peers = SilentPeers()
        self._views = WorkerViews(rng, silent_peers)
        self._domains = DomainChoice(self._views, rng)

    def record_load(self, host: str, load: Load, now_ms: float) -> None:
        """Records the load that came with an answer."""
        self._views.record_load(host, load, now_ms)
        self._domains.record_load(host, load, now_ms)

    def avoid(self, host: HostRecord, kind: ErrorKind, now_ms: float) -> None:
        """Passes a worker over for a while after a refusal or failure."""
        self._views.avoid(host, kind, now_ms)

    def on_request_sent(self, host: str) -> None:
        """Counts a request sent to a worker."""
        self._views.on_request_sent(host)

    def on_request_ended(self, host: str) -> None:
        """Counts a request as ended."""
        self._views.on_request_ended(host)

    def choose(
        self,
        service: str,
        snapshot: Snapshot,
        hosts: t.Iterable[HostRecord],
        now_ms: float,
        tried: t.Collection[str] = (),
        expects_large_answer: bool = False,
        least_loaded: bool = False,
        crossing_cost_ms: float = 0.0,
        refused_wait_ms: float = 0.0,
        failed: t.Collection[str] = (),
    ) -> Choice:
        """Chooses a worker by distance and load, from a sample of a large service.

        Near workers come first; farther ones are considered when those are full. A
        worker that refused recently or does not accept work is chosen only if no
        other is left.

        Args:
            service: the service to reach.
            snapshot: the configuration in force.
            hosts: the host list; a tuple is grouped only once.
            now_ms: the time.
            tried: hosts already tried for this request.
            expects_large_answer: whether a large answer is expected.
            least_loaded: whether the least loaded worker is chosen, wherever it is.
            crossing_cost_ms: by how much the wait in another domain must be shorter;
                with 0, near workers are left by their load alone.
            refused_wait_ms: time until the gate that refused last expects capacity.
            failed: the hosts tried whose worker ended this request for another reason
                than a lack of capacity.
        """
        candidates = self._candidates.get(service, snapshot, hosts)
        demand = Demand(
            now_ms,
            tried,
            expects_large_answer,
            crossing_cost_ms,
            is_retry=least_loaded or bool(tried),
            is_last=least_loaded,
            refused_wait_ms=refused_wait_ms,
            failed=failed,
        )
        candidates = self._domains.limit_to_domain(service, candidates, demand)
        choice = self._choose_worker(candidates, demand, least_loaded)
        if choice.host is not None:
            worker = self._views.get(choice.host.name)
            worker.service, worker.domain = service, choice.host.domain
        return choice

    def _choose_worker(
        self, candidates: Candidates, demand: Demand, least_loaded: bool
    ) -> Choice:
        if least_loaded:
            host = self._choose_least_loaded(candidates, demand)
        else:
            host = self._choose_nearest(candidates, demand)
        if host is None:
            return Choice(self._choose_last_resort(candidates, demand))
        return Choice(host, not self._has_other(candidates, host, demand))

    def exclusion_reason(
        self, host: HostRecord, snapshot: Snapshot, now_ms: float
    ) -> str:
        """Returns why a host gets no requests at present, or empty text."""
        if host.state is not HostState.LIVE:
            return host.state.value
        if snapshot.is_out(host.domain):
            return "failure domain out"
        return self._views.doubt_reason(host, now_ms)

    def _has_other(
        self, candidates: Candidates, chosen: HostRecord, demand: Demand
    ) -> bool:
        return any(
            host is not chosen and self._views.is_usable(host, demand)
            for host in candidates.live
        )

    def _choose_least_loaded(
        self, candidates: Candidates, demand: Demand
    ) -> HostRecord | None:
        usable = self._views.usable_sample(candidates.live, demand)
        if not usable:
            return None
        costs = [self._least_cost(host, demand) for host in usable]
        least = min(costs)
        return self._rng.choice(
            [host for host, cost in zip(usable, costs, strict=True) if cost == least]
        )

    def _least_cost(self, host: HostRecord, demand: Demand) -> float:
        """Returns the expected cost; a worker of unknown load counts as average."""
        cost = self._expected_cost(host, demand)
        if self._views.find_fresh(host.name, demand.now_ms) is not None:
            return cost
        return cost * max(1.0, self._views.mean_ratio)

    def _choose_last_resort(
        self, candidates: Candidates, demand: Demand
    ) -> HostRecord | None:
        now_ms = demand.now_ms

        def rank(host: HostRecord) -> tuple[bool, float, float, float, str]:
            return (
                self._views.silent_peers.is_silent(host.address),
                *self._views.avoided_until_ms(host, now_ms),
                self._views.load_ratio(host, now_ms),
                host.name,
            )

        left = [h for h in candidates.live if h.name not in demand.tried]
        return min(left, key=rank, default=None)

    def _choose_nearest(
        self, candidates: Candidates, demand: Demand
    ) -> HostRecord | None:
        spill_ratio = SPILL_RATIO
        if demand.expects_large_answer:
            spill_ratio = LARGE_ANSWER_SPILL_RATIO
            own = candidates.own
            if (
                own is not None
                and self._views.is_usable(own, demand)
                and self._views.load_ratio(own, demand.now_ms) <= SPILL_RATIO
            ):
                return own
        usable: list[HostRecord] = []
        for tier in candidates.tiers:
            usable = self._views.usable_sample(tier, demand)
            with_room = [
                host
                for host in usable
                if self._demand_ratio(host, demand) <= spill_ratio
            ]
            if with_room:
                return self._choose_less_loaded(with_room, demand)
        return self._choose_less_loaded(usable, demand) if usable else None

    def _choose_less_loaded(
        self, hosts: list[HostRecord], demand: Demand
    ) -> HostRecord:
        """Returns the host with the shortest expected time among a few random ones."""
        drawn = self._rng.sample(hosts, min(len(hosts), COMPARED_HOSTS))
        return min(drawn, key=lambda host: self._expected_cost(host, demand))

    def _expected_cost(self, host: HostRecord, demand: Demand) -> float:
        """Returns a measure of the time until the host's worker answers.

        A request waits where more requests than slots are expected.
        """
        worker = self._views.find(host.name)
        known_ms = 0.0 if worker is None else worker.service_ms
        ratio = self._demand_ratio(host, demand)
        return (known_ms or self._views.mean_service_ms) * (
            max(1.0, ratio) + ratio / 10
        )

    def _demand_ratio(self, host: HostRecord, demand: Demand) -> float:
        return self._views.load_ratio(host, demand.now_ms, demand.expects_large_answer)


__all__ = [
    "AVOID_MS",
    "Choice",
    "LARGE_ANSWER_SPILL_RATIO",
    "Router",
    "SPILL_RATIO",
]
