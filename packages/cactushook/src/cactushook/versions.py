"""Holds the configuration in force and rejects older versions."""

import collections
import typing as t

from .exceptions import CactushookError
from .exceptions import ErrorKind
from .exceptions import VersionError
from .publication import Head
from .publication import Publication
from .snapshot import assemble
from .snapshot import AssembledVersion
from .snapshot import EMPTY_ASSEMBLED
from .snapshot import missing_values
from .snapshot import Snapshot

MAX_REFUSALS = 64
MAX_ASSEMBLIES = 16

Assembler: t.TypeAlias = t.Callable[
    [Head, t.Mapping[str, bytes], AssembledVersion], AssembledVersion
]


class AssemblyCache:
    """An assembler that shares results between the stores of one process."""

    def __init__(self) -> None:
        self._known: collections.OrderedDict[Head, AssembledVersion] = (
            collections.OrderedDict()
        )

    def __call__(
        self, head: Head, values: t.Mapping[str, bytes], before: AssembledVersion
    ) -> AssembledVersion:
        """Returns the assembled version.

        A cached version is returned only if all of its values are given again.
        """
        found = self._known.get(head)
        if found is not None and all(name in values for name in found.values):
            return found
        self._known[head] = found = assemble(head, values, before)
        while len(self._known) > MAX_ASSEMBLIES:
            self._known.popitem(last=False)
        return found


class VersionStore:
    """Holds the values of the version in force.

    Args:
        assembler: builds a version from its bytes.

    Example:
        >>> store = VersionStore()
        >>> store.snapshot.head.version
        0
    """

    def __init__(self, assembler: Assembler = assemble) -> None:
        self._assembled = EMPTY_ASSEMBLED
        self.floor_version = 0
        self._assembler = assembler
        self._refused: collections.OrderedDict[Head, CactushookError] = (
            collections.OrderedDict()
        )

    @property
    def snapshot(self) -> Snapshot:
        """The configuration in force."""
        return self._assembled.snapshot

    @property
    def head(self) -> Head:
        """Version and root digest in force."""
        return self.snapshot.head

    @property
    def publication(self) -> Publication:
        """The version in force as published, to be sent to peers."""
        return Publication(self.head, self._assembled.values)

    @property
    def is_at_floor(self) -> bool:
        """Whether the version in force reaches the highest one that peers reported."""
        return self.head.version >= self.floor_version

    @property
    def seen_version(self) -> int:
        """The highest version in force or refused, for waiting at the platform."""
        refused = max((head.version for head in self._refused), default=0)
        return max(self.head.version, refused)

    def raise_floor(self, version: int) -> None:
        """Raises the floor to a version that a peer reported."""
        self.floor_version = max(self.floor_version, version)

    def should_apply(self, head: Head) -> bool:
        """Returns whether a version is newer than the one in force and not refused."""
        return head.version > self.head.version and head not in self._refused

    def missing_digests(self, head: Head, values: t.Mapping[str, bytes]) -> list[str]:
        """Returns needed digests that are neither in force nor among the values."""
        return missing_values(head, self._merge_with_current(values))

    def find_conflict(self, head: Head) -> VersionError | None:
        """Returns an error if a head has the version in force, but another root."""
        own = self.head
        if head.version != own.version or head.root == own.root:
            return None
        return VersionError(
            ErrorKind.VERSION_CONFLICT,
            f"version {own.version} is in force with root {own.root!r}, "
            f"not {head.root!r}",
        )

    def refuse(self, head: Head, error: CactushookError) -> None:
        """Records a version as invalid; the oldest of many records are dropped."""
        self._refused[head] = error
        while len(self._refused) > MAX_REFUSALS:
            self._refused.popitem(last=False)

    def apply_snapshot(self, snapshot: Snapshot) -> bool:
        """Puts a snapshot without values into force, unless it is older.

        Returns:
            Whether the snapshot is in force now.
        """
        if snapshot.head.version < self.head.version:
            return False
        self._assembled = AssembledVersion(snapshot, {}, {})
        return True

    def apply_version(self, head: Head, values: t.Mapping[str, bytes]) -> Snapshot:
        """Puts a version into force, completely or not at all.

        Args:
            head: the version offered.
            values: received values; those already in force may be omitted.

        Returns:
            The new snapshot.

        Raises:
            VersionError: the version is not newer, conflicts or is incomplete.
            ConfigError: the version is not valid; the one in force stays.
        """
        self._check_order(head)
        known = self._refused.get(head)
        if known is not None:
            raise known
        try:
            assembled = self._assembler(
                head, self._merge_with_current(values), self._assembled
            )
        except VersionError:
            raise
        except CactushookError as error:
            self.refuse(head, error)
            raise
        self._assembled = assembled
        return assembled.snapshot

    def _merge_with_current(
        self, values: t.Mapping[str, bytes]
    ) -> t.Mapping[str, bytes]:
        return collections.ChainMap(dict(values), dict(self._assembled.values))

    def _check_order(self, head: Head) -> None:
        if head.version > self.head.version:
            return
        conflict = self.find_conflict(head)
        if conflict is not None:
            raise conflict
        raise VersionError(
            ErrorKind.VERSION_REPLAYED,
            f"version {head.version} is not above {self.head.version}",
        )
