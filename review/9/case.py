"""Requesters send long bodies that stay within the configuration's `body_bytes`."""

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import harness  # noqa: E402

ZONES = ("th-central-a", "th-central-b", "th-central-c")
BODY_LIMIT_BYTES = 67_108_864
LONG_BYTES = 48_000_000
USUAL_BYTES = 24_000
MEMORY_MB = 150
ROUNDS = 4
ENDS_PER_MACHINE = 3
MACHINES = 2
SAMPLE_S = 0.01


async def play(deployment):
    """Plays the case; returns whether the rule was broken."""
    record = deployment.record
    await deployment.start_store()
    deployment.put_config(
        7,
        {
            "commissions": {
                "host": deployment.host,
                "path_prefix": "/commissions/",
                "kind": "non_idempotent",
                "timeout_ms": 1200,
                "slo_ms": 600,
                "priority": 1,
                "service": "order-desk",
                "max_attempts": 2,
            }
        },
        {"order-desk": harness.service_spec()},
    )

    async def run(worker, request):
        record.line(f"worker {worker.ip} runs {request[1]}, {len(request[3])} bytes")
        await asyncio.sleep(0.2)
        return 200, {}, b"placed"

    for zone in ZONES:
        worker, _ = deployment.add_machine("order-desk", zone)
        worker.run = run
        await worker.start()
    await deployment.start_nodes()
    await asyncio.sleep(2)
    ends = dict.fromkeys(range(1, len(ZONES) + 1), 0)
    peaks = dict.fromkeys(ends, 0.0)

    async def platform(n):
        """Kills a process over the limit and starts it again, as the platform does."""
        node = deployment.nodes[n - 1]
        while True:
            await asyncio.sleep(SAMPLE_S)
            used_mb = memory_mb(node.process.pid)
            peaks[n] = max(peaks[n], used_mb)
            if used_mb > MEMORY_MB:
                record.line(f"machine {n}: {used_mb:.0f} MB, over {MEMORY_MB} MB")
                ends[n] += 1
                node.signal(signal.SIGKILL)
                await node.process.wait()
                await asyncio.sleep(0.5)
                await node.start()
                await node.ready()

    watches = [asyncio.create_task(platform(n)) for n in ends]
    size = LONG_BYTES if harness.TROUBLE else USUAL_BYTES
    body = bytes(size)
    for turn in range(ROUNDS):
        for n in range(1, MACHINES + 1):
            await deployment.nodes[n - 1].ready()
            requester = deployment.requester(n)
            await requester.send("POST", f"/commissions/{n}/{turn}", 2500, body)
            await asyncio.sleep(1)
        await asyncio.sleep(4)
    for watch in watches:
        watch.cancel()
    text = f"bodies of {size} bytes; peaks in MB {peaks}; ends {ends}"
    record.line(text)
    print(text)
    return sum(count >= ENDS_PER_MACHINE for count in ends.values()) >= MACHINES


def memory_mb(pid):
    """Returns the resident memory of a process."""
    try:
        lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0.0
    found = [line.split()[1] for line in lines if line.startswith("VmRSS")]
    return int(found[0]) / 1024 if found else 0.0


if __name__ == "__main__":
    harness.main(HERE, play, limit_s=115, memory_mb=MEMORY_MB)
