"""Broadcasts host records along trees and repairs host lists by digests."""

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

SENDERS_PER_DOMAIN = 2
RECEIVERS_PER_DOMAIN = 2
BATCH_MS = 150.0
QUIET_PERIOD_MS = 3_000.0
REPAIR_PERIOD_MS = 1_000.0
MAX_QUIET_WAIT_MS = 1_000.0
DOMAINS_PER_REPAIR = 24
TREE_KEYS = 1 << 31


class HostSync:
    """Decides one node's part in distributing host records.

    Args:
        membership: the host records that the node knows.
        suspicions: peers to avoid.
        rng: source of randomness.
        now_ms: the start time.
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
        """Merges records and returns the newer ones."""
        newer = self._membership.merge_all(records)
        if newer:
            self._changed_ms = now_ms
        for record in newer:
            self._suspicions.clear(record.address)
        return newer

    def on_host_update(
        self, sender: str, update: HostUpdate, now_ms: float
    ) -> list[Action]:
        """Handles host records and passes on those that are to be broadcast."""
        newer = self.merge_records(update.hosts, now_ms)
        own = self._membership.own
        actions: list[Action] = []
        if own in newer:
            actions += self.broadcast((own,), now_ms)
        if not update.spread or not newer:
            return actions
        if own.name in self._readers(own.domain, now_ms):
            self._collect(newer, now_ms)
            return actions
        child_addresses = (host.address for host in self._children(update, now_ms))
        return [*actions, *(Send(to, update) for to in child_addresses if to != sender)]

    def broadcast(self, records: tuple[HostRecord, ...], now_ms: float) -> list[Action]:
        """Starts a broadcast of records, which the domain's readers pass on."""
        own = self._membership.own
        readers = self._readers(own.domain, now_ms)
        if own.name in readers:
            self._collect(records, now_ms)
        update = HostUpdate(records, spread=True)
        view = self._membership.view(own.domain)
        return [Send(view.records[n].address, update) for n in readers if n != own.name]

    @property
    def next_due_ms(self) -> float:
        """Time of the next tick that has an effect."""
        return self._flush_due_ms

    def tick(self, now_ms: float) -> list[Action]:
        """Returns the messages of the batch that is due."""
        if now_ms < self._flush_due_ms:
            return []
        self._flush_due_ms = float("inf")
        records = tuple(self._collected.values())
        self._collected = {}
        update = HostUpdate(records, spread=True)
        receivers = {host.address: update for host in self._children(update, now_ms)}
        receivers |= dict.fromkeys(self._other_reader_addresses(now_ms), update)
        own = self._membership.own
        domain_records = tuple(r for r in records if r.domain == own.domain)
        if domain_records:
            domain_update = HostUpdate(domain_records, spread=True)
            receivers |= dict.fromkeys(
                self._remote_reader_addresses(now_ms), domain_update
            )
        return [Send(address, item) for address, item in receivers.items()]

    def on_list_digest(self, sender: str, digest: int, now_ms: float) -> list[Action]:
        """Starts a repair if a peer's host list has differed for a while.

        Updates in transit make lists differ briefly; this needs no repair.
        """
        if digest == self._membership.digest or now_ms < self._repair_due_ms:
            return []
        waited_ms = now_ms - self._repair_due_ms
        if (
            now_ms - self._changed_ms < QUIET_PERIOD_MS
            and waited_ms < MAX_QUIET_WAIT_MS
        ):
            return []
        self._repair_due_ms = now_ms + REPAIR_PERIOD_MS
        digests = tuple(
            DomainDigest(name, self._membership.view(name).digest)
            for name in self._membership.domains
        )
        return [Send(sender, HostDigests(digests))]

    def on_host_digests(self, sender: str, message: HostDigests) -> list[Action]:
        """Returns bucket digests of some of the failure domains that differ."""
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
        """Returns the records of the buckets that differ, and requests the peer's."""
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
        """Adds records to the next batch, since many hosts may restart at once."""
        for record in records:
            self._collected[record.domain, record.name] = record
        if self._collected:
            self._flush_due_ms = min(self._flush_due_ms, now_ms + BATCH_MS)

    def _other_reader_addresses(self, now_ms: float) -> list[str]:
        own = self._membership.own
        view = self._membership.view(own.domain)
        names = self._readers(own.domain, now_ms)
        return [view.records[name].address for name in names if name != own.name]

    def _remote_reader_addresses(self, now_ms: float) -> list[str]:
        """Returns the addresses of other domains' readers that this node sends to."""
        own = self._membership.own
        if own.name not in self._readers(own.domain, now_ms)[:SENDERS_PER_DOMAIN]:
            return []
        addresses: list[str] = []
        for domain in self._membership.domains:
            if domain != own.domain:
                view = self._membership.view(domain)
                names = self._readers(domain, now_ms)[:RECEIVERS_PER_DOMAIN]
                addresses += (view.records[name].address for name in names)
        return addresses

    def _readers(self, domain: str, now_ms: float) -> tuple[str, ...]:
        view = self._membership.view(domain)
        return acting_readers(view, lambda host: self._is_avoided(host, now_ms))

    def _children(self, update: HostUpdate, now_ms: float) -> tuple[HostRecord, ...]:
        own = self._membership.own
        view = self._membership.view(own.domain)
        key = record_digest(update.hosts[0]) % TREE_KEYS
        return children(
            view, own.name, key, lambda host: self._is_avoided(host, now_ms)
        )

    def _buckets(self, domain: str, answer: bool) -> BucketDigests:
        digests = self._membership.view(domain).bucket_digests
        return BucketDigests(domain, digests, answer)

    def _is_avoided(self, host: HostRecord, now_ms: float) -> bool:
        return self._suspicions.is_suspected(host.address, now_ms)
