"""Targets on loopback that answer each request with a script."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

from carobroute.platform import REQUEST_ID_HEADER, SEAL_HEADER
from carobroute.standins._reserved_ports import LOOPBACK, reserve_port

# Turns of the event loop in which the handler of an accepted connection begins.
ACCEPT_TURNS = 5

Script = Callable[["TargetCall"], Awaitable[None]]


class TargetCall:
    """Request received by a scripted target, with methods that answer it.

    Parameters
    ----------
    head : str
        Request line and headers.
    body : bytes
        Request body.
    writer : asyncio.StreamWriter
        Connection to the gateway, to write the answer.
    reader : asyncio.StreamReader
        The same connection, to detect that the gateway closes it.
    target : ScriptedTarget
        Target that received it.
    """

    def __init__(
        self,
        *,
        head: str,
        body: bytes,
        writer: asyncio.StreamWriter,
        reader: asyncio.StreamReader,
        target: "ScriptedTarget",
    ):
        self.target = target
        self.head = head
        self.body = body
        self.writer = writer
        self.reader = reader
        lines = head.split("\r\n")
        self.line = lines[0]
        self.headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines[1:] if line)
        }

    async def answer(
        self, status: int = 200, body: bytes = b"ok", **headers: str
    ) -> None:
        """Send a complete answer with the target's seal."""
        fields = {
            REQUEST_ID_HEADER: self.headers.get("request-id", ""),
            SEAL_HEADER: "seal",
            "Content-Length": str(len(body)),
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        await self.begin(status, fields)
        self.writer.write(body)
        await self.writer.drain()

    async def begin_stream(self, *events: bytes) -> None:
        """Send the status line and headers of an event stream, and some events."""
        fields = {
            REQUEST_ID_HEADER: self.headers.get("request-id", ""),
            SEAL_HEADER: "seal",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        await self.begin(200, fields)
        await self.send(*events)

    async def begin(self, status: int, headers: dict[str, str]) -> None:
        """Send a status line and headers."""
        lines = [f"HTTP/1.1 {status} Scripted"]
        lines += [f"{name}: {value}" for name, value in headers.items() if value]
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        await self.writer.drain()

    async def send(self, *chunks: bytes) -> None:
        """Send chunks of a chunked body."""
        for chunk in chunks:
            self.writer.write(b"%x\r\n%s\r\n" % (len(chunk), chunk))
        await self.writer.drain()

    async def end_stream(self) -> None:
        """Send the last chunk of a chunked body."""
        self.writer.write(b"0\r\n\r\n")
        await self.writer.drain()

    def disconnect(self) -> None:
        """Close the connection without completing the answer."""
        self.writer.close()


class ScriptedTarget:
    """Target that answers each request with a script.

    Its port stays its own until it is closed, so that connections to it are refused
    once it has stopped.

    Parameters
    ----------
    script : callable
        Coroutine function that answers one request.
    """

    def __init__(self, script: Script):
        self._script = script
        self._server: asyncio.Server | None = None
        self._reserved: socket.socket | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""
        self.calls: list[TargetCall] = []

    @property
    def script(self) -> Script:
        """Coroutine function that answers one request."""
        return self._script

    async def start(self) -> str:
        """Listen, and return the address."""
        self._reserved = reserve_port()
        port = self._reserved.getsockname()[1]
        self._server = await asyncio.start_server(self._serve, LOOPBACK, port)
        self.address = f"{LOOPBACK}:{port}"
        return self.address

    async def stop(self) -> None:
        """Stop listening; calls in hand go on."""
        if self._server is not None:
            self._server.close()

    async def close(self) -> None:
        """Stop listening, cut all connections, and free the port."""
        await self.stop()
        for _ in range(ACCEPT_TURNS):
            await asyncio.sleep(0)
        for writer in self._writers:
            writer.transport.abort()
        # The event loop closes the sockets in its next turn.
        await asyncio.sleep(0)
        if self._reserved is not None:
            self._reserved.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                call = TargetCall(
                    head=head, body=b"", writer=writer, reader=reader, target=self
                )
                length = int(call.headers.get("content-length", "0"))
                call.body = await reader.readexactly(length)
                self.calls.append(call)
                await self._script(call)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
            self._writers.discard(writer)
