"""Steps that join two nodes by a link in memory."""

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
    """Keeps what arrives."""

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


def counted(environment, direction):
    sample = environment.metrics.control_bytes.labels(direction)
    return sample._value.get()


@given("two nodes joined by a link in memory")
def two_nodes(context):
    context.environments = [environment("cesis-0"), environment("cesis-1")]
    context.handlers = [Handler(), Handler()]


@when("one node sends version news and a request's credit")
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
            await links[0].send(context.news)
            assert links[0].send_soon(wire.CreditMessage(1, 1))
            await trio.testing.wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()

    context.news = wire.VersionMessage(3, "d" * 32, 0, 0, False)
    trio.run(main)


@then("each counted the frames of the greetings and of the news")
def each_counted(context):
    hello, _ = context.handlers[1].received
    greeting = len(wire.encode(hello))
    news = len(wire.encode(context.news))
    first, second = context.environments
    assert counted(first, "out") == greeting + news
    assert counted(second, "in") == greeting + news
    assert counted(second, "out") == counted(first, "in") == greeting
