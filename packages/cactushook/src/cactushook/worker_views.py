"""An entry's knowledge of workers: their loads, and which of them are in doubt."""

import dataclasses
import random
import typing as t

from .calls import Load
from .demand import Demand
from .exceptions import ErrorKind
from .nodes import HostRecord
from .silence import SilentPeers

LOAD_TTL_MS = 2_000
# A wait of this length for a host's link counts as much as all slots of its worker.
SEND_SCALE_MS = 250.0
UNKNOWN_CAPACITY = 10
# Workers of a larger service are compared in random samples of this size.
SAMPLE_HOSTS = 16
# Weight of the latest report in the means of all workers' loads.
MEAN_WEIGHT = 0.05

# How long a worker is passed over after a refusal or failure. An overload says little
# about the next second; a worker that stops does not return soon.
AVOID_MS: t.Mapping[ErrorKind, float] = {
    ErrorKind.OVERLOADED: 50,
    ErrorKind.COLD_START: 50,
    ErrorKind.QUEUE_TIMEOUT: 50,
    ErrorKind.VERSION_BEHIND: 200,
    ErrorKind.NOT_READY: 500,
    ErrorKind.WORKER_UNREACHABLE: 500,
    ErrorKind.WORKER_LOST: 500,
    ErrorKind.PEER_UNREACHABLE: 1_000,
    ErrorKind.PEER_LOST: 1_000,
    ErrorKind.DRAINING: 2_000,
    ErrorKind.WORKER_REJECTED: 50,
    ErrorKind.WORKER_REPLACED: 500,
    ErrorKind.WORKER_UNKNOWN: 500,
    ErrorKind.WORKER_FAILED: 20,
    ErrorKind.WORKER_FAILING: 500,
    ErrorKind.ANSWER_INVALID: 20,
    ErrorKind.DOMAIN_OUT: 2_000,
}

# Refusals that show a lack of capacity; the worker itself is up.
CAPACITY_KINDS = frozenset(
    (
        ErrorKind.OVERLOADED,
        ErrorKind.COLD_START,
        ErrorKind.QUEUE_TIMEOUT,
        ErrorKind.WORKER_REJECTED,
    )
)


@dataclasses.dataclass(slots=True)
class WorkerView:
    """An entry's knowledge of one worker."""

    service: str = ""
    domain: str = ""
    load: Load | None = None
    load_received_ms: float = 0.0
    sent_since_load: int = 0
    in_flight: int = 0
    avoid_until_ms: float = 0.0
    down_until_ms: float = 0.0
    service_ms: float = 0.0


class WorkerViews:
    """Holds what an entry knows of the workers of all services.

    Args:
        rng: source of randomness.
        silent_peers: nodes that do not respond.
    """

    def __init__(self, rng: random.Random, silent_peers: SilentPeers) -> None:
        self.silent_peers = silent_peers
        self.mean_service_ms = 1.0
        self.mean_ratio = 0.0
        self._rng = rng
        self._workers: dict[str, WorkerView] = {}
        self._domain_until_ms: dict[str, float] = {}

    def find(self, host: str) -> WorkerView | None:
        """Returns what is known of a host's worker, or None."""
        return self._workers.get(host)

    def find_fresh(self, host: str, now_ms: float) -> WorkerView | None:
        """Returns what is known of a worker that has reported its load lately."""
        worker = self._workers.get(host)
        if worker is None or worker.load is None or not _is_fresh(worker, now_ms):
            return None
        return worker

    def get(self, host: str) -> WorkerView:
        """Returns what is known of a host's worker, from now on if nothing is."""
        return self._workers.setdefault(host, WorkerView())

    def avoided_until_ms(self, host: HostRecord, now_ms: float) -> tuple[float, float]:
        """Returns until when a host's domain and the host itself are passed over."""
        return (
            max(now_ms, self._domain_until_ms.get(host.domain, 0.0)),
            max(now_ms, self.get(host.name).avoid_until_ms),
        )

    def record_load(self, host: str, load: Load, now_ms: float) -> None:
        """Records the load that came with an answer."""
        worker = self.get(host)
        worker.load = load
        worker.load_received_ms = now_ms
        worker.sent_since_load = 0
        if load.service_ms:
            worker.service_ms = load.service_ms
            change_ms = load.service_ms - self.mean_service_ms
            self.mean_service_ms += MEAN_WEIGHT * change_ms
        ratio = (load.running + load.queued) / max(1, load.capacity)
        self.mean_ratio += MEAN_WEIGHT * (ratio - self.mean_ratio)

    def avoid(self, host: HostRecord, kind: ErrorKind, now_ms: float) -> None:
        """Passes a worker over for a while after a refusal or failure.

        A domain that is out is passed over as a whole.
        """
        worker = self.get(host.name)
        until_ms = now_ms + AVOID_MS.get(kind, 0)
        if kind is ErrorKind.DOMAIN_OUT:
            self._domain_until_ms[host.domain] = until_ms
        worker.avoid_until_ms = max(worker.avoid_until_ms, until_ms)
        if kind not in CAPACITY_KINDS:
            worker.down_until_ms = max(worker.down_until_ms, until_ms)

    def on_request_sent(self, host: str) -> None:
        """Counts a request sent to a worker."""
        worker = self.get(host)
        worker.in_flight += 1
        worker.sent_since_load += 1

    def on_request_ended(self, host: str) -> None:
        """Counts a request as ended."""
        worker = self.get(host)
        worker.in_flight = max(0, worker.in_flight - 1)

    def doubt_reason(self, host: HostRecord, now_ms: float) -> str:
        """Returns why a host gets requests only if no other is left; or empty text."""
        if self.silent_peers.is_silent(host.address):
            return "does not respond"
        if self._domain_until_ms.get(host.domain, 0.0) > now_ms:
            return "its failure domain refused recently"
        worker = self._workers.get(host.name)
        if worker is None:
            return ""
        if worker.avoid_until_ms > now_ms:
            return "refused recently"
        load = worker.load
        if load is not None and not load.accepting and _is_fresh(worker, now_ms):
            return "does not accept work"
        return ""

    def is_up(self, host: HostRecord, now_ms: float) -> bool:
        """Returns whether a host's worker takes requests, even if it is full."""
        if (
            self.silent_peers.is_silent(host.address)
            or self._domain_until_ms.get(host.domain, 0.0) > now_ms
        ):
            return False
        worker = self._workers.get(host.name)
        if worker is None:
            return True
        if worker.down_until_ms > now_ms:
            return False
        is_fresh = worker.load is not None and _is_fresh(worker, now_ms)
        return not is_fresh or worker.load.accepting

    def is_usable(self, host: HostRecord, demand: Demand) -> bool:
        """Returns whether a request may go to a host that was not tried for it."""
        return host.name not in demand.tried and not self.doubt_reason(
            host, demand.now_ms
        )

    def usable_sample(
        self, hosts: t.Sequence[HostRecord], demand: Demand
    ) -> list[HostRecord]:
        """Returns the usable hosts of a random sample, or of all if that has none."""
        if len(hosts) > SAMPLE_HOSTS:
            sample = self._rng.sample(hosts, SAMPLE_HOSTS)
            usable = [host for host in sample if self.is_usable(host, demand)]
            if usable:
                return usable
        return [host for host in hosts if self.is_usable(host, demand)]

    def load_ratio(
        self, host: HostRecord, now_ms: float, expects_large_answer: bool = False
    ) -> float:
        """Returns the share of usable slots taken if one more request is sent.

        For a large answer the wait for the host's link counts too.
        """
        worker = self._workers.get(host.name)
        if worker is None:
            return 1 / UNKNOWN_CAPACITY
        if worker.load is None or not _is_fresh(worker, now_ms):
            return (worker.in_flight + 1) / UNKNOWN_CAPACITY
        load = worker.load
        reported = load.running + load.queued + worker.sent_since_load
        ratio = (max(worker.in_flight, reported) + 1) / max(1, load.capacity)
        return ratio + load.send_ms / SEND_SCALE_MS if expects_large_answer else ratio


def _is_fresh(worker: WorkerView, now_ms: float) -> bool:
    return now_ms - worker.load_received_ms <= LOAD_TTL_MS


__all__ = ["AVOID_MS", "CAPACITY_KINDS", "WorkerView", "WorkerViews"]
