"""Steps that connect two nodes by a link in memory and read their control bytes."""

import trio
import trio.testing
from behave import given
from behave import then
from behave import when
from cactushook_node import wire
from cactushook_node.environment import Environment
from cactushook_node.links import Link
from cactushook_node.settings import PlatformSettings
from cactushook_node.settings import Settings
from cactushook_node.settings import WorkerSettings

ADDRESS = "127.0.0.1:1"


class Handler:
    """Records the messages that arrive."""

    def __init__(self):
        self.received = []

    async def on_hello(self, link, hello):
        self.received.append(hello)

    async def on_call(self, link, call):
        raise AssertionError("no call was sent")

    async def on_control_message(self, link, message):
        self.received.append(message)


def environment(name):
    settings = Settings(
        host=name,
        domain="cesis",
        region="vidzeme",
        service="reports",
        node_listen=ADDRESS,
        public_listen=ADDRESS,
        internal_listen=ADDRESS,
        admin_listen=ADDRESS,
        worker=WorkerSettings(address=ADDRESS),
        platform=PlatformSettings(address=ADDRESS),
        seed=1,
    )
    return Environment(settings)


def read_control_bytes(environment, direction):
    sample = environment.metrics.control_bytes.labels(direction)
    return sample._value.get()


@given("two nodes connected by a link in memory")
def two_nodes(context):
    context.environments = [environment("cesis-0"), environment("cesis-1")]
    context.handlers = [Handler(), Handler()]


@when("one node sends a version announcement and a request's credit")
def sends(context):
    async def main():
        streams = trio.testing.memory_stream_pair()
        links = [
            Link(*parts)
            for parts in zip(
                context.environments, streams, context.handlers, strict=True
            )
        ]
        async with trio.open_nursery() as nursery:
            for link in links:
                nursery.start_soon(link.run)
            await trio.testing.wait_all_tasks_blocked()
            await links[0].send(context.announcement)
            assert links[0].send_soon(wire.CreditMessage(1, 1))
            await trio.testing.wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()

    context.announcement = wire.VersionMessage(3, "d" * 32, 0, 0, False)
    trio.run(main)


@then("each counted the frames of the hellos and of the announcement")
def each_counted(context):
    hello, _ = context.handlers[1].received
    hello_bytes = len(wire.encode(hello))
    announcement_bytes = len(wire.encode(context.announcement))
    first, second = context.environments
    assert read_control_bytes(first, "out") == hello_bytes + announcement_bytes
    assert read_control_bytes(second, "in") == hello_bytes + announcement_bytes
    assert (
        read_control_bytes(second, "out")
        == read_control_bytes(first, "in")
        == hello_bytes
    )
