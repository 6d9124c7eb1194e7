"""Datagrams in which gateways ask each other for tokens of targets."""

import asyncio
from collections.abc import Callable
from typing import cast

import msgspec
from returns.result import Failure

from carobroute.errors import ErrorKind
from carobroute.gateway._rate_tokens import TokenMessage, TokenReply, TokenRequest
from carobroute.telemetry import EventLog
from carobroute.utils import decode_foreign, split_host_port


class TokenExchange(asyncio.DatagramProtocol):
    """Sends requests for tokens and replies; each takes one datagram, or is lost.

    Parameters
    ----------
    bind : str
        `host:port` to send and receive datagrams. The port is the same at all gateways.
    find_host : callable
        Returns the host of a peer, or an empty string if it is not known.
    on_message : callable
        Called with each message of a peer.
    events : EventLog
        Log of messages that cannot be read.
    """

    def __init__(
        self,
        *,
        bind: str,
        find_host: Callable[[str], str],
        on_message: Callable[[TokenMessage], None],
        events: EventLog,
    ):
        self._address = split_host_port(bind)
        self._find_host = find_host
        self._on_message = on_message
        self._events = events
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(TokenRequest | TokenReply)
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=self._address)

    def stop(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def send(self, peer: str, message: TokenMessage) -> None:
        """Send a message to a peer; it is dropped if the peer is not known."""
        host = self._find_host(peer)
        if host and self._transport is not None:
            address = (host, self._address[1])
            self._transport.sendto(self._encoder.encode(message), address)

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the socket."""
        # uvloop's transports are not subclasses of asyncio's.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a peer's message on."""
        decoded = decode_foreign(
            self._decoder.decode,
            data,
            kind=ErrorKind.BAD_REQUEST,
            what="a message on tokens",
        )
        if isinstance(decoded, Failure):
            self._events.event(
                "token_message_unreadable",
                level="warning",
                sender=addr[0],
                why=decoded.failure().detail,
            )
            return
        self._on_message(decoded.unwrap())

    def error_received(self, exc: Exception) -> None:
        """Log that a peer is unreachable; its silence is detected by its digests."""
        self._events.event("token_message_refused", level="debug", why=repr(exc))
