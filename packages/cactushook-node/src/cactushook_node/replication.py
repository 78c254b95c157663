"""Keeps the node's replica of the platform's store and publishes its contents.

In a node with an adapter, this module is the only writer of the board's slots
``snapshot``, ``caller_limits``, ``listing`` and ``source_reachable``.

A few readers watch the store; the other nodes follow them. Nodes also compare revisions
with random peers, so that a node whose upstreams lag detects this.
"""

import typing as t

import trio
from cactushook import ErrorKind
from cactushook import HostState
from cactushook import Pause
from cactushook import RequestError
from cactushook import Snapshot
from cactushook import WireError
from cactushook.boot import VersionReadiness
from cactushook.fleet import Fleet
from cactushook.replica import Item
from cactushook.replica import Position
from cactushook.replica import Reading
from cactushook.replica import Replica
from cactushook.retention import Retention

from . import wire
from .adapters import Adapter
from .change_feed import ChangeFeed
from .change_feed import reading_from_message
from .change_feed import reading_to_message
from .confirmation_monitor import ConfirmationMonitor
from .environment import Environment
from .link_pool import LinkPool
from .links import Link
from .store_reader import StoreReader
from .supervision import keep_running
from .supervision import TaskStarter

PLAN_PERIOD_MS = 100
# Delay of a pull, since a peer may receive a change moments before this node does.
PULL_DELAY_MS = 250
# Records may have lapsed during an outage of the store of at least this length.
OUTAGE_MS = 1_000.0
# Time without an up-to-date reader after which the store counts as unreachable.
STALE_MS = 300.0
RETENTION_CHECK_PERIOD_MS = 100
# Delay of another attempt to put the replica's contents in force after an error.
PUBLISH_RETRY_MS = 500
PLACE = "replication"
# Share of the adapter's `drain_ms` for which a lapsed record is kept. The rest is a
# margin, since the record may have vanished a moment before the node reached the store
# again.
LINGER_SHARE = 0.8
# Heartbeats within which a record is renewed, or has been removed after three missed
# ones.
RENEWAL_HEARTBEATS = 4


class Replication:
    """Connects the replica to the store, the peers and the blackboard.

    Args:
        environment: the node's central object.
        adapter: translates the store's values.
        links: connections to other nodes.
        tasks: runs the watch and the tasks that send messages to peers.
    """

    def __init__(
        self,
        environment: Environment,
        adapter: Adapter,
        links: LinkPool,
        tasks: TaskStarter,
    ) -> None:
        self._environment = environment
        self._adapter = adapter
        self._links = links
        self._tasks = tasks
        self._replica = Replica()
        self._reader = StoreReader(
            environment,
            adapter.source,
            lambda: self._replica.position,
            self._on_reading,
            self._on_outage,
        )
        self._retention = Retention(
            adapter.content_order,
            RENEWAL_HEARTBEATS * environment.settings.adapter.heartbeat_ms,
        )
        self._change_feed = ChangeFeed(
            environment,
            links,
            tasks,
            self._replica,
            self._reader.is_fresh,
            self._retention.overruling_items,
            lambda: self._reader.synced_ms,
        )
        self._confirmation_monitor = ConfirmationMonitor(
            environment,
            (
                lambda: self._reader.synced_ms,
                lambda: self._change_feed.upstream_synced_ms,
            ),
            lambda: (
                not (environment.confirmation.is_decoding or self._is_publish_scheduled)
            ),
        )
        self._failing_since_ms: float | None = None
        self._is_pull_scheduled = False
        self._is_publish_scheduled = False
        self._logged_faults: frozenset[str] = frozenset()

    def start(self) -> None:
        """Starts the store reader and registers with the timer service."""
        environment = self._environment
        self._tasks.start_soon(keep_running, environment, self._reader.run)
        environment.timers.every(PLAN_PERIOD_MS, self._apply_plan, first_ms=0)
        period_ms = environment.settings.gossip_period_ms
        environment.timers.every(period_ms, self._gossip, first_ms=0)
        environment.timers.every(RETENTION_CHECK_PERIOD_MS, self._end_retention)
        environment.timers.on_pause(self._on_pause)

    def readiness(self) -> VersionReadiness:
        """Returns whether the node has a version and may accept requests."""
        if self._environment.store.head.version == 0:
            return VersionReadiness(False, "no configuration yet")
        if self._confirmation_monitor.is_awaited():
            return VersionReadiness(False, "configuration not confirmed yet")
        return VersionReadiness(True, "ready")

    async def on_hello(self, link: Link, hello: wire.Message) -> None:
        """Handles the first message of a connection."""
        self._links.register_incoming(link)
        link.send_soon(self._change_feed.revision_message(answer=False))

    async def on_control_message(self, link: Link, message: wire.Message) -> None:
        """Handles one control message."""
        match message:
            case wire.RevisionMessage():
                self._change_feed.on_revision(link, message)
                self._on_revision(link, message)
            case wire.FollowMessage():
                self._change_feed.on_follow(link, message)
            case wire.ItemsPullMessage():
                after = Position(message.era, message.after)
                reading = self._change_feed.changes_since(after)
                link.send_soon(reading_to_message(reading))
            case wire.ItemsMessage():
                self._handle_items(link, message)
            case _:
                raise WireError(
                    ErrorKind.FRAME_INVALID,
                    f"{type(message).__name__} is not expected here",
                )

    def _handle_items(self, link: Link, message: wire.Message) -> None:
        reading = reading_from_message(message, self._replica)
        if reading is None:
            self._environment.log.info(
                "changes_incomplete", revision=message.revision, era=message.era
            )
            link.send_soon(self._pull_message())
            return
        self._merge(reading, "peer")

    async def announce_own_record(self) -> None:
        """Does nothing; the platform announces hosts that leave."""

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

    def _apply_plan(self, now_ms: float) -> None:
        """Applies the upstreams' plan and records whether the store is reachable."""
        upstreams = self._change_feed.upstreams
        plan = upstreams.plan(now_ms)
        self._reader.is_reader = upstreams.is_reader
        self._reader.is_first_reader = plan.is_first_reader
        self._reader.set_enabled(plan.should_read_store)
        self._change_feed.renew_subscriptions(plan.follow_addresses, now_ms)
        self._confirmation_monitor.update(now_ms)
        if self._reader.is_fresh(now_ms) or upstreams.is_fresh(now_ms):
            self._failing_since_ms = None
            self._set_reachable(True)
        elif self._failing_since_ms is None:
            self._failing_since_ms = now_ms
        elif now_ms - self._failing_since_ms > STALE_MS:
            self._set_reachable(False, "no reader is up to date")

    def _on_reading(self, reading: Reading) -> bool:
        return self._merge(reading, "store")

    def _on_outage(self, reason: str) -> None:
        environment = self._environment
        now_ms = environment.now_ms()
        if self._change_feed.upstreams.is_fresh(now_ms):
            environment.log.debug("source_failed", reason=reason)
            return
        if self._failing_since_ms is None:
            self._failing_since_ms = now_ms
        self._set_reachable(False, reason)
        self._gossip(now_ms)

    def _set_reachable(self, reachable: bool, reason: str = "") -> None:
        board = self._environment.board
        if board.source_reachable.value is reachable:
            return
        if not reachable:
            self._environment.log.warning("store_failed", reason=reason)
        board.source_reachable.write(reachable)

    def _merge(self, reading: Reading, origin: str) -> bool:
        """Merges a reading into the replica and returns whether it changed anything."""
        environment = self._environment
        before = self._replica.items.copy()
        known = self._replica.position
        changes = self._replica.merge(reading)
        if known.revision and self._replica.era != known.era:
            self._start_era(known, before)
        elif changes:
            self._record_changes(changes, before)
        else:
            return False
        environment.log.info(
            "store_changed",
            origin=origin,
            revision=self._replica.revision,
            keys=[item.key for item in changes[:20]],
            count=len(changes),
        )
        self._publish()
        self._change_feed.publish()
        return True

    def _start_era(self, known: Position, before: t.Mapping[str, Item]) -> None:
        """Retains what the node knew until the restored store has caught up."""
        environment = self._environment
        replica = self._replica
        known_items = self._retention.overlay(before)
        keys = self._retention.start_era(
            known_items, replica.items, environment.now_ms()
        )
        environment.log.warning(
            "store_era_changed",
            era=replica.era,
            revision=replica.revision,
            known_revision=known.revision,
            retained=keys[:20],
        )

    def _record_changes(
        self, changes: t.Sequence[Item], before: t.Mapping[str, Item]
    ) -> None:
        """Retains records removed during an outage, as they may be written again."""
        environment = self._environment
        known_items = self._retention.overlay(before)
        now_ms = environment.now_ms()
        late_writes = self._retention.record_changes(changes, before, now_ms)
        self._record_late_writes(late_writes)
        since_ms = self._failing_since_ms
        if since_ms is None or now_ms - since_ms < OUTAGE_MS:
            return
        linger_ms = LINGER_SHARE * environment.settings.adapter.drain_ms
        lapsed = [i.key for i in changes if i.deleted and i.key in known_items]
        records = [known_items[key] for key in lapsed]
        self._retention.retain_lapsed(records, now_ms + linger_ms)
        if lapsed:
            environment.log.info("records_lapsed", keys=lapsed, linger_ms=linger_ms)

    def _record_late_writes(self, items: t.Sequence[Item]) -> None:
        if not items:
            return
        environment = self._environment
        counter = environment.metrics.versions_refused
        counter.labels(ErrorKind.VERSION_REPLAYED.value).inc(len(items))
        environment.log.warning("writes_late", keys=[item.key for item in items[:20]])

    def _end_retention(self, now_ms: float) -> None:
        if self._failing_since_ms is not None:
            self._retention.renew(now_ms)
        if self._retention.expire(now_ms):
            self._publish()

    def _publish(self) -> None:
        """Puts the replica's contents in force; tries again later after an error.

        The error of one change must not end the connection that brought it.
        """
        try:
            self._put_in_force()
        except Exception as error:
            self._environment.record_failure(PLACE, error)
            self._schedule_publish()

    def _schedule_publish(self) -> None:
        if self._is_publish_scheduled:
            return
        self._is_publish_scheduled = True

        def publish(now_ms: float) -> None:
            self._is_publish_scheduled = False
            self._publish()

        self._environment.timers.after(PUBLISH_RETRY_MS, publish)

    def _put_in_force(self) -> None:
        environment = self._environment
        items = self._retention.overlay(self._replica.items)
        fleet = self._adapter.fleet(items)
        if fleet.is_decoding:
            self._decode_in_background()
        self._log_faults(fleet)
        environment.membership.replace_all(fleet.hosts)
        self._change_feed.upstreams.update_hosts(fleet.hosts)
        board = environment.board
        if fleet.snapshot is not None and self._apply_snapshot(fleet.snapshot):
            self._apply_limits(fleet)
        if fleet.own != board.listing.value:
            environment.log.info("worker_listed", listing=repr(fleet.own))
            board.listing.write(fleet.own)

    def _decode_in_background(self) -> None:
        confirmation = self._environment.confirmation
        if not confirmation.is_decoding:
            confirmation.is_decoding = True
            self._tasks.start_soon(self._finish_decoding)

    async def _finish_decoding(self) -> None:
        """Decodes a large configuration between other work, then puts it in force."""
        try:
            while self._adapter.continue_decoding():
                await trio.lowlevel.checkpoint()
        except Exception as error:
            self._environment.record_failure(PLACE, error)
            self._schedule_publish()
            return
        finally:
            self._environment.confirmation.is_decoding = False
        self._publish()

    def _apply_limits(self, fleet: Fleet) -> None:
        board = self._environment.board
        if fleet.limits is not None and fleet.limits != board.caller_limits.value:
            board.caller_limits.write(fleet.limits)

    def _apply_snapshot(self, snapshot: Snapshot) -> bool:
        """Puts a snapshot in force unless it is older; returns whether it is."""
        environment = self._environment
        if snapshot == environment.store.snapshot:
            return True
        if not environment.store.apply_snapshot(snapshot):
            environment.metrics.versions_refused.labels(
                ErrorKind.VERSION_REPLAYED.value
            ).inc()
            environment.log.warning("version_refused", version=snapshot.head.version)
            return False
        environment.metrics.versions_applied.inc()
        environment.metrics.version.set(snapshot.head.version)
        environment.log.info(
            "version_applied",
            version=snapshot.head.version,
            revision=self._replica.revision,
            out=[name for name in snapshot.domains if snapshot.is_out(name)],
        )
        environment.board.snapshot.write(snapshot)
        return True

    def _log_faults(self, fleet: Fleet) -> None:
        texts = frozenset(str(fault) for fault in fleet.faults)
        for fault in fleet.faults:
            if str(fault) not in self._logged_faults:
                metrics = self._environment.metrics
                metrics.versions_refused.labels(fault.kind.value).inc()
                self._environment.log.warning("record_refused", reason=str(fault))
        self._logged_faults = texts

    def _on_revision(self, link: Link, message: wire.Message) -> None:
        own = self._replica.position
        position = Position(message.era, message.revision)
        if link.peer_hello is not None and own.revision:
            address = link.peer_hello.host.address
            self._environment.confirmation.record_peer(address, position > own)
        if position > own:
            self._schedule_pull(link, position)
        elif position < own and not message.answer:
            link.send_soon(self._change_feed.revision_message(answer=True))

    def _pull_message(self) -> wire.Message:
        return wire.ItemsPullMessage(self._replica.revision, self._replica.era)

    def _schedule_pull(self, link: Link, position: Position) -> None:
        environment = self._environment
        if environment.board.source_reachable.value is not True:
            link.send_soon(self._pull_message())
            return
        if self._is_pull_scheduled:
            return
        self._is_pull_scheduled = True

        def pull(now_ms: float) -> None:
            self._is_pull_scheduled = False
            if self._replica.position >= position:
                return
            environment.log.warning("watch_behind", peer_revision=position.revision)
            self._reader.restart()
            link.send_soon(self._pull_message())

        environment.timers.after(PULL_DELAY_MS, pull)

    def _gossip(self, now_ms: float) -> None:
        address = self._random_peer()
        if address is not None:
            message = self._change_feed.revision_message(answer=False)
            self._tasks.start_soon(self.send_to, address, message)

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
        self._retention.renew(environment.now_ms())
        self._tasks.start_soon(self._reader.reconnect)
        self._gossip(environment.now_ms())
