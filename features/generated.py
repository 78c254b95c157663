"""Strategies for generated files, settings and arguments."""

import json
import string

import hypothesis
from hypothesis import strategies as st

from features.daemon import GOOD_SETTINGS

PROPER = hypothesis.settings(
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TOKENS = (
    *"{}[]:,\"'/\\*\n",
    "//",
    "/*",
    "*/",
    '"service"',
    '"limits"',
    '"failure_domains"',
    '"name"',
    '"\\ud800"',
    "NaN",
    "1e999",
    "-0",
    "null",
    "true",
    "\ufeff",
    "\u2028",
)
WORDS = (
    *("check", "bundle", "domain", "out", "in", "status", "explain", "version"),
    *("--json", "--out", "--dir", "--node", "--version", "--help", "-h", "--", "-"),
    *("--against=.", "--against=made", "--strict"),
    *("--out=made", "--dir=.", "--node=127.0.0.1:1", "--version=3", "--json=1"),
    *(".", "made", "cesis", "127.0.0.1:1", "GET", "/reports", "1.10", "[x]", "{}"),
    *("__class__", "--__class__", "None", "-1", "", "--=", "--trace", "--interactive"),
)

NAMES = st.text(string.ascii_lowercase, min_size=1, max_size=8)
JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(("in", "out", "127.0.0.1:7100", "0.0.0.0:0", "a")),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)
FILES = (
    st.binary(max_size=200)
    | st.lists(st.sampled_from(TOKENS), max_size=40).map(lambda p: "".join(p).encode())
    | JSON_VALUES.map(lambda value: json.dumps(value).encode())
)
ARGUMENTS = st.lists(
    st.sampled_from(WORDS) | st.text("abc-=. \n\0\udcff", max_size=5), max_size=7
)


@st.composite
def settings_texts(draw):
    """Returns valid settings with some fields replaced or added, as JSON."""
    fields = (*GOOD_SETTINGS, "limits", "log", "peers", "seed", "drain_limit_ms", "x")
    changes = draw(st.dictionaries(st.sampled_from(fields), JSON_VALUES, max_size=3))
    return json.dumps({**GOOD_SETTINGS, **changes}).encode()


@st.composite
def damaged(draw, raw):
    """Returns the bytes with parts removed, doubled or replaced."""
    for _ in range(draw(st.integers(1, 3))):
        start = draw(st.integers(0, len(raw)))
        end = draw(st.integers(start, min(len(raw), start + 30)))
        replacement = draw(
            st.sampled_from((b"", raw[start:end] * 2, b'"', b"{", b"\xff", b"9"))
        )
        raw = raw[:start] + replacement + raw[end:]
    return raw


@st.composite
def team_files(draw):
    """Returns a valid team file of one service in failure domain ``a``."""
    slots = draw(st.integers(1, 10_000))
    paths = draw(st.lists(NAMES, unique=True, max_size=4))
    return {
        "service": draw(NAMES),
        "team": draw(st.text(max_size=20)),
        "failure_domains": ["a"],
        "limits": {
            "slots": slots,
            "connections": draw(st.integers(slots, 10_000)),
            "queue_length": draw(st.integers(0, 100_000)),
        },
        "routes": [
            {
                "path": f"/{path}",
                "class": draw(st.sampled_from(("idempotent", "at_most_once", "bulk"))),
                "timeout_ms": draw(st.integers(1, 600_000)),
                "visibility": draw(st.sampled_from(("public", "internal"))),
            }
            for path in paths
        ],
        "retry_budget_permille": draw(st.integers(0, 1_000)),
    }
