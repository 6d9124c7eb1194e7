"""Evidence on prompt parts that crash the targets that begin an answer on them.

Each gateway keeps, for a service, the crashes of its targets with the parts of the
calls whose answer had not begun, and the time at which each part last began an answer.
Both only grow, so reports of peers may be merged late, twice and in any order.
"""

import math
from collections.abc import Collection, Iterable

import msgspec

from carobroute.gateway._part_histories import NEVER_MS, PartHistories
from carobroute.gateway._part_verdicts import (
    PartState,
    TargetCrash,
    Verdict,
    find_candidates,
    judge,
)
from carobroute.utils import Clock, Number

# Most crashes that are kept, and most parts of each.
MAX_CRASHES = 32
MAX_PARTS_PER_CRASH = 64
# Most parts in one report, so that a digest fits into a datagram.
MAX_REPORTED_PARTS = 400
CRASH_RETENTION_MS = 86_400_000.0
# The same for a crash whose parts have all begun answers since.
CLEARED_RETENTION_MS = 60_000.0
# Age up to which a crash is in each digest; older ones are in complete reports only.
NEWS_MS = 5_000.0


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """Crash of a target, as told to peers.

    Parameters
    ----------
    crash : str
        Incarnation and start time of the target, which name its crash.
    age_ms : float
        Time since the crash, in milliseconds.
    parts : list of str
        Parts of the calls whose answer had not begun.
    tried : list of str
        Parts that were on trial in one of these calls.
    reporter : str
        Gateway that saw the crash first.
    """

    crash: str
    age_ms: Number
    parts: list[str]
    tried: list[str] = []
    reporter: str = ""


class EvidenceReport(msgspec.Struct, frozen=True, array_like=True):
    """What a gateway knows of the crashes of one service.

    Parameters
    ----------
    crashes : list of CrashReport
        Latest crashes.
    begun_ages_ms : dict of str to float
        Time since an answer began on a part, for parts of these crashes.
    """

    crashes: list[CrashReport]
    begun_ages_ms: dict[str, Number]

    def aged(self, age_ms: float) -> "EvidenceReport":
        """Return the report as of `age_ms` milliseconds later."""
        crashes = [
            msgspec.structs.replace(crash, age_ms=crash.age_ms + age_ms)
            for crash in self.crashes
        ]
        begun_ages_ms = {
            part: begun_age_ms + age_ms
            for part, begun_age_ms in self.begun_ages_ms.items()
        }
        return EvidenceReport(crashes, begun_ages_ms)

    def open_suspicions(self) -> frozenset[tuple[str, str]]:
        """Return each crash with each part that has not begun an answer since.

        Examples
        --------
        >>> crash = CrashReport("i-1@7", 100.0, ["sound", "bad"])
        >>> sorted(EvidenceReport([crash], {"sound": 50.0}).open_suspicions())
        [('i-1@7', 'bad')]
        """
        return frozenset(
            (crash.crash, part)
            for crash in self.crashes
            for part in crash.parts
            if self.begun_ages_ms.get(part, math.inf) > crash.age_ms
        )


class PartEvidence:
    """Judges the prompt parts of one service by crashes and by answers that began.

    A part that begins an answer is cleared of all crashes before. The other parts of
    the calls that a crash interrupted before their answers began may have caused it.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Examples
    --------
    >>> from carobroute.utils import ManualClock
    >>> clock = ManualClock()
    >>> evidence = PartEvidence(clock=clock)
    >>> evidence.note_begun(["sound"])
    False
    >>> clock.advance_ms(100)
    >>> evidence.note_crash("i-1@7", ["sound", "bad"])
    >>> evidence.find_verdict(["sound"]) is None
    True
    >>> sorted(evidence.find_verdict(["sound", "bad"]).parts)
    ['bad']
    >>> clock.advance_ms(5_000)
    >>> evidence.note_crash("i-2@9", ["bad", "other"])
    >>> clock.advance_ms(1_000)
    >>> evidence.state_of(["bad"]).value
    'refused'
    >>> evidence.note_begun(["bad"])
    True
    >>> evidence.state_of(["bad"]) is None
    True
    """

    __slots__ = ("_clock", "_crashes", "_histories", "_verdicts")

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._histories = PartHistories()
        self._crashes: dict[str, TargetCrash] = {}
        # Verdicts by part; None if the evidence has changed since they were derived.
        self._verdicts: dict[str, list[Verdict]] | None = {}

    @property
    def verdicts(self) -> list[Verdict]:
        """All verdicts, those with the most crashes first."""
        found = {id(v): v for verdicts in self._judged().values() for v in verdicts}
        return sorted(found.values(), key=lambda verdict: -len(verdict.crashes))

    def note_arrival(self, parts: Iterable[str]) -> None:
        """Count the parts of a call that has arrived."""
        self._histories.note_arrival(parts)

    def note_begun(self, parts: Iterable[str]) -> bool:
        """Clear parts that have begun an answer; return whether any was a candidate."""
        return self._clear(parts, self._clock.boot_time_ms())

    def note_crash(
        self,
        name: str,
        parts: Iterable[str],
        tried: Iterable[str] = (),
        reporter: str = "",
    ) -> None:
        """Add the crash of a target.

        Parameters
        ----------
        name : str
            Incarnation and start time of the target.
        parts : iterable of str
            Parts of a call whose answer had not begun.
        tried : iterable of str, default=()
            Those of them that were on trial.
        reporter : str, default=""
            Gateway that saw the crash.
        """
        self._add_crash(name, self._clock.boot_time_ms(), parts, tried, reporter)

    def merge(self, report: EvidenceReport) -> None:
        """Add what a peer knows."""
        now_ms = self._clock.boot_time_ms()
        for crash in report.crashes:
            at_ms = now_ms - max(0.0, crash.age_ms)
            self._add_crash(
                crash.crash, at_ms, crash.parts, crash.tried, crash.reporter
            )
        for part, age_ms in report.begun_ages_ms.items():
            self._clear([part], now_ms - max(0.0, age_ms))

    def report(self, *, is_complete: bool = True) -> EvidenceReport | None:
        """Return what peers should know; None if there is nothing.

        Parameters
        ----------
        is_complete : bool, default=True
            Whether to report all crashes, and not only the latest ones.
        """
        self._drop_cleared()
        now_ms = self._clock.boot_time_ms()
        crashes, parts = [], set[str]()
        for crash in sorted(self._crashes.values(), key=lambda crash: -crash.at_ms):
            is_news = now_ms - crash.at_ms < NEWS_MS
            is_room = len(parts | crash.parts) <= MAX_REPORTED_PARTS
            if not is_room or not (is_news or is_complete):
                break
            crashes.append(self._describe(crash))
            parts |= crash.parts
        if not crashes:
            return None
        begun_ms = {part: self._histories.begun_ms(part) for part in parts}
        return EvidenceReport(
            crashes,
            {
                part: round(now_ms - at_ms, 1)
                for part, at_ms in begun_ms.items()
                if at_ms > NEVER_MS
            },
        )

    def open_suspicions(self) -> frozenset[tuple[str, str]]:
        """Return each crash with each part that has not begun an answer since."""
        report = self.report()
        return frozenset() if report is None else report.open_suspicions()

    def has_reported(self, reporter: str) -> bool:
        """Return whether a gateway saw one of the crashes first."""
        return any(crash.reporter == reporter for crash in self._crashes.values())

    def find_verdict(self, parts: Collection[str]) -> Verdict | None:
        """Return the weightiest verdict on the parts of a call, or None.

        One that refuses the call comes before those that only suspect it.
        """
        judged = self._judged()
        if not judged:
            return None
        now_ms = self._clock.boot_time_ms()
        concerning = [verdict for part in parts for verdict in judged.get(part, ())]
        for verdict in concerning:
            if verdict.is_refusing(parts, now_ms):
                return verdict
        return concerning[0] if concerning else None

    def state_of(self, parts: Collection[str]) -> PartState | None:
        """Return what the evidence says of a call's parts; None if nothing."""
        verdict = self.find_verdict(parts)
        if verdict is None:
            return None
        if verdict.is_refusing(parts, self._clock.boot_time_ms()):
            return PartState.REFUSED
        return PartState.SUSPECTED

    def suspected_parts(self, parts: Collection[str]) -> list[str]:
        """Return those parts of a call that a verdict concerns."""
        judged = self._judged()
        return [part for part in parts if part in judged]

    def is_undecided(self, parts: Collection[str]) -> bool:
        """Whether the crashes of a wave that concern the parts are still coming in."""
        now_ms = self._clock.boot_time_ms()
        judged = self._judged()
        return any(
            now_ms < verdict.decided_ms
            for part in parts
            for verdict in judged.get(part, ())
        )

    def refused_ms(self, verdict: Verdict) -> float:
        """Return the time until a refused part is tried again."""
        return max(0.0, verdict.refused_until_ms - self._clock.boot_time_ms())

    def age_ms(self, crash: TargetCrash) -> float:
        """Return the time since a crash."""
        return self._clock.boot_time_ms() - crash.at_ms

    def _judged(self) -> dict[str, list[Verdict]]:
        if self._verdicts is None:
            self._verdicts = {}
            for verdict in judge(self._crashes.values(), self._histories):
                for part in verdict.parts:
                    self._verdicts.setdefault(part, []).append(verdict)
        return self._verdicts

    def _clear(self, parts: Iterable[str], begun_ms: float) -> bool:
        was_candidate = False
        for part in parts:
            known_ms = self._histories.begun_ms(part)
            self._histories.note_begun(part, begun_ms)
            if any(
                part in crash.parts and known_ms < crash.at_ms <= begun_ms
                for crash in self._crashes.values()
            ):
                was_candidate = True
                self._verdicts = None
        return was_candidate

    def _add_crash(
        self,
        name: str,
        at_ms: float,
        parts: Iterable[str],
        tried: Iterable[str],
        reporter: str,
    ) -> None:
        crash = self._crashes.get(name)
        if crash is None:
            if not self._make_room(at_ms):
                return
            crash = TargetCrash(name=name, at_ms=at_ms, reporter=reporter)
            self._crashes[name] = crash
            self._verdicts = None
        crash.at_ms = min(crash.at_ms, at_ms)
        added = [part for part in parts if part not in crash.parts]
        added = added[: MAX_PARTS_PER_CRASH - len(crash.parts)]
        newly_tried = crash.parts.union(added).intersection(tried) - crash.tried
        if added or newly_tried:
            crash.parts.update(added)
            crash.tried.update(newly_tried)
            self._verdicts = None

    def _drop_cleared(self) -> None:
        oldest_ms = self._clock.boot_time_ms() - CLEARED_RETENTION_MS
        for name, crash in list(self._crashes.items()):
            if crash.at_ms < oldest_ms and not find_candidates(crash, self._histories):
                del self._crashes[name]
                self._verdicts = None

    def _make_room(self, at_ms: float) -> bool:
        """Drop the oldest crash if there are too many; False if `at_ms` is older."""
        if at_ms < self._clock.boot_time_ms() - CRASH_RETENTION_MS:
            return False
        if len(self._crashes) < MAX_CRASHES:
            return True
        oldest = min(self._crashes.values(), key=lambda crash: crash.at_ms)
        if oldest.at_ms >= at_ms:
            return False
        del self._crashes[oldest.name]
        return True

    def _describe(self, crash: TargetCrash) -> CrashReport:
        return CrashReport(
            crash.name,
            round(self.age_ms(crash), 1),
            sorted(crash.parts),
            sorted(crash.tried),
            crash.reporter,
        )
