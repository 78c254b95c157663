"""Steps for hosts that do not respond: reports among peers, probes and placement."""

import collections
import random

from behave import given
from behave import then
from behave import when
from cactushook import ErrorKind
from cactushook import Head
from cactushook import HostRecord
from cactushook import Router
from cactushook import Snapshot
from cactushook.silence import SilentPeers
from cactushook_node import wire
from cactushook_node.peer_watch import ANSWER_TIMEOUT_MS
from cactushook_node.peer_watch import PeerWatch

from features import edge_fixtures

SERVICE = "reports"
SNAPSHOT = Snapshot(Head(version=1, root=""), {}, {}, ())
STEP_MS = 50
# An entry that sent a request finds its host silent after at most this time.
FOUND_SILENT_MS = 600


def make_host(number):
    return HostRecord(
        name=f"h{number}",
        address=f"a{number}",
        domain="d",
        region="r",
        service=SERVICE,
        incarnation=1,
    )


class Fleet:
    """Plays entries that send requests to hosts, some of which lose power."""

    def __init__(self, entries, hosts, per_s, shares_reports):
        self.rng = random.Random(1)
        self.hosts = tuple(make_host(number) for number in range(hosts))
        self.peers = [SilentPeers() for _ in range(entries)]
        self.routers = [
            Router("d", "r", random.Random(index), silent_peers=peers)
            for index, peers in enumerate(self.peers)
        ]
        self.per_step = per_s * STEP_MS / 1_000
        self.shares_reports = shares_reports
        self.lost_ms = collections.defaultdict(list)
        self.findings = []

    def play(self, dead, length_ms):
        for now_ms in range(0, length_ms, STEP_MS):
            self._find(dead, now_ms)
            for index, router in enumerate(self.routers):
                if self.rng.random() >= self.per_step:
                    continue
                choice = router.choose(SERVICE, SNAPSHOT, self.hosts, now_ms)
                if choice.host.address in dead:
                    self.lost_ms[choice.host.address].append(now_ms)
                    found = (now_ms + FOUND_SILENT_MS, index, choice.host.address)
                    self.findings.append(found)

    def _find(self, dead, now_ms):
        due = [found for found in self.findings if found[0] <= now_ms]
        self.findings = [found for found in self.findings if found[0] > now_ms]
        for _, index, address in due:
            self.peers[index].mark_silent(address, now_ms)
            if self.shares_reports:
                self._report(index, dead, now_ms)

    def _report(self, sender, dead, now_ms):
        for address in self.peers[sender].take_unreported():
            for index, peers in enumerate(self.peers):
                if index != sender and peers.record_report(address, now_ms):
                    asked = (now_ms + ANSWER_TIMEOUT_MS, index, address)
                    self.findings.append(asked)


@given(
    "{entries:d} entries that each send {per_s:d} requests a second to {hosts:d} hosts"
)
def entries_and_hosts(context, entries, per_s, hosts):
    context.fleets = [
        Fleet(entries, hosts, per_s, shares_reports) for shares_reports in (True, False)
    ]


@when("{count:d} of the hosts lose power for {length_s:d} s")
def hosts_lose_power(context, count, length_s):
    for fleet in context.fleets:
        dead = {host.address for host in fleet.hosts[:count]}
        fleet.play(dead, length_s * 1_000)


@then("no dead host gets a request later than {limit_ms:d} ms after its first one")
def none_sent_later(context, limit_ms):
    for address, lost_ms in context.fleets[0].lost_ms.items():
        assert lost_ms[-1] - lost_ms[0] <= limit_ms, (address, lost_ms)


@then("fewer than a third as many are lost as without reports from peers")
def fewer_lost(context):
    with_reports, without = (
        sum(map(len, fleet.lost_ms.values())) for fleet in context.fleets
    )
    assert 3 * with_reports < without, (with_reports, without)


class ScriptedLink:
    """Stands in for a link; a ping on it is answered or not."""

    closed = False

    def __init__(self, environment, answers):
        self.environment = environment
        self.answers = answers
        self.received_ms = environment.now_ms() - 1_000
        self.sent = []

    def on_ping_unanswered(self):
        self.environment.mark_peer_silent("a0")

    def send_soon(self, message):
        self.sent.append(message)
        if self.answers:
            self.received_ms = self.environment.now_ms()


class ScriptedLinks:
    """Stands in for the pool of links, which has one link."""

    def __init__(self, link):
        self.link = link

    def find(self, address):
        return self.link

    def open_links(self):
        return [("peer", self.link)]


@given("a node with a link to a host that {answers}")
def node_with_link(context, answers):
    context.env = edge_fixtures.environment()
    context.link = ScriptedLink(context.env, answers == "answers")
    context.watch = PeerWatch(context.env, ScriptedLinks(context.link), None)


@when("a peer reports the host as silent")
def peer_reports(context):
    context.watch.on_report(wire.SilenceMessage(["a0"]))
    timers = context.env.timers
    timers.advance(timers.now_ms + ANSWER_TIMEOUT_MS + STEP_MS)


@when("the host is silent for {length_ms:d} ms")
def host_is_silent(context, length_ms):
    context.env.membership.merge(make_host(0))
    context.env.mark_peer_silent("a0")
    timers = context.env.timers
    context.pinged_ms = []
    for now_ms in range(0, length_ms, STEP_MS):
        sent = len(context.link.sent)
        timers.advance(timers.now_ms + STEP_MS)
        pings = [m for m in context.link.sent[sent:] if isinstance(m, wire.PingMessage)]
        context.pinged_ms += [now_ms] * len(pings)


@then("it is pinged every {least_ms:d} to {most_ms:d} ms")
def pinged_every(context, least_ms, most_ms):
    times_ms = context.pinged_ms
    gaps_ms = [b - a for a, b in zip(times_ms, times_ms[1:], strict=False)]
    assert len(gaps_ms) >= 5, times_ms
    assert all(least_ms <= gap_ms <= most_ms for gap_ms in gaps_ms), times_ms


def assert_asked(context):
    assert isinstance(context.link.sent[0], wire.PingMessage), context.link.sent


@then("the host is asked and stays in use")
def stays_in_use(context):
    assert_asked(context)
    assert not context.env.silent_peers.is_silent("a0")


@then("the host is asked and gets requests last")
def gets_requests_last(context):
    assert_asked(context)
    assert context.env.silent_peers.is_silent("a0")


@when("the host sends something again")
def host_sends(context):
    context.env.mark_peer_responding("a0")


@then("the host is in use again")
def in_use_again(context):
    assert not context.env.silent_peers.is_silent("a0")


@given(
    "a node that finds {count:d} hosts silent, {reported:d} of them reported by a peer"
)
def finds_silent(context, count, reported):
    context.peers = SilentPeers()
    for number in range(reported):
        context.peers.record_report(f"a{number}", 0.0)
    for number in range(count):
        context.peers.mark_silent(f"a{number}", 0.0)


@then("it reports {count:d} hosts, and nothing at the next time")
def reports_hosts(context, count):
    assert len(context.peers.take_unreported()) == count
    assert not context.peers.take_unreported()


@when("1 host responds and 1 is no longer listed")
def one_responds(context):
    assert context.peers.mark_responding("a0")
    context.listed = {"a0", "a2"}


@then("{count:d} host is probed")
def probed(context, count):
    probes = context.peers.select_probes(context.listed, 1_000.0)
    assert probes == ("a2",) and count == 1, probes
    assert len(context.peers) == count


@then("none is probed after {limit_s:d} s")
def none_probed(context, limit_s):
    assert not context.peers.select_probes(context.listed, limit_s * 1_000)


def choose(context, hosts, avoided=()):
    peers = SilentPeers()
    peers.mark_silent("a0", 0.0)
    router = Router("d", "r", random.Random(1), silent_peers=peers)
    for host in avoided:
        router.avoid(host, ErrorKind.PEER_UNREACHABLE, 0.0)
    context.choice = router.choose(SERVICE, SNAPSHOT, hosts, 1.0)


@given("a service whose only host is silent")
def only_host_silent(context):
    choose(context, (make_host(0),))


@then("a request is sent to it all the same")
def sent_to_silent(context):
    assert context.choice.host.name == "h0"


@given("a service with a silent host and one that refused just now")
def silent_and_refused(context):
    choose(context, (make_host(0), make_host(1)), avoided=[make_host(1)])


@then("a request is sent to the one that refused")
def sent_to_refused(context):
    assert context.choice.host.name == "h1"
