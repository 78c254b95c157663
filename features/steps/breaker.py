"""Steps for the circuit breaker in front of a worker."""

import random

from behave import given
from behave import then
from behave import when
from cactushook import EMPTY_SNAPSHOT
from cactushook import HostRecord
from cactushook import Refusal
from cactushook import Router
from cactushook.breaker import ANY_TRIAL_PERIOD_MS
from cactushook.breaker import CircuitBreaker
from cactushook.breaker import TRIAL_PERIOD_MS
from cactushook.calls import Load
from cactushook.dispatch import Dispatch
from cactushook.dispatch import RoutingView
from cactushook.dispatch import SendTo
from cactushook.exceptions import ErrorKind
from overload_patterns import request

START_MS = 60_000.0


@given("a breaker in front of a worker")
def breaker(context):
    context.breaker = CircuitBreaker()
    context.now_ms = START_MS


def end_runs(context, count, length_ms, failed, after_nested_failure=False):
    for index in range(count):
        context.now_ms += length_ms / count
        fails = index * failed // count != (index + 1) * failed // count
        if fails and after_nested_failure:
            context.breaker.record_nested_failure(context.now_ms)
        context.breaker.record_outcome(fails, context.now_ms)


@when("{count:d} runs end within {length_ms:d} ms and {failed:d} of them fail")
def runs_end(context, count, length_ms, failed):
    end_runs(context, count, length_ms, failed)


@when(
    "{count:d} runs end within {length_ms:d} ms and {failed:d} of them fail after a "
    "nested call failed"
)
def runs_end_after_nested_failure(context, count, length_ms, failed):
    end_runs(context, count, length_ms, failed, after_nested_failure=True)


@then("it is open")
def is_open(context):
    assert context.breaker.is_open


@then("it is closed")
def is_closed(context):
    assert not context.breaker.is_open


@then("requests that are not retryable are rejected")
def unretryable_rejected(context):
    assert not context.breaker.allow_request(False, False, context.now_ms)


def allow_trial(context):
    context.now_ms += TRIAL_PERIOD_MS
    assert context.breaker.allow_request(True, False, context.now_ms)


@then("one retryable request is allowed each 500 ms")
def one_trial_per_period(context):
    for _ in range(3):
        allow_trial(context)
        assert not context.breaker.allow_request(True, False, context.now_ms + 499)


def allow_any_trial(context):
    context.now_ms += ANY_TRIAL_PERIOD_MS
    assert context.breaker.allow_request(False, False, context.now_ms)


@then("one request that is not retryable is allowed each 2000 ms")
def one_any_trial_per_period(context):
    for _ in range(3):
        allow_any_trial(context)
        assert not context.breaker.allow_request(False, False, context.now_ms + 1_999)


@when("the worker answers {count:d} such requests")
def any_trials_answered(context, count):
    for _ in range(count):
        allow_any_trial(context)
        context.breaker.record_outcome(False, context.now_ms)


@when("{count:d} allowed requests are answered")
def trials_answered(context, count):
    for _ in range(count):
        allow_trial(context)
        context.breaker.record_outcome(False, context.now_ms)


@when("{count:d} allowed requests fail")
def trials_fail(context, count):
    for _ in range(count):
        allow_trial(context)
        context.breaker.record_outcome(True, context.now_ms)


@then("a request that has no other gate left is allowed")
def allowed_without_other_gate(context):
    assert context.breaker.allow_request(False, True, context.now_ms)


def worker_host(number):
    return HostRecord(
        name=f"h{number}",
        address=f"a{number}",
        domain="d",
        region="r",
        service="s",
        incarnation=1,
    )


@then("only the call to the last of {count:d} gates says that no other gate is left")
def only_last_insists(context, count):
    router = Router("d", "r", random.Random(1))
    view = RoutingView(EMPTY_SNAPSHOT, [worker_host(number) for number in range(9)])
    call = request(START_MS)
    decisions = Dispatch(call, router, context.budget, context.redirects)
    step = decisions.first_step(view, START_MS)
    insists = []
    while isinstance(step, SendTo):
        insists.append(step.call.insists)
        refusal = Refusal(ErrorKind.WORKER_FAILING, "fails")
        step = decisions.step_after_refusal(refusal, view, START_MS)
    assert insists == [False] * (count - 1) + [True], insists


@given("an entry that knows {count:d} workers, none of which accepts requests")
def no_accepting_worker(context, count):
    context.hosts = [worker_host(number) for number in range(count)]
    context.router = Router("d", "r", random.Random(1))
    for host in context.hosts:
        context.router.record_load(host.name, Load(0, 0, 9, accepting=False), START_MS)


@when("it chooses one of them {count:d} times")
def choose_repeatedly(context, count):
    context.chosen = []
    for _ in range(count):
        choice = context.router.choose("s", EMPTY_SNAPSHOT, context.hosts, START_MS)
        context.router.on_request_sent(choice.host.name)
        context.chosen.append(choice.host.name)


@then("each of them is chosen at least {least:d} times")
def chosen_evenly(context, least):
    counts = [context.chosen.count(host.name) for host in context.hosts]
    assert min(counts) >= least, counts
