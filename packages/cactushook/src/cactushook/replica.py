"""A node's copy of a store whose changes are numbered by one counter."""

import collections
import dataclasses
import typing as t

KEPT_REMOVALS = 1_000
# Of longer values the one before is kept, so that a change can be told as a delta.
LONG_VALUE_BYTES = 8_192


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """One value of the store, or the news of its removal.

    Attributes:
        key: its key.
        value: its bytes; empty for a removal.
        revision: the store's counter at its last change.
        deleted: whether it was removed.
    """

    key: str
    value: bytes
    revision: int
    deleted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """What was read of a store.

    Attributes:
        items: values and removals.
        revision: the store's counter that the reading reaches.
        base: the revision since which changes are given; 0 for all values.
    """

    items: tuple[Item, ...]
    revision: int
    base: int = 0


class Replica:
    """All values up to a revision; it never goes back.

    Attributes:
        revision: the store's counter up to which changes are known; 0 at first.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._items: dict[str, Item] = {}
        self._removed: collections.OrderedDict[str, Item] = collections.OrderedDict()
        # Removals up to this revision may have been forgotten.
        self._removed_from = 0
        self._replaced: dict[str, Item] = {}

    @property
    def items(self) -> t.Mapping[str, Item]:
        """Values by key."""
        return self._items

    def merge(self, reading: Reading) -> tuple[Item, ...]:
        """Takes a reading in and returns the values and removals that were news.

        Values without a base replace all older ones: what they leave out was
        removed. Pages are read one after another, so single values may be newer
        than the reading's revision; what is known and newer stays.
        """
        if reading.base > self.revision:
            return ()
        if reading.base == 0 and reading.revision < self.revision:
            return ()
        news = [item for item in reading.items if self._take_item(item)]
        if reading.base == 0:
            named = {item.key for item in reading.items}
            news += self._remove_unnamed(named, reading.revision)
        self.revision = max(self.revision, reading.revision)
        return tuple(news)

    def get(self, key: str) -> Item | None:
        """Returns the value of a key."""
        return self._items.get(key)

    def previous_item(self, key: str) -> Item | None:
        """Returns the long value that the present value of a key took the place of."""
        return self._replaced.get(key)

    def changes_since(self, revision: int) -> Reading:
        """Returns what changed after a revision, or all values if that is unknown."""
        if revision == 0 or revision < self._removed_from:
            return Reading(tuple(self._items.values()), self.revision)
        known = (*self._items.values(), *self._removed.values())
        changed = tuple(item for item in known if item.revision > revision)
        return Reading(changed, self.revision, revision)

    def _take_item(self, item: Item) -> bool:
        known = self._items.get(item.key) or self._removed.get(item.key)
        if known is not None and known.revision >= item.revision:
            return False
        if item.deleted:
            self._items.pop(item.key, None)
            self._replaced.pop(item.key, None)
            self._note_removal(item)
            return True
        self._removed.pop(item.key, None)
        before = self._items.get(item.key)
        if before is not None and len(before.value) >= LONG_VALUE_BYTES:
            self._replaced[item.key] = before
        self._items[item.key] = item
        return True

    def _remove_unnamed(self, named: t.Container[str], revision: int) -> list[Item]:
        gone = [
            Item(item.key, b"", revision, deleted=True)
            for item in self._items.values()
            if item.key not in named and item.revision <= revision
        ]
        for item in gone:
            del self._items[item.key]
            self._note_removal(item)
        return gone

    def _note_removal(self, item: Item) -> None:
        self._removed[item.key] = item
        self._removed.move_to_end(item.key)
        while len(self._removed) > KEPT_REMOVALS:
            _, oldest = self._removed.popitem(last=False)
            self._removed_from = max(self._removed_from, oldest.revision)


__all__ = ["Item", "Reading", "Replica"]
