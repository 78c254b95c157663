"""Steps that play generated events on the decisions of entries and gates."""

import dataclasses
import random
import typing as t
import unittest.mock

import hypothesis
from behave import given
from behave import then
from behave import when
from cactushook import Admitted
from cactushook import Call
from cactushook import ErrorKind
from cactushook import HostRecord
from cactushook import HostState
from cactushook import Limits
from cactushook import Queued
from cactushook import Refusal
from cactushook import Refused
from cactushook import retries
from cactushook import RouteClass
from cactushook import Router
from cactushook import Snapshot
from cactushook import TeamFile
from cactushook.calls import Listing
from cactushook.dispatch import Dispatch
from cactushook.dispatch import Refuse
from cactushook.dispatch import RoutingView
from cactushook.dispatch import SendTo
from cactushook.exceptions import ERROR_RESPONSES
from cactushook.exceptions import Ran
from cactushook.exceptions import Retry
from cactushook.gatekeeping import Answered
from cactushook.gatekeeping import Failed
from cactushook.gatekeeping import Gatekeeper
from cactushook.publication import Head
from cactushook.retries import WindowBudget
from hypothesis import strategies as st

from features import generated

START_MS = 60_000.0
TIMEOUT_MS = 1_000.0
HOSTS = tuple(
    HostRecord(
        name=f"h{index}", address=f"{index}", domain="d", region="r", service="s"
    )
    for index in range(4)
)
LIMITS = Limits(slots=1, connections=9, queue_length=3, queue_timeout_ms=200, ramp_ms=1)
TEAM_FILE = TeamFile(service="s", team="", failure_domains=(), limits=LIMITS)
SNAPSHOT = Snapshot(Head(version=1, root=""), {"s": TEAM_FILE}, {}, ())
VIEW = RoutingView(SNAPSHOT, HOSTS)

# How a request at a worker may end, and whether it has run then.
RUN_ENDS = {
    Answered(1.0): True,
    Answered(1.0, failed=True): True,
    Failed(ErrorKind.WORKER_LOST): True,
    Failed(ErrorKind.ANSWER_INVALID): True,
    Failed(ErrorKind.DEADLINE_EXCEEDED): True,
    Failed(ErrorKind.WORKER_REJECTED): False,
    Failed(ErrorKind.WORKER_REPLACED): False,
    Failed(ErrorKind.WORKER_UNREACHABLE): False,
}


@dataclasses.dataclass(slots=True)
class TrackedRequest:
    """One request at its entry, and how often it ran."""

    call: Call
    dispatch: Dispatch
    attempts: int = 0
    runs: int = 0
    final_kind: ErrorKind | None = None

    @property
    def was_promised_not_run(self) -> bool:
        return (
            self.final_kind is not None
            and ERROR_RESPONSES[self.final_kind].ran is Ran.NO
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One send of a request to a gate."""

    request: str
    number: int
    host: str
    call: Call


class Model:
    """A few entries' requests and the gates of one service, without a network."""

    def __init__(self, draw: t.Callable[..., t.Any]) -> None:
        self._draw = draw
        self._now_ms = START_MS
        self._router = Router("d", "r", random.Random(1))
        self._budget = WindowBudget(1.0, 50.0, 10_000.0)
        self._keepers = {host.name: Gatekeeper(host, True) for host in HOSTS}
        self._starts = dict.fromkeys(self._keepers, 0)
        for host, keeper in self._keepers.items():
            keeper.configure(SNAPSHOT, 0.0)
            self._list_worker(host, HostState.LIVE)
        self.requests: dict[str, TrackedRequest] = {}
        self._sent: list[Attempt] = []
        self._waiting: dict[tuple[str, str], Attempt] = {}
        self._running: dict[tuple[str, str], Attempt] = {}

    def play(self, count: int) -> None:
        """Plays events, then delivers and ends all that is left."""
        events = (
            self._new_request,
            self._deliver,
            self._end_run,
            self._lose_answer,
            self._pass_time,
            self._change_worker,
        )
        for _ in range(count):
            self._draw(st.sampled_from(events))()
        while self._sent or self._waiting or self._running:
            self._deliver()
            self._end_run()
            self._now_ms += LIMITS.queue_timeout_ms
            self._expire()

    def _new_request(self) -> None:
        classes = (RouteClass.IDEMPOTENT, RouteClass.NON_IDEMPOTENT)
        name = f"q{len(self.requests)}"
        call = Call(
            name,
            "s",
            self._draw(st.sampled_from(classes)),
            self._now_ms + TIMEOUT_MS,
            1,
            attempts_left=3,
            nested=self._draw(st.booleans()),
        )
        redirects = self._draw(st.integers(0, 2))
        budget = self._budget.nested if call.nested else self._budget
        dispatch = Dispatch(call, self._router, budget, redirects)
        self.requests[name] = TrackedRequest(call, dispatch)
        self._budget.advance(self._now_ms)
        self._follow(name, dispatch.first_step(VIEW, self._now_ms))

    def _follow(self, name: str, step: SendTo | Refuse) -> None:
        request = self.requests[name]
        request.attempts += 1
        match step:
            case Refuse(refusal):
                request.final_kind = refusal.kind
            case SendTo(host, call):
                self._sent.append(Attempt(name, request.attempts, host.name, call))

    def _deliver(self) -> None:
        if not self._sent:
            return
        index = self._draw(st.integers(0, len(self._sent) - 1))
        attempt = self._sent.pop(index)
        if self._draw(st.integers(0, 9)) == 0:
            self._reply(attempt, Refusal(ErrorKind.PEER_UNREACHABLE, ""))
            return
        keeper = self._keepers[attempt.host]
        call = attempt.call
        while keeper.holds(call):
            call = dataclasses.replace(call, request_id=f"{call.request_id}#")
        self._waiting[attempt.host, call.request_id] = attempt
        verdicts = keeper.offer(call, HOSTS, self._now_ms, self._now_ms)
        self._settle(attempt.host, verdicts)

    def _settle(self, host: str, verdicts: t.Iterable[t.Any]) -> None:
        for verdict in verdicts:
            key = (host, verdict.call.request_id)
            match verdict:
                case Admitted():
                    self._running[key] = self._waiting.pop(key)
                case Refused(refusal=refusal):
                    self._reply(self._waiting.pop(key), refusal)
                case Queued():
                    assert key in self._waiting

    def _end_run(self) -> None:
        if not self._running:
            return
        key = self._draw(st.sampled_from(sorted(self._running)))
        attempt = self._running.pop(key)
        outcome = self._draw(st.sampled_from(tuple(RUN_ENDS)))
        self.requests[attempt.request].runs += RUN_ENDS[outcome]
        host, request_id = key
        call = dataclasses.replace(attempt.call, request_id=request_id)
        ended = self._keepers[host].on_request_ended(call, outcome, self._now_ms)
        self._settle(host, ended.verdicts)
        refusal = ended.refusal
        if isinstance(outcome, Answered) and outcome.failed:
            refusal = Refusal(ErrorKind.WORKER_FAILED, "")
        if refusal is not None:
            self._reply(attempt, refusal)

    def _lose_answer(self) -> None:
        """Ends the link of an attempt, wherever the attempt is."""
        pending = [*self._sent, *self._waiting.values(), *self._running.values()]
        if pending:
            index = self._draw(st.integers(0, len(pending) - 1))
            self._reply(pending[index], Refusal(ErrorKind.PEER_LOST, ""))

    def _reply(self, attempt: Attempt, refusal: Refusal) -> None:
        request = self.requests[attempt.request]
        if request.attempts != attempt.number or request.final_kind is not None:
            return
        step = request.dispatch.step_after_refusal(refusal, VIEW, self._now_ms)
        self._follow(attempt.request, step)

    def _pass_time(self) -> None:
        self._now_ms += self._draw(st.sampled_from((1.0, 40.0, 300.0)))
        self._budget.advance(self._now_ms)
        self._expire()

    def _expire(self) -> None:
        for host, keeper in self._keepers.items():
            self._settle(host, keeper.expire(self._now_ms))

    def _change_worker(self) -> None:
        host = self._draw(st.sampled_from(sorted(self._keepers)))
        keeper = self._keepers[host]
        match self._draw(st.sampled_from(("restart", "leave", "down", "up"))):
            case "restart":
                self._starts[host] += 1
                self._list_worker(host, HostState.LIVE)
            case "leave":
                self._list_worker(host, HostState.LEAVING)
            case "down":
                keeper.on_worker_down(self._now_ms)
            case "up":
                keeper.on_worker_up(self._now_ms)

    def _list_worker(self, host: str, state: HostState) -> None:
        instance = f"{host}-{self._starts[host]}"
        listing = Listing(instance, "s", LIMITS.slots, state)
        keeper = self._keepers[host]
        verdicts = keeper.on_listing(listing, self._now_ms)
        if verdicts:
            self._settle(host, verdicts)


def _retry_always(kind, route_class, attempts_left, budget, redirects_left=0):
    if attempts_left < 1 or ERROR_RESPONSES[kind].retry is Retry.NEVER:
        return retries.GiveUp(kind)
    return retries.RetryElsewhere()


def _forget_earlier_attempts(self, refusal):
    return Refuse(refusal)


WRONG_DECISIONS = {
    "a lost answer is retried": unittest.mock.patch(
        "cactushook.retries.decide", _retry_always
    ),
    "an earlier attempt that ran is forgotten": unittest.mock.patch.object(
        Dispatch, "_refuse", _forget_earlier_attempts
    ),
    "a lost worker is taken for one not reached": unittest.mock.patch.dict(
        ERROR_RESPONSES,
        {ErrorKind.WORKER_LOST: ERROR_RESPONSES[ErrorKind.WORKER_UNREACHABLE]},
    ),
}


@given('decisions of which one is wrong: "{decision}"')
def wrong_decision(context, decision):
    context.resources.enter_context(WRONG_DECISIONS[decision])


@when(
    "{count:d} generated series of {length:d} events are played on the decisions of "
    "entries and gates"
)
def series_played(context, count, length):
    context.requests = []

    @hypothesis.settings(generated.PROPER, max_examples=count)
    @hypothesis.given(st.data())
    def play(data):
        model = Model(data.draw)
        model.play(length)
        context.requests += model.requests.values()

    play()


def ran_twice(request):
    is_idempotent = request.call.route_class is RouteClass.IDEMPOTENT
    return request.runs > 1 and not is_idempotent


def ran_despite_promise(request):
    return request.runs > 0 and request.was_promised_not_run


FINDINGS = {
    "ran twice": ran_twice,
    "was refused as not run and ran": ran_despite_promise,
}


@then("no request that is not idempotent has run twice")
def none_ran_twice(context):
    assert len(context.requests) > 1_000
    assert not list(filter(ran_twice, context.requests))


@then("no request that was refused as not run has run")
def promises_kept(context):
    assert any(request.was_promised_not_run for request in context.requests)
    assert not list(filter(ran_despite_promise, context.requests))


@then("a request was found that {finding}")
def found(context, finding):
    assert any(map(FINDINGS[finding], context.requests))
