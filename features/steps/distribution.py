"""Steps that drive a fleet of distributors in virtual time."""

from behave import given
from behave import then
from behave import when
from cactushook import HostState
from cactushook.distributor import Periods
from cactushook.readers import FleetHint

from bench.distribution_events import SourceMode
from features.distribution_fleet import CONVERGENCE_LIMIT_MS
from features.distribution_fleet import Session

START_SPREAD_MS = 10
BOOT_MS = 20_000


def start_session(context, hosts, domains, regions, seed, **options):
    context.session = session = Session(
        context.transcript,
        hosts,
        domains,
        regions,
        seed,
        hint=FleetHint(hosts, domains),
        **options,
    )
    session.publish()
    for index, name in enumerate(session.world.nodes):
        session.world.schedule(
            index * START_SPREAD_MS, lambda name=name: session.world.start(name)
        )
    session.run_and_log(BOOT_MS)


@given(
    "{hosts:d} nodes in {domains:d} failure domains of {regions:d} regions, "
    "seed {seed:d}"
)
def start_fleet(context, hosts, domains, regions, seed):
    start_session(context, hosts, domains, regions, seed)


@given(
    "{hosts:d} nodes that gossip every {period_s:d} s in {domains:d} failure domains "
    "of {regions:d} regions, seed {seed:d}"
)
def start_slow_gossip_fleet(context, hosts, period_s, domains, regions, seed):
    periods = Periods(gossip_period_ms=period_s * 1_000, host_list_period_ms=60_000)
    start_session(context, hosts, domains, regions, seed, periods=periods)


@when("{length_s:g} s pass")
def pass_time(context, length_s):
    context.session.run_and_log(length_s * 1_000)


@when("a version is published")
def publish_version(context):
    context.session.publish()


@when("{count:d} versions are published {gap_ms:d} ms apart")
def publish_versions(context, count, gap_ms):
    for _ in range(count):
        context.session.publish()
        context.session.run(gap_ms)


@when("an invalid version is published")
def publish_invalid_version(context):
    context.session.publish_invalid()


@when('operators take "{domain}" out')
def take_domain_out(context, domain):
    context.session.take_domain_out(domain)


@when("the platform goes down")
def source_down(context):
    context.session.world.source.mode = SourceMode.DOWN
    context.session.log("platform down")


@when("the platform comes back")
def source_up(context):
    session = context.session
    session.world.source.mode = SourceMode.UP
    session.log("platform back")


@when("the platform answers only half of the values")
def source_half(context):
    context.session.world.source.mode = SourceMode.HALF
    context.session.log("platform answers half of the values")


@when("the platform answers version {version:d} again")
def source_stale(context, version):
    session = context.session
    heads = session.configuration.published
    session.world.source.head = next(h for h in heads if h.version == version)
    session.log(f"platform answers version {version} again")


@when("all readers are killed")
def kill_readers(context):
    session = context.session
    names = session.readers()
    for name in names:
        session.world.kill(name)
    session.log(f"{len(names)} readers killed")


@when('all nodes of "{domain}" are killed')
def kill_domain(context, domain):
    for name in context.session.host_names(domain):
        context.session.world.kill(name)
    context.session.log(f"nodes of {domain} killed")


@when('all nodes of "{domain}" start')
def start_domain(context, domain):
    for name in context.session.host_names(domain):
        context.session.world.start(name)
    context.session.log(f"nodes of {domain} started")


@when("all stopped nodes start")
def start_stopped_nodes(context):
    session = context.session
    for name, state in session.world.nodes.items():
        if not state.is_running:
            session.world.start(name)
    session.log("all others started")


@when('node "{name}" is killed')
def kill_node(context, name):
    context.session.world.kill(name)
    context.session.log(f"{name} killed")


@when('node "{name}" starts')
def start_node(context, name):
    context.session.world.start(name)
    context.session.log(f"{name} started")


@when('node "{name}" leaves')
def node_leaves(context, name):
    context.session.world.leave(name)
    context.session.log(f"{name} leaves")


@when('node "{name}" is paused for {length_s:d} s')
def pause_node(context, name, length_s):
    context.session.world.pause(name, length_s * 1_000)
    context.session.log(f"{name} paused")


@when('region "{region}" is cut off, and the platform with the others')
def cut_region(context, region):
    context.session.world.split([(), (region,)], [0])
    context.session.log(f"{region} cut off")


@when('region "{region}" is cut off together with the platform')
def cut_region_with_source(context, region):
    context.session.world.split([(), (region,)], [1])
    context.session.log(f"{region} cut off with the platform")


@when("the split heals")
def heal_split(context):
    context.session.world.heal()
    context.session.log("split healed")


@then("all nodes have the newest version within the limit")
def all_converged(context):
    session = context.session
    session.run_and_log(CONVERGENCE_LIMIT_MS)
    session.checker.check_converged(session.world, session.good_version)
    assert "not converged" not in session.checker.violations, session.summary()


@then("no node has version {version:d}")
def no_node_has_version(context, version):
    states = list(context.session.world.running_nodes())
    assert states
    assert all(state.version != version for state in states)


@then('node "{name}" is ready with version {version:d}')
def node_ready(context, name, version):
    session = context.session
    state = session.world.nodes[name]
    ready = state.distributor.readiness(session.world.now_ms)
    assert ready.ready, ready.reason
    assert state.version == version, state.version


@then('node "{name}" is not ready')
def node_not_ready(context, name):
    session = context.session
    state = session.world.nodes[name]
    ready = state.distributor.readiness(session.world.now_ms)
    assert not ready.ready
    session.log(f"{name} is not ready: {ready.reason}")


@then('all others know "{name}" as {state}')
def others_know(context, name, state):
    session = context.session
    session.log(f"{name} is known as {session.count_states(name)}")
    assert session.is_known_as(name, HostState(state)), session.count_states(name)


@then("no invariant was violated")
def no_invariant_violated(context):
    session = context.session
    worst = session.world.source.max_calls_per_s
    session.log(f"worst second at the platform: {worst} calls")
    assert not session.checker.violations, dict(session.checker.violations)
