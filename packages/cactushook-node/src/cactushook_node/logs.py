"""Logging as JSON lines with stable event names, bounded and non-blocking."""

import collections
import logging
import os
import select
import sys
import time
import typing as t

from cactushook import TokenBucket
from pythonjsonlogger.msgspec import MsgspecFormatter

LOGGER = "cactushook"
# Outcome of a request that was answered by a backend server.
OUTCOME_ANSWERED = "answered"
# Callers choose the request ids, so their length in the log is bounded.
MAX_REQUEST_ID_CHARACTERS = 64
# Lines queued while the reader is slow; further lines are dropped and counted.
MAX_QUEUED_LINES = 5_000
# A writable pipe accepts this many bytes without blocking.
WRITE_BYTES = select.PIPE_BUF
MAX_WRITES_PER_CALL = 64
# Request lines per second, for answered requests and for all others.
ANSWERED_LINES_PER_S = 50.0
FAILED_LINES_PER_S = 150.0
FLUSH_TIMEOUT_S = 0.5


class LineWriter:
    """Queues lines and writes them to a file descriptor without blocking.

    Args:
        fd: the file descriptor.

    Attributes:
        dropped: number of lines dropped because the queue was full.
    """

    def __init__(self, fd: int) -> None:
        self.dropped = 0
        self._fd = fd
        self._lines: collections.deque[bytes] = collections.deque()
        self._unwritten = b""
        self._poll = select.poll()
        self._poll.register(fd, select.POLLOUT)

    def write(self, text: str) -> None:
        """Queues text, or drops it if the queue is full."""
        if len(self._lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        self._lines.append(text.encode(errors="backslashreplace"))

    def flush(self) -> None:
        """Does nothing; `write_pending` writes the queue."""

    def write_pending(self) -> bool:
        """Writes what the descriptor accepts now; returns whether all is written."""
        for _ in range(MAX_WRITES_PER_CALL):
            if not self._unwritten:
                self._unwritten = self._take_block()
            if not self._unwritten:
                return True
            if not self._poll.poll(0):
                return False
            written = os.write(self._fd, self._unwritten[:WRITE_BYTES])
            self._unwritten = self._unwritten[written:]
        return False

    def _take_block(self) -> bytes:
        lines: list[bytes] = []
        size_bytes = 0
        while self._lines and size_bytes < WRITE_BYTES:
            lines.append(self._lines.popleft())
            size_bytes += len(lines[-1])
        return b"".join(lines)


def configure_logging(level: str, stream: t.TextIO | None = None) -> LineWriter | None:
    """Sends the log to standard output, one JSON object a line.

    Args:
        level: lowest level that is logged.
        stream: written at once in place of standard output.

    Returns:
        The writer, whose `write_pending` must be called regularly; None with a stream.
    """
    writer = None if stream is not None else LineWriter(sys.stdout.fileno())
    handler = logging.StreamHandler(stream or t.cast(t.TextIO, writer))
    handler.setFormatter(
        MsgspecFormatter(
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
    """Changes the lowest level that is logged."""
    logging.getLogger(LOGGER).setLevel(level.upper())


def flush_before_exit(writer: LineWriter) -> None:
    """Writes the queued lines for a bounded time at the end of the process."""
    deadline_s = time.monotonic() + FLUSH_TIMEOUT_S
    while not writer.write_pending() and time.monotonic() < deadline_s:
        time.sleep(0.01)


class EventLog:
    """Logs events of one node together with shared fields.

    The request id is the only data from a caller that is logged: no body, key, query
    or other header.
    """

    def __init__(self, **shared: t.Any) -> None:
        self._logger = logging.getLogger("cactushook.node")
        self._shared = shared
        now_ms = time.monotonic() * 1_000
        self._answered = TokenBucket(ANSWERED_LINES_PER_S, ANSWERED_LINES_PER_S, now_ms)
        self._failed = TokenBucket(FAILED_LINES_PER_S, FAILED_LINES_PER_S, now_ms)
        self._left_out_lines = 0

    def add_shared_fields(self, **fields: t.Any) -> None:
        """Adds fields to all further events."""
        self._shared = {**self._shared, **fields}

    def debug(self, event: str, **fields: t.Any) -> None:
        """Logs an event for debugging."""
        self._log(logging.DEBUG, event, fields)

    def info(self, event: str, **fields: t.Any) -> None:
        """Logs an event of normal operation."""
        self._log(logging.INFO, event, fields)

    def warning(self, event: str, **fields: t.Any) -> None:
        """Logs an event that an operator should look into."""
        self._log(logging.WARNING, event, fields)

    def log_request(self, event: str, answered: bool, **fields: t.Any) -> None:
        """Logs the outcome of a request.

        Lines beyond the rate are left out; the next line states how many. Requests
        that were not answered have a separate rate.
        """
        bucket = self._answered if answered else self._failed
        if not bucket.take(time.monotonic() * 1_000):
            self._left_out_lines += 1
            return
        if self._left_out_lines:
            fields["lines_left_out"] = self._left_out_lines
            self._left_out_lines = 0
        self._log(logging.INFO, event, fields)

    def _log(self, level: int, event: str, fields: t.Mapping[str, t.Any]) -> None:
        if self._logger.isEnabledFor(level):
            self._logger.log(level, event, extra={**self._shared, **fields})
