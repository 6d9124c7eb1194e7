"""Quarantine of prompt parts that crash targets, with trials of suspected ones."""

from collections import OrderedDict
from collections.abc import Callable, Collection, Mapping
from typing import Any

import msgspec
import xxhash
from returns.result import Failure, Result, Success

from carobroute.errors import ErrorKind, Fault
from carobroute.gateway._part_evidence import EvidenceReport, PartEvidence
from carobroute.gateway._part_verdicts import PartState, Verdict
from carobroute.utils import Clock

# Covers three heartbeats, after which a crashed target leaves the list, and its
# restart.
INTERRUPTION_RETENTION_MS = 8_000.0
MAX_INTERRUPTIONS = 1_024

StateCallback = Callable[[str, PartState, dict[str, Any]], None]


class QuarantineParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Times of trials.

    Parameters
    ----------
    settle_ms : float
        Time from a gateway's claim of a trial to the trial. It exceeds the age of the
        digests in which other gateways claim the same one.
    max_wait_ms : float
        Longest wait of a call for the trial of another one to end. Callers wait two
        seconds or more for a first event.
    check_interval_ms : float
        Interval at which a waiting call checks for the end of that trial.
    complete_report_interval_ms : float
        Interval between two digests that carry all evidence.
    start_wait_ms : float
        Longest time after a start for which calls wait for the evidence of a peer. A
        gateway that finds peers has it after two digests.
    """

    settle_ms: float = 450.0
    max_wait_ms: float = 1_800.0
    check_interval_ms: float = 25.0
    complete_report_interval_ms: float = 2_000.0
    start_wait_ms: float = 700.0


class _Interruption(msgspec.Struct, frozen=True, kw_only=True):
    """Call that ended without an answer at a target that may have crashed."""

    service: str
    parts: tuple[str, ...]
    tried: tuple[str, ...]
    at_ms: float


class Trial:
    """Permission for one attempt of a call; its parts are tried by no other call.

    Parameters
    ----------
    quarantine : PromptQuarantine
        Quarantine that granted it.
    service : str
        Service that is called.
    parts : tuple of str, default=()
        Parts on trial; empty if none is suspected.
    excused : tuple of str, default=()
        Suspected parts with which the call is sent without a trial.
    """

    __slots__ = ("_excused", "_parts", "_quarantine", "_service")

    def __init__(
        self,
        *,
        quarantine: "PromptQuarantine",
        service: str,
        parts: tuple[str, ...] = (),
        excused: tuple[str, ...] = (),
    ):
        self._quarantine = quarantine
        self._service = service
        self._parts = parts
        self._excused = excused

    @property
    def parts(self) -> tuple[str, ...]:
        """Parts on trial."""
        return self._parts

    @property
    def excused(self) -> tuple[str, ...]:
        """Suspected parts with which the call is sent without a trial."""
        return self._excused

    def allows(self, part: str) -> bool:
        """Return whether the call may be sent with a suspected part."""
        return part in self._parts or part in self._excused

    def end(self) -> None:
        """Let other calls try the parts; does nothing the second time."""
        parts, self._parts = self._parts, ()
        self._quarantine.end_trial(self._service, parts)


class PromptQuarantine:
    """Refuses calls with prompt parts that crash targets, and tries suspected ones.

    A suspected part is tried by one call at a time over all gateways. A gateway claims
    a trial in its digests and begins it some time later, unless a peer runs one, or
    claims one and comes before it in an order that depends on the part.

    Parameters
    ----------
    clock : Clock
        Source of time.
    name : str
        Incarnation of this gateway.
    peer_trials : callable
        Returns, for the key of a part, the peers that claim its trial, and whether
        each of them runs it.
    on_change : callable
        Called when peers should hear of a crash, a clearing or a claim at once.
    on_state : callable, optional
        Called with a part, its new state, and the fields of the verdict on it, if any.
    parameters : QuarantineParameters, default=None
        Times of trials.
    """

    __slots__ = (
        "_clock",
        "_evidence",
        "_interruptions",
        "_last_complete_ms",
        "_name",
        "_on_change",
        "_on_state",
        "_parameters",
        "_peer_trials",
        "_states",
        "_trials",
        "_uninformed_until_ms",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        name: str,
        peer_trials: Callable[[str], Mapping[str, bool]],
        on_change: Callable[[], None],
        on_state: StateCallback = lambda part, state, fields: None,
        parameters: QuarantineParameters | None = None,
    ):
        self._clock = clock
        self._name = name
        self._peer_trials = peer_trials
        self._on_change = on_change
        self._on_state = on_state
        # States that were reported last, by the key of the part.
        self._states: dict[str, PartState] = {}
        self._parameters = parameters or QuarantineParameters()
        self._evidence: dict[str, PartEvidence] = {}
        # Interrupted calls by the name that the crash of their target would have.
        self._interruptions: OrderedDict[str, list[_Interruption]] = OrderedDict()
        # Whether each claimed trial of this gateway runs.
        self._trials: dict[str, bool] = {}
        self._last_complete_ms = float("-inf")
        self._uninformed_until_ms = clock.now_ms() + self._parameters.start_wait_ms

    @property
    def trials(self) -> dict[str, bool]:
        """Trials that this gateway claims, and whether each of them runs."""
        return dict(self._trials)

    @property
    def services(self) -> list[str]:
        """Services whose calls have prompt parts."""
        return list(self._evidence)

    def verdicts(self) -> dict[str, list[Verdict]]:
        """Return the verdicts on the parts of each service."""
        return {
            service: verdicts
            for service, evidence in self._evidence.items()
            if (verdicts := evidence.verdicts)
        }

    def find_verdict(self, service: str, parts: Collection[str]) -> Verdict | None:
        """Return the weightiest verdict on the parts of a call, or None."""
        evidence = self._evidence.get(service)
        return None if evidence is None else evidence.find_verdict(parts)

    def describe(self, service: str, verdict: Verdict) -> dict[str, Any]:
        """Return a verdict as fields of a log line or of a dump."""
        evidence = self._of(service)
        crashes = (
            f"{crash.name} seen by {crash.reporter} {evidence.age_ms(crash):.0f} ms ago"
            for crash in verdict.crashes
        )
        return {
            "service": service,
            "parts": ",".join(sorted(verdict.parts)),
            "crashes": "; ".join(crashes),
            "refused_ms": round(evidence.refused_ms(verdict)),
        }

    def note_arrival(self, service: str, parts: Collection[str]) -> None:
        """Count a call that has arrived."""
        if parts:
            self._of(service).note_arrival(parts)

    def note_begun(self, service: str, parts: Collection[str]) -> None:
        """Clear the parts of a call whose answer has begun and goes on."""
        if parts and self._of(service).note_begun(parts):
            self._share_clearing()

    def note_interrupted(
        self,
        service: str,
        crash: str,
        parts: tuple[str, ...],
        tried: tuple[str, ...] = (),
    ) -> None:
        """Note a call that ended without an answer before that had begun.

        Parameters
        ----------
        service : str
            Service that is called.
        crash : str
            Name that the target's crash would have.
        parts, tried : tuple of str
            Parts of the call's prompt, and those of them that were on trial.
        """
        interruption = _Interruption(
            service=service, parts=parts, tried=tried, at_ms=self._clock.now_ms()
        )
        self._interruptions[crash] = [*self._recent_interruptions(crash), interruption]
        self._interruptions.move_to_end(crash)
        while len(self._interruptions) > MAX_INTERRUPTIONS:
            self._interruptions.popitem(last=False)

    def has_interrupted(self, crash: str) -> bool:
        """Whether a crash of that name would have interrupted calls."""
        return bool(self._recent_interruptions(crash))

    def note_target_lost(self, crash: str) -> list[str]:
        """Count a crash against the calls that it interrupted; return their parts."""
        interruptions = self._recent_interruptions(crash)
        self._interruptions.pop(crash, None)
        for interruption in interruptions:
            self._of(interruption.service).note_crash(
                crash, interruption.parts, interruption.tried, self._name
            )
        if interruptions:
            self.announce_states()
            self._on_change()
        parts = (part for call in interruptions for part in call.parts)
        return list(dict.fromkeys(parts))

    def lift(self, service: str, part: str) -> bool:
        """Clear a part on an operator's request; return whether a verdict had it."""
        evidence = self._evidence.get(service)
        if evidence is None or not evidence.note_begun([part]):
            return False
        self._share_clearing()
        return True

    def _share_clearing(self) -> None:
        """Tell peers that a part is cleared, also of crashes that are no news."""
        self.announce_states()
        self.request_complete_report()
        self._on_change()

    def announce_states(self) -> None:
        """Report the parts whose state has changed, also because time has passed."""
        states: dict[str, PartState] = {}
        verdicts: dict[str, tuple[str, Verdict]] = {}
        for service, evidence in self._evidence.items():
            for verdict in evidence.verdicts:
                state = evidence.state_of(verdict.parts) or PartState.SUSPECTED
                for part in verdict.parts:
                    states[_key(service, part)] = state
                    verdicts[_key(service, part)] = service, verdict
        before, self._states = self._states, states
        for key, state in states.items():
            if before.get(key) is not state:
                self._on_state(key, state, self.describe(*verdicts[key]))
        for key in before.keys() - states.keys():
            self._on_state(key, PartState.CLEARED, {})

    # Digests.

    def merge(
        self, reports: Mapping[str, EvidenceReport], *, is_complete: bool = False
    ) -> None:
        """Add what a peer knows of the crashes of each service.

        Parameters
        ----------
        reports : mapping of str to EvidenceReport
            Reports by service.
        is_complete : bool, default=False
            Whether they are all that the peer knows.
        """
        for service, report in reports.items():
            self._of(service).merge(report)
        if reports:
            self.announce_states()
        if is_complete:
            self._uninformed_until_ms = 0.0

    def request_complete_report(self) -> None:
        """Make the next report a complete one, not only one with news."""
        self._last_complete_ms = float("-inf")

    def make_reports(self) -> tuple[dict[str, EvidenceReport], bool]:
        """Return what peers should know of each service, and whether that is all.

        It is not all while this gateway has not heard from peers itself.
        """
        now_ms = self._clock.now_ms()
        interval_ms = self._parameters.complete_report_interval_ms
        is_complete = now_ms - self._last_complete_ms >= interval_ms
        if is_complete:
            self._last_complete_ms = now_ms
        reports = {}
        for service, evidence in self._evidence.items():
            report = evidence.report(is_complete=is_complete)
            if report is not None:
                reports[service] = report
        is_informed = now_ms >= self._uninformed_until_ms
        return reports, is_complete and is_informed

    # Stored evidence.

    def open_suspicions(self, service: str) -> frozenset[tuple[str, str]]:
        """Return each crash with each part that has not begun an answer since."""
        evidence = self._evidence.get(service)
        return frozenset() if evidence is None else evidence.open_suspicions()

    def has_reported(self, service: str) -> bool:
        """Return whether this gateway saw one of the known crashes first."""
        evidence = self._evidence.get(service)
        return evidence is not None and evidence.has_reported(self._name)

    def make_complete_report(self, service: str) -> EvidenceReport:
        """Return all that is known of the crashes of a service."""
        return self._of(service).report() or EvidenceReport([], {})

    # Calls.

    async def admit(
        self,
        service: str,
        parts: Collection[str],
        max_wait_ms: float,
        has_target: Callable[[], bool] = lambda: True,
    ) -> Result[Trial, Fault]:
        """Return the permission for an attempt of a call, or the reason for refusal.

        Parameters
        ----------
        service : str
            Service that is called.
        parts : collection of str
            Parts of the call's prompt.
        max_wait_ms : float
            Longest wait for the trial of another call.
        has_target : callable, optional
            Returns whether the service has a target that could run a trial. While it
            has none, no call waits for one here.

        Returns
        -------
        trial : Result
            The caller ends it after the attempt. A `NO_TARGET` fault if the parts are
            refused, an `OVERLOADED` fault if they were, and another call still tries
            them. A call whose parts were never refused goes on without a trial then.
        """
        while self._clock.now_ms() < self._uninformed_until_ms:
            await self._clock.sleep_ms(self._parameters.check_interval_ms)
        max_wait_ms = min(max_wait_ms, self._parameters.max_wait_ms)
        limit_ms = self._clock.now_ms() + max_wait_ms
        while True:
            fault = self.find_refusal(service, parts)
            if fault is not None:
                return Failure(fault)
            suspected = self._suspected(service, parts)
            if not suspected or not has_target():
                return Success(Trial(quarantine=self, service=service))
            if await self._claim(service, suspected):
                return Success(Trial(quarantine=self, service=service, parts=suspected))
            if self._clock.now_ms() >= limit_ms:
                return self._admit_untried(service, suspected)
            await self._clock.sleep_ms(self._parameters.check_interval_ms)

    def _admit_untried(
        self, service: str, suspected: tuple[str, ...]
    ) -> Result[Trial, Fault]:
        """Decide on a call that has waited for the trial of another one in vain."""
        verdict = self.find_verdict(service, suspected)
        if verdict is None or not verdict.refused_until_ms:
            trial = Trial(quarantine=self, service=service, excused=suspected)
            return Success(trial)
        return Failure(
            Fault(
                kind=ErrorKind.OVERLOADED,
                detail=f"another call tries prompt part {suspected[0]}",
                retry_after_ms=self._parameters.max_wait_ms,
            )
        )

    def find_obstacle(
        self, service: str, parts: Collection[str], trial: Trial
    ) -> Fault | None:
        """Return the reason that an admitted call must not be sent now, or None.

        The evidence may have changed while the call waited for a target. The reason
        does not count against that target.
        """
        refusal = self.find_refusal(service, parts)
        if refusal is not None:
            return msgspec.structs.replace(refusal, kind=ErrorKind.OVERLOADED)
        untried = [
            part for part in self._suspected(service, parts) if not trial.allows(part)
        ]
        if not untried:
            return None
        return Fault(
            kind=ErrorKind.OVERLOADED,
            detail=f"prompt part {min(untried)} has to be tried alone",
        )

    def find_refusal(self, service: str, parts: Collection[str]) -> Fault | None:
        """Return the reason that calls with these parts are refused, or None."""
        evidence = self._evidence.get(service)
        if evidence is None or evidence.state_of(parts) is not PartState.REFUSED:
            return None
        verdict = evidence.find_verdict(parts)
        assert verdict is not None
        if self._states.get(_key(service, min(verdict.parts))) is PartState.SUSPECTED:
            self.announce_states()
        names = ", ".join(sorted(verdict.parts))
        count = len(verdict.crashes)
        return Fault(
            kind=ErrorKind.NO_TARGET,
            detail=f"prompt part {names} has crashed {count} targets",
            retry_after_ms=evidence.refused_ms(verdict),
        )

    def end_trial(self, service: str, parts: Collection[str]) -> None:
        """Withdraw this gateway's claims of the trials of parts."""
        for part in parts:
            self._trials.pop(_key(service, part), None)
        if parts:
            self._on_change()

    def _of(self, service: str) -> PartEvidence:
        evidence = self._evidence.get(service)
        if evidence is None:
            evidence = self._evidence[service] = PartEvidence(clock=self._clock)
        return evidence

    def _recent_interruptions(self, crash: str) -> list[_Interruption]:
        oldest_ms = self._clock.now_ms() - INTERRUPTION_RETENTION_MS
        return [
            interruption
            for interruption in self._interruptions.get(crash, [])
            if interruption.at_ms > oldest_ms
        ]

    def _suspected(self, service: str, parts: Collection[str]) -> tuple[str, ...]:
        evidence = self._evidence.get(service)
        return () if evidence is None else tuple(evidence.suspected_parts(parts))

    async def _claim(self, service: str, parts: tuple[str, ...]) -> bool:
        """Claim the trial of parts, and return whether this gateway runs it."""
        keys = [_key(service, part) for part in parts]
        if self._of(service).is_undecided(parts) or any(
            key in self._trials or self._peer_trials(key) for key in keys
        ):
            return False
        self._trials.update(dict.fromkeys(keys, False))
        self._on_change()
        try:
            await self._clock.sleep_ms(self._parameters.settle_ms)
            is_won = all(self._comes_first(key) for key in keys)
            is_won = is_won and self._suspected(service, parts) == parts
            is_won = is_won and self.find_refusal(service, parts) is None
        except BaseException:
            self.end_trial(service, parts)
            raise
        if not is_won:
            self.end_trial(service, parts)
            return False
        self._trials.update(dict.fromkeys(keys, True))
        self._on_change()
        return True

    def _comes_first(self, key: str) -> bool:
        own_rank = _rank(key, self._name)
        return not any(
            is_running or _rank(key, peer) < own_rank
            for peer, is_running in self._peer_trials(key).items()
        )


def _key(service: str, part: str) -> str:
    return f"{service}/{part}"


def _rank(key: str, gateway: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}/{gateway}".encode())
