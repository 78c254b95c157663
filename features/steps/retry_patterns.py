"""Steps for retries and retry budgets under patterns of load, without a network."""

import collections
import random

from behave import given
from behave import then
from behave import when
from cactushook import Call
from cactushook import EMPTY_SNAPSHOT
from cactushook import ErrorKind
from cactushook import HostRecord
from cactushook import Refusal
from cactushook import RouteClass
from cactushook import Router
from cactushook.breaker import CircuitBreaker
from cactushook.breaker import MIN_FAILURES
from cactushook.dispatch import Dispatch
from cactushook.dispatch import Refuse
from cactushook.dispatch import RoutingView
from cactushook.dispatch import SendTo
from cactushook.fanout import Fanout
from cactushook.retries import WindowBudget

HOSTS = tuple(
    HostRecord(name=f"h{index}", address="a", domain="d", region="r", service="s")
    for index in range(6)
)


@given(
    "a retry budget of 1 in 10 requests plus {slack:d} in each window of "
    "{window_ms:d} ms"
)
def window_budget(context, window_ms, slack):
    context.budget = WindowBudget(0.1, slack, window_ms)
    context.budget.advance(0.0)


@when("{rate:d} requests a second arrive for 20 s and each needs a retry")
def all_need_retry(context, rate):
    context.granted_ms = []
    for index in range(rate * 20):
        now_ms = index * 1_000 / rate
        context.budget.advance(now_ms)
        context.budget.record_request()
        if context.budget.spend():
            context.granted_ms.append(now_ms)
    context.now_ms = now_ms


@then("at most {count:d} retries are granted in any window")
def window_bound(context, count):
    granted = collections.deque()
    for at_ms in context.granted_ms:
        granted.append(at_ms)
        while granted[0] <= at_ms - 10_000:
            granted.popleft()
        assert len(granted) <= count, (at_ms, len(granted))


@then("after 30 s without requests at most {count:d} are granted")
def quiet_bound(context, count):
    context.budget.advance(context.now_ms + 30_000)
    assert sum(context.budget.spend() for _ in range(50)) <= count


@given("runs that make 1.4 requests each")
def fanout(context):
    context.fanout = Fanout()
    for index in range(100):
        context.fanout.record_run()
        for _ in range(2 if index % 10 < 7 else 0):
            context.fanout.record_request("s")


@when(
    "{runs:d} runs are retried and {count:d} requests arrive at the service that they "
    "call"
)
def runs_retried(context, runs, count):
    for _ in range(count):
        context.budget.record_request()
    for _ in range(runs):
        context.budget.charge(context.fanout.requests_per_run()["s"])


@then("no retry is granted")
def none_granted(context):
    assert not context.budget.spend()


@given(
    "a retry budget of {ratio:d} in 100 requests, {failed:d} of them after failures, "
    "and a window of 10000 ms"
)
def failure_window(context, ratio, failed):
    context.budget = WindowBudget(ratio / 100, 0.0, 10_000, failed / 100)


@when("{count:d} requests arrive and each fails")
def all_fail(context, count):
    for _ in range(count):
        context.budget.record_request()


@then(
    "{failed:d} retries are granted after failures and {lost:d} more after lost answers"
)
def granted_by_kind(context, failed, lost):
    spend = context.budget.spend
    assert sum(spend(ErrorKind.WORKER_FAILED) for _ in range(50)) == failed
    assert sum(spend(ErrorKind.WORKER_LOST) for _ in range(50)) == lost


@when(
    "{count:d} requests arrive, {nested:d} of them nested, and the others are refused "
    "first"
)
def others_first(context, count, nested):
    budget = context.budget
    for index in range(count):
        (budget.nested if index < nested else budget).record_request()
    context.granted = [
        sum(budget.spend() for _ in range(count - nested)),
        sum(budget.nested.spend() for _ in range(nested)),
    ]


@then(
    "others get {others:d} retries, nested requests get {nested:d}, and {limit:d} at "
    "most in all"
)
def granted_to_both(context, others, nested, limit):
    assert context.granted == [others, nested], context.granted
    assert sum(context.granted) <= limit


@given(
    "an entry that may try {count:d} more gates after refusals that reached no worker"
)
def redirecting(context, count):
    context.redirects = count
    context.budget = WindowBudget(0.0, 0.0, 10_000)


def make_dispatch(context, attempts, nested=False):
    call = Call(
        "q",
        "s",
        RouteClass.IDEMPOTENT,
        1_000.0,
        1,
        attempts_left=attempts,
        nested=nested,
    )
    router = Router("d", "r", random.Random(1))
    return Dispatch(call, router, context.budget, context.redirects)


def try_gates(context, kind, nested=False):
    view = RoutingView(EMPTY_SNAPSHOT, HOSTS)
    decisions = make_dispatch(context, 2, nested)
    step = decisions.first_step(view, 0.0)
    context.tried = 0
    while isinstance(step, SendTo):
        context.tried += 1
        step = decisions.step_after_refusal(Refusal(kind, ""), view, 0.0)
    assert isinstance(step, Refuse)
    context.received_kind = step.refusal.kind


@when('the gates refuse as "{kind}"')
def gates_refuse(context, kind):
    try_gates(context, ErrorKind(kind))


@when('the gates refuse each {name} request as "{kind}"')
def gates_refuse_each(context, name, kind):
    try_gates(context, ErrorKind(kind), nested=name == "nested")


@then("{count:d} gates are tried and no retry is spent")
def gates_tried(context, count):
    assert context.tried == count, context.tried


@when("a worker rejects a request and the budget is spent")
def worker_rejects(context):
    try_gates(context, ErrorKind.WORKER_REJECTED)


@then('{count:d} gates are tried and the caller receives "{kind}"')
def tried_and_received(context, count, kind):
    assert (context.tried, context.received_kind.value) == (count, kind)


@given("a retry budget with {count:d} retry left")
def retry_left(context, count):
    context.budget = WindowBudget(0.0, count, 10_000)


@given("gates whose breakers are open")
def open_breakers(context):
    context.breakers = {host.name: CircuitBreaker() for host in HOSTS}
    for breaker in context.breakers.values():
        for _ in range(MIN_FAILURES):
            breaker.record_outcome(failed=True, now_ms=0.0)
        # The trial of the present period is taken by another request.
        assert breaker.allow_request(is_retryable=True, insists=False, now_ms=0.0)


@when("every worker rejects the request")
def workers_reject(context):
    view = RoutingView(EMPTY_SNAPSHOT, HOSTS)
    decisions = make_dispatch(context, attempts=6)
    step = decisions.first_step(view, 0.0)
    context.arrived = 0
    while isinstance(step, SendTo):
        breaker = context.breakers[step.host.name]
        kind = ErrorKind.WORKER_FAILING
        if breaker.allow_request(True, step.call.insists, now_ms=1.0):
            context.arrived += 1
            kind = ErrorKind.WORKER_REJECTED
        step = decisions.step_after_refusal(Refusal(kind, ""), view, 1.0)
    context.received_kind = step.refusal.kind


@then('{count:d} requests reach a worker and the caller receives "{kind}"')
def reached(context, count, kind):
    assert (context.arrived, context.received_kind.value) == (count, kind)


@when("a request is to be sent {late_ms:d} ms after its deadline")
def sent_late(context, late_ms):
    view = RoutingView(EMPTY_SNAPSHOT, HOSTS)
    decisions = make_dispatch(context, attempts=2)
    context.step = decisions.first_step(view, 1_000.0 + late_ms)


@then("no gate is asked and it is refused as not run in time")
def refused_in_time(context):
    assert isinstance(context.step, Refuse), context.step
    assert context.step.refusal.kind is ErrorKind.DEADLINE_NOT_RUN, context.step
