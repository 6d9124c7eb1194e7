"""Clean-up of order records whose retention has ended."""

from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from carobroute.errors import Fault
from carobroute.requests._ledger_clock import LedgerClock
from carobroute.requests._ledger_effects import ExpiryRow, expiry_decoder
from carobroute.requests._ledger_types import CLOCK_TABLE, EXPIRY_TABLE, ORDERS_TABLE
from carobroute.tables import (
    Condition,
    ObjectStoreClient,
    Put,
    Row,
    TableClient,
    Transaction,
)
from carobroute.utils import Clock, new_token

MAX_ROUNDS = 8
SETTLE_MS = 10_000.0


class CleanParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Pace of the clean-up.

    Parameters
    ----------
    interval_ms : float
        Time between two looks when nothing, or little, had expired.
    busy_ms : float
        Time between two looks while there is a whole batch.
    max_batch : int
        Records removed at a time. Each takes up to four entries of a transaction, of
        which the platform's store accepts a hundred.
    """

    interval_ms: float = 30_000.0
    busy_ms: float = 125.0
    max_batch: int = 22


class LedgerCleaner:
    """Keeps the ledger's clock, and removes records at a bounded rate.

    The clock moves only by what passed while a process kept it, so no wall clock can
    end a record's retention early; while nobody keeps it, records stay longer.

    Parameters
    ----------
    table : TableClient
        The table service.
    objects : ObjectStoreClient
        Holds large answers.
    clock : Clock
        Source of time.
    is_mine : callable
        Tells whether this process has the duty now. Two processes that both believe
        so do no harm, as each removal is conditional.
    parameters : CleanParameters, default=None
        Pace.
    on_event : callable, default=None
        Called with an event name and fields, for the log.
    """

    def __init__(
        self,
        *,
        table: TableClient,
        objects: ObjectStoreClient,
        clock: Clock,
        is_mine: Callable[[], bool],
        parameters: CleanParameters | None = None,
        on_event: Callable[..., None] | None = None,
    ):
        self._table = table
        self._objects = objects
        self._clock = clock
        self._is_mine = is_mine
        self._parameters = parameters or CleanParameters()
        self._on_event = on_event or (lambda *args, **fields: None)
        self._time = LedgerClock(clock=clock)

    async def run(self) -> None:
        """Clean up for as long as the process lives."""
        while True:
            removed = 0
            if self._is_mine():
                result = await self.clean_once()
                removed = result.value_or(0)
                if isinstance(result, Failure):
                    self._on_event("clean_up_failed", reason=str(result.failure()))
            busy = removed >= self._parameters.max_batch
            parameters = self._parameters
            await self._clock.sleep_ms(
                parameters.busy_ms if busy else parameters.interval_ms
            )

    async def clean_once(self) -> Result[int, Fault]:
        """Move the clock and remove one batch; return the number of records."""
        fetched = await self._time.fetch(self._table)
        if isinstance(fetched, Failure):
            return fetched
        scanned = await self._table.scan(EXPIRY_TABLE, limit=self._parameters.max_batch)
        if isinstance(scanned, Failure):
            return scanned
        expired = [row for row in scanned.unwrap() if self._has_expired(row)]
        for row in expired:
            entry = expiry_decoder.decode(row.value)
            if entry.body_object:
                gone = await self._objects.delete(entry.body_object)
                if isinstance(gone, Failure):
                    return gone
        return await self._remove(expired)

    def _has_expired(self, row: Row) -> bool:
        return int(row.key.partition("/")[0]) <= self._time.now_ms()

    async def _remove(self, expired: list[Row]) -> Result[int, Fault]:
        """Remove the entries, and the order rows that have not changed since."""
        entries: dict[str, ExpiryRow] = {}
        for row in expired:
            entry = expiry_decoder.decode(row.value)
            known = entries.get(entry.row_key)
            if known is None or known.version < entry.version:
                entries[entry.row_key] = entry
        for _ in range(MAX_ROUNDS):
            transaction = self._removal(expired, entries)
            deadline_ms = self._clock.now_ms() + SETTLE_MS
            settled = await self._table.settle(transaction, deadline_ms=deadline_ms)
            if isinstance(settled, Failure):
                return settled
            outcome = settled.unwrap()
            if outcome.committed:
                self._time.note_written(transaction.puts[0])
                return Success(len(entries))
            if any(row.table == CLOCK_TABLE for row in outcome.failed):
                # Another process keeps the clock too and was first.
                return Success(0)
            for row in outcome.failed:
                entries.pop(row.key, None)
        return Success(0)

    def _removal(
        self, expired: list[Row], entries: dict[str, ExpiryRow]
    ) -> Transaction:
        conditions = [self._time.condition]
        puts = [self._time.advance()]
        for row in expired:
            puts.append(Put(table=EXPIRY_TABLE, key=row.key, value=None))
        for key, entry in entries.items():
            conditions.append(
                Condition(table=ORDERS_TABLE, key=key, version=entry.version)
            )
            puts.append(Put(table=ORDERS_TABLE, key=key, value=None))
        return Transaction(token=new_token(), conditions=conditions, puts=puts)
