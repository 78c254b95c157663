"""Compares a session's transcript with its golden file."""

import difflib
import os
import pathlib

DIRECTORY = pathlib.Path(__file__).parent / "golden"
UPDATE_ENV_VARIABLE = "CACTUSHOOK_UPDATE_GOLDEN"


def compare(name: str, lines: list[str]) -> None:
    """Fails with a diff unless the lines equal ``golden/NAME.txt``.

    If ``CACTUSHOOK_UPDATE_GOLDEN`` is set, writes the golden file instead. The change
    then shows in the diff of the commit.
    """
    path = DIRECTORY / f"{name}.txt"
    if os.environ.get(UPDATE_ENV_VARIABLE):
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        return
    expected = path.read_text(encoding="utf-8").splitlines()
    diff = difflib.unified_diff(expected, lines, "golden", "seen", lineterm="")
    text = "\n".join(diff)
    assert not text, text
