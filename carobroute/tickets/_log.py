"""The log of accepted tickets, stored in the table service.

Rows of the table `tickets`::

    head              number and chain of the last ticket, and name of the snapshot
    n/000000000042    ticket 42
    t/<token>         number assigned to the filing with this token
    s/<name>/0000     part of a snapshot

A filing is one transaction, conditional on the head's version: it appends the ticket
and its token row and advances the head. The ticket is checked against the configuration
at that head, so two concurrent tickets, each valid alone, cannot be invalid together.
"""

import msgspec
from returns.result import Failure, Result, Success

from carobroute.errors import ErrorKind, Fault, fail
from carobroute.tables import Condition, Put, Transaction
from carobroute.tickets._check import check_ticket, describe_faults
from carobroute.tickets._codec import (
    MAX_TICKET_BYTES,
    Head,
    TokenRow,
    body_hash,
    chain_hash,
    decode_token,
    encode_row,
)
from carobroute.tickets._log_reader import (
    HEAD_KEY,
    TICKET_TABLE,
    LogReader,
    ticket_row_key,
)
from carobroute.tickets._schema import Configuration, Ticket, object_key
from carobroute.utils import new_token

MAX_FILING_ATTEMPTS = 50


class TicketLog(LogReader):
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

    __slots__ = ()

    async def file(self, ticket: Ticket, deadline_ms: float) -> Result[Ticket, Fault]:
        """Check `ticket` and append it to the log.

        Parameters
        ----------
        ticket : Ticket
            Ticket to file. Filing it again with the same token is safe at any time.
        deadline_ms : float
            Monotonic time at which to give up.

        Returns
        -------
        accepted : Result
            The ticket with its number. A `CONFLICT` fault names the objects that
            changed since `based_on`, and the tickets that changed them;
            `INVALID_TICKET` lists the ticket's faults; `OUTCOME_UNKNOWN` means that
            no answer of the store arrived: file it again with the same token.
        """
        if not ticket.token:
            return fail(ErrorKind.INVALID_TICKET, "token is empty, expected 128 bits")
        for _ in range(MAX_FILING_ATTEMPTS):
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
        """Try to append to the current head; None if the head moved meanwhile."""
        earlier = await self._find_earlier_result(ticket)
        if earlier is not None:
            return earlier
        found = await self.read_head()
        if isinstance(found, Failure):
            return found
        head, version = found.unwrap()
        loaded = await self.load_at_head(head, self._cached)
        if isinstance(loaded, Failure):
            is_compacted = loaded.failure().kind is ErrorKind.NOT_FOUND
            return None if is_compacted else loaded
        refusal = self._find_refusal(ticket, head, loaded.unwrap())
        if refusal is not None:
            # A filing whose answer was lost conflicts with itself; read its row again.
            earlier = await self._find_earlier_result(ticket)
            return earlier if earlier is not None else refusal
        return await self._append(ticket, head, version, deadline_ms)

    def _find_refusal(
        self, ticket: Ticket, head: Head, configuration: Configuration
    ) -> Result | None:
        conflict = self._find_conflict(ticket, head, configuration)
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

    def _find_conflict(
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
            ticket=max(changed.values()),
            token=ticket.token,
            author=ticket.author,
            based_on=ticket.based_on,
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
        new_head = msgspec.structs.replace(head, number=accepted.number, chain=chain)
        transaction = self._filing_transaction(ticket, accepted, new_head, version)
        settled = await self._table.transact_until_settled(
            transaction, deadline_ms=deadline_ms
        )
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
            ticket=accepted.number,
            author=accepted.author,
            based_on=ticket.based_on,
            token=ticket.token,
        )
        return Success(accepted)

    def _filing_transaction(
        self, ticket: Ticket, accepted: Ticket, head: Head, version: int
    ) -> Transaction:
        row_key, token_key = ticket_row_key(accepted.number), f"t/{ticket.token}"
        token_row = TokenRow(number=accepted.number, body_hash=body_hash(ticket))
        return Transaction(
            # Not the ticket's token: the store would answer with the result for another
            # head, or for the same filing sent by another process.
            token=new_token(),
            conditions=[
                Condition(table=TICKET_TABLE, key=HEAD_KEY, version=version),
                Condition(table=TICKET_TABLE, key=row_key, version=0),
                Condition(table=TICKET_TABLE, key=token_key, version=0),
            ],
            puts=[
                Put(table=TICKET_TABLE, key=HEAD_KEY, value=encode_row(head)),
                Put(table=TICKET_TABLE, key=row_key, value=encode_row(accepted)),
                Put(table=TICKET_TABLE, key=token_key, value=encode_row(token_row)),
            ],
        )

    async def _find_earlier_result(
        self, ticket: Ticket
    ) -> Result[Ticket, Fault] | None:
        """Return the result of an earlier send of this filing; None if not accepted."""
        found = await self._table.read(TICKET_TABLE, f"t/{ticket.token}")
        if isinstance(found, Failure):
            return found
        row = found.unwrap()
        if row is None:
            return None
        token_row = decode_token(row.value)
        if token_row.body_hash != body_hash(ticket):
            return fail(
                ErrorKind.KEY_REUSED,
                f"token {ticket.token} was used for ticket {token_row.number},"
                " which has another content",
            )
        return await self.ticket(token_row.number)
