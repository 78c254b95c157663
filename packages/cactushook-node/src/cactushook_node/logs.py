"""Logs as JSON lines with stable event names, bounded and never waited for."""

import collections
import logging
import os
import select
import sys
import time
import typing as t

from cactushook import TokenBucket
from pythonjsonlogger.json import JsonFormatter

LOGGER = "cactushook"
# Outcome of a request that got a backend server's answer.
OUTCOME_ANSWERED = "answered"
# Callers choose the ids of requests.
MAX_REQUEST_ID_CHARACTERS = 64
# Lines that wait while the reader is slow; more are dropped and counted.
MAX_WAITING_LINES = 5_000
# A pipe that is writable takes as many bytes without blocking.
WRITE_BYTES = select.PIPE_BUF
WRITES_AT_ONCE = 64
# Lines a second about requests that were answered, and about others.
ANSWERED_LINES_PER_S = 150.0
FAILED_LINES_PER_S = 150.0
END_LIMIT_S = 0.5


class LineWriter:
    """Writes lines to a descriptor when it takes them; never blocks.

    Args:
        fd: the descriptor.

    Attributes:
        dropped: lines that found no room.
    """

    def __init__(self, fd: int) -> None:
        self.dropped = 0
        self._fd = fd
        self._lines: collections.deque[bytes] = collections.deque()
        self._rest = b""
        self._poll = select.poll()
        self._poll.register(fd, select.POLLOUT)

    def write(self, text: str) -> None:
        """Queues text; drops it if too much waits."""
        if len(self._lines) >= MAX_WAITING_LINES:
            self.dropped += 1
            return
        self._lines.append(text.encode(errors="backslashreplace"))

    def flush(self) -> None:
        """Does nothing: `write_pending` writes."""

    def write_pending(self) -> bool:
        """Writes what the descriptor takes now, and tells whether all is written."""
        for _ in range(WRITES_AT_ONCE):
            if not self._rest:
                self._rest = self._gather()
            if not self._rest:
                return True
            if not self._poll.poll(0):
                return False
            written = os.write(self._fd, self._rest[:WRITE_BYTES])
            self._rest = self._rest[written:]
        return False

    def _gather(self) -> bytes:
        gathered: list[bytes] = []
        size_bytes = 0
        while self._lines and size_bytes < WRITE_BYTES:
            gathered.append(self._lines.popleft())
            size_bytes += len(gathered[-1])
        return b"".join(gathered)


def configure_logging(level: str, stream: t.TextIO | None = None) -> LineWriter | None:
    """Sends the log to standard output, one JSON object a line.

    Args:
        level: least level that is logged.
        stream: another place for the log, written at once.

    Returns:
        The writer, which must be pumped; None with a stream.
    """
    writer = None if stream is not None else LineWriter(sys.stdout.fileno())
    handler = logging.StreamHandler(stream or t.cast(t.TextIO, writer))
    handler.setFormatter(
        JsonFormatter(
            "%(levelname)s %(message)s",
            rename_fields={"levelname": "level", "message": "event"},
            timestamp="time",
        )
    )
    root = logging.getLogger(LOGGER)
    root.handlers = [handler]
    root.propagate = False
    root.setLevel(level.upper())
    return writer


def set_level(level: str) -> None:
    """Changes the least level that is logged."""
    logging.getLogger(LOGGER).setLevel(level.upper())


def flush_before_exit(writer: LineWriter) -> None:
    """Writes what waits, for a bounded time, at the end of the process."""
    end_s = time.monotonic() + END_LIMIT_S
    while not writer.write_pending() and time.monotonic() < end_s:
        time.sleep(0.01)


class EventLog:
    """Logs events of one node with the fields that all of them share.

    Of what a caller sent, the request's id alone is logged: no body, no key, no
    query, no other header.
    """

    def __init__(self, **shared: t.Any) -> None:
        self._logger = logging.getLogger("cactushook.node")
        self._shared = shared
        now_ms = time.monotonic() * 1_000
        self._answered = TokenBucket(ANSWERED_LINES_PER_S, ANSWERED_LINES_PER_S, now_ms)
        self._failed = TokenBucket(FAILED_LINES_PER_S, FAILED_LINES_PER_S, now_ms)
        self._left_out = 0

    def add_shared_fields(self, **fields: t.Any) -> None:
        """Adds fields to all further events."""
        self._shared = {**self._shared, **fields}

    def debug(self, event: str, **fields: t.Any) -> None:
        """Logs detail."""
        self._log(logging.DEBUG, event, fields)

    def info(self, event: str, **fields: t.Any) -> None:
        """Logs what an operator expects to see."""
        self._log(logging.INFO, event, fields)

    def warning(self, event: str, **fields: t.Any) -> None:
        """Logs what an operator should look at."""
        self._log(logging.WARNING, event, fields)

    def log_request(self, event: str, answered: bool, **fields: t.Any) -> None:
        """Logs how a request was decided.

        Lines beyond the rate are left out; the next line tells how many. Requests
        that were not answered have a rate of their own.
        """
        bucket = self._answered if answered else self._failed
        if not bucket.take(time.monotonic() * 1_000):
            self._left_out += 1
            return
        if self._left_out:
            fields["lines_left_out"] = self._left_out
            self._left_out = 0
        self._log(logging.INFO, event, fields)

    def _log(self, level: int, event: str, fields: t.Mapping[str, t.Any]) -> None:
        if self._logger.isEnabledFor(level):
            self._logger.log(level, event, extra={**self._shared, **fields})
