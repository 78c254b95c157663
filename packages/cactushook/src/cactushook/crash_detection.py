"""Finds crashes of a worker, and the requests that may have caused them."""

import typing as t

from .calls import Call
from .calls import Listing
from .crashes import CrashReport
from .crashes import CrashTable
from .nodes import HostRecord
from .worker_listing import WorkerListing
from .worker_losses import LISTING_LAG_MS
from .worker_losses import WorkerLosses


class CrashDetector:
    """Counts each crash against its suspects, once.

    Args:
        own: the host of the worker.
        crashes: counts the crashes.
        listing: how the platform lists the worker.
        losses: the requests that ended without an answer.
    """

    def __init__(
        self,
        own: HostRecord,
        crashes: CrashTable,
        listing: WorkerListing,
        losses: WorkerLosses,
    ) -> None:
        self._own = own
        self._crashes = crashes
        self._listing = listing
        self._losses = losses
        self._instance = b""
        self._counted_ids: frozenset[str] = frozenset()

    def on_worker_down(
        self, running: t.Sequence[Call], now_ms: float
    ) -> tuple[CrashReport, ...]:
        """Reports a crash, since the worker accepts no connections.

        Requests that it lost shortly before, requests that still run and requests that
        it may still run after they were abandoned may have crashed it.
        """
        self._listing.mark_down()
        return self._report_crash(running, now_ms)

    def on_listing(self, listing: Listing, now_ms: float) -> tuple[CrashReport, ...]:
        """Reports a crash that no request noticed, if a new listing shows one."""
        if not self._listing.shows_crash(listing):
            return ()
        suspects = self._losses.take_suspects(now_ms, LISTING_LAG_MS)
        return self._report_suspects(suspects, now_ms)

    def on_loss(
        self, call: Call, running: t.Sequence[Call], now_ms: float
    ) -> tuple[CrashReport, ...] | None:
        """Reports a crash because a worker that is not listed lost a request.

        Returns:
            None if the request was lost in a crash that is counted already.
        """
        if call.request_id in self._counted_ids:
            return None
        self._counted_ids = frozenset(item.request_id for item in running)
        return self._report_crash(running, now_ms)

    def on_answer(
        self, instance: bytes, now_ms: float
    ) -> tuple[CrashReport, ...] | None:
        """Records which instance answered, and reports the crash of the one before.

        Returns:
            None if it is the instance that answered before, or no other one is known.
        """
        known = self._instance
        if not instance or instance == known:
            return None
        self._instance = instance
        if not known:
            return None
        if self._listing.is_required:
            return ()
        return self._report_suspects(self._losses.take_suspects(now_ms), now_ms)

    def _report_crash(
        self, running: t.Sequence[Call], now_ms: float
    ) -> tuple[CrashReport, ...]:
        suspects = [*self._losses.take_suspects(now_ms), *running]
        return self._report_suspects(suspects, now_ms)

    def _report_suspects(
        self, suspects: t.Iterable[Call], now_ms: float
    ) -> tuple[CrashReport, ...]:
        service, host = self._listing.service, self._own.name
        return self._crashes.report(service, host, suspects, now_ms)


__all__ = ["CrashDetector"]
