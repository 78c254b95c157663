"""Holds the host records that a node knows, merged by incarnation.

The records are a hint: they may differ from the fleet and from other nodes' records.
"""

import functools
import typing as t
import weakref

import msgspec
import xxhash

from . import hashing
from . import readers
from .nodes import HostRecord
from .nodes import HostState

BUCKETS_PER_DOMAIN = 16
MAX_GONE_PER_DOMAIN = 64
MAX_RELAY_ORDERS = 4
MAX_READER_CANDIDATES = 9

_DIGEST_MASK = (1 << 63) - 1
_RANK = {HostState.LIVE: 0, HostState.LEAVING: 1, HostState.GONE: 2}


class DomainView:
    """Immutable view of the host records of one failure domain.

    Attributes:
        domain: name of the failure domain.
        records: records by host name, gone hosts included.
        digest: digest of every record that is not gone.
        key: digest of every record.
    """

    def __init__(
        self, domain: str, records: t.Mapping[str, HostRecord], digest: int, key: int
    ) -> None:
        self.domain = domain
        self.records = records
        self.digest = digest
        self.key = key
        self._relay_orders: dict[int, tuple[str, ...]] = {}

    @functools.cached_property
    def live(self) -> tuple[HostRecord, ...]:
        """Live hosts in name order."""
        live = (r for r in self.records.values() if r.state is HostState.LIVE)
        return tuple(sorted(live, key=lambda record: record.name))

    @functools.cached_property
    def reader_candidates(self) -> tuple[str, ...]:
        """Names of the best candidates for reading the platform, best first."""
        return tuple(
            readers.rank_readers(self.domain, self.live)[:MAX_READER_CANDIDATES]
        )

    @property
    def readers(self) -> tuple[str, ...]:
        """Names of the hosts that read the platform, best first."""
        return self.reader_candidates[: readers.READERS_PER_DOMAIN]

    @functools.cached_property
    def by_service(self) -> t.Mapping[str, tuple[HostRecord, ...]]:
        """Hosts that are not gone, by service."""
        found: dict[str, list[HostRecord]] = {}
        for record in self.records.values():
            if record.state is not HostState.GONE:
                found.setdefault(record.service, []).append(record)
        return {service: tuple(hosts) for service, hosts in found.items()}

    @functools.cached_property
    def bucket_digests(self) -> tuple[int, ...]:
        """Digests of the records that are not gone, one per bucket of host names."""
        digests = [0] * BUCKETS_PER_DOMAIN
        for record in self.records.values():
            if record.state is not HostState.GONE:
                digests[bucket_index(record.name)] ^= record_digest(record)
        return tuple(digests)

    def records_in_buckets(self, buckets: t.Container[int]) -> tuple[HostRecord, ...]:
        """Returns all records whose host names fall into the buckets."""
        return tuple(
            r for r in self.records.values() if bucket_index(r.name) in buckets
        )

    def relay_order(self, version: int) -> tuple[str, ...]:
        """Returns the names of live hosts in a version's tree order, readers first."""
        order = self._relay_orders.get(version)
        if order is None:
            names = {record.name for record in self.live}.difference(self.readers)
            ranked = hashing.rank_by_weight(f"relay/{version}", names)
            order = (*self.readers, *ranked)
            if len(self._relay_orders) >= MAX_RELAY_ORDERS:
                self._relay_orders.pop(next(iter(self._relay_orders)))
            self._relay_orders[version] = order
        return order


class ViewCache:
    """Shares equal views between the memberships of one process."""

    def __init__(self) -> None:
        self._views: weakref.WeakValueDictionary[tuple[str, int], DomainView] = (
            weakref.WeakValueDictionary()
        )

    def with_records(
        self, view: DomainView, changed: t.Sequence[HostRecord]
    ) -> DomainView:
        """Returns a view in which changed records, one per name, replace older ones."""
        digest, key = view.digest, view.key
        for record in changed:
            known = view.records.get(record.name)
            for item in (known, record) if known is not None else (record,):
                key ^= record_digest(item)
                if item.state is not HostState.GONE:
                    digest ^= record_digest(item)
        found = self._views.get((view.domain, key))
        if found is None:
            records = {**view.records, **{record.name: record for record in changed}}
            found = _drop_oldest_gone(DomainView(view.domain, records, digest, key))
            self._views[view.domain, key] = found
        return found


class Membership:
    """Host records from the platform's list and from other nodes.

    Args:
        own: the node's own record, which is always included.
        cache: shares views between memberships of one process.
    """

    def __init__(self, own: HostRecord, cache: ViewCache | None = None) -> None:
        self.own = own
        self._cache = cache or ViewCache()
        self._views: dict[str, DomainView] = {}
        self._services: dict[str, tuple[HostRecord, ...]] = {}
        self._hosts: tuple[HostRecord, ...] | None = None
        self._put_records([own])

    @property
    def hosts(self) -> t.Collection[HostRecord]:
        """All known records, gone ones included."""
        if self._hosts is None:
            views = self._views.values()
            self._hosts = tuple(r for view in views for r in view.records.values())
        return self._hosts

    @property
    def domains(self) -> t.Collection[str]:
        """Names of the failure domains that have records."""
        return self._views.keys()

    @property
    def live_count(self) -> int:
        """Number of known live hosts."""
        return sum(len(view.live) for view in self._views.values())

    @property
    def digest(self) -> int:
        """Digest of every record that is not gone; equal for equal records."""
        digest = 0
        for view in self._views.values():
            digest ^= view.digest
        return digest

    def view(self, domain: str) -> DomainView:
        """Returns the view of a failure domain, which is empty if it is unknown."""
        return self._views.get(domain) or DomainView(domain, {}, 0, 0)

    def get(self, name: str) -> HostRecord | None:
        """Returns the record of a host."""
        for view in self._views.values():
            if name in view.records:
                return view.records[name]
        return None

    def hosts_of_service(self, service: str) -> tuple[HostRecord, ...]:
        """Returns a service's hosts that are not gone; the tuple is shared."""
        hosts = self._services.get(service)
        if hosts is None:
            views = self._views.values()
            hosts = tuple(h for v in views for h in v.by_service.get(service, ()))
            self._services[service] = hosts
        return hosts

    def merge(self, record: HostRecord) -> bool:
        """Merges a record if it is newer, and returns whether it was newer."""
        return bool(self.merge_all((record,)))

    def merge_all(self, records: t.Iterable[HostRecord]) -> tuple[HostRecord, ...]:
        """Merges the newer records and returns them.

        A newer record of the node itself is refuted: the node raises its own
        incarnation, and its own record is among those returned.
        """
        newer: dict[tuple[str, str], HostRecord] = {}
        for record in records:
            if record.name == self.own.name:
                if self._refute_if_newer(record):
                    newer[self.own.domain, self.own.name] = self.own
            elif self._is_newer(record):
                known = newer.get((record.domain, record.name))
                if known is None or _recency(record) > _recency(known):
                    newer[record.domain, record.name] = record
        if newer:
            self._put_records(newer.values())
        return tuple(newer.values())

    def replace_all(self, records: t.Iterable[HostRecord]) -> None:
        """Replaces all records by those of an authoritative list.

        The node's own record becomes gone unless the list contains it. Views of
        failure domains whose records are the same stay as they are.
        """
        listed: dict[str, dict[str, HostRecord]] = {}
        for record in records:
            listed.setdefault(record.domain, {})[record.name] = record
        own = next(
            (
                found[self.own.name]
                for found in listed.values()
                if self.own.name in found
            ),
            None,
        )
        if own is None:
            own = msgspec.structs.replace(self.own, state=HostState.GONE)
            listed.setdefault(own.domain, {})[own.name] = own
        self.own = own
        for domain in self._views.keys() - listed.keys():
            self._replace_view(domain, {})
        for domain, found in listed.items():
            self._replace_view(domain, found)

    def _replace_view(self, domain: str, listed: t.Mapping[str, HostRecord]) -> None:
        view = self.view(domain)
        if not listed:
            del self._views[domain]
        elif view.records.keys() <= listed.keys():
            changed = [r for r in listed.values() if view.records.get(r.name) != r]
            if not changed:
                return
            self._views[domain] = self._cache.with_records(view, changed)
        else:
            empty = DomainView(domain, {}, 0, 0)
            records = list(listed.values())
            self._views[domain] = self._cache.with_records(empty, records)
        self._services = {}
        self._hosts = None

    def change_state(self, state: HostState) -> None:
        """Changes the state of the node's own record."""
        self.own = msgspec.structs.replace(self.own, state=state)
        self._put_records([self.own])

    def _is_newer(self, record: HostRecord) -> bool:
        known = self.view(record.domain).records.get(record.name)
        if known is None:
            return record.state is not HostState.GONE
        return _recency(record) > _recency(known)

    def _refute_if_newer(self, record: HostRecord) -> bool:
        if record.domain != self.own.domain or _recency(record) <= _recency(self.own):
            return False
        self.own = msgspec.structs.replace(self.own, incarnation=record.incarnation + 1)
        return True

    def _put_records(self, records: t.Iterable[HostRecord]) -> None:
        by_domain: dict[str, list[HostRecord]] = {}
        for record in records:
            by_domain.setdefault(record.domain, []).append(record)
        for domain, changed in by_domain.items():
            view = self.view(domain)
            self._views[domain] = self._cache.with_records(view, changed)
        self._services = {}
        self._hosts = None


def bucket_index(name: str) -> int:
    """Returns the bucket that a host's record falls into."""
    return hashing.weight("bucket", name) % BUCKETS_PER_DOMAIN


@functools.lru_cache(maxsize=65_536)
def record_digest(record: HostRecord) -> int:
    """Returns the 63-bit digest of a record."""
    text = "\0".join(
        (
            record.domain,
            record.name,
            record.address,
            record.service,
            record.state.value,
            str(record.incarnation),
            record.instance,
        )
    )
    return xxhash.xxh3_64_intdigest(text.encode()) & _DIGEST_MASK


def _drop_oldest_gone(view: DomainView) -> DomainView:
    gone = [r for r in view.records.values() if r.state is HostState.GONE]
    if len(gone) <= MAX_GONE_PER_DOMAIN:
        return view
    oldest = sorted(gone, key=lambda record: (record.incarnation, record.name))
    dropped = {record.name for record in oldest[:-MAX_GONE_PER_DOMAIN]}
    kept = {name: r for name, r in view.records.items() if name not in dropped}
    key = functools.reduce(lambda left, r: left ^ record_digest(r), kept.values(), 0)
    return DomainView(view.domain, kept, view.digest, key)


def _recency(record: HostRecord) -> tuple[int, int]:
    return record.incarnation, _RANK[record.state]
