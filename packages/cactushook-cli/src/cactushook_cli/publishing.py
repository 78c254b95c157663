"""Publishes a configuration to a directory."""

import pathlib

import msgspec
from cactushook import ConfigError
from cactushook import ErrorKind
from cactushook import Head
from cactushook import jsonc
from cactushook import Publication
from cactushook import VersionError
from cactushook.digests import canonical_json

from . import files
from .fleet_files import build_publication
from .fleet_files import require_fleet

HEAD_NAME = "head.json"
VALUES_NAME = "values"
MAX_VERSION = 2**63 - 1


def publish_directory(
    directory: pathlib.Path, out: pathlib.Path, version: int = 0
) -> Head:
    """Publishes the configuration that a directory holds.

    Content that is already published keeps its version. Concurrent commands that
    publish to the same directory run one after another, and each reads the
    configuration again once it holds the lock.

    Args:
        directory: directory of the configuration.
        out: directory for the published files.
        version: version number, or 0 for the number after the published one.

    Returns:
        The published head.

    Raises:
        VersionError: the version is not above the published one.
        ConfigError: a directory cannot be read or written.
        InvalidFilesError: the configuration is not valid.
    """
    require_fleet(directory)
    values = out / VALUES_NAME
    with files.translate_os_errors(values):
        values.mkdir(parents=True, exist_ok=True)
    with files.lock_directory(out):
        fleet = require_fleet(directory)
        previous = read_head(out) or Head(version=0, root="")
        publication = build_publication(fleet, version or previous.version + 1)
        _check_version(publication.head, previous, out)
        if publication.head.root == previous.root:
            publication = build_publication(fleet, previous.version)
        _write_publication(publication, out)
    return publication.head


def read_head(out: pathlib.Path) -> Head | None:
    """Returns the head published last in a directory, or None."""
    path = out / HEAD_NAME
    if not path.exists():
        return None
    try:
        return msgspec.json.decode(jsonc.read_bytes(path), type=Head)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ConfigError(ErrorKind.CONFIG_FIELD, str(error), file=str(path)) from error


def _check_version(head: Head, previous: Head, out: pathlib.Path) -> None:
    if head.version > MAX_VERSION:
        raise VersionError(
            ErrorKind.VERSION_REPLAYED,
            f"{out}: no version number exists above {previous.version}",
        )
    if head.version > previous.version or head == previous:
        return
    conflict = head.version == previous.version
    kind = ErrorKind.VERSION_CONFLICT if conflict else ErrorKind.VERSION_REPLAYED
    raise VersionError(
        kind,
        f"{out}: version {previous.version} is published, {head.version} is not higher",
    )


def _write_publication(publication: Publication, out: pathlib.Path) -> None:
    """Writes the values before the head, so that readers see complete versions only."""
    for name, raw in publication.values.items():
        target = out / VALUES_NAME / name
        if not _has_content(target, raw):
            files.write_atomically(target, raw)
    raw_head = canonical_json(publication.head)
    if not _has_content(out / HEAD_NAME, raw_head):
        files.write_atomically(out / HEAD_NAME, raw_head)


def _has_content(path: pathlib.Path, raw: bytes) -> bool:
    with files.translate_os_errors(path):
        return path.is_file() and path.read_bytes() == raw
