"""Steps for the placement of requests on many small workers, without a network."""

import random

from behave import given
from behave import then
from behave import when
from cactushook import Admission
from cactushook import Admitted
from cactushook import Call
from cactushook import EMPTY_SNAPSHOT
from cactushook import HostRecord
from cactushook import Limits
from cactushook import Queued
from cactushook import Refused
from cactushook import RouteClass
from cactushook import Router
from cactushook.calls import Load
from cactushook.dispatch import Dispatch
from cactushook.dispatch import RoutingView
from cactushook.dispatch import SendTo
from cactushook.retries import WindowBudget

START_MS = 60_000.0
RUN_MS = 100.0
LIMITS = Limits(
    slots=1, connections=9, queue_length=50, queue_timeout_ms=9_000, ramp_ms=1
)


def make_hosts(count):
    return tuple(
        HostRecord(
            name=f"h{i}", address="a", domain=f"d{i % 3}", region="r", service="s"
        )
        for i in range(count)
    )


def make_call(name):
    return Call(
        name,
        "s",
        RouteClass.IDEMPOTENT,
        START_MS + 1_000,
        1,
        attempts_left=2,
        objective_ms=START_MS + 600,
    )


def warm_gate():
    """Returns a gate that has learned how long its requests take."""
    gate = Admission(LIMITS, 0.0)
    gate.offer(make_call("warm"), START_MS - RUN_MS)
    gate.release("warm", START_MS)
    return gate


@given(
    "an entry that may ask {redirects:d} more gates, and {count:d} workers with 1 slot "
    "of which {busy:d} are busy"
)
def entry_and_workers(context, redirects, count, busy):
    context.redirects = redirects
    context.hosts = make_hosts(count)
    context.busy = {host.name for host in context.hosts[:busy]}


@when("a request arrives at the entry, in each of {draws:d} draws")
def arrives(context, draws):
    context.paths = [place(context, seed) for seed in range(draws)]


def place(context, seed):
    """Returns the verdicts of the gates that one request asks, in order."""
    rng = random.Random(seed)
    router = Router("d0", "r", rng)
    view = RoutingView(EMPTY_SNAPSHOT, context.hosts)
    gates = {host.name: warm_gate() for host in context.hosts}
    for name in context.busy:
        gates[name].offer(make_call("other"), START_MS)
    budget = WindowBudget(0.0, 0.0, 1_000.0)
    dispatch = Dispatch(make_call("q"), router, budget, context.redirects)
    step = dispatch.first_step(view, START_MS)
    path = []
    while isinstance(step, SendTo):
        gate = gates[step.host.name]
        verdict = gate.offer(step.call, START_MS)[-1]
        path.append((step.host.name, verdict))
        router.record_load(step.host.name, gate.load(START_MS), START_MS)
        if not isinstance(verdict, Refused):
            break
        step = dispatch.step_after_refusal(verdict.refusal, view, START_MS)
    return path


@then("each request starts at once at the first free gate that it asks")
def starts_at_free(context):
    for path in context.paths:
        for name, verdict in path:
            is_free = name not in context.busy
            assert isinstance(verdict, Admitted) is is_free, (name, verdict)


@then("one that finds {count:d} gates busy waits at the last of them only")
def waits_at_last(context, count):
    for path in context.paths:
        waits = [isinstance(verdict, Queued) for _, verdict in path]
        assert sum(waits) <= 1, path
        if any(waits):
            assert len(path) == count and waits[-1], path


@then("at least {percent:d} percent of the requests start at once")
def start_at_once(context, percent):
    started = sum(isinstance(path[-1][1], Admitted) for path in context.paths)
    assert started * 100 >= percent * len(context.paths), started


@then("it waits at the first gate that it asks")
def waits_at_first(context):
    ((_, verdict),) = context.paths[0]
    assert isinstance(verdict, Queued), verdict


@given(
    "{count:d} idle workers of which {slow:d} take {slow_ms:d} ms for a request and "
    "the others {fast_ms:d} ms"
)
def fast_and_slow(context, count, slow, slow_ms, fast_ms):
    context.hosts = make_hosts(count)
    context.slow = {host.name for host in context.hosts[:slow]}
    context.router = Router("d0", "r", random.Random(3))
    for host in context.hosts:
        service_ms = slow_ms if host.name in context.slow else fast_ms
        load = Load(0, 0, 3, service_ms=service_ms)
        context.router.record_load(host.name, load, START_MS)


@when("{count:d} requests are placed")
def placed(context, count):
    context.placed = [
        context.router.choose("s", EMPTY_SNAPSHOT, context.hosts, START_MS).host.name
        for _ in range(count)
    ]


@then("at most {percent:d} percent of them go to the slow ones")
def few_to_slow(context, percent):
    slow = sum(name in context.slow for name in context.placed)
    assert slow * 100 <= percent * len(context.placed), slow


@when("{count:d} requests have run for {run_ms:d} ms")
def have_run(context, count, run_ms):
    driver = context.load
    driver.service_ms = 10 * run_ms
    for _ in range(count):
        driver.offer()
    driver.advance(driver.now_ms + run_ms)


@then("the gate reports that requests take at least {run_ms:d} ms")
def reports_slow(context, run_ms):
    driver = context.load
    assert driver.gate.load(driver.now_ms).service_ms >= run_ms
