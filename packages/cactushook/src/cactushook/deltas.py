"""Describes a value by what it shares with an earlier one.

Values are lists of records in JSON: a change touches few of them, so that both are cut
where records end.
"""

import typing as t

import msgspec

_RECORD_END = b"},"
# Pieces of the base from the first number on, as many as the second one says.
_Run: t.TypeAlias = tuple[int, int]
_Step: t.TypeAlias = _Run | bytes

_decoder = msgspec.msgpack.Decoder(list[tuple[int, int] | bytes])
_encoder = msgspec.msgpack.Encoder()


def encode(base: bytes, value: bytes) -> bytes:
    """Returns the delta from which `apply` makes the value out of the base."""
    places = {piece: index for index, piece in enumerate(_pieces(base))}
    steps: list[_Step] = []
    for piece in _pieces(value):
        index = places.get(piece)
        last = steps[-1] if steps else b""
        if index is None:
            steps.append(piece)
        elif isinstance(last, tuple) and last[0] + last[1] == index:
            steps[-1] = (last[0], last[1] + 1)
        else:
            steps.append((index, 1))
    return _encoder.encode(steps)


def apply(base: bytes, delta: bytes) -> bytes:
    """Returns the value that a delta describes.

    Raises:
        ValueError: the delta cannot be read, or names pieces that the base lacks.
    """
    pieces = _pieces(base)
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


def _pieces(value: bytes) -> list[bytes]:
    *heads, last = value.split(_RECORD_END)
    return [*(head + _RECORD_END for head in heads), last]


__all__ = ["apply", "encode"]
