"""What a request asks of the worker that is chosen for it."""

import dataclasses
import typing as t


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a request asks of a worker.

    Attributes:
        now_ms: the time.
        tried: hosts already tried for this request.
        expects_large_answer: whether a large answer is expected.
        crossing_cost_ms: wait that is worth as much as sending the request's bytes to
            another domain.
        is_retry: whether a worker was asked before.
        is_last: whether no other gate will be asked.
        refused_wait_ms: time until the gate that refused last expects capacity.
        failed: hosts tried whose worker ended the request for another reason than a
            lack of capacity.
    """

    now_ms: float
    tried: t.Collection[str]
    expects_large_answer: bool
    crossing_cost_ms: float
    is_retry: bool
    is_last: bool
    refused_wait_ms: float
    failed: t.Collection[str]


__all__ = ["Demand"]
