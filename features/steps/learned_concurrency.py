"""Steps for the learned concurrency of a gate, in virtual time."""

import collections
import random
import unittest.mock

from behave import given
from behave import then
from behave import when
from cactushook import Admission
from cactushook import EMPTY_SNAPSHOT
from cactushook import HostRecord
from cactushook import Queued
from cactushook import TeamFile
from cactushook.calls import Listing
from cactushook.concurrency_limit import ConcurrencyLimit
from cactushook.concurrency_limit import LimitReports
from cactushook.dispatch import RoutingView
from cactushook.gatekeeping import Gatekeeper
from cactushook.nodes import HostState
from cactushook.publication import Head
from cactushook.snapshot import Snapshot

from bench import concurrency_limits as bench_limits
from bench import uneven_placement
from bench.placement import Policy
from features.gate_driver import limits
from features.gate_driver import request

SLOTS = 6


@given(
    "a worker with 6 slots whose work takes {growth:g} times as long when all are used"
)
def worker(context, growth):
    context.growth = growth


@given(
    "it is slow for 3 s in every {slow_s:d} s, and the mix changes every {mix_s:d} s"
)
def disturbed(context, slow_s, mix_s):
    context.slow_ms, context.mix_ms = slow_s * 1_000, mix_s * 1_000


@when("it gets {load:g} times the requests that it can serve at most, for 90 s")
def loaded(context, load):
    case = bench_limits.Case(load, context.growth, context.slow_ms, context.mix_ms)
    context.case = case
    context.limits, context.per_s = [], []
    for seed in range(4):
        limit = bench_limits.Fitted()
        run, per_s = bench_limits.play(case, limit, seed, 90_000, 30_000)
        context.limits += run
        context.per_s.append(per_s)


@then("all slots are used in at least {percent:d} percent of the last 60 s")
def all_used(context, percent):
    used = sum(limit == SLOTS for limit in context.limits)
    assert used * 100 >= percent * len(context.limits), context.limits


@then("fewer than all slots are used in at least {percent:d} percent of the last 60 s")
def fewer_used(context, percent):
    used = sum(limit < SLOTS for limit in context.limits)
    assert used * 100 >= percent * len(context.limits), used / len(context.limits)


@then("never fewer than {count:d} slots may be used")
def floor(context, count):
    assert min(context.limits) >= count


class Unlimited(bench_limits.Fitted):
    """A limiter that always permits all slots."""

    limit = SLOTS


@then("it serves at least {share:g} of what it serves with all slots in use")
def serves(context, share):
    unlimited = [
        bench_limits.play(context.case, Unlimited(), seed, 90_000, 30_000)[1]
        for seed in range(4)
    ]
    assert sum(context.per_s) >= share * sum(unlimited), (context.per_s, unlimited)


def taught(limit, growth, from_ms, until_ms, seed=1):
    """Keeps a worker busy with 1 to 6 requests whose latency grows with their count."""
    rng = random.Random(seed)
    now_ms, number = from_ms, 0
    while now_ms < until_ms:
        count = min(rng.randint(1, SLOTS), limit.limit)
        took_ms = 100 * bench_limits.stretch(growth, count)
        names = [f"{from_ms} {number} {index}" for index in range(count)]
        for name in names:
            limit.on_admitted(name, "/a", now_ms)
        now_ms += took_ms
        for name in names:
            limit.on_ended(name, True, now_ms)
        number += 1


@given("a gate's limit that has learned to use 3 of 6 slots")
def learned(context):
    context.limit = ConcurrencyLimit(SLOTS, 0.0)
    context.now_ms = 30_000.0
    taught(context.limit, 2.0, 0.0, context.now_ms)
    assert context.limit.limit == 3


@given("a gatekeeper that has learned to use 3 of 6 slots")
def keeper(context):
    host = HostRecord(name="h", address="a", domain="d", region="r", service="s")
    context.keeper = Gatekeeper(host, learns_concurrency=True)
    team_file = TeamFile(service="s", team="", failure_domains=(), limits=limits(SLOTS))
    head = Head(version=1, root="")
    context.keeper.configure(Snapshot(head, {"s": team_file}, {}, ()), 0.0)
    context.keeper.on_listing(Listing("i1", "s", SLOTS, HostState.LIVE), 0.0)
    context.limit = context.keeper.admission.concurrency_limit
    context.now_ms = 30_000.0
    taught(context.limit, 2.0, 0.0, context.now_ms)
    assert context.keeper.load(context.now_ms).capacity == 3
    for name in ("before 1", "before 2"):
        context.limit.on_admitted(name, "/a", context.now_ms)


@when("the platform lists another instance of its worker")
def replaced(context):
    listing = Listing("i2", "s", SLOTS, HostState.LIVE)
    context.keeper.on_listing(listing, context.now_ms)


@then("all 6 slots may be used")
def all_slots(context):
    assert context.limit.limit == SLOTS


@then("requests that were sent before count neither for nor against it")
def no_samples(context):
    for name in ("before 1", "before 2"):
        context.limit.on_ended(name, True, context.now_ms + 100)
    assert not context.limit.sample_count


@when("the worker stops slowing down, and {wait_s:d} s pass")
def recovers(context, wait_s):
    from_ms = context.now_ms
    context.now_ms += wait_s * 1_000
    taught(context.limit, 1.0, from_ms, context.now_ms)


@given(
    'a gate whose requests of route "/long" take {long_ms:d} ms and of "/quick" '
    "{quick_ms:d} ms"
)
def mixed_gate(context, long_ms, quick_ms):
    context.gate = Admission(limits(SLOTS), 0.0)
    context.now_ms = 1_000.0
    for _ in range(50):
        for route, took_ms in (("/long", long_ms), ("/quick", quick_ms)):
            call = request(context.now_ms, route=route)
            context.gate.offer(call, context.now_ms)
            context.now_ms += took_ms
            context.gate.release(call.request_id, context.now_ms)


@when('all slots run "/long" for {run_ms:d} ms')
def slots_run(context, run_ms):
    for _ in range(SLOTS):
        call = request(context.now_ms, route="/long", left_ms=9_000)
        context.gate.offer(call, context.now_ms)
    context.now_ms += run_ms


@when(
    'all slots run "/long" for {run_ms:d} ms and one of "/quick" with an objective of '
    "{objective_ms:d} ms arrives"
)
def quick_arrives(context, run_ms, objective_ms):
    slots_run(context, run_ms)
    call = request(context.now_ms, objective_ms, route="/quick")
    context.verdict = context.gate.offer(call, context.now_ms)[-1]


@then("it waits")
def waits(context):
    assert isinstance(context.verdict, Queued), context.verdict


@then("the gate reports that requests take {least_ms:d} to {most_ms:d} ms")
def reported(context, least_ms, most_ms):
    service_ms = context.gate.load(context.now_ms).service_ms
    assert least_ms <= service_ms <= most_ms, service_ms


class JoiningWorld(uneven_placement.UnevenWorld):
    """A world in which one worker joins later; notes when workers get requests."""

    def __init__(self, load, joining_ms, end_ms):
        super().__init__(30, load, Policy(), 1.0, {"learns": True})
        # The slowest worker joins.
        self.joining = min(range(30), key=lambda i: self._workers[i].rate(1))
        self._all_view, self.starts_ms = self._view, []
        rest = tuple(h for h in self._hosts if h is not self._hosts[self.joining])
        self._view = RoutingView(EMPTY_SNAPSHOT, rest)
        self._at(joining_ms, self._join)
        self.end_ms = end_ms

    def _join(self):
        self._view = self._all_view

    def _start(self, name, host):
        self.starts_ms.append((self._now_ms, host))
        super()._start(name, host)


@given("30 workers of uneven speed whose load is {load:g} times their capacity")
def uneven(context, load):
    context.load = load


@when("the slowest of them joins")
def joins(context):
    context.joined_ms = 15_000.0
    context.world = JoiningWorld(context.load, context.joined_ms, 19_000.0)
    with unittest.mock.patch.multiple(
        uneven_placement, WARM_MS=15_000.0, RUN_MS={30: 4_000.0}
    ):
        context.world.run()


@then("it gets requests within 4 s, but at most twice as many as the mean")
def gets_requests(context):
    until_ms = context.joined_ms + 4_000
    counts = collections.Counter(
        host
        for at_ms, host in context.world.starts_ms
        if context.joined_ms <= at_ms < until_ms
    )
    mean = sum(counts.values()) / 30
    assert 0 < counts[context.world.joining] <= 2 * mean, counts


@given("a limit that changes between 3 and 6 of 6 slots each second, for 60 s")
def unsteady(context):
    reports = LimitReports()
    taken = [
        (
            3 + 3 * (second % 2),
            reports.take(3 + 3 * (second % 2), SLOTS, 1_000 * second),
        )
        for second in range(60)
    ]
    context.logged = [(now, last) for now, last in taken if last is not None]


@then("at most {count:d} changes are logged, and none smaller than {slots:d} slots")
def logged(context, count, slots):
    assert 0 < len(context.logged) <= count, context.logged
    assert all(abs(now - last) >= slots for now, last in context.logged)
