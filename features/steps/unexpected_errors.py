"""Steps for unexpected errors and malformed values, which must not end the process."""

import h11
import trio
import trio.testing
from behave import given
from behave import then
from behave import when
from cactushook import Call
from cactushook import Head
from cactushook import Limits
from cactushook import RequestError
from cactushook import RouteClass
from cactushook import Snapshot
from cactushook import TeamFile
from cactushook_node.gate import Gate
from cactushook_node.headers import load_header_names
from cactushook_node.http_messages import ReplyStart
from cactushook_node.http_messages import WorkerRequest
from cactushook_node.link_pool import LinkPool
from cactushook_node.settings import HeaderSettings
from cactushook_node.supervision import keep_running
from cactushook_node.supervision import Supervisor
from cactushook_node.worker_check import WorkerHealthCheck
from cactushook_node.worker_client import WorkerClient

from features import edge_fixtures

COLD_TIMES = {
    "nothing": [],
    "60000": [("Cold", "60000")],
    "5000 nines": [("Cold", 5_000 * "9")],
    "the letter z": [("Cold", "z")],
}
SERVICE = "reports"
LIMITS = Limits(slots=1, connections=5, queue_timeout_ms=5_000)
TEAM_FILE = TeamFile(service=SERVICE, team="t", failure_domains=(), limits=LIMITS)
SNAPSHOT = Snapshot(Head(version=1, root=""), {SERVICE: TEAM_FILE}, {}, ())


class Keeper:
    """Records the cold time that a health check reports."""

    service = SERVICE
    cold_ms = 0

    def set_cold_remaining(self, left_ms, now_ms):
        self.cold_ms = left_ms


def errors(environment, place):
    return edge_fixtures.counted(
        environment, "cactushook_handler_failures", place=place
    )


async def serve_backend(address, headers, nursery, delay_s=0.0):
    """Serves answers with the given headers, one request after the other."""

    async def serve(stream):
        http = h11.Connection(h11.SERVER)
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                data = await stream.receive_some(edge_fixtures.PART_BYTES)
                if not data:
                    return
                http.receive_data(data)
            elif isinstance(event, h11.EndOfMessage):
                await trio.sleep(delay_s)
                fields = [*headers, ("Content-Length", "0")]
                head = http.send(h11.Response(status_code=200, headers=fields))
                await stream.send_all(head + http.send(h11.EndOfMessage()))
                http.start_next_cycle()

    await edge_fixtures.serve(nursery, address, serve)


@given("a node whose backend server reports {value} as its cold time")
def reports_cold(context, value):
    context.headers = COLD_TIMES[value]


@when("its health is checked")
def health_checked(context):
    async def main():
        environment = edge_fixtures.environment()
        environment.store.apply_snapshot(SNAPSHOT)
        names = HeaderSettings(cold_remaining_ms="Cold")
        environment.headers = load_header_names(names, "Instance")
        worker = WorkerClient(environment.settings.worker, environment.headers, 5)
        context.keeper = Keeper()
        check = WorkerHealthCheck(environment, None, context.keeper, None)
        async with trio.open_nursery() as nursery:
            address = environment.settings.worker.address
            await serve_backend(address, context.headers, nursery)
            await check.read_health(worker)
            nursery.cancel_scope.cancel()

    trio.run(main)


@then("the check ends without an error, and the backend server is {state}")
def health_state(context, state):
    assert (context.keeper.cold_ms > 0) is (state == "cold"), context.keeper.cold_ms


@given("a node's timers with a callback that fails and one that counts")
def timers(context):
    context.environment = edge_fixtures.environment()
    context.calls = {"failing": 0, "counting": 0}

    def fail(now_ms):
        context.calls["failing"] += 1
        raise KeyError("unexpected")

    def count(now_ms):
        context.calls["counting"] += 1

    context.environment.timers.every(10, fail)
    context.environment.timers.every(10, count)


@when("{count:d} periods pass")
def periods_pass(context, count):
    timers = context.environment.timers
    start_ms = timers.now_ms
    for index in range(1, count + 1):
        timers.advance(start_ms + 10 * index)


@then("both were called {count:d} times, and {failed:d} errors were counted")
def both_called(context, count, failed):
    assert set(context.calls.values()) == {count}, context.calls
    assert errors(context.environment, "timer") == failed


@given("a node's supervisor")
def supervisor(context):
    context.environment = edge_fixtures.environment()


@when("a task fails while another one runs")
def task_fails(context):
    context.runs = 0

    async def fail():
        raise ValueError("unexpected")

    async def work():
        await trio.sleep(0.05)
        context.runs += 1

    async def main():
        async with trio.open_nursery() as nursery:
            tasks = Supervisor(context.environment, nursery)
            tasks.start_soon(fail)
            tasks.start_soon(work)

    trio.run(main)


@when("a task that the node needs fails {count:d} times")
def needed_fails(context, count):
    context.runs = 0

    async def work():
        if errors(context.environment, "task") < count:
            raise ValueError("unexpected")
        context.runs += 1

    trio.run(keep_running, context.environment, work)


@then("the other one ends normally, and {count:d} error is counted")
@then("it runs again, and {count:d} errors are counted")
def task_errors(context, count):
    assert context.runs == 1
    assert errors(context.environment, "task") == count


@given("a gate whose backend server has one slot")
def gate_with_slot(context):
    context.environment = edge_fixtures.environment()


@when("two requests with the same id arrive at once, and a third one after them")
def same_ids(context):
    environment = context.environment
    context.statuses = []

    async def emit(event):
        if isinstance(event, ReplyStart):
            context.statuses.append(event.status)
        else:
            context.statuses.append(event.kind.value)

    async def send(gate, request_id):
        now_ms = environment.now_ms()
        call = Call(request_id, SERVICE, RouteClass.IDEMPOTENT, now_ms + 3_000, 1)
        request = WorkerRequest("GET", b"/", ((b"host", b"x"),), b"")
        await gate.serve(call, request, emit)

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(environment.run_timers)
            address = environment.settings.worker.address
            await serve_backend(address, [], nursery, delay_s=0.1)
            gate = Gate(environment, Supervisor(environment, nursery))
            environment.store.apply_snapshot(SNAPSHOT)
            environment.board.snapshot.write(SNAPSHOT)
            with trio.fail_after(edge_fixtures.WAIT_LIMIT_S):
                async with trio.open_nursery() as senders:
                    senders.start_soon(send, gate, "r0")
                    await trio.testing.wait_all_tasks_blocked()
                    for request_id in ("r1", "r1", "r2"):
                        senders.start_soon(send, gate, request_id)
            nursery.cancel_scope.cancel()

    trio.run(main)


@then("each of the three is answered")
def all_answered(context):
    assert context.statuses == 4 * [200], context.statuses
    assert errors(context.environment, "timer") == 0


@when('a node connects to a host with the address "{address}"')
def connects(context, address):
    async def main():
        async with trio.open_nursery() as nursery:
            links = LinkPool(edge_fixtures.environment(), None, nursery)
            try:
                await links.get(address)
            except Exception as error:
                context.error = error

    trio.run(main)


@then('the attempt ends as "{kind}"')
def attempt_ends(context, kind):
    assert isinstance(context.error, RequestError), repr(context.error)
    assert context.error.kind.value == kind, context.error
