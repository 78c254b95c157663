"""Steps on what a node retains of its knowledge while a restored store catches up."""

import hypothesis
from behave import given
from behave import then
from behave import when
from cactushook.replica import Item
from cactushook.replica import Reading
from cactushook.replica import Replica
from cactushook.retention import ABSENT_HOLD_MS
from cactushook.retention import ContentOrder
from cactushook.retention import Retention
from hypothesis import strategies as st

from features import generated

KEY = "a"
CONFIGURATION = "configuration"
RENEWAL_MS = 6_000.0
NOTHING = "nothing"


def order_of(item):
    kind, _, number = item.value.decode().partition(" ")
    if not number.isdigit():
        return None
    return ContentOrder((int(number),), is_renewed=kind == "rank")


class Node:
    """A node's replica with what it retains, on a store that counts its changes."""

    def __init__(self):
        self.now_ms = 0.0
        self.retention = Retention(order_of, RENEWAL_MS)
        self.replica = Replica()
        self.revision = 1
        self.replica.merge(Reading((), 1))

    def write(self, *texts, key=KEY):
        """Writes values one after the other, which the node reads at once."""
        base = self.revision
        items = []
        for text in texts:
            self.revision += 1
            deleted = text == NOTHING
            value = b"" if deleted else text.encode()
            items.append(Item(key, value, self.revision, deleted))
        before = self.replica.items.copy()
        era = self.replica.era
        reading = Reading(tuple(items), self.revision, base, era)
        changes = self.replica.merge(reading)
        self.retention.record_changes(changes, before, self.now_ms)

    def restore(self, items, revision):
        self.revision = revision
        known = self.retention.overlay(self.replica.items)
        reading = Reading(tuple(items), revision, era=self.replica.era + 1)
        self.replica.merge(reading)
        self.retention.start_era(known, self.replica.items, self.now_ms)

    def use(self, key=KEY):
        self.retention.expire(self.now_ms)
        item = self.retention.overlay(self.replica.items).get(key)
        return NOTHING if item is None else item.value.decode()


@given("a replica that knew {known}")
def node_knows(context, known):
    context.node = Node()
    text = known.removeprefix("removed ")
    if text != NOTHING:
        context.node.write(text)
    if text != known:
        context.node.write(NOTHING)


@when("its store is restored and has {found}")
def store_restored(context, found):
    items = [] if found == NOTHING else [Item(KEY, found.encode(), 2)]
    context.node.restore(items, 2)


@when("its owner writes {text}")
def is_written(context, text):
    context.node.write(text)


@when("the store carries out {first} and {second} before the node reads it")
def written_at_once(context, first, second):
    context.node.write(first, second)


@then("the value in force is {text}")
def node_uses(context, text):
    assert context.node.use() == text, context.node.use()


@when("the store cannot be reached for {length_s:d} s")
def store_unreachable(context, length_s):
    node = context.node
    for _ in range(length_s):
        node.now_ms += 1_000
        node.retention.renew(node.now_ms)
        node.use()


@then("{text} is in force when the hold for absent items has passed again")
def uses_after_second_hold(context, text):
    context.node.now_ms += ABSENT_HOLD_MS
    node_uses(context, text)


@then("{text} is in force when the hold for absent items has passed")
def uses_after_hold(context, text):
    context.node.now_ms = ABSENT_HOLD_MS
    node_uses(context, text)


@then("{text} is in force when all records have been renewed")
def uses_later(context, text):
    context.node.now_ms = RENEWAL_MS
    node_uses(context, text)


class Series:
    """Plays writes and restored copies, and notes the versions that the node uses."""

    def __init__(self, draw):
        self._draw = draw
        self._node = Node()
        self._copies = [(dict(self._node.replica.items), self._node.revision)]
        self._written = 0
        self.versions = []
        self.is_settled = False

    def play(self, length):
        events = (self._write_version, self._write_record, self._remove, self._restore)
        for _ in range(length):
            self._draw(st.sampled_from(events))()
            self._node.now_ms += self._draw(st.sampled_from((0, 100, 1_000, 7_000)))
            self._node.retention.expire(self._node.now_ms)
            self._copies.append((dict(self._node.replica.items), self._node.revision))
            used = self._node.use(CONFIGURATION).removeprefix("version ")
            self.versions += [int(used)] if used != NOTHING else []
        self._node.now_ms += 30_000
        in_use = self._node.use(KEY), self._node.replica.get(KEY)
        stored = NOTHING if in_use[1] is None else in_use[1].value.decode()
        self.is_settled = in_use[0] == stored

    def _write_version(self):
        self._written += 1
        self._node.write(f"version {self._written}", key=CONFIGURATION)

    def _write_record(self):
        self._written += 1
        self._node.write(f"rank {self._written}")

    def _remove(self):
        if self._node.replica.get(KEY) is not None:
            self._node.write(NOTHING)

    def _restore(self):
        items, revision = self._draw(st.sampled_from(self._copies))
        self._copies = [(items, revision)]
        self._node.restore(items.values(), revision)


@when("{count:d} generated series of {length:d} events are followed")
def series_followed(context, count, length):
    context.series = []

    @hypothesis.settings(generated.PROPER, max_examples=count)
    @hypothesis.given(st.data())
    def follow(data):
        series = Series(data.draw)
        series.play(length)
        context.series.append(series)

    follow()


@then("no version that the node used was lower than one before")
def versions_rise(context):
    for series in context.series:
        assert series.versions == sorted(series.versions), series.versions


@then("30 s after the last event the node used the store's records")
def records_settled(context):
    assert all(series.is_settled for series in context.series)
