"""Checks configuration files and compares them with a version in force."""

import pathlib
import typing as t

from cactushook import assemble
from cactushook import ConfigError
from cactushook import ErrorKind
from cactushook import Head
from cactushook import jsonc
from cactushook import Snapshot
from cactushook.differences import compare_outlines
from cactushook.differences import find_differences
from cactushook.findings import Finding
from cactushook.lint import lint
from cactushook.outlines import outline
from cactushook.snapshot import missing_values

from . import client
from . import fleet_files
from . import publishing
from .arguments import is_node_address
from .formatting import CheckResult


def check_files(paths: t.Sequence[pathlib.Path], against: str = "") -> CheckResult:
    """Checks files and directories.

    Args:
        paths: the files and directories.
        against: directory with files or with the output of ``bundle``, or the admin
            address of a node; empty for no comparison.

    Raises:
        InvalidFilesError: nodes would refuse the configuration.
        ConfigError: a path cannot be read, or there is no operators' file although the
            files are to be compared.
        VersionError: the output of ``bundle`` is not complete.
        SourceError: the node does not answer.
    """
    loaded = fleet_files.read_files(paths)
    together = bool(loaded.operators)
    if not together and loaded.sources and not against:
        if loaded.faults:
            raise fleet_files.InvalidFilesError(loaded.faults)
        return CheckResult(len(loaded.sources), together)
    fleet, faults = fleet_files.assemble_fleet(loaded)
    if fleet is None or faults:
        raise fleet_files.InvalidFilesError(faults)
    snapshot = _compile_fleet(fleet)
    version, differences = _compare(snapshot, against) if against else (None, ())
    return CheckResult(
        len(loaded.sources), together, lint(snapshot), version, differences
    )


def _compare(snapshot: Snapshot, against: str) -> tuple[int, tuple[Finding, ...]]:
    """Returns the version in force and what differs from it."""
    path = pathlib.Path(against)
    if is_node_address(against) and not path.exists():
        page = client.fetch_configuration(against)
        return page.version, compare_outlines(page.entries, outline(snapshot))
    in_force = read_snapshot(path)
    return in_force.head.version, find_differences(in_force, snapshot)


def read_snapshot(directory: pathlib.Path) -> Snapshot:
    """Reads a directory of files, or one to which ``bundle`` published.

    The snapshot of files has version 0.

    Raises:
        InvalidFilesError: the files are not valid.
        ConfigError: a path cannot be read, or a value is not valid.
        VersionError: a published value is missing or does not have its digest.
    """
    head = publishing.read_head(directory)
    if head is None:
        return _compile_fleet(fleet_files.require_fleet(directory))
    return _read_published(directory, head)


def _compile_fleet(fleet: fleet_files.Fleet) -> Snapshot:
    publication = fleet_files.build_publication(fleet, 0)
    return assemble(publication.head, publication.values).snapshot


def _read_published(directory: pathlib.Path, head: Head) -> Snapshot:
    values: dict[str, bytes] = {}
    while missing := missing_values(head, values):
        for name in missing:
            if not name.isalnum():
                text = f"{name!r} is not the name of a value"
                raise ConfigError(ErrorKind.CONFIG_FIELD, text, file=str(directory))
            path = directory / publishing.VALUES_NAME / name
            values[name] = jsonc.read_bytes(path)
    return assemble(head, values).snapshot
