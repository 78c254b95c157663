"""Callers of a simulated fleet: open-loop arrivals, request mixes and resends."""

import dataclasses
import random
import typing as t

from cactushook import ERROR_RESPONSES
from cactushook import Ran

from . import serving_events as events
from .serving_world import World

RESEND_DELAY_MS = 100.0
MAX_RESENDS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request in a mix.

    Attributes:
        path: request path.
        share: share of all arrivals, 0 to 1.
        work_ms: service time at a warm worker.
        method: HTTP method; a ``POST`` carries a key.
        chunks: number of chunks of the answer.
    """

    path: str
    share: float
    work_ms: float
    method: str = "GET"
    chunks: int = 1


PADDLEWORKS = (
    RequestKind("/catalogue", 0.60, 20.0),
    RequestKind("/carving-status", 0.28, 20.0),
    RequestKind("/commissions", 0.08, 30.0, "POST"),
    RequestKind("/deposits", 0.04, 20.0, "POST"),
)
KALNINS = (
    RequestKind("/reports", 0.90, 20.0),
    RequestKind("/repair-orders", 0.10, 30.0, "POST"),
)


class Callers:
    """Sends requests at a fixed mean rate in an open loop.

    A keyed request that fails with an unknown outcome is sent again with the same key,
    through a newly chosen entry.

    Args:
        world: the simulated fleet.
        kinds: the mix of requests.
        rate_per_s: mean arrivals per second.
        seed: seed of arrivals and of the choice of entries.
    """

    def __init__(
        self, world: World, kinds: t.Sequence[RequestKind], rate_per_s: float, seed: int
    ) -> None:
        self._world = world
        self._kinds = kinds
        self._weights = [kind.share for kind in kinds]
        self._mean_gap_ms = 1_000 / rate_per_s
        self._rng = random.Random(seed)
        self._key_count = 0
        self._until_ms = 0.0

    def start(self, until_ms: float) -> None:
        """Starts sending requests, up to a time."""
        self._until_ms = until_ms
        self._send_next()

    def send(self, kind: RequestKind) -> None:
        """Sends one request."""
        if kind.method == "GET":
            path, work_ms, chunks = kind.path, kind.work_ms, kind.chunks
            self._world.send_request(self._choose_entry(), path, work_ms, chunks=chunks)
            return
        self._key_count += 1
        key = f"key-{self._key_count}"
        self._send_keyed(kind, key, self._world.epoch_ms, MAX_RESENDS)

    def _send_next(self) -> None:
        world = self._world
        if world.now_ms > self._until_ms:
            return
        (kind,) = self._rng.choices(self._kinds, self._weights)
        self.send(kind)
        world.schedule(self._rng.expovariate(1 / self._mean_gap_ms), self._send_next)

    def _send_keyed(
        self, kind: RequestKind, key: str, issued_ms: float, resends_left: int
    ) -> None:
        def on_end(event: events.Answered | events.Failed) -> None:
            if (
                isinstance(event, events.Failed)
                and resends_left
                and _should_resend(event)
            ):
                arguments = (kind, key, issued_ms, resends_left - 1)
                self._world.schedule(RESEND_DELAY_MS, self._send_keyed, *arguments)

        self._world.send_request(
            self._choose_entry(),
            kind.path,
            kind.work_ms,
            key=key,
            method=kind.method,
            key_epoch_ms=issued_ms,
            on_end=on_end,
        )

    def _choose_entry(self) -> str:
        live = [
            name
            for name, node in self._world.nodes.items()
            if node.is_accepting_callers
        ]
        return self._rng.choice(live or list(self._world.nodes))


def _should_resend(event: events.Failed) -> bool:
    return ERROR_RESPONSES[event.kind].ran is Ran.MAYBE
