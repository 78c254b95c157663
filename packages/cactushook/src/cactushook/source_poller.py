"""Decides when a node calls the platform and what it asks for."""

import dataclasses
import random
import typing as t

from .departures import DepartureDetector
from .departures import OTHER_DOMAIN_ABSENT_MS
from .digests import digest
from .exceptions import CactushookError
from .membership import Membership
from .messages import Action
from .messages import ReadDomains
from .messages import ReadHosts
from .messages import ReadValues
from .messages import RefuseVersion
from .messages import SourceCall
from .messages import WatchHead
from .nodes import HostRecord
from .publication import Head
from .readers import FleetHint
from .readers import SourceRateLimiter
from .versions import VersionStore

RETRY_MIN_MS = 200.0
RETRY_MAX_MS = 2_000.0
RANK_DELAY_MS = 150.0
DOMAINS_PERIOD_MS = 60_000.0
READ_TICK_MS = 100.0


@dataclasses.dataclass(frozen=True, slots=True)
class Whole:
    """A version whose values have all been read."""

    head: Head
    values: t.Mapping[str, bytes]


class _Backoff:
    """A delay that doubles with each failure, with full jitter."""

    def __init__(self, rng: random.Random, now_ms: float) -> None:
        self._rng = rng
        self._delay_ms = RETRY_MIN_MS
        self.due_ms = now_ms

    def succeed(self, now_ms: float) -> None:
        self._delay_ms = RETRY_MIN_MS
        self.due_ms = now_ms

    def fail(self, now_ms: float) -> None:
        self.due_ms = now_ms + self._rng.uniform(RETRY_MIN_MS / 2, self._delay_ms)
        self._delay_ms = min(RETRY_MAX_MS, self._delay_ms * 2)


class SourcePoller:
    """One node's calls to the platform: at most one of each sort at a time.

    Args:
        membership: the host records that the node knows.
        store: the configuration in force.
        rng: source of randomness.
        now_ms: the time at the start.
        hint: fleet size to assume.
        host_list_ms: mean time between readings of the own domain's host list.
    """

    def __init__(
        self,
        membership: Membership,
        store: VersionStore,
        rng: random.Random,
        now_ms: float,
        hint: FleetHint,
        host_list_ms: float,
    ) -> None:
        self._membership = membership
        self._store = store
        self._rng = rng
        self._hint = hint
        self._host_list_ms = host_list_ms
        self._allowance = SourceRateLimiter(hint, rng.random(), now_ms)
        self._departures = {membership.own.domain: DepartureDetector()}
        self._head_retry = _Backoff(rng, now_ms)
        self._hosts_retry = _Backoff(rng, now_ms)
        self._reading: Head | None = None
        self._received_of: Head | None = None
        self._received: dict[str, bytes] = {}
        self._head_in_flight = False
        self._hosts_in_flight = False
        self._hosts_due_ms = now_ms
        self._domains_due_ms = now_ms
        self._domains: tuple[str, ...] = ()
        self._unread: set[str] = set()
        self._turn = 0

    def tick(self, now_ms: float, is_reader: bool) -> list[Action]:
        """Returns the calls that are due.

        Args:
            now_ms: the time.
            is_reader: whether the node has a reader's allowance.
        """
        hosts_call = self._hosts_call(now_ms, is_reader)
        return [*hosts_call, *self._head_call(now_ms, is_reader)]

    def on_head(self, head: Head, now_ms: float, rank: int) -> None:
        """Takes in the head that the platform answered.

        Args:
            head: the head.
            now_ms: the time.
            rank: the node's place among its domain's readers; those behind wait for
                the ones before them to read and pass on the version.
        """
        self._head_in_flight = False
        if not self._store.should_apply(head):
            self._head_retry.fail(now_ms)
            return
        self._head_retry.due_ms = now_ms + rank * RANK_DELAY_MS
        if head != self._received_of:
            self._received = {}
        self._reading = self._received_of = head

    def on_values(
        self, head: Head, values: t.Mapping[str, bytes], now_ms: float
    ) -> None:
        """Takes in values that the platform answered; damaged ones are dropped."""
        self._head_in_flight = False
        if head != self._reading:
            return
        genuine = {name: raw for name, raw in values.items() if digest(raw) == name}
        self._received.update(genuine)
        if not genuine or len(genuine) < len(values):
            self._give_up(now_ms)

    def take_complete_version(self, now_ms: float) -> Whole | RefuseVersion | None:
        """Returns the version being read once nothing of it is missing."""
        head = self._reading
        if head is None:
            return None
        try:
            missing = self._store.should_apply(head) and self._missing(head)
        except CactushookError as error:
            self._stop_reading(now_ms)
            self._store.refuse(head, error)
            return RefuseVersion(head, error)
        if missing:
            return None
        whole = Whole(head, self._received)
        self._stop_reading(now_ms)
        return whole if self._store.should_apply(head) else None

    def on_hosts(
        self, domain: str, hosts: t.Sequence[HostRecord], now_ms: float
    ) -> list[HostRecord]:
        """Takes in a host list and returns the records that it changes."""
        self._hosts_in_flight = False
        self._hosts_retry.succeed(now_ms)
        hints = [h for h in hosts if h.domain == domain]
        departures = self._departures.get(domain)
        if departures is None:
            departures = self._departures[domain] = DepartureDetector(
                OTHER_DOMAIN_ABSENT_MS
            )
        view = self._membership.view(domain)
        return [*hints, *departures.detect(view, hints, now_ms)]

    def on_domains(self, domains: t.Sequence[str], now_ms: float) -> None:
        """Takes in the names of the failure domains."""
        self._hosts_in_flight = False
        self._hosts_retry.succeed(now_ms)
        self._unread |= set(domains).difference(self._domains)
        self._domains = tuple(domains)

    def on_call_failed(self, call: SourceCall, now_ms: float) -> None:
        """Notes that a call failed: try later, with jitter."""
        match call:
            case ReadHosts() | ReadDomains():
                self._hosts_in_flight = False
                self._hosts_retry.fail(now_ms)
            case _:
                self._head_in_flight = False
                self._give_up(now_ms)

    @property
    def _knows_peers(self) -> bool:
        return self._membership.live_count > 1

    def _head_call(self, now_ms: float, is_reader: bool) -> list[Action]:
        if self._head_in_flight or now_ms < self._head_retry.due_ms:
            return []
        head = self._reading
        missing = self._missing(head) if head else []
        granted = self._take(now_ms, max(1, len(missing)), is_reader)
        if not granted:
            return []
        self._head_in_flight = True
        if head is None:
            return [WatchHead(self._store.seen_version)]
        return [ReadValues(head, tuple(missing[:granted]))]

    def _hosts_call(self, now_ms: float, is_reader: bool) -> list[Action]:
        if self._hosts_in_flight or now_ms < self._hosts_retry.due_ms:
            return []
        call = self._next_hosts_call(now_ms, is_reader)
        if call is None or not self._take(now_ms, 1, is_reader):
            return []
        self._hosts_in_flight = True
        self._note_hosts_call(call, now_ms)
        return [call]

    def _next_hosts_call(
        self, now_ms: float, is_reader: bool
    ) -> ReadHosts | ReadDomains | None:
        own = self._membership.own.domain
        if not is_reader:
            due = not self._knows_peers and now_ms >= self._hosts_due_ms
            return ReadHosts(own) if due else None
        if now_ms >= self._domains_due_ms:
            return ReadDomains()
        if now_ms < self._hosts_due_ms:
            return None
        unknown = self._unread.difference(self._membership.domains)
        if unknown:
            return ReadHosts(min(unknown))
        others = [name for name in self._domains if name != own]
        if self._turn % 2 and others:
            return ReadHosts(others[self._turn // 2 % len(others)])
        return ReadHosts(own)

    def _note_hosts_call(self, call: ReadHosts | ReadDomains, now_ms: float) -> None:
        match call:
            case ReadDomains():
                self._domains_due_ms = now_ms + self._jitter(DOMAINS_PERIOD_MS)
            case ReadHosts(domain) if domain in self._unread:
                self._unread.discard(domain)
                self._hosts_due_ms = now_ms + self._jitter(RETRY_MIN_MS)
            case ReadHosts():
                self._turn += 1
                self._hosts_due_ms = now_ms + self._jitter(self._host_list_ms / 2)

    def _take(self, now_ms: float, wanted: int, is_reader: bool) -> int:
        known_hosts = self._membership.live_count
        return self._allowance.take(now_ms, wanted, is_reader, known_hosts)

    def _missing(self, head: Head) -> list[str]:
        return self._store.missing_digests(head, self._received)

    def _give_up(self, now_ms: float) -> None:
        """Goes back to the head: a version that can't be read blocks no later one."""
        self._reading = None
        self._head_retry.fail(now_ms)

    def _stop_reading(self, now_ms: float) -> None:
        self._reading = None
        self._received = {}
        self._head_retry.succeed(now_ms)

    def _jitter(self, mean_ms: float) -> float:
        return self._rng.uniform(0.5, 1.5) * mean_ms
