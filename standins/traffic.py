"""Sends reads and keyed writes in the background."""

import contextlib
import dataclasses
import itertools
import threading
import time
import typing as t

import httpcore

from .fleet import LocalFleet
from .fleet import new_idempotency_key

REQUEST_PAUSE_S = 0.01
NO_ANSWER = 0


@dataclasses.dataclass(slots=True)
class RequestResults:
    """Collects the results of one kind of request.

    Attributes:
        statuses: status of each request, ``NO_ANSWER`` if the connection failed.
        keys: idempotency key of each write.
    """

    statuses: list[int] = dataclasses.field(default_factory=list)
    keys: list[str] = dataclasses.field(default_factory=list)

    @property
    def failed_statuses(self) -> list[int]:
        """Returns the statuses of the requests that failed."""
        return [status for status in self.statuses if status != 200]


class Traffic:
    """Sends reads and keyed writes to the nodes of a fleet in turn.

    Args:
        fleet: the fleet to call.

    Attributes:
        reads: results of the reads.
        writes: results of the keyed writes.
    """

    def __init__(self, fleet: LocalFleet) -> None:
        self._fleet = fleet
        self._stopped = threading.Event()
        self.reads = RequestResults()
        self.writes = RequestResults()

    @contextlib.contextmanager
    def send_in_background(self) -> t.Iterator[None]:
        """Sends requests from two threads until the block ends."""
        threads = [
            threading.Thread(target=self._send_until_stopped, args=(send,))
            for send in (self._read, self._write)
        ]
        for thread in threads:
            thread.start()
        try:
            yield
        finally:
            self._stopped.set()
            for thread in threads:
                thread.join()

    def _send_until_stopped(self, send: t.Callable[[t.Any], None]) -> None:
        for host in itertools.cycle(self._fleet.hosts.values()):
            if self._stopped.is_set():
                return
            send(host)
            time.sleep(REQUEST_PAUSE_S)

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
        results: RequestResults,
        host: t.Any,
        method: str,
        path: str,
        headers: dict[str, str],
    ) -> None:
        try:
            status = self._fleet.request(host, method, path, headers).status
        except (httpcore.NetworkError, httpcore.ProtocolError):
            status = NO_ANSWER
        results.statuses.append(status)
