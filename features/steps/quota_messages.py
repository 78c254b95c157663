"""Steps on single messages between an entry and a home of quotas."""

from behave import given
from behave import then
from behave import when
from cactushook import WireError
from cactushook.quota_balance import Balance
from cactushook.quota_balance import LeasedToken
from cactushook.quota_bounds import QuotaBounds
from cactushook.quota_home import HOLD_MS
from cactushook.quota_home import QuotaHome
from cactushook.quota_lease import Admitted
from cactushook.quota_lease import EntryQuotas
from cactushook.quota_lease import OverQuota
from cactushook.quota_lease import Waiting
from cactushook.quota_messages import LeaseGrant
from cactushook.quota_messages import LeaseRequest
from cactushook.quota_messages import TokenGrant
from cactushook.quota_messages import TokenRequest
from cactushook_node import quota_wire
from cactushook_node import wire

from features.quota_loop import workspace

NAME = "w0"
QUOTA = workspace(NAME, 2, 2)


@given(
    "a home that is asked for a token of a workspace with {rate:d} requests a second"
)
def asked_home(context, rate):
    context.home = QuotaHome(QuotaBounds())
    context.home.update([NAME], -HOLD_MS)
    context.workspaces = {NAME: workspace(NAME, rate, 0)}


@when("it may grant {share:g} of the quota")
def may_grant(context, share):
    request = LeaseRequest("e", 1, 1, (TokenRequest(NAME, 1, (), 1.0),))
    answer = context.home.answer(request, context.workspaces, share, 10_000.0)
    (context.grant,) = answer.grants


@then("its answer says that it {serves}")
def answer_says(context, serves):
    assert context.grant.is_serving == (serves == "serves"), context.grant
    assert context.grant.tokens == (serves == "serves"), context.grant


@given("an entry with a returned token of each of {count:d} leases")
def returned_tokens(context, count):
    context.balance = Balance(NAME, "h0")
    for sequence in range(count):
        context.balance.put_back(LeasedToken(sequence, 0.0), 1.0)


@when("the home decodes its next message")
def decodes(context):
    request = LeaseRequest("h1", 1, 1, (context.balance.build_request(1.0),))
    message = quota_wire.request_to_message(request)
    context.request = quota_wire.request_from_message(message, "h1")


@then("the message has the latest {count:d} of them")
def latest_returned(context, count):
    (request,) = context.request.requests
    sequences = [item.sequence for item in request.returned]
    assert sequences == list(range(149, 149 - count, -1)), sequences


@given("messages about quotas without any field")
def empty_messages(context):
    empty = wire.QuotaRequestMessage(None, None, [])
    grant = wire.QuotaGrantMessage(None, None, [])
    handover = wire.QuotaHandoverMessage(None, None, None)
    context.decoders = (
        lambda: quota_wire.request_from_message(empty, "h1"),
        lambda: quota_wire.grant_from_message(grant),
        lambda: quota_wire.handover_names(handover.workspaces),
    )


@then('each is refused as "{kind}"')
def refused_as(context, kind):
    for decode in context.decoders:
        try:
            decode()
        except WireError as error:
            assert error.kind.value == kind, error
        else:
            raise AssertionError("the message was decoded")


@given("an entry without a fallback share whose home does not answer")
def home_silent(context):
    entry = context.entry = EntryQuotas("h1", 1, QuotaBounds(), -60_000.0)
    entry.acquire(QUOTA, "h0", no_share, 0.0)
    entry.next_request("h0", 0.0)
    verdict = entry.acquire_waiting(NAME, no_share, 100.0, 200.0)
    assert isinstance(verdict, OverQuota), verdict


@given("an entry without a fallback share whose home does not serve")
def home_not_serving(context):
    entry = context.entry = EntryQuotas("h1", 1, QuotaBounds(), -60_000.0)
    entry.acquire(QUOTA, "h0", no_share, 0.0)
    answer_entry(entry, 0.0, TokenGrant(NAME, 0, 0, is_serving=False))
    verdict = entry.acquire_waiting(NAME, no_share, 100.0, 10.0)
    assert isinstance(verdict, OverQuota), verdict


def no_share():
    return 0


def answer_entry(entry, now_ms, grant):
    request = entry.next_request("h0", now_ms)
    answer = LeaseGrant(request.incarnation, request.sequence, (grant,))
    assert entry.apply("h0", answer, now_ms + 10)


@when("its next request comes 10 s later")
def later_request(context):
    entry = context.entry
    context.verdict = entry.acquire(QUOTA, "h0", no_share, 10_000.0)
    answer_entry(entry, 10_000.0, TokenGrant(NAME, 1, 0))
    if isinstance(context.verdict, Waiting):
        context.verdict = entry.acquire_waiting(NAME, no_share, 10_100.0, 10_010.0)


@when("its next request comes 10 s later and gets no answer")
def later_request_unanswered(context):
    entry = context.entry
    entry.acquire(QUOTA, "h0", no_share, 10_000.0)
    entry.next_request("h0", 10_000.0)
    context.verdicts = [
        entry.acquire_waiting(NAME, no_share, 10_100.0, at_ms)
        for at_ms in (10_050.0, 10_100.0)
    ]


@then("it gets a token of the home")
def gets_token(context):
    assert isinstance(context.verdict, Admitted), context.verdict


@then("it is refused after 100 ms")
def refused_after_wait(context):
    first, second = context.verdicts
    assert isinstance(first, Waiting), first
    assert isinstance(second, OverQuota) and second.by_fallback, second
    assert context.entry.balances[NAME].waiting == 0


@given("an entry that was told to wait 2 s for more than the one token that it has")
def entry_short(context):
    entry = context.entry = EntryQuotas("h1", 1, QuotaBounds(), -60_000.0)
    entry.acquire(QUOTA, "h0", no_share, 0.0)
    answer_entry(entry, 0.0, TokenGrant(NAME, 1, 2_000))
    admitted = entry.acquire_waiting(NAME, no_share, 100.0, 10.0)
    entry.release(NAME, admitted.token, 100.0)


@when(
    "it returns the token unused after its lease and a request comes before the answer"
)
def token_on_its_way(context):
    entry = context.entry
    (request,) = entry.next_request("h0", 450.0).requests
    assert [item.tokens for item in request.returned] == [1], request
    context.verdicts = [
        entry.acquire(QUOTA, "h0", no_share, at_ms) for at_ms in (455.0, 456.0)
    ]


@then("the request waits for the answer, and a second one is refused")
def first_waits(context):
    first, second = context.verdicts
    assert isinstance(first, Waiting), first
    assert isinstance(second, OverQuota), second
