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
    """A higher-ranked host must be asked before this gate."""

    host: HostRecord


@dataclasses.dataclass(frozen=True, slots=True)
class NotYetHome:
    """This gate has not run the key, but another gate may have."""


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The key may have run at a process that no longer exists."""

    reason: str


HomeVerdict: t.TypeAlias = ConfirmedHome | HigherRanked | NotYetHome | OutcomeUnknown


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledgement:
    """A host's confirmation that its ranking includes a later host.

    Attributes:
        host: the host that confirms.
        incarnation: its incarnation.
        at_ms: its clock at that moment, epoch milliseconds.
    """

    host: str
    incarnation: int
    at_ms: float


def ranking(key: str, service: str, hosts: t.Iterable[HostRecord]) -> list[HostRecord]:
    """Ranks the hosts of a service for a key, including gone hosts."""
    listed = {host.name: host for host in hosts if host.service == service}
    return [listed[name] for name in hashing.rank_by_weight(f"home/{key}", listed)]


class Homes:
    """Holds what one gate knows of the other homes of its service.

    All times are milliseconds since the epoch.

    Args:
        own: the gate's own host; its incarnation is the start of its process.
    """

    def __init__(self, own: HostRecord) -> None:
        self._own = own
        self._has_host_list = False
        self._home_since_ms: float | None = None
        self._acknowledged: dict[str, Acknowledgement] = {}
        self._retired_ms: dict[tuple[str, int], float] = {}

    def on_host_list_read(self) -> None:
        """Records that the platform's host list has been read once.

        Without the list, and without any acknowledgement, a gate cannot know
        whether it is alone.
        """
        self._has_host_list = True

    def record_acknowledgement(self, acknowledgement: Acknowledgement) -> None:
        """Records another host's acknowledgement."""
        known = self._acknowledged.get(acknowledgement.host)
        if known is None or known.incarnation < acknowledgement.incarnation:
            self._acknowledged[acknowledgement.host] = acknowledgement

    def record_departures(self, hosts: t.Iterable[HostRecord], now_ms: float) -> None:
        """Records when hosts of the service were first seen to leave."""
        for host in self._peers(hosts):
            if host.state is not HostState.LIVE:
                self._retired_ms.setdefault(_identity(host), now_ms)

    def pending_acknowledgers(self, hosts: t.Iterable[HostRecord]) -> list[HostRecord]:
        """Returns live hosts that must acknowledge this one before it is a home.

        Hosts that become known after that need not acknowledge it, since they ask this
        one to acknowledge them.
        """
        if self._home_since_ms is not None:
            return []
        return [
            h for h in self._unacknowledged_peers(hosts) if h.state is HostState.LIVE
        ]

    def home_since_ms(self, hosts: t.Collection[HostRecord]) -> float | None:
        """Returns when this gate became a home, or None if it is not a home yet."""
        if self._home_since_ms is None:
            self._home_since_ms = self._compute_home_since_ms(hosts)
        return self._home_since_ms

    def _compute_home_since_ms(self, hosts: t.Collection[HostRecord]) -> float | None:
        if not self._has_host_list and not self._acknowledged:
            return None
        times_ms = [float(self._own.incarnation)]
        times_ms += [
            acknowledgement.at_ms for acknowledgement in self._acknowledged.values()
        ]
        for host in self._unacknowledged_peers(hosts):
            retired_ms = self._retired_ms.get(_identity(host))
            if host.state is HostState.LIVE or retired_ms is None:
                return None
            times_ms.append(retired_ms + RETIRED_MARGIN_MS)
        return max(times_ms)

    def is_ready(self, hosts: t.Collection[HostRecord], now_ms: float) -> bool:
        """Returns whether the gate is a confirmed home for keys issued from now on."""
        home_since_ms = self.home_since_ms(hosts)
        return home_since_ms is not None and now_ms - CALLER_SKEW_MS > home_since_ms

    def classify_key(self, call: Call, hosts: t.Collection[HostRecord]) -> HomeVerdict:
        """Returns the verdict on a key that is not in this gate's own table."""
        for host in ranking(call.key, call.service, hosts):
            if host.name == self._own.name:
                return self._own_verdict(call, hosts)
            if host.name in call.fences or self._retired_before(host, call):
                continue
            if host.state is HostState.GONE:
                return OutcomeUnknown(
                    f"host {host.name!r} left after the key was issued"
                )
            return HigherRanked(host)
        raise ValueError(f"host {self._own.name!r} is not among the hosts")

    def _own_verdict(self, call: Call, hosts: t.Collection[HostRecord]) -> HomeVerdict:
        earliest_issue_ms = call.key_issued_ms - CALLER_SKEW_MS
        home_since_ms = self.home_since_ms(hosts)
        if home_since_ms is not None and earliest_issue_ms > home_since_ms:
            return ConfirmedHome()
        if earliest_issue_ms > self._own.incarnation:
            return NotYetHome()
        return OutcomeUnknown("the key was issued before this gate started")

    def _retired_before(self, host: HostRecord, call: Call) -> bool:
        retired_ms = self._retired_ms.get(_identity(host))
        if retired_ms is None or host.state is HostState.LIVE:
            return False
        return call.key_issued_ms > retired_ms + RETIRED_MARGIN_MS

    def _unacknowledged_peers(
        self, hosts: t.Iterable[HostRecord]
    ) -> t.Iterator[HostRecord]:
        for host in self._peers(hosts):
            acknowledgement = self._acknowledged.get(host.name)
            if (
                acknowledgement is None
                or acknowledgement.incarnation < host.incarnation
            ):
                yield host

    def _peers(self, hosts: t.Iterable[HostRecord]) -> t.Iterator[HostRecord]:
        for host in hosts:
            if host.service == self._own.service and host.name != self._own.name:
                yield host


def _identity(host: HostRecord) -> tuple[str, int]:
    return host.name, host.incarnation
