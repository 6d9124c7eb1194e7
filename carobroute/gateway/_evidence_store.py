"""Evidence on prompt parts in the platform's store, for when all gateways restart."""

from collections.abc import Callable

import msgspec
from returns.result import Failure

from carobroute.errors import ErrorKind
from carobroute.gateway._part_evidence import EvidenceReport
from carobroute.gateway._prompt_quarantine import PromptQuarantine
from carobroute.gateway._store_keeper import StoreKeeper
from carobroute.platform import RowCondition, RowsAnswer, RowStore, RowWrite, StoredRow
from carobroute.telemetry import EventLog
from carobroute.utils import Backoff, Clock, Number, decode_foreign

EVIDENCE_TABLE = "prompt_parts"
# Answers clear the parts of a crash one after the other, so that is stored together.
CLEARING_DELAY_MS = 2_000.0


class StoredEvidence(msgspec.Struct, frozen=True, kw_only=True):
    """Evidence on the prompt parts of one service, as it is stored.

    Parameters
    ----------
    store_ms : float
        Time by the store's clock at which the ages in `report` held.
    report : EvidenceReport
        What was known then.
    """

    store_ms: Number
    report: EvidenceReport


_row_decoder = msgspec.json.Decoder(StoredEvidence)


class EvidenceStore(StoreKeeper):
    """Keeps the evidence of all gateways in the store, one row for each service.

    Evidence only grows, so a row is read, merged, and written if it lacks something
    that this gateway knows. A gateway stores the crashes that it saw first; a few
    gateways store all that they hear of.

    Parameters
    ----------
    store : RowStore
        The platform's store.
    quarantine : PromptQuarantine
        Evidence of this gateway.
    count_stronger : callable
        Returns the number of live gateways that should store evidence rather than this.
    events : EventLog
        Log of what was read and written.
    clock : Clock
        Source of time.
    backoff : Backoff
        Delays after failed calls to the store.
    """

    __slots__ = ("_quarantine", "_stored", "_stored_ms")

    def __init__(
        self,
        *,
        store: RowStore,
        quarantine: PromptQuarantine,
        count_stronger: Callable[[], int],
        events: EventLog,
        clock: Clock,
        backoff: Backoff,
    ):
        super().__init__(
            name="prompt parts",
            store=store,
            count_stronger=count_stronger,
            events=events,
            clock=clock,
            backoff=backoff,
        )
        self._quarantine = quarantine
        # What the row of each service is known to hold, and since when.
        self._stored: dict[str, frozenset[tuple[str, str]]] = {}
        self._stored_ms: dict[str, float] = {}

    async def _load(self) -> bool:
        read = await self._store.read(EVIDENCE_TABLE)
        if isinstance(read, Failure):
            return self._note_failure(read.failure())
        self._note_success()
        answer = read.unwrap()
        self._stored.clear()
        for row in answer.rows:
            self._apply(row, answer)
        return True

    async def _save(self) -> bool:
        due = [name for name in self._quarantine.services if self._is_due(name)]
        return all([await self._merge_row(service) for service in due])

    def _is_due(self, service: str) -> bool:
        """Return whether this gateway should store its evidence on a service now."""
        suspicions = self._quarantine.open_suspicions(service)
        stored = self._stored.get(service, frozenset())
        if suspicions == stored:
            return False
        if suspicions - stored:
            return self.is_keeper or self._quarantine.has_reported(service)
        age_ms = self._clock.now_ms() - self._stored_ms[service]
        return self.is_keeper and age_ms >= CLEARING_DELAY_MS

    async def _merge_row(self, service: str) -> bool:
        """Merge the row of a service; return False if the store did not answer."""
        read = await self._store.read(EVIDENCE_TABLE, first=service, end=service + "\0")
        if isinstance(read, Failure):
            return self._note_failure(read.failure())
        answer = read.unwrap()
        version = 0
        for row in answer.rows:
            version = row.version
            self._apply(row, answer)
        suspicions = self._quarantine.open_suspicions(service)
        if version and suspicions == self._stored.get(service):
            self._note_success()
            return True
        report = self._quarantine.make_complete_report(service)
        value = StoredEvidence(store_ms=answer.store_ms, report=report)
        written = await self._store.transact(
            conditions=[
                RowCondition(table=EVIDENCE_TABLE, key=service, version=version)
            ],
            writes=[
                RowWrite(
                    table=EVIDENCE_TABLE,
                    key=service,
                    value=msgspec.json.encode(value),
                )
            ],
            removals=[],
        )
        if isinstance(written, Failure):
            return self._note_failure(written.failure())
        self._note_success()
        if written.unwrap().committed:
            self._note_stored(service, suspicions)
            self._events.event(
                "part_evidence_stored",
                service=service,
                version=written.unwrap().version,
                crashes=len(report.crashes),
            )
        return True

    def _note_stored(
        self, service: str, suspicions: frozenset[tuple[str, str]]
    ) -> None:
        self._stored[service] = suspicions
        self._stored_ms[service] = self._clock.now_ms()

    def _apply(self, row: StoredRow, answer: RowsAnswer) -> None:
        """Merge a row into the evidence of this gateway."""
        decoded = decode_foreign(
            _row_decoder.decode,
            row.value,
            kind=ErrorKind.BAD_REQUEST,
            what="evidence on prompt parts",
        )
        if isinstance(decoded, Failure):
            self._events.event(
                "part_evidence_unreadable",
                level="warning",
                service=row.key,
                version=row.version,
                why=decoded.failure().detail,
            )
            return
        stored = decoded.unwrap()
        age_ms = max(0.0, answer.store_ms - stored.store_ms)
        report = stored.report.aged(age_ms)
        known = self._quarantine.open_suspicions(row.key)
        self._quarantine.merge({row.key: report})
        self._note_stored(row.key, report.open_suspicions())
        if self._quarantine.open_suspicions(row.key) != known:
            self._events.event(
                "part_evidence_read",
                service=row.key,
                version=row.version,
                age_ms=round(age_ms),
                crashes=len(report.crashes),
            )
