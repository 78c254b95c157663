"""Finds entries of a configuration that no request reaches."""

import collections
import typing as t

from .findings import Finding
from .findings import FindingCode
from .findings import make_finding
from .findings import route_place
from .snapshot import BoundRoute
from .snapshot import Snapshot


def find_unreachable_entries(snapshot: Snapshot) -> t.Iterator[Finding]:
    """Yields a finding for each entry that no request, or only a part, reaches.

    A request whose path is that of a route is never covered by a longer path, so only
    routes of the same path can take all requests of a route. The cost is linear.
    """
    hosts = frozenset(
        bound.route.host
        for bound in snapshot.routes
        if bound.route.host and not _find_unmatchable_reason(bound)
    )
    for path, routes in snapshot.routes_by_path.items():
        yield from _check_path(snapshot, path, routes, hosts)
    for bound in snapshot.routes:
        yield from _check_weights(bound)
    yield from _check_services(snapshot)
    yield from _check_domains(snapshot)
    yield from _check_workspaces(snapshot)


def _check_path(
    snapshot: Snapshot,
    path: str,
    routes: t.Sequence[BoundRoute],
    hosts: frozenset[str],
) -> t.Iterator[Finding]:
    """Checks the routes of one path, in the order in which they are tried."""
    below = () if path.endswith("/") else snapshot.routes_by_path.get(f"{path}/", ())
    claims_below = {(b.route.host, method) for b in below for method in b.route.methods}
    takers: dict[tuple[str, str], BoundRoute] = {}
    host_counts: collections.Counter[str] = collections.Counter()
    for bound in routes:
        route = bound.route
        reason = _find_unmatchable_reason(bound)
        if reason:
            place = route_place(route)
            yield make_finding(FindingCode.ROUTE_UNMATCHABLE, place, reason)
            continue
        free: list[str] = []
        lost: dict[str, BoundRoute] = {}
        for method in dict.fromkeys(route.methods):
            taker = takers.setdefault((route.host, method), bound)
            if taker is bound:
                free.append(method)
                host_counts[method] += bool(route.host)
            else:
                lost[method] = taker
        yield from _check_methods(bound, free, lost)
        if free:
            has_all_hosts = bool(hosts) and all(
                host_counts[method] == len(hosts) for method in free
            )
            yield from _check_rest(bound, free, claims_below, has_all_hosts)


def _check_rest(
    bound: BoundRoute,
    free: t.Iterable[str],
    claims_below: t.Container[tuple[str, str]],
    has_all_hosts: bool,
) -> t.Iterator[Finding]:
    """Checks what is left to a route of the methods that no other route takes.

    Args:
        bound: the route.
        free: its methods that no other route of its path and host takes.
        claims_below: hosts and methods of the routes of its path with a final slash.
        has_all_hosts: whether each host named has routes of this path and its methods.
    """
    route = bound.route
    if all(_is_claimed(claims_below, route.host, method) for method in free):
        yield make_finding(
            FindingCode.ROUTE_EXACT_PATH_ONLY,
            route_place(route),
            f"routes of '{route.path}/' take all requests below this path",
        )
    if has_all_hosts and not route.host:
        yield make_finding(
            FindingCode.ROUTE_OTHER_HOSTS_ONLY,
            route_place(route),
            "each host that the configuration names has a route of its own for "
            "this path; only requests for other hosts are left",
        )


def _find_unmatchable_reason(bound: BoundRoute) -> str:
    """Returns why no request has the route's path or host; empty if one may have."""
    if "?" in bound.route.path:
        return "paths of requests are compared without their query"
    host = bound.route.host
    if host != host.lower() or ":" in host:
        return "hosts of requests are compared in lower case and without their port"
    return ""


def _check_methods(
    bound: BoundRoute, free: t.Sequence[str], lost: t.Mapping[str, BoundRoute]
) -> t.Iterator[Finding]:
    place = route_place(bound.route)
    if not free and not lost:
        text = "it has no methods"
        yield make_finding(FindingCode.ROUTE_WITHOUT_METHODS, place, text)
    if not lost:
        return
    takers = dict.fromkeys(
        f"{route_place(taker.route)} to {_service_names(taker)}"
        for taker in lost.values()
    )
    kind = ",".join(lost) if free else "all"
    text = f"{kind} requests to {_service_names(bound)} go by {' and '.join(takers)}"
    code = FindingCode.ROUTE_PARTLY_SHADOWED if free else FindingCode.ROUTE_SHADOWED
    yield make_finding(code, place, text)


def _service_names(bound: BoundRoute) -> str:
    services = [share.team_file.service for share in bound.shares]
    return ", ".join(services or [bound.team_file.service])


def _is_claimed(claims: t.Container[tuple[str, str]], host: str, method: str) -> bool:
    return (host, method) in claims or ("", method) in claims


def _check_weights(bound: BoundRoute) -> t.Iterator[Finding]:
    unused = [share.team_file.service for share in bound.shares if not share.weight]
    if not unused or len(unused) == len(bound.shares):
        return
    yield make_finding(
        FindingCode.SPLIT_WEIGHT_ZERO,
        route_place(bound.route),
        f"parts of weight 0 get no requests: {', '.join(unused)}",
    )


def _check_services(snapshot: Snapshot) -> t.Iterator[Finding]:
    reached: set[str] = set()
    for bound in snapshot.routes:
        reached.add(bound.team_file.service)
        reached.update(share.team_file.service for share in bound.shares)
    for name, team_file in sorted(snapshot.services.items()):
        if name not in reached:
            yield make_finding(
                FindingCode.SERVICE_WITHOUT_ROUTE,
                f"service {name}",
                "no route leads to it",
            )
        domains = team_file.failure_domains
        if domains and all(map(snapshot.is_out, domains)):
            yield make_finding(
                FindingCode.SERVICE_OUT,
                f"service {name}",
                f"all of its failure domains are out: {', '.join(domains)}",
            )


def _check_domains(snapshot: Snapshot) -> t.Iterator[Finding]:
    used: set[str] = set()
    for team_file in snapshot.services.values():
        if not team_file.failure_domains:
            # Its workers may run in any failure domain.
            return
        used.update(team_file.failure_domains)
    for name in sorted(snapshot.domains.keys() - used):
        yield make_finding(
            FindingCode.DOMAIN_WITHOUT_SERVICE,
            f"failure domain {name}",
            "no service names it",
        )


def _check_workspaces(snapshot: Snapshot) -> t.Iterator[Finding]:
    entries = snapshot.credentials.entries
    for name in sorted(snapshot.workspaces):
        if name not in entries or not entries[name].digests:
            yield make_finding(
                FindingCode.WORKSPACE_WITHOUT_KEYS,
                f"workspace {name}",
                "it has no keys, so no request can belong to it",
            )


__all__ = ["find_unreachable_entries"]
