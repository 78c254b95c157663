"""Makes a gate's decisions on requests, without I/O."""

import dataclasses
import typing as t

import msgspec

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
from .crash_detection import CrashDetector
from .crash_inquiry import CrashInquiry
from .crashes import CrashReport
from .crashes import CrashTable
from .exceptions import ErrorKind
from .gate_verdicts import Answered
from .gate_verdicts import DuplicateInFlight
from .gate_verdicts import Ended
from .gate_verdicts import Failed
from .gate_verdicts import GateVerdict
from .gate_verdicts import Outcome
from .gate_verdicts import Replayed
from .gate_verdicts import reported_failure
from .homes import Homes
from .keyed_requests import KeyedRequests
from .nested_guard import NestedGuard
from .nodes import HostRecord
from .nodes import Limits
from .nodes import RouteClass
from .pause_guard import PauseGuard
from .ramp import ColdRateLimiter
from .ramp import SlowdownDetector
from .snapshot import Snapshot
from .worker_listing import WorkerListing
from .worker_losses import WorkerLosses

# A key with this many fences is not fenced again because of a cold start, since all
# hosts may be cold.
MAX_COLD_FENCES = 4

# Failures that count against the worker that ran the request; `WorkerLosses` judges
# those of kind ``WORKER_LOST``.
WORKER_FAULT_KINDS = frozenset(
    (
        ErrorKind.WORKER_REJECTED,
        ErrorKind.ANSWER_INVALID,
    )
)
# A request that exceeds its deadline counts against the worker only if it was at the
# worker for at least this long; one that arrived with less time left does not count.
HANG_MS = 500.0


class Gatekeeper:
    """Holds the state of a gate and makes its decisions.

    ``now_ms`` is the node's clock. ``epoch_ms`` is the time since the epoch and is
    used only for keys.

    Args:
        own: the gate's own host.
        needs_listing: whether requests are refused until the platform has listed
            the backend server.
        learns_concurrency: whether slots that do not add to the backend server's
            throughput are left unused.
    """

    def __init__(
        self,
        own: HostRecord,
        needs_listing: bool = False,
        learns_concurrency: bool = False,
    ) -> None:
        self._own = own
        self._learns_concurrency = learns_concurrency
        self._listing = WorkerListing(own.service, needs_listing)
        self._snapshot: Snapshot | None = None
        self._domain_out = False
        self._keyed = KeyedRequests(own)
        self.crashes = CrashTable()
        self.crash_inquiry = CrashInquiry()
        self.admission: Admission | None = None
        self._slowdown_detector = SlowdownDetector()
        self.breaker = CircuitBreaker()
        self._losses = WorkerLosses(self.breaker)
        self._crash_detector = CrashDetector(
            own, self.crashes, self._listing, self._losses
        )
        self.nested = NestedGuard()
        self._pause = PauseGuard()
        self._draining = False
        self._version = 0

    @property
    def homes(self) -> Homes:
        """State of the other homes of the service's keys."""
        return self._keyed.homes

    def configure(self, snapshot: Snapshot, now_ms: float) -> None:
        """Applies the configuration in force."""
        self._version = snapshot.head.version
        self._snapshot = snapshot
        service = snapshot.services.get(self.service)
        if service is None:
            return
        limits = self._effective_limits(service.limits)
        if self.admission is None:
            self.admission = Admission(limits, now_ms, self._learns_concurrency)
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
        """Applies the platform's listing of the backend server.

        Returns:
            Refusals of waiting requests for a service that no longer runs here.
        """
        previous = self._listing.current
        if listing == previous:
            return []
        if listing is None:
            self._listing.current = None
            return []
        is_other_start = self._listing.apply(listing)
        if self._snapshot is None:
            return []
        self.configure(self._snapshot, now_ms)
        if is_other_start:
            self._on_other_start(listing, now_ms)
        elif listing.cold_remaining_ms != previous.cold_remaining_ms:
            self.set_cold_remaining(listing.cold_remaining_ms, now_ms)
        if self.admission is None:
            return []
        others = [c for c in self.admission.waiting if c.service != listing.service]
        for call in others:
            self.admission.cancel(call.request_id)
        return [Refused(call, self._service_refusal(call)) for call in others]

    def _on_other_start(self, listing: Listing, now_ms: float) -> None:
        self.breaker.reset()
        self._forget_worker(now_ms)
        self._losses.forget_suspects()
        self._apply_reset_limit(now_ms)
        self.set_cold_remaining(listing.cold_remaining_ms, now_ms)

    def set_cold_remaining(self, left_ms: float, now_ms: float) -> None:
        """Sets how much longer the backend server stays cold, as it reports."""
        if self.admission is not None and isinstance(
            self.admission.ramp, ColdRateLimiter
        ):
            self.admission.ramp.set_cold_remaining(left_ms, now_ms)

    def assume_cold(self, now_ms: float) -> None:
        """Treats the backend server as cold, since it may have restarted unnoticed."""
        if self.admission is not None:
            self._restart_ramp(now_ms)

    def is_cold(self, now_ms: float) -> bool:
        """Returns whether the backend server is treated as cold."""
        return self.admission is not None and self.admission.ramp.is_cold(now_ms)

    @property
    def is_domain_out(self) -> bool:
        """Whether the gate's failure domain is out of service."""
        return self._domain_out

    def on_worker_down(self, now_ms: float) -> tuple[CrashReport, ...]:
        """Records that the backend server accepts no connections."""
        return self._crash_detector.on_worker_down(self._running, now_ms)

    def find_crash(self, listing: Listing, now_ms: float) -> tuple[CrashReport, ...]:
        """Reports a crash that no request noticed, if a new listing shows one."""
        return self._crash_detector.on_listing(listing, now_ms)

    @property
    def has_abandoned(self) -> bool:
        """Whether requests that were abandoned may have crashed the backend server."""
        return self._losses.has_abandoned

    def on_worker_up(self, now_ms: float) -> None:
        """Records that the backend server accepts connections again."""
        self._listing.is_down = False
        self.breaker.reset()
        self._forget_worker(now_ms)
        self._losses.forget_suspects()
        self.assume_cold(now_ms)

    @property
    def service(self) -> str:
        """The service that the backend server runs."""
        return self._listing.service

    @property
    def instance(self) -> str:
        """Identity of the backend server's current instance, empty if not listed."""
        return self._listing.instance

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
        """Refuses new work for a moment, since the node's view may be old."""
        self._pause.on_pause(now_ms)

    def on_peer_update(self, now_ms: float) -> None:
        """Records that another node has sent its view."""
        self._pause.on_peer_update(now_ms)

    @property
    def is_idle(self) -> bool:
        """Whether nothing runs and nothing waits."""
        return self.admission is None or self.admission.is_idle

    def load(self, now_ms: float) -> Load:
        """Returns the load that is reported to entries."""
        if self.admission is None:
            return Load(capacity=0, accepting=False)
        load = self.admission.load(now_ms)
        if self._listing.refusal() is not None or self.breaker.is_open:
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
            return [Refused(call, self._service_refusal(call))]
        listing_refusal = self._listing.refusal()
        if listing_refusal is not None:
            return [Refused(call, listing_refusal)]
        if call.route_class is RouteClass.AT_MOST_ONCE:
            return self._offer_keyed(call, hosts, now_ms, epoch_ms)
        refusal = self._refusal(call, now_ms)
        if refusal is not None:
            return [Refused(call, refusal)]
        return [*self._keyed.give_up_refused(self._offer(call, now_ms))]

    def _offer(self, call: Call, now_ms: float) -> list[Verdict]:
        """Offers a request to the admission; a due probe may exceed the reset limit."""
        admission = t.cast(Admission, self.admission)
        candidates = (call, *admission.waiting)
        resets = self._losses.resets
        repeatable = all(c.route_class is RouteClass.IDEMPOTENT for c in candidates)
        if not resets.take_probe(len(admission.running), repeatable, now_ms):
            return admission.offer(call, now_ms)
        self._apply_reset_limit(now_ms, probe_slots=1)
        verdicts = admission.offer(call, now_ms)
        self._apply_reset_limit(now_ms)
        return verdicts

    def holds(self, call: Call) -> bool:
        """Returns whether a request with the call's id runs or waits."""
        return self.admission is not None and self.admission.holds(call.request_id)

    def resolve_duplicate(self, call: Call, epoch_ms: float) -> Replayed | Refused:
        """Returns the verdict on a duplicate whose key has settled."""
        known = self._keyed.look_up(call, epoch_ms)
        if isinstance(known, Replayed | Refused):
            return known
        detail = "the first copy did not run"
        return Refused(call, Refusal(ErrorKind.OVERLOADED, detail))

    def cancel(self, call: Call) -> None:
        """Removes a waiting request from the queue."""
        if self.admission is not None:
            self.admission.cancel(call.request_id)

    def expire(self, now_ms: float) -> list[Verdict]:
        """Returns the verdicts that have become due."""
        if self.admission is None:
            return []
        self._losses.judge(self.admission.oldest_started_ms, now_ms)
        self._apply_reset_limit(now_ms)
        return self._keyed.give_up_refused(self.admission.expire(now_ms))

    def on_request_sent(self, call: Call) -> None:
        """Records that an admitted request is being sent to the backend server."""
        self._losses.record_sent(call)

    def on_request_ended(self, call: Call, outcome: Outcome, now_ms: float) -> Ended:
        """Records how an admitted request ended and frees its slot."""
        admission = t.cast(Admission, self.admission)
        if self._listing.is_required:
            self._record_health(call, outcome, now_ms)
        failed = reported_failure(outcome)
        self.nested.on_run_ended(call.request_id, failed, now_ms)
        failure = outcome.kind if isinstance(outcome, Failed) else None
        self._losses.record_end(call, failure, now_ms)
        crashes: tuple[CrashReport, ...] = ()
        match outcome:
            case Answered():
                crashes = self._record_answer(call, outcome, now_ms)
            case Failed(ErrorKind.WORKER_LOST) if self._listing.is_required:
                level = admission.level(call.request_id)
                self._losses.record_loss(call, level, now_ms)
            case Failed(ErrorKind.WORKER_REPLACED):
                self._listing.mark_replaced()
            case Failed(ErrorKind.WORKER_LOST):
                crashes = self._on_worker_lost(call, now_ms)
            case Failed(ErrorKind.WORKER_UNREACHABLE):
                self._forget_worker(now_ms)
                self._restart_ramp(now_ms)
        refusal = None
        if isinstance(outcome, Failed):
            refusal = Refusal(outcome.kind, outcome.detail)
        if call.route_class is RouteClass.AT_MOST_ONCE:
            refusal = self._keyed.settle(call, outcome)
        self._apply_reset_limit(now_ms)
        verdicts = self._keyed.give_up_refused(
            admission.release(call.request_id, now_ms, _is_success(outcome))
        )
        return Ended(tuple(verdicts), crashes, refusal)

    def _record_health(self, call: Call, outcome: Outcome, now_ms: float) -> None:
        match outcome:
            case Answered(failed=failed):
                self.breaker.record_outcome(failed, now_ms)
            case Failed(ErrorKind.DEADLINE_EXCEEDED):
                admission = t.cast(Admission, self.admission)
                if now_ms - admission.started_ms(call.request_id) >= HANG_MS:
                    self.breaker.record_outcome(True, now_ms)
            case Failed(kind) if kind in WORKER_FAULT_KINDS:
                self.breaker.record_outcome(True, now_ms)

    def _offer_keyed(
        self,
        call: Call,
        hosts: t.Collection[HostRecord],
        now_ms: float,
        epoch_ms: float,
    ) -> list[GateVerdict]:
        known = self._keyed.look_up(call, epoch_ms)
        if known is not None:
            return [known]
        refusal = self._home_refusal(call, hosts, now_ms, epoch_ms)
        if refusal is None:
            refusal = self._keyed.reserve(call, epoch_ms)
        if refusal is not None:
            return [Refused(call, refusal)]
        return [*self._keyed.give_up_refused(self._offer(call, now_ms))]

    def _home_refusal(
        self,
        call: Call,
        hosts: t.Collection[HostRecord],
        now_ms: float,
        epoch_ms: float,
    ) -> Refusal | None:
        refusal = self._keyed.home_refusal(call, hosts, epoch_ms)
        if refusal is not None:
            return refusal
        admission = t.cast(Admission, self.admission)
        should_pass_on = (
            admission.is_full_while_cold(now_ms) and len(call.fences) < MAX_COLD_FENCES
        )
        if should_pass_on or not admission.accepting:
            return self._keyed.fence(call, epoch_ms)
        return self._refusal(call, now_ms)

    @property
    def reset_limit(self) -> int | None:
        """Concurrent requests beyond which the worker resets connections, if known."""
        return self._losses.resets.limit

    def _effective_limits(self, limits: Limits, probe_slots: int = 0) -> Limits:
        """Returns the limits with the slots of the listing and of the reset limit.

        A reset limit that no longer binds is dropped.
        """
        slots = self._listing.limit_slots(limits.slots)
        self._losses.resets.drop_limit_from(slots)
        cap = self._losses.resets.cap
        if cap is not None:
            slots = min(slots, cap + probe_slots)
        return msgspec.structs.replace(limits, slots=slots)

    def _apply_reset_limit(self, now_ms: float, probe_slots: int = 0) -> None:
        """Applies a change of the reset limit to the admission."""
        service = self._snapshot and self._snapshot.services.get(self.service)
        if self.admission is None or service is None:
            return
        limits = self._effective_limits(service.limits, probe_slots)
        if limits.slots != self.admission.limits.slots:
            self.admission.configure(limits, self._domain_out, now_ms)

    def _service_refusal(self, call: Call) -> Refusal:
        detail = f"service {call.service!r} does not run here"
        behind = self.admission is None and call.version > self._version
        kind = ErrorKind.VERSION_BEHIND if behind else ErrorKind.NOT_READY
        return Refusal(kind, detail)

    def _refusal(self, call: Call, now_ms: float) -> Refusal | None:
        stale = self._pause.refusal(now_ms) or self.crash_inquiry.refusal(now_ms)
        if stale is not None:
            return stale
        if self.crashes.is_refused(call, now_ms):
            detail = "this request crashed backend servers before"
            return Refusal(ErrorKind.CRASH_SUSPECT, detail)
        is_retryable = call.route_class is RouteClass.IDEMPOTENT
        if not self.breaker.allow_request(is_retryable, call.insists, now_ms):
            detail = "the backend server fails many of its requests"
            return Refusal(ErrorKind.WORKER_FAILING, detail)
        return self.nested.refuse(call.route, now_ms)

    def _record_answer(
        self, call: Call, outcome: Answered, now_ms: float
    ) -> tuple[CrashReport, ...]:
        admission = t.cast(Admission, self.admission)
        crashes = self._crash_detector.on_answer(outcome.instance, now_ms)
        if crashes is not None:
            self._forget_worker(now_ms)
            self._restart_ramp(now_ms)
        started_ms = admission.started_ms(call.request_id)
        level = admission.level(call.request_id)
        self._losses.record_answer(level, started_ms, now_ms)
        self.crashes.record_answer(call, now_ms)
        if call.route_class is RouteClass.IDEMPOTENT:
            self._detect_slowdown(admission, outcome.latency_ms, now_ms)
        return crashes or ()

    def _detect_slowdown(
        self, admission: Admission, latency_ms: float, now_ms: float
    ) -> None:
        ramp = admission.ramp
        if isinstance(ramp, ColdRateLimiter) or ramp.is_cold(now_ms):
            return
        if self._slowdown_detector.observe(latency_ms):
            self._restart_ramp(now_ms)

    def _forget_worker(self, now_ms: float) -> None:
        """Discards what was learned of a backend server that is gone."""
        self._losses.resets.reset()
        if self.admission is not None:
            self.admission.forget_worker(now_ms)

    def _restart_ramp(self, now_ms: float) -> None:
        t.cast(Admission, self.admission).ramp.restart(now_ms)
        self._slowdown_detector.reset()

    def _on_worker_lost(self, call: Call, now_ms: float) -> tuple[CrashReport, ...]:
        crashes = self._crash_detector.on_loss(call, self._running, now_ms)
        if crashes is not None:
            self._restart_ramp(now_ms)
        return crashes or ()

    @property
    def _running(self) -> tuple[Call, ...]:
        return () if self.admission is None else self.admission.running


def _is_success(outcome: Outcome) -> bool:
    return isinstance(outcome, Answered) and not outcome.failed


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
