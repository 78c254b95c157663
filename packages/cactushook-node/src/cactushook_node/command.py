"""Command line of ``cactushookd``."""

import argparse
import gc
import pathlib
import sys

from cactushook import CactushookError
from cactushook import ErrorKind

from . import logs
from .caller_sockets import bind_caller_sockets
from .caller_sockets import CallerSockets
from .caller_sockets import check_other_addresses_free
from .settings import read_settings
from .settings import Settings

EXIT_FAILURE = 1


def run(arguments: list[str]) -> int:
    """Runs the command and returns its exit status."""
    return _run(_parser().parse_args(arguments))


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="cactushookd",
        description="Runs the node beside a backend server.",
        allow_abbrev=False,
    )
    commands = parser.add_subparsers(dest="command", required=True)
    help_texts = {
        "run": "run the node until SIGTERM or SIGINT",
        "check-settings": "check a settings file and exit",
    }
    for name, text in help_texts.items():
        command = commands.add_parser(name, help=text, allow_abbrev=False)
        command.add_argument("--settings", type=pathlib.Path, required=True)
    return parser


def _run(options: argparse.Namespace) -> int:
    try:
        settings = read_settings(options.settings)
        if options.command == "run":
            writer = logs.configure_logging(settings.log.level)
            _run_node(settings, options.settings, writer)
        else:
            print(f"ok: {settings.host} in {settings.domain} runs {settings.service}")
    except CactushookError as error:
        print(error, file=sys.stderr)
        return EXIT_FAILURE
    return 0


def _run_node(
    settings: Settings, settings_file: pathlib.Path, writer: logs.LineWriter
) -> None:
    sockets = bind_caller_sockets(settings)
    try:
        check_other_addresses_free(settings)
        _run_event_loop(settings, settings_file, writer, sockets)
    finally:
        sockets.close()
        logs.flush_before_exit(writer)


def _run_event_loop(
    settings: Settings,
    settings_file: pathlib.Path,
    writer: logs.LineWriter,
    sockets: CallerSockets,
) -> None:
    # These imports are most of the start's processor time. Callers that connect
    # meanwhile wait at the sockets and are not turned away.
    gc.disable()
    import trio

    from .node import run_node

    gc.enable()
    # A full garbage collection over the modules' objects would stop requests for 10 ms.
    gc.freeze()
    try:
        trio.run(run_node, settings, settings_file, writer, sockets)
    except* OSError as group:
        error = _first_leaf(group)
        raise CactushookError(
            ErrorKind.ADDRESS_IN_USE, f"the node stopped: {error}"
        ) from group


def _first_leaf(error: BaseException) -> BaseException:
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
