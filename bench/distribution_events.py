"""Delays, events and the platform of a simulated fleet; times are in milliseconds."""

import collections
import dataclasses
import enum
import typing as t

from cactushook import Head
from cactushook import HostRecord
from cactushook import messages
from cactushook import Publication


@dataclasses.dataclass(frozen=True, slots=True)
class Delays:
    """One-way delays, each as a range in milliseconds, and message loss.

    Attributes:
        domain_ms: delay within a failure domain.
        region_ms: delay between failure domains of a region.
        cross_region_ms: delay between regions.
        source_ms: delay between a node and the platform.
        loss: share of messages that are lost.
    """

    domain_ms: tuple[float, float] = (0.2, 1.0)
    region_ms: tuple[float, float] = (1.0, 3.0)
    cross_region_ms: tuple[float, float] = (20.0, 90.0)
    source_ms: tuple[float, float] = (2.0, 5.0)
    loss: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Wake:
    """A node's tick is due."""

    name: str
    boot: int


@dataclasses.dataclass(frozen=True, slots=True)
class Deliver:
    """A message arrives at a node."""

    sender: str
    receiver: str
    message: messages.ControlMessage


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The platform's answer reaches a node; ``answer`` is None if the call failed."""

    name: str
    boot: int
    call: messages.SourceCall
    answer: t.Any


@dataclasses.dataclass(frozen=True, slots=True)
class WatchExpired:
    """A watch reaches its longest wait and is answered with the current head."""

    name: str
    boot: int
    call: messages.WatchHead


@dataclasses.dataclass(frozen=True, slots=True)
class Unreachable:
    """A node fails to connect to an address."""

    name: str
    boot: int
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class RunAction:
    """An action that a scenario or the world scheduled."""

    action: t.Callable[[], None]


Event: t.TypeAlias = Wake | Deliver | Answered | WatchExpired | Unreachable | RunAction


class SourceMode(enum.Enum):
    """Behaviour of the platform.

    ``HALF`` leaves half of the values out of its answers.
    """

    UP = "up"
    DOWN = "down"
    HALF = "half"


class Source:
    """The platform: the published head, values and host lists.

    Attributes:
        head: the head that it serves; an older head makes it serve an older version.
        values: published values by digest.
        host_lists: records by host name, by failure domain.
        mode: current behaviour.
        calls_by_s: number of calls received in each second.
    """

    def __init__(self) -> None:
        self.head = Head(version=0, root="")
        self.values: dict[str, bytes] = {}
        self.host_lists: dict[str, dict[str, HostRecord]] = {}
        self.mode = SourceMode.UP
        self.calls_by_s: collections.Counter[int] = collections.Counter()

    @property
    def max_calls_per_s(self) -> int:
        """Largest number of calls received in one second."""
        return max(self.calls_by_s.values(), default=0)

    def publish(self, publication: Publication) -> None:
        """Stores a publication and serves its head."""
        self.values.update(publication.values)
        self.head = publication.head

    def record_calls(self, now_ms: float, calls: int = 1) -> None:
        """Counts calls in the second that ``now_ms`` falls in."""
        self.calls_by_s[int(now_ms // 1_000)] += calls

    def read_values(self, digests: t.Sequence[str]) -> dict[str, bytes]:
        """Returns the requested values; in mode ``HALF`` only about half of them."""
        served = set(digests)
        if self.mode is SourceMode.HALF:
            served = {name for name in digests if int(name, 16) % 2}
        return {name: self.values[name] for name in served if name in self.values}
