"""Reads and watches the platform's store while reading is enabled."""

import math
import typing as t

import trio
from cactushook import ErrorKind
from cactushook import SourceError
from cactushook.replica import Position
from cactushook.replica import Reading
from cactushook.tokens import TokenBucket

from .adapters import Source
from .environment import Environment

FIRST_BACKOFF_MS = 50.0
# Upper bounds of the backoff. Readers retry soon, since other nodes depend on them; all
# other nodes retry rarely to spare the store.
READER_MAX_BACKOFF_MS = 800.0
OTHERS_MAX_BACKOFF_MS = 3_000.0
# Pause after a reading with changes; changes in quick succession need only one call.
WATCH_PAUSE_MS = 500.0
# Changes that the first reader reads at once before it pauses. The other readers get
# them from it.
CHANGES_BURST = 5
# A waiting watch receives nothing; a probe checks whether its path still works.
PROBE_PERIOD_MS = 400.0
# A probe on another connection cannot show that a watch would be answered, so after
# this time the store's position is compared with the one that is known. The time grows
# while the store's counter rises without changes.
POSITION_CHECK_MS = 1_000.0
MAX_POSITION_CHECK_MS = 8_000.0
# Share of the configuration's maximum age within which the position is compared.
CHECK_SHARE_OF_MAX_AGE = 0.25
# A watch that receives nothing for this time after a probe showed a change is silent.
DELIVERY_MS = 200.0
# A reading that occupies the host's link for more than this time is long.
LONG_READING_MS = 200.0
BYTES_PER_MS_OF_MBPS = 125.0
FRESH_MS = 1_100.0


class StoreReader:
    """Reads the store and keeps a watch on it while enabled.

    Args:
        environment: the node's central object.
        source: reads the store.
        position: returns the position up to which the node knows the store.
        on_reading: called with each reading; returns whether it changed anything.
        on_outage: called with the reason when a call fails.
    """

    def __init__(
        self,
        environment: Environment,
        source: Source,
        position: t.Callable[[], Position],
        on_reading: t.Callable[[Reading], bool],
        on_outage: t.Callable[[str], None],
    ) -> None:
        self.is_reader = True
        self.is_first_reader = False
        self._environment = environment
        self._source = source
        self._position = position
        self._on_reading = on_reading
        self._on_outage = on_outage
        self._is_enabled = False
        self._enabled_event = trio.Event()
        self._read_scope = trio.CancelScope()
        self._is_watching = False
        self._must_read = True
        self._backoff_ms = FIRST_BACKOFF_MS
        self._last_answer_ms = float("-inf")
        # When the store last confirmed that the known position is its present one.
        self._confirmed_ms = float("-inf")
        max_age_ms = environment.settings.confirmation_max_age_ms or math.inf
        bound_ms = CHECK_SHARE_OF_MAX_AGE * max_age_ms
        self._min_position_check_ms = min(POSITION_CHECK_MS, bound_ms)
        self._max_position_check_ms = min(MAX_POSITION_CHECK_MS, bound_ms)
        self._position_check_ms = self._min_position_check_ms
        self._is_watch_suspected = False
        self._changes = TokenBucket(
            1_000 / WATCH_PAUSE_MS, CHANGES_BURST, environment.now_ms()
        )
        self._synced_ms = float("-inf")

    @property
    def synced_ms(self) -> float:
        """The time up to which all that the store had is known here.

        It is when the call was sent that showed it, since an answer may travel long.
        """
        return self._synced_ms

    def set_enabled(self, enabled: bool) -> None:
        """Starts or stops reading and watching the store."""
        if enabled is self._is_enabled:
            return
        self._is_enabled = enabled
        self._environment.log.info("store_reading", reads=enabled)
        if enabled:
            self._must_read = True
            self._enabled_event.set()
        else:
            self._enabled_event = trio.Event()
            self._last_answer_ms = float("-inf")
            self._read_scope.cancel()

    def is_fresh(self, now_ms: float) -> bool:
        """Returns whether the store answered recently and has not failed since."""
        return now_ms - self._last_answer_ms <= FRESH_MS

    def restart(self) -> None:
        """Restarts the watch if one is open."""
        if self._is_watching:
            self._read_scope.cancel()

    async def reconnect(self) -> None:
        """Replaces the open connections, which may have stopped responding."""
        await self._source.close()
        self.restart()

    async def run(self) -> None:
        """Reads and watches the store while enabled, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_probes)
            while True:
                await self._enabled_event.wait()
                with trio.CancelScope() as self._read_scope:
                    await self._read_once()

    async def _read_once(self) -> None:
        sent_ms = self._environment.now_ms()
        try:
            reading = await self._read_or_watch()
        except SourceError as error:
            await self._handle_failure(error)
            return
        self._record_answer()
        self._backoff_ms = FIRST_BACKOFF_MS
        self._environment.log.debug(
            "store_read", revision=reading.revision, count=len(reading.items)
        )
        known = self._position()
        self._record_confirmation(self._on_reading(reading))
        self._synced_ms = max(self._synced_ms, sent_ms)
        self._must_read = self._is_long(reading) and self._position() > known
        if reading.items:
            await self._pause_after_changes()

    async def _pause_after_changes(self) -> None:
        if not self.is_first_reader:
            await trio.sleep(WATCH_PAUSE_MS / 1_000)
            return
        while not self._changes.take(self._environment.now_ms()):
            wait_ms = self._changes.wait_ms(self._environment.now_ms())
            await trio.sleep(wait_ms / 1_000)

    def _is_long(self, reading: Reading) -> bool:
        """Returns whether a reading kept the host's link busy for long.

        After a long reading, a watch would return every change in between, while a read
        of all values returns only the latest ones.
        """
        link_mbps = self._environment.settings.link_mbps
        if link_mbps is None:
            return False
        size_bytes = sum(len(item.value) for item in reading.items)
        return size_bytes / (link_mbps * BYTES_PER_MS_OF_MBPS) > LONG_READING_MS

    async def _read_or_watch(self) -> Reading:
        if self._must_read:
            return await self._source.read()
        self._is_watching = True
        try:
            return await self._source.watch(self._position())
        finally:
            self._is_watching = False

    async def _handle_failure(self, error: SourceError) -> None:
        environment = self._environment
        # A failed watch may have missed changes that the store has since discarded.
        self._must_read = True
        if error.kind is ErrorKind.SOURCE_HISTORY_LOST:
            environment.log.warning("store_history_lost", reason=error.message)
            return
        environment.log.debug("source_failed", reason=str(error))
        self._last_answer_ms = float("-inf")
        self._on_outage(error.message)
        await trio.sleep(self._backoff_ms * environment.rng.uniform(0.5, 1) / 1_000)
        max_backoff_ms = (
            READER_MAX_BACKOFF_MS if self.is_reader else OTHERS_MAX_BACKOFF_MS
        )
        self._backoff_ms = min(max_backoff_ms, 2 * self._backoff_ms)

    async def _run_probes(self) -> None:
        """Probes the store during a watch to detect one that hears nothing."""
        while True:
            await trio.sleep(PROBE_PERIOD_MS / 1_000)
            if self._is_watching:
                await self._probe()

    async def _probe(self) -> None:
        sent_ms = self._environment.now_ms()
        is_due = sent_ms - self._confirmed_ms >= self._position_check_ms
        try:
            position = await self._source.probe(exact=is_due)
        except SourceError as error:
            self._handle_probe_failure(error)
            return
        self._record_answer()
        if position.era > self._position().era:
            self._read_again()
        elif is_due and position > self._position():
            await self._check_delivery(position)
        elif is_due:
            self._confirmed_ms = sent_ms
            if position.era == self._position().era:
                self._synced_ms = max(self._synced_ms, sent_ms)

    async def _check_delivery(self, position: Position) -> None:
        """Reads all values if the open watch does not deliver what the store has.

        A long answer may still be arriving; it is waited for.
        """
        scope = self._read_scope
        is_arriving = True
        while is_arriving:
            received_bytes = self._source.received_bytes
            await trio.sleep(DELIVERY_MS / 1_000)
            is_same_watch = self._is_watching and self._read_scope is scope
            if not is_same_watch or position <= self._position():
                return
            is_arriving = self._source.received_bytes > received_bytes
            if is_arriving:
                self._record_answer()
        self._environment.log.warning("watch_silent", revision=position.revision)
        self._is_watch_suspected = True
        self._read_again()

    def _record_confirmation(self, changed: bool) -> None:
        """Records a reading, and whether a watch was suspected for good reason."""
        self._confirmed_ms = self._environment.now_ms()
        if changed:
            self._position_check_ms = self._min_position_check_ms
        elif self._is_watch_suspected:
            period_ms = 2 * self._position_check_ms
            self._position_check_ms = min(self._max_position_check_ms, period_ms)
        self._is_watch_suspected = False

    def _handle_probe_failure(self, error: SourceError) -> None:
        if not self._is_watching:
            return
        self._last_answer_ms = float("-inf")
        self._on_outage(error.message)
        self._read_again()

    def _read_again(self) -> None:
        """Ends an open watch and reads all values."""
        if self._is_watching:
            self._must_read = True
            self._read_scope.cancel()

    def _record_answer(self) -> None:
        self._last_answer_ms = self._environment.now_ms()
