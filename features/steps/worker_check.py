"""Steps on a gate that checks its backend server after failures."""

import dataclasses

import h11
import msgspec
import trio
from behave import given
from behave import then
from behave import when
from cactushook import Call
from cactushook import Head
from cactushook import HostState
from cactushook import Limits
from cactushook import RouteClass
from cactushook import Snapshot
from cactushook import TeamFile
from cactushook.calls import Listing
from cactushook.exceptions import ErrorKind
from cactushook.gatekeeping import Answered
from cactushook.gatekeeping import Failed
from cactushook_node.gate import Gate
from cactushook_node.headers import load_header_names
from cactushook_node.http_messages import WorkerRequest
from cactushook_node.settings import AdapterSettings
from cactushook_node.settings import HeaderSettings
from cold_patterns import cold_gatekeeper

from features import edge_fixtures
from features.gate_driver import request
from features.gate_driver import START_MS

SERVICE = "reports"
LIMITS = Limits(
    slots=8, connections=60, queue_timeout_ms=5_000, cold_requests_per_s=1_000
)
TEAM_FILE = TeamFile(service=SERVICE, team="t", failure_domains=(), limits=LIMITS)
SNAPSHOT = Snapshot(Head(version=1, root=""), {SERVICE: TEAM_FILE}, {}, ())
NAMES = HeaderSettings(request_id="Request-Id", cold_remaining_ms="Cold")
LISTING = Listing("i-1", SERVICE, 8, HostState.LIVE)
HEALTH_PATH = TEAM_FILE.health_path
CRASH_PATH = "/crash"
SETTLED_S = 0.2
DOWN_S = 0.3
REPORT_LIMIT_S = 1.5
SLOW_HEALTH_S = 0.4
# From the moment at which its health is read for the first time after its start.
MOMENTS_S = {
    "as soon as it is reachable again": 0.0,
    "while its health is being read": SLOW_HEALTH_S / 2,
    "between two readings of its health": 0.25,
    "just before it is warm": 1.4,
    "after it has become warm": 2.5,
}


class Backend:
    """A backend server that requests crash, and that is cold when it comes back."""

    def __init__(self, address, cold_ms):
        self._address = address
        self._cold_ms = cold_ms
        self._scope = trio.CancelScope()
        self._cold_until_s = 0.0
        self.health_delay_s = 0.0
        self.health_requested = trio.Event()

    async def start(self, nursery, cold=True):
        """Accepts connections until a request crashes the backend server."""
        cold_s = self._cold_ms / 1_000 if cold else 0.0
        self._cold_until_s = trio.current_time() + cold_s
        self.health_requested = trio.Event()
        await nursery.start(self._run)

    async def _run(self, task_status=trio.TASK_STATUS_IGNORED):
        ip, _, port = self._address.rpartition(":")
        with trio.CancelScope() as self._scope:
            await trio.serve_tcp(
                self._serve, int(port), host=ip, task_status=task_status
            )

    async def _serve(self, stream):
        http = h11.Connection(h11.SERVER)
        target = b""
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                data = await stream.receive_some(edge_fixtures.PART_BYTES)
                if not data:
                    return
                http.receive_data(data)
            elif isinstance(event, h11.Request):
                target = event.target
            elif isinstance(event, h11.EndOfMessage):
                if not await self._handle(target.decode(), http, stream):
                    return
                http.start_next_cycle()

    async def _handle(self, target, http, stream):
        if target == CRASH_PATH:
            self._scope.cancel()
            return False
        if target == HEALTH_PATH:
            self.health_requested.set()
            await trio.sleep(self.health_delay_s)
        cold_ms = max(0, round((self._cold_until_s - trio.current_time()) * 1_000))
        headers = [("Cold", str(cold_ms)), ("Content-Length", "0")]
        head = http.send(h11.Response(status_code=200, headers=headers))
        await stream.send_all(head + http.send(h11.EndOfMessage()))
        return True


@dataclasses.dataclass
class CheckedGate:
    """A gate with its backend server, in one event loop."""

    gate: Gate
    backend: Backend
    environment: object
    nursery: trio.Nursery
    reports: list = dataclasses.field(default_factory=list)
    sent: int = 0

    async def crash(self):
        """Sends a request that crashes the backend server, which comes back later."""
        self.sent += 1
        call = Call(
            f"q{self.sent}",
            SERVICE,
            RouteClass.NON_IDEMPOTENT,
            self.environment.now_ms() + 3_000,
            1,
            fingerprint=f"crash {self.sent}",
        )
        headers = ((b"request-id", call.request_id.encode()),)
        request = WorkerRequest("POST", CRASH_PATH.encode(), headers, b"")
        known = len(self.reports)
        await self.gate.serve(call, request, _ignore)
        with trio.move_on_after(REPORT_LIMIT_S):
            await edge_fixtures.wait_until(lambda: len(self.reports) > known)
        await trio.sleep(DOWN_S)

    async def restart(self):
        """Starts the backend server, and waits until its health is read."""
        await self.backend.start(self.nursery)
        with trio.fail_after(edge_fixtures.WAIT_LIMIT_S):
            await self.backend.health_requested.wait()


async def _ignore(event):
    pass


def run_gate(context, use):
    """Runs a gate and its backend server, and calls a function with both."""

    async def main():
        environment = edge_fixtures.environment()
        environment.settings = msgspec.structs.replace(
            environment.settings, adapter=AdapterSettings(module="none")
        )
        environment.store.apply_snapshot(SNAPSHOT)
        environment.headers = load_header_names(NAMES, "Instance")
        backend = Backend(environment.settings.worker.address, context.cold_ms)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(environment.run_timers)
            gate = Gate(environment, nursery)
            checked = CheckedGate(gate, backend, environment, nursery)
            gate.add_crash_listener(checked.reports.append)
            await backend.start(nursery, cold=False)
            environment.board.snapshot.write(SNAPSHOT)
            environment.board.listing.write(LISTING)
            await backend.health_requested.wait()
            await trio.sleep(SETTLED_S)
            await use(checked)
            nursery.cancel_scope.cancel()
        context.reports = checked.reports

    trio.run(main)


@given("a gate whose backend server is cold for {cold_ms:d} ms when it comes back")
def gate_and_backend(context, cold_ms):
    context.cold_ms = cold_ms


@when("a request crashes the backend server, and another one {moment}")
def two_crash(context, moment):
    async def use(checked):
        await checked.crash()
        if moment == "while its health is being read":
            checked.backend.health_delay_s = SLOW_HEALTH_S
        await checked.restart()
        await trio.sleep(MOMENTS_S[moment])
        await checked.crash()

    run_gate(context, use)


@when("{count:d} requests crash it, each {delay_ms:d} ms after it is reachable")
def several_crash(context, count, delay_ms):
    async def use(checked):
        await checked.crash()
        for _ in range(count - 1):
            await checked.restart()
            await trio.sleep(delay_ms / 1_000)
            await checked.crash()

    run_gate(context, use)


@then("{count:d} crashes are reported, each with the request that caused it")
def crashes_reported(context, count):
    found = [report.fingerprint for report in context.reports]
    assert found == [f"crash {number}" for number in range(1, count + 1)], found


@given("a gate in virtual time with a request that crashes its backend server")
def gate_in_virtual_time(context):
    context.keeper = cold_gatekeeper(4, 1_000)
    context.keeper.on_listing(Listing("i-1", "s", 4, HostState.LIVE), START_MS)
    context.crashing = request(START_MS, fingerprint="crashing")
    context.other = request(START_MS, fingerprint="other")


@when("an answer to a request that was sent {moment} the loss arrives after it")
def answer_arrives(context, moment):
    keeper = context.keeper

    def offer(call, now_ms):
        keeper.offer(call, (), now_ms, 0.0)

    def lose():
        lost = Failed(ErrorKind.WORKER_LOST)
        keeper.on_request_ended(context.crashing, lost, START_MS + 20)

    offer(context.crashing, START_MS)
    if moment == "before":
        offer(context.other, START_MS + 10)
        lose()
    else:
        lose()
        offer(context.other, START_MS + 21)
    keeper.on_request_ended(context.other, Answered(5.0), START_MS + 30)


@when("the backend server is found down")
def found_down(context):
    context.reports = context.keeper.on_worker_down(START_MS + 40)


@then("the crashing request is {verdict}")
def crashing_request_is(context, verdict):
    found = [report.fingerprint for report in context.reports]
    expected = ["crashing"] if verdict == "reported" else []
    assert found == expected, found
