"""Converts calls to messages between nodes, and back."""

from cactushook import Call
from cactushook import RouteClass

from . import wire
from .http_messages import WorkerRequest


def call_to_message(
    stream_id: int, call: Call, request: WorkerRequest, now_ms: float
) -> wire.Message:
    """Converts a call to a message; sends deadlines as remaining time."""
    return wire.CallMessage(
        stream_id=stream_id,
        request_id=call.request_id,
        service_name=call.service,
        route_class=call.route_class.value,
        method=request.method,
        target=request.target,
        headers=[wire.Header(name, value) for name, value in request.headers],
        body=request.body,
        timeout_ms=max(0, int(call.deadline_ms - now_ms)),
        version=call.version,
        attempts_left=call.attempts_left,
        hops=call.hops,
        key=call.key,
        key_issued_ms=int(call.key_issued_ms),
        resend_window_ms=int(call.resend_window_ms),
        fingerprint=call.fingerprint,
        variant=call.variant,
        fences=list(call.fences),
        objective_ms=min(wire.MAX_WIRE_MS, int(call.objective_ms - now_ms)),
        priority=call.priority,
        nested=call.nested,
        resent=call.resent,
        insists=call.insists,
        answer_bytes=call.answer_bytes,
        may_wait=call.may_wait,
        route=call.route,
    )


def call_from_message(message: wire.Message, now_ms: float) -> Call:
    """Converts a message to a call with deadlines on this node's clock.

    Raises:
        ValueError: the route class is not known.
    """
    return Call(
        request_id=message.request_id,
        service=message.service_name,
        route_class=RouteClass(message.route_class),
        deadline_ms=now_ms + message.timeout_ms,
        version=message.version,
        attempts_left=message.attempts_left,
        hops=message.hops,
        key=message.key,
        key_issued_ms=message.key_issued_ms,
        resend_window_ms=message.resend_window_ms,
        fingerprint=message.fingerprint,
        variant=message.variant,
        fences=tuple(message.fences),
        objective_ms=now_ms + message.objective_ms,
        priority=message.priority,
        nested=message.nested,
        resent=message.resent,
        insists=message.insists,
        answer_bytes=message.answer_bytes,
        may_wait=message.may_wait,
        route=message.route,
    )
