"""HTTP listening sockets of a process."""

import asyncio
import os
import socket
import ssl
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from aiohttp import web

from carobroute.utils import split_host_port
from carobroute.web._connection import ClientConnection

STOP_TIMEOUT_MS = 5_000.0
BACKLOG = 1_024
HEADER_TIMEOUT_MS = 30_000.0
MAX_CONNECTIONS = 1_024
MS_PER_S = 1_000
# Longest wait of a stopping site for the first requests of connections that it has
# accepted: they are on their way, and their callers expect answers.
FIRST_REQUEST_GRACE_MS = 300.0
# Part of a short stop time that this wait may take from requests in flight.
MAX_GRACE_RATIO = 0.25
# Turns of the event loop in which it closes its descriptor of a listening socket.
CLOSE_TURNS = 3
# Interval at which a stopping site closes the connections that have become idle.
IDLE_CHECK_INTERVAL_MS = 20.0
# Time that a request has to end once it has been cancelled. The HTTP server waits for
# it twice, and forever if it is 0.
CANCEL_TIMEOUT_MS = 50.0


OnCut = Callable[[str, ClientConnection | None], None]


def _ignore_cut(reason: str, connection: ClientConnection | None) -> None:
    return None


class _RefusingProtocol(asyncio.Protocol):
    """Closes a connection as soon as it is made."""

    def connection_made(self, transport) -> None:
        transport.abort()


class WebSite:
    """One aiohttp application on one listening socket.

    Parameters
    ----------
    application : web.Application
        What is served.
    bind : str
        `host:port`; port 0 takes a free one.
    tls : ssl.SSLContext or None, default=None
        TLS towards clients.
    max_connections : int, default=1024
        Connections open at a time; further ones are closed at once.
    header_timeout_ms : float, default=30000
        Longest time from the opening of a connection to the end of its first
        request's headers.
    stop_timeout_ms : float, default=5000
        Time that requests in flight have to end when the site stops, unless `stop` is
        given another one.
    options : mapping, default={}
        Further options of the HTTP server.
    on_cut : callable, optional
        Called with a reason and the connection, if there is one, for each connection
        that ends before a request of it is handed to a handler (`connection_limit`,
        `header_timer`, `unread_requests`), for a request without an end or content
        (`excessive_request`), or before the answer of a handler that has ended has left
        (`unsent_answer`).
    """

    __slots__ = (
        "_application",
        "_bind",
        "_has_first_request",
        "_header_timeout_ms",
        "_listener",
        "_max_connections",
        "_on_cut",
        "_options",
        "_runner",
        "_stop_timeout_ms",
        "_tls",
        "_unserved",
        "counts",
    )

    def __init__(
        self,
        *,
        application: web.Application,
        bind: str,
        tls: ssl.SSLContext | None = None,
        max_connections: int = MAX_CONNECTIONS,
        header_timeout_ms: float = HEADER_TIMEOUT_MS,
        stop_timeout_ms: float = STOP_TIMEOUT_MS,
        options: Mapping[str, Any] | None = None,
        on_cut: OnCut = _ignore_cut,
    ):
        self._application = application
        self._bind = bind
        self._tls = tls
        self._max_connections = max_connections
        self._header_timeout_ms = header_timeout_ms
        self._stop_timeout_ms = stop_timeout_ms
        self._options = dict(options or {})
        self._on_cut = on_cut
        self._runner: web.AppRunner | None = None
        self._listener: asyncio.Server | None = None
        self._unserved: set[ClientConnection] = set()
        self._has_first_request = asyncio.Event()
        self.counts: Counter[str] = Counter()

    @property
    def unfinished(self) -> list[ClientConnection]:
        """Connections whose last request has no answer that has left."""
        server = self._runner.server if self._runner is not None else None
        return [
            connection
            for connection in (server.connections if server is not None else [])
            if isinstance(connection, ClientConnection)
            and (connection.is_serving or connection.unsent_bytes)
        ]

    async def start(self) -> str:
        """Listen, and return the address as `host:port`."""
        self._application.middlewares.insert(0, self._note_request)
        self._runner = web.AppRunner(
            self._application,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=CANCEL_TIMEOUT_MS / MS_PER_S,
            **self._options,
        )
        await self._runner.setup()
        host, port = split_host_port(self._bind)
        self._listener = await asyncio.get_running_loop().create_server(
            self._make_protocol, host, port, ssl=self._tls, backlog=BACKLOG
        )
        bound_host, bound_port = self._listener.sockets[0].getsockname()[:2]
        return f"{bound_host}:{bound_port}"

    async def stop_accepting(self) -> None:
        """Close the listening socket; open connections go on.

        The kernel resets connections that wait at a socket when it is closed. So the
        event loop stops to listen first, and then all that wait are accepted at a
        further descriptor of the socket, which is closed right after the last one.
        """
        if self._listener is None:
            return
        listener, self._listener = self._listener, None
        listening = [
            socket.socket(fileno=os.dup(one.fileno())) for one in listener.sockets
        ]
        listener.close()
        for _ in range(CLOSE_TURNS):
            await asyncio.sleep(0)
        for one in listening:
            for connection in _accept_waiting(one):
                await asyncio.get_running_loop().connect_accepted_socket(
                    self._make_protocol, connection, ssl=self._tls
                )

    async def stop(self, timeout_ms: float | None = None) -> None:
        """Close everything, after what is in flight has had its time to end.

        Parameters
        ----------
        timeout_ms : float, default=None
            Time that requests in flight have to end, in milliseconds; None for the
            site's `stop_timeout_ms`.
        """
        if timeout_ms is None:
            timeout_ms = self._stop_timeout_ms
        end_s = asyncio.get_running_loop().time() + timeout_ms / MS_PER_S
        await self.stop_accepting()
        grace_ms = min(FIRST_REQUEST_GRACE_MS, MAX_GRACE_RATIO * timeout_ms)
        await self._wait_for_first_requests(grace_ms)
        if self._runner is not None:
            await self._close_idle_connections(end_s)
            await self._runner.cleanup()

    async def _wait_for_first_requests(self, grace_ms: float) -> None:
        """Wait until connections that have just been accepted have sent a request."""
        try:
            async with asyncio.timeout(grace_ms / MS_PER_S):
                while any(
                    protocol.transport is not None for protocol in self._unserved
                ):
                    self._has_first_request.clear()
                    await self._has_first_request.wait()
        except TimeoutError:
            self.counts["silent_connections"] += 1

    async def _close_idle_connections(self, end_s: float) -> None:
        """Close each connection once it is idle, until all are closed or time is up.

        The HTTP server would mark all of them as closing, and drop the rest of a
        request that it has begun to read.
        """
        assert self._runner is not None
        server, loop = self._runner.server, asyncio.get_running_loop()
        while server is not None and server.connections:
            for connection in server.connections:
                if isinstance(connection, ClientConnection) and connection.is_idle:
                    connection.force_close()
            remaining_s = end_s - loop.time()
            if remaining_s <= 0:
                self.counts["cut_connections"] += len(server.connections)
                self._end_unfinished()
                return
            await asyncio.sleep(min(IDLE_CHECK_INTERVAL_MS / MS_PER_S, remaining_s))

    def _end_unfinished(self) -> None:
        """End connections whose answers have not left, and tell those answers."""
        for connection in self.unfinished:
            if not connection.unsent_bytes:
                continue
            if not connection.is_serving:
                self.counts["unsent_answers"] += 1
                self.counts["unsent_bytes"] += connection.unsent_bytes
                self._on_cut("unsent_answer", connection)
            connection.abort()

    @web.middleware
    async def _note_request(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        connection = request.protocol
        assert isinstance(connection, ClientConnection)
        connection.note_request(request)
        self._unserved.discard(connection)
        self._has_first_request.set()
        return await handler(request)

    def _make_protocol(self) -> asyncio.Protocol:
        assert self._runner is not None and self._runner.server is not None
        server = self._runner.server
        if len(server.connections) >= self._max_connections:
            self.counts["refused_connections"] += 1
            self._on_cut("connection_limit", None)
            return _RefusingProtocol()
        protocol = ClientConnection(
            server, on_lost=self._note_lost, access_log=None, **self._options
        )
        loop = asyncio.get_running_loop()
        timeout_s = self._header_timeout_ms / MS_PER_S
        self._unserved.add(protocol)
        loop.call_later(timeout_s, self._close_unless_served, protocol)
        return protocol

    def _note_lost(self, connection: ClientConnection) -> None:
        if connection.is_excessive:
            self.counts["excessive_requests"] += 1
            self._on_cut("excessive_request", connection)
        elif connection.unread_count:
            self._on_cut("unread_requests", connection)
        elif connection.has_lost_bytes and not connection.is_serving:
            self._on_cut("unsent_answer", connection)

    def _close_unless_served(self, protocol: ClientConnection) -> None:
        """Close a connection whose first request has not come to its headers' end."""
        if protocol not in self._unserved:
            return
        self._unserved.discard(protocol)
        if protocol.transport is not None:
            self.counts["slow_headers"] += 1
            self._on_cut("header_timer", protocol)
            protocol.transport.abort()


def _accept_waiting(listening: socket.socket) -> list[socket.socket]:
    """Accept all connections that wait at a socket, and close it."""
    connections = []
    with listening:
        listening.setblocking(False)
        while True:
            try:
                connections.append(listening.accept()[0])
            except BlockingIOError:
                return connections
            except ConnectionAbortedError:
                continue
