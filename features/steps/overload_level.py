"""Steps for the level of urgency below which requests are shed, in virtual time."""

import dataclasses
import itertools
import random
import types

from behave import given
from behave import then
from behave import when
from cactushook import Call
from cactushook import EMPTY_SNAPSHOT
from cactushook import Load
from cactushook import Refusal
from cactushook import Route
from cactushook import RouteClass
from cactushook import TeamFile
from cactushook.overload_level import EntryLevels
from cactushook.overload_level import Passage
from cactushook.overload_level import RetryTimes
from cactushook.snapshot import bind_route
from cactushook_node import wire
from cactushook_node.metrics import Metrics
from cactushook_node.shedding import EntryShedding

from bench.overload_world import OverloadWorld
from bench.spill_world import is_in_time
from bench.spill_world import LIMITS

START_MS = 60_000.0
WORKERS = {"a": 4, "b": 4, "c": 4}


@given('12 workers and requests of the priorities "{priorities}"')
def world(context, priorities):
    context.priorities = [int(item) for item in priorities.split()]
    context.world = OverloadWorld(WORKERS, context.priorities)
    context.unshed = OverloadWorld(WORKERS, context.priorities, sheds=False)


@given('the workers of domain "{domain}" reject half of what they get')
def rejecting(context, domain):
    context.world.rejecting = {
        host.name for host in context.world.hosts if host.domain == domain
    }


def play(context, rates, length, burst=0, of=None, since=0, until=0):
    rate_of = dict(zip(context.priorities, rates, strict=True))

    def rate(priority, at_ms):
        is_burst = priority == of and since * 1_000 <= at_ms < until * 1_000
        return burst if is_burst else rate_of[priority]

    for item in (context.world, context.unshed):
        item.run(length * 1_000, rate)


@when("{a:d}, {b:d} and {c:d} requests a second arrive for {length:d} s")
def three_kinds(context, a, b, c, length):
    play(context, (a, b, c), length)


@when("{rate:d} requests a second of one priority arrive for {length:d} s")
def one_kind(context, rate, length):
    play(context, (rate,), length)


@when(
    "{a:d}, {b:d} and {c:d} requests a second arrive for {length:d} s, and {burst:d} "
    "of priority {of:d} from {since:d} to {until:d} s"
)
def burst_of(context, a, b, c, length, burst, of, since, until):
    play(context, (a, b, c), length, burst, of, since, until)


def served(item, since, until, priority=""):
    return item.share(
        is_in_time, START_MS + since * 1_000, START_MS + until * 1_000, str(priority)
    )


@then(
    "from {since:d} to {until:d} s at least {percent:d} percent of priority {of:d} are "
    "in time"
)
def in_time(context, since, until, percent, of):
    share = served(context.world, since, until, of)
    assert share * 100 >= percent, share


@then(
    "from {since:d} to {until:d} s more urgent ones are served at least as often as "
    "less urgent ones"
)
def ordered(context, since, until):
    shares = [served(context.world, since, until, p) for p in context.priorities]
    # Requests of single seconds differ by chance.
    assert all(a >= b - 0.03 for a, b in itertools.pairwise(shares)), shares


@then(
    "from {since:d} to {until:d} s priority {of:d} gets at least a quarter of the mean "
    "share"
)
def quarter(context, since, until, of):
    share, mean = (served(context.world, since, until, item) for item in (of, ""))
    assert share >= mean / 4, (share, mean)


@then("from {since:d} to {until:d} s at least as many are in time as without a level")
def as_many(context, since, until):
    shares = [served(item, since, until) for item in (context.world, context.unshed)]
    assert shares[0] >= shares[1], shares


@then("fewer gates are asked than without a level")
def fewer_asked(context):
    assert context.world.asked < 0.95 * context.unshed.asked


@then("the entries act by levels that differ by at most {most:g} in the mean")
def alike(context, most):
    spreads = [max(levels) - min(levels) for _, levels in context.world.samples]
    active = [spread for spread in spreads if spread]
    assert sum(active) / len(active) <= most, active


def samples(context, since, until):
    return [
        level
        for at_ms, levels in context.world.samples
        if START_MS + since * 1_000 <= at_ms < START_MS + until * 1_000
        for level in levels
    ]


@then("some entry sheds from {since:d} to {until:d} s")
def some_shed(context, since, until):
    assert any(samples(context, since, until))


@then("from {since:d} to {until:d} s no entry sheds")
def none_sheds(context, since, until):
    assert not any(samples(context, since, until))


@given("an entry that heard the level {level:g} of one gate and {other:g} of three")
def heard(context, level, other):
    context.levels = EntryLevels()
    for index, item in enumerate((level, other, other, other)):
        context.levels.record_report("s", f"h{index}", item, START_MS)


def shed_count(context, now_ms):
    draws = (index / 1_000 for index in range(1_000))
    passages = [context.levels.decide("s", 0, now_ms, draw) for draw in draws]
    return passages.count(Passage.SHED)


@then("it sheds half of what a level of 1 permits")
def sheds_half(context):
    full = EntryLevels()
    full.record_report("s", "h", 1.0, START_MS)
    count = shed_count(context, START_MS)
    context.levels, full = full, context.levels
    assert abs(2 * count - shed_count(context, START_MS)) <= 2, count
    context.levels = full


@then("{later:d} ms later it sheds nothing")
def sheds_nothing(context, later):
    assert shed_count(context, START_MS + later) == 0


@given("an entry that serves a request every {gap:d} ms")
def serves_every(context, gap):
    context.times = RetryTimes()
    for index in range(20):
        context.times.record_served("s", START_MS + index * gap)


@when("{count:d} requests with {left:d} ms left are shed at once")
def shed_at_once(context, count, left):
    now_ms = START_MS + 1_000
    context.waits = [context.times.next_ms("s", left, now_ms) for _ in range(count)]


@then('they are told to return after "{waits}" ms')
def told(context, waits):
    expected = [float(item) for item in waits.split()]
    assert context.waits == expected, context.waits


class Node:
    """What the entry's shedding uses of a node."""

    def __init__(self, snapshot):
        self.now, self.events = START_MS, []
        self.rng, self.metrics = random.Random(1), Metrics()
        self.store = types.SimpleNamespace(snapshot=snapshot)
        self.log = self.timers = self

    def now_ms(self):
        return self.now

    def info(self, event, **fields):
        self.events.append((event, fields))

    def every(self, _period_ms, listener):
        self.on_timer = listener


@given("a node's entry for a service with routes of the priorities {a:d} and {b:d}")
def node_entry(context, a, b):
    team_file = TeamFile(service="s", team="", failure_domains=(), limits=LIMITS)
    routes = tuple(
        bind_route(
            Route(path=f"/{p}/", route_class=RouteClass.IDEMPOTENT, priority=p),
            {"s": team_file},
            "s",
        )
        for p in (a, b)
    )
    context.node = Node(dataclasses.replace(EMPTY_SNAPSHOT, routes=routes))
    context.shedding = EntryShedding(context.node)


def pass_on(context, priority, count, nested=False):
    call = Call("q", "s", RouteClass.IDEMPOTENT, START_MS + 1_200, 1, priority=priority)
    call = dataclasses.replace(call, nested=nested)
    passed = [context.shedding.pass_on(call, 1_200.0) for _ in range(count)]
    return [item for item in passed if isinstance(item, Refusal)]


@when(
    "gates report the level {level:g} and {a:d} requests of priority {p:d} and {b:d} "
    "of priority {q:d} arrive"
)
def gates_report(context, level, a, p, b, q):
    load = Load(overload_level=level)
    context.shedding.record_load("s", "h", load, START_MS)
    context.shed = {p: pass_on(context, p, a), q: pass_on(context, q, b)}


@then(
    "between {least:d} and {most:d} of priority {p:d} and none of priority {q:d} are "
    "shed"
)
def shed_between(context, least, most, p, q):
    assert least <= len(context.shed[p]) <= most, len(context.shed[p])
    assert not context.shed[q]


@then('each refusal is "{kind}" and tells to return within {most:d} ms of {left:d} ms')
def refusals_return(context, kind, most, left):
    for refusal in itertools.chain(*context.shed.values()):
        assert refusal.kind.value == kind, refusal
        assert 0 < refusal.retry_after_ms <= most, refusal


@then("{count:d} nested ones of priority {priority:d} pass")
def nested_pass(context, count, priority):
    assert not pass_on(context, priority, count, nested=True)


@then("the metrics name the shed requests and the level")
def metrics_name(context):
    context.node.on_timer(START_MS)
    text = context.node.metrics.expose().decode()
    assert f'cactushook_shed_total{{priority="2"}} {len(context.shed[2])}.0' in text
    assert 'cactushook_overload_level{service="s"} 1.0' in text


# Guards against a line for each change of a level that is near zero.
@then(
    "of {count:d} starts and ends of the level within {length:d} s at most {most:d} "
    "are logged"
)
def few_logged(context, count, length, most):
    for index in range(count):
        at_ms = START_MS + index * length * 1_000 / count
        load = Load(overload_level=float(index % 2))
        context.shedding.record_load("s", "h", load, at_ms)
        context.node.on_timer(at_ms)
    assert 1 <= len(context.node.events) <= most, context.node.events


@given("a load with the level {level:g}")
def load_with_level(context, level):
    context.load = Load(1, 2, 3, True, overload_level=level)


@then("the load is the same after it was sent to another node")
def load_same(context):
    message = wire.load_to_message(context.load)
    assert wire.load_from_message(message) == context.load, message
