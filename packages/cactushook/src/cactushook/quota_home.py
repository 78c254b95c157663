"""The home of workspaces' quotas: when it serves, and its answers to entries."""

import dataclasses
import math
import typing as t

from .quota_bounds import LEASE_MS
from .quota_bounds import QuotaBounds
from .quota_bucket import BucketLimits
from .quota_bucket import QuotaBucket
from .quota_messages import LeaseGrant
from .quota_messages import LeaseRequest
from .quota_messages import TokenGrant
from .quota_messages import TokenRequest
from .workspaces import Workspace

# A new home grants nothing for this long, since an earlier home may still have leases
# out and learn of the change of the host list later than the new one.
HOLD_MS = 3_000.0
# How long a node that is no longer the home tells the next one that it has stopped.
HANDOVER_MS = 1_000.0
MAX_ENTRIES = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Position:
    incarnation: int = -1
    sequence: int = -1
    ended_incarnation: int = -2


class QuotaHome:
    """Answers entries' requests for the workspaces whose home this node is.

    Args:
        bounds: the bound's parameters.
    """

    def __init__(self, bounds: QuotaBounds) -> None:
        self._bounds = bounds
        self._buckets: dict[str, QuotaBucket] = {}
        self._starts_ms: dict[str, float] = {}
        self._ended_ms: dict[str, float] = {}
        self._awaited: dict[str, set[str]] = {}
        self._positions: dict[str, _Position] = {}

    def is_serving(self, name: str, now_ms: float) -> bool:
        """Returns whether the node grants tokens of a workspace."""
        return now_ms >= self._starts_ms.get(name, math.inf)

    def update(self, homes: t.Collection[str], now_ms: float) -> tuple[str, ...]:
        """Sets the workspaces whose home this node is; returns the new ones."""
        for name in self._starts_ms.keys() - set(homes):
            if self.is_serving(name, now_ms):
                self._ended_ms[name] = now_ms
            del self._starts_ms[name]
            self._awaited.pop(name, None)
            self._buckets.pop(name, None)
        gained = tuple(name for name in homes if name not in self._starts_ms)
        for name in gained:
            self._starts_ms[name] = now_ms + HOLD_MS
        return gained

    def hold(self, now_ms: float) -> None:
        """Stops granting tokens for as long as a new home does.

        After a pause of the process, another host may be the home already.
        """
        for name in self._starts_ms:
            self._starts_ms[name] = now_ms + HOLD_MS
        self._awaited.clear()
        self._buckets.clear()

    def yield_to_other(
        self, names: t.Collection[str], now_ms: float
    ) -> tuple[str, ...]:
        """Stops granting tokens because another node is the home now.

        Returns:
            The workspaces that this node served until now or a moment ago; for these
            the other node need not wait for an earlier home. Each is named only once.
        """
        served = tuple(name for name in names if self._end(name, now_ms))
        for name in names:
            self._awaited.pop(name, None)
            if name in self._starts_ms:
                self._starts_ms[name] = now_ms + HOLD_MS
            self._buckets.pop(name, None)
        return served

    def _end(self, name: str, now_ms: float) -> bool:
        ended_ms = self._ended_ms.pop(name, -math.inf)
        return self.is_serving(name, now_ms) or now_ms - ended_ms < HANDOVER_MS

    def await_others(self, names: t.Iterable[str], hosts: t.Collection[str]) -> None:
        """Records the hosts that are asked to stop granting tokens of workspaces."""
        for name in names:
            self._awaited[name] = set(hosts)

    def confirm(
        self, host: str, names: t.Iterable[str], served: t.Iterable[str], now_ms: float
    ) -> None:
        """Records that a host has stopped granting tokens of workspaces.

        Once the earlier home is among those that did, or all hosts have confirmed, only
        the last leases need to end.

        Args:
            host: the host.
            names: the workspaces.
            served: those of them that it served until a moment ago.
            now_ms: the time.
        """
        ended = set(served)
        for name in names:
            awaited = self._awaited.get(name, set())
            if host in awaited:
                awaited.discard(host)
                if not awaited:
                    ended.add(name)
        for name in ended & self._starts_ms.keys():
            self._starts_ms[name] = min(self._starts_ms[name], now_ms + LEASE_MS)

    def answer(
        self,
        request: LeaseRequest,
        workspaces: t.Mapping[str, Workspace],
        share: float,
        now_ms: float,
    ) -> LeaseGrant | None:
        """Returns the answer to a request; None for a duplicate or late one.

        Args:
            request: the entry's request.
            workspaces: workspaces of the configuration in force.
            share: share of the known fleet that can reach this node, 0 to 1.
            now_ms: the time, monotonic.
        """
        if not self._is_next(request):
            return None
        grants = tuple(
            self._answer_one(
                request.entry, request.sequence, item, workspaces, share, now_ms
            )
            for item in request.requests
        )
        return LeaseGrant(request.incarnation, request.sequence, grants)

    def _is_next(self, request: LeaseRequest) -> bool:
        """Records a request's position; returns False if it is not a later one."""
        known = self._positions.pop(request.entry, _Position())
        is_same = request.incarnation == known.incarnation
        is_late = request.incarnation == known.ended_incarnation
        if is_late or (is_same and request.sequence <= known.sequence):
            self._positions[request.entry] = known
            return False
        if len(self._positions) >= MAX_ENTRIES:
            self._positions.pop(next(iter(self._positions)))
        ended = known.ended_incarnation if is_same else known.incarnation
        self._positions[request.entry] = _Position(
            request.incarnation, request.sequence, ended
        )
        return True

    def _answer_one(
        self,
        entry: str,
        sequence: int,
        request: TokenRequest,
        workspaces: t.Mapping[str, Workspace],
        share: float,
        now_ms: float,
    ) -> TokenGrant:
        name = request.workspace
        workspace = workspaces.get(name)
        if workspace is None or not self.is_serving(name, now_ms):
            return TokenGrant(name, 0, 0, is_serving=False)
        bounds = self._bounds
        limits = BucketLimits(
            workspace.rate_per_s * share,
            bounds.capacity(workspace) * share,
            bounds.late_tokens(workspace) * share,
            bounds.window_ms,
        )
        if limits.rate_per_s <= 0 or limits.capacity < 1:
            # The bucket is empty when the home may grant tokens again.
            self._buckets[name] = QuotaBucket(now_ms)
            return TokenGrant(name, 0, 0, is_serving=False)
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = self._buckets[name] = QuotaBucket(self._starts_ms[name])
        bucket.advance(limits, now_ms)
        return bucket.answer(entry, sequence, request)


__all__ = ["HOLD_MS", "QuotaHome"]
