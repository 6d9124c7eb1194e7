"""Connections of clients, with what tells how they ended."""

import asyncio
import socket
import struct
from collections.abc import Callable
from typing import Any, cast

from aiohttp import HttpVersion11, web
from aiohttp.streams import StreamReader

from carobroute.utils import Clock
from carobroute.web._overhead import OverheadMeter
from carobroute.web._paced_protocol import NO_DATA, PacedProtocol

# Header lines of its last request that any connection may keep while it is idle. The
# HTTP server holds them until the next one, with some 400 bytes for each line.
MAX_KEPT_LINES = 128
# Header lines that all connections of a server may keep together.
MAX_SHARED_KEPT_LINES = 65_536
# Value of SO_LINGER that makes the kernel send a reset when a connection is closed.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# The default: the kernel sends what it has taken, and closes the connection in order.
END_ON_CLOSE = struct.pack("ii", 0, 0)


class ClientConnection(PacedProtocol, web.RequestHandler):
    """HTTP connection that knows its age, its requests and whether it was lost.

    It is closed once a request goes on without the end of its head or content.

    Parameters
    ----------
    server : web.Server
        Server that answers the requests.
    on_lost : callable
        Called with the connection once it has ended.
    options : Any
        Options of the HTTP server.
    """

    __slots__ = (
        "_begun_count",
        "_body",
        "_client_transport",
        "_clock",
        "_ends_in_order",
        "_has_lost_bytes",
        "_header_lines",
        "_is_aborted",
        "_is_in_head",
        "_is_http_1_0",
        "_is_lost",
        "_on_lost",
        "_opened_ms",
        "_overhead",
        "_unparsed",
        "_unsent_bytes",
        "last_call",
    )

    def __init__(
        self,
        server: web.Server,
        *,
        on_lost: Callable[["ClientConnection"], None],
        **options: Any,
    ):
        loop = asyncio.get_running_loop()
        self._unparsed = NO_DATA
        self._overhead = OverheadMeter()
        # Body of the last request whose head is complete.
        self._body: StreamReader | None = None
        super().__init__(server, loop=loop, **options)
        self._on_lost = on_lost
        # The time of uvloop is in whole milliseconds.
        self._clock = Clock()
        self._opened_ms = self._clock.now_ms()
        self._begun_count = 0
        self._header_lines = 0
        self._is_lost = False
        self._is_aborted = False
        self._is_in_head = False
        self._is_http_1_0 = False
        self._has_lost_bytes = False
        # Whether the connection ends in order once its transport has sent all.
        self._ends_in_order = False
        self._unsent_bytes = 0
        self._client_transport: asyncio.Transport | None = None
        # What the application keeps of the last request; None for nothing.
        self.last_call: Any = None

    @property
    def age_ms(self) -> float:
        """Time since the connection was opened."""
        return self._clock.now_ms() - self._opened_ms

    @property
    def begun_count(self) -> int:
        """Number of requests that were handed to a handler."""
        return self._begun_count

    @property
    def unread_count(self) -> int:
        """Number of requests that arrived and were handed to no handler."""
        return len(self._messages)

    @property
    def is_idle(self) -> bool:
        """Whether it waits for a request of which no byte has arrived."""
        waiter = self._waiter
        is_waiting = waiter is not None and not waiter.done()
        has_begun = bool(self._messages) or self._is_in_head or self.has_unparsed
        return is_waiting and not has_begun

    @property
    def is_serving(self) -> bool:
        """Whether a handler has a request that is not answered yet."""
        return bool(self._request_in_progress)

    @property
    def is_lost(self) -> bool:
        """Whether the connection has ended, and this side has not aborted it."""
        return self._is_lost

    @property
    def is_excessive(self) -> bool:
        """Whether it was closed for a request without an end or content."""
        return self._overhead.is_exceeded

    @property
    def unsent_bytes(self) -> int:
        """Bytes that were written and that the kernel has not taken.

        Of a connection that was aborted, those that were dropped.
        """
        transport = self._client_transport
        if transport is None:
            return self._unsent_bytes
        return transport.get_write_buffer_size()

    @property
    def has_lost_bytes(self) -> bool:
        """Whether it broke while more was unsent than a transport keeps readily.

        What a transport has kept is not known any more once it has broken.
        """
        return self._has_lost_bytes

    @property
    def keeps_too_much(self) -> bool:
        """Whether it should not stay open after its last request, for its header lines.

        Many of them are kept only while all connections together keep few.
        """
        if self._header_lines <= MAX_KEPT_LINES or self._manager is None:
            return False
        kept = sum(
            connection._header_lines
            for connection in self._manager.connections
            if isinstance(connection, ClientConnection)
        )
        return kept > MAX_SHARED_KEPT_LINES

    def note_request(self, request: web.Request) -> None:
        """Count a request that is handed to a handler, and note its form."""
        self._begun_count += 1
        self._header_lines = len(request.raw_headers)
        self._is_http_1_0 = request.version < HttpVersion11

    def begin_unframed_answer(self) -> None:
        """Have the kernel reset the connection if the process ends from now on.

        An answer that ends with its connection would look complete to its caller.
        """
        self._set_linger(RESET_ON_CLOSE)

    def end_unframed_answer(self) -> None:
        """Have the connection end in order again, since its answer is complete.

        It does so once the kernel has taken the whole answer: what a transport still
        keeps ends with the process.
        """
        if self.unsent_bytes:
            self._ends_in_order = True
        else:
            self._set_linger(END_ON_CLOSE)

    def _set_linger(self, value: bytes) -> None:
        transport = self._client_transport
        if transport is None or not self._is_http_1_0:
            return
        connection = transport.get_extra_info("socket")
        if connection is not None:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)

    def abort(self) -> None:
        """Close the connection at once, so that its answer is seen as incomplete.

        An answer in HTTP/1.0 may end with its connection, so only a reset shows that
        it is incomplete.
        """
        transport = self._client_transport
        if transport is None:
            return
        self._is_aborted, self._unsent_bytes = True, self.unsent_bytes
        self._set_linger(RESET_ON_CLOSE)
        transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, which the HTTP server forgets when it closes it."""
        self._client_transport = cast(asyncio.Transport, transport)
        super().connection_made(transport)

    def _parse(self, data: bytes) -> None:
        """Parse data, and note whether it leaves a head incomplete."""
        count = self._request_count
        super()._parse(data)
        if self._waiter is not None:
            self._is_in_head = self._request_count == count
        if data:
            self._note_parsed(len(data), is_new=self._request_count != count)

    def _note_parsed(self, size: int, *, is_new: bool) -> None:
        """Weigh bytes that were parsed against the requests or content they brought."""
        if is_new:
            self._body = self._messages[-1][1] if self._messages else None
            self._overhead.reset()
            return
        content_bytes = self._body.total_bytes if self._body is not None else 0
        self._overhead.note_parsed(size, content_bytes=content_bytes)
        if self._overhead.is_exceeded:
            self._unparsed = NO_DATA
            self.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Handle the end of the connection, before its handler is cancelled."""
        self._is_lost = not self._is_aborted
        if self._ends_in_order and exc is None and not self._is_aborted:
            self._set_linger(END_ON_CLOSE)
        self._has_lost_bytes = exc is not None and self.writing_paused
        self._client_transport = None
        self._on_lost(self)
        super().connection_lost(exc)


def has_next_request(request: web.Request) -> bool:
    """Return whether a caller may have sent a further request behind this one.

    It has been read, so its connection must not be closed before it is answered.
    """
    connection = request.protocol
    return isinstance(connection, ClientConnection) and (
        connection.unread_count > 0 or connection.has_unparsed
    )
