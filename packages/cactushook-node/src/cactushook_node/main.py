"""Command line of ``cactushookd``."""

import argparse
import errno
import gc
import os
import pathlib
import socket
import sys

import trio
from cactushook import CactushookError
from cactushook import ErrorKind

from . import logs
from .node import run_node
from .settings import LISTEN_FIELDS
from .settings import read_settings
from .settings import Settings

EXIT_FAILURE = 1


def main(arguments: list[str] | None = None) -> None:
    """Runs the command and exits with its status."""
    sys.exit(_run(_parser().parse_args(arguments)))


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
    _check_addresses_free(settings)
    # A full garbage collection over the modules' objects would stop requests for 10 ms.
    gc.freeze()
    try:
        trio.run(run_node, settings, settings_file, writer)
    except* OSError as group:
        error = _first_leaf(group)
        raise CactushookError(
            ErrorKind.ADDRESS_IN_USE, f"the node stopped: {error}"
        ) from group
    finally:
        logs.flush_before_exit(writer)


def _check_addresses_free(settings: Settings) -> None:
    """Binds each listening address for a moment, so that an error names its field."""
    for field in LISTEN_FIELDS:
        ip, _, port = getattr(settings, field).rpartition(":")
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((ip, int(port)))
                probe.listen()
            except OSError as error:
                reason = os.strerror(error.errno or errno.EINVAL)
                raise CactushookError(
                    ErrorKind.ADDRESS_IN_USE, f"{field} {ip}:{port}: {reason}"
                ) from error


def _first_leaf(error: BaseException) -> BaseException:
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


if __name__ == "__main__":
    main()
