"""Answers to callers: whole, or with an error that says what may be concluded."""

import asyncio
import math
from collections.abc import Callable

from aiohttp import web

from carobroute.errors import Fault, Outcome, encode_error
from carobroute.utils import Clock
from carobroute.web import ClientConnection

REQUEST_ID_HEADER = "X-Request-Id"
OUTCOME_HEADER = "X-Carobroute-Outcome"
RESEND_HEADER = "X-Carobroute-Resend"
EVENT_STREAM = "text/event-stream"
EVENT_ENDS = (b"\n\n", b"\r\r", b"\r\n\r\n")
MAX_EVENT_END_BYTES = 4
MS_PER_S = 1_000
GAP_SAMPLE = 16


def error_headers(fault: Fault, request_id: str) -> dict[str, str]:
    """Return the headers of an error answer."""
    answer = fault.answer
    headers = {
        REQUEST_ID_HEADER: request_id,
        OUTCOME_HEADER: answer.outcome.value,
        RESEND_HEADER: "yes" if answer.resend else "no",
        "Content-Type": "application/json",
    }
    if answer.retry_after:
        wait_s = math.ceil(max(fault.retry_after_ms, MS_PER_S) / MS_PER_S)
        headers["Retry-After"] = str(wait_s)
    return headers


def error_response(fault: Fault, request_id: str) -> web.Response:
    """Return the whole error answer for a call that has had no answer yet."""
    return web.Response(
        status=fault.answer.status,
        body=encode_error(fault, request_id),
        headers=error_headers(fault, request_id),
    )


class CallerWriter:
    """Writes one answer to one caller.

    Parameters
    ----------
    request : web.Request
        The caller's request.
    request_id : str
        Identifier of the call.
    write_ms : float
        Longest time that a caller may take to accept one chunk.
    on_gap : callable
        Told of the time between two writes, in milliseconds, for a share of them.
    closing : callable
        Tells whether the entry is shutting down.
    clock : Clock or None, default=None
        Source of time.
    """

    __slots__ = (
        "_chunks",
        "_clock",
        "_closing",
        "_on_gap",
        "_request",
        "_request_id",
        "_response",
        "_tail",
        "_write_ms",
        "_written_ms",
        "first_byte_ms",
    )

    def __init__(
        self,
        *,
        request: web.Request,
        request_id: str,
        write_ms: float,
        closing: Callable[[], bool],
        on_gap: Callable[[float], None] = lambda gap_ms: None,
        clock: Clock | None = None,
    ):
        self._clock = clock or Clock()
        self.first_byte_ms = 0.0
        self._request = request
        self._request_id = request_id
        self._write_ms = write_ms
        self._closing = closing
        self._on_gap = on_gap
        self._written_ms = 0.0
        self._response: web.StreamResponse | None = None
        self._chunks = 0
        # Last bytes written, which tell whether an event has begun and not ended.
        self._tail = b""

    @property
    def started(self) -> bool:
        """Whether the status line has been sent."""
        return self._response is not None

    @property
    def chunks(self) -> int:
        """Number of chunks written."""
        return self._chunks

    @property
    def _connection(self) -> ClientConnection | None:
        protocol = self._request.protocol
        return protocol if isinstance(protocol, ClientConnection) else None

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Send status and headers."""
        response = web.StreamResponse(status=status)
        for name, value in headers.items():
            response.headers[name] = value
        response.headers[REQUEST_ID_HEADER] = self._request_id
        response.headers[OUTCOME_HEADER] = Outcome.DONE.value
        if self._closing():
            # A caller that keeps its connection must not find it closed by shutdown.
            response.force_close()
        if self._is_stream(response):
            response.headers["Cache-Control"] = "no-cache"
        await response.prepare(self._request)
        connection = self._connection
        if connection is not None:
            connection.begin_unframed_answer()
        self._response = response
        self.first_byte_ms = self._clock.now_ms()

    async def write(self, data: bytes) -> None:
        """Send one chunk, waiting for a slow caller up to the limit.

        Raises
        ------
        ConnectionError
            If the caller has gone, or took longer than `write_ms`.
        """
        assert self._response is not None
        if self._is_flowing():
            await self._response.write(data)
        else:
            await self._write_slowly(data)
        self._chunks += 1
        self._tail = (self._tail + data[-MAX_EVENT_END_BYTES:])[-MAX_EVENT_END_BYTES:]
        now_ms = self._clock.now_ms()
        if not self._chunks % GAP_SAMPLE:
            self._on_gap(now_ms - self._written_ms)
        self._written_ms = now_ms

    async def finish(self) -> web.StreamResponse:
        """End a whole answer."""
        assert self._response is not None
        await self._end(self._response)
        return self._response

    async def _end(self, response: web.StreamResponse) -> None:
        await response.write_eof()
        connection = self._connection
        if connection is not None:
            connection.end_unframed_answer()

    async def fail(self, fault: Fault) -> web.StreamResponse:
        """Tell the caller of `fault`, never passing a cut answer off as whole.

        A stream that was cut inside an event is broken off, since an error's event
        would become a part of that one.
        """
        if self._response is None:
            return error_response(fault, self._request_id)
        if self._is_stream(self._response) and self._is_between_events():
            event = b"data: " + encode_error(fault, self._request_id) + b"\n\n"
            await self.write(event)
            await self._end(self._response)
            return self._response
        # Without the last chunk of the transfer coding, clients see an error.
        self._abort()
        return self._response

    def _is_between_events(self) -> bool:
        return not self._tail or self._tail.endswith(EVENT_ENDS)

    def _is_flowing(self) -> bool:
        """Whether the caller keeps up, so that a write need not be timed."""
        transport = self._request.transport
        return transport is not None and not transport.get_write_buffer_size()

    async def _write_slowly(self, data: bytes) -> None:
        assert self._response is not None
        try:
            async with asyncio.timeout(self._write_ms / MS_PER_S):
                await self._response.write(data)
        except TimeoutError as error:
            self._abort()
            raise ConnectionResetError("caller accepts no more data") from error

    def _abort(self) -> None:
        connection = self._connection
        if connection is not None:
            connection.abort()
        elif self._request.transport is not None:
            self._request.transport.abort()

    @staticmethod
    def _is_stream(response: web.StreamResponse) -> bool:
        return response.headers.get("Content-Type", "").startswith(EVENT_STREAM)
