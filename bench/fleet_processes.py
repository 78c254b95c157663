"""Measures real node processes on loopback.

Measures convergence, memory, processor time and control bytes.

Run: ``python -m bench.fleet_processes [NODES [IDLE_S]]``. The seeds of the
nodes count up from `SEED`. Convergence is computed from the nodes' logs, so that no
polling adds to their cost; as a check, ``/status`` of every node is read once after
each change.
"""

import concurrent.futures
import contextlib
import dataclasses
import datetime
import json
import os
import pathlib
import re
import statistics
import sys
import tempfile
import time
import typing as t

import httpcore
import msgspec
import trio
from cactushook.digests import canonical_json

from standins.fleet import Host
from standins.fleet import HostSpec
from standins.fleet import LocalFleet

from . import target_fleet

SEED = 1
DOMAINS_USED = 3
CHANGES = 10
COLD_START_LIMIT_S = 240.0
CHANGE_SPACING_S = 3.0
SETTLE_S = 5.0
CALL_S = 15.0
RESTARTS = 3
CALL_RATES_PER_S = (50, 250)
IN_FLIGHT = (0, 50, 100, 250)
HOLD_MS = 1_500
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Resources that a node has used since its start, and its current memory.

    Attributes:
        cpu_s: processor time, user and system.
        resident_bytes: resident memory.
        control_bytes: bytes of control frames received and sent, without TCP and IP
            headers.
        source_calls: number of calls to the platform.
    """

    cpu_s: float
    resident_bytes: int
    control_bytes: float
    source_calls: float


class NodesOnly(LocalFleet):
    """A fleet in which only the hosts in ``workers`` have a backend server."""

    workers: t.Collection[str] = ()

    def _settings(self, host: Host) -> dict[str, t.Any]:
        seed = SEED + list(self.hosts).index(host.spec.name)
        return {**super()._settings(host), "seed": seed}

    def start_worker(self, host: Host) -> None:
        """Starts a host's backend server if the host is in ``workers``."""
        if host.spec.name in self.workers:
            super().start_worker(host)

    def wait_until_ready(self, host: Host) -> None:
        """Waits until a node is ready; reading the first version takes long."""
        self.wait_until(
            lambda: self.get_admin(host, "/readyz").status == 200, COLD_START_LIMIT_S
        )


def cpu_s(pid: int) -> float:
    """Returns the processor time that a process has used."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def sum_metric(text: str, name: str) -> float:
    """Returns the sum of a metric over all labels."""
    found = re.findall(rf"^{name}(?:\{{.*\}})? (\S+)$", text, re.MULTILINE)
    return sum(float(value) for value in found)


def usage(fleet: LocalFleet, host: Host) -> Usage:
    """Reads the usage of a node."""
    text = fleet.get_admin(host, "/metrics").content.decode()
    return Usage(
        cpu_s(host.node.pid),
        fleet.memory_bytes(host),
        sum_metric(text, "cactushook_control_bytes_total"),
        sum_metric(text, "cactushook_source_calls_total"),
    )


def usages(fleet: LocalFleet) -> list[Usage]:
    """Reads the usage of every node."""
    return [usage(fleet, host) for host in fleet.hosts.values()]


def write_config(directory: pathlib.Path, slots: int = 12) -> None:
    """Writes the operators' file and the target fleet's team files."""
    directory.mkdir()
    operators = canonical_json(target_fleet.operators())
    (directory / "operators.cactushook.jsonc").write_bytes(operators)
    for index in range(target_fleet.SERVICES):
        write_team_file(directory, index, slots)


def write_team_file(directory: pathlib.Path, index: int, slots: int) -> None:
    """Writes one service's team file."""
    team_file = target_fleet.team_file(index, slots)
    path = directory / f"{team_file.service}.cactushook.jsonc"
    path.write_bytes(canonical_json(team_file))


def places(count: int) -> list[HostSpec]:
    """Returns hosts in three failure domains, each in a region of its own."""
    return [
        HostSpec(
            f"host-{index:05d}",
            target_fleet.domain_name(index % DOMAINS_USED),
            target_fleet.region_name(index % DOMAINS_USED),
            f"service-{index // 2}",
        )
        for index in range(count)
    ]


def read_applied_times(log: pathlib.Path) -> dict[int, float]:
    """Returns the time at which a node applied each version, in epoch seconds."""
    moments: dict[int, float] = {}
    for line in log.read_text(encoding="utf-8").splitlines():
        event = json.loads(line)
        if event["event"] == "version_applied":
            moment = datetime.datetime.fromisoformat(event["time"])
            moments[event["version"]] = moment.timestamp()
    return moments


def start(fleet: NodesOnly) -> None:
    """Starts all nodes at once and prints the time and processor time of the start."""
    started_s = time.monotonic()
    fleet.start()
    print(
        f"| all started at once to all ready, s | {time.monotonic() - started_s:.1f} |"
    )
    time.sleep(SETTLE_S)
    ready = [cpu_s(host.node.pid) for host in fleet.hosts.values()]
    print(
        "| processor time from exec to ready and settled, s "
        f"| {format_quantiles(ready)} |"
    )


def start_alone(fleet: NodesOnly) -> None:
    """Restarts one node repeatedly while the others idle and prints the times."""
    host = list(fleet.hosts.values())[-1]
    took: list[float] = []
    for _ in range(RESTARTS):
        host.node.terminate()
        host.node.wait(timeout=30)
        started_s = time.monotonic()
        fleet.start_node(host)
        fleet.wait_until_ready(host)
        took.append(time.monotonic() - started_s)
    print(f"| one node's start to ready, others idle, s | {format_quantiles(took)} |")


def idle(fleet: LocalFleet, seconds: float) -> None:
    """Prints the usage of the nodes while nothing changes."""
    before = usages(fleet)
    time.sleep(seconds)
    after = usages(fleet)
    pairs = list(zip(before, after, strict=True))
    minute = 60 / seconds
    cpu = [(b.cpu_s - a.cpu_s) * minute for a, b in pairs]
    control = [(b.control_bytes - a.control_bytes) / seconds for a, b in pairs]
    calls = sum(b.source_calls - a.source_calls for a, b in pairs) / seconds
    resident = [b.resident_bytes / 1e6 for b in after]
    print(f"| resident memory, MB | {format_quantiles(resident)} |")
    print(f"| processor time per idle minute, s | {format_quantiles(cpu)} |")
    print(
        f"| control bytes per idle second, in and out | {format_quantiles(control)} |"
    )
    print(f"| source calls per idle second, whole fleet | {calls:.1f} |")


def changes(fleet: LocalFleet, config: pathlib.Path, work: pathlib.Path) -> None:
    """Publishes changes and prints convergence and cost."""
    head = work / "published" / "head.json"
    published: dict[int, float] = {}
    before = usages(fleet)
    started_s = time.monotonic()
    missing = 0
    for index in range(CHANGES):
        write_team_file(config, index + 1, 13)
        version = int(fleet.publish().split()[1])
        published[version] = head.stat().st_mtime
        time.sleep(CHANGE_SPACING_S)
        missing += sum(found != version for found in fleet.versions().values())
    elapsed_s = time.monotonic() - started_s
    after = usages(fleet)
    _print_convergence(fleet, work, published)
    print(f"| nodes not at the version after {CHANGE_SPACING_S} s | {missing} |")
    pairs = list(zip(before, after, strict=True))
    cpu = [(b.cpu_s - a.cpu_s) / CHANGES for a, b in pairs]
    control = [(b.control_bytes - a.control_bytes) / elapsed_s for a, b in pairs]
    print(
        f"| processor time per change with {elapsed_s / CHANGES:.1f} s of idling, "
        f"one status and its share of two scrapes, s | {format_quantiles(cpu)} |"
    )
    print(f"| control bytes per second meanwhile | {format_quantiles(control)} |")
    resident = [b.resident_bytes / 1e6 for b in after]
    print(f"| resident memory afterwards, MB | {format_quantiles(resident)} |")


def calls(fleet: NodesOnly) -> None:
    """Prints the processor time per call at an entry and at a gate."""
    names = list(fleet.hosts)
    entry, gate = fleet.hosts[names[-1]], fleet.hosts[names[0]]
    path = "/service-0/reads"
    print(f"| entry {entry.spec.name}, gate {gate.spec.name} | idempotent GET |")
    for rate_per_s in CALL_RATES_PER_S:
        before = usage(fleet, entry), usage(fleet, gate)
        latencies = trio.run(_call_steadily, entry.public_address, path, rate_per_s)
        after = usage(fleet, entry), usage(fleet, gate)
        ms = [
            (b.cpu_s - a.cpu_s) * 1_000 / len(latencies)
            for a, b in zip(before, after, strict=True)
        ]
        print(
            f"| {rate_per_s} calls/s, {len(latencies)} answered: processor ms per call "
            f"at entry, gate (idle cost included) | {ms[0]:.3f}, {ms[1]:.3f} |"
        )


def in_flight(fleet: NodesOnly) -> None:
    """Prints the resident memory while the worker holds requests open."""
    names = list(fleet.hosts)
    entry, gate = fleet.hosts[names[-1]], fleet.hosts[names[0]]
    target = f"http://{entry.public_address}/service-0/reads?ms={HOLD_MS}"
    for count in IN_FLIGHT:
        with (
            httpcore.ConnectionPool(max_connections=count + 1) as pool,
            concurrent.futures.ThreadPoolExecutor(count + 1) as threads,
        ):
            futures = [
                threads.submit(lambda: pool.request("GET", target).status)
                for _ in range(count)
            ]
            time.sleep(HOLD_MS / 2_000)
            resident = [fleet.memory_bytes(host) / 1_024 for host in (entry, gate)]
            statuses = [future.result() for future in futures]
        print(
            f"| {count} in flight, {statuses.count(200)} answered: resident KiB at "
            f"entry, gate | {resident[0]:.0f}, {resident[1]:.0f} |"
        )


async def _call_steadily(address: str, path: str, rate_per_s: int) -> list[float]:
    latencies: list[float] = []
    async with (
        httpcore.AsyncConnectionPool(max_connections=100) as pool,
        trio.open_nursery() as nursery,
    ):
        started = trio.current_time()
        for index in range(int(rate_per_s * CALL_S)):
            await trio.sleep_until(started + index / rate_per_s)
            nursery.start_soon(_call, pool, f"http://{address}{path}", latencies)
    return latencies


async def _call(
    pool: httpcore.AsyncConnectionPool, url: str, latencies: list[float]
) -> None:
    started = trio.current_time()
    answer = await pool.request("GET", url)
    if answer.status == 200:
        latencies.append(trio.current_time() - started)


def _print_convergence(
    fleet: LocalFleet, work: pathlib.Path, published: t.Mapping[int, float]
) -> None:
    logs = [read_applied_times(work / f"{name}.log") for name in fleet.hosts]
    delays = [
        log[version] - moment
        for version, moment in published.items()
        for log in logs
        if version in log
    ]
    last = [
        max(log[version] for log in logs if version in log) - moment
        for version, moment in published.items()
    ]
    skipped = len(logs) * len(published) - len(delays)
    print(
        "| publication to in force, per node and change, s "
        f"| {format_quantiles(delays)} |"
    )
    print(f"| publication to in force at the last node, s | {format_quantiles(last)} |")
    print(f"| versions that a node never had in force | {skipped} |")


def format_quantiles(values: t.Sequence[float]) -> str:
    """Returns the median, the 99th percentile and the maximum as text."""
    ordered = sorted(values)
    p99 = ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))]
    return f"{statistics.median(ordered):.3f} / {p99:.3f} / {ordered[-1]:.3f}"


def main(arguments: t.Sequence[str] = ()) -> None:
    """Runs every measurement against one fleet."""
    count = int(arguments[0]) if arguments else 30
    idle_s = float(arguments[1]) if len(arguments) > 1 else 60
    with (
        tempfile.TemporaryDirectory(prefix="cactushook-bench-") as name,
        contextlib.ExitStack() as stack,
    ):
        work = pathlib.Path(name)
        config = work / "config"
        write_config(config)
        write_called_service(config)
        fleet = NodesOnly(config, work, places(count))
        fleet.workers = list(fleet.hosts)[:2]
        stack.callback(fleet.stop)
        print(f"{count} nodes, {target_fleet.SERVICES} services, seed {SEED}")
        print("| figure | median / p99 / largest |")
        print("| --- | --- |")
        start(fleet)
        idle(fleet, idle_s)
        changes(fleet, config, work)
        calls(fleet)
        in_flight(fleet)
        start_alone(fleet)


def write_called_service(config: pathlib.Path) -> None:
    """Writes the called service's team file with limits for many open requests."""
    team_file = target_fleet.team_file(0)
    limits = msgspec.structs.replace(team_file.limits, slots=1_000, connections=1_000)
    raw = canonical_json(msgspec.structs.replace(team_file, limits=limits))
    (config / "service-0.cactushook.jsonc").write_bytes(raw)


if __name__ == "__main__":
    main(sys.argv[1:])
