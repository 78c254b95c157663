"""The gate: applies the gatekeeper's decisions to requests for this host's worker."""

import dataclasses
import functools
import itertools
import typing as t

import trio
from cactushook import Admitted
from cactushook import Call
from cactushook import CrashReport
from cactushook import CrashTable
from cactushook import ErrorKind
from cactushook import Load
from cactushook import Pause
from cactushook import Refusal
from cactushook import Refused
from cactushook import RequestError
from cactushook import RouteClass
from cactushook import Snapshot
from cactushook.calls import Listing
from cactushook.crash_inquiry import CrashInquiry
from cactushook.gatekeeping import Answered
from cactushook.gatekeeping import Failed
from cactushook.gatekeeping import Gatekeeper
from cactushook.gatekeeping import GateVerdict
from cactushook.gatekeeping import Outcome
from cactushook.gatekeeping import Replayed
from cactushook.homes import Homes

from .answers import AnswerBuffer
from .answers import AnswerRecorder
from .answers import BufferedReply
from .environment import Environment
from .gate_reports import GateReports
from .headers import find_header
from .http_messages import Emit
from .http_messages import Headers
from .http_messages import ReplyRefused
from .http_messages import ReplyStart
from .http_messages import WorkerRequest
from .keyed_runs import KeyedRuns
from .logs import MAX_REQUEST_ID_CHARACTERS
from .logs import OUTCOME_ANSWERED
from .shedding import OverloadReport
from .stops import refuse_remote
from .supervision import TaskStarter
from .worker_check import WorkerHealthCheck
from .worker_client import WorkerClient

TICK_MS = 25
# Deducted from the worker's time: half of the time that an answer takes to return.
ANSWER_MARGIN_MS = 3
_SERVER_ERROR = 500
# Failures after which the backend server may have crashed or restarted.
_CRASH_CHECK_KINDS = frozenset(
    (
        ErrorKind.WORKER_LOST,
        ErrorKind.WORKER_UNREACHABLE,
        ErrorKind.WORKER_REPLACED,
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class _ExchangeResult:
    """Result of an exchange with the backend server.

    ``reply`` is None if the answer was streamed.
    """

    answered: Answered
    reply: BufferedReply | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class _RunResult:
    """Result of a request at this gate.

    ``reply`` is the answer if it is still to be sent to the entry.
    """

    refusal: Refusal | None = None
    reply: BufferedReply | None = None


class Gate:
    """Serves requests with the backend server and enforces its limits.

    Args:
        environment: the node's central object.
        tasks: runs keyed requests, which outlive their callers.
    """

    def __init__(self, environment: Environment, tasks: TaskStarter) -> None:
        self._environment = environment
        self._tasks = tasks
        needs_listing = environment.settings.adapter is not None
        self._keeper = Gatekeeper(
            environment.membership.own,
            needs_listing=needs_listing,
            learns_concurrency=environment.settings.learned_concurrency,
        )
        self._verdicts: dict[str, GateVerdict] = {}
        self._verdict_events: dict[str, trio.Event] = {}
        self._keyed_runs = KeyedRuns(
            environment, tasks, self._keeper, self.monotonic_epoch_ms, self._run_keyed
        )
        self._crash_listeners: list[t.Callable[[CrashReport], None]] = []
        self._run_listeners: list[t.Callable[[Call], None]] = []
        self._worker: WorkerClient | None = None
        self._overload = OverloadReport(environment)
        self._answers = AnswerBuffer(self.load)
        self._health_check = WorkerHealthCheck(
            environment, tasks, self._keeper, self._notify_crashes
        )
        self._reports = GateReports(environment, self._keeper)
        self._epoch_offset_ms = environment.started_epoch_ms - environment.now_ms()
        environment.board.snapshot.watch(self._on_snapshot)
        environment.board.listing.watch(self._on_listing)
        environment.board.host_list_read.watch(self._on_host_list)
        environment.timers.every(TICK_MS, self._on_timer)
        environment.timers.on_pause(self._on_pause)

    @property
    def homes(self) -> Homes:
        """State of the other homes of the service."""
        return self._keeper.homes

    @property
    def is_idle(self) -> bool:
        """Whether no request runs or waits and no answer is being sent."""
        return self._keeper.is_idle and self._answers.is_idle

    def add_crash_listener(self, listener: t.Callable[[CrashReport], None]) -> None:
        """Registers a listener for requests that may have crashed a backend server."""
        self._crash_listeners.append(listener)

    def drain(self) -> None:
        """Refuses new requests from now on; running and waiting requests continue."""
        self._keeper.drain()

    def on_nested_call(self, service: str) -> None:
        """Records that the backend server made a request to a service."""
        self._keeper.nested.on_call(service)

    def on_nested_call_ended(self, service: str, served: bool) -> None:
        """Records whether a request of the backend server was served.

        Args:
            service: the service that was called; empty if none was found.
            served: whether it answered without a failure.
        """
        now_ms = self._environment.now_ms()
        if service:
            self._keeper.nested.on_call_ended(service, served, now_ms)
        if not served:
            self._keeper.breaker.record_nested_failure(now_ms)

    def add_run_listener(self, listener: t.Callable[[Call], None]) -> None:
        """Registers a listener for requests that are sent to the backend server."""
        self._run_listeners.append(listener)

    @property
    def crashes(self) -> CrashTable:
        """Requests that may have crashed backend servers of the service."""
        return self._keeper.crashes

    @property
    def crash_inquiry(self) -> CrashInquiry:
        """Questions to the other gates of the service about crashes."""
        return self._keeper.crash_inquiry

    @property
    def service(self) -> str:
        """The service that the backend server runs."""
        return self._keeper.service

    def on_peer_update(self) -> None:
        """Records that another node has sent its view."""
        self._keeper.on_peer_update(self._environment.now_ms())

    def load(self) -> Load:
        """Returns the load that is reported to entries."""
        environment = self._environment
        now_ms = environment.now_ms()
        send_ms = environment.pacer.wait_ms(0, now_ms)
        load = dataclasses.replace(self._keeper.load(now_ms), send_ms=send_ms)
        return self._overload.add_level(load)

    @property
    def is_home(self) -> bool:
        """Whether requests with keys issued from now on can run here without proof."""
        hosts = self._environment.membership.hosts
        return self._keeper.homes.is_ready(hosts, self.monotonic_epoch_ms())

    def monotonic_epoch_ms(self) -> float:
        """Returns milliseconds since the epoch, by a clock that never steps."""
        return self._environment.now_ms() + self._epoch_offset_ms

    async def serve_remote(
        self, call: Call, request: WorkerRequest, emit: Emit
    ) -> None:
        """Serves a request of another node, whose answer uses the network link."""
        environment = self._environment
        now_ms = environment.now_ms()
        refusal = refuse_remote(call, environment, self._keeper.service_ms, now_ms)
        if refusal is not None:
            self._log_request_ended(call, refusal, now_ms)
            await self._refuse(refusal, emit)
            return
        await self.serve(call, request, emit)

    async def serve(self, call: Call, request: WorkerRequest, emit: Emit) -> None:
        """Runs or refuses one request and emits the answer's events."""
        environment = self._environment
        offered_ms = environment.now_ms()
        call = self._with_unique_id(call)
        *others, verdict = self._keeper.offer(
            call, environment.membership.hosts, offered_ms, self.monotonic_epoch_ms()
        )
        self._deliver_verdicts(others)
        if call.route_class is RouteClass.AT_MOST_ONCE:
            await self._serve_keyed(call, verdict, request, emit)
            return
        run_result = await self._run_request(call, verdict, request, emit)
        self._overload.record(call, run_result.refusal)
        self._log_request_ended(call, run_result.refusal, offered_ms)
        if run_result.refusal is not None:
            await self._refuse(run_result.refusal, emit)
        elif run_result.reply is not None:
            await self._answers.send(run_result.reply, emit)

    def _with_unique_id(self, call: Call) -> Call:
        """Renames a call whose id another call at this gate has.

        Callers choose the ids. The backend server still gets the id in the headers.
        """
        request_id = call.request_id
        numbers = itertools.count(2)
        while self._keeper.holds(call) or call.request_id in self._verdict_events:
            call = dataclasses.replace(call, request_id=f"{request_id}#{next(numbers)}")
        return call

    def _log_request_ended(
        self, call: Call, refusal: Refusal | None, offered_ms: float
    ) -> None:
        """Logs the outcome of a request and the present load."""
        load = self.load()
        now_ms = self._environment.now_ms()
        self._environment.log.log_request(
            "gate_ended",
            refusal is None,
            request_id=call.request_id[:MAX_REQUEST_ID_CHARACTERS],
            service=call.service,
            routed_version=call.version,
            instance=self._keeper.instance,
            outcome=OUTCOME_ANSWERED if refusal is None else refusal.kind.value,
            reason="" if refusal is None else refusal.detail,
            resent=call.resent,
            running=load.running,
            queued=load.queued,
            capacity=load.capacity,
            took_ms=round(now_ms - offered_ms, 1),
            left_ms=round(call.deadline_ms - now_ms),
        )

    async def _refuse(self, refusal: Refusal, emit: Emit) -> None:
        kind, detail = refusal.kind, refusal.detail
        self._environment.metrics.refusals.labels(kind.value, "gate").inc()
        await emit(
            ReplyRefused(
                kind,
                detail,
                self.load(),
                refusal.home,
                refusal.fenced,
                refusal.retry_after_ms,
            )
        )

    async def _serve_keyed(
        self, call: Call, verdict: GateVerdict, request: WorkerRequest, emit: Emit
    ) -> None:
        verdict = await self._keyed_runs.settle(call, verdict, request)
        if isinstance(verdict, Replayed):
            answer = verdict.answer
            headers, body = answer.headers, answer.body
            await emit(ReplyStart(answer.status, headers, body, True, self.load()))
        elif isinstance(verdict, Refused):
            await self._refuse(verdict.refusal, emit)

    async def _run_keyed(
        self, call: Call, verdict: GateVerdict, request: WorkerRequest
    ) -> Refusal | None:
        result = await self._run_request(call, verdict, request, AnswerRecorder())
        return result.refusal

    async def _run_request(
        self,
        call: Call,
        verdict: GateVerdict,
        request: WorkerRequest,
        emit: Emit | AnswerRecorder,
    ) -> _RunResult:
        if not isinstance(verdict, Admitted | Refused):
            verdict = await self._wait_for_verdict(call)
        if isinstance(verdict, Refused):
            return _RunResult(verdict.refusal)
        outcome: Outcome = Failed(ErrorKind.CANCELLED, "the request was cancelled")
        reply = refusal = None
        try:
            exchange_result = await self._send_within_deadline(call, request, emit)
            outcome, reply = exchange_result.answered, exchange_result.reply
        except RequestError as error:
            outcome = Failed(error.kind, error.message)
        finally:
            refusal = self._end_request(call, outcome)
        return _RunResult(refusal, reply)

    async def _wait_for_verdict(self, call: Call) -> GateVerdict:
        event = self._verdict_events.setdefault(call.request_id, trio.Event())
        try:
            await event.wait()
        except trio.Cancelled:
            self._keeper.cancel(call)
            if isinstance(self._verdicts.pop(call.request_id, None), Admitted):
                self._end_request(call, Failed(ErrorKind.CANCELLED))
            raise
        finally:
            del self._verdict_events[call.request_id]
        return self._verdicts.pop(call.request_id)

    def _end_request(self, call: Call, outcome: Outcome) -> Refusal | None:
        now_ms = self._environment.now_ms()
        was_open = self._keeper.breaker.is_open
        ended = self._keeper.on_request_ended(call, outcome, now_ms)
        self._log_breaker(was_open, call)
        self._deliver_verdicts(ended.verdicts)
        if isinstance(outcome, Failed) and outcome.kind in _CRASH_CHECK_KINDS:
            self._health_check.start(self._worker)
        self._notify_crashes(ended.crashes)
        return ended.refusal

    def _notify_crashes(self, reports: t.Iterable[CrashReport]) -> None:
        for report in reports:
            for listener in self._crash_listeners:
                listener(report)

    def _log_breaker(self, was_open: bool, call: Call) -> None:
        is_open = self._keeper.breaker.is_open
        if is_open is was_open:
            return
        self._environment.log.warning(
            "breaker_turned",
            is_open=is_open,
            request_id=call.request_id[:MAX_REQUEST_ID_CHARACTERS],
            instance=self._keeper.instance,
        )

    def _deliver_verdicts(self, verdicts: t.Iterable[GateVerdict]) -> None:
        for verdict in verdicts:
            request_id = verdict.call.request_id
            self._verdicts[request_id] = verdict
            self._verdict_events.setdefault(request_id, trio.Event()).set()

    async def _send_within_deadline(
        self, call: Call, request: WorkerRequest, emit: Emit | AnswerRecorder
    ) -> _ExchangeResult:
        remaining_ms = call.deadline_ms - self._environment.now_ms()
        remaining_s = remaining_ms / 1_000
        if call.service != self._keeper.service:
            raise RequestError(
                ErrorKind.NOT_READY, f"service {call.service!r} left this host"
            )
        if remaining_ms <= ANSWER_MARGIN_MS:
            raise RequestError(ErrorKind.DEADLINE_NOT_RUN, "the deadline has passed")
        with trio.move_on_after(remaining_s) as scope:
            return await self._exchange_with_worker(call, request, emit, scope)
        raise RequestError(
            ErrorKind.DEADLINE_EXCEEDED, "the worker did not answer in time"
        )

    async def _exchange_with_worker(
        self,
        call: Call,
        request: WorkerRequest,
        emit: Emit | AnswerRecorder,
        scope: trio.CancelScope,
    ) -> _ExchangeResult:
        started_ms = self._environment.now_ms()
        worker = t.cast(WorkerClient, self._worker)
        for listener in self._run_listeners:
            listener(call)
        if call.route:
            self._keeper.nested.on_run_started(call.request_id, call.route)
        names = self._environment.headers
        remaining_ms = max(1, int(call.deadline_ms - started_ms - ANSWER_MARGIN_MS))
        worker_request = request.with_headers(
            (
                (names.timeout_ms, str(remaining_ms).encode()),
                (names.target_instance, self._keeper.instance.encode()),
            )
        )
        on_connected = functools.partial(self._keeper.on_request_sent, call)
        async with worker.send(worker_request, on_connected=on_connected) as reply:
            latency_ms = self._environment.now_ms() - started_ms
            instance = self._reported_instance(reply.headers)
            if isinstance(emit, AnswerRecorder):
                buffered_reply = await self._answers.receive(
                    call, reply, emit.emit, scope
                )
                if buffered_reply is not None:
                    await self._answers.send(buffered_reply, emit.emit)
                return _ExchangeResult(Answered(latency_ms, instance, emit.answer))
            buffered_reply = await self._answers.receive(call, reply, emit, scope)
            failed = reply.status >= _SERVER_ERROR
            return _ExchangeResult(
                Answered(latency_ms, instance, failed=failed), buffered_reply
            )
        raise AssertionError("WorkerClient.send suppresses no exception")

    def _reported_instance(self, headers: Headers) -> bytes:
        return find_header(headers, self._environment.headers.instance)

    def _on_listing(self, listing: Listing | None) -> None:
        previous_instance = self._keeper.instance
        if listing is not None:
            self._notify_crashes(
                self._keeper.find_crash(listing, self._environment.now_ms())
            )
        self._deliver_verdicts(
            self._keeper.on_listing(listing, self._environment.now_ms())
        )
        if listing is not None and listing.instance != previous_instance:
            if self._worker is not None:
                self._worker.close_idle_connections()
            self._ensure_worker_client()
            self._health_check.start(self._worker)
        elif listing is None and self._keeper.has_abandoned:
            # A worker that leaves serves for a while; one that crashed does not.
            self._health_check.start(self._worker)

    def _ensure_worker_client(self) -> None:
        environment = self._environment
        service = environment.store.snapshot.services.get(self._keeper.service)
        if self._worker is None and service is not None:
            self._worker = WorkerClient(
                environment.settings.worker,
                environment.headers,
                service.limits.connections,
            )

    def _on_snapshot(self, snapshot: Snapshot) -> None:
        was_domain_out = self._keeper.is_domain_out
        self._keeper.configure(snapshot, self._environment.now_ms())
        self._ensure_worker_client()
        if was_domain_out and not self._keeper.is_domain_out:
            self._keeper.assume_cold(self._environment.now_ms())
            self._health_check.start(self._worker)

    def _on_host_list(self, read: bool) -> None:
        if read:
            self._keeper.homes.on_host_list_read()

    def _on_pause(self, pause: Pause) -> None:
        self._environment.metrics.pauses.inc()
        self._keeper.on_pause(self._environment.now_ms())

    def _on_timer(self, now_ms: float) -> None:
        self._deliver_verdicts(self._keeper.expire(now_ms))
        self._reports.update(self.load(), now_ms)
