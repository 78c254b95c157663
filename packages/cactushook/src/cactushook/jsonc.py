"""Reads JSON with comments into checked, frozen data classes.

The language is JSON, comments (``//`` and ``/* */``) and trailing commas. A key that
appears twice in an object, ``NaN`` and ``Infinity`` are rejected.
"""

import json
import pathlib
import re
import stat
import typing as t

import msgspec

from .exceptions import ConfigError
from .exceptions import ErrorKind

T = t.TypeVar("T")

MAX_FILE_BYTES = 1_000_000
_STRING = r'"(?:\\.|[^"\\\n])*"'
_COMMENT_PATTERN = re.compile(
    rf"{_STRING}|(?P<blank>//[^\n]*|/\*.*?(?:\*/|\Z))", re.DOTALL
)
_COMMA_PATTERN = re.compile(
    rf"{_STRING}|[\[{{,]\s*,|(?P<blank>,)(?=\s*[}}\]])", re.DOTALL
)
_FIELD_PATTERN = re.compile(r" - at `(?:key in )?\$\.?(?P<field>[^`]*)`$")
_MEMBER_PATTERN = re.compile(r"^Object .* field `(?P<name>.*)`$", re.DOTALL)
_RANGE_PATTERN = re.compile(r"^Expected `int` [<>]")


class _RejectedValueError(Exception):
    """A value that the standard parser accepts but this one rejects."""


def read_file(path: pathlib.Path, kind: type[T]) -> T:
    """Reads and checks one file.

    Args:
        path: the file.
        kind: the data class to build.

    Returns:
        The checked value.

    Raises:
        ConfigError: the file cannot be read, parsed or converted.
    """
    return parse(read_bytes(path), kind, file=str(path))


def read_bytes(path: pathlib.Path) -> bytes:
    """Reads a regular file of at most ``MAX_FILE_BYTES``.

    Raises:
        ConfigError: the file cannot be read or is too large.
    """
    try:
        if not stat.S_ISREG(path.stat().st_mode):
            raise OSError("not a regular file")
        with path.open("rb") as stream:
            raw = stream.read(MAX_FILE_BYTES + 1)
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        raise ConfigError(ErrorKind.FILE_UNREADABLE, reason, file=str(path)) from error
    if len(raw) > MAX_FILE_BYTES:
        raise ConfigError(
            ErrorKind.VALUE_TOO_LARGE,
            f"exceeds {MAX_FILE_BYTES} bytes",
            file=str(path),
        )
    return raw


def parse(raw: bytes, kind: type[T], file: str = "") -> T:
    """Parses and checks JSON with comments.

    Args:
        raw: the bytes, UTF-8.
        kind: the data class to build.
        file: name used in errors.

    Returns:
        The checked value.

    Raises:
        ConfigError: naming the file, the line or the field, and the reason.
    """
    tree = _decode_json(decode_utf8(raw, file), file)
    try:
        return msgspec.convert(tree, kind)
    except msgspec.ValidationError as error:
        raise _field_error(str(error), file) from error


def decode_utf8(raw: bytes, file: str = "") -> str:
    """Decodes a file's bytes.

    Raises:
        ConfigError: the bytes are not UTF-8.
    """
    try:
        return raw.decode("utf-8")
    except UnicodeDecodeError as error:
        raise ConfigError(
            ErrorKind.CONFIG_SYNTAX, f"not UTF-8 at byte {error.start}", file=file
        ) from error


def blank_comments(text: str, file: str = "") -> str:
    """Replaces comments and trailing commas by spaces; offsets stay the same.

    Raises:
        ConfigError: a comment is not closed.
    """
    for found in _COMMENT_PATTERN.finditer(text):
        comment = found["blank"] or ""
        if comment.startswith("/*") and not _is_closed(comment):
            raise ConfigError(
                ErrorKind.CONFIG_SYNTAX,
                "comment is not closed",
                file=file,
                line=text.count("\n", 0, found.start()) + 1,
            )
    return _COMMA_PATTERN.sub(_blank, _COMMENT_PATTERN.sub(_blank, text))


def _is_closed(comment: str) -> bool:
    return len(comment) >= len("/**/") and comment.endswith("*/")


def _blank(found: re.Match[str]) -> str:
    if found["blank"] is None:
        return found[0]
    return re.sub(r"[^\n]", " ", found[0])


def _decode_json(text: str, file: str) -> t.Any:
    try:
        tree = json.loads(
            blank_comments(text, file),
            object_pairs_hook=_unique_keys,
            parse_constant=_reject_constant,
        )
        msgspec.json.encode(tree)
    except json.JSONDecodeError as error:
        raise ConfigError(
            ErrorKind.CONFIG_SYNTAX, error.msg, file=file, line=error.lineno
        ) from error
    except RecursionError as error:
        raise ConfigError(
            ErrorKind.CONFIG_SYNTAX, "nested too deeply", file=file
        ) from error
    except UnicodeEncodeError as error:
        raise ConfigError(
            ErrorKind.CONFIG_SYNTAX,
            "a string contains an unpaired surrogate",
            file=file,
        ) from error
    except _RejectedValueError as error:
        raise ConfigError(ErrorKind.CONFIG_SYNTAX, str(error), file=file) from error
    except ValueError as error:
        raise ConfigError(
            ErrorKind.CONFIG_SYNTAX, "a number has too many digits", file=file
        ) from error
    return tree


def _unique_keys(pairs: list[tuple[str, t.Any]]) -> dict[str, t.Any]:
    members: dict[str, t.Any] = {}
    for name, value in pairs:
        if name in members:
            raise _RejectedValueError(f"key {name!r} appears twice in one object")
        members[name] = value
    return members


def _reject_constant(name: str) -> t.NoReturn:
    raise _RejectedValueError(f"{name} is not a number")


def _field_error(reason: str, file: str) -> ConfigError:
    found = _FIELD_PATTERN.search(reason)
    field = found["field"] if found else ""
    message = reason[: found.start()] if found else reason
    member = _MEMBER_PATTERN.match(message)
    if member:
        field = f"{field}.{member['name']}" if field else member["name"]
    out_of_range = _RANGE_PATTERN.match(message)
    kind = ErrorKind.LIMIT_OUT_OF_RANGE if out_of_range else ErrorKind.CONFIG_FIELD
    return ConfigError(kind, message, file=file, field=field)
