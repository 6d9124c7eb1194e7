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

    __slots__ = ("_begun_count", "_is_lost", "_on_lost", "_opened_s")

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
    def is_lost(self) -> bool:
        """Whether the connection has ended, by either side."""
        return self._is_lost

    def note_request(self) -> None:
        """Count a request that is handed to a handler."""
        self._begun_count += 1

    def connection_lost(self, exc: BaseException | None) -> None:
        """Handle the end of the connection, before its handler is cancelled."""
        self._is_lost = True
        self._on_lost(self)
        super().connection_lost(exc)
