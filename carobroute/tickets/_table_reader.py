"""Reads from the table the tickets that this process lacks."""

import asyncio
from collections.abc import Callable

from returns.result import Failure, Result, Success

from carobroute.errors import ErrorKind, Fault, fail
from carobroute.tickets._forward import ForwardConfiguration
from carobroute.tickets._log import TicketLog
from carobroute.utils import Clock


class TableReader:
    """Reads the head and what is lacking, one read at a time.

    Parameters
    ----------
    log : TicketLog
        The accepted tickets.
    forward : ForwardConfiguration
        What is in force here.
    clock : Clock
        Source of time.
    on_event : callable
        Called with an event name and fields.
    """

    __slots__ = (
        "_answered_ms",
        "_clock",
        "_failures",
        "_fault",
        "_forward",
        "_lock",
        "_log",
        "_on_event",
    )

    def __init__(
        self,
        *,
        log: TicketLog,
        forward: ForwardConfiguration,
        clock: Clock,
        on_event: Callable[..., None],
    ):
        self._log = log
        self._forward = forward
        self._clock = clock
        self._on_event = on_event
        self._lock = asyncio.Lock()
        self._failures = 0
        self._fault: Fault | None = None
        self._answered_ms: float | None = None

    @property
    def failures(self) -> int:
        """Reads that failed since one was answered."""
        return self._failures

    def explain(self) -> str:
        """Return in a few words whether the table answers."""
        if not self._failures or self._fault is None:
            return "the table answers"
        if self._fault.kind is not ErrorKind.STORE_UNAVAILABLE:
            return str(self._fault)
        if self._answered_ms is None:
            return "the table has not answered since the start"
        silent_s = (self._clock.now_ms() - self._answered_ms) / 1_000
        return f"the table has not answered for {silent_s:.0f} s"

    async def refresh(self) -> Result[int, Fault]:
        """Read the head and what is lacking; return the head's number."""
        async with self._lock:
            result = await self._read()
        if isinstance(result, Failure):
            self._failures += 1
            self._fault = result.failure()
            if self._failures == 1:
                self._on_event(
                    "table_unavailable", level="warning", reason=str(self._fault)
                )
            return result
        if self._failures:
            self._on_event("table_available", failures=self._failures)
        self._failures = 0
        self._answered_ms = self._clock.now_ms()
        return result

    async def _read(self) -> Result[int, Fault]:
        forward = self._forward
        found = await self._log.read_head()
        if isinstance(found, Failure):
            return found
        head, _version = found.unwrap()
        if head.number < forward.number:
            self._on_event(
                "table_behind",
                level="error",
                ticket=forward.number,
                head=head.number,
            )
        forward.compare_chain(head.number, head.chain)
        if head.number <= forward.number:
            return Success(head.number)
        if forward.number >= head.floor:
            return await self._read_tickets(head.number)
        loaded = await self._log.load_configuration(forward.current)
        if isinstance(loaded, Failure):
            return loaded
        forward.adopt(loaded.unwrap())
        return Success(head.number)

    async def _read_tickets(self, head: int) -> Result[int, Fault]:
        forward = self._forward
        while forward.number < head:
            found = await self._log.read(forward.number)
            if isinstance(found, Failure):
                return found
            if not forward.offer(found.unwrap()) and forward.number < head:
                return fail(
                    ErrorKind.STALE_CONFIGURATION,
                    f"the table's tickets after {forward.number} do not follow the"
                    " configuration in force",
                )
        return Success(head)
