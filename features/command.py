"""Runs ``cactushook`` for steps, in this process or in a child process."""

import contextlib
import dataclasses
import io
import pathlib
import shlex
import subprocess
import sys

from cactushook_cli import main

BIN = pathlib.Path(sys.executable).parent


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Exit status and output of one command."""

    code: int
    out: str
    err: str

    def lines(self):
        """Returns the outcome as lines of a transcript."""
        return [
            *self.out.splitlines(),
            *(f"stderr: {line}" for line in self.err.splitlines()),
            f"exit {self.code}",
        ]


def run_here(arguments):
    """Runs the command in this process."""
    out = io.TextIOWrapper(io.BytesIO(), encoding="utf-8")
    err = io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        code = main.run(arguments)
    out.flush()
    return Outcome(code, out.buffer.getvalue().decode(), err.getvalue())


def run_process(
    arguments, directory=None, program="cactushook", timeout_s=60, **options
):
    """Runs the command in a child process."""
    done = subprocess.run(
        [BIN / program, *arguments],
        cwd=directory,
        capture_output=True,
        timeout=timeout_s,
        **options,
    )
    return Outcome(
        done.returncode,
        done.stdout.decode(errors="backslashreplace"),
        done.stderr.decode(errors="backslashreplace"),
    )


def run_line(line, directory):
    """Runs a command line in a directory, in this process."""
    words = shlex.split(line)
    assert words[0] == "cactushook", line
    with contextlib.chdir(directory):
        return run_here(words[1:])
