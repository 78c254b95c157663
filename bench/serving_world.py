"""Simulates a serving fleet on a virtual clock, with seeds and injected faults.

The library makes all serving decisions. The simulation delivers messages, keeps time
and models backend servers.
"""

import collections
import dataclasses
import heapq
import itertools
import pathlib
import random
import typing as t

import msgspec
from cactushook import DomainState
from cactushook import HostRecord
from cactushook import HostState
from cactushook import Publication
from cactushook import publish
from cactushook import RetryBudget
from cactushook import Router
from cactushook_cli import fleet_files

from . import serving_events as events
from .serving_node import CallerRequest
from .serving_node import Node

NEAR_DELAY_MS = 0.2
FAR_DELAY_MS = 1.0
CLIENT_DELAY_MS = 1.0
CONNECT_TIMEOUT_MS = 500.0
PUBLICATION_DELAY_MS = 300.0
EPOCH_MS = 1_700_000_000_000.0
TICK_PERIOD_MS = 50.0


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Replaceable decisions, for comparing policies.

    Attributes:
        router: creates the router of an entry.
        budget: creates a service's retry budget from its permille.
        ramp: whether workers are ramped after a cold start.
    """

    router: t.Callable[[str, str, random.Random], Router] = Router
    budget: t.Callable[[int], RetryBudget] = RetryBudget
    ramp: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerModel:
    """Parameters of the simulated backend servers.

    Attributes:
        cold_factor: ratio of a cold worker's service time to a warm worker's.
        warm_ms: time that a cold worker takes to become warm.
        crashes_on_overload: whether an overloaded worker crashes.
        restart_ms: time from a crash to the restart.
    """

    cold_factor: float = 4.0
    warm_ms: float = 8_000
    crashes_on_overload: bool = True
    restart_ms: float = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class HostGroup:
    """A service's hosts in one failure domain."""

    service: str
    domain: str
    region: str
    count: int


class World:
    """A simulated fleet of nodes on one virtual clock.

    Args:
        config: directory of team files and the operators' file.
        host_groups: the hosts to simulate.
        seed: seed of the world's and the nodes' random choices.
        policy: the policy under test.
        model: how backend servers behave.
        far_delay_ms: one-way delay between failure domains.
    """

    def __init__(
        self,
        config: str,
        host_groups: t.Sequence[HostGroup],
        seed: int,
        policy: Policy | None = None,
        model: WorkerModel | None = None,
        far_delay_ms: float = FAR_DELAY_MS,
    ) -> None:
        whole, faults = fleet_files.read_fleet([pathlib.Path(config)])
        assert not faults, faults
        self.policy = policy or Policy()
        self.model = model or WorkerModel()
        self.rng = random.Random(seed)
        self.now_ms = 0.0
        self.transcript: list[events.Event] = []
        self.far_delay_ms = far_delay_ms
        self.stale_nodes: set[str] = set()
        self.cuts: set[frozenset[str]] = set()
        self.poison_paths: set[str] = set()
        self._last_arrival_ms: dict[tuple[str, str], float] = {}
        self._operators = whole.operators
        self._team_files = [source.team_file for source in whole.sources]
        if not self.policy.ramp:
            self._team_files = [_without_ramp(item) for item in self._team_files]
        self._version = 0
        self._queue: list[tuple[float, int, t.Any, t.Any]] = []
        self._sequence = itertools.count()
        self._requests_by_path: collections.Counter[str] = collections.Counter()
        self.nodes: dict[str, Node] = {}
        for group in host_groups:
            self._add_nodes(group)
        self._register_peers()
        self.publish(max_delay_ms=0)
        self.schedule(TICK_PERIOD_MS, self._tick_nodes)

    @property
    def epoch_ms(self) -> float:
        """Virtual time since the epoch."""
        return EPOCH_MS + self.now_ms

    def record_event(self, event: events.Event) -> None:
        """Appends an event to the transcript."""
        self.transcript.append(event)

    def schedule(self, delay_ms: float, action: t.Any, *arguments: t.Any) -> None:
        """Schedules a call of an action after a delay."""
        entry = (self.now_ms + delay_ms, next(self._sequence), action, arguments)
        heapq.heappush(self._queue, entry)

    def run(self, until_ms: float) -> None:
        """Runs all scheduled actions up to a time."""
        while self._queue and self._queue[0][0] <= until_ms:
            self.now_ms, _, action, arguments = heapq.heappop(self._queue)
            action(*arguments)
        self.now_ms = until_ms

    def publish(
        self, max_delay_ms: float = PUBLICATION_DELAY_MS, **states: str
    ) -> None:
        """Publishes a version, which each node receives after a random delay.

        Args:
            max_delay_ms: longest delay.
            **states: new state of failure domains, ``in`` or ``out``; names are written
                with ``_`` for ``-``.
        """
        for name, word in states.items():
            domain, state = name.replace("_", "-"), DomainState(word)
            self._operators = _with_domain_state(self._operators, domain, state)
            self.record_event(events.DomainSet(self.now_ms, domain, state))
        self._version += 1
        publication = publish(self._version, self._operators, self._team_files)
        for node in self.nodes.values():
            self.schedule(
                self.rng.uniform(0, max_delay_ms),
                self._deliver_publication,
                node,
                publication,
            )

    def limits(self, service: str) -> t.Any:
        """Returns the limits of a service's workers."""
        return next(i.limits for i in self._team_files if i.service == service)

    def send_message(
        self, source: Node, target: Node, action: t.Any, *args: t.Any
    ) -> bool:
        """Schedules the delivery of a message between nodes.

        Returns False if the source cannot connect to the target.
        """
        if not target.is_up or self.is_cut(source, target):
            return False
        # Each pair of nodes has one connection, which preserves the order of messages.
        pair = (source.record.name, target.record.name)
        arrival_ms = self.now_ms + self._delay_ms(source.record, target.record)
        arrival_ms = max(arrival_ms, self._last_arrival_ms.get(pair, 0.0))
        self._last_arrival_ms[pair] = arrival_ms
        self.schedule(
            arrival_ms - self.now_ms,
            self._deliver_message,
            source,
            target,
            action,
            args,
        )
        return True

    def is_cut(self, source: Node, target: Node) -> bool:
        """Returns whether the link between two nodes is cut."""
        pair = (source.record, target.record)
        names = frozenset(record.name for record in pair)
        domains = frozenset(record.domain for record in pair)
        return names in self.cuts or (len(domains) == 2 and domains in self.cuts)

    def send_request(
        self,
        entry: str,
        path: str,
        work_ms: float,
        key: str = "",
        method: str = "GET",
        chunks: int = 1,
        key_epoch_ms: float | None = None,
        on_end: t.Callable[[events.Answered | events.Failed], None] | None = None,
    ) -> str:
        """Sends a caller's request to an entry and returns its label."""
        self._requests_by_path[path] += 1
        label = f"{path}#{self._requests_by_path[path]}"
        issued_ms = self.epoch_ms if key_epoch_ms is None else key_epoch_ms
        request = CallerRequest(
            label, method, path, key, issued_ms if key else 0.0, work_ms, chunks, on_end
        )
        self.record_event(events.RequestSent(self.now_ms, label, entry, path, key))
        self.schedule(CLIENT_DELAY_MS, self.nodes[entry].receive, request)
        return label

    def kill(self, name: str) -> None:
        """Ends a node and its worker without warning."""
        self.record_event(events.Fault(self.now_ms, f"kill {name}"))
        self.nodes[name].kill()
        for node in self.nodes.values():
            self.schedule(self.far_delay_ms, node.on_peer_lost, name)

    def revive(self, name: str) -> None:
        """Restarts a killed or stopped host without any earlier state."""
        self.record_event(events.Fault(self.now_ms, f"revive {name}"))
        old = self.nodes[name].record
        record = msgspec.structs.replace(
            old, state=HostState.LIVE, incarnation=int(self.epoch_ms)
        )
        node = Node(self, record)
        known = [n.record for n in self.nodes.values() if n.record.name != name]
        self.nodes[name] = node
        for other in known:
            node.membership.merge(other)
        self._deliver_publication(
            node, publish(self._version, self._operators, self._team_files)
        )
        node.join()

    def leave(self, name: str) -> None:
        """Begins a planned stop: the host drains, informs the other hosts and ends."""
        self.record_event(events.HostLeaves(self.now_ms, name))
        self.nodes[name].leave()

    def broadcast_host(self, record: HostRecord, source: Node) -> None:
        """Sends a host's record to all other nodes."""
        for node in self.nodes.values():
            if node is not source:
                self.send_message(source, node, node.membership.merge, record)

    def pause(self, name: str, length_ms: float) -> None:
        """Pauses a node; messages that arrive meanwhile wait."""
        self.record_event(events.Fault(self.now_ms, f"pause {name}"))
        self.nodes[name].pause()
        self.schedule(length_ms, self.nodes[name].resume)

    def cut(self, first: str, second: str, length_ms: float) -> None:
        """Cuts the links between two hosts or failure domains for a time."""
        self.record_event(events.Fault(self.now_ms, f"cut {first} {second}"))
        pair = frozenset((first, second))
        self.cuts.add(pair)
        self.schedule(length_ms, self.cuts.discard, pair)
        for node, other in itertools.permutations(self.nodes.values(), 2):
            if self.is_cut(node, other):
                self.schedule(CONNECT_TIMEOUT_MS, node.on_peer_lost, other.record.name)

    def turn_cold(self, name: str) -> None:
        """Makes a worker cold without notifying its gate."""
        self.record_event(events.Fault(self.now_ms, f"cold {name}"))
        self.nodes[name].worker.turn_cold()

    def hold_view(self, name: str, length_ms: float) -> None:
        """Withholds configuration versions from a node for a time."""
        self.record_event(events.Fault(self.now_ms, f"stale {name}"))
        self.stale_nodes.add(name)
        self.schedule(length_ms, self._release_view, name)

    def _release_view(self, name: str) -> None:
        self.stale_nodes.discard(name)
        publication = publish(self._version, self._operators, self._team_files)
        self._deliver_publication(self.nodes[name], publication)

    def _add_nodes(self, group: HostGroup) -> None:
        for index in range(group.count):
            name = f"{group.service}-{group.domain}-{index}"
            record = HostRecord(
                name=name,
                address=name,
                domain=group.domain,
                region=group.region,
                service=group.service,
                incarnation=int(self.epoch_ms) - 60_000,
            )
            self.nodes[name] = Node(self, record)

    def _register_peers(self) -> None:
        for node, other in itertools.permutations(self.nodes.values(), 2):
            node.membership.merge(other.record)
            node.record_acknowledgement(other, self.epoch_ms - 50_000)

    def _deliver_publication(self, node: Node, publication: Publication) -> None:
        if node.is_up and node.record.name not in self.stale_nodes:
            node.apply_publication(publication)

    def _deliver_message(
        self, source: Node, target: Node, action: t.Any, args: t.Any
    ) -> None:
        if not target.is_up or self.is_cut(source, target):
            return
        if target.is_paused:
            target.inbox.append((action, args))
        else:
            action(*args)

    def _delay_ms(self, first: HostRecord, second: HostRecord) -> float:
        if first.name == second.name:
            return 0.0
        same = first.domain == second.domain
        base_ms = NEAR_DELAY_MS if same else self.far_delay_ms
        return base_ms * self.rng.uniform(1.0, 1.2)

    def _tick_nodes(self) -> None:
        for node in self.nodes.values():
            node.tick()
            node.record_waiting()
        self.schedule(TICK_PERIOD_MS, self._tick_nodes)


def _without_ramp(team_file: t.Any) -> t.Any:
    limits = msgspec.structs.replace(team_file.limits, ramp_ms=1)
    return msgspec.structs.replace(team_file, limits=limits)


def _with_domain_state(operators: t.Any, name: str, state: DomainState) -> t.Any:
    domains = tuple(
        msgspec.structs.replace(d, state=state) if d.name == name else d
        for d in operators.failure_domains
    )
    return msgspec.structs.replace(operators, failure_domains=domains)
