"""Finds and reads the files that teams and operators keep."""

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
    """Files are refused.

    Args:
        faults: every reason.
    """

    def __init__(self, faults: t.Sequence[CactushookError]) -> None:
        super().__init__(*(str(fault) for fault in faults))
        self.faults = tuple(faults)


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """All files of a directory, read.

    Attributes:
        operators: the operators' file.
        operators_path: where it is.
        sources: the team files.
    """

    operators: OperatorsFile
    operators_path: pathlib.Path
    sources: tuple[SourceFile, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Readings:
    """What was read, whole or not.

    Attributes:
        operators: the operators' files.
        sources: the team files.
        faults: why other files could not be read.
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
        for file in _files_at(path):
            found.setdefault(pathlib.Path(os.path.realpath(file)), file)
    return sorted(found.values())


def _files_at(path: pathlib.Path) -> t.Iterator[pathlib.Path]:
    if path.is_dir():
        for directory, _, names in os.walk(path, onerror=_refuse):
            matching = (name for name in names if name.endswith(SUFFIX))
            yield from (pathlib.Path(directory, name) for name in matching)
    elif os.path.lexists(path):
        yield path
    else:
        raise ConfigError(ErrorKind.FILE_UNREADABLE, "does not exist", file=str(path))


def _refuse(error: OSError) -> t.NoReturn:
    raise ConfigError(
        ErrorKind.FILE_UNREADABLE,
        error.strerror or str(error),
        file=str(error.filename),
    ) from error


def read_files(paths: t.Iterable[pathlib.Path]) -> Readings:
    """Reads every file at or below the paths."""
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
    return Readings(tuple(operators), tuple(sources), tuple(faults))


def read_fleet(
    paths: t.Iterable[pathlib.Path],
) -> tuple[Fleet | None, list[ConfigError]]:
    """Reads every file and returns the fleet, if whole, and all faults."""
    return assemble_fleet(read_files(paths))


def require_fleet(directory: pathlib.Path) -> Fleet:
    """Returns the fleet that a directory holds.

    Raises:
        InvalidFilesError: it holds none that is valid.
    """
    fleet, faults = read_fleet((directory,))
    if fleet is None or faults:
        raise InvalidFilesError(faults)
    return fleet


def assemble_fleet(readings: Readings) -> tuple[Fleet | None, list[ConfigError]]:
    """Returns the fleet that files form, if they form one, and all faults."""
    if readings.faults:
        return None, list(readings.faults)
    if len(readings.operators) != 1:
        count = len(readings.operators)
        text = f"found {count} files named {OPERATORS_FILE_NAME!r}, need one"
        files = ", ".join(str(path) for path, _ in readings.operators)
        return None, [ConfigError(ErrorKind.FILE_UNREADABLE, text, file=files)]
    path, operators = readings.operators[0]
    faults = check_fleet(operators, readings.sources, str(path))
    return Fleet(operators, path, readings.sources), faults


def build_publication(fleet: Fleet, version: int) -> Publication:
    """Builds the published form of a fleet."""
    team_files = (source.team_file for source in fleet.sources)
    return publish(version, fleet.operators, team_files)
