"""Remembers requests that crash backend servers."""

import dataclasses

CRASHES_TO_REFUSE = 2
QUARANTINE_MS = 300_000
TRUST_MS = 10_000
MAX_FINGERPRINTS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """Told to the other gates of a service.

    Attributes:
        service: the service.
        fingerprint: digest of method, path and body.
        host: the host whose backend server crashed.
    """

    service: str
    fingerprint: str
    host: str


class CrashTable:
    """Counts crashes by fingerprint and refuses those that crash repeatedly.

    When several requests ran during a crash, all of them are suspects, but for
    those that a worker has answered shortly before: what crashes its worker is not
    answered, whereas a popular request is, all the time.
    """

    def __init__(self) -> None:
        self._seen_ms: dict[str, list[float]] = {}
        self._answered_ms: dict[str, float] = {}

    def record_crash(self, news: CrashReport, now_ms: float) -> None:
        """Counts one crash against a suspect."""
        if self.is_trusted(news.fingerprint, now_ms):
            return
        known = news.fingerprint in self._seen_ms
        if not known and len(self._seen_ms) >= MAX_FINGERPRINTS:
            oldest = min(self._seen_ms, key=lambda key: self._seen_ms[key][-1])
            del self._seen_ms[oldest]
        crashes = self._seen_ms.setdefault(news.fingerprint, [])
        crashes.append(now_ms)
        del crashes[:-CRASHES_TO_REFUSE]

    def record_answer(self, fingerprint: str, now_ms: float) -> None:
        """Notes that a worker answered a request, and drops its suspicion."""
        self._seen_ms.pop(fingerprint, None)
        self._answered_ms.pop(fingerprint, None)
        self._answered_ms[fingerprint] = now_ms
        if len(self._answered_ms) > MAX_FINGERPRINTS:
            del self._answered_ms[next(iter(self._answered_ms))]

    def is_trusted(self, fingerprint: str, now_ms: float) -> bool:
        """Tells whether a worker has answered a request shortly before."""
        answered_ms = self._answered_ms.get(fingerprint)
        return answered_ms is not None and now_ms - answered_ms < TRUST_MS

    def is_refused(self, fingerprint: str, now_ms: float) -> bool:
        """Tells whether a request is refused for now."""
        since_ms = now_ms - QUARANTINE_MS
        recent = [at for at in self._seen_ms.get(fingerprint, ()) if at > since_ms]
        return len(recent) >= CRASHES_TO_REFUSE
