"""Implements the ``cactushook`` command for teams, publishing jobs and operators."""

import os
import pathlib
import sys
import typing as t
import urllib.parse

import cactushook
import msgspec
from cactushook import CactushookError
from cactushook.exceptions import one_line
from cactushook.findings import Severity
from cactushook.reports import Explanation
from cactushook.reports import Status

from . import checking
from . import client
from . import fleet_files
from . import formatting
from . import operators
from . import publishing
from .arguments import Bundle
from .arguments import Check
from .arguments import Explain
from .arguments import parse_arguments
from .arguments import PrintingCommand
from .arguments import SetDomainState
from .arguments import ShowHelp
from .arguments import ShowStatus
from .arguments import ShowVersion
from .arguments import UsageError

EXIT_FAILURE = 1
EXIT_USAGE = 2
EXIT_WARNINGS = 3


def main(arguments: t.Sequence[str] | None = None) -> None:
    """Runs the command and exits with its status."""
    sys.exit(run(sys.argv[1:] if arguments is None else arguments))


def run(arguments: t.Sequence[str]) -> int:
    """Runs the command and returns its exit status."""
    try:
        command = parse_arguments(arguments)
        if isinstance(command, Check):
            return _check(command)
        text = execute(command)
    except UsageError as error:
        _print_error(f"cactushook: {error}", "try: cactushook --help")
        return EXIT_USAGE
    except fleet_files.InvalidFilesError as error:
        _print_error(*error.args)
        return EXIT_FAILURE
    except CactushookError as error:
        _print_error(str(error))
        return EXIT_FAILURE
    return _print(text)


def execute(command: PrintingCommand) -> str:
    """Executes a command and returns the text to print."""
    match command:
        case ShowHelp(text):
            return text
        case ShowVersion():
            return cactushook.__version__
        case Bundle():
            return _bundle(command)
        case SetDomainState():
            return _set_domain(command)
        case ShowStatus(node, as_json):
            status = client.fetch_json(node, b"/status", Status)
            return _format_output(status, formatting.format_status(status), as_json)
        case Explain():
            return _explain(command)
    t.assert_never(command)


def _check(command: Check) -> int:
    paths = [pathlib.Path(path) for path in command.paths]
    result = checking.check_files(paths, command.against)
    text = formatting.format_check(result)
    status = _print(_format_output(result, text, command.as_json))
    if status:
        return status
    severities = {finding.severity for finding in result.findings}
    if Severity.ERROR in severities:
        return EXIT_FAILURE
    has_warnings = Severity.WARNING in severities
    return EXIT_WARNINGS if command.is_strict and has_warnings else 0


def _bundle(command: Bundle) -> str:
    directory, out = pathlib.Path(command.directory), pathlib.Path(command.out)
    head = publishing.publish_directory(directory, out, command.version)
    return _format_output(
        head, f"version {head.version} root {head.root}", command.as_json
    )


def _set_domain(command: SetDomainState) -> str:
    path = pathlib.Path(command.directory) / fleet_files.OPERATORS_FILE_NAME
    changed = operators.set_domain_state(path, command.name, command.state)
    state = command.state.value
    outcome = formatting.DomainChange(command.name, state, changed)
    text = f"{command.name}: {state if changed else f'already {state}'}"
    return _format_output(outcome, text, command.as_json)


def _explain(command: Explain) -> str:
    query = urllib.parse.urlencode(
        {"method": command.method, "path": command.path, "host": command.host},
        errors="surrogateescape",
    )
    target = f"/explain?{query}".encode()
    explanation = client.fetch_json(command.node, target, Explanation)
    return _format_output(
        explanation, formatting.format_explanation(explanation), command.as_json
    )


def _format_output(value: t.Any, text: str, as_json: bool) -> str:
    return msgspec.json.encode(value).decode() if as_json else text


def _print(text: str) -> int:
    sys.stdout.reconfigure(errors="backslashreplace")
    try:
        print(text, flush=True)
    except BrokenPipeError:
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
    except OSError as error:
        _print_error(f"cannot write the output: {error.strerror}")
        return EXIT_FAILURE
    return 0


def _print_error(*reasons: str) -> None:
    for reason in reasons:
        print(one_line(reason), file=sys.stderr)


if __name__ == "__main__":
    main()
