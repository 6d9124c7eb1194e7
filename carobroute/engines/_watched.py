"""Answers whose end can be told from a connection that broke off."""

import asyncio
import enum
from weakref import WeakSet

from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ClientResponse

from carobroute.engines._answer_connection import AnswerConnection
from carobroute.engines._answer_errors import BrokenAnswerError
from carobroute.engines._answer_limits import (
    MAX_BODY_BYTES,
    AnswerLimit,
    AnswerLimitError,
)

NO_BODY_STATUSES = frozenset({204, 304})

# Connections that have carried an answer.
_used_connections: WeakSet[ResponseHandler] = WeakSet()


class Framing(enum.StrEnum):
    """What shows where an answer's body ends.

    Attributes
    ----------
    LENGTH
        A length, or a status that has no body.
    CHUNKS
        The last chunk.
    CONNECTION
        The end of the connection.
    """

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


class WatchedResponse(ClientResponse):
    """Response that knows how its connection ended.

    An answer without a length ends with its connection. The HTTP library takes a
    connection that was reset for such an end, too.
    """

    _connection_end: asyncio.Future[None] | None = None
    _protocol: ResponseHandler | None = None
    _is_first: bool = True

    @property
    def is_first_on_connection(self) -> bool:
        """Whether its connection has carried no answer before this one.

        Later ones may be a copy of an earlier answer.
        """
        return self._is_first

    @property
    def framing(self) -> Framing:
        """What shows where the body ends."""
        if "chunked" in self.headers.get("Transfer-Encoding", "").lower():
            return Framing.CHUNKS
        is_empty = self.status in NO_BODY_STATUSES or self.method == "HEAD"
        if is_empty or "Content-Length" in self.headers:
            return Framing.LENGTH
        return Framing.CONNECTION

    @property
    def has_closed_in_order(self) -> bool:
        """Whether the target has ended the connection, and not by a reset."""
        end = self._connection_end
        if end is None or not end.done() or end.cancelled():
            return False
        return end.exception() is None

    async def start(self, connection) -> "WatchedResponse":
        """Read the headers, and watch the connection from before them on."""
        self._protocol = connection.protocol
        if self._protocol is not None:
            self._connection_end = self._protocol.closed
            self._is_first = self._protocol not in _used_connections
            _used_connections.add(self._protocol)
        if self._connection_end is not None:
            self._connection_end.add_done_callback(_retrieve)
        await super().start(connection)
        return self

    async def read(self, max_bytes: int = MAX_BODY_BYTES) -> bytes:
        """Return the whole body.

        Parameters
        ----------
        max_bytes : int, default=16777216
            Largest body.

        Raises
        ------
        AnswerLimitError
            If the body is longer. The connection is closed.
        """
        if self._body is None:
            body = bytearray()
            try:
                async for piece in self.content.iter_any():
                    body += piece
                    if len(body) > max_bytes:
                        raise self.limit_error(AnswerLimit.BODY_SIZE, max_bytes)
            except BaseException:
                self.close()
                raise
            self._body = bytes(body)
        return self._body

    def limit_error(self, limit: AnswerLimit, max_bytes: int) -> AnswerLimitError:
        """Return the error of content that is larger than a limit.

        Parameters
        ----------
        limit : AnswerLimit
            What is limited.
        max_bytes : int
            Largest size.
        """
        connection = self._protocol
        if isinstance(connection, AnswerConnection) and connection.has_small_chunks:
            limit = AnswerLimit.SMALL_CHUNKS
        return AnswerLimitError(limit, f"the content is longer than {max_bytes} bytes")

    def drop_connection(self) -> None:
        """Close the connection, which may be back in its pool already."""
        if self._protocol is not None:
            self._protocol.close()
        self.close()

    def check_end(self) -> None:
        """Make sure that a body that was read to its end is whole.

        Raises
        ------
        BrokenAnswerError
            If only a broken connection ended it.
        """
        if self.framing is Framing.CONNECTION and not self.has_closed_in_order:
            raise BrokenAnswerError("the connection broke off")


def _retrieve(end: asyncio.Future[None]) -> None:
    """Take note of an error that nobody may ask for."""
    if not end.cancelled():
        end.exception()
