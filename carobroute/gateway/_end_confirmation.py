"""Whether the end of a stream without a length or chunks is proven or believed."""

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


class EndConfirmation:
    """Decides which ends of one call's stream are confirmed, and what they prove.

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
        self._unproven: UnprovenEnd | None = None

    def note_unproven(self, target: Target, response: WatchedResponse) -> None:
        """Note that nothing proves that the stream of a target is whole."""
        self._unproven = UnprovenEnd(
            target=target, response=response, last_event_id=self._relay.last_event_id
        )

    def note_proof(self, target: Target, response: WatchedResponse) -> None:
        """Note what an answer that has ended proves of its stream, and of one before.

        An answer that brings nothing confirms the end of the stream before it. Without
        a framing, that is no proof, but it counts as one for the last event.
        """
        end = self._unproven
        found_events = self._relay.has_events
        is_framed = response.framing is not Framing.CONNECTION
        if end is not None and (found_events or is_framed):
            end.target.stream_ends.note_proof(found_events=found_events)
        is_confirmed = end is not None and not found_events
        if not self._is_end_noted and (is_framed or is_confirmed):
            self._is_end_noted = True
            self._relay.note_final_event(target.entry.service)

    def should_confirm(
        self, target: Target, *, is_resumption: bool, has_other_target: bool
    ) -> bool:
        """Whether the end of a stream without a framing has to be confirmed.

        It need not be if its last event is known to be the last one, or if an answer to
        a resumption brought no events. Otherwise, the end of a trusted target is
        confirmed where that takes nothing from other calls, and an unusual one always.

        Parameters
        ----------
        target : Target
            Target whose stream has ended.
        is_resumption : bool
            Whether it was asked for the rest of a stream.
        has_other_target : bool
            Whether another target may be asked for the rest.
        """
        judge, budget = self._context.stream_ends, self._context.retry_budget
        service = self._call.service.name
        final_event = judge.final_event(service)
        if final_event.is_final(self._relay.last_event):
            self._note_believed(target, "final_event")
            return False
        if is_resumption and not self._relay.has_events and judge.has_record(target):
            if (
                target.stream_ends.has_broken_off
                and budget.remaining(service) >= 1.0
                and has_other_target
            ):
                return True
            self._note_believed(target, "nothing_resumed")
            return False
        if final_event.is_known or not judge.is_trusted(target):
            return True
        is_busy = self._context.dispatcher.queue_length(service) > 0
        if budget.has_spare(service) and not is_busy:
            return True
        self._note_believed(target, "record")
        return False

    def _note_believed(self, target: Target, reason: str) -> None:
        self._record.note(
            "end_believed",
            target=target.incarnation,
            reason=reason,
            last_event=self._relay.last_event_id,
        )

    async def believe_end(self) -> web.StreamResponse | None:
        """End the caller's response, if a trusted target's end could not be confirmed.

        Returns
        -------
        response : web.StreamResponse or None
            None if the target isn't trusted or has crashed, if events came later, or if
            the last event of the service's streams is known to be another one.
        """
        end = self._unproven
        if end is None or end.last_event_id != self._relay.last_event_id:
            return None
        judge = self._context.stream_ends
        is_unusual = judge.final_event(self._call.service.name).is_known
        if is_unusual or not judge.is_trusted(end.target):
            return None
        verdict = await judge.judge(
            end.target, end.response.framing, is_resumable=False
        )
        if verdict is not EndVerdict.COMPLETE:
            return None
        self._note_believed(end.target, "unconfirmed")
        self._parts.note_answered()
        return await self._relay.finish(end.response)
