"""Runs behave and prints the closing line that CI reads.

Scenarios named in ``KNOWN-RED.txt`` are printed and passed over; every other
failure makes the exit status 1.
"""

import pathlib
import sys
import typing as t

from behave.configuration import Configuration
from behave.model import Status
from behave.runner import Runner

ROOT = pathlib.Path(__file__).resolve().parent.parent
PLATFORM = ROOT / "platform"
SUITES = (ROOT / "features", PLATFORM / "features")
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"


def known_red() -> frozenset[str]:
    """Returns the scenario names listed in ``KNOWN-RED.txt``."""
    lines = KNOWN_RED_FILE.read_text(encoding="utf-8").splitlines()
    entries = (line for line in lines if line.strip() and not line.startswith("#"))
    return frozenset(entry.split("|")[0].strip() for entry in entries)


def all_scenarios(runner: Runner) -> t.Iterator[t.Any]:
    """Yields each scenario that the runner has loaded, outlines expanded."""
    for feature in runner.features:
        yield from feature.walk_scenarios()


def run_paths(paths: list[str]) -> tuple[bool, list[t.Any]]:
    """Runs the features below paths; returns whether it broke off and all scenarios."""
    config = Configuration(command_args=["--no-capture", "--format=progress", *paths])
    runner = Runner(config)
    aborted = runner.run() and runner.aborted
    return aborted, list(all_scenarios(runner))


def _by_suite(paths: list[str]) -> list[list[str]]:
    """Groups paths by the suite whose steps they need."""
    platform = [path for path in paths if path.startswith("platform")]
    others = [path for path in paths if path not in platform]
    return [group for group in (others, platform) if group]


def main(arguments: list[str]) -> int:
    """Runs the features given (all by default) and returns the exit status."""
    sys.path.append(str(PLATFORM))
    groups = _by_suite(arguments) if arguments else [[str(path)] for path in SUITES]
    results = [run_paths(paths) for paths in groups]
    aborted = any(broken for broken, _ in results)
    known = known_red()
    scenarios = [scenario for _, found in results for scenario in found]
    passed = [s for s in scenarios if s.status == Status.passed]
    red = [s for s in scenarios if s.status.is_failure() or s.status.is_error()]
    untested = [s for s in scenarios if s not in passed and s not in red]
    failed = [s for s in red if s.name not in known]
    for scenario in red:
        label = "known red" if scenario.name in known else "FAILED"
        print(f"{label}: {scenario.location} {scenario.name}")
    for scenario in untested:
        print(f"not run: {scenario.location} {scenario.name}")
    print(f"{len(passed)} passed, {len(failed)} failed")
    return 1 if failed or aborted or untested or not passed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
