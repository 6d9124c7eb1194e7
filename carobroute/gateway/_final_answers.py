"""Final answers to callers that no target's answer is relayed for."""

import asyncio
import traceback
from pathlib import Path

import msgspec
from aiohttp import web

from carobroute.errors import ErrorKind, Fault
from carobroute.gateway._attempt import Attempt, AttemptOutcome
from carobroute.gateway._call import UNAVAILABLE_RETRY_MS, Call, stopping_fault
from carobroute.gateway._call_records import CallRecord
from carobroute.gateway._context import GatewayContext
from carobroute.gateway._error_responses import error_response
from carobroute.gateway._relay import StreamRelay
from carobroute.web import ClientConnection

# Response, which may be sent already, and the outcome of the call for the log.
FinalAnswer = tuple[web.StreamResponse, str]


class FinalAnswers:
    """Answers a caller with the reason why there is no target's answer.

    Parameters
    ----------
    context : GatewayContext
        Shared parts of the gateway.
    request : web.Request
        The caller's request.
    record : CallRecord
        Log of the decisions about the call.
    relay : StreamRelay
        What the caller has been sent of a stream.

    Notes
    -----
    Methods with a parameter `may_have_run` tell a caller that the call has not run only
    if it is false.
    """

    __slots__ = ("_context", "_record", "_relay", "_request")

    def __init__(
        self,
        *,
        context: GatewayContext,
        request: web.Request,
        record: CallRecord,
        relay: StreamRelay,
    ):
        self._context = context
        self._request = request
        self._record = record
        self._relay = relay

    async def deliver(self, response: web.StreamResponse) -> web.StreamResponse:
        """Write a response that has not been begun, and return what was written."""
        if response.prepared:
            return response
        try:
            await response.prepare(self._request)
            await response.write_eof()
        except asyncio.CancelledError:
            self.note_cancelled()
            raise
        except ConnectionError as error:
            self._note_cut("caller_left", f"cannot write the answer: {error!r}")
        except Exception as error:
            if self._request.writer.output_size:
                self._note_cut("exception", repr(error))
                raise
            # Nothing was written, so the server can write another answer.
            fault = Fault(
                kind=ErrorKind.TARGET_FAILED,
                detail=f"the answer cannot be written: {type(error).__name__}",
            )
            self._context.recorder.note_unwritable(self._record, repr(error))
            return error_response(fault, self._record.request_id)
        return response

    def note_cancelled(self) -> None:
        """Note that the call is cancelled, by its caller or by the end of a stop."""
        self._note_cut("caller_left" if self._connection.is_lost else "stop")

    @property
    def _connection(self) -> ClientConnection:
        connection = self._request.protocol
        assert isinstance(connection, ClientConnection)
        return connection

    def _note_cut(self, reason: str, detail: str = "") -> None:
        self._context.recorder.note_cut(
            reason,
            self._connection,
            record=self._record,
            detail=detail,
            is_stopping=self._context.is_stopping,
        )

    def note_exception(self, error: Exception) -> None:
        """Log a mistake of the gateway's own, and where it was raised."""
        place = traceback.extract_tb(error.__traceback__)[-1]
        self._record.note(
            "exception_caught",
            error=repr(error),
            place=f"{Path(place.filename).name}:{place.lineno}",
        )

    def answer_unexpected(self, error: Exception, *, may_have_run: bool) -> FinalAnswer:
        """Return the answer to a call that an unexpected exception has ended."""
        self.note_exception(error)
        if self._connection.is_lost:
            self._note_cut("caller_left", repr(error))
        detail = f"unexpected {type(error).__name__}"
        if self._relay.caller_response is not None:
            self._relay.abort()
            if not self._connection.is_lost:
                self._note_cut("exception", repr(error))
            return self._relay.caller_response, ErrorKind.INTERNAL.value
        kind = ErrorKind.TARGET_FAILED if may_have_run else ErrorKind.NO_TARGET
        fault = Fault(kind=kind, detail=detail, retry_after_ms=UNAVAILABLE_RETRY_MS)
        return self.refuse(fault, may_have_run=may_have_run)

    def fail(
        self,
        attempt: Attempt,
        target_error: web.StreamResponse | None,
        *,
        may_have_run: bool,
    ) -> FinalAnswer:
        """Answer a call whose last attempt failed, with a target's error if any."""
        fault = attempt.fault or Fault(
            kind=ErrorKind.TARGET_FAILED, detail="the target failed"
        )
        if self._relay.caller_response is not None:
            return self.abort_stream(fault)
        if target_error is not None:
            return target_error, "target_error"
        if attempt.outcome is AttemptOutcome.NOT_SENT and fault.retry_after_ms <= 0:
            fault = msgspec.structs.replace(fault, retry_after_ms=UNAVAILABLE_RETRY_MS)
        return self.refuse(fault, may_have_run=may_have_run)

    def time_out(self, call: Call, *, may_have_run: bool) -> FinalAnswer:
        """Answer a call that has not ended in time."""
        if self._context.shutdown.cuts(call.expires_ms):
            return self._stop_call(call, may_have_run=may_have_run)
        if self._relay.caller_response is not None:
            fault = Fault(
                kind=ErrorKind.TIMEOUT, detail="the deadline passed during the answer"
            )
            return self.abort_stream(fault)
        kind = ErrorKind.TIMEOUT if may_have_run else ErrorKind.DEADLINE
        fault = Fault(kind=kind, detail="no answer before the deadline")
        return self.refuse(fault, may_have_run=may_have_run)

    def _stop_call(self, call: Call, *, may_have_run: bool) -> FinalAnswer:
        """End a call before its deadline, because this gateway stops."""
        remaining_ms = call.remaining_ms(self._context.clock)
        self._record.note(
            "call_stopped",
            remaining_ms=round(remaining_ms),
            may_have_run=may_have_run,
            last_event=self._relay.last_event_id,
        )
        if self._relay.caller_response is not None:
            detail = "the gateway stops during the answer"
            return self.abort_stream(Fault(kind=ErrorKind.SHUTTING_DOWN, detail=detail))
        if not may_have_run:
            return self.refuse(stopping_fault(self._context), may_have_run=False)
        detail = "no answer before the gateway stops"
        fault = Fault(kind=ErrorKind.TIMEOUT, detail=detail)
        return self.refuse(fault, may_have_run=True)

    def refuse(self, fault: Fault, *, may_have_run: bool) -> FinalAnswer:
        """Answer with a fault, none that is untrue of a call that may have run."""
        if may_have_run and fault.not_run:
            # This fault would tell the caller that the call did not run, but an earlier
            # attempt may have run.
            detail = f"an earlier attempt may have run; last fault: {fault.detail}"
            fault = Fault(kind=ErrorKind.TARGET_FAILED, detail=detail)
        self._record.note("call_refused", kind=fault.kind.value, detail=fault.detail)
        return error_response(fault, self._record.request_id), fault.kind.value

    def abort_stream(self, fault: Fault) -> FinalAnswer:
        """Abort a started response, so that the caller sees it as incomplete."""
        self._record.note("stream_cut", kind=fault.kind.value, detail=fault.detail)
        is_left = fault.kind is ErrorKind.CANCELLED
        self._note_cut("caller_left" if is_left else "stream_broken", fault.detail)
        self._relay.abort()
        response = self._relay.caller_response or error_response(
            fault, self._record.request_id
        )
        return response, fault.kind.value
