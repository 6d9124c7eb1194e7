"""Answers of the platform that come on a connection on which nothing is asked."""

import asyncio
import contextlib

from carobroute.platform._http_channel import HttpChannel
from carobroute.testing import wait_until


async def test_a_call_is_not_answered_by_the_second_copy_of_an_earlier_answer():
    """A write that the store has refused would count as done."""
    answers = [b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1"]
    answers.append(answers[0].replace(b"200 OK", b"412 No"))
    writers = []

    async def serve(reader, writer):
        writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError):
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(answers[0] if writer is writers[0] else answers[1])
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    channel = HttpChannel(base_url=f"http://{host}:{port}")
    async with server:
        first = await channel.exchange("POST", "/rows", timeout_ms=5_000)
        writers[0].write(answers[0])
        await writers[0].drain()
        # A round trip, in which the event loop reads what has come.
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(b"GET / HTTP/1.1\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        writer.close()
        second = await channel.exchange("POST", "/rows", timeout_ms=5_000)
        await channel.close()
        await wait_until(lambda: all(one.transport.is_closing() for one in writers))
    assert first.unwrap().status == 200
    assert second.unwrap().status == 412
