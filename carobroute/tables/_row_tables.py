"""Transactions that are settled by their token, over the platform's rows."""

import heapq
import random as random_module
from collections.abc import Iterable

import msgspec
from returns.result import Failure, Result, Success

from carobroute.errors import ErrorKind, Fault, fail
from carobroute.platform import (
    MAX_TRANSACTION_ENTRIES,
    RowAddress,
    RowStore,
    StoredRow,
    WriteAnswer,
)
from carobroute.tables._interface import (
    Condition,
    Row,
    TableClient,
    Transaction,
    TransactionOutcome,
)
from carobroute.tables._retry import RetryPacer, RetryParameters, settle
from carobroute.tables._row_work import (
    MARK_TABLE,
    Address,
    KnownRow,
    RowWork,
    mark_condition,
    mark_write,
)
from carobroute.tables._stored_value import (
    StoredValue,
    chunk_key,
    chunk_table,
    decode_value,
    store_key,
)
from carobroute.utils import BoundedDict, Clock

# Marks of other processes that were lost; far above the time for which anybody still
# sends a transaction.
FOREIGN_MARK_MS = 3_600_000.0
# A call without an answer may be carried out seconds later.
LATE_CALL_MS = 60_000.0
# Marks that one transaction removes besides its own work.
MARKS_REMOVED = 4
MAX_ROUNDS = 8
MAX_REMEMBERED = 20_000


class RowTables(TableClient):
    """Table client over the platform's row store.

    Parameters
    ----------
    store : RowStore
        The platform's store.
    clock : Clock
        Source of time.
    random : random.Random
        Source of jitter for retries.
    retry : RetryParameters, default=None
        Delays and pace of retries.

    Notes
    -----
    The store knows no tokens, and may carry out a call seconds after it was given up.
    So each transaction also writes a row of its own, its mark, on condition that there
    is none: sent again, it finds the mark and with it its result. A transaction that
    failed after a call without an answer writes its mark as refused, so that the lost
    call fails too. Marks are removed by later transactions once no call can be late.
    """

    __slots__ = (
        "_clock",
        "_known",
        "_open",
        "_pacer",
        "_removable",
        "_store",
        "_swept",
    )

    def __init__(
        self,
        *,
        store: RowStore,
        clock: Clock,
        random: random_module.Random,
        retry: RetryParameters | None = None,
    ):
        self._store = store
        self._clock = clock
        self._pacer = RetryPacer(clock=clock, random=random, parameters=retry)
        self._known: BoundedDict[Address, KnownRow] = BoundedDict(most=MAX_REMEMBERED)
        # Transactions with a call that was not answered.
        self._open: set[str] = set()
        self._removable: list[tuple[float, str]] = []
        self._swept = False

    # Reading.

    async def read(self, table: str, key: str) -> Result[Row | None, Fault]:
        """Return the row, or None if it does not exist."""
        first = store_key(key)
        for _ in range(MAX_ROUNDS):
            answered = await self._store.read(table, first=first, end=first + "\0")
            if isinstance(answered, Failure):
                return answered
            rows = answered.unwrap().rows
            if not rows:
                self._known[table, key] = KnownRow()
                return Success(None)
            found = await self._load(rows[0])
            if not isinstance(found, Success) or found.unwrap() is not None:
                return found
        return _unsteady(table, key)

    async def scan(
        self, table: str, prefix: str = "", *, after: str = "", limit: int = 1000
    ) -> Result[list[Row], Fault]:
        """Return up to `limit` rows whose key starts with `prefix`, in key order."""
        rows: list[Row] = []
        end = _prefix_end(prefix)
        first = max(prefix, store_key(after) + "\0" if after else "")
        while len(rows) < limit:
            answered = await self._store.read(
                table, first=first, end=end, limit=limit - len(rows)
            )
            if isinstance(answered, Failure):
                return answered
            page = answered.unwrap()
            for stored in page.rows:
                loaded = await self._load(stored)
                if isinstance(loaded, Failure):
                    return loaded
                row = loaded.unwrap()
                # A row that was removed while its chunks were read is left out.
                rows += [row] if row is not None else []
            if not page.has_more or not page.rows:
                break
            first = page.rows[-1].key + "\0"
        return Success(rows)

    async def _load(self, stored: StoredRow) -> Result[Row | None, Fault]:
        """Return a row with its content; None if that has changed meanwhile."""
        try:
            value = decode_value(stored.value)
        except msgspec.DecodeError as error:
            detail = f"row {stored.key!r} of {stored.table!r} cannot be read: {error}"
            return fail(ErrorKind.INTERNAL, detail)
        data = value.data
        if value.chunks is not None:
            read = await self._store.read(
                chunk_table(stored.table),
                first=chunk_key(value.chunks.name, 0),
                end=chunk_key(value.chunks.name, value.chunks.count),
            )
            if isinstance(read, Failure):
                return read
            chunks = read.unwrap().rows
            if len(chunks) < value.chunks.count:
                return Success(None)
            data = b"".join(chunk.value for chunk in chunks)
        self._remember(stored, value)
        return Success(
            Row(table=stored.table, key=value.key, version=value.revision, value=data)
        )

    def _remember(self, stored: StoredRow, value: StoredValue) -> None:
        self._known[stored.table, value.key] = KnownRow(
            stored.version, value.revision, value.chunks
        )

    # Writing.

    async def transact(
        self, transaction: Transaction
    ) -> Result[TransactionOutcome, Fault]:
        """Send the transaction once."""
        return await self._send(transaction, 0.0)

    async def settle(
        self, transaction: Transaction, *, deadline_ms: float
    ) -> Result[TransactionOutcome, Fault]:
        """Send the transaction until its result is definite."""
        return await settle(
            self._send,
            transaction,
            clock=self._clock,
            pacer=self._pacer,
            deadline_ms=deadline_ms,
        )

    async def _send(
        self, transaction: Transaction, limit_ms: float
    ) -> Result[TransactionOutcome, Fault]:
        await self._sweep()
        for _ in range(MAX_ROUNDS):
            judged = await self._failed_conditions(transaction)
            if isinstance(judged, Failure):
                return judged
            if judged.unwrap():
                return await self._refuse(transaction, judged.unwrap(), limit_ms)
            work = RowWork(transaction, self._known)
            spent = self._spent(MAX_TRANSACTION_ENTRIES - work.entries)
            if work.entries > MAX_TRANSACTION_ENTRIES:
                detail = f"{work.entries} entries, over {MAX_TRANSACTION_ENTRIES}"
                return fail(ErrorKind.TOO_LARGE, f"a transaction has {detail}")
            answered = await self._store.transact(
                conditions=work.conditions,
                writes=work.writes,
                removals=[*work.removals, *_mark_addresses(spent)],
                limit_ms=limit_ms,
            )
            if isinstance(answered, Failure):
                self._keep_marks(spent)
                return self._note_open(transaction.token, answered.failure())
            answer = answered.unwrap()
            if answer.committed:
                self._known.update(work.written(answer.version))
                return self._definite(transaction.token, committed=True)
            self._keep_marks(spent)
            mark = _find_mark(answer.rows, transaction.token)
            if mark:
                for put in transaction.puts:
                    self._known.pop((put.table, put.key), None)
                return self._definite(transaction.token, committed=True)
            if mark is not None:
                # The rows that stood against it then are not known any more.
                self._definite(transaction.token, committed=False)
                detail = f"transaction {transaction.token} was refused before"
                return fail(ErrorKind.INTERNAL, detail)
            self._take_rows(work, answer)
        return fail(ErrorKind.STORE_UNAVAILABLE, "the rows changed at each try")

    async def _failed_conditions(
        self, transaction: Transaction
    ) -> Result[list[Row], Fault]:
        """Return the rows that stand against a transaction, as they are now."""
        failed = []
        for put in transaction.puts:
            if put.value is None and (put.table, put.key) not in self._known:
                # It may have chunks, which go with it.
                found = await self.read(put.table, put.key)
                if isinstance(found, Failure):
                    return found
        for condition in transaction.conditions:
            address = (condition.table, condition.key)
            known = self._known.get(address)
            if known is None and not condition.version:
                # The store itself says so if the row exists.
                continue
            if known is not None and known.revision == condition.version:
                continue
            # What is remembered may be older than what the caller goes by.
            read = await self.read(*address)
            if isinstance(read, Failure):
                return read
            row = read.unwrap() or _absent(condition)
            if row.version != condition.version:
                failed.append(row)
        return Success(failed)

    async def _refuse(
        self, transaction: Transaction, failed: list[Row], limit_ms: float
    ) -> Result[TransactionOutcome, Fault]:
        """Return that the conditions failed, and have calls that are late fail too."""
        if transaction.token not in self._open:
            return Success(TransactionOutcome(committed=False, failed=failed))
        answered = await self._store.transact(
            conditions=[mark_condition(transaction.token)],
            writes=[mark_write(transaction.token, committed=False)],
            removals=[],
            limit_ms=limit_ms,
        )
        if isinstance(answered, Failure):
            return answered
        mark = _find_mark(answered.unwrap().rows, transaction.token)
        return self._definite(
            transaction.token, committed=bool(mark), failed=[] if mark else failed
        )

    def _definite(
        self, token: str, *, committed: bool, failed: list[Row] | None = None
    ) -> Result[TransactionOutcome, Fault]:
        late_ms = LATE_CALL_MS if token in self._open else 0.0
        self._open.discard(token)
        heapq.heappush(self._removable, (self._clock.now_ms() + late_ms, token))
        return Success(TransactionOutcome(committed=committed, failed=failed or []))

    def _note_open(self, token: str, fault: Fault) -> Result[TransactionOutcome, Fault]:
        if fault.kind is ErrorKind.STORE_UNAVAILABLE and token not in self._open:
            self._open.add(token)
            until_ms = self._clock.now_ms() + FOREIGN_MARK_MS
            heapq.heappush(self._removable, (until_ms, token))
        return Failure(fault)

    def _take_rows(self, work: RowWork, answer: WriteAnswer) -> None:
        """Take in how the rows stand that a transaction was refused for."""
        stood = {(row.table, row.key): row for row in answer.rows if row.version}
        for address in work.addresses:
            row = stood.get((address[0], store_key(address[1])))
            if row is None:
                self._known[address] = KnownRow()
                continue
            try:
                self._remember(row, decode_value(row.value))
            except msgspec.DecodeError:
                # The next reading of the row reports it.
                self._known.pop(address, None)

    # Marks.

    def _spent(self, room: int) -> list[tuple[float, str]]:
        """Return marks that may go now; `room` bounds their number."""
        spent: list[tuple[float, str]] = []
        now_ms = self._clock.now_ms()
        while len(spent) < min(room, MARKS_REMOVED) and self._removable:
            if self._removable[0][0] > now_ms:
                break
            spent.append(heapq.heappop(self._removable))
            # One that was given up long ago is not sent any more.
            self._open.discard(spent[-1][1])
        return spent

    def _keep_marks(self, spent: Iterable[tuple[float, str]]) -> None:
        for mark in spent:
            heapq.heappush(self._removable, mark)

    async def _sweep(self) -> None:
        """Note the marks of processes that were lost, once."""
        if self._swept:
            return
        self._swept = True
        found = await self._store.read_all(MARK_TABLE)
        if isinstance(found, Failure):
            # The transaction itself meets the same store, and tells its fault.
            self._swept = False
            return
        until_ms = self._clock.now_ms() + FOREIGN_MARK_MS
        self._keep_marks((until_ms, row.key) for row in found.unwrap().rows)

    async def close(self) -> None:
        """Close all connections."""
        await self._store.close()


def _mark_addresses(spent: list[tuple[float, str]]) -> list[RowAddress]:
    return [RowAddress(table=MARK_TABLE, key=token) for _, token in spent]


def _find_mark(rows: list[StoredRow], token: str) -> bool | None:
    """Return the result in a transaction's mark; None if it has none yet."""
    for row in rows:
        if row.table == MARK_TABLE and row.key == token and row.version:
            return msgspec.msgpack.decode(row.value, type=bool)
    return None


def _absent(condition: Condition) -> Row:
    return Row(table=condition.table, key=condition.key, version=0, value=b"")


def _prefix_end(prefix: str) -> str:
    """Return the first key above all that start with `prefix`."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1) if prefix else ""


def _unsteady(table: str, key: str) -> Result[Row | None, Fault]:
    detail = f"row {key!r} of {table!r} changed at each of {MAX_ROUNDS} readings"
    return fail(ErrorKind.STORE_UNAVAILABLE, detail)
