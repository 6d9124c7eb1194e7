"""The way of an event stream from targets to one caller."""

import asyncio

from aiohttp import web

from carobroute.engines import WatchedResponse, end_to_end
from carobroute.gateway._call_records import CallRecord
from carobroute.gateway._context import GatewayContext
from carobroute.gateway._event_framing import EventCutter
from carobroute.gateway._targets import Target

MS_PER_S = 1_000
# A caller that has not read an event by then has gone silent.
WRITE_TIMEOUT_MS = 5_000.0
# Time between two looks at a stream that may be stuck.
STUCK_CHECK_MS = 200.0


class CallerLostError(Exception):
    """The caller does not take the answer any more."""


class StreamRelay:
    """Passes whole events on to a caller, from one target after another.

    The answer keeps the headers of its first target.

    Parameters
    ----------
    context : GatewayContext
        What all exchanges share.
    request : web.Request
        The caller's request.
    record : CallRecord
        Decisions about it.
    """

    __slots__ = ("_cutter", "_event_ms", "_out", "_record", "_request", "_context")

    def __init__(
        self, *, context: GatewayContext, request: web.Request, record: CallRecord
    ):
        self._context = context
        self._request = request
        self._record = record
        self._cutter = EventCutter()
        self._out: web.StreamResponse | None = None
        # When this target last had an event; 0 before its first.
        self._event_ms = 0.0

    @property
    def begun(self) -> web.StreamResponse | None:
        """The answer, once its headers have been sent."""
        return self._out

    @property
    def last_event(self) -> str:
        """Identifier of the last event that was passed on; empty for none."""
        return self._cutter.last_id

    async def run(
        self, target: Target, response: WatchedResponse, *, may_move: bool
    ) -> web.StreamResponse:
        """Pass a target's answer on to its end.

        Parameters
        ----------
        target : Target
            Where the answer comes from.
        response : WatchedResponse
            The answer.
        may_move : bool
            Whether the stream may go on at another target.

        Raises
        ------
        CallerLostError
            If the caller does not take the answer any more.
        aiohttp.ClientError, OSError
            If the answer broke off.
        """
        self._cutter.drop_rest()
        self._event_ms = 0.0
        watch = None
        if may_move and target.entry.group:
            watch = asyncio.create_task(self._close_if_stuck(target, response))
        try:
            await self._pass_on(target, response)
        finally:
            if watch is not None:
                watch.cancel()
        response.check_end()
        await self._write(self._cutter.rest, response)
        return await self._finish()

    def cut(self) -> None:
        """End the answer so that it cannot pass for a whole one."""
        if self._request.transport is not None:
            self._request.transport.abort()

    async def _pass_on(self, target: Target, response: WatchedResponse) -> None:
        pace = self._context.paces.get(target.group)
        breaker = self._context.dispatcher.circuit_breaker(target)
        while data := await response.content.readany():
            events = self._cutter.feed(data)
            if not events:
                continue
            now_ms = self._context.clock.now_ms()
            if self._event_ms:
                pace.note_event(now_ms - self._event_ms)
                self._record.note_gap(now_ms - self._event_ms)
            else:
                pace.note_first()
            self._event_ms = target.last_event_ms = now_ms
            breaker.note_event()
            await self._write(events, response)

    async def _close_if_stuck(self, target: Target, response: WatchedResponse) -> None:
        """Break off a stream that is silent while others of its group go on.

        Each pass makes an event of every stream, so its connection or its rank is
        lost, and it goes on at another rank.
        """
        clock, stuck_ms = self._context.clock, self._context.parameters.stuck_ms
        pace = self._context.paces.get(target.group)
        while True:
            await clock.sleep_ms(STUCK_CHECK_MS)
            silent_ms = clock.now_ms() - self._event_ms if self._event_ms else 0.0
            if silent_ms > stuck_ms and pace.silent_ms < stuck_ms / 2:
                self._record.note("stream_stuck", silent_ms=round(silent_ms))
                response.close()
                return

    async def _begin(self, response: WatchedResponse) -> web.StreamResponse:
        out = web.StreamResponse(
            status=response.status, headers=end_to_end(response.headers)
        )
        if self._context.should_close_connections:
            out.force_close()
        self._out = out
        self._context.recorder.first_byte(self._record)
        await out.prepare(self._request)
        return out

    async def _write(self, data: bytes, response: WatchedResponse) -> None:
        transport = self._request.transport
        try:
            out = self._out or await self._begin(response)
            if not data:
                return
            if transport is not None and not transport.get_write_buffer_size():
                await out.write(data)
                return
            async with asyncio.timeout(WRITE_TIMEOUT_MS / MS_PER_S):
                await out.write(data)
        except (ConnectionError, TimeoutError) as error:
            raise CallerLostError(f"the caller takes no more: {error!r}") from error

    async def _finish(self) -> web.StreamResponse:
        assert self._out is not None
        try:
            await self._out.write_eof()
        except ConnectionError as error:
            raise CallerLostError(f"the caller takes no end: {error!r}") from error
        return self._out
