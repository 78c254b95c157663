"""Steps that check the limits of single parts of configuration distribution."""

import collections
import random

import msgspec
from behave import given
from behave import then
from behave import when
from cactushook import CactushookError
from cactushook import Distributor
from cactushook import HostState
from cactushook import Membership
from cactushook import messages
from cactushook import publish
from cactushook import TokenBucket
from cactushook import VersionStore
from cactushook.departures import DepartureDetector
from cactushook.digests import digest
from cactushook.publication import Head
from cactushook.publication import Root
from cactushook.readers import FleetHint
from cactushook.readers import READERS_PER_DOMAIN
from cactushook.readers import SourceRateLimiter

from bench.distribution_world import make_hosts
from features.distribution_fleet import Configuration

TICK_MS = 100
BURST = 1


@given(
    "{hosts:d} nodes in {domains:d} failure domains that request calls without pause"
)
def rate_limited_nodes(context, hosts, domains):
    rng = random.Random(1)
    hint = FleetHint(hosts, domains)
    readers = READERS_PER_DOMAIN * domains
    parts = [SourceRateLimiter(hint, rng.random(), 0) for _ in range(hosts)]
    context.takers = [
        lambda now_ms, part=part, is_reader=index < readers: part.take(
            now_ms, 100, is_reader, hosts
        )
        for index, part in enumerate(parts)
    ]


@given("{hosts:d} nodes with a full token bucket each")
def nodes_with_full_buckets(context, hosts):
    parts = [TokenBucket(1_000 / hosts, BURST, 0) for _ in range(hosts)]
    context.takers = [lambda now_ms, part=part: part.take(now_ms) for part in parts]


@when("{length_s:d} s pass for the rate limiters")
def run_rate_limiters(context, length_s):
    calls = collections.Counter()
    for now_ms in range(0, length_s * 1_000, TICK_MS):
        calls[now_ms // 1_000] += sum(take(now_ms) for take in context.takers)
    context.worst = max(calls.values())


@then("the platform got at most {limit:d} calls in its worst second")
def worst_at_most(context, limit):
    assert 0 < context.worst <= limit, context.worst


@then("the platform got more than {limit:d} calls in its worst second")
def worst_above(context, limit):
    assert context.worst > limit, context.worst


@given("a valid publication")
def valid_publication(context):
    context.configuration = Configuration(3, 6)
    context.publication = context.configuration.build_publication(1_000)
    context.store = VersionStore()


def forge(publication, version, rng):
    """Damages one value and updates all digests, so that they match."""
    values = dict(publication.values)
    name = rng.choice(sorted(values))
    raw = damage(values.pop(name), rng)
    renamed = {name: digest(raw)}
    values[digest(raw)] = raw
    for _ in ("shards", "root"):
        for known, text in list(values.items()):
            changed = text
            for old, new in renamed.items():
                changed = changed.replace(old.encode(), new.encode())
            if changed != text:
                renamed[known] = digest(changed)
                values[digest(changed)] = changed
    root = publication.head.root
    return Head(version=version, root=renamed.get(root, root)), values


def damage(raw, rng):
    """Cuts, changes, repeats, nests or replaces bytes."""
    start = rng.randrange(len(raw))
    match rng.randrange(6):
        case 0:
            return raw[:start]
        case 1:
            return raw[:start] + bytes([rng.randrange(256)]) + raw[start + 1 :]
        case 2:
            return raw[:start] + raw
        case 3:
            return b"[" * 5_000
        case 4:
            return raw.replace(b'"', b"0", 2)
        case _:
            return rng.choice([b"", b"null", b"{}", b"[]", b"1", b'"\xff"'])


@when("{count:d} damaged copies of it are offered, seed {seed:d}")
def offer_damaged(context, count, seed):
    rng = random.Random(seed)
    context.refusals = collections.Counter()
    context.accepted = 0
    for version in range(1, count + 1):
        head, values = forge(context.publication, version, rng)
        try:
            context.store.missing_digests(head, values)
            snapshot = context.store.apply_version(head, values)
        except CactushookError as error:
            context.refusals[error.kind.value] += 1
        else:
            context.accepted += 1
            assert snapshot.head == head


@then("each was refused with an error kind or is a whole configuration")
def refused_typed(context):
    context.transcript.append(f"{dict(context.refusals)}")
    assert len(context.refusals) > 1, context.refusals
    for bound in context.store.snapshot.routes:
        service = bound.route.service or bound.team_file.service
        assert service in context.store.snapshot.services


@when("{count:d} invalid versions are offered")
def offer_bad(context, count):
    for version in range(1, count + 1):
        built = context.configuration.build_invalid_publication(version)
        try:
            context.store.apply_version(built.head, built.values)
        except CactushookError:
            continue
        raise AssertionError(f"version {version} was accepted")


@then("at most {limit:d} refusals are remembered")
def refusals_bounded(context, limit):
    assert 0 < len(context.store._refused) <= limit


@then("the valid publication is accepted")
def valid_accepted(context):
    head = context.publication.head
    context.store.apply_version(head, context.publication.values)
    assert context.store.head == head


class Node:
    """One distributor with its membership and version store."""

    def __init__(self, own, hosts=()):
        self.membership = Membership(own)
        self.membership.merge_all(hosts)
        self.store = VersionStore()
        self.distributor = Distributor(
            self.membership, self.store, (), random.Random(1), 0, hint=FleetHint(12, 1)
        )

    def receive(self, sender, message, now_ms=0):
        return self.distributor.on_message(sender, message, now_ms)

    def apply(self, publication, sender="10.9.9.9:1"):
        change = messages.Change(publication.head, tuple(publication.values.values()))
        return self.receive(sender, change)


def sent(actions, kind):
    return [
        action
        for action in actions
        if isinstance(action, messages.Send) and isinstance(action.message, kind)
    ]


@given("two distributors with version {version:d} of different content")
def two_contents(context, version):
    records = make_hosts(1, 1, 2, 1)
    context.nodes = [Node(record, records) for record in records]
    for index, node in enumerate(context.nodes):
        configuration = Configuration(1, 2 + index)
        node.apply(configuration.build_publication(version))


@when("each receives the other's version {count:d} times")
def receive_each_other(context, count):
    one, other = context.nodes
    context.actions = []
    for node, peer in ((one, other), (other, one)):
        update = messages.VersionAnnouncement(peer.store.head, 0, 0, True)
        actions = []
        for _ in range(count):
            actions += node.receive(peer.membership.own.address, update)
        context.actions.append(actions)


@then('each refused it once as "{code}"')
def refused_once(context, code):
    for actions in context.actions:
        refused = [a for a in actions if isinstance(a, messages.RefuseVersion)]
        assert [refuse.error.kind.value for refuse in refused] == [code]


@given("a distributor with a version in force and {count:d} peers")
def node_with_peers(context, count):
    context.records = make_hosts(1, 1, count + 1, 1)
    context.configuration = Configuration(1, 2)
    context.before = context.configuration.build_publication(1)
    context.node = Node(context.records[0], context.records)
    context.node.apply(context.before)
    assert context.node.store.head == context.before.head


@when("{count:d} peers pull the whole version in the same second")
def pull_whole(context, count):
    context.answers = []
    for index in range(count):
        pull = messages.Pull("")
        context.answers += context.node.receive(f"10.8.0.{index}:1", pull, index)


@then("at most {limit:d} got it, and the others got a retry time and another address")
def pulls_bounded(context, limit):
    changes = sent(context.answers, messages.Change)
    busy = sent(context.answers, messages.Busy)
    assert 0 < len(changes) <= limit, len(changes)
    assert len(changes) + len(busy) == len(context.answers)
    addresses = {record.address for record in context.records[1:]}
    for send in busy:
        assert send.message.retry_after_ms > 0
        assert send.message.try_address in addresses


def apply_next(context, publication):
    context.after = publication
    actions = context.node.apply(publication, context.records[1].address)
    changes = sent(actions, messages.Change)
    context.change = changes[0].message if changes else None
    if context.change is None:
        context.change = context.node.distributor._transfers.on_version_applied(
            context.before, publication
        )


@when("a version with one changed service is applied")
def one_changed(context):
    apply_next(context, context.configuration.build_publication(2))


@when("a version with one service fewer is applied")
def one_service_fewer(context):
    teams = list(context.configuration.teams.values())[1:]
    apply_next(context, publish(2, context.configuration.operators, teams))


@then("the change passed on holds {count:d} value and no shard")
def small_change(context, count):
    values = context.change.values
    assert len(values) == count, len(values)
    root = msgspec.json.decode(context.after.values[context.after.head.root], type=Root)
    assert not {digest(raw) for raw in values} & {context.after.head.root, *root.shards}


def make_peer(context):
    node = Node(context.records[2], context.records)
    node.apply(context.before)
    return node


@then("a peer with the version before rebuilds the version from it")
def peer_rebuilds(context):
    peer = make_peer(context)
    peer.receive(context.records[0].address, context.change)
    assert peer.store.head == context.after.head
    assert dict(peer.store.publication.values) == dict(context.after.values)


@then("a peer that received it damaged pulls instead")
def peer_pulls(context):
    peer = make_peer(context)
    damaged = tuple(
        raw.replace(b"paddles", b"puddles") for raw in context.change.values
    )
    change = with_values(context.change, damaged)
    peer.receive(context.records[0].address, change)
    assert peer.store.head == context.before.head
    pulls = sent(peer.distributor.tick(1), messages.Pull)
    assert [send.address for send in pulls] == [context.records[0].address]


def with_values(change, values):
    return messages.Change(change.head, values, change.base_root)


@given("a membership with records of {count:d} gone hosts")
def gone_hosts(context, count):
    own, *others = make_hosts(1, 1, count + 1, 1)
    context.membership = Membership(own)
    context.membership.merge_all(others)
    for index, record in enumerate(others):
        gone = msgspec.structs.replace(record, state=HostState.GONE, incarnation=index)
        context.membership.merge(gone)


@then("it keeps at most {limit:d} of them")
def gone_bounded(context, limit):
    hosts = context.membership.hosts
    gone = [host for host in hosts if host.state is HostState.GONE]
    assert 0 < len(gone) <= limit, len(gone)
    assert len(hosts) == len(gone) + 1


@when("it restarts and peers remember a higher version of it")
def restarts(context):
    context.node = Node(context.records[0], context.records)
    asked = context.node.distributor.on_pause(0)
    addresses = [send.address for send in sent(asked, messages.VersionAnnouncement)]
    assert len(addresses) >= 2
    for address in addresses:
        update = messages.VersionAnnouncement(context.before.head, 0, 2, True)
        context.node.receive(address, update)
    context.node.apply(context.before, addresses[0])


@then("it is not ready until it reaches that version")
def not_ready_below_floor(context):
    for now_ms in (0, 1_000, 60_000):
        ready = context.node.distributor.readiness(now_ms)
        assert not ready.ready
        assert ready.reason == "behind version 2", ready.reason
    context.node.apply(context.configuration.build_publication(2))
    assert context.node.distributor.readiness(60_001).ready


@when("a peer is unreachable and then restarts")
def peer_restarts(context):
    context.peer = context.records[3]
    distributor = context.node.distributor
    distributor.on_unreachable(context.peer.address, 0)
    context.suspected_before = distributor.is_suspected(context.peer.address, 1)
    context.restarted = msgspec.structs.replace(context.peer, incarnation=9)
    update = messages.HostUpdate((context.restarted,), spread=True)
    context.node.receive(context.records[4].address, update, 2)


@then("the peer is suspected only until its new record arrives")
def suspicion_ends(context):
    assert context.suspected_before
    distributor = context.node.distributor
    assert not distributor.is_suspected(context.peer.address, 3)


@then("an older record of the peer changes nothing")
def older_record(context):
    for state in HostState:
        old = msgspec.structs.replace(context.peer, state=state, incarnation=8)
        context.node.receive(context.records[4].address, messages.HostUpdate((old,)), 3)
    assert context.node.membership.get(context.peer.name) == context.restarted


@given("a reader's departure detector for a list of {count:d} hosts")
def departure_detector(context, count):
    own, *others = context.records = make_hosts(1, 1, count, 1)
    context.membership = Membership(own)
    context.membership.merge_all(others)
    context.detector = DepartureDetector()
    context.now_ms = 0


@when("the list holds all hosts, then {count:d} hosts for {length_s:d} s")
def list_shrinks(context, count, length_s):
    view = context.membership.view(context.records[0].domain)
    context.marked = set()
    readings = [context.records, *[context.records[:count]] * (length_s // 5)]
    for listed in readings:
        context.now_ms += 5_000
        changed = context.detector.detect(view, listed, context.now_ms)
        context.marked |= {(record.name, record.state) for record in changed}


@then("no host was marked")
def none_marked(context):
    assert not context.marked, context.marked


@then("{count:d} hosts were marked as gone")
def some_marked(context, count):
    expected = {(r.name, HostState.GONE) for r in context.records[-count:]}
    assert context.marked == expected, context.marked
