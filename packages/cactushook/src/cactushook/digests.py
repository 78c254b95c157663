"""Content digests, which identify published values."""

import hashlib
import typing as t

import msgspec

DIGEST_BYTES = 16

_encoder = msgspec.json.Encoder(order="deterministic")


def canonical_json(value: t.Any) -> bytes:
    """Encodes a data class as JSON bytes that depend only on its content."""
    return _encoder.encode(value)


def digest(raw: bytes) -> str:
    """Returns the digest of published bytes as hexadecimal text."""
    return hashlib.blake2b(raw, digest_size=DIGEST_BYTES).hexdigest()
