"""Steps that stop and kill real nodes and serve them an old version."""

import json
import os
import pathlib
import shutil
import signal
import tempfile
import time

from behave import given
from behave import then
from behave import when

from standins.fleet import HostSpec
from standins.fleet import LocalFleet

DOMAINS = ("cesis", "valmiera", "sigulda")
HEAD = pathlib.Path("published", "head.json")


@given('six real nodes in three failure domains with "{config}"')
def six_nodes(context, config):
    name = tempfile.mkdtemp(prefix="cactushook-test-")
    context.resources.callback(shutil.rmtree, name, ignore_errors=True)
    context.work = pathlib.Path(name)
    context.config_directory = context.work / "config"
    shutil.copytree(config, context.config_directory)
    host_specs = [
        HostSpec(f"{domain}-{index}", domain, "vidzeme", service)
        for domain in DOMAINS
        for index, service in enumerate(("reports", "archive"))
    ]
    context.fleet = LocalFleet(context.config_directory, context.work, host_specs)
    context.resources.callback(context.fleet.stop)
    context.fleet.start()
    context.first_head = (context.work / HEAD).read_bytes()
    context.newest = json.loads(context.first_head)["version"]


@when('node process "{name}" is stopped by SIGSTOP')
def stop_process(context, name):
    context.stopped = context.fleet.hosts[name].node
    context.resources.callback(os.kill, context.stopped.pid, signal.SIGCONT)
    os.kill(context.stopped.pid, signal.SIGSTOP)
    context.transcript.append(f"{name} stopped")


@when("a new version is published and in force at the others")
def publish_to_others(context):
    fleet = context.fleet
    directory = str(context.config_directory)
    fleet.run_command("domain", "out", "valmiera", "--dir", directory)
    context.newest = int(fleet.publish().split()[1])
    others = [host for host in fleet.hosts.values() if host.node != context.stopped]
    for host in others:
        fleet.wait_until(
            lambda host=host: read_status(context, host)[0] == context.newest
        )
    context.transcript.append(f"version {context.newest} at {len(others)} nodes")


@when('{length_s:d} s of real time pass and "{name}" is continued')
def continue_process(context, length_s, name):
    time.sleep(length_s)
    os.kill(context.stopped.pid, signal.SIGCONT)
    context.transcript.append(f"{name} continued")


@then('"{name}" catches up')
def catches_up(context, name):
    host = context.fleet.hosts[name]
    context.fleet.wait_until(
        lambda: read_status(context, host) == (context.newest, True)
    )
    pauses = read_metric(context, host, "cactushook_pauses_total")
    context.transcript.append(f"{name} has version {context.newest}")
    assert pauses >= 1, pauses


@when("the platform serves the first version again")
def serve_first(context):
    (context.work / HEAD).write_bytes(context.first_head)
    context.transcript.append("platform serves version 1")


@when('node process "{name}" is killed by SIGKILL and started again')
def kill_process(context, name):
    host = context.fleet.hosts[name]
    host.node.kill()
    host.node.wait()
    context.fleet.start_node(host)
    context.transcript.append(f"{name} killed and started")


@then('"{name}" takes work with the newest version only')
def newest_only(context, name):
    host = context.fleet.hosts[name]
    seen = set()

    def check_ready():
        version, ready = read_status(context, host)
        if ready:
            seen.add(version)
        return ready

    context.fleet.wait_until(check_ready)
    until_s = time.monotonic() + 2
    while time.monotonic() < until_s:
        check_ready()
        time.sleep(0.05)
    assert seen == {context.newest}, seen
    context.transcript.append(f"{name} was ready with versions {sorted(seen)}")


@then("all six nodes have the newest version")
def all_newest(context):
    versions = context.fleet.versions()
    context.transcript.append(f"versions {sorted(versions.values())}")
    assert set(versions.values()) == {context.newest}, versions


def read_status(context, host):
    """Returns a node's version and whether it is ready."""
    answer = json.loads(context.fleet.get_admin(host, "/status").content)
    return answer["version"], answer["ready"]


def read_metric(context, host, name):
    text = context.fleet.get_admin(host, "/metrics").content.decode()
    values = (line.split()[1] for line in text.splitlines() if line.startswith(name))
    return float(next(values))
