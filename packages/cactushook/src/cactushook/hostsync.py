"""Spreads host news along trees and repairs host lists by digests."""

import random
import typing as t

from .membership import BUCKETS_PER_DOMAIN
from .membership import Membership
from .membership import record_digest
from .messages import Action
from .messages import BucketDigests
from .messages import DomainDigest
from .messages import HostDigests
from .messages import HostUpdate
from .messages import Send
from .nodes import HostRecord
from .relays import acting_readers
from .relays import children
from .suspicion import Suspicions

EXITS_PER_DOMAIN = 2
ENTRANCES_PER_DOMAIN = 2
BATCH_MS = 150.0
QUIET_MS = 3_000.0
REPAIR_PERIOD_MS = 1_000.0
UNQUIET_WAIT_MS = 1_000.0
DOMAINS_PER_REPAIR = 24
TREE_KEYS = 1 << 31


class HostSync:
    """One node's part in bringing host records everywhere.

    Args:
        membership: the host records that the node knows.
        suspicions: peers to avoid.
        rng: source of randomness.
        now_ms: the time at the start.
    """

    def __init__(
        self,
        membership: Membership,
        suspicions: Suspicions,
        rng: random.Random,
        now_ms: float,
    ) -> None:
        self._membership = membership
        self._suspicions = suspicions
        self._rng = rng
        self._changed_ms = now_ms
        self._repair_due_ms = now_ms
        self._collected: dict[tuple[str, str], HostRecord] = {}
        self._flush_due_ms = float("inf")

    def merge_records(
        self, records: t.Iterable[HostRecord], now_ms: float
    ) -> tuple[HostRecord, ...]:
        """Merges records and returns those that were news."""
        newer = self._membership.merge_all(records)
        if newer:
            self._changed_ms = now_ms
        for record in newer:
            self._suspicions.clear(record.address)
        return newer

    def on_host_update(
        self, sender: str, news: HostUpdate, now_ms: float
    ) -> list[Action]:
        """Takes in host news and passes on what is to spread."""
        newer = self.merge_records(news.hosts, now_ms)
        own = self._membership.own
        actions: list[Action] = []
        if own in newer:
            actions += self.broadcast((own,), now_ms)
        if not news.spread or not newer:
            return actions
        if own.name in self._readers(own.domain, now_ms):
            self._collect(newer, now_ms)
            return actions
        below = (host.address for host in self._children(news, now_ms))
        return [*actions, *(Send(to, news) for to in below if to != sender)]

    def broadcast(self, records: tuple[HostRecord, ...], now_ms: float) -> list[Action]:
        """Starts to bring records everywhere: the domain's readers pass them on."""
        own = self._membership.own
        readers = self._readers(own.domain, now_ms)
        if own.name in readers:
            self._collect(records, now_ms)
        news = HostUpdate(records, spread=True)
        view = self._membership.view(own.domain)
        return [Send(view.records[n].address, news) for n in readers if n != own.name]

    @property
    def next_due_ms(self) -> float:
        """The time of the next tick that does something."""
        return self._flush_due_ms

    def tick(self, now_ms: float) -> list[Action]:
        """Returns the batch of collected news that is due."""
        if now_ms < self._flush_due_ms:
            return []
        self._flush_due_ms = float("inf")
        records = tuple(self._collected.values())
        self._collected = {}
        news = HostUpdate(records, spread=True)
        receivers = {host.address: news for host in self._children(news, now_ms)}
        receivers |= dict.fromkeys(self._fellow_addresses(now_ms), news)
        own = self._membership.own
        from_here = tuple(r for r in records if r.domain == own.domain)
        if from_here:
            abroad = HostUpdate(from_here, spread=True)
            receivers |= dict.fromkeys(self._entrances(now_ms), abroad)
        return [Send(address, item) for address, item in receivers.items()]

    def on_list_digest(self, sender: str, digest: int, now_ms: float) -> list[Action]:
        """Starts a repair if a peer's host list has differed for a while.

        News on its way makes lists differ for a moment; that needs no repair.
        """
        if digest == self._membership.digest or now_ms < self._repair_due_ms:
            return []
        waited_ms = now_ms - self._repair_due_ms
        if now_ms - self._changed_ms < QUIET_MS and waited_ms < UNQUIET_WAIT_MS:
            return []
        self._repair_due_ms = now_ms + REPAIR_PERIOD_MS
        digests = tuple(
            DomainDigest(name, self._membership.view(name).digest)
            for name in self._membership.domains
        )
        return [Send(sender, HostDigests(digests))]

    def on_host_digests(self, sender: str, message: HostDigests) -> list[Action]:
        """Answers with the buckets of a few failure domains that differ."""
        theirs = {item.domain: item.digest for item in message.domains}
        names = sorted(theirs.keys() | set(self._membership.domains))
        differing = [
            name
            for name in names
            if theirs.get(name, 0) != self._membership.view(name).digest
        ]
        count = min(DOMAINS_PER_REPAIR, len(differing))
        chosen = self._rng.sample(differing, count)
        return [Send(sender, self._buckets(name, answer=False)) for name in chosen]

    def on_bucket_digests(self, sender: str, message: BucketDigests) -> list[Action]:
        """Sends the records of the buckets that differ, and asks for the peer's."""
        if len(message.digests) != BUCKETS_PER_DOMAIN:
            return []
        view = self._membership.view(message.domain)
        pairs = zip(message.digests, view.bucket_digests, strict=True)
        differing = {i for i, (theirs, ours) in enumerate(pairs) if theirs != ours}
        if not differing:
            return []
        actions: list[Action] = []
        records = view.records_in_buckets(differing)
        if records:
            actions.append(Send(sender, HostUpdate(records)))
        if not message.answer:
            actions.append(Send(sender, self._buckets(message.domain, answer=True)))
        return actions

    def _collect(self, records: t.Iterable[HostRecord], now_ms: float) -> None:
        """Keeps news for the next batch; many hosts may restart at once."""
        for record in records:
            self._collected[record.domain, record.name] = record
        if self._collected:
            self._flush_due_ms = min(self._flush_due_ms, now_ms + BATCH_MS)

    def _fellow_addresses(self, now_ms: float) -> list[str]:
        own = self._membership.own
        view = self._membership.view(own.domain)
        names = self._readers(own.domain, now_ms)
        return [view.records[name].address for name in names if name != own.name]

    def _entrances(self, now_ms: float) -> list[str]:
        """Returns the addresses that news of the own domain leaves it by."""
        own = self._membership.own
        if own.name not in self._readers(own.domain, now_ms)[:EXITS_PER_DOMAIN]:
            return []
        addresses: list[str] = []
        for domain in self._membership.domains:
            if domain != own.domain:
                view = self._membership.view(domain)
                names = self._readers(domain, now_ms)[:ENTRANCES_PER_DOMAIN]
                addresses += (view.records[name].address for name in names)
        return addresses

    def _readers(self, domain: str, now_ms: float) -> tuple[str, ...]:
        view = self._membership.view(domain)
        return acting_readers(view, lambda host: self._avoided(host, now_ms))

    def _children(self, news: HostUpdate, now_ms: float) -> tuple[HostRecord, ...]:
        own = self._membership.own
        view = self._membership.view(own.domain)
        key = record_digest(news.hosts[0]) % TREE_KEYS
        return children(view, own.name, key, lambda host: self._avoided(host, now_ms))

    def _buckets(self, domain: str, answer: bool) -> BucketDigests:
        digests = self._membership.view(domain).bucket_digests
        return BucketDigests(domain, digests, answer)

    def _avoided(self, host: HostRecord, now_ms: float) -> bool:
        return self._suspicions.is_suspected(host.address, now_ms)
