"""Fair shares of an event loop's turns for connections with much to parse."""

import asyncio
from typing import cast
from weakref import WeakKeyDictionary

from aiohttp.base_protocol import BaseProtocol

# Data up to this size is parsed when it arrives, and more than that in such pieces.
PIECE_BYTES = 8 * 1024
# Pieces that all connections of an event loop together parse in one of its turns.
PIECES_PER_TURN = 8

NO_DATA = memoryview(b"")


class PacedProtocol(BaseProtocol):
    """HTTP connection that parses what it has read a piece at a time.

    An event loop reads up to 256 kB of each fast sender in one turn, which are 42,000
    chunks of one byte. A connection that has read more than a piece therefore stops
    reading, and parses it in later turns, in which other connections are served as
    well. What it does not read stays with the kernel, which slows the sender down.

    Subclasses have `_unparsed`, which begins as `NO_DATA`.
    """

    _unparsed: memoryview

    @property
    def has_unparsed(self) -> bool:
        """Whether bytes were read that were not parsed yet."""
        return bool(self._unparsed)

    def data_received(self, data: bytes) -> None:
        """Parse a piece at once, and more than that in later turns."""
        if not data or (len(data) <= PIECE_BYTES and not self._unparsed):
            self._parse(data)
            return
        # Some transports deliver what they have decrypted after they were paused.
        self._unparsed = memoryview(bytes(self._unparsed) + data)
        self._pause_transport_reading()
        if not self._is_held:
            _scheduler().add(self)

    def parse_piece(self) -> bool:
        """Parse one piece; return whether there is another one to be parsed."""
        if self.transport is None:
            # This side has closed the connection.
            self._unparsed = NO_DATA
        if not self._unparsed or self._is_held:
            return False
        piece = bytes(self._unparsed[:PIECE_BYTES])
        self._unparsed = self._unparsed[PIECE_BYTES:]
        self._parse(piece)
        if self._is_held:
            return False
        if not self._unparsed:
            super()._resume_transport_reading()
        return self.has_unparsed

    def parse_rest(self) -> None:
        """Parse all that was read, as its sender has ended the connection."""
        while self.parse_piece():
            pass

    @property
    def _is_held(self) -> bool:
        """Whether the reader of a body, or of the messages, wants no more for now."""
        return self._reading_paused or self._buffer_paused

    def _parse(self, data: bytes) -> None:
        """Parse data; without any, go on with what the parser has kept."""
        super().data_received(data)

    def _resume_transport_reading(self) -> None:
        """Go on with what was read, before anything else is read."""
        if self._unparsed:
            _scheduler().add(self)
        else:
            super()._resume_transport_reading()


class _PieceScheduler:
    """Connections of an event loop that have pieces to parse, in turn."""

    __slots__ = ("_is_scheduled", "_waiting")

    def __init__(self) -> None:
        # Connections in the order in which they are served.
        self._waiting: dict[PacedProtocol, None] = {}
        self._is_scheduled = False

    def add(self, connection: PacedProtocol) -> None:
        """Let a connection parse its pieces, if it does not wait for it already."""
        self._waiting.setdefault(connection)
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_turn)

    def _run_turn(self) -> None:
        self._is_scheduled = False
        for _ in range(PIECES_PER_TURN):
            if not self._waiting:
                return
            connection = next(iter(self._waiting))
            del self._waiting[connection]
            try:
                if connection.parse_piece():
                    self._waiting.setdefault(connection)
            except Exception as error:
                _abort(connection, error)
        if self._waiting:
            self._schedule()


def _abort(connection: PacedProtocol, error: Exception) -> None:
    """End a connection as an event loop does after an exception of its protocol."""
    transport = connection.transport
    asyncio.get_running_loop().call_exception_handler(
        {
            "message": "Fatal error: a connection's data cannot be parsed",
            "exception": error,
            "transport": transport,
            "protocol": connection,
        }
    )
    if transport is not None:
        cast(asyncio.Transport, transport).abort()


_schedulers: WeakKeyDictionary[asyncio.AbstractEventLoop, _PieceScheduler] = (
    WeakKeyDictionary()
)


def _scheduler() -> _PieceScheduler:
    """Return the scheduler of the running event loop."""
    loop = asyncio.get_running_loop()
    scheduler = _schedulers.get(loop)
    if scheduler is None:
        scheduler = _schedulers[loop] = _PieceScheduler()
    return scheduler
