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


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """Values and removals that were read from a store.

    Attributes:
        items: values and removals.
        revision: the store's counter up to which changes are included.
        base: the revision after which changes are included; 0 for all values.
        era: number of the store's history; a higher one began from an older copy.
    """

    items: tuple[Item, ...]
    revision: int
    base: int = 0
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Gap:
    """Revisions between which values may have come and gone unseen."""

    after: int
    until: int


class Replica:
    """Holds all values up to a revision, which never decreases.

    Attributes:
        revision: the store's counter up to which changes are known; 0 at first.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._items: dict[str, Item] = {}
        self._removed: collections.OrderedDict[str, Item] = collections.OrderedDict()
        # Removals up to this revision may have been forgotten.
        self._forgotten_revision = 0
        self._gaps: collections.deque[_Gap] = collections.deque()
        self._previous_items: dict[str, Item] = {}

    @property
    def items(self) -> t.Mapping[str, Item]:
        """Values by key."""
        return self._items

    def merge(self, reading: Reading) -> tuple[Item, ...]:
        """Merges a reading and returns the values and removals that were new.

        A reading without a base replaces all older values: a value that it omits was
        removed. Pages are read one after another, so single values may be newer than
        the reading's revision. Known values that are newer stay.
        """
        if reading.base > self.revision:
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

    def changes_since(self, revision: int) -> Reading:
        """Returns the changes after a revision, or all values if they are not known."""
        if not self._knows_changes_since(revision):
            return Reading(tuple(self._items.values()), self.revision)
        known = (*self._items.values(), *self._removed.values())
        changed = tuple(item for item in known if item.revision > revision)
        return Reading(changed, self.revision, revision)

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


__all__ = ["Item", "Reading", "Replica"]
