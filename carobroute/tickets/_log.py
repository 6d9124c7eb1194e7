"""The log of accepted tickets in the table service.

Rows of the table `tickets`::

    head              number and chain of the last ticket, and where the snapshot is
    n/000000000042    ticket 42
    t/<token>         number that the filing with this token got
    s/<name>/0000     part of a snapshot

A filing is one transaction on the head's version: it appends the ticket and its token
row and moves the head. The ticket is checked against the configuration of that very
head, so two tickets that are right one by one cannot be wrong together.
"""

from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from carobroute.errors import ErrorKind, Fault, fail
from carobroute.platform import Condition, Put, Row, TableClient, Transaction
from carobroute.tickets._check import check_ticket, describe_faults
from carobroute.tickets._codec import (
    MAX_TICKET_BYTES,
    Head,
    TokenRow,
    body_hash,
    chain_hash,
    decode_configuration,
    decode_head,
    decode_ticket,
    decode_token,
    encode_row,
)
from carobroute.tickets._schema import Configuration, Ticket, object_key
from carobroute.utils import Clock, new_token

TABLE = "tickets"
HEAD_KEY = "head"
READ_LIMIT = 200
MAX_LOAD_ATTEMPTS = 5
MAX_HEAD_RACES = 50


def ticket_row_key(number: int) -> str:
    """Return the key of the row that holds ticket `number`."""
    return f"n/{number:012d}"


def snapshot_row_key(name: str, index: int) -> str:
    """Return the key of one row of the snapshot called `name`."""
    return f"s/{name}/{index:04d}"


class TicketLog:
    """Reads and extends the log of accepted tickets.

    Parameters
    ----------
    table : TableClient
        The table service.
    clock : Clock
        Source of time.
    on_event : callable, default=None
        Called with an event name and fields.
    """

    __slots__ = ("_clock", "_known", "_on_event", "_table")

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
        self._known = Configuration()

    @property
    def table(self) -> TableClient:
        """The table service."""
        return self._table

    async def head(self) -> Result[int, Fault]:
        """Return the number of the last accepted ticket, or 0 without any."""
        found = await self.read_head()
        return found.map(lambda entry: entry[0].number)

    async def read_head(self) -> Result[tuple[Head, int], Fault]:
        """Return the head and the version of its row."""
        found = await self._table.read(TABLE, HEAD_KEY)
        if isinstance(found, Failure):
            return found
        row = found.unwrap()
        return Success((decode_head(row.value), row.version) if row else (Head(), 0))

    async def read(
        self, after: int, limit: int = READ_LIMIT
    ) -> Result[list[Ticket], Fault]:
        """Return up to `limit` tickets above `after`, in order and without a gap.

        Returns
        -------
        tickets : Result
            A `NOT_FOUND` fault means that the next ticket was compacted away; load
            the whole configuration instead.
        """
        found = await self._table.scan(
            TABLE, "n/", after=ticket_row_key(after), limit=limit
        )
        if isinstance(found, Failure):
            return found
        tickets = [decode_ticket(row.value) for row in found.unwrap()]
        if tickets and tickets[0].number != after + 1:
            return fail(
                ErrorKind.NOT_FOUND,
                f"ticket {after + 1} is compacted, the log starts at"
                f" {tickets[0].number}",
            )
        return Success(tickets)

    async def ticket(self, number: int) -> Result[Ticket, Fault]:
        """Return one ticket, or a `NOT_FOUND` fault."""
        found = await self._table.read(TABLE, ticket_row_key(number))
        if isinstance(found, Failure):
            return found
        row = found.unwrap()
        if row is None:
            return fail(
                ErrorKind.NOT_FOUND, f"ticket {number} is unknown or compacted away"
            )
        return Success(decode_ticket(row.value))

    async def load_configuration(
        self, known: Configuration | None = None
    ) -> Result[Configuration, Fault]:
        """Return the configuration of the head, reading on from `known`."""
        for _ in range(MAX_LOAD_ATTEMPTS):
            found = await self.read_head()
            if isinstance(found, Failure):
                return found
            head, _version = found.unwrap()
            loaded = await self.load_to(head, known or self._known)
            if isinstance(loaded, Success):
                return loaded
            if loaded.failure().kind is not ErrorKind.NOT_FOUND:
                return loaded
        return fail(
            ErrorKind.STORE_UNAVAILABLE,
            f"the snapshot moved during each of {MAX_LOAD_ATTEMPTS} reads",
        )

    async def configuration_at(self, number: int) -> Result[Configuration, Fault]:
        """Return the configuration as it was at ticket `number`.

        A `NOT_FOUND` fault means that it is ahead of the head or compacted away.
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

    async def read_kept(self, floor: int) -> Result[list[Ticket], Fault]:
        """Return some of the tickets that lie at or below `floor`."""
        found = await self._table.scan(TABLE, "n/", limit=READ_LIMIT)
        if isinstance(found, Failure):
            return found
        tickets = [decode_ticket(row.value) for row in found.unwrap()]
        return Success([t for t in tickets if t.number <= floor])

    async def load_to(
        self, head: Head, known: Configuration
    ) -> Result[Configuration, Fault]:
        """Return the configuration of `head`.

        A `NOT_FOUND` fault means that a compaction moved the rows meanwhile.
        """
        if known.number < head.floor:
            loaded = await self._read_from_snapshot(head, head.number)
        else:
            loaded = await self._read_on(known, head.number)
        if isinstance(loaded, Success):
            self._known = loaded.unwrap()
        return loaded

    async def _read_from_snapshot(
        self, head: Head, number: int
    ) -> Result[Configuration, Fault]:
        if not head.floor:
            return await self._read_on(Configuration(), number)
        snapshot = await self._read_snapshot(head)
        if isinstance(snapshot, Failure):
            return snapshot
        return await self._read_on(snapshot.unwrap(), number)

    async def _read_on(
        self, known: Configuration, number: int
    ) -> Result[Configuration, Fault]:
        """Return `known` with the tickets up to `number` applied."""
        while known.number < number:
            found = await self.read(known.number)
            if isinstance(found, Failure):
                return found
            tickets = [t for t in found.unwrap() if t.number <= number]
            if not tickets:
                return fail(
                    ErrorKind.NOT_FOUND,
                    f"the log ends at {known.number}, expected {number}",
                )
            for ticket in tickets:
                known = known.with_ticket(ticket)
        return Success(known)

    async def file(self, ticket: Ticket, deadline_ms: float) -> Result[Ticket, Fault]:
        """Have `ticket` accepted.

        Parameters
        ----------
        ticket : Ticket
            The filing. Sending it again with the same token is safe at any time.
        deadline_ms : float
            Monotonic time at which to give up.

        Returns
        -------
        accepted : Result
            The ticket with its number. `CONFLICT` names the tickets and objects that
            changed since `based_on`; `INVALID_TICKET` lists what is wrong;
            `OUTCOME_UNKNOWN` means that the store did not tell: file it again with
            the same token.
        """
        if not ticket.token:
            return fail(ErrorKind.INVALID_TICKET, "token is empty, expected 128 bits")
        for _ in range(MAX_HEAD_RACES):
            result = await self._file_once(ticket, deadline_ms)
            if result is not None:
                return result
            if self._clock.now_ms() >= deadline_ms:
                break
        return fail(
            ErrorKind.OVERLOADED, "other filings moved the head each time; file again"
        )

    async def _file_once(
        self, ticket: Ticket, deadline_ms: float
    ) -> Result[Ticket, Fault] | None:
        """Try on the head of now; None if another filing was faster."""
        settled = await self._settled_before(ticket)
        if settled is not None:
            return settled
        found = await self.read_head()
        if isinstance(found, Failure):
            return found
        head, version = found.unwrap()
        loaded = await self.load_to(head, self._known)
        if isinstance(loaded, Failure):
            moved = loaded.failure().kind is ErrorKind.NOT_FOUND
            return None if moved else loaded
        refused = self._refuse(ticket, head, loaded.unwrap())
        if refused is not None:
            # A filing whose answer was lost conflicts with itself: look once more.
            settled = await self._settled_before(ticket)
            return settled if settled is not None else refused
        return await self._append(ticket, head, version, deadline_ms)

    def _refuse(
        self, ticket: Ticket, head: Head, configuration: Configuration
    ) -> Result | None:
        conflict = self._conflict(ticket, head, configuration)
        if conflict is not None:
            return conflict
        faults = check_ticket(ticket, configuration)
        if faults:
            return fail(ErrorKind.INVALID_TICKET, describe_faults(faults))
        size = len(encode_row(ticket))
        if size > MAX_TICKET_BYTES:
            return fail(
                ErrorKind.TOO_LARGE,
                f"ticket has {size} bytes, expected at most {MAX_TICKET_BYTES};"
                " file it in parts",
            )
        return None

    def _conflict(
        self, ticket: Ticket, head: Head, configuration: Configuration
    ) -> Result | None:
        if ticket.based_on > head.number:
            return fail(
                ErrorKind.INVALID_TICKET,
                f"based_on is {ticket.based_on}, expected at most the head"
                f" {head.number}",
            )
        if ticket.based_on < head.floor:
            return fail(
                ErrorKind.CONFLICT,
                f"based_on is {ticket.based_on}, tickets up to {head.floor} are"
                " compacted and cannot be compared; read again",
            )
        keys = [object_key(entry) for entry in ticket.objects] + ticket.removed
        changed = {
            key: configuration.number_of(key)
            for key in keys
            if configuration.number_of(key) > ticket.based_on
        }
        if not changed:
            return None
        self._on_event(
            "ticket_lost",
            level="warning",
            token=ticket.token,
            author=ticket.author,
            based_on=ticket.based_on,
            against=sorted(set(changed.values())),
            objects=sorted(changed),
        )
        named = ", ".join(f"{k} by ticket {n}" for k, n in sorted(changed.items()))
        return fail(
            ErrorKind.CONFLICT, f"changed since ticket {ticket.based_on}: {named}"
        )

    async def _append(
        self, ticket: Ticket, head: Head, version: int, deadline_ms: float
    ) -> Result[Ticket, Fault] | None:
        accepted = msgspec.structs.replace(
            ticket, number=head.number + 1, filed_ms=self._clock.wall_ms(), chain=""
        )
        chain = chain_hash(head.chain, accepted)
        accepted = msgspec.structs.replace(accepted, chain=chain)
        moved = msgspec.structs.replace(head, number=accepted.number, chain=chain)
        transaction = self._filing(ticket, accepted, moved, version)
        settled = await self._table.settle(transaction, deadline_ms=deadline_ms)
        if isinstance(settled, Failure):
            return fail(
                ErrorKind.OUTCOME_UNKNOWN,
                f"the store did not say whether ticket {accepted.number} was"
                f" accepted; file it again with token {ticket.token}",
            )
        if not settled.unwrap().committed:
            return None
        self._on_event(
            "ticket_accepted",
            number=accepted.number,
            author=accepted.author,
            based_on=ticket.based_on,
            token=ticket.token,
        )
        return Success(accepted)

    def _filing(
        self, ticket: Ticket, accepted: Ticket, head: Head, version: int
    ) -> Transaction:
        row_key, token_key = ticket_row_key(accepted.number), f"t/{ticket.token}"
        token = TokenRow(number=accepted.number, body_hash=body_hash(ticket))
        return Transaction(
            # A token of its own: the answer for another head, or for the same filing
            # sent through another process, is not the answer for this one.
            token=new_token(),
            conditions=[
                Condition(table=TABLE, key=HEAD_KEY, version=version),
                Condition(table=TABLE, key=row_key, version=0),
                Condition(table=TABLE, key=token_key, version=0),
            ],
            puts=[
                Put(table=TABLE, key=HEAD_KEY, value=encode_row(head)),
                Put(table=TABLE, key=row_key, value=encode_row(accepted)),
                Put(table=TABLE, key=token_key, value=encode_row(token)),
            ],
        )

    async def _settled_before(self, ticket: Ticket) -> Result[Ticket, Fault] | None:
        """Return the answer to an earlier sending of this filing, if there was one."""
        found = await self._table.read(TABLE, f"t/{ticket.token}")
        if isinstance(found, Failure):
            return found
        row = found.unwrap()
        if row is None:
            return None
        token = decode_token(row.value)
        if token.body_hash != body_hash(ticket):
            return fail(
                ErrorKind.KEY_REUSED,
                f"token {ticket.token} was used for ticket {token.number}, which has"
                " another content",
            )
        return await self.ticket(token.number)

    async def _read_snapshot(self, head: Head) -> Result[Configuration, Fault]:
        prefix = f"s/{head.snapshot}/"
        rows: list[Row] = []
        while len(rows) < head.snapshot_rows:
            after = rows[-1].key if rows else ""
            found = await self._table.scan(TABLE, prefix, after=after, limit=READ_LIMIT)
            if isinstance(found, Failure):
                return found
            if not found.unwrap():
                return fail(
                    ErrorKind.NOT_FOUND,
                    f"snapshot {head.snapshot} has {len(rows)} rows, expected"
                    f" {head.snapshot_rows}",
                )
            rows.extend(found.unwrap())
        return Success(decode_configuration(b"".join(row.value for row in rows)))
