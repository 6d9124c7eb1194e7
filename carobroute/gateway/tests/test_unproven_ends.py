"""Streams that break off in every framing, place and way, as callers see them.

A table over the framing of a target's answer, the place and the way of its end, the
first or a resumed answer, and whether the stream may be resumed. What broke off must
not reach a caller as complete.
"""

import asyncio

import pytest

from carobroute.gateway.tests.answer_scripts import (
    EVENTS,
    PLACES,
    Ending,
    make_stream_script,
    play_stream,
)

VERSIONS = pytest.mark.parametrize("version", ["1.0", "1.1"])
FRAMINGS = ["length", "chunks", "none"]
WAYS = ["close", "reset", "silence", "garbage", "exit"]
ENDINGS = [
    Ending(framing=framing, place=place, way=way)
    for framing in FRAMINGS
    for place in PLACES
    for way in WAYS
    # Only the framing by chunks has bytes between events that may be invalid.
    if way != "garbage" or framing == "chunks"
]
WHOLE = Ending(framing="chunks", place="after all events", way="close")
BROKEN = [ending for ending in ENDINGS if not ending.is_whole]
# What ends in order between events without a length or chunks is complete by the
# protocol. A target that may run such a call once cannot be asked for the rest.
UNDECIDABLE = Ending(framing="none", place="after two events", way="close")


KNOWN_RED = pytest.mark.xfail(strict=True, reason="KNOWN-RED.txt: issue 34")


def mark(endings):
    """Return test parameters for endings, with those that are known to fail marked."""
    return [
        pytest.param(
            ending,
            marks=[KNOWN_RED]
            if ending.framing == "none"
            and ending.way in ("close", "exit")
            and "inside" not in ending.place
            and ending.place != "after all events"
            else [],
            id=name(ending),
        )
        for ending in endings
    ]


def name(ending):
    return f"{ending.framing}, {ending.place}, {ending.way}"


def assert_not_complete(result):
    status, events, is_whole = result
    if status in (None, 502, 504):
        return
    assert EVENTS.startswith(events)
    assert not is_whole or events == EVENTS


@VERSIONS
@pytest.mark.parametrize("ending", mark([one for one in BROKEN if one != UNDECIDABLE]))
async def test_a_broken_stream_that_runs_once_does_not_look_complete(ending, version):
    result = await play_stream(
        [make_stream_script(ending)], version, is_resumable=False
    )
    assert_not_complete(result)


@VERSIONS
@pytest.mark.parametrize(
    "ending", mark([one for one in BROKEN if one.way != "silence"])
)
async def test_a_broken_stream_is_resumed_to_its_end(ending, version):
    scripts = [make_stream_script(ending), make_stream_script(WHOLE)]
    assert await play_stream(scripts, version, in_order=True) == (200, EVENTS, True)


@VERSIONS
@pytest.mark.parametrize("ending", mark(BROKEN))
async def test_a_broken_resumption_does_not_look_complete(ending, version):
    first = Ending(framing="chunks", place="inside the third event", way="close")
    script = make_stream_script(first, resumed=ending)
    assert_not_complete(await play_stream([script, script], version))


@VERSIONS
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("resumed_framing", FRAMINGS)
async def test_a_whole_stream_is_complete_in_each_framing(
    framing, resumed_framing, version
):
    first = Ending(framing=framing, place="after all events", way="close")
    resumed = Ending(framing=resumed_framing, place="after all events", way="close")
    script = make_stream_script(first, resumed=resumed)
    assert await play_stream([script, script], version) == (200, EVENTS, True)


@VERSIONS
@pytest.mark.parametrize("is_resumable", [False, True])
async def test_a_whole_stream_without_framing_needs_no_second_target(
    is_resumable, version
):
    whole = Ending(framing="none", place="after all events", way="close")
    result = await play_stream(
        [make_stream_script(whole)], version, is_resumable=is_resumable
    )
    assert result == (200, EVENTS, True)


@VERSIONS
async def test_a_caller_may_resume_at_the_end(version):
    empty = Ending(framing="none", place="after all events", way="close")
    script = make_stream_script(empty, resumed=empty)
    result = await play_stream([script, script], version, last_event_id="4")
    assert result == (200, b"", True)


@KNOWN_RED
async def test_streams_that_break_off_at_once_overlap_with_whole_ones():
    broken = Ending(framing="none", place="after two events", way="close")
    script = make_stream_script(broken)
    results = await asyncio.gather(
        *(play_stream([script, script], "1.1") for _ in range(8))
    )
    assert results == [(200, EVENTS, True)] * 8
