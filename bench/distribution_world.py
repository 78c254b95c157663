"""Many distributors in one process, on a virtual clock with seeded delays.

The decision code is the nodes' own. The world adds message delays, loss, cuts,
kills and pauses, and a platform that counts its calls. Equal views, snapshots and
values are shared between nodes, so that a fleet of 12,000 fits into memory.
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
from .distribution_events import Run
from .distribution_events import Source
from .distribution_events import SourceMode
from .distribution_events import Unreachable
from .distribution_events import Wake
from .distribution_events import WatchEnds

SOURCE_TIMEOUT_MS = 2_000.0
CONNECT_TIMEOUT_MS = 500.0
WATCH_WAIT_MS = 20_000.0
STEP_MS = 1.0


@dataclasses.dataclass(slots=True)
class NodeState:
    """One node of the world.

    Attributes:
        record: as the platform lists it.
        boot: number of its start; 0 while it does not run.
        paused_until_ms: nothing runs at it before then.
        applied: version and time of each one put in force since its start.
    """

    record: HostRecord
    boot: int = 0
    paused_until_ms: float = 0.0
    island: int = 0
    distributor: Distributor | None = None
    store: VersionStore | None = None
    membership: Membership | None = None
    applied: list[tuple[int, float]] = dataclasses.field(default_factory=list)
    refused: list[messages.RefuseVersion] = dataclasses.field(default_factory=list)
    greeted: set[int] = dataclasses.field(default_factory=set)
    wake_ms: float = 0.0
    bytes_sent: int = 0
    bytes_received: int = 0
    messages_sent: int = 0

    @property
    def running(self) -> bool:
        """Whether the process exists, paused or not."""
        return self.boot > 0

    @property
    def version(self) -> int:
        """Version in force, 0 while it does not run."""
        return self.store.head.version if self.store else 0


Observer: t.TypeAlias = t.Callable[[NodeState, messages.Action, float], None]


class World:
    """A fleet on a virtual clock.

    Args:
        records: the hosts; none runs at first.
        seed: seed of all delays and of the nodes' random choices.
        delays: delays and loss.
        periods: times between a node's own actions.
        hint: fleet size that nodes assume.
        list_lag_ms: how late the platform's host list follows starts and kills.
        observer: called after each action that is no message or call.
        assembler: builds a version from its bytes; shares results by default.
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
        self.source_islands = {0}
        self.nodes = {record.name: NodeState(record) for record in records}
        self._names = {s.record.address: name for name, s in self.nodes.items()}
        self._rng = random.Random(seed)
        self._delays = delays
        self._periods = periods
        self._hint = hint
        self._list_lag_ms = list_lag_ms
        self._observer = observer
        self._views = ViewCache()
        self._assembler = assembler or AssemblyCache()
        self._events: list[tuple[float, int, Event]] = []
        self._order = itertools.count()
        self._boots = itertools.count(1)
        self._watches: dict[str, WatchEnds] = {}

    # What a scenario does.

    def list_hosts(self) -> None:
        """Puts every host into the platform's lists at once."""
        for state in self.nodes.values():
            self._list(state.record)

    def start(self, name: str, peers: t.Sequence[str] = ()) -> None:
        """Starts a node's process, with no memory of an earlier one."""
        state = self.nodes[name]
        own = msgspec.structs.replace(
            state.record, incarnation=int(self.now_ms) + 1, state=HostState.LIVE
        )
        state.boot = next(self._boots)
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
        state.applied, state.refused, state.greeted = [], [], set()
        state.paused_until_ms = state.wake_ms = 0.0
        self._later(self._list_lag_ms, Run(lambda: self._list(state.record)))
        self._carry_out(state, state.distributor.start(self.now_ms))
        self._plan_wake(state)

    def kill(self, name: str) -> None:
        """Ends a node's process without warning."""
        state = self.nodes[name]
        state.boot = 0
        state.distributor = state.store = state.membership = None
        self._watches.pop(name, None)
        self._later(self._list_lag_ms, Run(lambda: self._unlist(state)))

    def leave(self, name: str) -> None:
        """Lets a node announce that it is leaving; it goes on running."""
        state = self.nodes[name]
        state.membership.change_state(HostState.LEAVING)
        self._carry_out(state, state.distributor.announce_own_record(self.now_ms))

    def pause(self, name: str, length_ms: float) -> None:
        """Stops a node's process for a while, as SIGSTOP does."""
        state = self.nodes[name]
        state.paused_until_ms = self.now_ms + length_ms
        self._later(length_ms, Run(lambda: self._resume(state, state.boot)))

    def split(
        self, islands: t.Sequence[t.Container[str]], source_islands: t.Iterable[int]
    ) -> None:
        """Cuts all links between islands of regions.

        Args:
            islands: regions on each side; a region in none is on island 0.
            source_islands: sides that reach the platform.
        """
        for state in self.nodes.values():
            found = (i for i, side in enumerate(islands) if state.record.region in side)
            state.island = next(found, 0)
        self.source_islands = set(source_islands)

    def heal(self) -> None:
        """Mends all links."""
        self.split([], [0])

    def publish(self, publication: Publication) -> None:
        """Publishes a version; waiting watches are answered."""
        self.source.publish(publication)
        if self.source.mode is SourceMode.DOWN:
            return
        for name, watch in list(self._watches.items()):
            del self._watches[name]
            self._answer(self.nodes[name], watch.call, publication.head)

    def after(self, delay_ms: float, action: t.Callable[[], None]) -> None:
        """Plans something."""
        self._later(delay_ms, Run(action))

    def run_for(self, length_ms: float) -> None:
        """Runs all events of a length of time."""
        self.run_until(self.now_ms + length_ms)

    def run_until(self, end_ms: float) -> None:
        """Runs all events up to a time."""
        while self._events and self._events[0][0] <= end_ms:
            self.now_ms, _, event = heapq.heappop(self._events)
            self._handle(event)
        self.now_ms = end_ms

    def running(self) -> t.Iterator[NodeState]:
        """Yields the nodes whose process exists."""
        return (state for state in self.nodes.values() if state.running)

    # What the world does.

    def _handle(self, event: Event) -> None:
        match event:
            case Run(action):
                action()
            case Deliver():
                self._deliver(event)
            case Wake(name, boot):
                state = self.nodes[name]
                if state.boot == boot and state.wake_ms <= self.now_ms:
                    self._on_node(state, event, self._tick)
            case Answered(name, boot, call, answer):
                state = self.nodes[name]
                if state.boot == boot:
                    action = functools.partial(self._take_answer, call, answer)
                    self._on_node(state, event, action)
            case Unreachable(name, boot, address):
                state = self.nodes[name]
                if state.boot == boot:
                    actions = state.distributor.on_unreachable(address, self.now_ms)
                    self._carry_out(state, actions)
            case WatchEnds(name):
                if self._watches.get(name) is event:
                    del self._watches[name]
                    self._answer(self.nodes[name], event.call, self.source.head)

    def _on_node(
        self,
        state: NodeState,
        event: Event,
        action: t.Callable[[NodeState], list[messages.Action]],
    ) -> None:
        if self.now_ms < state.paused_until_ms:
            delay_ms = state.paused_until_ms - self.now_ms + STEP_MS
            return self._later(delay_ms, event)
        self._carry_out(state, action(state))
        return self._plan_wake(state)

    def _tick(self, state: NodeState) -> list[messages.Action]:
        state.wake_ms = 0.0
        return state.distributor.tick(self.now_ms)

    def _resume(self, state: NodeState, boot: int) -> None:
        if state.boot == boot and state.running:
            self._carry_out(state, state.distributor.on_pause(self.now_ms))
            self._plan_wake(state)

    def _plan_wake(self, state: NodeState) -> None:
        due_ms = max(self.now_ms + STEP_MS, state.distributor.next_due_ms)
        if state.wake_ms and state.wake_ms <= due_ms:
            return
        state.wake_ms = due_ms
        self._later(due_ms - self.now_ms, Wake(state.record.name, state.boot))

    def _carry_out(
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
                    self._call(state, action)

    def _observe(self, state: NodeState, action: messages.Action) -> None:
        if self._observer is not None:
            self._observer(state, action, self.now_ms)

    def _send(
        self, state: NodeState, address: str, message: messages.ControlMessage
    ) -> None:
        receiver = self.nodes.get(self._names.get(address, ""))
        if receiver is None or not receiver.running:
            return self._fail_to_connect(state, address, 2 * STEP_MS)
        if receiver.island != state.island:
            return self._fail_to_connect(state, address, CONNECT_TIMEOUT_MS)
        delay_ms = self._delay_ms(state.record, receiver.record)
        if receiver.boot not in state.greeted:
            self._greet(state, receiver, delay_ms)
        return self._transmit(state, receiver, message, delay_ms)

    def _fail_to_connect(self, state: NodeState, address: str, delay_ms: float) -> None:
        self._later(delay_ms, Unreachable(state.record.name, state.boot, address))

    def _greet(self, state: NodeState, receiver: NodeState, delay_ms: float) -> None:
        state.greeted.add(receiver.boot)
        receiver.greeted.add(state.boot)
        self._transmit(state, receiver, state.distributor.hello(), delay_ms)
        self._transmit(receiver, state, receiver.distributor.hello(), delay_ms)

    def _transmit(
        self,
        state: NodeState,
        receiver: NodeState,
        message: messages.ControlMessage,
        delay_ms: float,
    ) -> None:
        state.bytes_sent += size_bytes(message)
        state.messages_sent += 1
        if self._delays.loss and self._rng.random() < self._delays.loss:
            return
        event = Deliver(state.record.name, receiver.record.name, message)
        self._later(delay_ms, event)

    def _deliver(self, event: Deliver) -> None:
        sender, state = self.nodes[event.sender], self.nodes[event.receiver]
        if not state.running or state.island != sender.island:
            return
        state.bytes_received += size_bytes(event.message)
        action = functools.partial(self._take_message, sender, event.message)
        self._on_node(state, event, action)

    def _take_message(
        self, sender: NodeState, message: messages.ControlMessage, state: NodeState
    ) -> list[messages.Action]:
        address = sender.record.address
        return state.distributor.on_message(address, message, self.now_ms)

    def _call(self, state: NodeState, call: messages.SourceCall) -> None:
        reachable = state.island in self.source_islands
        if reachable:
            cost = len(call.digests) if isinstance(call, messages.ReadValues) else 1
            self.source.count(self.now_ms, cost)
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
                hosts = tuple(self.source.lists.get(domain, {}).values())
                return self._answer(state, call, hosts)
            case messages.ReadDomains():
                return self._answer(state, call, tuple(self.source.lists))
        t.assert_never(call)

    def _fail_call(self, state: NodeState, call: messages.SourceCall) -> None:
        answered = Answered(state.record.name, state.boot, call, None)
        self._later(SOURCE_TIMEOUT_MS, answered)

    def _watch(self, state: NodeState, call: messages.WatchHead) -> None:
        watch = WatchEnds(state.record.name, state.boot, call)
        self._watches[state.record.name] = watch
        self._later(WATCH_WAIT_MS, watch)

    def _answer(
        self, state: NodeState, call: messages.SourceCall, answer: t.Any
    ) -> None:
        delay_ms = 2 * self._rng.uniform(*self._delays.source_ms)
        name = state.record.name
        self._later(delay_ms, Answered(name, state.boot, call, answer))

    def _take_answer(
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

    def _list(self, record: HostRecord) -> None:
        self.source.lists.setdefault(record.domain, {})[record.name] = record

    def _unlist(self, state: NodeState) -> None:
        if not state.running:
            self.source.lists.get(state.record.domain, {}).pop(state.record.name, None)

    def _delay_ms(self, one: HostRecord, other: HostRecord) -> float:
        if one.domain == other.domain:
            return self._rng.uniform(*self._delays.domain_ms)
        if one.region == other.region:
            return self._rng.uniform(*self._delays.region_ms)
        return self._rng.uniform(*self._delays.across_ms)

    def _later(self, delay_ms: float, event: Event) -> None:
        entry = (self.now_ms + delay_ms, next(self._order), event)
        heapq.heappush(self._events, entry)


@functools.lru_cache(maxsize=8_192)
def size_bytes(message: messages.ControlMessage) -> int:
    """Returns the length of a message's frame between nodes."""
    return len(wire.encode(wire.control_to_message(message)))


def make_hosts(
    regions: int, domains: int, hosts: int, services: int
) -> list[HostRecord]:
    """Returns hosts spread evenly over failure domains, and these over regions."""
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
