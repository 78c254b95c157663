"""Exchanges reports of crashes with the other gates of the service."""

import typing as t

from cactushook import CrashReport
from cactushook import HostState
from cactushook import Pause
from cactushook import RequestError
from cactushook.calls import Listing
from cactushook.crash_inquiry import MAX_ASKED_PEERS

from . import wire
from .crash_messages import crash_from_message
from .crash_messages import crash_to_message
from .environment import Environment
from .gate import Gate
from .link_pool import LinkPool
from .links import Link
from .supervision import TaskStarter

# A gate that refuses requests for their crashes tells a random peer this often.
SHARE_PERIOD_MS = 5_000
PEER_CHECK_PERIOD_MS = 100
# Tasks that tell peers of one crash; each waits for one peer at a time.
MAX_SENDERS = 8
MAX_RECEIVED_REPORTS = 256


class Sender(t.Protocol):
    """Sends control messages to other nodes."""

    async def send_to(self, address: str, message: wire.Message) -> None:
        """Sends a message to a node if it can be reached."""


class CrashReports:
    """Tells the other gates of the service about crashes, and asks them.

    A report may be lost: its receiver was not running, was not listed, was out of reach
    or ran another service. Therefore, a gate asks its peers whenever its backend server
    starts or is listed again, and after a pause of the process. While it refuses
    requests for their crashes, it tells each peer to which a connection starts, and a
    random one now and then.

    Args:
        environment: the node's central object.
        gate: holds the reports.
        links: connections to other nodes.
        sender: sends control messages.
        tasks: runs the sending tasks.
    """

    def __init__(
        self,
        environment: Environment,
        gate: Gate,
        links: LinkPool,
        sender: Sender,
        tasks: TaskStarter,
    ) -> None:
        self._environment = environment
        self._gate = gate
        self._links = links
        self._sender = sender
        self._tasks = tasks
        self._listed_start: tuple[str, int] | None = None
        self._has_asked = False
        gate.add_crash_listener(self._on_crash)
        environment.timers.every(SHARE_PERIOD_MS, self._share)
        environment.board.listing.watch(self._on_listing)
        environment.timers.on_pause(self._on_pause)
        if environment.settings.adapter is None:
            environment.timers.every(
                PEER_CHECK_PERIOD_MS, self._ask_first_peers, first_ms=0
            )

    def on_hello(self, link: Link, hello: wire.Message) -> None:
        """Tells a peer of the service what this gate knows when a connection starts."""
        now_ms = self._environment.now_ms()
        reports = self._gate.crashes.refused_reports(now_ms)
        if reports and hello.host.service_name == self._gate.service:
            link.send_soon(self._list_message(reports, now_ms))

    def on_message(self, link: Link, message: wire.Message) -> None:
        """Handles a message of another gate."""
        match message:
            case wire.CrashMessage():
                self._record([message], "report")
            case wire.CrashPullMessage():
                link.send_soon(self._answer(message.service_name))
            case wire.CrashListMessage():
                self._record(message.crashes[:MAX_RECEIVED_REPORTS], "list")
                address = link.peer_hello.host.address if link.peer_hello else ""
                self._gate.crash_inquiry.on_answer(address, message.complete)

    def _record(self, messages: t.Iterable[wire.Message], origin: str) -> None:
        environment = self._environment
        now_ms = environment.now_ms()
        reports = map(crash_from_message, messages)
        count = sum(self._gate.crashes.record_crash(r, now_ms) for r in reports)
        if count:
            environment.metrics.crashes_learned.labels(origin).inc(count)
            environment.log.info("crashes_learned", count=count, origin=origin)

    def _answer(self, service: str) -> wire.Message:
        """Returns the answer to a gate of a service that asks for crashes."""
        if service != self._gate.service:
            return wire.CrashListMessage(complete=False)
        now_ms = self._environment.now_ms()
        return self._list_message(self._gate.crashes.known_reports(now_ms), now_ms)

    def _list_message(
        self, reports: t.Iterable[CrashReport], now_ms: float
    ) -> wire.Message:
        return wire.CrashListMessage(
            crashes=[crash_to_message(report) for report in reports],
            complete=not self._gate.crash_inquiry.is_waiting(now_ms),
        )

    def _on_listing(self, listing: Listing | None) -> None:
        start = None if listing is None else (listing.instance, listing.started_ms)
        if start == self._listed_start:
            return
        self._listed_start = start
        if start is not None:
            self._ask(self._peer_addresses())

    def _on_pause(self, pause: Pause) -> None:
        self._ask(self._peer_addresses())

    def _ask_first_peers(self, now_ms: float) -> None:
        """Asks the first peers that a node without an adapter comes to know."""
        if self._has_asked:
            return
        addresses = self._peer_addresses()
        if addresses:
            self._has_asked = True
            self._ask(addresses)

    def _ask(self, addresses: t.Sequence[str]) -> None:
        environment = self._environment
        count = min(len(addresses), MAX_ASKED_PEERS)
        asked = environment.rng.sample(addresses, count)
        self._gate.crash_inquiry.start(asked, environment.now_ms())
        message = wire.CrashPullMessage(self._gate.service)
        for address in asked:
            self._tasks.start_soon(self._ask_peer, address, message)

    async def _ask_peer(self, address: str, message: wire.Message) -> None:
        try:
            link = await self._links.get(address)
        except RequestError as error:
            self._environment.log.debug(
                "peer_unreachable", address=address, reason=error.message
            )
            self._gate.crash_inquiry.on_unreachable(address)
            return
        await link.send(message)

    def _share(self, now_ms: float) -> None:
        reports = self._gate.crashes.refused_reports(now_ms)
        addresses = self._peer_addresses() if reports else []
        if not addresses:
            return
        address = self._environment.rng.choice(addresses)
        message = self._list_message(reports, now_ms)
        self._tasks.start_soon(self._sender.send_to, address, message)

    def _on_crash(self, report: CrashReport) -> None:
        self._environment.log.warning(
            "request_crashed_worker",
            fingerprint=report.fingerprint,
            variant=report.variant,
        )
        message = crash_to_message(report)
        addresses = self._peer_addresses()
        for index in range(min(len(addresses), MAX_SENDERS)):
            self._tasks.start_soon(
                self._send_to_all, addresses[index::MAX_SENDERS], message
            )

    async def _send_to_all(
        self, addresses: t.Iterable[str], message: wire.Message
    ) -> None:
        for address in addresses:
            await self._sender.send_to(address, message)

    def _peer_addresses(self) -> list[str]:
        membership = self._environment.membership
        return [
            host.address
            for host in membership.hosts_of_service(self._gate.service)
            if host.state is not HostState.GONE
            and host.address != membership.own.address
        ]


__all__ = ["CrashReports"]
