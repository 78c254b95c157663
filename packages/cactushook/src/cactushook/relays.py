"""Computes the tree for versions and host updates from the host list."""

import typing as t

from .membership import DomainView
from .nodes import HostRecord

FANOUT = 8
MAX_CHILDREN = 64

AvoidPredicate: t.TypeAlias = t.Callable[[HostRecord], bool]


def acting_readers(view: DomainView, should_avoid: AvoidPredicate) -> tuple[str, ...]:
    """Returns a domain's readers, with the next candidates replacing avoided ones."""
    count = len(view.readers)
    usable = (n for n in view.reader_candidates if not should_avoid(view.records[n]))
    return tuple(name for name, _ in zip(usable, range(count), strict=False))


def children(
    view: DomainView, name: str, version: int, should_avoid: AvoidPredicate
) -> tuple[HostRecord, ...]:
    """Returns a node's children within its failure domain for one version.

    Readers are the roots. The order of the other hosts depends on the version, so
    that interior positions rotate. The node takes over the children of an avoided
    child. Every acting reader takes over the children of an avoided reader.

    Args:
        view: the node's own failure domain.
        name: the node's own host name.
        version: the version to pass on.
        should_avoid: returns whether a host should be skipped.
    """
    order = view.relay_order(version)
    if name not in order:
        return ()
    found: list[HostRecord] = []
    parents = [name]
    if name in acting_readers(view, should_avoid):
        parents += [r for r in view.readers if should_avoid(view.records[r])]
    while parents and len(found) < MAX_CHILDREN:
        for child in _direct_children(view, order, parents.pop(0)):
            if should_avoid(child):
                parents.append(child.name)
            elif child.name != name:
                found.append(child)
    return tuple(found)


def _direct_children(
    view: DomainView, order: tuple[str, ...], name: str
) -> tuple[HostRecord, ...]:
    start = len(view.readers) + order.index(name) * FANOUT
    return tuple(view.records[child] for child in order[start : start + FANOUT])
