"""Finds and reads team files and the operators' file."""

import dataclasses
import os
import pathlib
import typing as t

from cactushook import CactushookError
from cactushook import ConfigError
from cactushook import ErrorKind
from cactushook import jsonc
from cactushook import OperatorsFile
from cactushook import Publication
from cactushook import publish
from cactushook import TeamFile
from cactushook.validation import check_fleet
from cactushook.validation import SourceFile

SUFFIX = ".cactushook.jsonc"
OPERATORS_FILE_NAME = f"operators{SUFFIX}"


class InvalidFilesError(Exception):
    """Raised when configuration files are not valid.

    Args:
        faults: all faults that were found.
    """

    def __init__(self, faults: t.Sequence[CactushookError]) -> None:
        super().__init__(*(str(fault) for fault in faults))
        self.faults = tuple(faults)


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """Holds the decoded configuration files of a fleet.

    Attributes:
        operators: the operators' file.
        operators_path: its path.
        sources: the team files.
    """

    operators: OperatorsFile
    operators_path: pathlib.Path
    sources: tuple[SourceFile, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LoadedFiles:
    """Holds the decoded files, which may not form a fleet.

    Attributes:
        operators: the operators' files.
        sources: the team files.
        faults: why other files could not be read or decoded.
    """

    operators: tuple[tuple[pathlib.Path, OperatorsFile], ...]
    sources: tuple[SourceFile, ...]
    faults: tuple[ConfigError, ...]


def find_files(paths: t.Iterable[pathlib.Path]) -> list[pathlib.Path]:
    """Returns the configuration files at or below the paths, in name order.

    Links to directories are not followed; a file that is reached twice counts once.

    Raises:
        ConfigError: a path does not exist or a directory cannot be read.
    """
    found: dict[pathlib.Path, pathlib.Path] = {}
    for path in paths:
        for file in _walk_files(path):
            found.setdefault(pathlib.Path(os.path.realpath(file)), file)
    return sorted(found.values())


def _walk_files(path: pathlib.Path) -> t.Iterator[pathlib.Path]:
    if path.is_dir():
        for directory, _, names in os.walk(path, onerror=_raise_unreadable):
            matching = (name for name in names if name.endswith(SUFFIX))
            yield from (pathlib.Path(directory, name) for name in matching)
    elif os.path.lexists(path):
        yield path
    else:
        raise ConfigError(ErrorKind.FILE_UNREADABLE, "does not exist", file=str(path))


def _raise_unreadable(error: OSError) -> t.NoReturn:
    raise ConfigError(
        ErrorKind.FILE_UNREADABLE,
        error.strerror or str(error),
        file=str(error.filename),
    ) from error


def read_files(paths: t.Iterable[pathlib.Path]) -> LoadedFiles:
    """Reads all configuration files at or below the paths."""
    operators: list[tuple[pathlib.Path, OperatorsFile]] = []
    sources: list[SourceFile] = []
    faults: list[ConfigError] = []
    for path in find_files(paths):
        try:
            if path.name == OPERATORS_FILE_NAME:
                operators.append((path, jsonc.read_file(path, OperatorsFile)))
            else:
                team_file = jsonc.read_file(path, TeamFile)
                sources.append(SourceFile(str(path), team_file))
        except ConfigError as error:
            faults.append(error)
    return LoadedFiles(tuple(operators), tuple(sources), tuple(faults))


def read_fleet(
    paths: t.Iterable[pathlib.Path],
) -> tuple[Fleet | None, list[ConfigError]]:
    """Reads all files and returns the fleet, or None, and all faults."""
    return assemble_fleet(read_files(paths))


def require_fleet(directory: pathlib.Path) -> Fleet:
    """Returns the fleet that a directory holds.

    Raises:
        InvalidFilesError: the directory holds no valid fleet.
    """
    fleet, faults = read_fleet((directory,))
    if fleet is None or faults:
        raise InvalidFilesError(faults)
    return fleet


def assemble_fleet(loaded: LoadedFiles) -> tuple[Fleet | None, list[ConfigError]]:
    """Returns the fleet that the files form, or None, and all faults."""
    if loaded.faults:
        return None, list(loaded.faults)
    if len(loaded.operators) != 1:
        count = len(loaded.operators)
        text = f"found {count} files named {OPERATORS_FILE_NAME!r}, expected one"
        files = ", ".join(str(path) for path, _ in loaded.operators)
        return None, [ConfigError(ErrorKind.FILE_UNREADABLE, text, file=files)]
    path, operators = loaded.operators[0]
    faults = check_fleet(operators, loaded.sources, str(path))
    return Fleet(operators, path, loaded.sources), faults


def build_publication(fleet: Fleet, version: int) -> Publication:
    """Builds the published form of a fleet."""
    team_files = (source.team_file for source in fleet.sources)
    return publish(version, fleet.operators, team_files)
