"""A row store in memory, for tests of what is kept there."""

from returns.result import Result, Success

from carobroute.errors import ErrorKind, Fault, fail
from carobroute.platform import (
    RowAddress,
    RowCondition,
    RowsAnswer,
    RowStore,
    RowWrite,
    StoredRow,
    WriteAnswer,
)
from carobroute.utils import Clock

PAGE_ROWS = 500
WATCH_CHECK_MS = 10.0


class MemoryRowStore(RowStore):
    """Rows in memory, with outages that tests switch on.

    Parameters
    ----------
    clock : Clock
        Source of the store's time.
    """

    __slots__ = (
        "_clock",
        "_kept",
        "_removed",
        "_version",
        "calls",
        "history_from",
        "is_unavailable",
        "withheld_versions",
    )

    def __init__(self, *, clock: Clock):
        super().__init__(base_url="http://127.0.0.1:1")
        self._clock = clock
        self._kept: dict[tuple[str, str], StoredRow] = {}
        # Last removal of each row that does not exist.
        self._removed: dict[tuple[str, str], StoredRow] = {}
        self._version = 0
        # Versions of changes that watches are not told.
        self.withheld_versions: set[int] = set()
        self.calls = 0
        self.is_unavailable = False
        # Watches from before this version are told that their history is gone.
        self.history_from = 0
        self._era = 1

    async def read(
        self,
        table: str,
        *,
        part: str = "",
        first: str = "",
        end: str = "",
        limit: int = PAGE_ROWS,
    ) -> Result[RowsAnswer, Fault]:
        """Return the rows of a table in key order."""
        self.calls += 1
        if self.is_unavailable:
            return fail(ErrorKind.STORE_UNAVAILABLE, "the store is away")
        rows = [
            row
            for (name, key), row in sorted(self._kept.items())
            if name == table and key >= first and (not end or key < end)
        ]
        return Success(self._answer(rows[:limit]))

    async def watch(
        self, table: str, *, after: int, wait_ms: float
    ) -> Result[RowsAnswer, Fault]:
        """Return the changes after a version, or none at the end of the wait."""
        self.calls += 1
        if self.is_unavailable:
            return fail(ErrorKind.STORE_UNAVAILABLE, "the store is away")
        if after < self.history_from or after > self._version:
            return fail(ErrorKind.CONFLICT, "that history is gone")
        end_ms = self._clock.now_ms() + wait_ms
        while True:
            rows = [
                row
                for row in (*self._kept.values(), *self._removed.values())
                if row.table == table
                and row.version > after
                and row.version not in self.withheld_versions
            ]
            remaining_ms = end_ms - self._clock.now_ms()
            if rows or remaining_ms <= 0:
                rows.sort(key=lambda row: row.version)
                return Success(self._answer(rows))
            await self._clock.sleep_ms(min(WATCH_CHECK_MS, remaining_ms))

    async def transact(
        self,
        *,
        conditions: list[RowCondition],
        writes: list[RowWrite],
        removals: list[RowAddress],
        timeout_ms: float = 0.0,
    ) -> Result[WriteAnswer, Fault]:
        """Write and remove rows if all conditions hold."""
        self.calls += 1
        if self.is_unavailable:
            return fail(ErrorKind.STORE_UNAVAILABLE, "the store is away")
        for condition in conditions:
            row = self._kept.get((condition.table, condition.key))
            if (row.version if row else 0) != condition.version:
                return Success(WriteAnswer(committed=False, era=self._era))
        self._version += 1
        for write in writes:
            self._kept[write.table, write.key] = StoredRow(
                write.table, write.key, self._version, write.value
            )
            self._removed.pop((write.table, write.key), None)
        for removal in removals:
            self._drop(removal.table, removal.key)
        return Success(
            WriteAnswer(
                committed=True,
                version=self._version,
                store_ms=self._clock.now_ms(),
                era=self._era,
            )
        )

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row as the platform itself does."""
        self._version += 1
        self._kept[table, key] = StoredRow(table, key, self._version, value)
        self._removed.pop((table, key), None)

    def remove(self, table: str, key: str) -> None:
        """Remove a row as the platform itself does."""
        self._version += 1
        self._drop(table, key)

    def _drop(self, table: str, key: str) -> None:
        if self._kept.pop((table, key), None) is not None:
            self._removed[table, key] = StoredRow(
                table, key, self._version, removed=True
            )

    def copy(self) -> tuple[int, dict[tuple[str, str], StoredRow]]:
        """Return a copy of the store, from which `restore` can bring it back."""
        return self._version, dict(self._kept)

    def restore(self, copy: tuple[int, dict[tuple[str, str], StoredRow]]) -> None:
        """Come back from a copy; versions after it are given out again."""
        self._version, kept = copy
        self._kept = dict(kept)
        self._removed = {}
        self._note_era(self._era + 1)

    def set_era(self, era: int) -> None:
        """Answer with another era from now on; 0 for a store that names none."""
        self._era = era

    @property
    def version(self) -> int:
        """Version of the last write."""
        return self._version

    def _answer(self, rows: list[StoredRow]) -> RowsAnswer:
        return RowsAnswer(self._version, self._clock.now_ms(), rows, era=self._era)
