"""Checks the lengths in a thrift payload before it is decoded.

The library's fast decoder trusts every length that it reads: past the end of a payload
it returns uninitialised memory, and an element count of two billion keeps it busy for
seconds. The check follows lengths only and decodes no values; its work is bounded by
the payload's length.
"""

import struct

from cactushook import ErrorKind
from cactushook import WireError
from thriftpy2.thrift import TType

MAX_DEPTH = 8
_LENGTH = struct.Struct("!i")
_LIST_HEADER = struct.Struct("!bi")
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
        WireError: the payload is truncated or nested too deeply, holds a negative
            length or an unsupported type, or has trailing bytes.
    """
    try:
        end = _skip_struct(payload, 0, MAX_DEPTH)
    except (IndexError, struct.error) as error:
        raise _frame_error("payload is truncated") from error
    if end != len(payload):
        raise _frame_error(f"payload has {len(payload) - end} trailing bytes")


def _skip_struct(payload: bytes, offset: int, depth: int) -> int:
    _check_depth(depth)
    while (ttype := payload[offset]) != TType.STOP:
        offset = _skip_value(payload, offset + 1 + _FIELD_NUMBER_BYTES, ttype, depth)
    return offset + 1


def _skip_value(payload: bytes, offset: int, ttype: int, depth: int) -> int:
    if ttype in _FIXED_BYTES:
        return _check_end(payload, offset + _FIXED_BYTES[ttype])
    if ttype == TType.STRING:
        (length,) = _LENGTH.unpack_from(payload, offset)
        return _check_end(payload, offset + _LENGTH.size + _check_length(length))
    if ttype == TType.STRUCT:
        return _skip_struct(payload, offset, depth - 1)
    if ttype == TType.LIST:
        return _skip_list(payload, offset, depth - 1)
    raise _frame_error(f"payload holds a value of type {ttype}")


def _skip_list(payload: bytes, offset: int, depth: int) -> int:
    _check_depth(depth)
    ttype, count = _LIST_HEADER.unpack_from(payload, offset)
    offset += _LIST_HEADER.size
    _check_length(count)
    if ttype in _FIXED_BYTES:
        return _check_end(payload, offset + count * _FIXED_BYTES[ttype])
    for _ in range(count):
        offset = _skip_value(payload, offset, ttype, depth)
    return offset


def _check_depth(depth: int) -> None:
    if depth == 0:
        raise _frame_error(f"payload is nested more than {MAX_DEPTH} levels deep")


def _check_end(payload: bytes, offset: int) -> int:
    if offset > len(payload):
        raise _frame_error("payload is truncated")
    return offset


def _check_length(length: int) -> int:
    if length < 0:
        raise _frame_error("payload holds a negative length")
    return length


def _frame_error(detail: str) -> WireError:
    return WireError(ErrorKind.FRAME_INVALID, detail)
