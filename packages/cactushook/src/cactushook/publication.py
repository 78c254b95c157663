"""Published form of a configuration: a head, a root, shards and service values."""

import dataclasses
import typing as t

import msgspec

from . import hashing
from .digests import canonical_json
from .digests import digest
from .exceptions import ConfigError
from .exceptions import ErrorKind
from .nodes import Config
from .nodes import OperatorsFile
from .nodes import TeamFile

SHARD_COUNT = 32
MAX_VALUE_BYTES = 1_000_000


class Head(Config, kw_only=True):
    """The only published value that changes in place.

    Attributes:
        version: grows with each publication.
        root: digest of the root value.
    """

    version: t.Annotated[int, msgspec.Meta(ge=0)]
    root: str


class Root(Config, kw_only=True):
    """References every other value of a version, directly or through the shards.

    Attributes:
        operators: digest of the operators' value.
        shards: digest of each shard.
    """

    operators: str
    shards: tuple[str, ...]


class ServiceRef(Config, kw_only=True):
    """Digest of one service's value."""

    service: str
    digest: str


class Shard(Config, kw_only=True):
    """The services whose names hash to one shard, in name order."""

    services: tuple[ServiceRef, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Publication:
    """A complete version as published.

    Attributes:
        head: version and root digest.
        values: bytes by digest, of the root and every value that it references.
    """

    head: Head
    values: t.Mapping[str, bytes]


def shard_index(service: str) -> int:
    """Returns the index of the shard that holds a service."""
    return hashing.weight("shard", service) % SHARD_COUNT


def publish(
    version: int, operators: OperatorsFile, team_files: t.Iterable[TeamFile]
) -> Publication:
    """Builds the published values of a version.

    Args:
        version: number of the version.
        operators: the operators' file.
        team_files: one per service, in any order.

    Raises:
        ConfigError: a value exceeds ``MAX_VALUE_BYTES``.
    """
    values: dict[str, bytes] = {}
    refs: list[list[ServiceRef]] = [[] for _ in range(SHARD_COUNT)]
    for team_file in sorted(team_files, key=lambda item: item.service):
        name = _add_value(values, team_file, f"service {team_file.service!r}")
        ref = ServiceRef(service=team_file.service, digest=name)
        refs[shard_index(team_file.service)].append(ref)
    shards = tuple(
        _add_value(values, Shard(services=tuple(items)), f"shard {index}")
        for index, items in enumerate(refs)
    )
    operators_digest = _add_value(values, operators, "operators' file")
    root = _add_value(values, Root(operators=operators_digest, shards=shards), "root")
    return Publication(head=Head(version=version, root=root), values=values)


def _add_value(values: dict[str, bytes], value: Config, label: str) -> str:
    raw = canonical_json(value)
    if len(raw) > MAX_VALUE_BYTES:
        raise ConfigError(
            ErrorKind.VALUE_TOO_LARGE,
            f"{label} takes {len(raw)} bytes, more than {MAX_VALUE_BYTES}",
        )
    name = digest(raw)
    values[name] = raw
    return name
