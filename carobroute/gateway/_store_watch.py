"""What the gateway reads from the platform's store, again and again."""

import random
from collections.abc import Callable

from returns.result import Failure, Result, Success

from carobroute.errors import ErrorKind, Fault
from carobroute.gateway._configuration import ActiveConfiguration
from carobroute.gateway._parameters import GatewayParameters
from carobroute.gateway._targets import DirectoryChange, TargetDirectory
from carobroute.platform import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    TARGET_TABLE,
    RowsAnswer,
    RowStore,
    StoredRow,
    decode_configuration,
    decode_target,
)
from carobroute.telemetry import EventLog
from carobroute.utils import Clock
from carobroute.world import TargetEntry


class Backoff:
    """Waits between failed calls, growing and spread.

    Parameters
    ----------
    random : random.Random
        Source of chance.
    min_ms, max_ms : float
        First and longest wait.
    """

    __slots__ = ("_min_ms", "_max_ms", "_random", "_wait_ms")

    def __init__(self, *, random: random.Random, min_ms: float, max_ms: float):
        self._random = random
        self._min_ms = min_ms
        self._max_ms = max_ms
        self._wait_ms = min_ms

    def next_ms(self) -> float:
        """Return the next wait, between half and all of what it has grown to."""
        wait_ms = self._wait_ms * self._random.uniform(0.5, 1.0)
        self._wait_ms = min(self._max_ms, 2 * self._wait_ms)
        return wait_ms

    def reset(self) -> None:
        """Begin again after a success."""
        self._wait_ms = self._min_ms


class DependencyMonitor:
    """Logs when something that the gateway needs is lost and found again.

    Parameters
    ----------
    name : str
        What is needed.
    events : EventLog
        Where it is logged.
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
        """Take a failure; only the first in a row is logged."""
        if self._failed_since_ms is None:
            self._failed_since_ms = self._clock.wake_safe_ms()
            self._events.event(
                "dependency_lost", level="warning", name=self._name, why=fault.detail
            )

    def note_success(self) -> None:
        """Take a success."""
        if self._failed_since_ms is not None:
            away_ms = self._clock.wake_safe_ms() - self._failed_since_ms
            self._failed_since_ms = None
            self._events.event(
                "dependency_found", name=self._name, away_ms=round(away_ms)
            )


class ConfigurationWatcher:
    """Keeps the configuration in force up to date.

    Parameters
    ----------
    store : RowStore
        The platform's store.
    configuration : ActiveConfiguration
        What is kept up to date.
    wait_ms : float
        Time that one watch lasts.
    parameters : GatewayParameters
        Times and bounds.
    events : EventLog
        Where changes are logged.
    clock : Clock
        Source of time.
    random : random.Random
        Source of chance.

    Notes
    -----
    A watch that ends without a change proves that there was none when it was sent.
    Watches go on from the version of the last whole reading, and not from one that a
    watch without changes names: that way a change that the store withheld from one
    watch is found by the next.
    """

    __slots__ = (
        "_backoff",
        "_clock",
        "_configuration",
        "_events",
        "_monitor",
        "_store",
        "_version",
        "_wait_ms",
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
    ):
        self._store = store
        self._configuration = configuration
        self._wait_ms = wait_ms
        self._events = events
        self._clock = clock
        self._version: int | None = None
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
        while True:
            wait_ms = await self.step()
            if wait_ms:
                await self._clock.sleep_ms(wait_ms)

    async def step(self) -> float:
        """Make one call, and return how long to wait before the next."""
        sent_ms = self._clock.wake_safe_ms()
        answered = await self._read_or_watch()
        if isinstance(answered, Failure):
            return self._note_failure(answered.failure())
        self._monitor.note_success()
        self._backoff.reset()
        answer = answered.unwrap()
        rows = [row for row in answer.rows if row.key == CONFIGURATION_KEY]
        is_readable = all([self._apply_row(row) for row in rows])
        if self._version is None or rows:
            self._version = answer.version
        if is_readable and self._configuration.table is not None:
            self._configuration.confirm_current(sent_ms)
        if self._configuration.table is None:
            # There is no first configuration yet; look again as if the call failed.
            return self._backoff.next_ms()
        return 0.0

    async def _read_or_watch(self) -> Result[RowsAnswer, Fault]:
        if self._version is None:
            return await self._store.read(
                CONFIGURATION_TABLE,
                first=CONFIGURATION_KEY,
                end=CONFIGURATION_KEY + "\0",
            )
        return await self._store.watch(
            CONFIGURATION_TABLE,
            after=self._version,
            wait_ms=self._wait_ms,
        )

    def _note_failure(self, fault: Fault) -> float:
        # A reading is answered at once, and so proves more than the next watch would.
        self._version = None
        if fault.kind is ErrorKind.CONFLICT:
            return 0.0
        self._monitor.note_failure(fault)
        return self._backoff.next_ms()

    def _apply_row(self, row: StoredRow) -> bool:
        """Put a row's configuration in force; return False if it is not readable."""
        if row.removed:
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
        if self._configuration.apply(configuration):
            self._events.event(
                "configuration_in_force",
                number=configuration.version,
                store_version=row.version,
                routes=len(configuration.routes),
                teams=len(configuration.teams),
            )
        return True


class TargetListPoller:
    """Keeps the directory of targets up to date.

    Parameters
    ----------
    store : RowStore
        The platform's store.
    directory : TargetDirectory
        What is kept up to date.
    on_change : callable
        Told of what a reading changed.
    interval_ms : float
        Time between two readings.
    parameters : GatewayParameters
        Times and bounds.
    events : EventLog
        Where changes are logged.
    clock : Clock
        Source of time.
    random : random.Random
        Source of chance.

    Notes
    -----
    The list is read in turns rather than watched: each target renews its entry about
    once a second, so a watch would end at once, every time.
    """

    __slots__ = (
        "_backoff",
        "_clock",
        "_directory",
        "_events",
        "_interval_ms",
        "_monitor",
        "_on_change",
        "_store",
        "_unreadable_keys",
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
    ):
        self._store = store
        self._directory = directory
        self._on_change = on_change
        self._interval_ms = interval_ms
        self._events = events
        self._clock = clock
        self._unreadable_keys: frozenset[str] = frozenset()
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
            await self._clock.sleep_ms(await self.step())

    async def step(self) -> float:
        """Read the list once, and return how long to wait before the next time."""
        answered = await self._store.read_all(TARGET_TABLE)
        if isinstance(answered, Failure):
            self._monitor.note_failure(answered.failure())
            return self._backoff.next_ms()
        self._monitor.note_success()
        self._backoff.reset()
        change = self._directory.update(self._decode(answered.unwrap().rows))
        for name, incarnations in (
            ("target_joined", change.joined),
            ("target_leaving", change.leaving),
            ("target_gone", change.gone),
        ):
            for incarnation in incarnations:
                self._events.event(
                    name, target=incarnation, **self._describe(incarnation)
                )
        self._on_change(change)
        return self._interval_ms

    def _describe(self, incarnation: str) -> dict[str, str]:
        target = self._directory.find(incarnation)
        if target is None:
            return {}
        return {"service": target.entry.service, "address": target.entry.address}

    def _decode(self, rows: list[StoredRow]) -> list[TargetEntry]:
        entries, unreadable = [], {}
        for row in rows:
            decoded = decode_target(row.key, row.value)
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
