"""Finds limits of a configuration that contradict each other."""

import collections
import typing as t

from .findings import Finding
from .findings import FindingCode
from .findings import make_finding
from .findings import route_place
from .nodes import MAX_SLOTS
from .nodes import MAX_TIMEOUT_MS
from .nodes import Route
from .nodes import RouteClass
from .nodes import TeamFile
from .snapshot import BoundRoute
from .snapshot import Snapshot
from .workspaces import Workspace

# Requests of other classes are not sent again once they may have run, and refusals
# take little of their time.
_RERUN_CLASSES = (RouteClass.IDEMPOTENT, RouteClass.BULK)
# A burst that takes longer to return is in effect granted once.
MAX_REFILL_S = 3_600.0


def find_limit_conflicts(snapshot: Snapshot) -> t.Iterator[Finding]:
    """Yields a finding for each pair of limits that cannot both have effect."""
    routes: dict[str, list[Route]] = collections.defaultdict(list)
    for bound in snapshot.routes:
        yield from _check_route(bound)
        for name in _running_services(bound):
            routes[name].append(bound.route)
    for name, team_file in sorted(snapshot.services.items()):
        yield from _check_service(team_file, routes[name])
    for _, workspace in sorted(snapshot.workspaces.items()):
        yield from _check_quota(workspace)


def _running_services(bound: BoundRoute) -> t.Iterable[str]:
    if not bound.shares:
        return (bound.team_file.service,)
    return {share.team_file.service for share in bound.shares if share.weight}


def _check_route(bound: BoundRoute) -> t.Iterator[Finding]:
    route = bound.route
    place = route_place(route)
    objective_ms = route.objective_ms
    if bound.shares and not any(share.weight for share in bound.shares):
        text = "it is split, but every weight is 0"
        yield make_finding(FindingCode.SPLIT_WITHOUT_WEIGHT, place, text)
    if route.timeout_ms <= 0:
        text = "its timeout is 0 ms, so that every request is late"
        yield make_finding(FindingCode.TIMEOUT_ZERO, place, text)
    elif objective_ms is None:
        return
    elif objective_ms > route.timeout_ms:
        yield make_finding(
            FindingCode.OBJECTIVE_ABOVE_TIMEOUT,
            place,
            f"its objective of {objective_ms} ms is above its timeout of "
            f"{route.timeout_ms} ms",
        )
    elif (
        route.route_class in _RERUN_CLASSES
        and route.attempts > 1
        and route.attempts * objective_ms > route.timeout_ms
    ):
        yield make_finding(
            FindingCode.ATTEMPTS_ABOVE_TIMEOUT,
            place,
            f"{route.attempts} attempts of {objective_ms} ms, its objective, exceed "
            f"its timeout of {route.timeout_ms} ms",
        )


def _check_service(
    team_file: TeamFile, routes: t.Sequence[Route]
) -> t.Iterator[Finding]:
    limits = team_file.limits
    place = f"service {team_file.service}"
    has_slots = limits.slots < MAX_SLOTS
    if has_slots and limits.slots > limits.connections:
        yield make_finding(
            FindingCode.SLOTS_ABOVE_CONNECTIONS,
            place,
            f"it has {limits.slots} slots but only {limits.connections} connections",
        )
    longest_ms = max((route.timeout_ms for route in routes), default=MAX_TIMEOUT_MS)
    if limits.queue_length and longest_ms < limits.queue_timeout_ms < MAX_TIMEOUT_MS:
        yield make_finding(
            FindingCode.QUEUE_TIMEOUT_UNUSED,
            place,
            f"its queue timeout of {limits.queue_timeout_ms} ms is above the timeouts "
            f"of all of its routes, at most {longest_ms} ms",
        )
    if has_slots and limits.cold_requests_per_s is not None:
        yield from _check_cold_rate(team_file, limits.cold_requests_per_s, routes)


def _check_cold_rate(
    team_file: TeamFile, cold_per_s: float, routes: t.Sequence[Route]
) -> t.Iterator[Finding]:
    """Compares the cold rate with the slots at the shortest objective.

    Routes without an objective say nothing about how long requests take.
    """
    objectives_ms = [r.objective_ms for r in routes if r.objective_ms]
    if not objectives_ms:
        return
    slots, shortest_ms = team_file.limits.slots, min(objectives_ms)
    warm_per_s = slots * 1_000 / shortest_ms
    if cold_per_s > warm_per_s:
        yield make_finding(
            FindingCode.COLD_RATE_ABOVE_SLOTS,
            f"service {team_file.service}",
            f"its cold rate of {cold_per_s:g} requests/s is above the "
            f"{warm_per_s:g} requests/s that {slots} slots run at "
            f"{shortest_ms} ms, the shortest objective",
        )


def _check_quota(workspace: Workspace) -> t.Iterator[Finding]:
    place = f"workspace {workspace.name}"
    burst, rate_per_s = workspace.burst, workspace.rate_per_s
    if 0 < burst < 1:
        text = f"its burst of {burst:.15g} holds no request"
        yield make_finding(FindingCode.BURST_BELOW_ONE, place, text)
    elif rate_per_s and burst > rate_per_s * MAX_REFILL_S:
        yield make_finding(
            FindingCode.BURST_REFILLS_SLOWLY,
            place,
            f"at {rate_per_s:.15g} requests/s, its burst of {burst:.15g} takes "
            f"{burst / rate_per_s:.0f} s to return",
        )


__all__ = ["MAX_REFILL_S", "find_limit_conflicts"]
