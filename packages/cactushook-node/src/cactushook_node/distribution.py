"""Executes the distributor's actions.

In a node without an adapter, this module is the only writer of the board's slots
``snapshot`` and ``host_list_read``.
"""

import typing as t

import trio
from cactushook import CactushookError
from cactushook import Distributor
from cactushook import messages
from cactushook import Pause
from cactushook import RequestError
from cactushook import Snapshot
from cactushook import SourceError
from cactushook.boot import VersionReadiness
from cactushook.distributor import Periods
from cactushook.readers import FleetHint

from . import wire
from .environment import Environment
from .link_pool import LinkPool
from .links import Link
from .platform import Platform
from .supervision import TaskStarter

TICK_MS = 100


class Distribution:
    """Connects the distributor to the links and the platform.

    Args:
        environment: the node's central object.
        platform: the platform's configuration service.
        links: connections to other nodes.
        tasks: runs the calls to the platform and to other nodes.
    """

    def __init__(
        self,
        environment: Environment,
        platform: Platform,
        links: LinkPool,
        tasks: TaskStarter,
    ) -> None:
        self._environment = environment
        self._platform = platform
        self._links = links
        self._tasks = tasks
        self._unread_domains: set[str] = set()
        settings = environment.settings
        self._distributor = Distributor(
            environment.membership,
            environment.store,
            settings.peers,
            environment.rng,
            environment.now_ms(),
            Periods(
                gossip_period_ms=settings.gossip_period_ms,
                host_list_period_ms=settings.platform.host_list_period_ms,
                boot_wait_ms=settings.boot_wait_ms,
            ),
            FleetHint(
                hosts=settings.platform.fleet_size_hint,
                domains=settings.platform.domain_count_hint,
            ),
        )

    def start(self) -> None:
        """Queries the peers and registers with the timer service."""
        environment = self._environment
        self._carry_out(self._distributor.start(environment.now_ms()))
        environment.timers.every(TICK_MS, self._on_tick, first_ms=0)
        environment.timers.on_pause(self._on_pause)

    def readiness(self) -> VersionReadiness:
        """Returns whether the node's version lets it accept requests."""
        return self._distributor.readiness(self._environment.now_ms())

    async def on_hello(self, link: Link, hello: wire.Message) -> None:
        """Handles the first message of a connection."""
        self._links.register_incoming(link)
        self._handle_message(link, hello)

    async def on_control_message(self, link: Link, message: wire.Message) -> None:
        """Handles one control message."""
        self._handle_message(link, message)

    async def announce_own_record(self) -> None:
        """Sends a change of the node's own record to the other hosts."""
        async with trio.open_nursery() as nursery:
            now_ms = self._environment.now_ms()
            for action in self._distributor.announce_own_record(now_ms):
                nursery.start_soon(self._send, action)

    async def send_to(self, address: str, message: wire.Message) -> None:
        """Sends a message to a node if it can be reached."""
        try:
            link = await self._links.get(address)
        except RequestError:
            now_ms = self._environment.now_ms()
            self._carry_out(self._distributor.on_unreachable(address, now_ms))
            return
        await link.send(message)

    def _handle_message(self, link: Link, message: wire.Message) -> None:
        if link.peer_hello is None:
            return
        actions = self._distributor.on_message(
            link.peer_hello.host.address,
            wire.control_from_message(message),
            self._environment.now_ms(),
        )
        self._carry_out(actions)
        if isinstance(message, wire.HostsMessage) and not message.spread:
            self._environment.board.host_list_read.write(True)

    def _on_tick(self, now_ms: float) -> None:
        self._carry_out(self._distributor.tick(now_ms))

    def _on_pause(self, pause: Pause) -> None:
        environment = self._environment
        environment.log.warning("paused", length_ms=int(pause.length_ms))
        now_ms = environment.now_ms()
        self._carry_out(self._distributor.on_pause(now_ms))

    def _carry_out(self, actions: t.Iterable[messages.Action]) -> None:
        for action in actions:
            match action:
                case messages.Send():
                    self._tasks.start_soon(self._send, action)
                case messages.ApplySnapshot(snapshot):
                    self._on_snapshot_applied(snapshot)
                case messages.RefuseVersion(head, error):
                    self._on_version_refused(head.version, error)
                case _:
                    self._tasks.start_soon(self._call_source, action)

    async def _send(self, action: messages.Send) -> None:
        await self.send_to(action.address, wire.control_to_message(action.message))

    async def _call_source(self, action: messages.SourceCall) -> None:
        distributor = self._distributor
        try:
            match action:
                case messages.WatchHead(after_version, is_reader):
                    head = await self._platform.watch_head(after_version, is_reader)
                    actions = distributor.on_head(head, self._environment.now_ms())
                case messages.ReadValues(head, digests):
                    values = await self._read_values(digests)
                    now_ms = self._environment.now_ms()
                    actions = distributor.on_values(head, values, now_ms)
                case messages.ReadHosts(domain):
                    hosts = await self._platform.read_hosts(domain)
                    now_ms = self._environment.now_ms()
                    actions = distributor.on_hosts(domain, hosts, now_ms)
                    self._mark_domain_read(domain)
                case messages.ReadDomains():
                    domains = await self._platform.read_domains()
                    now_ms = self._environment.now_ms()
                    actions = distributor.on_domains(domains, now_ms)
                    self._unread_domains = set(domains)
        except SourceError as error:
            self._environment.log.debug("source_failed", reason=str(error))
            now_ms = self._environment.now_ms()
            actions = distributor.on_source_failed(action, now_ms)
        self._carry_out(actions)

    def _mark_domain_read(self, domain: str) -> None:
        self._unread_domains.discard(domain)
        if not self._unread_domains:
            self._environment.board.host_list_read.write(True)

    async def _read_values(self, digests: t.Iterable[str]) -> dict[str, bytes]:
        """Reads values one by one and leaves out those that cannot be read.

        Raises:
            SourceError: a read failed and no value was read.
        """
        values: dict[str, bytes] = {}
        failure: SourceError | None = None
        for name in digests:
            try:
                values[name] = await self._platform.read_value(name)
            except SourceError as error:
                failure = error
        if failure is not None and not values:
            raise failure
        return values

    def _on_snapshot_applied(self, snapshot: Snapshot) -> None:
        environment = self._environment
        head = snapshot.head
        environment.metrics.versions_applied.inc()
        environment.metrics.version.set(head.version)
        environment.log.info("version_applied", version=head.version, root=head.root)
        environment.board.snapshot.write(snapshot)

    def _on_version_refused(self, version: int, error: CactushookError) -> None:
        environment = self._environment
        environment.metrics.versions_refused.labels(error.kind.value).inc()
        environment.log.warning("version_refused", version=version, reason=str(error))
