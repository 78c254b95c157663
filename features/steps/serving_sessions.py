"""Steps that run the serving decisions in virtual time, with faults."""

import collections

from behave import given
from behave import then
from behave import when

from bench import serving_callers as callers
from bench import serving_events as events
from bench.serving_world import HostGroup
from bench.serving_world import World
from features import invariants

WARM_MS = 11_000
SETTLE_MS = 10_000

PLACES = {
    "paddleworks": (
        HostGroup("order-desk", "th-central-a", "th-central", 3),
        HostGroup("order-desk", "th-central-b", "th-central", 2),
        HostGroup("order-desk", "th-central-c", "th-central", 2),
        HostGroup("workshop-files", "th-central-a", "th-central", 1),
        HostGroup("workshop-files", "th-central-b", "th-central", 1),
        HostGroup("workshop-files", "th-central-c", "th-central", 1),
    ),
    "kalnins": (
        HostGroup("reports", "cesis", "vidzeme", 4),
        HostGroup("reports", "valmiera", "vidzeme", 3),
        HostGroup("reports", "sigulda", "vidzeme", 3),
        HostGroup("archive", "cesis", "vidzeme", 1),
        HostGroup("archive", "valmiera", "vidzeme", 1),
        HostGroup("archive", "sigulda", "vidzeme", 1),
    ),
}
MIXES = {"paddleworks": callers.PADDLEWORKS, "kalnins": callers.KALNINS}
FAR_DELAY_MS = {"paddleworks": 1.0, "kalnins": 1.5}


@given('the "{deployment}" fleet with seed {seed:d}, warm')
def fleet(context, deployment, seed):
    config = f"examples/{deployment}"
    far_ms = FAR_DELAY_MS[deployment]
    world = World(config, PLACES[deployment], seed, far_delay_ms=far_ms)
    world.run(WARM_MS)
    context.world = world
    context.deployment = deployment
    context.seed = seed


@given("{rate:d} requests each second for {length_ms:d} ms")
def load(context, rate, length_ms):
    mix = MIXES[context.deployment]
    context.callers = callers.Callers(context.world, mix, rate, context.seed)
    context.callers.start(context.world.now_ms + length_ms)
    context.end_ms = context.world.now_ms + length_ms + SETTLE_MS


@when('after {delay_ms:d} ms "{domain}" goes "{state}"')
def set_domain(context, delay_ms, domain, state):
    name = domain.replace("-", "_")
    context.world.schedule(delay_ms, lambda: context.world.publish(**{name: state}))


@when('after {delay_ms:d} ms host "{name}" leaves')
def leaves(context, delay_ms, name):
    context.world.schedule(delay_ms, context.world.leave, name)


@when(
    'after {delay_ms:d} ms hosts "{names}" are killed and return after {away_ms:d} ms'
)
def killed(context, delay_ms, names, away_ms):
    for name in names.split(", "):
        context.world.schedule(delay_ms, context.world.kill, name)
        context.world.schedule(delay_ms + away_ms, context.world.revive, name)


@when('after {delay_ms:d} ms host "{name}" is paused for {length_ms:d} ms')
def paused(context, delay_ms, name, length_ms):
    context.world.schedule(delay_ms, context.world.pause, name, length_ms)


@when('after {delay_ms:d} ms "{first}" and "{second}" are cut for {length_ms:d} ms')
def cut(context, delay_ms, first, second, length_ms):
    context.world.schedule(delay_ms, context.world.cut, first, second, length_ms)


@when('after {delay_ms:d} ms the view of "{name}" is frozen for {length_ms:d} ms')
def view_frozen(context, delay_ms, name, length_ms):
    context.world.schedule(delay_ms, context.world.hold_view, name, length_ms)


@when('after {delay_ms:d} ms worker "{name}" turns cold')
def cold(context, delay_ms, name):
    context.world.schedule(delay_ms, context.world.turn_cold, name)


@when("after {delay_ms:d} ms a request that crashes its worker is sent {count:d} times")
def poison(context, delay_ms, count):
    world = context.world
    path = f"{MIXES[context.deployment][0].path}/poison"
    world.poison_paths.add(path)
    entries = list(world.nodes)
    for index in range(count):
        entry = entries[index % len(entries)]
        world.schedule(delay_ms + index * 2_000, world.send_request, entry, path, 5.0)


@when("the session has ended")
def ended(context):
    context.world.run(context.end_ms)
    context.transcript += summary(context.world.transcript)


@then("no promise is broken")
def promises_kept(context):
    violations = invariants.check(context.world.transcript)
    assert not violations, violations[:5]


@then("every call was answered")
def answered(context):
    failed = [e for e in context.world.transcript if isinstance(e, events.Failed)]
    assert not failed, failed[:5]


@then("every keyed call was answered, at the latest after a resend")
def keyed_answered(context):
    keys = set()
    for event in context.world.transcript:
        if isinstance(event, events.RequestSent) and event.key:
            keys.add(event.key)
    key_of_label = {
        e.label: e.key
        for e in context.world.transcript
        if isinstance(e, events.RequestSent)
    }
    answered_keys = {
        key_of_label[e.label]
        for e in context.world.transcript
        if isinstance(e, events.Answered)
    }
    assert not keys - answered_keys, sorted(keys - answered_keys)[:5]


@then('requests for "{path}" crashed workers at most {count:d} times')
def crashes(context, count, path):
    seen = [
        e
        for e in context.world.transcript
        if isinstance(e, events.Finished)
        and e.outcome == "crashed"
        and e.label.startswith(path)
    ]
    assert len(seen) <= count, seen


@then('requests other than "{path}" were never refused as "{kind}"')
def not_refused(context, path, kind):
    seen = [
        e
        for e in context.world.transcript
        if isinstance(e, events.Refused | events.Failed)
        and e.kind.value == kind
        and not e.label.startswith(path)
    ]
    assert not seen, seen[:3]


def summary(transcript):
    """Returns a line of event counts for each second, and a line for each fault."""
    lines = []
    second = None
    counts = collections.Counter()
    for event in transcript:
        at_s = int(event.at_ms // 1_000)
        if at_s != second:
            lines += _format_second(second, counts)
            second, counts = at_s, collections.Counter()
        match event:
            case events.Fault(at_ms, what):
                lines.append(f"{at_ms:>8.0f} ms  {what}")
            case events.DomainSet(at_ms, domain, state):
                lines.append(f"{at_ms:>8.0f} ms  {domain} {state.value}")
            case events.HostLeaves(at_ms, host):
                lines.append(f"{at_ms:>8.0f} ms  {host} leaves")
            case events.Started(host=host):
                counts[f"at {host.rsplit('-', 1)[0]}"] += 1
            case events.Refused(kind=kind):
                counts[f"gate {kind.value}"] += 1
            case events.Failed(kind=kind):
                counts[f"caller {kind.value}"] += 1
            case events.Answered() | events.LateAnswer():
                counts[type(event).__name__.lower()] += 1
    return lines + _format_second(second, counts)


def _format_second(second, counts):
    if not counts:
        return []
    words = ", ".join(f"{name}: {counts[name]}" for name in sorted(counts))
    return [f"{second:>5} s  {words}"]
