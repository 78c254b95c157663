"""A request that crashes workers comes again after the nodes were restarted in turn."""

import asyncio
import pathlib
import signal

from bed import Bed
from bed import BOUNDS
from bed import BROKEN
from bed import CannotRunError
from bed import HELD
from bed import limits
from bed import Machine
from bed import Message
from bed import route
from bed import run_case
from bed import service
from bed import Worker

FOLDER = pathlib.Path(__file__).resolve().parent

SERVICE, OTHER = "workshop-files", "order-desk"
LAYOUT = [(f"zone-{z}", s) for z in "abc" for s in (SERVICE, OTHER)]
WORK_MS = 130.0
RATE_PER_S = 9
POISON = "/files/crash"
POISON_BODY = b"y" * 200
# A worker that crashed is back after some seconds, and cold. The request comes again
# only when no worker is cold any more.
DOWN_S = 2.0
COLD_S = 3.0
POISON_EACH_S = 6.5
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
        return await play(bed)
    finally:
        load.cancel()


async def send_load(bed: Bed) -> None:
    """Sends ordinary requests to all machines that are ready, in turn."""
    number = 0
    async with asyncio.TaskGroup() as group:
        while True:
            number += 1
            for machine in bed.machines:
                if machine in bed.stopping:
                    continue
                path = f"/files/{number}"
                group.create_task(bed.request(machine, "POST", path, b"x" * 100))
                await asyncio.sleep(1 / RATE_PER_S)


async def send_poison(bed: Bed, zone: int) -> None:
    """Sends the request that crashes workers at a machine that is never disturbed."""
    machine = bed.machines[2 * zone + 1]
    sent = await bed.request(machine, "POST", POISON, POISON_BODY)
    bed.record.say(f"{sent.request_id} (crashing) in {machine.zone}: {sent.status}")
    await asyncio.sleep(POISON_EACH_S)


async def restart_node(bed: Bed, machine: Machine) -> None:
    """Stops a node as the platform does, and starts it again."""
    bed.record.say(f"SIGTERM for the node of {machine.zone} beside a worker")
    bed.stopping.add(machine)
    machine.process.send_signal(signal.SIGTERM)
    try:
        async with asyncio.timeout(BOUNDS["grace_s"]):
            await machine.process.wait()
    except TimeoutError:
        machine.process.kill()
        await machine.process.wait()
    await bed.start_node(machine)
    await bed.wait_until_ready(machine)
    bed.stopping.discard(machine)
    bed.record.say(f"the node of {machine.zone} is ready again")


async def play(bed: Bed) -> int:
    """Lets the request come, restarts the nodes in turn, and judges."""
    await asyncio.sleep(1)
    for zone in range(3):
        await send_poison(bed, zone)
    before = len([run for run in bed.arrivals if run.path == POISON])
    bed.record.say(f"{before} crashes; then all gates refuse the request")
    for zone in range(3):
        if bed.trouble:
            await restart_node(bed, bed.machines[2 * zone])
        await asyncio.sleep(STABLE_S + 0.2)
        for _ in range(2):
            await send_poison(bed, zone)
    return judge(bed)


def judge(bed: Bed) -> int:
    """Counts the crashes later than the stable window after the third one."""
    crashes = [run for run in bed.arrivals if run.path == POISON]
    bed.record.say(
        f"the request has crashed workers {len(crashes)} times: "
        + ", ".join(f"{run.at:.1f}" for run in crashes)
    )
    if len(crashes) < 2:
        raise CannotRunError("the request has not crashed two workers")
    late = [run for run in crashes[3:] if run.at > crashes[2].at + STABLE_S]
    bed.record.say(
        f"{len(late)} of them later than {STABLE_S} s after the third, sent by "
        f"machines in touch; the bound is {MAX_RETRIES}"
    )
    return BROKEN if len(late) > MAX_RETRIES else HELD


run_case(FOLDER, LAYOUT, case)
