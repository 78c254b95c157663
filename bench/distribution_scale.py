"""Distribution in virtual time with the real decision code, at the letter's rates.

Run: ``python -m bench.distribution_scale NODES SCENARIO [VARIANT]``. Without
arguments a small fleet runs every scenario and variant. `SEED` seeds delays, nodes
and faults. Nodes share equal host views, assembled versions and values, which the
library's caches allow; each has a distributor, gossip, transfers and timers of its
own. All nodes start warm: every host known, version 1 in force.
"""

import collections
import contextlib
import dataclasses
import random
import sys
import time
import typing as t
import unittest.mock

import msgspec
from cactushook import gossip
from cactushook import Membership
from cactushook import messages
from cactushook.membership import DomainView
from cactushook.readers import FleetHint

from . import distribution_baselines as baselines
from . import letter_size
from .distribution_events import SourceMode
from .distribution_world import NodeState
from .distribution_world import size_bytes
from .distribution_world import World

SEED = 1
SETTLE_S = 10
WINDOW_S = 60
CHANGE_PERIOD_S = letter_size.DAY_S / letter_size.CHANGES_PER_DAY
RESTART_PERIOD_S = letter_size.DAY_S / letter_size.RESTARTS_PER_DAY
RESTART_DOWN_S = 2.0
DEAD_SHARE = 0.1
CUT_S = 30
OUTAGE_S = 60
HEAL_WINDOW_S = 20
TARGET_S = 4.0
UNIFORM_SHARE = 1 / letter_size.DOMAINS


@dataclasses.dataclass(frozen=True, slots=True)
class Published:
    """A change and the moment of its publication."""

    version: int
    at_ms: float


class MeasuredWorld(World):
    """A world that also counts bytes by distance and by kind of message."""

    def __init__(self, count: int) -> None:
        hint = FleetHint(hosts=max(count, 1), domains=letter_size.DOMAINS)
        listed = (
            msgspec.structs.replace(host, incarnation=0)
            for host in letter_size.hosts(count)
        )
        super().__init__(listed, SEED, hint=hint)
        self.bytes_by_kind: collections.Counter[str] = collections.Counter()
        self.bytes_across_regions = 0
        self.publications: list[Published] = []
        self.rng = random.Random(SEED)
        self._version = 1

    def warm_start(self) -> None:
        """Starts every node with the whole host list and version 1 in force."""
        publication = letter_size.publication(1)
        self.list_hosts()
        self.publish(publication)
        records = [
            msgspec.structs.replace(state.record, incarnation=1)
            for state in self.nodes.values()
        ]
        shared = Membership(records[0], self._views)
        shared.merge_all(records)
        change = messages.Change(publication.head, tuple(publication.values.values()))
        for name, state in self.nodes.items():
            self.start(name)
            self._warm(state, shared, change)

    def change(self) -> None:
        """Publishes a version in which one more service differs."""
        self._version += 1
        changed = {self._version % letter_size.SERVICES}
        self.publications.append(Published(self._version, self.now_ms))
        self.publish(letter_size.publication(self._version, changed=changed))

    def restart(self, name: str) -> None:
        """Kills a node and starts it again with three peers from its settings."""
        others = [state for state in self.running() if state.record.name != name]
        peers = [state.record.address for state in self.rng.sample(others, 3)]
        self.kill(name)
        delay_ms = RESTART_DOWN_S * 1_000
        self.after(delay_ms, lambda: self.start(name, peers))

    def _warm(
        self, state: NodeState, shared: Membership, change: messages.Change
    ) -> None:
        state.membership._views = dict(shared._views)
        state.distributor._list_pulled = True
        state.distributor._announced = True
        state.distributor.on_message(shared.own.address, change, self.now_ms)
        state.applied.append((change.head.version, self.now_ms))

    def _transmit(
        self,
        state: NodeState,
        receiver: NodeState,
        message: messages.ControlMessage,
        delay_ms: float,
    ) -> None:
        size = size_bytes(message)
        self.bytes_by_kind[type(message).__name__] += size
        if state.record.region != receiver.record.region:
            self.bytes_across_regions += size
        super()._transmit(state, receiver, message, delay_ms)


def steady(world: MeasuredWorld) -> float:
    """Changes and restarts at the letter's rates."""
    plan_changes(world, WINDOW_S)
    plan_restarts(world, WINDOW_S)
    return WINDOW_S


def dead_hosts(world: MeasuredWorld) -> float:
    """A tenth of the hosts die unannounced as the changes begin."""
    names = world.rng.sample(sorted(world.nodes), int(len(world.nodes) * DEAD_SHARE))
    for name in names:
        world.kill(name)
    plan_changes(world, WINDOW_S)
    return WINDOW_S


def region_cut(world: MeasuredWorld) -> float:
    """One region is cut off, the platform on the other side, and healed."""
    world.split([(), ("region-1",)], [0])
    plan_changes(world, CUT_S)
    world.after(CUT_S * 1_000, world.heal)
    world.after(CUT_S * 1_000 + 1, world.change)
    return CUT_S + HEAL_WINDOW_S


def domain_restart(world: MeasuredWorld) -> float:
    """All nodes of a failure domain start again within a second."""
    domain = letter_size.domain_name(0)
    for name, state in world.nodes.items():
        if state.record.domain == domain:
            delay_ms = world.rng.uniform(0, 1_000)
            world.after(delay_ms, lambda name=name: world.restart(name))
    plan_changes(world, WINDOW_S)
    return WINDOW_S


def source_outage(world: MeasuredWorld) -> float:
    """The platform is down for a while; a change waits when it is back."""
    world.source.mode = SourceMode.DOWN

    def back() -> None:
        world.source.mode = SourceMode.UP
        world.change()

    world.after(OUTAGE_S * 1_000, back)
    return OUTAGE_S + HEAL_WINDOW_S


SCENARIOS: dict[str, t.Callable[[MeasuredWorld], float]] = {
    scenario.__name__: scenario
    for scenario in (steady, dead_hosts, region_cut, domain_restart, source_outage)
}


def plan_changes(world: MeasuredWorld, seconds: float) -> None:
    """Plans changes at the letter's rate, with time left for the last one."""
    for index in range(int((seconds - TARGET_S) / CHANGE_PERIOD_S)):
        world.after((index * CHANGE_PERIOD_S + 0.5) * 1_000, world.change)


def plan_restarts(world: MeasuredWorld, seconds: float) -> None:
    """Plans restarts at the whole fleet's rate, whatever the fleet's size."""
    for index in range(int(seconds / RESTART_PERIOD_S)):
        name = world.rng.choice(sorted(world.nodes))
        delay_ms = (index + 0.5) * RESTART_PERIOD_S * 1_000
        world.after(delay_ms, lambda name=name: world.restart(name))


@contextlib.contextmanager
def variant(name: str) -> t.Iterator[None]:
    """Replaces one decision of the library by a baseline's."""
    match name:
        case "current":
            patches = []
        case "fixed_tree":
            order = DomainView.relay_order
            patches = [
                unittest.mock.patch.object(
                    DomainView, "relay_order", lambda view, version: order(view, 0)
                ),
                unittest.mock.patch.object(
                    gossip.Gossip, "schedule_pull", lambda *args, **kwargs: None
                ),
            ]
        case "gossip_alone":
            patches = [
                unittest.mock.patch("cactushook.relays.children", lambda *args: ())
            ]
        case "uniform_peers":
            patches = [
                unittest.mock.patch.object(gossip, "OWN_DOMAIN_SHARE", UNIFORM_SHARE)
            ]
        case "own_domain_only":
            patches = [unittest.mock.patch.object(gossip, "OWN_DOMAIN_SHARE", 1.0)]
        case _:
            raise SystemExit(f"variant {name!r} does not exist")
    with contextlib.ExitStack() as stack:
        for patch in patches:
            stack.enter_context(patch)
        yield


VARIANTS = ("current", "fixed_tree", "gossip_alone", "uniform_peers")


def run(count: int, scenario: str, variant_name: str) -> None:
    """Runs one scenario and prints its row."""
    started_s = time.monotonic()
    with variant(variant_name):
        world = MeasuredWorld(count)
        world.warm_start()
        world.run_for(SETTLE_S * 1_000)
        before = _bytes(world)
        boots = {name: state.boot for name, state in world.nodes.items()}
        world.bytes_by_kind.clear()
        world.bytes_across_regions = 0
        from_s = int(world.now_ms // 1_000)
        window_s = SCENARIOS[scenario](world)
        world.run_for(window_s * 1_000)
    delays = convergence_s(world)
    used = [
        (after - before.get(name, 0)) / window_s
        for name, after in _bytes(world).items()
    ]
    stayed = [
        (state.bytes_sent + state.bytes_received - before[name]) / window_s
        for name, state in world.nodes.items()
        if state.running and state.boot == boots[name]
    ]
    calls = [
        world.source.calls_by_s[second]
        for second in range(from_s, int(world.now_ms // 1_000))
    ]
    newest = world.publications[-1].version
    behind = sum(state.version < newest for state in world.running())
    kinds = ", ".join(
        f"{kind} {size / window_s / count:.0f}"
        for kind, size in world.bytes_by_kind.most_common(5)
    )
    print(
        f"| {scenario} | {variant_name} | {count} | {len(world.publications)} "
        f"| {quantiles(delays)} | {sum(d > TARGET_S for d in delays)} of {len(delays)} "
        f"| {behind} | {sum(calls) / len(calls):.0f} / {max(calls)} "
        f"| {sum(used) / len(used):.0f} / {max(stayed):.0f} / {max(used):.0f} "
        f"| {world.bytes_across_regions / window_s / count:.0f} | {kinds} "
        f"| {time.monotonic() - started_s:.0f} |",
        flush=True,
    )


def convergence_s(world: MeasuredWorld) -> list[float]:
    """Returns the delay of each change at each node that ran when it was published.

    A node that is not there at the end of the run counts with the time until then.
    """
    delays: list[float] = []
    for state in world.running():
        for published in world.publications:
            if not state.applied or state.applied[0][1] > published.at_ms:
                continue
            reached = (
                at_ms
                for version, at_ms in state.applied
                if version >= published.version
            )
            at_ms = next(reached, world.now_ms)
            delays.append((at_ms - published.at_ms) / 1_000)
    return delays


def quantiles(values: t.Sequence[float]) -> str:
    """Returns median, 99th percentile and largest value."""
    ordered = sorted(values)
    if not ordered:
        return "-"
    p99 = ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))]
    return f"{ordered[len(ordered) // 2]:.2f} / {p99:.2f} / {ordered[-1]:.2f}"


def _bytes(world: MeasuredWorld) -> dict[str, int]:
    return {
        name: state.bytes_sent + state.bytes_received
        for name, state in world.nodes.items()
    }


HEADER = (
    "| scenario | variant | nodes | changes | in force s, p50 / p99 / max | over 4 s "
    "| behind at end | source calls/s, mean / worst | control B/s per node, mean / "
    "worst that stayed / worst | across regions B/s per node | by kind, sent B/s per "
    "node | took s |"
)


def main(arguments: t.Sequence[str] = ()) -> None:
    """Runs one scenario, or all of them with a small fleet."""
    if arguments:
        count, scenario, *rest = arguments
        if scenario == "watch_all":
            print(baselines.watch_all(int(count), SEED))
            return
        run(int(count), scenario, rest[0] if rest else "current")
        return
    print(f"seed {SEED}\n{HEADER}\n{'| --- ' * HEADER.count(' | ')}| --- |")
    for scenario in SCENARIOS:
        run(100, scenario, "current")
    for name in VARIANTS[1:]:
        run(100, "steady", name)
    print(baselines.watch_all(100, SEED))


if __name__ == "__main__":
    main(sys.argv[1:])
