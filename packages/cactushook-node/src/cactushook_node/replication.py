"""Keeps the node's copy of the platform's store; sole writer of what follows from it.

A few readers watch the store, the other nodes follow them. Nodes also compare revisions
with random peers, so that one whose upstreams lag learns of it.
"""

import dataclasses
import typing as t

import trio
from cactushook import ErrorKind
from cactushook import HostState
from cactushook import Pause
from cactushook import RequestError
from cactushook import WireError
from cactushook.boot import VersionReadiness
from cactushook.fleet import Fleet
from cactushook.replica import Item
from cactushook.replica import Reading
from cactushook.replica import Replica

from . import wire
from .adapters import Adapter
from .change_feed import ChangeFeed
from .change_feed import reading_from_message
from .change_feed import reading_to_message
from .environment import Environment
from .link_pool import LinkPool
from .links import Link
from .store_reader import StoreReader

PLAN_PERIOD_MS = 100
# A peer that is ahead may have heard of a change moments before this node does.
PULL_DELAY_MS = 250
# An outage of the store at least this long may have let records lapse.
OUTAGE_MS = 1_000.0
# Time without a reader that is up to date after which the store counts as away.
STALE_MS = 300.0
LAPSED_PERIOD_MS = 100
# Kept from the time that a leaving host's work may go on: the record may have
# vanished a moment before the node saw the store again.
LINGER_SHARE = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class _Lingering:
    """A record that lapsed while the store was away."""

    item: Item
    until_ms: float


class Replication:
    """Connects the replica with the store, the peers and the blackboard.

    Args:
        environment: the node's central object.
        adapter: translates the store's values.
        links: connections to other nodes.
        nursery: runs the watch and the messages to peers.
    """

    def __init__(
        self,
        environment: Environment,
        adapter: Adapter,
        links: LinkPool,
        nursery: trio.Nursery,
    ) -> None:
        self._environment = environment
        self._adapter = adapter
        self._links = links
        self._nursery = nursery
        self._replica = Replica()
        self._reader = StoreReader(
            environment,
            adapter.source,
            lambda: self._replica.revision,
            self._on_reading,
            self._on_outage,
        )
        self._change_feed = ChangeFeed(
            environment, links, nursery, self._replica, self._reader.is_fresh
        )
        self._lingering: dict[str, _Lingering] = {}
        self._failing_since_ms: float | None = None
        self._pull_due = False
        self._faults: frozenset[str] = frozenset()

    def start(self) -> None:
        """Starts to watch the store and to ask peers."""
        environment = self._environment
        self._nursery.start_soon(self._reader.run)
        environment.timers.every(PLAN_PERIOD_MS, self._on_plan, first_ms=0)
        period_ms = environment.settings.gossip_period_ms
        environment.timers.every(period_ms, self._on_gossip, first_ms=0)
        environment.timers.every(LAPSED_PERIOD_MS, self._drop_lapsed)
        environment.timers.on_pause(self._on_pause)

    def readiness(self) -> VersionReadiness:
        """Returns whether the node knows enough to take work."""
        if self._environment.store.head.version == 0:
            return VersionReadiness(False, "no configuration yet")
        return VersionReadiness(True, "ready")

    async def on_hello(self, link: Link, hello: wire.Message) -> None:
        """Takes in the first message of a connection."""
        self._links.adopt(link)
        link.send_soon(self._change_feed.revision_message(answer=False))

    async def on_control_message(self, link: Link, message: wire.Message) -> None:
        """Takes in one control message."""
        match message:
            case wire.RevisionMessage():
                self._change_feed.on_revision(link, message)
                self._on_revision(link, message)
            case wire.FollowMessage():
                self._change_feed.on_follow(link, message)
            case wire.ItemsPullMessage():
                link.send_soon(
                    reading_to_message(self._replica.changes_since(message.after))
                )
            case wire.ItemsMessage():
                self._take_message(link, message)
            case _:
                raise WireError(
                    ErrorKind.FRAME_INVALID,
                    f"{type(message).__name__} is not expected here",
                )

    def _take_message(self, link: Link, message: wire.Message) -> None:
        reading = reading_from_message(message, self._replica)
        if reading is None:
            link.send_soon(wire.ItemsPullMessage(self._replica.revision))
            return
        self._take(reading, "peer")

    async def announce_own_record(self) -> None:
        """Does nothing: the platform tells of hosts that leave."""

    async def send_to(self, address: str, message: wire.Message) -> None:
        """Sends a message to a node if it can be reached."""
        try:
            link = await self._links.get(address)
        except RequestError as error:
            self._environment.log.debug(
                "peer_unreachable", address=address, reason=error.message
            )
            return
        await link.send(message)

    def _on_plan(self, now_ms: float) -> None:
        """Follows the plan and notes whether the store is within reach."""
        upstreams = self._change_feed.upstreams
        plan = upstreams.plan(now_ms)
        self._reader.is_reader = upstreams.is_reader
        self._reader.set_enabled(plan.should_read_store)
        self._change_feed.follow(plan.follow_addresses, now_ms)
        if self._reader.is_fresh(now_ms) or upstreams.is_fresh(now_ms):
            self._failing_since_ms = None
            self._note_reachable(True)
        elif self._failing_since_ms is None:
            self._failing_since_ms = now_ms
        elif now_ms - self._failing_since_ms > STALE_MS:
            self._note_reachable(False, "no reader is up to date")

    def _on_reading(self, reading: Reading) -> None:
        self._take(reading, "store")

    def _on_outage(self, reason: str) -> None:
        environment = self._environment
        now_ms = environment.now_ms()
        if self._change_feed.upstreams.is_fresh(now_ms):
            environment.log.debug("source_failed", reason=reason)
            return
        if self._failing_since_ms is None:
            self._failing_since_ms = now_ms
        self._note_reachable(False, reason)
        self._on_gossip(now_ms)

    def _note_reachable(self, reachable: bool, reason: str = "") -> None:
        board = self._environment.board
        if board.source_reachable.value is reachable:
            return
        if not reachable:
            self._environment.log.warning("store_failed", reason=reason)
        board.source_reachable.write(reachable)

    def _take(self, reading: Reading, origin: str) -> None:
        environment = self._environment
        before = self._replica.items.copy()
        news = self._replica.merge(reading)
        if not news:
            return
        environment.log.info(
            "store_changed",
            origin=origin,
            revision=self._replica.revision,
            keys=[item.key for item in news[:20]],
            count=len(news),
        )
        self._keep_lapsed(news, before)
        self._publish()
        self._change_feed.publish()

    def _keep_lapsed(
        self, news: t.Iterable[Item], before: t.Mapping[str, Item]
    ) -> None:
        """Keeps records that vanished with an outage until they could be back."""
        environment = self._environment
        for item in news:
            self._lingering.pop(item.key, None)
        now_ms = environment.now_ms()
        since_ms = self._failing_since_ms
        if since_ms is None or now_ms - since_ms < OUTAGE_MS:
            return
        linger_ms = LINGER_SHARE * environment.settings.adapter.drain_ms
        removed = [item.key for item in news if item.deleted and item.key in before]
        for key in removed:
            self._lingering[key] = _Lingering(before[key], now_ms + linger_ms)
        if removed:
            environment.log.info("records_lapsed", keys=removed, linger_ms=linger_ms)

    def _drop_lapsed(self, now_ms: float) -> None:
        ended = [k for k, kept in self._lingering.items() if kept.until_ms <= now_ms]
        for key in ended:
            del self._lingering[key]
        if ended:
            self._publish()

    def _publish(self) -> None:
        environment = self._environment
        lingering = {key: kept.item for key, kept in self._lingering.items()}
        fleet = self._adapter.fleet({**lingering, **self._replica.items})
        self._log_faults(fleet)
        environment.membership.replace_all(fleet.hosts)
        self._change_feed.upstreams.update_hosts(fleet.hosts)
        board = environment.board
        if fleet.limits is not None and fleet.limits != board.caller_limits.value:
            board.caller_limits.write(fleet.limits)
        if fleet.snapshot is not None and fleet.snapshot != environment.store.snapshot:
            self._adopt(fleet)
        if fleet.own != board.listing.value:
            environment.log.info("worker_listed", listing=repr(fleet.own))
            board.listing.write(fleet.own)

    def _adopt(self, fleet: Fleet) -> None:
        environment = self._environment
        snapshot = fleet.snapshot
        if not environment.store.apply_snapshot(snapshot):
            environment.metrics.versions_refused.labels(
                ErrorKind.VERSION_REPLAYED.value
            ).inc()
            environment.log.warning("version_refused", version=snapshot.head.version)
            return
        environment.metrics.versions_applied.inc()
        environment.metrics.version.set(snapshot.head.version)
        environment.log.info(
            "version_applied",
            version=snapshot.head.version,
            revision=self._replica.revision,
            out=[name for name in snapshot.domains if snapshot.is_out(name)],
        )
        environment.board.snapshot.write(snapshot)

    def _log_faults(self, fleet: Fleet) -> None:
        texts = frozenset(str(fault) for fault in fleet.faults)
        for fault in fleet.faults:
            if str(fault) not in self._faults:
                metrics = self._environment.metrics
                metrics.versions_refused.labels(fault.kind.value).inc()
                self._environment.log.warning("record_refused", reason=str(fault))
        self._faults = texts

    def _on_revision(self, link: Link, message: wire.Message) -> None:
        own = self._replica.revision
        if message.revision > own:
            self._pull_soon(link, message.revision)
        elif message.revision < own and not message.answer:
            link.send_soon(self._change_feed.revision_message(answer=True))

    def _pull_soon(self, link: Link, revision: int) -> None:
        environment = self._environment
        if environment.board.source_reachable.value is not True:
            link.send_soon(wire.ItemsPullMessage(self._replica.revision))
            return
        if self._pull_due:
            return
        self._pull_due = True

        def pull(now_ms: float) -> None:
            self._pull_due = False
            if self._replica.revision >= revision:
                return
            environment.log.warning("watch_behind", peer_revision=revision)
            self._reader.restart()
            link.send_soon(wire.ItemsPullMessage(self._replica.revision))

        environment.timers.after(PULL_DELAY_MS, pull)

    def _on_gossip(self, now_ms: float) -> None:
        address = self._random_peer()
        if address is not None:
            message = self._change_feed.revision_message(answer=False)
            self._nursery.start_soon(self.send_to, address, message)

    def _random_peer(self) -> str | None:
        environment = self._environment
        own = environment.membership.own.address
        hosts = environment.membership.hosts
        listed = [h.address for h in hosts if h.state is HostState.LIVE]
        if not listed:
            listed = list(environment.settings.peers)
        others = [address for address in listed if address != own]
        return environment.rng.choice(others) if others else None

    def _on_pause(self, pause: Pause) -> None:
        environment = self._environment
        environment.log.warning("paused", length_ms=int(pause.length_ms))
        self._nursery.start_soon(self._reader.reconnect)
        self._on_gossip(environment.now_ms())
