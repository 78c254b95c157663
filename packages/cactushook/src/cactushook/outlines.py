"""Outlines of snapshots: their entries as texts, without keys and digests of keys.

An outline can be sent and shown. It is what configurations are compared by.
"""

import enum
import itertools
import typing as t

import msgspec

from .findings import describe_route
from .nodes import Domain
from .nodes import TeamFile
from .snapshot import BoundRoute
from .snapshot import Snapshot
from .workspaces import Workspace

_Item: t.TypeAlias = BoundRoute | TeamFile | Domain | Workspace


class EntryKind(enum.Enum):
    """Kind of an entry; the value precedes its name where it is shown."""

    ROUTE = "route"
    SERVICE = "service"
    LIMITS = "limits"
    DOMAIN = "failure domain"
    WORKSPACE = "workspace"


class OutlineEntry(msgspec.Struct, frozen=True):
    """One entry of a configuration.

    Attributes:
        kind: what it is.
        name: its name; host and path of a route.
        fields: texts by field, which are equal if the values are equal.
        methods: methods of a route, sorted.
        key_count: number of keys of a workspace.
    """

    kind: EntryKind
    name: str
    fields: dict[str, str]
    methods: tuple[str, ...] = ()
    key_count: int = 0

    @property
    def place(self) -> str:
        """The entry as findings name it."""
        match self.kind:
            case EntryKind.ROUTE:
                return describe_route(self.methods, self.name)
            case EntryKind.LIMITS:
                return f"{EntryKind.SERVICE.value} {self.name}"
        return f"{self.kind.value} {self.name}"


def outline(
    snapshot: Snapshot, start: int = 0, count: int | None = None
) -> tuple[OutlineEntry, ...]:
    """Returns the entries of a snapshot: routes, services, domains and workspaces.

    Args:
        snapshot: the snapshot.
        start: number of routes, services, domains and workspaces to leave out.
        count: how many of them to return; None for all. A service has two entries, as
            its limits are one of their own.
    """
    items: t.Iterator[_Item] = itertools.chain(
        snapshot.routes,
        snapshot.services.values(),
        snapshot.domains.values(),
        snapshot.workspaces.values(),
    )
    stop = None if count is None else start + count
    found: list[OutlineEntry] = []
    for item in itertools.islice(items, start, stop):
        found += _outline_item(snapshot, item)
    return tuple(found)


def outline_length(snapshot: Snapshot) -> int:
    """Returns the number of routes, services, domains and workspaces."""
    parts = snapshot.routes, snapshot.services, snapshot.domains, snapshot.workspaces
    return sum(map(len, parts))


def _outline_item(snapshot: Snapshot, item: _Item) -> t.Iterator[OutlineEntry]:
    match item:
        case BoundRoute(route=route):
            methods = tuple(sorted(set(route.methods)))
            name = f"{route.host}{route.path}"
            yield OutlineEntry(EntryKind.ROUTE, name, _route_fields(item), methods)
        case TeamFile(service=name, limits=limits):
            fields = _struct_fields(item, ("service", "routes", "limits"))
            yield OutlineEntry(EntryKind.SERVICE, name, fields)
            yield OutlineEntry(EntryKind.LIMITS, name, _struct_fields(limits))
        case Domain(name=name):
            fields = _struct_fields(item, ("name",))
            yield OutlineEntry(EntryKind.DOMAIN, name, fields)
        case Workspace(name=name):
            entry = snapshot.credentials.entries.get(name)
            key_count = 0 if entry is None else len(set(entry.digests))
            fields = {
                "priority": _describe(item.priority),
                "rate_per_s": _describe(item.rate_per_s),
                "burst": _describe(item.burst),
            }
            yield OutlineEntry(EntryKind.WORKSPACE, name, fields, key_count=key_count)


def _route_fields(bound: BoundRoute) -> dict[str, str]:
    left_out = ("path", "host", "methods", "split", "service")
    fields = _struct_fields(bound.route, left_out)
    shares = (f"{s.team_file.service} {s.weight}" for s in bound.shares)
    fields["service"] = ", ".join(shares) or bound.team_file.service
    fields["open"] = _describe(bound.is_open)
    return fields


def _struct_fields(
    value: msgspec.Struct, left_out: t.Container[str] = ()
) -> dict[str, str]:
    names = zip(value.__struct_fields__, value.__struct_encode_fields__, strict=True)
    return {
        shown: _describe(getattr(value, name))
        for name, shown in names
        if name not in left_out
    }


def _describe(value: t.Any) -> str:
    match value:
        case None:
            return "unset"
        case bool():
            return "yes" if value else "no"
        case enum.Enum():
            return str(value.value)
        case tuple():
            return ",".join(map(_describe, value)) or "none"
        case float():
            # The shortest text that is different for each value.
            return repr(value).removesuffix(".0")
    return str(value) or "none"


__all__ = ["EntryKind", "OutlineEntry", "outline", "outline_length"]
