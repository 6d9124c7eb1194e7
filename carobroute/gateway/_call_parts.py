"""Prompt parts of one call: admission, trial, and what its attempts show of them."""

from collections.abc import Callable

from returns.result import Failure

from carobroute.errors import Fault
from carobroute.gateway._call_records import CallRecord
from carobroute.gateway._crash_detector import CrashDetector, crash_name
from carobroute.gateway._prompt_quarantine import PromptQuarantine, Trial
from carobroute.gateway._targets import Target

# Batches of events after which a target counts as having outlived the beginning of an
# answer: a crash may follow the first one.
SURVIVED_EVENT_BATCHES = 2


class CallParts:
    """Connects one call with the quarantine of prompt parts.

    Parameters
    ----------
    quarantine : PromptQuarantine
        Quarantine of prompt parts.
    detector : CrashDetector
        Tells crashes from answers that broke off.
    record : CallRecord
        Log of the decisions about the call.
    service : str
        Service that is called.
    parts : tuple of str
        Parts of the prompt, without the last one.
    """

    __slots__ = (
        "_detector",
        "_event_batches",
        "_parts",
        "_quarantine",
        "_record",
        "_service",
        "_trial",
    )

    def __init__(
        self,
        *,
        quarantine: PromptQuarantine,
        detector: CrashDetector,
        record: CallRecord,
        service: str,
        parts: tuple[str, ...],
    ):
        self._quarantine = quarantine
        self._detector = detector
        self._record = record
        self._service = service
        self._parts = parts
        self._event_batches = 0
        self._trial = Trial(quarantine=quarantine, service=service)
        quarantine.note_arrival(service, parts)

    @property
    def has_begun(self) -> bool:
        """Whether the current target has outlived the beginning of the answer."""
        return self._event_batches >= SURVIVED_EVENT_BATCHES

    @property
    def has_suspected(self) -> bool:
        """Whether the call is the trial of a part that may crash targets."""
        return bool(self._trial.parts)

    async def admit(
        self, max_wait_ms: float, has_target: Callable[[], bool]
    ) -> Fault | None:
        """Wait for the permission for an attempt; return the reason of a refusal."""
        self._event_batches = 0
        if not self._parts:
            return None
        admitted = await self._quarantine.admit(
            self._service, self._parts, max_wait_ms, has_target
        )
        if isinstance(admitted, Failure):
            return self._note_refusal(admitted.failure())
        self._trial = admitted.unwrap()
        if self._trial.parts:
            self._record.note("parts_tried", parts=",".join(self._trial.parts))
        if self._trial.excused:
            self._record.note("parts_excused", parts=",".join(self._trial.excused))
        return None

    def find_obstacle(self) -> Fault | None:
        """Return the reason that the call must not be sent now, or None if it may."""
        if not self._parts:
            return None
        fault = self._quarantine.find_obstacle(self._service, self._parts, self._trial)
        return fault and self._note_refusal(fault)

    def note_events(self) -> None:
        """Note that events have arrived."""
        self._event_batches += 1
        if self._event_batches == SURVIVED_EVENT_BATCHES:
            self._clear()

    def note_answered(self) -> None:
        """Note that a complete answer has arrived."""
        if not self.has_begun:
            self._event_batches = SURVIVED_EVENT_BATCHES
            self._clear()

    def note_interrupted(self, target: Target) -> None:
        """Note that an attempt ended without an answer."""
        if self._parts and not self.has_begun:
            self._quarantine.note_interrupted(
                self._service, crash_name(target), self._parts, self._trial.parts
            )

    async def check_crash(self, target: Target) -> None:
        """Find out whether the target of an interrupted attempt has crashed."""
        if not self._parts or self.has_begun:
            return
        if await self._detector.has_crashed(target):
            self._quarantine.note_target_lost(crash_name(target))

    def end_attempt(self) -> None:
        """End a trial, so that other calls may try the parts."""
        self._trial.end()

    def _clear(self) -> None:
        self._quarantine.note_begun(self._service, self._parts)
        self._trial.end()

    def _note_refusal(self, fault: Fault) -> Fault:
        verdict = self._quarantine.find_verdict(self._service, self._parts)
        if verdict is not None:
            self._record.note(
                "parts_refused", **self._quarantine.describe(self._service, verdict)
            )
        return fault
