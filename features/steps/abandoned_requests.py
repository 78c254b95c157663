"""Steps on requests that ended at their gate while their worker may still run them."""

import dataclasses
import itertools

from behave import given
from behave import then
from behave import when
from cactushook import Admitted
from cactushook import ErrorKind
from cactushook import HostState
from cactushook.calls import Listing
from cactushook.gatekeeping import Answered
from cactushook.gatekeeping import Failed
from cold_patterns import cold_gatekeeper

from features.gate_driver import request
from features.gate_driver import START_MS

SLOTS = 4
LISTING = Listing("i-1", "s", SLOTS, HostState.LIVE, started_ms=1)
NEXT_INSTANCE = dataclasses.replace(LISTING, instance="i-2", started_ms=2)
NEXT_START = dataclasses.replace(LISTING, started_ms=2)
LEFT_MS = 1_000.0
numbers = itertools.count()


class AbandonedRun:
    """A gate in virtual time, and the request that may have crashed its worker."""

    def __init__(self, keeper):
        self.keeper = keeper
        self.now_ms = START_MS
        self.suspect = self.make_call("suspect")
        self.reports = []

    def make_call(self, fingerprint):
        """Returns a request that may take `LEFT_MS` from now on."""
        return request(self.now_ms, left_ms=LEFT_MS, fingerprint=fingerprint)

    def send(self, call, is_sent=True):
        """Sends a request to the worker."""
        verdicts = self.keeper.offer(call, (), self.now_ms, self.now_ms)
        assert isinstance(verdicts[-1], Admitted), verdicts
        if is_sent:
            self.keeper.on_request_sent(call)

    def end(self, call, outcome, after_ms=0.0):
        """Ends a request after a while."""
        self.now_ms += after_ms
        ended = self.keeper.on_request_ended(call, outcome, self.now_ms)
        self.reports += ended.crashes

    def exchange(self, outcome, after_ms=5.0):
        """Sends another request and ends it."""
        call = self.make_call(f"other-{next(numbers)}")
        self.send(call)
        self.end(call, outcome, after_ms)

    def list_worker(self, listing):
        """Lists the worker anew, or ceases to list it."""
        self.now_ms += 500
        if listing is not None:
            self.reports += self.keeper.find_crash(listing, self.now_ms)
        self.keeper.on_listing(listing, self.now_ms)

    def count_crashes(self):
        """Returns how often the suspect is held to have crashed the worker."""
        return sum(r.fingerprint == self.suspect.fingerprint for r in self.reports)


@given("a gate with a listed worker")
def listed_worker(context):
    context.run = AbandonedRun(cold_gatekeeper(SLOTS, 1_000))
    context.run.keeper.on_listing(LISTING, START_MS)


@given("a gate with a worker that nobody lists")
def unlisted_worker(context):
    keeper = cold_gatekeeper(SLOTS, 1_000, needs_listing=False)
    context.run = AbandonedRun(keeper)
    context.run.exchange(Answered(5.0, instance=b"i-1"))


@when("a request is sent to the worker")
def sent(context):
    context.run.send(context.run.suspect)


@when("its caller leaves")
def caller_leaves(context):
    context.run.end(context.run.suspect, Failed(ErrorKind.CANCELLED), 200)


@when("its deadline passes")
def deadline_passes(context):
    context.run.end(context.run.suspect, Failed(ErrorKind.DEADLINE_EXCEEDED), LEFT_MS)


@when("its answer is invalid")
def answer_invalid(context):
    context.run.end(context.run.suspect, Failed(ErrorKind.ANSWER_INVALID), 200)


@when("another request is answered {length_ms:d} ms later")
def other_answered(context, length_ms):
    context.run.exchange(Answered(5.0), length_ms)


@when("the worker crashes, which shows as it accepts no connections")
def accepts_none(context):
    run = context.run
    run.now_ms += 100
    run.reports += run.keeper.on_worker_down(run.now_ms)


@when("the worker crashes, which shows as another instance is listed")
def other_listed(context):
    context.run.now_ms += 2_000
    context.run.list_worker(NEXT_INSTANCE)


@when("the worker crashes, which shows as the same instance starts anew")
def same_starts(context):
    context.run.now_ms += 2_000
    context.run.list_worker(NEXT_START)


@when("the worker crashes, which shows by a down worker, then its listing")
def down_then_listed(context):
    accepts_none(context)
    context.run.keeper.on_worker_up(context.run.now_ms + 2_000)
    other_listed(context)


@when("the worker crashes, which shows as it loses another request")
def loses_other(context):
    context.run.exchange(Failed(ErrorKind.WORKER_LOST))


@when("the worker crashes, which shows as another instance answers")
def other_instance_answers(context):
    context.run.now_ms += 2_000
    context.run.exchange(Answered(5.0, instance=b"i-2"))


@when("a request is given up before it is sent")
def given_up_unsent(context):
    run = context.run
    run.send(run.suspect, is_sent=False)
    run.end(run.suspect, Failed(ErrorKind.CANCELLED), 200)


@when("a request is sent and the worker refuses it")
def worker_refuses(context):
    run = context.run
    run.send(run.suspect)
    run.end(run.suspect, Failed(ErrorKind.WORKER_REJECTED), 5)


@when("a request is sent and answered")
def answered(context):
    run = context.run
    run.send(run.suspect)
    run.end(run.suspect, Answered(5.0), 5)


@when("a request is given up, and a later one is answered past its time")
def later_answered(context):
    run = context.run
    run.send(run.suspect)
    run.end(run.suspect, Failed(ErrorKind.CANCELLED), 200)
    run.now_ms += LEFT_MS
    run.exchange(Answered(5.0))


@when("a request is given up {seconds:d} s before")
def given_up_before(context, seconds):
    run = context.run
    run.send(run.suspect)
    run.end(run.suspect, Failed(ErrorKind.CANCELLED), 200)
    run.now_ms += seconds * 1_000


@when("the worker is listed as leaving, then another instance")
def leaves(context):
    leaving = dataclasses.replace(LISTING, state=HostState.LEAVING)
    context.run.list_worker(leaving)
    context.run.list_worker(NEXT_INSTANCE)


@when("the worker is not listed any more, then another instance")
def removed(context):
    context.run.list_worker(None)
    context.run.list_worker(NEXT_INSTANCE)


@when("the worker is not listed for a while, then as before")
def removed_and_back(context):
    context.run.list_worker(None)
    context.run.list_worker(LISTING)


@when("the worker is replaced by one of another service")
def replaced(context):
    other = dataclasses.replace(NEXT_INSTANCE, service="t")
    context.run.list_worker(other)


@then("the request is held to have crashed it once")
def crashed_once(context):
    run = context.run
    assert run.count_crashes() == 1, run.reports
    # A second crash is enough to refuse it.
    run.keeper.crashes.report("s", "other-host", (run.suspect,), run.now_ms)
    assert run.keeper.crashes.is_refused(run.suspect, run.now_ms)


@then("the request is not held to have crashed it")
def crashed_never(context):
    assert context.run.count_crashes() == 0, context.run.reports
