"""Entry point of ``cactushookd``.

It imports the rest of the package only after SIGHUP is ignored: loading the libraries
takes a while, and SIGHUP would end the process meanwhile.
"""

import signal
import sys


def main(arguments: list[str] | None = None) -> None:
    """Runs the command and exits with its status."""
    words = sys.argv[1:] if arguments is None else arguments
    if words[:1] == ["run"]:
        # The node reads the settings again after its start, also without a signal.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from .command import run

    sys.exit(run(words))


if __name__ == "__main__":
    main()
