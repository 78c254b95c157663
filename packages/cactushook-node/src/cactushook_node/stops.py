"""Keeps requests from outlasting a planned stop of the node."""

import dataclasses

from cactushook import Call
from cactushook import ErrorKind
from cactushook import Refusal
from cactushook import RouteClass
from cactushook.pacing import refuse_unsendable

from . import wire
from .environment import Environment

# Left between the last deadline of a request and the end of the stop, so that answers
# are sent that arrive just before that deadline.
LAST_ANSWERS_MS = 200
# Share of a stop that the node may go on as before.
MAX_LINGER_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class StopTimes:
    """Times of a planned stop, from now on.

    Attributes:
        limit_ms: longest time that it takes.
        linger_ms: how long the node serves as before.
    """

    limit_ms: float
    linger_ms: float


def begin_stop(environment: Environment) -> StopTimes:
    """Bounds the time of requests that arrive from now on, and of the stop.

    The signal may have waited for the event loop as long as its last turn was late.
    """
    settings = environment.settings
    limit_ms = max(0.0, settings.stop_limit_ms - environment.lag.last_ms)
    serving_ms = max(0.0, limit_ms - LAST_ANSWERS_MS)
    environment.board.serving_ends_ms.write(environment.now_ms() + serving_ms)
    return StopTimes(limit_ms, min(settings.linger_ms, MAX_LINGER_SHARE * limit_ms))


def refuse_outlasting(call: Call, environment: Environment) -> Refusal | None:
    """Refuses a request that could still run when the stop ends."""
    ends_ms = environment.board.serving_ends_ms.value
    if call.deadline_ms <= ends_ms:
        return None
    left_ms = max(0.0, ends_ms - environment.now_ms())
    detail = f"the node shuts down in {left_ms:.0f} ms"
    return Refusal(ErrorKind.DRAINING, detail, retry_after_ms=round(left_ms))


def limit_nested(call: Call, environment: Environment) -> Call:
    """Ends a request of running work with the stop, instead of refusing it.

    A refusal would waste the work, which mostly ends earlier than its deadline.
    """
    ends_ms = environment.board.serving_ends_ms.value
    return dataclasses.replace(call, deadline_ms=min(call.deadline_ms, ends_ms))


def refuse_remote(
    call: Call, environment: Environment, run_ms: float, now_ms: float
) -> Refusal | None:
    """Refuses another node's request that this node could not answer in time.

    Keyed requests are not refused here: the gate knows whether a copy has run.

    Args:
        call: the request.
        environment: the node's central object.
        run_ms: time that a run takes.
        now_ms: the time.
    """
    if call.answer_bytes > wire.CHUNK_BYTES:
        send_ms = environment.pacer.wait_ms(0, now_ms)
        refusal = refuse_unsendable(call, send_ms, run_ms, now_ms)
        if refusal is not None:
            return refusal
    if call.route_class is RouteClass.AT_MOST_ONCE:
        return None
    return refuse_outlasting(call, environment)
