"""The central object of a node: settings, clock, blackboard and shared parts."""

import dataclasses
import math
import pathlib
import random
import time

import msgspec
import trio
from cactushook import ConfigError
from cactushook import EMPTY_SNAPSHOT
from cactushook import HostRecord
from cactushook import Membership
from cactushook import Slot
from cactushook import Snapshot
from cactushook import TimerService
from cactushook import VersionStore
from cactushook.calls import Listing
from cactushook.confirmation import Confirmation
from cactushook.fleet import CallerLimits
from cactushook.lag import LagMeter
from cactushook.pacing import Pacer
from cactushook.silence import SilentPeers

from . import logs
from .headers import load_header_names
from .logs import EventLog
from .metrics import Metrics
from .settings import EdgeLimits
from .settings import read_settings
from .settings import Settings

TICK_MS = 50
SETTINGS_PERIOD_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Readiness:
    """Whether the node accepts requests, and the reason."""

    ready: bool
    reason: str


class Board:
    """The blackboard; exactly one controller of a node writes each slot.

    Attributes:
        snapshot: configuration in force; written by distribution, or by replication if
            the node has an adapter.
        readiness: whether the node accepts requests; written by the node.
        leaving: whether the node is shutting down; written by the node.
        serving_ends_ms: time by which all requests of a node that shuts down must
            have ended, infinite before; written by the node.
        host_list_read: whether the platform's host list has been read once;
            written by distribution.
        caller_limits: the configuration's limits on what callers may send; None while
            the limits of the settings apply; written by replication.
        listing: how the platform lists the backend server; written by replication.
        source_reachable: whether the platform answered the last call; written by the
            platform's client. With an adapter: whether a reader of the store is up to
            date; written by replication. None while unknown.
    """

    def __init__(self) -> None:
        self.snapshot: Slot[Snapshot] = Slot("snapshot", EMPTY_SNAPSHOT)
        self.readiness: Slot[Readiness] = Slot(
            "readiness", Readiness(False, "starting")
        )
        self.leaving: Slot[bool] = Slot("leaving", False)
        self.serving_ends_ms: Slot[float] = Slot("serving_ends_ms", math.inf)
        self.host_list_read: Slot[bool] = Slot("host_list_read", False)
        self.caller_limits: Slot[CallerLimits | None] = Slot("caller_limits", None)
        self.listing: Slot[Listing | None] = Slot("listing", None)
        self.source_reachable: Slot[bool | None] = Slot("source_reachable", None)


class Environment:
    """Holds the settings, the clocks and the objects that all parts of a node share.

    Args:
        settings: the node's settings.
        settings_file: the file that holds them, read again on reload; None disables
            reloading.
    """

    def __init__(
        self, settings: Settings, settings_file: pathlib.Path | None = None
    ) -> None:
        self.settings = settings
        self.headers = load_header_names(
            settings.headers, settings.worker.instance_header
        )
        self.started_epoch_ms = time.time() * 1_000
        self.rng = random.Random(settings.seed or None)
        self.metrics = Metrics()
        self.log = EventLog(host=settings.host, domain=settings.domain)
        self.board = Board()
        self.board.snapshot.watch(self._add_version_to_log)
        self._edge_limits: EdgeLimits | None = None
        self.board.caller_limits.watch(self._reset_edge_limits)
        self.timers = TimerService(self.now_ms(), on_error=self._on_timer_error)
        self._settings_file = settings_file
        if settings_file is not None:
            # Not known: the file may have changed since the settings were read.
            self._settings_mtime_ns: int | None = None
            self.timers.every(SETTINGS_PERIOD_MS, self._check_settings_file)
        self.pacer = Pacer(settings.link_mbps)
        self.silent_peers = SilentPeers()
        self.lag = LagMeter()
        self.store = VersionStore()
        self.confirmation = Confirmation(settings.confirmation_max_age_ms)
        self.membership = Membership(self._make_own_record())

    @property
    def edge_limits(self) -> EdgeLimits:
        """Limits on what callers and peers may send.

        Limits of the configuration override those of the settings.
        """
        if self._edge_limits is None:
            overrides = self.board.caller_limits.value
            limits = self.settings.limits
            if overrides is not None:
                limits = msgspec.structs.replace(
                    limits,
                    header_bytes=overrides.header_bytes,
                    body_bytes=overrides.body_bytes,
                    slow_caller_timeout_ms=overrides.slow_timeout_ms,
                    idle_timeout_ms=overrides.idle_timeout_ms,
                )
            self._edge_limits = limits
        return self._edge_limits

    def _reset_edge_limits(self, limits: CallerLimits | None) -> None:
        self._edge_limits = None

    def reload_settings(self, cause: str) -> None:
        """Reads the settings file again; an invalid file changes nothing.

        The log level takes effect at once. Fields that a component copies when it
        starts, such as addresses and periods, take effect at the next start.
        """
        if self._settings_file is None:
            return
        try:
            settings = read_settings(self._settings_file)
        except ConfigError as error:
            self.log.warning("settings_refused", cause=cause, reason=str(error))
            return
        old, self.settings = self.settings, settings
        logs.set_level(settings.log.level)
        fields = [
            name
            for name in settings.__struct_fields__
            if getattr(old, name) != getattr(settings, name)
        ]
        self.log.info("settings_read", cause=cause, changed=fields)

    def _check_settings_file(self, now_ms: float) -> None:
        """Reloads the settings if the file's modification time has changed."""
        if self._settings_file is None:
            return
        try:
            mtime_ns = self._settings_file.stat().st_mtime_ns
        except OSError as error:
            self.log.debug("settings_unreadable", reason=repr(error))
            return
        if mtime_ns != self._settings_mtime_ns:
            self._settings_mtime_ns = mtime_ns
            self.reload_settings("file")

    def now_ms(self) -> float:
        """Returns monotonic time in milliseconds, including time suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1_000

    def epoch_ms(self) -> float:
        """Returns the system clock in milliseconds since the epoch."""
        return time.time() * 1_000

    async def run_timers(self) -> None:
        """Drives the timer service until cancelled."""
        while True:
            due_s = trio.current_time() + TICK_MS / 1_000
            await trio.sleep_until(due_s)
            self.lag.record((trio.current_time() - due_s) * 1_000)
            self.metrics.lag.set(self.lag.lag_ms / 1_000)
            self.timers.advance(self.now_ms())

    def mark_peer_silent(self, address: str) -> None:
        """Records that a node did not respond; others get its requests meanwhile."""
        if self.silent_peers.mark_silent(address, self.now_ms()):
            self.metrics.silent_peers.set(len(self.silent_peers))
            self.log.info("peer_not_responding", address=address)

    def mark_peer_responding(self, address: str) -> None:
        """Records a sign of life of a node."""
        if self.silent_peers.mark_responding(address):
            self.metrics.silent_peers.set(len(self.silent_peers))
            self.log.info("peer_responding", address=address)

    def record_failure(self, place: str, error: Exception) -> None:
        """Counts and logs an unexpected error."""
        self.metrics.handler_failures.labels(place).inc()
        self.log.warning("unexpected_error", place=place, reason=repr(error))

    def _on_timer_error(self, error: Exception) -> None:
        self.record_failure("timer", error)

    def _add_version_to_log(self, snapshot: Snapshot) -> None:
        self.log.add_shared_fields(version=snapshot.head.version)

    def _make_own_record(self) -> HostRecord:
        settings = self.settings
        return HostRecord(
            name=settings.host,
            address=settings.node_listen,
            domain=settings.domain,
            region=settings.region,
            service=settings.service,
            incarnation=int(self.started_epoch_ms),
        )
