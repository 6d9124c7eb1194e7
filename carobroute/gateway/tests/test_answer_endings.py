"""Answers by their framing and their end: what the caller gets, over real sockets.

An answer without a length or chunks ends with its connection. What broke off must not
reach the caller as a complete answer.
"""

import pytest

from carobroute.domain import CallClass
from carobroute.gateway.tests.answer_scripts import DEADLINE_MS, make_script, play
from carobroute.testing.gateway_data import make_route

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
@pytest.mark.parametrize("resumed_framing", ["length", "chunks", "none"])
@pytest.mark.parametrize("cut", list(CUTS))
async def test_a_resumable_stream_that_is_cut_is_resumed(
    framing, resumed_framing, version, cut
):
    resumed = []

    def make_target():
        cut_script = make_script(framing, EVENTS, missing=CUTS[cut], is_stream=True)

        async def answer(call):
            last = call.headers.get("last-event-id")
            if last is None:
                await cut_script(call)
                return
            resumed.append(last)
            offset = EVENTS.find(f"id: {int(last) + 1}".encode())
            rest = EVENTS[offset:] if offset >= 0 else b""
            rest_framing = resumed_framing if rest else "chunks"
            await make_script(rest_framing, rest, is_stream=True)(call)

        return answer

    scripts = [make_target(), make_target()]
    assert await play(RESUMABLE, scripts, version) == (200, EVENTS, True)
    # The end of a connection does not prove that the rest was whole.
    assert resumed == (["1", "2"] if resumed_framing == "none" else ["1"])


@VERSIONS
async def test_an_answer_that_is_no_event_stream_ends_anywhere(version):
    script = make_script("none", b'{"choices": []}')
    status, body, is_whole = await play(STREAM, [script], version)
    assert (status, body, is_whole) == (200, b'{"choices": []}', True)
