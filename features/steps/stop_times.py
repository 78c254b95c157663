"""Steps on how long a planned stop takes."""

import msgspec
from behave import given
from behave import then
from behave import when
from cactushook_node.settings import Settings
from cactushook_node.stops import begin_stop

from features import daemon
from features import edge_fixtures


@given("a node's settings with a drain limit of {limit_ms:d} ms")
def settings_with_limit(context, limit_ms):
    context.raw = {**daemon.GOOD_SETTINGS, "drain_limit_ms": limit_ms}


@given("a node whose event loop runs {late_ms:d} ms late")
def late_loop(context, late_ms):
    context.environment = edge_fixtures.environment()
    context.environment.lag.record(late_ms)


@when("its stop of at most {limit_ms:d} ms begins")
def stop_begins(context, limit_ms):
    env = context.environment
    env.settings = msgspec.structs.replace(env.settings, drain_limit_ms=limit_ms)
    context.times = begin_stop(env)


@then("the stop ends within {limit_ms:d} ms")
def stop_ends(context, limit_ms):
    assert context.times.limit_ms == limit_ms, context.times


@then("the node serves as before for {linger_ms:d} ms")
def lingers(context, linger_ms):
    assert context.times.linger_ms == linger_ms, context.times


@when("the platform kills the node {grace_ms:d} ms after SIGTERM")
def platform_kills(context, grace_ms):
    context.settings = msgspec.convert({**context.raw, "grace_ms": grace_ms}, Settings)


@then("its stop takes at most {limit_ms:d} ms")
def stop_takes(context, limit_ms):
    assert context.settings.stop_limit_ms == limit_ms, context.settings
