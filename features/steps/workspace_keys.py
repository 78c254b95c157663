"""Steps on the table of workspaces' keys."""

from unittest import mock

from behave import given
from behave import then
from behave import when
from cactushook import ConfigError
from cactushook import Head
from cactushook import Limits
from cactushook import Route
from cactushook import RouteClass
from cactushook import Snapshot
from cactushook import snapshot
from cactushook import TeamFile
from cactushook import workspaces
from cactushook.snapshot import bind_route
from cactushook.workspaces import EMPTY_CREDENTIALS
from cactushook.workspaces import key_digest
from cactushook.workspaces import Workspace
from cactushook.workspaces import WorkspaceSource

SECRET = "hush-5309"
CHANGES = {
    "an empty key": {"keys": ("",)},
    "a key of 257 bytes": {"keys": (SECRET.ljust(257, "x"),)},
    "a key of 129 characters, 258 bytes": {"keys": (129 * "é",)},
    "a key with a control byte": {"keys": (SECRET + "\x01",)},
    "a key with a blank": {"keys": (SECRET + " x",)},
    "a key with half a character": {"keys": (SECRET + "\ud800",)},
    "a negative rate": {"rate_per_s": -1.0},
    "a huge rate": {"rate_per_s": 1e30},
    "a rate that is no number": {"rate_per_s": float("nan")},
    "a huge burst": {"rate_per_s": 1.0, "burst": 1e30},
    "a burst without a rate": {"burst": 1.0},
    "a negative priority": {"priority": -1},
    "a name that no header can carry": {"name": "a\r\nb"},
    "a name given twice": {"name": "other", "keys": ()},
}


def source(name, keys, **fields):
    return WorkspaceSource(Workspace(name, **fields), tuple(keys))


def build(context, sources):
    before = getattr(context, "credentials", EMPTY_CREDENTIALS)
    context.credentials = workspaces.run_steps(workspaces.build_table(sources, before))


@given('the workspaces "{a}" with keys "{a_keys}" and "{b}" with keys "{b_keys}"')
@when('the workspaces become "{a}" with keys "{a_keys}" and "{b}" with keys "{b_keys}"')
def two_workspaces(context, a, a_keys, b, b_keys):
    build(context, [source(a, a_keys.split()), source(b, b_keys.split())])


@then('"{first}" and "{second}" belong to "{name}", and "{third}" to "{other}"')
def belong(context, first, second, name, third, other):
    found = [context.credentials.find(key.encode()) for key in (first, second, third)]
    assert found == [name, name, other], found


@then('"{key}" is not known')
def unknown(context, key):
    assert context.credentials.find(key.encode()) == ""


@then('no key like "k", "k11", "K1" or one of 300 bytes is known')
def similar_unknown(context):
    for key in (b"", b"k", b"k11", b"K1", 300 * b"k", b"\xff\x00"):
        assert context.credentials.find(key) == "", key


@given("{count:d} workspaces with {keys:d} keys each")
def many_workspaces(context, count, keys):
    context.keys = [[f"{n}-{i}" for i in range(keys)] for n in range(count)]
    build(context, [source(f"w{n}", keys) for n, keys in enumerate(context.keys)])


@when("one of them gets another key")
def gets_key(context):
    context.keys[7].append("new")
    kept = [e for n, e in context.credentials.entries.items() if n != "w7"]
    changed = source("w7", context.keys[7])
    with mock.patch.object(workspaces, "key_digest", wraps=key_digest) as hashing:
        build(context, [*kept, changed])
    context.hashed_count = hashing.call_count


@then("{count:d} keys were hashed")
def hashed(context, count):
    assert context.hashed_count == count, context.hashed_count


@then("every key is known")
def every_key(context):
    for number, keys in enumerate(context.keys):
        assert all(
            context.credentials.find(k.encode()) == f"w{number}" for k in keys
        ), number


@when("a table is built from a workspace with {fault}")
def built_from_fault(context, fault):
    fields = {"name": "w", "keys": (SECRET,), **CHANGES.get(fault, {})}
    other = source("other", (SECRET,) if fault.endswith("another workspace") else ())
    context.error = None
    try:
        build(context, [other, source(**fields)])
    except ConfigError as error:
        context.error = error


@then('it is refused because it "{reason}", and the error holds no key')
def refused(context, reason):
    assert context.error is not None and reason in str(context.error), context.error
    assert SECRET not in repr(context.error) and "é" not in repr(context.error)


@given('a snapshot whose longest route is "/a/b/"')
def snapshot_with_routes(context):
    limits = Limits(slots=1, connections=1)
    service = TeamFile(service="s", team="", failure_domains=(), limits=limits)
    services = {"s": service}
    routes = [
        Route(path=path, route_class=RouteClass.IDEMPOTENT, service="s")
        for path in ("/a/b/", "/a")
    ]
    bound = tuple(bind_route(route, services, "s") for route in routes)
    context.snapshot = Snapshot(Head(version=1, root=""), services, {}, bound)


@then('"{first}" and "{second}" match "{path}", and "{third}" matches "{other}"')
def matches(context, first, second, path, third, other):
    found = [context.snapshot.match("GET", p) for p in (first, second, third)]
    assert [bound.route.path for bound in found] == [path, path, other], found


@then("matching a path of {count:d} slashes looks at {limit:d} prefixes at most")
def few_prefixes(context, count, limit):
    prefixes = list(snapshot._prefixes(count * "/", len("/a/b/")))
    assert len(prefixes) <= limit, len(prefixes)
    assert context.snapshot.match("GET", count * "/") is None
