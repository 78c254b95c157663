"""Steps that feed generated input to the commands."""

import contextlib
import json
import pathlib
import tempfile

import hypothesis
from behave import then
from behave import when
from cactushook import assemble
from cactushook import jsonc
from cactushook import OperatorsFile
from cactushook import publish
from cactushook import TeamFile

from features import command
from features import daemon
from features import generated

OPERATORS = jsonc.parse(
    b'{"failure_domains": [{"name": "a", "region": "r"}]}', OperatorsFile
)


def enter_work_directory(context):
    directory = tempfile.TemporaryDirectory(prefix="cactushook-test-")
    path = pathlib.Path(context.resources.enter_context(directory))
    context.resources.enter_context(contextlib.chdir(path))
    context.outcomes = []
    return path


def run_examples(strategy, count, function):
    """Calls a function with generated examples.

    The examples are derived from the source text of the function: an edit of the
    function, even of a name in it, changes them.
    """
    examples = hypothesis.settings(generated.PROPER, max_examples=count)
    examples(hypothesis.given(strategy)(function))()


@when("{count:d} generated files are checked as team files and as the operators' file")
def files_checked(context, count):
    enter_work_directory(context)
    team = pathlib.Path("a.cactushook.jsonc")
    operators = pathlib.Path("operators.cactushook.jsonc")

    def check(raw):
        team.write_bytes(raw)
        operators.write_bytes(raw)
        for path in (team, operators):
            context.outcomes.append((path, command.run_here(["check", str(path)])))
        outcome = command.run_here(["domain", "out", "a"])
        context.outcomes.append((operators, outcome))

    run_examples(generated.FILES, count, check)


@when('{count:d} damaged copies of "{file}" are checked')
def damaged_checked(context, count, file):
    raw = pathlib.Path(file).read_bytes()
    enter_work_directory(context)
    path = pathlib.Path("a.cactushook.jsonc")

    def check(changed):
        path.write_bytes(changed)
        context.outcomes.append((path, command.run_here(["check", str(path)])))

    run_examples(generated.damaged(raw), count, check)


@when("{count:d} generated settings files are checked")
def settings_checked(context, count):
    enter_work_directory(context)
    path = pathlib.Path("settings.jsonc")

    def check(raw):
        path.write_bytes(raw)
        arguments = ["check-settings", "--settings", str(path)]
        context.outcomes.append((path, daemon.run_here(arguments)))

    run_examples(generated.settings_texts(), count, check)


@then("every exit status is 0 or 1, and each refusal is one line that names its file")
def refused_with_reason(context):
    codes = {outcome.code for _, outcome in context.outcomes}
    assert codes <= {0, 1} and 1 in codes, codes
    for path, outcome in context.outcomes:
        lines = outcome.err.splitlines()
        assert len(lines) == outcome.code, outcome
        assert all(line.startswith(f"{path}:") for line in lines), outcome


@when("{count:d} generated lists of arguments are run")
def arguments_run(context, count):
    enter_work_directory(context)
    pathlib.Path("made").mkdir()

    def run(arguments):
        context.outcomes.append(command.run_here(arguments))

    run_examples(generated.ARGUMENTS, count, run)


@then("every exit status is 0, 1 or 2 and nothing is printed twice")
def statuses_known(context):
    assert {outcome.code for outcome in context.outcomes} == {0, 1, 2}
    for outcome in context.outcomes:
        assert bool(outcome.out) == (outcome.code == 0), outcome
        assert bool(outcome.err) == (outcome.code != 0), outcome
        assert "Traceback" not in outcome.err, outcome


@when("{count:d} generated valid team files are published and assembled")
def published_and_assembled(context, count):
    context.pairs = []

    def pair(fields):
        team_file = jsonc.parse(json.dumps(fields).encode(), TeamFile)
        first = publish(1, OPERATORS, [team_file])
        back = assemble(first.head, first.values).snapshot.services[team_file.service]
        context.pairs.append((team_file, back, first, publish(1, OPERATORS, [back])))

    run_examples(generated.team_files(), count, pair)


@then("each assembled file equals the original and publishes the same bytes again")
def round_trips_equal(context):
    assert len(context.pairs) > 100
    for team_file, back, first, second in context.pairs:
        assert back == team_file
        assert first == second
