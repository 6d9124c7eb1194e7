"""Callers that write bytes of their own choice and keep their connection."""

import asyncio
import socket
from collections.abc import AsyncIterator
from urllib.parse import urlsplit

import msgspec

from carobroute.platform import API_KEY_HEADER

READ_TIMEOUT_S = 15.0


class RawAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """One answer, as it came from the connection.

    Parameters
    ----------
    status : int
        Status code.
    headers : list of tuple of str
        Names, in lower case, and values of the headers.
    body : bytes
        Body, without the framing of chunks.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes

    def header(self, name: str) -> str:
        """Return the first value of a header; empty if there is none."""
        return next((value for key, value in self.headers if key == name), "")


class RawCaller:
    """One connection to a gateway.

    Parameters
    ----------
    url : str
        Where the gateway listens.
    receive_buffer_bytes : int, default=0
        Size of the buffers in which a slow reader receives; 0 for the usual ones.
    """

    def __init__(self, url: str, *, receive_buffer_bytes: int = 0):
        parts = urlsplit(url)
        self._host, self._port = parts.hostname, parts.port
        self._receive_buffer_bytes = receive_buffer_bytes
        self._reader: asyncio.StreamReader
        self._writer: asyncio.StreamWriter

    async def __aenter__(self) -> "RawCaller":
        if not self._receive_buffer_bytes:
            self._reader, self._writer = await asyncio.open_connection(
                self._host, self._port
            )
            return self
        connection = socket.socket()
        connection.setblocking(False)
        size = self._receive_buffer_bytes
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        try:
            await asyncio.get_running_loop().sock_connect(
                connection, (self._host, self._port)
            )
        except OSError:
            connection.close()
            raise
        self._reader, self._writer = await asyncio.open_connection(
            sock=connection, limit=size
        )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self._writer.close()

    async def write(self, data: bytes) -> None:
        """Write bytes."""
        self._writer.write(data)
        await self._writer.drain()

    def end_sending(self) -> None:
        """Close the sending side of the connection alone."""
        connection = self._writer.get_extra_info("socket")
        connection.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    async def ask(
        self, request_id: str, path: str = "/orders/1", *, method: str = "GET", **fields
    ) -> RawAnswer:
        """Send a request without a body, and read its answer."""
        await self.write(request_bytes(request_id, path, method=method, **fields))
        return await self.read(method)

    async def read(self, method: str = "GET") -> RawAnswer:
        """Read one final answer.

        Raises
        ------
        EOFError
            If the connection ends before the answer is complete.
        """
        async with asyncio.timeout(READ_TIMEOUT_S):
            answer = await self._read_one(method)
            while answer.status < 200:
                answer = await self._read_one(method)
            return answer

    async def wait_closed(self) -> bytes:
        """Return what comes until the gateway closes the connection."""
        async with asyncio.timeout(READ_TIMEOUT_S):
            try:
                return await self._reader.read()
            except ConnectionError:
                return b""

    async def read_head(self) -> tuple[int, list[tuple[str, str]]]:
        """Read the head of an answer, an interim one too; return status and headers."""
        async with asyncio.timeout(READ_TIMEOUT_S):
            head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line, *rest = head[:-4].split("\r\n")
        headers = []
        for field in rest:
            name, _, value = field.partition(":")
            headers.append((name.strip().lower(), value.strip()))
        return int(line.split()[1]), headers

    async def read_exactly(self, size: int) -> bytes:
        """Read a number of bytes."""
        return await self._reader.readexactly(size)

    async def read_some(self, size: int) -> bytes:
        """Read at most a number of bytes; none once the connection has ended in order.

        Raises
        ------
        ConnectionError
            If the connection is reset.
        """
        return await self._reader.read(size)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Read the chunks of a body, to the last one.

        Raises
        ------
        EOFError
            If the connection ends before it.
        """
        while True:
            size = int(await self._reader.readuntil(b"\r\n"), 16)
            chunk = (await self._reader.readexactly(size + 2))[:-2]
            if not size:
                return
            yield chunk

    async def read_body(
        self, method: str, status: int, headers: list[tuple[str, str]]
    ) -> RawAnswer:
        """Read what follows the head of an answer.

        Raises
        ------
        EOFError
            If the connection ends before the body is complete.
        """
        known = dict(headers)
        body = b""
        if method == "HEAD" or status < 200 or status in (204, 304):
            pass
        elif "chunked" in known.get("transfer-encoding", ""):
            body = await self._read_chunks()
        elif "content-length" in known:
            body = await self._reader.readexactly(int(known["content-length"]))
        else:
            body = await self._reader.read()
        return RawAnswer(status=status, headers=headers, body=body)

    async def _read_one(self, method: str) -> RawAnswer:
        status, headers = await self.read_head()
        return await self.read_body(method, status, headers)

    async def _read_chunks(self) -> bytes:
        return b"".join([chunk async for chunk in self.chunks()])


def request_bytes(
    request_id: str,
    path: str = "/orders/1",
    *,
    method: str = "GET",
    version: str = "1.1",
    body: bytes = b"",
    deadline_ms: int = 5_000,
    **fields: str,
) -> bytes:
    """Return a request that the builders' configurations allow."""
    headers = {
        "Host": "shop.example",
        "Request-Id": request_id,
        "Deadline-Ms": str(deadline_ms),
        API_KEY_HEADER: "key-1",
    }
    if body:
        headers["Content-Length"] = str(len(body))
    headers |= {name.replace("_", "-"): value for name, value in fields.items()}
    lines = [f"{method} {path} HTTP/{version}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
