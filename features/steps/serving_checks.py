"""Steps that inject wrong decisions and test that the checks find them."""

from unittest import mock

from behave import given
from behave import then
from behave import when
from cactushook import Admission
from cactushook import admission
from cactushook import dispatch
from cactushook import ErrorKind
from cactushook import gatekeeping
from cactushook import Membership
from cactushook import Refusal
from cactushook import Snapshot
from cactushook.homes import ConfirmedHome
from cactushook.homes import Homes
from cactushook.ramp import Ramp

from bench import serving_callers as callers
from bench import serving_events as events
from bench import serving_node
from bench import serving_worker
from features import invariants


def any_gate_runs_any_key(patch):
    def next_step(self, view, now_ms, delay_ms=0.0):
        self._steps += 1
        if self._steps > 3:
            return dispatch.Refuse(Refusal(ErrorKind.HOME_UNREACHABLE, ""))
        hosts = [h for h in view.hosts if h.service == self._call.service]
        self._current_host = hosts[hash_of(self._call.request_id) % len(hosts)]
        return dispatch.SendTo(self._current_host, self._call, 1_000)

    patch(Homes, "classify_key", lambda self, call, hosts: ConfirmedHome())
    patch(dispatch.KeyedDispatch, "_next_step", next_step)


def unknown_counts_as_not_run(patch):
    patch(dispatch, "_final_refusal", lambda refusal: Refusal(ErrorKind.OVERLOADED, ""))


def out_counts_as_in(patch):
    patch(Snapshot, "is_out", lambda self, domain: False)


def leaving_host_takes_work(patch):
    def change_state(self, state):
        return None

    patch(gatekeeping.Gatekeeper, "drain", lambda self: None)
    patch(Membership, "change_state", change_state)
    patch(serving_node.Node, "_end_when_idle", lambda self: None)


def twice_the_slots(patch):
    patch(Admission, "_capacity", lambda self, now_ms: 2 * self.slots)
    patch(serving_worker.Worker, "_check_overload", lambda self: None)


def cold_counts_as_warm(patch):
    patch(Ramp, "capacity", lambda self, now_ms: self._slots)


def cut_counts_as_whole(patch):
    def cut_short(self, pending):
        label = pending.request.label
        event = events.Answered(self.world.now_ms, label, label, False, True)
        self._notify_caller(pending.request, event)

    patch(serving_node.Node, "_end_truncated", cut_short)


class SameNumber:
    """Gives all requests the same number, so that answers reach the wrong requests."""

    def __next__(self):
        return 1


def freed_slot_stays_free(patch):
    patch(admission.Admission, "expire", lambda self, now_ms: [])


def refusals_are_dropped(patch):
    patch(serving_node.Node, "on_refusal", lambda self, stream, refusal, load: None)
    patch(serving_node.Node, "_refuse_caller", lambda self, request, refusal: None)


WRONG_DECISIONS = {
    "any gate runs any key": any_gate_runs_any_key,
    "an unknown outcome counts as not run": unknown_counts_as_not_run,
    "a domain that is out counts as in": out_counts_as_in,
    "a leaving host takes work": leaving_host_takes_work,
    "twice the slots are used": twice_the_slots,
    "a cold worker counts as warm": cold_counts_as_warm,
    "a cut answer counts as whole": cut_counts_as_whole,
    "a freed slot is not reassigned": freed_slot_stays_free,
    "refusals are dropped": refusals_are_dropped,
}


def hash_of(label):
    return sum(label.encode())


@given('the wrong decision "{wrong}"')
def wrong_decision(context, wrong):
    def patch(owner, name, replacement):
        context.resources.enter_context(mock.patch.object(owner, name, replacement))

    if wrong == "all requests have the same number":
        for node in context.world.nodes.values():
            node._streams = SameNumber()
    else:
        WRONG_DECISIONS[wrong](patch)


@when(
    "after {delay_ms:d} ms {count:d} downloads of {work_ms:d} ms are requested at once"
)
def downloads(context, delay_ms, count, work_ms):
    kind = callers.RequestKind("/blade-templates", 1.0, float(work_ms), chunks=4)
    for _ in range(count):
        context.world.schedule(delay_ms, context.callers.send, kind)


@when(
    "after {delay_ms:d} ms {count:d} commissions of {work_ms:d} ms are requested "
    "at once"
)
def commissions(context, delay_ms, count, work_ms):
    kind = callers.RequestKind("/commissions", 1.0, float(work_ms), "POST")
    for _ in range(count):
        context.world.schedule(delay_ms, context.callers.send, kind)


@given("a transcript in which a refused request starts later")
def refused_then_started(context):
    context.world = mock.Mock()
    context.world.transcript = [
        events.Failed(5.0, "/deposits#1", "key-1", ErrorKind.OVERLOADED),
        events.Started(9.0, "/deposits#1", "a-0", "key-1", 1, 12),
    ]


@then('the check "{name}" finds a violation')
def finds(context, name):
    found = list(invariants.CHECKS[name](context.world.transcript))
    assert found, f"{name} found nothing"
