"""Steps that play generated events on several nodes' copies of the store."""

import dataclasses
import unittest.mock

import hypothesis
from behave import given
from behave import then
from behave import when
from cactushook.replica import Item
from cactushook.replica import Reading
from cactushook.replica import Replica
from hypothesis import strategies as st

from features import generated

KEYS = ("servers/a", "servers/b", "servers/c", "op/config")


class Store:
    """A store that remembers its state at each position of its history."""

    def __init__(self):
        self._eras = [[{}]]

    @property
    def era(self):
        return len(self._eras) - 1

    @property
    def revision(self):
        return len(self._eras[-1]) - 1

    def state_at(self, position):
        """Returns the state; None if the store has never been there."""
        states = self._eras[position.era]
        return states[position.revision] if position.revision < len(states) else None

    def write(self, key):
        revision = self.revision + 1
        item = Item(key, f"{self.era}/{revision}".encode(), revision)
        self._eras[-1].append({**self._eras[-1][-1], key: item})

    def remove(self, key):
        state = dict(self._eras[-1][-1])
        state.pop(key, None)
        self._eras[-1].append(state)

    def restore(self, revision):
        self._eras.append(self._eras[-1][: revision + 1])

    def read(self):
        items = tuple(self._eras[-1][-1].values())
        return Reading(items, self.revision, era=self.era)

    def watch(self, after):
        """Returns the writes after a revision, whatever era it was known in."""
        state = self._eras[-1][-1]
        items = tuple(i for i in state.values() if i.revision > after)
        return Reading(items, self.revision, after, self.era)


class Model:
    """A store and its copies; messages between nodes may be late or doubled."""

    def __init__(self, draw, count, is_restored):
        self._draw = draw
        self._is_restored = is_restored
        self._store = Store()
        self._copies = [Replica() for _ in range(count)]
        self._messages = []
        self.wrong = []

    def play(self, count):
        events = (
            self._write,
            self._remove,
            self._read_store,
            self._tell_peer,
            self._deliver,
            self._restart,
            *((self._restore, self._watch_store) if self._is_restored else ()),
        )
        for _ in range(count):
            self._draw(st.sampled_from(events))()
            self._compare()

    def _compare(self):
        for copy in self._copies:
            if dict(copy.items) != self._store.state_at(copy.position):
                self.wrong.append((copy.position, dict(copy.items)))

    def _draw_index(self):
        return self._draw(st.integers(0, len(self._copies) - 1))

    def _write(self):
        self._store.write(self._draw(st.sampled_from(KEYS)))

    def _remove(self):
        self._store.remove(self._draw(st.sampled_from(KEYS)))

    def _read_store(self):
        self._copies[self._draw_index()].merge(self._store.read())

    def _tell_peer(self):
        source, target = self._draw_index(), self._draw_index()
        after = self._copies[target].position
        reading = self._copies[source].changes_since(after)
        self._messages.append((target, reading))

    def _deliver(self):
        if not self._messages:
            return
        index = self._draw(st.integers(0, len(self._messages) - 1))
        target, reading = self._messages[index]
        if not self._draw(st.booleans()):
            del self._messages[index]
        position = self._copies[target].position
        self._copies[target].merge(reading)
        assert self._copies[target].position >= position

    def _restart(self):
        self._copies[self._draw_index()] = Replica()

    def _restore(self):
        self._store.restore(self._draw(st.integers(0, self._store.revision)))

    def _watch_store(self):
        """Takes in changes that another era's revision was the base of."""
        copy = self._copies[self._draw_index()]
        if copy.era != self._store.era and copy.revision <= self._store.revision:
            copy.merge(self._store.watch(copy.revision))


@given("copies that keep what a whole reading omits")
def keeps_unlisted(context):
    patch = unittest.mock.patch.object(Replica, "_remove_unlisted", lambda *_: [])
    context.resources.enter_context(patch)


@given("copies that do not tell the store's eras apart")
def ignores_eras(context):
    merge = Replica.merge

    def merge_any(replica, reading):
        replica.era = max(replica.era, reading.era)
        return merge(replica, dataclasses.replace(reading, era=replica.era))

    patch = unittest.mock.patch.object(Replica, "merge", merge_any)
    context.resources.enter_context(patch)


@when(
    "{count:d} generated series of {length:d} events are played on the copies of "
    "{nodes:d} nodes"
)
def copies_played(context, count, length, nodes, is_restored=False):
    context.wrong = []

    @hypothesis.settings(generated.PROPER, max_examples=count)
    @hypothesis.given(st.data())
    def play(data):
        model = Model(data.draw, nodes, is_restored)
        model.play(length)
        context.wrong += model.wrong

    play()


@when(
    "{count:d} generated series of {length:d} events, with a store that is restored, "
    "are played on the copies of {nodes:d} nodes"
)
def restored_copies_played(context, count, length, nodes):
    copies_played(context, count, length, nodes, is_restored=True)


@then("each copy always equals the store at the copy's position")
def copies_equal(context):
    assert not context.wrong, context.wrong[:3]


@then("a copy was found that does not equal the store")
@then("a copy was found that holds what the store had removed")
def copy_found(context):
    assert context.wrong
