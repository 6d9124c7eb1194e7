"""Targets that stop in the middle of the head of an answer, at each of its bytes.

Guards against an empty or short body that reaches a caller as a whole answer.
"""

import asyncio

import pytest
import uvloop

from carobroute.domain import CallClass
from carobroute.gateway.tests.answer_scripts import (
    EVENT_BYTES,
    EVENTS,
    call_raw,
    reset,
)
from carobroute.gateway.tests.gateway_harness import GatewayHarness
from carobroute.testing.gateway_data import make_configuration, make_route

ORDER = make_route(call_class=CallClass.NON_IDEMPOTENT, max_attempts=1)
STREAM = make_route(call_class=CallClass.NON_IDEMPOTENT, streaming=True, max_attempts=1)
RESUMABLE = make_route(streaming=True, resumable=True)
BODY_FIELDS = {
    "length": b"Content-Length: 4\r\n",
    "chunks": b"Transfer-Encoding: chunked\r\n",
    "none": b"Connection: close\r\n",
}
LOOPS = {"asyncio": asyncio.run, "uvloop": uvloop.run}


def make_head(framing):
    return (
        b"HTTP/1.1 200 OK\r\n"
        + BODY_FIELDS[framing]
        + b"Content-Type: text/event-stream\r\nRequest-Id: r-1\r\n"
        + b"Server-Seal: s\r\n\r\n"
    )


class CutHeads:
    """Script that cuts the head one byte later with each call that is not resumed."""

    def __init__(self, head, end):
        self._head = head
        self._end = end
        self.length = 0

    async def __call__(self, call):
        call.writer.write(self._head[: self.length])
        await call.writer.drain()
        self._end(call)


async def call_for_each_byte(route, head, end, version, *further):
    script = CutHeads(head, end)
    harness = GatewayHarness(configuration=make_configuration(routes=[route]))
    await harness.start(script, *further)
    try:
        results = []
        for script.length in range(len(head)):
            # An unhealthy target is not called any more.
            for target in harness.directory.all_targets():
                target.health.note_success()
            results.append(await call_raw(harness.url, version))
        return results
    finally:
        await harness.stop()


@pytest.mark.parametrize("loop", list(LOOPS))
@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("framing", list(BODY_FIELDS))
@pytest.mark.parametrize("end", ["close", "reset"])
@pytest.mark.parametrize("route", [ORDER, STREAM], ids=["order", "stream"])
def test_an_answer_with_half_a_head_is_not_delivered(
    loop, version, framing, end, route
):
    ends = {"close": lambda call: call.disconnect(), "reset": reset}
    results = LOOPS[loop](
        call_for_each_byte(route, make_head(framing), ends[end], version)
    )
    assert {status for status, _, _ in results} <= {502, 503}
    assert 502 in {status for status, _, _ in results}


async def resume_after_half_a_head(framing, version):
    """Break a stream off after two events; cut the head of its resumption."""
    head = make_head(framing)
    lengths = iter(range(len(head)))

    async def answer(call):
        if "last-event-id" in call.headers:
            call.writer.write(head[: next(lengths)])
        else:
            await call.begin_stream(EVENTS[: 2 * EVENT_BYTES])
        await call.writer.drain()
        call.disconnect()

    harness = GatewayHarness(configuration=make_configuration(routes=[RESUMABLE]))
    await harness.start(answer, answer)
    try:
        results = []
        for _ in range(0, len(head), 7):
            for target in harness.directory.all_targets():
                target.health.note_success()
            results.append(await call_raw(harness.url, version))
        return results
    finally:
        await harness.stop()


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("framing", list(BODY_FIELDS))
def test_a_resumption_with_half_a_head_does_not_look_complete(framing, version):
    results = uvloop.run(resume_after_half_a_head(framing, version))
    for status, events, is_whole in results:
        assert status in (502, 503) or not is_whole
        assert status in (502, 503) or EVENTS.startswith(events)
    assert 200 in {status for status, _, _ in results}
