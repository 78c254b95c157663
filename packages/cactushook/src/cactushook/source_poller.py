"""Decides when a node calls the platform and what it requests."""

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
class CompleteVersion:
    """A version whose values have all been read."""

    head: Head
    values: t.Mapping[str, bytes]


class _Backoff:
    """A delay that doubles with each failure, with full jitter."""

    def __init__(self, rng: random.Random, now_ms: float) -> None:
        self._rng = rng
        self._delay_ms = RETRY_MIN_MS
        self.due_ms = now_ms

    def record_success(self, now_ms: float) -> None:
        self._delay_ms = RETRY_MIN_MS
        self.due_ms = now_ms

    def record_failure(self, now_ms: float) -> None:
        self.due_ms = now_ms + self._rng.uniform(RETRY_MIN_MS / 2, self._delay_ms)
        self._delay_ms = min(RETRY_MAX_MS, self._delay_ms * 2)


class SourcePoller:
    """Schedules one node's calls to the platform.

    At most one call for versions and one for host lists is in flight at a time.

    Args:
        membership: the host records that the node knows.
        store: the configuration in force.
        rng: source of randomness.
        now_ms: the start time.
        hint: fleet size to assume.
        host_list_period_ms: mean time between readings of the own domain's host list.
    """

    def __init__(
        self,
        membership: Membership,
        store: VersionStore,
        rng: random.Random,
        now_ms: float,
        hint: FleetHint,
        host_list_period_ms: float,
    ) -> None:
        self._membership = membership
        self._store = store
        self._rng = rng
        self._hint = hint
        self._host_list_period_ms = host_list_period_ms
        self._rate_limiter = SourceRateLimiter(hint, rng.random(), now_ms)
        self._departure_detectors = {membership.own.domain: DepartureDetector()}
        self._head_retry = _Backoff(rng, now_ms)
        self._hosts_retry = _Backoff(rng, now_ms)
        self._reading_head: Head | None = None
        self._received_head: Head | None = None
        self._received: dict[str, bytes] = {}
        self._head_in_flight = False
        self._hosts_in_flight = False
        self._hosts_due_ms = now_ms
        self._domains_due_ms = now_ms
        self._domains: tuple[str, ...] = ()
        self._unread_domains: set[str] = set()
        self._host_list_turn = 0

    def tick(self, now_ms: float, is_reader: bool) -> list[Action]:
        """Returns the calls that are due.

        Args:
            now_ms: the time.
            is_reader: whether the node may call at a reader's rate.
        """
        hosts_call = self._hosts_call(now_ms, is_reader)
        return [*hosts_call, *self._head_call(now_ms, is_reader)]

    def on_head(self, head: Head, now_ms: float, rank: int) -> None:
        """Handles the head that the platform returned.

        Args:
            head: the head.
            now_ms: the time.
            rank: the node's rank among its domain's readers. Readers with a higher
                rank wait for those before them to read and pass on the version.
        """
        self._head_in_flight = False
        if not self._store.should_apply(head):
            self._head_retry.record_failure(now_ms)
            return
        self._head_retry.due_ms = now_ms + rank * RANK_DELAY_MS
        if head != self._received_head:
            self._received = {}
        self._reading_head = self._received_head = head

    def on_values(
        self, head: Head, values: t.Mapping[str, bytes], now_ms: float
    ) -> None:
        """Handles values that the platform returned; damaged ones are dropped."""
        self._head_in_flight = False
        if head != self._reading_head:
            return
        valid = {name: raw for name, raw in values.items() if digest(raw) == name}
        self._received.update(valid)
        if not valid or len(valid) < len(values):
            self._abandon_reading(now_ms)

    def take_complete_version(
        self, now_ms: float
    ) -> CompleteVersion | RefuseVersion | None:
        """Returns the version being read once it is complete, or its refusal."""
        head = self._reading_head
        if head is None:
            return None
        try:
            missing = self._store.should_apply(head) and self._missing_digests(head)
        except CactushookError as error:
            self._finish_reading(now_ms)
            self._store.refuse(head, error)
            return RefuseVersion(head, error)
        if missing:
            return None
        complete = CompleteVersion(head, self._received)
        self._finish_reading(now_ms)
        return complete if self._store.should_apply(head) else None

    def on_hosts(
        self, domain: str, hosts: t.Sequence[HostRecord], now_ms: float
    ) -> list[HostRecord]:
        """Handles a host list and returns its records and those of departed hosts."""
        self._hosts_in_flight = False
        self._hosts_retry.record_success(now_ms)
        listed = [h for h in hosts if h.domain == domain]
        detector = self._departure_detectors.get(domain)
        if detector is None:
            detector = self._departure_detectors[domain] = DepartureDetector(
                OTHER_DOMAIN_ABSENT_MS
            )
        view = self._membership.view(domain)
        return [*listed, *detector.detect(view, listed, now_ms)]

    def on_domains(self, domains: t.Sequence[str], now_ms: float) -> None:
        """Handles the names of the failure domains."""
        self._hosts_in_flight = False
        self._hosts_retry.record_success(now_ms)
        self._unread_domains |= set(domains).difference(self._domains)
        self._domains = tuple(domains)

    def on_call_failed(self, call: SourceCall, now_ms: float) -> None:
        """Schedules a retry of a failed call, with jitter."""
        match call:
            case ReadHosts() | ReadDomains():
                self._hosts_in_flight = False
                self._hosts_retry.record_failure(now_ms)
            case _:
                self._head_in_flight = False
                self._abandon_reading(now_ms)

    @property
    def _has_peers(self) -> bool:
        return self._membership.live_count > 1

    def _head_call(self, now_ms: float, is_reader: bool) -> list[Action]:
        if self._head_in_flight or now_ms < self._head_retry.due_ms:
            return []
        head = self._reading_head
        missing = self._missing_digests(head) if head else []
        granted = self._take_calls(now_ms, max(1, len(missing)), is_reader)
        if not granted:
            return []
        self._head_in_flight = True
        if head is None:
            return [WatchHead(self._store.seen_version, is_reader)]
        return [ReadValues(head, tuple(missing[:granted]))]

    def _hosts_call(self, now_ms: float, is_reader: bool) -> list[Action]:
        if self._hosts_in_flight or now_ms < self._hosts_retry.due_ms:
            return []
        call = self._next_hosts_call(now_ms, is_reader)
        if call is None or not self._take_calls(now_ms, 1, is_reader):
            return []
        self._hosts_in_flight = True
        self._record_hosts_call(call, now_ms)
        return [call]

    def _next_hosts_call(
        self, now_ms: float, is_reader: bool
    ) -> ReadHosts | ReadDomains | None:
        own = self._membership.own.domain
        if not is_reader:
            due = not self._has_peers and now_ms >= self._hosts_due_ms
            return ReadHosts(own) if due else None
        if now_ms >= self._domains_due_ms:
            return ReadDomains()
        if now_ms < self._hosts_due_ms:
            return None
        unknown = self._unread_domains.difference(self._membership.domains)
        if unknown:
            return ReadHosts(min(unknown))
        others = [name for name in self._domains if name != own]
        if self._host_list_turn % 2 and others:
            return ReadHosts(others[self._host_list_turn // 2 % len(others)])
        return ReadHosts(own)

    def _record_hosts_call(self, call: ReadHosts | ReadDomains, now_ms: float) -> None:
        match call:
            case ReadDomains():
                self._domains_due_ms = now_ms + self._jitter(DOMAINS_PERIOD_MS)
            case ReadHosts(domain) if domain in self._unread_domains:
                self._unread_domains.discard(domain)
                self._hosts_due_ms = now_ms + self._jitter(RETRY_MIN_MS)
            case ReadHosts():
                self._host_list_turn += 1
                self._hosts_due_ms = now_ms + self._jitter(
                    self._host_list_period_ms / 2
                )

    def _take_calls(self, now_ms: float, wanted: int, is_reader: bool) -> int:
        known_hosts = self._membership.live_count
        return self._rate_limiter.take(now_ms, wanted, is_reader, known_hosts)

    def _missing_digests(self, head: Head) -> list[str]:
        return self._store.missing_digests(head, self._received)

    def _abandon_reading(self, now_ms: float) -> None:
        """Returns to the head, so that an unreadable version blocks no later one."""
        self._reading_head = None
        self._head_retry.record_failure(now_ms)

    def _finish_reading(self, now_ms: float) -> None:
        self._reading_head = None
        self._received = {}
        self._head_retry.record_success(now_ms)

    def _jitter(self, mean_ms: float) -> float:
        return self._rng.uniform(0.5, 1.5) * mean_ms
