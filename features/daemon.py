"""Builds settings files and runs ``cactushookd`` for steps."""

import contextlib
import copy
import io

from cactushook_node import main

from features.command import Outcome

GOOD_SETTINGS = {
    "host": "cesis-0",
    "domain": "cesis",
    "region": "vidzeme",
    "service": "reports",
    "node_listen": "127.0.0.1:7100",
    "public_listen": "127.0.0.1:7101",
    "internal_listen": "127.0.0.1:7102",
    "admin_listen": "127.0.0.1:7103",
    "worker": {"address": "127.0.0.1:7104"},
    "platform": {"address": "127.0.0.1:7105"},
}


def change_setting(field, value):
    """Returns ``GOOD_SETTINGS`` with a field changed, or removed if it is None."""
    settings = copy.deepcopy(GOOD_SETTINGS)
    *outer, name = field.split(".")
    target = settings
    for part in outer:
        target = target[part]
    if value is None:
        del target[name]
    else:
        target[name] = value
    return settings


def run_here(arguments):
    """Runs ``cactushookd`` in this process, for commands that exit."""
    out, err = io.StringIO(), io.StringIO()
    code = 0
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        try:
            main.main(arguments)
        except SystemExit as end:
            code = end.code or 0
    return Outcome(code, out.getvalue(), err.getvalue())
