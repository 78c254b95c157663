"""Workspaces: the parties that callers belong to, and the table of their keys."""

import collections.abc
import dataclasses
import hashlib
import math
import re
import typing as t

from .exceptions import ConfigError
from .exceptions import ErrorKind

MAX_KEY_BYTES = 256
KEY_DIGEST_BYTES = 16
MAX_RATE_PER_S = 1_000_000.0
MAX_BURST = 1_000_000.0
# Messages between nodes carry priorities as 32-bit integers.
MAX_PRIORITY = 2**31 - 1
# Keys per step of a table's construction, so that a step takes a few milliseconds.
KEYS_PER_STEP = 2_000
# Workers get the name in a header's value.
_NAME_PATTERN = re.compile(r"[!-~]([ -~]{0,251}[!-~])?")


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A party whose callers identify themselves with its keys.

    Attributes:
        name: unique in the configuration.
        priority: rank of its requests in a queue, 0 first; None for the route's.
        rate_per_s: requests per second over all entries; 0 for no limit.
        burst: requests in addition that may come at once.
    """

    name: str
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0

    def priority_on(self, route_priority: int) -> int:
        """Returns the priority of its requests on a route."""
        return route_priority if self.priority is None else self.priority


# Of callers that need no key and have none.
NO_WORKSPACE = Workspace("")


@dataclasses.dataclass(frozen=True, slots=True)
class WorkspaceSource:
    """A workspace with its keys, as a configuration gives it.

    Attributes:
        workspace: the workspace.
        keys: its keys; never shown.
        content: digest of what the workspace and its keys were decoded from.
    """

    workspace: Workspace
    keys: tuple[str, ...] = dataclasses.field(repr=False)
    content: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class WorkspaceCredentials:
    """A workspace with the digests of its keys.

    Attributes:
        workspace: the workspace.
        digests: digests of its keys.
        content: digest of what the workspace and its keys were decoded from.
    """

    workspace: Workspace
    digests: tuple[bytes, ...] = dataclasses.field(repr=False)
    content: str = ""


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class CredentialTable:
    """Finds the workspace of a key.

    The table holds digests instead of keys. A lookup hashes the whole key and looks up
    the digest in a dict, whose hash function has a secret of the process. Its time does
    not tell how much of a key was right, nor depend on the number of keys.

    Attributes:
        entries: credentials by the workspace's name.
        names: workspaces' names by digest of a key.
    """

    entries: t.Mapping[str, WorkspaceCredentials] = dataclasses.field(
        default_factory=dict, repr=False
    )
    names: t.Mapping[bytes, str] = dataclasses.field(default_factory=dict, repr=False)

    def find(self, key: bytes) -> str:
        """Returns the name of the workspace that has a key, or an empty string."""
        if len(key) > MAX_KEY_BYTES:
            return ""
        return self.names.get(key_digest(key), "")

    @property
    def workspaces(self) -> dict[str, Workspace]:
        """The workspaces by name."""
        return {name: entry.workspace for name, entry in self.entries.items()}

    def find_unchanged(self, name: str, content: str) -> WorkspaceCredentials | None:
        """Returns a workspace's credentials if they were decoded from this content."""
        known = self.entries.get(name)
        return known if known is not None and known.content == content else None


EMPTY_CREDENTIALS = CredentialTable()

T = t.TypeVar("T")
# Yields how many keys have been handled since the last time; returns the result.
Steps: t.TypeAlias = collections.abc.Generator[int, None, T]


def key_digest(key: bytes) -> bytes:
    """Returns the digest by which a key is looked up."""
    return hashlib.blake2b(key, digest_size=KEY_DIGEST_BYTES).digest()


def build_table(
    sources: t.Iterable[WorkspaceSource | WorkspaceCredentials],
    before: CredentialTable = EMPTY_CREDENTIALS,
) -> Steps[CredentialTable]:
    """Builds a table; `run_step` and `run_steps` drive the construction.

    Args:
        sources: all workspaces; the keys of one whose credentials are those of
            ``before`` are neither hashed nor entered again.
        before: the table to change.

    Raises:
        ConfigError: a workspace or one of its keys is not valid, or a key or a name is
            given twice. The error names the workspaces and no key.
    """
    entries: dict[str, WorkspaceCredentials] = {}
    for source in sources:
        name = source.workspace.name
        if name in entries:
            raise _fault(name, "is given twice")
        if isinstance(source, WorkspaceSource):
            check_workspace(source.workspace)
            entries[name] = yield from _hash_keys(source)
        else:
            entries[name] = source
            yield 1
    names = dict(before.names)
    for name, entry in before.entries.items():
        if entries.get(name) is not entry:
            yield from _remove_keys(names, entry)
    for name, entry in entries.items():
        if before.entries.get(name) is not entry:
            yield from _add_keys(names, entry)
    return CredentialTable(entries, names)


def run_step(steps: Steps[T], max_keys: float = KEYS_PER_STEP) -> T | None:
    """Continues for some keys; returns the result once it is complete.

    Raises:
        ConfigError: the configuration is not valid.
    """
    handled = 0
    try:
        while handled < max_keys:
            handled += next(steps)
    except StopIteration as end:
        return t.cast(T, end.value)
    return None


def run_steps(steps: Steps[T]) -> T:
    """Returns the result of all steps.

    Raises:
        ConfigError: the configuration is not valid.
    """
    return t.cast(T, run_step(steps, math.inf))


def check_workspace(workspace: Workspace) -> None:
    """Checks a workspace's name, priority and quota.

    Raises:
        ConfigError: a field is not valid.
    """
    name = workspace.name
    if not _NAME_PATTERN.fullmatch(name):
        raise _fault(name, "has a name that is empty, too long or not printable ASCII")
    for field, value, limit in (
        ("priority", workspace.priority or 0, MAX_PRIORITY),
        ("rate_per_s", workspace.rate_per_s, MAX_RATE_PER_S),
        ("burst", workspace.burst, MAX_BURST),
    ):
        if not 0 <= value <= limit:
            reason = f"has a {field} of {value:g}, which is not within 0 to {limit:g}"
            raise _fault(name, reason, ErrorKind.LIMIT_OUT_OF_RANGE)
    if workspace.burst and not workspace.rate_per_s:
        reason = "has a burst without a rate"
        raise _fault(name, reason, ErrorKind.LIMIT_OUT_OF_RANGE)


def _hash_keys(
    source: WorkspaceSource,
) -> Steps[WorkspaceCredentials]:
    digests: list[bytes] = []
    for keys in _chunks(source.keys):
        for key in keys:
            reason = find_key_fault(key)
            if reason:
                raise _fault(
                    source.workspace.name, f"has a key {reason}: number {len(digests)}"
                )
            digests.append(key_digest(key.encode()))
        yield len(keys) + 1
    return WorkspaceCredentials(source.workspace, tuple(digests), source.content)


def find_key_fault(key: str) -> str:
    """Returns why a key is not valid, without the key; empty if it is valid."""
    if not key:
        return "that is empty"
    if not key.isprintable() or " " in key:
        return "with a blank or a control character"
    if len(key) > MAX_KEY_BYTES or len(key.encode()) > MAX_KEY_BYTES:
        return f"of more than {MAX_KEY_BYTES} bytes"
    return ""


def _remove_keys(
    names: dict[bytes, str], entry: WorkspaceCredentials
) -> t.Iterator[int]:
    for digests in _chunks(entry.digests):
        for digest in digests:
            names.pop(digest, None)
        yield len(digests)


def _add_keys(names: dict[bytes, str], entry: WorkspaceCredentials) -> t.Iterator[int]:
    name = entry.workspace.name
    for digests in _chunks(entry.digests):
        for digest in digests:
            holder = names.setdefault(digest, name)
            if holder != name:
                raise _fault(name, f"has a key that {holder!r} has too")
        yield len(digests)


def _chunks(items: tuple[T, ...]) -> t.Iterator[tuple[T, ...]]:
    for start in range(0, len(items), KEYS_PER_STEP):
        yield items[start : start + KEYS_PER_STEP]


def _fault(
    name: str, reason: str, kind: ErrorKind = ErrorKind.CONFIG_FIELD
) -> ConfigError:
    return ConfigError(kind, f"workspace {name!r} {reason}")


__all__ = [
    "EMPTY_CREDENTIALS",
    "NO_WORKSPACE",
    "CredentialTable",
    "Steps",
    "Workspace",
    "WorkspaceCredentials",
    "WorkspaceSource",
    "build_table",
    "check_workspace",
    "find_key_fault",
    "key_digest",
    "run_step",
    "run_steps",
]
