"""Relaying of an event stream from targets to one caller."""

import asyncio
from collections.abc import Callable, Mapping

from aiohttp import web
from aiohttp.http import StreamWriter

from carobroute.engines import (
    AnswerLimit,
    BrokenAnswerError,
    Framing,
    WatchedResponse,
    end_to_end,
)
from carobroute.gateway._call_records import CallRecord
from carobroute.gateway._context import GatewayContext
from carobroute.gateway._event_framing import EventFramer, count_events
from carobroute.gateway._targets import Target
from carobroute.web import ClientConnection

MS_PER_S = 1_000
# A caller that does not read an event for this long counts as lost.
CALLER_WRITE_TIMEOUT_MS = 5_000.0
# Interval at which a stream is checked for being stuck.
STUCK_CHECK_INTERVAL_MS = 200.0
# Retries that a moved stream must leave in the budget.
MIN_RETRIES_LEFT = 3.0
EVENT_STREAM_TYPE = "text/event-stream"


class CallerLostError(Exception):
    """The caller no longer reads the answer."""


class StreamRelay:
    """Relays complete events to a caller, across failovers between targets.

    The caller's response has the headers of the first target's answer.

    Parameters
    ----------
    context : GatewayContext
        Shared parts of the gateway.
    request : web.Request
        The caller's request.
    record : CallRecord
        Log of the decisions about the call.
    """

    __slots__ = (
        "_caller_response",
        "_context",
        "_framer",
        "_last_event_ms",
        "_record",
        "_request",
        "_service",
    )

    def __init__(
        self, *, context: GatewayContext, request: web.Request, record: CallRecord
    ):
        self._context = context
        self._request = request
        self._record = record
        self._framer = EventFramer()
        self._caller_response: web.StreamResponse | None = None
        self._service = ""
        # Monotonic time of the current target's last event; 0 before its first.
        self._last_event_ms = 0.0

    @property
    def caller_response(self) -> web.StreamResponse | None:
        """Response to the caller; None until it has been started."""
        return self._caller_response

    @property
    def last_event_id(self) -> str:
        """Identifier of the last relayed event; empty for none."""
        return self._framer.last_event_id

    @property
    def can_resume(self) -> bool:
        """Whether a target can go on after what the caller has been sent.

        It can't if that is no event stream.
        """
        begun = self._caller_response
        is_event_stream = begun is None or _is_event_stream(begun.headers)
        return is_event_stream and self._framer.can_resume

    @property
    def has_events(self) -> bool:
        """Whether the current target's stream has had an event."""
        return self._framer.has_event

    @property
    def repeats_events(self) -> bool:
        """Whether the current target's stream began with events of an earlier one."""
        return self._framer.repeats_events

    @property
    def last_event(self) -> bytes:
        """Last event that was relayed, if events have identifiers."""
        return self._framer.last_event

    @property
    def partial_event_bytes(self) -> int:
        """Size of the event that the current target has begun and not completed.

        An unfinished line counts as one; comments, blank lines and what comes after
        repeated events do not.
        """
        framer = self._framer
        is_inside_event = not framer.repeats_events and (
            framer.has_begun_event or framer.has_begun_line
        )
        return framer.partial_size if is_inside_event else 0

    def can_continue(self, response: WatchedResponse) -> bool:
        """Return whether a further answer may follow the events sent to the caller.

        Only a resumption may, which has the status and the type of the first answer.
        """
        begun = self._caller_response
        return (
            begun is not None
            and response.status == begun.status
            and _media_type(response.headers) == _media_type(begun.headers)
        )

    async def relay(
        self,
        target: Target,
        response: WatchedResponse,
        *,
        can_fail_over: bool,
        is_resumption: bool,
        on_events: Callable[[], None] = lambda: None,
    ) -> None:
        """Relay a target's answer to its end.

        It is up to the caller to call `finish`, if the answer is complete.

        Parameters
        ----------
        target : Target
            Target that answers.
        response : WatchedResponse
            The target's answer.
        can_fail_over : bool
            Whether the stream may be resumed at another target.
        is_resumption : bool
            Whether the target was asked for the rest of a stream, which may be empty.
        on_events : callable, optional
            Called each time that events have arrived.

        Raises
        ------
        CallerLostError
            If the caller no longer reads the answer.
        aiohttp.ClientError, OSError
            If the answer broke off, which a stream also has that ends inside an event,
            or before its first one without a length or chunks, or has an event that is
            longer than this gateway buffers.

        Notes
        -----
        An answer of no type is an event stream, unless it has no event and its framing
        shows that it is whole.
        """
        self._framer.begin_stream()
        is_first_run = self._caller_response is None
        self._last_event_ms = 0.0
        self._service = target.entry.service
        stuck_watch = None
        if can_fail_over and target.entry.group:
            stuck_watch = asyncio.create_task(self._close_if_stuck(target, response))
        try:
            await self._relay_events(target, response, on_events)
        finally:
            if stuck_watch is not None:
                stuck_watch.cancel()
        response.check_end()
        is_framed = response.framing is not Framing.CONNECTION
        is_other_body = (
            is_first_run
            and is_framed
            and not self._framer.has_event
            and not _media_type(response.headers)
        )
        if is_other_body or not _is_event_stream(response.headers):
            await self._write(self._framer.partial_event, response)
        elif self._framer.has_begun_event or (
            not is_framed and self._framer.has_begun_line
        ):
            raise BrokenAnswerError("the stream ended inside an event")
        elif not (is_resumption or self._framer.has_event or is_framed):
            raise BrokenAnswerError("the stream ended before its first event")
        elif self._framer.partial_event and self._framer.has_event:
            # Comments and blank lines behind the last event belong to the body, too.
            await self._write(self._framer.partial_event, response)

    def note_final_event(self, service: str) -> None:
        """Note that the stream is complete with the events that were relayed."""
        final_event = self._context.stream_ends.final_event(service)
        final_event.note_passed(self._framer.events_before_last)
        final_event.note_final(self._framer.last_event)

    async def finish(self, response: WatchedResponse) -> web.StreamResponse:
        """End the caller's response as complete, and return it.

        Parameters
        ----------
        response : WatchedResponse
            The last target's answer.

        Raises
        ------
        CallerLostError
            If the caller no longer reads the answer.
        """
        await self._write(b"", response)
        assert self._caller_response is not None
        writer = self._request.writer
        assert isinstance(writer, StreamWriter)
        # Writes the last chunk without waiting for a slow caller: a wait that is
        # cancelled would have it written once more.
        writer.set_eof()
        try:
            await self._caller_response.write_eof()
        except ConnectionError as error:
            raise CallerLostError(f"cannot end the response: {error!r}") from error
        self._connection.end_unframed_answer()
        return self._caller_response

    def abort(self) -> None:
        """Close the caller's connection, so that the answer is seen as incomplete."""
        self._connection.abort()

    @property
    def _connection(self) -> ClientConnection:
        connection = self._request.protocol
        assert isinstance(connection, ClientConnection)
        return connection

    async def _relay_events(
        self, target: Target, response: WatchedResponse, on_events: Callable[[], None]
    ) -> None:
        pass_time_estimator = self._context.pass_time_estimators.get(target.group)
        breaker = self._context.dispatcher.circuit_breaker(target)
        final_event = self._context.stream_ends.final_event(target.entry.service)
        while data := await response.content.readany():
            earlier_events = self._framer.identified_events
            events = self._framer.feed(data)
            if self._framer.identified_events is not earlier_events:
                final_event.note_passed(earlier_events)
            self._check_partial_event(response)
            if self._framer.repeats_events:
                raise BrokenAnswerError("the resumption repeats events")
            if not events:
                continue
            now_ms = self._context.clock.now_ms()
            if self._last_event_ms:
                gap_ms = now_ms - self._last_event_ms
                event_count = max(1, count_events(events))
                pass_time_estimator.note_event_gap(gap_ms, events=event_count)
                self._record.note_gap(gap_ms)
            else:
                pass_time_estimator.note_first_event()
            self._last_event_ms = target.last_event_ms = now_ms
            breaker.note_event()
            on_events()
            await self._write(events, response)
            self._record.note_events(events)

    def _check_partial_event(self, response: WatchedResponse) -> None:
        max_bytes = self._context.parameters.body_buffer_bytes
        if self._framer.partial_size > max_bytes:
            raise response.limit_error(AnswerLimit.EVENT_SIZE, max_bytes)

    async def _close_if_stuck(self, target: Target, response: WatchedResponse) -> None:
        """Close a stream that is silent while other streams of its group have events.

        Each pass of a group produces an event for every stream, so the connection or
        the rank is lost, and the stream is resumed at another rank.
        """
        clock, stuck_ms = self._context.clock, self._context.parameters.stuck_after_ms
        pass_time_estimator = self._context.pass_time_estimators.get(target.group)
        while True:
            await clock.sleep_ms(STUCK_CHECK_INTERVAL_MS)
            if not self.can_resume:
                continue
            silent_ms = (
                clock.now_ms() - self._last_event_ms if self._last_event_ms else 0.0
            )
            if target.is_slow and self._can_afford_move():
                # The call would hold up all others of its group.
                self._record.note("stream_moved", target=target.incarnation)
                response.close()
                return
            if silent_ms > stuck_ms and pass_time_estimator.silent_ms < stuck_ms / 2:
                self._record.note("stream_stuck", silent_ms=round(silent_ms))
                response.close()
                return

    def _can_afford_move(self) -> bool:
        """Whether retries would be left for failures after a stream has moved."""
        remaining = self._context.retry_budget.remaining(self._service)
        return bool(self._last_event_ms) and remaining >= MIN_RETRIES_LEFT

    async def _start_response(self, response: WatchedResponse) -> web.StreamResponse:
        caller_response = web.StreamResponse(
            status=response.status, headers=end_to_end(response.headers)
        )
        if self._context.should_end_connection(self._request):
            caller_response.force_close()
        self._caller_response = caller_response
        self._context.recorder.observe_first_byte(self._record)
        await caller_response.prepare(self._request)
        self._connection.begin_unframed_answer()
        return caller_response

    async def _write(self, data: bytes, response: WatchedResponse) -> None:
        transport = self._request.transport
        try:
            caller_response = self._caller_response or await self._start_response(
                response
            )
            if not data:
                return
            if transport is not None and not transport.get_write_buffer_size():
                await caller_response.write(data)
                return
            async with asyncio.timeout(CALLER_WRITE_TIMEOUT_MS / MS_PER_S):
                await caller_response.write(data)
        except (ConnectionError, TimeoutError) as error:
            raise CallerLostError(f"cannot write to the caller: {error!r}") from error


def _media_type(headers: Mapping[str, str]) -> str:
    """Return the type of a body without parameters; empty if it is not named."""
    return headers.get("Content-Type", "").partition(";")[0].strip().lower()


def _is_event_stream(headers: Mapping[str, str]) -> bool:
    return _media_type(headers) in (EVENT_STREAM_TYPE, "")
