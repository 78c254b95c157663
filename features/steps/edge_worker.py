"""Steps that run the worker client against a scripted backend server."""

import dataclasses
import typing as t

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

CONNECTIONS = 2
HEAD = b"HTTP/1.1 200 OK\r\n"
COMPLETE = HEAD + b"Content-Length: 4\r\n\r\nbody"
ANSWERS = {
    "fewer bytes than its content-length": HEAD + b"Content-Length: 100\r\n\r\npart",
    "chunks without the last one": HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
    "nothing at all": b"",
    "half a status line": b"HTTP/1.",
    "bytes that are not HTTP": b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n",
    "headers without an end": HEAD + b"A: " + b"x" * 200_000,
}
REQUEST = WorkerRequest("GET", b"/a", ((b"host", b"x"),), b"")


@dataclasses.dataclass(slots=True)
class ScriptedWorker:
    """A backend server that sends the same bytes on each connection."""

    answer: bytes | None
    connections: int = 0
    requests: int = 0

    async def serve(self, stream: trio.SocketStream) -> None:
        """Answers one request and closes, or never answers."""
        self.connections += 1
        async with stream:
            if not await stream.receive_some(edge_fixtures.PART_BYTES):
                return
            self.requests += 1
            if self.answer is None:
                await trio.sleep_forever()
            await stream.send_all(self.answer)


@given("a backend server that answers with {answer}")
def answering(context, answer):
    context.worker = ScriptedWorker(ANSWERS[answer])


@given("no backend server")
def absent(context):
    context.worker = None


@given("a backend server that never answers")
def silent(context):
    context.worker = ScriptedWorker(None)


@given("a backend server that closes the connection after each answer without notice")
@given("a backend server that answers every request")
def closing(context):
    context.worker = ScriptedWorker(COMPLETE)


def _run(context: t.Any, body: t.Callable[[WorkerClient], t.Awaitable[None]]) -> None:
    address = edge_fixtures.free_addresses(1)[0]

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            if context.worker is not None:
                await edge_fixtures.serve(nursery, address, context.worker.serve)
            settings = WorkerSettings(address=address)
            names = load_header_names(HeaderSettings(), settings.instance_header)
            await body(WorkerClient(settings, names, CONNECTIONS))
            nursery.cancel_scope.cancel()

    trio.run(main)


async def _send(worker: WorkerClient, request: WorkerRequest) -> bytes:
    with trio.fail_after(edge_fixtures.WAIT_LIMIT_S):
        async with worker.send(request) as reply:
            return b"".join([part async for part in reply.body])


async def _send_and_classify(worker: WorkerClient, request: WorkerRequest) -> str:
    """Returns the body of the answer, or the kind of the error."""
    try:
        return (await _send(worker, request)).decode()
    except RequestError as error:
        return error.kind.value


@when("the gate sends it a request")
def send(context):
    async def body(worker):
        context.outcome = await _send_and_classify(worker, REQUEST)

    _run(context, body)


@when("the gate sends one request more than it has connections")
def send_many(context):
    async def body(worker):
        async with trio.open_nursery() as nursery:
            for _ in range(CONNECTIONS):
                nursery.start_soon(_send_and_classify, worker, REQUEST)
            await edge_fixtures.wait_until(
                lambda: context.worker.requests == CONNECTIONS
            )
            context.outcome = await _send_and_classify(worker, REQUEST)
            nursery.cancel_scope.cancel()

    _run(context, body)


@when("the gate sends two requests one after the other")
def send_two(context):
    async def body(worker):
        context.outcomes = [await _send_and_classify(worker, REQUEST)]
        await trio.sleep(0.05)
        context.outcomes.append(await _send_and_classify(worker, REQUEST))

    _run(context, body)


@when("the gate sends it a request with a line break in a header")
def send_broken(context):
    bad = WorkerRequest("GET", b"/a", ((b"a", b"x\r\nGET /hidden"),), b"")

    async def body(worker):
        context.outcome = await _send_and_classify(worker, bad)

    _run(context, body)


@then('the request fails as "{kind}"')
def fails(context, kind):
    assert context.outcome == kind, context.outcome


@then("the backend server received no more connections than the limit")
def few_connections(context):
    assert context.worker.connections == CONNECTIONS


@then("both are answered")
def both_answered(context):
    assert context.outcomes == ["body", "body"], context.outcomes
    assert context.worker.connections == 2


@then("the backend server received no request")
def no_request(context):
    assert context.worker.requests == 0
