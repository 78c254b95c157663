"""Shared state that controllers write and watch."""

import typing as t

T = t.TypeVar("T")


class Slot(t.Generic[T]):
    """Holds one value, which a single controller writes and others watch.

    Args:
        name: name of the slot.
        value: the initial value.
    """

    def __init__(self, name: str, value: T) -> None:
        self.name = name
        self._value = value
        self._watchers: list[t.Callable[[T], None]] = []

    @property
    def value(self) -> T:
        """The current value, a frozen data class."""
        return self._value

    def write(self, value: T) -> None:
        """Replaces the value and calls the watchers with it."""
        self._value = value
        for watcher in self._watchers:
            watcher(value)

    def watch(self, callback: t.Callable[[T], None]) -> None:
        """Registers a callback for each new value."""
        self._watchers.append(callback)
