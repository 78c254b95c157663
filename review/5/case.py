"""A worker's earlier beat, which the store carries out late, undoes its leaving."""

import asyncio
import os
import pathlib

from bed import Bed
from bed import BOUNDS
from bed import BROKEN
from bed import CannotRunError
from bed import HELD
from bed import limits
from bed import route
from bed import run_case
from bed import service
from bed import Worker

FOLDER = pathlib.Path(__file__).resolve().parent
# Without the disruption if TROUBLE=0 is set.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

SERVICE = "order-desk"
LAYOUT = [(f"zone-{z}", SERVICE) for z in "abc" for _ in range(2)]
WORK_MS = 210.0
RATE_PER_S = 90
# `fleetbench kinds`: "late (done 1 to 6 s later)".
LATE_S = 5.4
# From the beat that gets no answer to the report that the worker leaves.
WAIT_S = BOUNDS["stable_window_ms"] / 1000 + 0.2
# A worker serves on for `drain_ms` after the store has accepted its report and a little
# longer, and then exits.
EXIT_S = BOUNDS["drain_ms"] / 1000 + 0.6


def configuration() -> dict:
    """Returns the configuration."""
    resources = [route("/orders/", "non_idempotent", SERVICE), service(SERVICE)]
    return {"version": "r3", "resources": [*resources, limits()]}


async def case(bed: Bed) -> int:
    """Plays the case and returns the verdict."""
    await bed.start_store()
    bed.store.put("op/config", configuration())
    workers = [
        Worker(bed, machine, work_ms=lambda worker, message: WORK_MS)
        for machine in bed.machines
    ]
    for worker in workers:
        await worker.start()
    for machine in bed.machines:
        await bed.start_node(machine)
    for machine in bed.machines:
        await bed.wait_until_ready(machine)
    await asyncio.sleep(4)
    load = asyncio.create_task(send_load(bed))
    try:
        return await play(bed, workers[0])
    finally:
        load.cancel()


async def send_load(bed: Bed) -> None:
    """Sends requests to all machines in turn."""
    loop = asyncio.get_running_loop()
    due = loop.time()
    async with asyncio.TaskGroup() as group:
        while True:
            for machine in bed.machines:
                group.create_task(bed.request(machine, "POST", "/orders/1", b"x" * 100))
                due += 1 / RATE_PER_S
                await asyncio.sleep(max(0.0, due - loop.time()))


async def play(bed: Bed, worker: Worker) -> int:
    """Loses the answer of one beat, lets the worker leave later, and judges."""
    await asyncio.sleep(2)
    worker.sequence += 1
    late_beat, key, sent_at = worker.entry(), worker.key, bed.record.now()
    bed.record.say(f"beat {late_beat['sequence']} of {worker.instance}: no answer")
    await asyncio.sleep(WAIT_S)
    acked = worker.drain()
    bed.record.say(f"beat {worker.sequence}: it is draining; the store acknowledges it")
    await asyncio.sleep(max(0.0, sent_at + LATE_S - bed.record.now()))
    if TROUBLE:
        bed.store.put_beat(key, late_beat)
        bed.record.say(
            f"the store carries out beat {late_beat['sequence']}, which was sent "
            f"{LATE_S} s ago and says that the worker is ready"
        )
    await asyncio.sleep(max(0.0, acked + EXIT_S - bed.record.now()))
    in_flight = worker.running
    worker.stop("it has left")
    bed.store.remove(key)
    await asyncio.sleep(1.5)
    return judge(bed, worker, acked, in_flight)


def judge(bed: Bed, worker: Worker, acked: float, in_flight: int) -> int:
    """Counts the requests that reached the worker too late."""
    bound = acked + BOUNDS["drain_ms"] / 1000
    by_id = {sent.request_id: sent for sent in bed.sent}
    late = [run for run in worker.arrivals if run.at > bound]
    lost = [run for run in late if by_id[run.request_id].status != 200]
    bed.record.say(
        f"{len(late)} requests, none of which may be repeated, reached the worker "
        f"later than {BOUNDS['drain_ms']} ms after the acknowledgement that it is "
        f"draining; {in_flight} ran there as it left, {len(lost)} of them got no "
        "answer of it"
    )
    if len([run for run in worker.arrivals if run.at < acked]) < 10:
        raise CannotRunError("the worker got hardly any request before it left")
    return BROKEN if late else HELD


run_case(FOLDER, LAYOUT, case)
