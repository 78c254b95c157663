"""Writes files whole, and keeps writers of one directory apart."""

import contextlib
import fcntl
import os
import pathlib
import shutil
import time
import typing as t

from cactushook import ConfigError
from cactushook import ErrorKind

LOCK_LIMIT_S = 10.0
LOCK_POLL_S = 0.02


@contextlib.contextmanager
def lock_directory(directory: pathlib.Path) -> t.Iterator[None]:
    """Keeps other commands from writing to a directory meanwhile.

    The lock ends with the process that holds it.

    Raises:
        ConfigError: the directory cannot be written, or is locked for too long.
    """
    with translate_os_errors(directory):
        descriptor = os.open(directory, os.O_RDONLY)
    try:
        _wait_for(descriptor, directory)
        yield
    finally:
        os.close(descriptor)


def _wait_for(descriptor: int, directory: pathlib.Path) -> None:
    until_s = time.monotonic() + LOCK_LIMIT_S
    while True:
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            return
        except BlockingIOError as error:
            if time.monotonic() > until_s:
                raise ConfigError(
                    ErrorKind.FILE_UNWRITABLE,
                    "another command is writing here",
                    file=str(directory),
                ) from error
        time.sleep(LOCK_POLL_S)


def write_atomically(path: pathlib.Path, raw: bytes) -> None:
    """Replaces a file in one step and keeps its mode; a link stays a link."""
    target = path.resolve()
    temporary = target.with_name(f"{target.name}.new")
    with translate_os_errors(path):
        temporary.write_bytes(raw)
        if target.exists():
            shutil.copymode(target, temporary)
        os.replace(temporary, target)


@contextlib.contextmanager
def translate_os_errors(path: pathlib.Path) -> t.Iterator[None]:
    """Turns errors of the operating system into the project's own."""
    try:
        yield
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        raise ConfigError(ErrorKind.FILE_UNWRITABLE, reason, file=str(path)) from error
