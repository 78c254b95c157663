"""Chooses the sources from which a node updates its copy of the platform's store.

A few readers in each failure domain watch the store; every other node follows two of
them. A node to which no up-to-date reader reports reads the store itself.

The readers have an order, by which they follow one another as a tree. The first one
reads changes sooner than the others and sends them along the tree.
"""

import dataclasses
import random
import typing as t

from . import hashing
from .nodes import HostRecord
from .nodes import HostState

HOSTS_PER_READER = 32
# The first upstream sends changes; the second one only reports that there are some.
MAX_FOLLOWED = 2
# Readers that follow the same reader in the readers' tree.
READER_FANOUT = 8
# Silence after which an upstream no longer counts as up to date. Together with the
# switch to the next one, it stays below the time in which a change must be in force.
STALE_MS = 1_200.0
# How long an upstream that failed is skipped.
FAILED_SKIP_MS = 2_000.0
# How long an upstream that answered, but is not up to date, is skipped.
BEHIND_SKIP_MS = 600.0
# How long a node without an upstream waits before it reads the store itself, and the
# random spread of this delay, so that nodes do not all start reading at once.
SELF_READ_DELAY_MS = 100.0
SELF_READ_SPREAD_MS = 500.0
# This delay at the start, when the nodes to follow may be starting too.
START_SELF_READ_DELAY_MS = 500.0


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """How a node keeps its copy of the store up to date.

    Attributes:
        should_read_store: whether it watches the store.
        is_first_reader: whether it is the first of the readers that are up to date.
        follow_addresses: addresses of the nodes that it follows, best first.
    """

    should_read_store: bool
    is_first_reader: bool
    follow_addresses: tuple[str, ...]


@dataclasses.dataclass(slots=True)
class _Upstream:
    followed_ms: float
    fresh_ms: float
    skipped_until_ms: float = 0.0


class Upstreams:
    """Decides whether a node reads the store, and which nodes it follows.

    Args:
        own: the node's own record.
        seeds: addresses of nodes to follow while no host list is known.
        rng: source of randomness.
        now_ms: the start time.
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
        self._candidates = tuple(s for s in self._seeds if s != own.address)
        self._is_reader = own.address in self._seeds
        # The readers before this one in their order; None if it is no elected reader.
        self._readers_above: tuple[str, ...] | None = None
        self._live_addresses: dict[str, tuple[str, str]] = {}
        self._domains: dict[str, str] = {}
        self._upstreams: dict[str, _Upstream] = {}
        self._followed: tuple[str, ...] = ()
        self._self_read_from_ms = now_ms + START_SELF_READ_DELAY_MS + self._spread_ms()

    @property
    def is_reader(self) -> bool:
        """Whether the node is one of its failure domain's readers."""
        return self._is_reader

    def update_hosts(self, hosts: t.Iterable[HostRecord]) -> None:
        """Elects readers from a host list; one without live hosts is ignored."""
        live = {h.name: h for h in hosts if h.state is HostState.LIVE}
        live_addresses = {name: (h.domain, h.address) for name, h in live.items()}
        if not live or live_addresses == self._live_addresses:
            return
        self._live_addresses = live_addresses
        domains: dict[str, list[HostRecord]] = {}
        for host in live.values():
            domains.setdefault(host.domain, []).append(host)
        readers = [
            reader
            for domain, members in domains.items()
            for reader in _elect_readers(domain, members)
        ]
        self._is_reader = any(r.name == self._own.name for r in readers)
        others = {r.address: r.domain for r in readers if r.name != self._own.name}
        self._domains = others
        ranked = hashing.rank_by_weight(f"follow/{self._own.name}", others)
        # Sorting is stable: within a failure domain the ranking holds.
        ranked.sort(key=self._is_remote)
        self._readers_above = None
        if self._is_reader:
            addresses = {r.name: r.address for r in readers}
            order = hashing.rank_by_weight("readers", addresses)
            above = _find_above(order, self._own.name)
            self._readers_above = tuple(addresses[name] for name in above)
        above = self._readers_above or ()
        self._candidates = (*above, *(a for a in ranked if a not in above))

    def on_upstream_status(self, address: str, fresh: bool, now_ms: float) -> None:
        """Records whether a followed node reports its copy as up to date."""
        upstream = self._upstreams.get(address)
        if upstream is None:
            return
        if fresh:
            upstream.fresh_ms = now_ms
        else:
            upstream.skipped_until_ms = now_ms + BEHIND_SKIP_MS

    def mark_unavailable(self, address: str, now_ms: float) -> None:
        """Records that a node cannot be reached."""
        upstream = self._upstreams.get(address)
        if upstream is not None:
            upstream.skipped_until_ms = now_ms + FAILED_SKIP_MS

    def is_fresh(self, now_ms: float) -> bool:
        """Returns whether a followed node was up to date within ``STALE_MS``."""
        return any(
            self._is_upstream_fresh(address, now_ms) for address in self._followed
        )

    def plan(self, now_ms: float) -> Plan:
        """Updates the choice of upstreams and returns the new plan."""
        self._skip_silent(now_ms)
        self._followed = self._choose(now_ms)
        for address in self._followed:
            if address not in self._upstreams:
                self._upstreams[address] = _Upstream(now_ms, float("-inf"))
        if self.is_fresh(now_ms):
            self._self_read_from_ms = now_ms + SELF_READ_DELAY_MS + self._spread_ms()
        should_read = self._is_reader or now_ms >= self._self_read_from_ms
        return Plan(should_read, self._is_first_reader(now_ms), self._followed)

    def _is_first_reader(self, now_ms: float) -> bool:
        above = self._readers_above
        return above is not None and all(self._is_skipped(a, now_ms) for a in above)

    def _skip_silent(self, now_ms: float) -> None:
        for address in self._followed:
            upstream = self._upstreams[address]
            heard_ms = max(upstream.followed_ms, upstream.fresh_ms)
            if now_ms - heard_ms > STALE_MS:
                self.mark_unavailable(address, now_ms)

    def _choose(self, now_ms: float) -> tuple[str, ...]:
        usable = [a for a in self._candidates if not self._is_skipped(a, now_ms)]
        chosen = usable[:1]
        chosen += self._choose_second(usable[1:], chosen)
        for address in list(self._upstreams):
            if address not in chosen and not self._is_skipped(address, now_ms):
                del self._upstreams[address]
        return tuple(chosen)

    def _choose_second(self, others: list[str], chosen: list[str]) -> list[str]:
        """Prefers a second upstream in another failure domain."""
        chosen_domains = {self._domains.get(address) for address in chosen}
        remote = [a for a in others if self._domains.get(a) not in chosen_domains]
        return (remote or others)[: MAX_FOLLOWED - 1]

    def _is_skipped(self, address: str, now_ms: float) -> bool:
        upstream = self._upstreams.get(address)
        return upstream is not None and upstream.skipped_until_ms > now_ms

    def _is_upstream_fresh(self, address: str, now_ms: float) -> bool:
        upstream = self._upstreams[address]
        is_skipped = upstream.skipped_until_ms > now_ms
        return not is_skipped and now_ms - upstream.fresh_ms <= STALE_MS

    def _is_remote(self, address: str) -> bool:
        return self._domains[address] != self._own.domain

    def _spread_ms(self) -> float:
        return self._rng.uniform(0, SELF_READ_SPREAD_MS)


def _elect_readers(domain: str, members: list[HostRecord]) -> list[HostRecord]:
    count = -(-len(members) // HOSTS_PER_READER)
    by_name = {host.name: host for host in members}
    ranked = hashing.rank_by_weight(f"reader/{domain}", by_name)
    return [by_name[name] for name in ranked[:count]]


def _find_above(order: t.Sequence[str], name: str) -> tuple[str, ...]:
    """Returns the readers before one in their order, the path to the root first."""
    own_index = index = order.index(name)
    path = []
    while index:
        index = (index - 1) // READER_FANOUT
        path.append(order[index])
    return (*path, *(other for other in order[:own_index] if other not in path))


__all__ = ["Plan", "Upstreams"]
