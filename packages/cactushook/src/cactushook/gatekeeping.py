"""The order of a gate's decisions on one request, without input or output."""

import collections
import dataclasses
import typing as t

import msgspec

from . import homes
from . import key_table
from .admission import Admission
from .admission import Admitted
from .admission import MIXED_BULK_SHARE
from .admission import Refused
from .admission import Verdict
from .breaker import CircuitBreaker
from .calls import Call
from .calls import Listing
from .calls import Load
from .calls import Refusal
from .crashes import CrashReport
from .crashes import CrashTable
from .exceptions import ERROR_RESPONSES
from .exceptions import ErrorKind
from .exceptions import Ran
from .nodes import HostRecord
from .nodes import HostState
from .nodes import Limits
from .nodes import RouteClass
from .ramp import ColdRateLimiter
from .ramp import SlowdownDetector
from .snapshot import Snapshot

PAUSE_REFRESH_MS = 1_000
PAUSE_DRAIN_MS = 100
# Requests lost so shortly before a crash was found may have caused it.
CRASH_WINDOW_MS = 1_000
KEPT_LOST = 64

# After so many fences a key is not passed on for a cold start: all may be cold.
MAX_COLD_FENCES = 4

# Refusals after which another host of the service may run a keyed request.
TURNED_AWAY = frozenset(
    (
        ErrorKind.OVERLOADED,
        ErrorKind.COLD_START,
        ErrorKind.QUEUE_TIMEOUT,
        ErrorKind.DRAINING,
        ErrorKind.DOMAIN_OUT,
        ErrorKind.WORKER_UNREACHABLE,
    )
)

# Ends of a request that speak against the worker that ran it.
WORKER_AT_FAULT = frozenset(
    (
        ErrorKind.WORKER_LOST,
        ErrorKind.WORKER_REJECTED,
        ErrorKind.ANSWER_INVALID,
    )
)
# A request that got no answer in so long speaks against the worker too; one that came
# with less time left does not.
HANG_MS = 500.0


@dataclasses.dataclass(frozen=True, slots=True)
class DuplicateInFlight:
    """A copy of the request runs; ask again when its key has settled."""

    call: Call


@dataclasses.dataclass(frozen=True, slots=True)
class Replayed:
    """The request ran before: give the same answer again."""

    call: Call
    answer: key_table.StoredAnswer


GateVerdict: t.TypeAlias = Verdict | DuplicateInFlight | Replayed


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The worker answered.

    Attributes:
        latency_ms: time until the answer began.
        instance: identity of the worker's start, if the answer tells it.
        stored: kept for copies of a keyed request.
        failed: whether the answer reports a failure of the worker.
    """

    latency_ms: float
    instance: bytes = b""
    stored: key_table.StoredAnswer | None = None
    failed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The request got no whole answer from the worker."""

    kind: ErrorKind
    detail: str = ""


Outcome: t.TypeAlias = Answered | Failed


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """What follows from the end of a request at the worker.

    Attributes:
        verdicts: on requests that waited.
        crashes: to be told to the other gates of the service.
        refusal: what the entry is told unless the worker answered.
    """

    verdicts: tuple[Verdict, ...]
    crashes: tuple[CrashReport, ...] = ()
    refusal: Refusal | None = None


class Gatekeeper:
    """All that a gate knows and decides.

    ``now_ms`` is the node's clock; ``epoch_ms`` counts from the epoch and is used
    for keys alone.

    Args:
        own: the gate's own host.
        needs_listing: whether requests are refused until the platform has listed
            the backend server.
    """

    def __init__(self, own: HostRecord, needs_listing: bool = False) -> None:
        self._own = own
        self._needs_listing = needs_listing
        self._listing: Listing | None = None
        self._snapshot: Snapshot | None = None
        self._domain_out = False
        self._is_down = False
        self._replaced = ""
        self._lost: collections.deque[tuple[float, Call]] = collections.deque(
            maxlen=KEPT_LOST
        )
        self.homes = homes.Homes(own)
        self.crashes = CrashTable()
        self.admission: Admission | None = None
        self._once = key_table.KeyTable()
        self._latencies = SlowdownDetector()
        self.breaker = CircuitBreaker()
        self._instance = b""
        self._blamed: frozenset[str] = frozenset()
        self._stale_until_ms = 0.0
        self._draining = False
        self._version = 0

    def configure(self, snapshot: Snapshot, now_ms: float) -> None:
        """Follows the configuration in force."""
        self._version = snapshot.head.version
        self._snapshot = snapshot
        service = snapshot.services.get(self.service)
        if service is None:
            return
        limits = self._listed_limits(service.limits)
        if self.admission is None:
            self.admission = Admission(limits, now_ms)
            self.admission.draining = self._draining
        classes = {
            bound.route.route_class
            for bound in snapshot.routes
            if bound.team_file.service == self.service
        }
        bulk_only = classes == {RouteClass.BULK}
        self.admission.bulk_share = 1.0 if bulk_only else MIXED_BULK_SHARE
        self._domain_out = snapshot.is_out(self._own.domain)
        self.admission.configure(limits, self._domain_out, now_ms)

    def on_listing(self, listing: Listing | None, now_ms: float) -> list[Verdict]:
        """Follows the platform's listing of the backend server.

        Returns:
            Refusals of requests that wait for a service which no longer runs here.
        """
        before = self._listing
        if listing == before:
            return []
        self._listing = listing
        if listing is None or self._snapshot is None:
            return []
        self.configure(self._snapshot, now_ms)
        self._follow_start(before, listing, now_ms)
        if self.admission is None:
            return []
        others = [c for c in self.admission.waiting if c.service != listing.service]
        for call in others:
            self.admission.cancel(call.request_id)
        return [Refused(call, self._not_served(call)) for call in others]

    def _follow_start(
        self, before: Listing | None, listing: Listing, now_ms: float
    ) -> None:
        if _start(before) != _start(listing):
            self._replaced = ""
            self.breaker.reset()
            self.set_cold_remaining(listing.cold_remaining_ms, now_ms)
        elif listing.cold_remaining_ms != before.cold_remaining_ms:
            self.set_cold_remaining(listing.cold_remaining_ms, now_ms)

    def set_cold_remaining(self, left_ms: float, now_ms: float) -> None:
        """Takes in how much longer the backend server says it stays cold."""
        if self.admission is not None and isinstance(
            self.admission.ramp, ColdRateLimiter
        ):
            self.admission.ramp.set_cold_remaining(left_ms, now_ms)

    def assume_cold(self, now_ms: float) -> None:
        """Notes that the backend server may have restarted unseen."""
        if self.admission is not None:
            self._turned_cold(now_ms)

    def is_cold(self, now_ms: float) -> bool:
        """Tells whether the backend server is taken as cold."""
        return self.admission is not None and self.admission.ramp.is_cold(now_ms)

    @property
    def is_domain_out(self) -> bool:
        """Whether the gate's failure domain is out of service."""
        return self._domain_out

    def on_worker_down(self, now_ms: float) -> tuple[CrashReport, ...]:
        """Notes that the backend server accepts no connections.

        Requests that it lost a moment before, and those that run, may have crashed
        it.
        """
        self._is_down = True
        since_ms = now_ms - CRASH_WINDOW_MS
        suspects = [call for lost_ms, call in self._lost if lost_ms > since_ms]
        self._lost.clear()
        if self.admission is not None:
            suspects += self.admission.running
        return self._blame(suspects, now_ms)

    def on_worker_up(self, now_ms: float) -> None:
        """Notes that the backend server accepts connections again."""
        self._is_down = False
        self.breaker.reset()
        self.assume_cold(now_ms)

    @property
    def service(self) -> str:
        """The service that the backend server runs."""
        return self._own.service if self._listing is None else self._listing.service

    @property
    def instance(self) -> str:
        """Identity of the backend server's present start, empty if not listed."""
        return "" if self._listing is None else self._listing.instance

    @property
    def service_ms(self) -> float:
        """Mean time that a request takes at the backend server."""
        return 0.0 if self.admission is None else self.admission.service_ms

    def drain(self) -> None:
        """Refuses new work from now on; running and waiting work goes on."""
        self._draining = True
        if self.admission is not None:
            self.admission.draining = True

    def on_pause(self, now_ms: float) -> None:
        """Refuses new work until `on_peer_update`, or for a bounded time."""
        self._stale_until_ms = now_ms + PAUSE_REFRESH_MS

    def on_peer_update(self, now_ms: float) -> None:
        """Notes that another node has told of its view.

        What arrives right after a pause may have been sent before it.
        """
        if now_ms >= self._stale_until_ms - PAUSE_REFRESH_MS + PAUSE_DRAIN_MS:
            self._stale_until_ms = 0.0

    @property
    def is_idle(self) -> bool:
        """Whether nothing runs and nothing waits."""
        return self.admission is None or self.admission.is_idle

    def load(self, now_ms: float) -> Load:
        """Returns the load that is told to entries."""
        if self.admission is None:
            return Load(capacity=0, accepting=False)
        load = self.admission.load(now_ms)
        if self._unlisted() is not None or self.breaker.is_open:
            return dataclasses.replace(load, accepting=False)
        return load

    def offer(
        self,
        call: Call,
        hosts: t.Collection[HostRecord],
        now_ms: float,
        epoch_ms: float,
    ) -> list[GateVerdict]:
        """Decides on a new request.

        Args:
            call: the request.
            hosts: the gate's host list.
            now_ms: the node's clock.
            epoch_ms: time since the epoch.

        Returns:
            Verdicts on requests that waited, and one on this request.
        """
        if self.admission is None or call.service != self.service:
            return [Refused(call, self._not_served(call))]
        unlisted = self._unlisted()
        if unlisted is not None:
            return [Refused(call, unlisted)]
        if call.route_class is RouteClass.AT_MOST_ONCE:
            return self._offer_keyed(call, hosts, now_ms, epoch_ms)
        refusal = self._refusal(call, now_ms)
        if refusal is not None:
            return [Refused(call, refusal)]
        return [*self._noted(self.admission.offer(call, now_ms))]

    def resolve_duplicate(self, call: Call, epoch_ms: float) -> Replayed | Refused:
        """Answers a joined call once its key has settled."""
        known = self._known(call, epoch_ms)
        if isinstance(known, Replayed | Refused):
            return known
        detail = "the first copy did not run"
        return Refused(call, Refusal(ErrorKind.OVERLOADED, detail))

    def cancel(self, call: Call) -> None:
        """Forgets a request that waits."""
        if self.admission is not None:
            self.admission.cancel(call.request_id)

    def expire(self, now_ms: float) -> list[Verdict]:
        """Returns verdicts that have become due with time."""
        if self.admission is None:
            return []
        return self._noted(self.admission.expire(now_ms))

    def on_request_ended(self, call: Call, outcome: Outcome, now_ms: float) -> Ended:
        """Takes in how an admitted request ended; the worker is done with it."""
        admission = t.cast(Admission, self.admission)
        if self._needs_listing:
            self._note_health(call, outcome, now_ms)
        crashes: tuple[CrashReport, ...] = ()
        match outcome:
            case Answered():
                self._answered(call, outcome, now_ms)
            case Failed(ErrorKind.WORKER_LOST) if self._needs_listing:
                self._lost.append((now_ms, call))
            case Failed(ErrorKind.WORKER_REPLACED):
                self._replaced = self.instance
            case Failed(ErrorKind.WORKER_LOST):
                crashes = self._worker_lost(call, now_ms)
            case Failed(ErrorKind.WORKER_UNREACHABLE):
                self._turned_cold(now_ms)
        refusal = None
        if isinstance(outcome, Failed):
            refusal = Refusal(outcome.kind, outcome.detail)
        if call.route_class is RouteClass.AT_MOST_ONCE:
            refusal = self._settle_key(call, outcome)
        verdicts = self._noted(admission.release(call.request_id, now_ms))
        return Ended(tuple(verdicts), crashes, refusal)

    def _note_health(self, call: Call, outcome: Outcome, now_ms: float) -> None:
        match outcome:
            case Answered(failed=failed):
                self.breaker.record_outcome(failed, now_ms)
            case Failed(ErrorKind.DEADLINE_EXCEEDED):
                admission = t.cast(Admission, self.admission)
                if now_ms - admission.started_ms(call.request_id) >= HANG_MS:
                    self.breaker.record_outcome(True, now_ms)
            case Failed(kind) if kind in WORKER_AT_FAULT:
                self.breaker.record_outcome(True, now_ms)

    def _offer_keyed(
        self,
        call: Call,
        hosts: t.Collection[HostRecord],
        now_ms: float,
        epoch_ms: float,
    ) -> list[GateVerdict]:
        known = self._known(call, epoch_ms)
        if known is not None:
            return [known]
        refusal = self._home_refusal(call, hosts, now_ms, epoch_ms)
        if refusal is not None:
            return [Refused(call, refusal)]
        if not self._once.reserve(call, epoch_ms):
            return [Refused(call, _FULL)]
        admission = t.cast(Admission, self.admission)
        return [*self._noted(admission.offer(call, now_ms))]

    def _noted(self, verdicts: list[Verdict]) -> list[Verdict]:
        return [self._noted_one(verdict) for verdict in verdicts]

    def _noted_one(self, verdict: Verdict) -> Verdict:
        keyed = verdict.call.route_class is RouteClass.AT_MOST_ONCE
        if not keyed or not isinstance(verdict, Refused):
            return verdict
        return Refused(verdict.call, self._turn_away(verdict.call, verdict.refusal))

    def _turn_away(self, call: Call, refusal: Refusal) -> Refusal:
        """Gives up a reserved key that did not run, so that another host may."""
        if refusal.kind not in TURNED_AWAY:
            self._once.release(call.key)
            return refusal
        self._once.fence_reserved(call.key)
        return dataclasses.replace(refusal, fenced=True)

    def _known(self, call: Call, epoch_ms: float) -> GateVerdict | None:
        match self._once.look_up(call, epoch_ms):
            case key_table.InFlight():
                return DuplicateInFlight(call)
            case key_table.Replay(answer):
                return Replayed(call, answer)
            case key_table.OutcomeUnknown(reason):
                return Refused(call, Refusal(ErrorKind.OUTCOME_UNKNOWN, reason))
            case key_table.Fenced():
                return Refused(call, _FENCED)
            case key_table.Reused():
                detail = "the key belongs to another request"
                return Refused(call, Refusal(ErrorKind.KEY_REUSED, detail))
            case key_table.IssuedInFuture():
                detail = "the key was issued in the future"
                return Refused(call, Refusal(ErrorKind.REQUEST_INVALID, detail))
        return None

    def _home_refusal(
        self,
        call: Call,
        hosts: t.Collection[HostRecord],
        now_ms: float,
        epoch_ms: float,
    ) -> Refusal | None:
        self.homes.record_departures(hosts, epoch_ms)
        match self.homes.classify_key(call, hosts):
            case homes.HigherRanked(host):
                detail = f"host {host.name!r} is asked first for this key"
                return Refusal(ErrorKind.NOT_HOME, detail, home=host)
            case homes.OutcomeUnknown(reason):
                return Refusal(ErrorKind.OUTCOME_UNKNOWN, reason)
            case homes.NotYetHome():
                return self._fence(call, epoch_ms)
        admission = t.cast(Admission, self.admission)
        warming = (
            admission.is_full_while_cold(now_ms) and len(call.fences) < MAX_COLD_FENCES
        )
        if warming or not admission.accepting:
            return self._fence(call, epoch_ms)
        return self._refusal(call, now_ms)

    def _fence(self, call: Call, epoch_ms: float) -> Refusal:
        return _FENCED if self._once.fence(call, epoch_ms) else _FULL

    def _listed_limits(self, limits: Limits) -> Limits:
        if self._listing is None:
            return limits
        slots = min(limits.slots, self._listing.slots)
        return msgspec.structs.replace(limits, slots=slots)

    def _unlisted(self) -> Refusal | None:
        if not self._needs_listing:
            return None
        if self._listing is None:
            detail = "the platform does not list the backend server"
            return Refusal(ErrorKind.WORKER_UNKNOWN, detail)
        if self._listing.state is not HostState.LIVE:
            return Refusal(ErrorKind.DRAINING, "the backend server is leaving")
        if self._replaced == self._listing.instance:
            detail = "the backend server started anew and is not listed yet"
            return Refusal(ErrorKind.WORKER_UNKNOWN, detail)
        if self._is_down:
            detail = "the backend server accepts no connections"
            return Refusal(ErrorKind.WORKER_UNREACHABLE, detail)
        return None

    def _not_served(self, call: Call) -> Refusal:
        detail = f"service {call.service!r} does not run here"
        behind = self.admission is None and call.version > self._version
        kind = ErrorKind.VERSION_BEHIND if behind else ErrorKind.NOT_READY
        return Refusal(kind, detail)

    def _refusal(self, call: Call, now_ms: float) -> Refusal | None:
        if now_ms < self._stale_until_ms:
            return Refusal(ErrorKind.NOT_READY, "the view is refreshed after a pause")
        if self.crashes.is_refused(call.fingerprint, now_ms):
            detail = "this request crashed backend servers before"
            return Refusal(ErrorKind.CRASH_SUSPECT, detail)
        may_repeat = call.route_class is RouteClass.IDEMPOTENT
        if not self.breaker.allow_request(may_repeat, call.insists, now_ms):
            detail = "the backend server fails most of its requests"
            return Refusal(ErrorKind.WORKER_FAILING, detail)
        return None

    def _answered(self, call: Call, outcome: Answered, now_ms: float) -> None:
        self._lost.clear()
        self.crashes.record_answer(call.fingerprint, now_ms)
        if outcome.instance and outcome.instance != self._instance:
            if self._instance:
                self._turned_cold(now_ms)
            self._instance = outcome.instance
        if call.route_class is not RouteClass.IDEMPOTENT:
            return
        ramp = t.cast(Admission, self.admission).ramp
        if isinstance(ramp, ColdRateLimiter):
            return
        if not ramp.is_cold(now_ms) and self._latencies.observe(outcome.latency_ms):
            self._turned_cold(now_ms)

    def _turned_cold(self, now_ms: float) -> None:
        t.cast(Admission, self.admission).ramp.restart(now_ms)
        self._latencies.reset()

    def _worker_lost(self, call: Call, now_ms: float) -> tuple[CrashReport, ...]:
        if call.request_id in self._blamed:
            return ()
        running = t.cast(Admission, self.admission).running
        self._blamed = frozenset(item.request_id for item in running)
        self._turned_cold(now_ms)
        return self._blame(running, now_ms)

    def _blame(
        self, running: t.Iterable[Call], now_ms: float
    ) -> tuple[CrashReport, ...]:
        suspects = dict.fromkeys(
            item.fingerprint
            for item in running
            if not self.crashes.is_trusted(item.fingerprint, now_ms)
        )
        news = tuple(
            CrashReport(self.service, suspect, self._own.name) for suspect in suspects
        )
        for item in news:
            self.crashes.record_crash(item, now_ms)
        return news

    def _settle_key(self, call: Call, outcome: Outcome) -> Refusal | None:
        match outcome:
            case Answered(stored=key_table.StoredAnswer() as stored):
                self._once.record_answer(call.key, stored)
                return None
            case Failed(kind, detail) if ERROR_RESPONSES[kind].ran is Ran.NO:
                return self._turn_away(call, Refusal(kind, detail))
            case Failed(kind, detail):
                reason = detail or kind.value
            case _:
                reason = "the answer was too large to be kept"
        self._once.mark_outcome_unknown(call.key, reason)
        return Refusal(ErrorKind.OUTCOME_UNKNOWN, reason)


def _start(listing: Listing | None) -> tuple[str, int] | None:
    return None if listing is None else (listing.instance, listing.started_ms)


_FENCED = Refusal(ErrorKind.KEY_FENCED, "this host will not run the key", fenced=True)
_FULL = Refusal(ErrorKind.OVERLOADED, "too many keys are kept")

__all__ = [
    "Admitted",
    "Answered",
    "DuplicateInFlight",
    "Ended",
    "Failed",
    "GateVerdict",
    "Gatekeeper",
    "Outcome",
    "Replayed",
]
