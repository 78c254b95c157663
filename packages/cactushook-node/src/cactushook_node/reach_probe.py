"""Measures which share of the listed hosts a node reaches."""

import trio
from cactushook import HostRecord
from cactushook import RequestError

from . import wire
from .environment import Environment
from .link_pool import LinkPool

MAX_PROBED = 64
ANSWER_TIMEOUT_S = 0.4


class ReachProbe:
    """Pings hosts, a random part of them in a large fleet.

    Args:
        environment: the node's central object.
        links: connections to other nodes.
    """

    def __init__(self, environment: Environment, links: LinkPool) -> None:
        self._environment = environment
        self._links = links
        self._reached_count = 0

    async def measure(self, hosts: list[HostRecord]) -> float:
        """Returns the share of hosts that respond, the node's own included.

        Args:
            hosts: the other live hosts.
        """
        if not hosts:
            return 1.0
        probed = self._environment.rng.sample(hosts, min(len(hosts), MAX_PROBED))
        self._reached_count = 0
        async with trio.open_nursery() as nursery:
            for host in probed:
                nursery.start_soon(self._probe, host.address)
        reached = self._reached_count / len(probed) * len(hosts)
        return (1 + reached) / (1 + len(hosts))

    async def _probe(self, address: str) -> None:
        try:
            link = await self._links.get(address)
        except RequestError as error:
            self._environment.log.debug(
                "peer_unreachable", address=address, reason=error.message
            )
            return
        pinged_ms = self._environment.now_ms()
        link.send_soon(wire.PingMessage(False))
        await trio.sleep(ANSWER_TIMEOUT_S)
        self._reached_count += link.received_ms >= pinged_ms
