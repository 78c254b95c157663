"""Creates, connects and runs the controllers of one node."""

import pathlib
import signal
import typing as t

import trio
from cactushook import HostState
from cactushook import Snapshot
from cactushook.pacing import Reservation

from . import adapters
from . import wire
from .admin import Admin
from .call_messages import call_from_message
from .caller_sockets import CallerSockets
from .crash_reports import CrashReports
from .distribution import Distribution
from .edge import Edge
from .entry import Entry
from .environment import Environment
from .environment import Readiness
from .gate import Gate
from .http_messages import ReplyChunk
from .http_messages import ReplyEvent
from .http_messages import ReplyStart
from .http_messages import WorkerRequest
from .join_protocol import JoinProtocol
from .link_pool import LinkPool
from .links import Link
from .logs import LineWriter
from .peer_watch import PeerWatch
from .platform import HttpPlatform
from .quotas import Quotas
from .replication import Replication
from .reply_messages import reply_to_message
from .settings import Settings
from .stops import begin_stop
from .supervision import Supervisor

READY_CHECK_MS = 50
LOG_PERIOD_MS = 50
IDLE_POLL_S = 0.02


class Node:
    """One node: entry, gate and distribution on one event loop.

    Args:
        environment: the node's central object.
        nursery: runs all tasks of the node.
        sockets: at which callers connect; bound by the edge if there are none yet.
    """

    def __init__(
        self,
        environment: Environment,
        nursery: trio.Nursery,
        sockets: CallerSockets | None = None,
    ) -> None:
        self.environment = environment
        self._nursery = nursery
        self._tasks = Supervisor(environment, nursery)
        self.links = LinkPool(environment, self, self._tasks)
        self._peer_watch = PeerWatch(environment, self.links, self._tasks)
        self.gate = Gate(environment, self._tasks)
        self._quotas = Quotas(environment, self.links, self._tasks)
        self.entry = Entry(environment, self.links, self.gate, self._quotas)
        adapter = adapters.create_adapter(environment.settings, environment.metrics)
        self._has_adapter = adapter is not None
        self.distribution: Distribution | Replication
        if adapter is None:
            self.distribution = self._make_distribution()
        else:
            self.distribution = Replication(
                environment, adapter, self.links, self._tasks
            )
        self.edge = Edge(environment, self.entry, sockets)
        self.admin = Admin(environment, self.entry.router, self._quotas)
        self._join_protocol: JoinProtocol | None = None
        if adapter is None:
            self._join_protocol = JoinProtocol(
                environment, self.gate, self.distribution, self._tasks
            )
        self._started_ms = environment.now_ms()
        self._crash_reports = CrashReports(
            environment, self.gate, self.links, self.distribution, self._tasks
        )

    def _make_distribution(self) -> Distribution:
        environment = self.environment
        platform = HttpPlatform(
            environment.settings.platform,
            environment.metrics,
            environment.board.source_reachable,
        )
        return Distribution(environment, platform, self.links, self._tasks)

    async def run(self) -> None:
        """Starts all parts, waits for SIGTERM or SIGINT and stops the node.

        A second signal cancels the planned stop.
        """
        stop_receiver = trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT)
        reload_receiver = trio.open_signal_receiver(signal.SIGHUP)
        with stop_receiver as signals, reload_receiver as hangups:
            self._tasks.start_soon(self._reload_on_signal, hangups)
            await self._start()
            await anext(signals)
            self._nursery.start_soon(self._cancel_at_second_signal, signals)
            await self._stop()
        self._nursery.cancel_scope.cancel()

    async def _start(self) -> None:
        environment = self.environment
        nursery = self._nursery
        nursery.start_soon(environment.run_timers)
        await nursery.start(self.admin.serve)
        await nursery.start(self.links.listen, nursery)
        environment.board.snapshot.watch(self._on_snapshot)
        nursery.start_soon(self.edge.serve_once_ready)
        self.distribution.start()
        environment.timers.every(READY_CHECK_MS, self._update_readiness, first_ms=0)
        environment.log.info("started")

    def _on_snapshot(self, snapshot: Snapshot) -> None:
        self._update_readiness(self.environment.now_ms())

    async def on_hello(self, link: Link, hello: wire.Message) -> None:
        """Handles the first message of a connection."""
        self._crash_reports.on_hello(link, hello)
        await self.distribution.on_hello(link, hello)

    async def on_call(self, link: Link, message: wire.Message) -> None:
        """Runs a request that another node's entry sent."""
        stream_id = message.stream_id
        try:
            arrived_ms = self.environment.now_ms() - self.environment.lag.last_ms
            call = call_from_message(message, arrived_ms)
        except ValueError as error:
            self.environment.log.warning("call_failed", reason=repr(error))
            return
        reservation = self.environment.pacer.reserve(call.answer_bytes)

        async def emit(event: ReplyEvent) -> None:
            if isinstance(event, ReplyChunk):
                await link.acquire_credit(stream_id)
            await self._pace(event, reservation)
            await link.send(reply_to_message(stream_id, event, self.gate.load))

        request = WorkerRequest(
            message.method,
            message.target,
            tuple((header.name, header.value) for header in message.headers),
            message.body,
        )
        try:
            await self.gate.serve_remote(call, request, emit)
        finally:
            reservation.close()

    async def _pace(self, event: ReplyEvent, reservation: Reservation) -> None:
        """Counts the bytes of a reply event and delays chunks as the pacer requires."""
        environment = self.environment
        match event:
            case ReplyChunk(data):
                reservation.consume(len(data))
                delay_ms = environment.pacer.schedule_send_ms(
                    len(data), environment.now_ms()
                )
                if delay_ms > 0:
                    await trio.sleep(delay_ms / 1_000)
            case ReplyStart(body=body):
                reservation.consume(len(body))
                environment.pacer.schedule_send_ms(len(body), environment.now_ms())

    async def on_control_message(self, link: Link, message: wire.Message) -> None:
        """Handles a control message."""
        match message:
            case (
                wire.CrashMessage() | wire.CrashPullMessage() | wire.CrashListMessage()
            ):
                self._crash_reports.on_message(link, message)
            case wire.SilenceMessage():
                self._peer_watch.on_report(message)
            case (
                wire.QuotaRequestMessage()
                | wire.QuotaGrantMessage()
                | wire.QuotaHandoverMessage()
            ):
                await self._quotas.on_message(link, message)
            case wire.JoinMessage() if self._join_protocol is not None:
                await self._join_protocol.on_join(link, message)
            case wire.JoinedMessage() if self._join_protocol is not None:
                self._join_protocol.on_joined(message)
            case _:
                self.gate.on_peer_update()
                await self.distribution.on_control_message(link, message)

    def _update_readiness(self, now_ms: float) -> None:
        """Writes the node's readiness to the board, unless the node is leaving."""
        board = self.environment.board
        if board.leaving.value:
            return
        readiness = self._readiness(now_ms)
        if readiness != board.readiness.value:
            board.readiness.write(readiness)

    def _readiness(self, now_ms: float) -> Readiness:
        version_readiness = self.distribution.readiness()
        if not version_readiness.ready:
            return Readiness(False, version_readiness.reason)
        waited_ms = now_ms - self._started_ms
        if (
            self._has_adapter
            or self.gate.is_home
            or waited_ms > self.environment.settings.boot_wait_ms
        ):
            return Readiness(True, "ready")
        return Readiness(False, "joining the homes of keys")

    async def _stop(self) -> None:
        environment = self.environment
        environment.log.info("draining")
        environment.board.leaving.write(True)
        times = begin_stop(environment)
        if not self._has_adapter:
            self.gate.drain()
        environment.board.readiness.write(Readiness(False, "draining"))
        environment.membership.change_state(HostState.LEAVING)
        with trio.move_on_after(times.limit_ms / 1_000):
            await self.distribution.announce_own_record()
            await trio.sleep(times.linger_ms / 1_000)
            # With an adapter the node does not announce its stop, so the gate accepts
            # requests until the end of the linger time.
            self.gate.drain()
            await self._wait_for_own_work()
            await self.edge.stop_accepting()
            await self._wait_until_served()
            await self.links.close()
            while not self._is_idle:
                await trio.sleep(IDLE_POLL_S)
        environment.log.info("stopped")

    async def _wait_until_served(self) -> None:
        """Waits until no request runs, or until requests must have ended."""
        environment = self.environment
        ends_ms = environment.board.serving_ends_ms.value
        while not self._is_idle and environment.now_ms() < ends_ms:
            await trio.sleep(IDLE_POLL_S)

    async def _wait_for_own_work(self) -> None:
        """Waits for work at the backend server, which may make requests at the edge."""
        environment = self.environment
        ends_ms = environment.board.serving_ends_ms.value
        while not self.gate.is_idle and environment.now_ms() < ends_ms:
            await trio.sleep(IDLE_POLL_S)

    @property
    def _is_idle(self) -> bool:
        return self.gate.is_idle and self.entry.is_idle and self.edge.is_idle

    async def _reload_on_signal(self, hangups: t.AsyncIterator[int]) -> None:
        async for _ in hangups:
            self.environment.reload_settings("signal")

    async def _cancel_at_second_signal(self, signals: t.AsyncIterator[int]) -> None:
        await anext(signals)
        self._nursery.cancel_scope.cancel()


async def run_node(
    settings: Settings,
    settings_file: pathlib.Path,
    writer: LineWriter,
    sockets: CallerSockets | None = None,
) -> None:
    """Runs one node until a signal stops it."""
    environment = Environment(settings, settings_file)
    environment.timers.every(
        LOG_PERIOD_MS, lambda now_ms: writer.write_pending(), first_ms=0
    )
    async with trio.open_nursery() as nursery:
        await Node(environment, nursery, sockets).run()
