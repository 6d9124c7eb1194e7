"""Passing a group to another map while orders are lost, late, and coordinators die."""

import asyncio
import random

import pytest

from carobroute.experts import MapSwitch, SwitchEnd
from carobroute.platform import OrderAction, OrderResult
from carobroute.testing.rank_group_data import OrderFaults, StandInGroup
from carobroute.testing.virtual_time import VirtualClock, VirtualLoop, run_virtual

SEEDS = range(40)
# The platform's own shares of late orders are at most this.
MANY_LATE = OrderFaults(late=0.35, answer_lost=0.1)


def _attempt(group, *, version=1, ranks=None):
    return MapSwitch(
        ranks=ranks or group.ranks,
        epoch=group.epoch,
        version=version,
        layout=group.layout,
        current=group.layout,
        pass_ms=group.pass_ms,
        clock=group.clock,
    )


async def _reports(group):
    return [await rank.report() for rank in group.ranks]


def _play(scenario, *, seed=0, faults=None):
    """Run a scenario beside the group's passes; return the group."""
    loop = VirtualLoop()
    group = StandInGroup(
        clock=VirtualClock(loop=loop), random=random.Random(seed), faults=faults
    )

    async def main():
        passes = asyncio.create_task(group.run())
        await group.clock.sleep_ms(1_000)
        await scenario(group)
        # Late orders come after all else.
        await group.clock.sleep_ms(15_000)
        passes.cancel()

    run_virtual(main(), loop)
    return group


def test_a_group_switches_between_two_passes():
    ends = []

    async def scenario(group):
        ends.append(await _attempt(group).run(await _reports(group)))

    group = _play(scenario)
    assert ends == [SwitchEnd.SWITCHED]
    assert not group.mixed
    assert group.passes[-1] == [1, 1, 1, 1]


@pytest.mark.parametrize("seed", SEEDS)
def test_no_pass_has_two_maps_when_orders_are_late(seed):
    ends = []

    async def scenario(group):
        for version in (1, 11, 21):
            attempt = _attempt(group, version=version)
            ends.append(await attempt.run(await _reports(group)))
            await group.clock.sleep_ms(500)

    group = _play(scenario, seed=seed, faults=MANY_LATE)
    assert not group.mixed
    assert SwitchEnd.STUCK not in ends
    # The group still makes passes.
    assert group.step > 150


class StoppingRank:
    """Rank whose coordinator stops for good, or for a while, before an order."""

    def __init__(self, rank, gate):
        self._rank = rank
        self._gate = gate

    async def order(self, order):
        await self._gate(order)
        return await self._rank.order(order)

    async def report(self):
        return await self._rank.report()


@pytest.mark.parametrize("action", list(OrderAction))
@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("wakes", [False, True])
def test_a_successor_frees_a_group_whose_coordinator_stopped(action, seed, wakes):
    """The first coordinator stops before some order, and may wake up later."""
    ends = []

    async def scenario(group):
        woken = asyncio.Event()
        stopped = asyncio.Event()
        source = random.Random(seed)

        async def gate(order):
            if order.action is action and source.random() < 0.4 and not woken.is_set():
                stopped.set()
                await woken.wait()

        ranks = [StoppingRank(rank, gate) for rank in group.ranks]
        attempt = _attempt(group, ranks=ranks)
        first = asyncio.create_task(attempt.run(await _reports(group)))
        await group.clock.sleep_ms(3_000)
        reports = await _reports(group)
        held = any(report.held_step is not None for report in reports)
        if held:
            recovery = _attempt(group)
            if wakes:
                asyncio.get_running_loop().call_later(
                    source.uniform(0.0, 0.02), woken.set
                )
            ends.append(await recovery.recover(reports))
        if wakes:
            woken.set()
            await asyncio.wait_for(first, 60)
        else:
            first.cancel()

    group = _play(scenario, seed=seed, faults=OrderFaults(late=0.1))
    assert not group.mixed
    assert SwitchEnd.STUCK not in ends
    assert group.step > 150


@pytest.mark.parametrize("pass_ms", [20.0, 70.0])
def test_a_group_that_has_become_quick_is_held_in_time(pass_ms):
    """The smoothed time of a pass is still that of a slow rank which is gone."""
    ends = []

    async def scenario(group):
        group.pass_ms = pass_ms
        await group.clock.sleep_ms(300)
        attempt = MapSwitch(
            ranks=group.ranks,
            epoch=group.epoch,
            version=1,
            layout=group.layout,
            current=group.layout,
            pass_ms=20 * pass_ms,
            clock=group.clock,
        )
        ends.append(await attempt.run(await _reports(group)))

    group = _play(scenario)
    assert ends == [SwitchEnd.SWITCHED]
    assert not group.mixed


def test_a_late_order_to_arm_is_refused_after_undoing():
    """An armed rank would switch alone once the pass is released."""
    results = []

    async def scenario(group):
        held = []
        ranks = [StoppingRank(rank, _silence) for rank in group.ranks[:-1]]
        ranks.append(_SilentRank(group.ranks[-1], OrderAction.ARM, held))
        attempt = _attempt(group, ranks=ranks)
        assert await attempt.run(await _reports(group)) is SwitchEnd.UNDONE
        results.extend(group.ranks[-1].carry_out(order) for order in held)

    group = _play(scenario)
    assert results and set(results) == {OrderResult.REFUSED}
    assert not group.mixed
    assert group.passes[-1] == [0, 0, 0, 0]


async def _silence(order):
    return None


class _SilentRank(StoppingRank):
    """Rank that never gets the orders of one kind, but keeps them for later."""

    def __init__(self, rank, action, kept):
        super().__init__(rank, _silence)
        self._action = action
        self._kept = kept

    async def order(self, order):
        if order.action is self._action:
            self._kept.append(order)
            return OrderResult.UNANSWERED
        return await super().order(order)


class BusyPort:
    """Rank whose calls all pass through one process that makes them one by one."""

    def __init__(self, rank, process):
        self._rank = rank
        self._process = process

    async def order(self, order):
        if not await self._process.take():
            return OrderResult.UNANSWERED
        return await self._rank.order(order)

    async def report(self):
        return await self._rank.report() if await self._process.take() else None


class BusyProcess:
    """Process that spends two milliseconds on a call, and gives up after 50."""

    def __init__(self, clock):
        self._clock = clock
        self._free_ms = 0.0

    async def take(self):
        self._free_ms = max(self._free_ms, self._clock.now_ms()) + 2.0
        waited_ms = self._free_ms - self._clock.now_ms()
        await self._clock.sleep_ms(min(waited_ms, 50.0))
        return waited_ms <= 50.0


def test_a_large_group_is_switched_by_a_slow_process():
    """All calls at once would wait for the process and be taken for lost."""
    ends = []
    loop = VirtualLoop()
    clock = VirtualClock(loop=loop)
    group = StandInGroup(clock=clock, random=random.Random(1), size=63)

    async def main():
        passes = asyncio.create_task(group.run())
        await clock.sleep_ms(1_000)
        process = BusyProcess(clock)
        ranks = [BusyPort(rank, process) for rank in group.ranks]
        attempt = _attempt(group, ranks=ranks)
        reports = await _reports(group)
        began_ms = clock.now_ms()
        ends.append(await attempt.run(reports))
        ends.append(clock.now_ms() - began_ms)
        await clock.sleep_ms(1_000)
        passes.cancel()

    run_virtual(main(), loop)
    assert ends[0] is SwitchEnd.SWITCHED
    assert ends[1] < 1_500
    assert not group.mixed
