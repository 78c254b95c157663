"""Measures where requests wait when many small workers share a load.

Plays one service in virtual time with the product's router, dispatch and admission:
every host has an entry and a gate, requests arrive at all entries at random, and gates
report their load with their answers. Compares waiting at the first gate asked, waiting
only at the last one, and a single queue for all workers.

Run: ``python -m bench.placement [WORKERS ...]``.
"""

import collections
import dataclasses
import heapq
import itertools
import math
import random
import sys
import typing as t

from cactushook import Admission
from cactushook import Admitted
from cactushook import Call
from cactushook import EMPTY_SNAPSHOT
from cactushook import HostRecord
from cactushook import Limits
from cactushook import Refused
from cactushook import RouteClass
from cactushook import Router
from cactushook.dispatch import Dispatch
from cactushook.dispatch import Refuse
from cactushook.dispatch import RoutingView
from cactushook.exceptions import ErrorKind

SEED = 5
SIZES = (12, 162, 1_000)
LOADS = (0.45, 0.6, 0.8, 0.95)
DOMAINS = 5
SLOTS = 3
SPEEDS = (0.7, 0.7, 1.6)
MEAN_WORK_MS = 330.0
WORK_SPREAD = 0.8
OBJECTIVE_MS = 800.0
TIMEOUT_MS = 1_200.0
NEAR_MS = 0.3
FAR_MS = 1.8
REQUESTS = 20_000
WARM_REQUESTS = 2_000
SERVICE = "s"


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """How the requests of one run ended.

    Attributes:
        in_time: share answered within the objective.
        answered: share answered within the timeout.
        p99_wait_ms: 99th percentile of the time until an answered request started.
        asked: gates asked per request.
        far: share of answered requests that ran in another failure domain.
    """

    in_time: float
    answered: float
    p99_wait_ms: float
    asked: float
    far: float


@dataclasses.dataclass(slots=True)
class _Request:
    arrived_ms: float
    work_ms: float
    entry: int
    dispatch: Dispatch | None = None
    asked: int = 0
    started_ms: float = math.nan
    ended_ms: float = math.inf
    host: int = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """How requests find a worker.

    Attributes:
        redirects: gates asked after a refusal.
        waits_at_first: whether the first gate may let a request wait.
        shares_queue: whether one queue serves all workers.
    """

    redirects: int = 0
    waits_at_first: bool = False
    shares_queue: bool = False


class NoBudget:
    """Grants no retry, so that only gates that sent nothing are asked again."""

    def record_request(self) -> None:
        """Counts nothing."""

    def spend(self, kind: ErrorKind | None = None) -> bool:
        """Grants no retry."""
        return False


class World:
    """One service whose workers run requests in virtual time.

    Args:
        size: number of workers.
        load: share of the workers' slots that the requests need.
        policy: how the requests find a worker.
    """

    def __init__(self, size: int, load: float, policy: Policy) -> None:
        self._rng = random.Random(SEED)
        self._size = size
        self._policy = policy
        self._events: list[tuple[float, int, t.Callable[..., None], tuple]] = []
        self._order = itertools.count()
        self._now_ms = 0.0
        speed = sum(1 / x for x in SPEEDS) / len(SPEEDS)
        self._gap_ms = MEAN_WORK_MS / (size * SLOTS * speed * load)
        limits = Limits(
            slots=SLOTS,
            connections=200,
            queue_length=200,
            queue_timeout_ms=600_000,
            ramp_ms=1,
        )
        self._hosts = tuple(
            HostRecord(
                name=f"h{index}",
                address=str(index),
                domain=f"d{index % DOMAINS}",
                region="r",
                service=SERVICE,
            )
            for index in range(size)
        )
        self._gates = [Admission(limits, -10_000.0) for _ in self._hosts]
        self._routers = [
            Router(host.domain, "r", random.Random(index), host.name)
            for index, host in enumerate(self._hosts)
        ]
        self._view = RoutingView(EMPTY_SNAPSHOT, self._hosts)
        self._requests: dict[str, _Request] = {}
        self._shared_queue: collections.deque[str] = collections.deque()
        self._free_slots = [index for index in range(size) for _ in range(SLOTS)]

    def run(self) -> Result:
        """Plays all requests and returns how they ended."""
        count = REQUESTS + WARM_REQUESTS
        at_ms = 0.0
        for number in range(count):
            at_ms += self._rng.expovariate(1 / self._gap_ms)
            self._at(at_ms, self._arrive, f"q{number}")
        tick_ms = 25.0
        for index in range(int(at_ms / tick_ms) + 100):
            self._at(index * tick_ms, self._expire)
        while self._events:
            self._now_ms, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)
        return self._summarize(list(self._requests.values())[WARM_REQUESTS:])

    def _at(self, at_ms: float, function: t.Callable[..., None], *arguments) -> None:
        entry = (at_ms, next(self._order), function, arguments)
        heapq.heappush(self._events, entry)

    def _arrive(self, name: str) -> None:
        rng = self._rng
        sigma = math.sqrt(math.log(1 + WORK_SPREAD**2))
        work_ms = MEAN_WORK_MS * rng.lognormvariate(-sigma * sigma / 2, sigma)
        request = _Request(self._now_ms, work_ms, rng.randrange(self._size))
        self._requests[name] = request
        if self._policy.shares_queue:
            self._shared_queue.append(name)
            self._serve_shared_queue()
            return
        call = Call(
            name,
            SERVICE,
            RouteClass.IDEMPOTENT,
            self._now_ms + TIMEOUT_MS,
            1,
            attempts_left=3,
            objective_ms=self._now_ms + OBJECTIVE_MS,
        )
        router = self._routers[request.entry]
        redirects = self._policy.redirects
        request.dispatch = Dispatch(call, router, NoBudget(), redirects)
        self._follow(name, request.dispatch.first_step(self._view, self._now_ms))

    def _follow(self, name: str, step: t.Any) -> None:
        if isinstance(step, Refuse):
            return
        request = self._requests[name]
        request.asked += 1
        host = int(step.host.address)
        self._routers[request.entry].on_request_sent(step.host.name)
        delay_ms = self._delay_ms(request.entry, host)
        call = step.call
        if self._policy.waits_at_first:
            call = dataclasses.replace(call, may_wait=True)
        self._at(self._now_ms + delay_ms, self._offer, host, call)

    def _delay_ms(self, entry: int, host: int) -> float:
        return NEAR_MS if entry % DOMAINS == host % DOMAINS else FAR_MS

    def _offer(self, host: int, call: Call) -> None:
        self._settle(host, self._gates[host].offer(call, self._now_ms))

    def _expire(self) -> None:
        for host, gate in enumerate(self._gates):
            if gate.waiting:
                self._settle(host, gate.expire(self._now_ms))

    def _settle(self, host: int, verdicts: t.Iterable[t.Any]) -> None:
        for verdict in verdicts:
            name = verdict.call.request_id
            request = self._requests[name]
            if isinstance(verdict, Admitted):
                self._start(name, host)
            elif isinstance(verdict, Refused):
                delay_ms = self._delay_ms(request.entry, host)
                load = self._gates[host].load(self._now_ms)
                back_ms = self._now_ms + delay_ms
                self._at(back_ms, self._refused, name, host, verdict.refusal, load)

    def _start(self, name: str, host: int) -> None:
        request = self._requests[name]
        request.host = host
        request.started_ms = self._now_ms
        run_ms = request.work_ms * SPEEDS[host % len(SPEEDS)]
        left_ms = request.arrived_ms + TIMEOUT_MS - self._now_ms
        is_late = run_ms > left_ms
        self._at(self._now_ms + min(run_ms, left_ms), self._end, name, host, is_late)

    def _end(self, name: str, host: int, is_late: bool) -> None:
        request = self._requests[name]
        if not is_late:
            request.ended_ms = self._now_ms
        if self._policy.shares_queue:
            self._free_slots.append(host)
            self._serve_shared_queue()
            return
        gate = self._gates[host]
        self._settle(host, gate.release(name, self._now_ms))
        delay_ms = self._delay_ms(request.entry, host)
        load = gate.load(self._now_ms)
        self._at(self._now_ms + delay_ms, self._answered, request.entry, host, load)

    def _answered(self, entry: int, host: int, load: t.Any) -> None:
        router = self._routers[entry]
        router.record_load(self._hosts[host].name, load, self._now_ms)
        router.on_request_ended(self._hosts[host].name)

    def _refused(self, name: str, host: int, refusal: t.Any, load: t.Any) -> None:
        request = self._requests[name]
        self._answered(request.entry, host, load)
        dispatch = t.cast(Dispatch, request.dispatch)
        step = dispatch.step_after_refusal(refusal, self._view, self._now_ms)
        self._follow(name, step)

    def _serve_shared_queue(self) -> None:
        while self._shared_queue and self._free_slots:
            name = self._shared_queue.popleft()
            left_ms = self._requests[name].arrived_ms + OBJECTIVE_MS - self._now_ms
            if left_ms <= MEAN_WORK_MS:
                continue
            index = self._rng.randrange(len(self._free_slots))
            host = self._free_slots.pop(index)
            self._requests[name].asked = 1
            self._start(name, host)

    def _summarize(self, requests: t.Sequence[_Request]) -> Result:
        ended = [r for r in requests if r.ended_ms < math.inf]
        times_ms = [r.ended_ms - r.arrived_ms for r in ended]
        waits_ms = sorted(r.started_ms - r.arrived_ms for r in ended)
        far = sum(r.entry % DOMAINS != r.host % DOMAINS for r in ended)
        return Result(
            in_time=sum(time_ms <= OBJECTIVE_MS for time_ms in times_ms)
            / len(requests),
            answered=len(ended) / len(requests),
            p99_wait_ms=waits_ms[int(0.99 * len(waits_ms))],
            asked=sum(r.asked for r in requests) / len(requests),
            far=far / len(ended),
        )


POLICIES: t.Mapping[str, Policy] = {
    "first waits": Policy(redirects=2, waits_at_first=True),
    "last of 3": Policy(redirects=2),
    "last of 4": Policy(redirects=3),
    "one queue": Policy(shares_queue=True),
}


def main(arguments: t.Sequence[str] = ()) -> None:
    """Prints one line for each size, load and policy."""
    print("workers  load  policy        in time  answered  p99 wait ms  asked  far")
    for size in [int(text) for text in arguments] or SIZES:
        for load in LOADS:
            for name, policy in POLICIES.items():
                result = World(size, load, policy).run()
                print(
                    f"{size:7} {load:5.2f}  {name:12}  {result.in_time:7.3f}  "
                    f"{result.answered:8.3f}  {result.p99_wait_ms:11.0f}  "
                    f"{result.asked:5.2f}  {result.far:.2f}"
                )


if __name__ == "__main__":
    main(sys.argv[1:])
