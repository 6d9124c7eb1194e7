"""Connections of clients, with what tells how they ended."""

import asyncio
from collections.abc import Callable
from typing import Any

from aiohttp import web

MS_PER_S = 1_000


class ClientConnection(web.RequestHandler):
    """HTTP connection that knows its age, its requests and whether it was lost.

    Parameters
    ----------
    server : web.Server
        Server that answers the requests.
    on_lost : callable
        Called with the connection once it has ended.
    options : Any
        Options of the HTTP server.
    """

    __slots__ = ("_begun_count", "_is_in_head", "_is_lost", "_on_lost", "_opened_s")

    def __init__(
        self,
        server: web.Server,
        *,
        on_lost: Callable[["ClientConnection"], None],
        **options: Any,
    ):
        loop = asyncio.get_running_loop()
        super().__init__(server, loop=loop, **options)
        self._on_lost = on_lost
        self._opened_s = loop.time()
        self._begun_count = 0
        self._is_lost = False
        self._is_in_head = False

    @property
    def age_ms(self) -> float:
        """Time since the connection was opened."""
        return (self._loop.time() - self._opened_s) * MS_PER_S

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
        return is_waiting and not self._messages and not self._is_in_head

    @property
    def is_lost(self) -> bool:
        """Whether the connection has ended, by either side."""
        return self._is_lost

    def note_request(self) -> None:
        """Count a request that is handed to a handler."""
        self._begun_count += 1

    def data_received(self, data: bytes) -> None:
        """Parse data, and note whether it leaves a head incomplete."""
        count = self._request_count
        super().data_received(data)
        if self._waiter is not None:
            self._is_in_head = self._request_count == count

    def connection_lost(self, exc: BaseException | None) -> None:
        """Handle the end of the connection, before its handler is cancelled."""
        self._is_lost = True
        self._on_lost(self)
        super().connection_lost(exc)


def has_next_request(request: web.Request) -> bool:
    """Return whether a caller has sent a further request behind this one.

    It has been read, so its connection must not be closed before it is answered.
    """
    connection = request.protocol
    return isinstance(connection, ClientConnection) and connection.unread_count > 0
