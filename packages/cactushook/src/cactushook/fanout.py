"""Counts the requests that runs make to other services."""

import typing as t

MAX_COUNTED_RUNS = 200.0


class Fanout:
    """Measures how many requests a run at a host's worker makes to each service.

    A retried run repeats its requests too, so they are charged to the retry budgets
    of the services that receive them.
    """

    def __init__(self) -> None:
        self._runs = 0.0
        self._requests: dict[str, float] = {}

    def record_run(self) -> None:
        """Counts a run; halves all counts above `MAX_COUNTED_RUNS` to fade old runs."""
        self._runs += 1
        if self._runs > MAX_COUNTED_RUNS:
            self._runs /= 2
            self._requests = {name: count / 2 for name, count in self._requests.items()}

    def record_request(self, service: str) -> None:
        """Counts a request that a run made."""
        self._requests[service] = self._requests.get(service, 0.0) + 1

    def requests_per_run(self) -> t.Mapping[str, float]:
        """Returns the requests that a run makes, by service."""
        if not self._runs:
            return {}
        return {name: count / self._runs for name, count in self._requests.items()}


__all__ = ["Fanout"]
