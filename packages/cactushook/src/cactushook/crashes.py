"""Tracks requests that crash backend servers."""

import collections
import dataclasses
import typing as t

from .calls import Call

CRASHES_TO_REFUSE = 2
QUARANTINE_MS = 300_000
TRUST_MS = 10_000
MAX_FINGERPRINTS = 1_000
# Variants of one fingerprint whose crashes are kept.
MAX_VARIANTS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """A request that may have crashed a backend server, reported to other gates.

    Attributes:
        service: the service.
        fingerprint: digest of method, path and body.
        host: the host whose backend server crashed.
        variant: digest of the caller and the host that it asked for.
    """

    service: str
    fingerprint: str
    host: str
    variant: str = ""


class CrashTable:
    """Counts crashes by request and refuses requests that crash repeatedly.

    All requests that ran during a crash are suspects, except those that a worker
    answered shortly before: a request that crashes its worker gets no answer, whereas
    a harmless popular request is answered all the time.

    A worker may treat equal requests of two callers differently. Therefore, crashes and
    answers count for one variant of a fingerprint. A fingerprint of which several
    variants crashed workers and none was answered is refused in all variants.

    Attributes:
        trusted_count: suspects that were not counted, since they were answered before.
        cleared_count: suspects whose crashes were forgotten, since they were answered.
    """

    def __init__(self) -> None:
        self.trusted_count = 0
        self.cleared_count = 0
        self._crashed_ms: dict[str, dict[str, list[float]]] = {}
        self._variants_answered_ms = _AnswerTimes()
        self._answered_ms = _AnswerTimes()

    @property
    def suspect_count(self) -> int:
        """How many requests are held to have crashed a worker, by variant."""
        return sum(map(len, self._crashed_ms.values()))

    def record_crash(self, report: CrashReport, now_ms: float) -> None:
        """Counts one crash against a suspect that is not trusted."""
        if self._is_trusted(report.fingerprint, report.variant, now_ms):
            self.trusted_count += 1
            return
        variants = self._variants_of(report.fingerprint)
        if report.variant not in variants and len(variants) >= MAX_VARIANTS:
            del variants[min(variants, key=lambda key: variants[key][-1])]
        crashes = variants.setdefault(report.variant, [])
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
        requests = dict.fromkeys((call.fingerprint, call.variant) for call in running)
        suspects = [key for key in requests if not self._is_trusted(*key, now_ms)]
        self.trusted_count += len(requests) - len(suspects)
        reports = tuple(
            CrashReport(service, fingerprint, host, variant)
            for fingerprint, variant in suspects
        )
        for item in reports:
            self.record_crash(item, now_ms)
        return reports

    def record_answer(self, call: Call, now_ms: float) -> None:
        """Records that a worker answered a request and clears its suspicion."""
        fingerprint, variant = call.fingerprint, call.variant
        self._variants_answered_ms.record((fingerprint, variant), now_ms)
        self._answered_ms.record((fingerprint,), now_ms)
        variants = self._crashed_ms.get(fingerprint, {})
        if variants.pop(variant, None) is None:
            return
        self.cleared_count += 1
        if not variants:
            del self._crashed_ms[fingerprint]

    def is_refused(self, call: Call, now_ms: float) -> bool:
        """Returns whether the request is currently refused."""
        variants = self._crashed_ms.get(call.fingerprint)
        if variants is None:
            return False
        since_ms = now_ms - QUARANTINE_MS
        own = [at for at in variants.get(call.variant, ()) if at > since_ms]
        if len(own) >= CRASHES_TO_REFUSE:
            return True
        recent = [variant for variant in variants if variants[variant][-1] > since_ms]
        return len(recent) >= CRASHES_TO_REFUSE and not self._answered_ms.is_since(
            (call.fingerprint,), since_ms
        )

    def _is_trusted(self, fingerprint: str, variant: str, now_ms: float) -> bool:
        """Returns whether a worker answered the request shortly before."""
        key = (fingerprint, variant)
        return self._variants_answered_ms.is_since(key, now_ms - TRUST_MS)

    def _variants_of(self, fingerprint: str) -> dict[str, list[float]]:
        """Returns the crashes of a fingerprint, which is added if it is not known."""
        crashed_ms = self._crashed_ms
        if fingerprint not in crashed_ms and len(crashed_ms) >= MAX_FINGERPRINTS:
            del crashed_ms[min(crashed_ms, key=self._last_crash_ms)]
        return crashed_ms.setdefault(fingerprint, {})

    def _last_crash_ms(self, fingerprint: str) -> float:
        return max(times[-1] for times in self._crashed_ms[fingerprint].values())


class _AnswerTimes:
    """When requests were answered last, for those answered most recently."""

    def __init__(self) -> None:
        self._answered_ms: collections.OrderedDict[tuple[str, ...], float] = (
            collections.OrderedDict()
        )

    def record(self, key: tuple[str, ...], now_ms: float) -> None:
        """Records an answer."""
        self._answered_ms[key] = now_ms
        self._answered_ms.move_to_end(key)
        if len(self._answered_ms) > MAX_FINGERPRINTS:
            self._answered_ms.popitem(last=False)

    def is_since(self, key: tuple[str, ...], since_ms: float) -> bool:
        """Returns whether an answer is known that came after a time."""
        answered_ms = self._answered_ms.get(key)
        return answered_ms is not None and answered_ms > since_ms
