"""Forwards the answer of one attempt to the caller."""

import typing as t

import trio
from cactushook import ErrorKind
from cactushook import Load
from cactushook import Refusal
from cactushook import RouteClass
from cactushook.dispatch import SendTo

from .environment import Environment
from .http_messages import Emit
from .http_messages import ReplyChunk
from .http_messages import ReplyEvent
from .http_messages import ReplyRefused
from .http_messages import ReplyStart
from .trace import Trace

# How long after its request's deadline the rest of a started answer is forwarded.
LATE_ANSWER_MS = 300
_SERVER_ERROR = 500
RecordLoad: t.TypeAlias = t.Callable[[str, str, Load, float], None]


class ReplyForwarder:
    """Forwards one attempt's answer to the caller.

    A refusal before the answer's start is stored for the retry decision. A refusal
    after the start is forwarded and truncates the caller's answer. A complete answer
    in which the worker reports a failure is held back if the request is idempotent and
    a retry ratio is set, because another worker may still be tried.

    An answer that has started may end a little after the request's deadline.

    Args:
        record_load: receives the service, the host and the load of the gate.
        step: the attempt.
        environment: the node's central object.
        emit: receives the answer's events.
        trace: records why an answer was truncated.
    """

    def __init__(
        self,
        record_load: RecordLoad,
        step: SendTo,
        environment: Environment,
        emit: Emit,
        trace: Trace,
    ) -> None:
        self.refusal: Refusal | None = None
        self.held_reply: ReplyStart | None = None
        self.sent_bytes = 0
        self.attempt_scope: trio.CancelScope | None = None
        self._record_load = record_load
        self._host = step.host.name
        self._call = step.call
        self._environment = environment
        self._emit = emit
        self._trace = trace
        self._started = False
        self._ended = False

    async def emit(self, event: ReplyEvent) -> None:
        """Forwards, stores or holds back one event of the answer."""
        load = None if isinstance(event, ReplyChunk) else event.load
        if load is not None:
            now_ms = self._environment.now_ms()
            self._record_load(self._call.service, self._host, load, now_ms)
        if isinstance(event, ReplyRefused) and not self._started:
            self.refusal = Refusal(
                event.kind,
                event.detail,
                event.home,
                event.fenced,
                event.retry_after_ms,
            )
            return
        if isinstance(event, ReplyStart) and self._should_hold(event):
            self.held_reply = event
            detail = f"the worker answered {event.status}"
            self.refusal = Refusal(ErrorKind.WORKER_FAILED, detail)
            return
        if not self._started:
            self._started = True
            self.attempt_scope.deadline = self._last_moment_s()
        match event:
            case ReplyRefused(kind, detail):
                self._trace.record_attempt(self._host, Refusal(kind, detail))
                self._trace.outcome = kind.value
            case ReplyStart():
                self.sent_bytes += len(event.body)
            case ReplyChunk(data):
                self.sent_bytes += len(data)
        await self._emit(event)
        self._ended = isinstance(event, ReplyRefused) or event.last

    async def end_late(self) -> Refusal | None:
        """Ends the attempt, whose time is over; truncates an answer that has started.

        Returns:
            The refusal if the answer has not started.
        """
        if not self._started:
            return Refusal(ErrorKind.PEER_LOST, "no answer in time")
        if not self._ended:
            detail = "the answer did not end in time"
            await self.emit(ReplyRefused(ErrorKind.DEADLINE_EXCEEDED, detail))
        return None

    def _last_moment_s(self) -> float:
        """Returns when an answer that has started must end, on trio's clock."""
        remaining_ms = self._call.deadline_ms - self._environment.now_ms()
        return trio.current_time() + (remaining_ms + LATE_ANSWER_MS) / 1_000

    def _should_hold(self, event: ReplyStart) -> bool:
        if event.status < _SERVER_ERROR or not event.last:
            return False
        idempotent = self._call.route_class is RouteClass.IDEMPOTENT
        return idempotent and self._environment.settings.retry.ratio > 0
