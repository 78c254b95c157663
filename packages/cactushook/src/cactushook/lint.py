"""Checks a snapshot for entries and limits that cannot be what was meant."""

from .findings import Finding
from .findings import Severity
from .limit_conflicts import find_limit_conflicts
from .reachability import find_unreachable_entries
from .snapshot import Snapshot

_RANKS = {severity: rank for rank, severity in enumerate(Severity)}


def lint(snapshot: Snapshot) -> tuple[Finding, ...]:
    """Returns all findings about a snapshot, each once, the most severe first.

    The result depends on the snapshot alone. The cost is linear in its entries.
    """
    found = dict.fromkeys(
        (*find_unreachable_entries(snapshot), *find_limit_conflicts(snapshot))
    )
    return tuple(
        sorted(
            found,
            key=lambda item: (
                _RANKS[item.severity],
                item.place,
                item.code.value,
                item.text,
            ),
        )
    )


__all__ = ["lint"]
