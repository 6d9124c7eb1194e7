"""A duty that one gateway holds at a time, kept as a row of the platform's store."""

from collections.abc import Callable

import msgspec
from returns.result import Failure, Result

from carobroute.errors import ErrorKind, Fault
from carobroute.experts import CoordinatorDuty
from carobroute.platform import (
    FIRST_ERA,
    RowCondition,
    RowsAnswer,
    RowStore,
    RowWrite,
    StoredRow,
    WriteAnswer,
)
from carobroute.telemetry import EventLog
from carobroute.utils import Clock, Number, decode_foreign

DUTY_TABLE = "duties"
# Long enough for several switches of a map; also the longest time that a successor
# waits for a holder that crashed.
DUTY_TERM_MS = 3_000.0
# The holder renews when less of its term remains; a switch takes less than this.
RENEWAL_MARGIN_MS = 1_500.0
# Delay after a failed attempt: another process took the duty first, or the store is
# unavailable.
RETRY_INTERVAL_MS = 400.0
# Delay with which each further process tries to take a free duty, and its upper limit.
TURN_DELAY_MS = 60.0
MAX_TURN_DELAY_MS = 900.0


class DutyRow(msgspec.Struct, frozen=True, kw_only=True):
    """Holder of a duty, and the end of its term by the store's clock."""

    holder: str
    until_ms: Number


_row_decoder = msgspec.json.Decoder(DutyRow)


class StoredDuty(CoordinatorDuty):
    """Duty with a limited term, stored as a row and measured by the store's clock.

    Parameters
    ----------
    name : str
        Name of the duty.
    holder : str
        Incarnation of this process, which no other process ever has.
    store : RowStore
        The platform's store.
    events : EventLog
        Log of changes.
    clock : Clock
        Source of time.
    is_gone : callable
        Returns whether a holder is known to have ended, so that its duty may be taken
        before the term ends.
    find_holder : callable, default=None
        Returns the live process that says that it holds a duty, or an empty string;
        None if processes do not tell each other.
    count_stronger : callable, default=None
        Returns the number of live processes that should take a duty rather than this
        one; None for none.
    """

    __slots__ = (
        "_clock",
        "_count_stronger",
        "_era",
        "_events",
        "_find_holder",
        "_free_since_ms",
        "_holder",
        "_is_gone",
        "_name",
        "_next_attempt_ms",
        "_other_holder",
        "_row_era",
        "_row_version",
        "_store",
        "_term_end_ms",
        "_terms_end_ms",
    )

    def __init__(
        self,
        *,
        name: str,
        holder: str,
        store: RowStore,
        events: EventLog,
        clock: Clock,
        is_gone: Callable[[str], bool],
        find_holder: Callable[[str], str] | None = None,
        count_stronger: Callable[[], int] | None = None,
    ):
        self._is_gone = is_gone
        self._find_holder = find_holder or (lambda name: "")
        self._count_stronger = count_stronger or (lambda: 0)
        # Time at which this process first saw the duty without a holder.
        self._free_since_ms: float | None = None
        self._name = name
        self._holder = holder
        self._store = store
        self._events = events
        self._clock = clock
        # Version of the row that this process wrote, while it holds the duty.
        self._row_version: int | None = None
        # Era of the store in which it wrote the row.
        self._row_era = 0
        self._term_end_ms = 0.0
        # Newest era that this process has noticed, and the time from which on all terms
        # of the eras before have ended.
        self._era = FIRST_ERA
        self._terms_end_ms = 0.0
        self._next_attempt_ms = 0.0
        # Holder of the duty at the last attempt, if that was another process.
        self._other_holder = ""

    @property
    def name(self) -> str:
        """Name of the duty."""
        return self._name

    @property
    def is_held(self) -> bool:
        """Whether this process holds the duty and its term has not ended."""
        is_in_term = self._clock.boot_time_ms() < self._term_end_ms
        return self._row_version is not None and is_in_term

    @property
    def is_superseded(self) -> bool:
        """Whether this process's term has ended and a live one says it holds the duty.

        The term of a process that was frozen ends while it stands still.
        """
        return not self.is_held and bool(self._find_holder(self._name))

    @property
    def _turn_delay_ms(self) -> float:
        return min(MAX_TURN_DELAY_MS, TURN_DELAY_MS * self._count_stronger())

    async def acquire(self) -> bool:
        """Acquire or renew the duty, and return whether this process holds it."""
        now_ms = self._clock.boot_time_ms()
        self._note_era(now_ms)
        if (
            self._row_version is not None
            and self._row_era == self._store.era
            and now_ms < self._term_end_ms - RENEWAL_MARGIN_MS
        ):
            return True
        if self._row_version is None and now_ms < self._terms_end_ms:
            return False
        is_waiting = self._row_version is None and now_ms < self._next_attempt_ms
        if is_waiting and not (
            self._other_holder and self._is_gone(self._other_holder)
        ):
            return False
        if self._row_version is None and not self._is_own_turn(now_ms):
            return False
        self._other_holder = ""
        return await self._acquire_or_renew(now_ms)

    def _note_era(self, now_ms: float) -> None:
        """Notice that the store came back from a copy, which may lack a row."""
        if self._store.era > self._era:
            self._era = self._store.era
            self._terms_end_ms = now_ms + DUTY_TERM_MS

    def _is_own_turn(self, now_ms: float) -> bool:
        """Return whether this process should try to take the duty now.

        While a live process says that it holds the duty, the store is not asked. When
        there is none, the strongest process tries first, and the others follow in
        turn, so that not all ask at once.
        """
        if self._find_holder(self._name):
            self._free_since_ms = None
            return False
        if self._free_since_ms is None:
            self._free_since_ms = now_ms
        return now_ms >= self._free_since_ms + self._turn_delay_ms

    async def release(self) -> None:
        """Release the duty, so that a successor need not wait for the term to end."""
        was_held, self._row_version = self._row_version is not None, None
        if was_held:
            outcome = await self._clear_row()
            self._events.event("duty_released", duty=self._name, outcome=outcome)

    async def _clear_row(self) -> str:
        """Remove this process as the holder from the row, and return the outcome.

        The row is read first, since the version of a row that this process wrote may
        have been given out again for another holder's.
        """
        read = await self._read()
        if isinstance(read, Failure):
            return read.failure().detail
        for row in read.unwrap().rows:
            stored = self._decode(row)
            if stored is None or stored.holder != self._holder:
                continue
            written = await self._write(row.version, DutyRow(holder="", until_ms=0.0))
            if isinstance(written, Failure):
                return written.failure().detail
            if written.unwrap().committed:
                return "released"
        return "taken by another gateway"

    async def _acquire_or_renew(self, sent_ms: float) -> bool:
        was_held = self._row_version is not None
        read = await self._read()
        if isinstance(read, Failure):
            return self._fail_acquire(read.failure())
        answer = read.unwrap()
        self._note_era(sent_ms)
        if not was_held and sent_ms < self._terms_end_ms:
            detail = "a term of the store's last era may not have ended"
            return self._fail_acquire(Fault(kind=ErrorKind.CONFLICT, detail=detail))
        version = 0
        for row in answer.rows:
            version = row.version
            stored = self._decode(row)
            if stored is None or stored.until_ms <= answer.store_ms:
                continue
            if stored.holder != self._holder and not self._is_gone(stored.holder):
                wait_ms = min(RENEWAL_MARGIN_MS, stored.until_ms - answer.store_ms)
                self._next_attempt_ms = sent_ms + wait_ms + self._turn_delay_ms
                self._other_holder = stored.holder
                return self._fail_acquire(
                    Fault(kind=ErrorKind.CONFLICT, detail=f"held by {stored.holder}")
                )
        until_ms = answer.store_ms + DUTY_TERM_MS
        own_row = DutyRow(holder=self._holder, until_ms=until_ms)
        written = await self._write(version, own_row)
        if isinstance(written, Failure):
            return self._fail_acquire(written.failure())
        if not written.unwrap().committed:
            detail = "another gateway wrote the duty's row at the same time"
            return self._fail_acquire(Fault(kind=ErrorKind.CONFLICT, detail=detail))
        if written.unwrap().era != answer.era:
            # The row's version may have been given out again for another holder's.
            detail = "the store came back from an older copy during the write"
            return self._fail_acquire(Fault(kind=ErrorKind.CONFLICT, detail=detail))
        self._row_version = written.unwrap().version
        self._row_era = answer.era
        self._term_end_ms = sent_ms + DUTY_TERM_MS
        if not was_held:
            self._events.event("duty_taken", duty=self._name, version=self._row_version)
        return True

    async def _read(self) -> Result[RowsAnswer, Fault]:
        return await self._store.read(
            DUTY_TABLE, first=self._name, end=self._name + "\0"
        )

    async def _write(self, version: int, row: DutyRow) -> Result[WriteAnswer, Fault]:
        """Replace the duty's row if its version is still `version`."""
        value = msgspec.json.encode(row)
        return await self._store.transact(
            conditions=[
                RowCondition(table=DUTY_TABLE, key=self._name, version=version)
            ],
            writes=[RowWrite(table=DUTY_TABLE, key=self._name, value=value)],
            removals=[],
        )

    def _fail_acquire(self, fault: Fault) -> bool:
        """Record that this process does not hold the duty, and return False."""
        if self._row_version is not None:
            self._events.event("duty_lost", duty=self._name, why=fault.detail)
        self._row_version = None
        now_ms = self._clock.boot_time_ms()
        if self._next_attempt_ms <= now_ms:
            self._next_attempt_ms = now_ms + RETRY_INTERVAL_MS
        return False

    def _decode(self, row: StoredRow) -> DutyRow | None:
        decoded = decode_foreign(
            _row_decoder.decode,
            row.value,
            kind=ErrorKind.BAD_REQUEST,
            what="a duty's row",
        )
        if isinstance(decoded, Failure):
            # An unreadable row names no holder, so the duty is free.
            self._events.event(
                "duty_unreadable",
                level="warning",
                duty=self._name,
                version=row.version,
                why=decoded.failure().detail,
            )
            return None
        return decoded.unwrap()
