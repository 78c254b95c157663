"""A node's copy of a store that numbers its changes with one counter."""

import collections
import dataclasses
import typing as t

KEPT_REMOVALS = 1_000
KEPT_GAPS = 64
# The previous value of a key is kept from this length on, so that a change can be
# sent as a delta.
LONG_VALUE_BYTES = 8_192


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """One value of the store, or the record of its removal.

    Attributes:
        key: the key.
        value: the bytes; empty for a removal.
        revision: the store's counter at its last change.
        deleted: whether the value was removed.
    """

    key: str
    value: bytes
    revision: int
    deleted: bool = False


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Position:
    """A place in a store's history; places of a higher era are later.

    Attributes:
        era: number of the history; a higher one began from an older copy.
        revision: the store's counter; comparable only within an era.
    """

    era: int = 0
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """Values and removals that were read from a store.

    Attributes:
        items: values and removals.
        revision: the store's counter up to which changes are included.
        base: the revision after which changes are included; 0 for all values.
        era: number of the store's history in which all of this holds.
    """

    items: tuple[Item, ...]
    revision: int
    base: int = 0
    era: int = 0

    @property
    def position(self) -> Position:
        """Place in the store's history up to which changes are included."""
        return Position(self.era, self.revision)


@dataclasses.dataclass(frozen=True, slots=True)
class _Gap:
    """Revisions between which values may have come and gone unseen."""

    after: int
    until: int


class Replica:
    """Holds all values up to a position in the store's history, which never decreases.

    Attributes:
        era: number of the history that the values belong to.
        revision: the store's counter up to which changes are known; 0 at first.
    """

    def __init__(self) -> None:
        self.era = 0
        self.revision = 0
        self._items: dict[str, Item] = {}
        self._removed: collections.OrderedDict[str, Item] = collections.OrderedDict()
        # Removals up to this revision may have been forgotten.
        self._forgotten_revision = 0
        self._gaps: collections.deque[_Gap] = collections.deque()
        self._previous_items: dict[str, Item] = {}

    @property
    def position(self) -> Position:
        """Place in the store's history up to which changes are known."""
        return Position(self.era, self.revision)

    @property
    def items(self) -> t.Mapping[str, Item]:
        """Values by key."""
        return self._items

    def merge(self, reading: Reading) -> tuple[Item, ...]:
        """Merges a reading and returns the values and removals that were new.

        A reading without a base replaces all older values: a value that it omits was
        removed. Pages are read one after another, so single values may be newer than
        the reading's revision. Known values that are newer stay. One of a later era
        replaces everything, since revisions are given out again.
        """
        if reading.era > self.era and reading.base == 0:
            return self._start_era(reading)
        if reading.era != self.era or reading.base > self.revision:
            return ()
        if reading.base == 0 and reading.revision < self.revision:
            return ()
        changed = [item for item in reading.items if self._merge_item(item)]
        if reading.base == 0:
            listed_keys = {item.key for item in reading.items}
            changed += self._remove_unlisted(listed_keys, reading.revision)
            self._record_gap(reading.revision)
        self.revision = max(self.revision, reading.revision)
        return tuple(changed)

    def get(self, key: str) -> Item | None:
        """Returns the item of a key, or None."""
        return self._items.get(key)

    def previous_item(self, key: str) -> Item | None:
        """Returns the long value that the current value of a key replaced, or None."""
        return self._previous_items.get(key)

    def changes_since(self, position: Position) -> Reading:
        """Returns the changes after a position, or all values if they are not known."""
        revision = position.revision
        if position.era != self.era or not self._knows_changes_since(revision):
            return Reading(tuple(self._items.values()), self.revision, era=self.era)
        known = (*self._items.values(), *self._removed.values())
        changed = tuple(item for item in known if item.revision > revision)
        return Reading(changed, self.revision, revision, self.era)

    def _start_era(self, reading: Reading) -> tuple[Item, ...]:
        """Replaces everything by a whole reading of a later era."""
        before = self._items
        self.era = reading.era
        self.revision = 0
        self._items = {}
        self._removed.clear()
        self._forgotten_revision = 0
        self._gaps.clear()
        self._previous_items.clear()
        changed = tuple(i for i in self.merge(reading) if before.get(i.key) != i)
        gone = tuple(
            Item(key, b"", reading.revision, deleted=True)
            for key in before
            if key not in self._items
        )
        return changed + gone

    def _knows_changes_since(self, revision: int) -> bool:
        if revision == 0 or revision < self._forgotten_revision:
            return False
        return not any(gap.after < revision < gap.until for gap in self._gaps)

    def _record_gap(self, revision: int) -> None:
        """Records that a whole reading may have skipped values and their removal."""
        if revision <= self.revision:
            return
        self._gaps.append(_Gap(self.revision, revision))
        if len(self._gaps) > KEPT_GAPS:
            until = self._gaps.popleft().until
            self._forgotten_revision = max(self._forgotten_revision, until)

    def _merge_item(self, item: Item) -> bool:
        known = self._items.get(item.key) or self._removed.get(item.key)
        if known is not None and known.revision >= item.revision:
            return False
        if item.deleted:
            self._items.pop(item.key, None)
            self._previous_items.pop(item.key, None)
            self._record_removal(item)
            return True
        self._removed.pop(item.key, None)
        before = self._items.get(item.key)
        if before is not None and len(before.value) >= LONG_VALUE_BYTES:
            self._previous_items[item.key] = before
        self._items[item.key] = item
        return True

    def _remove_unlisted(
        self, listed_keys: t.Container[str], revision: int
    ) -> list[Item]:
        gone = [
            Item(item.key, b"", revision, deleted=True)
            for item in self._items.values()
            if item.key not in listed_keys and item.revision <= revision
        ]
        for item in gone:
            del self._items[item.key]
            self._record_removal(item)
        return gone

    def _record_removal(self, item: Item) -> None:
        self._removed[item.key] = item
        self._removed.move_to_end(item.key)
        while len(self._removed) > KEPT_REMOVALS:
            _, oldest = self._removed.popitem(last=False)
            self._forgotten_revision = max(self._forgotten_revision, oldest.revision)


__all__ = ["Item", "Position", "Reading", "Replica"]
