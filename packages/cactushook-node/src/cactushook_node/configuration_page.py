"""The admin page that shows the configuration in force, in parts."""

import re
import urllib.parse

import msgspec
from cactushook import Snapshot
from cactushook.outlines import outline
from cactushook.outlines import outline_length
from cactushook.reports import ConfigurationPage

from .pages import Page

# Entries of a part, so that building one delays requests by a few milliseconds.
PART_COUNT = 200
JSON_TYPE = b"application/json"
_START_PATTERN = re.compile(r"[0-9]{1,9}")


def show_configuration(
    snapshot: Snapshot, query: bytes, count: int = PART_COUNT
) -> Page:
    """Returns a part of a snapshot without keys of workspaces and their digests.

    Args:
        snapshot: the snapshot in force.
        query: the request's query; ``start`` is the number of entries to leave out.
        count: number of entries of a part.
    """
    fields = dict(urllib.parse.parse_qsl(query.decode("latin-1")))
    text = fields.get("start", "0")
    if not _START_PATTERN.fullmatch(text):
        return Page(400, b"start is not a number\n")
    start = int(text)
    stop = start + count
    shown = ConfigurationPage(
        version=snapshot.head.version,
        digest=snapshot.head.root,
        entries=outline(snapshot, start, count),
        next_start=stop if stop < outline_length(snapshot) else None,
    )
    return Page(200, msgspec.json.encode(shown), JSON_TYPE)
