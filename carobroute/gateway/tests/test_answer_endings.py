"""Answers by their framing and their end: what the caller gets, over real sockets.

An answer without a length or chunks ends with its connection. What broke off must not
reach the caller as a complete answer.
"""

import asyncio
import socket
import struct

import pytest

from carobroute.domain import CallClass
from carobroute.gateway.tests.gateway_harness import GatewayHarness
from carobroute.testing.gateway_data import make_configuration, make_route

DEADLINE_MS = 4_000
ORDER = make_route(
    call_class=CallClass.NON_IDEMPOTENT, max_attempts=1, timeout_ms=DEADLINE_MS
)
STREAM = make_route(
    streaming=True, resumable=False, max_attempts=1, timeout_ms=DEADLINE_MS
)
RESUMABLE = make_route(streaming=True, resumable=True, timeout_ms=DEADLINE_MS)
EVENTS = "id: 1\r\ndata: å\r\n\r\nid: 2\r\ndata: ö\r\n\r\n".encode()
BODY = b"whole body"
# Where a stream may be cut, as numbers of bytes that are missing.
CUTS = {
    "inside an event": 9,
    "inside a character": 5,
    "inside a line ending": 1,
    "between line endings": 2,
}


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


VERSIONS = pytest.mark.parametrize("version", ["1.0", "1.1"])
FRAMINGS = pytest.mark.parametrize("framing", ["length", "chunks", "none"])


@VERSIONS
@FRAMINGS
async def test_a_whole_plain_answer_is_delivered(framing, version):
    script = make_script(framing, BODY)
    assert await play(ORDER, [script], version) == (200, BODY, True)


@VERSIONS
@FRAMINGS
async def test_a_whole_stream_is_delivered_as_complete(framing, version):
    script = make_script(framing, EVENTS, is_stream=True)
    assert await play(STREAM, [script], version) == (200, EVENTS, True)


@VERSIONS
@pytest.mark.parametrize("framing", ["length", "chunks"])
async def test_a_plain_answer_that_lacks_bytes_is_not_delivered(framing, version):
    script = make_script(framing, BODY, missing=3)
    status, _, _ = await play(ORDER, [script], version)
    assert status == 502


@VERSIONS
@FRAMINGS
async def test_a_plain_answer_that_ends_with_a_reset_is_not_delivered(framing, version):
    missing = 3 if framing == "length" else 0
    script = make_script(framing, BODY, missing=missing, ends_with_reset=True)
    status, _, _ = await play(ORDER, [script], version)
    assert status == 502


@VERSIONS
@FRAMINGS
@pytest.mark.parametrize("cut", list(CUTS))
@pytest.mark.parametrize("ends_with_reset", [False, True], ids=["close", "reset"])
async def test_a_stream_that_is_cut_does_not_look_complete(
    framing, version, cut, ends_with_reset
):
    script = make_script(
        framing,
        EVENTS,
        missing=CUTS[cut],
        ends_with_reset=ends_with_reset,
        is_stream=True,
    )
    status, body, is_whole = await play(STREAM, [script], version)
    assert not is_whole or status == 502
    assert status == 502 or EVENTS.startswith(body)


@VERSIONS
async def test_a_stream_that_is_reset_after_an_event_does_not_look_complete(version):
    script = make_script("none", EVENTS, ends_with_reset=True, is_stream=True)
    status, _, is_whole = await play(STREAM, [script], version)
    assert not is_whole or status == 502


@VERSIONS
@pytest.mark.parametrize("framing", ["chunks", "none"])
@pytest.mark.parametrize("cut", list(CUTS))
async def test_a_resumable_stream_that_is_cut_is_resumed(framing, version, cut):
    resumed = []

    def make_target():
        cut_script = make_script(framing, EVENTS, missing=CUTS[cut], is_stream=True)

        async def answer(call):
            last = call.headers.get("last-event-id")
            if last is None:
                await cut_script(call)
                return
            resumed.append(last)
            rest = EVENTS[EVENTS.index(f"id: {int(last) + 1}".encode()) :]
            await make_script("none", rest, is_stream=True)(call)

        return answer

    scripts = [make_target(), make_target()]
    assert await play(RESUMABLE, scripts, version) == (200, EVENTS, True)
    assert resumed == ["1"]


@VERSIONS
async def test_an_answer_that_is_no_event_stream_ends_anywhere(version):
    script = make_script("none", b'{"choices": []}')
    status, body, is_whole = await play(STREAM, [script], version)
    assert (status, body, is_whole) == (200, b'{"choices": []}', True)
