"""Steps for quotas of workspaces under patterns of load, without a network."""

import dataclasses
import math

from behave import given
from behave import then
from behave import when
from cactushook import HostRecord
from cactushook import HostState
from cactushook.quota_bounds import QuotaBounds
from cactushook.quota_home import HOLD_MS
from cactushook.quota_home import QuotaHome
from cactushook.quota_lease import OverQuota
from cactushook.quota_reach import FleetReach

from features.quota_loop import QuotaLoop
from features.quota_loop import workspace

NAME = "w0"
QUOTA = workspace(NAME, 2, 2)
CHANGE_MS = 6_000.0


@given(
    "{entries:d} entries and a workspace with {rate:d} requests a second and a burst "
    "of {burst:d}"
)
def one_workspace(context, entries, rate, burst):
    context.loop = QuotaLoop(entries, [workspace(NAME, rate, burst)])
    context.rate = rate


@given(
    "{entries:d} entries and {count:d} workspaces with {rate:d} requests a second and "
    "a burst of {burst:d}"
)
def many_workspaces(context, entries, count, rate, burst):
    names = [f"w{index}" for index in range(count)]
    context.loop = QuotaLoop(entries, [workspace(n, rate, burst) for n in names])
    context.rate = rate


def any_entry(loop):
    return lambda: loop.rng.choice(loop.names)


def run_even(context, seconds, factor):
    loop = context.loop
    loop.run(seconds * 1_000, [(context.rate * factor, NAME, any_entry(loop))])


@when("demand of {factor:g} times the rate arrives at all entries for {seconds:d} s")
def even(context, factor, seconds):
    run_even(context, seconds, factor)


@when("demand of {factor:g} times the rate arrives at one entry for {seconds:d} s")
def one_entry(context, factor, seconds):
    loop = context.loop
    loop.run(seconds * 1_000, [(context.rate * factor, NAME, lambda: loop.names[1])])


@when(
    "demand of {factor:g} times the rate moves to another entry each second for "
    "{seconds:d} s"
)
def moving(context, factor, seconds):
    loop = context.loop

    def choose():
        return loop.names[int(loop.now_ms // 1_000) % len(loop.names)]

    loop.run(seconds * 1_000, [(context.rate * factor, NAME, choose)])


@when(
    "one workspace has demand of {factor:g} times its rate and the others of {quiet:g} "
    "times for {seconds:d} s"
)
def noisy(context, factor, quiet, seconds):
    loop = context.loop
    demand = [
        (context.rate * (factor if name == NAME else quiet), name, any_entry(loop))
        for name in loop.workspaces
    ]
    loop.run(seconds * 1_000, demand)


@when(
    "half of the entries lose contact and demand of {factor:g} times the rate arrives "
    "at all for {seconds:d} s"
)
def half_lost(context, factor, seconds):
    loop = context.loop
    others = [name for name in loop.names if name != loop.home_of[NAME]]
    run_even(context, 3, factor)
    loop.side.update(dict.fromkeys(others[: len(loop.names) // 2], 1))
    run_even(context, seconds, factor)


@when(
    "the fleet is cut in halves, a second home comes up and demand of {factor:g} times "
    "the rate arrives at all for {seconds:d} s"
)
def cut_in_halves(context, factor, seconds):
    loop = context.loop
    home = loop.home_of[NAME]
    others = [name for name in loop.names if name != home]
    far = others[: len(loop.names) // 2]
    run_even(context, 4, factor)
    loop.side.update(dict.fromkeys(far, 1))
    # The home is out of contact with the platform and measures whom it reaches.
    loop.share[home] = 0.5
    run_even(context, 7, factor)
    loop.home_by_side[1] = far[0]
    loop.share[far[0]] = 0.5
    loop.start_home(far[0], NAME, loop.now_ms)
    run_even(context, seconds, factor)


@when(
    "each entry restarts in turn under demand of {factor:g} times the rate for "
    "{seconds:d} s"
)
def restarts(context, factor, seconds):
    loop = context.loop
    for index, name in enumerate(loop.names):
        run_even(context, index * seconds / len(loop.names), factor)
        loop.restart(name)
    run_even(context, seconds, factor)


@when(
    "the limit is lowered tenfold after 6 s under demand of {factor:g} times the rate "
    "for {seconds:d} s"
)
def lowered(context, factor, seconds):
    loop = context.loop
    run_even(context, 6, factor)
    known = loop.workspaces[NAME]
    loop.workspaces[NAME] = dataclasses.replace(
        known, rate_per_s=known.rate_per_s / 10, burst=known.burst / 10
    )
    run_even(context, seconds, factor)


@when(
    "one entry claims a thousand times its demand and the others ask for {factor:g} "
    "times the rate for {seconds:d} s"
)
def misreports(context, factor, seconds):
    loop = context.loop
    liar = next(name for name in loop.names if name != loop.home_of[NAME])
    honest = [name for name in loop.names if name != liar]

    def inflate(request):
        asked = [
            dataclasses.replace(
                item,
                wanted=max(1, item.wanted) * 1_000,
                demand_per_s=item.demand_per_s * 1_000,
            )
            for item in request.requests
        ]
        return dataclasses.replace(request, requests=tuple(asked))

    loop.claim[liar] = inflate
    context.honest_offered = []
    context.honest_served = []

    def choose_honest():
        return loop.rng.choice(honest)

    arrive, settle = loop.arrive, loop.settle

    def count_arrival(entry, name):
        if entry != liar:
            context.honest_offered.append(loop.now_ms)
        arrive(entry, name)

    def count_served(entry, name, verdict):
        before = len(loop.served[name])
        settle(entry, name, verdict)
        if entry != liar and len(loop.served[name]) > before:
            context.honest_served.append(loop.now_ms)

    loop.arrive, loop.settle = count_arrival, count_served
    loop.run(
        seconds * 1_000,
        [
            (context.rate * factor, NAME, choose_honest),
            (context.rate * 2, NAME, lambda: liar),
        ],
    )


@when(
    "messages are lost and duplicated under demand of {factor:g} times the rate for "
    "{seconds:d} s"
)
def lossy(context, factor, seconds):
    context.loop.loss = context.loop.duplication = 0.1
    run_even(context, seconds, factor)


@when(
    "the clock of {where} steps by {step_ms:d} ms under demand of {factor:g} times the "
    "rate for {seconds:d} s"
)
def steps(context, where, step_ms, factor, seconds):
    loop = context.loop
    home = loop.home_of[NAME]
    entry = next(name for name in loop.names if name != home)
    run_even(context, seconds / 2, factor)
    loop.skew_ms[home if where == "home" else entry] += step_ms
    run_even(context, seconds, factor)


@when(
    "half of the admitted requests are refused 100 ms later under demand of {factor:g} "
    "times the rate for {seconds:d} s"
)
def refused_later(context, factor, seconds):
    context.loop.unrun_share = 0.5
    run_even(context, seconds, factor)


@then("the bound holds in every window")
def bound_holds(context):
    loop = context.loop
    for name in loop.offered:
        limit = loop.bounds.limit(loop.workspaces[name])
        most = loop.most_in_window(name)
        if name == NAME:
            print(f"most in a window: {most} of {limit:.0f}")
        assert most <= limit, (name, most, limit)


@then("the lowered bound holds in every window that starts 1 s after the change")
def lowered_bound(context):
    loop = context.loop
    limit = loop.bounds.limit(loop.workspaces[NAME])
    most = loop.most_in_window(NAME, CHANGE_MS + 1_000)
    print(f"most in a window: {most} of {limit:.0f}")
    assert most <= limit, (most, limit)


@then(
    "at least {share:g} of what demand and quota allow is served from {seconds:d} s on"
)
def share_served(context, share, seconds):
    loop = context.loop
    served = loop.served_share(NAME, seconds * 1_000)
    per_s = loop.messages * 1_000 / loop.now_ms
    mean, most = loop.bytes_per_s()
    print(
        f"served / allowed: {served:.3f}, messages a second: {per_s:.0f}, bytes a "
        f"second at a node: {mean:.0f}, at the home: {most:.0f}"
    )
    assert served >= share, served


@then(
    "at least {share:g} of the quiet workspaces' requests are served from {seconds:d} "
    "s on"
)
def quiet_served(context, share, seconds):
    loop = context.loop
    quiet = [name for name in loop.offered if name != NAME]
    offered = sum(at >= seconds * 1_000 for n in quiet for at in loop.offered[n])
    served = sum(at >= seconds * 1_000 for n in quiet for at in loop.served[n])
    print(f"quiet workspaces served: {served / offered:.4f}")
    assert served >= share * offered, served / offered


@then(
    "at least {share:g} of the other entries' requests are served from {seconds:d} s on"
)
def honest_served(context, share, seconds):
    offered = sum(at >= seconds * 1_000 for at in context.honest_offered)
    served = sum(at >= seconds * 1_000 for at in context.honest_served)
    print(f"other entries served: {served / offered:.3f}")
    assert served >= share * offered, served / offered


@when(
    "the home changes, and each node learns of it within 2 s, under demand of "
    "{factor:g} times the rate for {seconds:d} s"
)
def home_changes(context, factor, seconds):
    loop = context.loop
    earlier = loop.home_of[NAME]
    later = next(name for name in loop.names if name != earlier)
    run_even(context, 5, factor)
    changes_ms = {n: loop.now_ms + loop.rng.uniform(0, 2_000) for n in loop.names}
    # The worst case: the new home learns of it first, the old one last.
    changes_ms[later], changes_ms[earlier] = loop.now_ms, loop.now_ms + 2_000
    loop.start_home(later, NAME, loop.now_ms)
    loop.at(changes_ms[earlier], loop.homes[earlier].update, (), changes_ms[earlier])

    def home(entry, name):
        return later if loop.now_ms >= changes_ms[entry] else earlier

    loop.home = home
    run_even(context, seconds, factor)


def host_records(states):
    return [
        HostRecord(
            name=f"h{index}",
            address="a",
            domain="d",
            region="r",
            service="s",
            state=state,
        )
        for index, state in enumerate(states)
    ]


@given("a node that knows {count:d} live hosts")
def known_hosts(context, count):
    context.reach = FleetReach()
    context.count = count
    context.reached = 1.0
    context.reach.update(host_records([HostState.LIVE] * count), 0.0)


@when("{gone:d} of them vanish")
def hosts_vanish(context, gone):
    live = [HostState.LIVE] * (context.count - gone)
    context.reach.update(host_records(live), 1_000.0)


@when("{gone:d} of them leave and vanish")
def hosts_leave(context, gone):
    live = [HostState.LIVE] * (context.count - gone)
    context.reach.update(host_records(live + [HostState.LEAVING] * gone), 500.0)
    context.reach.update(host_records(live), 1_000.0)


@when("{gone:d} of them do not answer")
def hosts_silent(context, gone):
    context.reached = (context.count - gone) / context.count


@then("it may grant {share:g} of a quota, and all after {seconds:d} s")
def share_is(context, share, seconds):
    found = context.reach.share(context.reached, 2_000.0)
    assert math.isclose(found, share, abs_tol=1e-9), found
    assert context.reach.share(1.0, 1_000.0 * seconds) == 1.0


@given("a host that becomes the home of a workspace of another host")
def new_home(context):
    context.earlier, context.new = QuotaHome(QuotaBounds()), QuotaHome(QuotaBounds())
    context.earlier.update([NAME], -HOLD_MS)
    gained = context.new.update([NAME], 0.0)
    context.new.await_others(gained, {"earlier", "other"})


def hand_over(context, host, served):
    context.new.confirm(host, [NAME], served, 0.0)


@when("the other host gives no answer")
def no_answer(context):
    hand_over(context, "other", ())


@when("the other host served until then")
def served_until_then(context):
    hand_over(context, "earlier", context.earlier.yield_to_other([NAME], 0.0))
    assert not context.earlier.is_serving(NAME, HOLD_MS - 1)


@when("the other host served until then, to a third")
def served_to_third(context):
    context.earlier.update([], 0.0)
    assert context.earlier.yield_to_other([NAME], 0.0) == (NAME,)
    hand_over(context, "earlier", context.earlier.yield_to_other([NAME], 0.0))


@when("the other host is the only one and did not serve")
def did_not_serve(context):
    hand_over(context, "earlier", ())
    hand_over(context, "other", ())


@then("it grants tokens from {start_ms:d} ms on")
def grants_from(context, start_ms):
    assert not context.new.is_serving(NAME, start_ms - 1)
    assert context.new.is_serving(NAME, start_ms)


@when(
    "{count:d} requests arrive at once at {at:d} of them, and refused ones return when "
    "told"
)
def burst_returns(context, count, at):
    loop = context.loop
    context.returned = context.refused = 0
    settle = loop.settle

    def come_back(entry):
        context.returned += 1
        loop.arrive(entry, NAME)

    def settle_burst(entry, name, verdict):
        settle(entry, name, verdict)
        if isinstance(verdict, OverQuota):
            context.refused += 1
            loop.at(loop.now_ms + verdict.retry_after_ms, come_back, entry)

    # The home's bucket fills from its first message on.
    loop.arrive(loop.names[0], NAME)
    loop.run(3_000, [])
    loop.settle = settle_burst
    for index in range(count):
        loop.arrive(loop.names[index % at], NAME)
    loop.run(3_120, [])
    context.refused_at_first = context.refused
    loop.run(9_000, [])


@then("at least {share:g} of those that return are admitted")
def returned_admitted(context, share):
    served = len(context.loop.served[NAME])
    print(f"refused at first {context.refused_at_first}, returned {context.returned}")
    assert served == len(context.loop.offered[NAME]) - context.returned, served
    assert context.refused_at_first >= share * context.returned
