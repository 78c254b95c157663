"""Interfaces that connect a node to a platform with its own protocol."""

import importlib
import typing as t

from cactushook import CactushookError
from cactushook import ErrorKind
from cactushook.fleet import Fleet
from cactushook.replica import Item
from cactushook.replica import Position
from cactushook.replica import Reading
from cactushook.retention import ContentOrder

from .metrics import Metrics
from .settings import Settings


class Source(t.Protocol):
    """Reads the platform's store."""

    @property
    def received_bytes(self) -> int:
        """Bytes of answers that have arrived so far."""

    async def read(self) -> Reading:
        """Reads all values.

        Raises:
            SourceError: the store did not answer, or its answer cannot be used.
        """

    async def watch(self, after: Position) -> Reading:
        """Waits for changes after a position; the reading may be empty.

        Raises:
            SourceError: the store did not answer, or its answer cannot be used;
                after the kind ``SOURCE_HISTORY_LOST``, also raised if the store has
                begun another era, all values must be read again.
        """

    async def probe(self, exact: bool) -> Position:
        """Checks whether the store answers, and returns a position that it has reached.

        Args:
            exact: whether the position must be the store's present one; a probe that
                need not be exact costs less.

        Raises:
            SourceError: the store does not answer.
        """

    async def close(self) -> None:
        """Closes the connections, which may have stopped responding."""


class Adapter(t.Protocol):
    """Translates between a platform and the project's types."""

    source: Source

    def fleet(self, items: t.Mapping[str, Item]) -> Fleet:
        """Decodes the store's values and leaves out records that cannot be used.

        A configuration that takes long is decoded in steps; the one before stays in the
        result until it is complete.
        """

    def continue_decoding(self) -> bool:
        """Decodes for a few milliseconds; returns whether there is more to do."""

    def content_order(self, item: Item) -> ContentOrder | None:
        """Returns a value's place among those written for its key; None if unknown."""


def create_adapter(settings: Settings, metrics: Metrics) -> Adapter | None:
    """Creates the adapter that the settings name; returns None if they name none.

    Raises:
        CactushookError: the module cannot be loaded.
    """
    if settings.adapter is None:
        return None
    name = settings.adapter.module
    try:
        module = importlib.import_module(name)
    except ImportError as error:
        raise CactushookError(
            ErrorKind.CONFIG_FIELD, f"adapter.module: {name!r}: {error}"
        ) from error
    return t.cast(Adapter, module.create(settings, metrics))
