"""Decides whether a gate may run a keyed request as its home.

The hosts of a service are ranked for each key. A gate runs a key only if every
host ranked above it has fenced the key, or had retired before the key was issued,
and only once all hosts that it knew while it joined have acknowledged it. No two
gates then run one key, however the views of entries differ.
"""

import dataclasses
import typing as t

from . import hashing
from .calls import Call
from .nodes import HostRecord
from .nodes import HostState

CALLER_SKEW_MS = 500
RETIRED_MARGIN_MS = 1_000
LINGER_MS = RETIRED_MARGIN_MS + 500


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmedHome:
    """The gate is the home: no other gate has run the key or will."""


@dataclasses.dataclass(frozen=True, slots=True)
class HigherRanked:
    """A host ranked above must be asked before this gate."""

    host: HostRecord


@dataclasses.dataclass(frozen=True, slots=True)
class NotYetHome:
    """This gate did not run the key, but cannot speak for the others."""


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The key may have run at a process that no longer exists."""

    reason: str


Standing: t.TypeAlias = ConfirmedHome | HigherRanked | NotYetHome | OutcomeUnknown


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledgement:
    """A host's word that it has a later host in its ranking.

    Attributes:
        host: the host that says so.
        incarnation: its incarnation.
        at_ms: its clock at that moment, epoch milliseconds.
    """

    host: str
    incarnation: int
    at_ms: float


def ranking(key: str, service: str, hosts: t.Iterable[HostRecord]) -> list[HostRecord]:
    """Orders the hosts of a service for a key, gone ones included."""
    listed = {host.name: host for host in hosts if host.service == service}
    return [listed[name] for name in hashing.rank_by_weight(f"home/{key}", listed)]


class Homes:
    """What one gate knows of the other homes of its service.

    All times are milliseconds since the epoch.

    Args:
        own: the gate's own host; its incarnation is the start of its process.
    """

    def __init__(self, own: HostRecord) -> None:
        self._own = own
        self._listed = False
        self._horizon_ms: float | None = None
        self._acknowledged: dict[str, Acknowledgement] = {}
        self._retired_ms: dict[tuple[str, int], float] = {}

    def on_host_list_read(self) -> None:
        """Notes that the platform's host list has been read once.

        Without it, and without any acknowledgement, a gate cannot tell whether
        it is alone.
        """
        self._listed = True

    def record_acknowledgement(self, word: Acknowledgement) -> None:
        """Takes in another host's acknowledgement."""
        known = self._acknowledged.get(word.host)
        if known is None or known.incarnation < word.incarnation:
            self._acknowledged[word.host] = word

    def record_departures(self, hosts: t.Iterable[HostRecord], now_ms: float) -> None:
        """Notes when hosts of the service were first seen to leave."""
        for host in self._peers(hosts):
            if host.state is not HostState.LIVE:
                self._retired_ms.setdefault(_identity(host), now_ms)

    def pending_acknowledgers(self, hosts: t.Iterable[HostRecord]) -> list[HostRecord]:
        """Returns live hosts that must acknowledge this one before it is a home.

        Hosts learned of after that need not: they ask this one in turn.
        """
        if self._horizon_ms is not None:
            return []
        return [h for h in self._lacking(hosts) if h.state is HostState.LIVE]

    def home_since_ms(self, hosts: t.Collection[HostRecord]) -> float | None:
        """Returns since when this gate has been a home, or None if it is not yet."""
        if self._horizon_ms is None:
            self._horizon_ms = self._joined_ms(hosts)
        return self._horizon_ms

    def _joined_ms(self, hosts: t.Collection[HostRecord]) -> float | None:
        if not self._listed and not self._acknowledged:
            return None
        times_ms = [float(self._own.incarnation)]
        times_ms += [word.at_ms for word in self._acknowledged.values()]
        for host in self._lacking(hosts):
            retired_ms = self._retired_ms.get(_identity(host))
            if host.state is HostState.LIVE or retired_ms is None:
                return None
            times_ms.append(retired_ms + RETIRED_MARGIN_MS)
        return max(times_ms)

    def is_ready(self, hosts: t.Collection[HostRecord], now_ms: float) -> bool:
        """Tells whether keys issued from now on can be run without proof."""
        home_since_ms = self.home_since_ms(hosts)
        return home_since_ms is not None and now_ms - CALLER_SKEW_MS > home_since_ms

    def classify_key(self, call: Call, hosts: t.Collection[HostRecord]) -> Standing:
        """Decides on a key that is not in this gate's own table."""
        for host in ranking(call.key, call.service, hosts):
            if host.name == self._own.name:
                return self._own_standing(call, hosts)
            if host.name in call.fences or self._retired_before(host, call):
                continue
            if host.state is HostState.GONE:
                return OutcomeUnknown(
                    f"host {host.name!r} left after the key was issued"
                )
            return HigherRanked(host)
        raise ValueError(f"host {self._own.name!r} is not among the hosts")

    def _own_standing(self, call: Call, hosts: t.Collection[HostRecord]) -> Standing:
        surely_issued_ms = call.key_issued_ms - CALLER_SKEW_MS
        home_since_ms = self.home_since_ms(hosts)
        if home_since_ms is not None and surely_issued_ms > home_since_ms:
            return ConfirmedHome()
        if surely_issued_ms > self._own.incarnation:
            return NotYetHome()
        return OutcomeUnknown("the key was issued before this home began")

    def _retired_before(self, host: HostRecord, call: Call) -> bool:
        retired_ms = self._retired_ms.get(_identity(host))
        if retired_ms is None or host.state is HostState.LIVE:
            return False
        return call.key_issued_ms > retired_ms + RETIRED_MARGIN_MS

    def _lacking(self, hosts: t.Iterable[HostRecord]) -> t.Iterator[HostRecord]:
        for host in self._peers(hosts):
            word = self._acknowledged.get(host.name)
            if word is None or word.incarnation < host.incarnation:
                yield host

    def _peers(self, hosts: t.Iterable[HostRecord]) -> t.Iterator[HostRecord]:
        for host in hosts:
            if host.service == self._own.service and host.name != self._own.name:
                yield host


def _identity(host: HostRecord) -> tuple[str, int]:
    return host.name, host.incarnation
