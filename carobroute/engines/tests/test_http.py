"""Answers that end in unusual ways."""

import asyncio
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
