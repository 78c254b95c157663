"""Orders requests that compete for a worker's slots."""

from .calls import Call
from .nodes import RouteClass

# Classes in the order in which they are displaced from a full queue.
SHEDDING_ORDER = (
    RouteClass.BULK,
    RouteClass.IDEMPOTENT,
    RouteClass.NON_IDEMPOTENT,
    RouteClass.AT_MOST_ONCE,
)

_SHEDDING_RANK = {route_class: rank for rank, route_class in enumerate(SHEDDING_ORDER)}


def urgency(call: Call) -> tuple[bool, int, int]:
    """Returns a sort key that is smaller for requests that run first.

    Nested requests come first, since their parents hold slots until they are answered.
    """
    return not call.nested, call.priority, -_SHEDDING_RANK[call.route_class]


__all__ = ["SHEDDING_ORDER", "urgency"]
