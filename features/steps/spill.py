"""Steps for the choice between failure domains, in virtual time."""

import dataclasses
import math

import msgspec
from behave import given
from behave import then
from behave import when
from cactushook import Admission
from cactushook import ErrorKind
from cactushook import Refusal
from cactushook import RouteClass
from cactushook.dispatch import Dispatch
from cactushook.dispatch import Refuse
from cactushook.dispatch import SendTo
from cactushook.retries import WindowBudget

from bench.spill_world import is_far
from bench.spill_world import is_in_time
from bench.spill_world import LIMITS
from bench.spill_world import SpillWorld
from features.gate_driver import request

MS_PER_KIB = 40.0
PERIOD_MS = 20_000.0


@given('workers at the domains "{workers}" and answers of {size:d} bytes')
def world(context, workers, size):
    pairs = (item.split(":") for item in workers.split())
    counts = {domain: int(count) for domain, count in pairs}
    context.world = SpillWorld(counts, size, MS_PER_KIB)


@given('"{domain}" is cut off from the others')
def cut_off(context, domain):
    context.world.cut.add(domain)


# Guards against the wait at a cold worker counting as none while no request is there.
@given(
    'the workers of "{domain}" are cold for {length:d} s and take {rate:d} requests a '
    "second meanwhile"
)
def cold(context, domain, length, rate):
    world = context.world
    cold_limits = msgspec.structs.replace(LIMITS, cold_requests_per_s=rate)
    for host in world.hosts:
        if host.domain == domain:
            gate = world.gates[host.name] = Admission(cold_limits, 0.0)
            gate.ramp.set_cold_remaining(length * 1_000, world.now_ms)


@then('at least {served:d} percent of the requests of "{domain}" are in time')
def served_of(context, served, domain):
    share = context.world.share(is_in_time, entry=domain)
    assert share * 100 >= served, share


@when(
    "each domain gets {rate:d} requests a second, more or less by half in turn, for "
    "{length:d} s"
)
def varied(context, rate, length):
    def rate_of(domain, at_ms):
        phase = at_ms / PERIOD_MS + "abc".index(domain) / 3
        return rate * (1 + 0.5 * math.sin(2 * math.pi * phase))

    context.world.run(length * 1_000, rate_of)


@when("each domain gets {rate:d} requests a second for {length:d} s")
def steady(context, rate, length):
    context.world.run(length * 1_000, lambda _domain, _at_ms: rate)


@when(
    'the workers of "{domain}" cannot be reached for {length:d} s, at {rate:d} '
    "requests a second"
)
def unreachable(context, domain, length, rate):
    world = context.world
    context.back_ms = world.now_ms + length * 1_000
    world.down.add(domain)
    world.at(context.back_ms, world.down.clear)
    steady(context, rate, 4 * length)


@then(
    "at least {served:d} percent are in time and at most {far:d} percent leave their "
    "domain"
)
def served_and_far(context, served, far):
    share = context.world.share(is_in_time)
    assert share * 100 >= served, share
    at_most_far(context, far)


@then("at most {far:d} percent leave their domain")
def at_most_far(context, far):
    share = context.world.share(is_far)
    assert share * 100 <= far, share


@then(
    'until then at least {served:d} percent of the requests of "{domain}" are in time'
)
def served_meanwhile(context, served, domain):
    share = context.world.share(is_in_time, until_ms=context.back_ms, entry=domain)
    assert share * 100 >= served, share


@then(
    "at most {far:d} percent of those that arrive {later:d} s later leave their domain"
)
def returned(context, far, later):
    share = context.world.share(is_far, context.back_ms + later * 1_000)
    assert share * 100 <= far, share


@then('requests are refused as "{first}" or "{second}" only')
def refused_as(context, first, second):
    refusals = [e.refusal for e in context.world.ended if e.refusal is not None]
    kinds = {refusal.kind.value for refusal in refusals}
    assert kinds <= {first, second}, kinds


@then("each refusal tells when to retry")
def tells_when(context):
    refusals = [e.refusal for e in context.world.ended if e.refusal is not None]
    assert refusals
    assert all(refusal.retry_after_ms > 0 for refusal in refusals)


@then(
    'in each second between {least:d} and {most:d} percent of the requests of "a" leave'
)
def steady_share(context, least, most):
    world = context.world
    start_ms = min(e.arrived_ms for e in world.ended) + 5_000
    shares = [
        world.share(is_far, start_ms + at, start_ms + at + 1_000, "a")
        for at in range(0, 30_000, 1_000)
    ]
    assert all(least <= 100 * share <= most for share in shares), shares


@when(
    'both workers of "{domain}" end a request of "{entry}" as "{kind}" after '
    "{wait:d} ms each"
)
def both_fail(context, domain, entry, kind, wait):
    world = context.world
    call = request(world.now_ms, 5_000, left_ms=5_000, attempts_left=4)
    call = dataclasses.replace(call, route_class=RouteClass.IDEMPOTENT)
    dispatch = Dispatch(
        call,
        world.routers[entry][0],
        WindowBudget(0, 10, 1_000),
        3,
        crossing_cost_ms=world.cost_ms,
    )
    step = dispatch.first_step(world.view, world.now_ms)
    for attempt in (1, 2):
        assert step.host.domain == domain, step
        refusal = Refusal(ErrorKind(kind), "")
        at_ms = world.now_ms + attempt * wait
        step = dispatch.step_after_refusal(refusal, world.view, at_ms)
    context.step = step


@then('the request goes to "{domain}"')
def goes_to(context, domain):
    assert isinstance(context.step, SendTo), context.step
    assert context.step.host.domain == domain, context.step


@then("the request is refused")
def is_refused(context):
    assert isinstance(context.step, Refuse), context.step
