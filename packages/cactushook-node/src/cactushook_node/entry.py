"""The entry: routes callers' requests to gates and retries them where permitted."""

import uuid

import trio
from cactushook import Call
from cactushook import ErrorKind
from cactushook import Load
from cactushook import Refusal
from cactushook import RequestError
from cactushook import RouteClass
from cactushook import Router
from cactushook import Visibility
from cactushook.answer_sizes import AnswerSizes
from cactushook.dispatch import RoutingView
from cactushook.dispatch import SendTo
from cactushook.fanout import Fanout
from cactushook.snapshot import BoundRoute

from .authentication import identify
from .call_builder import CallBuilder
from .call_messages import call_to_message
from .crossings import record_crossing
from .dispatching import create_dispatch
from .entry_request import EntryRequest
from .entry_request import RefusedError
from .environment import Environment
from .forwarding import build_worker_request
from .gate import Gate
from .http_messages import check_start
from .http_messages import Emit
from .http_messages import ReplyRefused
from .http_messages import ReplyStart
from .http_messages import WorkerRequest
from .link_pool import LinkPool
from .logs import OUTCOME_ANSWERED
from .quotas import Quotas
from .refusals import retry_after_ms
from .reply_forwarder import ReplyForwarder
from .retry_budgets import RetryBudgets
from .shedding import EntryShedding
from .stops import limit_nested
from .stops import refuse_outlasting
from .trace import Trace

# Retry delay advised by a node that has no configuration yet.
START_RETRY_AFTER_MS = 1_000


class Entry:
    """Serves callers' requests.

    Args:
        environment: the node's central object.
        links: connections to other nodes.
        gate: this host's gate.
        quotas: this node's part in the quotas of workspaces.

    Attributes:
        router: chooses among gates.
        calls: builds the calls that are sent to gates.
    """

    def __init__(
        self, environment: Environment, links: LinkPool, gate: Gate, quotas: Quotas
    ) -> None:
        self._environment = environment
        self._links = links
        self._gate = gate
        settings = environment.settings
        self.router = Router(
            settings.domain,
            settings.region,
            environment.rng,
            settings.host,
            environment.silent_peers,
        )
        self._quotas = quotas
        self._budgets = RetryBudgets(environment)
        self._fanout = Fanout()
        self._shedding = EntryShedding(environment)
        self._answer_sizes = AnswerSizes()
        self.calls = CallBuilder(environment, self._answer_sizes)
        gate.add_run_listener(self._on_run_started)
        self._serving_count = 0

    @property
    def is_idle(self) -> bool:
        """Whether no caller's request is being served."""
        return self._serving_count == 0

    async def serve(self, request: EntryRequest, emit: Emit) -> None:
        """Answers one request by emitting the events of its answer."""
        environment = self._environment
        metrics = environment.metrics
        received_id = request.header(environment.headers.request_id)
        request_id = received_id.decode("latin-1") or uuid.uuid4().hex
        version = environment.store.head.version
        trace = Trace(request_id, environment.now_ms(), version)
        self._serving_count += 1
        try:
            self._record_caller_timeout(request, trace)
            self._shed_if_late(request)
            self._require_configuration()
            workspace = identify(request, environment)
            bound = self._match_route(request)
            call = self.calls.build(request, bound, request_id, workspace)
            trace.record_route(bound, call)
            call = self._limit_or_shed(call, trace)
            if call.nested:
                self._fanout.record_request(call.service)
                self._gate.on_nested_call(call.service)
            worker_request = build_worker_request(request, call, environment)
            async with self._quotas.admit(call, trace):
                await self._run_attempts(call, worker_request, emit, trace)
            trace.outcome = OUTCOME_ANSWERED
            metrics.requests.labels(
                bound.route.route_class.value, OUTCOME_ANSWERED
            ).inc()
        except RefusedError as error:
            refusal = error.refusal
            trace.record_error(error)
            metrics.refusals.labels(refusal.kind.value, "entry").inc()
            await emit(
                ReplyRefused(
                    refusal.kind,
                    refusal.detail,
                    retry_after_ms=retry_after_ms(refusal, trace, environment),
                )
            )
        except RequestError as error:
            trace.record_error(error)
            metrics.refusals.labels(error.kind.value, "entry").inc()
            await emit(ReplyRefused(error.kind, error.message))
        finally:
            self._serving_count -= 1
            if request.nested:
                is_served = trace.outcome == OUTCOME_ANSWERED and not trace.has_failed
                self._gate.on_nested_call_ended(trace.service, is_served)
            self._shedding.record_outcome(trace.service, trace.outcome)
            trace.log(environment.log, environment.now_ms())

    def _record_caller_timeout(self, request: EntryRequest, trace: Trace) -> None:
        name = self._environment.headers.timeout_ms
        if request.header(name):
            trace.record_caller_timeout(request.parse_number(name, 0))

    def _shed_if_late(self, request: EntryRequest) -> None:
        """Refuses a share of new requests while the node lacks processor time.

        The requests of running work are served: their failure would waste that work.
        """
        environment = self._environment
        lag = environment.lag
        if not request.nested and environment.rng.random() < lag.shed_share:
            raise RefusedError(
                Refusal(
                    ErrorKind.OVERLOADED,
                    f"the node runs {lag.lag_ms:.0f} ms late",
                    retry_after_ms=round(lag.lag_ms),
                )
            )

    def _match_route(self, request: EntryRequest) -> BoundRoute:
        snapshot = self._environment.store.snapshot
        bound = snapshot.match(request.method, request.path, request.host)
        if bound is None:
            raise RequestError(
                ErrorKind.NO_ROUTE, f"no route covers {request.method} {request.path!r}"
            )
        if bound.route.visibility is Visibility.INTERNAL and not request.internal:
            raise RequestError(
                ErrorKind.INTERNAL_ONLY, f"route {bound.route.path!r} is internal"
            )
        return bound

    def _require_configuration(self) -> None:
        """Refuses requests of a node that is not ready.

        A node that is leaving still serves, unless it was stopped before it knew a
        configuration.
        """
        environment = self._environment
        board = environment.board
        has_version = environment.store.head.version > 0
        if not board.readiness.value.ready and not (
            board.leaving.value and has_version
        ):
            raise RefusedError(
                Refusal(
                    ErrorKind.NOT_READY,
                    board.readiness.value.reason,
                    retry_after_ms=START_RETRY_AFTER_MS,
                )
            )

    def _limit_or_shed(self, call: Call, trace: Trace) -> Call:
        """Fits a call into a planned stop; refuses one that does not fit or is shed."""
        environment = self._environment
        if call.nested:
            return limit_nested(call, environment)
        admitted = refuse_outlasting(call, environment) or self._shedding.pass_on(
            call, trace.remaining_ms(environment.now_ms())
        )
        if isinstance(admitted, Refusal):
            raise RefusedError(admitted)
        return admitted

    async def _run_attempts(
        self, call: Call, request: WorkerRequest, emit: Emit, trace: Trace
    ) -> None:
        environment = self._environment
        budget = self._budgets.get(call.service, call.nested)
        decisions = create_dispatch(call, request, self.router, budget, environment)
        step = decisions.first_step(
            self._routing_view(call.service), environment.now_ms()
        )
        held_reply: ReplyStart | None = None
        while isinstance(step, SendTo):
            forwarder = ReplyForwarder(
                self._record_load, step, environment, emit, trace
            )
            refusal = await self._send_attempt(step, request, forwarder)
            trace.record_attempt(step.host.name, refusal)
            record_crossing(step, request, forwarder, environment, trace)
            if refusal is None:
                self._answer_sizes.record(trace.route, forwarder.sent_bytes)
                return
            held_reply = forwarder.held_reply or held_reply
            view = self._routing_view(call.service)
            step = decisions.step_after_refusal(refusal, view, environment.now_ms())
            if isinstance(step, SendTo):
                environment.metrics.retries.labels(refusal.kind.value).inc()
        if held_reply is not None and step.refusal.kind is ErrorKind.WORKER_FAILED:
            trace.has_failed = True
            await emit(held_reply)
            return
        raise RefusedError(step.refusal)

    def _record_load(self, service: str, host: str, load: Load, now_ms: float) -> None:
        self.router.record_load(host, load, now_ms)
        self._shedding.record_load(service, host, load, now_ms)

    def _on_run_started(self, call: Call) -> None:
        """Charges the requests that a repeated run is expected to make."""
        self._fanout.record_run()
        if not call.resent:
            return
        for service, count in self._fanout.requests_per_run().items():
            self._budgets.charge(service, count)

    def _routing_view(self, service: str) -> RoutingView:
        environment = self._environment
        hosts = environment.membership.hosts_of_service(service)
        return RoutingView(environment.store.snapshot, hosts)

    async def _send_attempt(
        self, step: SendTo, request: WorkerRequest, forwarder: ReplyForwarder
    ) -> Refusal | None:
        if step.delay_ms:
            await trio.sleep(step.delay_ms / 1_000)
        self.router.on_request_sent(step.host.name)
        try:
            with trio.move_on_after(step.answer_timeout_ms / 1_000) as attempt_scope:
                forwarder.attempt_scope = attempt_scope
                if step.host.name == self._environment.settings.host:
                    await self._gate.serve(step.call, request, forwarder.emit)
                else:
                    await self._send_to_remote_gate(step, request, forwarder)
            if attempt_scope.cancelled_caught:
                return await forwarder.end_late()
            return forwarder.refusal
        except RequestError as error:
            return Refusal(error.kind, error.message)
        finally:
            self.router.on_request_ended(step.host.name)

    async def _send_to_remote_gate(
        self, step: SendTo, request: WorkerRequest, forwarder: ReplyForwarder
    ) -> None:
        """Sends a call to another host's gate and forwards the answer."""
        link = await self._links.get(step.host.address)
        call = step.call
        is_repeatable = (
            call.route_class is RouteClass.IDEMPOTENT and call.attempts_left > 1
        )
        exchange = link.open_exchange(is_repeatable)
        now_ms = self._environment.now_ms()
        try:
            await link.send(call_to_message(exchange.stream_id, call, request, now_ms))
            async for event in exchange.events:
                if isinstance(event, ReplyStart):
                    check_start(event)
                await forwarder.emit(event)
                if isinstance(event, ReplyRefused) or event.last:
                    return
                exchange.on_event_consumed()
            detail = "the answer ended early"
            await forwarder.emit(ReplyRefused(ErrorKind.PEER_LOST, detail))
        finally:
            exchange.close()
