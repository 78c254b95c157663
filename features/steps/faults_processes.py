"""Steps that stop, kill and shut down real processes."""

import collections
import concurrent.futures
import json
import pathlib
import shutil
import signal
import socket
import tempfile

from behave import given
from behave import then
from behave import when

from standins.fleet import copy_configuration
from standins.fleet import HostSpec
from standins.fleet import LocalFleet
from standins.fleet import new_idempotency_key

EXAMPLE = pathlib.Path("examples/kalnins")
TEAM_FILE = "reports/reports.cactushook.jsonc"
ENTRY = "entry"
GATES = ("gate-a", "gate-b")
DOMAIN_OF = {"gate-a": "valmiera", "gate-b": "sigulda", ENTRY: "cesis"}
CALLERS = 8
READS = 24
# Slow reads need a longer timeout, and a cold start must not refuse them.
CONFIG_CHANGES = {
    '"timeout_ms": 2000': '"timeout_ms": 10000',
    '"connections": 130': '"connections": 130, "ramp_ms": 1',
}
SLOTS = 10
SLOW_READ = "/reports/1?ms=800"
LONG_READ = "/reports/1?ms=9000"
SLOW_CALLER_MS = 800
GROWTH_LIMIT_BYTES = 24_000_000
TIMEOUT_S = 30


@given("an entry whose reads run on two other hosts")
def fleet(context):
    name = tempfile.mkdtemp(prefix="cactushook-faults-")
    context.resources.callback(shutil.rmtree, name, ignore_errors=True)
    work = pathlib.Path(name)
    context.config_directory = work / "config"
    copy_configuration(EXAMPLE, context.config_directory, TEAM_FILE, CONFIG_CHANGES)
    host_specs = [
        HostSpec(ENTRY, DOMAIN_OF[ENTRY], "vidzeme", "archive"),
        *(HostSpec(gate, DOMAIN_OF[gate], "vidzeme", "reports") for gate in GATES),
    ]
    settings = {"limits": {"slow_caller_timeout_ms": SLOW_CALLER_MS}}
    context.fleet = LocalFleet(context.config_directory, work, host_specs, settings)
    context.resources.callback(context.fleet.stop)
    context.fleet.start()
    context.entry = context.fleet.hosts[ENTRY]
    for gate in GATES:
        context.fleet.wait_until(
            lambda gate=gate: _read_capacity(context, gate) == SLOTS
        )
    context.executor = concurrent.futures.ThreadPoolExecutor(CALLERS)
    context.resources.callback(context.executor.shutdown)


def _send_read(context, path="/reports/1", host=None):
    return context.fleet.request(host or context.entry, "GET", path)


def _sum_metric(context, host, name):
    text = context.fleet.get_admin(host, "/metrics").content.decode()
    values = [line.split()[1] for line in text.splitlines() if line.startswith(name)]
    return sum(map(float, values))


def _read_running(context, name):
    return _sum_metric(context, context.fleet.hosts[name], "cactushook_running")


def _read_capacity(context, name):
    return _sum_metric(context, context.fleet.hosts[name], "cactushook_capacity")


def _wait_for_busy_gate(context):
    """Waits until a gate runs a request and returns its name."""
    busy = []

    def seen():
        busy[:] = [name for name in GATES if _read_running(context, name) > 0]
        return bool(busy)

    context.fleet.wait_until(seen)
    return busy[0]


@when("one of the two gates is killed while it runs reads")
def kill_gate(context):
    submit = context.executor.submit
    answers = [submit(_send_read, context, SLOW_READ) for _ in range(CALLERS)]
    killed_host = context.fleet.hosts[_wait_for_busy_gate(context)]
    killed_host.node.kill()
    killed_host.node.wait()
    answers += [submit(_send_read, context) for _ in range(READS)]
    context.answers = [answer.result(TIMEOUT_S) for answer in answers]


def _assert_all_answered(answers):
    """Fails with the bodies of the refusals unless all answers are 200."""
    refused = collections.Counter(a.content for a in answers if a.status != 200)
    assert not refused, refused


@then("every read is answered with 200")
def all_reads_answered(context):
    _assert_all_answered(context.answers)


def _find_live_workers(context):
    return {
        name: context.fleet.hosts[name]
        for name in GATES
        if context.fleet.hosts[name].worker.poll() is None
    }


def _count_runs(context, host, key):
    raw = context.fleet._http.request("GET", f"http://{host.worker_address}/_runs")
    return json.loads(raw.content)["runs"].get(key, 0)


@when("the worker that runs a keyed write is killed, and the write is sent again")
def kill_worker(context):
    context.key = new_idempotency_key()
    headers = {"idempotency-key": context.key}

    def write(path):
        return context.fleet.request(context.entry, "POST", path, headers)

    first = context.executor.submit(write, "/repair-orders?ms=3000")
    runners = []

    def runs():
        runners[:] = [
            host
            for host in _find_live_workers(context).values()
            if _count_runs(context, host, context.key)
        ]
        return bool(runners)

    context.fleet.wait_until(runs)
    runners[0].worker.kill()
    runners[0].worker.wait()
    context.answers = [first.result(TIMEOUT_S), write("/repair-orders?ms=3000")]


@then("both answers say that it may have run, and no other worker ran it")
def both_answers_unknown(context):
    for answer in context.answers:
        headers = dict(answer.headers)
        assert headers.get(b"cactushook-error") == b"outcome_unknown", headers
        assert headers.get(b"cactushook-ran") == b"maybe", headers
    others = [
        _count_runs(context, host, context.key)
        for host in _find_live_workers(context).values()
    ]
    assert others == [0], others


@when("one of the two gates is stopped while reads are made")
def stop_gate(context):
    submit = context.executor.submit
    answers = [submit(_send_read, context, SLOW_READ) for _ in range(CALLERS)]
    context.stopped = _wait_for_busy_gate(context)
    node = context.fleet.hosts[context.stopped].node
    node.send_signal(signal.SIGSTOP)
    context.resources.callback(node.send_signal, signal.SIGCONT)
    context.first = [answer.result(TIMEOUT_S) for answer in answers]
    later = [submit(_send_read, context) for _ in range(READS)]
    context.later = [answer.result(TIMEOUT_S) for answer in later]


@then("every read gets an answer, and the later ones get 200")
def later_reads_answered(context):
    for answer in context.first:
        error = dict(answer.headers).get(b"cactushook-error")
        assert answer.status == 200 or error, answer
    _assert_all_answered(context.later)


@when("its failure domain is taken out and the gate continues")
def take_out_and_continue(context):
    domain = DOMAIN_OF[context.stopped]
    directory = str(context.config_directory)
    context.fleet.run_command("domain", "out", domain, "--dir", directory)
    context.version = int(context.fleet.publish().split()[1])
    others = [h for n, h in context.fleet.hosts.items() if n != context.stopped]
    for host in others:
        context.fleet.wait_until(
            lambda h=host: _read_version(context, h) == context.version
        )
    context.fleet.hosts[context.stopped].node.send_signal(signal.SIGCONT)


def _read_version(context, host):
    raw = context.fleet.get_admin(host, "/status").content
    return json.loads(raw)["version"]


@then("it catches up, and its worker gets no new work")
def caught_up(context):
    host = context.fleet.hosts[context.stopped]
    context.fleet.wait_until(lambda: _read_version(context, host) == context.version)
    context.fleet.wait_until_ready(host)
    answers = [_send_read(context, host=host) for _ in range(10)]
    _assert_all_answered(answers)
    name = context.stopped.encode()
    assert not any(name in answer.content for answer in answers), answers


def _start_read_at_gate(context, path):
    answer = context.executor.submit(_send_read, context, path)
    return answer, context.fleet.hosts[_wait_for_busy_gate(context)].node


@when("a gate gets SIGTERM while it runs a slow read")
def terminate_gate(context):
    answer, node = _start_read_at_gate(context, SLOW_READ)
    node.terminate()
    context.answers = [answer.result(TIMEOUT_S)]
    context.exit_code = node.wait(TIMEOUT_S)


@then("the read is answered with 200 and the node exits with 0")
def gate_terminated(context):
    _assert_all_answered(context.answers)
    assert context.exit_code == 0, context.exit_code


@when("a gate gets SIGTERM twice while it runs a slow read")
def terminate_gate_twice(context):
    context.answer, node = _start_read_at_gate(context, LONG_READ)
    node.terminate()
    host = next(h for h in context.fleet.hosts.values() if h.node is node)
    context.fleet.wait_until(
        lambda: context.fleet.get_admin(host, "/readyz").content == b"draining\n"
    )
    node.terminate()
    context.exit_code = node.wait(TIMEOUT_S)
    context.ended_first = not context.answer.done()


@then("the node has exited before the read could end")
def node_exited_first(context):
    assert context.ended_first
    assert context.exit_code == 0, context.exit_code
    context.answer.result(TIMEOUT_S)


@when("the platform is killed")
def kill_platform(context):
    context.fleet.platform.kill()
    context.fleet.platform.wait()


@then("reads and keyed writes are answered with 200")
def serves_without_platform(context):
    answers = [_send_read(context) for _ in range(READS)]
    for _ in range(4):
        headers = {"idempotency-key": new_idempotency_key()}
        path = "/repair-orders"
        answer = context.fleet.request(context.entry, "POST", path, headers)
        answers.append(answer)
    _assert_all_answered(answers)


@when("the platform restarts and a new version is published")
def restart_platform(context):
    directory = str(context.config_directory)
    context.fleet.run_command("domain", "out", DOMAIN_OF["gate-a"], "--dir", directory)
    context.version = int(context.fleet.publish().split()[1])
    context.fleet.start_platform()


@then("the new version is in force everywhere")
def in_force(context):
    context.fleet.wait_until(
        lambda: set(context.fleet.versions().values()) == {context.version}
    )


@when("a caller requests 64 MB and stops reading")
def stalled_caller(context):
    fleet = context.fleet
    hosts = list(fleet.hosts.values())
    before = [fleet.memory_bytes(host) for host in hosts]
    ip, _, port = context.entry.public_address.rpartition(":")
    with socket.create_connection((ip, int(port))) as caller:
        caller.sendall(b"GET /reports/1?mb=64 HTTP/1.1\r\nHost: x\r\n\r\n")
        caller.recv(1_000)
        fleet.wait_until(
            lambda: _sum_metric(context, context.entry, "cactushook_refusals_total") > 0
        )
        fleet.wait_until(
            lambda: not any(_read_running(context, name) for name in GATES)
        )
        after = [fleet.memory_bytes(host) for host in hosts]
    pairs = zip(before, after, strict=True)
    context.growth_bytes = [late - early for early, late in pairs]


@then("no node grows by more than 24 MB, and the worker's slot is free again")
def no_growth(context):
    assert max(context.growth_bytes) < GROWTH_LIMIT_BYTES, context.growth_bytes
