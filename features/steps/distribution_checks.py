"""Steps that inject wrong decisions to show that each invariant check can fail."""

import dataclasses
import itertools
import unittest.mock

from behave import given
from behave import then
from behave import when
from cactushook import Distributor
from cactushook import relays
from cactushook import snapshot
from cactushook import source_poller
from cactushook import VersionStore
from cactushook.gossip import Gossip
from cactushook.readers import SourceRateLimiter
from cactushook.source_poller import SourcePoller

from features.steps.distribution import start_session

RAPID_VERSIONS = 14
HOSTS, DOMAINS, REGIONS, SEED = 60, 6, 3, 21


def patch(context, target, name, replacement):
    patcher = unittest.mock.patch.object(target, name, replacement)
    context.resources.enter_context(patcher)


@given("distributors in which no decision is wrong")
def nothing_wrong(context):
    context.assembler = None


@given("distributors in which an older version replaces a newer")
def older_replaces(context):
    context.assembler = None
    patch(context, VersionStore, "should_apply", lambda self, head: head != self.head)
    patch(context, VersionStore, "_check_order", lambda self, head: None)


@given("distributors in which a service is left out")
def service_left_out(context):
    def assemble(head, values, before):
        whole = snapshot.assemble(head, values, before)
        kept = dict(list(whole.snapshot.services.items())[1:])
        routes = tuple(
            bound for bound in whole.snapshot.routes if bound.team_file.service in kept
        )
        changed = dataclasses.replace(whole.snapshot, services=kept, routes=routes)
        return dataclasses.replace(whole, snapshot=changed)

    context.assembler = assemble


@given("distributors in which a routed service is left out")
def routed_service_left_out(context):
    def assemble(head, values, before):
        whole = snapshot.assemble(head, values, before)
        kept = dict(list(whole.snapshot.services.items())[1:])
        changed = dataclasses.replace(whole.snapshot, services=kept)
        return dataclasses.replace(whole, snapshot=changed)

    context.assembler = assemble


@given("distributors in which every second node accepts anything")
def half_accept(context):
    calls = itertools.count()

    def check_fleet(operators, sources, operators_file=""):
        faults = context.check_fleet(operators, sources, operators_file)
        return [] if next(calls) % 2 else faults

    def compile_known(head, operators, team_files):
        known = {team.service for team in team_files}
        kept = [
            team
            for team in team_files
            if all((route.service or team.service) in known for route in team.routes)
        ]
        return context.compile(head, operators, kept)

    context.check_fleet = snapshot.check_fleet
    context.compile = snapshot._compile
    context.assembler = snapshot.assemble
    patch(context, snapshot, "check_fleet", check_fleet)
    patch(context, snapshot, "_compile", compile_known)


@given("distributors in which every node reads without a limit")
def unbounded_reads(context):
    context.assembler = None
    patch(
        context, SourceRateLimiter, "take", lambda self, now_ms, wanted, *rest: wanted
    )
    patch(
        context,
        relays,
        "acting_readers",
        lambda view, avoided: tuple(host.name for host in view.live),
    )
    patch(context, source_poller, "RANK_DELAY_MS", 0.0)
    patch(context, Distributor, "_pass_on", lambda self, *rest: [])


@given("distributors in which nothing is repaired")
def nothing_repaired(context):
    context.assembler = None
    patch(context, SourcePoller, "on_call_failed", lambda self, call, now_ms: None)
    patch(context, Gossip, "_pull", lambda self, now_ms: [])


@when("a session with rapid versions, a stale platform and a split runs")
def faulty_session(context):
    start_session(context, HOSTS, DOMAINS, REGIONS, SEED, assembler=context.assembler)
    session = context.session
    for _ in range(RAPID_VERSIONS):
        session.publish()
        session.run(60)
    session.run(4_000)
    session.publish_invalid()
    session.run(2_000)
    session.world.source.head = next(iter(session.configuration.published))
    session.run(25_000)
    session.world.split([(), ("r1",)], [0])
    session.publish()
    session.run(20_000)
    session.world.heal()
    session.run(4_000)
    session.checker.check_converged(session.world, session.good_version)


@then('the checker reports "{violation}"')
def reported(context, violation):
    seen = context.session.checker.violations
    assert violation in seen, dict(seen)
