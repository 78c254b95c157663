"""A request that crashes its workers comes again during a rolling restart."""

import asyncio
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import harness  # noqa: E402

MACHINES = 5
ZONES = ("th-central-a", "th-central-b", "th-central-c") * 2
POISON = "/catalogue/paddle-4711"
POISON_PERIOD_S = 0.8
WORKER_BACK_S = 2.0
GAP_S = 6.5
STABLE_S = 3.0
TRIALS_ALLOWED = 3


async def play(deployment):
    """Plays the case; returns whether the rule was broken."""
    record = deployment.record
    await deployment.start_store()
    deployment.put_config(
        7,
        {
            "catalogue": {
                "host": deployment.host,
                "path_prefix": "/catalogue/",
                "kind": "idempotent",
                "timeout_ms": 1000,
                "slo_ms": 500,
                "priority": 2,
                "service": "order-desk",
                "max_attempts": 2,
            }
        },
        {"order-desk": harness.service_spec()},
    )
    crashes, arrivals = [], []

    async def run(worker, request):
        method, target, headers, _ = request
        if target.startswith(POISON):
            crashes.append(record.now())
            arrivals.append((record.now(), deployment.workers.index(worker) + 1))
            record.line(f"worker {worker.ip} begins to run {POISON}")
            worker.crash()
            asyncio.get_running_loop().call_later(
                WORKER_BACK_S, lambda: asyncio.create_task(worker.start(3000))
            )
            return None
        await asyncio.sleep(random.uniform(0.1, 0.2))
        return 200, {}, b"catalogue page"

    for n in range(MACHINES):
        worker, _ = deployment.add_machine("order-desk", ZONES[n])
        worker.run = run
        await worker.start()
    await deployment.start_nodes()
    await asyncio.sleep(3)
    # When each machine's process was started or told to stop, for "in touch".
    touched = {n: [record.now() - STABLE_S] for n in range(1, MACHINES + 1)}
    end = asyncio.Event()

    async def usual_traffic(n):
        requester = deployment.requester(n)
        count = 0
        while not end.is_set():
            count += 1
            path = f"/catalogue/{n}/{count}"
            asyncio.create_task(requester.send("GET", path, 2000))
            await asyncio.sleep(0.2)

    async def poison_traffic():
        turn = 0
        while not end.is_set():
            turn += 1
            n = turn % MACHINES + 1
            is_up = deployment.nodes[n - 1].is_running
            if is_up and is_in_touch(touched[n], record.now()):
                requester = deployment.requester(n)
                asyncio.create_task(requester.send("GET", POISON, 2000))
            await asyncio.sleep(POISON_PERIOD_S)

    tasks = [asyncio.create_task(usual_traffic(n)) for n in touched]
    tasks.append(asyncio.create_task(poison_traffic()))
    await asyncio.sleep(10)
    for n, node in enumerate(deployment.nodes, 1):
        if harness.TROUBLE:
            touched[n].append(record.now())
            await node.stop_gracefully(6)
            await asyncio.sleep(0.3)
            await node.start()
            touched[n].append(record.now())
            await node.ready()
            touched[n].append(record.now())
        else:
            await asyncio.sleep(5)
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(8)
    end.set()
    await asyncio.gather(*tasks)
    record.line(f"the request has crashed {len(crashes)} workers")
    if len(crashes) < 3:
        return False
    third = crashes[2]
    counted = [
        (at, n)
        for at, n in arrivals
        if at > third + STABLE_S and is_in_touch(touched[n], at)
    ]
    for at, n in counted:
        record.line(
            f"counts: run at {at:.3f} at machine {n}, the third crash at {third:.3f}"
        )
    record.line(f"{len(counted)} retries count, {TRIALS_ALLOWED} are allowed")
    print(f"crashes {len(crashes)}, counted retries {len(counted)}")
    return len(counted) > TRIALS_ALLOWED


def is_in_touch(times, at):
    """Whether a machine was left alone for the stable window."""
    return not any(at - STABLE_S <= time <= at for time in times)


if __name__ == "__main__":
    harness.main(HERE, play, limit_s=115)
