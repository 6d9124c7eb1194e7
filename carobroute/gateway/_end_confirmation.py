"""Whether the end of a stream without a length or chunks is confirmed or believed."""

import asyncio
import contextlib
import enum

from aiohttp import web

from carobroute.engines import Framing, WatchedResponse
from carobroute.gateway._attempt import UnprovenEnd
from carobroute.gateway._call import Call
from carobroute.gateway._call_parts import CallParts
from carobroute.gateway._call_records import CallRecord
from carobroute.gateway._context import GatewayContext
from carobroute.gateway._relay import StreamRelay
from carobroute.gateway._stream_ends import EndVerdict
from carobroute.gateway._targets import Target
from carobroute.health import AnswerQuality

MS_PER_S = 1_000


class CallDoubt(enum.StrEnum):
    """What the earlier runs of a call's stream say against its end.

    Attributes
    ----------
    NONE
        Nothing.
    RESUMED
        An earlier run had broken off, and another one went on.
    BROKEN
        The last run broke off.
    EVENT_MISSING
        The last run broke off inside an event.
    """

    NONE = "none"
    RESUMED = "resumed"
    BROKEN = "broken"
    EVENT_MISSING = "event_missing"


class EndEvidence(enum.StrEnum):
    """Evidence by which the end of a stream without a framing is judged.

    Attributes
    ----------
    FINAL_EVENT
        The last event has the lines that only last events of the service have.
    NOTHING_RESUMED
        A target that was asked for the rest had none, in order.
    NO_SIGN
        Nothing confirms the end, and nothing speaks against it.
    UNUSUAL_EVENT
        Last events of the service are known, and this is none.
    DOUBTED_TARGET
        The target has broken off another stream in order.
    BROKEN_RUN
        An earlier run of the call had broken off.
    """

    FINAL_EVENT = "final_event"
    NOTHING_RESUMED = "nothing_resumed"
    NO_SIGN = "no_sign"
    UNUSUAL_EVENT = "unusual_event"
    DOUBTED_TARGET = "doubted_target"
    BROKEN_RUN = "broken_run"


class EndConfirmation:
    """Decides which ends of one call's stream are confirmed, and what they prove.

    A stream that ends in order is complete unless something speaks against it. Where
    nothing does, its end is confirmed if retries are to spare, and believed otherwise:
    an end that nobody has confirmed is no sign that events are missing.

    Parameters
    ----------
    context : GatewayContext
        Shared parts of the gateway.
    call : Call
        The call.
    record : CallRecord
        Log of the decisions about the call.
    relay : StreamRelay
        What the caller has been sent of the stream.
    parts : CallParts
        Prompt parts of the call.
    """

    __slots__ = (
        "_call",
        "_context",
        "_doubt",
        "_is_end_noted",
        "_parts",
        "_record",
        "_relay",
        "_unproven",
    )

    def __init__(
        self,
        *,
        context: GatewayContext,
        call: Call,
        record: CallRecord,
        relay: StreamRelay,
        parts: CallParts,
    ):
        self._context = context
        self._call = call
        self._record = record
        self._relay = relay
        self._parts = parts
        # Whether the last event of the stream has been noted as such.
        self._is_end_noted = False
        self._doubt = CallDoubt.NONE
        self._unproven: UnprovenEnd | None = None

    @property
    def is_doubtful(self) -> bool:
        """Whether something speaks against the end that is not confirmed yet."""
        end = self._unproven
        return end is not None and self._find_doubt(end.target) is not None

    @property
    def is_believable(self) -> bool:
        """Whether the end is not confirmed yet, and nothing speaks against it."""
        return self._unproven is not None and not (
            self.is_doubtful or self._has_gone_on
        )

    @property
    def _has_gone_on(self) -> bool:
        """Whether a further event has come, or begun, after the unproven end."""
        end, relay = self._unproven, self._relay
        return end is not None and (
            end.last_event_id != relay.last_event_id
            or relay.partial_event_bytes > 0
            or not relay.can_resume
        )

    @property
    def has_spare_retry(self) -> bool:
        """Whether a confirmation takes nothing from other calls."""
        service = self._call.service.name
        is_busy = self._context.dispatcher.queue_length(service) > 0
        reserve_ratio = self._context.stream_ends.reserve_ratio(service)
        budget = self._context.retry_budget
        return not is_busy and budget.has_spare(service, reserve_ratio=reserve_ratio)

    def note_unproven(self, target: Target, response: WatchedResponse) -> None:
        """Note that nothing proves that the stream of a target is whole."""
        self._unproven = UnprovenEnd(
            target=target, response=response, last_event_id=self._relay.last_event_id
        )

    def note_broken(self) -> None:
        """Note that a run whose events were relayed has ended with an error.

        One that was to confirm an end, and broke off before its first event, says
        nothing about that end. Nor does one that began with events of an earlier run.
        """
        if self._relay.repeats_events:
            return
        if self._relay.partial_event_bytes:
            self._doubt = CallDoubt.EVENT_MISSING
        elif self._relay.has_events or self._unproven is None:
            self._doubt = CallDoubt.BROKEN

    def note_silence(self) -> None:
        """Note that a run that was to confirm the end has not gone on in time.

        An event that it had begun is missing.
        """
        if self._relay.partial_event_bytes:
            self._doubt = CallDoubt.EVENT_MISSING

    def note_end(self, target: Target, response: WatchedResponse) -> None:
        """Note what a run that has ended in order proves of itself and of one before.

        One that brings nothing confirms the end of the run before it. Without a framing
        that is no proof, but it counts as one for the last event.
        """
        end = self._unproven
        found_events = self._relay.has_events
        is_framed = response.framing is not Framing.CONNECTION
        if end is not None and (found_events or is_framed):
            end.target.stream_ends.note_proof(found_events=found_events)
        if end is not None and not is_framed:
            self._context.stream_ends.note_confirmation(
                self._call.service.name, found_events=found_events
            )
        if end is not None and found_events:
            self._context.note_answer(
                end.target,
                AnswerQuality.BROKEN_STREAM,
                sent_ms=self._record.received_ms,
                fingerprint=self._call.fingerprint,
            )
        if end is not None and not found_events and end.target is not target:
            self._note_served(end)
        if found_events and (end is not None or self._doubt is not CallDoubt.NONE):
            self._doubt = CallDoubt.RESUMED
        is_confirmed = end is not None and not found_events
        if not self._is_end_noted and (is_framed or is_confirmed):
            self._is_end_noted = True
            self._relay.note_final_event(target.entry.service)

    def _note_served(self, end: UnprovenEnd) -> None:
        """Note that the stream of a target has turned out to be whole."""
        self._context.note_answer(
            end.target,
            AnswerQuality.SERVED,
            sent_ms=self._record.received_ms,
            fingerprint=self._call.fingerprint,
        )

    def should_confirm(
        self, target: Target, *, is_resumption: bool, has_other_target: bool
    ) -> bool:
        """Whether the end of a run without a framing has to be confirmed.

        Parameters
        ----------
        target : Target
            Target whose run has ended.
        is_resumption : bool
            Whether it was asked for the rest of a stream.
        has_other_target : bool
            Whether another target may be asked for the rest.
        """
        final_event = self._context.stream_ends.final_event(self._call.service.name)
        if final_event.is_final(self._relay.last_event):
            target.stream_ends.note_confirmation()
            if not self._is_end_noted:
                self._is_end_noted = True
                self._relay.note_final_event(self._call.service.name)
            self._note_believed(target, EndEvidence.FINAL_EVENT)
            return False
        if (
            is_resumption
            and not self._relay.has_events
            and self._is_confirmed_by(target, has_other_target=has_other_target)
        ):
            if self._unproven is not None:
                self._unproven.target.stream_ends.note_confirmation()
            self._note_believed(target, EndEvidence.NOTHING_RESUMED)
            return False
        if self._find_doubt(target) is not None or self.has_spare_retry:
            return True
        self._note_believed(target, EndEvidence.NO_SIGN)
        return False

    def _is_confirmed_by(self, target: Target, *, has_other_target: bool) -> bool:
        """Whether an orderly answer of a target without events confirms the end."""
        has_record = self._context.stream_ends.has_record(target)
        end = self._unproven
        if self._doubt is CallDoubt.EVENT_MISSING:
            return False
        if self._doubt is CallDoubt.BROKEN:
            is_confirmed = has_record
        elif self._doubt is CallDoubt.RESUMED:
            # The same target may have broken off once more.
            is_confirmed = has_record or (end is not None and end.target is not target)
        else:
            is_confirmed = has_record or end is not None
        budget = self._context.retry_budget
        can_ask_other = (
            has_other_target and budget.remaining(self._call.service.name) >= 1.0
        )
        return is_confirmed and not (target.stream_ends.is_doubted and can_ask_other)

    def _find_doubt(self, target: Target) -> EndEvidence | None:
        """Return what speaks against the end of a target's run; None for nothing."""
        if self._doubt is not CallDoubt.NONE:
            return EndEvidence.BROKEN_RUN
        if target.stream_ends.is_doubted:
            return EndEvidence.DOUBTED_TARGET
        final_event = self._context.stream_ends.final_event(self._call.service.name)
        if final_event.is_certain and not final_event.is_final(self._relay.last_event):
            return EndEvidence.UNUSUAL_EVENT
        return None

    def _note_believed(self, target: Target, evidence: EndEvidence) -> None:
        self._note_judged(target, evidence, is_believed=True)

    def _note_judged(
        self, target: Target, evidence: EndEvidence, *, is_believed: bool
    ) -> None:
        service = self._call.service.name
        self._context.recorder.count_end(
            service, evidence.value, "believed" if is_believed else "cut"
        )
        self._record.note(
            "end_judged",
            target=target.incarnation,
            believed=is_believed,
            evidence=evidence.value,
            earlier_runs=self._doubt.value,
            last_event=self._relay.last_event_id,
            allowance=round(self._context.retry_budget.remaining(service), 1),
        )

    async def believe_end(
        self, *, check_ms: float | None = None
    ) -> web.StreamResponse | None:
        """End the caller's response, unless something speaks against the end.

        Parameters
        ----------
        check_ms : float, optional
            Time in which to find out whether the target has crashed. If it is not
            known by then, the end is believed.

        Returns
        -------
        response : web.StreamResponse or None
            None if the target has crashed, if events came later, or if something else
            speaks against the end.
        """
        end = self._unproven
        if end is None:
            return None
        doubt = self._find_doubt(end.target)
        if self._has_gone_on:
            doubt = EndEvidence.BROKEN_RUN
        if doubt is not None:
            self._note_judged(end.target, doubt, is_believed=False)
            if doubt is EndEvidence.UNUSUAL_EVENT:
                service = self._call.service.name
                self._context.stream_ends.final_event(service).note_exception()
            return None
        verdict = EndVerdict.COMPLETE
        check_s = None if check_ms is None else check_ms / MS_PER_S
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(check_s):
                verdict = await self._context.stream_ends.judge(
                    end.target, end.response.framing, is_resumable=False
                )
        if verdict is not EndVerdict.COMPLETE:
            return None
        self._note_served(end)
        self._note_believed(end.target, EndEvidence.NO_SIGN)
        self._parts.note_answered()
        return await self._relay.finish(end.response)
