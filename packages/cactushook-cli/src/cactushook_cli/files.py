"""Writes files atomically and locks directories."""

import contextlib
import fcntl
import os
import pathlib
import shutil
import time
import typing as t

from cactushook import ConfigError
from cactushook import ErrorKind

LOCK_TIMEOUT_S = 10.0
LOCK_POLL_S = 0.02


@contextlib.contextmanager
def lock_directory(directory: pathlib.Path) -> t.Iterator[None]:
    """Holds an exclusive lock on a directory, against other commands that write to it.

    The operating system releases the lock when the process ends.

    Raises:
        ConfigError: the directory cannot be opened, or another command holds the lock
            for longer than ``LOCK_TIMEOUT_S``.
    """
    with translate_os_errors(directory):
        descriptor = os.open(directory, os.O_RDONLY)
    try:
        _acquire_lock(descriptor, directory)
        yield
    finally:
        os.close(descriptor)


def _acquire_lock(descriptor: int, directory: pathlib.Path) -> None:
    deadline_s = time.monotonic() + LOCK_TIMEOUT_S
    while True:
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            return
        except BlockingIOError as error:
            if time.monotonic() > deadline_s:
                raise ConfigError(
                    ErrorKind.FILE_UNWRITABLE,
                    "another command is writing to this directory",
                    file=str(directory),
                ) from error
        time.sleep(LOCK_POLL_S)


def write_atomically(path: pathlib.Path, raw: bytes) -> None:
    """Replaces a file atomically and keeps its mode; a symbolic link stays a link."""
    target = path.resolve()
    temporary = target.with_name(f"{target.name}.new")
    with translate_os_errors(path):
        temporary.write_bytes(raw)
        if target.exists():
            shutil.copymode(target, temporary)
        os.replace(temporary, target)


@contextlib.contextmanager
def translate_os_errors(path: pathlib.Path) -> t.Iterator[None]:
    """Converts ``OSError`` and ``ValueError`` into ``ConfigError``."""
    try:
        yield
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        raise ConfigError(ErrorKind.FILE_UNWRITABLE, reason, file=str(path)) from error
