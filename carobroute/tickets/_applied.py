"""The configuration in force in one process, whose ticket number only grows."""

import asyncio
from collections.abc import Callable

import msgspec

from carobroute.tickets._codec import (
    chain_hash,
    decode_configuration,
    decode_ticket,
    encode_configuration,
)
from carobroute.tickets._history import TicketHistory
from carobroute.tickets._messages import TicketRange
from carobroute.tickets._schema import MAX_REMOVAL_RECORDS, Configuration, Ticket
from carobroute.utils import Clock


class AppliedConfiguration:
    """The configuration in force in one process, and its latest tickets.

    Tickets are applied in order, each checked against the chain hash of the one
    before it; a whole configuration is adopted only if it reverts no object.

    Parameters
    ----------
    clock : Clock
        Source of time.
    on_event : callable
        Called with an event name and fields.
    """

    __slots__ = (
        "_advanced",
        "_cached_image",
        "_callbacks",
        "_clock",
        "_current",
        "_history",
        "_is_timing",
        "_on_event",
        "_reported_chain",
    )

    def __init__(self, *, clock: Clock, on_event: Callable[..., None]):
        self._clock = clock
        self._on_event = on_event
        self._current = Configuration()
        self._history = TicketHistory()
        self._cached_image: tuple[int, bytes] = (0, b"")
        self._callbacks: list[Callable[[Configuration], None]] = []
        self._advanced = asyncio.Event()
        self._reported_chain = ""
        self._is_timing = False

    @property
    def current(self) -> Configuration:
        """The configuration in force."""
        return self._current

    @property
    def number(self) -> int:
        """Highest ticket number in force."""
        return self._current.number

    @property
    def history(self) -> TicketHistory:
        """The latest tickets and when they came into force here."""
        return self._history

    def begin_timing(self) -> None:
        """Record when tickets come into force from now on; those before are old."""
        self._is_timing = True

    def on_change(self, callback: Callable[[Configuration], None]) -> None:
        """Register `callback`, called with each new configuration, in order."""
        self._callbacks.append(callback)

    async def wait_until_in_force(self, number: int, timeout_ms: float) -> bool:
        """Wait until ticket `number` is in force; return False on a timeout."""
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                while self.number < number:
                    self._advanced.clear()
                    await self._advanced.wait()
        except TimeoutError:
            return False
        return True

    def apply_tickets(self, tickets: list[Ticket]) -> bool:
        """Apply the tickets that continue the configuration in force without a gap.

        Returns
        -------
        changed : bool
            Whether the configuration changed.
        """
        configuration = self._current
        for ticket in sorted(tickets, key=lambda entry: entry.number):
            if ticket.number <= configuration.number:
                self.compare_chain(ticket.number, ticket.chain)
                continue
            if ticket.number > configuration.number + 1:
                break
            if chain_hash(configuration.chain, ticket) != ticket.chain:
                self._report_mismatch(ticket.number, ticket.chain, "ticket")
                break
            configuration = configuration.with_ticket(ticket)
            in_force_ms = self._clock.wall_ms() if self._is_timing else 0.0
            self._history.append(ticket, in_force_ms=in_force_ms)
        return self._put_in_force(configuration)

    def adopt(self, configuration: Configuration) -> bool:
        """Replace the whole configuration, unless the new one reverts an object.

        Returns
        -------
        adopted : bool
            False also if `configuration` is not newer than the one in force.
        """
        reverted = find_reverted_object(self._current, configuration)
        if configuration.number > self.number and reverted:
            self._on_event(
                "configuration_refused",
                level="error",
                ticket=configuration.number,
                before=self.number,
                object=reverted,
            )
            return False
        if not self._put_in_force(configuration):
            return False
        self._history.clear()
        return True

    def apply_range(self, entry: TicketRange) -> bool:
        """Apply the answer of a peer; return whether the configuration changed."""
        tickets = []
        try:
            if entry.image:
                return self.adopt(decode_configuration(entry.image))
            for data in entry.tickets:
                tickets.append(decode_ticket(data))
        except (ValueError, msgspec.MsgspecError) as error:
            # Damaged or of a later version; the tickets before it are still applied.
            self._on_event(
                "ticket_damaged",
                level="error",
                ticket=self.number + len(tickets) + 1,
                error=str(error),
            )
        return self.apply_tickets(tickets)

    def range_after(self, after: int, *, ready: bool) -> TicketRange:
        """Return the tickets above `after`, or the whole configuration.

        The configuration is returned if the history lacks one of the tickets.
        """
        number = self.number
        if after >= number:
            return TicketRange(number=number, ready=ready)
        tickets = self._history.after(after)
        if tickets is not None:
            return TicketRange(number=number, ready=ready, tickets=tickets)
        if self._cached_image[0] != number:
            self._cached_image = (number, encode_configuration(self._current))
        return TicketRange(number=number, ready=ready, image=self._cached_image[1])

    def compare_chain(self, number: int, chain: str) -> None:
        """Report `chain` if ticket `number` is in force with another chain hash."""
        known = self._current.chain
        if number == self.number and known and chain and chain != known:
            self._report_mismatch(number, chain, "chain")

    def _put_in_force(self, configuration: Configuration) -> bool:
        before = self.number
        if configuration.number <= before:
            return False
        self._current = configuration
        self._on_event("in_force", ticket=configuration.number, before=before)
        self._advanced.set()
        for callback in self._callbacks:
            try:
                callback(configuration)
            except Exception as error:
                # A failing callback must not keep the others from being called.
                self._on_event(
                    "task_failed", level="error", task="on_change", error=repr(error)
                )
        return True

    def _report_mismatch(self, number: int, chain: str, what: str) -> None:
        if chain == self._reported_chain:
            return
        self._reported_chain = chain
        self._on_event(
            "ticket_mismatch",
            level="error",
            what=what,
            ticket=number,
            got=chain,
            expected=self._current.chain,
        )


def find_reverted_object(before: Configuration, after: Configuration) -> str:
    """Return the key of an object that `after` would revert, or an empty string.

    Examples
    --------
    >>> find_reverted_object(Configuration(number=1), Configuration(number=2))
    ''
    """
    # A full list of removals has lost its oldest entries, so an object that is missing
    # may have been removed.
    is_truncated = len(after.removed) >= MAX_REMOVAL_RECORDS
    for key, known in before.objects.items():
        if is_truncated and key not in after.objects:
            continue
        if after.number_of(key) < known.number:
            return key
    return ""
