"""Nodes freeze for some seconds while they send large answers to other nodes."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import harness  # noqa: E402

ZONES = ("th-central-a", "th-central-b", "th-central-c")
ENTRIES = 6
ANSWER_BYTES = 280_000
WORK_S = 0.13
DEADLINE_MS = 3577
TIMEOUT_MS = 1800
LATE_MS = 500
LATE_COUNT = 8
LATE_SHARE = 0.25
PERIOD_S = 0.29
FREEZES = 9
FREEZE_S = 4.0
BETWEEN_S = 5.0


async def play(deployment):
    """Plays the case; returns whether the rule was broken."""
    record = deployment.record
    await deployment.start_store()
    deployment.put_config(
        7,
        {
            "templates": {
                "host": deployment.host,
                "path_prefix": "/templates/",
                "kind": "download",
                "timeout_ms": TIMEOUT_MS,
                "slo_ms": 858,
                "priority": 2,
                "service": "workshop-files",
                "max_attempts": 2,
            }
        },
        {
            "order-desk": harness.service_spec(max_conns=460),
            "workshop-files": harness.service_spec(max_conns=460),
        },
    )

    async def run(worker, request):
        await asyncio.sleep(WORK_S)
        return 200, {}, bytes(ANSWER_BYTES)

    for zone in ZONES:
        worker, _ = deployment.add_machine("workshop-files", zone, slots=6)
        worker.run = run
        await worker.start()
    for n in range(ENTRIES):
        worker, _ = deployment.add_machine("order-desk", ZONES[n % 3], slots=6)
        worker.run = run
        await worker.start()
    await deployment.start_nodes()
    await asyncio.sleep(2)
    answers, end = [], asyncio.Event()

    async def one(requester, path):
        answers.append(await requester.send("GET", path, DEADLINE_MS))

    async def traffic(n):
        requester = deployment.requester(n)
        await asyncio.sleep(PERIOD_S * n / ENTRIES)
        sends, count = [], 0
        while not end.is_set():
            count += 1
            sends.append(asyncio.create_task(one(requester, f"/templates/{n}/{count}")))
            await asyncio.sleep(PERIOD_S)
        await asyncio.gather(*sends)

    first = len(ZONES) + 1
    tasks = [asyncio.create_task(traffic(n)) for n in range(first, first + ENTRIES)]
    await asyncio.sleep(8)
    for turn in range(FREEZES):
        node = deployment.nodes[turn % len(ZONES)]
        if harness.TROUBLE:
            node.signal(harness.signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        if harness.TROUBLE:
            node.signal(harness.signal.SIGCONT)
        await asyncio.sleep(BETWEEN_S)
    end.set()
    await asyncio.gather(*tasks)
    late = [a for a in answers if a.ended_s - a.sent_s > TIMEOUT_MS / 1000]
    held = [a for a in late if a.ended_s - a.sent_s > (TIMEOUT_MS + LATE_MS) / 1000]
    whole = sum(a.end == "whole" and a.status == 200 for a in answers)
    for a in late:
        started = "no start" if a.head_s is None else f"{a.head_s - a.sent_s:.3f}"
        record.line(
            f"late {a.request_id}: sent at {a.sent_s:.3f}, started after {started}, "
            f"ended after {a.ended_s - a.sent_s:.3f} s: {a.status} {a.end}"
        )
    text = (
        f"{len(answers)} requests, {whole} served whole, {len(late)} last longer than "
        f"timeout_ms, {len(held)} of these have no final answer 0.5 s later"
    )
    record.line(text)
    print(text)
    return len(held) >= LATE_COUNT and len(held) > LATE_SHARE * len(late)


if __name__ == "__main__":
    harness.main(
        HERE,
        play,
        limit_s=115,
        link_mbps=19.5,
        memory_mb=200,
        bounds={
            "ack_ms": 5000,
            "sync_s": 6,
            "drain_ms": 2500,
            "config_apply_ms": 2500,
            "budget_slack": 174,
            "cold_slack": 8,
        },
    )
