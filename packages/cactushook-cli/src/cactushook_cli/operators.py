"""Edits the operators' file in place and preserves its comments and layout."""

import dataclasses
import json
import pathlib
import re
import typing as t

import msgspec
from cactushook import ConfigError
from cactushook import ErrorKind
from cactushook import jsonc
from cactushook import OperatorsFile
from cactushook.nodes import DomainState
from cactushook.validation import check_fleet

from . import files

_STRING_PATTERN = re.compile(r'"(?:\\.|[^"\\\n])*"')


@dataclasses.dataclass(frozen=True, slots=True)
class _Member:
    """Locates one member of an object whose values are strings.

    Attributes:
        name: decoded name.
        value: decoded value.
        name_start: offset of the name's opening quote.
        value_start: offset of the value's opening quote.
        value_end: offset after the value's closing quote.
    """

    name: str
    value: str
    name_start: int
    value_start: int
    value_end: int


def set_domain_state(path: pathlib.Path, name: str, state: DomainState) -> bool:
    """Changes a failure domain's state in a file.

    Returns:
        Whether the file was changed.

    Raises:
        ConfigError: the file is not valid, the failure domain does not exist, or it
            is the last one that is in service.
    """
    with files.lock_directory(path.parent):
        text = jsonc.decode_utf8(jsonc.read_bytes(path), str(path))
        edited = edit_domain_state(text, name, state, str(path))
        if edited == text:
            return False
        files.write_atomically(path, edited.encode())
    return True


def edit_domain_state(text: str, name: str, state: DomainState, file: str = "") -> str:
    """Returns the text of an operators' file with one state changed."""
    operators = jsonc.parse(text.encode(), OperatorsFile, file)
    _check_change(operators, name, state, file)
    members = _find_domain(jsonc.blank_comments(text), name)
    current = next((m for m in members if m.name == "state"), None)
    if current is not None:
        if current.value == state.value:
            return text
        start, end = current.value_start, current.value_end
        return f'{text[:start]}"{state.value}"{text[end:]}'
    if state is DomainState.IN:
        return text
    last = members[-1]
    separator = _separator_before(text, last)
    added = f',{separator}"state": "{state.value}"'
    return text[: last.value_end] + added + text[last.value_end :]


def _check_change(
    operators: OperatorsFile, name: str, state: DomainState, file: str
) -> None:
    known = [domain.name for domain in operators.failure_domains]
    if name not in known:
        raise ConfigError(
            ErrorKind.UNKNOWN_DOMAIN,
            f"failure domain {name!r} does not exist",
            file=file,
            field="failure_domains",
        )
    changed = tuple(
        msgspec.structs.replace(domain, state=state) if domain.name == name else domain
        for domain in operators.failure_domains
    )
    faults = check_fleet(OperatorsFile(failure_domains=changed), (), file)
    if faults:
        raise faults[0]


def _find_domain(blanked: str, name: str) -> list[_Member]:
    for members in _iterate_objects(blanked):
        if any(m.name == "name" and m.value == name for m in members):
            return members
    raise LookupError(name)


def _iterate_objects(blanked: str) -> t.Iterator[list[_Member]]:
    decoder = json.JSONDecoder()
    start = blanked.find("{", blanked.index("["))
    while start >= 0:
        _, end = decoder.raw_decode(blanked, start)
        strings = list(_STRING_PATTERN.finditer(blanked, start, end))
        yield [
            _Member(
                json.loads(key[0]),
                json.loads(value[0]),
                key.start(),
                value.start(),
                value.end(),
            )
            for key, value in zip(strings[::2], strings[1::2], strict=True)
        ]
        start = blanked.find("{", end)


def _separator_before(text: str, member: _Member) -> str:
    """Returns the whitespace before a member: a line break and indent, or a space."""
    line_start = text.rfind("\n", 0, member.name_start) + 1
    indent = text[line_start : member.name_start]
    if indent.strip():
        return " "
    line_break = "\r\n" if text[:line_start].endswith("\r\n") else "\n"
    return line_break + indent
