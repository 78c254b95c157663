"""Measures distribution in virtual time at the target fleet's rates of change.

Run: ``python -m bench.distribution_scale NODES SCENARIO [VARIANT]``. Without
arguments a fleet of 100 runs every scenario and variant. `SEED` seeds delays, nodes
and faults. The nodes run the library's decision code. They share equal host views,
assembled versions and values through the library's caches; each has its own
distributor, gossip, transfers and timers. All nodes start warm: they know every host
and have version 1 in force.
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
from . import target_fleet
from .distribution_events import SourceMode
from .distribution_world import frame_size_bytes
from .distribution_world import NodeState
from .distribution_world import World

SEED = 1
SETTLE_S = 10
WINDOW_S = 60
CHANGE_PERIOD_S = target_fleet.DAY_S / target_fleet.CHANGES_PER_DAY
RESTART_PERIOD_S = target_fleet.DAY_S / target_fleet.RESTARTS_PER_DAY
RESTART_DOWN_S = 2.0
DEAD_SHARE = 0.1
CUT_S = 30
OUTAGE_S = 60
HEAL_WINDOW_S = 20
TARGET_S = 4.0
UNIFORM_SHARE = 1 / target_fleet.DOMAINS


@dataclasses.dataclass(frozen=True, slots=True)
class PublishedVersion:
    """A published version and the time of its publication."""

    version: int
    at_ms: float


class MeasuredWorld(World):
    """A world that also counts bytes by kind of message and across regions."""

    def __init__(self, count: int) -> None:
        hint = FleetHint(hosts=max(count, 1), domains=target_fleet.DOMAINS)
        listed = (
            msgspec.structs.replace(host, incarnation=0)
            for host in target_fleet.hosts(count)
        )
        super().__init__(listed, SEED, hint=hint)
        self.bytes_by_kind: collections.Counter[str] = collections.Counter()
        self.bytes_across_regions = 0
        self.publications: list[PublishedVersion] = []
        self.rng = random.Random(SEED)
        self._version = 1

    def warm_start(self) -> None:
        """Starts every node with the whole host list and version 1 in force."""
        publication = target_fleet.publication(1)
        self.list_all_hosts()
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
            self._warm_up(state, shared, change)

    def publish_change(self) -> None:
        """Publishes a version that gives one service one slot more than version 1."""
        self._version += 1
        changed = {self._version % target_fleet.SERVICES}
        self.publications.append(PublishedVersion(self._version, self.now_ms))
        self.publish(target_fleet.publication(self._version, changed=changed))

    def restart(self, name: str) -> None:
        """Kills a node and starts it again, its settings naming three peers."""
        others = [state for state in self.running_nodes() if state.record.name != name]
        peers = [state.record.address for state in self.rng.sample(others, 3)]
        self.kill(name)
        delay_ms = RESTART_DOWN_S * 1_000
        self.schedule(delay_ms, lambda: self.start(name, peers))

    def _warm_up(
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
        size = frame_size_bytes(message)
        self.bytes_by_kind[type(message).__name__] += size
        if state.record.region != receiver.record.region:
            self.bytes_across_regions += size
        super()._transmit(state, receiver, message, delay_ms)


def steady(world: MeasuredWorld) -> float:
    """Schedules changes and restarts at the target fleet's rates."""
    schedule_changes(world, WINDOW_S)
    schedule_restarts(world, WINDOW_S)
    return WINDOW_S


def dead_hosts(world: MeasuredWorld) -> float:
    """Kills a tenth of the hosts without warning as the changes begin."""
    names = world.rng.sample(sorted(world.nodes), int(len(world.nodes) * DEAD_SHARE))
    for name in names:
        world.kill(name)
    schedule_changes(world, WINDOW_S)
    return WINDOW_S


def region_cut(world: MeasuredWorld) -> float:
    """Cuts one region off from the platform and the other regions for a time."""
    world.split([(), ("region-1",)], [0])
    schedule_changes(world, CUT_S)
    world.schedule(CUT_S * 1_000, world.heal)
    world.schedule(CUT_S * 1_000 + 1, world.publish_change)
    return CUT_S + HEAL_WINDOW_S


def domain_restart(world: MeasuredWorld) -> float:
    """Kills all nodes of a failure domain within a second and restarts each."""
    domain = target_fleet.domain_name(0)
    for name, state in world.nodes.items():
        if state.record.domain == domain:
            delay_ms = world.rng.uniform(0, 1_000)
            world.schedule(delay_ms, lambda name=name: world.restart(name))
    schedule_changes(world, WINDOW_S)
    return WINDOW_S


def source_outage(world: MeasuredWorld) -> float:
    """Takes the platform down for a time and publishes a change when it returns."""
    world.source.mode = SourceMode.DOWN

    def restore() -> None:
        world.source.mode = SourceMode.UP
        world.publish_change()

    world.schedule(OUTAGE_S * 1_000, restore)
    return OUTAGE_S + HEAL_WINDOW_S


SCENARIOS: dict[str, t.Callable[[MeasuredWorld], float]] = {
    scenario.__name__: scenario
    for scenario in (steady, dead_hosts, region_cut, domain_restart, source_outage)
}


def schedule_changes(world: MeasuredWorld, seconds: float) -> None:
    """Schedules changes at the target rate, with time left for the last one."""
    for index in range(int((seconds - TARGET_S) / CHANGE_PERIOD_S)):
        world.schedule((index * CHANGE_PERIOD_S + 0.5) * 1_000, world.publish_change)


def schedule_restarts(world: MeasuredWorld, seconds: float) -> None:
    """Schedules restarts at the rate of the target fleet, for any number of nodes."""
    for index in range(int(seconds / RESTART_PERIOD_S)):
        name = world.rng.choice(sorted(world.nodes))
        delay_ms = (index + 0.5) * RESTART_PERIOD_S * 1_000
        world.schedule(delay_ms, lambda name=name: world.restart(name))


@contextlib.contextmanager
def apply_variant(name: str) -> t.Iterator[None]:
    """Replaces one decision of the library with that of a baseline."""
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
    with apply_variant(variant_name):
        world = MeasuredWorld(count)
        world.warm_start()
        world.run_for(SETTLE_S * 1_000)
        before = _control_bytes_by_node(world)
        boots = {name: state.boot for name, state in world.nodes.items()}
        world.bytes_by_kind.clear()
        world.bytes_across_regions = 0
        first_second = int(world.now_ms // 1_000)
        window_s = SCENARIOS[scenario](world)
        world.run_for(window_s * 1_000)
    delays = convergence_delays_s(world)
    used = [
        (after - before.get(name, 0)) / window_s
        for name, after in _control_bytes_by_node(world).items()
    ]
    stayed = [
        (state.bytes_sent + state.bytes_received - before[name]) / window_s
        for name, state in world.nodes.items()
        if state.is_running and state.boot == boots[name]
    ]
    calls = [
        world.source.calls_by_s[second]
        for second in range(first_second, int(world.now_ms // 1_000))
    ]
    newest = world.publications[-1].version
    behind = sum(state.version < newest for state in world.running_nodes())
    kinds = ", ".join(
        f"{kind} {size / window_s / count:.0f}"
        for kind, size in world.bytes_by_kind.most_common(5)
    )
    print(
        f"| {scenario} | {variant_name} | {count} | {len(world.publications)} "
        f"| {format_quantiles(delays)} "
        f"| {sum(d > TARGET_S for d in delays)} of {len(delays)} "
        f"| {behind} | {sum(calls) / len(calls):.0f} / {max(calls)} "
        f"| {sum(used) / len(used):.0f} / {max(stayed):.0f} / {max(used):.0f} "
        f"| {world.bytes_across_regions / window_s / count:.0f} | {kinds} "
        f"| {time.monotonic() - started_s:.0f} |",
        flush=True,
    )


def convergence_delays_s(world: MeasuredWorld) -> list[float]:
    """Returns the delay of each change at each node that had applied a version before.

    A node that has not applied the change counts with the time until the end of the
    run. Nodes that do not run at the end are left out.
    """
    delays: list[float] = []
    for state in world.running_nodes():
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


def format_quantiles(values: t.Sequence[float]) -> str:
    """Returns the median, the 99th percentile and the maximum as text."""
    ordered = sorted(values)
    if not ordered:
        return "-"
    p99 = ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))]
    return f"{ordered[len(ordered) // 2]:.2f} / {p99:.2f} / {ordered[-1]:.2f}"


def _control_bytes_by_node(world: MeasuredWorld) -> dict[str, int]:
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
    """Runs one scenario, or all scenarios and variants with 100 nodes."""
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
