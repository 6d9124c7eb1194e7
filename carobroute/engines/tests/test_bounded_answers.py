"""Every program that reads answers over HTTP, and answers without end."""

from pathlib import Path

import pytest
from returns.result import Failure

import carobroute
from carobroute.testing import wait_until
from carobroute.testing.answer_readers import BODY_READERS
from carobroute.testing.endless_target import EndlessTarget
from carobroute.testing.scripted_target import ScriptedTarget

# The largest answer that any of them reads, and what the kernel holds on both ends.
MAX_SENT_BYTES = (16 << 20) + (16 << 20)
FILLER = b"x" * 65_536
BODY = b"HTTP/1.1 200 OK\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "body": (BODY, FILLER),
    "chunked body": (CHUNKED, b"10000\r\n%b\r\n" % FILLER),
    "chunk extension": (CHUNKED + b"5;", FILLER),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2_500),
}


# Guards against a process whose memory is filled by an answer that another program
# never ends.
@pytest.mark.parametrize("read", BODY_READERS)
@pytest.mark.parametrize("name", list(ENDLESS))
async def test_a_reader_gives_up_an_answer_without_end(read, name):
    script = EndlessTarget(*ENDLESS[name], max_bytes=2 * MAX_SENT_BYTES)
    target = ScriptedTarget(script)
    address = await target.start()
    try:
        answered = await read(f"http://{address}")
        await wait_until(lambda: script.has_ended)
    finally:
        await target.close()
    assert isinstance(answered, Failure)
    assert script.sent_bytes <= MAX_SENT_BYTES


# Guards against a session without these bounds.
def test_every_session_is_opened_in_one_place():
    package = Path(carobroute.__file__).parent
    found = [
        path.name
        for path in sorted(package.rglob("*.py"))
        if not {"tests", "testing", "standins"} & set(path.parts)
        and "aiohttp.ClientSession(" in path.read_text()
    ]
    assert found == ["_sessions.py"]
