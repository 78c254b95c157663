"""Steps for nodes that start while callers connect."""

import importlib.util
import json
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
import unittest.mock

import trio
import trio.testing
from behave import given
from behave import then
from behave import when
from cactushook import CactushookError
from cactushook_node import edge
from cactushook_node import wire
from cactushook_node.caller_sockets import bind_caller_sockets
from cactushook_node.environment import Readiness
from cactushook_node.settings import LISTEN_FIELDS

from features import daemon
from features import edge_fixtures
from standins.fleet import BIN

GENERATOR = pathlib.Path("packages/cactushook-node/generate_messages.py")
REQUEST = b"GET /reports HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
UNREACHED_WAIT_MS = 600_000
LIST_LOADED = "import sys, cactushook_node.{}; print(*sorted(sys.modules))"
ENTRY_POINT = "main"
COMMAND = "command"
DEPLOY_FILE = pathlib.Path("deploy/system.toml")
# A library that the daemon loads first of all, and that is mapped into memory.
FIRST_LIBRARY = "/msgspec/"


def list_loaded(module):
    """Returns the modules that are loaded with one of the daemon."""
    command = [sys.executable, "-c", LIST_LOADED.format(module)]
    completed = subprocess.run(command, capture_output=True, check=True, text=True)
    loaded = completed.stdout.split()
    assert f"cactushook_node.{module}" in loaded
    return loaded


@then("the command of the daemon loads neither the event loop nor the node")
def loads_little(context):
    loaded = list_loaded(COMMAND)
    assert "trio" not in loaded
    assert "cactushook_node.node" not in loaded


@then("the entry point of the daemon loads no library and none of its other modules")
def loads_nothing(context):
    loaded = list_loaded(ENTRY_POINT)
    # The editable install of the tests is found by modules of its own.
    ours = [name for name in loaded if name.startswith("cactushook")]
    assert ours == ["cactushook_node", "cactushook_node.main"], ours
    assert not {"msgspec", "argparse", "logging"} & set(loaded), loaded


@then("the command of the deploy file starts the interpreter without its site")
def without_site(context):
    command = tomllib.loads(DEPLOY_FILE.read_text())["roles"]["node"]["run"]
    assert command.startswith("python3 -S -m cactushook_node.main run "), command


@given("an edge whose addresses are bound while its node starts")
def starting_edge(context):
    context.env = edge_fixtures.environment()
    context.entry = edge_fixtures.ScriptedEntry()
    sockets = bind_caller_sockets(context.env.settings)
    context.resources.callback(sockets.close)
    context.edge = edge.Edge(context.env, context.entry, sockets)


@when("a request is sent, and the edge waits until the node is ready")
def node_becomes_ready(context):
    with unittest.mock.patch.object(edge, "READY_WAIT_MS", UNREACHED_WAIT_MS):
        trio.run(call_starting_edge, context, True)


@when("a request is sent, and the edge waits although the node does not become ready")
def node_stays_unready(context):
    trio.run(call_starting_edge, context, False)


async def call_starting_edge(context, becomes_ready):
    """Sends a request before the edge accepts callers."""
    env = context.env
    async with trio.open_nursery() as nursery:
        stream = await edge_fixtures.connect(env.settings.public_listen)
        await stream.send_all(REQUEST)
        nursery.start_soon(context.edge.serve_once_ready)
        await trio.testing.wait_all_tasks_blocked()
        context.served_before = len(context.entry.requests)
        if becomes_ready:
            env.board.readiness.write(Readiness(True, "ready"))
        context.answer, _ = await edge_fixtures.read_to_end(stream)
        nursery.cancel_scope.cancel()


@then("the request is served only after that")
@then("the request is served all the same")
def served_later(context):
    assert context.served_before == 0
    assert context.answer.startswith(b"HTTP/1.1 200 "), context.answer


@when("a request is sent whose caller leaves, and the edge accepts callers then")
def caller_leaves_early(context):
    async def body():
        async with trio.open_nursery() as nursery:
            stream = await edge_fixtures.connect(context.env.settings.public_listen)
            await stream.send_all(REQUEST)
            await stream.aclose()
            await nursery.start(context.edge.serve)
            metric = "cactushook_refusals"
            await edge_fixtures.wait_until(
                lambda: edge_fixtures.counted_all(context.env, metric)
            )
            nursery.cancel_scope.cancel()

    trio.run(body)


@then("the request is not passed on")
def not_passed_on(context):
    assert not context.entry.requests


@given("a node's settings whose internal address is in use")
def internal_address_taken(context):
    context.env = edge_fixtures.environment()
    ip, _, port = context.env.settings.internal_listen.rpartition(":")
    taken = context.resources.enter_context(socket.socket())
    taken.bind((ip, int(port)))
    taken.listen()


@then('binding its addresses fails and names "{field}"')
def binding_fails(context, field):
    try:
        bind_caller_sockets(context.env.settings).close()
    except CactushookError as error:
        assert field in error.message, error
    else:
        raise AssertionError("both addresses were bound")


@then("its public address is free again")
def public_address_free(context):
    ip, _, port = context.env.settings.public_listen.rpartition(":")
    with socket.socket() as probe:
        probe.bind((ip, int(port)))


@then("generating the messages again changes nothing")
def generated_is_current(context):
    spec = importlib.util.spec_from_file_location("generate_messages", GENERATOR)
    generator = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(generator)
    command = [sys.executable, "-m", "ruff", "format", "-"]
    generated = generator.generate().encode()
    formatted = subprocess.run(command, input=generated, stdout=-1, check=True).stdout
    assert formatted == generator.GENERATED.read_bytes()


@then("a message without its lists has lists of its own")
def own_lists(context):
    first, second = wire.RefusalMessage(stream_id=1), wire.RefusalMessage(stream_id=2)
    first.home.append("a host")
    assert second.home == []


@given("a node's settings in a file that nothing else reads")
def settings_in_file(context):
    directory = tempfile.TemporaryDirectory(prefix="cactushook-test-")
    context.file = pathlib.Path(context.resources.enter_context(directory)) / "s.jsonc"
    worker, platform, *listen = edge_fixtures.free_addresses(2 + len(LISTEN_FIELDS))
    context.settings = {
        **daemon.GOOD_SETTINGS,
        **dict(zip(LISTEN_FIELDS, listen, strict=True)),
        "worker": {"address": worker},
        "platform": {"address": platform},
    }
    context.file.write_text(json.dumps(context.settings))


@when(
    "the node starts, and the log level changes with a SIGHUP once callers can connect"
)
def hangup_while_starting(context):
    start_daemon(context)
    ip, _, port = context.settings["public_listen"].rpartition(":")

    def can_connect():
        with socket.socket() as probe:
            return probe.connect_ex((ip, int(port))) == 0

    wait_until(can_connect)
    context.file.write_text(json.dumps({**context.settings, "log": {"level": "debug"}}))
    context.process.send_signal(signal.SIGHUP)


@when("the node starts, and gets a SIGHUP as soon as it loads a library")
def hangup_while_loading(context):
    start_daemon(context)
    maps = pathlib.Path(f"/proc/{context.process.pid}/maps")
    while FIRST_LIBRARY not in maps.read_text():
        assert context.process.poll() is None, context.process.returncode
    context.process.send_signal(signal.SIGHUP)


@then("the node runs")
def node_runs(context):
    wait_until(lambda: "started" in [line["event"] for line in log_lines(context)])


@then("the node runs and has read the log level")
def settings_were_read(context):
    def read_changes():
        lines = log_lines(context)
        return [line["changed"] for line in lines if line["event"] == "settings_read"]

    wait_until(lambda: ["log"] in read_changes())


def start_daemon(context):
    """Starts the daemon with the settings file and a log."""
    context.log = context.file.with_suffix(".log")
    with context.log.open("wb") as log:
        context.process = subprocess.Popen(
            [BIN / "cactushookd", "run", "--settings", context.file], stdout=log
        )
    context.resources.callback(context.process.wait)
    context.resources.callback(context.process.kill)


def log_lines(context):
    """Returns the complete lines of the log of a daemon, which must still run."""
    assert context.process.poll() is None, context.process.returncode
    whole, _, _ = context.log.read_text().rpartition("\n")
    return [json.loads(line) for line in whole.splitlines()]


def wait_until(condition):
    """Waits until a condition holds."""
    trio.run(edge_fixtures.wait_until, condition)
