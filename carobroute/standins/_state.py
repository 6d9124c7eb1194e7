"""What the platform stand-in keeps: rows of tables, and objects."""

from collections import deque
from collections.abc import Iterator

import msgspec
from sortedcontainers import SortedDict

from carobroute.platform import (
    RowAddress,
    RowsAnswer,
    RowTransaction,
    RowWrite,
    StoredRow,
    WriteAnswer,
)
from carobroute.utils import Clock

MAX_RECORD = 500_000
MAX_CHANGES = 10_000


class WriteRecord(msgspec.Struct, kw_only=True):
    """What became of one transaction that arrived, and when."""

    committed: bool
    keys: list[str]
    wall_ms: float = 0.0


class _Past(msgspec.Struct):
    """How a row stood until some time."""

    until_ms: float
    row: StoredRow | None


class RowsCopy(msgspec.Struct, frozen=True):
    """The rows at a moment, and the changes until then."""

    version: int
    rows: list[tuple[tuple[str, str, str], StoredRow]]
    changes: list[StoredRow]


class RowsState:
    """Rows with versions from one counter, and what has changed.

    Parameters
    ----------
    clock : Clock
        Source of the store's steady time.
    lag_ms : mapping of str to float, default=None
        Age of what is answered for each table that lags.
    """

    def __init__(self, *, clock: Clock, lag_ms: dict[str, float] | None = None):
        self._clock = clock
        self._lag_ms = lag_ms or {}
        self._rows: SortedDict[tuple[str, str, str], StoredRow] = SortedDict()
        self._past: dict[tuple[str, str, str], deque[_Past]] = {}
        self._changes: deque[StoredRow] = deque(maxlen=MAX_CHANGES)
        self.version = 0
        self.era = 1
        self.record: deque[WriteRecord] = deque(maxlen=MAX_RECORD)

    def read(
        self, table: str, part: str, first: str, end: str, limit: int
    ) -> RowsAnswer:
        """Return the first rows of a range."""
        rows: list[StoredRow] = []
        for row in self._range(table, part, first, end):
            if len(rows) == limit:
                return self._answer(rows, has_more=True)
            rows.append(row)
        return self._answer(rows)

    def partitions(self, table: str) -> list[str]:
        """Return the partitions of a table, in order."""
        return sorted({part for name, part, _ in self._rows if name == table})

    def changes(self, table: str, after: int) -> RowsAnswer | None:
        """Return the changes after a version; None if they are not known any more."""
        # Without any change known, only the present version has no gap behind it.
        oldest = self._changes[0].version if self._changes else self.version + 1
        if after < oldest - 1 or after > self.version:
            return None
        rows = [
            row for row in self._changes if row.table == table and row.version > after
        ]
        return self._answer(rows)

    def transact(self, transaction: RowTransaction) -> WriteAnswer:
        """Write and remove rows if all conditions hold."""
        stood = []
        for condition in transaction.conditions:
            address = (condition.table, condition.part, condition.key)
            row = self._rows.get(address) or StoredRow(
                condition.table, condition.key, 0, b"", condition.part
            )
            stood.append(row)
        wanted = [condition.version for condition in transaction.conditions]
        committed = [row.version for row in stood] == wanted
        entries: list[RowWrite | RowAddress] = [
            *transaction.writes,
            *transaction.removals,
        ]
        self.record.append(
            WriteRecord(
                committed=committed,
                keys=[f"{entry.table}/{entry.key}" for entry in entries],
                wall_ms=self._clock.wall_ms(),
            )
        )
        if committed:
            self._apply(transaction)
        return WriteAnswer(
            committed=committed,
            version=self.version,
            store_ms=self._clock.now_ms(),
            rows=[] if committed else stood,
        )

    def write(self, table: str, key: str, value: bytes | None) -> None:
        """Write a row as the platform itself does; None removes it."""
        if value is None:
            removals = [RowAddress(table=table, key=key)]
            self.transact(RowTransaction(removals=removals))
        else:
            writes = [RowWrite(table=table, key=key, value=value)]
            self.transact(RowTransaction(writes=writes))

    def forget_changes(self) -> None:
        """Drop the history, so that watches have to read anew."""
        self._changes.clear()
        self.version += 1

    def copy(self) -> "RowsCopy":
        """Return a copy of all rows, from which `restore` can bring them back."""
        return RowsCopy(self.version, list(self._rows.items()), list(self._changes))

    def restore(self, copy: "RowsCopy") -> None:
        """Come back from a copy; versions after it are given out again."""
        self.version, self.era = copy.version, self.era + 1
        self._rows = SortedDict(copy.rows)
        self._changes = deque(copy.changes, maxlen=MAX_CHANGES)

    def _apply(self, transaction: RowTransaction) -> None:
        self.version += 1
        for write in transaction.writes:
            row = StoredRow(
                write.table, write.key, self.version, write.value, write.part
            )
            self._change((write.table, write.part, write.key), row)
        for removal in transaction.removals:
            self._change((removal.table, removal.part, removal.key), None)

    def _change(self, address: tuple[str, str, str], row: StoredRow | None) -> None:
        old = self._rows.pop(address, None)
        table, part, key = address
        if table in self._lag_ms:
            past = self._past.setdefault(address, deque())
            past.append(_Past(self._clock.now_ms() + self._lag_ms[table], old))
        if row is not None:
            self._rows[address] = row
        elif old is not None:
            row = StoredRow(table, key, self.version, b"", part, removed=True)
        if row is not None:
            self._changes.append(row)

    def _range(
        self, table: str, part: str, first: str, end: str
    ) -> Iterator[StoredRow]:
        if table in self._lag_ms:
            yield from self._lagging(table, part, first, end)
            return
        for address in self._rows.irange(minimum=(table, part, first)):
            if address[:2] != (table, part) or (end and address[2] >= end):
                return
            yield self._rows[address]

    def _lagging(
        self, table: str, part: str, first: str, end: str
    ) -> Iterator[StoredRow]:
        """Yield the rows of a range as they stood some time ago."""
        now_ms = self._clock.now_ms()
        addresses = {a for a in [*self._rows, *self._past] if a[:2] == (table, part)}
        for address in sorted(addresses):
            past = self._past.get(address, deque())
            while past and past[0].until_ms <= now_ms:
                past.popleft()
            if not past:
                self._past.pop(address, None)
            row = past[0].row if past else self._rows.get(address)
            if row is not None and first <= row.key and not (end and row.key >= end):
                yield row

    def _answer(self, rows: list[StoredRow], *, has_more: bool = False) -> RowsAnswer:
        return RowsAnswer(self.version, self._clock.now_ms(), rows, has_more)


class ObjectsState:
    """Objects by name.

    Parameters
    ----------
    most_bytes : int
        Size of all objects together, beyond which writes are refused.
    """

    def __init__(self, *, most_bytes: int):
        self._most_bytes = most_bytes
        self._objects: SortedDict[str, bytes] = SortedDict()

    def get(self, name: str) -> bytes | None:
        """Return an object, or None."""
        return self._objects.get(name)

    def put(self, name: str, data: bytes) -> bool:
        """Store an object; return False if there is no room."""
        used = sum(map(len, self._objects.values())) - len(self._objects.get(name, b""))
        if used + len(data) > self._most_bytes:
            return False
        self._objects[name] = data
        return True

    def drop(self, name: str) -> bool:
        """Remove an object; return whether there was one."""
        return self._objects.pop(name, None) is not None

    def names(self, prefix: str, after: str) -> Iterator[str]:
        """Yield the names with a prefix that follow `after`."""
        for name in self._objects.irange(minimum=max(prefix, after)):
            if not name.startswith(prefix):
                return
            if name != after:
                yield name
