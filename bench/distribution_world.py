"""Simulates many distributors in one process on a virtual clock, with seeded delays.

The nodes run the library's decision code. The world adds message delays, message loss,
network partitions, kills, pauses and a platform that counts its calls. The nodes share
equal views, snapshots and values, so that a fleet of 12,000 fits into memory.
"""

import dataclasses
import functools
import heapq
import itertools
import random
import typing as t

import msgspec
from cactushook import Distributor
from cactushook import HostRecord
from cactushook import HostState
from cactushook import Membership
from cactushook import messages
from cactushook import Publication
from cactushook import VersionStore
from cactushook.distributor import Periods
from cactushook.membership import ViewCache
from cactushook.readers import FleetHint
from cactushook.versions import Assembler
from cactushook.versions import AssemblyCache
from cactushook_node import wire

from .distribution_events import Answered
from .distribution_events import Delays
from .distribution_events import Deliver
from .distribution_events import Event
from .distribution_events import RunAction
from .distribution_events import Source
from .distribution_events import SourceMode
from .distribution_events import Unreachable
from .distribution_events import Wake
from .distribution_events import WatchExpired

SOURCE_TIMEOUT_MS = 2_000.0
CONNECT_TIMEOUT_MS = 500.0
WATCH_WAIT_MS = 20_000.0
STEP_MS = 1.0


@dataclasses.dataclass(slots=True)
class NodeState:
    """State of one simulated node.

    Attributes:
        record: the host's record in the platform's list.
        boot: number of the current start of the process; 0 while it does not run.
        paused_until_ms: end of the current or last pause.
        partition: index of the network partition that the node is in.
        applied: version and time of each version applied since the start.
        refused: refusals of versions since the start.
        greeted_boots: boot numbers of the nodes that it exchanged hellos with.
        wake_ms: time of the next scheduled tick; 0 if there is none.
    """

    record: HostRecord
    boot: int = 0
    paused_until_ms: float = 0.0
    partition: int = 0
    distributor: Distributor | None = None
    store: VersionStore | None = None
    membership: Membership | None = None
    applied: list[tuple[int, float]] = dataclasses.field(default_factory=list)
    refused: list[messages.RefuseVersion] = dataclasses.field(default_factory=list)
    greeted_boots: set[int] = dataclasses.field(default_factory=set)
    wake_ms: float = 0.0
    bytes_sent: int = 0
    bytes_received: int = 0
    messages_sent: int = 0

    @property
    def is_running(self) -> bool:
        """Whether the process exists, paused or not."""
        return self.boot > 0

    @property
    def version(self) -> int:
        """Version in force; 0 while the process does not run."""
        return self.store.head.version if self.store else 0


Observer: t.TypeAlias = t.Callable[[NodeState, messages.Action, float], None]


class World:
    """A simulated fleet on a virtual clock.

    Args:
        records: records of the hosts; none runs at first.
        seed: seed of all delays and of the nodes' random choices.
        delays: message delays and loss.
        periods: periods of the nodes' regular actions.
        hint: fleet size that the nodes assume.
        list_lag_ms: delay after which the platform's host list reflects a start or a
            kill.
        observer: called after each applied or refused version.
        assembler: builds a version from its bytes; by default the nodes share the
            results.
    """

    def __init__(
        self,
        records: t.Iterable[HostRecord],
        seed: int,
        delays: Delays = Delays(),  # noqa: B008
        periods: Periods = Periods(),  # noqa: B008
        hint: FleetHint = FleetHint(),  # noqa: B008
        list_lag_ms: float = 10_000,
        observer: Observer | None = None,
        assembler: Assembler | None = None,
    ) -> None:
        self.now_ms = 0.0
        self.source = Source()
        self.source_partitions = {0}
        self.nodes = {record.name: NodeState(record) for record in records}
        self._names_by_address = {
            s.record.address: name for name, s in self.nodes.items()
        }
        self._rng = random.Random(seed)
        self._delays = delays
        self._periods = periods
        self._hint = hint
        self._list_lag_ms = list_lag_ms
        self._observer = observer
        self._views = ViewCache()
        self._assembler = assembler or AssemblyCache()
        self._events: list[tuple[float, int, Event]] = []
        self._sequence = itertools.count()
        self._boot_numbers = itertools.count(1)
        self._watches: dict[str, WatchExpired] = {}

    # Actions of a scenario.

    def list_all_hosts(self) -> None:
        """Adds every host to the platform's host lists without the lag."""
        for state in self.nodes.values():
            self._add_to_host_list(state.record)

    def start(self, name: str, peers: t.Sequence[str] = ()) -> None:
        """Starts a node's process without any earlier state."""
        state = self.nodes[name]
        own = msgspec.structs.replace(
            state.record, incarnation=int(self.now_ms) + 1, state=HostState.LIVE
        )
        state.boot = next(self._boot_numbers)
        state.membership = Membership(own, self._views)
        state.store = VersionStore(self._assembler)
        state.distributor = Distributor(
            state.membership,
            state.store,
            peers,
            random.Random(self._rng.getrandbits(64)),
            self.now_ms,
            self._periods,
            self._hint,
        )
        state.applied, state.refused, state.greeted_boots = [], [], set()
        state.paused_until_ms = state.wake_ms = 0.0
        self._schedule_event(
            self._list_lag_ms, RunAction(lambda: self._add_to_host_list(state.record))
        )
        self._perform_actions(state, state.distributor.start(self.now_ms))
        self._schedule_wake(state)

    def kill(self, name: str) -> None:
        """Ends a node's process without warning."""
        state = self.nodes[name]
        state.boot = 0
        state.distributor = state.store = state.membership = None
        self._watches.pop(name, None)
        self._schedule_event(
            self._list_lag_ms, RunAction(lambda: self._remove_from_host_list(state))
        )

    def leave(self, name: str) -> None:
        """Makes a node announce that it is leaving; its process continues to run."""
        state = self.nodes[name]
        state.membership.change_state(HostState.LEAVING)
        self._perform_actions(state, state.distributor.announce_own_record(self.now_ms))

    def pause(self, name: str, length_ms: float) -> None:
        """Pauses a node's process for a time, as SIGSTOP does."""
        state = self.nodes[name]
        state.paused_until_ms = self.now_ms + length_ms
        self._schedule_event(
            length_ms, RunAction(lambda: self._resume(state, state.boot))
        )

    def split(
        self,
        partitions: t.Sequence[t.Container[str]],
        source_partitions: t.Iterable[int],
    ) -> None:
        """Splits the network and cuts all links between the partitions.

        Args:
            partitions: regions of each partition; a region in none is in partition 0.
            source_partitions: partitions that can reach the platform.
        """
        for state in self.nodes.values():
            found = (
                i for i, side in enumerate(partitions) if state.record.region in side
            )
            state.partition = next(found, 0)
        self.source_partitions = set(source_partitions)

    def heal(self) -> None:
        """Restores all links."""
        self.split([], [0])

    def publish(self, publication: Publication) -> None:
        """Publishes a version and, unless the platform is down, answers all watches."""
        self.source.publish(publication)
        if self.source.mode is SourceMode.DOWN:
            return
        for name, watch in list(self._watches.items()):
            del self._watches[name]
            self._answer(self.nodes[name], watch.call, publication.head)

    def schedule(self, delay_ms: float, action: t.Callable[[], None]) -> None:
        """Schedules a call of an action after a delay."""
        self._schedule_event(delay_ms, RunAction(action))

    def run_for(self, length_ms: float) -> None:
        """Runs all events within a length of time from now."""
        self.run_until(self.now_ms + length_ms)

    def run_until(self, end_ms: float) -> None:
        """Runs all events up to a time."""
        while self._events and self._events[0][0] <= end_ms:
            self.now_ms, _, event = heapq.heappop(self._events)
            self._handle(event)
        self.now_ms = end_ms

    def running_nodes(self) -> t.Iterator[NodeState]:
        """Yields the nodes whose process exists, paused or not."""
        return (state for state in self.nodes.values() if state.is_running)

    # Event handling.

    def _handle(self, event: Event) -> None:
        match event:
            case RunAction(action):
                action()
            case Deliver():
                self._deliver(event)
            case Wake(name, boot):
                state = self.nodes[name]
                if state.boot == boot and state.wake_ms <= self.now_ms:
                    self._run_on_node(state, event, self._tick)
            case Answered(name, boot, call, answer):
                state = self.nodes[name]
                if state.boot == boot:
                    action = functools.partial(self._handle_answer, call, answer)
                    self._run_on_node(state, event, action)
            case Unreachable(name, boot, address):
                state = self.nodes[name]
                if state.boot == boot:
                    actions = state.distributor.on_unreachable(address, self.now_ms)
                    self._perform_actions(state, actions)
            case WatchExpired(name):
                if self._watches.get(name) is event:
                    del self._watches[name]
                    self._answer(self.nodes[name], event.call, self.source.head)

    def _run_on_node(
        self,
        state: NodeState,
        event: Event,
        action: t.Callable[[NodeState], list[messages.Action]],
    ) -> None:
        if self.now_ms < state.paused_until_ms:
            delay_ms = state.paused_until_ms - self.now_ms + STEP_MS
            return self._schedule_event(delay_ms, event)
        self._perform_actions(state, action(state))
        return self._schedule_wake(state)

    def _tick(self, state: NodeState) -> list[messages.Action]:
        state.wake_ms = 0.0
        return state.distributor.tick(self.now_ms)

    def _resume(self, state: NodeState, boot: int) -> None:
        if state.boot == boot and state.is_running:
            self._perform_actions(state, state.distributor.on_pause(self.now_ms))
            self._schedule_wake(state)

    def _schedule_wake(self, state: NodeState) -> None:
        due_ms = max(self.now_ms + STEP_MS, state.distributor.next_due_ms)
        if state.wake_ms and state.wake_ms <= due_ms:
            return
        state.wake_ms = due_ms
        self._schedule_event(due_ms - self.now_ms, Wake(state.record.name, state.boot))

    def _perform_actions(
        self, state: NodeState, actions: t.Iterable[messages.Action]
    ) -> None:
        for action in actions:
            match action:
                case messages.Send(address, message):
                    self._send(state, address, message)
                case messages.ApplySnapshot(snapshot):
                    state.applied.append((snapshot.head.version, self.now_ms))
                    self._observe(state, action)
                case messages.RefuseVersion():
                    state.refused.append(action)
                    self._observe(state, action)
                case _:
                    self._call_source(state, action)

    def _observe(self, state: NodeState, action: messages.Action) -> None:
        if self._observer is not None:
            self._observer(state, action, self.now_ms)

    def _send(
        self, state: NodeState, address: str, message: messages.ControlMessage
    ) -> None:
        receiver = self.nodes.get(self._names_by_address.get(address, ""))
        if receiver is None or not receiver.is_running:
            return self._fail_to_connect(state, address, 2 * STEP_MS)
        if receiver.partition != state.partition:
            return self._fail_to_connect(state, address, CONNECT_TIMEOUT_MS)
        delay_ms = self._delay_ms(state.record, receiver.record)
        if receiver.boot not in state.greeted_boots:
            self._exchange_hellos(state, receiver, delay_ms)
        return self._transmit(state, receiver, message, delay_ms)

    def _fail_to_connect(self, state: NodeState, address: str, delay_ms: float) -> None:
        self._schedule_event(
            delay_ms, Unreachable(state.record.name, state.boot, address)
        )

    def _exchange_hellos(
        self, state: NodeState, receiver: NodeState, delay_ms: float
    ) -> None:
        state.greeted_boots.add(receiver.boot)
        receiver.greeted_boots.add(state.boot)
        self._transmit(state, receiver, state.distributor.hello(), delay_ms)
        self._transmit(receiver, state, receiver.distributor.hello(), delay_ms)

    def _transmit(
        self,
        state: NodeState,
        receiver: NodeState,
        message: messages.ControlMessage,
        delay_ms: float,
    ) -> None:
        state.bytes_sent += frame_size_bytes(message)
        state.messages_sent += 1
        if self._delays.loss and self._rng.random() < self._delays.loss:
            return
        event = Deliver(state.record.name, receiver.record.name, message)
        self._schedule_event(delay_ms, event)

    def _deliver(self, event: Deliver) -> None:
        sender, state = self.nodes[event.sender], self.nodes[event.receiver]
        if not state.is_running or state.partition != sender.partition:
            return
        state.bytes_received += frame_size_bytes(event.message)
        action = functools.partial(self._handle_message, sender, event.message)
        self._run_on_node(state, event, action)

    def _handle_message(
        self, sender: NodeState, message: messages.ControlMessage, state: NodeState
    ) -> list[messages.Action]:
        address = sender.record.address
        return state.distributor.on_message(address, message, self.now_ms)

    def _call_source(self, state: NodeState, call: messages.SourceCall) -> None:
        reachable = state.partition in self.source_partitions
        if reachable:
            cost = len(call.digests) if isinstance(call, messages.ReadValues) else 1
            self.source.record_calls(self.now_ms, cost)
        if not reachable or self.source.mode is SourceMode.DOWN:
            return self._fail_call(state, call)
        match call:
            case messages.WatchHead(after_version):
                if self.source.head.version > after_version:
                    return self._answer(state, call, self.source.head)
                return self._watch(state, call)
            case messages.ReadValues(_, digests):
                return self._answer(state, call, self.source.read_values(digests))
            case messages.ReadHosts(domain):
                hosts = tuple(self.source.host_lists.get(domain, {}).values())
                return self._answer(state, call, hosts)
            case messages.ReadDomains():
                return self._answer(state, call, tuple(self.source.host_lists))
        t.assert_never(call)

    def _fail_call(self, state: NodeState, call: messages.SourceCall) -> None:
        answered = Answered(state.record.name, state.boot, call, None)
        self._schedule_event(SOURCE_TIMEOUT_MS, answered)

    def _watch(self, state: NodeState, call: messages.WatchHead) -> None:
        watch = WatchExpired(state.record.name, state.boot, call)
        self._watches[state.record.name] = watch
        self._schedule_event(WATCH_WAIT_MS, watch)

    def _answer(
        self, state: NodeState, call: messages.SourceCall, answer: t.Any
    ) -> None:
        delay_ms = 2 * self._rng.uniform(*self._delays.source_ms)
        name = state.record.name
        self._schedule_event(delay_ms, Answered(name, state.boot, call, answer))

    def _handle_answer(
        self, call: messages.SourceCall, answer: t.Any, state: NodeState
    ) -> list[messages.Action]:
        distributor, now_ms = state.distributor, self.now_ms
        if answer is None:
            return distributor.on_source_failed(call, now_ms)
        match call:
            case messages.WatchHead():
                return distributor.on_head(answer, now_ms)
            case messages.ReadValues(head):
                return distributor.on_values(head, answer, now_ms)
            case messages.ReadHosts(domain):
                return distributor.on_hosts(domain, answer, now_ms)
            case messages.ReadDomains():
                return distributor.on_domains(answer, now_ms)
        t.assert_never(call)

    def _add_to_host_list(self, record: HostRecord) -> None:
        self.source.host_lists.setdefault(record.domain, {})[record.name] = record

    def _remove_from_host_list(self, state: NodeState) -> None:
        if not state.is_running:
            self.source.host_lists.get(state.record.domain, {}).pop(
                state.record.name, None
            )

    def _delay_ms(self, one: HostRecord, other: HostRecord) -> float:
        if one.domain == other.domain:
            return self._rng.uniform(*self._delays.domain_ms)
        if one.region == other.region:
            return self._rng.uniform(*self._delays.region_ms)
        return self._rng.uniform(*self._delays.cross_region_ms)

    def _schedule_event(self, delay_ms: float, event: Event) -> None:
        entry = (self.now_ms + delay_ms, next(self._sequence), event)
        heapq.heappush(self._events, entry)


@functools.lru_cache(maxsize=8_192)
def frame_size_bytes(message: messages.ControlMessage) -> int:
    """Returns the length of the frame that carries a message between nodes."""
    return len(wire.encode(wire.control_to_message(message)))


def make_hosts(
    regions: int, domains: int, hosts: int, services: int
) -> list[HostRecord]:
    """Returns hosts spread evenly over failure domains, and domains over regions."""
    records = []
    for index in range(hosts):
        domain = index % domains
        records.append(
            HostRecord(
                name=f"h{index:05d}",
                address=f"10.{index >> 16}.{index >> 8 & 255}.{index & 255}:7000",
                domain=f"d{domain:02d}",
                region=f"r{domain % regions}",
                service=f"s{index % services:03d}",
            )
        )
    return records
