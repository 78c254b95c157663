"""Collects the fields of the entry's log line for a request."""

from cactushook import Call
from cactushook import ERROR_RESPONSES
from cactushook import ErrorKind
from cactushook import Ran
from cactushook import Refusal
from cactushook import RequestError
from cactushook.snapshot import BoundRoute

from .logs import EventLog
from .logs import MAX_REQUEST_ID_CHARACTERS
from .logs import OUTCOME_ANSWERED

_LOGGED_REASONS = (ErrorKind.UNAUTHENTICATED, ErrorKind.CONFIG_UNCONFIRMED)


class Trace:
    """Collects the fields of one request's log line.

    Args:
        request_id: identifier of the request.
        started_ms: arrival time on the node's clock.
        version: configuration version in force.

    Attributes:
        outcome: how the request ended.
        request_id: identifier of the request, shortened.
        may_have_run: whether an attempt may have run the request.
        route: path of the route.
    """

    def __init__(self, request_id: str, started_ms: float, version: int = 0) -> None:
        self.outcome = ErrorKind.CANCELLED.value
        self.request_id = request_id[:MAX_REQUEST_ID_CHARACTERS]
        self.may_have_run = False
        self._started_ms = started_ms
        self.route = ""
        # Whether the answer that the caller got reports a failure of the worker.
        self.has_failed = False
        self.service = ""
        self._version = version
        self._reason = ""
        self._deadline_ms = 0.0
        self._caller_deadline_ms: float | None = None
        self._attempts: list[str] = []
        self._crossed_bytes = 0

    def record_caller_timeout(self, timeout_ms: float) -> None:
        """Records how long the caller waits, which may be longer than the route."""
        self._caller_deadline_ms = self._started_ms + timeout_ms

    def record_route(self, bound: BoundRoute, call: Call) -> None:
        """Records the request's route, service, configuration version and deadline."""
        self.route = bound.route.path
        self.service = call.service
        self._version = call.version
        self._deadline_ms = call.deadline_ms

    def record_error(self, error: RequestError) -> None:
        """Records why the request gets no worker's answer.

        Only messages that quote nothing of the request are logged.
        """
        self.outcome = error.kind.value
        if error.kind in _LOGGED_REASONS:
            self._reason = error.message

    def record_attempt(self, host: str, refusal: Refusal | None) -> None:
        """Records one attempt and how it ended."""
        kind = OUTCOME_ANSWERED if refusal is None else refusal.kind.value
        self._attempts.append(f"{host}:{kind}")
        did_not_run = (
            refusal is not None and ERROR_RESPONSES[refusal.kind].ran is Ran.NO
        )
        self.may_have_run |= not did_not_run

    def record_crossing(self, size_bytes: int) -> None:
        """Records bytes of bodies that crossed between failure domains."""
        self._crossed_bytes += size_bytes

    def remaining_ms(self, now_ms: float) -> float:
        """Returns the time until the caller stops waiting, at least 0.

        If the caller did not say how long it waits, the request's deadline counts.
        """
        deadline_ms = self._caller_deadline_ms
        if deadline_ms is None:
            deadline_ms = self._deadline_ms
        return max(0.0, deadline_ms - now_ms)

    def log(self, log: EventLog, now_ms: float) -> None:
        """Writes the line."""
        log.log_request(
            "request_ended",
            self.outcome == OUTCOME_ANSWERED,
            request_id=self.request_id,
            route=self.route,
            service=self.service,
            routed_version=self._version,
            attempts=self._attempts,
            crossed_bytes=self._crossed_bytes,
            outcome=self.outcome,
            **({"reason": self._reason} if self._reason else {}),
            took_ms=round(now_ms - self._started_ms, 1),
            timeout_ms=round(max(0.0, self._deadline_ms - self._started_ms)),
        )
