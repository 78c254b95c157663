"""Checks that a thrift payload lies within its bytes before it is decoded.

The library's fast decoder believes every length that it reads: past the end of a
payload it returns memory that was never written, and an element count of two billion
keeps it busy for seconds. The check follows lengths only and looks at no value; its
work is bounded by the payload's length.
"""

import struct

from cactushook import ErrorKind
from cactushook import WireError
from thriftpy2.thrift import TType

MAX_DEPTH = 8
_LENGTH = struct.Struct("!i")
_LIST_HEAD = struct.Struct("!bi")
_FIXED_BYTES = {
    TType.BOOL: 1,
    TType.BYTE: 1,
    TType.I16: 2,
    TType.I32: 4,
    TType.I64: 8,
    TType.DOUBLE: 8,
}
_FIELD_NUMBER_BYTES = 2


def check_payload(payload: bytes) -> None:
    """Checks a payload that holds one struct and nothing else.

    Raises:
        WireError: a length points past the end, or bytes are left over.
    """
    try:
        end = _struct(payload, 0, MAX_DEPTH)
    except (IndexError, struct.error) as error:
        raise _invalid("payload is truncated") from error
    if end != len(payload):
        raise _invalid(f"payload has {len(payload) - end} bytes too many")


def _struct(payload: bytes, at: int, depth: int) -> int:
    if depth == 0:
        raise _invalid(f"payload is nested more than {MAX_DEPTH} deep")
    while (ttype := payload[at]) != TType.STOP:
        at = _value(payload, at + 1 + _FIELD_NUMBER_BYTES, ttype, depth)
    return at + 1


def _value(payload: bytes, at: int, ttype: int, depth: int) -> int:
    if ttype in _FIXED_BYTES:
        return _within(payload, at + _FIXED_BYTES[ttype])
    if ttype == TType.STRING:
        (length,) = _LENGTH.unpack_from(payload, at)
        return _within(payload, at + _LENGTH.size + _positive(length))
    if ttype == TType.STRUCT:
        return _struct(payload, at, depth - 1)
    if ttype == TType.LIST:
        return _list(payload, at, depth)
    raise _invalid(f"payload holds a value of type {ttype}")


def _list(payload: bytes, at: int, depth: int) -> int:
    ttype, count = _LIST_HEAD.unpack_from(payload, at)
    at += _LIST_HEAD.size
    _positive(count)
    if ttype in _FIXED_BYTES:
        return _within(payload, at + count * _FIXED_BYTES[ttype])
    for _ in range(count):
        at = _value(payload, at, ttype, depth)
    return at


def _within(payload: bytes, at: int) -> int:
    if at > len(payload):
        raise _invalid("payload is truncated")
    return at


def _positive(length: int) -> int:
    if length < 0:
        raise _invalid("payload holds a negative length")
    return length


def _invalid(detail: str) -> WireError:
    return WireError(ErrorKind.FRAME_INVALID, detail)
