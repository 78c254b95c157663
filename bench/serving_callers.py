"""Callers of a simulated fleet: open-loop arrivals, a mix of classes, resends."""

import dataclasses
import random
import typing as t

from cactushook import ERROR_RESPONSES
from cactushook import Ran

from . import serving_events as events
from .serving_world import World

RESEND_MS = 100.0
RESENDS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """One kind of request in the mix.

    Attributes:
        path: request path.
        share: part of all arrivals, 0 to 1.
        work_ms: service time at a warm worker.
        method: HTTP method; a ``POST`` carries a key.
        chunks: parts of the answer.
    """

    path: str
    share: float
    work_ms: float
    method: str = "GET"
    chunks: int = 1


PADDLEWORKS = (
    Kind("/catalogue", 0.60, 20.0),
    Kind("/carving-status", 0.28, 20.0),
    Kind("/commissions", 0.08, 30.0, "POST"),
    Kind("/deposits", 0.04, 20.0, "POST"),
)
KALNINS = (
    Kind("/reports", 0.90, 20.0),
    Kind("/repair-orders", 0.10, 30.0, "POST"),
)


class Callers:
    """Sends requests at a rate, whatever becomes of them.

    A keyed request that ends without an answer is sent again with its key,
    through another entry.

    Args:
        world: the fleet.
        kinds: the mix.
        rate_per_s: arrivals per second.
        seed: seed of arrivals and of the choice of entries.
    """

    def __init__(
        self, world: World, kinds: t.Sequence[Kind], rate_per_s: float, seed: int
    ) -> None:
        self._world = world
        self._kinds = kinds
        self._weights = [kind.share for kind in kinds]
        self._gap_ms = 1_000 / rate_per_s
        self._rng = random.Random(seed)
        self._keys = 0
        self._until_ms = 0.0

    def start(self, until_ms: float) -> None:
        """Sends requests until a time."""
        self._until_ms = until_ms
        self._arrive()

    def send(self, kind: Kind) -> None:
        """Sends one request."""
        if kind.method == "GET":
            path, work_ms, chunks = kind.path, kind.work_ms, kind.chunks
            self._world.ask(self._entry(), path, work_ms, chunks=chunks)
            return
        self._keys += 1
        key = f"key-{self._keys}"
        self._send_keyed(kind, key, self._world.epoch_ms, RESENDS)

    def _arrive(self) -> None:
        world = self._world
        if world.now_ms > self._until_ms:
            return
        (kind,) = self._rng.choices(self._kinds, self._weights)
        self.send(kind)
        world.at(self._rng.expovariate(1 / self._gap_ms), self._arrive)

    def _send_keyed(self, kind: Kind, key: str, issued_ms: float, resends: int) -> None:
        def on_end(event: events.Answered | events.Failed) -> None:
            if isinstance(event, events.Failed) and resends and _may_resend(event):
                again = (kind, key, issued_ms, resends - 1)
                self._world.at(RESEND_MS, self._send_keyed, *again)

        self._world.ask(
            self._entry(),
            kind.path,
            kind.work_ms,
            key=key,
            method=kind.method,
            key_epoch_ms=issued_ms,
            on_end=on_end,
        )

    def _entry(self) -> str:
        live = [name for name, node in self._world.nodes.items() if node.takes_callers]
        return self._rng.choice(live or list(self._world.nodes))


def _may_resend(event: events.Failed) -> bool:
    return ERROR_RESPONSES[event.kind].ran is Ran.MAYBE
