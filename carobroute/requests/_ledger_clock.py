"""Time of the ledger, which no instance's wall clock can move."""

import msgspec
from returns.result import Failure, Result, Success

from carobroute.errors import Fault
from carobroute.requests._ledger_types import CLOCK_KEY, CLOCK_TABLE, encode_row
from carobroute.tables import Condition, Put, Row, TableClient
from carobroute.utils import Clock


class ClockRow(msgspec.Struct, frozen=True, kw_only=True):
    """Row of the ledger's clock: time passed while some process kept it, in ms."""

    time_ms: float


_decoder = msgspec.msgpack.Decoder(ClockRow)


class LedgerClock:
    """This process's copy of the clock row.

    The row's version grows with every clean-up, and each claim requires the version
    it was made under. A write that was held up across a clean-up therefore fails,
    though the rows that it names may have been removed and made anew, which starts
    their versions again.

    Parameters
    ----------
    clock : Clock
        Source of elapsed time.
    """

    __slots__ = ("_clock", "_seen_ms", "_time_ms", "_version")

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._version = 0
        self._time_ms = 0.0
        self._seen_ms = clock.now_ms()

    @property
    def version(self) -> int:
        """Version of the row last seen."""
        return self._version

    @property
    def condition(self) -> Condition:
        """Requires that no clean-up came between."""
        return Condition(table=CLOCK_TABLE, key=CLOCK_KEY, version=self._version)

    def now_ms(self) -> float:
        """Return the ledger's time: the row's, and what has passed since seen."""
        return self._time_ms + (self._clock.now_ms() - self._seen_ms)

    def learn(self, row: Row) -> None:
        """Take in the row as it stands in the table."""
        if row.version != self._version:
            self._version = row.version
            self._time_ms = _decoder.decode(row.value).time_ms if row.value else 0.0
            self._seen_ms = self._clock.now_ms()

    def advance(self) -> Put:
        """Return the write that moves the row to the present time."""
        row = ClockRow(time_ms=self.now_ms())
        return Put(table=CLOCK_TABLE, key=CLOCK_KEY, value=encode_row(row))

    def note_written(self, put: Put) -> None:
        """Take in this process's own write of the row."""
        value = put.value or b""
        version = self._version + 1
        self.learn(Row(table=put.table, key=put.key, version=version, value=value))

    async def fetch(self, table: TableClient) -> Result[None, Fault]:
        """Read the row."""
        result = await table.read(CLOCK_TABLE, CLOCK_KEY)
        if isinstance(result, Failure):
            return result
        row = result.unwrap()
        if row is not None:
            self.learn(row)
        return Success(None)
