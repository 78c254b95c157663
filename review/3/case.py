"""A request that crashes its worker comes again while the worker is cold."""

import asyncio
import os
import pathlib

from bed import Bed
from bed import BOUNDS
from bed import BROKEN
from bed import CannotRunError
from bed import HELD
from bed import limits
from bed import Message
from bed import route
from bed import run_case
from bed import service
from bed import Worker

FOLDER = pathlib.Path(__file__).resolve().parent
# Without the disruption if TROUBLE=0 is set.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

SERVICE, OTHER = "workshop-files", "order-desk"
LAYOUT = [(f"zone-{z}", s) for z in "abc" for s in (SERVICE, OTHER)]
WORK_MS = 130.0
RATE_PER_S = 9
POISON = "/files/crash"
POISON_BODY = b"y" * 200
POISON_EACH_S = 3.0
POISON_COUNT = 18
# A worker that crashed is back after some seconds, and cold.
DOWN_S = 2.0
COLD_S = 3.0
STABLE_S = BOUNDS["stable_window_ms"] / 1000
MAX_RETRIES = 3


def configuration() -> dict:
    """Returns the configuration."""
    resources = [
        route("/files/", "non_idempotent", SERVICE),
        service(SERVICE),
        service(OTHER),
    ]
    return {"version": "r3", "resources": [*resources, limits()]}


async def case(bed: Bed) -> int:
    """Plays the case and returns the verdict."""
    await bed.start_store()
    bed.store.put("op/config", configuration())
    restarts = set()

    def on_run(worker: Worker, message: Message) -> None:
        if f" {POISON} " in message.start:
            worker.stop(f"the request crashes it; {worker.running} others ran there")
            restarts.add(asyncio.create_task(restart(worker)))

    async def restart(worker: Worker) -> None:
        await asyncio.sleep(DOWN_S)
        bed.store.remove(worker.key)
        await worker.start(cold_s=COLD_S)

    workers = [
        Worker(bed, machine, work_ms=lambda worker, message: WORK_MS)
        for machine in bed.machines
    ]
    for worker in workers:
        worker.on_run = on_run
        await worker.start()
    for machine in bed.machines:
        await bed.start_node(machine)
    for machine in bed.machines:
        await bed.wait_until_ready(machine)
    await asyncio.sleep(4)
    load = asyncio.create_task(send_load(bed))
    try:
        # Its requester sends it again and again at its own machine.
        for _ in range(POISON_COUNT):
            if TROUBLE:
                sent = await bed.request(bed.machines[1], "POST", POISON, POISON_BODY)
                bed.record.say(f"{sent.request_id} (crashing): {sent.status}")
            await asyncio.sleep(POISON_EACH_S)
        return judge(bed)
    finally:
        load.cancel()


async def send_load(bed: Bed) -> None:
    """Sends ordinary requests to all machines in turn."""
    number = 0
    async with asyncio.TaskGroup() as group:
        while True:
            number += 1
            for machine in bed.machines:
                path = f"/files/{number}"
                group.create_task(bed.request(machine, "POST", path, b"x" * 100))
                await asyncio.sleep(1 / RATE_PER_S)


def judge(bed: Bed) -> int:
    """Counts the crashes later than the stable window after the third one."""
    served = [sent for sent in bed.sent if sent.status == 200]
    if len(served) < 100:
        raise CannotRunError("hardly any request was served")
    crashes = [run for run in bed.arrivals if run.path == POISON]
    bed.record.say(
        f"the request has crashed workers {len(crashes)} times: "
        + ", ".join(f"{run.at:.1f}" for run in crashes)
    )
    if len(crashes) < 3:
        return HELD
    late = [run for run in crashes[3:] if run.at > crashes[2].at + STABLE_S]
    bed.record.say(
        f"{len(late)} of them later than {STABLE_S} s after the third, sent by "
        f"machines in touch; the bound is {MAX_RETRIES}"
    )
    return BROKEN if len(late) > MAX_RETRIES else HELD


run_case(FOLDER, LAYOUT, case)
