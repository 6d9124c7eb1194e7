"""Clock of the ledger, which is independent of the wall clocks of instances."""

import msgspec
from returns.result import Failure, Result, Success

from carobroute.errors import Fault
from carobroute.requests._ledger_types import CLOCK_KEY, CLOCK_TABLE, encode_row
from carobroute.tables import Condition, Put, Row, TableClient
from carobroute.utils import Clock


class ClockRow(msgspec.Struct, frozen=True, kw_only=True):
    """Row of the ledger's clock: milliseconds for which a process maintained it."""

    time_ms: float


_decoder = msgspec.msgpack.Decoder(ClockRow)


class LedgerClock:
    """This process's copy of the clock row.

    Every clean-up increases the row's version, and each claim requires the version at
    which it was made. A write that is delayed across a clean-up therefore fails, even
    if the rows that it refers to were removed and created again, which restarts their
    versions.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    __slots__ = ("_clock", "_row_time_ms", "_updated_ms", "_version")

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._version = 0
        self._row_time_ms = 0.0
        self._updated_ms = clock.now_ms()

    @property
    def version(self) -> int:
        """Version of the row at the last update."""
        return self._version

    @property
    def condition(self) -> Condition:
        """Condition that no clean-up has happened since the last update."""
        return Condition(table=CLOCK_TABLE, key=CLOCK_KEY, version=self._version)

    def now_ms(self) -> float:
        """Return the row's time plus the time elapsed since the last update."""
        return self._row_time_ms + (self._clock.now_ms() - self._updated_ms)

    def update_from_row(self, row: Row) -> None:
        """Update the copy from the row as stored in the table."""
        if row.version != self._version:
            self._version = row.version
            self._row_time_ms = _decoder.decode(row.value).time_ms if row.value else 0.0
            self._updated_ms = self._clock.now_ms()

    def advance_put(self) -> Put:
        """Return the put that advances the row to the current time."""
        row = ClockRow(time_ms=self.now_ms())
        return Put(table=CLOCK_TABLE, key=CLOCK_KEY, value=encode_row(row))

    def note_written(self, put: Put) -> None:
        """Update the copy after this process has written the row."""
        value = put.value or b""
        version = self._version + 1
        self.update_from_row(
            Row(table=put.table, key=put.key, version=version, value=value)
        )

    async def fetch(self, table: TableClient) -> Result[None, Fault]:
        """Read the row from the table and update the copy."""
        result = await table.read(CLOCK_TABLE, CLOCK_KEY)
        if isinstance(result, Failure):
            return result
        row = result.unwrap()
        if row is not None:
            self.update_from_row(row)
        return Success(None)
