"""Shares a route's requests between services by weight."""

import random
import typing as t

from .snapshot import BoundRoute
from .snapshot import Share


class Split:
    """Smooth weighted round robin between the shares of one route.

    A request stays with its service even if that service has no room, since operators
    set the shares.

    Args:
        shares: the services and their weights.
        rng: source of randomness, so that not all nodes start with the same service.
    """

    def __init__(self, shares: tuple[Share, ...], rng: random.Random) -> None:
        self.shares = shares
        self._total = sum(share.weight for share in shares)
        self._credits = [share.weight * rng.random() for share in shares]

    def next_service(self) -> str:
        """Returns the service of the next request."""
        for index, share in enumerate(self.shares):
            self._credits[index] += share.weight
        usable = [index for index, share in enumerate(self.shares) if share.weight]
        chosen = max(usable, key=lambda index: self._credits[index])
        self._credits[chosen] -= self._total
        return self.shares[chosen].team_file.service


class Splits:
    """Holds the splits of all routes; a split restarts when its shares change.

    Args:
        rng: source of randomness.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._splits: dict[tuple[str, str], Split] = {}

    def choose_service(self, bound: BoundRoute) -> str:
        """Returns the service that runs the next request of a route."""
        if not bound.shares:
            return bound.team_file.service
        key = (bound.route.host, bound.route.path)
        split = self._splits.get(key)
        if split is None or _weights(split.shares) != _weights(bound.shares):
            split = self._splits[key] = Split(bound.shares, self._rng)
        return split.next_service()


def _weights(shares: t.Iterable[Share]) -> list[tuple[str, int]]:
    return [(share.team_file.service, share.weight) for share in shares]


__all__ = ["Split", "Splits"]
