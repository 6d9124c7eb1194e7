"""The latest tickets in force, held in memory to send to peers that lack them."""

from collections import deque

import msgspec

from carobroute.tickets._codec import encode_row
from carobroute.tickets._schema import Ticket

MAX_HISTORY_BYTES = 1024 * 1024
MAX_HISTORY_TICKETS = 500
MAX_RANGE_BYTES = 1024 * 1024


class HistoryEntry(msgspec.Struct, frozen=True):
    """One encoded ticket; `in_force_ms` is 0 if it is unknown when it took effect."""

    number: int
    data: bytes
    filed_ms: float
    in_force_ms: float


class TicketHistory:
    """The latest tickets in order and without a gap, bounded in number and bytes.

    Examples
    --------
    >>> history = TicketHistory()
    >>> history.after(0) is None
    True
    """

    __slots__ = ("_bytes", "_entries")

    def __init__(self):
        self._entries: deque[HistoryEntry] = deque()
        self._bytes = 0

    def append(self, ticket: Ticket, *, in_force_ms: float) -> None:
        """Add a ticket; if it does not follow the last one, the others are dropped."""
        data = encode_row(ticket)
        entry = HistoryEntry(ticket.number, data, ticket.filed_ms, in_force_ms)
        if self._entries and self._entries[-1].number != ticket.number - 1:
            self.clear()
        self._entries.append(entry)
        self._bytes += len(data)
        while self._bytes > MAX_HISTORY_BYTES or len(self) > MAX_HISTORY_TICKETS:
            self._bytes -= len(self._entries.popleft().data)

    def clear(self) -> None:
        """Drop all tickets, as the next one will not follow them."""
        self._entries.clear()
        self._bytes = 0

    def after(self, number: int) -> list[bytes] | None:
        """Return the encoded tickets above `number` that fit into `MAX_RANGE_BYTES`.

        At least one is returned if there is any; None if the tickets held start above
        `number` + 1.
        """
        if not self._entries or self._entries[0].number > number + 1:
            return None
        found: list[bytes] = []
        size = 0
        for entry in self._entries:
            if entry.number > number:
                size += len(entry.data)
                if found and size > MAX_RANGE_BYTES:
                    break
                found.append(entry.data)
        return found

    def find(self, number: int) -> HistoryEntry | None:
        """Return the entry of one ticket, or None if it is not held."""
        for entry in reversed(self._entries):
            if entry.number == number:
                return entry
        return None

    def __len__(self) -> int:
        return len(self._entries)
