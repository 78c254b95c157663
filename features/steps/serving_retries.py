"""Steps for retries and for the choice of a worker."""

import random

from behave import given
from behave import then
from behave import when
from cactushook import Call
from cactushook import EMPTY_SNAPSHOT
from cactushook import ErrorKind
from cactushook import HostRecord
from cactushook import Refusal
from cactushook import retries
from cactushook import Retry
from cactushook import RetryBudget
from cactushook import RouteClass
from cactushook import Router
from cactushook.dispatch import Dispatch
from cactushook.dispatch import RoutingView
from cactushook.dispatch import SendTo
from cactushook.routing import AVOID_MS

from bench import serving_events as events

OVERLOADED = Refusal(ErrorKind.OVERLOADED, "full")


def hosts(count):
    return [
        HostRecord(name=f"h{i}", address="a", domain="d", region="r", service="s")
        for i in range(count)
    ]


def read_call(attempts=3):
    return Call("r", "s", RouteClass.IDEMPOTENT, 1e9, 1, attempts)


@given("a call that goes through {levels:d} levels, each with {attempts:d} attempts")
def levels_deep(context, levels, attempts):
    context.levels = levels
    context.attempts = attempts
    context.view = RoutingView(EMPTY_SNAPSHOT, hosts(10))
    context.retries_answers = False
    context.sends = 0


@given("levels that retry error answers of their workers")
def retry_answers(context):
    context.retries_answers = True


def call_level(context, level):
    """Returns the refusal with which a level's entry gives up, or None.

    A worker above the lowest level runs the request and answers with an error of its
    own. Its entry retries such an error only if `context.retries_answers` is set.
    """
    router = Router("d", "r", random.Random(level))
    decisions = Dispatch(read_call(context.attempts), router, RetryBudget(100))
    step = decisions.first_step(context.view, 0.0)
    while isinstance(step, SendTo):
        context.sends += 1
        refusal = OVERLOADED
        if level < context.levels:
            refusal = call_level(context, level + 1)
            if not context.retries_answers:
                return None
        step = decisions.step_after_refusal(refusal, context.view, 0.0)
    return step.refusal


@when("the lowest level refuses everything as overloaded")
def lowest_refuses(context):
    context.refusal = call_level(context, 1)


@then("at most {count:d} requests are sent in total")
def at_most_sent(context, count):
    assert context.sends <= count, context.sends


@then("more than {count:d} requests are sent in total")
def more_sent(context, count):
    assert context.sends > count, context.sends


@then("the caller is advised not to retry")
def advised_not_to_retry(context):
    assert retries.retry_advice(ErrorKind.OVERLOADED) is Retry.NEVER


@given("an entry whose service refuses everything as overloaded")
def refusing_service(context):
    context.view = RoutingView(EMPTY_SNAPSHOT, hosts(10))
    context.router = Router("d", "r", random.Random(1))
    context.budget = RetryBudget(100)


@when("{count:d} requests are made")
def requests_made(context, count):
    context.retry_count = 0
    for _ in range(count):
        decisions = Dispatch(read_call(), context.router, context.budget)
        decisions.first_step(context.view, 0.0)
        while isinstance(
            decisions.step_after_refusal(OVERLOADED, context.view, 0.0), SendTo
        ):
            context.retry_count += 1


@then("at most {count:d} of them are retried")
def retried(context, count):
    assert 0 < context.retry_count <= count, context.retry_count


@when("an attempt ends, then the entry decides")
def entry_decides(context):
    for row in context.table:
        kind, cls = ErrorKind(row["kind"]), RouteClass(row["class"])
        decision = retries.decide(kind, cls, 2, RetryBudget(100))
        seen = getattr(getattr(decision, "kind", None), "value", "retry")
        assert seen == row["decision"], (row, seen)


@given('an entry with 1 worker which refused as "{kind}" at {at_ms:d} ms')
def one_worker(context, kind, at_ms):
    context.router = Router("d", "r", random.Random(1))
    (context.host,) = hosts(1)
    context.router.avoid(context.host, ErrorKind(kind), at_ms)


@then("at {at_ms:d} ms the entry still chooses it")
def still_chosen(context, at_ms):
    choice = context.router.choose("s", EMPTY_SNAPSHOT, [context.host], at_ms)
    assert choice.host is context.host
    reason = context.router.exclusion_reason(context.host, EMPTY_SNAPSHOT, at_ms)
    assert reason == "refused recently", reason


@then('the entry avoids it for longer after "{first}" than after "{second}"')
def avoids_for_longer(context, first, second):
    assert AVOID_MS[ErrorKind(first)] > AVOID_MS[ErrorKind(second)]


@when(
    "a read that takes {work_ms:d} ms of its route's timeout of {timeout_ms:d} ms "
    "is sent"
)
def slow_read(context, work_ms, timeout_ms):
    world = context.world
    context.label = world.send_request(
        "order-desk-th-central-a-0", "/catalogue", work_ms
    )
    world.run(world.now_ms + timeout_ms + 1_000)


@then("it is answered after one attempt")
def answered_once(context):
    kinds = [
        type(event)
        for event in context.world.transcript
        if getattr(event, "label", "") == context.label
    ]
    assert kinds.count(events.Answered) == 1, kinds
    assert kinds.count(events.AttemptSent) == 1, kinds
