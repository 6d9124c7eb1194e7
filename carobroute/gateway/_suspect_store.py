"""Requests that crash targets in the store, for when all gateways restart."""

from collections.abc import Callable

import msgspec
from returns.result import Failure

from carobroute.errors import ErrorKind
from carobroute.gateway._store_keeper import StoreKeeper
from carobroute.gateway._suspect_requests import CRASH_RETENTION_MS, SuspectRequests
from carobroute.platform import RowAddress, RowStore, RowWrite, StoredRow
from carobroute.telemetry import EventLog
from carobroute.utils import Backoff, Clock, Number, decode_foreign

SUSPECT_TABLE = "crashing_requests"
# Rows that one transaction writes or removes at most.
MAX_CHANGED_ROWS = 40


class StoredSuspect(msgspec.Struct, frozen=True, kw_only=True):
    """Row of a refused request, whose key is the request's fingerprint.

    Parameters
    ----------
    store_ms : float
        Time by the store's clock at which the row was written.
    crashes : list of str
        Crashes of targets with the request in flight.
    """

    store_ms: Number
    crashes: list[str]


_row_decoder = msgspec.json.Decoder(StoredSuspect)


class SuspectStore(StoreKeeper):
    """Keeps the requests that are refused for crashes in the store.

    A few gateways write what all of them know from their digests. A row is removed
    when its request is no longer refused.

    Parameters
    ----------
    store : RowStore
        The platform's store.
    suspects : SuspectRequests
        Requests that were in flight at crashes.
    count_stronger : callable
        Returns the number of live gateways that should write rather than this one.
    events : EventLog
        Log of what was read and written.
    clock : Clock
        Source of time.
    backoff : Backoff
        Delays after failed calls to the store.
    """

    __slots__ = ("_stored", "_suspects")

    def __init__(
        self,
        *,
        store: RowStore,
        suspects: SuspectRequests,
        count_stronger: Callable[[], int],
        events: EventLog,
        clock: Clock,
        backoff: Backoff,
    ):
        super().__init__(
            name="crashing requests",
            store=store,
            count_stronger=count_stronger,
            events=events,
            clock=clock,
            backoff=backoff,
        )
        self._suspects = suspects
        # Fingerprints that are known to have a row.
        self._stored: set[str] = set()

    async def _load(self) -> bool:
        read = await self._store.read_all(SUSPECT_TABLE)
        if isinstance(read, Failure):
            return self._note_failure(read.failure())
        self._note_success()
        self._stored.clear()
        for row in read.unwrap().rows:
            self._apply(row, read.unwrap().store_ms)
        if self._stored:
            self._events.event("crashing_requests_read", requests=len(self._stored))
        return True

    async def _save(self) -> bool:
        refused = set(self._suspects.refused_requests())
        if refused == self._stored or not self.is_keeper:
            return True
        # Its answer tells the store's time.
        read = await self._store.read(SUSPECT_TABLE, limit=1)
        if isinstance(read, Failure):
            return self._note_failure(read.failure())
        crashes = self._suspects.crashes_by_request()
        added = sorted(refused - self._stored)[:MAX_CHANGED_ROWS]
        removed = sorted(self._stored - refused)[:MAX_CHANGED_ROWS]
        written = await self._store.transact(
            conditions=[],
            writes=[
                RowWrite(
                    table=SUSPECT_TABLE,
                    key=fingerprint,
                    value=msgspec.json.encode(
                        StoredSuspect(
                            store_ms=read.unwrap().store_ms,
                            crashes=crashes[fingerprint],
                        )
                    ),
                )
                for fingerprint in added
            ],
            removals=[
                RowAddress(table=SUSPECT_TABLE, key=fingerprint)
                for fingerprint in removed
            ],
        )
        if isinstance(written, Failure):
            return self._note_failure(written.failure())
        self._note_success()
        self._stored = self._stored.union(added).difference(removed)
        self._events.event(
            "crashing_requests_stored", added=len(added), removed=len(removed)
        )
        return True

    def _apply(self, row: StoredRow, store_ms: float) -> None:
        """Add the crashes of a row, which counts as stored."""
        self._stored.add(row.key)
        decoded = decode_foreign(
            _row_decoder.decode,
            row.value,
            kind=ErrorKind.BAD_REQUEST,
            what="a crashing request",
        )
        if isinstance(decoded, Failure):
            # The next write removes it.
            self._events.event(
                "crashing_request_unreadable",
                level="warning",
                request=row.key,
                version=row.version,
                why=decoded.failure().detail,
            )
            return
        suspect = decoded.unwrap()
        age_ms = max(0.0, store_ms - suspect.store_ms)
        if age_ms < CRASH_RETENTION_MS:
            for incarnation in suspect.crashes:
                self._suspects.add_crash(row.key, incarnation, age_ms=age_ms)
