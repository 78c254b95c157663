"""Probes that measure memory, processor time and message bytes of a node's parts."""

import dataclasses
import gc
import itertools
import random
import time
import tracemalloc
import typing as t

import msgspec
import trio
from cactushook import Distributor
from cactushook import Head
from cactushook import Membership
from cactushook import messages
from cactushook import relays
from cactushook import Router
from cactushook import VersionStore
from cactushook.nodes import HostRecord
from cactushook_node import wire
from cactushook_node.environment import Environment
from cactushook_node.links import Link
from cactushook_node.settings import PlatformSettings
from cactushook_node.settings import Settings
from cactushook_node.settings import WorkerSettings

from . import target_fleet

SEED = 1
TICKS = 200
CHANGES = 20
EXCHANGES = 2_000
TICK_MS = 100
PEER = "127.0.0.1:7400"


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Figures that one probe measured.

    Attributes:
        memory_bytes: growth of the memory in use, 0 if not measured.
        cpu_us: processor time for one unit of work, 0 if not measured.
        wire_bytes: length of the message or values, 0 if there are none.
    """

    memory_bytes: float = 0
    cpu_us: float = 0
    wire_bytes: float = 0


def allocated_bytes() -> int:
    """Returns the memory that Python objects allocated since the first call still hold.

    Resident memory would not show growth into pages that earlier objects left free.
    """
    gc.collect()
    if not tracemalloc.is_tracing():
        tracemalloc.start()
    return tracemalloc.get_traced_memory()[0]


def measure_us(work: t.Callable[[], t.Any], rounds: int) -> float:
    """Returns the mean processor time of one round."""
    started = time.process_time_ns()
    for _ in range(rounds):
        work()
    return (time.process_time_ns() - started) / rounds / 1_000


def host_records(size: int) -> Sample:
    """Measures a node's host list: records decoded from JSON, then merged."""
    raw = [msgspec.json.encode(record) for record in target_fleet.hosts(size)]
    membership = Membership(target_fleet.host(0))
    before = allocated_bytes()
    decoder = msgspec.json.Decoder(HostRecord)
    membership.merge_all([decoder.decode(item) for item in raw])
    return Sample(allocated_bytes() - before, 0, sum(map(len, raw)))


def services(size: int) -> Sample:
    """Measures a version in force: its values and the assembled snapshot."""
    published = target_fleet.publication(1, size)
    store = VersionStore()
    before = allocated_bytes()
    copies = {name: bytes(bytearray(raw)) for name, raw in published.values.items()}
    store.apply_version(published.head, copies)
    del copies
    total = sum(map(len, published.values.values()))
    return Sample(allocated_bytes() - before, 0, total)


def links(size: int) -> Sample:
    """Measures open idle links.

    Both ends of the links are in this process; the sample counts one end.
    """
    return trio.run(_measure_links, size)


def tick(size: int) -> Sample:
    """Measures one tick of a node that is not a reader of its domain."""
    distributor = _distributor(size)
    clock = iter(range(0, TICK_MS * (TICKS + 1), TICK_MS))
    return Sample(cpu_us=measure_us(lambda: distributor.tick(next(clock)), TICKS))


def children(size: int) -> Sample:
    """Measures the lookup of a node's children in the relay tree of one version.

    The failure domains have the same size.
    """
    membership = _membership(size)
    view = membership.view(membership.own.domain)
    versions = iter(range(1, CHANGES + 1))

    def work() -> None:
        relays.children(view, membership.own.name, next(versions), lambda host: False)

    return Sample(cpu_us=measure_us(work, CHANGES))


def host_change(size: int) -> Sample:
    """Measures the merge of one host's new record.

    Includes the digest, the reader candidates and the hosts of the service.
    """
    membership = _membership(size)
    incarnations = itertools.count(1_800_000_000_000)
    record = target_fleet.host(0)

    def work() -> None:
        newer = msgspec.structs.replace(record, incarnation=next(incarnations))
        membership.merge(newer)
        membership.view(record.domain).reader_candidates  # noqa: B018
        membership.hosts_of_service(record.service)

    return Sample(cpu_us=measure_us(work, CHANGES))


def route_match(size: int) -> Sample:
    """Measures the match of one request among the routes of all services."""
    published = target_fleet.publication(1, size)
    snapshot = VersionStore().apply_version(published.head, published.values)
    paths = itertools.cycle(f"/service-{index}/reads/17" for index in range(size))

    def work() -> None:
        if snapshot.match("GET", next(paths)) is None:
            raise AssertionError("no route was found")

    return Sample(cpu_us=measure_us(work, EXCHANGES))


def worker_choice(size: int) -> Sample:
    """Measures the choice of a worker among the hosts of one service."""
    environment = _environment()
    environment.membership.merge_all(target_fleet.hosts(size))
    published = target_fleet.publication(1)
    snapshot = environment.store.apply_version(published.head, published.values)
    own = environment.membership.own
    router = Router(own.domain, own.region, random.Random(SEED))

    def work() -> None:
        hosts = environment.membership.hosts_of_service("service-1")
        if router.choose("service-1", snapshot, hosts, 0).host is None:
            raise AssertionError("no worker was found")

    return Sample(cpu_us=measure_us(work, TICKS))


def change_first(size: int) -> Sample:
    """Measures the check and assembly of a complete version, as at boot."""
    published = target_fleet.publication(1, size)

    def work() -> None:
        VersionStore().apply_version(published.head, published.values)

    total = sum(map(len, published.values.values()))
    return Sample(0, measure_us(work, CHANGES), total)


def change_one(size: int) -> Sample:
    """Measures receiving, applying and forwarding a change of one service.

    The node knows 12,000 hosts.
    """
    distributor = _distributor(target_fleet.HOSTS)
    _apply_change(distributor, target_fleet.publication(1, size), frozenset())
    known = frozenset(target_fleet.publication(1, size).values)
    publications = []
    for version in range(2, CHANGES + 2):
        publication = target_fleet.publication(version, size, {version % size})
        publications.append((publication, known))
        known = frozenset(publication.values)
    started = time.process_time_ns()
    for publication, before in publications:
        _apply_change(distributor, publication, before)
    cpu_us = (time.process_time_ns() - started) / CHANGES / 1_000
    publication, before = publications[-1]
    return Sample(0, cpu_us, len(wire.encode(_change_message(publication, before))))


def snapshot_encode(size: int) -> Sample:
    """Measures encoding a complete version for a peer."""
    message = _change_message(target_fleet.publication(1, size), frozenset())
    cpu_us = measure_us(lambda: wire.encode(message), CHANGES)
    return Sample(0, cpu_us, len(wire.encode(message)))


def snapshot_decode(size: int) -> Sample:
    """Measures decoding a complete version from a peer, without checking it."""
    return _measure_decoding(
        _change_message(target_fleet.publication(1, size), frozenset())
    )


def host_list_encode(size: int) -> Sample:
    """Measures encoding the complete host list for a peer."""
    update = messages.HostUpdate(tuple(target_fleet.hosts(size)))
    cpu_us = measure_us(lambda: wire.encode(wire.control_to_message(update)), 3)
    return Sample(0, cpu_us, len(wire.encode(wire.control_to_message(update))))


def host_list_decode(size: int) -> Sample:
    """Measures decoding the complete host list from a peer."""
    update = messages.HostUpdate(tuple(target_fleet.hosts(size)))
    return _measure_decoding(wire.control_to_message(update))


def gossip_codec(size: int) -> Sample:
    """Measures encoding and decoding a version announcement, without sockets."""
    announcement = _announcement_message(size)
    decoder = wire.FrameDecoder(1_000_000)

    def work() -> None:
        for message in decoder.feed(wire.encode(announcement)):
            wire.control_from_message(message)

    return Sample(0, measure_us(work, EXCHANGES), len(wire.encode(announcement)))


def gossip_link(size: int) -> Sample:
    """Measures sending a version announcement over a loopback link.

    Both ends of the link are in this process.
    """
    return trio.run(_measure_gossip_link, size)


class _Handler:
    """Counts the control messages that arrive on links."""

    def __init__(self) -> None:
        self.received = 0

    async def on_hello(self, link: Link, hello: wire.Message) -> None:
        return

    async def on_call(self, link: Link, call: wire.Message) -> None:
        return

    async def on_control_message(self, link: Link, message: wire.Message) -> None:
        wire.control_from_message(message)
        self.received += 1


async def _measure_links(size: int) -> Sample:
    environment, handler = _environment(), _Handler()
    async with trio.open_nursery() as nursery:
        port = await nursery.start(_listen, environment, handler)
        before = allocated_bytes()
        for _ in range(size):
            stream = await trio.open_tcp_stream("127.0.0.1", port)
            nursery.start_soon(Link(environment, stream, handler).run)
        await trio.sleep(1)
        grown = allocated_bytes() - before
        nursery.cancel_scope.cancel()
    return Sample(grown / 2)


async def _measure_gossip_link(size: int) -> Sample:
    environment, handler = _environment(), _Handler()
    announcement = _announcement_message(size)
    async with trio.open_nursery() as nursery:
        port = await nursery.start(_listen, environment, handler)
        stream = await trio.open_tcp_stream("127.0.0.1", port)
        link = Link(environment, stream, handler)
        nursery.start_soon(link.run)
        await trio.sleep(0.1)
        started = time.process_time_ns()
        for sent in range(EXCHANGES):
            await link.send(announcement)
            while handler.received <= sent:
                await trio.sleep(0)
        cpu_us = (time.process_time_ns() - started) / EXCHANGES / 1_000
        nursery.cancel_scope.cancel()
    return Sample(0, cpu_us, len(wire.encode(announcement)))


async def _listen(
    environment: Environment,
    handler: _Handler,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    async def accept(stream: trio.SocketStream) -> None:
        await Link(environment, stream, handler).run()

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, accept, 0)
        task_status.started(listeners[0].socket.getsockname()[1])


def _environment() -> Environment:
    settings = Settings(
        host="host-00000.example.net",
        domain=target_fleet.domain_name(0),
        region=target_fleet.region_name(0),
        service="service-0",
        node_listen=PEER,
        public_listen=PEER,
        internal_listen=PEER,
        admin_listen=PEER,
        worker=WorkerSettings(address=PEER),
        platform=PlatformSettings(address=PEER),
        seed=SEED,
    )
    return Environment(settings)


def _announcement_message(version: int) -> wire.Message:
    head = Head(version=version, root="d" * 32)
    return wire.control_to_message(messages.VersionAnnouncement(head, 1, version))


def _distributor(host_count: int) -> Distributor:
    membership = _membership(host_count)
    return Distributor(membership, VersionStore(), (), random.Random(SEED), 0)


def _membership(host_count: int) -> Membership:
    records = target_fleet.hosts(host_count)
    membership = Membership(records[-1])
    membership.merge_all(records)
    return membership


def _change_message(published: t.Any, known: t.Container[str]) -> wire.Message:
    values = [raw for name, raw in published.values.items() if name not in known]
    return wire.control_to_message(messages.Change(published.head, tuple(values)))


def _apply_change(
    distributor: Distributor, published: t.Any, known: t.Container[str]
) -> None:
    change = wire.control_from_message(_change_message(published, known))
    actions = distributor.on_message(PEER, change, 0)
    if not any(isinstance(action, messages.ApplySnapshot) for action in actions):
        raise AssertionError(f"version {published.head.version} was not applied")


def _measure_decoding(message: wire.Message) -> Sample:
    frame = wire.encode(message)
    decoder = wire.FrameDecoder(len(frame))

    def work() -> None:
        for received in decoder.feed(frame):
            wire.control_from_message(received)

    return Sample(0, measure_us(work, 3), len(frame))


HOST_SIZES = (1_000, 4_000, 12_000)
SERVICE_SIZES = (10, 100, 570)
PROBES: dict[t.Callable[[int], Sample], tuple[int, ...]] = {
    host_records: HOST_SIZES,
    services: SERVICE_SIZES,
    links: (50, 200, 400),
    tick: HOST_SIZES,
    children: HOST_SIZES,
    host_change: HOST_SIZES,
    route_match: SERVICE_SIZES,
    worker_choice: HOST_SIZES,
    change_first: SERVICE_SIZES,
    change_one: SERVICE_SIZES,
    snapshot_encode: SERVICE_SIZES,
    snapshot_decode: SERVICE_SIZES,
    host_list_encode: HOST_SIZES,
    host_list_decode: HOST_SIZES,
    gossip_codec: (1,),
    gossip_link: (1,),
}
