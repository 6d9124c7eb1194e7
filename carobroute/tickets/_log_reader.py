"""Reads the log of accepted tickets and the configuration that results from them."""

from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from carobroute.errors import ErrorKind, Fault, fail
from carobroute.tables import Row, TableClient
from carobroute.tickets._codec import (
    Head,
    decode_configuration,
    decode_head,
    decode_ticket,
)
from carobroute.tickets._schema import Configuration, Ticket
from carobroute.utils import Clock

TICKET_TABLE = "tickets"
HEAD_KEY = "head"
READ_LIMIT_ROWS = 200
MAX_LOAD_ATTEMPTS = 5


def ticket_row_key(number: int) -> str:
    """Return the key of the row that holds ticket `number`."""
    return f"n/{number:012d}"


def snapshot_row_key(name: str, index: int) -> str:
    """Return the key of one row of the snapshot called `name`."""
    return f"s/{name}/{index:04d}"


class LogReader:
    """Reads the log of accepted tickets.

    Parameters
    ----------
    table : TableClient
        The table service.
    clock : Clock
        Source of time.
    on_event : callable, default=None
        Called with an event name and fields.
    """

    __slots__ = ("_cached", "_clock", "_on_event", "_table")

    def __init__(
        self,
        *,
        table: TableClient,
        clock: Clock,
        on_event: Callable[..., None] | None = None,
    ):
        self._table = table
        self._clock = clock
        self._on_event = on_event or (lambda *args, **fields: None)
        self._cached = Configuration()

    @property
    def table(self) -> TableClient:
        """The table service."""
        return self._table

    def cache_configuration(self, configuration: Configuration) -> None:
        """Keep `configuration`, so that later loads read only the tickets above it."""
        if configuration.number > self._cached.number:
            self._cached = configuration

    async def head_number(self) -> Result[int, Fault]:
        """Return the number of the last accepted ticket, or 0 if there is none."""
        found = await self.read_head()
        return found.map(lambda entry: entry[0].number)

    async def read_head(self) -> Result[tuple[Head, int], Fault]:
        """Return the head and the version of its row."""
        found = await self._table.read(TICKET_TABLE, HEAD_KEY)
        if isinstance(found, Failure):
            return found
        row = found.unwrap()
        return Success((decode_head(row.value), row.version) if row else (Head(), 0))

    async def read(
        self, after: int, limit: int = READ_LIMIT_ROWS
    ) -> Result[list[Ticket], Fault]:
        """Return up to `limit` tickets above `after`, in order and without a gap.

        Returns
        -------
        tickets : Result
            A `NOT_FOUND` fault means that the next ticket was compacted away; load
            the whole configuration instead.
        """
        found = await self._table.scan(
            TICKET_TABLE, "n/", after=ticket_row_key(after), limit=limit
        )
        if isinstance(found, Failure):
            return found
        tickets: list[Ticket] = []
        for row in found.unwrap():
            if row.key != ticket_row_key(after + len(tickets) + 1):
                break
            ticket = _decode(row)
            if isinstance(ticket, Failure):
                # The tickets before the unreadable one are still returned.
                return Success(tickets) if tickets else ticket
            tickets.append(ticket.unwrap())
        if found.unwrap() and not tickets:
            return fail(
                ErrorKind.NOT_FOUND,
                f"ticket {after + 1} is compacted, the log starts at"
                f" {found.unwrap()[0].key}",
            )
        return Success(tickets)

    async def ticket(self, number: int) -> Result[Ticket, Fault]:
        """Return one ticket, or a `NOT_FOUND` fault."""
        found = await self._table.read(TICKET_TABLE, ticket_row_key(number))
        if isinstance(found, Failure):
            return found
        row = found.unwrap()
        if row is None:
            return fail(
                ErrorKind.NOT_FOUND, f"ticket {number} is unknown or compacted away"
            )
        return _decode(row)

    async def load_configuration(
        self, base: Configuration | None = None
    ) -> Result[Configuration, Fault]:
        """Return the configuration at the head of the log.

        Parameters
        ----------
        base : Configuration, default=None
            Configuration to which the later tickets are applied; the cached one if
            None.
        """
        for _ in range(MAX_LOAD_ATTEMPTS):
            found = await self.read_head()
            if isinstance(found, Failure):
                return found
            head, _version = found.unwrap()
            loaded = await self.load_at_head(head, base or self._cached)
            if isinstance(loaded, Success):
                return loaded
            if loaded.failure().kind is not ErrorKind.NOT_FOUND:
                return loaded
        return fail(
            ErrorKind.STORE_UNAVAILABLE,
            f"the log was compacted during each of {MAX_LOAD_ATTEMPTS} reads",
        )

    async def configuration_at(self, number: int) -> Result[Configuration, Fault]:
        """Return the configuration as it was at ticket `number`.

        A `NOT_FOUND` fault means that `number` is above the head or compacted away.
        """
        found = await self.read_head()
        if isinstance(found, Failure):
            return found
        head, _version = found.unwrap()
        if not head.floor <= number <= head.number:
            return fail(
                ErrorKind.NOT_FOUND,
                f"configuration {number} is not kept, expected {head.floor} to"
                f" {head.number}",
            )
        return await self._read_from_snapshot(head, number)

    async def read_compacted(self, floor: int) -> Result[list[Ticket], Fault]:
        """Return the undeleted tickets up to `floor`, one page of rows at most."""
        found = await self._table.scan(TICKET_TABLE, "n/", limit=READ_LIMIT_ROWS)
        if isinstance(found, Failure):
            return found
        decoded = [_decode(row) for row in found.unwrap()]
        tickets = [t.unwrap() for t in decoded if isinstance(t, Success)]
        return Success([t for t in tickets if t.number <= floor])

    async def load_at_head(
        self, head: Head, base: Configuration
    ) -> Result[Configuration, Fault]:
        """Return the configuration at `head`, starting from `base` where possible.

        A `NOT_FOUND` fault means that a concurrent compaction deleted rows that were
        to be read.
        """
        if base.number > head.number:
            return fail(
                ErrorKind.STALE_CONFIGURATION,
                f"the table ends at ticket {head.number}, but {base.number} is in"
                " force; restore its rows",
            )
        is_diverged = base.number == head.number and base.chain != head.chain
        if base.number < head.floor or is_diverged:
            loaded = await self._read_from_snapshot(head, head.number)
        else:
            loaded = await self._apply_tickets(base, head.number)
        if isinstance(loaded, Success):
            self.cache_configuration(loaded.unwrap())
        return loaded

    async def _read_from_snapshot(
        self, head: Head, number: int
    ) -> Result[Configuration, Fault]:
        if not head.floor:
            return await self._apply_tickets(Configuration(), number)
        snapshot = await self._read_snapshot(head)
        if isinstance(snapshot, Failure):
            return snapshot
        return await self._apply_tickets(snapshot.unwrap(), number)

    async def _apply_tickets(
        self, configuration: Configuration, number: int
    ) -> Result[Configuration, Fault]:
        """Return `configuration` with the tickets up to `number` applied."""
        while configuration.number < number:
            found = await self.read(configuration.number)
            if isinstance(found, Failure):
                return found
            tickets = [t for t in found.unwrap() if t.number <= number]
            if not tickets:
                return fail(
                    ErrorKind.NOT_FOUND,
                    f"the log ends at ticket {configuration.number}, expected {number}",
                )
            for ticket in tickets:
                configuration = configuration.with_ticket(ticket)
        return Success(configuration)

    async def _read_snapshot(self, head: Head) -> Result[Configuration, Fault]:
        prefix = f"s/{head.snapshot}/"
        rows: list[Row] = []
        while len(rows) < head.snapshot_rows:
            after = rows[-1].key if rows else ""
            found = await self._table.scan(
                TICKET_TABLE, prefix, after=after, limit=READ_LIMIT_ROWS
            )
            if isinstance(found, Failure):
                return found
            if not found.unwrap():
                return fail(
                    ErrorKind.NOT_FOUND,
                    f"snapshot {head.snapshot} has {len(rows)} rows, expected"
                    f" {head.snapshot_rows}",
                )
            rows.extend(found.unwrap())
        try:
            return Success(decode_configuration(b"".join(row.value for row in rows)))
        except ValueError as error:
            return fail(ErrorKind.INVALID_TICKET, f"snapshot {head.snapshot}: {error}")


def _decode(row: Row) -> Result[Ticket, Fault]:
    try:
        return Success(decode_ticket(row.value))
    except msgspec.MsgspecError as error:
        return fail(
            ErrorKind.INVALID_TICKET,
            f"row {row.key} cannot be read by this version: {error}",
        )
