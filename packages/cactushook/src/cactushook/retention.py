"""Keeps what a node knew of a store while the store may lack what it has acknowledged.

Records may lapse while a store cannot be reached, a store that is restored from an
older copy lacks its latest changes, and a write without an answer may be carried out
after later ones of its owner. The owners write their records again a moment later.
Until then, knowledge is retained over the store's word, for a bounded time.
"""

import collections
import dataclasses
import typing as t

from .replica import Item

KEPT_REMOVALS = 1_000
# How long an item that the copy lacks is retained, and one that it has again is hidden,
# unless its contents are ordered.
ABSENT_HOLD_MS = 2_500.0


@dataclasses.dataclass(frozen=True, slots=True)
class ContentOrder:
    """Place of a value among the values that its owner wrote for a key.

    Attributes:
        rank: a later value has a higher rank.
        is_renewed: whether the owner writes the value again from time to time. A value
            that is not renewed is never replaced by an earlier one.
    """

    rank: tuple[int, ...]
    is_renewed: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class _Knowledge:
    """What is retained of a key for a time; the item is None if it was removed.

    An item that overrules a late write belongs to the store's present era.
    """

    item: Item | None
    order: ContentOrder | None
    expires_ms: float
    hold_ms: float
    overrules_write: bool = False


class Retention:
    """Decides for each key whether the store's word or earlier knowledge counts.

    Args:
        order_of: returns the order of an item's content; None if it has none.
        renewal_ms: time within which the store's records are renewed or removed.
    """

    def __init__(
        self, order_of: t.Callable[[Item], ContentOrder | None], renewal_ms: float
    ) -> None:
        self._order_of = order_of
        self._renewal_ms = renewal_ms
        self._retained: dict[str, _Knowledge] = {}
        # Order of the last known content of each removed key.
        self._removed: collections.OrderedDict[str, ContentOrder | None] = (
            collections.OrderedDict()
        )

    def overlay(self, items: t.Mapping[str, Item]) -> t.Mapping[str, Item]:
        """Returns the store's items with what is retained in their place."""
        if not self._retained:
            return items
        merged = dict(items)
        for key, known in self._retained.items():
            if known.item is None:
                merged.pop(key, None)
            else:
                merged[key] = known.item
        return merged

    def start_era(
        self,
        known_items: t.Mapping[str, Item],
        items: t.Mapping[str, Item],
        now_ms: float,
    ) -> tuple[str, ...]:
        """Retains what is newer than the first reading of a new era.

        Args:
            known_items: the items in force until now, with those retained.
            items: the store's items in the new era.
            now_ms: the time.

        Returns:
            The keys for which the store's word does not count yet.
        """
        self._retained = {}
        for key, known in known_items.items():
            self._retain_item(known, items.get(key), now_ms)
        for key in items.keys() & self._removed.keys():
            self._hide_removed(items[key], now_ms)
        return tuple(self._retained)

    def retain_lapsed(self, items: t.Iterable[Item], expires_ms: float) -> None:
        """Retains items that were removed while the store could not be reached."""
        for item in items:
            self._removed.pop(item.key, None)
            order = self._order_of(item)
            self._retained[item.key] = _Knowledge(item, order, expires_ms, 0.0)

    def record_changes(
        self,
        changes: t.Iterable[Item],
        before: t.Mapping[str, Item],
        now_ms: float,
    ) -> tuple[Item, ...]:
        """Records changes within an era.

        Args:
            changes: the values and removals, in the order of the store.
            before: the store's items before the changes.
            now_ms: the time.

        Returns:
            The values that precede what their owners had written before; the store's
            word on them does not count yet.
        """
        latest: dict[str, Item | None] = {}
        late_writes = []
        for item in changes:
            known = latest.get(item.key, before.get(item.key))
            latest[item.key] = None if item.deleted else item
            if item.deleted:
                self._record_removal(item.key, known)
            elif self._record_write(item, known, now_ms):
                late_writes.append(item)
        return tuple(late_writes)

    def overruling_items(self, after_revision: int) -> tuple[Item, ...]:
        """Returns the later-written items that overrule what the store has now."""
        return tuple(
            kept.item
            for kept in self._retained.values()
            if kept.overrules_write
            and kept.item is not None
            and kept.item.revision > after_revision
        )

    def renew(self, now_ms: float) -> None:
        """Begins all holds anew, since owners could not write until now."""
        for key, kept in self._retained.items():
            expires_ms = max(kept.expires_ms, now_ms + kept.hold_ms)
            self._retained[key] = dataclasses.replace(kept, expires_ms=expires_ms)

    def expire(self, now_ms: float) -> tuple[str, ...]:
        """Returns the keys for which the store's word counts again."""
        expired = [k for k, kept in self._retained.items() if kept.expires_ms <= now_ms]
        for key in expired:
            del self._retained[key]
            self._removed.pop(key, None)
        return tuple(expired)

    def _retain_item(self, known: Item, found: Item | None, now_ms: float) -> None:
        if found is not None and found.value == known.value:
            return
        order = self._order_of(known)
        if order is not None and not order.is_renewed:
            hold_ms = float("inf")
        elif found is None:
            hold_ms = ABSENT_HOLD_MS
        else:
            hold_ms = self._renewal_ms
        if found is None or _is_later(order, self._order_of(found)):
            self._retained[known.key] = _Knowledge(
                known, order, now_ms + hold_ms, hold_ms
            )

    def _hide_removed(self, found: Item, now_ms: float) -> None:
        order = self._removed[found.key]
        if order is None:
            hold_ms = ABSENT_HOLD_MS
        elif _is_later(self._order_of(found), order):
            del self._removed[found.key]
            return
        else:
            hold_ms = self._renewal_ms
        self._retained[found.key] = _Knowledge(None, order, now_ms + hold_ms, hold_ms)

    def _record_removal(self, key: str, before: Item | None) -> None:
        kept = self._retained.pop(key, None)
        orders = [
            order
            for order in (
                kept.order if kept is not None else None,
                self._order_of(before) if before is not None else None,
            )
            if order is not None
        ]
        self._removed[key] = max(orders, key=lambda order: order.rank, default=None)
        self._removed.move_to_end(key)
        while len(self._removed) > KEPT_REMOVALS:
            self._removed.popitem(last=False)

    def _record_write(self, item: Item, known: Item | None, now_ms: float) -> bool:
        """Records a write; returns whether it precedes what is known of its key."""
        kept = self._retained.get(item.key)
        order = self._order_of(item)
        if kept is not None:
            if _is_later(kept.order, order):
                return order is not None
        elif known is not None:
            if self._overrule(item.key, known, self._order_of(known), order, now_ms):
                return True
        elif self._overrule(item.key, None, self._removed.get(item.key), order, now_ms):
            return True
        self._retained.pop(item.key, None)
        self._removed.pop(item.key, None)
        return False

    def _overrule(
        self,
        key: str,
        known: Item | None,
        known_order: ContentOrder | None,
        order: ContentOrder | None,
        now_ms: float,
    ) -> bool:
        """Retains what is known if a write precedes it; returns whether it does."""
        if order is None or known_order is None or order.rank >= known_order.rank:
            return False
        hold_ms = self._renewal_ms if known_order.is_renewed else float("inf")
        self._retained[key] = _Knowledge(
            known, known_order, now_ms + hold_ms, hold_ms, overrules_write=True
        )
        return True


def _is_later(order: ContentOrder | None, other: ContentOrder | None) -> bool:
    """Returns whether a content is later than another one, which may have no order."""
    if order is None:
        return False
    return other is None or order.rank > other.rank


__all__ = ["ContentOrder", "Retention"]
