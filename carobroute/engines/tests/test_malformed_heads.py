"""Every program that reads answers over HTTP, and answers whose head is invalid."""

import asyncio

import pytest
from returns.result import Failure, Success

from carobroute.engines import open_session
from carobroute.testing.answer_readers import READERS, SOUND_BODY
from carobroute.testing.scripted_target import ScriptedTarget

# Turns of the event loop in which bytes that were sent on loopback are read.
READ_TURNS = 5
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(SOUND_BODY)
INTERIM_ANSWER = b"HTTP/1.1 103 Early Hints\r\nLink: </bell>\r\n\r\n"
SOUND_HEADS = {
    "alone": HEAD,
    "behind an interim answer": INTERIM_ANSWER + HEAD,
    "with a line": HEAD.replace(b"OK\r\n", b"OK\r\nX-Empty:\r\n"),
}
MALFORMED_HEADS = {
    "status 000": HEAD.replace(b"200", b"000"),
    "status 099": HEAD.replace(b"200", b"099"),
    "status 101": HEAD.replace(b"200", b"101"),
    "status 600": HEAD.replace(b"200", b"600"),
    "status 000 behind an interim answer": INTERIM_ANSWER
    + HEAD.replace(b"200", b"000"),
    "blank before the first name": HEAD.replace(b"OK\r\n", b"OK\r\n X: 1\r\n"),
    "blank before the last name": HEAD.replace(b"\r\n\r\n", b"\r\n\tX: 1\r\n\r\n"),
    "blank in a name": HEAD.replace(b"OK\r\n", b"OK\r\nX Y: 1\r\n"),
    "blank behind a name": HEAD.replace(b"OK\r\n", b"OK\r\nX : 1\r\n"),
    "control byte in a name": HEAD.replace(b"OK\r\n", b"OK\r\nX\x01Y: 1\r\n"),
    "folded line behind an interim answer": INTERIM_ANSWER
    + HEAD.replace(b"OK\r\n", b"OK\r\nX: 1\r\n Y: 1\r\n"),
    "transfer coding": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
}


async def read_answer(read, head):
    """Return what a reader makes of an answer with a head."""

    async def answer(call):
        has_body = not call.line.startswith("HEAD ")
        call.writer.write(head + SOUND_BODY * has_body)
        await call.writer.drain()
        call.disconnect()

    target = ScriptedTarget(answer)
    address = await target.start()
    try:
        return await read(f"http://{address}")
    finally:
        await target.close()


# Guards against a program that acts on an answer that is none, such as a fence that
# counts as set.
@pytest.mark.parametrize("name", list(MALFORMED_HEADS))
@pytest.mark.parametrize("read", READERS)
async def test_a_reader_takes_a_malformed_head_for_no_answer(read, name):
    assert isinstance(await read_answer(read, MALFORMED_HEADS[name]), Failure)


# Guards against a reader that takes nothing for an answer.
@pytest.mark.parametrize("name", list(SOUND_HEADS))
@pytest.mark.parametrize("read", READERS)
async def test_a_reader_understands_a_sound_answer(read, name):
    assert isinstance(await read_answer(read, SOUND_HEADS[name]), Success)


# Guards against an answer, also a malformed one, that comes behind another one on a
# kept connection, and is taken for that to the next request.
@pytest.mark.parametrize("late", [HEAD, HEAD.replace(b"200", b"000")])
async def test_a_late_second_answer_is_not_that_to_the_next_request(late):
    async def answer(call):
        number = len(target.calls)
        call.writer.write(HEAD + SOUND_BODY.replace(b'"seq":0', b'"seq":%d' % number))
        await call.writer.drain()
        if number == 1:
            await has_read.wait()
            call.writer.write(late + SOUND_BODY)
            await call.writer.drain()
            has_sent.set()

    has_read, has_sent = asyncio.Event(), asyncio.Event()
    target = ScriptedTarget(answer)
    address = await target.start()
    try:
        async with open_session() as session:
            for number in (1, 2, 3):
                async with session.get(f"http://{address}/") as response:
                    body = await response.read()
                    assert response.status == 200
                    assert b'"seq":%d' % number in body
                has_read.set()
                await has_sent.wait()
                for _ in range(READ_TURNS):
                    await asyncio.sleep(0)
    finally:
        await target.close()
