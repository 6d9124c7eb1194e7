"""Targets that leave or pause by their answers, at the gateway's real process.

Each check is also run with a seeded mistake in the process, which it must catch.
"""

import asyncio

import pytest

from carobroute.tests.test_operators_reports import answer_own_id, run_desk

PAUSE_S = 2.0
# Most calls that may reach a target until its pause ends.
MAX_CALLS = 2
CALLS = 8
CALL_S = 0.1

# Code that a process runs before it starts.
IGNORE_LEAVING = """
from carobroute.gateway._context import GatewayContext
GatewayContext.note_leaving = lambda self, run_id, *, is_first_hand: None
"""
IGNORE_PAUSES = """
from carobroute.gateway import Target
Target.pause = lambda self, duration_ms: None
"""


async def say_leaving(call):
    await call.answer(Server_Leaving="1")


class Pausing:
    """Script of a target that refuses its first call, and names a time."""

    def __init__(self):
        self._has_refused = False

    async def __call__(self, call):
        if not self._has_refused:
            self._has_refused = True
            await call.answer(503, b"", Not_Run="1", Retry_After=str(PAUSE_S))
        else:
            await answer_own_id(call)


async def check_leaving(desk):
    assert (await desk.call())[0] == 200
    for number in range(CALLS):
        status, _ = await desk.call(number=number + 1)
        assert status == 503
    assert len(desk.orders.calls) == 1


async def check_pause(desk):
    loop = asyncio.get_running_loop()
    assert (await desk.call(deadline=1_000))[0] == 503
    end = loop.time() + PAUSE_S
    number = 0
    while loop.time() < end - CALL_S:
        number += 1
        await desk.call(number=number, deadline=1_000)
        await asyncio.sleep(CALL_S)
    # The first one was refused, and the pause begins with its answer.
    assert len(desk.orders.calls) - 1 <= MAX_CALLS
    await asyncio.sleep(end - loop.time() + CALL_S)
    assert (await desk.call(number=number + 1))[0] == 200


CHECKS = {
    "leaving": (check_leaving, lambda: say_leaving, IGNORE_LEAVING),
    "pausing": (check_pause, Pausing, IGNORE_PAUSES),
}


@pytest.mark.parametrize("name", list(CHECKS))
async def test_a_target_gets_no_calls_that_it_does_not_want(tmp_path, name):
    check, script, _ = CHECKS[name]
    await run_desk(tmp_path, check, orders=script())


@pytest.mark.parametrize("name", list(CHECKS))
async def test_the_check_catches_a_seeded_mistake(tmp_path, name):
    check, script, mistake = CHECKS[name]
    with pytest.raises(AssertionError):
        await run_desk(tmp_path, check, orders=script(), mistake=mistake)
