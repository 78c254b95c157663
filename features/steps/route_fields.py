"""Steps for routes with a host or a split."""

from behave import given
from behave import then
from cactushook import Head
from cactushook import Limits
from cactushook import OperatorsFile
from cactushook import Route
from cactushook import RouteClass
from cactushook import Snapshot
from cactushook import TeamFile
from cactushook.nodes import Domain
from cactushook.nodes import SplitPart
from cactushook.snapshot import bind_route
from cactushook.validation import check_fleet
from cactushook.validation import SourceFile

OPERATORS = OperatorsFile(failure_domains=(Domain(name="cesis", region="vidzeme"),))
READ = RouteClass.IDEMPOTENT


def team_file(*routes):
    return TeamFile(
        service="reports",
        team="inspections",
        failure_domains=("cesis",),
        limits=Limits(slots=1, connections=1),
        routes=routes,
    )


@given('routes "/a" of any host, "/a" of "one.example" and "/a/b/" of "two.example"')
def three_routes(context):
    context.team_file = team_file(
        Route(path="/a", route_class=READ),
        Route(path="/a", route_class=READ, host="one.example"),
        Route(path="/a/b/", route_class=READ, host="two.example"),
    )
    services = {"reports": context.team_file}
    bound = tuple(bind_route(r, services, "reports") for r in context.team_file.routes)
    context.snapshot = Snapshot(Head(version=1, root=""), services, {}, bound)


def match_route(context, path, host):
    bound = context.snapshot.match("GET", path, host)
    return bound and (bound.route.path, bound.route.host)


@then('"{path}" at "{host}" goes to "{wanted}" of "{wanted_host}"')
def goes_to(context, path, host, wanted, wanted_host):
    assert match_route(context, path, host) == (wanted, wanted_host)


@then('"{path}" at "{host}" goes to "{wanted}" of any host')
def goes_to_any(context, path, host, wanted):
    assert match_route(context, path, host) == (wanted, "")


@then('"{path}" at "{host}" matches no route')
def matches_no_route(context, path, host):
    assert match_route(context, path, host) is None


@given("a team file whose route has {fault}")
def faulty_split(context, fault):
    weight, other = (0, "reports") if fault == "no weight" else (1, "nobody")
    split = (
        SplitPart(service="reports", weight=weight),
        SplitPart(service=other, weight=weight),
    )
    context.team_file = team_file(Route(path="/a", route_class=READ, split=split))


@then('the fleet is refused as "{kind}" at "{field}"')
def refused_at(context, kind, field):
    (fault,) = check_fleet(OPERATORS, [SourceFile("f", context.team_file)])
    assert (fault.kind.value, fault.field) == (kind, field), fault


@then("the fleet is accepted")
def accepted(context):
    assert check_fleet(OPERATORS, [SourceFile("f", context.team_file)]) == []
