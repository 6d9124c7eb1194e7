"""A peer process, as one endpoint sees it, and the times and bounds of links."""

import asyncio
from collections import Counter, deque
from typing import Any, Protocol

import msgspec
import zmq.asyncio
from returns.result import Failure, Result, Success

from carobroute.errors import ErrorKind, Fault, fail
from carobroute.links._codec import VERSION
from carobroute.links._messages import Message, Nack
from carobroute.utils import Clock


class LinkParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Times and bounds of a link.

    Parameters
    ----------
    ping_busy_ms : float
        Interval of pings while calls are in flight on the link.
    ping_idle_ms : float
        Interval of pings otherwise.
    silence_ms : float
        Time without any frame after a ping at which a connection is given up.
    reopen_ms, reopen_most_ms : float
        First and longest delay before a new connection is opened.
    max_queued : int
        Messages that may wait for one peer.
    max_bytes : int
        Largest frame accepted, in bytes.
    max_inbound : int
        Peers that may have opened a link to this process.
    """

    ping_busy_ms: float = 500.0
    ping_idle_ms: float = 5_000.0
    silence_ms: float = 1_500.0
    reopen_ms: float = 50.0
    reopen_most_ms: float = 2_000.0
    max_queued: int = 20_000
    max_bytes: int = 32 * 1024 * 1024
    max_inbound: int = 4_096


class PeerOwner(Protocol):
    """What a peer needs of the endpoint that it belongs to."""

    clock: Clock
    parameters: LinkParameters
    counts: Counter[str]

    def next_call_id(self) -> int:
        """Return a number for a new call."""


class Peer:
    """One peer process, with the connection in use to it.

    Parameters
    ----------
    endpoint : PeerOwner
        Endpoint that the peer belongs to.
    address : str
        Address to open connections to; empty for a peer that opened the link itself.
    """

    __slots__ = (
        "_address",
        "_broken",
        "_busy",
        "_calls",
        "_closing",
        "_endpoint",
        "_last_heard_ms",
        "_ping_sent_ms",
        "_public",
        "_queue",
        "_reopened",
        "_routing_id",
        "_socket",
        "_unheard",
        "_up",
        "_wake",
        "data_centre",
        "incarnation",
        "name",
        "owners",
        "role",
        "ticket_number",
        "version",
    )

    def __init__(self, *, endpoint: PeerOwner, address: str = ""):
        self._endpoint = endpoint
        self._address = address
        self._queue: deque[Message] = deque()
        self._wake = asyncio.Event()
        self._calls: dict[int, asyncio.Future] = {}
        self._broken = False
        self._busy = 0
        self._closing = False
        self._last_heard_ms = 0.0
        self._ping_sent_ms = 0.0
        self._public = ""
        self._reopened = 0
        self._routing_id = b""
        self._socket: zmq.asyncio.Socket | None = None
        self._unheard = 0
        self._up = False
        self.incarnation = ""
        self.name = ""
        self.owners: set[str] = set()
        self.role = ""
        self.data_centre = ""
        self.ticket_number = 0
        self.version = VERSION

    @property
    def address(self) -> str:
        """Address that connections are opened to, or empty."""
        return self._address

    @property
    def up(self) -> bool:
        """Whether the connection in use has been heard since it was opened."""
        return self._up

    @property
    def busy(self) -> bool:
        """Whether calls are in flight on the link."""
        return self._busy > 0

    @property
    def silent_ms(self) -> float:
        """Time since anything was heard from the peer, in milliseconds."""
        return self._endpoint.clock.now_ms() - self._last_heard_ms

    @property
    def reopened(self) -> int:
        """Number of connections that were given up as silent."""
        return self._reopened

    @property
    def queued(self) -> int:
        """Number of messages that wait to be sent."""
        return len(self._queue)

    def hold(self) -> None:
        """Note one more call in flight, which makes the link ping more often."""
        self._busy += 1
        self._wake.set()

    def release(self) -> None:
        """Note that a call in flight has ended."""
        self._busy = max(0, self._busy - 1)

    def send(self, entry: Message) -> bool:
        """Queue `entry` for sending.

        Returns
        -------
        queued : bool
            False if the queue is full; the message is dropped and counted.
        """
        if len(self._queue) >= self._endpoint.parameters.max_queued:
            self._endpoint.counts["dropped_queue_full"] += 1
            return False
        self._queue.append(entry)
        self._wake.set()
        return True

    def withdraw(self, entry: Message) -> bool:
        """Take `entry` back if it has not been sent.

        Returns
        -------
        withdrawn : bool
            True if the message was still queued, and so certainly was not sent.
        """
        for position, queued in enumerate(self._queue):
            if queued is entry:
                del self._queue[position]
                return True
        return False

    async def call(self, entry: Message, *, timeout_ms: float) -> Result[Any, Fault]:
        """Send `entry` and wait for the reply.

        Parameters
        ----------
        entry : Message
            The request; its `call_id` is set here.
        timeout_ms : float
            Longest wait, in milliseconds.

        Returns
        -------
        reply : Result
            The reply, or a `PEER_LOST` fault when none came in time.
        """
        entry.call_id = self._endpoint.next_call_id()
        future = asyncio.get_running_loop().create_future()
        self._calls[entry.call_id] = future
        self.hold()
        try:
            if not self.send(entry):
                return fail(ErrorKind.PEER_LOST, f"queue to {self} is full")
            async with asyncio.timeout(timeout_ms / 1_000):
                reply = await future
        except TimeoutError:
            return fail(
                ErrorKind.PEER_LOST,
                f"no reply from {self} to {type(entry).__name__}"
                f" within {timeout_ms:.0f} ms",
            )
        finally:
            self.release()
            self._calls.pop(entry.call_id, None)
        if isinstance(reply, Nack):
            return Failure(reply.fault)
        return Success(reply)

    def __str__(self) -> str:
        return self.name or self._address or self.incarnation

    def _resolve(self, entry: Message) -> None:
        future = self._calls.get(entry.reply_to)
        if future is not None and not future.done():
            future.set_result(entry)
