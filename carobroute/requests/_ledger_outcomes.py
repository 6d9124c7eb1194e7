"""Writes of the outcomes of claims, repeated until they are definite."""

import asyncio
import contextlib
from collections.abc import Callable, Iterator

import msgspec
from returns.result import Failure, Result

from carobroute.errors import Fault
from carobroute.requests._group_commit import GroupCommit, RowWrite
from carobroute.requests._ledger_clock import LedgerClock
from carobroute.requests._ledger_types import (
    CLOCK_TABLE,
    EXPIRY_TABLE,
    ORDERS_TABLE,
    ClaimGranted,
    LedgerParameters,
    OrderRow,
    OrderState,
    StoredAnswer,
    encode_row,
    order_row_decoder,
    order_row_key,
)
from carobroute.tables import Condition, ObjectStoreClient, Put, Row, TableClient
from carobroute.utils import Clock, TaskSet

STORE_RETRY_MS = 250.0
MAX_RELEASE_ROUNDS = 16


class ExpiryRow(msgspec.Struct, frozen=True, kw_only=True):
    """Entry of the expiry index, whose key begins with the expiry time.

    Parameters
    ----------
    row_key : str
        Key of the order's row.
    version : int
        Version of the row that expires; later versions have entries of their own.
    body_object : str
        Name of the object to remove with the row, or empty.
    """

    row_key: str
    version: int
    body_object: str = ""


expiry_decoder = msgspec.msgpack.Decoder(ExpiryRow)


def expiry_key(time_ms: float, row_key: str) -> str:
    """Return the key of an expiry entry, which sorts by time.

    Examples
    --------
    >>> expiry_key(1_500.0, "till/k/7")
    '00000000000001500/till/k/7'
    """
    return f"{int(time_ms):017d}/{row_key}"


class OutcomeWriter:
    """Writes the outcomes of claims to the table.

    Parameters
    ----------
    table : TableClient
        The table service.
    objects : ObjectStoreClient
        Object store for large answers.
    commit : GroupCommit
        Group commit that retries until the outcome is definite.
    ledger_clock : LedgerClock
        Clock by which retention is measured.
    parameters : LedgerParameters
        Parameters of the ledger.
    tasks : TaskSet
        Set of background tasks.
    clock : Clock
        Source of time.
    on_event : callable
        Called with an event name and fields.
    """

    __slots__ = (
        "_all_settled",
        "_clock",
        "_commit",
        "_ledger_clock",
        "_objects",
        "_on_event",
        "_parameters",
        "_table",
        "_tasks",
        "_unsettled",
    )

    def __init__(
        self,
        *,
        table: TableClient,
        objects: ObjectStoreClient,
        commit: GroupCommit,
        ledger_clock: LedgerClock,
        parameters: LedgerParameters,
        tasks: TaskSet,
        clock: Clock,
        on_event: Callable[..., None],
    ):
        self._table = table
        self._objects = objects
        self._commit = commit
        self._ledger_clock = ledger_clock
        self._parameters = parameters
        self._tasks = tasks
        self._clock = clock
        self._on_event = on_event
        self._unsettled = 0
        self._all_settled = asyncio.Event()
        self._all_settled.set()

    @property
    def unsettled_writes(self) -> int:
        """Number of writes without a definite outcome."""
        return self._unsettled

    @property
    def transactions(self) -> int:
        """Number of transactions sent so far."""
        return self._commit.transactions

    def start(self) -> None:
        """Start the group commit."""
        self._commit.start("effects")

    async def drain(self, grace_ms: float) -> bool:
        """Wait until all writes are definite; return whether they are."""
        try:
            async with asyncio.timeout(grace_ms / 1_000):
                await self._all_settled.wait()
        except TimeoutError:
            return False
        return True

    async def finish(self, claim: ClaimGranted, answer: StoredAnswer) -> None:
        """Store the answer of a finished order."""
        with self._count_unsettled():
            body_object = ""
            if len(answer.body) > self._parameters.max_inline_bytes:
                body_object = f"orders/{claim.row.claim_id}"
                await self._store_body(body_object, answer.body)
                answer = msgspec.structs.replace(answer, body=b"")
            row = msgspec.structs.replace(
                claim.row,
                state=OrderState.DONE,
                ended_wall_ms=self._clock.wall_ms(),
                answer=answer,
                body_object=body_object,
            )
            await self._write_final_state(row, claim.version, claim.retention_ms)

    async def mark_unknown(self, claim: ClaimGranted, detail: str) -> None:
        """Record that an order may have run; the row is never removed."""
        with self._count_unsettled():
            row = msgspec.structs.replace(
                claim.row,
                state=OrderState.UNKNOWN,
                ended_wall_ms=self._clock.wall_ms(),
                detail=detail,
            )
            await self._write_final_state(row, claim.version, 0.0)

    def release_in_background(
        self, row: OrderRow, version: int, clock_version: int
    ) -> None:
        """Start releasing a claim whose write has no definite outcome."""
        if self._unsettled >= self._parameters.max_unsettled:
            self._on_event("claim_left", level="warning", team=row.team, key=row.key)
            return
        self._add_unsettled()
        task = self._tasks.spawn(
            self._release(row, version, clock_version), name="release"
        )
        task.add_done_callback(lambda _: self._remove_unsettled())

    async def release(self, row: OrderRow, version: int, clock_version: int) -> None:
        """Record in the row that the order was not run under this claim.

        This also works if the write of the claim has not been applied yet: the row
        written here then prevents it from being applied later.
        """
        with self._count_unsettled():
            await self._release(row, version, clock_version)

    async def _release(self, row: OrderRow, version: int, clock_version: int) -> None:
        released = msgspec.structs.replace(
            row, state=OrderState.RELEASED, ended_wall_ms=self._clock.wall_ms()
        )
        retention_ms = self._parameters.tombstone_retention_ms
        for _ in range(MAX_RELEASE_ROUNDS):
            if not await self._write(released, version, retention_ms, clock_version):
                return
            found = await self._read_row(released)
            if found is None or not _is_open_claim(found, row.claim_id):
                # The claim is not stored and cannot be stored any more, because the
                # row version or the clock version that it requires has passed.
                return
            version, clock_version = found.version, self._ledger_clock.version

    async def _write_final_state(
        self, row: OrderRow, version: int, retention_ms: float
    ) -> None:
        """Write the final state of a claim whose order was forwarded."""
        for conflict in await self._write(row, version, retention_ms):
            found = order_row_decoder.decode(conflict.value) if conflict.value else None
            if found is None or found.claim_id != row.claim_id:
                self._on_event(
                    "order_row_lost", level="error", team=row.team, key=row.key
                )

    async def _write(
        self,
        row: OrderRow,
        version: int,
        retention_ms: float,
        clock_version: int | None = None,
    ) -> list[Row]:
        """Write `row` over `version`; return the conflicting rows."""
        key = order_row_key(row.team, row.key, row.request_id)
        conditions = [Condition(table=ORDERS_TABLE, key=key, version=version)]
        if clock_version is not None:
            conditions.append(
                msgspec.structs.replace(
                    self._ledger_clock.condition, version=clock_version
                )
            )
        puts = [Put(table=ORDERS_TABLE, key=key, value=encode_row(row))]
        if retention_ms:
            puts.append(self._expiry_put(row, key, version + 1, retention_ms))
        while True:
            write = RowWrite(conditions=conditions, puts=puts)
            if self._commit.submit(write):
                result = await write.future
                if not isinstance(result, Failure):
                    break
                self._report_refusal(row, result)
            await self._clock.sleep_ms(STORE_RETRY_MS)
        conflicts = result.unwrap()
        for conflict in conflicts:
            if conflict.table == CLOCK_TABLE:
                self._ledger_clock.update_from_row(conflict)
        return [
            conflict for conflict in conflicts if conflict.table == ORDERS_TABLE
        ] or conflicts

    def _expiry_put(
        self, row: OrderRow, key: str, version: int, retention_ms: float
    ) -> Put:
        entry = ExpiryRow(row_key=key, version=version, body_object=row.body_object)
        expiry = expiry_key(self._ledger_clock.now_ms() + retention_ms, key)
        return Put(table=EXPIRY_TABLE, key=expiry, value=encode_row(entry))

    async def _store_body(self, name: str, body: bytes) -> None:
        while isinstance(await self._objects.put(name, body), Failure):
            await self._clock.sleep_ms(STORE_RETRY_MS)

    async def _read_row(self, row: OrderRow) -> Row | None:
        key = order_row_key(row.team, row.key, row.request_id)
        while isinstance(result := await self._table.read(ORDERS_TABLE, key), Failure):
            await self._clock.sleep_ms(STORE_RETRY_MS)
        return result.unwrap()

    def _report_refusal(self, row: OrderRow, result: Result[list[Row], Fault]) -> None:
        self._on_event(
            "order_write_refused",
            level="error",
            team=row.team,
            key=row.key,
            reason=str(result.failure()),
        )

    @contextlib.contextmanager
    def _count_unsettled(self) -> Iterator[None]:
        """Count one unsettled write for the duration of the block."""
        self._add_unsettled()
        try:
            yield
        finally:
            self._remove_unsettled()

    def _add_unsettled(self) -> None:
        self._unsettled += 1
        self._all_settled.clear()

    def _remove_unsettled(self) -> None:
        self._unsettled -= 1
        if not self._unsettled:
            self._all_settled.set()


def _is_open_claim(found: Row, claim_id: str) -> bool:
    row = order_row_decoder.decode(found.value)
    return row.claim_id == claim_id and row.state is OrderState.CLAIMED
