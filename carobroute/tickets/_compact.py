"""Compaction: replaces old tickets by a snapshot, which bounds the log's length.

The snapshot's rows are written first, each on condition that it does not exist. One
transaction then points the head to the snapshot, on condition that the head has not
changed and that every row still exists; a compactor that was paused or lost the lease
of the compaction duty can therefore only fail. Old rows are deleted last; a reader that
misses one of them reads the head again.
"""

from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from carobroute.errors import ErrorKind, Fault, fail
from carobroute.tables import Condition, Put, TableClient, Transaction
from carobroute.tickets._codec import Head, encode_configuration, encode_row, split_rows
from carobroute.tickets._log import TicketLog
from carobroute.tickets._log_reader import (
    HEAD_KEY,
    TICKET_TABLE,
    snapshot_row_key,
    ticket_row_key,
)
from carobroute.utils import Clock, new_token

KEEP_TICKETS = 2_000
COMPACT_ABOVE_TICKETS = 2_700
DELETE_BATCH_ROWS = 50


class TicketCompactor:
    """Replaces the old tickets of a log by a snapshot.

    Parameters
    ----------
    log : TicketLog
        Log to compact.
    clock : Clock
        Source of time.
    keep_tickets : int, default=2000
        Number of latest tickets that keep their own rows.
    compact_above : int, default=2700
        The log is compacted when it holds more tickets than this.
    guard : callable, default=None
        Returns whether this process still holds the lease of the compaction duty;
        called before each write.
    on_event : callable, default=None
        Called with an event name and fields.
    """

    __slots__ = (
        "_clock",
        "_compact_above",
        "_guard",
        "_keep_tickets",
        "_log",
        "_on_event",
    )

    def __init__(
        self,
        *,
        log: TicketLog,
        clock: Clock,
        keep_tickets: int = KEEP_TICKETS,
        compact_above: int = COMPACT_ABOVE_TICKETS,
        guard: Callable[[], bool] | None = None,
        on_event: Callable[..., None] | None = None,
    ):
        self._log = log
        self._clock = clock
        self._keep_tickets = keep_tickets
        self._compact_above = compact_above
        self._guard = guard or (lambda: True)
        self._on_event = on_event or (lambda *args, **fields: None)

    @property
    def _table(self) -> TableClient:
        return self._log.table

    async def compact(self, deadline_ms: float) -> Result[int, Fault]:
        """Compact the log if it is long; return the floor of the head."""
        found = await self._log.read_head()
        if isinstance(found, Failure):
            return found
        head, _version = found.unwrap()
        if head.number - head.floor <= self._compact_above:
            return await self._delete_obsolete(head, deadline_ms)
        loaded = await self._log.configuration_at(head.number - self._keep_tickets)
        if isinstance(loaded, Failure):
            return loaded
        configuration = loaded.unwrap()
        name = f"{configuration.number}-{new_token()}"
        rows = split_rows(encode_configuration(configuration))
        written = await self._write_rows(name, rows, deadline_ms)
        if isinstance(written, Failure):
            return written
        moved = await self._move_head(
            configuration.number, name, len(rows), deadline_ms
        )
        if isinstance(moved, Failure):
            return moved
        self._on_event("tickets_compacted", ticket=configuration.number)
        return await self._delete_obsolete(moved.unwrap(), deadline_ms)

    async def _write_rows(
        self, name: str, rows: list[bytes], deadline_ms: float
    ) -> Result[None, Fault]:
        for index, data in enumerate(rows):
            key = snapshot_row_key(name, index)
            result = await self._commit(
                [Condition(table=TICKET_TABLE, key=key, version=0)],
                [Put(table=TICKET_TABLE, key=key, value=data)],
                deadline_ms,
            )
            if isinstance(result, Failure):
                return result
        return Success(None)

    async def _move_head(
        self, number: int, name: str, row_count: int, deadline_ms: float
    ) -> Result[Head, Fault]:
        while True:
            found = await self._log.read_head()
            if isinstance(found, Failure):
                return found
            head, version = found.unwrap()
            if head.floor >= number:
                return fail(
                    ErrorKind.CONFLICT,
                    f"the log is already compacted up to ticket {head.floor}",
                )
            moved = msgspec.structs.replace(
                head, floor=number, snapshot=name, snapshot_rows=row_count
            )
            conditions = [Condition(table=TICKET_TABLE, key=HEAD_KEY, version=version)]
            conditions += [
                Condition(
                    table=TICKET_TABLE, key=snapshot_row_key(name, index), version=1
                )
                for index in range(row_count)
            ]
            put = Put(table=TICKET_TABLE, key=HEAD_KEY, value=encode_row(moved))
            result = await self._commit(conditions, [put], deadline_ms)
            if isinstance(result, Success):
                return Success(moved)
            fault = result.failure()
            is_past_deadline = self._clock.now_ms() >= deadline_ms
            if fault.kind is not ErrorKind.CONFLICT or is_past_deadline:
                return Failure(fault)

    async def _delete_obsolete(
        self, head: Head, deadline_ms: float
    ) -> Result[int, Fault]:
        """Delete the tickets up to the floor, and the snapshots that are not in use."""
        keys = await self._obsolete_keys(head)
        if isinstance(keys, Failure):
            return keys
        obsolete = keys.unwrap()
        for start in range(0, len(obsolete), DELETE_BATCH_ROWS):
            batch = obsolete[start : start + DELETE_BATCH_ROWS]
            puts = [Put(table=TICKET_TABLE, key=key, value=None) for key in batch]
            result = await self._commit([], puts, deadline_ms)
            if isinstance(result, Failure):
                return result
        return Success(head.floor)

    async def _obsolete_keys(self, head: Head) -> Result[list[str], Fault]:
        if not head.floor:
            return Success([])
        tickets = await self._log.read_compacted(head.floor)
        if isinstance(tickets, Failure):
            return tickets
        keys = []
        for ticket in tickets.unwrap():
            keys += [ticket_row_key(ticket.number), f"t/{ticket.token}"]
        rows = await self._table.scan(TICKET_TABLE, "s/")
        if isinstance(rows, Failure):
            return rows
        current = f"s/{head.snapshot}/"
        # Another process may still be writing a snapshot above the floor.
        for row in rows.unwrap():
            number = int(row.key.split("/")[1].split("-")[0])
            if not row.key.startswith(current) and number <= head.floor:
                keys.append(row.key)
        return Success(keys)

    async def _commit(
        self, conditions: list[Condition], puts: list[Put], deadline_ms: float
    ) -> Result[None, Fault]:
        if not self._guard():
            return fail(
                ErrorKind.STALE_FENCE, "the lease of the compaction duty has lapsed"
            )
        transaction = Transaction(token=new_token(), conditions=conditions, puts=puts)
        settled = await self._table.transact_until_settled(
            transaction, deadline_ms=deadline_ms
        )
        if isinstance(settled, Failure):
            return settled
        if not settled.unwrap().committed:
            return fail(ErrorKind.CONFLICT, "the log changed during the compaction")
        return Success(None)
