"""Counts the requests that repeated runs lead to at other services."""

import typing as t

MEMORY_RUNS = 200.0


class Fanout:
    """How many requests a run at a host's worker makes to each service.

    A run that repeats another repeats its requests too, so they are charged to the
    retry budgets of the services that they go to.
    """

    def __init__(self) -> None:
        self._runs = 0.0
        self._made: dict[str, float] = {}

    def record_run(self) -> None:
        """Counts a run; old ones fade."""
        self._runs += 1
        if self._runs > MEMORY_RUNS:
            self._runs /= 2
            self._made = {name: made / 2 for name, made in self._made.items()}

    def record_request(self, service: str) -> None:
        """Counts a request that a run made."""
        self._made[service] = self._made.get(service, 0.0) + 1

    def requests_per_run(self) -> t.Mapping[str, float]:
        """Returns the requests that a run makes, by service."""
        if not self._runs:
            return {}
        return {name: made / self._runs for name, made in self._made.items()}


__all__ = ["Fanout"]
