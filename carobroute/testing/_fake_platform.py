"""In-memory fakes of the table service and the instance list."""

import asyncio
from collections import Counter, deque
from collections.abc import Callable

from returns.result import Result, Success

from carobroute.domain import Instance
from carobroute.errors import ErrorKind, Fault, fail
from carobroute.tables import (
    InstanceListClient,
    Row,
    TableClient,
    Transaction,
    TransactionOutcome,
)
from carobroute.utils import Clock

MAX_TOKENS = 100_000
RETRY_MS = 20.0


class FakeTable(TableClient):
    """Table service held in memory, with outages and lost answers on request.

    Parameters
    ----------
    clock : Clock
        Source of time for `transact_until_settled`.

    Attributes
    ----------
    available : bool
        Whether the service answers at all.
    lose_answers : int
        Number of coming transactions whose answer is lost after they took effect.
    before_transact : callable or None
        Called with each transaction before it is applied.
    counts : collections.Counter
        Calls served by kind.
    """

    __slots__ = (
        "_clock",
        "_rows",
        "_tokens",
        "available",
        "before_transact",
        "counts",
        "lose_answers",
    )

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._rows: dict[tuple[str, str], Row] = {}
        self._tokens: dict[str, TransactionOutcome] = {}
        self.available = True
        self.lose_answers = 0
        self.before_transact: Callable[[Transaction], None] | None = None
        self.counts: Counter[str] = Counter()

    async def read(self, table: str, key: str) -> Result[Row | None, Fault]:
        """Return the row, or None if it does not exist."""
        await asyncio.sleep(0)
        if not self.available:
            return _unavailable()
        self.counts["read"] += 1
        return Success(self._rows.get((table, key)))

    async def scan(
        self, table: str, prefix: str = "", *, after: str = "", limit: int = 1000
    ) -> Result[list[Row], Fault]:
        """Return up to `limit` rows in key order."""
        await asyncio.sleep(0)
        if not self.available:
            return _unavailable()
        self.counts["scan"] += 1
        keys = sorted(
            key
            for name, key in self._rows
            if name == table and key.startswith(prefix) and key > after
        )
        return Success([self._rows[table, key] for key in keys[:limit]])

    async def transact(
        self, transaction: Transaction
    ) -> Result[TransactionOutcome, Fault]:
        """Apply the transaction once; its answer may be lost."""
        await asyncio.sleep(0)
        if not self.available:
            return _unavailable()
        self.counts["transact"] += 1
        if self.before_transact is not None:
            self.before_transact(transaction)
        outcome = self._apply(transaction)
        await asyncio.sleep(0)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return _unavailable()
        return Success(outcome)

    async def transact_until_settled(
        self, transaction: Transaction, *, deadline_ms: float
    ) -> Result[TransactionOutcome, Fault]:
        """Send the transaction until its result is definite."""
        while True:
            result = await self.transact(transaction)
            late = self._clock.now_ms() >= deadline_ms
            if isinstance(result, Success) or late:
                return result
            await self._clock.sleep_ms(RETRY_MS)

    def row(self, table: str, key: str) -> Row | None:
        """Return a row without counting it as a call."""
        return self._rows.get((table, key))

    def keys(self, table: str) -> list[str]:
        """Return the keys of `table` in order."""
        return sorted(key for name, key in self._rows if name == table)

    def _apply(self, transaction: Transaction) -> TransactionOutcome:
        known = self._tokens.get(transaction.token)
        if known is not None:
            return known
        failed = []
        for condition in transaction.conditions:
            row = self._rows.get((condition.table, condition.key))
            if (row.version if row else 0) != condition.version:
                failed.append(row or _absent(condition.table, condition.key))
        outcome = TransactionOutcome(committed=not failed, failed=failed)
        if outcome.committed:
            self._write(transaction)
        self._remember(transaction.token, outcome)
        return outcome

    def _write(self, transaction: Transaction) -> None:
        for put in transaction.puts:
            address = (put.table, put.key)
            old = self._rows.get(address)
            if put.value is None:
                self._rows.pop(address, None)
                continue
            version = old.version + 1 if old else 1
            self._rows[address] = Row(
                table=put.table, key=put.key, version=version, value=put.value
            )

    def _remember(self, token: str, outcome: TransactionOutcome) -> None:
        self._tokens[token] = outcome
        if len(self._tokens) > MAX_TOKENS:
            del self._tokens[next(iter(self._tokens))]

    async def close(self) -> None:
        """Hold nothing to close."""


class FakeInstanceList(InstanceListClient):
    """Instance list held in memory, which can lag behind by some fetches.

    Parameters
    ----------
    lag : int, default=0
        Number of fetches by which answers are behind.
    """

    __slots__ = ("_entries", "_past", "available", "counts")

    def __init__(self, *, lag: int = 0):
        self._entries: dict[str, Instance] = {}
        self._past: deque[list[Instance]] = deque(maxlen=lag + 1)
        self.available = True
        self.counts: Counter[str] = Counter()

    async def fetch(self) -> Result[list[Instance], Fault]:
        """Return the instances listed `lag` fetches ago."""
        await asyncio.sleep(0)
        if not self.available:
            return _unavailable()
        self.counts["fetch"] += 1
        self._past.append(list(self._entries.values()))
        return Success(list(self._past[0]))

    async def announce(self, instance: Instance) -> Result[None, Fault]:
        """Enter or replace the entry of the instance's name."""
        await asyncio.sleep(0)
        if not self.available:
            return _unavailable()
        self.counts["announce"] += 1
        self._entries[instance.name] = instance
        return Success(None)

    async def withdraw(self, instance: Instance) -> Result[None, Fault]:
        """Remove the entry of this incarnation."""
        await asyncio.sleep(0)
        if not self.available:
            return _unavailable()
        known = self._entries.get(instance.name)
        if known is not None and known.incarnation == instance.incarnation:
            del self._entries[instance.name]
        return Success(None)

    async def close(self) -> None:
        """Hold nothing to close."""


def _absent(table: str, key: str) -> Row:
    return Row(table=table, key=key, version=0, value=b"")


def _unavailable() -> Result:
    return fail(ErrorKind.STORE_UNAVAILABLE, "the fake service does not answer")
