"""Checks of targets' answers, and what targets say of themselves in them."""

from carobroute.engines import WatchedResponse
from carobroute.gateway._call_records import CallRecord
from carobroute.gateway._context import GatewayContext
from carobroute.gateway._targets import Target
from carobroute.platform import AnswerHeaders

MS_PER_S = 1_000
# Status of a server that is not the target incarnation that the call is meant for; it
# does not run the call, and that incarnation is gone.
MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503


class AnswerInspector:
    """Finds answers that must not be delivered, and notes limits, leaving and pauses.

    Parameters
    ----------
    context : GatewayContext
        Shared parts of the gateway.
    record : CallRecord
        Log of the decisions about the call.
    """

    __slots__ = ("_context", "_record")

    def __init__(self, *, context: GatewayContext, record: CallRecord):
        self._context = context
        self._record = record

    def find_defect(self, head: AnswerHeaders, response: WatchedResponse) -> str:
        """Return why an answer must not be delivered, or an empty string if it may."""
        is_refusal = head.not_run or response.status == MISDIRECTED_STATUS
        # A refusal need not name its request; on a connection that has been used, it
        # may be an earlier one, written once more.
        is_own = head.request_id == self._record.request_id or (
            is_refusal and not head.request_id and response.is_first_on_connection
        )
        if not is_own:
            return f"the answer belongs to request {head.request_id!r}"
        if is_refusal:
            return ""
        if not head.has_seal:
            return f"the answer with status {response.status} lacks a target's seal"
        if head.is_encoded:
            return "the answer's content encoding was changed in transit"
        return ""

    def note_statements(
        self, target: Target, head: AnswerHeaders, response: WatchedResponse
    ) -> None:
        """Note what a target says of itself beside its answer.

        A server that is not the target says nothing of it.
        """
        if response.status != MISDIRECTED_STATUS:
            self._note_limit(target, head)
            self._note_leaving(target, head)
        self._context.cold_starts.note(target.run_id, head.cold_ms, "answer")
        if response.status == UNAVAILABLE_STATUS:
            self._note_pause(target, head)

    def _note_limit(self, target: Target, head: AnswerHeaders) -> None:
        """Note the rate limit of a target.

        Only an answer to a call that ran lifts a limit, since a rejection may carry
        fewer headers.
        """
        if head.has_invalid_limit:
            self._record.note("limit_unreadable", target=target.incarnation)
        elif head.limit_per_s is not None or (head.has_seal and not head.not_run):
            self._context.limits.note(target.run_id, head.limit_per_s)

    def _note_leaving(self, target: Target, head: AnswerHeaders) -> None:
        """Note that a target leaves."""
        if head.has_invalid_leaving:
            self._context.recorder.note_unreadable(
                "leaving_unreadable", target.incarnation
            )
        if head.is_leaving:
            self._context.note_leaving(target.run_id, is_first_hand=True)

    def _note_pause(self, target: Target, head: AnswerHeaders) -> None:
        """Note the time for which a target that refuses the call wants no others."""
        if head.has_invalid_pause:
            self._context.recorder.note_unreadable(
                "pause_unreadable", target.incarnation
            )
        if head.pause_s:
            max_pause_ms = self._context.parameters.max_pause_ms
            pause_ms = min(max_pause_ms, head.pause_s * MS_PER_S)
            target.pause(pause_ms)
            self._context.recorder.note_pause(target.run_id, pause_ms)
