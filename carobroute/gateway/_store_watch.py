"""Continuous reading of the configuration and the targets from the store."""

import asyncio
import math
import random
from collections.abc import Callable
from typing import NamedTuple

from returns.result import Failure, Result, Success

from carobroute.domain import TargetEntry
from carobroute.errors import ErrorKind, Fault
from carobroute.gateway._configuration import ActiveConfiguration
from carobroute.gateway._evacuations import REWRITE_MS, Evacuations
from carobroute.gateway._parameters import GatewayParameters
from carobroute.gateway._shared_reads import SharedReads
from carobroute.gateway._targets import DirectoryChange, TargetDirectory
from carobroute.platform import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    FIRST_ERA,
    TARGET_TABLE,
    RowsAnswer,
    RowStore,
    StoredRow,
    decode_configuration,
    decode_target_entry,
    evacuated_data_centre,
)
from carobroute.telemetry import EventLog
from carobroute.utils import Backoff, Clock

# Time in which a gateway that starts hears of its peers; it is not awaited while the
# store has never come back from an older copy.
FIRST_DIGESTS_MS = 700.0
# Interval at which a gateway that follows its peers checks whether it must read.
FOLLOW_CHECK_INTERVAL_MS = 40.0
# Time between calls while rows change that are neither the configuration nor an
# evacuation.
FOREIGN_CHANGE_INTERVAL_MS = 500.0


class DependencyMonitor:
    """Logs when a dependency of the gateway becomes unavailable and available again.

    Parameters
    ----------
    name : str
        Name of the dependency.
    events : EventLog
        Log of the changes.
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "_events", "_failed_since_ms", "_name")

    def __init__(self, *, name: str, events: EventLog, clock: Clock):
        self._name = name
        self._events = events
        self._clock = clock
        self._failed_since_ms: float | None = None

    def note_failure(self, fault: Fault) -> None:
        """Note a failure; only the first in a row is logged."""
        if self._failed_since_ms is None:
            self._failed_since_ms = self._clock.boot_time_ms()
            self._events.event(
                "dependency_lost", level="warning", name=self._name, why=fault.detail
            )

    def note_success(self) -> None:
        """Note a success; it is logged if failures preceded it."""
        if self._failed_since_ms is not None:
            away_ms = self._clock.boot_time_ms() - self._failed_since_ms
            self._failed_since_ms = None
            self._events.event(
                "dependency_found", name=self._name, away_ms=round(away_ms)
            )


class StoredConfiguration(NamedTuple):
    """Number of a configuration, and the store's version at which it was written."""

    number: int = -1
    row_version: int = 0


class ConfigurationWatcher:
    """Keeps the active configuration and the evacuations up to date.

    Parameters
    ----------
    store : RowStore
        The platform's store.
    configuration : ActiveConfiguration
        Configuration to update.
    wait_ms : float
        Maximum duration of one watch.
    parameters : GatewayParameters
        Timeouts and limits.
    events : EventLog
        Log of changes.
    clock : Clock
        Source of time.
    random : random.Random
        Random number generator.
    shared : SharedReads, default=None
        What peers know of the store; None to read all the time.
    on_change : callable, default=None
        Called when another configuration has become active.
    evacuations : Evacuations, default=None
        Evacuations to update; None for ones of its own.

    Notes
    -----
    A watch that ends without a change proves that there was none when it was sent.
    Each watch starts from the version of the last read or change, and not from the
    version that an answer without changes carries, so a change that the store withheld
    from one watch is found by the next. The version of a change of any row counts: the
    store brings changes in order. If that row is none of those known here, the table is
    read as a whole next, in case that the store has withheld another one before it. The
    store may come back from an older copy and give out versions again, so a watch
    across two eras proves nothing.
    """

    __slots__ = (
        "_backoff",
        "_clock",
        "_configuration",
        "_era",
        "_evacuations",
        "_events",
        "_foreign_read_ms",
        "_last_call_ms",
        "_monitor",
        "_on_change",
        "_restored_ms",
        "_row",
        "_shared",
        "_started_ms",
        "_store",
        "_version",
        "_wait_ms",
        "_was_rewritten",
    )

    def __init__(
        self,
        *,
        store: RowStore,
        configuration: ActiveConfiguration,
        wait_ms: float,
        parameters: GatewayParameters,
        events: EventLog,
        clock: Clock,
        random: random.Random,
        shared: SharedReads | None = None,
        on_change: Callable[[], None] | None = None,
        evacuations: Evacuations | None = None,
    ):
        self._shared = shared
        self._on_change = on_change or (lambda: None)
        self._evacuations = evacuations or Evacuations(clock=clock)
        # Boot time of the last reading because of a row that is not known here.
        self._foreign_read_ms = float("-inf")
        self._store = store
        self._configuration = configuration
        self._wait_ms = wait_ms
        self._events = events
        self._clock = clock
        self._version: int | None = None
        # Era of the store that the version belongs to.
        self._era = 0
        # Configuration that the store was last seen to hold.
        self._row = StoredConfiguration()
        # Whether the operator has written in this era, and when the era was noticed.
        self._was_rewritten = True
        self._restored_ms = 0.0
        self._started_ms = clock.boot_time_ms()
        self._last_call_ms = float("-inf")
        self._monitor = DependencyMonitor(
            name="configuration store", events=events, clock=clock
        )
        self._backoff = Backoff(
            random=random,
            min_ms=parameters.store_retry_min_ms,
            max_ms=parameters.store_retry_max_ms,
        )

    async def run(self) -> None:
        """Watch until cancelled."""
        # After an exception, a watch would bring the same change again.
        self._version = None
        while True:
            idle_ms = self._clock.boot_time_ms() - self._last_call_ms
            if self._shared and not self._shared.should_read_configuration(idle_ms):
                # The next call is a read, which is answered at once.
                self._version = None
                await self._clock.sleep_ms(FOLLOW_CHECK_INTERVAL_MS)
                continue
            wait_ms = await self.poll_once()
            if wait_ms:
                await self._clock.sleep_ms(wait_ms)

    async def poll_once(self) -> float:
        """Call the store once, and return the delay before the next call."""
        sent_ms = self._last_call_ms = self._clock.boot_time_ms()
        if self._evacuations.settles_in_ms == 0.0:
            self._version = None
        newest = max(self._configuration.version, self._newest_peer_version)
        answered = await self._read_or_watch()
        if isinstance(answered, Failure):
            return self._note_failure(answered.failure())
        self._monitor.note_success()
        self._backoff.reset()
        answer = answered.unwrap()
        is_read = self._version is None
        if not is_read and answer.era != self._era:
            # A watch that began at a version of another era may miss changes.
            self._version = None
            return 0.0
        if self._must_await_digests(answer):
            return self._backoff.next_ms()
        # The store's time when the call was sent, or somewhat before.
        store_ms = answer.store_ms - (self._clock.boot_time_ms() - sent_ms)
        if self._shared:
            self._shared.reaches_store = True
            self._shared.is_configuration_outdated = False
            self._shared.store_clock.note_answer(
                sent_ms=sent_ms, store_ms=answer.store_ms
            )
        rows = [row for row in answer.rows if row.key == CONFIGURATION_KEY]
        if is_read:
            self._note_read(answer, rows)
        self._apply_evacuations(answer, sent_ms, is_read=is_read)
        is_readable = all([self._apply_row(row, newest) for row in rows])
        if is_read or answer.rows:
            self._version = answer.version
        if is_readable and self._row.number < newest:
            self._note_older_store(is_read)
        elif is_readable:
            self._note_proof(sent_ms, store_ms)
        # One that is not readable is read again like after a failure; the first one
        # is watched for.
        if not is_readable:
            return self._backoff.next_ms()
        if is_read:
            # A reading that is older than a change known here settles nothing.
            is_unsettled = self._evacuations.settles_in_ms == 0.0
            return FOREIGN_CHANGE_INTERVAL_MS if is_unsettled else 0.0
        return self._await_foreign_changes(answer)

    def _await_foreign_changes(self, answer: RowsAnswer) -> float:
        """Return the delay before the next call, if unknown rows have changed.

        Each of their changes would end a watch at once.
        """
        foreign = [
            row
            for row in answer.rows
            if row.key != CONFIGURATION_KEY and evacuated_data_centre(row.key) is None
        ]
        if not foreign:
            return 0.0
        for row in foreign:
            self._events.event(
                "operators_row_unknown",
                table=row.table,
                key=row.key,
                store_version=row.version,
            )
        self._version = None
        now_ms = self._clock.boot_time_ms()
        read_ms = max(now_ms, self._foreign_read_ms + FOREIGN_CHANGE_INTERVAL_MS)
        self._foreign_read_ms = read_ms
        return read_ms - now_ms

    def _apply_evacuations(
        self, answer: RowsAnswer, sent_ms: float, *, is_read: bool
    ) -> None:
        """Apply the rows that ask for evacuations."""
        asked = [
            (row, data_centre)
            for row in answer.rows
            if (data_centre := evacuated_data_centre(row.key)) is not None
        ]
        before = self._evacuations.data_centres
        if is_read:
            names = {name for row, name in asked if not row.removed}
            self._evacuations.apply_reading(answer.era, answer.version, names, sent_ms)
        else:
            for row, name in asked:
                self._evacuations.apply_change(
                    row.version, name, is_evacuated=not row.removed
                )
        if before != self._evacuations.data_centres:
            self._on_change()

    @property
    def _newest_peer_version(self) -> int:
        return self._shared.newest_peer_version if self._shared else -1

    def _must_await_digests(self, answer: RowsAnswer) -> bool:
        """Whether peers may know a newer configuration than a store that came back."""
        waited_ms = self._clock.boot_time_ms() - self._started_ms
        return (
            self._shared is not None
            and self._configuration.table is None
            and answer.era > FIRST_ERA
            and waited_ms < FIRST_DIGESTS_MS
        )

    def _note_read(self, answer: RowsAnswer, rows: list[StoredRow]) -> None:
        """Note that the whole row was read, which shows a new era of the store."""
        if not rows:
            self._row = StoredConfiguration()
        if answer.era == self._era:
            return
        if self._era:
            self._was_rewritten = False
            self._restored_ms = self._clock.boot_time_ms()
        self._era = answer.era

    def _note_older_store(self, is_read: bool) -> None:
        """Note that the store holds an older configuration than a gateway knows."""
        if not is_read:
            # The store may have withheld the change from the watch.
            self._version = None
        elif (
            self._era > FIRST_ERA
            and self._configuration.version < self._newest_peer_version
        ):
            self._configuration.withdraw_proof()

    def _note_proof(self, sent_ms: float, store_ms: float) -> None:
        """Confirm the active configuration, unless the store has just come back.

        The operator may have replaced the configuration of the copy, and not have
        written again yet.
        """
        settled_ms = self._restored_ms + REWRITE_MS
        if not self._was_rewritten and sent_ms < settled_ms:
            if self._clock.boot_time_ms() >= settled_ms:
                # A read gives a newer proof than a watch would.
                self._version = None
        elif self._configuration.table is not None:
            self._configuration.confirm_current(sent_ms, store_ms)

    async def _read_or_watch(self) -> Result[RowsAnswer, Fault]:
        if self._version is None:
            return await self._store.read_all(CONFIGURATION_TABLE)
        wait_ms = self._wait_ms
        if not self._was_rewritten:
            # What is sent before the end of this time proves nothing.
            remaining_ms = self._restored_ms + REWRITE_MS - self._clock.boot_time_ms()
            if remaining_ms > 0:
                wait_ms = min(wait_ms, remaining_ms)
        settles_ms = self._evacuations.settles_in_ms
        if settles_ms:
            wait_ms = min(wait_ms, settles_ms)
        return await self._store.watch(
            CONFIGURATION_TABLE, after=self._version, wait_ms=wait_ms
        )

    def _note_failure(self, fault: Fault) -> float:
        # A read is answered at once, so it gives a newer proof than a watch would.
        self._version = None
        if fault.kind is ErrorKind.CONFLICT:
            return 0.0
        if self._shared:
            self._shared.reaches_store = False
        self._monitor.note_failure(fault)
        return self._backoff.next_ms()

    def _apply_row(self, row: StoredRow, newest: int) -> bool:
        """Make a row's configuration active unless a peer knows a newer one.

        Return False if it is not readable.
        """
        if row.removed:
            self._row = StoredConfiguration()
            return True
        decoded = decode_configuration(row.value)
        if isinstance(decoded, Failure):
            self._events.event(
                "configuration_unreadable",
                level="error",
                store_version=row.version,
                why=decoded.failure().detail,
            )
            return False
        configuration = decoded.unwrap()
        stored = StoredConfiguration(configuration.version, row.version)
        if stored != self._row:
            self._was_rewritten = True
        self._row = stored
        if configuration.version < newest:
            self._events.event(
                "configuration_older",
                level="warning",
                number=configuration.version,
                newest=newest,
                store_version=row.version,
                era=self._era,
            )
        elif self._configuration.apply(configuration):
            self._events.event(
                "configuration_in_force",
                number=configuration.version,
                store_version=row.version,
                routes=len(configuration.routes),
                teams=len(configuration.teams),
            )
            self._on_change()
        return True


class TargetListPoller:
    """Keeps the directory of targets up to date.

    Parameters
    ----------
    store : RowStore
        The platform's store.
    directory : TargetDirectory
        Directory to update.
    on_change : callable
        Called with the changes of each reading.
    interval_ms : float
        Interval between two readings.
    parameters : GatewayParameters
        Timeouts and limits.
    events : EventLog
        Log of changes.
    clock : Clock
        Source of time.
    random : random.Random
        Random number generator.
    shared : SharedReads, default=None
        What peers know of the store; None to read all the time.

    Notes
    -----
    The list is polled rather than watched: each target renews its entry about once a
    second, so every watch would end at once.
    """

    __slots__ = (
        "_backoff",
        "_clock",
        "_directory",
        "_era",
        "_events",
        "_interval_ms",
        "_monitor",
        "_on_change",
        "_reading",
        "_readings_begun",
        "_shared",
        "_store",
        "_unreadable_keys",
        "_was_read",
    )

    def __init__(
        self,
        *,
        store: RowStore,
        directory: TargetDirectory,
        on_change: Callable[[DirectoryChange], None],
        interval_ms: float,
        parameters: GatewayParameters,
        events: EventLog,
        clock: Clock,
        random: random.Random,
        shared: SharedReads | None = None,
    ):
        self._shared = shared
        self._store = store
        self._directory = directory
        self._on_change = on_change
        self._interval_ms = interval_ms
        self._events = events
        self._clock = clock
        self._unreadable_keys: frozenset[str] = frozenset()
        # Held during a reading, so that none brings an older list than the one before.
        self._reading = asyncio.Lock()
        self._readings_begun = 0
        self._was_read = False
        self._era = 0
        self._monitor = DependencyMonitor(
            name="target list", events=events, clock=clock
        )
        self._backoff = Backoff(
            random=random,
            min_ms=parameters.store_retry_min_ms,
            max_ms=parameters.store_retry_max_ms,
        )

    async def run(self) -> None:
        """Read the list until cancelled."""
        while True:
            wait_ms = await self.poll_once()
            if self._shared and wait_ms >= self._interval_ms:
                await self._follow()
            else:
                await self._clock.sleep_ms(wait_ms)

    async def _follow(self) -> None:
        """Wait until the list must be read, which peers may bring forward."""
        assert self._shared is not None
        began_ms = self._clock.now_ms()
        while True:
            await self._clock.sleep_ms(FOLLOW_CHECK_INTERVAL_MS)
            idle_ms = self._clock.now_ms() - began_ms
            if self._shared.should_read_targets(self._interval_ms, idle_ms):
                return

    async def refresh(self) -> bool:
        """Read the list out of turn; return whether the store answered.

        Callers that wait at the same time share a reading that begins after each of
        them has called.
        """
        begun_before = self._readings_begun
        async with self._reading:
            if self._readings_begun == begun_before:
                await self._read_once()
            return self._was_read

    async def poll_once(self) -> float:
        """Read the list once, and return the delay before the next reading."""
        async with self._reading:
            return await self._read_once()

    async def _read_once(self) -> float:
        self._readings_begun += 1
        self._was_read = False
        sent_ms = self._clock.boot_time_ms()
        answered = await self._store.read_all(TARGET_TABLE)
        if isinstance(answered, Failure):
            self._monitor.note_failure(answered.failure())
            return self._backoff.next_ms()
        self._monitor.note_success()
        self._backoff.reset()
        answer = answered.unwrap()
        if self._shared:
            self._shared.is_target_list_outdated = False
            self._shared.store_clock.note_answer(
                sent_ms=sent_ms, store_ms=answer.store_ms
            )
        if self._era and answer.era != self._era:
            self._directory.note_restored()
        self._era = answer.era
        store_ms = answer.store_ms - (self._clock.boot_time_ms() - sent_ms)
        is_first = math.isinf(self._directory.age_ms)
        entries = self._decode(answer.rows)
        change = self._directory.update(entries, store_ms, self._unreadable_keys)
        joined = change.joined
        if is_first:
            self._events.event("targets_listed", count=len(joined))
            joined = []
        for name, incarnations in (
            ("target_joined", joined),
            ("target_leaving", change.leaving),
            ("target_gone", change.gone),
            ("target_suspended", change.suspended),
            ("target_renewed", change.renewed),
        ):
            for incarnation in incarnations:
                self._events.event(
                    name, target=incarnation, **self._describe(incarnation)
                )
        self._on_change(change)
        self._was_read = True
        # Entries that are still missing at the end of a grace period are gone then.
        grace_ms = self._directory.grace_remaining_ms
        return min(self._interval_ms, grace_ms) if grace_ms else self._interval_ms

    def _describe(self, incarnation: str) -> dict[str, str]:
        target = self._directory.find(incarnation)
        if target is None:
            return {}
        return {"service": target.entry.service, "address": target.entry.address}

    def _decode(self, rows: list[StoredRow]) -> list[TargetEntry]:
        entries, unreadable = [], {}
        for row in rows:
            decoded = decode_target_entry(row.key, row.value)
            if isinstance(decoded, Success):
                entries.append(decoded.unwrap())
            else:
                unreadable[row.key] = decoded.failure().detail
        for key in unreadable.keys() - self._unreadable_keys:
            self._events.event(
                "target_entry_unreadable", level="warning", why=unreadable[key]
            )
        self._unreadable_keys = frozenset(unreadable)
        return entries
