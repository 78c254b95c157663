"""Encodes a value as a delta against an earlier value.

Values are JSON lists of records, and a change touches few records. Both values are
therefore split at the ends of records.
"""

import typing as t

import msgspec

_RECORD_END = b"},"
# Consecutive pieces of the base: index of the first piece and number of pieces.
_Run: t.TypeAlias = tuple[int, int]
_Step: t.TypeAlias = _Run | bytes

_decoder = msgspec.msgpack.Decoder(list[tuple[int, int] | bytes])
_encoder = msgspec.msgpack.Encoder()


def encode(base: bytes, value: bytes) -> bytes:
    """Returns the delta from which `apply` rebuilds the value."""
    index_by_piece = {piece: index for index, piece in enumerate(_split_pieces(base))}
    steps: list[_Step] = []
    for piece in _split_pieces(value):
        index = index_by_piece.get(piece)
        last = steps[-1] if steps else b""
        if index is None:
            steps.append(piece)
        elif isinstance(last, tuple) and last[0] + last[1] == index:
            steps[-1] = (last[0], last[1] + 1)
        else:
            steps.append((index, 1))
    return _encoder.encode(steps)


def apply(base: bytes, delta: bytes) -> bytes:
    """Rebuilds a value from its base and a delta.

    Raises:
        ValueError: the delta cannot be decoded, or the base lacks its pieces.
    """
    pieces = _split_pieces(base)
    parts: list[bytes] = []
    try:
        steps = _decoder.decode(delta)
    except msgspec.MsgspecError as error:
        raise ValueError(f"not a delta: {error}") from error
    for step in steps:
        match step:
            case bytes():
                parts.append(step)
            case (first, count):
                if first < 0 or count < 1 or first + count > len(pieces):
                    raise ValueError(f"pieces {first} to {first + count} do not exist")
                parts += pieces[first : first + count]
    return b"".join(parts)


def _split_pieces(value: bytes) -> list[bytes]:
    *heads, last = value.split(_RECORD_END)
    return [*(head + _RECORD_END for head in heads), last]


__all__ = ["apply", "encode"]
