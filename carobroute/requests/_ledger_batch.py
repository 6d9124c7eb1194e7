"""Group commit: many independent row writes in one transaction."""

import asyncio
from collections import deque

from returns.result import Failure, Result, Success

from carobroute.errors import ErrorKind, Fault, fail
from carobroute.tables import Condition, Put, Row, TableClient, Transaction
from carobroute.utils import Clock, TaskSet, new_token

Address = tuple[str, str]


class RowWrite:
    """Conditions and writes that belong together, and their result.

    Parameters
    ----------
    conditions : list of Condition
        All must hold.
    puts : list of Put
        Writes made if they do.
    """

    __slots__ = ("conditions", "future", "puts", "sent", "sent_ms")

    def __init__(self, *, conditions: list[Condition], puts: list[Put]):
        self.conditions = conditions
        self.puts = puts
        self.sent = False
        self.sent_ms = 0.0
        self.future: asyncio.Future[Result[list[Row], Fault]] = (
            asyncio.get_running_loop().create_future()
        )

    def resolve(self, result: Result[list[Row], Fault]) -> None:
        """Set the result: rows that stood against it (none if written), or a fault."""
        if not self.future.done():
            self.future.set_result(result)


class GroupCommit:
    """Writes queued rows with few transactions.

    A transaction takes effect whole or not at all; where a condition fails, the
    writes that it belongs to are answered and the others are sent again without them.

    Parameters
    ----------
    table : TableClient
        The table service.
    clock : Clock
        Source of time.
    tasks : TaskSet
        Holds the transactions under way.
    max_batch, max_queued, workers : int
        Bounds; see `LedgerParameters`.
    pause_ms, timeout_ms : float
        Times; see `LedgerParameters`.
    patient : bool
        Whether a transaction is sent until it is definite. Otherwise an unknown
        outcome at the timeout is the result of all its writes.
    """

    __slots__ = (
        "_clock",
        "_max_batch",
        "_max_queued",
        "_next_start_ms",
        "_patient",
        "_pause_ms",
        "_queue",
        "_slots",
        "_table",
        "_tasks",
        "_timeout_ms",
        "_wake",
        "transactions",
        "writes",
    )

    def __init__(
        self,
        *,
        table: TableClient,
        clock: Clock,
        tasks: TaskSet,
        max_batch: int,
        max_queued: int,
        workers: int,
        pause_ms: float,
        timeout_ms: float,
        patient: bool,
    ):
        self._table = table
        self._clock = clock
        self._tasks = tasks
        self._max_batch = max_batch
        self._max_queued = max_queued
        self._slots = asyncio.Semaphore(workers)
        self._pause_ms = pause_ms
        self._timeout_ms = timeout_ms
        self._patient = patient
        self._queue: deque[RowWrite] = deque()
        self._wake = asyncio.Event()
        self._next_start_ms = 0.0
        self.transactions = 0
        self.writes = 0

    @property
    def queued(self) -> int:
        """Number of writes that wait for a transaction."""
        return len(self._queue)

    def start(self, name: str) -> None:
        """Start taking writes from the queue."""
        self._tasks.spawn(self._dispatch(name), name=name)

    def submit(self, write: RowWrite) -> bool:
        """Queue `write`; return False if the queue is full."""
        if len(self._queue) >= self._max_queued:
            return False
        self._queue.append(write)
        self._wake.set()
        return True

    async def _dispatch(self, name: str) -> None:
        while True:
            await self._wake.wait()
            await self._slots.acquire()
            await self._wait_turn()
            batch = self._take()
            if not self._queue:
                self._wake.clear()
            self._tasks.spawn(self._commit_in_slot(batch), name=f"{name} transaction")

    async def _commit_in_slot(self, batch: list[RowWrite]) -> None:
        try:
            await self._commit(batch)
        finally:
            self._slots.release()

    async def _wait_turn(self) -> None:
        """Keep the pause between transactions; writes gather meanwhile."""
        now_ms = self._clock.now_ms()
        start_ms = max(now_ms, self._next_start_ms)
        self._next_start_ms = start_ms + self._pause_ms
        if start_ms > now_ms:
            await self._clock.sleep_ms(start_ms - now_ms)

    def _take(self) -> list[RowWrite]:
        """Return the next writes, of which no two touch the same row."""
        batch: list[RowWrite] = []
        left: list[RowWrite] = []
        touched: set[Address] = set()
        while self._queue and len(batch) < self._max_batch:
            write = self._queue.popleft()
            addresses = {(put.table, put.key) for put in write.puts}
            if write.future.done():
                continue
            if touched & addresses:
                left.append(write)
            else:
                batch.append(write)
            touched |= addresses
        self._queue.extendleft(reversed(left))
        return batch

    async def _commit(self, batch: list[RowWrite]) -> None:
        while batch:
            transaction = _join(batch)
            sent_ms = self._clock.now_ms()
            for write in batch:
                write.sent = True
                write.sent_ms = sent_ms
            result = await self._settle(transaction)
            if isinstance(result, Failure):
                for write in batch:
                    write.resolve(result)
                return
            batch = self._answer(batch, result.unwrap())

    async def _settle(self, transaction: Transaction) -> Result[list[Row], Fault]:
        self.transactions += 1
        self.writes += len(transaction.puts)
        while True:
            deadline_ms = self._clock.now_ms() + self._timeout_ms
            result = await self._table.settle(transaction, deadline_ms=deadline_ms)
            if isinstance(result, Success):
                outcome = result.unwrap()
                return Success([] if outcome.committed else outcome.failed)
            unknown = result.failure().kind is ErrorKind.STORE_UNAVAILABLE
            if not (self._patient and unknown):
                return Failure(result.failure())

    def _answer(self, batch: list[RowWrite], failed: list[Row]) -> list[RowWrite]:
        """Answer what is definite; return the writes to be sent again."""
        by_address = {(row.table, row.key): row for row in failed}
        rest = []
        for write in batch:
            against = [
                by_address[condition.table, condition.key]
                for condition in write.conditions
                if (condition.table, condition.key) in by_address
                and by_address[condition.table, condition.key].version
                != condition.version
            ]
            if against or not failed:
                write.resolve(Success(against))
            elif not write.future.done():
                rest.append(write)
        if len(rest) == len(batch):
            fault = fail(ErrorKind.INTERNAL, "no condition of a refused batch failed")
            for write in rest:
                write.resolve(fault)
            return []
        return rest


def _join(batch: list[RowWrite]) -> Transaction:
    """Return one transaction; a condition that several writes share is sent once."""
    conditions = {
        (entry.table, entry.key, entry.version): entry
        for write in batch
        for entry in write.conditions
    }
    return Transaction(
        token=new_token(),
        conditions=list(conditions.values()),
        puts=[put for write in batch for put in write.puts],
    )
