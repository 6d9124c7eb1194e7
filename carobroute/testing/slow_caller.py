"""Callers that read their answers slowly, over a connection that buffers little."""

import asyncio
import socket
from urllib.parse import urlsplit

import msgspec

# With the segments of a wide-area link the kernel of the sender buffers some 90 kB for
# a caller that does not read; on loopback it would take megabytes.
SEGMENT_BYTES = 536
RECEIVE_BUFFER_BYTES = 4_096
READ_BYTES = 65_536
READ_TIMEOUT_S = 20.0


class SlowAnswer(msgspec.Struct, kw_only=True):
    """Bytes that a caller has read to the end of its connection.

    Parameters
    ----------
    data : bytes
        Head and body.
    is_reset : bool
        Whether the connection was reset, and not closed in order.
    """

    data: bytes
    is_reset: bool

    @property
    def body(self) -> bytes:
        """What follows the head."""
        return self.data.partition(b"\r\n\r\n")[2]

    @property
    def looks_complete(self) -> bool:
        """Whether a caller takes the answer for complete."""
        head, _, body = self.data.partition(b"\r\n\r\n")
        fields = {
            name.strip().lower(): value.strip()
            for name, _, value in (
                line.partition(b":") for line in head.split(b"\r\n")[1:]
            )
        }
        if b"chunked" in fields.get(b"transfer-encoding", b""):
            return body.endswith(b"0\r\n\r\n")
        if b"content-length" in fields:
            return len(body) == int(fields[b"content-length"])
        return bool(head) and not self.is_reset


class SlowCaller:
    """One connection to a gateway that is not read unless it is told to.

    Parameters
    ----------
    url : str
        Where the gateway listens.
    """

    def __init__(self, url: str):
        parts = urlsplit(url)
        self._address = (parts.hostname, parts.port)
        self._socket = socket.socket()
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        self._socket.setblocking(False)

    async def __aenter__(self) -> "SlowCaller":
        await asyncio.get_running_loop().sock_connect(self._socket, self._address)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self._socket.close()

    async def write(self, data: bytes) -> None:
        """Write bytes."""
        await asyncio.get_running_loop().sock_sendall(self._socket, data)

    async def read_to_end(
        self, *, bytes_per_s: float = float("inf"), read_bytes: int = READ_BYTES
    ) -> SlowAnswer:
        """Read until the gateway has closed the connection.

        Parameters
        ----------
        bytes_per_s : float, default=inf
            Rate at which the caller reads.
        read_bytes : int, default=65536
            Bytes that it takes at a time.
        """
        loop, data = asyncio.get_running_loop(), bytearray()
        async with asyncio.timeout(READ_TIMEOUT_S):
            while True:
                try:
                    piece = await loop.sock_recv(self._socket, read_bytes)
                except ConnectionResetError:
                    return SlowAnswer(data=bytes(data), is_reset=True)
                if not piece:
                    return SlowAnswer(data=bytes(data), is_reset=False)
                data += piece
                await asyncio.sleep(len(piece) / bytes_per_s)
