"""Makes this host known to the earlier hosts of its service as a home of keys."""

import trio
from cactushook import HostState
from cactushook.homes import Acknowledgement

from . import wire
from .distribution import Distribution
from .environment import Environment
from .gate import Gate
from .links import Link

PERIOD_MS = 100


class JoinProtocol:
    """Asks for acknowledgements until none is lacking, and gives them.

    Args:
        environment: the node's central object.
        gate: learns of the acknowledgements.
        distribution: carries the messages.
        nursery: runs the sending.
    """

    def __init__(
        self,
        environment: Environment,
        gate: Gate,
        distribution: Distribution,
        nursery: trio.Nursery,
    ) -> None:
        self._environment = environment
        self._gate = gate
        self._distribution = distribution
        self._nursery = nursery
        self._asking: set[str] = set()
        environment.timers.every(PERIOD_MS, self._on_timer, first_ms=0)

    async def on_join(self, link: Link, message: wire.Message) -> None:
        """Takes a later host into the ranking and says so."""
        membership = self._environment.membership
        record = wire.host_from_message(message.host)
        membership.merge(record)
        known = membership.get(record.name)
        if known is None or known.state is not HostState.LIVE:
            return
        hosts = [h for h in membership.hosts if h.service == record.service]
        await link.send(
            wire.JoinedMessage(
                host=wire.host_to_message(membership.own),
                at_ms=int(self._gate.monotonic_epoch_ms()) + 1,
                hosts=[wire.host_to_message(host) for host in hosts],
            )
        )

    def on_joined(self, message: wire.Message) -> None:
        """Takes in an acknowledgement."""
        membership = self._environment.membership
        for entry in message.hosts:
            membership.merge(wire.host_from_message(entry))
        host = wire.host_from_message(message.host)
        membership.merge(host)
        word = Acknowledgement(host.name, host.incarnation, message.at_ms)
        self._gate.homes.record_acknowledgement(word)

    def _on_timer(self, now_ms: float) -> None:
        hosts = self._environment.membership.hosts
        for host in self._gate.homes.pending_acknowledgers(hosts):
            if host.address not in self._asking:
                self._asking.add(host.address)
                self._nursery.start_soon(self._ask, host.address)

    async def _ask(self, address: str) -> None:
        own = self._environment.membership.own
        try:
            message = wire.JoinMessage(wire.host_to_message(own))
            await self._distribution.send_to(address, message)
        finally:
            self._asking.discard(address)
