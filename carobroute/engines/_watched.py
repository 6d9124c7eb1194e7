"""Answers whose end can be told from a connection that broke off."""

import asyncio

import aiohttp
from aiohttp.client_reqrep import ClientResponse

NO_BODY_STATUSES = frozenset({204, 304})


class WatchedResponse(ClientResponse):
    """Response that knows how its connection ended.

    An answer without a length ends with its connection. The HTTP library takes a
    connection that was reset for such an end, too.
    """

    _connection_end: asyncio.Future[None] | None = None

    async def start(self, connection) -> "WatchedResponse":
        """Read the headers, and watch the connection from before them on."""
        if connection.protocol is not None:
            self._connection_end = connection.protocol.closed
        if self._connection_end is not None:
            self._connection_end.add_done_callback(_retrieve)
        await super().start(connection)
        return self

    def check_end(self) -> None:
        """Make sure that a body that was read to its end is whole.

        Raises
        ------
        aiohttp.ClientPayloadError
            If only a broken connection ended it.
        """
        if self._is_framed:
            return
        end = self._connection_end
        if end is None or not end.done() or end.exception() is not None:
            raise aiohttp.ClientPayloadError("the connection broke off")

    @property
    def _is_framed(self) -> bool:
        chunked = "chunked" in self.headers.get("Transfer-Encoding", "").lower()
        empty = self.status in NO_BODY_STATUSES or self.method == "HEAD"
        return chunked or empty or "Content-Length" in self.headers


def _retrieve(end: asyncio.Future[None]) -> None:
    """Take note of an error that nobody may ask for."""
    if not end.cancelled():
        end.exception()
