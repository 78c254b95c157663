"""Steps on the pacing of large answers, in virtual time."""

import heapq
import itertools

from behave import given
from behave import then
from behave import when
from cactushook.pacing import BURST_MS
from cactushook.pacing import LINK_SHARE
from cactushook.pacing import Pacer

START_MS = 1_000.0


@given("a link of {mbps:d} megabits a second")
def link(context, mbps):
    context.pacer = Pacer(float(mbps))
    context.bytes_per_ms = mbps * 125.0


@given("a link of unknown rate")
def unknown_link(context):
    context.pacer = Pacer(None)


@when("{count:d} answers of {size:d} bytes are sent in parts of {part:d} bytes at once")
def send(context, count, size, part):
    """Sends a part of each answer once the one before it has been sent.

    Those that are due at the same moment take turns, as tasks do.
    """
    turns = itertools.count()
    context.sent = []
    context.ended_ms = {}
    due = [(START_MS, next(turns), answer, size) for answer in range(count)]
    heapq.heapify(due)
    while due:
        now_ms, _, answer, left = heapq.heappop(due)
        size_bytes = min(part, left)
        sent_ms = now_ms + context.pacer.delay_ms(size_bytes, now_ms)
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
    "the first and the last of them end within a round of {count:d} parts and a burst"
)
def ended_together(context, count):
    part_bytes = max(size_bytes for _, size_bytes in context.sent)
    part_ms = part_bytes / (LINK_SHARE * context.bytes_per_ms)
    ended = context.ended_ms.values()
    assert max(ended) - min(ended) <= count * part_ms + BURST_MS, sorted(ended)
