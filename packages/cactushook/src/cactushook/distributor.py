"""Decides how versions and host news travel; it sends nothing itself."""

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
TOLD_AFTER_PULL = 2
LIST_RETRY_MS = 3_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Periods:
    """Times between a node's own actions.

    Attributes:
        gossip_period_ms: mean time between exchanges with a random peer.
        host_list_period_ms: mean time between a reader's readings of its domain's list.
        boot_wait_ms: longest wait for peers before the node is ready.
    """

    gossip_period_ms: float = 1_000
    host_list_period_ms: float = 5_000
    boot_wait_ms: float = 2_000


class Distributor:
    """One node's part in bringing every version and host record everywhere.

    Each method takes the time and returns the actions that follow. The caller
    carries them out, in order, and reports what came of them.

    Args:
        membership: the host records that the node knows.
        store: the configuration in force.
        peers: addresses to ask at the start.
        rng: source of randomness.
        now_ms: the time at the start.
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
        self._conflicting: Head | None = None
        self._ticked_ms = now_ms
        self._reads = False

    @property
    def next_due_ms(self) -> float:
        """The time by which ``tick`` is to be called again."""
        due_ms = min(
            self._gossip.next_due_ms, self._sync.next_due_ms, self._silent_from_ms
        )
        return self._ticked_ms + READ_TICK_MS if self._reads else due_ms

    def start(self, now_ms: float) -> list[Action]:
        """Returns the first actions: ask the peers named in the settings."""
        self._ticked_ms = now_ms
        return self._ask(self._peers, now_ms) if self._peers else []

    def tick(self, now_ms: float) -> list[Action]:
        """Returns the actions that have become due with time."""
        self._ticked_ms = now_ms
        actions = [*self._gossip.tick(now_ms), *self._sync.tick(now_ms)]
        if not actions and self._membership.live_count < 2 and self._is_silent(now_ms):
            actions = self._ask_settings_peers(now_ms)
        if not self._announced and self._membership.live_count > 1:
            actions += self._meet_peers(now_ms)
        return [*actions, *self._read(now_ms)]

    def readiness(self, now_ms: float) -> VersionReadiness:
        """Returns whether the node may take work, as far as versions go."""
        return self._boot.readiness(now_ms)

    def is_suspected(self, address: str, now_ms: float) -> bool:
        """Tells whether a node did not answer lately and is better avoided."""
        return self._suspicions.is_suspected(address, now_ms)

    def hello(self) -> Hello:
        """Returns the first message for a new connection."""
        return Hello(self._membership.own, self._store.head, 0)

    def on_message(
        self, sender: str, message: ControlMessage, now_ms: float
    ) -> list[Action]:
        """Takes in a message.

        Args:
            sender: node address of the sender.
            message: what it sent.
            now_ms: the time.
        """
        match message:
            case Hello(host, head):
                self._sync.merge_records((host,), now_ms)
                return self._on_head_heard(sender, head, now_ms)
            case VersionAnnouncement():
                return self._on_version_news(sender, message, now_ms)
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
        """Takes in the head that the platform answered."""
        conflicts = self._check_conflict(head)
        rank = self._reader_rank(now_ms) or 0
        self._source_poller.on_head(head, now_ms, rank)
        return [*conflicts, *self._read(now_ms)]

    def on_values(
        self, head: Head, values: t.Mapping[str, bytes], now_ms: float
    ) -> list[Action]:
        """Takes in values that the platform answered."""
        self._source_poller.on_values(head, values, now_ms)
        return self._read(now_ms)

    def on_hosts(
        self, domain: str, hosts: t.Sequence[HostRecord], now_ms: float
    ) -> list[Action]:
        """Takes in a failure domain's host list that the platform answered."""
        changed = self._source_poller.on_hosts(domain, hosts, now_ms)
        newer = self._sync.merge_records(changed, now_ms)
        removed = tuple(record for record in newer if record.incarnation)
        actions = self._sync.broadcast(removed, now_ms) if removed else []
        return [*actions, *self._meet_peers(now_ms)]

    def on_domains(self, domains: t.Sequence[str], now_ms: float) -> list[Action]:
        """Takes in the failure domains' names that the platform answered."""
        self._source_poller.on_domains(domains, now_ms)
        return []

    def on_source_failed(self, call: SourceCall, now_ms: float) -> list[Action]:
        """Notes that a call to the platform failed."""
        self._source_poller.on_call_failed(call, now_ms)
        return []

    def on_unreachable(self, address: str, now_ms: float) -> list[Action]:
        """Notes that a node's address does not accept a connection."""
        self._suspicions.record_misses(address, now_ms)
        self._gossip.on_unreachable(address, now_ms)
        return []

    def on_pause(self, now_ms: float) -> list[Action]:
        """Refreshes the view after the process did not run for a while."""
        self._boot.restart(now_ms)
        self._silent_from_ms = now_ms + BOOT_SILENCE_MS
        return self._ask_some(now_ms)

    def announce_own_record(self, now_ms: float) -> list[Action]:
        """Tells the other hosts of a change in the node's own record."""
        return self._sync.broadcast((self._membership.own,), now_ms)

    # Private: what the node hears.

    def _on_version_news(
        self, sender: str, news: VersionAnnouncement, now_ms: float
    ) -> list[Action]:
        floor_version = max(news.head.version, news.floor_version)
        self._boot.on_peer_version(sender, floor_version, news.answer)
        actions = self._on_head_heard(sender, news.head, now_ms)
        if not news.answer:
            actions.append(self._gossip.announce_to(sender))
        if news.hosts_digest != self._membership.digest:
            actions += self._mend_hosts(sender, news.hosts_digest, now_ms)
        return actions

    def _mend_hosts(
        self, sender: str, hosts_digest: int, now_ms: float
    ) -> list[Action]:
        """Pulls a whole host list once, and afterwards only what differs."""
        if self._list_pulled:
            return self._sync.on_list_digest(sender, hosts_digest, now_ms)
        if now_ms < self._list_due_ms:
            return []
        self._list_due_ms = now_ms + LIST_RETRY_MS
        return [Send(sender, Pull("", hosts=True))]

    def _on_head_heard(self, sender: str, head: Head, now_ms: float) -> list[Action]:
        self._silent_from_ms = now_ms + SILENCE_MS
        self._gossip.on_peer_head(sender, head)
        at_once = self._reader_rank(now_ms) is not None
        self._gossip.schedule_pull(sender, head, now_ms, at_once)
        return self._check_conflict(head)

    def _on_pull(self, sender: str, pull: Pull, now_ms: float) -> list[Action]:
        peer = self._gossip.choose_peer(now_ms)
        elsewhere = peer.address if peer and peer.address != sender else ""
        answers = self._transfers.answer_pull(pull, now_ms, elsewhere)
        return [Send(sender, answer) for answer in answers]

    def _on_host_message(
        self, sender: str, message: ControlMessage, now_ms: float
    ) -> list[Action]:
        match message:
            case HostUpdate():
                self._list_pulled = self._list_pulled or self._is_from_list(message)
                actions = self._sync.on_host_update(sender, message, now_ms)
                return [*actions, *self._meet_peers(now_ms)]
            case HostDigests():
                return self._sync.on_host_digests(sender, message)
            case BucketDigests():
                return self._sync.on_bucket_digests(sender, message)
        return []

    def _is_from_list(self, news: HostUpdate) -> bool:
        own = self._membership.own.domain
        return not news.spread and any(host.domain != own for host in news.hosts)

    def _on_change(self, sender: str, change: Change, now_ms: float) -> list[Action]:
        head = change.head
        self._silent_from_ms = now_ms + SILENCE_MS
        self._gossip.on_peer_head(sender, head)
        if not self._store.should_apply(head):
            return self._check_conflict(head)
        values = self._values_of(change)
        if values is None:
            self._gossip.schedule_pull(sender, head, now_ms, at_once=True)
            return []
        actions = self._apply(head, values, sender, now_ms)
        if actions and not change.base_root:
            actions += self._tell_some(now_ms)
        return actions

    def _tell_some(self, now_ms: float) -> list[Action]:
        """Tells peers of a version that had to be pulled: they may lack it too."""
        chosen = (self._gossip.choose_peer(now_ms) for _ in range(TOLD_AFTER_PULL))
        addresses = {host.address for host in chosen if host is not None}
        return [self._gossip.announce_to(address) for address in sorted(addresses)]

    def _values_of(self, change: Change) -> t.Mapping[str, bytes] | None:
        """Returns a change's values, or None if it does not fit what is in force."""
        if not change.base_root:
            return {digest(raw): raw for raw in change.values}
        if change.base_root != self._store.head.root:
            return None
        return rebuild(self._store.publication, change.head, change.values)

    def _check_conflict(self, head: Head) -> list[Action]:
        """Refuses an equal version with another root, once for each root in a row."""
        error = self._store.find_conflict(head)
        if error is None or head == self._conflicting:
            return []
        self._conflicting = head
        return [RefuseVersion(head, error)]

    # Private: what the node puts in force and passes on.

    def _read(self, now_ms: float) -> list[Action]:
        """Returns the calls to the platform that this node is to make now."""
        actions = self._take_whole(now_ms)
        is_reader = self._reader_rank(now_ms) is not None
        self._reads = is_reader or self._is_silent(now_ms)
        if not self._reads:
            return actions
        in_full = is_reader and self._may_elect
        return [*actions, *self._source_poller.tick(now_ms, in_full)]

    def _take_whole(self, now_ms: float) -> list[Action]:
        match self._source_poller.take_complete_version(now_ms):
            case None:
                return []
            case RefuseVersion() as refuse:
                return [refuse]
            case whole:
                return self._apply(whole.head, whole.values, "", now_ms)

    def _apply(
        self, head: Head, values: t.Mapping[str, bytes], sender: str, now_ms: float
    ) -> list[Action]:
        before = self._store.publication
        try:
            snapshot = self._store.apply_version(head, values)
        except VersionError as error:
            return self._not_applied(head, error, sender, now_ms)
        except CactushookError as error:
            return [RefuseVersion(head, error)]
        self._gossip.cancel_pull()
        self._conflicting = None
        change = self._transfers.on_version_applied(before, self._store.publication)
        return [ApplySnapshot(snapshot), *self._pass_on(change, sender, now_ms)]

    def _not_applied(
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
        avoided = self._avoid_at(now_ms)
        below = relays.children(view, own.name, change.head.version, avoided)
        names = relays.acting_readers(view, avoided)
        fellows = [view.records[name] for name in names if name != own.name]
        actions: list[Action] = [Send(host.address, change) for host in below]
        if not sender:
            actions += [Send(host.address, change) for host in fellows]
        elif not self._is_in_domain(sender):
            actions += [self._gossip.announce_to(host.address) for host in fellows]
        return actions

    def _is_in_domain(self, address: str) -> bool:
        live = self._membership.view(self._membership.own.domain).live
        return any(host.address == address for host in live)

    # Private: whom the node talks to.

    def _meet_peers(self, now_ms: float) -> list[Action]:
        """Asks peers once some are known, and announces the node's start."""
        if self._announced or self._membership.live_count < 2:
            self._boot.record_asked((), now_ms)
            return []
        self._announced = True
        return [*self._ask_some(now_ms), *self.announce_own_record(now_ms)]

    def _ask_some(self, now_ms: float) -> list[Action]:
        chosen = (self._gossip.choose_peer(now_ms) for _ in range(PEERS_AT_BOOT))
        addresses = {host.address for host in chosen if host is not None}
        return self._ask(sorted(addresses), now_ms)

    def _ask(self, addresses: t.Sequence[str], now_ms: float) -> list[Action]:
        self._boot.record_asked(addresses, now_ms)
        return [self._gossip.start_exchange(address, now_ms) for address in addresses]

    def _ask_settings_peers(self, now_ms: float) -> list[Action]:
        if now_ms < self._list_due_ms:
            return []
        self._list_due_ms = now_ms + LIST_RETRY_MS
        return self._ask(self._peers, now_ms)

    def _is_silent(self, now_ms: float) -> bool:
        return now_ms >= self._silent_from_ms

    def _reader_rank(self, now_ms: float) -> int | None:
        """Returns the node's place among its domain's acting readers, or None."""
        own = self._membership.own
        view = self._membership.view(own.domain)
        names = relays.acting_readers(view, self._avoid_at(now_ms))
        return names.index(own.name) if own.name in names else None

    @property
    def _may_elect(self) -> bool:
        view = self._membership.view(self._membership.own.domain)
        return self._hint.can_elect_readers(len(view.live))

    def _avoid_at(self, now_ms: float) -> relays.AvoidPredicate:
        return lambda host: self._suspicions.is_suspected(host.address, now_ms)
