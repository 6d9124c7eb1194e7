"""Leases: rows of the table that say who holds a duty, and until when.

The holder counts from before its write was sent; a taker counts from when it first saw
the row unchanged, and waits a little longer. No two processes compare clocks. Each
take-over raises the fence by one, so that whatever honours the fence can refuse a
holder that was paused past its lease and does not know it yet.
"""

from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from carobroute.errors import ErrorKind, Fault, fail
from carobroute.tables import Condition, Put, Row, TableClient, Transaction
from carobroute.utils import BoundedDict, Clock, new_token

TABLE = "leases"
MAX_WATCHED = 2_000


class LeaseRow(msgspec.Struct, kw_only=True, frozen=True):
    """Row of one duty.

    Parameters
    ----------
    holder : str
        Incarnation of the holder; empty after a release.
    fence : int
        Fencing number, one more with each take-over.
    duration_ms : float
        Time for which a write of the holder is valid.
    """

    holder: str
    fence: int
    duration_ms: float


class LeaseParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Times of leases.

    Parameters
    ----------
    duration_ms : float
        Time for which a taken or renewed lease is valid.
    settle_ms : float
        Longest time to settle a write whose answer was lost.
    drift : float
        Share by which a taker waits longer, for clocks that run at other rates.
    """

    duration_ms: float = 15_000.0
    settle_ms: float = 5_000.0
    drift: float = 0.05


class Lease:
    """A duty held by this process.

    Parameters
    ----------
    duty : str
        Name of the duty.
    fence : int
        Fencing number of this tenure.
    version : int
        Version of the row.
    valid_until_ms : float
        Monotonic time at which the tenure ends unless it is renewed.
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "_duty", "_fence", "_lost", "_valid_until_ms", "_version")

    def __init__(
        self,
        *,
        duty: str,
        fence: int,
        version: int,
        valid_until_ms: float,
        clock: Clock,
    ):
        self._duty = duty
        self._fence = fence
        self._version = version
        self._valid_until_ms = valid_until_ms
        self._clock = clock
        self._lost = ""

    @property
    def duty(self) -> str:
        """Name of the duty."""
        return self._duty

    @property
    def fence(self) -> int:
        """Fencing number of this tenure."""
        return self._fence

    @property
    def version(self) -> int:
        """Version of the row as last written or seen."""
        return self._version

    @property
    def valid_until_ms(self) -> float:
        """Monotonic time at which the tenure ends unless it is renewed."""
        return self._valid_until_ms

    @property
    def left_ms(self) -> float:
        """Time left, in milliseconds; 0 once the lease is lost."""
        if self._lost:
            return 0.0
        return max(0.0, self._valid_until_ms - self._clock.now_ms())

    @property
    def held(self) -> bool:
        """Whether this process may act on the lease now."""
        return self.left_ms > 0.0

    def guard(self) -> Result[int, Fault]:
        """Return the fence if this process may act now.

        Call it after the last await before an effect, and send the fence with the
        effect: a pause can still fall between this check and the sending.
        """
        if self.held:
            return Success(self._fence)
        why = self._lost or "lapsed"
        return fail(
            ErrorKind.STALE_FENCE, f"lease {self._duty} fence {self._fence} is {why}"
        )

    def extend(self, *, version: int, valid_until_ms: float) -> None:
        """Note a renewal; a lease that was lost stays lost."""
        self._version = version
        self._valid_until_ms = max(self._valid_until_ms, valid_until_ms)

    def lose(self, why: str) -> None:
        """End the tenure at once."""
        self._lost = self._lost or why


class Watch(msgspec.Struct, frozen=True):
    """When a row of another holder was first seen with its version."""

    version: int
    since_ms: float


class LeaseKeeper:
    """Takes, renews and releases leases of one process.

    Parameters
    ----------
    table : TableClient
        The table service.
    clock : Clock
        Source of time.
    incarnation : str
        Who takes the leases.
    parameters : LeaseParameters, default=None
        Times.
    on_event : callable, default=None
        Called with an event name and fields.
    """

    __slots__ = (
        "_clock",
        "_held",
        "_incarnation",
        "_on_event",
        "_parameters",
        "_table",
        "_watched",
    )

    def __init__(
        self,
        *,
        table: TableClient,
        clock: Clock,
        incarnation: str,
        parameters: LeaseParameters | None = None,
        on_event: Callable[..., None] | None = None,
    ):
        self._table = table
        self._clock = clock
        self._incarnation = incarnation
        self._parameters = parameters or LeaseParameters()
        self._on_event = on_event or (lambda *args, **fields: None)
        self._held: dict[str, Lease] = {}
        self._watched: BoundedDict[str, Watch] = BoundedDict(most=MAX_WATCHED)

    @property
    def parameters(self) -> LeaseParameters:
        """Times of these leases."""
        return self._parameters

    def held(self, duty: str) -> Lease | None:
        """Return the lease of `duty` if this process may act on it now."""
        lease = self._held.get(duty)
        return lease if lease is not None and lease.held else None

    async def acquire(
        self, duty: str, *, extra_wait_ms: float = 0.0
    ) -> Result[Lease, Fault]:
        """Take a duty that nobody holds.

        Parameters
        ----------
        duty : str
            Name of the duty.
        extra_wait_ms : float, default=0.0
            Time to wait beyond the old holder's lease, for effects that it began.

        Returns
        -------
        lease : Result
            A `CONFLICT` fault says who holds the duty; ask again later.
        """
        found = await self._table.read(TABLE, duty)
        if isinstance(found, Failure):
            return found
        row = found.unwrap()
        if row is None:
            return await self._take(duty, None, version=0)
        known = msgspec.msgpack.decode(row.value, type=LeaseRow)
        wait_ms = self._wait_ms(duty, row, known, extra_wait_ms)
        if wait_ms > 0:
            return fail(
                ErrorKind.CONFLICT,
                f"{duty} is held by {known.holder} with fence {known.fence}",
                retry_after_ms=wait_ms,
            )
        return await self._take(duty, known, version=row.version)

    async def renew(self, lease: Lease) -> Result[None, Fault]:
        """Make `lease` valid for another duration, counted from now."""
        if not lease.held:
            return lease.guard().map(lambda _: None)
        started_ms = self._clock.now_ms()
        row = self._row(lease.fence)
        settled = await self._write(
            lease.duty, row, version=lease.version, deadline_ms=lease.valid_until_ms
        )
        if isinstance(settled, Failure):
            return settled
        current = settled.unwrap()
        if current is None:
            lease.extend(
                version=lease.version + 1, valid_until_ms=started_ms + row.duration_ms
            )
            return Success(None)
        return self._adopt(lease, current)

    async def release(self, lease: Lease) -> Result[None, Fault]:
        """Give the duty up after all effects, so that nobody need wait for it."""
        was_held = lease.held
        lease.lose("released")
        self._held.pop(lease.duty, None)
        if not was_held:
            return Success(None)
        row = LeaseRow(
            holder="", fence=lease.fence, duration_ms=self._parameters.duration_ms
        )
        settled = await self._write(lease.duty, row, version=lease.version)
        self._event("lease_released", lease)
        return settled.map(lambda _: None)

    def _wait_ms(
        self, duty: str, row: Row, known: LeaseRow, extra_wait_ms: float
    ) -> float:
        if known.holder in ("", self._incarnation):
            return 0.0
        now_ms = self._clock.now_ms()
        watch = self._watched.get(duty)
        if watch is None or watch.version != row.version:
            watch = Watch(row.version, now_ms)
            self._watched[duty] = watch
        whole_ms = known.duration_ms * (1 + self._parameters.drift) + extra_wait_ms
        return max(0.0, watch.since_ms + whole_ms - now_ms)

    async def _take(
        self, duty: str, known: LeaseRow | None, *, version: int
    ) -> Result[Lease, Fault]:
        before = self._held.pop(duty, None)
        if before is not None:
            before.lose("taken again by this process")
        started_ms = self._clock.now_ms()
        row = self._row(known.fence + 1 if known else 1)
        settled = await self._write(duty, row, version=version)
        if isinstance(settled, Failure):
            return settled
        current = settled.unwrap()
        if current is not None:
            return fail(ErrorKind.CONFLICT, f"{duty} was taken by another process")
        lease = Lease(
            duty=duty,
            fence=row.fence,
            version=version + 1,
            valid_until_ms=started_ms + row.duration_ms,
            clock=self._clock,
        )
        self._held[duty] = lease
        self._watched.pop(duty, None)
        self._event("lease_taken", lease, was=known.holder if known else "")
        return Success(lease)

    def _adopt(self, lease: Lease, current: Row) -> Result[None, Fault]:
        """The row is not as last written: another took it, or an answer was lost."""
        if current.version:
            known = msgspec.msgpack.decode(current.value, type=LeaseRow)
            same = known.holder == self._incarnation and known.fence == lease.fence
            if same:
                lease.extend(
                    version=current.version, valid_until_ms=lease.valid_until_ms
                )
                return Success(None)
        lease.lose("taken over")
        self._held.pop(lease.duty, None)
        self._event("lease_lost", lease)
        return lease.guard().map(lambda _: None)

    async def _write(
        self,
        duty: str,
        row: LeaseRow,
        *,
        version: int,
        deadline_ms: float | None = None,
    ) -> Result[Row | None, Fault]:
        """Write the row at `version`; return the row found there instead, if any."""
        transaction = Transaction(
            token=new_token(),
            conditions=[Condition(table=TABLE, key=duty, version=version)],
            puts=[Put(table=TABLE, key=duty, value=msgspec.msgpack.encode(row))],
        )
        limit_ms = self._clock.now_ms() + self._parameters.settle_ms
        settled = await self._table.settle(
            transaction, deadline_ms=min(limit_ms, deadline_ms or limit_ms)
        )
        if isinstance(settled, Failure):
            return settled
        outcome = settled.unwrap()
        return Success(None if outcome.committed else outcome.failed[0])

    def _row(self, fence: int) -> LeaseRow:
        return LeaseRow(
            holder=self._incarnation,
            fence=fence,
            duration_ms=self._parameters.duration_ms,
        )

    def _event(self, name: str, lease: Lease, **fields) -> None:
        self._on_event(name, duty=lease.duty, fence=lease.fence, **fields)
