"""A simulated backend server that is slow while cold and crashes when overloaded."""

import dataclasses
import typing as t

from cactushook import Call
from cactushook import ErrorKind
from cactushook import HostRecord

from . import serving_events as events

if t.TYPE_CHECKING:
    from .serving_node import CallerRequest
    from .serving_world import World

WARM_AGE_MS = 60_000.0
OVERLOAD_CRASH_MS = 500.0


@dataclasses.dataclass(slots=True)
class _Run:
    call: Call
    request: "CallerRequest"
    since_ms: float


class Worker:
    """One backend server.

    Args:
        world: keeps time.
        record: the host.
        on_done: called at the end of a request with the call, an error kind or None,
            and the latency in milliseconds.
    """

    def __init__(
        self,
        world: "World",
        record: HostRecord,
        on_done: t.Callable[[Call, ErrorKind | None, float], None],
    ) -> None:
        self._world = world
        self._record = record
        self._on_done = on_done
        self._is_up = True
        self._cold_since_ms = world.now_ms
        self._runs: dict[str, _Run] = {}
        self._generation = 0
        self._overloaded_since_ms: float | None = None
        if world.now_ms == 0:
            self._cold_since_ms = -WARM_AGE_MS

    @property
    def instance(self) -> bytes:
        """Identifier of the process, which differs after each restart."""
        return f"{self._record.name}/{self._generation}".encode()

    def turn_cold(self) -> None:
        """Makes the worker cold, and so slow, again."""
        self._cold_since_ms = self._world.now_ms

    def kill(self) -> None:
        """Ends for good without reporting the requests that run."""
        self._is_up = False
        self._runs.clear()

    def start(self, call: Call, request: "CallerRequest") -> None:
        """Starts a request."""
        world = self._world
        if not self._is_up:
            self._on_done(call, ErrorKind.WORKER_UNREACHABLE, 0.0)
            return
        self._runs[call.request_id] = _Run(call, request, world.now_ms)
        self._record_start(call, request)
        if request.path in world.poison_paths:
            world.schedule(min(request.work_ms, 1.0), self._crash, self._generation)
        self._check_overload()
        remaining_ms = call.deadline_ms - world.now_ms
        work_ms = request.work_ms * self._slowdown_factor()
        outcome = None if work_ms < remaining_ms else ErrorKind.DEADLINE_EXCEEDED
        world.schedule(
            min(work_ms, remaining_ms), self._finish, call, outcome, self._generation
        )

    def _check_overload(self) -> None:
        now_ms = self._world.now_ms
        if len(self._runs) <= self._max_running():
            self._overloaded_since_ms = None
        elif self._overloaded_since_ms is None:
            self._overloaded_since_ms = now_ms
        elif now_ms - self._overloaded_since_ms > OVERLOAD_CRASH_MS:
            self._overloaded_since_ms = None
            self._world.record_event(
                events.Fault(now_ms, f"overload {self._record.name}")
            )
            self._world.schedule(0.0, self._crash, self._generation)

    def _record_start(self, call: Call, request: "CallerRequest") -> None:
        slots = self._world.limits(self._record.service).slots
        event = events.Started(
            self._world.now_ms,
            request.label,
            self._record.name,
            call.key,
            len(self._runs),
            slots,
        )
        self._world.record_event(event)

    def _finish(self, call: Call, outcome: ErrorKind | None, generation: int) -> None:
        run = self._runs.get(call.request_id)
        if run is None or generation != self._generation:
            return
        del self._runs[call.request_id]
        self._check_overload()
        self._record_end(run, "answered" if outcome is None else outcome.value)
        self._on_done(call, outcome, self._world.now_ms - run.since_ms)

    def _crash(self, generation: int) -> None:
        if generation != self._generation or not self._is_up:
            return
        self._is_up = False
        self._generation += 1
        self._world.record_event(
            events.Fault(self._world.now_ms, f"crash {self._record.name}")
        )
        runs, self._runs = self._runs, {}
        for run in runs.values():
            self._record_end(run, "crashed")
        for run in runs.values():
            self._on_done(run.call, ErrorKind.WORKER_LOST, 0.0)
        self._world.schedule(
            self._world.model.restart_ms, self._restart, self._generation
        )

    def _restart(self, generation: int) -> None:
        if generation == self._generation:
            self._is_up = True
            self.turn_cold()

    def _record_end(self, run: _Run, outcome: str) -> None:
        event = events.Finished(
            self._world.now_ms, run.request.label, self._record.name, outcome
        )
        self._world.record_event(event)

    def _warm_share(self) -> float:
        age_ms = self._world.now_ms - self._cold_since_ms
        return min(1.0, max(0.0, age_ms / self._world.model.warm_ms))

    def _slowdown_factor(self) -> float:
        cold_factor = self._world.model.cold_factor
        return cold_factor + (1.0 - cold_factor) * self._warm_share()

    def _max_running(self) -> float:
        if not self._world.model.crashes_on_overload:
            return float("inf")
        slots = self._world.limits(self._record.service).slots
        return max(1.0, slots * self._warm_share() * 1.5 + 1.0)
