"""One simulated node: entry, gate and backend server around the real decisions."""

import dataclasses
import itertools
import random
import typing as t

from cactushook import Admitted
from cactushook import CactushookError
from cactushook import Call
from cactushook import CrashReport
from cactushook import ErrorKind
from cactushook import HostRecord
from cactushook import HostState
from cactushook import Membership
from cactushook import Publication
from cactushook import Refusal
from cactushook import Refused
from cactushook import RouteClass
from cactushook import TimerService
from cactushook import VersionStore
from cactushook.dispatch import dispatch
from cactushook.dispatch import Refuse
from cactushook.dispatch import RoutingView
from cactushook.dispatch import SendTo
from cactushook.dispatch import Step
from cactushook.gatekeeping import Answered
from cactushook.gatekeeping import DuplicateInFlight
from cactushook.gatekeeping import Failed
from cactushook.gatekeeping import Gatekeeper
from cactushook.gatekeeping import Replayed
from cactushook.homes import Acknowledgement
from cactushook.homes import LINGER_MS
from cactushook.key_table import StoredAnswer

from . import serving_events as events
from .serving_worker import Worker

if t.TYPE_CHECKING:
    from .serving_world import World

REFRESH_MS = 120.0
SILENT_MS = 1_500.0
JOIN_RETRY_MS = 200.0
CHUNK_GAP_MS = 20.0
DRAIN_READING_MS = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """What a caller sends; ``on_end`` hears the outcome."""

    label: str
    method: str
    path: str
    key: str
    key_issued_ms: float
    work_ms: float
    chunks: int = 1
    on_end: t.Callable[[t.Any], None] | None = None


@dataclasses.dataclass(slots=True)
class Pending:
    """A request that an entry serves."""

    request: CallerRequest
    decisions: t.Any
    host: str = ""
    stream: int = 0
    chunks: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """Where a gate sends an answer."""

    entry: "Node"
    stream: int
    request: CallerRequest


class Node:
    """One host of the world.

    Args:
        world: carries messages and keeps time.
        record: the host.
    """

    def __init__(self, world: "World", record: HostRecord) -> None:
        self.world = world
        self.record = record
        self.up = True
        self.paused = False
        self.inbox: list[tuple[t.Any, t.Any]] = []
        self.store = VersionStore()
        self.members = Membership(record)
        rng = random.Random(world.rng.random())
        self.router = world.policy.router(record.domain, record.region, rng)
        self.gate = Gatekeeper(record)
        self.worker = Worker(world, record, self._worker_done)
        self._budgets: dict[str, t.Any] = {}
        self._pending: dict[int, Pending] = {}
        self._origins: dict[str, Origin] = {}
        self._joined: dict[str, list[tuple[Call, Origin]]] = {}
        self._streams = itertools.count(1)
        self._timers = TimerService(world.now_ms)
        self._timers.on_pause(lambda pause: self._woke())

    # The node's life.

    def offer(self, publication: Publication) -> None:
        """Takes in a published version."""
        try:
            snapshot = self.store.apply_version(publication.head, publication.values)
        except CactushookError:
            return
        self.gate.configure(snapshot, self.world.now_ms)

    def kill(self) -> None:
        """Ends at once."""
        self.up = False
        self.worker.kill()
        refusal = Refusal(ErrorKind.PEER_LOST, "the entry was lost")
        for pending in self._pending.values():
            self._end(pending.request, refusal)

    def leave(self) -> None:
        """Refuses new work, tells the others and ends when nothing runs."""
        self.gate.drain()
        self.members.change_state(HostState.LEAVING)
        self.record = self.members.own
        self.world.tell_hosts(self.record, self)
        self.world.at(LINGER_MS, self._end_when_idle)

    def _end_when_idle(self) -> None:
        if self.gate.is_idle and not self._pending:
            self.up = False
            for node in self.world.nodes.values():
                self.world.at(1.0, node.peer_lost, self.record.name)
        else:
            self.world.at(DRAIN_READING_MS, self._end_when_idle)

    def pause(self) -> None:
        """Stops handling messages and timers."""
        self.paused = True

    def resume(self) -> None:
        """Handles what has arrived meanwhile, late."""
        self.paused = False
        self.tick()
        inbox, self.inbox = self.inbox, []
        for action, arguments in inbox:
            action(*arguments)

    def tick(self) -> None:
        """Lets the node's timers run."""
        if self.up and not self.paused:
            self._timers.advance(self.world.now_ms)
            self._carry_out(self.gate.expire(self.world.now_ms))

    def _woke(self) -> None:
        self.gate.on_pause(self.world.now_ms)
        self.world.at(REFRESH_MS, self._refresh)

    def _refresh(self) -> None:
        self.gate.on_peer_update(self.world.now_ms)

    def read_waiting(self) -> None:
        """Notes when calls wait while slots are idle."""
        admission = self.gate.admission
        if admission is None or not self.up or self.paused:
            return
        now_ms = self.world.now_ms
        idle = admission.ramp.capacity(now_ms) - len(admission.running)
        waiting = [
            call
            for call in admission.waiting
            if call.route_class is not RouteClass.BULK or admission.bulk_share == 1.0
        ]
        if waiting and idle > 0:
            self.world.note(
                events.Waiting(now_ms, self.record.name, len(waiting), idle)
            )

    def join(self) -> None:
        """Asks earlier hosts of the service for their acknowledgement."""
        lacking = self.gate.homes.pending_acknowledgers(self.members.hosts)
        for host in lacking:
            other = self.world.nodes[host.name]
            self.world.carry(self, other, other.on_join, self)
        if lacking and self.up:
            self.world.at(JOIN_RETRY_MS, self.join)
        self.world.tell_hosts(self.record, self)

    def on_join(self, young: "Node") -> None:
        """Takes a later host into the ranking and says so."""
        self.members.merge(young.record)
        known = self.members.get(young.record.name)
        if known is None or known.state is not HostState.LIVE:
            return
        hosts = tuple(self.members.hosts)
        at_ms = self.world.epoch_ms
        self.world.carry(self, young, young.on_joined, self, hosts, at_ms)

    def on_joined(
        self, other: "Node", hosts: tuple[HostRecord, ...], at_ms: float
    ) -> None:
        """Takes in an acknowledgement."""
        for host in hosts:
            self.members.merge(host)
        self.acknowledged_by(other, at_ms)

    def acknowledged_by(self, other: "Node", at_ms: float) -> None:
        """Notes another host's acknowledgement."""
        record = other.record
        word = Acknowledgement(record.name, record.incarnation, at_ms)
        self.gate.homes.record_acknowledgement(word)

    def peer_lost(self, name: str) -> None:
        """Ends the attempts that wait for a host that is gone."""
        for stream, pending in list(self._pending.items()):
            if pending.host == name:
                self._failed(stream, Refusal(ErrorKind.PEER_LOST, "connection lost"))

    @property
    def takes_callers(self) -> bool:
        """Whether callers' load balancing still finds this node."""
        return self.up and self.record.state is HostState.LIVE

    # The entry.

    def receive(self, request: CallerRequest) -> None:
        """Takes a caller's request."""
        if not self.up:
            self._end(request, Refusal(ErrorKind.PEER_LOST, "the entry is gone"))
            return
        if self.paused:
            self.inbox.append((self.receive, (request,)))
            return
        bound = self.store.snapshot.match(request.method, request.path)
        if bound is None:
            self._end(request, Refusal(ErrorKind.NO_ROUTE, request.path))
            return
        service = bound.team_file
        if service.service not in self._budgets:
            budget = self.world.policy.budget(service.retry_budget_permille)
            self._budgets[service.service] = budget
        call = self._call(request, bound)
        decisions = dispatch(call, self.router, self._budgets[service.service])
        step = decisions.first_step(self._view(), self.world.now_ms)
        self._take_step(Pending(request, decisions), step)

    def _call(self, request: CallerRequest, bound: t.Any) -> Call:
        return Call(
            request_id=request.label,
            service=bound.team_file.service,
            route_class=bound.route.route_class,
            deadline_ms=self.world.now_ms + bound.route.timeout_ms,
            version=self.store.head.version,
            attempts_left=bound.route.attempts,
            key=request.key,
            key_issued_ms=request.key_issued_ms,
            resend_window_ms=bound.route.resend_window_ms,
            fingerprint=f"{request.path}?{request.work_ms}",
        )

    def _view(self) -> RoutingView:
        return RoutingView(self.store.snapshot, self.members.hosts)

    def _take_step(self, pending: Pending, step: Step) -> None:
        match step:
            case Refuse(refusal):
                self._end(pending.request, refusal)
            case SendTo(delay_ms=after_ms) if after_ms > 0:
                self.world.at(after_ms, self._send, pending, step)
            case SendTo():
                self._send(pending, step)

    def _send(self, pending: Pending, step: SendTo) -> None:
        world = self.world
        pending.host = step.host.name
        pending.stream = next(self._streams)
        pending.chunks = 0
        self._pending[pending.stream] = pending
        label = pending.request.label
        world.note(events.Sent(world.now_ms, label, self.record.name, step.host.name))
        self.router.on_request_sent(step.host.name)
        origin = Origin(self, pending.stream, pending.request)
        target = world.nodes[step.host.name]
        if not world.carry(self, target, target.serve, step.call, origin):
            refusal = Refusal(ErrorKind.PEER_UNREACHABLE, "no connection")
            refused_ms = 1.0 if not target.up else 500.0
            world.at(refused_ms, self._failed, pending.stream, refusal)
        world.at(SILENT_MS, self._check_silent, pending.stream, target)
        late = Refusal(ErrorKind.PEER_LOST, "no answer in time")
        world.at(step.answer_timeout_ms, self._failed, pending.stream, late)

    def _check_silent(self, stream: int, target: "Node") -> None:
        """Gives up a host that does not respond, as connections do."""
        if stream not in self._pending:
            return
        if target.paused:
            self._failed(stream, Refusal(ErrorKind.PEER_LOST, "no sign of the host"))
        else:
            self.world.at(SILENT_MS, self._check_silent, stream, target)

    def on_refusal(self, stream: int, refusal: Refusal, load: t.Any) -> None:
        """Takes a gate's refusal."""
        pending = self._pending.get(stream)
        if pending is not None:
            self.router.record_load(pending.host, load, self.world.now_ms)
        self._failed(stream, refusal)

    def on_answer(self, stream: int, answer_of: str, last: bool, load: t.Any) -> None:
        """Takes a part of a worker's answer."""
        pending = self._pending.get(stream)
        now_ms = self.world.now_ms
        if pending is None:
            self.world.note(events.LateAnswer(now_ms, self.record.name))
            return
        pending.chunks += 1
        if not last:
            return
        self.router.record_load(pending.host, load, now_ms)
        self._forget(stream)
        label = pending.request.label
        whole = pending.chunks == pending.request.chunks
        answered = events.Answered(now_ms + 1.0, label, answer_of, whole, True)
        self.world.at(1.0, self._tell, pending.request, answered)

    def _failed(self, stream: int, refusal: Refusal) -> None:
        pending = self._pending.get(stream)
        if pending is None or not self.up:
            return
        if self.paused:
            self.inbox.append((self._failed, (stream, refusal)))
            return
        self._forget(stream)
        if pending.chunks:
            self._cut_short(pending)
            return
        step = pending.decisions.step_after_refusal(
            refusal, self._view(), self.world.now_ms
        )
        self._take_step(pending, step)

    def _cut_short(self, pending: Pending) -> None:
        label = pending.request.label
        event = events.Answered(self.world.now_ms, label, label, False, False)
        self._tell(pending.request, event)

    def _forget(self, stream: int) -> None:
        self.router.on_request_ended(self._pending.pop(stream).host)

    def _end(self, request: CallerRequest, refusal: Refusal) -> None:
        now_ms = self.world.now_ms
        event = events.Failed(now_ms + 1.0, request.label, request.key, refusal.kind)
        self.world.at(1.0, self._tell, request, event)

    def _tell(self, request: CallerRequest, event: t.Any) -> None:
        self.world.note(event)
        if request.on_end is not None:
            request.on_end(event)

    # The gate.

    def serve(self, call: Call, origin: Origin) -> None:
        """Takes a request from an entry."""
        world = self.world
        verdicts = self.gate.offer(
            call, self.members.hosts, world.now_ms, world.epoch_ms
        )
        if isinstance(verdicts[-1], DuplicateInFlight):
            self._joined.setdefault(call.key, []).append((call, origin))
        else:
            self._origins[call.request_id] = origin
        self._carry_out(verdicts)

    def _carry_out(self, verdicts: t.Iterable[t.Any]) -> None:
        for verdict in verdicts:
            match verdict:
                case Admitted(call):
                    self._start(call)
                case Refused(call, refusal):
                    self._refuse(call, refusal, self._origins.pop(call.request_id))
                    self._settle_joined(call)
                case Replayed(call, answer):
                    origin = self._origins.pop(call.request_id)
                    self._answer(origin, answer.body.decode())

    def _start(self, call: Call) -> None:
        now_ms = self.world.now_ms
        if call.deadline_ms <= now_ms:
            failed = Failed(ErrorKind.DEADLINE_NOT_RUN)
            self._ended(call, failed)
            return
        self.worker.start(call, self._origins[call.request_id].request)

    def _worker_done(self, call: Call, outcome: ErrorKind | None, ms: float) -> None:
        if self.paused:
            self.inbox.append((self._worker_done, (call, outcome, ms)))
            return
        if outcome is not None:
            self._ended(call, Failed(outcome))
            return
        stored = None
        if call.route_class is RouteClass.AT_MOST_ONCE:
            label = self._origins[call.request_id].request.label
            stored = StoredAnswer(200, (), label.encode())
        self._ended(call, Answered(ms, self.worker.instance, stored))

    def _ended(self, call: Call, outcome: Answered | Failed) -> None:
        if not self.up:
            return
        ended = self.gate.on_request_ended(call, outcome, self.world.now_ms)
        origin = self._origins.pop(call.request_id)
        if ended.refusal is not None:
            self._refuse(call, ended.refusal, origin)
        else:
            self._answer(origin, origin.request.label)
        self._settle_joined(call)
        for news in ended.crashes:
            self._tell_crash(news)
        self._carry_out(ended.verdicts)

    def _settle_joined(self, call: Call) -> None:
        for copy, origin in self._joined.pop(call.key, []):
            match self.gate.resolve_duplicate(copy, self.world.epoch_ms):
                case Replayed(answer=answer):
                    self._answer(origin, answer.body.decode())
                case Refused(refusal=refusal):
                    self._refuse(copy, refusal, origin)

    def _answer(self, origin: Origin, answer_of: str) -> None:
        for index in range(origin.request.chunks):
            last = index + 1 == origin.request.chunks
            arguments = (origin, answer_of, last)
            if index:
                self.world.at(index * CHUNK_GAP_MS, self._send_chunk, *arguments)
            else:
                self._send_chunk(*arguments)

    def _send_chunk(self, origin: Origin, answer_of: str, last: bool) -> None:
        if not self.up:
            return
        load = self.gate.load(self.world.now_ms)
        entry = origin.entry
        arguments = (origin.stream, answer_of, last, load)
        self.world.carry(self, entry, entry.on_answer, *arguments)

    def _refuse(self, call: Call, refusal: Refusal, origin: Origin) -> None:
        now_ms = self.world.now_ms
        label = origin.request.label
        event = events.Refused(now_ms, label, self.record.name, refusal.kind)
        self.world.note(event)
        load = self.gate.load(now_ms)
        entry = origin.entry
        self.world.carry(self, entry, entry.on_refusal, origin.stream, refusal, load)

    def _tell_crash(self, news: CrashReport) -> None:
        for node in self.world.nodes.values():
            if node is not self and node.record.service == news.service:
                self.world.carry(self, node, node.on_crash, news)

    def on_crash(self, news: CrashReport) -> None:
        """Takes in crash news from another gate."""
        self.gate.crashes.record_crash(news, self.world.now_ms)
