"""Service while a failure domain leaves and returns, against two baselines.

The Paddleworks example in virtual time at 70% of the order desk's capacity.
Run: ``make bench`` or ``python -m bench.run departure``.
"""

import collections
import dataclasses
import itertools
import random
import typing as t

from cactushook import ERROR_RESPONSES
from cactushook import ErrorKind
from cactushook import HostState
from cactushook import Ran
from cactushook import RetryBudget
from cactushook import Router
from cactushook.routing import Choice

from . import serving_events as events
from .serving_callers import Callers
from .serving_callers import PADDLEWORKS
from .serving_world import Place
from .serving_world import Policy
from .serving_world import World

CONFIG = "examples/paddleworks"
REGION = "th-central"
PLACES = (
    Place("order-desk", "th-central-a", REGION, 3),
    Place("order-desk", "th-central-b", REGION, 2),
    Place("order-desk", "th-central-c", REGION, 2),
    Place("workshop-files", "th-central-a", REGION, 1),
    Place("workshop-files", "th-central-b", REGION, 1),
    Place("workshop-files", "th-central-c", REGION, 1),
)
DOMAIN = "th-central-b"
LOAD = 0.7
SEED = 11
WARM_MS = 12_000.0
MEASURE_MS = 14_000.0
OUT_MS = 24_000.0
IN_MS = 39_000.0
END_MS = 59_000.0
RECOVERY_MS = 5_000.0


class RoundRobinRouter(Router):
    """Takes the workers of a service in turn, whatever their load."""

    def __init__(self, domain: str, region: str, rng: random.Random) -> None:
        super().__init__(domain, region, rng)
        self._turn = itertools.count(rng.randrange(1_000))

    def choose(self, service, snapshot, hosts, now_ms, tried=()):  # noqa: D102
        usable = [
            host
            for host in hosts
            if host.service == service
            and host.state is HostState.LIVE
            and not snapshot.is_out(host.domain)
            and host.name not in tried
        ]
        if not usable:
            return Choice(None)
        return Choice(usable[next(self._turn) % len(usable)])


class UnlimitedBudget(RetryBudget):
    """Allows every retry."""

    def spend(self) -> bool:  # noqa: D102
        return True


POLICIES = {
    "cactushook": Policy(),
    "round robin, no ramp": Policy(router=RoundRobinRouter, ramp=False),
    "retries without budget": Policy(budget=UnlimitedBudget),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Phase:
    """A part of the run, by time of asking.

    Attributes:
        name: shown in the table.
        from_ms: first moment.
        until_ms: end, not included.
    """

    name: str
    from_ms: float
    until_ms: float


PHASES = (
    Phase("before", MEASURE_MS, OUT_MS),
    Phase("first 5 s out", OUT_MS, OUT_MS + RECOVERY_MS),
    Phase("rest out", OUT_MS + RECOVERY_MS, IN_MS),
    Phase("first 5 s back", IN_MS, IN_MS + RECOVERY_MS),
    Phase("after", IN_MS + RECOVERY_MS, END_MS),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """What one phase showed.

    Attributes:
        phase: which phase.
        calls: requests asked.
        failed: requests that ended in a refusal.
        quantiles_ms: latency at the median, 99 and 99.9 in 100.
        retries: sends beyond the first of each request.
    """

    phase: str
    calls: int
    failed: collections.Counter[ErrorKind]
    quantiles_ms: tuple[float, float, float]
    retries: int


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What one policy showed.

    Attributes:
        rows: one for each phase.
        duplicates: keys that ran more than once.
        lost: keys that a caller never got an answer for.
        over_slots: starts above a worker's slots.
        crashes: backend servers that fell over.
        idle_readings: readings of a gate with waiting calls and idle slots.
    """

    rows: tuple[Row, ...]
    duplicates: int
    lost: int
    over_slots: int
    crashes: int
    idle_readings: int


def run(policy: Policy) -> Result:
    """Runs the departure and return under one policy."""
    world = World(CONFIG, PLACES, SEED, policy)
    mean_work_ms = sum(kind.share * kind.work_ms for kind in PADDLEWORKS)
    workers = sum(p.count for p in PLACES if p.service == "order-desk")
    slots = workers * world.limits("order-desk").slots
    rate_per_s = LOAD * slots * 1_000 / mean_work_ms
    callers = Callers(world, PADDLEWORKS, rate_per_s, SEED)
    world.run(WARM_MS)
    callers.start(END_MS)
    domain = DOMAIN.replace("-", "_")
    world.at(OUT_MS - WARM_MS, lambda: world.publish(**{domain: "out"}))
    world.at(IN_MS - WARM_MS, _bring_back, world, domain)
    world.run(END_MS + 10_000)
    return read(world.transcript)


def _bring_back(world: World, domain: str) -> None:
    """Brings the failure domain back with workers that were restarted meanwhile."""
    for name, node in world.nodes.items():
        if node.record.domain == DOMAIN:
            world.turn_cold(name)
    world.publish(**{domain: "in"})


def read(transcript: t.Sequence[events.Event]) -> Result:
    """Sums up a transcript."""
    by_kind: dict[type, list[t.Any]] = collections.defaultdict(list)
    for event in transcript:
        by_kind[type(event)].append(event)
    runs = collections.Counter(e.key for e in by_kind[events.Started] if e.key)
    answered = {e.label for e in by_kind[events.Answered]}
    keys = {e.key for e in by_kind[events.Asked] if e.key}
    served = {e.key for e in by_kind[events.Asked] if e.key and e.label in answered}
    return Result(
        rows=tuple(_row(phase, by_kind) for phase in PHASES),
        duplicates=sum(count > 1 for count in runs.values()),
        lost=len(keys - served),
        over_slots=sum(e.running > e.slots for e in by_kind[events.Started]),
        crashes=sum(e.what.startswith("crash ") for e in by_kind[events.Fault]),
        idle_readings=len(by_kind[events.Waiting]),
    )


def _row(phase: Phase, by_kind: dict[type, list[t.Any]]) -> Row:
    asked_ms = {
        e.label: e.at_ms
        for e in by_kind[events.Asked]
        if phase.from_ms <= e.at_ms < phase.until_ms
    }
    latencies_ms = sorted(
        e.at_ms - asked_ms[e.label]
        for e in by_kind[events.Answered]
        if e.label in asked_ms
    )
    failed = collections.Counter(
        e.kind for e in by_kind[events.Failed] if e.label in asked_ms
    )
    sent = sum(e.label in asked_ms for e in by_kind[events.Sent])
    quantiles = tuple(_quantile(latencies_ms, q) for q in (0.5, 0.99, 0.999))
    return Row(phase.name, len(asked_ms), failed, quantiles, sent - len(asked_ms))


def _quantile(ordered: t.Sequence[float], share: float) -> float:
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def report(name: str, result: Result) -> None:
    """Prints one policy's result as a table."""
    print(f"\n### {name}\n")
    print("| phase | calls | failed | p50 ms | p99 ms | p99.9 ms | retries |")
    print("|---|---|---|---|---|---|---|")
    for row in result.rows:
        failed = ", ".join(f"{n} {k.value}" for k, n in row.failed.most_common())
        p50_ms, p99_ms, p999_ms = row.quantiles_ms
        print(
            f"| {row.phase} | {row.calls} | {failed or 0} | {p50_ms:.1f} | "
            f"{p99_ms:.1f} | {p999_ms:.1f} | {row.retries} |"
        )
    maybe = sum(
        count
        for row in result.rows
        for kind, count in row.failed.items()
        if ERROR_RESPONSES[kind].ran is Ran.MAYBE
    )
    print(
        f"\nkeys run twice {result.duplicates}, keys without an answer {result.lost}, "
        f"refusals that leave the outcome open {maybe}, starts above slots "
        f"{result.over_slots}, backend servers that fell over {result.crashes}, "
        f"readings with an idle slot while a call waits {result.idle_readings}"
    )


def main() -> None:
    """Runs every policy and prints the results."""
    print(f"seed {SEED}, {LOAD:.0%} of capacity, {DOMAIN} out from {OUT_MS:.0f} ms")
    print(f"to {IN_MS:.0f} ms, virtual time")
    for name, policy in POLICIES.items():
        report(name, run(policy))


if __name__ == "__main__":
    main()
