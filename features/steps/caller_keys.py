"""Steps on callers' keys: a node with real sockets and a worker that keeps requests."""

import logging

import msgspec
import trio
from behave import given
from behave import then
from behave import when
from cactushook import Head
from cactushook import Limits
from cactushook import Route
from cactushook import RouteClass
from cactushook import Router
from cactushook import Snapshot
from cactushook import TeamFile
from cactushook.confirmation import Confirmation
from cactushook.snapshot import bind_route
from cactushook.workspaces import build_table
from cactushook.workspaces import run_steps
from cactushook.workspaces import Workspace
from cactushook.workspaces import WorkspaceSource
from cactushook_cli.formatting import format_explanation
from cactushook_node.edge import Edge
from cactushook_node.entry import Entry
from cactushook_node.environment import Environment
from cactushook_node.environment import Readiness
from cactushook_node.explain import explain
from cactushook_node.gate import Gate
from cactushook_node.link_pool import LinkPool
from cactushook_node.quotas import Quotas
from cactushook_node.settings import HeaderSettings

from features import edge_fixtures
from features.keeping_worker import KeepingWorker

# Callers use another IP than the worker, whose requests are nested.
WORKER_IP = "127.0.1.1"
HEADERS = HeaderSettings(request_id="Request-Id", workspace="Caller-Workspace")
SERVICE = "reports"
READ = RouteClass.IDEMPOTENT
FLOOD_CONNECTIONS = 20


class KeyedNode:
    """Edge, entry and gate of a node, run anew for each step."""

    def __init__(self):
        self.worker = KeepingWorker(b"request-id")
        self.calls = []
        settings = edge_fixtures.environment().settings
        port = settings.worker.address.rpartition(":")[2]
        worker = msgspec.structs.replace(settings.worker, address=f"{WORKER_IP}:{port}")
        limits = msgspec.structs.replace(settings.limits, connections=100)
        settings = msgspec.structs.replace(
            settings, headers=HEADERS, worker=worker, limits=limits
        )
        self.environment = Environment(settings)
        self.environment.board.readiness.write(Readiness(True, "ready"))
        self.environment.confirmation.record(self.environment.now_ms())

    def apply(self, snapshot):
        self.environment.store.apply_snapshot(snapshot)
        self.environment.board.snapshot.write(snapshot)

    def run(self, body):
        """Runs a function with the address for callers."""

        async def main():
            env = self.environment
            async with trio.open_nursery() as nursery:
                await edge_fixtures.serve(
                    nursery, env.settings.worker.address, self.worker.serve
                )
                gate = Gate(env, nursery)
                self._keep_calls(gate)
                env.board.snapshot.write(env.store.snapshot)
                links = LinkPool(env, None, nursery)
                entry = Entry(env, links, gate, Quotas(env, links, nursery))
                nursery.start_soon(env.run_timers)
                await nursery.start(Edge(env, entry).serve)
                with trio.fail_after(edge_fixtures.WAIT_LIMIT_S):
                    await body(env.settings.public_listen)
                nursery.cancel_scope.cancel()

        trio.run(main)

    def _keep_calls(self, gate):
        serve = gate.serve

        async def keep_and_serve(call, request, emit):
            self.calls.append(call)
            await serve(call, request, emit)

        gate.serve = keep_and_serve


def make_snapshot(version, sources):
    limits = Limits(slots=5, connections=5, ramp_ms=1)
    services = {
        SERVICE: TeamFile(service=SERVICE, team="", failure_domains=(), limits=limits)
    }
    routes = [
        Route(path=path, route_class=READ, service=SERVICE, priority=3)
        for path in ("/a", "/open")
    ]
    table = run_steps(build_table(sources))
    return Snapshot(
        Head(version=version, root=""),
        services,
        {},
        tuple(bind_route(r, services, "", r.path == "/open") for r in routes),
        table.workspaces,
        table,
    )


def keep_log(context):
    handler = logging.Handler()
    context.log_records = []
    handler.emit = context.log_records.append
    logger = logging.getLogger("cactushook.node")
    level = logger.level
    logger.setLevel("DEBUG")
    logger.addHandler(handler)
    context.resources.callback(logger.removeHandler, handler)
    context.resources.callback(logger.setLevel, level)


@given("a node without a configuration")
def node_without_configuration(context):
    keep_log(context)
    context.node = KeyedNode()
    context.node.environment.board.readiness.write(Readiness(False, "starting"))


@given("a node without workspaces")
def node_without_workspaces(context):
    keep_log(context)
    context.node = KeyedNode()
    context.node.apply(make_snapshot(1, ()))


@given('a node whose workspace "{name}" has the key "{key}"')
def node_with_workspace(context, name, key):
    keep_log(context)
    context.node = KeyedNode()
    version_gives(context, 1, key, name)


@when('version {version:d} gives the key "{key}" to "{name}"')
def version_gives(context, version, key, name):
    source = WorkspaceSource(Workspace(name, priority=7), (key,))
    context.node.apply(make_snapshot(version, (source,)))


def make_request(headers, path="/a", close=True):
    text = headers.replace("\\r\\n", "\r\n")
    text = text.replace("LONG", 257 * "k")
    closing = "Connection: close\r\n" if close else ""
    head = f"GET {path} HTTP/1.1\r\nHost: x\r\nRequest-Id: r1\r\n{closing}"
    return f"{head}{text}\r\n\r\n".encode()


def send(context, raw, source_ip="127.0.0.1"):
    async def body(address):
        ip, _, port = address.rpartition(":")
        stream = await trio.open_tcp_stream(ip, int(port), local_address=source_ip)
        async with stream:
            await stream.send_all(raw)
            context.answer, _ = await edge_fixtures.read_to_end(stream)

    context.node.worker.requests.clear()
    context.node.run(body)


@when('the {sender} sends a request to "{path}" with "{headers}"')
def sends(context, sender, path, headers):
    source_ip = WORKER_IP if sender == "worker" else "127.0.0.1"
    send(context, make_request(headers, path), source_ip)


@then('the answer is "{answer}", and the worker gets the workspace "{workspace}"')
def answer_is(context, answer, workspace, authorization=None):
    requests = context.node.worker.requests
    if answer == "200":
        assert context.answer.startswith(b"HTTP/1.1 200 "), context.answer
        (headers,) = requests
        expected = None if workspace == "none" else workspace.encode()
        assert headers.get(b"caller-workspace") == expected, headers
        assert headers.get(b"authorization") == authorization, headers
        assert b"caller_workspace" not in headers, headers
        return
    kind, _, reason = answer.partition(": ")
    parts = [f"\r\ncactushook-error: {kind}\r\n", "\r\ncactushook-ran: no\r\n", reason]
    if kind == "unauthenticated":
        parts += [
            "HTTP/1.1 401 ",
            "\r\nwww-authenticate: Bearer\r\n",
            "retry: never\r\n",
        ]
    found = [part.encode() in context.answer for part in parts]
    assert all(found) and not requests, context.answer
    is_unavailable = context.answer.startswith(b"HTTP/1.1 503 ")
    assert (b"\r\nretry-after: " in context.answer) == is_unavailable, context.answer


@then('the worker gets no workspace and the authorization "{key}"')
def gets_key(context, key):
    answer_is(context, "200", "none", key.encode())


@then('it is refused by version {version:d} because "{reason}"')
def refused_by_version(context, version, reason):
    answer_is(context, f"unauthenticated: {reason}", "-")
    records = context.log_records
    line = [r for r in records if getattr(r, "request_id", "") == "r1"][-1]
    assert (line.routed_version, line.reason) == (version, reason), line.__dict__


@then('no answer, log line or metric holds "{word}"')
def holds_no(context, word):
    metrics = context.node.environment.metrics.expose()
    texts = [str(record.__dict__) for record in context.log_records]
    texts += [context.answer.decode(), metrics.decode()]
    assert not [text for text in texts if word in text]


@then('the gate got priority {first:d} of "{name}" and then priority {second:d} of ""')
def gate_got(context, first, name, second):
    found = [(call.priority, call.workspace) for call in context.node.calls]
    assert found == [(first, name), (second, "")], found


@when("{wrong:d} requests with wrong keys and {valid:d} with the right key are sent")
def flood(context, wrong, valid):
    context.valid_answers = []

    async def send_wrong(address, first):
        async with await edge_fixtures.connect(address) as stream:
            for number in range(first, wrong, FLOOD_CONNECTIONS):
                key = f"Authorization: Bearer wrong-{number}"
                await stream.send_all(make_request(key, close=False))
                data = b""
                while b"}" not in data:
                    data += await stream.receive_some(edge_fixtures.PART_BYTES)
                assert data.startswith(b"HTTP/1.1 401 "), data

    async def body(address):
        async with trio.open_nursery() as nursery:
            for first in range(FLOOD_CONNECTIONS):
                nursery.start_soon(send_wrong, address, first)
            raw = make_request("Authorization: Bearer hush-1")
            for _ in range(valid):
                context.valid_answers.append(await edge_fixtures.call(address, raw))

    context.node.run(body)


@then("the {wrong:d} are refused before the worker, and the {valid:d} are answered")
def flood_refused(context, wrong, valid):
    env = context.node.environment
    labels = {"kind": "unauthenticated", "place": "entry"}
    assert edge_fixtures.counted(env, "cactushook_refusals", **labels) == wrong
    assert len(context.node.worker.requests) == valid
    answers = [data for data, _ in context.valid_answers]
    assert all(data.startswith(b"HTTP/1.1 200 ") for data in answers), answers


@then(
    'explanations of "{first}" and "{second}" say that a key is "{one}" and "{other}"'
)
def explanations_say(context, first, second, one, other):
    env = context.node.environment
    router = Router(env.settings.domain, env.settings.region, env.rng)
    for path, expected in ((first, one), (second, other)):
        text = format_explanation(explain(env, router, "GET", path))
        assert f"key: {expected}\n" in text, text


@given(
    "its configuration must be confirmed each {limit_ms:d} ms, was {age_ms:d} ms ago"
)
def confirmed_ago(context, limit_ms, age_ms):
    env = context.node.environment
    now_ms = env.now_ms()
    env.now_ms = lambda: now_ms
    env.confirmation = Confirmation(limit_ms)
    env.confirmation.record(now_ms - age_ms)


@given("it is decoding a later configuration")
def decoding(context):
    context.node.environment.confirmation.is_decoding = True
