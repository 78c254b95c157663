"""Steps for the pacing of large answers, in virtual time."""

import heapq
import itertools
import random

from behave import given
from behave import then
from behave import when
from cactushook import EMPTY_SNAPSHOT
from cactushook import ErrorKind
from cactushook import HostRecord
from cactushook import Router
from cactushook.calls import Load
from cactushook.pacing import BURST_MS
from cactushook.pacing import LINK_SHARE
from cactushook.pacing import Pacer
from cactushook.pacing import refuse_unsendable
from overload_patterns import request

START_MS = 1_000.0
ANSWER_BYTES = 280_000
RUN_MS = 130.0


@given("a link of {mbps:d} megabits a second")
def link(context, mbps):
    context.pacer = Pacer(float(mbps))
    context.bytes_per_ms = mbps * 125.0


@given("a link of unknown rate")
def unknown_link(context):
    context.pacer = Pacer(None)


@when("{count:d} answers of {size:d} bytes are sent in parts of {part:d} bytes at once")
def send(context, count, size, part):
    """Sends each answer part by part, a part once the one before has been sent.

    Answers that are due at the same moment take turns, as tasks do.
    """
    turns = itertools.count()
    context.sent = []
    context.ended_ms = {}
    due = [(START_MS, next(turns), answer, size) for answer in range(count)]
    heapq.heapify(due)
    while due:
        now_ms, _, answer, left = heapq.heappop(due)
        size_bytes = min(part, left)
        sent_ms = now_ms + context.pacer.schedule_send_ms(size_bytes, now_ms)
        context.sent.append((sent_ms, size_bytes))
        if left > size_bytes:
            heapq.heappush(due, (sent_ms, next(turns), answer, left - size_bytes))
        else:
            context.ended_ms[answer] = sent_ms


@then("at no moment do more than {most_ms:d} ms of data wait on the link")
def queue_is_short(context, most_ms):
    waiting_bytes, at_ms = 0.0, START_MS
    for sent_ms, size_bytes in sorted(context.sent):
        carried = (sent_ms - at_ms) * context.bytes_per_ms
        waiting_bytes = max(0.0, waiting_bytes - carried) + size_bytes
        at_ms = sent_ms
        assert waiting_bytes / context.bytes_per_ms <= most_ms, waiting_bytes


@then("all of them are sent within {limit_ms:d} ms")
def sent_within(context, limit_ms):
    took_ms = max(context.ended_ms.values()) - START_MS
    assert took_ms <= limit_ms, took_ms


@then(
    "the first and the last of them end within the time of {count:d} parts and a burst"
)
def ended_together(context, count):
    part_bytes = max(size_bytes for _, size_bytes in context.sent)
    part_ms = part_bytes / (LINK_SHARE * context.bytes_per_ms)
    ended = context.ended_ms.values()
    assert max(ended) - min(ended) <= count * part_ms + BURST_MS, sorted(ended)


@when("{count:d} answers of {size:d} bytes are expected")
def reserve_answers(context, count, size):
    context.reservations = [context.pacer.reserve(size) for _ in range(count)]


def offer_download(context, objective_ms, left_ms):
    call = request(START_MS, objective_ms, left_ms=left_ms)
    send_ms = context.pacer.wait_ms(ANSWER_BYTES, START_MS)
    return send_ms, refuse_unsendable(call, send_ms, RUN_MS, START_MS)


@when("a download with an objective of {objective_ms:d} ms arrives")
def download_arrives(context, objective_ms):
    context.send_ms, context.refusal = offer_download(context, objective_ms, 3_000.0)


@then("it is refused with the wait for the link as its retry time")
def refused_with_retry_time(context):
    assert context.refusal.kind is ErrorKind.OVERLOADED
    assert context.refusal.retry_after_ms == round(context.send_ms)


@when("{count:d} of the expected answers are not sent")
def not_sent(context, count):
    for reservation in context.reservations[:count]:
        reservation.close()


@then("a download with an objective of {objective_ms:d} ms is accepted")
def accepted(context, objective_ms):
    assert offer_download(context, objective_ms, 3_000.0)[1] is None


@when("a download arrives after its objective with {left_ms:d} ms left")
def late_download(context, left_ms):
    context.left_ms = float(left_ms)


@then("it is accepted while the link is free")
def accepted_late(context):
    assert offer_download(context, -1.0, context.left_ms)[1] is None


@then("it is refused behind {count:d} answers of {size:d} bytes")
def refused_late(context, count, size):
    reserve_answers(context, count, size)
    assert offer_download(context, -1.0, context.left_ms)[1] is not None


@given("two near workers, one of which waits {wait_ms:d} ms for its link")
def near_workers(context, wait_ms):
    context.hosts = [
        HostRecord(name=name, address=name, domain="d", region="r", service="s")
        for name in ("busy", "other")
    ]
    context.router = Router("d", "r", random.Random(1))
    context.waits = {"busy": float(wait_ms), "other": 0.0}


@when("the other one is the entry's own host")
def own_host(context):
    context.router = Router("d", "r", random.Random(1), own="other")


def choose_hosts(context, count, expects_large_answer):
    for name, wait_ms in context.waits.items():
        context.router.record_load(name, Load(1, 0, 9, send_ms=wait_ms), START_MS)
    choices = [
        context.router.choose(
            "s",
            EMPTY_SNAPSHOT,
            context.hosts,
            START_MS,
            expects_large_answer=expects_large_answer,
        ).host.name
        for _ in range(count)
    ]
    return set(choices)


@then("{count:d} requests with large answers go to the other one")
def large_go(context, count):
    assert choose_hosts(context, count, True) == {"other"}


@then("requests with short answers go to both")
def short_go(context):
    assert choose_hosts(context, 50, False) == {"busy", "other"}
