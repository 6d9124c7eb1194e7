"""Reads the tickets that this process lacks from the table."""

import asyncio
from collections.abc import Callable

from returns.result import Failure, Result, Success

from carobroute.errors import ErrorKind, Fault, fail
from carobroute.tickets._applied import AppliedConfiguration
from carobroute.tickets._log import TicketLog
from carobroute.utils import Clock


class TableReader:
    """Reads the head and the missing tickets, one refresh at a time.

    Parameters
    ----------
    log : TicketLog
        Log of accepted tickets.
    applied : AppliedConfiguration
        Configuration in force here.
    clock : Clock
        Source of time.
    on_event : callable
        Called with an event name and fields.
    """

    __slots__ = (
        "_applied",
        "_clock",
        "_failures",
        "_last_fault",
        "_last_success_ms",
        "_lock",
        "_log",
        "_on_event",
    )

    def __init__(
        self,
        *,
        log: TicketLog,
        applied: AppliedConfiguration,
        clock: Clock,
        on_event: Callable[..., None],
    ):
        self._log = log
        self._applied = applied
        self._clock = clock
        self._on_event = on_event
        self._lock = asyncio.Lock()
        self._failures = 0
        self._last_fault: Fault | None = None
        self._last_success_ms: float | None = None

    @property
    def failures(self) -> int:
        """Number of failed reads since the last successful one."""
        return self._failures

    def explain(self) -> str:
        """Return a short text that says whether the table answers."""
        if not self._failures or self._last_fault is None:
            return "the table answers"
        if self._last_fault.kind is not ErrorKind.STORE_UNAVAILABLE:
            return str(self._last_fault)
        if self._last_success_ms is None:
            return "the table has not answered since the start"
        silent_s = (self._clock.now_ms() - self._last_success_ms) / 1_000
        return f"the table has not answered for {silent_s:.0f} s"

    async def refresh(self) -> Result[int, Fault]:
        """Read the head and the missing tickets; return the head's number."""
        async with self._lock:
            result = await self._read()
        if isinstance(result, Failure):
            self._failures += 1
            self._last_fault = result.failure()
            if self._failures == 1:
                self._on_event(
                    "table_unavailable", level="warning", reason=str(self._last_fault)
                )
            return result
        if self._failures:
            self._on_event("table_available", failures=self._failures)
        self._failures = 0
        self._last_success_ms = self._clock.now_ms()
        return result

    async def _read(self) -> Result[int, Fault]:
        applied = self._applied
        found = await self._log.read_head()
        if isinstance(found, Failure):
            return found
        head, _version = found.unwrap()
        if head.number < applied.number:
            self._on_event(
                "table_behind",
                level="error",
                ticket=applied.number,
                head=head.number,
            )
        applied.compare_chain(head.number, head.chain)
        if head.number <= applied.number:
            return Success(head.number)
        if applied.number >= head.floor:
            return await self._read_tickets(head.number)
        loaded = await self._log.load_configuration(applied.current)
        if isinstance(loaded, Failure):
            return loaded
        applied.adopt(loaded.unwrap())
        return Success(head.number)

    async def _read_tickets(self, head: int) -> Result[int, Fault]:
        applied = self._applied
        while applied.number < head:
            found = await self._log.read(applied.number)
            if isinstance(found, Failure):
                return found
            if not applied.apply_tickets(found.unwrap()) and applied.number < head:
                return fail(
                    ErrorKind.STALE_CONFIGURATION,
                    f"the table's tickets after {applied.number} do not follow the"
                    " configuration in force",
                )
        return Success(head)
