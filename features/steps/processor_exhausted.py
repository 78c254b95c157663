"""Steps for nodes whose processor cannot handle the load."""

import random
import socket

import trio
import trio.testing
from behave import given
from behave import then
from behave import when
from cactushook import Limits
from cactushook import Route
from cactushook import RouteClass
from cactushook import TeamFile
from cactushook.lag import LagMeter
from cactushook.snapshot import bind_route
from cactushook.workspaces import NO_WORKSPACE
from cactushook_node.edge import Edge
from cactushook_node.entry import Entry
from cactushook_node.entry_request import EntryRequest
from cactushook_node.gate import Gate
from cactushook_node.http_messages import ReplyRefused
from cactushook_node.link_pool import LinkPool
from cactushook_node.quotas import Quotas

from features import edge_fixtures

REQUEST = b"GET /a HTTP/1.1\r\nhost: a\r\n\r\n"
TURN_MS = 50
TOLERANCE_MS = 50
LIMITS = Limits(slots=1, connections=1)
TEAM_FILE = TeamFile(service="s", team="", failure_domains=(), limits=LIMITS)
BOUND = bind_route(
    Route(
        path="/a",
        methods=("GET",),
        route_class=RouteClass.IDEMPOTENT,
        service="s",
        timeout_ms=5_000,
    ),
    {"s": TEAM_FILE},
    "",
)


def play_processor(context, meter, per_s, length_s, useful_ms):
    """Returns how many requests a second are served in time, and how many refused.

    Each turn of the loop serves what has arrived since the one before it.
    """
    rng = random.Random(1)
    now_ms, end_ms, next_ms = 0.0, 1_000 * length_s, 0.0
    served, refused = 0, 0
    while now_ms < end_ms:
        turn_end_ms = now_ms + TURN_MS
        arrived = []
        while next_ms <= now_ms:
            arrived.append(next_ms)
            next_ms += 1_000 / per_s
        finished_ms = now_ms
        for at_ms in arrived:
            if meter is not None and rng.random() < meter.shed_share:
                finished_ms += context.refuse_ms
                refused += 1
                continue
            finished_ms += context.serve_ms
            served += finished_ms - at_ms <= useful_ms
        now_ms = max(turn_end_ms, finished_ms)
        if meter is not None:
            meter.record(now_ms - turn_end_ms)
    return served / length_s, refused


@given(
    "a node that takes {serve_ms:d} ms to serve a request and {refuse_ms:d} ms to "
    "refuse one"
)
def slow_node(context, serve_ms, refuse_ms):
    context.serve_ms, context.refuse_ms = serve_ms, refuse_ms


@when(
    "{per_s:d} requests a second arrive for {length_s:d} s, each of use for "
    "{useful_ms:d} ms"
)
def load_arrives(context, per_s, length_s, useful_ms):
    load = (per_s, length_s, useful_ms)
    context.served_per_s, context.refused = play_processor(context, LagMeter(), *load)
    context.without_per_s, _ = play_processor(context, None, *load)


@then("at least {least:d} a second are served in time")
def served_in_time(context, least):
    assert context.served_per_s >= least, context.served_per_s


@then("without refusals fewer than {most:d} a second are")
def served_without(context, most):
    assert context.without_per_s < most, context.without_per_s


@then("none is refused")
def none_refused(context):
    assert context.refused == 0, context.refused


@given("an entry whose loop runs {lag_ms:d} ms late")
def late_entry(context, lag_ms):
    env = context.environment = edge_fixtures.environment()
    links = LinkPool(env, None, None)
    quotas = Quotas(env, links, None)
    context.entry = Entry(env, links, Gate(env, tasks=None), quotas)
    env.lag.record(lag_ms)


def serve_requests(context, count, nested):
    events = []

    async def emit(event):
        events.append(event)

    async def serve_all():
        request = EntryRequest("GET", b"/a", (), b"", internal=False, nested=nested)
        for _ in range(count):
            await context.entry.serve(request, emit)

    trio.run(serve_all)
    return [e for e in events if isinstance(e, ReplyRefused)]


@then('most of {count:d} new requests are refused as "{kind}" with a retry time')
def most_refused(context, count, kind):
    refused = [e for e in serve_requests(context, count, False) if e.kind.value == kind]
    assert count / 2 < len(refused) < count, len(refused)
    assert all(event.retry_after_ms > 0 for event in refused)


@then("none of {count:d} requests of running work is")
def nested_not_refused(context, count):
    refused = serve_requests(context, count, True)
    assert all(event.kind.value != "overloaded" for event in refused), refused


@then(
    "a request of a caller that waits {timeout_ms:d} ms has a deadline in "
    "{left_ms:d} ms"
)
def deadline_is(context, timeout_ms, left_ms):
    env = context.environment
    headers = ((env.headers.timeout_ms, str(timeout_ms).encode()),)
    request = EntryRequest("GET", b"/a", headers, b"", internal=False)
    now_ms = env.now_ms()
    call = context.entry.calls.build(request, BOUND, "r", NO_WORKSPACE)
    assert abs(call.deadline_ms - now_ms - left_ms) < TOLERANCE_MS, call.deadline_ms


@given("an edge whose loop runs {lag_ms:d} ms late")
def late_edge(context, lag_ms):
    context.env = edge_fixtures.environment()
    context.env.lag.record(lag_ms)
    context.entry = edge_fixtures.ScriptedEntry()


@when("a request is sent whose caller leaves before the edge reads it")
def caller_leaves(context):
    async def body():
        edge = Edge(context.env, context.entry)
        async with trio.open_nursery() as nursery:
            await nursery.start(edge.serve)
            ip, _, port = context.env.settings.public_listen.rpartition(":")
            with socket.create_connection((ip, int(port))) as caller:
                caller.send(REQUEST)
            await trio.sleep(0.05)
            await trio.testing.wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()

    trio.run(body)


@then("the request is not served")
def not_served(context):
    assert not context.entry.requests


@given("a loop that was paused for {length_ms:d} ms")
def paused_loop(context, length_ms):
    context.meter = LagMeter()
    context.meter.record(length_ms)
    assert context.meter.shed_share > 0


@when("it runs in time for {length_ms:d} ms")
def runs_in_time(context, length_ms):
    for _ in range(0, length_ms, TURN_MS):
        context.meter.record(0.0)


@then("no new request is refused")
def nothing_refused(context):
    assert context.meter.shed_share == 0
