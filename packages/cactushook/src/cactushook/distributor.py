"""Decides how versions and host records are distributed; it performs no I/O."""

import dataclasses
import random
import typing as t

from . import relays
from .boot import Boot
from .boot import VersionReadiness
from .digests import digest
from .exceptions import CactushookError
from .exceptions import ErrorKind
from .exceptions import VersionError
from .gossip import Gossip
from .hostsync import HostSync
from .membership import Membership
from .messages import Action
from .messages import ApplySnapshot
from .messages import BucketDigests
from .messages import Busy
from .messages import Change
from .messages import ControlMessage
from .messages import Hello
from .messages import HostDigests
from .messages import HostUpdate
from .messages import Pull
from .messages import RefuseVersion
from .messages import Send
from .messages import SourceCall
from .messages import VersionAnnouncement
from .nodes import HostRecord
from .patches import rebuild
from .publication import Head
from .readers import FleetHint
from .source_poller import READ_TICK_MS
from .source_poller import SourcePoller
from .suspicion import Suspicions
from .transfers import Transfers
from .versions import VersionStore

SILENCE_MS = 15_000.0
BOOT_SILENCE_MS = 1_500.0
PEERS_AT_BOOT = 3
ANNOUNCEMENTS_AFTER_PULL = 2
LIST_RETRY_MS = 3_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Periods:
    """Times between a node's own actions.

    Attributes:
        gossip_period_ms: mean time between exchanges with a random peer.
        host_list_period_ms: mean time between a reader's readings of its domain's list.
        boot_wait_ms: longest wait for answers from peers before the node is ready.
    """

    gossip_period_ms: float = 1_000
    host_list_period_ms: float = 5_000
    boot_wait_ms: float = 2_000


class Distributor:
    """Decides one node's part in distributing versions and host records.

    Each method takes the time and returns the actions that follow. The caller
    executes them in order and reports their results.

    Args:
        membership: the host records that the node knows.
        store: the configuration in force.
        peers: addresses to contact at the start.
        rng: source of randomness.
        now_ms: the start time.
        periods: times between the node's own actions.
        hint: fleet size to assume until more hosts are known.
    """

    def __init__(
        self,
        membership: Membership,
        store: VersionStore,
        peers: t.Sequence[str],
        rng: random.Random,
        now_ms: float,
        periods: Periods = Periods(),  # noqa: B008
        hint: FleetHint = FleetHint(),  # noqa: B008
    ) -> None:
        self._membership = membership
        self._store = store
        self._peers = tuple(peer for peer in peers if peer != membership.own.address)
        self._hint = hint
        self._suspicions = Suspicions()
        self._gossip = Gossip(
            membership, store, self._suspicions, rng, now_ms, periods.gossip_period_ms
        )
        self._sync = HostSync(membership, self._suspicions, rng, now_ms)
        self._transfers = Transfers(membership, store, now_ms)
        self._source_poller = SourcePoller(
            membership, store, rng, now_ms, hint, periods.host_list_period_ms
        )
        self._boot = Boot(store, now_ms, periods.boot_wait_ms)
        self._silent_from_ms = now_ms + BOOT_SILENCE_MS
        self._list_due_ms = now_ms
        self._list_pulled = False
        self._announced = False
        self._refused_conflict: Head | None = None
        self._ticked_ms = now_ms
        self._is_reading = False

    @property
    def next_due_ms(self) -> float:
        """Time by which ``tick`` must be called again."""
        due_ms = min(
            self._gossip.next_due_ms, self._sync.next_due_ms, self._silent_from_ms
        )
        return self._ticked_ms + READ_TICK_MS if self._is_reading else due_ms

    def start(self, now_ms: float) -> list[Action]:
        """Returns the first actions: exchanges with the peers in the settings."""
        self._ticked_ms = now_ms
        return self._start_exchanges(self._peers, now_ms) if self._peers else []

    def tick(self, now_ms: float) -> list[Action]:
        """Returns the actions that are due."""
        self._ticked_ms = now_ms
        actions = [*self._gossip.tick(now_ms), *self._sync.tick(now_ms)]
        if not actions and self._membership.live_count < 2 and self._is_silent(now_ms):
            actions = self._exchange_with_settings_peers(now_ms)
        if not self._announced and self._membership.live_count > 1:
            actions += self._contact_peers(now_ms)
        return [*actions, *self._poll_source(now_ms)]

    def readiness(self, now_ms: float) -> VersionReadiness:
        """Returns whether the node's version allows it to accept work."""
        return self._boot.readiness(now_ms)

    def is_suspected(self, address: str, now_ms: float) -> bool:
        """Returns whether a node failed to answer recently and should be avoided."""
        return self._suspicions.is_suspected(address, now_ms)

    def hello(self) -> Hello:
        """Returns the first message for a new connection."""
        return Hello(self._membership.own, self._store.head, 0)

    def on_message(
        self, sender: str, message: ControlMessage, now_ms: float
    ) -> list[Action]:
        """Handles a control message.

        Args:
            sender: node address of the sender.
            message: the message.
            now_ms: the time.
        """
        match message:
            case Hello(host, head):
                self._sync.merge_records((host,), now_ms)
                return self._on_peer_head(sender, head, now_ms)
            case VersionAnnouncement():
                return self._on_version_announcement(sender, message, now_ms)
            case Pull():
                return self._on_pull(sender, message, now_ms)
            case Change():
                return self._on_change(sender, message, now_ms)
            case Busy():
                self._gossip.on_busy(sender, message, now_ms)
            case _:
                return self._on_host_message(sender, message, now_ms)
        return []

    def on_head(self, head: Head, now_ms: float) -> list[Action]:
        """Handles the head that the platform returned."""
        conflicts = self._check_conflict(head)
        rank = self._reader_rank(now_ms) or 0
        self._source_poller.on_head(head, now_ms, rank)
        return [*conflicts, *self._poll_source(now_ms)]

    def on_values(
        self, head: Head, values: t.Mapping[str, bytes], now_ms: float
    ) -> list[Action]:
        """Handles values that the platform returned."""
        self._source_poller.on_values(head, values, now_ms)
        return self._poll_source(now_ms)

    def on_hosts(
        self, domain: str, hosts: t.Sequence[HostRecord], now_ms: float
    ) -> list[Action]:
        """Handles a failure domain's host list that the platform returned."""
        changed = self._source_poller.on_hosts(domain, hosts, now_ms)
        newer = self._sync.merge_records(changed, now_ms)
        removed = tuple(record for record in newer if record.incarnation)
        actions = self._sync.broadcast(removed, now_ms) if removed else []
        return [*actions, *self._contact_peers(now_ms)]

    def on_domains(self, domains: t.Sequence[str], now_ms: float) -> list[Action]:
        """Handles the names of the failure domains that the platform returned."""
        self._source_poller.on_domains(domains, now_ms)
        return []

    def on_source_failed(self, call: SourceCall, now_ms: float) -> list[Action]:
        """Handles a failed call to the platform."""
        self._source_poller.on_call_failed(call, now_ms)
        return []

    def on_unreachable(self, address: str, now_ms: float) -> list[Action]:
        """Handles a node address that does not accept connections."""
        self._suspicions.record_misses(address, now_ms)
        self._gossip.on_unreachable(address, now_ms)
        return []

    def on_pause(self, now_ms: float) -> list[Action]:
        """Resets readiness and contacts peers after the process was paused."""
        self._boot.restart(now_ms)
        self._silent_from_ms = now_ms + BOOT_SILENCE_MS
        return self._exchange_with_random_peers(now_ms)

    def announce_own_record(self, now_ms: float) -> list[Action]:
        """Broadcasts the node's own record after it changed."""
        return self._sync.broadcast((self._membership.own,), now_ms)

    # Private: handlers of received messages.

    def _on_version_announcement(
        self, sender: str, message: VersionAnnouncement, now_ms: float
    ) -> list[Action]:
        floor_version = max(message.head.version, message.floor_version)
        self._boot.on_peer_version(sender, floor_version, message.answer)
        actions = self._on_peer_head(sender, message.head, now_ms)
        if not message.answer:
            actions.append(self._gossip.announce_to(sender))
        if message.hosts_digest != self._membership.digest:
            actions += self._repair_hosts(sender, message.hosts_digest, now_ms)
        return actions

    def _repair_hosts(
        self, sender: str, hosts_digest: int, now_ms: float
    ) -> list[Action]:
        """Pulls the complete host list once, and only the differences afterwards."""
        if self._list_pulled:
            return self._sync.on_list_digest(sender, hosts_digest, now_ms)
        if now_ms < self._list_due_ms:
            return []
        self._list_due_ms = now_ms + LIST_RETRY_MS
        return [Send(sender, Pull("", hosts=True))]

    def _on_peer_head(self, sender: str, head: Head, now_ms: float) -> list[Action]:
        self._silent_from_ms = now_ms + SILENCE_MS
        self._gossip.on_peer_head(sender, head)
        at_once = self._reader_rank(now_ms) is not None
        self._gossip.schedule_pull(sender, head, now_ms, at_once)
        return self._check_conflict(head)

    def _on_pull(self, sender: str, pull: Pull, now_ms: float) -> list[Action]:
        peer = self._gossip.choose_peer(now_ms)
        try_address = peer.address if peer and peer.address != sender else ""
        answers = self._transfers.answer_pull(pull, now_ms, try_address)
        return [Send(sender, answer) for answer in answers]

    def _on_host_message(
        self, sender: str, message: ControlMessage, now_ms: float
    ) -> list[Action]:
        match message:
            case HostUpdate():
                self._list_pulled = self._list_pulled or self._is_from_list(message)
                actions = self._sync.on_host_update(sender, message, now_ms)
                return [*actions, *self._contact_peers(now_ms)]
            case HostDigests():
                return self._sync.on_host_digests(sender, message)
            case BucketDigests():
                return self._sync.on_bucket_digests(sender, message)
        return []

    def _is_from_list(self, update: HostUpdate) -> bool:
        own = self._membership.own.domain
        return not update.spread and any(host.domain != own for host in update.hosts)

    def _on_change(self, sender: str, change: Change, now_ms: float) -> list[Action]:
        head = change.head
        self._silent_from_ms = now_ms + SILENCE_MS
        self._gossip.on_peer_head(sender, head)
        if not self._store.should_apply(head):
            return self._check_conflict(head)
        values = self._resolve_values(change)
        if values is None:
            self._gossip.schedule_pull(sender, head, now_ms, at_once=True)
            return []
        actions = self._apply(head, values, sender, now_ms)
        if actions and not change.base_root:
            actions += self._announce_to_random_peers(now_ms)
        return actions

    def _announce_to_random_peers(self, now_ms: float) -> list[Action]:
        """Announces a version that had to be pulled, since peers may lack it too."""
        chosen = (
            self._gossip.choose_peer(now_ms) for _ in range(ANNOUNCEMENTS_AFTER_PULL)
        )
        addresses = {host.address for host in chosen if host is not None}
        return [self._gossip.announce_to(address) for address in sorted(addresses)]

    def _resolve_values(self, change: Change) -> t.Mapping[str, bytes] | None:
        """Returns a change's values, or None if they do not fit the one in force."""
        if not change.base_root:
            return {digest(raw): raw for raw in change.values}
        if change.base_root != self._store.head.root:
            return None
        return rebuild(self._store.publication, change.head, change.values)

    def _check_conflict(self, head: Head) -> list[Action]:
        """Refuses the version in force with another root.

        The same head is refused once, until another one conflicts or a version is
        applied.
        """
        error = self._store.find_conflict(head)
        if error is None or head == self._refused_conflict:
            return []
        self._refused_conflict = head
        return [RefuseVersion(head, error)]

    # Private: applying versions and passing them on.

    def _poll_source(self, now_ms: float) -> list[Action]:
        """Applies a version that was read completely and returns the calls due now."""
        actions = self._apply_complete_version(now_ms)
        is_reader = self._reader_rank(now_ms) is not None
        self._is_reading = is_reader or self._is_silent(now_ms)
        if not self._is_reading:
            return actions
        in_full = is_reader and self._can_elect_readers
        return [*actions, *self._source_poller.tick(now_ms, in_full)]

    def _apply_complete_version(self, now_ms: float) -> list[Action]:
        match self._source_poller.take_complete_version(now_ms):
            case None:
                return []
            case RefuseVersion() as refuse:
                return [refuse]
            case complete:
                return self._apply(complete.head, complete.values, "", now_ms)

    def _apply(
        self, head: Head, values: t.Mapping[str, bytes], sender: str, now_ms: float
    ) -> list[Action]:
        before = self._store.publication
        try:
            snapshot = self._store.apply_version(head, values)
        except VersionError as error:
            return self._handle_version_error(head, error, sender, now_ms)
        except CactushookError as error:
            return [RefuseVersion(head, error)]
        self._gossip.cancel_pull()
        self._refused_conflict = None
        change = self._transfers.on_version_applied(before, self._store.publication)
        return [ApplySnapshot(snapshot), *self._pass_on(change, sender, now_ms)]

    def _handle_version_error(
        self, head: Head, error: VersionError, sender: str, now_ms: float
    ) -> list[Action]:
        if error.kind is ErrorKind.VERSION_REPLAYED:
            return []
        if error.kind is ErrorKind.SNAPSHOT_INCOMPLETE and sender:
            self._gossip.schedule_pull(sender, head, now_ms, at_once=True)
            return []
        return [RefuseVersion(head, error)]

    def _pass_on(self, change: Change, sender: str, now_ms: float) -> list[Action]:
        own = self._membership.own
        view = self._membership.view(own.domain)
        should_avoid = self._avoid_predicate(now_ms)
        child_hosts = relays.children(view, own.name, change.head.version, should_avoid)
        names = relays.acting_readers(view, should_avoid)
        other_readers = [view.records[name] for name in names if name != own.name]
        actions: list[Action] = [Send(host.address, change) for host in child_hosts]
        if not sender:
            actions += [Send(host.address, change) for host in other_readers]
        elif not self._is_in_domain(sender):
            actions += [
                self._gossip.announce_to(host.address) for host in other_readers
            ]
        return actions

    def _is_in_domain(self, address: str) -> bool:
        live = self._membership.view(self._membership.own.domain).live
        return any(host.address == address for host in live)

    # Private: choice of peers.

    def _contact_peers(self, now_ms: float) -> list[Action]:
        """Contacts peers once some are known, and announces the node's start."""
        if self._announced or self._membership.live_count < 2:
            self._boot.record_asked((), now_ms)
            return []
        self._announced = True
        return [
            *self._exchange_with_random_peers(now_ms),
            *self.announce_own_record(now_ms),
        ]

    def _exchange_with_random_peers(self, now_ms: float) -> list[Action]:
        chosen = (self._gossip.choose_peer(now_ms) for _ in range(PEERS_AT_BOOT))
        addresses = {host.address for host in chosen if host is not None}
        return self._start_exchanges(sorted(addresses), now_ms)

    def _start_exchanges(
        self, addresses: t.Sequence[str], now_ms: float
    ) -> list[Action]:
        self._boot.record_asked(addresses, now_ms)
        return [self._gossip.start_exchange(address, now_ms) for address in addresses]

    def _exchange_with_settings_peers(self, now_ms: float) -> list[Action]:
        if now_ms < self._list_due_ms:
            return []
        self._list_due_ms = now_ms + LIST_RETRY_MS
        return self._start_exchanges(self._peers, now_ms)

    def _is_silent(self, now_ms: float) -> bool:
        return now_ms >= self._silent_from_ms

    def _reader_rank(self, now_ms: float) -> int | None:
        """Returns the node's rank among its domain's acting readers, or None."""
        own = self._membership.own
        view = self._membership.view(own.domain)
        names = relays.acting_readers(view, self._avoid_predicate(now_ms))
        return names.index(own.name) if own.name in names else None

    @property
    def _can_elect_readers(self) -> bool:
        view = self._membership.view(self._membership.own.domain)
        return self._hint.can_elect_readers(len(view.live))

    def _avoid_predicate(self, now_ms: float) -> relays.AvoidPredicate:
        return lambda host: self._suspicions.is_suspected(host.address, now_ms)
