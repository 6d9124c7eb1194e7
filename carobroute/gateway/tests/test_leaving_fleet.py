"""Targets that leave or pause by their answers, before 3, 14 and 35 gateways.

A call that is taken later than the drain time after the word of a target must not reach
it from the gateway that was told; in a pause, at most two calls may. Each check is also
run with seeded mistakes, which it must catch.
"""

import asyncio
import random

import pytest

from carobroute.domain import ListedTargetState
from carobroute.testing.leaving_fleet_data import (
    PAUSE_MS,
    LeavingFleet,
    keep_over_new_starts,
    take_list_at_its_word,
)
from carobroute.testing.virtual_time import VirtualClock, VirtualLoop, run_virtual

SIZES = pytest.mark.parametrize("size", [3, 14, 35])
MAX_CALLS_IN_PAUSE = 2
# Time between two calls of a gateway with few callers.
SELDOM_MS = (3_000.0, 5_000.0)


def play(scenario, *, size=3, seed=1, **options):
    loop = VirtualLoop()
    clock = VirtualClock(loop=loop)
    fleet = LeavingFleet(clock=clock, random=random.Random(seed), size=size)
    for name, value in options.items():
        setattr(fleet, name, value)

    async def main():
        running = asyncio.create_task(fleet.run())
        await clock.sleep_ms(2_000)
        await scenario(fleet)
        running.cancel()

    run_virtual(main(), loop)
    return fleet


async def leave_before_the_list(fleet):
    fleet.leaving.add("i-0@1")
    await fleet.clock.sleep_ms(3_000)
    fleet.list_target("i-0", condition=ListedTargetState.LEAVING)
    await fleet.clock.sleep_ms(3_000)


async def leave_after_the_list(fleet):
    fleet.list_target("i-0", condition=ListedTargetState.LEAVING)
    await fleet.clock.sleep_ms(300)
    fleet.leaving.add("i-0@1")
    await fleet.clock.sleep_ms(5_000)


async def leave_without_the_list(fleet):
    fleet.leaving.add("i-0@1")
    await fleet.clock.sleep_ms(8_000)


async def start_again(fleet):
    await leave_before_the_list(fleet)
    fleet.list_target("i-0", condition=ListedTargetState.READY, started_ms=2)
    await fleet.clock.sleep_ms(4_000)


async def pause(fleet):
    fleet.pausing.update({"i-0@1", "i-1@1"})
    await fleet.clock.sleep_ms(2 * PAUSE_MS)


def find_callers(fleet, run_id):
    return {call.gateway for call in fleet.calls if call.run_id == run_id}


LEAVING = [leave_before_the_list, leave_after_the_list, leave_without_the_list]


@SIZES
@pytest.mark.parametrize("scenario", LEAVING)
def test_a_gateway_sends_nothing_to_a_target_that_told_it_that_it_leaves(
    scenario, size
):
    fleet = play(scenario, size=size)
    assert not fleet.calls_after_leaving()


@SIZES
@pytest.mark.parametrize("interval_ms", [(20.0, 60.0), SELDOM_MS])
def test_no_gateway_sends_calls_once_a_peer_was_told(interval_ms, size):
    fleet = play(leave_without_the_list, size=size, call_interval_ms=interval_ms)
    assert not fleet.calls_after_first_word()


@SIZES
def test_a_new_start_under_the_same_name_gets_calls(size):
    fleet = play(start_again, size=size)
    assert not fleet.calls_after_leaving()
    assert find_callers(fleet, "i-0@2") == set(range(size))


@SIZES
def test_a_gateway_leaves_a_pausing_target_alone(size):
    fleet = play(pause, size=size)
    assert len(fleet.told_ms) == 2 * size
    assert fleet.most_calls_in_a_pause() <= MAX_CALLS_IN_PAUSE
    last_ms = max(call.sent_ms for call in fleet.calls if call.run_id == "i-0@1")
    assert last_ms > min(fleet.told_ms.values()) + PAUSE_MS


# Seeded mistakes.


def test_the_check_catches_a_list_that_takes_a_target_back():
    fleet = play(leave_without_the_list, mistakes=[take_list_at_its_word])
    assert fleet.calls_after_leaving()


def test_the_check_catches_peers_that_are_not_told():
    """A gateway with few calls is told late by the target itself."""
    fleet = play(
        leave_without_the_list, size=35, call_interval_ms=SELDOM_MS, tells_peers=False
    )
    assert fleet.calls_after_first_word()


def test_the_check_catches_a_call_that_is_checked_when_chosen_alone():
    fleet = play(pause, size=14, checks_when_sent=False)
    assert fleet.most_calls_in_a_pause() > MAX_CALLS_IN_PAUSE


def test_the_check_catches_a_word_that_is_kept_over_a_new_start():
    fleet = play(start_again, mistakes=[keep_over_new_starts])
    assert find_callers(fleet, "i-0@2") != {0, 1, 2}
