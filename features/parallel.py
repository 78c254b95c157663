"""Runs commands at the same time."""

import subprocess
import threading
from unittest import mock

from features.command import BIN

TIMEOUT_S = 60
OVERLAP_TIMEOUT_S = 1


def run_at_once(commands, directory):
    """Starts all commands together and returns their exit statuses."""
    processes = [
        subprocess.Popen(
            [BIN / "cactushook", *arguments],
            cwd=directory,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        for arguments in commands
    ]
    return [process.wait(timeout=TIMEOUT_S) for process in processes]


def run_overlapped(module, name, calls):
    """Runs two calls in threads that overlap inside one function.

    The first call waits at the end of the function until the second one gets there.
    A lock may keep the second call out, so the wait ends after ``OVERLAP_TIMEOUT_S``.

    Args:
        module: holds the function.
        name: name of the function.
        calls: the two calls.
    """
    inner = getattr(module, name)
    first = threading.Event()
    second = threading.Event()

    def wait_at_end(*arguments):
        result = inner(*arguments)
        if first.is_set():
            second.set()
        else:
            first.set()
            second.wait(OVERLAP_TIMEOUT_S)
        return result

    with mock.patch.object(module, name, wait_at_end):
        threads = [threading.Thread(target=call) for call in calls]
        threads[0].start()
        first.wait(TIMEOUT_S)
        threads[1].start()
        for thread in threads:
            thread.join(TIMEOUT_S)
