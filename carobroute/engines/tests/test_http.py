"""Answers that end in unusual ways."""

import asyncio
import os
import socket
import struct

import aiohttp
import pytest

from carobroute.domain import CallClass
from carobroute.engines import (
    EngineCall,
    EngineParameters,
    HttpTransport,
    PlainEngine,
)
from carobroute.errors import FaultError
from carobroute.testing import wait_until

HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"


async def _serve(finish):
    """Start a server that sends a body without a length and ends as told."""

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + b"half of it")
        await writer.drain()
        await finish(writer)

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    return server, server.sockets[0].getsockname()[1]


async def _close(writer):
    writer.close()


async def _reset(writer):
    await asyncio.sleep(0.05)
    linger = struct.pack("ii", 1, 0)
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def _fetch(port):
    transport = HttpTransport(
        address=f"http://127.0.0.1:{port}", parameters=EngineParameters()
    )
    await transport.start()
    try:
        sent = await transport.send(
            "GET", "/", first_byte_ms=2_000, new_connection=True
        )
        response = sent.unwrap()
        body = await response.read()
        response.check_end()
        return body
    finally:
        await transport.stop()


async def test_an_answer_without_a_length_ends_with_its_connection():
    server, port = await _serve(_close)
    async with server:
        assert await _fetch(port) == b"half of it"


async def test_an_answer_without_a_length_is_not_whole_after_a_reset():
    server, port = await _serve(_reset)
    async with server:
        with pytest.raises(aiohttp.ClientError):
            await _fetch(port)


# Guards the local process against answers that broke off and look complete.
async def test_pieces_of_an_answer_end_with_a_fault_after_a_reset():
    server, port = await _serve(_reset)
    engine = PlainEngine(
        address=f"http://127.0.0.1:{port}", parameters=EngineParameters()
    )
    await engine.start()
    call = EngineCall(
        request_id="r-1", method="GET", path="/", call_class=CallClass.IDEMPOTENT
    )
    async with server:
        answer = (await engine.open(call)).unwrap()
        with pytest.raises(FaultError):
            assert [piece async for piece in answer.chunks]
    await engine.stop()


async def test_the_path_is_sent_as_it_came():
    seen = []

    async def handle(reader, writer):
        seen.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with server:
        transport = HttpTransport(
            address=f"http://127.0.0.1:{port}", parameters=EngineParameters()
        )
        await transport.start()
        path = "/a%2fb/%7Euser//x?q=%41&r=a%20b+c"
        sent = await transport.send(
            "GET", path, first_byte_ms=2_000, new_connection=True
        )
        sent.unwrap().close()
        await transport.stop()
    line, *headers = seen[0].decode().split("\r\n")
    assert line == f"GET {path} HTTP/1.1"
    assert not [name for name in headers if name.lower().startswith("accept")]


class StrayTarget:
    """Target that sends stray bytes on idle connections, and answers with numbers.

    Parameters
    ----------
    greeting : bytes
        What is sent on each new connection.
    """

    def __init__(self, greeting=b""):
        self._greeting = greeting
        self.connections = []
        self.requests = []

    def __call__(self):
        return StrayConnection(self, self._greeting)


class StrayConnection(asyncio.Protocol):
    def __init__(self, target, greeting):
        self._target = target
        self._greeting = greeting
        self._received = b""

    def connection_made(self, transport):
        self._transport = transport
        self._target.connections.append(transport)
        transport.write(self._greeting)

    def data_received(self, data):
        self._received += data
        while b"\r\n\r\n" in self._received:
            head, _, self._received = self._received.partition(b"\r\n\r\n")
            self._target.requests.append(head.split(b" ")[1])
            body = b"%d" % len(self._target.requests)
            self._transport.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
            )


class _Served:
    """Transport to a `StrayTarget`."""

    def __init__(self, target):
        self._target = target

    async def __aenter__(self):
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._target, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self._transport = HttpTransport(
            address=f"http://127.0.0.1:{port}", parameters=EngineParameters()
        )
        await self._transport.start()
        return self

    async def __aexit__(self, *error):
        await self._transport.stop()
        self._server.close()

    async def send(self, path, *, new_connection=False):
        return await self._transport.send(
            "GET",
            path,
            first_byte_ms=5_000,
            new_connection=new_connection,
        )

    async def fetch(self, path):
        return await (await self.send(path)).unwrap().read()


STRAY_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"


@pytest.mark.parametrize("is_read", [True, False], ids=["read", "in the kernel"])
@pytest.mark.parametrize(
    "stray", [STRAY_ANSWER, STRAY_ANSWER[:20], b"\r\n", b"no protocol"]
)
async def test_a_kept_connection_with_stray_bytes_is_not_used_again(stray, is_read):
    """The next request would be answered by what belongs to no request."""
    target = StrayTarget()
    async with _Served(target) as served:
        assert await served.fetch("/1") == b"1"
        stray_socket = target.connections[0].get_extra_info("socket")
        with socket.socket(fileno=os.dup(stray_socket.fileno())) as connection:
            connection.send(stray)
        if is_read:
            # A round trip, in which the event loop reads what has come.
            reader, writer = await asyncio.open_connection(
                *target.connections[0].get_extra_info("sockname")
            )
            writer.write(b"GET /turn HTTP/1.1\r\n\r\n")
            await reader.readuntil(b"\r\n\r\n")
            writer.close()
        before = len(target.connections)
        expected = b"%d" % (len(target.requests) + 1)
        assert await served.fetch("/2") == expected
        assert len(target.connections) == before + 1
        # A sound connection is kept.
        await served.fetch("/3")
        assert len(target.connections) == before + 1


async def test_an_answer_before_the_request_has_left_is_not_its_own(monkeypatch):
    """The request never left, though its caller was told that it was answered."""
    create = aiohttp.TCPConnector._create_connection

    async def create_slowly(*args):
        protocol = await create(*args)
        await wait_until(lambda: protocol.should_close)
        return protocol

    monkeypatch.setattr(aiohttp.TCPConnector, "_create_connection", create_slowly)
    target = StrayTarget(greeting=STRAY_ANSWER)
    async with _Served(target) as served:
        sent = await served.send("/1", new_connection=True)
        assert sent.failure().not_run
        await wait_until(target.connections[0].is_closing)
    assert target.requests == []
