"""Groups the workers of a service by their distance from an entry."""

import collections
import dataclasses
import typing as t

from .nodes import HostRecord
from .nodes import HostState
from .snapshot import Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class Candidates:
    """The workers of one service that may get requests, as an entry sees them.

    Attributes:
        live: all live hosts in failure domains that are in service.
        tiers: the hosts of the own failure domain, of the own region and all, each of
            them only if it adds hosts to the one before.
        own: the entry's own host, if it runs the service.
        domains: all live hosts by failure domain, those of the own region first.
    """

    live: tuple[HostRecord, ...]
    tiers: tuple[tuple[HostRecord, ...], ...]
    own: HostRecord | None
    domains: t.Mapping[str, tuple[HostRecord, ...]]


@dataclasses.dataclass(frozen=True, slots=True)
class Location:
    """The name, failure domain and region of an entry's host."""

    name: str
    domain: str
    region: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Grouping:
    hosts: t.Iterable[HostRecord]
    snapshot: Snapshot
    candidates: Candidates


class CandidateCache:
    """Keeps the groups of each service until its hosts or the configuration change.

    Args:
        location: where the entry runs.
    """

    def __init__(self, location: Location) -> None:
        self._location = location
        self._groupings: dict[str, _Grouping] = {}

    def get(
        self, service: str, snapshot: Snapshot, hosts: t.Iterable[HostRecord]
    ) -> Candidates:
        """Returns the groups of a service; only those of a tuple of hosts are kept."""
        known = self._groupings.get(service)
        if (
            known is not None
            and known.hosts is hosts
            and known.snapshot is snapshot
            and isinstance(hosts, tuple)
        ):
            return known.candidates
        candidates = _group(service, snapshot, hosts, self._location)
        self._groupings[service] = _Grouping(hosts, snapshot, candidates)
        return candidates


def _group(
    service: str,
    snapshot: Snapshot,
    hosts: t.Iterable[HostRecord],
    location: Location,
) -> Candidates:
    live = tuple(
        host
        for host in hosts
        if host.service == service
        and host.state is HostState.LIVE
        and not snapshot.is_out(host.domain)
    )
    near = tuple(host for host in live if host.domain == location.domain)
    region = tuple(host for host in live if host.region == location.region)
    tiers = [near]
    for tier in (region, live):
        if len(tier) > len(tiers[-1]):
            tiers.append(tier)
    own = next((host for host in near if host.name == location.name), None)
    domains: dict[str, list[HostRecord]] = collections.defaultdict(list)
    for host in sorted(live, key=lambda host: host.region != location.region):
        domains[host.domain].append(host)
    grouped = {domain: tuple(members) for domain, members in domains.items()}
    return Candidates(live, tuple(tiers), own, grouped)


__all__ = ["CandidateCache", "Candidates", "Location"]
