"""Scripts of targets whose answers end in many ways, and a caller that judges them."""

import asyncio
import socket
import struct

from carobroute.gateway.tests.gateway_harness import GatewayHarness
from carobroute.testing.gateway_data import make_configuration

DEADLINE_MS = 4_000


def reset(call):
    """Close the connection with a reset, and not in order."""
    connection = call.writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    call.writer.transport.abort()


def make_script(framing, body, *, missing=0, ends_with_reset=False, is_stream=False):
    """Return a script that answers with `framing`, without the last bytes.

    The length names the whole body, and the last chunk is sent only if it is whole.
    """

    async def answer(call):
        fields = {
            "Request-Id": call.headers.get("request-id", ""),
            "Server-Seal": "seal",
            "Content-Type": "text/event-stream" if is_stream else "text/plain",
        }
        if framing == "length":
            fields["Content-Length"] = str(len(body))
        elif framing == "chunks":
            fields["Transfer-Encoding"] = "chunked"
        await call.begin(200, fields)
        sent = body[: len(body) - missing]
        if framing == "chunks":
            await call.send(sent)
            if not missing and not ends_with_reset:
                await call.end_stream()
        else:
            call.writer.write(sent)
            await call.writer.drain()
        if ends_with_reset:
            # The bytes before it arrive first.
            await asyncio.sleep(0.1)
            reset(call)
        elif missing or framing == "none":
            call.disconnect()

    return answer


async def call_raw(url, version):
    """Send a request; return the status, the body and whether the answer is whole.

    It is judged as a strict caller does: by the length, by the last chunk, or by a
    connection that ends in order.
    """
    host, port = url.removeprefix("http://").split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        f"GET /orders/1 HTTP/{version}\r\nHost: shop.example\r\nRequest-Id: r-1\r\n"
        f"Deadline-Ms: {DEADLINE_MS}\r\nX-Api-Key: key-1\r\n"
        "Connection: close\r\n\r\n".encode()
    )
    data, is_reset = b"", False
    try:
        while piece := await reader.read(65_536):
            data += piece
    except ConnectionError:
        is_reset = True
    writer.close()
    head, _, body = data.partition(b"\r\n\r\n")
    if not head:
        return None, b"", False
    status = int(head.split()[1])
    fields = dict(
        line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if line
    )
    if b"content-length" in fields:
        return status, body, len(body) == int(fields[b"content-length"])
    if fields.get(b"transfer-encoding") == b"chunked":
        chunks, is_whole = _decode_chunks(body)
        return status, chunks, is_whole
    return status, body, not is_reset


def _decode_chunks(body):
    decoded = b""
    while body:
        size, _, body = body.partition(b"\r\n")
        if not size:
            break
        if int(size, 16) == 0:
            return decoded, True
        decoded, body = decoded + body[: int(size, 16)], body[int(size, 16) + 2 :]
    return decoded, False


async def play(route, scripts, version):
    harness = GatewayHarness(configuration=make_configuration(routes=[route]))
    await harness.start(*scripts)
    try:
        async with asyncio.timeout(2 * DEADLINE_MS / 1_000):
            return await call_raw(harness.url, version)
    finally:
        await harness.stop()
