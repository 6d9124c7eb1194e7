"""Group commit: several independent row writes in one transaction."""

import asyncio
from collections import deque

from returns.result import Failure, Result, Success

from carobroute.errors import ErrorKind, Fault, fail
from carobroute.tables import Condition, Put, Row, TableClient, Transaction
from carobroute.utils import Clock, TaskSet, new_token

RowAddress = tuple[str, str]


class RowWrite:
    """Puts that are applied together if their conditions hold, and the result.

    Parameters
    ----------
    conditions : list of Condition
        Conditions that must all hold.
    puts : list of Put
        Writes applied if they hold.
    """

    __slots__ = ("conditions", "future", "puts", "sent_ms", "was_sent")

    def __init__(self, *, conditions: list[Condition], puts: list[Put]):
        self.conditions = conditions
        self.puts = puts
        self.was_sent = False
        self.sent_ms = 0.0
        self.future: asyncio.Future[Result[list[Row], Fault]] = (
            asyncio.get_running_loop().create_future()
        )

    def resolve(self, result: Result[list[Row], Fault]) -> None:
        """Set the result: the conflicting rows (none if written), or a fault."""
        if not self.future.done():
            self.future.set_result(result)


class GroupCommit:
    """Combines queued row writes into few transactions.

    A transaction is atomic. If a condition fails, the writes that depend on it are
    completed with the conflicting rows, and the others are sent again without them.

    Parameters
    ----------
    table : TableClient
        The table service.
    clock : Clock
        Source of time.
    tasks : TaskSet
        Tasks of the transactions in progress.
    max_batch, max_queued, max_parallel_transactions : int
        Limits; see `LedgerParameters`.
    min_interval_ms, timeout_ms : float
        Times; see `LedgerParameters`.
    retry_until_definite : bool
        Whether a transaction is sent again until its outcome is definite. Otherwise
        an unknown outcome at the timeout becomes the result of all its writes.
    """

    __slots__ = (
        "_clock",
        "_has_writes",
        "_max_batch",
        "_max_queued",
        "_min_interval_ms",
        "_next_start_ms",
        "_queue",
        "_retry_until_definite",
        "_slots",
        "_table",
        "_tasks",
        "_timeout_ms",
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
        max_parallel_transactions: int,
        min_interval_ms: float,
        timeout_ms: float,
        retry_until_definite: bool,
    ):
        self._table = table
        self._clock = clock
        self._tasks = tasks
        self._max_batch = max_batch
        self._max_queued = max_queued
        self._slots = asyncio.Semaphore(max_parallel_transactions)
        self._min_interval_ms = min_interval_ms
        self._timeout_ms = timeout_ms
        self._retry_until_definite = retry_until_definite
        self._queue: deque[RowWrite] = deque()
        self._has_writes = asyncio.Event()
        self._next_start_ms = 0.0
        self.transactions = 0
        self.writes = 0

    @property
    def queued(self) -> int:
        """Number of writes that wait for a transaction."""
        return len(self._queue)

    def start(self, name: str) -> None:
        """Start processing the queue in the background."""
        self._tasks.spawn(self._dispatch(name), name=name)

    def submit(self, write: RowWrite) -> bool:
        """Queue `write`; return False if the queue is full."""
        if len(self._queue) >= self._max_queued:
            return False
        self._queue.append(write)
        self._has_writes.set()
        return True

    async def _dispatch(self, name: str) -> None:
        while True:
            await self._has_writes.wait()
            await self._slots.acquire()
            await self._wait_interval()
            batch = self._take_batch()
            if not self._queue:
                self._has_writes.clear()
            self._tasks.spawn(self._commit_in_slot(batch), name=f"{name} transaction")

    async def _commit_in_slot(self, batch: list[RowWrite]) -> None:
        try:
            await self._commit(batch)
        finally:
            self._slots.release()

    async def _wait_interval(self) -> None:
        """Wait for the minimum interval between transactions, while writes queue up."""
        now_ms = self._clock.now_ms()
        start_ms = max(now_ms, self._next_start_ms)
        self._next_start_ms = start_ms + self._min_interval_ms
        if start_ms > now_ms:
            await self._clock.sleep_ms(start_ms - now_ms)

    def _take_batch(self) -> list[RowWrite]:
        """Return the next batch of writes, of which no two write the same row."""
        batch: list[RowWrite] = []
        deferred: list[RowWrite] = []
        touched: set[RowAddress] = set()
        while self._queue and len(batch) < self._max_batch:
            write = self._queue.popleft()
            addresses = {(put.table, put.key) for put in write.puts}
            if write.future.done():
                continue
            if touched & addresses:
                deferred.append(write)
            else:
                batch.append(write)
            touched |= addresses
        self._queue.extendleft(reversed(deferred))
        return batch

    async def _commit(self, batch: list[RowWrite]) -> None:
        while batch:
            transaction = _merge_writes(batch)
            sent_ms = self._clock.now_ms()
            for write in batch:
                write.was_sent = True
                write.sent_ms = sent_ms
            result = await self._settle(transaction)
            if isinstance(result, Failure):
                for write in batch:
                    write.resolve(result)
                return
            batch = self._resolve_definite(batch, result.unwrap())

    async def _settle(self, transaction: Transaction) -> Result[list[Row], Fault]:
        self.transactions += 1
        self.writes += len(transaction.puts)
        while True:
            deadline_ms = self._clock.now_ms() + self._timeout_ms
            result = await self._table.transact_until_settled(
                transaction, deadline_ms=deadline_ms
            )
            if isinstance(result, Success):
                outcome = result.unwrap()
                return Success([] if outcome.committed else outcome.failed)
            is_unknown = result.failure().kind is ErrorKind.STORE_UNAVAILABLE
            if not (self._retry_until_definite and is_unknown):
                return Failure(result.failure())

    def _resolve_definite(
        self, batch: list[RowWrite], failed: list[Row]
    ) -> list[RowWrite]:
        """Complete the writes with a definite result; return those to send again."""
        by_address = {(row.table, row.key): row for row in failed}
        unresolved = []
        for write in batch:
            conflicts = [
                by_address[condition.table, condition.key]
                for condition in write.conditions
                if (condition.table, condition.key) in by_address
                and by_address[condition.table, condition.key].version
                != condition.version
            ]
            if conflicts or not failed:
                write.resolve(Success(conflicts))
            elif not write.future.done():
                unresolved.append(write)
        if len(unresolved) == len(batch):
            fault = fail(
                ErrorKind.INTERNAL,
                "the table service refused a batch without a failed condition",
            )
            for write in unresolved:
                write.resolve(fault)
            return []
        return unresolved


def _merge_writes(batch: list[RowWrite]) -> Transaction:
    """Return one transaction, with each condition that writes share sent once."""
    conditions = {
        (condition.table, condition.key, condition.version): condition
        for write in batch
        for condition in write.conditions
    }
    return Transaction(
        token=new_token(),
        conditions=list(conditions.values()),
        puts=[put for write in batch for put in write.puts],
    )
