"""Chooses where a node's copy of the platform's store comes from.

A few readers in each failure domain watch the store; every other node follows two of
them. A node that hears from no reader that is up to date reads the store itself.
"""

import dataclasses
import random
import typing as t

from . import hashing
from .nodes import HostRecord
from .nodes import HostState

HOSTS_PER_READER = 16
# The first one sends changes; the second one tells that there are some.
FOLLOWED = 2
# Silence after which an upstream no longer counts. Together with the way to the next
# one it stays below the time in which a change must be in force.
STALE_MS = 1_200.0
# How long an upstream that failed is passed over.
REST_MS = 2_000.0
# The same for one that answered, but is not up to date.
BEHIND_REST_MS = 600.0
# How long a node without an upstream waits before it reads the store itself, and by
# how much nodes differ in this, so that they do not all do it at once.
ALONE_MS = 100.0
ALONE_SPREAD_MS = 500.0
# The same at the start, when the nodes to ask may be starting too.
START_ALONE_MS = 500.0


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What a node does to keep its copy up to date.

    Attributes:
        should_read_store: whether it watches the store.
        follow_addresses: addresses of the nodes that it follows, best first.
    """

    should_read_store: bool
    follow_addresses: tuple[str, ...]


@dataclasses.dataclass(slots=True)
class _Upstream:
    followed_ms: float
    fresh_ms: float
    resting_until_ms: float = 0.0


class Upstreams:
    """Decides whether a node reads the store, and which nodes it follows.

    Args:
        own: the node's own record.
        seeds: addresses of nodes to ask while no host list is known.
        rng: source of randomness.
        now_ms: the time at the start.
    """

    def __init__(
        self,
        own: HostRecord,
        seeds: t.Iterable[str],
        rng: random.Random,
        now_ms: float,
    ) -> None:
        self._own = own
        self._seeds = tuple(seeds)
        self._rng = rng
        self._readers = tuple(s for s in self._seeds if s != own.address)
        self._is_reader = own.address in self._seeds
        self._domains: dict[str, str] = {}
        self._upstreams: dict[str, _Upstream] = {}
        self._follows: tuple[str, ...] = ()
        self._alone_from_ms = now_ms + START_ALONE_MS + self._spread_ms()

    @property
    def is_reader(self) -> bool:
        """Whether the node is one of its failure domain's readers."""
        return self._is_reader

    def update_hosts(self, hosts: t.Iterable[HostRecord]) -> None:
        """Takes in a new host list."""
        domains: dict[str, list[HostRecord]] = {}
        for host in hosts:
            if host.state is HostState.LIVE:
                domains.setdefault(host.domain, []).append(host)
        if not domains:
            return
        readers = [
            reader
            for domain, members in domains.items()
            for reader in _readers(domain, members)
        ]
        self._is_reader = any(r.name == self._own.name for r in readers)
        others = {r.address: r.domain for r in readers if r.name != self._own.name}
        self._domains = others
        ranked = hashing.rank_by_weight(f"follow/{self._own.name}", others)
        # Sorting is stable: within a failure domain the ranking holds.
        self._readers = tuple(sorted(ranked, key=self._is_far))

    def on_upstream_status(self, address: str, fresh: bool, now_ms: float) -> None:
        """Notes what a node that is followed told of its copy."""
        upstream = self._upstreams.get(address)
        if upstream is None:
            return
        if fresh:
            upstream.fresh_ms = now_ms
        else:
            upstream.resting_until_ms = now_ms + BEHIND_REST_MS

    def mark_unavailable(self, address: str, now_ms: float) -> None:
        """Notes that a node cannot be reached."""
        upstream = self._upstreams.get(address)
        if upstream is not None:
            upstream.resting_until_ms = now_ms + REST_MS

    def is_fresh(self, now_ms: float) -> bool:
        """Tells whether a node that is followed was up to date a moment ago."""
        return any(self._told_fresh(address, now_ms) for address in self._follows)

    def plan(self, now_ms: float) -> Plan:
        """Returns what to do from now on."""
        self._rest_silent(now_ms)
        self._follows = self._choose(now_ms)
        for address in self._follows:
            if address not in self._upstreams:
                self._upstreams[address] = _Upstream(now_ms, float("-inf"))
        if self.is_fresh(now_ms):
            self._alone_from_ms = now_ms + ALONE_MS + self._spread_ms()
        reads = self._is_reader or now_ms >= self._alone_from_ms
        return Plan(reads, self._follows)

    def _rest_silent(self, now_ms: float) -> None:
        for address in self._follows:
            upstream = self._upstreams[address]
            heard_ms = max(upstream.followed_ms, upstream.fresh_ms)
            if now_ms - heard_ms > STALE_MS:
                self.mark_unavailable(address, now_ms)

    def _choose(self, now_ms: float) -> tuple[str, ...]:
        usable = [a for a in self._readers if not self._rests(a, now_ms)]
        chosen = usable[:1]
        chosen += self._elsewhere(usable[1:], chosen)
        for address in list(self._upstreams):
            if address not in chosen and not self._rests(address, now_ms):
                del self._upstreams[address]
        return tuple(chosen)

    def _elsewhere(self, others: list[str], chosen: list[str]) -> list[str]:
        """Prefers a second upstream in another failure domain."""
        taken = {self._domains.get(address) for address in chosen}
        far = [a for a in others if self._domains.get(a) not in taken]
        return (far or others)[: FOLLOWED - 1]

    def _rests(self, address: str, now_ms: float) -> bool:
        upstream = self._upstreams.get(address)
        return upstream is not None and upstream.resting_until_ms > now_ms

    def _told_fresh(self, address: str, now_ms: float) -> bool:
        upstream = self._upstreams[address]
        resting = upstream.resting_until_ms > now_ms
        return not resting and now_ms - upstream.fresh_ms <= STALE_MS

    def _is_far(self, address: str) -> bool:
        return self._domains[address] != self._own.domain

    def _spread_ms(self) -> float:
        return self._rng.uniform(0, ALONE_SPREAD_MS)


def _readers(domain: str, members: list[HostRecord]) -> list[HostRecord]:
    count = -(-len(members) // HOSTS_PER_READER)
    by_name = {host.name: host for host in members}
    ranked = hashing.rank_by_weight(f"reader/{domain}", by_name)
    return [by_name[name] for name in ranked[:count]]


__all__ = ["Plan", "Upstreams"]
