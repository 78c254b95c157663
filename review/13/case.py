"""Workers that become cold again, shortly one after the other."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

from mesh import Mesh  # noqa: E402
from mesh import Node  # noqa: E402
from mesh import now_s  # noqa: E402
from mesh import Requester  # noqa: E402
from mesh import run  # noqa: E402
from mesh import TROUBLE  # noqa: E402
from mesh import Worker  # noqa: E402

ZONES = ("th-central-a", "th-central-b", "th-central-c")
# `cold_per_s` x `cold_overage` + `cold_slack`.
BOUND = 16 * 1.5 + 5
COLD_S = 3.0
GAP_S = 0.1
TIMES = 4
# With work of 40 ms, about 49 requests a second for each worker.
REQUESTERS_PER_ZONE = 8
PAUSE_S = 0.12


def worst_second(arrived_s: list[float]) -> int:
    """Returns the most arrivals in any second."""
    return max(
        (sum(start <= at < start + 1 for at in arrived_s) for start in arrived_s),
        default=0,
    )


async def case(mesh: Mesh) -> bool:
    """Returns whether the rule held."""
    entries = [await mesh.add("order-desk", zone) for zone in ZONES]
    files = [await mesh.add("workshop-files", zone) for zone in ZONES]
    mesh.route("/stock/", "idempotent", "workshop-files", timeout_ms=1_000, slo_ms=150)
    arrived: dict[str, list[float]] = {node.ip: [] for node in files}

    def watch(worker: Worker):  # noqa: ANN202
        async def on_run(target: str, request_id: str) -> None:
            arrived[worker.ip].append(now_s())

        return on_run

    for node in files:
        node.worker.on_run = watch(node.worker)
    await mesh.start()
    ends_s = now_s() + 3 + TIMES * 9

    async def ask(node: Node, number: int) -> None:
        requester = Requester(mesh.record, node, f"requester {number} at {node.ip}")
        await asyncio.sleep(0.02 * number)
        while now_s() < ends_s:
            await requester.ask("GET", "/stock/teak/ms/40", b"", 500)
            await asyncio.sleep(PAUSE_S)

    tasks = [
        asyncio.create_task(ask(node, number))
        for node in entries
        for number in range(REQUESTERS_PER_ZONE)
    ]
    await asyncio.sleep(3)
    held = True
    for _ in range(TIMES):
        cold_s: list[tuple[Node, float]] = []
        for node in files:
            if TROUBLE:
                node.worker.cold_until_s = now_s() + COLD_S
                mesh.enter(node.worker)
            cold_s.append((node, now_s()))
            await asyncio.sleep(GAP_S)
        await asyncio.sleep(COLD_S)
        for node, since_s in cold_s:
            if TROUBLE:
                mesh.enter(node.worker)
            times = arrived[node.ip]
            before = sum(since_s - 1 <= at < since_s for at in times)
            while_cold = [at for at in times if since_s <= at < since_s + COLD_S]
            most = worst_second(while_cold) if TROUBLE else 0
            held &= most <= BOUND
            mesh.record.line(
                f"worker {node.worker.instance}: {before} requests in the second "
                f"before it reported that it is cold, at most {most} in a second while "
                f"it was (bound {BOUND:.0f})"
            )
        await asyncio.sleep(9 - COLD_S - GAP_S * len(files))
    await asyncio.gather(*tasks)
    return held


run(case, str(FOLDER))
