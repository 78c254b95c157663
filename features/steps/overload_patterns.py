"""Steps for patterns of load, in virtual time."""

import collections
import random

from behave import given
from behave import then
from behave import when
from cactushook import Admission
from cactushook import Admitted
from cactushook import EMPTY_SNAPSHOT
from cactushook import HostRecord
from cactushook import HostState
from cactushook import Queued
from cactushook import Refused
from cactushook import Route
from cactushook import RouteClass
from cactushook import Router
from cactushook import TeamFile
from cactushook.calls import Listing
from cactushook.calls import Load
from cactushook.gatekeeping import Answered
from cactushook.nodes import SplitPart
from cactushook.snapshot import bind_route
from cactushook.splits import Splits

from features.gate_driver import GateDriver
from features.gate_driver import limits
from features.gate_driver import request
from features.gate_driver import START_MS


@given("a gate with {slots:d} slots whose answers take {service_ms:d} ms")
def gate(context, slots, service_ms):
    context.load = GateDriver(Admission(limits(slots), 0.0), service_ms)


@given("a gate with {slots:d} slots and a queue of {queue:d} whose answers take 10 ms")
def short_gate(context, slots, queue):
    context.load = GateDriver(Admission(limits(slots, queue), 0.0), 10)


@when(
    "{count:d} requests with an objective of {objective_ms:d} ms arrive at the same "
    "moment"
)
def burst(context, count, objective_ms):
    load = context.load
    context.verdicts = [load.offer(objective_ms=objective_ms) for _ in range(count)]
    load.advance(load.now_ms + 2_000)


@then("every request that is refused is refused at the moment of its arrival")
def refused_at_once(context):
    load = context.load
    assert load.refused
    for name, (at_ms, _) in load.refused.items():
        assert at_ms == load.arrived_ms[name], name


@then("every request that is admitted starts by {limit_ms:d} ms after its arrival")
def starts_by(context, limit_ms):
    load = context.load
    assert load.started_ms
    for name, at_ms in load.started_ms.items():
        assert at_ms - load.arrived_ms[name] <= limit_ms, name


@then("each refusal says when to retry")
def refusals_say_when(context):
    for _, refusal in context.load.refused.values():
        assert refusal.retry_after_ms > 0, refusal


@when(
    "{rate:d} requests a second with an objective of {objective_ms:d} ms arrive for "
    "10 s"
)
def steady(context, rate, objective_ms):
    load = context.load
    context.objective_ms = objective_ms
    context.length_ms = 10_000
    for _ in range(rate * 10):
        load.offer(objective_ms=objective_ms)
        load.advance(load.now_ms + 1_000 / rate)


@then("at least {percent:d} percent of the answers that the slots can give are in time")
def in_time(context, percent):
    load = context.load
    possible = load.gate.limits.slots * context.length_ms / load.service_ms
    waits = [at - load.arrived_ms[name] for name, at in load.started_ms.items()]
    timely = sum(wait + load.service_ms <= context.objective_ms for wait in waits)
    assert timely >= percent / 100 * possible, (timely, possible)


@then("no request waits longer than {limit_ms:d} ms")
def no_long_wait(context, limit_ms):
    load = context.load
    ends = [*load.started_ms.items(), *((n, at) for n, (at, _) in load.refused.items())]
    assert max(at - load.arrived_ms[name] for name, at in ends) <= limit_ms


@when(
    "a request is offered 1 ms after its objective of {objective_ms:d} ms, "
    "with {left_ms:d} ms left"
)
def late(context, objective_ms, left_ms):
    context.late = {"objective_ms": -1.0, "left_ms": left_ms}
    assert isinstance(context.load.offer(), Admitted)


@then("it is queued while no other request waits")
def late_waits(context):
    verdict = context.load.offer(**context.late)
    assert isinstance(verdict, Queued), verdict
    context.load.gate.cancel(verdict.call.request_id)


@then("it is refused behind {count:d} waiting requests")
def late_refused(context, count):
    for _ in range(count):
        assert isinstance(context.load.offer(), Queued)
    assert isinstance(context.load.offer(**context.late), Refused)


@when(
    "a request with an objective of {objective_ms:d} ms and {left_ms:d} ms left waits, "
    "and nested ones keep arriving"
)
def starved(context, objective_ms, left_ms):
    load = context.load
    load.offer()
    context.starved = load.offer(objective_ms=objective_ms, left_ms=left_ms)
    assert isinstance(context.starved, Queued), context.starved
    for _ in range(20):
        load.offer(nested=True)
        load.advance(load.now_ms + 50)


@then(
    'it is refused as "{kind}" between {least_ms:d} and {most_ms:d} ms after its '
    "arrival"
)
def starved_refused(context, kind, least_ms, most_ms):
    load = context.load
    name = context.starved.call.request_id
    refused_ms, refusal = load.refused[name]
    assert refusal.kind.value == kind, refusal
    assert least_ms <= refused_ms - load.arrived_ms[name] <= most_ms


@when("a request runs, and requests of priority 0 and 1 and a nested one wait")
def three_wait(context):
    load = context.load
    load.offer()
    fields = ({"priority": 1}, {"priority": 0}, {"priority": 2, "nested": True})
    context.waiting = [load.offer(**item).call.request_id for item in fields]


@then("the freed slots go to the nested one, then to priority 0, then to 1")
def in_order(context):
    load = context.load
    load.advance(load.now_ms + 1_000)
    order = sorted(context.waiting, key=load.started_ms.__getitem__)
    assert order == context.waiting[::-1], order


@when("a request runs and one of priority {priority:d} waits")
def one_waits(context, priority):
    assert isinstance(context.load.offer(), Admitted)
    context.waiting = context.load.offer(priority=priority)
    assert isinstance(context.waiting, Queued)


@then("one of priority {priority:d} takes its place")
def displaces(context, priority):
    assert isinstance(context.load.offer(priority=priority), Queued)
    assert context.waiting.call.request_id in context.load.refused


@then("a further one of priority {priority:d} is refused")
def further_refused(context, priority):
    assert isinstance(context.load.offer(priority=priority), Refused)


@when("a request runs, another waits and the address moves to another service")
def address_reused(context):
    keeper = context.keeper
    verdicts = [
        keeper.offer(request(START_MS), (), START_MS, 0.0)[-1] for _ in range(2)
    ]
    assert [type(item) for item in verdicts] == [Admitted, Queued], verdicts
    context.waiting = verdicts[1].call
    other = Listing("i-2", "other", 1, HostState.LIVE)
    context.verdicts = keeper.on_listing(other, START_MS + 1)
    context.verdicts += keeper.on_request_ended(
        verdicts[0].call, Answered(1.0), START_MS + 2
    ).verdicts


@then('the waiting request is refused as "{kind}" and was not sent')
def waiting_refused(context, kind):
    (verdict,) = context.verdicts
    assert verdict.call == context.waiting
    assert verdict.refusal.kind.value == kind, verdict


@given("a near worker with 10 busy slots and 4 waiting requests, and an idle far one")
def near_and_far(context):
    context.router = Router("near", "r", random.Random(1))
    context.hosts = [
        HostRecord(name=name, address="a", domain=name, region="r", service="s")
        for name in ("near", "far")
    ]
    record_loads(context, 4)


def record_loads(context, queued):
    context.router.record_load("near", Load(10, queued, 10), START_MS)
    context.router.record_load("far", Load(0, 0, 10), START_MS)


def choose_host(context, expects_large_answer):
    choice = context.router.choose(
        "s", EMPTY_SNAPSHOT, context.hosts, START_MS, (), expects_large_answer
    )
    return choice.host.name


@then("a request with a small answer goes far and one with a large answer stays near")
def by_answer(context):
    domains = (choose_host(context, False), choose_host(context, True))
    assert domains == ("far", "near"), domains


@then("behind a queue as long as its slots it goes far too")
def long_queue(context):
    record_loads(context, 10)
    assert choose_host(context, True) == "far"


@given("a route that is split {first:d} to {second:d}")
def split_route(context, first, second):
    services = {
        name: TeamFile(service=name, team="", failure_domains=(), limits=limits(1))
        for name in ("first", "second")
    }
    parts = (
        SplitPart(service="first", weight=first),
        SplitPart(service="second", weight=second),
    )
    route = Route(path="/a/", route_class=RouteClass.IDEMPOTENT, split=parts)
    context.bound = bind_route(route, services, "")


@when("{count:d} requests are shared out")
def shared_out(context, count):
    splits = Splits(random.Random(3))
    shared = [splits.choose_service(context.bound) for _ in range(count)]
    context.shared = collections.Counter(shared)


@then("the second service gets {least:d} to {most:d} of them")
def share_of_second(context, least, most):
    assert least <= context.shared["second"] <= most, context.shared
