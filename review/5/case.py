"""A request that crashes workers comes again while the nodes are restarted in turn."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from bed import BOUNDS, BROKEN, HELD, Bed, Machine, Message, Worker  # noqa: E402
from bed import CannotRunError, limits, route, run_case, service  # noqa: E402

SERVICE = "order-desk"
LAYOUT = [(f"zone-{z}", SERVICE) for z in "abc" for _ in range(2)]
WORK_MS = 160.0
RATE_PER_S = 40
POISON = "/orders/crash"
POISON_EACH_S = 0.7
POISON_BODY = b"y" * 200
# A worker that crashed is back after some seconds, and cold.
DOWN_S = 2.0
COLD_S = 3.0
GAP_S = 2.0
STABLE_S = BOUNDS["stable_window_ms"] / 1000
MAX_RETRIES = 3


def configuration() -> dict:
    """Returns the configuration."""
    resources = [route("/orders/", "non_idempotent", SERVICE), service(SERVICE)]
    return {"version": "r3", "resources": [*resources, limits()]}


async def case(bed: Bed) -> int:
    """Plays the case and returns the verdict."""
    await bed.start_store()
    bed.store.put("op/config", configuration())
    restarts = set()

    def on_run(worker: Worker, message: Message) -> None:
        if f" {POISON} " in message.start:
            lost = worker.running
            worker.stop(f"the request crashes it; {lost} others ran there")
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
    loads = [asyncio.create_task(f(bed)) for f in (send_load, send_poison)]
    try:
        return await play(bed)
    finally:
        for load in loads:
            load.cancel()


def targets(bed: Bed) -> list[Machine]:
    """Returns the machines whose requesters get work: those that are ready."""
    return [m for m in bed.machines if m not in bed.stopping]


async def send_load(bed: Bed) -> None:
    """Sends ordinary requests to all machines in turn."""
    number = 0
    async with asyncio.TaskGroup() as group:
        while True:
            number += 1
            for machine in targets(bed):
                path = f"/orders/{number}"
                group.create_task(bed.request(machine, "POST", path, b"x" * 100))
                await asyncio.sleep(1 / RATE_PER_S)


async def send_poison(bed: Bed) -> None:
    """Sends the request that crashes workers again and again, at any machine."""
    number = 0
    while True:
        machines = targets(bed)
        machine = machines[number % len(machines)]
        sent = await bed.request(machine, "POST", POISON, POISON_BODY)
        bed.record.say(f"{sent.request_id} (crashing) at {machine.ip}: {sent.status}")
        number += 1
        await asyncio.sleep(POISON_EACH_S)


async def play(bed: Bed) -> int:
    """Restarts the nodes in turn and judges."""
    await asyncio.sleep(12)
    for machine in bed.machines:
        if bed.trouble:
            bed.record.say(f"SIGTERM for the node {machine.ip}")
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
            bed.record.say(f"the node {machine.ip} is back")
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(25)
    return judge(bed)


def judge(bed: Bed) -> int:
    """Counts the crashes after the third one, by machines in touch."""
    by_id = {sent.request_id: sent for sent in bed.sent}
    crashes = [run for run in bed.arrivals if run.path == POISON]
    bed.record.say(
        f"the request has crashed workers {len(crashes)} times: "
        + ", ".join(f"{run.at:.1f}" for run in crashes)
    )
    if len(crashes) < 2:
        raise CannotRunError("the request has not crashed two workers")
    if len(crashes) < 3:
        return HELD
    from_s = crashes[2].at + STABLE_S
    late = [
        run
        for run in crashes[3:]
        if run.at > from_s and is_in_touch(by_id[run.request_id])
    ]
    bed.record.say(
        f"{len(late)} of them later than {STABLE_S} s after the third, sent by machines "
        f"in touch; the bound is {MAX_RETRIES}"
    )
    return BROKEN if len(late) > MAX_RETRIES else HELD


def is_in_touch(sent) -> bool:
    """Whether the machine's node had run for the stable window when it sent."""
    return sent.at - sent.machine.started > STABLE_S


run_case(FOLDER, LAYOUT, case)
