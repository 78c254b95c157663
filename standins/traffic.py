"""Reads and keyed writes that go on while something else happens."""

import contextlib
import dataclasses
import itertools
import threading
import time
import typing as t

import httpcore

from .fleet import LocalFleet
from .fleet import new_idempotency_key

PAUSE_S = 0.01
NO_ANSWER = 0


@dataclasses.dataclass(slots=True)
class RequestResults:
    """What came of one kind of request.

    Attributes:
        statuses: status of each request, ``NO_ANSWER`` where the connection broke.
        keys: key of each write.
    """

    statuses: list[int] = dataclasses.field(default_factory=list)
    keys: list[str] = dataclasses.field(default_factory=list)

    @property
    def failed_statuses(self) -> list[int]:
        """Statuses of the requests that failed."""
        return [status for status in self.statuses if status != 200]


class Traffic:
    """Sends reads and keyed writes through every entry in turn.

    Args:
        fleet: the fleet to call.
    """

    def __init__(self, fleet: LocalFleet) -> None:
        self._fleet = fleet
        self._ended = threading.Event()
        self.reads = RequestResults()
        self.writes = RequestResults()

    @contextlib.contextmanager
    def send_in_background(self) -> t.Iterator[None]:
        """Sends requests until the block ends."""
        threads = [
            threading.Thread(target=self._repeat, args=(send,))
            for send in (self._read, self._write)
        ]
        for thread in threads:
            thread.start()
        try:
            yield
        finally:
            self._ended.set()
            for thread in threads:
                thread.join()

    def _repeat(self, send: t.Callable[[t.Any], None]) -> None:
        for host in itertools.cycle(self._fleet.hosts.values()):
            if self._ended.is_set():
                return
            send(host)
            time.sleep(PAUSE_S)

    def _read(self, host: t.Any) -> None:
        self._send(self.reads, host, "GET", "/reports/1", {})

    def _write(self, host: t.Any) -> None:
        key = new_idempotency_key()
        self.writes.keys.append(key)
        self._send(
            self.writes, host, "POST", "/repair-orders", {"idempotency-key": key}
        )

    def _send(
        self,
        tally: RequestResults,
        host: t.Any,
        method: str,
        path: str,
        headers: dict[str, str],
    ) -> None:
        try:
            status = self._fleet.request(host, method, path, headers).status
        except (httpcore.NetworkError, httpcore.ProtocolError):
            status = NO_ANSWER
        tally.statuses.append(status)
