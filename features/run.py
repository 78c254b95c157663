"""Runs behave and prints the summary line that CI reads.

Feature files run in parallel, each in its own process. A failed scenario that is
listed in ``KNOWN-RED.txt`` is printed, but does not count as a failure. The exit
status is 1 if another scenario failed, a run was aborted, a scenario did not run or
none passed.
"""

import concurrent.futures
import dataclasses
import json
import os
import pathlib
import subprocess
import sys
import time
import typing as t

from behave.configuration import Configuration
from behave.model import Status
from behave.runner import Runner

from features import port_ranges
from standins.fleet import PORTS_ENV_VARIABLE
from standins.fleet import PORTS_PER_PROCESS

ROOT = pathlib.Path(__file__).resolve().parent.parent
PLATFORM = ROOT / "platform"
SUITES = (ROOT / "features", PLATFORM / "features")
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
# Some features start a dozen processes themselves.
MAX_WORKERS = 4
FILE_TIMEOUT_S = 900
# Below the ephemeral ports that the system assigns to connections.
FIRST_PORTS = range(10_000, 32_000, PORTS_PER_PROCESS)
# Makes the process run a single file and print its results on the last line.
WORKER_FLAG = "--worker"
# The slowest files start first, so that the short ones run beside them.
LONGEST_FIRST = (
    "product_node",
    "faults_processes",
    "stop_and_reload",
    "processes",
    "distribution_sessions",
    "serving_departure",
    "endless_answers",
)


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """The name, location and status of one scenario that ended."""

    name: str
    location: str
    status: str


def read_known_red() -> frozenset[str]:
    """Returns the scenario names listed in ``KNOWN-RED.txt``."""
    lines = KNOWN_RED_FILE.read_text(encoding="utf-8").splitlines()
    entries = (line for line in lines if line.strip() and not line.startswith("#"))
    return frozenset(entry.split("|")[0].strip() for entry in entries)


def run_file(path: str) -> int:
    """Runs one feature file and prints its results as JSON on the last line."""
    sys.path.append(str(PLATFORM))
    config = Configuration(command_args=["--no-capture", "--format=progress", path])
    runner = Runner(config)
    aborted = runner.run() and runner.aborted
    for feature in runner.features:
        for scenario in feature.walk_scenarios():
            _print_errors(scenario)
    results = [
        [scenario.name, str(scenario.location), _status_name(scenario.status)]
        for feature in runner.features
        for scenario in feature.walk_scenarios()
    ]
    print("\n" + json.dumps({"aborted": bool(aborted), "results": results}))
    return 0


def _print_errors(scenario: t.Any) -> None:
    for step in scenario.all_steps:
        if step.error_message:
            print(f"{step.location} {step.name}\n{step.error_message}")


def _status_name(status: Status) -> str:
    if status == Status.passed:
        return "passed"
    return "failed" if status.is_failure() or status.is_error() else "untested"


def _run_child(path: pathlib.Path) -> tuple[bool, list[Result]]:
    """Runs a feature file in a child process and prints its output."""
    with port_ranges.claim(FIRST_PORTS) as first_port:
        return _run_with_ports(path, first_port)


def _run_with_ports(path: pathlib.Path, first_port: int) -> tuple[bool, list[Result]]:
    started_s = time.monotonic()
    command = [sys.executable, "-m", "features.run", WORKER_FLAG, str(path)]
    child = subprocess.run(
        command,
        cwd=ROOT,
        env={**os.environ, PORTS_ENV_VARIABLE: str(first_port)},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        timeout=FILE_TIMEOUT_S,
        check=False,
    )
    text = child.stdout.decode(errors="backslashreplace")
    output, _, last = text.rstrip("\n").rpartition("\n")
    print(f"{output}\n{path.name}: {time.monotonic() - started_s:.1f} s", flush=True)
    try:
        report = json.loads(last)
    except ValueError:
        print(f"{path.name}: no results; exit status {child.returncode}: {last}")
        return True, []
    return report["aborted"], [Result(*fields) for fields in report["results"]]


def _find_files(arguments: list[str]) -> list[pathlib.Path]:
    """Returns the feature files below the paths given, the longest ones first."""
    paths = [pathlib.Path(a).resolve() for a in arguments] or list(SUITES)
    found = [
        file
        for path in paths
        for file in (sorted(path.rglob("*.feature")) if path.is_dir() else [path])
    ]
    rank = {name: index for index, name in enumerate(LONGEST_FIRST)}
    return sorted(found, key=lambda file: rank.get(file.stem, len(rank)))


def _run_all(files: list[pathlib.Path]) -> t.Iterator[tuple[bool, list[Result]]]:
    workers = max(1, min(MAX_WORKERS, os.cpu_count() or 1))
    with concurrent.futures.ThreadPoolExecutor(workers) as pool:
        yield from pool.map(_run_child, files)


def main(arguments: list[str]) -> int:
    """Runs the features given (all by default) and returns the exit status."""
    if arguments[:1] == [WORKER_FLAG]:
        return run_file(arguments[1])
    outcomes = list(_run_all(_find_files(arguments)))
    aborted = any(is_aborted for is_aborted, _ in outcomes)
    known = read_known_red()
    results = [result for _, found in outcomes for result in found]
    passed = [r for r in results if r.status == "passed"]
    red = [r for r in results if r.status == "failed"]
    untested = [r for r in results if r.status == "untested"]
    failed = [r for r in red if r.name not in known]
    for result in red:
        label = "known red" if result.name in known else "FAILED"
        print(f"{label}: {result.location} {result.name}")
    for result in untested:
        print(f"not run: {result.location} {result.name}")
    print(f"{len(passed)} passed, {len(failed)} failed")
    return 1 if failed or aborted or untested or not passed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
