"""Fencing number of a target: one holder at a time, and the wait between two."""

from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from carobroute.errors import ErrorKind, Fault, fail
from carobroute.requests._ledger_types import FENCES_TABLE, encode_row
from carobroute.tables import Condition, Put, Row, TableClient, Transaction
from carobroute.utils import Clock, new_token

ACQUIRE_ROUNDS = 20
ACQUIRE_TIMEOUT_MS = 5_000.0


class FenceRow(msgspec.Struct, frozen=True, kw_only=True):
    """Highest fencing number of a target and who holds it.

    Parameters
    ----------
    fence : int
        The number; grows by one with each holder.
    incarnation : str
        Local process that holds it.
    settled_ms : float
        Time after a take-over until the holder's last call has ended.
    closed : bool
        Whether the holder has ended all calls and will make no other.
    """

    fence: int
    incarnation: str
    settled_ms: float
    closed: bool = False


_decoder = msgspec.msgpack.Decoder(FenceRow)


class TargetFence:
    """This process's hold on its target.

    Each claim requires the version of the fence row, so an earlier holder can claim
    nothing once a later one has taken over. What it had claimed before may still be
    under way: on a target that does not refuse old fencing numbers the later holder
    waits for that, unless the earlier one has closed its hold.

    Parameters
    ----------
    table : TableClient
        The table service.
    clock : Clock
        Source of time.
    target, incarnation : str
        The target and this process.
    honours_fencing : callable
        Tells whether the target refuses old fencing numbers.
    settled_ms : float
        Lease of a claim plus the longest call.
    """

    __slots__ = (
        "_clock",
        "_honours_fencing",
        "_incarnation",
        "_ready_ms",
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
        self._ready_ms = 0.0
        self._superseded = False

    @property
    def fence(self) -> int:
        """Fencing number held; 0 before the first hold."""
        return self._row.fence if self._row else 0

    @property
    def superseded(self) -> bool:
        """Whether a later local process has taken the target over."""
        return self._superseded

    @property
    def condition(self) -> Condition:
        """Requires that no later process has taken over."""
        return Condition(table=FENCES_TABLE, key=self._target, version=self._version)

    def check(self) -> Fault | None:
        """Return why no order may be claimed now, or None."""
        if self._superseded:
            detail = f"a later local process holds target {self._target!r}"
            return Fault(kind=ErrorKind.LEAVING, detail=detail)
        if self._row is None:
            detail = f"the fence of target {self._target!r} has not been taken yet"
            return Fault(kind=ErrorKind.STORE_UNAVAILABLE, detail=detail)
        wait_ms = self._ready_ms - self._clock.now_ms()
        if wait_ms > 0:
            detail = f"calls of an earlier process may run for {wait_ms:.0f} ms yet"
            # As from a target that leaves: another one is tried, at no cost.
            return Fault(kind=ErrorKind.LEAVING, detail=detail, retry_after_ms=wait_ms)
        return None

    def learn(self, row: Row) -> None:
        """Take in the row as it stands, where a claim failed on it."""
        if row.version != self._version:
            self._superseded = True

    async def acquire(self) -> Result[int, Fault]:
        """Take the next fencing number; the highest before is read back first."""
        for _ in range(ACQUIRE_ROUNDS):
            read = await self._table.read(FENCES_TABLE, self._target)
            if isinstance(read, Failure):
                return read
            outcome = await self._take_over(read.unwrap())
            if isinstance(outcome, Failure) or outcome.unwrap():
                return outcome.map(lambda _: self.fence)
        return fail(
            ErrorKind.CONFLICT, f"fence of {self._target!r} changed at each try"
        )

    async def close(self) -> Result[bool, Fault]:
        """Record that no call is under way and none will be made."""
        if self._row is None or self._superseded:
            return Success(False)
        if self._clock.now_ms() < self._ready_ms:
            # Calls of the holder before may still run, so the next one has to wait.
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
        # The wait counts from after the take-over: until then the earlier holder
        # could still claim.
        self._ready_ms = self._clock.now_ms() + self._wait_ms(earlier)
        self._row, self._version = row, version + 1
        return written

    def _wait_ms(self, earlier: FenceRow | None) -> float:
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
        result = await self._table.settle(transaction, deadline_ms=deadline_ms)
        if isinstance(result, Success) and not result.unwrap().committed:
            return Success(self._is_own(result.unwrap().failed, row))
        return result.map(lambda outcome: outcome.committed)

    def _is_own(self, failed: list[Row], row: FenceRow) -> bool:
        return any(found.value == encode_row(row) for found in failed)
