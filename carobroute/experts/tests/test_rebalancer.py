"""When a group is rebalanced, and how one that was left held is freed."""

import asyncio
import io
import random

import msgspec
import pytest

from carobroute.experts import Duty, GroupPace, GroupRebalancer
from carobroute.platform import ExpertCounts
from carobroute.telemetry import EventLog
from carobroute.testing.rank_group_data import StandInGroup
from carobroute.testing.virtual_time import VirtualClock, VirtualLoop, run_virtual


class FreeDuty(Duty):
    """Duty that anybody gets, and that counts how often it was asked for."""

    def __init__(self):
        self.asked = 0

    async def acquire(self):
        self.asked += 1
        return True

    async def release(self):
        self.asked = 0


def _rebalancer(group, pace, duty=None, log=None):
    return GroupRebalancer(
        duty=duty or FreeDuty(),
        pace=pace,
        events=EventLog(name="test", stream=log or io.StringIO(), clock=group.clock),
        clock=group.clock,
        random=random.Random(1),
    )


def _play(scenario):
    loop = VirtualLoop()
    clock = VirtualClock(loop=loop)
    group = StandInGroup(clock=clock, random=random.Random(1))

    async def main():
        passes = asyncio.create_task(group.run())
        await clock.sleep_ms(1_000)
        await scenario(group)
        passes.cancel()

    run_virtual(main(), loop)
    return group


async def _step_for(rebalancer, group, duration_ms):
    for _ in range(int(duration_ms / 50)):
        await rebalancer.step(group.view)
        await group.clock.sleep_ms(50)


def _busy(group, gap_ms):
    pace = GroupPace(clock=group.clock)
    pace.note_begin()
    for _ in range(50):
        pace.note_event(gap_ms)
    return pace


def test_a_quick_group_is_left_alone():
    duty = FreeDuty()

    async def scenario(group):
        pace = _busy(group, gap_ms=40.0)
        rebalancer = _rebalancer(group, pace, duty)
        for _ in range(20):
            pace.note_event(40.0)
            await _step_for(rebalancer, group, 100)

    group = _play(scenario)
    assert duty.asked == 0
    assert group.passes[-1] == [0, 0, 0, 0]


def test_a_slow_group_with_one_favourite_gets_another_map():
    async def scenario(group):
        pace = _busy(group, gap_ms=100.0)
        rebalancer = _rebalancer(group, pace)
        for _ in range(20):
            pace.note_event(100.0)
            await _step_for(rebalancer, group, 100)

    group = _play(scenario)
    assert len(set(group.passes[-1])) == 1
    assert group.passes[-1][0] > 0
    assert not group.mixed


@pytest.mark.parametrize("pass_ms", [70.0, 140.0])
def test_a_map_that_is_not_in_force_yet_is_not_replaced(pass_ms):
    """Reports lag, and a map waits for its pass: plans would be for the old one."""
    log = io.StringIO()

    async def scenario(group):
        group.pass_ms = pass_ms
        pace = _busy(group, gap_ms=pass_ms)
        rebalancer = _rebalancer(group, pace, log=log)
        for _ in range(60):
            pace.note_event(pass_ms)
            await _step_for(rebalancer, group, 100)

    group = _play(scenario)
    assert group.passes[-1] == [1, 1, 1, 1]
    assert log.getvalue().count("outcome=switched") == 1
    assert "not_prepared" not in log.getvalue()


def test_a_group_that_is_slow_for_another_reason_is_counted_less_often():
    """A slow rank, say: no layout helps, and counts cost."""
    reads = []

    async def scenario(group):
        async def even(rank):
            reads.append(group.clock.now_ms())
            chosen = [group.step] * (2 * len(group.ranks))
            return ExpertCounts(epoch=group.epoch, step=group.step, counts=chosen)

        view = group.view
        ranks = [EvenRank(rank, even) for rank in view.ranks]
        view = msgspec.structs.replace(view, ranks=ranks)
        pace = _busy(group, gap_ms=300.0)
        rebalancer = _rebalancer(group, pace)
        for _ in range(60):
            pace.note_event(300.0)
            await rebalancer.step(view)
            await group.clock.sleep_ms(100)

    _play(scenario)
    # Two readings of four ranks for each plan, one plan in about two seconds.
    assert len(reads) <= 8 * 4


class EvenRank:
    """Rank whose calls choose all experts alike."""

    def __init__(self, rank, counts):
        self._rank = rank
        self._counts = counts

    def __getattr__(self, name):
        return getattr(self._rank, name)

    async def counts(self):
        return await self._counts(self._rank)


async def _abandon_while_held(group):
    """Kill a coordinator after its hold, before the group is released."""
    pace = _busy(group, gap_ms=100.0)
    task = asyncio.create_task(_step_for(_rebalancer(group, pace), group, 5_000))
    while all(rank.held_step is None for rank in group.ranks):
        await group.clock.sleep_ms(1)
    task.cancel()


@pytest.mark.parametrize("calls_wait", [False, True])
def test_a_gateway_that_starts_frees_a_group_left_held(calls_wait):
    """No stream has had an event here, so their silence alone cannot show it."""
    steps = []

    async def scenario(group):
        await _abandon_while_held(group)
        await group.clock.sleep_ms(2_000)
        steps.append(group.step)
        pace = GroupPace(clock=group.clock)
        if calls_wait:
            pace.note_begin()
        await _step_for(_rebalancer(group, pace), group, 3_000)
        steps.append(group.step)

    group = _play(scenario)
    assert steps[1] > steps[0] + 10
    assert not group.mixed


def test_calls_that_wait_long_have_the_group_looked_at():
    """The group was left held after this gateway had looked at it."""
    steps = []

    async def scenario(group):
        pace = GroupPace(clock=group.clock)
        rebalancer = _rebalancer(group, pace)
        await _step_for(rebalancer, group, 500)
        await _abandon_while_held(group)
        await group.clock.sleep_ms(1_000)
        steps.append(group.step)
        pace.note_begin()
        await _step_for(rebalancer, group, 3_000)
        steps.append(group.step)

    group = _play(scenario)
    assert steps[1] > steps[0] + 10
    assert not group.mixed
