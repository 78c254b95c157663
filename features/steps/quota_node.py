"""Steps on quotas between nodes over real connections, in one process."""

import dataclasses
import itertools
import time

import msgspec
import trio
from behave import given
from behave import then
from behave import when
from cactushook import ErrorKind
from cactushook import Head
from cactushook import HostState
from cactushook import Limits
from cactushook import RequestError
from cactushook import Route
from cactushook import RouteClass
from cactushook import Snapshot
from cactushook import TeamFile
from cactushook.answer_sizes import AnswerSizes
from cactushook.quota_bounds import QuotaBounds
from cactushook.snapshot import BoundRoute
from cactushook.workspaces import Workspace
from cactushook_node.admin import Admin
from cactushook_node.call_builder import CallBuilder
from cactushook_node.entry import Entry
from cactushook_node.entry import EntryRequest
from cactushook_node.environment import Readiness
from cactushook_node.gate import Gate
from cactushook_node.http_messages import ReplyRefused
from cactushook_node.link_pool import LinkPool
from cactushook_node.quotas import Quotas
from cactushook_node.supervision import Supervisor

from features import edge_fixtures

SERVICE = "reports"
# Homes that started together serve well before the hold time of a new home has passed.
START_S = 1.0
ENTRY_REQUEST_PERIOD = 10
PAUSED_REQUESTS = 12
REQUEST = EntryRequest("GET", b"/a", (), b"", internal=False)


class WorkspaceCalls(CallBuilder):
    """Builds calls of callers who all belong to one workspace."""

    workspace = ""

    def build(self, *arguments):
        call = super().build(*arguments)
        return dataclasses.replace(call, workspace=self.workspace)


class QuotaNode:
    """The parts of a node that take part in quotas; there is no worker to call."""

    def __init__(self, name, workspaces, nursery):
        env = self.environment = edge_fixtures.environment()
        env.settings = msgspec.structs.replace(env.settings, host=name)
        env.membership.own = msgspec.structs.replace(
            env.membership.own, name=name, service="other"
        )
        self.record = env.membership.own
        tasks = Supervisor(env, nursery)
        self.links = LinkPool(env, self, tasks)
        self.quotas = Quotas(env, self.links, tasks)
        gate = Gate(env, tasks)
        self.entry = Entry(env, self.links, gate, self.quotas)
        self.entry.calls = WorkspaceCalls(env, AnswerSizes())
        self.admin = Admin(env, self.entry.router, self.quotas)
        env.board.readiness.write(Readiness(True, "ready"))
        self.snapshot = make_snapshot(workspaces)
        self.refusals = []

    async def start(self, nursery, records):
        env = self.environment
        env.membership.replace_all(records)
        env.store.apply_snapshot(self.snapshot)
        nursery.start_soon(env.run_timers)
        await nursery.start(self.links.listen, nursery)

    async def on_hello(self, link, hello):
        self.links.register_incoming(link)

    async def on_control_message(self, link, message):
        await self.quotas.on_message(link, message)

    async def request(self, workspace="acme", nested=False):
        self.entry.calls.workspace = workspace
        request = dataclasses.replace(REQUEST, nested=nested)
        refused = []

        async def emit(event):
            if isinstance(event, ReplyRefused):
                refused.append(event)

        await self.entry.serve(request, emit)
        return refused[0]


def make_snapshot(workspaces):
    limits = Limits(slots=1, connections=5)
    team_file = TeamFile(service=SERVICE, team="", failure_domains=(), limits=limits)
    route = Route(path="/", route_class=RouteClass.NON_IDEMPOTENT)
    # The tests set the workspace themselves, so callers need no key.
    bound = BoundRoute(route, team_file, is_open=True)
    return Snapshot(
        Head(version=1, root="r"), {SERVICE: team_file}, {}, (bound,), workspaces
    )


@given(
    'three connected nodes and a workspace "{name}" with {rate:d} requests a second '
    "and a burst of {burst:d}"
)
def three_nodes(context, name, rate, burst):
    context.workspaces = {name: Workspace(name, rate_per_s=rate, burst=burst)}


def run_nodes(context, scenario):
    """Runs a scenario with nodes whose homes serve."""

    async def run():
        async with trio.open_nursery() as nursery:
            nodes = [QuotaNode(f"h{n}", context.workspaces, nursery) for n in range(3)]
            records = [node.record for node in nodes]
            for node in nodes:
                await node.start(nursery, records)
            await trio.sleep(START_S)
            await scenario(nodes, nursery)
            nursery.cancel_scope.cancel()

    trio.run(run)


@when(
    "its requests arrive at {rate:d} a second at all entries for {seconds:d} s, once "
    "its home serves"
)
def requests_arrive(context, rate, seconds):
    context.admitted, context.refused, context.over_quota = [], [], []

    async def acquire(node):
        try:
            context.admitted.append(await node.quotas.acquire("acme"))
        except RequestError as error:
            context.refused.append(error.refusal)

    async def ask_entry(node):
        refusal = await node.request()
        if refusal.kind is ErrorKind.OVER_QUOTA:
            context.over_quota.append(refusal)

    async def scenario(nodes, nursery):
        started_s = trio.current_time()
        for index in range(rate * seconds):
            nursery.start_soon(acquire, nodes[index % len(nodes)])
            if index % ENTRY_REQUEST_PERIOD == 0:
                nursery.start_soon(ask_entry, nodes[0])
            await trio.sleep(1 / rate)
        context.elapsed_s = trio.current_time() - started_s
        context.exempt = [
            await nodes[0].request(workspace, nested)
            for workspace, nested in (("", False), ("other", False), ("acme", True))
        ]
        context.status = nodes[0].admin.status().quotas
        await trio.sleep(0.2)

    run_nodes(context, scenario)


@then(
    "at least {share:g} of what the rate allows are admitted, and at most what a full "
    "bucket allows too"
)
def some_admitted(context, share):
    count = len(context.admitted)
    workspace = context.workspaces["acme"]
    by_rate = workspace.rate_per_s * context.elapsed_s
    most = by_rate + QuotaBounds().capacity(workspace)
    print(f"admitted {count}, the rate allows {by_rate:.0f}, at most {most:.0f}")
    assert share * by_rate <= count <= most, count


@then(
    'each other one is answered 429 "{kind}" with a time to retry of at most '
    "{seconds:d} s"
)
def answered_429(context, kind, seconds):
    assert context.over_quota, "no request was refused by the entry"
    for refusal in (*context.refused, *context.over_quota):
        assert refusal.kind.value == kind, refusal
        assert 0 < refusal.retry_after_ms <= seconds * 1_000, refusal


@then("requests without a workspace, and nested ones, are not refused for a quota")
def exempt_served(context):
    kinds = {refusal.kind for refusal in context.exempt}
    assert ErrorKind.OVER_QUOTA not in kinds, context.exempt


@then("the admin page of an entry shows the quota, its home and the demand")
def status_shown(context):
    (status,) = context.status
    assert (status.workspace, status.rate_per_s, status.burst) == ("acme", 20, 10)
    assert status.home and status.is_home_serving, status
    assert status.demand_per_s > 0, status


@when("{count:d} requests arrive within 1 s at an entry without a worker to call")
def no_worker(context, count):
    context.kinds = []

    async def scenario(nodes, nursery):
        # A new home's bucket is empty.
        await trio.sleep(1.5)
        for _ in range(count):
            context.kinds.append((await nodes[1].request()).kind)
            await trio.sleep(1 / count)

    run_nodes(context, scenario)


@then('none of them is answered "{kind}"')
def none_over_quota(context, kind):
    assert kind not in {found.value for found in context.kinds}, context.kinds


@when(
    "{count:d} requests arrive at an entry whose clock moves by {step_ms:d} ms at each "
    "reading"
)
def late_entry(context, count, step_ms):
    context.outcomes = []

    async def acquire(node):
        try:
            await node.quotas.acquire("acme")
            context.outcomes.append("admitted")
        except RequestError as error:
            context.outcomes.append(error.kind.value)

    async def scenario(nodes, nursery):
        home = nodes[0].quotas._table.home("acme")
        late = next(node for node in nodes if node.record.name != home)
        readings = itertools.count(1)
        now_ms = late.environment.now_ms
        late.environment.now_ms = lambda: now_ms() + step_ms * next(readings)
        async with trio.open_nursery() as requests:
            for _ in range(count):
                requests.start_soon(acquire, late)

    run_nodes(context, scenario)


@then('each of them is admitted or answered 429 "{kind}"')
def admitted_or_refused(context, kind):
    assert set(context.outcomes) <= {"admitted", kind}, context.outcomes


@when("the home leaves the host list, once it serves")
def home_leaves(context):
    async def scenario(nodes, nursery):
        await nodes[0].quotas.acquire("acme")
        home = nodes[0].quotas.status()[0].home
        records = [
            msgspec.structs.replace(
                node.record,
                state=HostState.LEAVING if node.record.name == home else HostState.LIVE,
            )
            for node in nodes
        ]
        for node in nodes:
            node.environment.membership.replace_all(records)
        other = next(node for node in nodes if node.record.name != home)
        await trio.sleep(1)
        token = await other.quotas.acquire("acme")
        context.homes = home, other.quotas.status()[0].home
        context.token = token

    run_nodes(context, scenario)


@then("another node grants tokens within 1 s")
def other_grants(context):
    first, second = context.homes
    assert first != second, first
    assert type(context.token).__name__ == "LeasedToken", context.token


@when("the event loop of an entry is held up for {length:d} ms after it asked the home")
def held_up(context, length):
    async def scenario(nodes, nursery):
        await nodes[0].quotas.acquire("acme")
        home = nodes[0].quotas.status()[0].home
        entry = next(node for node in nodes if node.record.name != home)
        send_request = entry.quotas._send_request

        def send_slowly(name):
            send_request(name)
            time.sleep(length / 1_000)

        entry.quotas._send_request = send_slowly
        try:
            context.token = await entry.quotas.acquire("acme")
        except RequestError as error:
            context.token = error
        context.balance = entry.quotas._entry.balances["acme"]

    run_nodes(context, scenario)


@then("the request is decided and none counts as waiting")
def decided(context):
    assert context.token is not None
    assert context.balance.waiting == 0, context.balance.waiting


@when("the home vanishes from the others' host list and hears nothing of them")
def home_vanishes(context):
    async def scenario(nodes, nursery):
        async def hear_nothing(link, message):
            pass

        await nodes[0].quotas.acquire("acme")
        name = nodes[0].quotas.status()[0].home
        home = next(node for node in nodes if node.record.name == name)
        others = [node for node in nodes if node is not home]
        home.on_control_message = hear_nothing
        for node in others:
            node.environment.membership.replace_all([other.record for other in others])
        context.serving = {}
        started_s = trio.current_time()
        for at_s in (1.0, 2.5, 3.5):
            await trio.sleep_until(started_s + at_s)
            context.serving[at_s] = any(map(serves, others))

    run_nodes(context, scenario)


def serves(node):
    return node.quotas._home.is_serving("acme", node.environment.now_ms())


@then("no other node grants tokens within 2.5 s, and one does within 3.5 s")
def waits_for_vanished(context):
    assert context.serving == {1.0: False, 2.5: False, 3.5: True}, context.serving


@when("the process of the home is paused for {length:d} ms")
def home_paused(context, length):
    async def scenario(nodes, nursery):
        await nodes[0].quotas.acquire("acme")
        name = nodes[0].quotas.status()[0].home
        home = next(node for node in nodes if node.record.name == name)
        time.sleep(length / 1_000)
        context.tokens = []
        for _ in range(PAUSED_REQUESTS):
            context.tokens.append(await tokens_of(home))
            await trio.sleep(3 / PAUSED_REQUESTS)

    run_nodes(context, scenario)


async def tokens_of(node):
    try:
        return type(await node.quotas.acquire("acme")).__name__
    except RequestError as error:
        return error.kind.value


@then("it grants no tokens at once, but within 3 s")
def not_at_once(context):
    first, last = context.tokens[0], context.tokens[-1]
    assert first != "LeasedToken", context.tokens
    assert last == "LeasedToken", context.tokens


@when("a home that reached half of the fleet reaches the store again")
def store_reached(context):
    async def scenario(nodes, nursery):
        quotas, board = nodes[0].quotas, nodes[0].environment.board
        now_ms = nodes[0].environment.now_ms()
        board.source_reachable.write(False)
        quotas._measure_reach(now_ms)
        await trio.sleep(1)
        quotas._reached = 0.5
        board.source_reachable.write(True)
        context.reached = []
        for passed_ms in (1_000, 2_900, 4_100):
            quotas._measure_reach(now_ms + passed_ms)
            context.reached.append(quotas._reached)

    run_nodes(context, scenario)


@then("it counts on half of the fleet for 3 s, and then on all of it")
def reach_kept(context):
    assert context.reached == [0.5, 0.5, 1.0], context.reached
