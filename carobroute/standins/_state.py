"""What the platform stand-in keeps: rows, token memory, instances, record of writes."""

from collections import OrderedDict, deque
from collections.abc import Iterator

import msgspec
from sortedcontainers import SortedDict

from carobroute.platform import Row, Transaction, TransactionOutcome
from carobroute.utils import Clock
from carobroute.world import Instance, InstanceState

MAX_RECORD = 500_000


class WriteRecord(msgspec.Struct, kw_only=True):
    """How often one transaction arrived, what became of it, and when at first."""

    token: str
    committed: bool
    arrivals: int
    keys: list[str]
    wall_ms: float = 0.0


class TableState:
    """Rows with versions, and the results of transactions by token.

    Parameters
    ----------
    token_memory : int
        Number of tokens that are remembered.
    """

    def __init__(self, *, token_memory: int):
        self._token_memory = token_memory
        self._rows: SortedDict[tuple[str, str], Row] = SortedDict()
        self._results: OrderedDict[str, TransactionOutcome] = OrderedDict()
        self._record: dict[str, WriteRecord] = {}
        self.record: deque[WriteRecord] = deque(maxlen=MAX_RECORD)

    def read(self, table: str, key: str) -> Row | None:
        """Return a row, or None."""
        return self._rows.get((table, key))

    def scan(self, table: str, prefix: str, after: str, limit: int) -> list[Row]:
        """Return rows in key order."""
        return list(self._scan(table, prefix, after, limit))

    def transact(self, transaction: Transaction) -> TransactionOutcome:
        """Apply a transaction, or return the result that its token had before."""
        known = self._results.get(transaction.token)
        if known is not None:
            self._record[transaction.token].arrivals += 1
            return known
        outcome = self._apply(transaction)
        self._results[transaction.token] = outcome
        entry = WriteRecord(
            token=transaction.token,
            committed=outcome.committed,
            arrivals=1,
            keys=[f"{put.table}/{put.key}" for put in transaction.puts],
            wall_ms=Clock().wall_ms(),
        )
        self._record[transaction.token] = entry
        self.record.append(entry)
        while len(self._results) > self._token_memory:
            token, _ = self._results.popitem(last=False)
            del self._record[token]
        return outcome

    def _scan(self, table: str, prefix: str, after: str, limit: int) -> Iterator[Row]:
        first = (table, max(prefix, after))
        for row_table, key in self._rows.irange(minimum=first):
            if row_table != table or not key.startswith(prefix) or limit <= 0:
                return
            if key > after:
                limit -= 1
                yield self._rows[row_table, key]

    def _apply(self, transaction: Transaction) -> TransactionOutcome:
        failed = []
        for condition in transaction.conditions:
            address = (condition.table, condition.key)
            row = self._rows.get(address) or Row(
                table=condition.table, key=condition.key, version=0, value=b""
            )
            if row.version != condition.version:
                failed.append(row)
        if failed:
            return TransactionOutcome(committed=False, failed=failed)
        for put in transaction.puts:
            self._put(put.table, put.key, put.value)
        return TransactionOutcome(committed=True)

    def _put(self, table: str, key: str, value: bytes | None) -> None:
        address = (table, key)
        old = self._rows.pop(address, None)
        if value is None:
            return
        version = (old.version if old else 0) + 1
        self._rows[address] = Row(table=table, key=key, version=version, value=value)


class _Entry:
    """One incarnation in the instance list, with the times of its changes."""

    __slots__ = ("gone_ms", "instance", "leaving_ms", "since_ms")

    def __init__(self, instance: Instance, now_ms: float):
        self.instance = instance
        self.since_ms = now_ms
        self.leaving_ms = float("inf")
        self.gone_ms = float("inf")


class InstanceListState:
    """Instances as they stood some time ago.

    Parameters
    ----------
    clock : Clock
        Source of time.
    lag_ms : float
        Age of what is answered.
    lease_ms : float
        Time after the last announcement at which an entry expires.
    removal_ms : float
        Time between the withdrawal of an entry and its removal.
    """

    def __init__(
        self, *, clock: Clock, lag_ms: float, lease_ms: float, removal_ms: float
    ):
        self._clock = clock
        self.lag_ms = lag_ms
        self._lease_ms = lease_ms
        self._removal_ms = removal_ms
        self._entries: dict[str, _Entry] = {}

    def announce(self, instance: Instance) -> None:
        """Enter or renew an instance."""
        now_ms = self._clock.now_ms()
        entry = self._entries.get(instance.incarnation)
        if entry is None or entry.gone_ms <= now_ms:
            entry = self._entries[instance.incarnation] = _Entry(instance, now_ms)
        entry.instance = instance
        if instance.state is InstanceState.LEAVING:
            entry.leaving_ms = min(entry.leaving_ms, now_ms)
        entry.gone_ms = now_ms + self._lease_ms

    def withdraw(self, incarnation: str) -> None:
        """Mark an instance as leaving, and remove it later."""
        entry = self._entries.get(incarnation)
        if entry is not None:
            now_ms = self._clock.now_ms()
            entry.leaving_ms = min(entry.leaving_ms, now_ms)
            entry.gone_ms = min(entry.gone_ms, now_ms + self._removal_ms)

    def listed(self) -> list[Instance]:
        """Return the list as it stood `lag_ms` ago."""
        then_ms = self._clock.now_ms() - self.lag_ms
        listed = []
        for incarnation, entry in list(self._entries.items()):
            if entry.gone_ms <= then_ms:
                del self._entries[incarnation]
            elif entry.since_ms <= then_ms:
                leaving = entry.leaving_ms <= then_ms
                state = InstanceState.LEAVING if leaving else InstanceState.LIVE
                listed.append(msgspec.structs.replace(entry.instance, state=state))
        return listed
