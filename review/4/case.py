"""The readers' watches on the store go silent; then the operator moves a route."""

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

OLD, NEW = "order-desk", "workshop-files"
LAYOUT = [(f"zone-{z}", s) for z in "abc" for s in (OLD, NEW)]
# The firewall forgets connections that have carried nothing for this long.
IDLE_S = 1.0
# From the silence to the change of the configuration: all machines are in touch again.
WAIT_S = BOUNDS["stable_window_ms"] / 1000 + 0.2
RATE_PER_S = 20


def configuration(version: str, to: str) -> dict:
    """Returns a configuration whose one route leads to a service."""
    resources = [route("/orders/", "non_idempotent", to), service(OLD), service(NEW)]
    return {"version": version, "resources": [*resources, limits()]}


async def case(bed: Bed) -> int:
    """Plays the case and returns the verdict."""
    await bed.start_store(uses_proxy=True)
    bed.store.put("op/config", configuration("r3", OLD))
    workers = [Worker(bed, machine) for machine in bed.machines]
    for worker in workers:
        await worker.start()
    for machine in bed.machines:
        await bed.start_node(machine)
    for machine in bed.machines:
        await bed.wait_until_ready(machine)
    # The nodes elect readers, and all others stop watching.
    await asyncio.sleep(4)
    load = asyncio.create_task(send_load(bed))
    try:
        return await play(bed)
    finally:
        load.cancel()


async def send_load(bed: Bed) -> None:
    """Sends requests to all machines in turn."""
    async with asyncio.TaskGroup() as group:
        while True:
            for machine in bed.machines:
                group.create_task(bed.request(machine, "POST", "/orders/1", b"x" * 100))
                await asyncio.sleep(1 / RATE_PER_S)


async def play(bed: Bed) -> int:
    """Makes the watches silent, moves the route and judges."""
    # A change that all hear, so that the watches begin anew: they last 10 s at most.
    bed.store.put("op/config", configuration("r7", OLD))
    await asyncio.sleep(IDLE_S + 1.0)
    if TROUBLE:
        silent, total = bed.proxy.silence(IDLE_S)
        bed.record.say(f"silent for good: {silent} of {total} connections to the store")
        if not silent:
            raise CannotRunError("no connection to the store was idle")
    await asyncio.sleep(WAIT_S)
    acked = bed.store.put("op/config", configuration("r12", NEW))
    bed.record.say(f"r12 moves /orders/ from {OLD} to {NEW}; the store acknowledges it")
    bound = acked + BOUNDS["config_apply_ms"] / 1000
    await asyncio.sleep(10)
    by_id = {arrival.request_id: arrival for arrival in bed.arrivals}
    late = [sent for sent in bed.sent if sent.at > bound and sent.request_id in by_id]
    old = [sent for sent in late if by_id[sent.request_id].service == OLD]
    bed.record.say(
        f"{len(late)} requests sent later than {BOUNDS['config_apply_ms']} ms after "
        f"the acknowledgement have run, {len(old)} of them at the old service"
    )
    if old:
        bed.record.say(
            f"the last of them was sent {old[-1].at - acked:.2f} s after it, at "
            f"{len({sent.machine.ip for sent in old})} of {len(bed.machines)} machines"
        )
    if len(late) < RATE_PER_S:
        raise CannotRunError("too few requests have run")
    return BROKEN if old else HELD


run_case(FOLDER, LAYOUT, case)
