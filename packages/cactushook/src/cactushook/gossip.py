"""Exchanges versions with random peers and pulls missing ones."""

import collections
import random

from .membership import Membership
from .messages import Action
from .messages import Busy
from .messages import Pull
from .messages import Send
from .messages import VersionAnnouncement
from .nodes import HostRecord
from .publication import Head
from .suspicion import Suspicions
from .versions import VersionStore

OWN_DOMAIN_SHARE = 0.85
WATCHING_CANDIDATES = 6
READER_WATCH_PERIOD_MS = 300.0
WATCH_DUTY_CHECK_MS = 5_000.0
PEER_TRIES = 6
ANSWER_TIMEOUT_MS = 1_000.0
RETRY_MS = 100.0
PULL_DELAY_MS = 400.0
PULL_TIMEOUT_MS = 1_500.0
MAX_BUSY_MS = 5_000.0
MAX_FLOORS = 1_024


class Gossip:
    """Schedules one node's exchanges with random peers.

    A node that learns of a newer version delays its pull briefly, since the version
    usually arrives along the relay tree in the meantime.

    Args:
        membership: the host records that the node knows.
        store: the configuration in force.
        suspicions: peers to avoid.
        rng: source of randomness.
        now_ms: the start time.
        period_ms: mean time between exchanges.
    """

    def __init__(
        self,
        membership: Membership,
        store: VersionStore,
        suspicions: Suspicions,
        rng: random.Random,
        now_ms: float,
        period_ms: float,
    ) -> None:
        self._membership = membership
        self._store = store
        self._suspicions = suspicions
        self._rng = rng
        self._period_ms = period_ms
        self._due_ms = now_ms + rng.uniform(0, period_ms)
        self._unanswered: dict[str, float] = {}
        self._floors: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._watch_due_ms = self._due_ms
        self._pull_from = ""
        self._last_pulled_from = ""
        self._pull_due_ms = float("inf")

    @property
    def next_due_ms(self) -> float:
        """Time of the next tick that has an effect."""
        answer_deadline_ms = min(self._unanswered.values(), default=float("inf"))
        return min(
            self._due_ms, self._watch_due_ms, self._pull_due_ms, answer_deadline_ms
        )

    def tick(self, now_ms: float) -> list[Action]:
        """Returns the exchanges and the pull that are due."""
        self._expire_unanswered(now_ms)
        actions = [*self._pull(now_ms), *self._watch_readers(now_ms)]
        if now_ms < self._due_ms:
            return actions
        self._due_ms = now_ms + self._rng.uniform(0.5, 1.5) * self._period_ms
        peer = self.choose_peer(now_ms)
        return (
            actions
            if peer is None
            else [*actions, self.start_exchange(peer.address, now_ms)]
        )

    def start_exchange(self, address: str, now_ms: float) -> Send:
        """Returns an announcement that the peer answers with its own."""
        self._unanswered.setdefault(address, now_ms + ANSWER_TIMEOUT_MS)
        return Send(address, self._announcement(address, answer=False))

    def announce_to(self, address: str) -> Send:
        """Returns an announcement that needs no answer."""
        return Send(address, self._announcement(address, answer=True))

    def on_peer_head(self, sender: str, head: Head) -> None:
        """Records the highest version that a peer announced.

        Announcements to the peer carry it as the peer's floor, since the peer itself
        may have lost it.
        """
        self._unanswered.pop(sender, None)
        self._suspicions.clear(sender)
        known = self._floors.pop(sender, 0)
        self._floors[sender] = max(known, head.version)
        while len(self._floors) > MAX_FLOORS:
            self._floors.popitem(last=False)

    def schedule_pull(
        self, sender: str, head: Head, now_ms: float, at_once: bool = False
    ) -> None:
        """Schedules a pull if a peer has a version that this node should apply."""
        if not self._store.should_apply(head):
            return
        if at_once or not self._store.head.root:
            delay_ms = 0.0
        else:
            delay_ms = self._rng.uniform(0.5, 1.5) * PULL_DELAY_MS
        if now_ms + delay_ms < self._pull_due_ms:
            self._pull_from = sender
            self._pull_due_ms = now_ms + delay_ms

    def on_unreachable(self, address: str, now_ms: float) -> None:
        """Schedules an exchange or a pull with another peer soon."""
        if self._unanswered.pop(address, None) is not None:
            retry_ms = self._rng.uniform(0, RETRY_MS)
            self._due_ms = min(self._due_ms, now_ms + retry_ms)
        if self._last_pulled_from == address and self._pull_due_ms < float("inf"):
            self._pull_due_ms = min(self._pull_due_ms, now_ms)

    def on_busy(self, sender: str, busy: Busy, now_ms: float) -> None:
        """Reschedules the pull, with the node that the busy peer names, if any."""
        self._pull_from = busy.try_address or sender
        delay_ms = self._rng.uniform(0, min(busy.retry_after_ms, MAX_BUSY_MS))
        self._pull_due_ms = now_ms + delay_ms

    def cancel_pull(self) -> None:
        """Cancels the scheduled pull after a version was applied."""
        self._pull_due_ms = float("inf")

    def choose_peer(self, now_ms: float) -> HostRecord | None:
        """Returns a random live host, or None if none is found.

        Up to ``PEER_TRIES`` choices are discarded because the host is suspected or is
        this one.
        """
        own = self._membership.own
        chosen = self._choose_any()
        for _ in range(PEER_TRIES):
            usable = chosen is not None and chosen.name != own.name
            if usable and not self._is_avoided(chosen, now_ms):
                break
            chosen = self._choose_any()
        return None if chosen is None or chosen.name == own.name else chosen

    def _watch_readers(self, now_ms: float) -> list[Action]:
        """Returns exchanges with readers if this node is among the best candidates.

        The candidates notice failed readers early, since they replace them.
        """
        if now_ms < self._watch_due_ms:
            return []
        own = self._membership.own
        view = self._membership.view(own.domain)
        if own.name not in view.reader_candidates[:WATCHING_CANDIDATES]:
            self._watch_due_ms = now_ms + WATCH_DUTY_CHECK_MS
            return []
        self._watch_due_ms = (
            now_ms + self._rng.uniform(0.5, 1.5) * READER_WATCH_PERIOD_MS
        )
        readers = [view.records[name] for name in view.readers if name != own.name]
        usable = [host for host in readers if not self._is_avoided(host, now_ms)]
        if len(usable) == len(readers) and usable:
            usable = [self._rng.choice(usable)]
        return [self.start_exchange(host.address, now_ms) for host in usable]

    def _choose_any(self) -> HostRecord | None:
        own = self._membership.own.domain
        others = [name for name in self._membership.domains if name != own]
        domain = own
        is_alone = len(self._membership.view(own).live) < 2
        if others and (is_alone or self._rng.random() >= OWN_DOMAIN_SHARE):
            domain = self._rng.choice(others)
        live = self._membership.view(domain).live
        return self._rng.choice(live) if live else None

    def _is_avoided(self, host: HostRecord, now_ms: float) -> bool:
        return self._suspicions.is_suspected(host.address, now_ms)

    def _expire_unanswered(self, now_ms: float) -> None:
        late = [name for name, limit in self._unanswered.items() if limit <= now_ms]
        for address in late:
            del self._unanswered[address]
            self._suspicions.record_misses(address, now_ms, misses=1)

    def _pull(self, now_ms: float) -> list[Action]:
        if now_ms < self._pull_due_ms:
            return []
        sender = self._pull_from
        if self._suspicions.is_suspected(sender, now_ms):
            peer = self.choose_peer(now_ms)
            sender = peer.address if peer else sender
        self._last_pulled_from = sender
        retry = self.choose_peer(now_ms)
        self._pull_from = retry.address if retry else sender
        self._pull_due_ms = now_ms + self._rng.uniform(1.0, 1.5) * PULL_TIMEOUT_MS
        return [Send(sender, Pull(self._store.head.root))]

    def _announcement(self, address: str, answer: bool) -> VersionAnnouncement:
        floor_version = self._floors.get(address, 0)
        digest = self._membership.digest
        return VersionAnnouncement(self._store.head, digest, floor_version, answer)
