"""Until when a call may be sent to targets."""

from carobroute.errors import Fault
from carobroute.gateway._call import Call, stopping_fault
from carobroute.gateway._call_records import CallRecord
from carobroute.gateway._context import GatewayContext
from carobroute.gateway._relay import StreamRelay


class SendWindow:
    """Time that a call has, which a planned stop of the gateway may shorten.

    Parameters
    ----------
    context : GatewayContext
        Shared parts of the gateway.
    call : Call
        The call.
    record : CallRecord
        Log of the decisions about the call.
    relay : StreamRelay
        What the caller has been sent of a stream.
    """

    __slots__ = ("_call", "_context", "_record", "_relay")

    def __init__(
        self,
        *,
        context: GatewayContext,
        call: Call,
        record: CallRecord,
        relay: StreamRelay,
    ):
        self._context = context
        self._call = call
        self._record = record
        self._relay = relay

    @property
    def remaining_ms(self) -> float:
        """Time until the call must have ended, also because this gateway stops."""
        shutdown, clock = self._context.shutdown, self._context.clock
        return shutdown.deadline_ms(self._call.expires_ms) - clock.now_ms()

    @property
    def is_too_late(self) -> bool:
        """Whether this gateway stops, and the call may not end before that."""
        return self._context.clock.now_ms() > self.latest_send_ms()

    @property
    def expected_ms(self) -> float | None:
        """Time to expect of the call; None if it is not known.

        That of a stream counts only if its caller may resume it.
        """
        if not self._call.route.streaming:
            return self._context.plain_durations.longest_ms(self._call.service.name)
        if not self._call.route.resumable:
            return None
        return self._context.stream_paces.longest_duration_ms(
            self._call.service, self._call.head.output_tokens
        )

    def latest_send_ms(self) -> float:
        """Return the monotonic time until which the call may be sent to a target.

        It is infinite unless this gateway stops.
        """
        if not self._context.shutdown.is_stopping:
            return float("inf")
        return self._context.shutdown.latest_send_ms(
            self._call.expires_ms,
            self.expected_ms,
            is_streaming=self._call.route.streaming,
            has_begun=self._relay.caller_response is not None,
        )

    def note_stopping(self) -> Fault:
        """Log that the call is not sent because this gateway stops."""
        fault = stopping_fault(self._context)
        expected_ms = self.expected_ms
        self._record.note(
            "call_withheld",
            expected_ms=None if expected_ms is None else round(expected_ms),
            detail=fault.detail,
            remaining_ms=round(self._call.remaining_ms(self._context.clock)),
        )
        return fault
