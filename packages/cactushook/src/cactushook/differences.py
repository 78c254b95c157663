"""Compares two configurations: what a new version adds, removes and changes."""

import collections
import dataclasses
import typing as t

from .findings import Finding
from .findings import FindingCode
from .findings import make_finding
from .outlines import EntryKind
from .outlines import outline
from .outlines import OutlineEntry
from .snapshot import Snapshot
from .workspaces import CredentialTable

Entries: t.TypeAlias = t.Sequence[OutlineEntry]
_Index: t.TypeAlias = t.Mapping[EntryKind, t.Mapping[str, list[OutlineEntry]]]


@dataclasses.dataclass(frozen=True, slots=True)
class KeyChange:
    """How many keys of a workspace were added and withdrawn."""

    added: int
    withdrawn: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Codes:
    """Codes of the differences of one kind of entry; None if there are none."""

    added: FindingCode | None
    removed: FindingCode | None
    changed: FindingCode


# In the order in which differences are shown.
_CODES = {
    EntryKind.ROUTE: _Codes(
        FindingCode.ROUTE_ADDED, FindingCode.ROUTE_REMOVED, FindingCode.ROUTE_CHANGED
    ),
    EntryKind.SERVICE: _Codes(
        FindingCode.SERVICE_ADDED,
        FindingCode.SERVICE_REMOVED,
        FindingCode.SERVICE_CHANGED,
    ),
    # Limits come and go with their service.
    EntryKind.LIMITS: _Codes(None, None, FindingCode.LIMITS_CHANGED),
    EntryKind.DOMAIN: _Codes(
        FindingCode.DOMAIN_ADDED, FindingCode.DOMAIN_REMOVED, FindingCode.DOMAIN_CHANGED
    ),
    EntryKind.WORKSPACE: _Codes(
        FindingCode.WORKSPACE_ADDED,
        FindingCode.WORKSPACE_REMOVED,
        FindingCode.WORKSPACE_CHANGED,
    ),
}


def find_differences(before: Snapshot, after: Snapshot) -> tuple[Finding, ...]:
    """Returns what differs between two snapshots; see `compare_outlines`.

    Keys are compared by their digests, and only their counts are reported.
    """
    names = before.workspaces.keys() & after.workspaces.keys()
    key_changes: dict[str, KeyChange] = {}
    for name in names:
        old = _key_digests(before.credentials, name)
        new = _key_digests(after.credentials, name)
        key_changes[name] = KeyChange(len(new - old), len(old - new))
    return compare_outlines(outline(before), outline(after), key_changes)


def compare_outlines(
    before: Entries,
    after: Entries,
    key_changes: t.Mapping[str, KeyChange] | None = None,
) -> tuple[Finding, ...]:
    """Returns what differs between two configurations, each entry once for each code.

    Order: routes, services, limits, failure domains, workspaces. Versions and roots are
    not compared. The cost is linear in the entries.

    Args:
        before: the configuration in force.
        after: the one that would replace it.
        key_changes: changes of keys by workspace; without them, only the numbers of
            keys are compared.
    """
    known, new = _index(before), _index(after)
    found: list[Finding] = []
    for kind, codes in _CODES.items():
        for name in sorted(known[kind].keys() | new[kind].keys()):
            found += _compare(codes, known[kind].get(name, ()), new[kind].get(name, ()))
    found += _compare_authentication(known, new)
    found += _compare_keys(known, new, key_changes)
    return tuple(found)


def _index(entries: Entries) -> _Index:
    found: dict[EntryKind, dict[str, list[OutlineEntry]]] = {k: {} for k in EntryKind}
    for entry in entries:
        found[entry.kind].setdefault(entry.name, []).append(entry)
    return found


def _compare(codes: _Codes, before: Entries, after: Entries) -> t.Iterator[Finding]:
    """Compares the entries of one name, of which only routes have more than one."""
    pairs, removed, added = _pair_entries(before, after)
    for old, entry in pairs:
        if text := _describe_changes(old, entry):
            yield make_finding(codes.changed, entry.place, text)
    for code, entries in ((codes.removed, removed), (codes.added, added)):
        for entry in entries if code is not None else ():
            yield make_finding(code, entry.place, _describe_entry(entry))


def _pair_entries(
    before: Entries, after: Entries
) -> tuple[
    list[tuple[OutlineEntry, OutlineEntry]],
    t.Collection[OutlineEntry],
    t.Collection[OutlineEntry],
]:
    """Pairs entries of one name: those of the same methods, then those that share one.

    Returns:
        The pairs, and the entries before and after that remain.
    """
    pairs: list[tuple[OutlineEntry, OutlineEntry]] = []
    old = dict(enumerate(before))
    new = dict(enumerate(after))
    for key_of in (_whole_key, _method_keys):
        waiting: dict[t.Any, collections.deque[int]] = {}
        for index, entry in new.items():
            for key in key_of(entry):
                waiting.setdefault(key, collections.deque()).append(index)
        for index, entry in list(old.items()):
            found = _take_first(waiting, key_of(entry), new)
            if found is not None:
                pairs.append((old.pop(index), new.pop(found)))
    return pairs, old.values(), new.values()


def _whole_key(entry: OutlineEntry) -> t.Iterable[t.Any]:
    return (entry.methods,)


def _method_keys(entry: OutlineEntry) -> t.Iterable[t.Any]:
    return entry.methods


def _take_first(
    waiting: t.Mapping[t.Any, collections.deque[int]],
    keys: t.Iterable[t.Any],
    remaining: t.Container[int],
) -> int | None:
    for key in keys:
        queue = waiting.get(key, ())
        while queue:
            index = queue.popleft()
            if index in remaining:
                return index
    return None


def _describe_changes(before: OutlineEntry, after: OutlineEntry) -> str:
    old, new = _shown_fields(before), _shown_fields(after)
    return "; ".join(
        f"{name} {old.get(name, 'unset')} -> {new.get(name, 'unset')}"
        for name in dict.fromkeys((*old, *new))
        if old.get(name) != new.get(name)
    )


def _shown_fields(entry: OutlineEntry) -> t.Mapping[str, str]:
    if entry.kind is not EntryKind.ROUTE:
        return entry.fields
    return {"methods": ",".join(entry.methods) or "none", **entry.fields}


def _describe_entry(entry: OutlineEntry) -> str:
    match entry.kind:
        case EntryKind.ROUTE:
            return f"to {entry.fields.get('service', '')}"
        case EntryKind.WORKSPACE:
            return f"with {_count_keys(entry.key_count)}"
    return ", ".join(f"{name} {value}" for name, value in entry.fields.items())


def _compare_authentication(before: _Index, after: _Index) -> t.Iterator[Finding]:
    had, has = (bool(index[EntryKind.WORKSPACE]) for index in (before, after))
    if had == has:
        return
    if has:
        text = "callers need a key, since there are workspaces now"
    else:
        text = "callers need no key any more, since no workspace is left"
    yield make_finding(FindingCode.AUTHENTICATION_CHANGED, "workspaces", text)


def _compare_keys(
    before: _Index, after: _Index, changes: t.Mapping[str, KeyChange] | None
) -> t.Iterator[Finding]:
    known, new = before[EntryKind.WORKSPACE], after[EntryKind.WORKSPACE]
    for name in sorted(known.keys() & new.keys()):
        old_count, entry = known[name][0].key_count, new[name][0]
        if changes is None:
            has_changed = old_count != entry.key_count
            text = f"{_count_keys(old_count)} -> {_count_keys(entry.key_count)}"
        else:
            change = changes.get(name, KeyChange(0, 0))
            has_changed = change != KeyChange(0, 0)
            text = f"{_count_keys(change.added)} added, {change.withdrawn} withdrawn"
        if has_changed:
            code = FindingCode.WORKSPACE_KEYS_CHANGED
            yield make_finding(code, entry.place, text)


def _key_digests(table: CredentialTable, name: str) -> frozenset[bytes]:
    entry = table.entries.get(name)
    return frozenset() if entry is None else frozenset(entry.digests)


def _count_keys(count: int) -> str:
    return "1 key" if count == 1 else f"{count} keys"


__all__ = ["KeyChange", "compare_outlines", "find_differences"]
