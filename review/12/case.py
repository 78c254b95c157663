"""A request that crashes its workers, from a requester that leaves before the crash."""

import asyncio
import pathlib
import sys
import typing as t

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

from mesh import Mesh  # noqa: E402
from mesh import now_s  # noqa: E402
from mesh import Requester  # noqa: E402
from mesh import run  # noqa: E402
from mesh import TROUBLE  # noqa: E402
from mesh import Worker  # noqa: E402

POISON = "/files/blade-77"
# Half of the route's `slo_ms`, as the pages say of requesters that leave.
LEAVES_AFTER_S = 0.2
CRASHES_AFTER_S = 0.3
DOWN_S = 2.0
PERIOD_S = 3.0
LENGTH_S = 55.0
STABLE_WINDOW_S = 3.0
RETRIES_ALLOWED = 3
REQUESTERS = 6


class Crashes:
    """The workers' part: each worker that begins to run the request crashes."""

    def __init__(self, mesh: Mesh) -> None:
        self.mesh = mesh
        self.crashed_s: list[float] = []
        self.reached: list[tuple[float, str]] = []
        self._tasks: list[asyncio.Task[None]] = []

    def watch(self, worker: Worker) -> t.Callable[[str, str], t.Awaitable[None]]:
        """Returns what the worker does as it begins to run a request."""

        async def on_run(target: str, request_id: str) -> None:
            if target == POISON:
                self.reached.append((now_s(), request_id))
                # This worker doesn't drop a request when its connection closes.
                self._tasks.append(asyncio.create_task(self._crash(worker)))
                await asyncio.sleep(CRASHES_AFTER_S + 1)

        return on_run

    async def _crash(self, worker: Worker) -> None:
        await asyncio.sleep(CRASHES_AFTER_S)
        if worker.is_down:
            return
        self.crashed_s.append(now_s())
        worker.crash()
        before = worker.instance
        await asyncio.sleep(DOWN_S)
        await worker.start_again()
        self.mesh.enter(worker)
        await asyncio.sleep(worker.cold_left_ms / 1_000)
        self.mesh.store.remove(f"servers/{before}")
        if not worker.is_down:
            self.mesh.enter(worker)


async def case(mesh: Mesh) -> bool:
    """Returns whether the rule held."""
    entry = await mesh.add("order-desk", "th-central-a")
    files = [
        await mesh.add("workshop-files", f"th-central-{zone}")
        for zone in ("a", "b", "c")
    ]
    mesh.route("/files/", "idempotent", "workshop-files", timeout_ms=1_000, slo_ms=400)
    crashes = Crashes(mesh)
    for node in files:
        node.worker.on_run = crashes.watch(node.worker)
    await mesh.start()
    ends_s = now_s() + LENGTH_S

    async def read(number: int) -> None:
        requester = Requester(mesh.record, entry, f"requester {number}")
        while now_s() < ends_s:
            await requester.ask("GET", f"/files/oar-{number}/ms/60", b"", 2_000)
            await asyncio.sleep(0.15)

    async def send_poison() -> None:
        while now_s() < ends_s:
            requester = Requester(mesh.record, entry, "requester of the crashes")
            asking = asyncio.create_task(requester.ask("GET", POISON, b"", 2_000))
            if TROUBLE:
                await asyncio.wait((asking,), timeout=LEAVES_AFTER_S)
                if not asking.done():
                    mesh.record.line("requester of the crashes leaves")
                    asking.cancel()
            await asyncio.wait((asking,))
            requester.close()
            await asyncio.sleep(PERIOD_S)

    await asyncio.gather(send_poison(), *(read(number) for number in range(REQUESTERS)))
    if len(crashes.crashed_s) < 3:
        late = []
    else:
        since_s = crashes.crashed_s[2] + STABLE_WINDOW_S
        late = [request_id for at_s, request_id in crashes.reached if at_s > since_s]
    mesh.record.line(
        f"the request crashed workers {len(crashes.crashed_s)} times; it reached "
        f"workers {len(crashes.reached)} times, {len(late)} of them later than "
        f"{STABLE_WINDOW_S:.0f} s after the third crash (allowed: {RETRIES_ALLOWED})"
    )
    return len(late) <= RETRIES_ALLOWED


run(case, str(FOLDER))
