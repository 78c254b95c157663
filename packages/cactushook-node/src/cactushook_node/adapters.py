"""What connects a node with a platform that has a protocol of its own."""

import importlib
import typing as t

from cactushook import CactushookError
from cactushook import ErrorKind
from cactushook.fleet import Fleet
from cactushook.replica import Item
from cactushook.replica import Reading

from .metrics import Metrics
from .settings import Settings


class Source(t.Protocol):
    """Reads the platform's store."""

    async def read(self) -> Reading:
        """Reads all values.

        Raises:
            SourceError: the store did not answer usefully.
        """

    async def watch(self, after: int) -> Reading:
        """Waits for changes after a revision; may return none.

        Raises:
            SourceError: the store did not answer usefully; with the kind
                ``SOURCE_HISTORY_LOST`` all values must be read again.
        """

    async def probe(self) -> None:
        """Finds out at little cost whether the store answers.

        Raises:
            SourceError: it does not.
        """

    async def close(self) -> None:
        """Drops the connections, which may have gone silent."""


class Adapter(t.Protocol):
    """Translates between a platform and the project's types."""

    source: Source

    def fleet(self, items: t.Mapping[str, Item]) -> Fleet:
        """Decodes the store's values; records that cannot be used are left out."""


def load(settings: Settings, metrics: Metrics) -> Adapter | None:
    """Returns the adapter that the settings name, if they name one.

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
