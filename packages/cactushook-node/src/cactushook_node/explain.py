"""Explains how the node would route a request, without sending the request."""

from cactushook import HostRecord
from cactushook import RouteClass
from cactushook import Router
from cactushook.reports import Explanation
from cactushook.reports import PassedWorker
from cactushook.snapshot import BoundRoute

from .environment import Environment


def explain(
    environment: Environment,
    router: Router,
    method: str,
    path: str,
    host: str = "",
) -> Explanation:
    """Returns the routing decision for a request.

    The state of the random generator is restored, so that an explanation does not
    affect later routing decisions.
    """
    snapshot = environment.store.snapshot
    version = snapshot.head.version
    bound = snapshot.match(method, path, host)
    if bound is None:
        reason = f"no route covers {method} {path!r}"
        if version == 0:
            reason = "no configuration is in force"
        return Explanation(version, reason=reason)
    rng_state = environment.rng.getstate()
    try:
        return _explain_route(environment, router, bound)
    finally:
        environment.rng.setstate(rng_state)


def _explain_route(
    environment: Environment, router: Router, bound: BoundRoute
) -> Explanation:
    snapshot = environment.store.snapshot
    service = bound.team_file.service
    hosts = [h for h in environment.membership.hosts if h.service == service]
    now_ms = environment.now_ms()
    choice = router.choose(service, snapshot, hosts, now_ms)
    is_keyed = bound.route.route_class is RouteClass.AT_MOST_ONCE
    chosen = None if is_keyed else choice.host
    if is_keyed:
        reason = "the request's key determines its home"
    else:
        reason = _reason_chosen(environment, chosen)
    return Explanation(
        version=snapshot.head.version,
        route=bound.route.path,
        route_class=bound.route.route_class.value,
        visibility=bound.route.visibility.value,
        needs_key=bool(snapshot.workspaces) and not bound.is_open,
        service=service,
        host=chosen.name if chosen else "",
        domain=chosen.domain if chosen else "",
        reason=reason,
        passed=tuple(
            PassedWorker(
                host.name,
                host.domain,
                router.exclusion_reason(host, snapshot, now_ms)
                or _reason_passed(host, chosen),
            )
            for host in sorted(hosts, key=lambda host: host.name)
            if host is not chosen
        ),
    )


def _reason_chosen(environment: Environment, host: HostRecord | None) -> str:
    settings = environment.settings
    if host is None:
        return "no worker accepts requests"
    if host.domain == settings.domain:
        return "in the entry's failure domain"
    if host.region == settings.region:
        return "in the entry's region, the nearest that accepts requests"
    return "in another region, the nearest that accepts requests"


def _reason_passed(host: HostRecord, chosen: HostRecord | None) -> str:
    if chosen is None:
        return "possible home of a key"
    if host.domain != chosen.domain:
        return "in another failure domain"
    return "not chosen this time, by load and at random"
