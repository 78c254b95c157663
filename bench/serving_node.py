"""One simulated node: an entry, a gate and a backend server.

The library makes the decisions of the entry and the gate.
"""

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

PEER_UPDATE_DELAY_MS = 120.0
UNRESPONSIVE_MS = 1_500.0
JOIN_RETRY_MS = 200.0
CHUNK_GAP_MS = 20.0
DRAIN_CHECK_PERIOD_MS = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A caller's request; ``on_end`` is called with the event of its outcome."""

    label: str
    method: str
    path: str
    key: str
    key_issued_ms: float
    work_ms: float
    chunks: int = 1
    on_end: t.Callable[[t.Any], None] | None = None


@dataclasses.dataclass(slots=True)
class PendingRequest:
    """A request that an entry has accepted and not yet ended."""

    request: CallerRequest
    decisions: t.Any
    host: str = ""
    stream: int = 0
    chunks: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """The entry, stream and request that a gate's answer goes to."""

    entry: "Node"
    stream: int
    request: CallerRequest


class Node:
    """One simulated host.

    Args:
        world: delivers messages and keeps time.
        record: the host's record.
    """

    def __init__(self, world: "World", record: HostRecord) -> None:
        self.world = world
        self.record = record
        self.is_up = True
        self.is_paused = False
        self.inbox: list[tuple[t.Any, t.Any]] = []
        self.store = VersionStore()
        self.membership = Membership(record)
        rng = random.Random(world.rng.random())
        self.router = world.policy.router(record.domain, record.region, rng)
        self.gate = Gatekeeper(record)
        self.worker = Worker(world, record, self._on_worker_done)
        self._budgets: dict[str, t.Any] = {}
        self._pending: dict[int, PendingRequest] = {}
        self._origins: dict[str, Origin] = {}
        self._duplicates: dict[str, list[tuple[Call, Origin]]] = {}
        self._streams = itertools.count(1)
        self._timers = TimerService(world.now_ms)
        self._timers.on_pause(lambda pause: self._on_pause_detected())

    # Life cycle.

    def apply_publication(self, publication: Publication) -> None:
        """Applies a published version; ignores one that the store rejects."""
        try:
            snapshot = self.store.apply_version(publication.head, publication.values)
        except CactushookError:
            return
        self.gate.configure(snapshot, self.world.now_ms)

    def kill(self) -> None:
        """Ends without warning; requests at this entry fail for their callers."""
        self.is_up = False
        self.worker.kill()
        refusal = Refusal(ErrorKind.PEER_LOST, "the entry was lost")
        for pending in self._pending.values():
            self._refuse_caller(pending.request, refusal)

    def leave(self) -> None:
        """Refuses new work, informs the other hosts and ends when nothing runs."""
        self.gate.drain()
        self.membership.change_state(HostState.LEAVING)
        self.record = self.membership.own
        self.world.broadcast_host(self.record, self)
        self.world.schedule(LINGER_MS, self._end_when_idle)

    def _end_when_idle(self) -> None:
        if self.gate.is_idle and not self._pending:
            self.is_up = False
            for node in self.world.nodes.values():
                self.world.schedule(1.0, node.on_peer_lost, self.record.name)
        else:
            self.world.schedule(DRAIN_CHECK_PERIOD_MS, self._end_when_idle)

    def pause(self) -> None:
        """Stops handling messages and timers."""
        self.is_paused = True

    def resume(self) -> None:
        """Resumes after a pause and handles the messages that arrived meanwhile."""
        self.is_paused = False
        self.tick()
        inbox, self.inbox = self.inbox, []
        for action, arguments in inbox:
            action(*arguments)

    def tick(self) -> None:
        """Runs due timers and expires waiting calls, unless the node is paused."""
        if self.is_up and not self.is_paused:
            self._timers.advance(self.world.now_ms)
            self._apply_verdicts(self.gate.expire(self.world.now_ms))

    def _on_pause_detected(self) -> None:
        self.gate.on_pause(self.world.now_ms)
        self.world.schedule(PEER_UPDATE_DELAY_MS, self._on_peer_update)

    def _on_peer_update(self) -> None:
        self.gate.on_peer_update(self.world.now_ms)

    def record_waiting(self) -> None:
        """Records an event if calls wait while slots are idle."""
        admission = self.gate.admission
        if admission is None or not self.is_up or self.is_paused:
            return
        now_ms = self.world.now_ms
        idle = admission.ramp.capacity(now_ms) - len(admission.running)
        waiting = [
            call
            for call in admission.waiting
            if call.route_class is not RouteClass.BULK or admission.bulk_share == 1.0
        ]
        if waiting and idle > 0:
            self.world.record_event(
                events.Waiting(now_ms, self.record.name, len(waiting), idle)
            )

    def join(self) -> None:
        """Announces the host and requests the acknowledgements that it still lacks.

        Repeats until all earlier hosts of the service have acknowledged it.
        """
        pending_hosts = self.gate.homes.pending_acknowledgers(self.membership.hosts)
        for host in pending_hosts:
            other = self.world.nodes[host.name]
            self.world.send_message(self, other, other.on_join, self)
        if pending_hosts and self.is_up:
            self.world.schedule(JOIN_RETRY_MS, self.join)
        self.world.broadcast_host(self.record, self)

    def on_join(self, joining: "Node") -> None:
        """Adds a joining host to the ranking and acknowledges it."""
        self.membership.merge(joining.record)
        known = self.membership.get(joining.record.name)
        if known is None or known.state is not HostState.LIVE:
            return
        hosts = tuple(self.membership.hosts)
        at_ms = self.world.epoch_ms
        self.world.send_message(self, joining, joining.on_joined, self, hosts, at_ms)

    def on_joined(
        self, other: "Node", hosts: tuple[HostRecord, ...], at_ms: float
    ) -> None:
        """Handles another host's acknowledgement and host list."""
        for host in hosts:
            self.membership.merge(host)
        self.record_acknowledgement(other, at_ms)

    def record_acknowledgement(self, other: "Node", at_ms: float) -> None:
        """Records another host's acknowledgement."""
        record = other.record
        acknowledgement = Acknowledgement(record.name, record.incarnation, at_ms)
        self.gate.homes.record_acknowledgement(acknowledgement)

    def on_peer_lost(self, name: str) -> None:
        """Fails the attempts at a host that is lost."""
        for stream, pending in list(self._pending.items()):
            if pending.host == name:
                self._on_attempt_failed(
                    stream, Refusal(ErrorKind.PEER_LOST, "connection lost")
                )

    @property
    def is_accepting_callers(self) -> bool:
        """Whether the callers' load balancer sends requests to this node."""
        return self.is_up and self.record.state is HostState.LIVE

    # Entry.

    def receive(self, request: CallerRequest) -> None:
        """Handles a caller's request."""
        if not self.is_up:
            self._refuse_caller(
                request, Refusal(ErrorKind.PEER_LOST, "the entry is gone")
            )
            return
        if self.is_paused:
            self.inbox.append((self.receive, (request,)))
            return
        bound = self.store.snapshot.match(request.method, request.path)
        if bound is None:
            self._refuse_caller(request, Refusal(ErrorKind.NO_ROUTE, request.path))
            return
        service = bound.team_file
        if service.service not in self._budgets:
            budget = self.world.policy.budget(service.retry_budget_permille)
            self._budgets[service.service] = budget
        call = self._make_call(request, bound)
        decisions = dispatch(call, self.router, self._budgets[service.service])
        step = decisions.first_step(self._routing_view(), self.world.now_ms)
        self._perform_step(PendingRequest(request, decisions), step)

    def _make_call(self, request: CallerRequest, bound: t.Any) -> Call:
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

    def _routing_view(self) -> RoutingView:
        return RoutingView(self.store.snapshot, self.membership.hosts)

    def _perform_step(self, pending: PendingRequest, step: Step) -> None:
        match step:
            case Refuse(refusal):
                self._refuse_caller(pending.request, refusal)
            case SendTo(delay_ms=delay_ms) if delay_ms > 0:
                self.world.schedule(delay_ms, self._send_attempt, pending, step)
            case SendTo():
                self._send_attempt(pending, step)

    def _send_attempt(self, pending: PendingRequest, step: SendTo) -> None:
        world = self.world
        pending.host = step.host.name
        pending.stream = next(self._streams)
        pending.chunks = 0
        self._pending[pending.stream] = pending
        label = pending.request.label
        world.record_event(
            events.AttemptSent(world.now_ms, label, self.record.name, step.host.name)
        )
        self.router.on_request_sent(step.host.name)
        origin = Origin(self, pending.stream, pending.request)
        target = world.nodes[step.host.name]
        if not world.send_message(self, target, target.serve, step.call, origin):
            refusal = Refusal(ErrorKind.PEER_UNREACHABLE, "no connection")
            refused_ms = 1.0 if not target.is_up else 500.0
            world.schedule(refused_ms, self._on_attempt_failed, pending.stream, refusal)
        world.schedule(UNRESPONSIVE_MS, self._check_responsive, pending.stream, target)
        late = Refusal(ErrorKind.PEER_LOST, "no answer in time")
        world.schedule(
            step.answer_timeout_ms, self._on_attempt_failed, pending.stream, late
        )

    def _check_responsive(self, stream: int, target: "Node") -> None:
        """Fails an attempt whose target is paused, as a real link would.

        Repeats the check until the attempt ends.
        """
        if stream not in self._pending:
            return
        if target.is_paused:
            self._on_attempt_failed(
                stream, Refusal(ErrorKind.PEER_LOST, "no sign of the host")
            )
        else:
            self.world.schedule(UNRESPONSIVE_MS, self._check_responsive, stream, target)

    def on_refusal(self, stream: int, refusal: Refusal, load: t.Any) -> None:
        """Handles a gate's refusal."""
        pending = self._pending.get(stream)
        if pending is not None:
            self.router.record_load(pending.host, load, self.world.now_ms)
        self._on_attempt_failed(stream, refusal)

    def on_answer(self, stream: int, answer_of: str, last: bool, load: t.Any) -> None:
        """Handles one chunk of an answer."""
        pending = self._pending.get(stream)
        now_ms = self.world.now_ms
        if pending is None:
            self.world.record_event(events.LateAnswer(now_ms, self.record.name))
            return
        pending.chunks += 1
        if not last:
            return
        self.router.record_load(pending.host, load, now_ms)
        self._remove_pending(stream)
        label = pending.request.label
        whole = pending.chunks == pending.request.chunks
        answered = events.Answered(now_ms + 1.0, label, answer_of, whole, True)
        self.world.schedule(1.0, self._notify_caller, pending.request, answered)

    def _on_attempt_failed(self, stream: int, refusal: Refusal) -> None:
        pending = self._pending.get(stream)
        if pending is None or not self.is_up:
            return
        if self.is_paused:
            self.inbox.append((self._on_attempt_failed, (stream, refusal)))
            return
        self._remove_pending(stream)
        if pending.chunks:
            self._end_truncated(pending)
            return
        step = pending.decisions.step_after_refusal(
            refusal, self._routing_view(), self.world.now_ms
        )
        self._perform_step(pending, step)

    def _end_truncated(self, pending: PendingRequest) -> None:
        label = pending.request.label
        event = events.Answered(self.world.now_ms, label, label, False, False)
        self._notify_caller(pending.request, event)

    def _remove_pending(self, stream: int) -> None:
        self.router.on_request_ended(self._pending.pop(stream).host)

    def _refuse_caller(self, request: CallerRequest, refusal: Refusal) -> None:
        now_ms = self.world.now_ms
        event = events.Failed(now_ms + 1.0, request.label, request.key, refusal.kind)
        self.world.schedule(1.0, self._notify_caller, request, event)

    def _notify_caller(self, request: CallerRequest, event: t.Any) -> None:
        self.world.record_event(event)
        if request.on_end is not None:
            request.on_end(event)

    # Gate.

    def serve(self, call: Call, origin: Origin) -> None:
        """Handles a request from an entry."""
        world = self.world
        verdicts = self.gate.offer(
            call, self.membership.hosts, world.now_ms, world.epoch_ms
        )
        if isinstance(verdicts[-1], DuplicateInFlight):
            self._duplicates.setdefault(call.key, []).append((call, origin))
        else:
            self._origins[call.request_id] = origin
        self._apply_verdicts(verdicts)

    def _apply_verdicts(self, verdicts: t.Iterable[t.Any]) -> None:
        for verdict in verdicts:
            match verdict:
                case Admitted(call):
                    self._start_run(call)
                case Refused(call, refusal):
                    self._send_refusal(
                        call, refusal, self._origins.pop(call.request_id)
                    )
                    self._resolve_duplicates(call)
                case Replayed(call, answer):
                    origin = self._origins.pop(call.request_id)
                    self._send_answer(origin, answer.body.decode())

    def _start_run(self, call: Call) -> None:
        now_ms = self.world.now_ms
        if call.deadline_ms <= now_ms:
            failed = Failed(ErrorKind.DEADLINE_NOT_RUN)
            self._on_run_ended(call, failed)
            return
        self.worker.start(call, self._origins[call.request_id].request)

    def _on_worker_done(self, call: Call, outcome: ErrorKind | None, ms: float) -> None:
        if self.is_paused:
            self.inbox.append((self._on_worker_done, (call, outcome, ms)))
            return
        if outcome is not None:
            self._on_run_ended(call, Failed(outcome))
            return
        stored = None
        if call.route_class is RouteClass.AT_MOST_ONCE:
            label = self._origins[call.request_id].request.label
            stored = StoredAnswer(200, (), label.encode())
        self._on_run_ended(call, Answered(ms, self.worker.instance, stored))

    def _on_run_ended(self, call: Call, outcome: Answered | Failed) -> None:
        if not self.is_up:
            return
        ended = self.gate.on_request_ended(call, outcome, self.world.now_ms)
        origin = self._origins.pop(call.request_id)
        if ended.refusal is not None:
            self._send_refusal(call, ended.refusal, origin)
        else:
            self._send_answer(origin, origin.request.label)
        self._resolve_duplicates(call)
        for report in ended.crashes:
            self._broadcast_crash(report)
        self._apply_verdicts(ended.verdicts)

    def _resolve_duplicates(self, call: Call) -> None:
        for copy, origin in self._duplicates.pop(call.key, []):
            match self.gate.resolve_duplicate(copy, self.world.epoch_ms):
                case Replayed(answer=answer):
                    self._send_answer(origin, answer.body.decode())
                case Refused(refusal=refusal):
                    self._send_refusal(copy, refusal, origin)

    def _send_answer(self, origin: Origin, answer_of: str) -> None:
        for index in range(origin.request.chunks):
            last = index + 1 == origin.request.chunks
            arguments = (origin, answer_of, last)
            if index:
                self.world.schedule(index * CHUNK_GAP_MS, self._send_chunk, *arguments)
            else:
                self._send_chunk(*arguments)

    def _send_chunk(self, origin: Origin, answer_of: str, last: bool) -> None:
        if not self.is_up:
            return
        load = self.gate.load(self.world.now_ms)
        entry = origin.entry
        arguments = (origin.stream, answer_of, last, load)
        self.world.send_message(self, entry, entry.on_answer, *arguments)

    def _send_refusal(self, call: Call, refusal: Refusal, origin: Origin) -> None:
        now_ms = self.world.now_ms
        label = origin.request.label
        event = events.Refused(now_ms, label, self.record.name, refusal.kind)
        self.world.record_event(event)
        load = self.gate.load(now_ms)
        entry = origin.entry
        self.world.send_message(
            self, entry, entry.on_refusal, origin.stream, refusal, load
        )

    def _broadcast_crash(self, report: CrashReport) -> None:
        for node in self.world.nodes.values():
            if node is not self and node.record.service == report.service:
                self.world.send_message(self, node, node.on_crash, report)

    def on_crash(self, report: CrashReport) -> None:
        """Records a crash report of another gate."""
        self.gate.crashes.record_crash(report, self.world.now_ms)
