"""Steps for cold workers under load, in virtual time."""

from behave import given
from behave import then
from behave import when
from cactushook import Admitted
from cactushook import ErrorKind
from cactushook import HostRecord
from cactushook import HostState
from cactushook import TeamFile
from cactushook.calls import Listing
from cactushook.gatekeeping import Gatekeeper
from cactushook.publication import Head
from cactushook.snapshot import Snapshot

from features.gate_driver import GateDriver
from features.gate_driver import limits
from features.gate_driver import request
from features.gate_driver import START_MS

TURNS_COLD_MS = START_MS + 1_000
COLD_MS = 3_000


def cold_gatekeeper(slots, per_s, needs_listing=True):
    own = HostRecord(name="h", address="a", domain="d", region="r", service="s")
    keeper = Gatekeeper(own, needs_listing=needs_listing)
    bounds = limits(slots, cold_requests_per_s=per_s)
    team_file = TeamFile(service="s", team="", failure_domains=(), limits=bounds)
    keeper.configure(Snapshot(Head(version=1, root=""), {"s": team_file}, {}, ()), 0.0)
    return keeper


@given(
    "a gate with {slots:d} slots in front of a worker that is cold for {cold_ms:d} ms "
    "and handles {per_s:d} requests a second"
)
def cold_worker(context, slots, cold_ms, per_s):
    context.keeper = cold_gatekeeper(slots, per_s)
    listing = Listing("i-1", "s", slots, HostState.LIVE, cold_ms)
    context.keeper.on_listing(listing, START_MS)


def create_load(context, service_ms, now_ms):
    """Returns a driver of the keeper's gate that has sent nothing yet."""
    load = GateDriver.__new__(GateDriver)
    load.gate, load.service_ms, load.now_ms = (
        context.keeper.admission,
        service_ms,
        now_ms,
    )
    load.ends, load.arrived_ms, load.started_ms, load.refused = [], {}, {}, {}
    return load


@when(
    "{rate:d} requests a second that take {service_ms:d} ms arrive for 4 s, and it is "
    "cold from 1000 ms on, as is known {lag_ms:d} ms later"
)
def turns_cold(context, rate, service_ms, lag_ms):
    load = create_load(context, service_ms, START_MS)
    reported_ms = TURNS_COLD_MS + lag_ms
    is_known = False
    for _ in range(rate * 4):
        if not is_known and load.now_ms >= reported_ms:
            context.keeper.set_cold_remaining(COLD_MS - lag_ms, load.now_ms)
            is_known = True
        load.offer()
        load.advance(load.now_ms + 1_000 / rate)
    context.starts_ms = sorted(load.started_ms.values())


@then("in no second while it is cold are more than {count:d} sent to the worker")
def turned_cold_bound(context, count):
    warm_ms = TURNS_COLD_MS + COLD_MS
    cold = [at for at in context.starts_ms if TURNS_COLD_MS <= at < warm_ms]
    most = max(sum(start <= at < start + 1_000 for at in cold) for start in cold)
    assert most <= count, most


@then("it was sent at least {warm:d} in the first second and {cold:d} in the last two")
def sent_at_least(context, warm, cold):
    first = [at for at in context.starts_ms if at < TURNS_COLD_MS]
    last = [at for at in context.starts_ms if at >= TURNS_COLD_MS + 1_000]
    assert len(first) >= warm, len(first)
    assert len(last) >= cold, len(last)


@when("{rate:d} requests a second that take {service_ms:d} ms arrive for 3 s")
def cold_load(context, rate, service_ms):
    load = create_load(context, service_ms, START_MS)
    for _ in range(rate * 3):
        load.offer()
        load.advance(load.now_ms + 1_000 / rate)
    context.load = load


@then("in no second are more than {count:d} sent to the worker")
def cold_bound(context, count):
    starts = sorted(context.load.started_ms.values())
    for index, start_ms in enumerate(starts):
        if start_ms >= START_MS + 2_900:
            break
        within = [at for at in starts[index:] if at < start_ms + 1_000]
        within = [at for at in within if at < START_MS + 3_000]
        assert len(within) <= count, (start_ms, len(within))


@then("each request that was refused is told to return when the worker is warm")
def returns_warm(context):
    refused = [
        (at_ms, refusal)
        for at_ms, refusal in context.load.refused.values()
        if refusal.kind is ErrorKind.COLD_START
    ]
    assert len(refused) > 10
    for at_ms, refusal in refused:
        assert at_ms + refusal.retry_after_ms >= START_MS + 3_000, (at_ms, refusal)


@then("after that all are admitted at once")
def warm_again(context):
    load = context.load
    load.advance(load.now_ms + 1_000)
    slots = load.gate.limits.slots
    assert all(isinstance(load.offer(), Admitted) for _ in range(slots))


@given(
    "a gate with {slots:d} slots in front of a warm worker that handles {per_s:d} "
    "requests a second when cold"
)
def warm_worker(context, slots, per_s):
    context.keeper = cold_gatekeeper(slots, per_s)
    context.keeper.on_listing(Listing("i-1", "s", slots, HostState.LIVE), START_MS)
    assert not context.keeper.is_cold(START_MS)


@when("the worker accepts connections again after it refused them")
def worker_reconnects(context):
    context.keeper.on_worker_down(START_MS)
    verdict = context.keeper.offer(request(START_MS), (), START_MS, 0.0)[-1]
    assert verdict.refusal.kind is ErrorKind.WORKER_UNREACHABLE
    context.keeper.on_worker_up(START_MS)


@then("it is treated as cold")
def is_cold(context):
    assert context.keeper.is_cold(START_MS)


@then("once it reports that it is warm, all slots are available")
def reports_warm(context):
    context.keeper.set_cold_remaining(0.0, START_MS + 1)
    assert context.keeper.load(START_MS + 1).capacity == 9
