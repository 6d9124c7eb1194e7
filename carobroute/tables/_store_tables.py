"""Table client over the platform's row store, with transactions settled by token."""

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
from carobroute.tables._retry import (
    RetryPacer,
    StoreRetryParameters,
    send_until_settled,
)
from carobroute.tables._store_transaction import (
    OUTCOME_TABLE,
    Address,
    CachedRow,
    StoreTransaction,
    outcome_condition,
    outcome_write,
)
from carobroute.tables._stored_value import (
    StoredValue,
    chunk_key,
    chunk_table,
    decode_value,
    store_key,
)
from carobroute.utils import BoundedDict, Clock

# Outcome rows of lost processes and of transactions without a known result are kept for
# this time, which is far above the time for which any process resends a transaction.
UNSETTLED_OUTCOME_RETENTION_MS = 3_600_000.0
# The store may execute a call seconds after it went unanswered.
MAX_CALL_LATENESS_MS = 60_000.0
# Outcome rows that one transaction removes in addition to its own changes.
MAX_OUTCOMES_REMOVED = 4
MAX_ATTEMPTS = 8
MAX_CACHED_ROWS = 20_000


class StoreTables(TableClient):
    """Table client over the platform's row store.

    Parameters
    ----------
    store : RowStore
        The platform's store.
    clock : Clock
        Source of time.
    random : random.Random
        Source of jitter for retries.
    retry : StoreRetryParameters, default=None
        Delays and rate limit of retries.

    Notes
    -----
    The store does not know tokens, and may execute a call seconds after the client gave
    up on it. Each transaction therefore also writes an outcome row under its token, on
    condition that there is none; if it is sent again, it finds its result in that row.
    If its conditions fail after a call went unanswered, the outcome is written as not
    committed, so that the lost call fails too. Later transactions remove outcome rows
    once no call can be executed late.
    """

    __slots__ = (
        "_cache",
        "_clock",
        "_has_queued_orphans",
        "_pacer",
        "_removal_queue",
        "_store",
        "_unanswered",
    )

    def __init__(
        self,
        *,
        store: RowStore,
        clock: Clock,
        random: random_module.Random,
        retry: StoreRetryParameters | None = None,
    ):
        self._store = store
        self._clock = clock
        self._pacer = RetryPacer(clock=clock, random=random, parameters=retry)
        self._cache: BoundedDict[Address, CachedRow] = BoundedDict(most=MAX_CACHED_ROWS)
        # Tokens of transactions with an unanswered call.
        self._unanswered: set[str] = set()
        # Heap of the outcome rows to remove: due time in milliseconds, and token.
        self._removal_queue: list[tuple[float, str]] = []
        self._has_queued_orphans = False

    # Reading.

    async def read(self, table: str, key: str) -> Result[Row | None, Fault]:
        """Return the row, or None if it does not exist."""
        first = store_key(key)
        for _ in range(MAX_ATTEMPTS):
            answered = await self._store.read(table, first=first, end=first + "\0")
            if isinstance(answered, Failure):
                return answered
            rows = answered.unwrap().rows
            if not rows:
                self._cache[table, key] = CachedRow()
                return Success(None)
            found = await self._load(rows[0])
            if not isinstance(found, Success) or found.unwrap() is not None:
                return found
        return _too_many_changes(table, key)

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
                # A row removed while its chunks were read is left out.
                rows += [row] if row is not None else []
            if not page.has_more or not page.rows:
                break
            first = page.rows[-1].key + "\0"
        return Success(rows)

    async def _load(self, stored: StoredRow) -> Result[Row | None, Fault]:
        """Return a row with its content; None if its chunks were removed meanwhile."""
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
        self._cache_row(stored, value)
        return Success(
            Row(table=stored.table, key=value.key, version=value.revision, value=data)
        )

    def _cache_row(self, stored: StoredRow, value: StoredValue) -> None:
        self._cache[stored.table, value.key] = CachedRow(
            stored.version, value.revision, value.chunks
        )

    # Writing.

    async def transact(
        self, transaction: Transaction
    ) -> Result[TransactionOutcome, Fault]:
        """Send the transaction once."""
        return await self._send(transaction, 0.0)

    async def transact_until_settled(
        self, transaction: Transaction, *, deadline_ms: float
    ) -> Result[TransactionOutcome, Fault]:
        """Send the transaction until its result is definite."""
        return await send_until_settled(
            self._send,
            transaction,
            clock=self._clock,
            pacer=self._pacer,
            deadline_ms=deadline_ms,
        )

    async def _send(
        self, transaction: Transaction, timeout_ms: float
    ) -> Result[TransactionOutcome, Fault]:
        await self._queue_orphaned_outcomes()
        for _ in range(MAX_ATTEMPTS):
            checked = await self._failed_conditions(transaction)
            if isinstance(checked, Failure):
                return checked
            if checked.unwrap():
                return await self._reject(transaction, checked.unwrap(), timeout_ms)
            request = StoreTransaction(transaction, self._cache)
            removable = self._pop_removable(
                MAX_TRANSACTION_ENTRIES - request.entry_count
            )
            if request.entry_count > MAX_TRANSACTION_ENTRIES:
                detail = (
                    f"{request.entry_count} entries,"
                    f" expected at most {MAX_TRANSACTION_ENTRIES}"
                )
                return fail(ErrorKind.TOO_LARGE, f"a transaction has {detail}")
            answered = await self._store.transact(
                conditions=request.conditions,
                writes=request.writes,
                removals=[*request.removals, *_outcome_addresses(removable)],
                timeout_ms=timeout_ms,
            )
            if isinstance(answered, Failure):
                self._requeue_outcomes(removable)
                return self._record_unanswered(transaction.token, answered.failure())
            answer = answered.unwrap()
            if answer.committed:
                self._cache.update(request.written_rows(answer.version))
                return self._record_outcome(transaction.token, committed=True)
            self._requeue_outcomes(removable)
            outcome = _find_outcome(answer.rows, transaction.token)
            if outcome:
                for put in transaction.puts:
                    self._cache.pop((put.table, put.key), None)
                return self._record_outcome(transaction.token, committed=True)
            if outcome is not None:
                # The rows that made it fail are no longer known.
                self._record_outcome(transaction.token, committed=False)
                detail = f"transaction {transaction.token} was already rejected"
                return fail(ErrorKind.INTERNAL, detail)
            self._cache_returned_rows(request, answer)
        return fail(ErrorKind.STORE_UNAVAILABLE, "the rows changed at each try")

    async def _failed_conditions(
        self, transaction: Transaction
    ) -> Result[list[Row], Fault]:
        """Return the current rows of the conditions that fail."""
        failed = []
        for put in transaction.puts:
            if put.value is None and (put.table, put.key) not in self._cache:
                # The row may have chunks, which have to be removed with it.
                found = await self.read(put.table, put.key)
                if isinstance(found, Failure):
                    return found
        for condition in transaction.conditions:
            address = (condition.table, condition.key)
            cached = self._cache.get(address)
            if cached is None and not condition.version:
                # The store checks that the row does not exist.
                continue
            if cached is not None and cached.revision == condition.version:
                continue
            # The cached version may be older than the one that the caller read.
            read = await self.read(*address)
            if isinstance(read, Failure):
                return read
            row = read.unwrap() or _absent_row(condition)
            if row.version != condition.version:
                failed.append(row)
        return Success(failed)

    async def _reject(
        self, transaction: Transaction, failed: list[Row], timeout_ms: float
    ) -> Result[TransactionOutcome, Fault]:
        """Return that the conditions failed, after making unanswered calls fail too."""
        if transaction.token not in self._unanswered:
            return Success(TransactionOutcome(committed=False, failed=failed))
        answered = await self._store.transact(
            conditions=[outcome_condition(transaction.token)],
            writes=[outcome_write(transaction.token, committed=False)],
            removals=[],
            timeout_ms=timeout_ms,
        )
        if isinstance(answered, Failure):
            return answered
        outcome = _find_outcome(answered.unwrap().rows, transaction.token)
        return self._record_outcome(
            transaction.token, committed=bool(outcome), failed=[] if outcome else failed
        )

    def _record_outcome(
        self, token: str, *, committed: bool, failed: list[Row] | None = None
    ) -> Result[TransactionOutcome, Fault]:
        lateness_ms = MAX_CALL_LATENESS_MS if token in self._unanswered else 0.0
        self._unanswered.discard(token)
        heapq.heappush(self._removal_queue, (self._clock.now_ms() + lateness_ms, token))
        return Success(TransactionOutcome(committed=committed, failed=failed or []))

    def _record_unanswered(
        self, token: str, fault: Fault
    ) -> Result[TransactionOutcome, Fault]:
        if fault.kind is ErrorKind.STORE_UNAVAILABLE and token not in self._unanswered:
            self._unanswered.add(token)
            until_ms = self._clock.now_ms() + UNSETTLED_OUTCOME_RETENTION_MS
            heapq.heappush(self._removal_queue, (until_ms, token))
        return Failure(fault)

    def _cache_returned_rows(
        self, request: StoreTransaction, answer: WriteAnswer
    ) -> None:
        """Cache the rows that the store returned for an uncommitted transaction."""
        current = {(row.table, row.key): row for row in answer.rows if row.version}
        for address in request.addresses:
            row = current.get((address[0], store_key(address[1])))
            if row is None:
                self._cache[address] = CachedRow()
                continue
            try:
                self._cache_row(row, decode_value(row.value))
            except msgspec.DecodeError:
                # The next read of the row reports the error.
                self._cache.pop(address, None)

    # Outcome rows.

    def _pop_removable(self, limit: int) -> list[tuple[float, str]]:
        """Remove from the queue and return up to `limit` outcome rows that are due."""
        removable: list[tuple[float, str]] = []
        now_ms = self._clock.now_ms()
        while len(removable) < min(limit, MAX_OUTCOMES_REMOVED) and self._removal_queue:
            if self._removal_queue[0][0] > now_ms:
                break
            removable.append(heapq.heappop(self._removal_queue))
            # A transaction whose outcome row is due is not sent again.
            self._unanswered.discard(removable[-1][1])
        return removable

    def _requeue_outcomes(self, removable: Iterable[tuple[float, str]]) -> None:
        for outcome in removable:
            heapq.heappush(self._removal_queue, outcome)

    async def _queue_orphaned_outcomes(self) -> None:
        """Queue the outcome rows left by lost processes for removal, once."""
        if self._has_queued_orphans:
            return
        self._has_queued_orphans = True
        found = await self._store.read_all(OUTCOME_TABLE)
        if isinstance(found, Failure):
            # The transaction that follows reports the fault of the store.
            self._has_queued_orphans = False
            return
        until_ms = self._clock.now_ms() + UNSETTLED_OUTCOME_RETENTION_MS
        self._requeue_outcomes((until_ms, row.key) for row in found.unwrap().rows)

    async def close(self) -> None:
        """Close all connections."""
        await self._store.close()


def _outcome_addresses(removable: list[tuple[float, str]]) -> list[RowAddress]:
    return [RowAddress(table=OUTCOME_TABLE, key=token) for _, token in removable]


def _find_outcome(rows: list[StoredRow], token: str) -> bool | None:
    """Return whether a transaction committed; None if it has no outcome row."""
    for row in rows:
        if row.table == OUTCOME_TABLE and row.key == token and row.version:
            return msgspec.msgpack.decode(row.value, type=bool)
    return None


def _absent_row(condition: Condition) -> Row:
    return Row(table=condition.table, key=condition.key, version=0, value=b"")


def _prefix_end(prefix: str) -> str:
    """Return the lowest key above all keys that start with `prefix`."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1) if prefix else ""


def _too_many_changes(table: str, key: str) -> Result[Row | None, Fault]:
    detail = f"row {key!r} of {table!r} changed at each of {MAX_ATTEMPTS} reads"
    return fail(ErrorKind.STORE_UNAVAILABLE, detail)
