"""Steps about settings files of the daemon."""

import contextlib
import json
import pathlib
import shlex
import tempfile

from behave import when

from features import daemon


def enter_work_directory(context):
    directory = tempfile.TemporaryDirectory(prefix="cactushook-test-")
    path = pathlib.Path(context.resources.enter_context(directory))
    context.resources.enter_context(contextlib.chdir(path))
    context.outcomes = []
    return path


def record_outcome(context, line, outcome):
    context.outcomes.append(outcome)
    context.transcript += [f"$ {line}", *outcome.lines()]


@when("each of these changes to a settings file is checked")
def changes_checked(context):
    path = enter_work_directory(context) / "changed.jsonc"
    for row in context.table:
        text = row["value"]
        marker = "\0value"
        settings = daemon.change_setting(row["field"], marker if text else None)
        encoded = json.dumps(settings, indent=2)
        path.write_text(encoded.replace(json.dumps(marker), text))
        arguments = ["check-settings", "--settings", path.name]
        record_outcome(context, f"{row['field']}: {text}", daemon.run_here(arguments))


@when("these daemon commands run")
def daemon_commands(context):
    path = enter_work_directory(context) / "good.jsonc"
    path.write_text(
        "// All fields that are needed.\n" + json.dumps(daemon.GOOD_SETTINGS)
    )
    for line in context.text.splitlines():
        record_outcome(context, line, daemon.run_here(shlex.split(line)[1:]))
