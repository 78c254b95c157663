"""Learns up to how many concurrent requests a worker's throughput grows.

The logarithm of a request's latency is fitted against that of the mean number of
requests that ran beside it. Up to a knee, latency does not depend on that number;
beyond it, latency grows with a power of the number. With a power of one, all further
requests only share the throughput. Only requests of one kind that ended within one
short span of time are compared, so neither a change of the mix nor a time in which the
worker is slow as a whole is taken for the effect of concurrency.
"""

import collections
import dataclasses
import itertools
import math
import statistics
import typing as t

# Requests are compared if they ended within one span of this length.
SPAN_MS = 10_000.0
MAX_SPANS = 12
MAX_SPAN_SAMPLES = 150
# Evidence older than this is dropped, so that a larger limit is tried again.
MAX_AGE_MS = 120_000.0
FIT_PERIOD_MS = 2_000.0
MIN_SAMPLES = 60
# From this exponent of the latency on, the throughput counts as not growing.
FLAT_POWER = 0.65
# The exponent must exceed this many of its standard errors.
MIN_ERRORS = 3.0
# Logarithms of latencies are clipped to this distance from their group's median, so
# that single slow answers do not determine the fit.
MAX_DEVIATION = 1.2
# A later knee is preferred if its squared residuals exceed the least by no more than
# this multiple of the variance, since a limit that is too low wastes throughput.
KNEE_TOLERANCE = 2.0
MAX_KNEES = 12
# No limit is set below this share of the slots.
FLOOR_SHARE = 1 / 2
EXPLORE_PERIOD_MS = 5_000.0
# Changes by this share of the slots are logged, at most one in a period.
REPORTED_CHANGE = 0.25
REPORT_PERIOD_MS = 10_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """One answered request.

    Attributes:
        kind: requests of one kind do similar work.
        span: number of the span of time in which it ended.
        running: mean number of requests at the worker while it ran, itself included.
        log_ms: natural logarithm of its latency in milliseconds.
    """

    kind: str
    span: int
    running: float
    log_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Fit:
    """How latency depends on the number of running requests.

    Attributes:
        knee: number up to which latency does not depend on it.
        power: latency grows with this power of the number beyond the knee.
        error: standard error of the power.
    """

    knee: int
    power: float
    error: float

    @property
    def is_flat(self) -> bool:
        """Whether throughput does not grow beyond the knee."""
        return (
            self.power - self.error > FLAT_POWER
            and self.power > MIN_ERRORS * self.error
        )


@dataclasses.dataclass(slots=True)
class _Candidate:
    knee: int
    power: float
    error: float
    squares: float
    variance: float


def fit_knee(samples: t.Iterable[Sample], floor: int, slots: int) -> Fit | None:
    """Fits latency against the number of running requests.

    Args:
        samples: answered requests.
        floor: least knee that is considered.
        slots: the worker's slots.

    Returns:
        The fit, or None if the samples do not differ enough.
    """
    groups = _group(samples)
    count = sum(len(group) for _, group in groups)
    freedom = count - len(groups) - 1
    if count < MIN_SAMPLES or freedom < MIN_SAMPLES / 2:
        return None
    step = max(1, math.ceil((slots - floor) / MAX_KNEES))
    fits = [_fit(groups, knee, freedom) for knee in range(floor, slots, step)]
    candidates = [fit for fit in fits if fit is not None]
    if not candidates:
        return None
    best = min(candidates, key=lambda item: item.squares)
    most = best.squares + KNEE_TOLERANCE * best.variance
    chosen = max(
        (item for item in candidates if item.squares <= most),
        key=lambda item: item.knee,
    )
    return Fit(chosen.knee, chosen.power, chosen.error)


_Group: t.TypeAlias = list[tuple[float, float]]


def _group(samples: t.Iterable[Sample]) -> list[tuple[int, _Group]]:
    """Returns spans with running requests and latency's deviation, by kind and span."""
    by_key: dict[tuple[str, int], list[Sample]] = collections.defaultdict(list)
    for sample in samples:
        by_key[sample.kind, sample.span].append(sample)
    groups: list[tuple[int, _Group]] = []
    for (_, span), items in by_key.items():
        median = statistics.median(item.log_ms for item in items)
        limited = [
            min(MAX_DEVIATION, max(-MAX_DEVIATION, item.log_ms - median))
            for item in items
        ]
        mean = statistics.fmean(limited)
        pairs = [
            (item.running, y - mean) for item, y in zip(items, limited, strict=True)
        ]
        groups.append((span, pairs))
    return groups


def _fit(
    groups: t.Sequence[tuple[int, _Group]], knee: int, freedom: int
) -> _Candidate | None:
    xx_by_span: dict[int, float] = collections.defaultdict(float)
    xy_by_span: dict[int, float] = collections.defaultdict(float)
    yy = 0.0
    for span, pairs in groups:
        xs = [math.log(max(1.0, running / knee)) for running, _ in pairs]
        mean = statistics.fmean(xs)
        for x, (_, y) in zip(xs, pairs, strict=True):
            xx_by_span[span] += (x - mean) ** 2
            xy_by_span[span] += (x - mean) * y
            yy += y * y
    xx, xy = sum(xx_by_span.values()), sum(xy_by_span.values())
    if xx <= 0:
        return None
    power = xy / xx
    # Rounding makes the squares of a perfect fit negative.
    squares = max(0.0, yy - xy * power)
    variance = squares / freedom
    return _Candidate(
        knee,
        min(power, _median_power(xx_by_span, xy_by_span)),
        math.sqrt(variance / xx),
        squares,
        variance,
    )


def _median_power(
    xx_by_span: t.Mapping[int, float], xy_by_span: t.Mapping[int, float]
) -> float:
    """Returns the weighted median of the spans' powers.

    The pooled power is high if the worker turned slow within a few spans, since
    requests pile up while it is slow.
    """
    powers = sorted(
        (xy_by_span[span] / xx, xx) for span, xx in xx_by_span.items() if xx > 0
    )
    half = sum(weight for _, weight in powers) / 2
    sums = itertools.accumulate(weight for _, weight in powers)
    return next(
        power for (power, _), total in zip(powers, sums, strict=True) if total >= half
    )


@dataclasses.dataclass(slots=True)
class _Run:
    kind: str
    started_ms: float
    area: float


class ConcurrencyLimit:
    """Limits a worker's concurrent requests to those that add to its throughput.

    Without evidence that throughput does not grow, the limit is the worker's slots.

    Args:
        slots: the worker's slots.
        now_ms: the time.
    """

    def __init__(self, slots: int, now_ms: float) -> None:
        self._slots = slots
        self._runs: dict[str, _Run] = {}
        # Integral of the number of running requests over time.
        self._area = 0.0
        self._area_ms = now_ms
        self._spans: dict[int, list[Sample]] = {}
        self.reset(now_ms)

    def reset(self, now_ms: float) -> None:
        """Discards what was learned, since the worker restarted or was replaced.

        Requests that still run give no sample.
        """
        self._spans.clear()
        for run in self._runs.values():
            run.kind = ""
        self._limit = self._slots
        self._fitted_ms = now_ms
        self._changed_ms = now_ms

    @property
    def sample_count(self) -> int:
        """Answers that the limit is learned from."""
        return sum(len(span) for span in self._spans.values())

    def resize(self, slots: int, now_ms: float) -> None:
        """Applies a change of the worker's slots."""
        if slots != self._slots:
            self._slots = slots
            self.reset(now_ms)

    @property
    def limit(self) -> int:
        """How many requests may run at once."""
        return self._limit

    def on_admitted(self, request_id: str, kind: str, now_ms: float) -> None:
        """Records that a request was sent to the worker.

        A request without a kind gives no sample.
        """
        self._advance(now_ms)
        self._runs[request_id] = _Run(kind, now_ms, self._area)

    def on_ended(self, request_id: str, answered: bool, now_ms: float) -> None:
        """Records that a request ended; only answers tell about the worker."""
        self._advance(now_ms)
        run = self._runs.pop(request_id, None)
        if run is None:
            return
        took_ms = now_ms - run.started_ms
        if answered and run.kind and took_ms > 0:
            running = (self._area - run.area) / took_ms
            self._record(run.kind, running, took_ms, now_ms)
        if now_ms - self._fitted_ms >= FIT_PERIOD_MS:
            self._fitted_ms = now_ms
            self._update(now_ms)

    @property
    def _floor(self) -> int:
        return max(1, math.ceil(self._slots * FLOOR_SHARE))

    def _record(self, kind: str, running: float, took_ms: float, now_ms: float) -> None:
        number = int(now_ms // SPAN_MS)
        span = self._spans.setdefault(number, [])
        if len(span) < MAX_SPAN_SAMPLES:
            span.append(Sample(kind, number, running, math.log(took_ms)))
        if len(span) == 1:
            self._drop_spans(number)

    def _drop_spans(self, current: int) -> None:
        """Drops old spans, and of more than `MAX_SPANS` the least telling one."""
        oldest = current - MAX_AGE_MS // SPAN_MS
        self._spans = {n: span for n, span in self._spans.items() if n >= oldest}
        if len(self._spans) > MAX_SPANS:
            earlier = [number for number in self._spans if number != current]
            del self._spans[min(earlier, key=lambda n: self._contrast(self._spans[n]))]

    def _contrast(self, span: t.Sequence[Sample]) -> float:
        xs = [math.log(max(1.0, sample.running / self._floor)) for sample in span]
        mean = statistics.fmean(xs)
        return sum((x - mean) ** 2 for x in xs)

    def _advance(self, now_ms: float) -> None:
        self._area += len(self._runs) * (now_ms - self._area_ms)
        self._area_ms = now_ms

    def _update(self, now_ms: float) -> None:
        samples = [sample for span in self._spans.values() for sample in span]
        fit = fit_knee(samples, self._floor, self._slots)
        if fit is not None and fit.is_flat:
            self._limit = fit.knee
            self._changed_ms = now_ms
        elif self._limit < self._slots:
            self._explore_upwards(now_ms)

    def _explore_upwards(self, now_ms: float) -> None:
        if now_ms - self._changed_ms >= EXPLORE_PERIOD_MS:
            self._limit += 1
            self._changed_ms = now_ms


class LimitReports:
    """Decides which changes of the limit are logged."""

    def __init__(self) -> None:
        self._reported_limit: int | None = None
        self._reported_ms = -math.inf

    def take(self, limit: int, slots: int, now_ms: float) -> int | None:
        """Returns the limit reported last if the change is to be reported now."""
        if self._reported_limit is None:
            self._reported_limit = limit
        change = abs(limit - self._reported_limit)
        is_small = change < max(1, slots * REPORTED_CHANGE)
        if is_small or now_ms - self._reported_ms < REPORT_PERIOD_MS:
            return None
        previous, self._reported_limit = self._reported_limit, limit
        self._reported_ms = now_ms
        return previous


__all__ = ["ConcurrencyLimit", "Fit", "LimitReports", "Sample", "fit_knee"]
