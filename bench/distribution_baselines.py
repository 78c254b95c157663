"""Baseline without distribution between nodes: every node watches the platform."""

import random

from cactushook.readers import SOURCE_CALLS_PER_S

from . import target_fleet

CHANGES = 16
VALUES_PER_CHANGE = 3
SOURCE_DELAY_MS = (4.0, 10.0)
CHANGE_PERIOD_MS = target_fleet.DAY_S / target_fleet.CHANGES_PER_DAY * 1_000


def watch_all(count: int, seed: int) -> str:
    """Returns the table row of a fleet in which every node watches and reads by itself.

    The platform serves all calls from one queue in the order of arrival, at most
    `SOURCE_CALLS_PER_S` a second. Each change causes one answered watch and
    `VALUES_PER_CHANGE` value reads at every node. The calls of a change arrive at
    random times within `SOURCE_DELAY_MS`; each call at a multiple of
    `VALUES_PER_CHANGE` + 1 in the queue counts as the one that completes a node.
    """
    rng = random.Random(seed)
    free_ms = 0.0
    delays_s: list[float] = []
    calls_by_s: dict[int, int] = {}
    for index in range(CHANGES):
        published_ms = index * CHANGE_PERIOD_MS
        arrivals = sorted(
            published_ms + rng.uniform(*SOURCE_DELAY_MS)
            for _ in range(count * (VALUES_PER_CHANGE + 1))
        )
        for order, arrival_ms in enumerate(arrivals):
            second = int(arrival_ms // 1_000)
            calls_by_s[second] = calls_by_s.get(second, 0) + 1
            free_ms = max(free_ms, arrival_ms) + 1_000 / SOURCE_CALLS_PER_S
            if order % (VALUES_PER_CHANGE + 1) == VALUES_PER_CHANGE:
                delays_s.append((free_ms - published_ms) / 1_000)
    ordered = sorted(delays_s)
    mean = sum(calls_by_s.values()) / (CHANGES * CHANGE_PERIOD_MS / 1_000)
    return (
        f"| steady | every node watches | {count} | {CHANGES} "
        f"| {ordered[len(ordered) // 2]:.2f} / {ordered[int(len(ordered) * 0.99)]:.2f} "
        f"/ {ordered[-1]:.2f} | {sum(d > 4 for d in delays_s)} of {len(delays_s)} "
        f"| - | wanted {mean:.0f} / {max(calls_by_s.values())} | - | - | - | - |"
    )
