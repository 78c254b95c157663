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
# Reports that are told to a gate that asks, and to one that does not.
MAX_ANSWERED_REPORTS = 64
MAX_SHARED_REPORTS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """A request that may have crashed a backend server, reported to other gates.

    Attributes:
        service: the service.
        fingerprint: digest of method, path and body.
        host: the host whose backend server crashed.
        variant: digest of the caller and the host that it asked for.
        crash_id: identifies the crash, so that it counts once; empty if not told.
        age_ms: how long before the report the crash was.
    """

    service: str
    fingerprint: str
    host: str
    variant: str = ""
    crash_id: str = ""
    age_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Crash:
    report: CrashReport
    at_ms: float


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
        self._crashes: dict[str, dict[str, list[_Crash]]] = {}
        self._variants_answered_ms = _AnswerTimes()
        self._answered_ms = _AnswerTimes()

    @property
    def suspect_count(self) -> int:
        """How many requests are held to have crashed a worker, by variant."""
        return sum(map(len, self._crashes.values()))

    def record_crash(self, report: CrashReport, now_ms: float) -> bool:
        """Counts one crash against a suspect, unless it is trusted or counted already.

        A report may come again, and late.

        Returns:
            Whether the crash was counted.
        """
        at_ms = now_ms - report.age_ms
        if at_ms <= now_ms - QUARANTINE_MS:
            return False
        if self._is_trusted(report.fingerprint, report.variant, at_ms):
            self.trusted_count += not report.age_ms
            return False
        crashes = self._crashes_of(report)
        if report.crash_id and any(
            crash.report.crash_id == report.crash_id for crash in crashes
        ):
            return False
        counted = _Crash(report, at_ms)
        crashes.append(counted)
        crashes.sort(key=lambda crash: crash.at_ms)
        del crashes[:-CRASHES_TO_REFUSE]
        return counted in crashes

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
        crash_id = f"{host}@{now_ms:.0f}"
        reports = tuple(
            CrashReport(service, fingerprint, host, variant, crash_id)
            for fingerprint, variant in suspects
        )
        for item in reports:
            self.record_crash(item, now_ms)
        return reports

    def known_reports(self, now_ms: float) -> tuple[CrashReport, ...]:
        """Returns the latest reports that count, for a gate that asks."""
        return self._latest_reports(1, MAX_ANSWERED_REPORTS, now_ms)

    def refused_reports(self, now_ms: float) -> tuple[CrashReport, ...]:
        """Returns the latest reports of requests that are refused, for any gate."""
        return self._latest_reports(CRASHES_TO_REFUSE, MAX_SHARED_REPORTS, now_ms)

    def _latest_reports(
        self, least_crashes: int, most: int, now_ms: float
    ) -> tuple[CrashReport, ...]:
        since_ms = now_ms - QUARANTINE_MS
        latest = [
            crash
            for variants in self._crashes.values()
            for crashes in variants.values()
            if len(crashes) >= least_crashes
            for crash in crashes
            if crash.at_ms > since_ms
        ]
        latest.sort(key=lambda crash: crash.at_ms, reverse=True)
        return tuple(
            dataclasses.replace(crash.report, age_ms=now_ms - crash.at_ms)
            for crash in latest[:most]
        )

    def record_answer(self, call: Call, now_ms: float) -> None:
        """Records that a worker answered a request and clears its suspicion."""
        fingerprint, variant = call.fingerprint, call.variant
        self._variants_answered_ms.record((fingerprint, variant), now_ms)
        self._answered_ms.record((fingerprint,), now_ms)
        variants = self._crashes.get(fingerprint, {})
        if variants.pop(variant, None) is None:
            return
        self.cleared_count += 1
        if not variants:
            del self._crashes[fingerprint]

    def is_refused(self, call: Call, now_ms: float) -> bool:
        """Returns whether the request is currently refused."""
        variants = self._crashes.get(call.fingerprint)
        if variants is None:
            return False
        since_ms = now_ms - QUARANTINE_MS
        own = [c for c in variants.get(call.variant, ()) if c.at_ms > since_ms]
        if len(own) >= CRASHES_TO_REFUSE:
            return True
        recent = [found for found in variants.values() if found[-1].at_ms > since_ms]
        return len(recent) >= CRASHES_TO_REFUSE and not self._answered_ms.is_since(
            (call.fingerprint,), since_ms
        )

    def _is_trusted(self, fingerprint: str, variant: str, at_ms: float) -> bool:
        """Returns whether a worker answered the request shortly before, or later."""
        key = (fingerprint, variant)
        return self._variants_answered_ms.is_since(key, at_ms - TRUST_MS)

    def _crashes_of(self, report: CrashReport) -> list[_Crash]:
        """Returns the crashes of a request, which is added if it is not known."""
        table = self._crashes
        if report.fingerprint not in table and len(table) >= MAX_FINGERPRINTS:
            del table[min(table, key=lambda key: _last_ms(table[key]))]
        variants = table.setdefault(report.fingerprint, {})
        if report.variant not in variants and len(variants) >= MAX_VARIANTS:
            del variants[min(variants, key=lambda key: variants[key][-1].at_ms)]
        return variants.setdefault(report.variant, [])


def _last_ms(variants: t.Mapping[str, t.Sequence[_Crash]]) -> float:
    return max(crashes[-1].at_ms for crashes in variants.values())


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
