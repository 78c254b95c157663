"""Announces this host as a home of keys to the earlier hosts of its service."""

from cactushook import HostState
from cactushook.homes import Acknowledgement

from . import wire
from .distribution import Distribution
from .environment import Environment
from .gate import Gate
from .links import Link
from .supervision import TaskStarter

JOIN_PERIOD_MS = 100


class JoinProtocol:
    """Requests acknowledgements until none is pending, and answers such requests.

    Args:
        environment: the node's central object.
        gate: records the acknowledgements.
        distribution: sends the messages.
        tasks: runs the sending tasks.
    """

    def __init__(
        self,
        environment: Environment,
        gate: Gate,
        distribution: Distribution,
        tasks: TaskStarter,
    ) -> None:
        self._environment = environment
        self._gate = gate
        self._distribution = distribution
        self._tasks = tasks
        self._pending_addresses: set[str] = set()
        environment.timers.every(JOIN_PERIOD_MS, self._on_timer, first_ms=0)

    async def on_join(self, link: Link, message: wire.Message) -> None:
        """Records a host that joined later and acknowledges it."""
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
        """Records an acknowledgement."""
        membership = self._environment.membership
        for entry in message.hosts:
            membership.merge(wire.host_from_message(entry))
        host = wire.host_from_message(message.host)
        membership.merge(host)
        acknowledgement = Acknowledgement(host.name, host.incarnation, message.at_ms)
        self._gate.homes.record_acknowledgement(acknowledgement)

    def _on_timer(self, now_ms: float) -> None:
        hosts = self._environment.membership.hosts
        for host in self._gate.homes.pending_acknowledgers(hosts):
            if host.address not in self._pending_addresses:
                self._pending_addresses.add(host.address)
                self._tasks.start_soon(self._send_join, host.address)

    async def _send_join(self, address: str) -> None:
        own = self._environment.membership.own
        try:
            message = wire.JoinMessage(wire.host_to_message(own))
            await self._distribution.send_to(address, message)
        finally:
            self._pending_addresses.discard(address)
