"""Rebalancing of a slow group, and recovery of a group that was left held."""

import asyncio
import io
import random

import msgspec
import pytest

from carobroute.experts import (
    CoordinatorDuty,
    GroupRebalancer,
    PassTimeEstimator,
    next_version,
)
from carobroute.platform import ExpertCounts
from carobroute.telemetry import EventLog
from carobroute.testing.rank_group_data import SimulatedRank, SimulatedRankGroup
from carobroute.testing.virtual_time import VirtualClock, VirtualLoop, run_virtual


class AlwaysGrantedDuty(CoordinatorDuty):
    """Lease that is always granted, and that counts the acquisitions."""

    def __init__(self):
        self.acquisitions = 0

    @property
    def is_superseded(self):
        return False

    async def acquire(self):
        self.acquisitions += 1
        return True

    async def release(self):
        self.acquisitions = 0


def make_rebalancer(group, pass_time_estimator, duty=None, log=None):
    return GroupRebalancer(
        duty=duty or AlwaysGrantedDuty(),
        coordinator="gateway-1",
        pass_time_estimator=pass_time_estimator,
        events=EventLog(name="test", stream=log or io.StringIO(), clock=group.clock),
        clock=group.clock,
        random=random.Random(1),
    )


def run_scenario(scenario):
    loop = VirtualLoop()
    clock = VirtualClock(loop=loop)
    group = SimulatedRankGroup(clock=clock, random=random.Random(1))

    async def main():
        passes = asyncio.create_task(group.run())
        await clock.sleep_ms(1_000)
        await scenario(group)
        passes.cancel()

    run_virtual(main(), loop)
    return group


async def step_for(rebalancer, group, duration_ms):
    for _ in range(int(duration_ms / 50)):
        await rebalancer.check_group(group.rank_group)
        await group.clock.sleep_ms(50)


def make_busy_pace(group, gap_ms):
    pass_time_estimator = PassTimeEstimator(clock=group.clock)
    pass_time_estimator.note_call_begin()
    for _ in range(50):
        pass_time_estimator.note_event_gap(gap_ms)
    return pass_time_estimator


def test_fast_group_is_not_rebalanced():
    duty = AlwaysGrantedDuty()

    async def scenario(group):
        pass_time_estimator = make_busy_pace(group, gap_ms=40.0)
        rebalancer = make_rebalancer(group, pass_time_estimator, duty)
        for _ in range(20):
            pass_time_estimator.note_event_gap(40.0)
            await step_for(rebalancer, group, 100)

    group = run_scenario(scenario)
    assert duty.acquisitions == 0
    assert group.versions_by_pass[-1] == [0, 0, 0, 0]


def test_slow_group_with_one_popular_expert_gets_new_map():
    async def scenario(group):
        pass_time_estimator = make_busy_pace(group, gap_ms=100.0)
        rebalancer = make_rebalancer(group, pass_time_estimator)
        for _ in range(20):
            pass_time_estimator.note_event_gap(100.0)
            await step_for(rebalancer, group, 100)

    group = run_scenario(scenario)
    assert len(set(group.versions_by_pass[-1])) == 1
    assert group.versions_by_pass[-1][0] > 0
    assert not group.mixed_passes


def test_a_group_that_forms_anew_gets_a_map_without_a_new_count(monkeypatch):
    """Guards against slow passes with the initial map until demand is counted again."""
    counts = []

    async def count_no_choices(rank):
        counts.append(rank)

    async def scenario(group):
        pass_time_estimator = make_busy_pace(group, gap_ms=100.0)
        rebalancer = make_rebalancer(group, pass_time_estimator)
        for _ in range(20):
            pass_time_estimator.note_event_gap(100.0)
            await step_for(rebalancer, group, 100)
        await group.crash(2_000)
        assert {rank.version for rank in group.ranks} == {0}
        monkeypatch.setattr(SimulatedRank, "read_counts", count_no_choices)
        await step_for(rebalancer, group, 500)

    group = run_scenario(scenario)
    assert group.versions_by_pass[-1][0] > 0
    assert not counts
    assert not group.mixed_passes


@pytest.mark.parametrize("pass_ms", [70.0, 140.0])
def test_no_new_plan_before_last_map_is_in_use(pass_ms):
    """Until reports show the new map, a plan would start from the previous one."""
    log = io.StringIO()

    async def scenario(group):
        group.pass_ms = pass_ms
        pass_time_estimator = make_busy_pace(group, gap_ms=pass_ms)
        rebalancer = make_rebalancer(group, pass_time_estimator, log=log)
        for _ in range(60):
            pass_time_estimator.note_event_gap(pass_ms)
            await step_for(rebalancer, group, 100)

    group = run_scenario(scenario)
    (version,) = set(group.versions_by_pass[-1])
    assert version > 0
    assert f"version={version} outcome=switched" in log.getvalue()
    assert log.getvalue().count("outcome=switched") == 1
    assert "not_prepared" not in log.getvalue()


def test_rejected_plan_delays_next_count():
    """If another cause, such as a slow rank, makes passes slow, counts only cost."""
    read_times_ms = []

    async def scenario(group):
        async def read_even_counts(rank):
            read_times_ms.append(group.clock.now_ms())
            chosen = [group.step] * (2 * len(group.ranks))
            return ExpertCounts(epoch=group.epoch, step=group.step, counts=chosen)

        rank_group = group.rank_group
        ranks = [EvenlyLoadedRank(rank, read_even_counts) for rank in rank_group.ranks]
        rank_group = msgspec.structs.replace(rank_group, ranks=ranks)
        pass_time_estimator = make_busy_pace(group, gap_ms=300.0)
        rebalancer = make_rebalancer(group, pass_time_estimator)
        for _ in range(60):
            pass_time_estimator.note_event_gap(300.0)
            await rebalancer.check_group(rank_group)
            await group.clock.sleep_ms(100)

    run_scenario(scenario)
    # A plan reads the counts of two ranks twice, and there is one plan in about 2 s.
    assert len(read_times_ms) <= 8 * 4


class EvenlyLoadedRank:
    """Rank whose calls choose all experts equally often."""

    def __init__(self, rank, read_counts):
        self._rank = rank
        self._read_counts = read_counts

    def __getattr__(self, name):
        return getattr(self._rank, name)

    async def read_counts(self):
        return await self._read_counts(self._rank)


async def cancel_coordinator_while_held(group):
    """Cancel a coordinator after its hold, before it releases the group."""
    pass_time_estimator = make_busy_pace(group, gap_ms=100.0)
    task = asyncio.create_task(
        step_for(make_rebalancer(group, pass_time_estimator), group, 5_000)
    )
    while all(rank.held_step is None for rank in group.ranks):
        await group.clock.sleep_ms(1)
    task.cancel()


@pytest.mark.parametrize("has_waiting_calls", [False, True])
def test_new_gateway_frees_group_left_held(has_waiting_calls):
    """A new gateway has no streams yet whose silence could show the hold."""
    steps = []

    async def scenario(group):
        await cancel_coordinator_while_held(group)
        await group.clock.sleep_ms(2_000)
        steps.append(group.step)
        pass_time_estimator = PassTimeEstimator(clock=group.clock)
        if has_waiting_calls:
            pass_time_estimator.note_call_begin()
        await step_for(make_rebalancer(group, pass_time_estimator), group, 3_000)
        steps.append(group.step)

    group = run_scenario(scenario)
    assert steps[1] > steps[0] + 10
    assert not group.mixed_passes


def test_silent_streams_trigger_check_for_hold():
    """The group was left held after this gateway had checked it once."""
    steps = []

    async def scenario(group):
        pass_time_estimator = PassTimeEstimator(clock=group.clock)
        rebalancer = make_rebalancer(group, pass_time_estimator)
        await step_for(rebalancer, group, 500)
        await cancel_coordinator_while_held(group)
        await group.clock.sleep_ms(1_000)
        steps.append(group.step)
        pass_time_estimator.note_call_begin()
        await step_for(rebalancer, group, 3_000)
        steps.append(group.step)

    group = run_scenario(scenario)
    assert steps[1] > steps[0] + 10
    assert not group.mixed_passes


def test_map_that_another_coordinator_undid_is_planned_again():
    """Without a time limit, the group would wait forever for the map of the switch."""
    log = io.StringIO()

    async def scenario(group):
        pass_time_estimator = make_busy_pace(group, gap_ms=100.0)
        rebalancer = make_rebalancer(group, pass_time_estimator, log=log)
        while "outcome=switched" not in log.getvalue():
            await step_for(rebalancer, group, 50)
        for rank in group.ranks:
            rank.version, rank.armed, rank.prepared = 0, None, None
        for _ in range(60):
            pass_time_estimator.note_event_gap(100.0)
            await step_for(rebalancer, group, 100)

    group = run_scenario(scenario)
    assert "event=map_replaced" in log.getvalue()
    assert log.getvalue().count("outcome=switched") == 2
    assert group.versions_by_pass[-1][0] > 0
    assert not group.mixed_passes


def test_coordinators_never_use_the_same_version():
    """A coordinator that undoes its switch prepares maps beside its successor's."""
    versions = set()
    for remainder in (3, 9):
        version = 0
        for _ in range(10):
            version = next_version(version, remainder)
            assert version not in versions
            versions.add(version)


@pytest.mark.parametrize("pass_ms", [180.0, 320.0, 600.0])
def test_group_with_passes_longer_than_a_sample_gets_new_map(pass_ms):
    """A slow rank makes passes so long that a short sample counts no choice."""

    async def scenario(group):
        group.pass_ms = pass_ms
        pass_time_estimator = make_busy_pace(group, gap_ms=pass_ms)
        rebalancer = make_rebalancer(group, pass_time_estimator)
        for _ in range(40):
            pass_time_estimator.note_event_gap(pass_ms)
            await step_for(rebalancer, group, 100)

    group = run_scenario(scenario)
    assert group.versions_by_pass[-1][0] > 0
    assert not group.mixed_passes
