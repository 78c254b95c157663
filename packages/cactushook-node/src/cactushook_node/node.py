"""Ties the controllers of one node together and runs them."""

import pathlib
import signal
import typing as t

import trio
from cactushook import CrashReport
from cactushook import HostState
from cactushook.pacing import Reservation

from . import adapters
from . import wire
from .admin import Admin
from .call_messages import call_from_message
from .distribution import Distribution
from .edge import Edge
from .entry import Entry
from .environment import Environment
from .environment import Readiness
from .gate import Gate
from .http_messages import ReplyChunk
from .http_messages import ReplyEvent
from .http_messages import ReplyRefused
from .http_messages import ReplyStart
from .http_messages import WorkerRequest
from .join_protocol import JoinProtocol
from .link_pool import LinkPool
from .links import Link
from .logs import LineWriter
from .platform import HttpPlatform
from .replication import Replication
from .settings import Settings

READY_CHECK_MS = 50
LOG_PERIOD_MS = 50


class Node:
    """One node: entry, gate and distribution on one event loop.

    Args:
        environment: the node's central object.
        nursery: runs everything.
    """

    def __init__(self, environment: Environment, nursery: trio.Nursery) -> None:
        self.environment = environment
        self._nursery = nursery
        self.links = LinkPool(environment, self, nursery)
        self.gate = Gate(environment, nursery)
        self.entry = Entry(environment, self.links, self.gate)
        adapter = adapters.load(environment.settings, environment.metrics)
        self._has_adapter = adapter is not None
        self.distribution: Distribution | Replication
        if adapter is None:
            self.distribution = self._own_distribution()
        else:
            self.distribution = Replication(environment, adapter, self.links, nursery)
        self.edge = Edge(environment, self.entry)
        self.admin = Admin(environment, self.entry.router)
        self._join_protocol: JoinProtocol | None = None
        if adapter is None:
            self._join_protocol = JoinProtocol(
                environment, self.gate, self.distribution, nursery
            )
        self._started_ms = environment.now_ms()
        self.gate.add_crash_listener(self._on_crash)

    def _own_distribution(self) -> Distribution:
        environment = self.environment
        platform = HttpPlatform(
            environment.settings.platform,
            environment.metrics,
            environment.board.source_reachable,
        )
        return Distribution(environment, platform, self.links, self._nursery)

    async def run(self) -> None:
        """Starts all parts and waits for a signal to stop."""
        stops = trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT)
        reloads = trio.open_signal_receiver(signal.SIGHUP)
        with stops as signals, reloads as hangups:
            self._nursery.start_soon(self._reload_at_signal, hangups)
            await self._start()
            await anext(signals)
            self._nursery.start_soon(self._end_at_second, signals)
            await self._stop()
        self._nursery.cancel_scope.cancel()

    async def _start(self) -> None:
        environment = self.environment
        ip, _, port = environment.settings.node_listen.rpartition(":")
        nursery = self._nursery
        nursery.start_soon(environment.run_timers)
        await nursery.start(self.admin.serve)
        await nursery.start(
            lambda task_status: trio.serve_tcp(
                self._accept, int(port), host=ip, task_status=task_status
            )
        )
        await nursery.start(self.edge.serve)
        self.distribution.start()
        environment.timers.every(READY_CHECK_MS, self._check_ready, first_ms=0)
        environment.log.info("started")

    async def on_hello(self, link: Link, hello: wire.Message) -> None:
        """A connection was made."""
        await self.distribution.on_hello(link, hello)

    async def on_call(self, link: Link, message: wire.Message) -> None:
        """Runs a request that another node's entry sent."""
        stream_id = message.stream_id
        try:
            call = call_from_message(message, self.environment.now_ms())
        except ValueError as error:
            self.environment.log.warning("call_failed", reason=repr(error))
            return
        promise = self.environment.pacer.reserve(call.answer_bytes)

        async def emit(event: ReplyEvent) -> None:
            if isinstance(event, ReplyChunk):
                await link.acquire_credit(stream_id)
            await self._pace(event, promise)
            await link.send(_reply(stream_id, event, self.gate))

        request = WorkerRequest(
            message.method,
            message.target,
            tuple((header.name, header.value) for header in message.headers),
            message.body,
        )
        try:
            await self.gate.serve_remote(call, request, emit)
        finally:
            promise.close()

    async def _pace(self, event: ReplyEvent, promise: Reservation) -> None:
        """Waits until a part of a large answer may be sent."""
        environment = self.environment
        match event:
            case ReplyChunk(data):
                promise.consume(len(data))
                delay_ms = environment.pacer.schedule_send_ms(
                    len(data), environment.now_ms()
                )
                if delay_ms > 0:
                    await trio.sleep(delay_ms / 1_000)
            case ReplyStart(body=body):
                promise.consume(len(body))
                environment.pacer.schedule_send_ms(len(body), environment.now_ms())

    async def on_control_message(self, link: Link, message: wire.Message) -> None:
        """Handles a control message."""
        match message:
            case wire.CrashMessage():
                self.gate.record_crash(
                    CrashReport(message.service_name, message.fingerprint, message.host)
                )
            case wire.JoinMessage() if self._join_protocol is not None:
                await self._join_protocol.on_join(link, message)
            case wire.JoinedMessage() if self._join_protocol is not None:
                self._join_protocol.on_joined(message)
            case _:
                self.gate.on_peer_update()
                await self.distribution.on_control_message(link, message)

    async def _accept(self, stream: trio.SocketStream) -> None:
        await Link(self.environment, stream, self).run()

    def _check_ready(self, now_ms: float) -> None:
        """Makes the node ready once it has a version and is a home of keys."""
        board = self.environment.board
        if board.leaving.value:
            return
        readiness = self._readiness(now_ms)
        if readiness != board.readiness.value:
            board.readiness.write(readiness)

    def _readiness(self, now_ms: float) -> Readiness:
        decided = self.distribution.readiness()
        if not decided.ready:
            return Readiness(False, decided.reason)
        waited_ms = now_ms - self._started_ms
        if (
            self._has_adapter
            or self.gate.is_home
            or waited_ms > self.environment.settings.boot_wait_ms
        ):
            return Readiness(True, "ready")
        return Readiness(False, "joining the homes of keys")

    def _on_crash(self, news: CrashReport) -> None:
        self.environment.log.warning(
            "request_crashed_worker", fingerprint=news.fingerprint
        )
        self._nursery.start_soon(self._tell_crash, news)

    async def _tell_crash(self, news: CrashReport) -> None:
        message = wire.CrashMessage(news.service, news.fingerprint, news.host)
        for host in list(self.environment.membership.hosts):
            if host.service == news.service and host.name != news.host:
                await self.distribution.send_to(host.address, message)

    async def _stop(self) -> None:
        environment = self.environment
        environment.log.info("draining")
        environment.board.leaving.write(True)
        if not self._has_adapter:
            self.gate.drain()
        environment.board.readiness.write(Readiness(False, "draining"))
        environment.membership.change_state(HostState.LEAVING)
        with trio.move_on_after(environment.settings.drain_limit_ms / 1_000):
            await self.distribution.announce_own_record()
            await trio.sleep(environment.settings.linger_ms / 1_000)
            # Where the platform tells nobody of the stop, work is taken until now.
            self.gate.drain()
            self.edge.stop_accepting()
            while not (self.gate.is_idle and self.entry.is_idle):
                await trio.sleep(0.02)
        environment.log.info("stopped")

    async def _reload_at_signal(self, hangups: t.AsyncIterator[int]) -> None:
        async for _ in hangups:
            self.environment.reload_settings("signal")

    async def _end_at_second(self, signals: t.AsyncIterator[int]) -> None:
        await anext(signals)
        self._nursery.cancel_scope.cancel()


def _reply(stream_id: int, event: ReplyEvent, gate: Gate) -> wire.Message:
    match event:
        case ReplyStart(status, headers, body, last, load):
            return wire.ReplyMessage(
                stream_id=stream_id,
                status=status,
                headers=[wire.Header(name, value) for name, value in headers],
                body=body,
                last=last,
                load=wire.load_to_message(load),
            )
        case ReplyChunk(data, last):
            return wire.ChunkMessage(stream_id, data, last)
        case ReplyRefused(kind, detail, load, home, fenced):
            return wire.RefusalMessage(
                stream_id=stream_id,
                kind=kind.value,
                detail=detail,
                load=wire.load_to_message(load or gate.load()),
                home=[wire.host_to_message(home)] if home is not None else [],
                fenced=fenced,
                retry_after_ms=event.retry_after_ms,
            )


async def run_node(
    settings: Settings, settings_file: pathlib.Path, writer: LineWriter
) -> None:
    """Runs one node until it is told to stop."""
    environment = Environment(settings, settings_file)
    environment.timers.every(
        LOG_PERIOD_MS, lambda now_ms: writer.write_pending(), first_ms=0
    )
    async with trio.open_nursery() as nursery:
        await Node(environment, nursery).run()
