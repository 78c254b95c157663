"""The tree that a version or host news travels along, computed from the host list."""

import typing as t

from .membership import DomainView
from .nodes import HostRecord

FANOUT = 8
MAX_CHILDREN = 64

AvoidPredicate: t.TypeAlias = t.Callable[[HostRecord], bool]


def acting_readers(view: DomainView, avoided: AvoidPredicate) -> tuple[str, ...]:
    """Returns a domain's readers, with deputies in the place of avoided ones."""
    count = len(view.readers)
    usable = (n for n in view.reader_candidates if not avoided(view.records[n]))
    return tuple(name for name, _ in zip(usable, range(count), strict=False))


def children(
    view: DomainView, name: str, version: int, avoided: AvoidPredicate
) -> tuple[HostRecord, ...]:
    """Returns a node's children within its failure domain for one version.

    Readers are the roots. The order of the other hosts depends on the version, so
    that interior positions rotate. The children of an avoided child are the node's
    own; those of an avoided reader are each acting reader's.

    Args:
        view: the node's own failure domain.
        name: the node's own host name.
        version: the version to pass on.
        avoided: tells whether a host is better passed over.
    """
    order = view.relay_order(version)
    if name not in order:
        return ()
    found: list[HostRecord] = []
    parents = [name]
    if name in acting_readers(view, avoided):
        parents += [r for r in view.readers if avoided(view.records[r])]
    while parents and len(found) < MAX_CHILDREN:
        for child in _below(view, order, parents.pop(0)):
            if avoided(child):
                parents.append(child.name)
            elif child.name != name:
                found.append(child)
    return tuple(found)


def _below(
    view: DomainView, order: tuple[str, ...], name: str
) -> tuple[HostRecord, ...]:
    start = len(view.readers) + order.index(name) * FANOUT
    return tuple(view.records[child] for child in order[start : start + FANOUT])
