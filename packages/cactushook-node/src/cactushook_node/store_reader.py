"""Reads and watches the platform's store while the node is to do so."""

import typing as t

import trio
from cactushook import ErrorKind
from cactushook import SourceError
from cactushook.replica import Reading

from .adapters import Source
from .environment import Environment

FIRST_BACKOFF_MS = 50.0
# Readers try again soon, since others wait for them; any other node spares the store.
READER_BACKOFF_MS = 800.0
OTHERS_BACKOFF_MS = 3_000.0
# Changes that follow one another closely are taken in with one call.
WATCH_PAUSE_MS = 300.0
# A watch that waits is silent; a probe tells whether its path still works.
PROBE_PERIOD_MS = 400.0
# Time on the host's link from which a reading counts as long.
LONG_READING_MS = 200.0
BYTES_PER_MS_OF_MBPS = 125.0
FRESH_MS = 1_100.0


class StoreReader:
    """Keeps a watch on the store.

    Args:
        environment: the node's central object.
        source: reads the store.
        revision: returns the revision up to which the node knows the store.
        on_reading: takes in what was read.
        on_outage: called when a call fails.
    """

    def __init__(
        self,
        environment: Environment,
        source: Source,
        revision: t.Callable[[], int],
        on_reading: t.Callable[[Reading], None],
        on_outage: t.Callable[[str], None],
    ) -> None:
        self.is_reader = True
        self._environment = environment
        self._source = source
        self._revision = revision
        self._on_reading = on_reading
        self._on_outage = on_outage
        self._reads = False
        self._wanted = trio.Event()
        self._scope = trio.CancelScope()
        self._watching = False
        self._must_read = True
        self._backoff_ms = FIRST_BACKOFF_MS
        self._answered_ms = float("-inf")

    def set_enabled(self, reads: bool) -> None:
        """Starts or stops to watch the store."""
        if reads is self._reads:
            return
        self._reads = reads
        self._environment.log.info("store_reading", reads=reads)
        if reads:
            self._must_read = True
            self._wanted.set()
        else:
            self._wanted = trio.Event()
            self._answered_ms = float("-inf")
            self._scope.cancel()

    def is_fresh(self, now_ms: float) -> bool:
        """Tells whether the store answered a moment ago and has not failed since."""
        return now_ms - self._answered_ms <= FRESH_MS

    def restart(self) -> None:
        """Opens the watch anew."""
        if self._watching:
            self._scope.cancel()

    async def reconnect(self) -> None:
        """Opens new connections, since the open ones may have gone silent."""
        await self._source.close()
        self.restart()

    async def run(self) -> None:
        """Watches until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._probe)
            while True:
                await self._wanted.wait()
                with trio.CancelScope() as self._scope:
                    await self._read_once()

    async def _read_once(self) -> None:
        try:
            reading = await self._reading()
        except SourceError as error:
            await self._failed(error)
            return
        self._answered()
        self._backoff_ms = FIRST_BACKOFF_MS
        self._environment.log.debug(
            "store_read", revision=reading.revision, count=len(reading.items)
        )
        known = self._revision()
        self._on_reading(reading)
        self._must_read = self._is_long(reading) and self._revision() > known
        if reading.items:
            await trio.sleep(WATCH_PAUSE_MS / 1_000)

    def _is_long(self, reading: Reading) -> bool:
        """Tells whether a reading kept the host's link busy for long.

        A watch would then tell of every change in between; a read of all values tells
        of the latest ones alone.
        """
        link_mbps = self._environment.settings.link_mbps
        if link_mbps is None:
            return False
        size_bytes = sum(len(item.value) for item in reading.items)
        return size_bytes / (link_mbps * BYTES_PER_MS_OF_MBPS) > LONG_READING_MS

    async def _reading(self) -> Reading:
        if self._must_read:
            return await self._source.read()
        self._watching = True
        try:
            return await self._source.watch(self._revision())
        finally:
            self._watching = False

    async def _failed(self, error: SourceError) -> None:
        environment = self._environment
        # A watch that broke off may have missed changes that were forgotten since.
        self._must_read = True
        if error.kind is ErrorKind.SOURCE_HISTORY_LOST:
            environment.log.warning("store_history_lost", reason=error.message)
            return
        environment.log.debug("source_failed", reason=str(error))
        self._answered_ms = float("-inf")
        self._on_outage(error.message)
        await trio.sleep(self._backoff_ms * environment.rng.uniform(0.5, 1) / 1_000)
        most_ms = READER_BACKOFF_MS if self.is_reader else OTHERS_BACKOFF_MS
        self._backoff_ms = min(most_ms, 2 * self._backoff_ms)

    async def _probe(self) -> None:
        """Finds out that the path of an open watch does not work any more."""
        while True:
            await trio.sleep(PROBE_PERIOD_MS / 1_000)
            if not self._watching:
                continue
            try:
                await self._source.probe()
            except SourceError as error:
                self._probe_failed(error)
            else:
                self._answered()

    def _probe_failed(self, error: SourceError) -> None:
        if not self._watching:
            return
        self._must_read = True
        self._answered_ms = float("-inf")
        self._on_outage(error.message)
        self._scope.cancel()

    def _answered(self) -> None:
        self._answered_ms = self._environment.now_ms()
