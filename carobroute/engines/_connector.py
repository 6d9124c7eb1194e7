"""Pools of connections to programs whose answers are not trusted."""

import functools
import select
from typing import Any, cast

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection

from carobroute.engines._answer_connection import AnswerConnection


class PacedConnector(aiohttp.TCPConnector):
    """Pool of connections that take their share of the event loop's turns."""

    def __init__(self, **options: Any):
        super().__init__(**options)
        factory = functools.partial(AnswerConnection, loop=self._loop)
        self._factory = cast("functools.partial[ResponseHandler]", factory)


class CleanConnector(PacedConnector):
    """Pool that closes a kept connection on which anything has come since its last use.

    Such bytes belong to no request: a target has sent an answer twice or something
    behind it, or has ended the connection. The HTTP library keeps a complete answer
    that came in the meantime, and takes it for that to the next request.
    """

    async def _get(self, *args: Any) -> Connection | None:
        """Return a kept connection on which nothing has come, or None."""
        while (connection := await super()._get(*args)) is not None:
            protocol = connection.protocol
            if protocol is not None and not _has_unasked_bytes(protocol):
                return connection
            connection.close()
        return None

    def _release(
        self, key: Any, protocol: ResponseHandler, *, should_close: bool = False
    ) -> None:
        super()._release(key, protocol, should_close=should_close)
        # Without a parser, the protocol only collects what comes.
        protocol._parser = None


def _has_unasked_bytes(protocol: ResponseHandler) -> bool:
    """Return whether an idle connection has bytes or an end that nobody has read."""
    if protocol.should_close or protocol.transport is None:
        return True
    connection = protocol.transport.get_extra_info("socket")
    if connection is None:
        return False
    unread = select.poll()
    unread.register(connection.fileno(), select.POLLIN)
    return bool(unread.poll(0))
