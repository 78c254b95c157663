"""Checks whether the backend server is reachable and how long it stays cold."""

import typing as t
import uuid

import trio
from cactushook import CrashReport
from cactushook import RequestError
from cactushook.gatekeeping import Gatekeeper

from .environment import Environment
from .headers import find_header
from .headers import parse_number
from .http_messages import WorkerRequest
from .supervision import TaskStarter
from .worker_client import WorkerClient

CHECK_PERIOD_S = 0.25
HEALTH_TIMEOUT_S = 1.0


class WorkerHealthCheck:
    """Checks the backend server after a failure, one check at a time.

    While the backend server is cold, its health is read from time to time. A failure
    meanwhile leads to another check, since a cold backend server may crash too.

    Args:
        environment: the node's central object.
        tasks: runs the checks.
        keeper: receives the results.
        on_crashes: called with the requests that may have crashed the backend server.
    """

    def __init__(
        self,
        environment: Environment,
        tasks: TaskStarter,
        keeper: Gatekeeper,
        on_crashes: t.Callable[[t.Iterable[CrashReport]], None],
    ) -> None:
        self._environment = environment
        self._tasks = tasks
        self._keeper = keeper
        self._on_crashes = on_crashes
        self._is_requested = False
        self._is_checking = False
        self._health_scope = trio.CancelScope()
        self._next_probe_s = float("-inf")

    def start(self, worker: WorkerClient | None) -> None:
        """Requests a check for a crash, which starts at once unless one is running.

        Does nothing if the node has no platform adapter.
        """
        needs_listing = self._environment.settings.adapter is not None
        if not needs_listing or worker is None:
            return
        self._is_requested = True
        if self._is_checking:
            self._health_scope.cancel()
            return
        self._is_checking = True
        self._tasks.start_soon(self._check, worker)

    async def _check(self, worker: WorkerClient) -> None:
        try:
            while self._is_requested:
                self._is_requested = False
                await self._check_reachable(worker)
                with trio.CancelScope() as self._health_scope:
                    if not self._is_requested:
                        await self._read_health_while_cold(worker)
        finally:
            self._is_checking = False

    async def _check_reachable(self, worker: WorkerClient) -> None:
        await trio.sleep_until(self._next_probe_s)
        self._next_probe_s = trio.current_time() + CHECK_PERIOD_S
        if await worker.probe():
            return
        self._on_down(worker)
        while not await worker.probe():
            await trio.sleep(CHECK_PERIOD_S)
        self._is_requested = False
        self._keeper.on_worker_up(self._environment.now_ms())
        self._environment.log.info("worker_reachable")

    async def _read_health_while_cold(self, worker: WorkerClient) -> None:
        await self.read_health(worker)
        while self._keeper.is_cold(self._environment.now_ms()):
            await trio.sleep(2 * CHECK_PERIOD_S)
            await self.read_health(worker)

    def _on_down(self, worker: WorkerClient) -> None:
        environment = self._environment
        worker.close_idle_connections()
        environment.log.warning("worker_unreachable")
        self._on_crashes(self._keeper.on_worker_down(environment.now_ms()))

    async def read_health(self, worker: WorkerClient) -> None:
        """Queries how long the backend server stays cold."""
        environment = self._environment
        names = environment.headers
        service = environment.store.snapshot.services.get(self._keeper.service)
        if service is None or not names.cold_remaining_ms:
            return
        request_id = uuid.uuid4().hex.encode()
        headers = ((b"host", environment.settings.worker.address.encode()),)
        request = WorkerRequest("GET", service.health_path.encode(), headers, b"")
        request = request.with_headers(((names.request_id, request_id),))
        with trio.move_on_after(HEALTH_TIMEOUT_S):
            try:
                async with worker.send(request, requires_request_id=False) as reply:
                    async for _ in reply.body:
                        pass
                    value = find_header(reply.headers, names.cold_remaining_ms)
            except RequestError as error:
                environment.log.info("health_failed", reason=str(error))
                return
            cold_remaining_ms = parse_number(value or b"0")
            if cold_remaining_ms is None:
                environment.log.warning("health_invalid", value=repr(value[:50]))
                return
            environment.log.info(
                "health_read", status=reply.status, cold_remaining_ms=cold_remaining_ms
            )
            self._keeper.set_cold_remaining(cold_remaining_ms, environment.now_ms())
