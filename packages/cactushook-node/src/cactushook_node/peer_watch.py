"""Reports nodes that do not respond to peers, checks reports and probes such nodes."""

from cactushook import RequestError

from . import wire
from .environment import Environment
from .link_pool import LinkPool
from .links import Link
from .supervision import TaskStarter

REPORT_PERIOD_MS = 50
PROBE_PERIOD_MS = 700
# A node that is pinged because of a report must respond within this time.
ANSWER_TIMEOUT_MS = 200
# Maximum number of peers that get a report.
MAX_TOLD_PEERS = 64
MAX_REPORTED_ADDRESSES = 256
MAX_CONNECTING = 8


class PeerWatch:
    """Keeps the node's knowledge of silent peers up to date.

    Args:
        environment: the node's central object.
        links: connections to other nodes.
        tasks: runs the attempts to connect to silent nodes.
    """

    def __init__(
        self, environment: Environment, links: LinkPool, tasks: TaskStarter
    ) -> None:
        self._environment = environment
        self._links = links
        self._tasks = tasks
        self._connecting: set[str] = set()
        environment.timers.every(REPORT_PERIOD_MS, self._report_silent_peers)
        environment.timers.every(PROBE_PERIOD_MS, self._probe_silent_peers)

    def on_report(self, message: wire.Message) -> None:
        """Pings the nodes that a peer reported as silent, if they are in use here."""
        environment = self._environment
        now_ms = environment.now_ms()
        for address in message.addresses[:MAX_REPORTED_ADDRESSES]:
            if not environment.silent_peers.record_report(address, now_ms):
                continue
            link = self._links.find(address)
            if link is not None:
                self._check(link)

    def _check(self, link: Link) -> None:
        pinged_ms = self._environment.now_ms()

        def on_timeout(now_ms: float) -> None:
            if link.received_ms < pinged_ms and not link.closed:
                link.on_ping_unanswered()

        link.send_soon(wire.PingMessage(False))
        self._environment.timers.after(ANSWER_TIMEOUT_MS, on_timeout)

    def _probe_silent_peers(self, now_ms: float) -> None:
        environment = self._environment
        silent_peers = environment.silent_peers
        if not len(silent_peers):
            return
        listed = {host.address for host in environment.membership.hosts}
        for address in silent_peers.select_probes(listed, now_ms):
            self._probe(address)
        environment.metrics.silent_peers.set(len(silent_peers))

    def _report_silent_peers(self, now_ms: float) -> None:
        """Tells some of the peers that respond."""
        silent_peers = self._environment.silent_peers
        addresses = silent_peers.take_unreported()
        if not addresses:
            return
        links = [
            link
            for address, link in self._links.open_links()
            if not silent_peers.is_silent(address)
        ]
        count = min(len(links), MAX_TOLD_PEERS)
        message = wire.SilenceMessage(list(addresses))
        for link in self._environment.rng.sample(links, count):
            link.send_soon(message)

    def _probe(self, address: str) -> None:
        link = self._links.find(address)
        if link is not None:
            link.send_soon(wire.PingMessage(False))
        elif address not in self._connecting and len(self._connecting) < MAX_CONNECTING:
            self._connecting.add(address)
            self._tasks.start_soon(self._connect, address)

    async def _connect(self, address: str) -> None:
        try:
            await self._links.get(address)
        except RequestError as error:
            self._environment.log.debug(
                "peer_unreachable", address=address, reason=error.message
            )
        else:
            self._environment.mark_peer_responding(address)
        finally:
            self._connecting.discard(address)
