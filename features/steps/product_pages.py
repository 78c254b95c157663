"""Steps that compare the documentation pages with the program."""

import ast
import contextlib
import io
import pathlib
import re
import shlex
import tempfile

from behave import then
from behave import when
from cactushook import ERROR_RESPONSES
from cactushook import ErrorKind
from cactushook_node.metrics import Metrics

from features import command
from features import daemon
from features import pages

NODE_SOURCES = pages.ROOT / "packages/cactushook-node/src/cactushook_node"
LEVELS = {
    "debug": "debug",
    "info": "info",
    "log_request": "info",
    "warning": "warning",
}
ADMIN_IN_PAGES = "10.0.0.5:7103"
FILE_PATTERN = re.compile(r"// (\S+\.jsonc)\n")


@then('the table of "{heading}" in "{page}" lists each kind with its answer')
def all_kinds_listed(context, heading, page):
    listed = {
        pages.strip_backquotes(kind): (status, ran, retry)
        for kind, status, ran, retry, _, _ in pages.read_table(page, heading)
    }
    answers = {
        kind.value: (
            str(ERROR_RESPONSES[kind].status),
            ERROR_RESPONSES[kind].ran.value,
            ERROR_RESPONSES[kind].retry.value,
        )
        for kind in ErrorKind
    }
    assert_same(listed, answers)


@then('the table of "{heading}" in "{page}" lists each metric with its labels')
def metrics_listed(context, heading, page):
    listed = {
        pages.strip_backquotes(name): pages.strip_backquotes(labels)
        for name, labels, _ in pages.read_table(page, heading)
    }
    collectors = Metrics().__dict__.values()
    metrics = {
        collector.describe()[0].name: ", ".join(collector._labelnames)
        for collector in collectors
        if hasattr(collector, "describe")
    }
    assert_same(listed, metrics)


@then('the table of "{heading}" in "{page}" lists each event with its level')
def events_listed(context, heading, page):
    listed = {
        pages.strip_backquotes(event): level
        for event, level, _ in pages.read_table(page, heading)
    }
    logged = {}
    for path in NODE_SOURCES.glob("*.py"):
        logged.update(find_events(ast.parse(path.read_text())))
    assert_same(listed, logged)


def find_events(tree):
    """Yields the event and level of each event log call in a syntax tree."""
    for node in ast.walk(tree):
        match node:
            case ast.Call(
                func=ast.Attribute(attr=level, value=owner),
                args=[ast.Constant(value=str(event)), *_],
            ) if level in LEVELS and ast.unparse(owner).endswith("log"):
                yield event, LEVELS[level]


def assert_same(listed, expected):
    missing = sorted(set(expected) - set(listed))
    surplus = sorted(set(listed) - set(expected))
    assert not missing and not surplus, f"missing {missing}, surplus {surplus}"
    wrong = {
        key: (listed[key], expected[key])
        for key in expected
        if listed[key] != expected[key]
    }
    assert not wrong, wrong


def write_files(directory):
    """Writes the files shown in the pages, each named in its first line."""
    names = []
    for block in pages.find_blocks("jsonc"):
        found = FILE_PATTERN.match(block.text)
        assert found, block
        (directory / found[1]).write_text(block.text)
        names.append(found[1])
    return names


@when("the files shown in the pages are written to one directory")
def files_written(context):
    directory = tempfile.TemporaryDirectory(prefix="cactushook-test-")
    context.directory = pathlib.Path(context.resources.enter_context(directory))
    context.names = write_files(context.directory)


@then("the configuration and settings among them are accepted")
def files_accepted(context):
    settings = [name for name in context.names if name.endswith(".settings.jsonc")]
    assert settings and len(context.names) > len(settings) + 1, context.names
    outcome = command.run_here(["check", str(context.directory)])
    assert outcome.code == 0, outcome
    for name in settings:
        path = str(context.directory / name)
        outcome = daemon.run_here(["check-settings", "--settings", path])
        assert outcome.code == 0, outcome


@when("each command shown in the pages runs against it")
def commands_run_against(context):
    write_files(context.work)
    makefile = (pages.ROOT / "Makefile").read_text()
    lines = [
        line
        for block in pages.find_blocks("sh")
        for line in block.text.splitlines()
        if line
    ]
    assert len(lines) > 10
    for line in lines:
        program, *arguments = shlex.split(
            line.replace(ADMIN_IN_PAGES, context.host.admin_address)
        )
        match program:
            case "make":
                assert re.search(rf"^{arguments[0]}:", makefile, re.MULTILINE), line
            case "cactushook":
                run_shown(context, command.run_here, arguments)
            case "cactushookd":
                run_shown(context, daemon.run_here, arguments)
            case _:
                raise AssertionError(f"{line!r} is not run by any test")


def run_shown(context, run, arguments):
    with contextlib.chdir(context.work):
        outcome = run(arguments)
    assert outcome.code == 0, (arguments, outcome)
    context.outcomes.append(outcome)


@then("each program shown in the pages prints the output that the page shows")
def programs_print(context):
    programs = pages.find_blocks("python")
    assert programs
    for block in programs:
        shown = [b.text for b in pages.find_blocks("text") if b.page == block.page]
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            exec(compile(block.text, block.page, "exec"), {"__name__": "__main__"})
        assert out.getvalue() in shown, (block.page, out.getvalue())
