"""Runs keyed requests, each once for all callers that wait for it."""

import dataclasses
import typing as t

import trio
from cactushook import Admitted
from cactushook import Call
from cactushook import ErrorKind
from cactushook import Queued
from cactushook import Refusal
from cactushook import Refused
from cactushook.gatekeeping import DuplicateInFlight
from cactushook.gatekeeping import Gatekeeper
from cactushook.gatekeeping import GateVerdict

from .environment import Environment
from .http_messages import WorkerRequest
from .supervision import TaskStarter

Run: t.TypeAlias = t.Callable[
    [Call, GateVerdict, WorkerRequest], t.Awaitable[Refusal | None]
]


@dataclasses.dataclass(slots=True)
class _KeyedRun:
    """A keyed request that runs at this gate while its callers wait."""

    done: trio.Event
    refusal: Refusal | None = None


class KeyedRuns:
    """Holds the keyed requests that run at a gate.

    Args:
        environment: the node's central object.
        tasks: runs the requests, which outlive their callers.
        keeper: holds the gate's state.
        epoch_ms: returns the time since the epoch.
        run: runs a request and returns its refusal, if it has one.
    """

    def __init__(
        self,
        environment: Environment,
        tasks: TaskStarter,
        keeper: Gatekeeper,
        epoch_ms: t.Callable[[], float],
        run: Run,
    ) -> None:
        self._environment = environment
        self._tasks = tasks
        self._keeper = keeper
        self._epoch_ms = epoch_ms
        self._run = run
        self._runs: dict[str, _KeyedRun] = {}

    async def settle(
        self, call: Call, verdict: GateVerdict, request: WorkerRequest
    ) -> GateVerdict:
        """Waits for the run of a keyed request, and returns the final verdict."""
        match verdict:
            case DuplicateInFlight():
                await self._runs[call.key].done.wait()
                return self._keeper.resolve_duplicate(call, self._epoch_ms())
            case Admitted() | Queued():
                run = _KeyedRun(trio.Event())
                self._runs[call.key] = run
                self._tasks.start_soon(self._execute, call, verdict, request, run)
                await run.done.wait()
                if run.refusal is not None:
                    return Refused(call, run.refusal)
                return self._keeper.resolve_duplicate(call, self._epoch_ms())
        return verdict

    async def _execute(
        self, call: Call, verdict: GateVerdict, request: WorkerRequest, run: _KeyedRun
    ) -> None:
        try:
            run.refusal = await self._run(call, verdict, request)
        except Exception as error:
            # An error in one request must neither stop the node nor block its callers.
            self._environment.log.warning("keyed_request_failed", reason=repr(error))
            run.refusal = Refusal(ErrorKind.OUTCOME_UNKNOWN, "the gate failed")
        finally:
            del self._runs[call.key]
            run.done.set()


__all__ = ["KeyedRuns"]
