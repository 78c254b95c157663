"""Limits the choice of a worker to the failure domain that serves a request."""

import random
import typing as t

from . import spill
from .calls import Load
from .candidates import Candidates
from .demand import Demand
from .nodes import HostRecord
from .worker_views import WorkerViews


class DomainChoice:
    """Decides in which failure domain a request is served, by waits and bytes.

    Args:
        views: what the entry knows of the workers.
        rng: source of randomness.
    """

    def __init__(self, views: WorkerViews, rng: random.Random) -> None:
        self._views = views
        self._rng = rng
        self._waits = spill.DomainWaits()

    def record_load(self, host: str, load: Load, now_ms: float) -> None:
        """Records the load that came with the answer of a chosen worker."""
        worker = self._views.get(host)
        if worker.service:
            service_ms = worker.service_ms or self._views.mean_service_ms
            self._waits.record(worker.service, worker.domain, load, service_ms, now_ms)

    def limit_to_domain(
        self, service: str, candidates: Candidates, demand: Demand
    ) -> Candidates:
        """Returns the candidates of the domain in which a request is to be served.

        These are all if the own domain has no workers or if bytes cost nothing.
        """
        near = candidates.tiers[0]
        if not demand.crossing_cost_ms or not any(
            host.name not in demand.failed and self._views.is_up(host, demand.now_ms)
            for host in near
        ):
            return candidates
        own_wait_ms = self._own_wait_ms(service, near, demand)
        if own_wait_ms <= demand.crossing_cost_ms:
            return Candidates(near, (near,), candidates.own, candidates.domains)
        decision = spill.decide(
            own_wait_ms,
            self._other_outlooks(service, candidates, demand),
            demand.crossing_cost_ms,
            None if demand.is_retry else self._rng.random(),
        )
        match decision:
            case spill.Leave(domain, is_probe):
                if is_probe:
                    self._waits.record_probe(service, domain, demand.now_ms)
                there = candidates.domains[domain]
                return Candidates(there, (there,), None, candidates.domains)
            case spill.Stay():
                return Candidates(near, (near,), candidates.own, candidates.domains)

    def _own_wait_ms(
        self, service: str, near: t.Sequence[HostRecord], demand: Demand
    ) -> float:
        """Returns the shortest wait at the workers of the own domain.

        A worker of unknown load counts as average. If none is left to ask, or no other
        gate will be asked, the wait is at least what the last gate expects: a cold
        worker without a request is not free.
        """
        mean_ms = (
            self._waits.outlook(
                service, near[0].domain, demand.expects_large_answer, demand.now_ms
            ).wait_ms
            or 0.0
        )
        waits_ms = [
            self._worker_wait_ms(host, mean_ms, demand)
            for host in self._views.usable_sample(near, demand)
        ]
        if waits_ms and not demand.is_last:
            return min(waits_ms)
        return max(min(waits_ms, default=mean_ms), demand.refused_wait_ms)

    def _worker_wait_ms(
        self, host: HostRecord, unknown_ms: float, demand: Demand
    ) -> float:
        worker = self._views.find_fresh(host.name, demand.now_ms)
        if worker is None:
            return unknown_ms
        load = worker.load
        reported = load.running + load.queued + worker.sent_since_load
        requests = max(worker.in_flight, reported)
        service_ms = worker.service_ms or self._views.mean_service_ms
        send_ms = load.send_ms if demand.expects_large_answer else 0.0
        return spill.slot_wait_ms(requests, load.capacity, service_ms) + send_ms

    def _other_outlooks(
        self, service: str, candidates: Candidates, demand: Demand
    ) -> list[spill.Outlook]:
        own = candidates.tiers[0][0].domain
        is_usable = self._views.is_usable
        return [
            self._waits.outlook(
                service, domain, demand.expects_large_answer, demand.now_ms
            )
            for domain, hosts in candidates.domains.items()
            if domain != own and any(is_usable(host, demand) for host in hosts)
        ]


__all__ = ["DomainChoice"]
