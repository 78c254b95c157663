"""Steps for the check of a configuration."""

import dataclasses
import itertools
import json
import pathlib
import random
import sys
import unittest.mock

from behave import given
from behave import then
from behave import when
from cactushook import Head
from cactushook import Limits
from cactushook import Route
from cactushook import RouteClass
from cactushook import Snapshot
from cactushook import SourceError
from cactushook import TeamFile
from cactushook.differences import compare_outlines
from cactushook.differences import find_differences
from cactushook.findings import FindingCode
from cactushook.findings import Severity
from cactushook.findings import severity_of
from cactushook.lint import lint
from cactushook.nodes import Domain
from cactushook.nodes import DomainState
from cactushook.nodes import SplitPart
from cactushook.outlines import outline
from cactushook.snapshot import bind_route
from cactushook.workspaces import build_table
from cactushook.workspaces import run_steps
from cactushook.workspaces import Workspace
from cactushook.workspaces import WorkspaceSource
from cactushook_cli import client
from cactushook_cli.checking import read_snapshot
from cactushook_node.configuration_page import show_configuration

from features import command

KEYS = ("first-secret", "second-secret", "third-secret")
DIFFERENCES = {c for c in FindingCode if severity_of(c) is Severity.DIFFERENCE}


def service(name, domains=("cesis",), **limits):
    found = Limits(**{"slots": 10, "connections": 130, **limits})
    return TeamFile(service=name, team="a", failure_domains=domains, limits=found)


def route(path, **fields):
    return Route(path=path, **{"route_class": RouteClass.IDEMPOTENT, **fields})


def split(**weights):
    return tuple(SplitPart(service=s, weight=w) for s, w in weights.items())


def workspace(name, *keys, **quota):
    return WorkspaceSource(Workspace(name, **quota), keys)


def build(services, routes, domains=(("cesis", "in"),), workspaces=(), is_open=False):
    by_name = {item.service: item for item in services}
    bound = tuple(bind_route(r, by_name, services[0].service, is_open) for r in routes)
    table = run_steps(build_table(workspaces))
    found = {
        name: Domain(name=name, region="vidzeme", state=DomainState(state))
        for name, state in domains
    }
    head = Head(version=1, root="")
    return Snapshot(head, by_name, found, bound, table.workspaces, table)


@given("a snapshot that has each kind of finding")
def faulty_snapshot(context):
    services = (
        service("reports"),
        service("archive", ("valmiera",)),
        service("ledger", slots=200),
        service("alone"),
        service("slow-queue", queue_timeout_ms=3_000),
        service("warm", cold_requests_per_s=60.0),
    )
    routes = (
        route("/a", methods=("GET", "POST")),
        route("/a", service="archive"),
        route("/a", service="archive", methods=("POST", "PUT")),
        route("/none", methods=()),
        route("/query?a=1"),
        route("/exact"),
        route("/exact/", service="ledger"),
        route("/hosts", host="one.example"),
        route("/hosts"),
        route("/split", split=split(reports=1, archive=0)),
        route("/empty", split=split(reports=0, archive=0)),
        route("/now", timeout_ms=0),
        route("/late", timeout_ms=100, objective_ms=200),
        route("/attempts", timeout_ms=500, objective_ms=200, attempts=3),
        route("/queue", service="slow-queue", timeout_ms=2_000),
        route("/warm", service="warm", objective_ms=200),
    )
    workspaces = (
        workspace("nokeys"),
        workspace("small", KEYS[0], rate_per_s=1.0, burst=0.5),
        workspace("slow", KEYS[1], rate_per_s=0.01, burst=100.0),
    )
    domains = (("cesis", "in"), ("valmiera", "out"), ("sigulda", "in"))
    context.snapshot = build(services, routes, domains, workspaces)


@when("it is checked")
def checked(context):
    record(context, lint(context.snapshot))


def record(context, findings):
    context.findings = findings
    context.transcript += [
        f"{item.severity.value} | {item.place} | {item.code.value} | {item.text}"
        for item in findings
    ]


@then("the findings have each code that is no difference, once")
def all_findings(context):
    codes = [finding.code for finding in context.findings]
    assert sorted(codes, key=str) == sorted(set(FindingCode) - DIFFERENCES, key=str)


@given("a snapshot in force and one that differs from it in each way")
def two_snapshots(context):
    context.before = build(
        (service("reports"), service("archive"), service("old")),
        (
            route("/a", timeout_ms=2_000),
            route("/b", methods=("GET", "POST"), service="archive"),
            route("/old"),
        ),
        (("cesis", "in"), ("valmiera", "in")),
    )
    context.after = build(
        (service("reports", slots=12), service("archive", ()), service("new")),
        (
            # The order of routes and methods is no difference.
            route("/new", split=split(reports=90, new=10)),
            route("/b", methods=("POST", "GET"), service="archive"),
            route("/a", timeout_ms=3_000, methods=("GET", "HEAD"), service="new"),
        ),
        (("cesis", "out"), ("sigulda", "in")),
        (workspace("first", KEYS[0]),),
    )
    context.later = dataclasses.replace(
        build(
            tuple(context.after.services.values()),
            (),
            (("cesis", "out"), ("sigulda", "in")),
            (
                workspace("first", *KEYS[1:], rate_per_s=2.5),
                workspace("second"),
            ),
        ),
        routes=context.after.routes,
    )


@when("they are compared")
def compared(context):
    first = find_differences(context.before, context.after)
    second = find_differences(context.after, context.later)
    # Going back to a version without workspaces removes them.
    back = find_differences(context.later, context.before)
    last = [f for f in back if f.place.startswith("workspace")]
    record(context, (*first, *second, *last))


@then("the differences have each code of a difference, once")
def all_differences(context):
    seen = [(finding.code, finding.text) for finding in context.findings]
    assert len(set(seen)) == len(seen)
    assert {code for code, _ in seen} == DIFFERENCES


@then("neither keys nor digests of keys are in the transcript")
def no_keys(context):
    shown = "\n".join([*context.transcript, *map(repr, context.findings)])
    digests = [
        digest
        for entry in context.later.credentials.entries.values()
        for digest in entry.digests
    ]
    assert len(digests) == 2
    for text in (*KEYS, *(d.hex() for d in digests), *map(repr, digests)):
        assert text not in shown, text


@then("the configurations of the examples have no findings")
def sound_examples(context):
    for name in ("kalnins", "paddleworks"):
        found = lint(read_snapshot(pathlib.Path("examples", name)))
        assert not found, found


@then("a snapshot does not differ from itself")
def same_snapshot(context):
    faulty_snapshot(context)
    assert not find_differences(context.snapshot, context.snapshot)


@then("on generated routes, the findings agree with the matching of requests")
def generated_routes(context):
    rng = random.Random(1)
    paths = ("/", "/a", "/a/", "/a/b", "/a/b/", "/c")
    hosts = ("", "one.example", "two.example")
    methods = ("GET", "POST", "PUT")
    requests = list(
        itertools.product(
            methods,
            (*paths, "/a/x", "/a/b/x", "/c/x", "/x"),
            (*hosts, "other.example"),
        )
    )
    shadowed_count = 0
    for _ in range(200):
        services = tuple(service(f"s{index}") for index in range(12))
        routes = [
            route(
                rng.choice(paths),
                host=rng.choice(hosts),
                methods=tuple(rng.sample(methods, rng.randint(1, 3))),
                service=item.service,
            )
            for item in services
        ]
        snapshot = build(services, routes)
        reached = {snapshot.match(*request) for request in requests} - {None}
        unreached = [bound for bound in snapshot.routes if bound not in reached]
        codes = [finding.code for finding in lint(snapshot)]
        assert codes.count(FindingCode.ROUTE_SHADOWED) == len(unreached)
        shadowed_count += len(unreached)
    assert shadowed_count > 100


@then("the steps of a check grow in proportion to the routes")
def linear_steps(context):
    # Calls are counted in place of time, which depends on the machine.
    few, many = count_calls(1_400), count_calls(12_000)
    assert many < 1.2 * few * 12_000 / 1_400, (few, many)


def count_calls(count):
    services = (service("reports"), service("archive"))
    # A quarter of the routes has one path, the worst case for pairs of routes.
    routes = [
        route(f"/p{index}" if index % 4 else "/same", service="archive")
        for index in range(count)
    ]
    before, after = build(services, routes), build(services, routes[::-1])
    calls = 0

    def count_call(frame, event, argument):
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(count_call)
    try:
        lint(after)
        find_differences(before, after)
    finally:
        sys.setprofile(None)
    return calls


@when("the text '{text}' in \"{name}\" becomes '{changed}'")
def change_file(context, text, name, changed):
    path = next(context.directory.rglob(f"{name}.cactushook.jsonc"))
    path.write_text(path.read_text().replace(text, changed, 1))


@when("the configuration is checked against the node")
def check_against_node(context):
    address = context.host.admin_address
    line = f"cactushook check . --against {address} --json"
    context.outcomes.append(command.run_line(line, context.directory))


@then("the checks found {first:d} and {second:d} differences")
def difference_counts(context, first, second):
    assert all(outcome.code == 0 for outcome in context.outcomes), context.outcomes
    shown = [json.loads(outcome.out) for outcome in context.outcomes]
    assert all(item["against"] > 0 for item in shown), shown
    assert [len(item["differences"]) for item in shown] == [first, second], shown


@when("a published value is damaged")
def damage_value(context):
    path = next((context.directory.parent / "out" / "values").iterdir())
    path.write_bytes(path.read_bytes() + b" ")


@then("the last exit status is {code:d}")
def last_exit_status(context, code):
    outcome = context.outcomes[-1]
    assert outcome.code == code, outcome


@then('"{page}" has a row with the severity of each code')
def documented_codes(context, page):
    text = pathlib.Path(page).read_text()
    for code in FindingCode:
        row = f"| `{code.value}` | {severity_of(code).value} |"
        assert row in text, row


def fetch_from(context, *snapshots):
    """Fetches the configuration of a node that has a snapshot for each part."""
    bodies = []

    def fetch(node, target):
        snapshot = snapshots[min(len(bodies), len(snapshots) - 1)]
        page = show_configuration(snapshot, target.partition(b"?")[2], count=2)
        assert page.status == 200
        bodies.append(page.body)
        return page.body

    with unittest.mock.patch.object(client, "_fetch", fetch):
        page = client.fetch_configuration("127.0.0.1:1")
    assert len(bodies) > 3
    context.bodies = b"".join(bodies).decode()
    return page


@then("its configuration is fetched in parts, without keys")
def fetched_in_parts(context):
    page = fetch_from(context, context.later)
    assert page.entries == outline(context.later)
    assert context.bodies.count('"key_count":2') == 1, context.bodies
    # Without digests, only the numbers of keys can be compared.
    record(context, compare_outlines(outline(context.after), page.entries))
    assert context.transcript[-1].endswith("1 key -> 2 keys"), context.transcript
    no_keys(context)
    assert not any(key in context.bodies for key in KEYS)
    assert show_configuration(context.later, b"start=-1").status == 400


# Parts of two versions together would show differences that neither has.
@then("parts of different versions are never put together")
def one_version(context):
    head = Head(version=2, root="")
    newer = dataclasses.replace(context.after, head=head)
    page = fetch_from(context, context.later, newer)
    assert (page.version, page.entries) == (2, outline(newer))
    for last in (newer, dataclasses.replace(newer, head=Head(version=0, root=""))):
        try:
            fetch_from(context, *(context.later, newer) * 3, last)
        except SourceError:
            continue
        raise AssertionError("parts of different versions were put together")
