"""Counts what an entry sends to and gets from other failure domains."""

from cactushook.dispatch import SendTo

from .environment import Environment
from .http_messages import WorkerRequest
from .reply_forwarder import ReplyForwarder
from .trace import Trace


def record_crossing(
    step: SendTo,
    request: WorkerRequest,
    forwarder: ReplyForwarder,
    environment: Environment,
    trace: Trace,
) -> None:
    """Counts an attempt that has ended, if it left the entry's failure domain.

    Args:
        step: the attempt.
        request: what was sent.
        forwarder: what was received.
        environment: the node's central object.
        trace: the request's log line.
    """
    if step.host.domain == environment.settings.domain:
        return
    metrics = environment.metrics
    metrics.crossings.inc()
    metrics.crossing_bytes.labels("request").inc(len(request.body))
    metrics.crossing_bytes.labels("answer").inc(forwarder.sent_bytes)
    trace.record_crossing(len(request.body) + forwarder.sent_bytes)


__all__ = ["record_crossing"]
