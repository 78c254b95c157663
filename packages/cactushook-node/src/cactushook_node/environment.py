"""The central object of a node: settings, clock, blackboard and shared parts."""

import dataclasses
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
from cactushook.fleet import CallerLimits
from cactushook.pacing import Pacer

from . import logs
from .headers import header_names
from .logs import EventLog
from .metrics import Metrics
from .settings import EdgeLimits
from .settings import read_settings
from .settings import Settings

TICK_MS = 50
SETTINGS_PERIOD_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Readiness:
    """Whether the node takes work, and why not."""

    ready: bool
    reason: str


class Board:
    """The blackboard: each slot has a single writing controller.

    Attributes:
        snapshot: configuration in force; written by distribution.
        readiness: whether the node takes work; written by lifecycle.
        leaving: whether the node is shutting down; written by lifecycle.
        host_list_read: whether the platform's host list has been read once;
            written by distribution.
        caller_limits: what callers may send, as the configuration says; None while
            the settings' limits hold; written by replication.
        listing: how the platform lists the backend server; written by replication.
        source_reachable: whether the platform answered the last call; None before
            the first; written by the platform's client.
    """

    def __init__(self) -> None:
        self.snapshot: Slot[Snapshot] = Slot("snapshot", EMPTY_SNAPSHOT)
        self.readiness: Slot[Readiness] = Slot(
            "readiness", Readiness(False, "starting")
        )
        self.leaving: Slot[bool] = Slot("leaving", False)
        self.host_list_read: Slot[bool] = Slot("host_list_read", False)
        self.caller_limits: Slot[CallerLimits | None] = Slot("caller_limits", None)
        self.listing: Slot[Listing | None] = Slot("listing", None)
        self.source_reachable: Slot[bool | None] = Slot("source_reachable", None)


class Environment:
    """Carries the settings and ties the parts of a node together.

    Args:
        settings: the node's settings.
        settings_file: where they were read, to read them again.
    """

    def __init__(
        self, settings: Settings, settings_file: pathlib.Path | None = None
    ) -> None:
        self.settings = settings
        self.headers = header_names(settings.headers, settings.worker.instance_header)
        self.started_epoch_ms = time.time() * 1_000
        self.rng = random.Random(settings.seed or None)
        self.metrics = Metrics()
        self.log = EventLog(host=settings.host, domain=settings.domain)
        self.board = Board()
        self.board.snapshot.watch(self._share_version)
        self._edge_limits: EdgeLimits | None = None
        self.board.caller_limits.watch(self._forget_limits)
        self.timers = TimerService(self.now_ms())
        self._settings_file = settings_file
        if settings_file is not None:
            self._settings_changed_ns = settings_file.stat().st_mtime_ns
            self.timers.every(SETTINGS_PERIOD_MS, self._watch_settings)
        self.pacer = Pacer(settings.link_mbps)
        self.store = VersionStore()
        self.membership = Membership(self._own_record())

    @property
    def edge_limits(self) -> EdgeLimits:
        """What callers may send: the settings, as far as no configuration tells."""
        if self._edge_limits is None:
            told = self.board.caller_limits.value
            limits = self.settings.limits
            if told is not None:
                limits = msgspec.structs.replace(
                    limits,
                    header_bytes=told.header_bytes,
                    body_bytes=told.body_bytes,
                    slow_caller_timeout_ms=told.slow_timeout_ms,
                    idle_timeout_ms=told.idle_timeout_ms,
                )
            self._edge_limits = limits
        return self._edge_limits

    def _forget_limits(self, limits: CallerLimits | None) -> None:
        self._edge_limits = None

    def reload_settings(self, cause: str) -> None:
        """Reads the settings file again; one that is not valid changes nothing.

        Peers and the log's level follow at once, the rest with the next start.
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

    def _watch_settings(self, now_ms: float) -> None:
        """Reads settings that changed without a signal."""
        if self._settings_file is None:
            return
        try:
            changed_ns = self._settings_file.stat().st_mtime_ns
        except OSError as error:
            self.log.debug("settings_unreadable", reason=repr(error))
            return
        if changed_ns != self._settings_changed_ns:
            self._settings_changed_ns = changed_ns
            self.reload_settings("file")

    def now_ms(self) -> float:
        """Returns a steady clock in milliseconds that also counts suspensions."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1_000

    def epoch_ms(self) -> float:
        """Returns milliseconds since the epoch."""
        return time.time() * 1_000

    async def run_timers(self) -> None:
        """Drives the timer service until cancelled."""
        while True:
            await trio.sleep(TICK_MS / 1_000)
            self.timers.advance(self.now_ms())

    def _share_version(self, snapshot: Snapshot) -> None:
        self.log.add_shared_fields(version=snapshot.head.version)

    def _own_record(self) -> HostRecord:
        settings = self.settings
        return HostRecord(
            name=settings.host,
            address=settings.node_listen,
            domain=settings.domain,
            region=settings.region,
            service=settings.service,
            incarnation=int(self.started_epoch_ms),
        )
