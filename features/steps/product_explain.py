"""Steps that compare explanations with routing."""

import pathlib
import random

import msgspec
from behave import given
from behave import then
from behave import when
from cactushook import HostRecord
from cactushook import Load
from cactushook import publish
from cactushook import Router
from cactushook_cli import fleet_files
from cactushook_node.environment import Environment
from cactushook_node.explain import explain
from cactushook_node.settings import Settings

from features.daemon import GOOD_SETTINGS

WORKERS = 3


def make_entry(seed):
    settings = msgspec.convert({**GOOD_SETTINGS, "seed": seed}, Settings)
    environment = Environment(settings)
    environment.now_ms = lambda: 0.0
    fleet, faults = fleet_files.read_fleet([pathlib.Path("examples/kalnins")])
    assert not faults
    publication = publish(1, fleet.operators, [s.team_file for s in fleet.sources])
    environment.store.apply_version(publication.head, publication.values)
    for index in range(1, WORKERS):
        record = HostRecord(
            name=f"cesis-{index}",
            address=f"127.0.0.1:{7200 + index}",
            domain="cesis",
            region="vidzeme",
            service="reports",
        )
        environment.membership.merge(record)
    return environment, Router("cesis", "vidzeme", environment.rng)


@given("two entries with the same seed and the same three workers")
def two_entries(context):
    context.entries = [make_entry(5), make_entry(5)]


@when("{count:d} requests are routed by both, and one of them explains each first")
def routed_by_both(context, count):
    rng = random.Random(1)
    context.chosen = []
    for _ in range(count):
        load = Load(running=rng.randrange(10), capacity=10)
        host = f"cesis-{rng.randrange(WORKERS)}"
        explained = None
        names = []
        for environment, router in context.entries:
            router.record_load(host, load, 0.0)
            if not names:
                explained = explain(environment, router, "GET", "/reports/1")
            snapshot = environment.store.snapshot
            hosts = environment.membership.hosts
            names.append(router.choose("reports", snapshot, hosts, 0.0).host.name)
        context.chosen.append((explained.host, *names))


@then("both chose the same workers as the explanations")
def same_workers(context):
    assert len({names[1] for names in context.chosen}) == WORKERS
    assert all(len(set(names)) == 1 for names in context.chosen), context.chosen
