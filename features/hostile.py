"""Malformed and hostile files that every command has to refuse."""

import random

HOSTILE_FILES = {
    "nothing": b"",
    "spaces": b" \n\n ",
    "binary": random.Random(1).randbytes(4_096),
    "zeros": bytes(1_000),
    "half a character": b'{"service": "\xc3"}',
    "byte order mark": b"\xef\xbb\xbf{}",
    "deep lists": b"[" * 400_000,
    "deep objects": b'{"a":' * 100_000,
    "deep in a field": b'{"service": ' + b"[" * 900_000,
    "long number": b'{"service": ' + b"9" * 10_000 + b"}",
    "large exponent": b'{"limits": {"slots": 1e999}}',
    "open comments": b"/*/" * 300_000,
    "many quotes": b'"' * 900_000,
    "many commas": b"[" + b"," * 900_000 + b"]",
    "too large": b"[" + b" " * 1_000_000 + b"]",
    "a list": b"[]",
    "a string": b'"service"',
    "null": b"null",
    "two values": b"{} {}",
    "empty key": b'{"": 1}',
    "key with a line break": b'{"a\\nb": 1}',
    "nested duplicate": b'{"limits": {"slots": 1, "\\u0073lots": 2}}',
}
