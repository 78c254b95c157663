"""A fleet's serving decisions on a virtual clock, with seeds and faults.

The decisions are the library's own; this module only carries messages, keeps
time and models backend servers.
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
NEWS_DELAY_MS = 300.0
EPOCH_MS = 1_700_000_000_000.0
READING_MS = 50.0


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """What may be exchanged to compare policies.

    Attributes:
        router: makes the router of an entry.
        budget: makes a service's retry budget from its permille.
        ramp: whether workers are ramped after a cold start.
    """

    router: t.Callable[[str, str, random.Random], Router] = Router
    budget: t.Callable[[int], RetryBudget] = RetryBudget
    ramp: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerModel:
    """How backend servers behave.

    Attributes:
        cold_factor: service time of a cold worker over that of a warm one.
        warm_ms: time from cold to warm.
        falls_over: whether a cold worker crashes above what it can bear.
        restart_ms: time that a crashed worker is away.
    """

    cold_factor: float = 4.0
    warm_ms: float = 8_000
    falls_over: bool = True
    restart_ms: float = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """A service's hosts in one failure domain."""

    service: str
    domain: str
    region: str
    count: int


class World:
    """Nodes, callers and messages on one virtual clock.

    Args:
        config: directory of team files and the operators' file.
        places: the hosts.
        seed: seed of all random choices.
        policy: the policy under test.
        model: how backend servers behave.
        far_delay_ms: one-way delay between failure domains.
    """

    def __init__(
        self,
        config: str,
        places: t.Sequence[Place],
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
        self.stale: set[str] = set()
        self.cuts: set[frozenset[str]] = set()
        self.poison: set[str] = set()
        self._last_arrival_ms: dict[tuple[str, str], float] = {}
        self._operators = whole.operators
        self._team_files = [source.team_file for source in whole.sources]
        if not self.policy.ramp:
            self._team_files = [_without_ramp(item) for item in self._team_files]
        self._version = 0
        self._queue: list[tuple[float, int, t.Any, t.Any]] = []
        self._order = itertools.count()
        self._labels: collections.Counter[str] = collections.Counter()
        self.nodes: dict[str, Node] = {}
        for place in places:
            self._add_nodes(place)
        self._introduce()
        self.publish(news_delay_ms=0)
        self.at(READING_MS, self._read)

    @property
    def epoch_ms(self) -> float:
        """Virtual time since the epoch."""
        return EPOCH_MS + self.now_ms

    def note(self, event: events.Event) -> None:
        """Adds an event to the transcript."""
        self.transcript.append(event)

    def at(self, delay_ms: float, action: t.Any, *arguments: t.Any) -> None:
        """Calls an action after a delay."""
        entry = (self.now_ms + delay_ms, next(self._order), action, arguments)
        heapq.heappush(self._queue, entry)

    def run(self, until_ms: float) -> None:
        """Lets time pass."""
        while self._queue and self._queue[0][0] <= until_ms:
            self.now_ms, _, action, arguments = heapq.heappop(self._queue)
            action(*arguments)
        self.now_ms = until_ms

    def publish(self, news_delay_ms: float = NEWS_DELAY_MS, **states: str) -> None:
        """Publishes a version; nodes get it within ``news_delay_ms``.

        Args:
            news_delay_ms: latest arrival.
            **states: failure domain (``_`` for ``-``) to ``in`` or ``out``.
        """
        for name, word in states.items():
            domain, state = name.replace("_", "-"), DomainState(word)
            self._operators = _with_state(self._operators, domain, state)
            self.note(events.DomainSet(self.now_ms, domain, state))
        self._version += 1
        publication = publish(self._version, self._operators, self._team_files)
        for node in self.nodes.values():
            self.at(self.rng.uniform(0, news_delay_ms), self._give, node, publication)

    def limits(self, service: str) -> t.Any:
        """Returns the limits of a service's workers."""
        return next(i.limits for i in self._team_files if i.service == service)

    def carry(self, source: Node, target: Node, action: t.Any, *args: t.Any) -> bool:
        """Carries a message between nodes; False if no connection can be made."""
        if not target.up or self.is_cut(source, target):
            return False
        # A pair of nodes shares one connection, which keeps the order.
        pair = (source.record.name, target.record.name)
        arrival_ms = self.now_ms + self._delay_ms(source.record, target.record)
        arrival_ms = max(arrival_ms, self._last_arrival_ms.get(pair, 0.0))
        self._last_arrival_ms[pair] = arrival_ms
        self.at(arrival_ms - self.now_ms, self._arrive, source, target, action, args)
        return True

    def is_cut(self, source: Node, target: Node) -> bool:
        """Tells whether no message passes between two nodes."""
        pair = (source.record, target.record)
        names = frozenset(record.name for record in pair)
        domains = frozenset(record.domain for record in pair)
        return names in self.cuts or (len(domains) == 2 and domains in self.cuts)

    def ask(
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
        self._labels[path] += 1
        label = f"{path}#{self._labels[path]}"
        issued_ms = self.epoch_ms if key_epoch_ms is None else key_epoch_ms
        request = CallerRequest(
            label, method, path, key, issued_ms if key else 0.0, work_ms, chunks, on_end
        )
        self.note(events.Asked(self.now_ms, label, entry, path, key))
        self.at(CLIENT_DELAY_MS, self.nodes[entry].receive, request)
        return label

    def kill(self, name: str) -> None:
        """Ends a node and its worker at once."""
        self.note(events.Fault(self.now_ms, f"kill {name}"))
        self.nodes[name].kill()
        for node in self.nodes.values():
            self.at(self.far_delay_ms, node.peer_lost, name)

    def revive(self, name: str) -> None:
        """Starts a killed or stopped host anew, with nothing kept."""
        self.note(events.Fault(self.now_ms, f"revive {name}"))
        old = self.nodes[name].record
        record = msgspec.structs.replace(
            old, state=HostState.LIVE, incarnation=int(self.epoch_ms)
        )
        node = Node(self, record)
        known = [n.record for n in self.nodes.values() if n.record.name != name]
        self.nodes[name] = node
        for other in known:
            node.members.merge(other)
        self._give(node, publish(self._version, self._operators, self._team_files))
        node.join()

    def leave(self, name: str) -> None:
        """Begins a planned stop: drain, tell the others, then end."""
        self.note(events.HostLeaves(self.now_ms, name))
        self.nodes[name].leave()

    def tell_hosts(self, record: HostRecord, source: Node) -> None:
        """Carries news of a host to all nodes."""
        for node in self.nodes.values():
            if node is not source:
                self.carry(source, node, node.members.merge, record)

    def pause(self, name: str, length_ms: float) -> None:
        """Stops a node for a while; messages wait for it."""
        self.note(events.Fault(self.now_ms, f"pause {name}"))
        self.nodes[name].pause()
        self.at(length_ms, self.nodes[name].resume)

    def cut(self, first: str, second: str, length_ms: float) -> None:
        """Cuts two hosts or failure domains off from each other for a while."""
        self.note(events.Fault(self.now_ms, f"cut {first} {second}"))
        pair = frozenset((first, second))
        self.cuts.add(pair)
        self.at(length_ms, self.cuts.discard, pair)
        for node, other in itertools.permutations(self.nodes.values(), 2):
            if self.is_cut(node, other):
                self.at(CONNECT_TIMEOUT_MS, node.peer_lost, other.record.name)

    def turn_cold(self, name: str) -> None:
        """Makes a worker cold again without a sign."""
        self.note(events.Fault(self.now_ms, f"cold {name}"))
        self.nodes[name].worker.turn_cold()

    def hold_view(self, name: str, length_ms: float) -> None:
        """Keeps configuration versions from a node for a while."""
        self.note(events.Fault(self.now_ms, f"stale {name}"))
        self.stale.add(name)
        self.at(length_ms, self._release_view, name)

    def _release_view(self, name: str) -> None:
        self.stale.discard(name)
        publication = publish(self._version, self._operators, self._team_files)
        self._give(self.nodes[name], publication)

    def _add_nodes(self, place: Place) -> None:
        for index in range(place.count):
            name = f"{place.service}-{place.domain}-{index}"
            record = HostRecord(
                name=name,
                address=name,
                domain=place.domain,
                region=place.region,
                service=place.service,
                incarnation=int(self.epoch_ms) - 60_000,
            )
            self.nodes[name] = Node(self, record)

    def _introduce(self) -> None:
        for node, other in itertools.permutations(self.nodes.values(), 2):
            node.members.merge(other.record)
            node.acknowledged_by(other, self.epoch_ms - 50_000)

    def _give(self, node: Node, publication: Publication) -> None:
        if node.up and node.record.name not in self.stale:
            node.offer(publication)

    def _arrive(self, source: Node, target: Node, action: t.Any, args: t.Any) -> None:
        if not target.up or self.is_cut(source, target):
            return
        if target.paused:
            target.inbox.append((action, args))
        else:
            action(*args)

    def _delay_ms(self, first: HostRecord, second: HostRecord) -> float:
        if first.name == second.name:
            return 0.0
        same = first.domain == second.domain
        base_ms = NEAR_DELAY_MS if same else self.far_delay_ms
        return base_ms * self.rng.uniform(1.0, 1.2)

    def _read(self) -> None:
        for node in self.nodes.values():
            node.tick()
            node.read_waiting()
        self.at(READING_MS, self._read)


def _without_ramp(item: t.Any) -> t.Any:
    limits = msgspec.structs.replace(item.limits, ramp_ms=1)
    return msgspec.structs.replace(item, limits=limits)


def _with_state(operators: t.Any, name: str, state: DomainState) -> t.Any:
    domains = tuple(
        msgspec.structs.replace(d, state=state) if d.name == name else d
        for d in operators.failure_domains
    )
    return msgspec.structs.replace(operators, failure_domains=domains)
