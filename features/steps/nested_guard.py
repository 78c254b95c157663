"""Steps for the guard of nested requests, in virtual time."""

import heapq
import itertools
import random

import trio
from behave import given
from behave import then
from behave import when
from cactushook import ERROR_RESPONSES
from cactushook.exceptions import Ran
from cactushook.nested_guard import NestedGuard

from features import edge_fixtures
from features.steps import cut_answers

RATE = 20
RUN_MS = 60.0
CALLER_IP = "127.0.0.2"
PARENT, OTHER, SERVICE = "/orders", "/ping", "stock"


class Simulation:
    """A worker whose runs of one route each make one request to a service."""

    def __init__(self):
        self.guard = NestedGuard()
        self.rng = random.Random(5)
        self.now_ms = 0.0
        self.offered = []
        self.refusals = []
        self.ids = itertools.count()

    def run(self, rate, length_s, unserved, worker_fails=False):
        ends = []
        until_ms = self.now_ms + length_s * 1_000
        while self.now_ms < until_ms:
            self.now_ms += self.rng.expovariate(rate / 1_000)
            while ends and ends[0][0] <= self.now_ms:
                self.end(*heapq.heappop(ends))
            route = self.rng.choice((PARENT, PARENT, PARENT, OTHER))
            refusal = self.guard.refuse(route, self.now_ms)
            self.offered.append((self.now_ms, route, refusal is None))
            if refusal is not None:
                self.refusals.append(refusal)
                continue
            name = f"q{next(self.ids)}"
            self.guard.on_run_started(name, route)
            fails = route == PARENT and worker_fails
            if route == PARENT:
                self.guard.on_call(SERVICE)
                served = self.rng.random() >= unserved
                self.guard.on_call_ended(SERVICE, served, self.now_ms)
                fails |= not served
            heapq.heappush(ends, (self.now_ms + RUN_MS, name, fails))
        for end in ends:
            self.end(*end)

    def end(self, ended_ms, name, fails):
        self.guard.on_run_ended(name, fails, ended_ms)

    def ran_share(self, route, since_ms=0.0):
        ran = [
            ran
            for at_ms, name, ran in self.offered
            if name == route and at_ms > since_ms
        ]
        return sum(ran) / len(ran)


@given('a gate whose worker serves "/orders", which calls service "stock", and "/ping"')
def guard(context):
    context.load = Simulation()
    context.load.run(RATE, 10, unserved=0.0)
    assert not context.load.refusals
    context.load.offered.clear()


@when('{share:g} of the requests to "stock" fail for {length_s:d} s')
def calls_fail(context, share, length_s):
    context.load.run(RATE, length_s, share)


@when('the worker fails all requests to "/orders" for {length_s:d} s')
def worker_fails(context, length_s):
    context.load.run(RATE, length_s, 0.0, worker_fails=True)


@when('all requests to "stock" are served for {length_s:d} s')
def calls_served(context, length_s):
    context.load.run(RATE, length_s, 0.0)


@when("there are no requests for {length_s:d} s")
def pause(context, length_s):
    context.load.now_ms += length_s * 1_000


@then('between {least:g} and {most:g} of the requests to "/orders" run')
def share_runs(context, least, most):
    share = context.load.ran_share(PARENT)
    assert least <= share <= most, share


@then('all requests to "/ping" run')
def others_run(context):
    assert context.load.ran_share(OTHER) == 1.0


@then('all requests to "/orders" of the last {length_s:d} s run')
def last_run(context, length_s):
    since_ms = context.load.now_ms - length_s * 1_000
    assert context.load.ran_share(PARENT, since_ms) == 1.0


@then("each refusal is a 503 that did not run, with a time to retry")
def refusals_tell(context):
    for refusal in context.load.refusals:
        response = ERROR_RESPONSES[refusal.kind]
        assert (response.status, response.ran) == (503, Ran.NO)
        assert refusal.retry_after_ms > 0


async def get(address, path, request_id, local_ip=None):
    """Returns the raw answer to a request, sent from an address of its own if given."""
    ip, _, port = address.rpartition(":")
    raw = f"GET {path} HTTP/1.1\r\nHost: x\r\nRequest-Id: {request_id}\r\n"
    async with await trio.open_tcp_stream(
        ip, int(port), local_address=local_ip
    ) as stream:
        await stream.send_all(f"{raw}Connection: close\r\n\r\n".encode())
        return (await edge_fixtures.read_to_end(stream))[0]


@given("a node whose worker calls a service without workers for each request")
def calling_worker(context):
    async def serve(stream):
        while data := await stream.receive_some(edge_fixtures.PART_BYTES):
            request_id = data.lower().partition(b"request-id: ")[2].split(b"\r\n")[0]
            await get(context.address, "/stock/1", "nested")
            head = b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\nRequest-Id: "
            await stream.send_all(head + request_id + b"\r\n\r\n")

    context.serve = serve


@when("a caller from another address sends it {count:d} requests")
def caller_sends(context, count):
    async def use(node, address):
        context.address = address
        context.answers = [
            await get(address, f"/{index}", f"q{index}", CALLER_IP)
            for index in range(count)
        ]

    cut_answers.run_node(context.serve, use, more_routes={"/stock": SERVICE})


@then('the first fail as the worker\'s own answer, and the last as "{kind}"')
def first_and_last(context, kind):
    assert all(item.startswith(b"HTTP/1.1 500") for item in context.answers[:10])
    last = context.answers[-1].lower()
    assert last.startswith(b"http/1.1 503"), context.answers
    assert b"cactushook-error: " + kind.encode() in last, last
    assert b"cactushook-ran: no" in last and b"retry-after: " in last, last
