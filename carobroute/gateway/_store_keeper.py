"""Background task that keeps a gateway's knowledge in the platform's store."""

import abc
from collections.abc import Callable

from carobroute.errors import Fault
from carobroute.gateway._store_watch import DependencyMonitor
from carobroute.platform import RowStore
from carobroute.telemetry import EventLog
from carobroute.utils import Backoff, Clock

# Interval at which knowledge is compared with what was stored. The crashes of a wave
# mostly fall into one or two of them.
CHECK_INTERVAL_MS = 250.0
# Gateways that store what any gateway knows.
KEEPER_COUNT = 2


class StoreKeeper(abc.ABC):
    """Reads the rows of a table at the start, and then stores what is new.

    Parameters
    ----------
    name : str
        Name of the knowledge, for log lines about the store.
    store : RowStore
        The platform's store.
    count_stronger : callable
        Returns the number of live gateways that should store knowledge rather than
        this one.
    events : EventLog
        Log of what was read and written.
    clock : Clock
        Source of time.
    backoff : Backoff
        Delays after failed calls to the store.
    """

    __slots__ = (
        "_backoff",
        "_clock",
        "_count_stronger",
        "_dependency",
        "_era",
        "_events",
        "_store",
    )

    def __init__(
        self,
        *,
        name: str,
        store: RowStore,
        count_stronger: Callable[[], int],
        events: EventLog,
        clock: Clock,
        backoff: Backoff,
    ):
        self._store = store
        self._count_stronger = count_stronger
        self._events = events
        self._clock = clock
        self._backoff = backoff
        # Era of the store in which all rows were read last.
        self._era = 0
        self._dependency = DependencyMonitor(name=name, events=events, clock=clock)

    @property
    def is_keeper(self) -> bool:
        """Whether this gateway stores what any gateway knows."""
        return self._count_stronger() < KEEPER_COUNT

    async def run(self) -> None:
        """Read all rows, then store what is new until cancelled."""
        await self._load_all()
        while True:
            await self._clock.sleep_ms(CHECK_INTERVAL_MS)
            if self._store.era != self._era:
                # The store came back from an older copy of the rows.
                await self._load_all()
            if not await self._save():
                await self._clock.sleep_ms(self._backoff.next_ms())

    async def _load_all(self) -> None:
        while not await self._load():
            await self._clock.sleep_ms(self._backoff.next_ms())
        self._era = self._store.era

    @abc.abstractmethod
    async def _load(self) -> bool:
        """Read all rows, and take those alone for stored.

        Return False if the store did not answer.
        """

    @abc.abstractmethod
    async def _save(self) -> bool:
        """Store what is new; return False if the store did not answer."""

    def _note_success(self) -> None:
        self._dependency.note_success()
        self._backoff.reset()

    def _note_failure(self, fault: Fault) -> bool:
        """Note that the store did not answer, and return False."""
        self._dependency.note_failure(fault)
        return False
