"""Measures memory and processor time of a node's parts.

Each size of a probe and each import runs in a fresh process.

Run all: ``python -m bench.memory_slopes``. One probe at one size:
``python -m bench.memory_slopes PROBE SIZE``. `SEED` seeds the distributors; nothing
else is random.
"""

import dataclasses
import statistics
import subprocess
import sys
import typing as t

import msgspec

from .slope_probes import PROBES
from .slope_probes import Sample
from .slope_probes import SEED

ROUNDS = 3

IMPORTS = (
    "msgspec",
    "xxhash",
    "h11",
    "trio",
    "cactushook",
    "thriftpy2",
    "prometheus_client",
    "hypercorn.trio",
    "httpcore",
    "pythonjsonlogger.json",
    "cactushook_node.wire",
    "cactushook_node.command",
)


def measure_import(module: str) -> Sample:
    """Measures a fresh interpreter that imports a module."""
    code = (
        "import re, time, pathlib; started = time.process_time_ns(); "
        f"import {module}; took = time.process_time_ns() - started; "
        "text = pathlib.Path('/proc/self/status').read_text(); "
        r"print(re.search(r'VmRSS:\s+(\d+)', text)[1], took)"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code], check=True, capture_output=True, text=True
    )
    kilobytes, nanoseconds = completed.stdout.split()
    return Sample(int(kilobytes) * 1_024, int(nanoseconds) / 1_000)


def run_in_fresh_process(name: str, size: int) -> Sample:
    """Runs one probe in a fresh interpreter and returns its sample."""
    command = [sys.executable, "-m", "bench.memory_slopes", name, str(size)]
    completed = subprocess.run(command, check=True, capture_output=True)
    return msgspec.json.decode(completed.stdout, type=Sample)


def fit_slope(sizes: t.Sequence[int], values: t.Sequence[float]) -> float:
    """Returns the growth per unit of size by a least-squares fit."""
    if len(sizes) < 2:
        return 0.0
    return statistics.linear_regression(sizes, values).slope


def median_sample(samples: t.Sequence[Sample]) -> Sample:
    """Returns a sample with the median of each figure."""
    fields = [field.name for field in dataclasses.fields(Sample)]
    return Sample(
        *(statistics.median(getattr(one, field) for one in samples) for field in fields)
    )


def print_probe(probe: t.Callable[[int], Sample], sizes: t.Sequence[int]) -> None:
    """Prints the figures and slopes of a probe as table rows."""
    name = probe.__name__
    rows = [
        median_sample([run_in_fresh_process(name, size) for _ in range(ROUNDS)])
        for size in sizes
    ]
    for size, row in zip(sizes, rows, strict=True):
        print(
            f"| {name} | {size} | {row.memory_bytes / 1_024:.0f} | {row.cpu_us:.1f} "
            f"| {row.wire_bytes:.0f} |",
            flush=True,
        )
    memory = fit_slope(sizes, [row.memory_bytes for row in rows])
    cpu = fit_slope(sizes, [row.cpu_us for row in rows])
    wire_bytes = fit_slope(sizes, [row.wire_bytes for row in rows])
    if len(sizes) > 1:
        print(
            f"| {name} | per unit | {memory:.0f} B | {cpu:.3f} | {wire_bytes:.1f} |",
            flush=True,
        )


def main(arguments: t.Sequence[str] = ()) -> None:
    """Runs one probe, or all of them."""
    if arguments:
        probes = {probe.__name__: probe for probe in PROBES}
        sample = probes[arguments[0]](int(arguments[1]))
        print(msgspec.json.encode(sample).decode())
        return
    print(f"seed {SEED}, median of {ROUNDS} fresh processes")
    print("| import | resident KiB | processor ms |")
    print("| --- | --- | --- |")
    for module in ("sys", *IMPORTS):
        sample = median_sample([measure_import(module) for _ in range(ROUNDS)])
        print(
            f"| {module} | {sample.memory_bytes / 1_024:.0f} "
            f"| {sample.cpu_us / 1_000:.1f} |"
        )
    print("| probe | size | allocated KiB | processor us | bytes |")
    print("| --- | --- | --- | --- | --- |")
    for probe, sizes in PROBES.items():
        print_probe(probe, sizes)


if __name__ == "__main__":
    main(sys.argv[1:])
