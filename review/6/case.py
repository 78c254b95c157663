"""A request crashes its workers; the same path from another caller is harmless."""

import asyncio
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import harness  # noqa: E402

ZONES = ("th-central-a", "th-central-b", "th-central-c")
DESKS = 6
FILES = 3
# The same path, asked for by requesters beside both services.
PATH = "/catalogue/paddle-4711"
CRASHING_CALLER = "order-desk"
CRASH_PERIOD_S = 1.5
HARMLESS_PERIOD_S = 0.5
WORKER_BACK_S = 2.0
PLAY_S = 45.0
STABLE_S = 3.0
RETRIES_ALLOWED = 3


async def play(deployment):
    """Sends both kinds of requests; returns whether the rule was broken."""
    record = deployment.record
    await deployment.start_store()
    route = {
        "host": deployment.host,
        "path_prefix": "/catalogue/",
        "kind": "idempotent",
        "timeout_ms": 1000,
        "slo_ms": 500,
        "priority": 2,
        "service": "order-desk",
        "max_attempts": 2,
    }
    services = {
        name: harness.service_spec() for name in ("order-desk", "workshop-files")
    }
    deployment.put_config(7, {"catalogue": route}, services)
    crashes = []

    async def run(worker, request):
        _, target, headers, _ = request
        caller = headers.get("x-cactushook-caller-service", "")
        if target == PATH and caller == CRASHING_CALLER:
            crashes.append(record.now())
            record.line(
                f"worker {worker.ip} begins to run {PATH} of caller {caller}, "
                f"request {headers['x-cactushook-request-id']}"
            )
            worker.crash()
            asyncio.get_running_loop().call_later(
                WORKER_BACK_S, lambda: asyncio.create_task(worker.start(3000))
            )
            return None
        await asyncio.sleep(random.uniform(0.1, 0.2))
        return 200, {}, b"catalogue page"

    for n in range(DESKS + FILES):
        service = "order-desk" if n < DESKS else "workshop-files"
        worker, _ = deployment.add_machine(service, ZONES[n % 3])
        worker.run = run
        await worker.start()
    await deployment.start_nodes()
    await asyncio.sleep(STABLE_S + 0.5)
    end = asyncio.Event()
    answers = []

    async def send(n, tag):
        answer = await deployment.requester(n).send("GET", PATH, 2000)
        answers.append((tag, answer.status))

    async def harmless(n):
        while not end.is_set():
            asyncio.create_task(send(n, "harmless"))
            await asyncio.sleep(HARMLESS_PERIOD_S)

    async def crashing():
        turn = 0
        while not end.is_set():
            turn += 1
            asyncio.create_task(send(turn % DESKS + 1, "crashing"))
            await asyncio.sleep(CRASH_PERIOD_S)

    tasks = [
        asyncio.create_task(harmless(n)) for n in range(DESKS + 1, DESKS + FILES + 1)
    ]
    await asyncio.sleep(5)
    if harness.TROUBLE:
        tasks.append(asyncio.create_task(crashing()))
    await asyncio.sleep(PLAY_S)
    end.set()
    await asyncio.gather(*tasks)
    await asyncio.sleep(2.5)
    counted = crashes[2:] and [at for at in crashes if at > crashes[2] + STABLE_S]
    good = sum(answer == ("harmless", 200) for answer in answers)
    text = (
        f"{len(crashes)} workers crashed, {len(counted)} retries count, "
        f"{RETRIES_ALLOWED} are allowed; {good} harmless requests served"
    )
    record.line(text)
    print(text)
    return len(counted) > RETRIES_ALLOWED


if __name__ == "__main__":
    harness.main(HERE, play, limit_s=115)
