"""Steps on the table of requests that crash workers."""

import dataclasses

from behave import given
from behave import then
from behave import when
from cactushook import Call
from cactushook import CrashTable
from cactushook import RouteClass

START_MS = 1_000_000.0
SERVICE = "reports"
PATH = "/reports/7"


@dataclasses.dataclass
class Crashes:
    """A table of crashes in virtual time."""

    table: CrashTable = dataclasses.field(default_factory=CrashTable)
    now_ms: float = START_MS
    running_beside: tuple[Call, ...] = ()

    def crash(self, call):
        """Counts a crash against a request and those that run beside it."""
        self.table.report(SERVICE, "host", (call, *self.running_beside), self.now_ms)
        self.running_beside = ()


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
