"""Steps on the table of requests that crash workers."""

import dataclasses

from behave import given
from behave import then
from behave import when
from cactushook import Admitted
from cactushook import Call
from cactushook import CrashTable
from cactushook import HostRecord
from cactushook import HostState
from cactushook import RouteClass
from cactushook.calls import Listing
from cactushook.crash_inquiry import CrashInquiry
from cactushook.gatekeeping import Answered
from cactushook.gatekeeping import Replayed
from cactushook.key_table import StoredAnswer
from cold_patterns import cold_gatekeeper

START_MS = 1_000_000.0
SERVICE = "reports"
SLOTS = 4
PATH = "/reports/7"


@dataclasses.dataclass
class Crashes:
    """A table of crashes in virtual time."""

    table: CrashTable = dataclasses.field(default_factory=CrashTable)
    now_ms: float = START_MS
    running_beside: tuple[Call, ...] = ()
    crash_count: int = 0

    def crash(self, call):
        """Counts a crash against a request and those that run beside it.

        Returns:
            The reports for other gates.
        """
        running = (call, *self.running_beside)
        self.crash_count += 1
        host = f"host-{self.crash_count}"
        self.running_beside = ()
        return self.table.report(SERVICE, host, running, self.now_ms)


def make_call(caller, path=PATH):
    """Returns a request of a caller."""
    return Call(
        "q1",
        SERVICE,
        RouteClass.IDEMPOTENT,
        START_MS + 1_000,
        1,
        fingerprint=path,
        variant=caller,
    )


@given("a table of crashes")
def table(context):
    context.crashes = Crashes()


@when('the request of caller "{caller}" crashes {count:d} workers')
def crash_workers(context, caller, count):
    for _ in range(count):
        context.crashes.crash(make_call(caller))


@when('the request of caller "{caller}" is answered')
def answered(context, caller):
    crashes = context.crashes
    crashes.table.record_answer(make_call(caller), crashes.now_ms)


@when('the request of caller "{caller}" is answered {seconds:d} s before')
def answered_before(context, caller, seconds):
    answered(context, caller)
    context.crashes.now_ms += seconds * 1_000


@when("nobody else sends it")
def nobody_else(context):
    pass


@when('the request of caller "{caller}" runs at one of them')
def runs_beside(context, caller):
    answered(context, caller)
    context.crashes.running_beside = (make_call(caller),)


@when("{seconds:d} s go by for the table")
def time_passes(context, seconds):
    context.crashes.now_ms += seconds * 1_000


@when("{count:d} requests that differ in their {part} crash a worker")
def many_crash(context, count, part):
    context.calls = [
        make_call("a", f"/reports/{n}") if part == "path" else make_call(f"caller-{n}")
        for n in range(count)
    ]
    for call in context.calls:
        context.crashes.now_ms += 1
        context.crashes.crash(call)


@then('the request of caller "{caller}" is refused')
def refused(context, caller):
    crashes = context.crashes
    assert crashes.table.is_refused(make_call(caller), crashes.now_ms)


@then('the request of caller "{caller}" is allowed')
def allowed(context, caller):
    crashes = context.crashes
    assert not crashes.table.is_refused(make_call(caller), crashes.now_ms)


@then('another request of caller "{caller}" is allowed')
def other_allowed(context, caller):
    crashes = context.crashes
    other = make_call(caller, "/reports/8")
    assert not crashes.table.is_refused(other, crashes.now_ms)


@then("the table holds at most {limit:d} of them")
def holds_at_most(context, limit):
    assert context.crashes.table.suspect_count <= limit


@then("the last of them is refused once it has crashed another worker")
def last_refused(context):
    crashes = context.crashes
    crashes.crash(context.calls[-1])
    assert crashes.table.is_refused(context.calls[-1], crashes.now_ms)


@given("an empty table of another gate")
def other_table(context):
    context.other = CrashTable()


@when("the other gate is told what the table knows")
def other_told(context):
    crashes = context.crashes
    for report in crashes.table.known_reports(crashes.now_ms):
        context.other.record_crash(report, crashes.now_ms)


@when('the other gate has an answer to the request of caller "{caller}"')
def other_answered(context, caller):
    context.other.record_answer(make_call(caller), context.crashes.now_ms)


@then('the other gate {verdict} the request of caller "{caller}"')
def other_verdict(context, verdict, caller):
    refused = context.other.is_refused(make_call(caller), context.crashes.now_ms)
    assert refused is (verdict == "refuses")


@given("a gate that asks {count:d} peers which requests crash workers")
def gate_asks(context, count):
    context.inquiry = CrashInquiry()
    context.peers = [f"peer {number}" for number in range(1, count + 1)]
    context.inquiry.start(context.peers, START_MS)


@when("nothing happens")
def nothing_happens(context):
    pass


@when("peer 1 answers")
def peer_answers(context):
    context.inquiry.on_answer("peer 1", complete=True)


@when("peer 1 answers, still asking itself")
def asking_peer_answers(context):
    context.inquiry.on_answer("peer 1", complete=False)


@when("all peers answer, still asking")
def all_answer(context):
    for peer in context.peers:
        context.inquiry.on_answer(peer, complete=False)


@when("all peers are out of reach")
def all_unreachable(context):
    for peer in context.peers:
        context.inquiry.on_unreachable(peer)


@then("after {length_ms:d} ms it {verdict} requests")
def inquiry_verdict(context, length_ms, verdict):
    refusal = context.inquiry.refusal(START_MS + length_ms)
    assert (refusal is not None) is (verdict == "refuses"), refusal


@given("a gate at which a keyed request has run")
def keyed_request_ran(context):
    keeper = context.keeper = cold_gatekeeper(SLOTS, 1_000)
    keeper.on_listing(Listing("i-1", "s", SLOTS, HostState.LIVE), START_MS)
    keeper.homes.on_host_list_read()
    context.keyed = Call(
        "q1",
        "s",
        RouteClass.AT_MOST_ONCE,
        START_MS + 5_000,
        1,
        key="first",
        key_issued_ms=START_MS,
    )
    assert isinstance(offer_keyed(context, context.keyed), Admitted)
    answer = Answered(5.0, stored=StoredAnswer(200, (), b"first"))
    keeper.on_request_ended(context.keyed, answer, START_MS + 5)


def offer_keyed(context, call):
    """Returns the gate's verdict on a keyed request."""
    own = HostRecord(name="h", address="a", domain="d", region="r", service="s")
    now_ms = START_MS + 10
    return context.keeper.offer(call, (own,), now_ms, now_ms)[-1]


@when("it asks a peer which requests crash workers")
def keeper_asks(context):
    context.keeper.crash_inquiry.start(["peer 1"], START_MS + 10)


@then("a copy of the keyed request gets its answer")
def copy_answered(context):
    copy = dataclasses.replace(context.keyed, request_id="q2")
    verdict = offer_keyed(context, copy)
    assert isinstance(verdict, Replayed) and verdict.answer.body == b"first", verdict


@then('another keyed request is refused as "{kind}"')
def other_keyed_refused(context, kind):
    other = dataclasses.replace(context.keyed, request_id="q3", key="second")
    verdict = offer_keyed(context, other)
    assert verdict.refusal.kind.value == kind, verdict
