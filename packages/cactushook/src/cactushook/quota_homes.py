"""Chooses the home of each workspace's quota; all nodes with one list agree on it."""

import heapq
import typing as t

from . import hashing

# Homes are chosen among this many hosts, so that a change of the list of a large fleet
# costs little.
MAX_CANDIDATES = 32


class HomeTable:
    """The homes of all workspaces with a quota.

    Args:
        own: name of the node's host.
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self._candidates: frozenset[str] = frozenset()
        self._homes: dict[str, str] = {}
        self._earlier: frozenset[str] = frozenset()

    def update(self, live: t.Iterable[str], workspaces: t.Iterable[str]) -> None:
        """Takes the names of the live hosts and of the workspaces with a quota."""
        names = tuple(workspaces)
        candidates = frozenset(
            heapq.nlargest(
                MAX_CANDIDATES,
                live,
                key=lambda name: (hashing.weight("quota-home", name), name),
            )
        )
        if candidates == self._candidates and names == tuple(self._homes):
            return
        self._earlier, self._candidates = self._candidates, candidates
        self._homes = {
            name: hashing.top(f"quota/{name}", candidates) or "" for name in names
        }

    @property
    def own_homes(self) -> tuple[str, ...]:
        """Names of the workspaces whose home is this node."""
        return tuple(n for n, home in self._homes.items() if home == self._own)

    def home(self, workspace: str) -> str:
        """Returns the name of a workspace's home; empty without hosts."""
        return self._homes.get(workspace, "")

    @property
    def others(self) -> frozenset[str]:
        """The other hosts that may be homes."""
        return self._candidates - {self._own}

    @property
    def earlier_others(self) -> frozenset[str]:
        """Those that could be homes before the latest update, but cannot be now."""
        return self._earlier - self._candidates - {self._own}


__all__ = ["HomeTable"]
