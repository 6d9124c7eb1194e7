"""Targets that refuse with 503 and say for how long they want nothing from a gateway.

At most two calls may reach such a target from half a second after the answer to the end
of the time that it named.
"""

import asyncio
import itertools

import msgspec
import pytest

from carobroute.gateway.tests.gateway_harness import GatewayHarness
from carobroute.testing import wait_until

PAUSE_S = 1.2
# Time after the answer from which on calls count, and most calls until the pause ends.
SLACK_S = 0.5
MAX_CALLS = 2


class PausingTarget:
    """Script that refuses with a time at first, and answers later."""

    def __init__(self, retry_after=str(PAUSE_S), *, refusals=1, status=503):
        self._retry_after = retry_after
        self._left = refusals
        self._status = status
        self.times = []

    async def __call__(self, call):
        self.times.append(asyncio.get_running_loop().time())
        self._left -= 1
        if self._left >= 0:
            await call.answer(
                self._status, b"", Not_Run="1", Retry_After=self._retry_after
            )
        else:
            await call.answer()


async def stay(call):
    await call.answer()


async def run_gateway(*scripts, **entry):
    harness = GatewayHarness()
    targets = await harness.start(*scripts, **entry)
    return harness, targets


async def call_for(harness, duration_s, every_s=0.02):
    """Send calls for a time; return their statuses and headers."""
    answers = []
    end = asyncio.get_running_loop().time() + duration_s
    for number in itertools.count():
        if asyncio.get_running_loop().time() > end:
            return answers
        status, _, headers = await harness.call(Request_Id=f"r-{number}")
        answers.append((status, headers))
        await asyncio.sleep(every_s)


def count_calls_in_pause(script):
    first = script.times[0]
    return sum(first + SLACK_S < at < first + PAUSE_S for at in script.times)


async def test_a_target_that_asks_for_a_pause_gets_no_calls_in_it():
    script = PausingTarget()
    harness, (target, other) = await run_gateway(script, stay)
    try:
        answers = await call_for(harness, PAUSE_S + 0.5)
    finally:
        await harness.stop()
    assert {status for status, _ in answers} == {200}
    assert count_calls_in_pause(script) <= MAX_CALLS
    # It takes calls again after that.
    assert script.times[-1] >= script.times[0] + PAUSE_S
    assert "target_paused" in harness.log.getvalue()


async def test_calls_are_refused_with_the_end_of_the_pause_of_all_targets():
    scripts = [PausingTarget(), PausingTarget()]
    harness, _ = await run_gateway(*scripts)
    try:
        answers = await call_for(harness, 0.4)
    finally:
        await harness.stop()
    assert {status for status, _ in answers} == {503}
    # It is refused at once, and comes back when there are targets.
    waits_s = [float(headers["Retry-After"]) for _, headers in answers[2:]]
    assert all(PAUSE_S - 0.5 <= wait_s <= 1.5 * PAUSE_S for wait_s in waits_s)
    assert sum(len(script.times) for script in scripts) == 2


async def dispatch_periodically(dispatcher):
    while True:
        await asyncio.sleep(dispatcher.queue_check_interval_ms / 1_000)
        dispatcher.dispatch_all_queued()


async def test_a_call_waits_for_the_end_of_a_short_pause():
    script = PausingTarget("0.05")
    harness, _ = await run_gateway(script)
    checking = asyncio.create_task(dispatch_periodically(harness.context.dispatcher))
    try:
        first, _, _ = await harness.call(Request_Id="r-1", Deadline_Ms="1000")
        second, _, _ = await harness.call(Request_Id="r-2", Deadline_Ms="1000")
    finally:
        checking.cancel()
        await harness.stop()
    assert first == 503
    assert second == 200
    assert script.times[1] >= script.times[0] + 0.05


async def test_calls_that_wait_are_not_sent_in_the_pause():
    """They are checked when they are sent, and not only when a target is chosen."""
    refused = asyncio.Event()
    times = []

    async def answer(call):
        times.append(asyncio.get_running_loop().time())
        await refused.wait()
        await call.answer(503, b"", Not_Run="1", Retry_After=str(PAUSE_S))

    harness, _ = await run_gateway(answer, slots=1)
    try:
        calls = [
            asyncio.create_task(harness.call(Request_Id=f"r-{number}"))
            for number in range(8)
        ]
        await wait_until(lambda: times, what="a call has reached the target")
        await asyncio.sleep(0.05)
        reached = len(times)
        refused.set()
        await asyncio.gather(*calls)
        assert len(times) == reached
    finally:
        await harness.stop()


@pytest.mark.parametrize(
    "retry_after", ["-1", "soon", "Sat, 05 Dec 2026 10:00:00 GMT", "1e9", "nan", "٣"]
)
async def test_a_time_that_is_no_number_of_seconds_is_logged_and_no_pause(retry_after):
    script = PausingTarget(retry_after)
    harness, _ = await run_gateway(script)
    try:
        await harness.call(Request_Id="r-1")
        status, _, _ = await harness.call(Request_Id="r-2")
    finally:
        await harness.stop()
    assert status == 200
    assert "pause_unreadable" in harness.log.getvalue()


async def test_a_pause_is_bounded():
    script = PausingTarget("99999999")
    harness, _ = await run_gateway(script)
    max_pause_ms = harness.parameters.max_pause_ms
    try:
        await harness.call()
        (target,) = harness.directory.all_targets()
        assert 0 < target.pause_remaining_ms <= max_pause_ms
    finally:
        await harness.stop()


async def test_a_longer_pause_is_not_shortened_by_a_later_answer():
    times = iter(["5", "0.1"])
    both = asyncio.Barrier(2)

    async def answer(call):
        await both.wait()
        await call.answer(503, b"", Not_Run="1", Retry_After=next(times))

    harness, _ = await run_gateway(answer)
    try:
        await asyncio.gather(*(harness.call(Request_Id=f"r-{n}") for n in range(2)))
        (target,) = harness.directory.all_targets()
        assert target.pause_remaining_ms > 3_000
    finally:
        await harness.stop()


@pytest.mark.parametrize("status", [429, 500])
async def test_only_a_refusal_with_503_asks_for_a_pause(status):
    script = PausingTarget(status=status)
    harness, (target, _) = await run_gateway(script, stay)
    try:
        await call_for(harness, 0.3)
        assert all(
            target.pause_remaining_ms == 0 for target in harness.directory.all_targets()
        )
    finally:
        await harness.stop()


async def test_a_new_start_of_the_target_is_not_paused():
    script = PausingTarget()
    harness, (target,) = await run_gateway(script)
    try:
        await harness.call(Request_Id="r-1")
        (paused,) = harness.directory.all_targets()
        entry = paused.entry
        harness.directory.update([msgspec.structs.replace(entry, started_ms=9)])
        assert (await harness.call(Request_Id="r-2"))[0] == 200
    finally:
        await harness.stop()
