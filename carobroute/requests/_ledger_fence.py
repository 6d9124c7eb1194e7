"""Fence of a target: its fencing number, held by one process at a time."""

from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from carobroute.errors import ErrorKind, Fault, fail
from carobroute.requests._ledger_types import FENCES_TABLE, encode_row
from carobroute.tables import Condition, Put, Row, TableClient, Transaction
from carobroute.utils import Clock, new_token

MAX_ACQUIRE_ROUNDS = 20
ACQUIRE_TIMEOUT_MS = 5_000.0


class FenceRow(msgspec.Struct, frozen=True, kw_only=True):
    """Row with the highest fencing number of a target and its holder.

    Parameters
    ----------
    fence : int
        Fencing number; increases by one with each holder.
    incarnation : str
        Incarnation of the local process that holds it.
    settled_ms : float
        Time after a take-over by which the last call of this holder has ended, in
        milliseconds.
    closed : bool
        Whether all calls of the holder have ended and it will make no others.
    """

    fence: int
    incarnation: str
    settled_ms: float
    closed: bool = False


_decoder = msgspec.msgpack.Decoder(FenceRow)


class TargetFence:
    """This process's hold on the fence of its target.

    Each claim requires the version of the fence row, so an earlier holder cannot make
    claims after a later one has taken over. Calls that it claimed before may still be
    running. If the target does not refuse old fencing numbers, the later holder waits
    until they have ended, unless the earlier one has closed its hold.

    Parameters
    ----------
    table : TableClient
        The table service.
    clock : Clock
        Source of time.
    target, incarnation : str
        Name of the target, and incarnation of this process.
    honours_fencing : callable
        Returns whether the target refuses old fencing numbers.
    settled_ms : float
        Lease of a claim plus the maximum duration of a call, in milliseconds.
    """

    __slots__ = (
        "_claims_from_ms",
        "_clock",
        "_honours_fencing",
        "_incarnation",
        "_row",
        "_settled_ms",
        "_superseded",
        "_table",
        "_target",
        "_version",
    )

    def __init__(
        self,
        *,
        table: TableClient,
        clock: Clock,
        target: str,
        incarnation: str,
        honours_fencing: Callable[[], bool],
        settled_ms: float,
    ):
        self._table = table
        self._clock = clock
        self._target = target
        self._incarnation = incarnation
        self._honours_fencing = honours_fencing
        self._settled_ms = settled_ms
        self._row: FenceRow | None = None
        self._version = 0
        self._claims_from_ms = 0.0
        self._superseded = False

    @property
    def fence(self) -> int:
        """Fencing number of this process; 0 before it has taken the fence."""
        return self._row.fence if self._row else 0

    @property
    def is_superseded(self) -> bool:
        """Whether a later process has taken over the target, or this one closed."""
        return self._superseded

    @property
    def condition(self) -> Condition:
        """Condition that no later process has taken over."""
        return Condition(table=FENCES_TABLE, key=self._target, version=self._version)

    def refusal(self) -> Fault | None:
        """Return the fault for which no order may be claimed now, or None."""
        if self._superseded:
            detail = f"a later local process holds target {self._target!r}"
            return Fault(kind=ErrorKind.LEAVING, detail=detail)
        if self._row is None:
            detail = f"the fence of target {self._target!r} has not been taken yet"
            return Fault(kind=ErrorKind.STORE_UNAVAILABLE, detail=detail)
        wait_ms = self._claims_from_ms - self._clock.now_ms()
        if wait_ms > 0:
            detail = f"calls of an earlier process may still run for {wait_ms:.0f} ms"
            # The same kind as from a leaving target, so that another target is tried
            # without using up the retry budget.
            return Fault(kind=ErrorKind.LEAVING, detail=detail, retry_after_ms=wait_ms)
        return None

    def update_from_row(self, row: Row) -> None:
        """Update the state from the stored row after a claim failed on its version."""
        if row.version != self._version:
            self._superseded = True

    async def acquire(self) -> Result[int, Fault]:
        """Read the highest fencing number and take the next one."""
        for _ in range(MAX_ACQUIRE_ROUNDS):
            read = await self._table.read(FENCES_TABLE, self._target)
            if isinstance(read, Failure):
                return read
            outcome = await self._take_over(read.unwrap())
            if isinstance(outcome, Failure) or outcome.unwrap():
                return outcome.map(lambda _: self.fence)
        return fail(
            ErrorKind.CONFLICT,
            f"fence of {self._target!r} changed in every round of taking it",
        )

    async def close(self) -> Result[bool, Fault]:
        """Record that no call is in progress and none will be made."""
        if self._row is None or self._superseded:
            return Success(False)
        if self._clock.now_ms() < self._claims_from_ms:
            # Calls of the previous holder may still run, so the next holder must wait.
            return Success(False)
        row = msgspec.structs.replace(self._row, closed=True)
        self._superseded = True
        return await self._write(row, self._version)

    async def _take_over(self, found: Row | None) -> Result[bool, Fault]:
        earlier = _decoder.decode(found.value) if found else None
        row = FenceRow(
            fence=(earlier.fence if earlier else 0) + 1,
            incarnation=self._incarnation,
            settled_ms=self._settled_ms,
        )
        version = found.version if found else 0
        written = await self._write(row, version)
        if isinstance(written, Failure) or not written.unwrap():
            return written
        # The wait starts after the take-over, because the earlier holder could make
        # claims until then.
        self._claims_from_ms = self._clock.now_ms() + self._takeover_wait_ms(earlier)
        self._row, self._version = row, version + 1
        return written

    def _takeover_wait_ms(self, earlier: FenceRow | None) -> float:
        if earlier is None or earlier.closed or self._honours_fencing():
            return 0.0
        return earlier.settled_ms

    async def _write(self, row: FenceRow, version: int) -> Result[bool, Fault]:
        transaction = Transaction(
            token=new_token(),
            conditions=[
                Condition(table=FENCES_TABLE, key=self._target, version=version)
            ],
            puts=[Put(table=FENCES_TABLE, key=self._target, value=encode_row(row))],
        )
        deadline_ms = self._clock.now_ms() + ACQUIRE_TIMEOUT_MS
        result = await self._table.transact_until_settled(
            transaction, deadline_ms=deadline_ms
        )
        if isinstance(result, Success) and not result.unwrap().committed:
            return Success(self._is_own_row(result.unwrap().failed, row))
        return result.map(lambda outcome: outcome.committed)

    def _is_own_row(self, failed: list[Row], row: FenceRow) -> bool:
        """Return whether `row` is stored already, by a write whose reply was lost."""
        return any(found.value == encode_row(row) for found in failed)
