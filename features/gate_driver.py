"""Fixtures that drive one gate in virtual time."""

import dataclasses
import heapq
import itertools

from cactushook import Admission
from cactushook import Admitted
from cactushook import Call
from cactushook import Limits
from cactushook import Refused
from cactushook import RouteClass

START_MS = 60_000.0
DEADLINE_MS = 1_000.0
ids = itertools.count()


def request(now_ms, objective_ms=400.0, **fields):
    """Returns a request with an id of its own."""
    return Call(
        f"q{next(ids)}",
        "s",
        RouteClass.IDEMPOTENT,
        now_ms + fields.pop("left_ms", DEADLINE_MS),
        1,
        objective_ms=now_ms + objective_ms,
        **fields,
    )


@dataclasses.dataclass
class GateDriver:
    """Drives one gate in virtual time; each admitted request runs for `service_ms`."""

    gate: Admission
    service_ms: float
    now_ms: float = START_MS

    def __post_init__(self):
        self.ends = []
        self.arrived_ms = {}
        self.started_ms = {}
        self.refused = {}
        for _ in range(60):
            self.offer()
            self.advance(self.now_ms + self.service_ms)
        self.started_ms.clear()
        self.arrived_ms.clear()

    def offer(self, **fields):
        """Offers a request now and returns the verdict on it."""
        call = request(self.now_ms, **fields)
        self.arrived_ms[call.request_id] = self.now_ms
        verdicts = self.gate.offer(call, self.now_ms)
        self.settle(verdicts)
        return verdicts[-1]

    def advance(self, until_ms, step_ms=5.0):
        """Lets time pass; requests end and the queue is served."""
        while self.now_ms < until_ms:
            self.now_ms = min(until_ms, self.now_ms + step_ms)
            while self.ends and self.ends[0][0] <= self.now_ms:
                _, name = heapq.heappop(self.ends)
                self.settle(self.gate.release(name, self.now_ms))
            self.settle(self.gate.expire(self.now_ms))

    def settle(self, verdicts):
        """Records the verdicts of the gate."""
        for verdict in verdicts:
            name = verdict.call.request_id
            if isinstance(verdict, Admitted):
                self.started_ms[name] = self.now_ms
                heapq.heappush(self.ends, (self.now_ms + self.service_ms, name))
            elif isinstance(verdict, Refused):
                self.refused[name] = (self.now_ms, verdict.refusal)


def limits(slots, queue=200, **fields):
    """Returns the limits of a worker."""
    return Limits(
        slots=slots,
        connections=200,
        queue_length=queue,
        queue_timeout_ms=600_000,
        ramp_ms=1,
        **fields,
    )
