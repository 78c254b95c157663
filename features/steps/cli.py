"""Steps that run the operators' command."""

import pathlib
import shlex
import shutil
import tempfile

from behave import given
from behave import then
from behave import when

from features import command
from features.hostile import HOSTILE_FILES


@given('a copy of the configuration "{config}"')
def copy_configuration(context, config):
    name = tempfile.mkdtemp(prefix="cactushook-test-")
    context.resources.callback(shutil.rmtree, name, ignore_errors=True)
    context.directory = pathlib.Path(name) / "config"
    shutil.copytree(config, context.directory)
    context.outcomes = []


@given('a file "{name}" that holds "{text}"')
def plain_file(context, name, text):
    (context.directory / name).write_text(text)


@given('a directory "{name}"')
def plain_directory(context, name):
    (context.directory / name).mkdir()


@given('a link "{name}" to "{target}"')
def link(context, name, target):
    (context.directory / name).symlink_to(target)


def record_outcome(context, line, outcome):
    context.outcomes.append(outcome)
    context.transcript += [f"$ {line}", *outcome.lines()]


@when("these commands run")
def commands_run(context):
    for line in context.text.splitlines():
        record_outcome(context, line, command.run_line(line, context.directory))


@when("these commands run as processes")
def processes_run(context):
    for line in context.text.splitlines():
        arguments = shlex.split(line)[1:]
        outcome = command.run_process(arguments, context.directory)
        record_outcome(context, line, outcome)


@when("each of these changes is checked and bundled")
def changes_refused(context):
    for row in context.table:
        path = next(context.directory.rglob(f"{row['file']}.cactushook.jsonc"))
        original = path.read_text()
        count = original.count(row["text"])
        assert count, row["text"]
        if row["file"] == "reports":
            count = 1
        path.write_text(original.replace(row["text"], row["changed to"], count))
        checked = command.run_line("cactushook check .", context.directory)
        bundled = command.run_line(
            "cactushook bundle . --out ../out", context.directory
        )
        assert checked == bundled, (checked, bundled)
        record_outcome(context, f"{row['text']} -> {row['changed to']}", checked)
        path.write_text(original)


@when("each hostile file is checked")
def hostile_files(context):
    hostile = context.directory / "hostile.cactushook.jsonc"
    operators = context.directory / "operators.cactushook.jsonc"
    original = operators.read_bytes()
    for label, raw in HOSTILE_FILES.items():
        hostile.write_bytes(raw)
        outcome = command.run_line("cactushook check .", context.directory)
        record_outcome(context, f"check: {label}", outcome)
        hostile.unlink()
        operators.write_bytes(raw)
        line = "cactushook domain out cesis"
        record_outcome(
            context, f"domain out: {label}", command.run_line(line, context.directory)
        )
        operators.write_bytes(original)


@then("every exit status is {code:d}")
def exit_statuses(context, code):
    assert context.outcomes
    seen = {outcome.code for outcome in context.outcomes}
    assert seen == {code}, seen


@then('the directory "{name}" does not exist')
def no_directory(context, name):
    assert not (context.directory / name).exists()
