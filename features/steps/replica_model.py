"""Steps that play generated events on several nodes' copies of the store."""

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
    """A store that remembers its state at each revision."""

    def __init__(self):
        self.states = [{}]

    @property
    def revision(self):
        return len(self.states) - 1

    def write(self, key):
        revision = self.revision + 1
        item = Item(key, str(revision).encode(), revision)
        self.states.append({**self.states[-1], key: item})

    def remove(self, key):
        state = dict(self.states[-1])
        state.pop(key, None)
        self.states.append(state)

    def read(self):
        return Reading(tuple(self.states[-1].values()), self.revision)


class Model:
    """A store and its copies; messages between nodes may be late or doubled."""

    def __init__(self, draw, count):
        self._draw = draw
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
        )
        for _ in range(count):
            self._draw(st.sampled_from(events))()
            self._compare()

    def _compare(self):
        for copy in self._copies:
            if dict(copy.items) != self._store.states[copy.revision]:
                self.wrong.append((copy.revision, dict(copy.items)))

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
        after = self._copies[target].revision
        reading = self._copies[source].changes_since(after)
        self._messages.append((target, reading))

    def _deliver(self):
        if not self._messages:
            return
        index = self._draw(st.integers(0, len(self._messages) - 1))
        target, reading = self._messages[index]
        if not self._draw(st.booleans()):
            del self._messages[index]
        revision = self._copies[target].revision
        self._copies[target].merge(reading)
        assert self._copies[target].revision >= revision

    def _restart(self):
        self._copies[self._draw_index()] = Replica()


@given("copies that keep what a whole reading omits")
def keeps_unlisted(context):
    patch = unittest.mock.patch.object(Replica, "_remove_unlisted", lambda *_: [])
    context.resources.enter_context(patch)


@when(
    "{count:d} generated series of {length:d} events are played on the copies of "
    "{nodes:d} nodes"
)
def copies_played(context, count, length, nodes):
    context.wrong = []

    @hypothesis.settings(generated.PROPER, max_examples=count)
    @hypothesis.given(st.data())
    def play(data):
        model = Model(data.draw, nodes)
        model.play(length)
        context.wrong += model.wrong

    play()


@then("each copy always equals the store at the copy's revision")
def copies_equal(context):
    assert not context.wrong, context.wrong[:3]


@then("a copy was found that holds what the store had removed")
def copy_found(context):
    assert context.wrong
