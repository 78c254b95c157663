"""Steps for faulty answers of a backend server, as the worker client handles them."""

import time

import h11
import trio
from behave import given
from behave import then
from behave import when
from cactushook import RequestError
from cactushook_node.headers import load_header_names
from cactushook_node.http_messages import WorkerRequest
from cactushook_node.settings import HeaderSettings
from cactushook_node.settings import WorkerSettings
from cactushook_node.worker_client import WorkerClient

from features import edge_fixtures

NAMES = HeaderSettings(
    request_id="Request-Id",
    signature="Signature",
    not_executed="Not-Executed",
    target_instance="Target",
)
SIGNED = "Signature: s"
REJECTED = "Not-Executed: 1"
PIECE_GAP_S = 0.01
OK = "200 OK"
FULL = "503 Full"


def answer(request_id, *headers, status=OK, body=b"body"):
    lines = [f"HTTP/1.1 {status}", f"Request-Id: {request_id}", *headers]
    head = "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""])
    return head.encode() + body


def unframed(request_id):
    return (
        f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n{SIGNED}\r\n\r\nbody".encode()
    )


def chunked(request_id, *headers, status=OK):
    lines = [f"HTTP/1.1 {status}", f"Request-Id: {request_id}", *headers]
    return "\r\n".join([*lines, "Transfer-Encoding: chunked", "", ""]).encode()


ANSWERS = {
    "signed and complete": lambda own: answer(own, SIGNED),
    "complete, but not signed": lambda own: answer(own),
    "signed, but its body is encoded": lambda own: answer(
        own, SIGNED, "Content-Encoding: gzip"
    ),
    "for another request and then its own": lambda own: (
        answer("other", SIGNED, body=b"stray") + answer(own, SIGNED)
    ),
    "for another request only": lambda own: answer("other", SIGNED),
    "followed by further bytes": lambda own: answer(own, SIGNED) + b"more",
    "followed by a second answer": lambda own: 2 * answer(own, SIGNED),
    "a rejection": lambda own: answer(own, REJECTED, status=FULL),
    "a rejection of another request": lambda own: answer("o", REJECTED, status=FULL),
    "from another instance": lambda own: answer(own, status="421 Misdirected"),
    "a failure of its own": lambda own: answer(
        own, SIGNED, status="500 Failed", body=b"failed"
    ),
    'complete, with "Connection: close"': lambda own: answer(
        own, SIGNED, "Connection: close"
    ),
    "without a length, ended by a close": unframed,
    "without a length, ended by a reset": unframed,
}
ENDLESS = {
    "a head": (lambda own: b"HTTP/1.1 200 OK\r\n", b"X-A: a\r\n"),
    "informational responses": (lambda own: b"", b"HTTP/1.1 102 Wait\r\n\r\n"),
    "a rejection whose body goes on": (
        lambda own: chunked(own, REJECTED, status=FULL),
        b"1\r\nx\r\n",
    ),
    "a rejection whose body stalls": (
        lambda own: chunked(own, REJECTED, status=FULL),
        b"",
    ),
    "another request's answer": (lambda own: chunked("other"), b"1\r\nx\r\n"),
    "a success with a chunk extension": (
        lambda own: chunked(own, SIGNED) + b"1;a=",
        b"aaaa",
    ),
    "a success with trailers": (
        lambda own: chunked(own, SIGNED) + b"0\r\n",
        b"X-A: a\r\n",
    ),
}
FILLER_BYTES = 16_384
CLOSE_AFTER_ANSWER = ("for another request only", "a rejection of another request")


def as_pieces(script_output):
    """Returns what a script gave as the pieces that are sent one by one."""
    return [script_output] if isinstance(script_output, bytes) else script_output


class Backend:
    """A backend server that reads whole requests and answers from a script."""

    def __init__(self, script, ending="", reads_body=True, filler=None):
        self.script = script
        self.filler = filler
        self.ending = ending
        self.reads_body = reads_body
        self.connections = 0

    async def serve(self, stream):
        self.connections += 1
        http = h11.Connection(h11.SERVER)
        try:
            await self._serve(http, stream)
        except trio.BrokenResourceError:
            return

    async def _serve(self, http, stream):
        while (request_id := await self._request(http, stream)) is not None:
            for piece in as_pieces(self.script(request_id)):
                await stream.send_all(piece)
                await trio.sleep(PIECE_GAP_S)
            if self.filler is not None:
                await self._fill(stream)
            if self.ending:
                if self.ending == "half close":
                    await stream.send_eof()
                    await trio.sleep_forever()
                if self.ending == "reset":
                    edge_fixtures.reset_on_close(stream)
                    await trio.sleep(0.05)
                return
            if not self.reads_body:
                await trio.sleep_forever()

    async def _fill(self, stream):
        repeats = FILLER_BYTES // max(1, len(self.filler))
        while self.filler:
            await stream.send_all(repeats * self.filler)
        await stream.receive_some(1)

    async def _request(self, http, stream):
        request_id = None
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                data = await stream.receive_some(edge_fixtures.PART_BYTES)
                if not data:
                    return None
                http.receive_data(data)
            elif isinstance(event, h11.Request):
                request_id = dict(event.headers).get(b"request-id", b"").decode()
                if not self.reads_body:
                    return request_id
            elif isinstance(event, h11.EndOfMessage):
                http.send(h11.Response(status_code=200, headers=[]))
                http.send(h11.EndOfMessage())
                http.start_next_cycle() if http.our_state is h11.DONE else None
                return request_id


def exchange(context, requests, gap_s=0.05):
    """Sends requests one after the other and records the outcome of each."""
    context.outcomes = []

    async def send_all(worker):
        for index, request in enumerate(requests):
            if index:
                await trio.sleep(gap_s)
            context.outcomes.append(await send_and_classify(worker, request))

    with_client(context, send_all)


def with_client(context, use, max_connections=5):
    """Runs the backend server and calls a function with a client of it."""
    address = edge_fixtures.free_addresses(1)[0]

    async def main():
        async with trio.open_nursery() as nursery:
            await edge_fixtures.serve(nursery, address, context.backend.serve)
            settings = WorkerSettings(address=address)
            names = load_header_names(NAMES, "Instance")
            await use(WorkerClient(settings, names, max_connections))
            nursery.cancel_scope.cancel()

    trio.run(main)


async def send_and_classify(worker, request, **options):
    """Returns the body of the answer, or the kind of the error."""
    try:
        with trio.fail_after(edge_fixtures.WAIT_LIMIT_S):
            async with worker.send(request, **options) as reply:
                return b"".join([part async for part in reply.body]).decode()
    except RequestError as error:
        return error.kind.value


def request(request_id="r1", body=b"", method="GET"):
    headers = ((b"host", b"x"),)
    if request_id:
        headers += ((b"request-id", request_id.encode()),)
    return WorkerRequest(method, b"/a", headers, body)


@given("a backend server whose answer is {text}, without end")
def endless(context, text):
    script, filler = ENDLESS[text]
    context.backend = Backend(script, filler=filler)


@given("a backend server whose answer is {text}")
def scripted(context, text):
    ending = ""
    if text in CLOSE_AFTER_ANSWER or text.endswith("a close"):
        ending = "close"
    elif text.endswith("a reset"):
        ending = "reset"
    context.backend = Backend(ANSWERS[text], ending)


@given("a backend server that answers before it has read a body")
def early_answer(context):
    script = ANSWERS["signed and complete"]
    context.backend = Backend(script, reads_body=False)


EARLY_ANSWERS = {
    "without a length": unframed,
    "with a length": ANSWERS["signed and complete"],
    "in chunks": lambda own: chunked(own, SIGNED) + b"4\r\nbody\r\n",
}


@given("a backend server that answers an upload early {framing}, then ends by a {end}")
def early_end(context, framing, end):
    context.backend = Backend(EARLY_ANSWERS[framing], end, reads_body=False)


@given("a backend server that keeps idle connections for 1 s")
def short_idle(context):
    context.backend = Backend(lambda own: answer(own, SIGNED, "Keep-Alive: timeout=1"))


@given("a backend server that answers each request a second time with the next one")
def repeating(context):
    previous = []

    def script(own):
        current = answer(own, SIGNED, body=f"body of {own}".encode())
        late = previous.pop() if previous else b""
        previous.append(current)
        return late + current

    context.backend = Backend(script)


@when("the gate sends it a request with an id")
def send_one(context):
    started_s = time.monotonic()
    exchange(context, [request("r1"), request("r2")])
    context.took_s = (time.monotonic() - started_s) / 2
    context.outcome = context.outcomes[0]


@when("the gate sends it a request with a body of {count:d} bytes")
def send_long(context, count):
    exchange(context, [request("r1", b"x" * count, "POST"), request("r2")])
    context.outcome = context.outcomes[0]


@when("the gate sends two requests {gap_ms:d} ms apart")
def send_apart(context, gap_ms):
    exchange(context, [request("r1"), request("r2")], gap_ms / 1_000)


@when("the gate sends {count:d} requests one after the other")
def send_several(context, count):
    exchange(context, [request(f"r{index}") for index in range(count)])


@then('the request ends as "{text}"')
def ends_as(context, text):
    assert context.outcome == text, context.outcomes


@then("the connection is reused")
def reused(context):
    assert context.backend.connections == 1, context.backend.connections


@then("the connection is closed")
def closed(context):
    assert context.backend.connections == 2, context.backend.connections


@then("each uses a connection of its own")
def own_connections(context):
    assert context.outcomes == ["body", "body"], context.outcomes
    assert context.backend.connections == 2


@then("each request ends with the body of its own answer")
def own_bodies(context):
    wanted = [f"body of r{index}" for index in range(5)]
    assert context.outcomes == wanted, context.outcomes
    assert context.backend.connections == 1


@given("a backend server that rejects every other request, and repeats each rejection")
def repeats_rejections(context):
    previous = []

    def script(own):
        late = previous.pop() if previous else b""
        if int(own[1:]) % 2:
            return late + answer(own, SIGNED, body=f"body of {own}".encode())
        current = answer(own, REJECTED, status=FULL)
        previous.append(current)
        return late + current

    context.backend = Backend(script)


REPEATS = {
    "in two pieces": lambda own: [rejection(own)[:30], rejection(own)[30:]],
    "without an id": lambda own: [rejection(own).replace(b"Request-Id", b"Other", 1)],
    "twice": lambda own: [rejection(own), rejection(own)],
    'with "Connection: close"': lambda own: [
        answer(own, REJECTED, "Connection: close", status=FULL)
    ],
    "without a length": lambda own: [rejection(own)[:30] + b"\r\n\r\n"],
}


def rejection(own):
    return answer(own, REJECTED, status=FULL)


@given("a backend server that repeats each rejection {how}")
def repeats_rejections_as(context, how):
    previous = []
    context.ran = []

    def script(own):
        late = REPEATS[how](previous.pop()) if previous else []
        if int(own[1:]) % 2:
            context.ran.append(int(own[1:]))
            return [*late, answer(own, SIGNED)]
        previous.append(own)
        return [*late, rejection(own)]

    context.backend = Backend(script)


@then('no request that ran ends as "{text}"')
def none_that_ran(context, text):
    assert len(context.ran) == 3, context.ran
    assert text not in [context.outcomes[index] for index in context.ran]


@then('those that ran end as "{text}"')
def those_that_ran(context, text):
    outcomes = {context.outcomes[index] for index in context.ran}
    assert outcomes == {text}, context.outcomes


@then('the rejected requests end as "worker_rejected" and the others with their body')
def rejections_told_apart(context):
    wanted = [
        f"body of r{index}" if index % 2 else "worker_rejected" for index in range(6)
    ]
    assert context.outcomes == wanted, context.outcomes


@then('the request ends as "{text}" within {limit_s:d} s')
def ends_in_time(context, text, limit_s):
    assert context.outcome == text, context.outcomes
    assert context.took_s < limit_s, context.took_s


@when("the gate sends a request and then queries its health")
def then_health(context):
    context.outcomes = []

    async def use(worker):
        for index in range(5):
            option = {"requires_request_id": index % 2 == 0}
            body = await send_and_classify(worker, request(f"r{index}"), **option)
            context.outcomes.append(body)
            await trio.sleep(0.05)

    with_client(context, use)


@when("the gate sends a request without an id between two others")
def without_id(context):
    exchange(context, [request("r1"), request(""), request("r3")])


@then("it used {count:d} connections")
def used_connections(context, count):
    assert context.outcomes[0] == context.outcomes[2] == "body", context.outcomes
    assert context.backend.connections == count, context.backend.connections


@when("all connections are in use and the gate checks that it is reachable")
def checks_when_full(context):
    async def use(worker):
        async with worker.send(request()):
            context.reachable = await worker.probe()

    with_client(context, use, max_connections=1)


@then("it is reachable")
def is_reachable(context):
    assert context.reachable
