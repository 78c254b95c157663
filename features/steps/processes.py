"""Steps that drive real processes and keep a normalised transcript."""

import pathlib
import shutil
import tempfile

from behave import given
from behave import when

from standins.fleet import HostSpec
from standins.fleet import LocalFleet
from standins.fleet import new_idempotency_key

DOMAINS = ("cesis", "valmiera", "sigulda")
DOWNLOAD_MB = 32
ROUTE_TIMEOUT_MS = 2_000


@given('real processes in three failure domains with "{config}"')
def processes(context, config):
    name = tempfile.mkdtemp(prefix="cactushook-test-")
    context.resources.callback(shutil.rmtree, name, ignore_errors=True)
    work = pathlib.Path(name)
    context.config_directory = work / "config"
    shutil.copytree(config, context.config_directory)
    host_specs = [
        HostSpec(f"{domain}-{index}", domain, "vidzeme", service)
        for domain in DOMAINS
        for index, service in enumerate(("reports", "archive"))
    ]
    context.fleet = LocalFleet(context.config_directory, work, host_specs)
    context.resources.callback(context.fleet.stop)
    context.fleet.start()


@when("a read, a keyed write and its copy, a download and an internal call are made")
def one_of_each(context):
    fleet = context.fleet
    first, second = fleet.hosts["cesis-0"], fleet.hosts["sigulda-1"]
    log = context.transcript.append
    log(f"read: {fleet.request(first, 'GET', '/reports/17').status}")
    path = "/reports/17?header=cactushook-timeout-ms"
    remaining_ms = int(fleet.request(second, "GET", path).content or 0)
    log(f"the worker gets the remaining time: {0 < remaining_ms <= ROUTE_TIMEOUT_MS}")
    headers = {"idempotency-key": new_idempotency_key()}
    answers = [
        fleet.request(host, "POST", "/repair-orders", headers)
        for host in (first, second)
    ]
    log(f"keyed write and its copy: {[answer.status for answer in answers]}")
    log(f"same answer: {answers[0].content == answers[1].content}")
    log(f"runs: {fleet.count_runs()[headers['idempotency-key']]}")
    size = fleet.download(first, f"/photo-bundles/1?mb={DOWNLOAD_MB}")
    log(f"download: {size} bytes")
    for internal in (False, True):
        answer = fleet.request(first, "GET", "/survey-index/3", internal=internal)
        error = dict(answer.headers).get(b"cactushook-error", b"none").decode()
        log(f"internal route, internal={internal}: {answer.status} {error}")
    answer = fleet.request(first, "GET", "/reports/17", {"cactushook-hops": "24"})
    error = dict(answer.headers).get(b"cactushook-error", b"none").decode()
    log(f"one hop too many: {answer.status} {error}")


@when('"{domain}" is taken out and put back')
def take_out_and_put_back(context, domain):
    fleet = context.fleet
    for word in ("out", "in"):
        fleet.run_command(
            "domain", word, domain, "--dir", str(context.config_directory)
        )
        version = int(fleet.publish().split()[1])
        fleet.wait_until(lambda v=version: set(fleet.versions().values()) == {v})
        context.transcript.append(f"{domain} {word}: version {version} everywhere")
        answers = [
            fleet.request(fleet.hosts[f"{domain}-0"], "GET", "/reports/1")
            for _ in range(20)
        ]
        statuses = sorted({answer.status for answer in answers})
        avoided = all(domain.encode() not in answer.content for answer in answers)
        context.transcript.append(f"statuses {statuses}")
        if word == "out":
            context.transcript.append(f"{domain} got no work: {avoided}")


@when("the nodes are stopped")
def stop_nodes(context):
    codes = context.fleet.stop()
    context.transcript.append(f"exit codes: {sorted(set(codes.values()))}")
