"""Writes that follow a claim and are sent until they are definite."""

import asyncio
import contextlib
from collections.abc import Callable, Iterator

import msgspec
from returns.result import Failure, Result

from carobroute.errors import Fault
from carobroute.requests._ledger_batch import GroupCommit, RowWrite
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

RETRY_MS = 250.0
MAX_RELEASE_ROUNDS = 16


class ExpiryRow(msgspec.Struct, frozen=True, kw_only=True):
    """Entry of the expiry index; its key begins with the time of expiry.

    Parameters
    ----------
    row_key : str
        Key of the order's row.
    version : int
        Version of that row which expires; a later one has an entry of its own.
    body_object : str
        Object to remove with the row, or empty.
    """

    row_key: str
    version: int
    body_object: str = ""


expiry_decoder = msgspec.msgpack.Decoder(ExpiryRow)


def expiry_key(time_ms: float, row_key: str) -> str:
    """Return the key of an expiry entry.

    Examples
    --------
    >>> expiry_key(1_500.0, "till/k/7")
    '00000000000001500/till/k/7'
    """
    return f"{int(time_ms):017d}/{row_key}"


class EffectWriter:
    """Writes what became of claims.

    Parameters
    ----------
    table : TableClient
        The table service.
    objects : ObjectStoreClient
        Keeps large answers.
    commit : GroupCommit
        Patient group commit.
    time : LedgerClock
        Time that retention counts in.
    parameters : LedgerParameters
        Times and bounds.
    tasks : TaskSet
        Holds background tasks.
    clock : Clock
        Source of time.
    on_event : callable
        Called with an event name and fields.
    """

    __slots__ = (
        "_clock",
        "_commit",
        "_idle",
        "_objects",
        "_on_event",
        "_parameters",
        "_table",
        "_tasks",
        "_time",
        "_unsettled",
    )

    def __init__(
        self,
        *,
        table: TableClient,
        objects: ObjectStoreClient,
        commit: GroupCommit,
        time: LedgerClock,
        parameters: LedgerParameters,
        tasks: TaskSet,
        clock: Clock,
        on_event: Callable[..., None],
    ):
        self._table = table
        self._objects = objects
        self._commit = commit
        self._time = time
        self._parameters = parameters
        self._tasks = tasks
        self._clock = clock
        self._on_event = on_event
        self._unsettled = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def unsettled(self) -> int:
        """Number of writes that are not definite yet."""
        return self._unsettled

    @property
    def transactions(self) -> int:
        """Transactions sent so far."""
        return self._commit.transactions

    def start(self) -> None:
        """Start writing."""
        self._commit.start("effects")

    async def drain(self, grace_ms: float) -> bool:
        """Wait until all writes are definite; return whether they are."""
        try:
            async with asyncio.timeout(grace_ms / 1_000):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True

    async def finish(self, claim: ClaimGranted, answer: StoredAnswer) -> None:
        """Keep the answer of a finished order."""
        with self._counted():
            body_object = ""
            if len(answer.body) > self._parameters.inline_bytes:
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
            await self._end(row, claim.version, claim.retention_ms)

    async def mark_unknown(self, claim: ClaimGranted, detail: str) -> None:
        """Record that an order may have run; its row is never removed."""
        with self._counted():
            row = msgspec.structs.replace(
                claim.row,
                state=OrderState.UNKNOWN,
                ended_wall_ms=self._clock.wall_ms(),
                detail=detail,
            )
            await self._end(row, claim.version, 0.0)

    def resolve(self, row: OrderRow, version: int, clock_version: int) -> None:
        """Release in the background a claim whose write has no definite outcome."""
        if self._unsettled >= self._parameters.max_unsettled:
            self._on_event("claim_left", level="warning", team=row.team, key=row.key)
            return
        self._enter()
        task = self._tasks.spawn(
            self._release(row, version, clock_version), name="release"
        )
        task.add_done_callback(lambda _: self._leave())

    async def release(self, row: OrderRow, version: int, clock_version: int) -> None:
        """Make the row say that the claim was not run.

        Also right when the claim's own write has not landed: the row that is written
        then keeps it from landing later.
        """
        with self._counted():
            await self._release(row, version, clock_version)

    async def _release(self, row: OrderRow, version: int, clock_version: int) -> None:
        released = msgspec.structs.replace(
            row, state=OrderState.RELEASED, ended_wall_ms=self._clock.wall_ms()
        )
        retention_ms = self._parameters.tombstone_ms
        for _ in range(MAX_RELEASE_ROUNDS):
            if not await self._write(released, version, retention_ms, clock_version):
                return
            found = await self._read_row(released)
            if found is None or not _is_claim(found, row.claim_id):
                # The claim stands nowhere, and it can land no more: the version or
                # the clean-up that it required has passed.
                return
            version, clock_version = found.version, self._time.version

    async def _end(self, row: OrderRow, version: int, retention_ms: float) -> None:
        """Write the last state of a claim that was forwarded."""
        for stood in await self._write(row, version, retention_ms):
            found = order_row_decoder.decode(stood.value) if stood.value else None
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
        """Write `row` over `version`; return the rows that stood against it."""
        key = order_row_key(row.team, row.key, row.request_id)
        conditions = [Condition(table=ORDERS_TABLE, key=key, version=version)]
        if clock_version is not None:
            conditions.append(
                msgspec.structs.replace(self._time.condition, version=clock_version)
            )
        puts = [Put(table=ORDERS_TABLE, key=key, value=encode_row(row))]
        if retention_ms:
            puts.append(self._expiry(row, key, version + 1, retention_ms))
        while True:
            write = RowWrite(conditions=conditions, puts=puts)
            if self._commit.submit(write):
                result = await write.future
                if not isinstance(result, Failure):
                    break
                self._report(row, result)
            await self._clock.sleep_ms(RETRY_MS)
        against = result.unwrap()
        for stood in against:
            if stood.table == CLOCK_TABLE:
                self._time.learn(stood)
        return [stood for stood in against if stood.table == ORDERS_TABLE] or against

    def _expiry(
        self, row: OrderRow, key: str, version: int, retention_ms: float
    ) -> Put:
        entry = ExpiryRow(row_key=key, version=version, body_object=row.body_object)
        expires = expiry_key(self._time.now_ms() + retention_ms, key)
        return Put(table=EXPIRY_TABLE, key=expires, value=encode_row(entry))

    async def _store_body(self, name: str, body: bytes) -> None:
        while isinstance(await self._objects.put(name, body), Failure):
            await self._clock.sleep_ms(RETRY_MS)

    async def _read_row(self, row: OrderRow) -> Row | None:
        key = order_row_key(row.team, row.key, row.request_id)
        while isinstance(result := await self._table.read(ORDERS_TABLE, key), Failure):
            await self._clock.sleep_ms(RETRY_MS)
        return result.unwrap()

    def _report(self, row: OrderRow, result: Result[list[Row], Fault]) -> None:
        self._on_event(
            "order_write_refused",
            level="error",
            team=row.team,
            key=row.key,
            reason=str(result.failure()),
        )

    @contextlib.contextmanager
    def _counted(self) -> Iterator[None]:
        """Count one unsettled write while its block runs."""
        self._enter()
        try:
            yield
        finally:
            self._leave()

    def _enter(self) -> None:
        self._unsettled += 1
        self._idle.clear()

    def _leave(self) -> None:
        self._unsettled -= 1
        if not self._unsettled:
            self._idle.set()


def _is_claim(found: Row, claim_id: str) -> bool:
    row = order_row_decoder.decode(found.value)
    return row.claim_id == claim_id and row.state is OrderState.CLAIMED
