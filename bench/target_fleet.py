"""Host records and publications of any size, in the shape of the target fleet.

The constants are the sizes and rates that the system is required to support.
"""

import typing as t

from cactushook import publish
from cactushook.nodes import Domain
from cactushook.nodes import HostRecord
from cactushook.nodes import Limits
from cactushook.nodes import OperatorsFile
from cactushook.nodes import Route
from cactushook.nodes import RouteClass
from cactushook.nodes import TeamFile
from cactushook.publication import Publication

HOSTS = 12_000
SERVICES = 570
REGIONS = 7
DOMAINS = 24
CHANGES_PER_DAY = 24_000
RESTARTS_PER_DAY = 3_300
FAILURES_PER_DAY = 39
DAY_S = 86_400
DOMAINS_PER_SERVICE = 3


def domain_name(index: int) -> str:
    """Returns the name of a failure domain."""
    return f"region-{index % REGIONS}-domain-{index // REGIONS}"


def region_name(index: int) -> str:
    """Returns the region of a failure domain."""
    return f"region-{index % REGIONS}"


def host(index: int) -> HostRecord:
    """Returns a host; consecutive hosts are in different failure domains."""
    domain = index % DOMAINS
    return HostRecord(
        name=f"host-{index:05d}.example.net",
        address=f"10.{index // 65_536}.{index // 256 % 256}.{index % 256}:7400",
        domain=domain_name(domain),
        region=region_name(domain),
        service=f"service-{index // DOMAINS % SERVICES}",
        incarnation=1_790_000_000_000 + index,
    )


def hosts(count: int) -> list[HostRecord]:
    """Returns the first hosts of the fleet."""
    return [host(index) for index in range(count)]


def operators() -> OperatorsFile:
    """Returns the operators' file with all failure domains in service."""
    domains = [
        Domain(name=domain_name(index), region=region_name(index))
        for index in range(DOMAINS)
    ]
    return OperatorsFile(failure_domains=tuple(domains))


def team_file(index: int, slots: int = 12) -> TeamFile:
    """Returns a service's file with an idempotent, an at-most-once and a bulk route."""
    service = f"service-{index}"
    names = [
        domain_name((index + step) % DOMAINS) for step in range(DOMAINS_PER_SERVICE)
    ]
    at_most_once = RouteClass.AT_MOST_ONCE
    routes = (
        Route(path=f"/{service}/reads", route_class=RouteClass.IDEMPOTENT),
        Route(path=f"/{service}/o", methods=("POST",), route_class=at_most_once),
        Route(path=f"/{service}/files", route_class=RouteClass.BULK),
    )
    return TeamFile(
        service=service,
        team=f"team-{index // 3}",
        failure_domains=tuple(names),
        limits=Limits(slots=slots, connections=110),
        routes=routes,
    )


def publication(
    version: int, services: int = SERVICES, changed: t.Container[int] = ()
) -> Publication:
    """Returns a version; the services in ``changed`` have 13 slots instead of 12."""
    files = [
        team_file(index, 13 if index in changed else 12) for index in range(services)
    ]
    return publish(version, operators(), files)
