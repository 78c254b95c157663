"""Creates the object that decides on the attempts of one request."""

from cactushook import Call
from cactushook import Router
from cactushook.answer_sizes import LARGE_ANSWER_BYTES
from cactushook.dispatch import Dispatch
from cactushook.dispatch import dispatch
from cactushook.dispatch import KeyedDispatch
from cactushook.retries import Budget
from cactushook.spill import crossing_cost_ms

from .environment import Environment
from .http_messages import WorkerRequest


def create_dispatch(
    call: Call,
    request: WorkerRequest,
    router: Router,
    budget: Budget,
    environment: Environment,
) -> Dispatch | KeyedDispatch:
    """Returns the decisions on one request, by the node's present settings."""
    settings = environment.settings
    ms_per_kib = settings.routing.cross_domain_ms_per_kib
    return dispatch(
        call,
        router,
        budget,
        settings.retry.redirects,
        expects_large_answer=call.answer_bytes > LARGE_ANSWER_BYTES,
        crossing_cost_ms=crossing_cost_ms(
            len(request.body), call.answer_bytes, ms_per_kib
        ),
    )


__all__ = ["create_dispatch"]
