"""Decides whether a request leaves its entry's failure domain.

See ``docs/design/spill-over.md``.
"""

import dataclasses
import typing as t

from .calls import Load

# A domain's wait counts as unknown when the latest report is older.
WAIT_TTL_MS = 5_000.0
# At most one request per domain and interval leaves to learn a wait that is unknown.
PROBE_INTERVAL_MS = 5_000.0
# A report replaces the mean completely after this time without reports.
SMOOTHING_MS = 2_000.0
# Lowest weight of a report: a single worker says little about its domain.
MIN_REPORT_WEIGHT = 0.2
# A wait in another domain counts this many times: a request that queues there also
# delays or displaces the requests of that domain.
OTHER_WAIT_WEIGHT = 2.0
_BYTES_PER_KIB = 1_024


@dataclasses.dataclass(frozen=True, slots=True)
class Outlook:
    """What is expected of one failure domain.

    Attributes:
        domain: name of the domain.
        wait_ms: how long a request is expected to wait there; None if it is not known.
        may_probe: whether a request may go there to learn the wait.
    """

    domain: str
    wait_ms: float | None
    may_probe: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Stay:
    """The request is served in its domain, or refused."""


@dataclasses.dataclass(frozen=True, slots=True)
class Leave:
    """The request goes to another domain.

    Attributes:
        domain: name of the domain.
        is_probe: whether it goes to learn the wait there.
    """

    domain: str
    is_probe: bool = False


Decision: t.TypeAlias = Stay | Leave


def crossing_cost_ms(
    body_bytes: int, answer_bytes: int, cross_domain_ms_per_kib: float
) -> float:
    """Returns the wait that a request accepts before its bytes cross domains.

    Args:
        body_bytes: length of the request's body.
        answer_bytes: expected length of the answer; 0 if it is not known.
        cross_domain_ms_per_kib: price of a KiB between domains.
    """
    return (body_bytes + answer_bytes) / _BYTES_PER_KIB * cross_domain_ms_per_kib


def slot_wait_ms(requests: int, capacity: int, service_ms: float) -> float:
    """Returns how long one more request waits for a slot of a worker.

    Args:
        requests: requests that run or wait there.
        capacity: slots of the worker.
        service_ms: time that a request takes.
    """
    excess = requests + 1 - max(1, capacity)
    return max(0, excess) / max(1, capacity) * service_ms


def decide(
    own_wait_ms: float,
    others: t.Sequence[Outlook],
    cost_ms: float,
    draw: float | None,
) -> Decision:
    """Decides where a request goes whose domain has workers.

    The share of requests that leave grows from 0, where the shorter wait just pays for
    the bytes, to 1. Entries that see the same loads therefore do not leave together. A
    domain of unknown wait counts as average, which is no gain.

    Args:
        own_wait_ms: expected wait in the own domain.
        others: the other domains.
        cost_ms: the wait that the bytes are worth.
        draw: uniform random number of [0, 1); None after a refusal, when every gain
            above the cost counts and no request leaves just to learn a wait.
    """
    best: Outlook | None = None
    best_gain_ms = cost_ms
    for other in others:
        if other.wait_ms is None:
            continue
        gain_ms = own_wait_ms - OTHER_WAIT_WEIGHT * other.wait_ms
        if gain_ms > best_gain_ms:
            best, best_gain_ms = other, gain_ms
    if best is not None:
        leaves = draw is None or draw < 1 - cost_ms / best_gain_ms
        return Leave(best.domain) if leaves else Stay()
    if draw is not None and own_wait_ms > cost_ms:
        for other in others:
            if other.wait_ms is None and other.may_probe:
                return Leave(other.domain, is_probe=True)
    return Stay()


@dataclasses.dataclass(slots=True)
class _DomainWait:
    slot_ms: float = 0.0
    send_ms: float = 0.0
    reported_ms: float | None = None
    probed_ms: float | None = None


class DomainWaits:
    """Keeps the mean waits that the gates of each service and domain report."""

    def __init__(self) -> None:
        self._waits: dict[tuple[str, str], _DomainWait] = {}

    def record(
        self, service: str, domain: str, load: Load, service_ms: float, now_ms: float
    ) -> None:
        """Records one gate's report."""
        wait = self._get_wait(service, domain)
        weight = 1.0
        if wait.reported_ms is not None:
            share = (now_ms - wait.reported_ms) / SMOOTHING_MS
            weight = max(MIN_REPORT_WEIGHT, min(1.0, share))
        slot_ms = slot_wait_ms(load.running + load.queued, load.capacity, service_ms)
        wait.slot_ms += weight * (slot_ms - wait.slot_ms)
        wait.send_ms += weight * (load.send_ms - wait.send_ms)
        wait.reported_ms = now_ms

    def record_probe(self, service: str, domain: str, now_ms: float) -> None:
        """Records that a request leaves to learn a domain's wait."""
        self._get_wait(service, domain).probed_ms = now_ms

    def outlook(
        self, service: str, domain: str, expects_large_answer: bool, now_ms: float
    ) -> Outlook:
        """Returns what is expected of a domain.

        For a large answer the wait for a host's link counts too.
        """
        wait = self._waits.get((service, domain))
        if wait is None:
            return Outlook(domain, None, may_probe=True)
        if wait.reported_ms is None or now_ms - wait.reported_ms > WAIT_TTL_MS:
            may_probe = (
                wait.probed_ms is None or now_ms - wait.probed_ms >= PROBE_INTERVAL_MS
            )
            return Outlook(domain, None, may_probe)
        send_ms = wait.send_ms if expects_large_answer else 0.0
        return Outlook(domain, wait.slot_ms + send_ms)

    def _get_wait(self, service: str, domain: str) -> _DomainWait:
        return self._waits.setdefault((service, domain), _DomainWait())


__all__ = [
    "Decision",
    "DomainWaits",
    "Leave",
    "Outlook",
    "Stay",
    "crossing_cost_ms",
    "decide",
    "slot_wait_ms",
]
