"""Runs the demo: real processes in three failure domains and one request per class."""

import pathlib
import shutil
import sys
import tempfile
import time
import typing as t

from .fleet import HostSpec
from .fleet import LocalFleet
from .fleet import new_idempotency_key
from .traffic import RequestResults
from .traffic import Traffic

ROOT = pathlib.Path(__file__).resolve().parent.parent
CONVERGENCE_LIMIT_S = 4.0
RECOVERY_LIMIT_S = 5.0
DOWNLOAD_MB = 32
MEMORY_GROWTH_LIMIT_BYTES = 8 * 1024 * 1024
REPORTS_WORKERS = {"cesis": 4, "valmiera": 3, "sigulda": 3}


class StepError(Exception):
    """Raised when a check of the demo fails."""


def show(text: str, passed: bool = True) -> None:
    """Prints the result of a check and ends the demo if the check fails."""
    print(f"{'ok  ' if passed else 'FAIL'} {text}", flush=True)
    if not passed:
        raise StepError(text)


def step(title: str) -> None:
    """Prints the title of a step."""
    print(f"\n{title}", flush=True)


def make_host_specs() -> list[HostSpec]:
    """Returns ten reports hosts and three archive hosts in three failure domains."""
    specs: list[HostSpec] = []
    for domain, workers in REPORTS_WORKERS.items():
        services = ["reports"] * workers + ["archive"]
        specs += [
            HostSpec(f"{domain}-{index}", domain, "vidzeme", service)
            for index, service in enumerate(services)
        ]
    return specs


def one_request_per_class(fleet: LocalFleet) -> None:
    """Shows a read, a keyed write and its duplicate, a download and a refused call."""
    step("One request of each class, through the node cesis-0")
    entry = fleet.hosts["cesis-0"]
    answer = fleet.request(entry, "GET", "/reports/17")
    show(f"idempotent read: {answer.status} {answer.content}", answer.status == 200)
    key = new_idempotency_key()
    headers = {"idempotency-key": key}
    first = fleet.request(entry, "POST", "/repair-orders", headers)
    show(f"at-most-once write: {first.status} {first.content}", first.status == 200)
    other = fleet.hosts["sigulda-3"]
    copy = fleet.request(other, "POST", "/repair-orders", headers)
    same = copy.content == first.content
    show(f"the same key sent again to another node: same answer {same}", same)
    show(f"runs of that key: {fleet.count_runs()[key]}", fleet.count_runs()[key] == 1)
    fleet.download(entry, "/photo-bundles/1?mb=1")
    before = sum(fleet.memory_bytes(host) for host in fleet.hosts.values())
    size = fleet.download(entry, f"/photo-bundles/1?mb={DOWNLOAD_MB}")
    after = sum(fleet.memory_bytes(host) for host in fleet.hosts.values())
    growth = after - before
    show(f"bulk download: {size} bytes", size == DOWNLOAD_MB * 1024 * 1024)
    show(
        f"memory of all nodes grew by {growth / 1e6:.1f} MB meanwhile",
        growth < MEMORY_GROWTH_LIMIT_BYTES,
    )
    refused = fleet.request(entry, "GET", "/survey-index/3")
    show(f"internal call from outside: {refused.status}", refused.status == 403)
    allowed = fleet.request(entry, "GET", "/survey-index/3", internal=True)
    show(f"internal call from inside: {allowed.status}", allowed.status == 200)


def publish(fleet: LocalFleet, text: str) -> None:
    """Publishes and waits until the version is in force at all nodes."""
    printed = fleet.publish()
    version = int(printed.split()[1])
    took_s = fleet.wait_until(lambda: set(fleet.versions().values()) == {version})
    show(
        f"{text}: {printed}; in force at {len(fleet.hosts)} nodes in {took_s:.2f} s",
        took_s < CONVERGENCE_LIMIT_S,
    )


def answering_domains(fleet: LocalFleet, entry: str, count: int = 30) -> set[str]:
    """Returns the failure domains of the workers that answered reads at one node."""
    answers = [
        fleet.request(fleet.hosts[entry], "GET", "/reports/1") for _ in range(count)
    ]
    failed = [answer for answer in answers if answer.status != 200]
    if failed:
        show(f"{count} reads through {entry}: {len(failed)} failed", False)
    return {answer.content.split(b'"')[3].decode()[:-2] for answer in answers}


def domain_out_and_in(fleet: LocalFleet, config: pathlib.Path) -> None:
    """Takes cesis out of service and puts it back while requests are sent."""
    step("cesis is taken out of service and put back during reads and keyed writes")
    traffic = Traffic(fleet)
    with traffic.send_in_background():
        show(fleet.run_command("domain", "out", "cesis", "--dir", str(config)))
        publish(fleet, "published")
        seen = answering_domains(fleet, "cesis-0")
        show(f"cesis out: answers come from {sorted(seen)}", "cesis" not in seen)
        show(fleet.run_command("domain", "in", "cesis", "--dir", str(config)))
        publish(fleet, "published")
        took_s = fleet.wait_until(
            lambda: "cesis" in answering_domains(fleet, "cesis-0", 10)
        )
        show(
            f"cesis back: serves again after {took_s:.2f} s", took_s < RECOVERY_LIMIT_S
        )
    show_results("reads meanwhile", traffic.reads)
    show_results("keyed writes meanwhile", traffic.writes)
    runs = fleet.count_runs()
    counts = {runs.get(key, 0) for key in traffic.writes.keys}
    show(f"runs of each write's key: {sorted(counts)}", counts == {1})


def show_results(name: str, results: RequestResults) -> None:
    """Shows how many requests failed; fails if any did."""
    count, failed = len(results.statuses), len(results.failed_statuses)
    show(f"{count} {name}: {failed} failed", not failed)


def show_operator_commands(fleet: LocalFleet) -> None:
    """Shows the output of the operators' commands."""
    step("Operators' commands: cactushook status, cactushook explain")
    node = fleet.hosts["valmiera-0"].admin_address
    for arguments in (("status",), ("explain", "GET", "/reports/17")):
        text = fleet.run_command(*arguments, "--node", node)
        print("     " + text.replace("\n", "\n     "))


def run(fleet: LocalFleet, config: pathlib.Path) -> None:
    """Runs all steps."""
    step("Start: the platform's stand-in, backend servers and one node for each")
    started_s = time.monotonic()
    fleet.start()
    show(
        f"started {len(fleet.hosts)} nodes and workers in "
        f"{time.monotonic() - started_s:.1f} s"
    )
    one_request_per_class(fleet)
    step("A team publishes a change")
    path = config / "reports" / "reports.cactushook.jsonc"
    text = path.read_text(encoding="utf-8")
    path.write_text(text.replace('"slots": 10', '"slots": 9'), encoding="utf-8")
    publish(fleet, "a new version")
    domain_out_and_in(fleet, config)
    show_operator_commands(fleet)
    step("Stop")


def main() -> int:
    """Runs the demo and returns the exit status."""
    with tempfile.TemporaryDirectory(prefix="cactushook-demo-") as name:
        work = pathlib.Path(name)
        config = work / "config"
        shutil.copytree(ROOT / "examples" / "kalnins", config)
        fleet = LocalFleet(config, work, make_host_specs())
        status = 0
        try:
            run(fleet, config)
        except (StepError, TimeoutError) as error:
            print(f"the demo stopped: {error}", file=sys.stderr)
            status = 1
        codes = fleet.stop()
        graceful = set(codes.values()) == {0}
        text = f"graceful stop of {len(codes)} nodes, exit codes {set(codes.values())}"
        print(f"{'ok  ' if graceful else 'FAIL'} {text}")
        if status or not graceful:
            _print_logs(work)
        return status or int(not graceful)


def _print_logs(work: pathlib.Path) -> None:
    lines: t.Iterable[str]
    for path in sorted(work.glob("*.log")):
        lines = path.read_text(errors="replace").splitlines()[-20:]
        print(f"--- {path.name}", *lines, sep="\n", file=sys.stderr)


if __name__ == "__main__":
    sys.exit(main())
