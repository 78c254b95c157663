"""Decides which nodes read the platform and how their calls are bounded.

The bounds hold for the whole fleet at once. With as many hosts as the hint names,
each spending all it may in the same second, the platform sees at most
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
READERS_SHARE_PER_S = 1_300
OTHERS_CALLS_PER_S = 500
MIN_READER_CALLS = 16
MAX_READER_CALLS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class FleetHint:
    """How large the fleet may be, assumed until more hosts are known.

    Attributes:
        hosts: number of hosts.
        domains: number of failure domains.
    """

    hosts: int = 12_000
    domains: int = 24

    @property
    def worst_calls_per_s(self) -> int:
        """Calls in a second in which every node spends all that it may."""
        if self.all_may_read:
            return self.hosts * self.reader_calls
        readers = READERS_PER_DOMAIN * self.domains
        return readers * self.reader_calls + OTHERS_CALLS_PER_S

    @property
    def reader_calls(self) -> int:
        """Most calls of one reader in a second, the burst included."""
        readers = min(self.hosts, READERS_PER_DOMAIN * self.domains)
        if self.all_may_read:
            readers = self.hosts
        return min(MAX_READER_CALLS, READERS_SHARE_PER_S // readers)

    @property
    def all_may_read(self) -> bool:
        """Whether every node may have a reader's allowance at once."""
        return self.hosts * MIN_READER_CALLS <= READERS_SHARE_PER_S

    def can_elect_readers(self, domain_hosts: int) -> bool:
        """Tells whether enough hosts of the own domain are known to elect readers.

        A node that knows few hosts would elect itself, and so would all the others.
        """
        return self.all_may_read or domain_hosts * 2 * self.domains >= self.hosts

    def slot_period_ms(self, known_hosts: int) -> float:
        """Returns how often a node that is not a reader may call the platform."""
        return max(self.hosts, known_hosts) * 1_000 / OTHERS_CALLS_PER_S


def rank_readers(domain: str, live: t.Iterable[HostRecord]) -> list[str]:
    """Returns the names of a failure domain's live hosts, best reader first.

    Nodes with different host lists may disagree; that costs calls, not correctness.
    """
    return hashing.rank_by_weight(f"reader/{domain}", (host.name for host in live))


class SourceRateLimiter:
    """The calls that one node may make to the platform.

    A reader has a token bucket. Any other node has one moment per period, so that
    the calls of the whole fleet spread even if all of them want one at once.

    Args:
        hint: fleet size to assume.
        phase: where in the period the node's moment lies, 0 to 1, at random.
        now_ms: the time at the start.
    """

    def __init__(self, hint: FleetHint, phase: float, now_ms: float) -> None:
        self._hint = hint
        half = hint.reader_calls / 2
        self._bucket = TokenBucket(half, half, now_ms)
        self._slot = PeriodicThrottle(phase, now_ms)

    def take(
        self, now_ms: float, wanted: int, is_reader: bool, known_hosts: int
    ) -> int:
        """Returns how many of the calls wanted may be made now."""
        if is_reader:
            return self._bucket.take_up_to(now_ms, wanted)
        period_ms = self._hint.slot_period_ms(known_hosts)
        return int(self._slot.take(now_ms, period_ms))
