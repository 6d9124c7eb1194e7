"""Table of the requests that were in flight at crashes of targets."""

import msgspec

from carobroute.utils import Clock

MAX_CRASHES_PER_REQUEST = 8
MAX_REQUESTS_PER_CRASH = 512


class BlameRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Record that a request was in flight at a crash.

    Parameters
    ----------
    fingerprint : str
        Fingerprint of the request.
    crash : str
        Identifier of the crash.
    alone : bool
        Whether the request was the only one running.
    cleared : bool
        Whether the request has completed since the crash.
    age_ms : float
        Time since the crash, as known to the sender, in milliseconds.
    """

    fingerprint: str
    crash: str
    alone: bool = False
    cleared: bool = False
    age_ms: float = 0.0


class _CrashRecord:
    """One request's part in one crash: ran alone or not, cleared of it or not."""

    __slots__ = ("alone", "at_ms", "cleared")

    def __init__(self, *, at_ms: float):
        self.at_ms = at_ms
        self.alone = False
        self.cleared = False


class BlameTable:
    """Union of all blame entries, local and received, with bounds on its size.

    Parameters
    ----------
    clock : Clock
        Source of time.
    crash_retention_ms : float
        Time for which an entry is kept.
    max_fingerprints, max_crashes : int
        Maximum number of requests and crashes kept. The oldest crash is dropped
        first, and the oldest of the requests with the fewest crashes.
    """

    __slots__ = (
        "_clock",
        "_crash_retention_ms",
        "_crashes",
        "_max_crashes",
        "_max_fingerprints",
        "_records",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        crash_retention_ms: float,
        max_fingerprints: int,
        max_crashes: int,
    ):
        self._clock = clock
        self._crash_retention_ms = crash_retention_ms
        self._max_fingerprints = max_fingerprints
        self._max_crashes = max_crashes
        self._records: dict[str, dict[str, _CrashRecord]] = {}
        self._crashes: dict[str, set[str]] = {}

    def suspects(self) -> list[str]:
        """Return the fingerprints with a crash of which they are not cleared."""
        return [
            fingerprint
            for fingerprint in self._records
            if self.crash_count(fingerprint)
        ]

    def crash_count(self, fingerprint: str) -> int:
        """Return the number of crashes of which a request is not cleared."""
        return len(self._open_records(fingerprint))

    def confirmed_crash_age_ms(self, fingerprint: str) -> float | None:
        """Return the time since the last crash that a request is confirmed to cause.

        A request is confirmed if it was in flight at two crashes that no other request
        accounts for, and either ran alone at one of them (its trial) or is the only
        request that two of them have in common.

        Returns
        -------
        age_ms : float or None
            Time in milliseconds; None if the request is not confirmed.
        """
        open_records = {
            crash: record
            for crash, record in self._open_records(fingerprint).items()
            if not self._has_other_cause(crash, fingerprint)
        }
        if len(open_records) < 2:
            return None
        alone = any(record.alone for record in open_records.values())
        if not alone and not self._is_only_common_request(
            fingerprint, list(open_records)
        ):
            return None
        return self._clock.now_ms() - max(
            record.at_ms for record in open_records.values()
        )

    def merge(self, entries: list[BlameRecord]) -> list[BlameRecord]:
        """Add entries, and return those that changed the table."""
        now_ms = self._clock.now_ms()
        new_entries = [entry for entry in entries if self._add(entry, now_ms)]
        self._trim(now_ms)
        return new_entries

    def clear(self, fingerprint: str) -> list[BlameRecord]:
        """Clear a request of all its crashes unless it is confirmed as their cause."""
        if not self.crash_count(fingerprint):
            return []
        if self.confirmed_crash_age_ms(fingerprint) is not None:
            return []
        for record in self._records[fingerprint].values():
            record.cleared = True
        return self.entries(fingerprint)

    def entries(self, fingerprint: str | None = None) -> list[BlameRecord]:
        """Return all entries, or those of one request."""
        now_ms = self._clock.now_ms()
        names = self._records if fingerprint is None else [fingerprint]
        return [
            BlameRecord(
                fingerprint=name,
                crash=crash,
                alone=record.alone,
                cleared=record.cleared,
                age_ms=now_ms - record.at_ms,
            )
            for name in names
            for crash, record in self._records.get(name, {}).items()
        ]

    def _open_records(self, fingerprint: str) -> dict[str, _CrashRecord]:
        """Return the records of recent crashes of which a request is not cleared."""
        oldest_ms = self._clock.now_ms() - self._crash_retention_ms
        records = self._records.get(fingerprint, {})
        return {
            crash: record
            for crash, record in records.items()
            if not record.cleared and record.at_ms >= oldest_ms
        }

    def _has_other_cause(self, crash: str, fingerprint: str) -> bool:
        """Return whether another request, confirmed by a trial, accounts for a crash.

        Without this check, a request that was in flight at the crashes of several such
        requests would be confirmed as their cause.
        """
        return any(
            other != fingerprint and self._is_confirmed_by_trial(other)
            for other in self._crashes.get(crash, ())
        )

    def _is_confirmed_by_trial(self, fingerprint: str) -> bool:
        """Return whether a request was in flight at two crashes, alone at one."""
        open_records = self._open_records(fingerprint)
        return len(open_records) > 1 and any(
            record.alone for record in open_records.values()
        )

    def _is_only_common_request(self, fingerprint: str, crashes: list[str]) -> bool:
        """Return whether any two of `crashes` have only this request in common."""
        for index, earlier in enumerate(crashes):
            for later in crashes[index + 1 :]:
                common = self._crashes.get(earlier, set()) & self._crashes.get(
                    later, set()
                )
                if common == {fingerprint}:
                    return True
        return False

    def _add(self, entry: BlameRecord, now_ms: float) -> bool:
        if entry.age_ms > self._crash_retention_ms:
            return False
        records = self._records.setdefault(entry.fingerprint, {})
        record = records.get(entry.crash)
        is_new = record is None
        if record is None:
            if len(records) >= MAX_CRASHES_PER_REQUEST:
                return False
            record = records[entry.crash] = _CrashRecord(at_ms=now_ms - entry.age_ms)
            members = self._crashes.setdefault(entry.crash, set())
            if len(members) < MAX_REQUESTS_PER_CRASH:
                members.add(entry.fingerprint)
        is_new |= (entry.alone, entry.cleared) > (record.alone, record.cleared)
        record.alone |= entry.alone
        record.cleared |= entry.cleared
        return is_new

    def _trim(self, now_ms: float) -> None:
        oldest_ms = now_ms - self._crash_retention_ms
        while len(self._crashes) > self._max_crashes:
            self._drop_crash(next(iter(self._crashes)))
        if len(self._records) <= self._max_fingerprints:
            return
        for fingerprint, records in list(self._records.items()):
            if all(
                record.cleared or record.at_ms < oldest_ms
                for record in records.values()
            ):
                del self._records[fingerprint]
        while len(self._records) > self._max_fingerprints:
            del self._records[self._min_crashes_fingerprint()]

    def _min_crashes_fingerprint(self) -> str:
        """Return the fingerprint with the fewest crashes, the oldest of equal ones."""
        return min(self._records, key=self.crash_count)

    def _drop_crash(self, crash: str) -> None:
        for fingerprint in self._crashes.pop(crash):
            records = self._records.get(fingerprint, {})
            records.pop(crash, None)
            if not records:
                self._records.pop(fingerprint, None)
