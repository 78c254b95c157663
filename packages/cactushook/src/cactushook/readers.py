"""Selects the nodes that read the platform and bounds their calls.

The bounds hold for the whole fleet. If as many hosts as the hint states make all the
calls that they may make in the same second, the platform receives at most
``FleetHint.worst_calls_per_s`` calls in that second.
"""

import dataclasses
import typing as t

from . import hashing
from .nodes import HostRecord
from .tokens import PeriodicThrottle
from .tokens import TokenBucket

READERS_PER_DOMAIN = 3
SOURCE_CALLS_PER_S = 2_000
READERS_CALLS_PER_S = 1_300
OTHERS_CALLS_PER_S = 500
MIN_READER_CALLS = 16
MAX_READER_CALLS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class FleetHint:
    """Fleet size that is assumed until more hosts are known.

    Attributes:
        hosts: number of hosts.
        domains: number of failure domains.
    """

    hosts: int = 12_000
    domains: int = 24

    @property
    def worst_calls_per_s(self) -> int:
        """Calls in a second in which every node makes all the calls that it may."""
        if self.all_may_read:
            return self.hosts * self.reader_calls
        readers = READERS_PER_DOMAIN * self.domains
        return readers * self.reader_calls + OTHERS_CALLS_PER_S

    @property
    def reader_calls(self) -> int:
        """Maximum number of calls of one reader in a second, the burst included."""
        readers = min(self.hosts, READERS_PER_DOMAIN * self.domains)
        if self.all_may_read:
            readers = self.hosts
        return min(MAX_READER_CALLS, READERS_CALLS_PER_S // readers)

    @property
    def all_may_read(self) -> bool:
        """Whether all nodes may call at a reader's rate at the same time."""
        return self.hosts * MIN_READER_CALLS <= READERS_CALLS_PER_S

    def can_elect_readers(self, domain_hosts: int) -> bool:
        """Returns whether enough hosts of the own domain are known to elect readers.

        A node that knows few hosts would elect itself, as would every other node.
        """
        return self.all_may_read or domain_hosts * 2 * self.domains >= self.hosts

    def call_period_ms(self, known_hosts: int) -> float:
        """Returns the time between platform calls of a node that is not a reader."""
        return max(self.hosts, known_hosts) * 1_000 / OTHERS_CALLS_PER_S


def rank_readers(domain: str, live: t.Iterable[HostRecord]) -> list[str]:
    """Returns the names of a failure domain's live hosts, best reader first.

    Nodes with different host lists may disagree. This costs additional calls, but not
    correctness.
    """
    return hashing.rank_by_weight(f"reader/{domain}", (host.name for host in live))


class SourceRateLimiter:
    """Limits the calls that one node makes to the platform.

    A reader has a token bucket. Any other node may make one call per period, at a
    phase of its own, so that the calls of the fleet are spread even if all nodes want
    to call at once.

    Args:
        hint: fleet size to assume.
        phase: position of the node's call within the period, 0 to 1, at random.
        now_ms: the start time.
    """

    def __init__(self, hint: FleetHint, phase: float, now_ms: float) -> None:
        self._hint = hint
        half = hint.reader_calls / 2
        self._bucket = TokenBucket(half, half, now_ms)
        self._throttle = PeriodicThrottle(phase, now_ms)

    def take(
        self, now_ms: float, wanted: int, is_reader: bool, known_hosts: int
    ) -> int:
        """Returns how many of the wanted calls may be made now."""
        if is_reader:
            return self._bucket.take_up_to(now_ms, wanted)
        period_ms = self._hint.call_period_ms(known_hosts)
        return int(self._throttle.take(now_ms, period_ms))
