"""Findings about a configuration: the closed list of codes and how severe each is."""

import dataclasses
import enum
import typing as t

from .nodes import Method
from .nodes import Route

_ANY_METHOD = frozenset(t.get_args(Method))


class Severity(enum.Enum):
    """How severe a finding is."""

    # Nodes refuse the configuration, or no request of the entry can succeed.
    ERROR = "error"
    # Requests are treated otherwise than the entry says, or the entry has no effect.
    WARNING = "warning"
    # Requests are treated as the entry says, which may not be what was meant.
    NOTE = "note"
    # The version in force says something else.
    DIFFERENCE = "difference"


class FindingCode(enum.Enum):
    """Every kind of finding; the value is its code."""

    # Entries that no request reaches.
    ROUTE_SHADOWED = "route_shadowed"
    ROUTE_PARTLY_SHADOWED = "route_partly_shadowed"
    ROUTE_WITHOUT_METHODS = "route_without_methods"
    ROUTE_UNMATCHABLE = "route_unmatchable"
    ROUTE_EXACT_PATH_ONLY = "route_exact_path_only"
    ROUTE_OTHER_HOSTS_ONLY = "route_other_hosts_only"
    SPLIT_WEIGHT_ZERO = "split_weight_zero"
    SERVICE_WITHOUT_ROUTE = "service_without_route"
    SERVICE_OUT = "service_out"
    WORKSPACE_WITHOUT_KEYS = "workspace_without_keys"
    DOMAIN_WITHOUT_SERVICE = "domain_without_service"
    # Limits that contradict each other.
    TIMEOUT_ZERO = "timeout_zero"
    OBJECTIVE_ABOVE_TIMEOUT = "objective_above_timeout"
    ATTEMPTS_ABOVE_TIMEOUT = "attempts_above_timeout"
    SPLIT_WITHOUT_WEIGHT = "split_without_weight"
    SLOTS_ABOVE_CONNECTIONS = "slots_above_connections"
    COLD_RATE_ABOVE_SLOTS = "cold_rate_above_slots"
    QUEUE_TIMEOUT_UNUSED = "queue_timeout_unused"
    BURST_BELOW_ONE = "burst_below_one"
    BURST_REFILLS_SLOWLY = "burst_refills_slowly"
    # Differences from the version in force.
    ROUTE_ADDED = "route_added"
    ROUTE_REMOVED = "route_removed"
    ROUTE_CHANGED = "route_changed"
    SERVICE_ADDED = "service_added"
    SERVICE_REMOVED = "service_removed"
    SERVICE_CHANGED = "service_changed"
    LIMITS_CHANGED = "limits_changed"
    DOMAIN_ADDED = "domain_added"
    DOMAIN_REMOVED = "domain_removed"
    DOMAIN_CHANGED = "domain_changed"
    WORKSPACE_ADDED = "workspace_added"
    WORKSPACE_REMOVED = "workspace_removed"
    WORKSPACE_CHANGED = "workspace_changed"
    WORKSPACE_KEYS_CHANGED = "workspace_keys_changed"
    AUTHENTICATION_CHANGED = "authentication_changed"


_ERRORS = frozenset(
    {
        FindingCode.TIMEOUT_ZERO,
        FindingCode.SPLIT_WITHOUT_WEIGHT,
        FindingCode.SLOTS_ABOVE_CONNECTIONS,
    }
)
_WARNINGS = frozenset(
    {
        FindingCode.ROUTE_SHADOWED,
        FindingCode.ROUTE_PARTLY_SHADOWED,
        FindingCode.ROUTE_WITHOUT_METHODS,
        FindingCode.ROUTE_UNMATCHABLE,
        FindingCode.SERVICE_OUT,
        FindingCode.WORKSPACE_WITHOUT_KEYS,
        FindingCode.OBJECTIVE_ABOVE_TIMEOUT,
        FindingCode.BURST_BELOW_ONE,
    }
)
_NOTES = frozenset(
    {
        FindingCode.ROUTE_EXACT_PATH_ONLY,
        FindingCode.ROUTE_OTHER_HOSTS_ONLY,
        FindingCode.SPLIT_WEIGHT_ZERO,
        FindingCode.SERVICE_WITHOUT_ROUTE,
        FindingCode.DOMAIN_WITHOUT_SERVICE,
        FindingCode.ATTEMPTS_ABOVE_TIMEOUT,
        FindingCode.COLD_RATE_ABOVE_SLOTS,
        FindingCode.QUEUE_TIMEOUT_UNUSED,
        FindingCode.BURST_REFILLS_SLOWLY,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One finding about a configuration.

    Attributes:
        code: kind of finding.
        severity: how severe it is.
        place: the entry, such as ``service reports``.
        text: what was found; never contains a key.
    """

    code: FindingCode
    severity: Severity
    place: str
    text: str


def make_finding(code: FindingCode, place: str, text: str) -> Finding:
    """Returns a finding with the severity of its code."""
    return Finding(code, severity_of(code), place, text)


def severity_of(code: FindingCode) -> Severity:
    """Returns how severe findings of a code are."""
    if code in _ERRORS:
        return Severity.ERROR
    if code in _WARNINGS:
        return Severity.WARNING
    return Severity.NOTE if code in _NOTES else Severity.DIFFERENCE


def route_place(route: Route) -> str:
    """Returns the place of a route in findings."""
    return describe_route(route.methods, f"{route.host}{route.path}")


def describe_route(methods: t.Sequence[str], name: str) -> str:
    """Returns the place of a route; its name is its host and path."""
    is_any = set(methods) >= _ANY_METHOD
    shown = "*" if is_any else ",".join(dict.fromkeys(methods)) or "-"
    return f"route {shown} {name}"


__all__ = [
    "Finding",
    "FindingCode",
    "Severity",
    "describe_route",
    "make_finding",
    "route_place",
    "severity_of",
]
