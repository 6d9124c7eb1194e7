"""Removal of order records whose retention has ended."""

from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from carobroute.errors import Fault
from carobroute.requests._ledger_clock import LedgerClock
from carobroute.requests._ledger_outcomes import ExpiryRow, expiry_decoder
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

MAX_REMOVAL_ROUNDS = 8
SETTLE_TIMEOUT_MS = 10_000.0


class CleanerParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of the clean-up.

    Parameters
    ----------
    interval_ms : float
        Time between two scans after less than a full batch had expired.
    full_batch_interval_ms : float
        Time between two scans after a full batch had expired.
    max_batch : int
        Maximum number of records removed at a time. Each takes up to four entries of a
        transaction, of which the platform's store accepts a hundred.
    """

    interval_ms: float = 30_000.0
    full_batch_interval_ms: float = 125.0
    max_batch: int = 22


class LedgerCleaner:
    """Advances the ledger's clock and removes expired records at a bounded rate.

    The clock advances only by the monotonic time for which a process maintains it, so
    no wall clock can end a record's retention early. While no process maintains it,
    records are kept longer.

    Parameters
    ----------
    table : TableClient
        The table service.
    objects : ObjectStoreClient
        Object store that holds large answers.
    clock : Clock
        Source of time.
    has_duty : callable
        Returns whether this process has the clean-up duty now. It is safe if two
        processes clean up at the same time, because each removal is conditional.
    parameters : CleanerParameters, default=None
        Parameters of the clean-up.
    on_event : callable, default=None
        Called with an event name and fields, for the log.
    """

    def __init__(
        self,
        *,
        table: TableClient,
        objects: ObjectStoreClient,
        clock: Clock,
        has_duty: Callable[[], bool],
        parameters: CleanerParameters | None = None,
        on_event: Callable[..., None] | None = None,
    ):
        self._table = table
        self._objects = objects
        self._clock = clock
        self._has_duty = has_duty
        self._parameters = parameters or CleanerParameters()
        self._on_event = on_event or (lambda *args, **fields: None)
        self._ledger_clock = LedgerClock(clock=clock)

    async def run(self) -> None:
        """Clean up periodically until cancelled."""
        while True:
            removed = 0
            if self._has_duty():
                result = await self.clean_once()
                removed = result.value_or(0)
                if isinstance(result, Failure):
                    self._on_event("clean_up_failed", reason=str(result.failure()))
            is_full_batch = removed >= self._parameters.max_batch
            parameters = self._parameters
            await self._clock.sleep_ms(
                parameters.full_batch_interval_ms
                if is_full_batch
                else parameters.interval_ms
            )

    async def clean_once(self) -> Result[int, Fault]:
        """Advance the clock and remove one batch; return the number of records."""
        fetched = await self._ledger_clock.fetch(self._table)
        if isinstance(fetched, Failure):
            return fetched
        scanned = await self._table.scan(EXPIRY_TABLE, limit=self._parameters.max_batch)
        if isinstance(scanned, Failure):
            return scanned
        expired = [row for row in scanned.unwrap() if self._has_expired(row)]
        for row in expired:
            entry = expiry_decoder.decode(row.value)
            if entry.body_object:
                deleted = await self._objects.delete(entry.body_object)
                if isinstance(deleted, Failure):
                    return deleted
        return await self._remove(expired)

    def _has_expired(self, row: Row) -> bool:
        return int(row.key.partition("/")[0]) <= self._ledger_clock.now_ms()

    async def _remove(self, expired: list[Row]) -> Result[int, Fault]:
        """Remove the expired index entries, and their order rows if unchanged."""
        entries: dict[str, ExpiryRow] = {}
        for row in expired:
            entry = expiry_decoder.decode(row.value)
            latest = entries.get(entry.row_key)
            if latest is None or latest.version < entry.version:
                entries[entry.row_key] = entry
        for _ in range(MAX_REMOVAL_ROUNDS):
            transaction = self._removal_transaction(expired, entries)
            deadline_ms = self._clock.now_ms() + SETTLE_TIMEOUT_MS
            settled = await self._table.transact_until_settled(
                transaction, deadline_ms=deadline_ms
            )
            if isinstance(settled, Failure):
                return settled
            outcome = settled.unwrap()
            if outcome.committed:
                self._ledger_clock.note_written(transaction.puts[0])
                return Success(len(entries))
            if any(row.table == CLOCK_TABLE for row in outcome.failed):
                # Another process has advanced the clock in the meantime.
                return Success(0)
            for row in outcome.failed:
                entries.pop(row.key, None)
        return Success(0)

    def _removal_transaction(
        self, expired: list[Row], entries: dict[str, ExpiryRow]
    ) -> Transaction:
        conditions = [self._ledger_clock.condition]
        puts = [self._ledger_clock.advance_put()]
        for row in expired:
            puts.append(Put(table=EXPIRY_TABLE, key=row.key, value=None))
        for key, entry in entries.items():
            conditions.append(
                Condition(table=ORDERS_TABLE, key=key, version=entry.version)
            )
            puts.append(Put(table=ORDERS_TABLE, key=key, value=None))
        return Transaction(token=new_token(), conditions=conditions, puts=puts)
