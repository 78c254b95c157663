"""Measures service while a failure domain goes out and returns.

Compares the library with two baselines. Simulates the Paddleworks example in virtual
time at 70% of the order desk's capacity.
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
from .serving_world import HostGroup
from .serving_world import Policy
from .serving_world import World

CONFIG = "examples/paddleworks"
REGION = "th-central"
HOST_GROUPS = (
    HostGroup("order-desk", "th-central-a", REGION, 3),
    HostGroup("order-desk", "th-central-b", REGION, 2),
    HostGroup("order-desk", "th-central-c", REGION, 2),
    HostGroup("workshop-files", "th-central-a", REGION, 1),
    HostGroup("workshop-files", "th-central-b", REGION, 1),
    HostGroup("workshop-files", "th-central-c", REGION, 1),
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
    """Chooses the workers of a service in turn, regardless of their load."""

    def __init__(
        self, domain: str, region: str, rng: random.Random, own: str = ""
    ) -> None:
        super().__init__(domain, region, rng, own)
        self._turn = itertools.count(rng.randrange(1_000))

    def choose(  # noqa: D102
        self,
        service,
        snapshot,
        hosts,
        now_ms,
        tried=(),
        expects_large_answer=False,
    ):
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

    def spend(self, kind: ErrorKind | None = None) -> bool:  # noqa: D102
        return True


POLICIES = {
    "cactushook": Policy(),
    "round robin, no ramp": Policy(router=RoundRobinRouter, ramp=False),
    "retries without budget": Policy(budget=UnlimitedBudget),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Phase:
    """A phase of the run; a request belongs to the phase in which it is sent.

    Attributes:
        name: name in the printed table.
        from_ms: start, included.
        until_ms: end, excluded.
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
class PhaseResult:
    """Results of one phase.

    Attributes:
        phase: name of the phase.
        calls: number of requests sent by callers.
        failed: number of refused requests by error kind.
        quantiles_ms: latency at the median and the 99th and 99.9th percentiles.
        retries: attempts beyond one for each request.
    """

    phase: str
    calls: int
    failed: collections.Counter[ErrorKind]
    quantiles_ms: tuple[float, float, float]
    retries: int


@dataclasses.dataclass(frozen=True, slots=True)
class PolicyResult:
    """Results of one policy.

    Attributes:
        rows: results of each phase.
        duplicates: number of keys that ran more than once.
        lost: number of keys whose caller never received an answer.
        over_slots: starts that exceeded a worker's slots.
        crashes: crashes of backend servers.
        idle_readings: checks that found calls waiting at a gate with idle slots.
    """

    rows: tuple[PhaseResult, ...]
    duplicates: int
    lost: int
    over_slots: int
    crashes: int
    idle_readings: int


def run(policy: Policy) -> PolicyResult:
    """Simulates the departure and the return under one policy."""
    world = World(CONFIG, HOST_GROUPS, SEED, policy)
    mean_work_ms = sum(kind.share * kind.work_ms for kind in PADDLEWORKS)
    workers = sum(group.count for group in HOST_GROUPS if group.service == "order-desk")
    slots = workers * world.limits("order-desk").slots
    rate_per_s = LOAD * slots * 1_000 / mean_work_ms
    callers = Callers(world, PADDLEWORKS, rate_per_s, SEED)
    world.run(WARM_MS)
    callers.start(END_MS)
    domain = DOMAIN.replace("-", "_")
    world.schedule(OUT_MS - WARM_MS, lambda: world.publish(**{domain: "out"}))
    world.schedule(IN_MS - WARM_MS, _return_domain, world, domain)
    world.run(END_MS + 10_000)
    return summarize(world.transcript)


def _return_domain(world: World, domain: str) -> None:
    """Returns the failure domain to service with cold workers, as after a restart."""
    for name, node in world.nodes.items():
        if node.record.domain == DOMAIN:
            world.turn_cold(name)
    world.publish(**{domain: "in"})


def summarize(transcript: t.Sequence[events.Event]) -> PolicyResult:
    """Summarizes a transcript."""
    by_kind: dict[type, list[t.Any]] = collections.defaultdict(list)
    for event in transcript:
        by_kind[type(event)].append(event)
    runs = collections.Counter(e.key for e in by_kind[events.Started] if e.key)
    answered = {e.label for e in by_kind[events.Answered]}
    keys = {e.key for e in by_kind[events.RequestSent] if e.key}
    served = {
        e.key for e in by_kind[events.RequestSent] if e.key and e.label in answered
    }
    return PolicyResult(
        rows=tuple(_summarize_phase(phase, by_kind) for phase in PHASES),
        duplicates=sum(count > 1 for count in runs.values()),
        lost=len(keys - served),
        over_slots=sum(e.running > e.slots for e in by_kind[events.Started]),
        crashes=sum(e.detail.startswith("crash ") for e in by_kind[events.Fault]),
        idle_readings=len(by_kind[events.Waiting]),
    )


def _summarize_phase(phase: Phase, by_kind: dict[type, list[t.Any]]) -> PhaseResult:
    requested_ms = {
        e.label: e.at_ms
        for e in by_kind[events.RequestSent]
        if phase.from_ms <= e.at_ms < phase.until_ms
    }
    latencies_ms = sorted(
        e.at_ms - requested_ms[e.label]
        for e in by_kind[events.Answered]
        if e.label in requested_ms
    )
    failed = collections.Counter(
        e.kind for e in by_kind[events.Failed] if e.label in requested_ms
    )
    attempts = sum(e.label in requested_ms for e in by_kind[events.AttemptSent])
    quantiles = tuple(_quantile(latencies_ms, q) for q in (0.5, 0.99, 0.999))
    return PhaseResult(
        phase.name, len(requested_ms), failed, quantiles, attempts - len(requested_ms)
    )


def _quantile(ordered: t.Sequence[float], share: float) -> float:
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def print_result(name: str, result: PolicyResult) -> None:
    """Prints one policy's results as a table."""
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
        print_result(name, run(policy))


if __name__ == "__main__":
    main()
