"""Steps that drive real nodes through their admin address, signals and log."""

import ast
import contextlib
import json
import pathlib
import re
import shutil
import socket
import tempfile
import threading

import httpcore
from behave import given
from behave import then
from behave import when

from features import command
from standins.fleet import HostSpec
from standins.fleet import LocalFleet
from standins.fleet import new_idempotency_key

NODE = "cesis-0"
STOP_TIMEOUT_S = 30


def make_fleet(context, config, host_specs, settings=None):
    name = tempfile.mkdtemp(prefix="cactushook-test-")
    context.resources.callback(shutil.rmtree, name, ignore_errors=True)
    context.work = pathlib.Path(name)
    context.directory = context.work / "config"
    shutil.copytree(config, context.directory)
    context.fleet = LocalFleet(context.directory, context.work, host_specs, settings)
    context.resources.callback(context.fleet.stop)
    context.host = context.fleet.hosts[NODE]
    context.outcomes = []


def make_host_specs():
    return [HostSpec(NODE, "cesis", "vidzeme", "reports")]


@given('one node of "{config}" that is not started')
def prepared_node(context, config):
    make_fleet(context, config, make_host_specs())
    context.fleet.prepare()


@given('one running node of "{config}"')
def running_node(context, config):
    make_fleet(context, config, make_host_specs())
    context.fleet.start()


@given('a node logging at "{level}" for "{config}"')
def running_node_with_level(context, level, config):
    make_fleet(context, config, make_host_specs(), {"log": {"level": level}})
    context.fleet.start()


@given('running nodes in three failure domains of "{config}"')
def running_nodes(context, config):
    host_specs = [
        HostSpec(f"{domain}-{index}", domain, "vidzeme", service)
        for domain in ("cesis", "valmiera", "sigulda")
        for index, service in enumerate(("reports", "archive"))
    ]
    make_fleet(context, config, host_specs)
    context.fleet.start()
    context.fleet.wait_until(lambda: is_membership_complete(context))


def is_membership_complete(context):
    fleet = context.fleet
    answers = [fleet.get_admin(host, "/status") for host in fleet.hosts.values()]
    return all(json.loads(a.content)["hosts"] == len(fleet.hosts) for a in answers)


@given("its public address is in use")
def address_taken(context):
    ip, _, port = context.host.public_address.rpartition(":")
    taken = context.resources.enter_context(socket.socket())
    taken.bind((ip, int(port)))
    taken.listen()


@when("the node is started and ends")
def started_and_ends(context):
    context.fleet.start_node(context.host)
    context.host.node.wait(STOP_TIMEOUT_S)


@then('it ended with status {code:d} and the one line "{line}"')
def ended_with_line(context, code, line):
    assert context.host.node.returncode == code
    expected = line.replace("ADDRESS", context.host.public_address)
    assert read_log_lines(context) == [f"address_in_use: {expected}"], read_log_lines(
        context
    )


@when("the node is started without its platform")
def started_without_platform(context):
    context.fleet.start_worker(context.host)
    context.fleet.start_node(context.host)


@when("the platform is started")
def platform_started(context):
    context.fleet.start_platform()


def read_readiness(context):
    answer = context.fleet.get_admin(context.host, "/readyz")
    return answer.status, answer.content.decode().strip()


@then('it becomes not ready because "{reason}"')
def becomes_not_ready(context, reason):
    context.fleet.wait_until(lambda: read_readiness(context) == (503, reason))


@then("it becomes ready")
def becomes_ready(context):
    context.fleet.wait_until_ready(context.host)


def read_log_lines(context):
    return (context.work / f"{NODE}.log").read_text().splitlines()


def read_log_events(context):
    return [json.loads(line) for line in read_log_lines(context)]


@then('its log contains the event "{event}"')
def log_contains(context, event):
    # The node writes its log shortly after the event, so that it never blocks on it.
    context.fleet.wait_until(
        lambda: event in [item["event"] for item in read_log_events(context)]
    )


@then("it stops with status {code:d}")
def stops(context, code):
    assert context.fleet.stop() == {NODE: code}


@when("the node is stopped")
def node_stopped(context):
    context.fleet.stop()


@when("the node gets SIGTERM while it serves a request of {length_ms:d} ms")
def stopped_while_serving(context, length_ms):
    fleet = context.fleet
    context.answers = []

    def call():
        path = f"/repair-orders?ms={length_ms}"
        headers = {"idempotency-key": new_idempotency_key()}
        with contextlib.suppress(httpcore.NetworkError, httpcore.ProtocolError):
            answer = fleet.request(context.host, "POST", path, headers)
            context.answers.append(answer)

    context.caller = threading.Thread(target=call)
    context.caller.start()
    metric = b"cactushook_running 1.0"
    fleet.wait_until(
        lambda: metric in fleet.get_admin(context.host, "/metrics").content
    )
    context.host.node.terminate()


@when("the node gets SIGTERM again")
def stopped_again(context):
    context.host.node.terminate()


@then("the request was cut off")
def request_cut_off(context):
    context.caller.join(STOP_TIMEOUT_S)
    assert not context.answers, context.answers


@then("its status shows that it is leaving")
def status_shows_leaving(context):
    status = json.loads(context.fleet.get_admin(context.host, "/status").content)
    assert status["leaving_hosts"] == [NODE], status
    assert context.fleet.get_admin(context.host, "/healthz").status == 200


@then("the request is answered with {status:d}")
def request_answered(context, status):
    context.caller.join(STOP_TIMEOUT_S)
    assert [answer.status for answer in context.answers] == [status]


@then("the node ended with status {code:d}")
def node_ended(context, code):
    assert context.host.node.wait(STOP_TIMEOUT_S) == code


@when('these commands query the node "{name}"')
def commands_query(context, name):
    address = context.fleet.hosts[name].admin_address
    for line in context.text.splitlines():
        outcome = command.run_line(line.replace("NODE", address), context.directory)
        context.outcomes.append(outcome)
        context.transcript += [f"$ {line}", *map(normalise, outcome.lines())]


def normalise(line):
    """Replaces what differs from run to run."""
    line = re.sub(r"age: \d+\.\d s", "age: N s", line)
    return re.sub(r"role (reader|relay)", "role ROLE", line)


@when('"{first}" and "{second}" are out in the version in force')
def domains_out_in_force(context, first, second):
    fleet = context.fleet
    for domain in (first, second):
        fleet.run_command("domain", "out", domain, "--dir", str(context.directory))
    version = int(fleet.publish().split()[1])
    fleet.wait_until(lambda: set(fleet.versions().values()) == {version})


@when('requests carry the word "{word}" in query, body, header and key')
def secret_requests(context, word):
    fleet = context.fleet
    headers = {"authorization": word, "cactushook-timeout-ms": word}
    requests = (
        ("GET", f"/reports/1?token={word}", {"authorization": word}),
        ("GET", f"/reports/1?token={word}", headers),
        ("GET", f"/nowhere?token={word}", {}),
        ("POST", "/repair-orders", {"idempotency-key": word}),
        (
            "POST",
            f"/repair-orders?{word}=1",
            {"idempotency-key": new_idempotency_key()},
        ),
        (
            "POST",
            f"/repair-orders?{word}=1&crash=1",
            {"idempotency-key": new_idempotency_key()},
        ),
    )
    for method, path, fields in requests:
        fleet.request(context.host, method, path, fields)
    fleet.request(context.host, "POST", f"/repair-orders?body={word}", {"cookie": word})


@then("each line of its log is an event with time, level, host, domain and version")
def log_is_events(context):
    events = read_log_events(context)
    names = [event["event"] for event in events]
    assert {"started", "version_applied", "draining", "stopped"} <= set(names), names
    fields = {"time", "level", "event", "host", "domain"}
    for event in events:
        assert fields <= set(event), event
    after = events[names.index("version_applied") + 1 :]
    assert after and all(event["version"] == 1 for event in after if "host" in event)


@then('its log does not hold the word "{word}"')
def log_holds_no(context, word):
    assert not [line for line in read_log_lines(context) if word in line]


@when("the status command queries an address that returns each of these")
def strangers_queried(context):
    context.outcomes = []
    for row in context.table:
        raw = ast.literal_eval(f"b'{row['answer']}'")
        address, outcome = query_status(raw)
        context.outcomes.append(outcome)
        lines = [line.replace(address, "NODE") for line in outcome.lines()]
        context.transcript += [f"$ {row['answer']}", *lines]


def query_status(raw):
    """Returns the address that sent an answer and the command's outcome."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = f"127.0.0.1:{server.getsockname()[1]}"
        thread = threading.Thread(target=answer_once, args=(server, raw))
        thread.start()
        try:
            return address, command.run_here(["status", "--node", address])
        finally:
            thread.join(STOP_TIMEOUT_S)


def answer_once(server, raw):
    connection, _ = server.accept()
    with connection:
        connection.recv(65_536)
        connection.sendall(raw)


@when(
    "the status command queries an address whose answer is nested {depth:d} levels deep"
)
def nested_queried(context, depth):
    body = b'{"more": ' + depth * b"[" + depth * b"]" + b"}"
    head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n".encode()
    context.address, context.outcome = query_status(head + body)


@then("it ends with status 1 and one line that names the address")
def ends_with_line(context):
    outcome = context.outcome
    assert outcome.code == 1 and not outcome.out, outcome
    assert len(outcome.err.splitlines()) == 1 and context.address in outcome.err
