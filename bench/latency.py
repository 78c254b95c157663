"""Measures the latency that entry and gate add to a direct call.

Runs real processes on loopback: two nodes and one backend server. The *local* path's
entry runs on the backend server's own host, the *remote* path's entry on the other
host. The *relay* path goes through one process that forwards bytes unread, which is the
least that any further process adds on this machine. The paths take turns in blocks
within one run. Each block is an open loop with Poisson arrivals; each call is timed
from its start to its answer's last byte.

Run: ``python -m bench.latency [SECONDS_PER_PATH] [SEED]``.
"""

import collections
import contextlib
import dataclasses
import os
import pathlib
import platform
import random
import subprocess
import sys
import tempfile
import time
import typing as t

import trio

from bench.http import Pool
from standins.fleet import free_addresses
from standins.fleet import HostSpec
from standins.fleet import LocalFleet

CONFIG = pathlib.Path("examples/paddleworks")
TARGET = "/catalogue/blades"
RATES_PER_S = (1, 50, 250)
BLOCK_S = 2.0
WARM_UP_CALLS = 300
WARM_CONNECTIONS = 8
RELAY_START_S = 1.0
PERCENTILES = (50, 99, 99.9)
PATHS = ("direct", "relay", "local", "remote")


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Times of one path at one rate.

    Attributes:
        path: name of the path.
        rate_per_s: calls per second during the path's blocks.
        times_ms: duration of each call, sorted.
        failed: number of refusals by error kind.
        cpu_ms_per_call: processor time of both nodes per call.
    """

    path: str
    rate_per_s: int
    times_ms: list[float]
    failed: collections.Counter[str]
    cpu_ms_per_call: float

    def percentile_ms(self, percent: float) -> float:
        """Returns a percentile of the durations."""
        index = min(len(self.times_ms) - 1, int(len(self.times_ms) * percent / 100))
        return self.times_ms[index]


class LoadGenerator:
    """Generates calls in an open loop.

    Args:
        pools: connection pool of each path.
        pids: process ids of the nodes.
        rng: source of the arrival times and the order of the paths.
    """

    def __init__(
        self, pools: dict[str, Pool], pids: t.Sequence[int], rng: random.Random
    ) -> None:
        self._pools = pools
        self._pids = pids
        self._rng = rng
        self._reset()

    def _reset(self) -> None:
        self._times_ms: dict[str, list[float]] = collections.defaultdict(list)
        self._cpu_ms: collections.Counter[str] = collections.Counter()
        self._failed = {path: collections.Counter[str]() for path in PATHS}

    async def warm_up(self) -> None:
        """Opens connections and makes calls that are not counted."""
        for path, pool in self._pools.items():
            await pool.open(WARM_CONNECTIONS, TARGET)
            for _ in range(WARM_UP_CALLS):
                await self._call(path)
        self._reset()

    async def run(self, rate_per_s: int, seconds_per_path: float) -> list[Result]:
        """Runs blocks of calls on all paths, for about ``seconds_per_path`` on each."""
        self._reset()
        block_s = max(BLOCK_S, 1.0 / rate_per_s)
        for _ in range(max(1, round(seconds_per_path / block_s))):
            for path in self._rng.sample(PATHS, len(PATHS)):
                await self._run_block(path, rate_per_s, block_s)
        return [
            Result(
                path,
                rate_per_s,
                sorted(self._times_ms[path]),
                self._failed[path],
                self._cpu_ms[path] / len(self._times_ms[path]),
            )
            for path in PATHS
        ]

    async def _run_block(self, path: str, rate_per_s: int, block_s: float) -> None:
        at_s = trio.current_time()
        before_ms = sum(map(cpu_ms, self._pids))
        async with trio.open_nursery() as nursery:
            for _ in range(int(rate_per_s * block_s)):
                at_s += self._rng.expovariate(rate_per_s)
                await trio.sleep_until(at_s)
                nursery.start_soon(self._call, path)
        self._cpu_ms[path] += sum(map(cpu_ms, self._pids)) - before_ms

    async def _call(self, path: str) -> None:
        started_s = time.perf_counter()
        async with self._pools[path].connection() as connection:
            error = await connection.get(TARGET)
        self._times_ms[path].append((time.perf_counter() - started_s) * 1_000)
        if error:
            self._failed[path][error] += 1


def format_results(results: t.Sequence[Result]) -> str:
    """Returns a Markdown table of the times and of what each path adds."""
    names = [f"p{percent:g}" for percent in PERCENTILES]
    added = [f"+{name}" for name in names]
    titles = ["calls/s", "path", "calls", "failed", "CPU/call", *names, *added]
    lines = ["| " + " | ".join(titles) + " |", "|" + " --- |" * len(titles)]
    for rate_per_s in sorted({result.rate_per_s for result in results}):
        rows = {r.path: r for r in results if r.rate_per_s == rate_per_s}
        lines += [_format_row(rows[path], rows["direct"]) for path in PATHS]
    return "\n".join(lines)


def _format_row(result: Result, direct: Result) -> str:
    times_ms = [result.percentile_ms(percent) for percent in PERCENTILES]
    direct_ms = [direct.percentile_ms(percent) for percent in PERCENTILES]
    added_ms = [a - b for a, b in zip(times_ms, direct_ms, strict=True)]
    cells = [
        str(result.rate_per_s),
        result.path,
        str(len(result.times_ms)),
        str(result.failed.total()),
        f"{result.cpu_ms_per_call:.2f}",
        *(f"{value:.2f}" for value in times_ms),
        *("" if result is direct else f"{value:.2f}" for value in added_ms),
    ]
    return "| " + " | ".join(cells) + " |"


def cpu_ms(pid: int) -> float:
    """Returns the processor time that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks * 1_000 / os.sysconf("SC_CLK_TCK")


def describe_machine() -> str:
    """Returns a description of the machine and its load average."""
    text = pathlib.Path("/proc/cpuinfo").read_text(encoding="utf-8")
    models = [line for line in text.splitlines() if line.startswith("model name")]
    model = models[0].partition(":")[2].strip() if models else platform.machine()
    loads = " ".join(f"{load:.1f}" for load in os.getloadavg())
    return (
        f"{model}, {os.cpu_count()} processors, Python {platform.python_version()}, "
        f"load average {loads}"
    )


@contextlib.contextmanager
def run_relay(to_address: str) -> t.Iterator[str]:
    """Runs a relay in front of an address and provides the relay's address."""
    address = free_addresses(1)[0]
    command = [sys.executable, "-m", "bench.relay", address, to_address]
    process = subprocess.Popen(command, stdin=subprocess.DEVNULL)
    try:
        time.sleep(RELAY_START_S)
        yield address
    finally:
        process.terminate()
        process.wait()


async def measure(
    fleet: LocalFleet, relay_address: str, seconds_per_path: float, seed: int
) -> list[Result]:
    """Measures all paths at all rates."""
    entry, gate = fleet.hosts["other"], fleet.hosts["serving"]
    addresses = (
        gate.worker_address,
        relay_address,
        gate.public_address,
        entry.public_address,
    )
    pools = {path: Pool(a) for path, a in zip(PATHS, addresses, strict=True)}
    generator = LoadGenerator(
        pools, (entry.node.pid, gate.node.pid), random.Random(seed)
    )
    await generator.warm_up()
    results = []
    for rate_per_s in RATES_PER_S:
        results += await generator.run(rate_per_s, seconds_per_path)
        refused = {r.path: dict(r.failed) for r in results if r.failed}
        if refused:
            print(f"refused by kind: {refused}")
    for pool in pools.values():
        await pool.close()
    return results


def main(seconds_per_path: float = 20, seed: int = 1) -> None:
    """Starts the processes, measures all paths and prints the table."""
    places = [
        HostSpec("serving", "th-central-a", "th-central", "order-desk"),
        HostSpec("other", "th-central-b", "th-central", "workshop-files"),
    ]
    with tempfile.TemporaryDirectory(prefix="cactushook-bench-") as work:
        fleet = LocalFleet(CONFIG, pathlib.Path(work), places)
        try:
            fleet.start()
            print(f"latency: seed {seed}, {seconds_per_path:g} s per path and rate")
            print(describe_machine())
            with run_relay(fleet.hosts["serving"].worker_address) as address:
                results = trio.run(measure, fleet, address, seconds_per_path, seed)
            print(format_results(results))
            print(describe_machine())
        finally:
            fleet.stop()


if __name__ == "__main__":
    main(*(float(argument) for argument in sys.argv[1:2]), *map(int, sys.argv[2:3]))
