"""Steps for admission at one gate."""

import itertools
import pathlib

from behave import given
from behave import then
from behave import when
from cactushook import Admission
from cactushook import Admitted
from cactushook import assemble
from cactushook import Call
from cactushook import HostRecord
from cactushook import Limits
from cactushook import publish
from cactushook import Queued
from cactushook import Refused
from cactushook import RouteClass
from cactushook.gatekeeping import Gatekeeper
from cactushook_cli import fleet_files

WARM_MS = 20_000.0
READ = RouteClass.IDEMPOTENT
KEYED = RouteClass.AT_MOST_ONCE
BULK = RouteClass.BULK
ids = itertools.count()


def call(route_class=READ, left_ms=10_000.0, service="s", now_ms=WARM_MS):
    return Call(f"r{next(ids)}", service, route_class, now_ms + left_ms, 1)


def offer(context, route_class=READ, left_ms=10_000.0):
    return context.gate.offer(call(route_class, left_ms), WARM_MS)


def gate(context, **limits):
    context.gate = Admission(Limits(**{"connections": 100, **limits}), 0.0)


@given("a warm gate with {slots:d} slots")
def warm_gate(context, slots):
    gate(context, slots=slots)


@given("a warm gate with {slots:d} slots and a queue of {length:d}")
def short_queue(context, slots, length):
    gate(context, slots=slots, queue_length=length)


@given("a warm gate with {slots:d} slots and {connections:d} connections")
def few_connections(context, slots, connections):
    gate(context, slots=slots, connections=connections)


@when("2 downloads run and a download waits")
def downloads_run(context):
    for expected in (Admitted, Admitted, Queued):
        assert isinstance(offer(context, BULK)[-1], expected)


@then("a read is admitted at once")
def read_admitted(context):
    assert isinstance(offer(context)[-1], Admitted)


@when("a read runs, a read waits and an at-most-once request waits")
def both_wait(context):
    (context.running,) = offer(context)
    offer(context)
    (context.keyed,) = offer(context, KEYED)


@then("the freed slot goes to the at-most-once request")
def keyed_first(context):
    (verdict,) = context.gate.release(context.running.call.request_id, WARM_MS)
    assert verdict == Admitted(context.keyed.call)


@when("a read runs and a download waits")
def download_waits(context):
    offer(context)
    (context.waiting,) = offer(context, BULK)


@then("a read takes the download's place")
def read_displaces(context):
    refused, queued = offer(context)
    assert isinstance(refused, Refused) and refused.call == context.waiting.call
    context.waiting = queued


@then("an at-most-once request takes the read's place")
def keyed_displaces(context):
    refused, queued = offer(context, KEYED)
    assert refused.call == context.waiting.call and isinstance(queued, Queued)


@then('a further read is refused as "{kind}"')
def refused_as(context, kind):
    (refused,) = offer(context)
    assert refused.refusal.kind.value == kind, refused


@when("4 reads run and the slots become 2")
def fewer_slots(context):
    context.admitted = [offer(context)[-1] for _ in range(4)]
    limits = Limits(slots=2, connections=100)
    context.gate.configure(limits, domain_out=False, now_ms=WARM_MS)


@then("no further read is admitted until fewer than 2 run")
def until_fewer(context):
    assert isinstance(offer(context)[-1], Queued)
    released = [
        context.gate.release(item.call.request_id, WARM_MS) for item in context.admitted
    ]
    assert [len(verdicts) for verdicts in released] == [0, 0, 1, 0]


@then("3 reads are admitted at once and the next one waits")
def three_admitted(context):
    kinds = [type(offer(context)[-1]) for _ in range(4)]
    assert kinds == [Admitted, Admitted, Admitted, Queued], kinds


@when("a read runs and a read with {left_ms:d} ms left waits")
def short_deadline(context, left_ms):
    offer(context)
    (context.waiting,) = offer(context, READ, left_ms)


@then('after {delay_ms:d} ms the waiting read is refused as "{kind}"')
def expired(context, delay_ms, kind):
    (refused,) = context.gate.expire(WARM_MS + delay_ms)
    assert refused.call == context.waiting.call
    assert refused.refusal.kind.value == kind


@given("a configured gatekeeper that wakes from a pause")
def gatekeeper_after_pause(context):
    fleet, _ = fleet_files.read_fleet([pathlib.Path("examples/kalnins")])
    files = [source.team_file for source in fleet.sources]
    publication = publish(1, fleet.operators, files)
    own = HostRecord(
        name="h", address="h", domain="cesis", region="vidzeme", service="reports"
    )
    context.keeper = Gatekeeper(own)
    snapshot = assemble(publication.head, publication.values).snapshot
    context.keeper.configure(snapshot, 0.0)
    context.keeper.on_pause(WARM_MS)


def offer_read(context, at_ms):
    read = call(service="reports", now_ms=at_ms)
    return context.keeper.offer(read, (), at_ms, at_ms)[-1]


@then('a read is refused as "{kind}"')
def read_refused(context, kind):
    assert offer_read(context, WARM_MS).refusal.kind.value == kind


@then("a peer update right after the pause does not count")
def too_soon(context):
    context.keeper.on_peer_update(WARM_MS + 10)
    assert isinstance(offer_read(context, WARM_MS + 20), Refused)


@then("after a later peer update a read is admitted")
def admitted_later(context):
    context.keeper.on_peer_update(WARM_MS + 200)
    assert isinstance(offer_read(context, WARM_MS + 210), Admitted)
