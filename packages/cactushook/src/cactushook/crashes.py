"""Tracks requests that crash backend servers."""

import dataclasses
import typing as t

from .calls import Call

CRASHES_TO_REFUSE = 2
QUARANTINE_MS = 300_000
TRUST_MS = 10_000
MAX_FINGERPRINTS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """A request that may have crashed a backend server, reported to other gates.

    Attributes:
        service: the service.
        fingerprint: digest of method, path and body.
        host: the host whose backend server crashed.
    """

    service: str
    fingerprint: str
    host: str


class CrashTable:
    """Counts crashes by fingerprint and refuses requests that crash repeatedly.

    All requests that ran during a crash are suspects, except those that a worker
    answered shortly before: a request that crashes its worker gets no answer, whereas
    a harmless popular request is answered all the time.

    Attributes:
        trusted_count: suspects that were not counted, since they were answered before.
        cleared_count: suspects whose crashes were forgotten, since they were answered.
    """

    def __init__(self) -> None:
        self.trusted_count = 0
        self.cleared_count = 0
        self._crashed_ms: dict[str, list[float]] = {}
        self._answered_ms: dict[str, float] = {}

    def record_crash(self, report: CrashReport, now_ms: float) -> None:
        """Counts one crash against a suspect that is not trusted."""
        if self.is_trusted(report.fingerprint, now_ms):
            self.trusted_count += 1
            return
        is_known = report.fingerprint in self._crashed_ms
        if not is_known and len(self._crashed_ms) >= MAX_FINGERPRINTS:
            oldest = min(self._crashed_ms, key=lambda key: self._crashed_ms[key][-1])
            del self._crashed_ms[oldest]
        crashes = self._crashed_ms.setdefault(report.fingerprint, [])
        crashes.append(now_ms)
        del crashes[:-CRASHES_TO_REFUSE]

    def report(
        self, service: str, host: str, running: t.Iterable[Call], now_ms: float
    ) -> tuple[CrashReport, ...]:
        """Counts a crash against all requests that ran and are not trusted.

        Args:
            service: the service.
            host: the host whose backend server crashed.
            running: the requests that ran there.
            now_ms: the time.

        Returns:
            The reports for other gates of the service.
        """
        fingerprints = dict.fromkeys(item.fingerprint for item in running)
        suspects = [f for f in fingerprints if not self.is_trusted(f, now_ms)]
        self.trusted_count += len(fingerprints) - len(suspects)
        reports = tuple(CrashReport(service, suspect, host) for suspect in suspects)
        for item in reports:
            self.record_crash(item, now_ms)
        return reports

    def record_answer(self, fingerprint: str, now_ms: float) -> None:
        """Records that a worker answered a request and clears its suspicion."""
        if self._crashed_ms.pop(fingerprint, None) is not None:
            self.cleared_count += 1
        self._answered_ms.pop(fingerprint, None)
        self._answered_ms[fingerprint] = now_ms
        if len(self._answered_ms) > MAX_FINGERPRINTS:
            del self._answered_ms[next(iter(self._answered_ms))]

    def is_trusted(self, fingerprint: str, now_ms: float) -> bool:
        """Returns whether a worker answered the request shortly before."""
        answered_ms = self._answered_ms.get(fingerprint)
        return answered_ms is not None and now_ms - answered_ms < TRUST_MS

    def is_refused(self, fingerprint: str, now_ms: float) -> bool:
        """Returns whether the request is currently refused."""
        since_ms = now_ms - QUARANTINE_MS
        recent = [at for at in self._crashed_ms.get(fingerprint, ()) if at > since_ms]
        return len(recent) >= CRASHES_TO_REFUSE
