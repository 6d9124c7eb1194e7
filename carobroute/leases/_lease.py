"""Leases: table rows that record the holder of a duty and the duration of its lease.

The holder measures the duration from before its write was sent; another process
measures it from when it first read the current version of the row, and waits a little
longer. No clocks are compared between processes. Each take-over raises the fencing
number (fence) by one, so that a receiver that checks it can refuse a former holder that
was paused beyond the end of its lease and has not noticed it yet.
"""

from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from carobroute.errors import ErrorKind, Fault, fail
from carobroute.tables import Condition, Put, Row, TableClient, Transaction
from carobroute.utils import BoundedDict, Clock, new_token

TABLE = "leases"
MAX_OBSERVED_ROWS = 2_000


class LeaseRow(msgspec.Struct, kw_only=True, frozen=True):
    """Row of one duty.

    Parameters
    ----------
    holder : str
        Incarnation of the holder; empty after a release.
    fence : int
        Fencing number, which grows by one with each take-over.
    duration_ms : float
        Duration of the lease after each write of the holder.
    """

    holder: str
    fence: int
    duration_ms: float


class LeaseParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Durations of leases.

    Parameters
    ----------
    duration_ms : float
        Time for which a lease is valid after it was taken or renewed.
    settle_ms : float
        Timeout for finding the outcome of a write whose reply was lost.
    clock_drift : float
        Fraction by which a process waits longer than the duration before it takes a
        duty over, to allow for clocks that run at different rates.
    """

    duration_ms: float = 15_000.0
    settle_ms: float = 5_000.0
    clock_drift: float = 0.05


class Lease:
    """Lease of a duty that this process holds or has held.

    Parameters
    ----------
    duty : str
        Name of the duty.
    fence : int
        Fencing number of this tenure.
    version : int
        Version of the row as last written or read.
    valid_until_ms : float
        Monotonic time at which the lease lapses unless it is renewed.
    clock : Clock
        Source of time.
    """

    __slots__ = (
        "_clock",
        "_duty",
        "_fence",
        "_lost_reason",
        "_valid_until_ms",
        "_version",
    )

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
        self._lost_reason = ""

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
        """Version of the row as last written or read."""
        return self._version

    @property
    def valid_until_ms(self) -> float:
        """Monotonic time at which the lease lapses unless it is renewed."""
        return self._valid_until_ms

    @property
    def remaining_ms(self) -> float:
        """Time until the lease lapses; 0 if it was lost."""
        if self._lost_reason:
            return 0.0
        return max(0.0, self._valid_until_ms - self._clock.now_ms())

    @property
    def is_held(self) -> bool:
        """Whether the lease is valid, so that this process may act under it."""
        return self.remaining_ms > 0.0

    def fence_if_held(self) -> Result[int, Fault]:
        """Return the fence if the lease is held, or a `STALE_FENCE` fault.

        Call this after the last await before an effect, and send the fence with the
        effect, because the process may still be paused between this check and the send.
        """
        if self.is_held:
            return Success(self._fence)
        reason = self._lost_reason or "lapsed"
        return fail(
            ErrorKind.STALE_FENCE, f"lease {self._duty} fence {self._fence} is {reason}"
        )

    def extend(self, *, version: int, valid_until_ms: float) -> None:
        """Record a renewal; a lease that was lost stays lost."""
        self._version = version
        self._valid_until_ms = max(self._valid_until_ms, valid_until_ms)

    def lose(self, reason: str) -> None:
        """End the lease at once."""
        self._lost_reason = self._lost_reason or reason


class ObservedRow(msgspec.Struct, frozen=True):
    """Version of another holder's row, and when it was first read."""

    version: int
    first_seen_ms: float


class LeaseManager:
    """Acquires, renews and releases the leases of one process.

    Parameters
    ----------
    table : TableClient
        Client of the table service.
    clock : Clock
        Source of time.
    incarnation : str
        Incarnation of this process, which is the holder.
    parameters : LeaseParameters, default=None
        Durations.
    on_event : callable, default=None
        Called with an event name and fields.
    """

    __slots__ = (
        "_clock",
        "_held",
        "_incarnation",
        "_observed_rows",
        "_on_event",
        "_parameters",
        "_table",
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
        self._observed_rows: BoundedDict[str, ObservedRow] = BoundedDict(
            most=MAX_OBSERVED_ROWS
        )

    @property
    def parameters(self) -> LeaseParameters:
        """Durations of the leases."""
        return self._parameters

    def held(self, duty: str) -> Lease | None:
        """Return the lease of `duty` if this process holds it now."""
        lease = self._held.get(duty)
        return lease if lease is not None and lease.is_held else None

    async def acquire(
        self, duty: str, *, extra_wait_ms: float = 0.0
    ) -> Result[Lease, Fault]:
        """Acquire the lease of a duty that no other process holds.

        Parameters
        ----------
        duty : str
            Name of the duty.
        extra_wait_ms : float, default=0.0
            Time to wait beyond the former holder's lease, for effects under way.

        Returns
        -------
        lease : Result
            A `CONFLICT` fault if another process holds the duty; retry after its
            `retry_after_ms`.
        """
        found = await self._table.read(TABLE, duty)
        if isinstance(found, Failure):
            return found
        row = found.unwrap()
        if row is None:
            return await self._take(duty, None, version=0)
        lease_row = msgspec.msgpack.decode(row.value, type=LeaseRow)
        wait_ms = self._remaining_wait_ms(duty, row, lease_row, extra_wait_ms)
        if wait_ms > 0:
            return fail(
                ErrorKind.CONFLICT,
                f"{duty} is held by {lease_row.holder} with fence {lease_row.fence}",
                retry_after_ms=wait_ms,
            )
        return await self._take(duty, lease_row, version=row.version)

    async def renew(self, lease: Lease) -> Result[None, Fault]:
        """Renew `lease` for its full duration, measured from now."""
        if not lease.is_held:
            return lease.fence_if_held().map(lambda _: None)
        started_ms = self._clock.now_ms()
        row = self._row(lease.fence)
        result = await self._write(
            lease.duty, row, version=lease.version, deadline_ms=lease.valid_until_ms
        )
        if isinstance(result, Failure):
            return result
        current = result.unwrap()
        if current is None:
            lease.extend(
                version=lease.version + 1, valid_until_ms=started_ms + row.duration_ms
            )
            return Success(None)
        return self._reconcile(lease, current)

    async def release(self, lease: Lease) -> Result[None, Fault]:
        """Release `lease`, so that another process can acquire the duty at once.

        Call this after all effects under the lease.
        """
        was_held = lease.is_held
        lease.lose("released")
        self._held.pop(lease.duty, None)
        if not was_held:
            return Success(None)
        row = LeaseRow(
            holder="", fence=lease.fence, duration_ms=self._parameters.duration_ms
        )
        result = await self._write(lease.duty, row, version=lease.version)
        self._record_event("lease_released", lease)
        return result.map(lambda _: None)

    def _remaining_wait_ms(
        self, duty: str, row: Row, lease_row: LeaseRow, extra_wait_ms: float
    ) -> float:
        if lease_row.holder in ("", self._incarnation):
            return 0.0
        now_ms = self._clock.now_ms()
        observed = self._observed_rows.get(duty)
        if observed is None or observed.version != row.version:
            observed = ObservedRow(row.version, now_ms)
            self._observed_rows[duty] = observed
        wait_ms = (
            lease_row.duration_ms * (1 + self._parameters.clock_drift) + extra_wait_ms
        )
        return max(0.0, observed.first_seen_ms + wait_ms - now_ms)

    async def _take(
        self, duty: str, lease_row: LeaseRow | None, *, version: int
    ) -> Result[Lease, Fault]:
        previous = self._held.pop(duty, None)
        if previous is not None:
            previous.lose("taken again by this process")
        started_ms = self._clock.now_ms()
        row = self._row(lease_row.fence + 1 if lease_row else 1)
        result = await self._write(duty, row, version=version)
        if isinstance(result, Failure):
            return result
        current = result.unwrap()
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
        self._observed_rows.pop(duty, None)
        self._record_event(
            "lease_taken", lease, was=lease_row.holder if lease_row else ""
        )
        return Success(lease)

    def _reconcile(self, lease: Lease, current: Row) -> Result[None, Fault]:
        """Handle a row that differs from the last one written by this process.

        Either an earlier renewal took effect although its reply was lost, or another
        process has taken the duty over.
        """
        if current.version:
            lease_row = msgspec.msgpack.decode(current.value, type=LeaseRow)
            is_own = (
                lease_row.holder == self._incarnation and lease_row.fence == lease.fence
            )
            if is_own:
                lease.extend(
                    version=current.version, valid_until_ms=lease.valid_until_ms
                )
                return Success(None)
        lease.lose("taken over")
        self._held.pop(lease.duty, None)
        self._record_event("lease_lost", lease)
        return lease.fence_if_held().map(lambda _: None)

    async def _write(
        self,
        duty: str,
        row: LeaseRow,
        *,
        version: int,
        deadline_ms: float | None = None,
    ) -> Result[Row | None, Fault]:
        """Write the row if it has `version`; otherwise return the current row."""
        transaction = Transaction(
            token=new_token(),
            conditions=[Condition(table=TABLE, key=duty, version=version)],
            puts=[Put(table=TABLE, key=duty, value=msgspec.msgpack.encode(row))],
        )
        limit_ms = self._clock.now_ms() + self._parameters.settle_ms
        result = await self._table.transact_until_settled(
            transaction, deadline_ms=min(limit_ms, deadline_ms or limit_ms)
        )
        if isinstance(result, Failure):
            return result
        outcome = result.unwrap()
        return Success(None if outcome.committed else outcome.failed[0])

    def _row(self, fence: int) -> LeaseRow:
        return LeaseRow(
            holder=self._incarnation,
            fence=fence,
            duration_ms=self._parameters.duration_ms,
        )

    def _record_event(self, name: str, lease: Lease, **fields) -> None:
        self._on_event(name, duty=lease.duty, fence=lease.fence, **fields)
