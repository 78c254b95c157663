"""Learns how long requests of each kind take at a worker."""

import collections

# Weight of a new sample in a moving average.
SAMPLE_WEIGHT = 0.1
MAX_KINDS = 100
# What a request still counts in the shares of the kinds after each later one.
SHARE_DECAY = 0.995


class RunTimes:
    """Moving averages of the time that requests take, for each kind.

    The kinds seen last are kept, `MAX_KINDS` of them.
    """

    def __init__(self) -> None:
        self._by_kind: collections.OrderedDict[str, tuple[float, int]] = (
            collections.OrderedDict()
        )
        self._counts: dict[str, float] = {}

    def record(self, kind: str, took_ms: float) -> None:
        """Records how long a request of a kind took."""
        mean_ms, count = self._by_kind.pop(kind, (0.0, 0))
        weight = max(SAMPLE_WEIGHT, 1 / (count + 1))
        mean_ms += weight * (took_ms - mean_ms)
        self._by_kind[kind] = (mean_ms, count + 1)
        if len(self._by_kind) > MAX_KINDS:
            dropped, _ = self._by_kind.popitem(last=False)
            del self._counts[dropped]
        for name in self._counts:
            self._counts[name] *= SHARE_DECAY
        self._counts[kind] = self._counts.get(kind, 0.0) + 1.0

    def mean_ms(self, kind: str, default_ms: float) -> float:
        """Returns how long a request of a kind takes, or the default if unknown."""
        mean_ms, _ = self._by_kind.get(kind, (default_ms, 0))
        return mean_ms

    @property
    def mix_ms(self) -> float:
        """Mean time of a request of the usual mix; 0 if it is not known.

        It varies less than a moving average of all requests, whose kinds differ.
        """
        total = sum(self._counts.values())
        if not total:
            return 0.0
        weighted = (
            count * self._by_kind[kind][0] for kind, count in self._counts.items()
        )
        return sum(weighted) / total


__all__ = ["RunTimes"]
