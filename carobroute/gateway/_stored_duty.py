"""A duty that one gateway has at a time, kept as a row of the platform's store."""

from collections.abc import Callable

import msgspec
from returns.result import Failure, Result

from carobroute.errors import ErrorKind, Fault
from carobroute.experts import Duty
from carobroute.platform import (
    RowCondition,
    RowStore,
    RowWrite,
    StoredRow,
    WriteAnswer,
)
from carobroute.telemetry import EventLog
from carobroute.utils import Clock

DUTY_TABLE = "duties"
# Several switches of a map; a successor waits no longer than that for a holder that
# is gone.
TERM_MS = 3_000.0
# The holder renews once less than this is left, which is more than a switch takes.
RENEW_MS = 1_500.0
# Wait after a refusal; another process has taken the duty, or the store is away.
RETRY_MS = 400.0


class DutyRow(msgspec.Struct, frozen=True, kw_only=True):
    """Holder of a duty, and the store's time at which its term ends."""

    holder: str
    until_ms: float


class RowDuty(Duty):
    """A duty with a term, measured on the store's clock.

    Parameters
    ----------
    name : str
        Name of the duty.
    holder : str
        Identity of this process, unique among all that ever ran.
    store : RowStore
        The platform's store.
    events : EventLog
        Where changes are logged.
    clock : Clock
        Source of time.
    is_gone : callable
        Tells whether another holder is known to be gone before its term is over.
    """

    __slots__ = (
        "_clock",
        "_events",
        "_holder",
        "_is_gone",
        "_name",
        "_next_ms",
        "_rival",
        "_store",
        "_until_ms",
        "_version",
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
    ):
        self._is_gone = is_gone
        self._name = name
        self._holder = holder
        self._store = store
        self._events = events
        self._clock = clock
        # Version of the own row, while the duty is held.
        self._version: int | None = None
        self._until_ms = 0.0
        self._next_ms = 0.0
        # Who had the duty when this process last asked.
        self._rival = ""

    async def acquire(self) -> bool:
        """Take or keep the duty, and return whether this process has it."""
        now_ms = self._clock.wake_safe_ms()
        if self._version is not None and now_ms < self._until_ms - RENEW_MS:
            return True
        waits = self._version is None and now_ms < self._next_ms
        if waits and not (self._rival and self._is_gone(self._rival)):
            return False
        self._rival = ""
        return await self._take(now_ms)

    async def release(self) -> None:
        """Give the duty up, so that a successor need not wait for the term to end."""
        version, self._version = self._version, None
        if version is None:
            return
        written = await self._write(version, DutyRow(holder="", until_ms=0.0))
        outcome = "released"
        if isinstance(written, Failure):
            outcome = written.failure().detail
        elif not written.unwrap().committed:
            outcome = "taken by another gateway"
        self._events.event("duty_released", duty=self._name, outcome=outcome)

    async def _take(self, sent_ms: float) -> bool:
        held = self._version is not None
        read = await self._store.read(
            DUTY_TABLE, first=self._name, end=self._name + "\0"
        )
        if isinstance(read, Failure):
            return self._lose(read.failure())
        answer = read.unwrap()
        version = 0
        for row in answer.rows:
            version = row.version
            found = self._decode(row)
            if found is None or found.until_ms <= answer.store_ms:
                continue
            if found.holder != self._holder and not self._is_gone(found.holder):
                remaining_ms = min(RENEW_MS, found.until_ms - answer.store_ms)
                self._next_ms = sent_ms + remaining_ms
                self._rival = found.holder
                return self._lose(
                    Fault(kind=ErrorKind.CONFLICT, detail=f"held by {found.holder}")
                )
        until_ms = answer.store_ms + TERM_MS
        own = DutyRow(holder=self._holder, until_ms=until_ms)
        written = await self._write(version, own)
        if isinstance(written, Failure):
            return self._lose(written.failure())
        if not written.unwrap().committed:
            detail = "another gateway took it at the same time"
            return self._lose(Fault(kind=ErrorKind.CONFLICT, detail=detail))
        self._version = written.unwrap().version
        self._until_ms = sent_ms + TERM_MS
        if not held:
            self._events.event("duty_taken", duty=self._name, version=self._version)
        return True

    async def _write(self, version: int, row: DutyRow) -> Result[WriteAnswer, Fault]:
        """Write the duty's row over the one that has `version`."""
        value = msgspec.json.encode(row)
        return await self._store.transact(
            conditions=[
                RowCondition(table=DUTY_TABLE, key=self._name, version=version)
            ],
            writes=[RowWrite(table=DUTY_TABLE, key=self._name, value=value)],
            removals=[],
        )

    def _lose(self, fault: Fault) -> bool:
        if self._version is not None:
            self._events.event("duty_lost", duty=self._name, why=fault.detail)
        self._version = None
        now_ms = self._clock.wake_safe_ms()
        if self._next_ms <= now_ms:
            self._next_ms = now_ms + RETRY_MS
        return False

    def _decode(self, row: StoredRow) -> DutyRow | None:
        try:
            return msgspec.json.decode(row.value, type=DutyRow)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            # Whatever stands there names no holder, so the duty is free.
            self._events.event(
                "duty_unreadable",
                level="warning",
                duty=self._name,
                version=row.version,
                why=str(error),
            )
            return None
