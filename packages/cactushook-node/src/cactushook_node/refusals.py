"""Refusals of the entry, and the time after which a caller may retry."""

from cactushook import ErrorKind
from cactushook import Refusal

from .environment import Environment
from .trace import Trace

MIN_RETRY_AFTER_MS = 100
# Share of a caller's remaining time. With the random spread of up to 1.3, the caller
# waits for at most a third of that time.
RETRY_AFTER_SHARE = 0.25


def retry_after_ms(refusal: Refusal, trace: Trace, environment: Environment) -> int:
    """Returns the time until capacity is expected, with a random spread.

    A quota tells when there will be a token, and gives each caller a time of its own.
    """
    if refusal.kind is ErrorKind.OVER_QUOTA:
        return refusal.retry_after_ms
    wait_ms = max(MIN_RETRY_AFTER_MS, refusal.retry_after_ms)
    remaining_ms = trace.remaining_ms(environment.now_ms())
    wait_ms = min(wait_ms, RETRY_AFTER_SHARE * remaining_ms)
    return max(1, round(wait_ms * environment.rng.uniform(0.7, 1.3)))


__all__ = ["retry_after_ms"]
