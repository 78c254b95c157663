"""Steps for workers that reset connections, in virtual time with a whole gatekeeper."""

import dataclasses
import heapq
import random

from behave import given
from behave import then
from behave import when
from cactushook import Admitted
from cactushook import ErrorKind
from cactushook import HostState
from cactushook import RouteClass
from cactushook.calls import Listing
from cactushook.gatekeeping import Answered
from cactushook.gatekeeping import Failed
from cold_patterns import cold_gatekeeper

from features.gate_driver import request
from features.gate_driver import START_MS

SERVICE_MS = 100.0
RESET_MS = 3.0
TICK_MS = 25.0
LOST = Failed(ErrorKind.WORKER_LOST, "reset")


class Simulation:
    """A gate in front of a worker that resets by its load or at random."""

    def __init__(self, slots, capacity, lost_share, rng):
        self.slots, self.capacity = slots, capacity
        self.lost_share, self.rng = lost_share, rng
        self.keeper = cold_gatekeeper(slots, per_s=None)
        self.now_ms = START_MS
        self.list_instance("i-1")
        self.ends, self.answered_ms, self.lost = [], [], []
        self.running, self.opened = 0, False
        self.route_class = RouteClass.IDEMPOTENT

    def list_instance(self, name):
        listing = Listing(name, "s", self.slots, HostState.LIVE)
        self.keeper.on_listing(listing, self.now_ms)

    def run(self, rate, length_ms):
        until_ms = self.now_ms + length_ms
        offer_ms = self.now_ms
        while self.now_ms < until_ms:
            if self.now_ms >= offer_ms:
                offer_ms += self.rng.expovariate(rate / 1_000)
                call = request(self.now_ms, fingerprint=f"{self.rng.random()}")
                call = dataclasses.replace(call, route_class=self.route_class)
                self.start_admitted(self.keeper.offer(call, (), self.now_ms, 0.0))
            next_end_ms = self.ends[0][0] if self.ends else float("inf")
            tick_ms = self.now_ms + TICK_MS - self.now_ms % TICK_MS
            self.now_ms = min(offer_ms, next_end_ms, tick_ms)
            while self.ends and self.ends[0][0] <= self.now_ms:
                self.end(*heapq.heappop(self.ends)[2:])
            self.start_admitted(self.keeper.expire(self.now_ms))

    def start_admitted(self, verdicts):
        for verdict in verdicts:
            if isinstance(verdict, Admitted):
                self.start(verdict.call)

    def start(self, call):
        is_full = self.running >= self.capacity
        is_lost = is_full or self.rng.random() < self.lost_share
        took_ms = RESET_MS if is_full else self.rng.uniform(0.5, 1.5) * SERVICE_MS
        self.running += not is_full
        item = (self.now_ms + took_ms, call.request_id, call, is_lost, is_full)
        heapq.heappush(self.ends, item)

    def end(self, call, is_lost, is_full):
        self.running -= not is_full
        if is_lost:
            self.lost.append((self.now_ms, call.fingerprint))
        else:
            self.answered_ms.append(self.now_ms)
        outcome = LOST if is_lost else Answered(SERVICE_MS)
        ended = self.keeper.on_request_ended(call, outcome, self.now_ms)
        self.opened |= self.keeper.breaker.is_open
        self.start_admitted(ended.verdicts)

    def suspects_when_down(self):
        reports = self.keeper.on_worker_down(self.now_ms)
        return {report.fingerprint for report in reports}


@given(
    "a gate with {slots:d} slots in front of a worker that resets beyond {capacity:d}"
)
def resetting_worker(context, slots, capacity):
    context.load = Simulation(slots, capacity, 0.0, random.Random(7))


@given(
    "a gate with {slots:d} slots in front of a worker that resets a share of {share:g}"
)
def failing_worker(context, slots, share):
    context.load = Simulation(slots, slots, share, random.Random(7))


@when("{rate:d} requests a second arrive for {length_s:d} s")
def load(context, rate, length_s):
    context.rate = rate
    context.load.run(rate, length_s * 1_000)


@given("its requests may run once only")
def run_once(context):
    context.load.route_class = RouteClass.NON_IDEMPOTENT


@then("the limit is {limit:d}")
def limit_is(context, limit):
    assert context.load.keeper.reset_limit == limit, context.load.keeper.reset_limit


@when("the worker takes {capacity:d} requests at once")
def takes_more(context, capacity):
    context.load.capacity = capacity


@when("the worker crashes and is found down {after_ms:d} ms later")
def crashes(context, after_ms):
    run = context.load
    context.crashed = {item[2].fingerprint for item in run.ends}
    for item in run.ends:
        run.keeper.on_request_ended(item[2], LOST, run.now_ms)
    run.now_ms += after_ms
    run.keeper.expire(run.now_ms)


@when("the platform lists another instance")
def another_instance(context):
    assert context.load.keeper.reset_limit is not None
    context.load.list_instance("i-2")


@then("at most {count:d} requests are lost, of which {late:d} in the last {last_s:d} s")
def lost_at_most(context, count, late, last_s):
    since_ms = context.load.now_ms - last_s * 1_000
    lost = context.load.lost
    assert len(lost) <= count, len(lost)
    assert sum(at_ms > since_ms for at_ms, _ in lost) <= late, lost


@then("the breaker never opened, and no request is held to crash workers")
def never_opened(context):
    run = context.load
    assert not run.opened and run.lost
    held = run.suspects_when_down() & {fingerprint for _, fingerprint in run.lost}
    assert not held, held


@then("the worker ran at least {share:g} of what it can run")
def ran_share(context, share):
    run = context.load
    length_s = (run.now_ms - START_MS) / 1_000
    capacity = min(context.rate, run.capacity * 1_000 / SERVICE_MS) * length_s
    assert len(run.answered_ms) >= share * capacity, (len(run.answered_ms), capacity)


@then("no limit is known")
def no_limit(context):
    assert context.load.keeper.reset_limit is None, context.load.keeper.reset_limit


@then("the breaker opened")
def opened(context):
    assert context.load.opened


@then("the lost requests are suspects, and no limit is known")
def suspects(context):
    no_limit(context)
    assert context.crashed == context.load.suspects_when_down() != set()
