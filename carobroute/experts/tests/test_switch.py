"""Map switches with lost and late orders, and with coordinators that stop."""

import asyncio
import random

import pytest

from carobroute.experts import MapSwitch, SwitchParameters, SwitchResult
from carobroute.platform import ArmedSwitch, OrderAction, OrderResult
from carobroute.testing.rank_group_data import (
    EXPERT_COPY_MS,
    REPORT_LAG_MS,
    OrderFaults,
    SimulatedRankGroup,
)
from carobroute.testing.virtual_time import VirtualClock, VirtualLoop, run_virtual

SEEDS = range(40)
# Long enough for reports to show that the experts are being copied.
SLOW_COPY_MS = 800.0
# The platform delays at most this share of orders.
MANY_LATE_ORDERS = OrderFaults(late_share=0.35, lost_answer_share=0.1)


def make_switch(group, *, version=1, ranks=None, **changes):
    fields = {
        "ranks": ranks or group.ranks,
        "epoch": group.epoch,
        "version": version,
        "version_remainder": 0,
        "layout": group.layout,
        "current": group.layout,
        "pass_ms": group.pass_ms,
        "copy_ms": EXPERT_COPY_MS,
        "report_lag_ms": REPORT_LAG_MS,
        "clock": group.clock,
    }
    return MapSwitch(**{**fields, **changes})


async def read_reports(group):
    return [await rank.read_report() for rank in group.ranks]


def run_scenario(scenario, *, seed=0, faults=None):
    """Run a scenario while the group makes passes; return the group."""
    loop = VirtualLoop()
    group = SimulatedRankGroup(
        clock=VirtualClock(loop=loop), random=random.Random(seed), faults=faults
    )

    async def main():
        passes = asyncio.create_task(group.run())
        await group.clock.sleep_ms(1_000)
        await scenario(group)
        # Let late orders arrive.
        await group.clock.sleep_ms(15_000)
        passes.cancel()

    run_virtual(main(), loop)
    return group


def test_all_ranks_switch_between_two_passes():
    results = []

    async def scenario(group):
        results.append(await make_switch(group).run())

    group = run_scenario(scenario)
    assert results == [SwitchResult.SWITCHED]
    assert not group.mixed_passes
    assert group.versions_by_pass[-1] == [1, 1, 1, 1]


@pytest.mark.parametrize("seed", SEEDS)
def test_late_orders_do_not_mix_maps_in_a_pass(seed):
    results = []

    async def scenario(group):
        for version in (1, 11, 21):
            switch = make_switch(group, version=version)
            results.append(await switch.run())
            await group.clock.sleep_ms(500)

    group = run_scenario(scenario, seed=seed, faults=MANY_LATE_ORDERS)
    assert not group.mixed_passes
    assert SwitchResult.STUCK not in results
    # The group still makes passes.
    assert group.step > 150


class GatedRank:
    """Handle that awaits `gate` before each order, to stop the coordinator there."""

    def __init__(self, rank, gate):
        self._rank = rank
        self._gate = gate

    async def send_order(self, order):
        await self._gate(order)
        return await self._rank.send_order(order)

    async def read_report(self):
        return await self._rank.read_report()


@pytest.mark.parametrize("action", list(OrderAction))
@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("resumes", [False, True])
def test_successor_frees_group_of_stopped_coordinator(action, seed, resumes):
    """The first coordinator stops before an order, and may resume later."""
    results = []

    async def scenario(group):
        resumed = asyncio.Event()
        stopped = asyncio.Event()
        rng = random.Random(seed)

        async def gate(order):
            if order.action is action and rng.random() < 0.4 and not resumed.is_set():
                stopped.set()
                await resumed.wait()

        ranks = [GatedRank(rank, gate) for rank in group.ranks]
        switch = make_switch(group, ranks=ranks)
        first = asyncio.create_task(switch.run())
        await group.clock.sleep_ms(3_000)
        reports = await read_reports(group)
        is_held = any(report.held_step is not None for report in reports)
        if is_held:
            recovery = make_switch(group)
            if resumes:
                asyncio.get_running_loop().call_later(
                    rng.uniform(0.0, 0.02), resumed.set
                )
            results.append(await recovery.recover(reports))
        if resumes:
            resumed.set()
            await asyncio.wait_for(first, 60)
        else:
            first.cancel()

    group = run_scenario(scenario, seed=seed, faults=OrderFaults(late_share=0.1))
    assert not group.mixed_passes
    assert SwitchResult.STUCK not in results
    assert group.step > 150


@pytest.mark.parametrize("pass_ms", [20.0, 70.0])
def test_group_that_became_faster_is_held_in_time(pass_ms):
    """The smoothed pass time is still that of a slow rank that has recovered."""
    results = []

    async def scenario(group):
        group.pass_ms = pass_ms
        await group.clock.sleep_ms(300)
        switch = make_switch(group, pass_ms=20 * pass_ms)
        results.append(await switch.run())

    group = run_scenario(scenario)
    assert results == [SwitchResult.SWITCHED]
    assert not group.mixed_passes


def test_late_order_to_arm_is_refused_after_undo():
    """A rank armed after the undo would switch alone once the pass is released."""
    results = []

    async def scenario(group):
        kept_orders = []
        ranks = [GatedRank(rank, open_gate) for rank in group.ranks[:-1]]
        ranks.append(DroppingRank(group.ranks[-1], OrderAction.ARM, kept_orders))
        switch = make_switch(group, ranks=ranks)
        assert await switch.run() is SwitchResult.UNDONE
        results.extend(group.ranks[-1].carry_out(order) for order in kept_orders)

    group = run_scenario(scenario)
    assert results and set(results) == {OrderResult.REFUSED}
    assert not group.mixed_passes
    assert group.versions_by_pass[-1] == [0, 0, 0, 0]


async def open_gate(order):
    return None


class DroppingRank(GatedRank):
    """Handle that drops the orders of one action, and keeps them for a later replay."""

    def __init__(self, rank, action, kept):
        super().__init__(rank, open_gate)
        self._action = action
        self._kept = kept

    async def send_order(self, order):
        if order.action is self._action:
            self._kept.append(order)
            return OrderResult.UNANSWERED
        return await super().send_order(order)


class QueuedRank:
    """Handle whose calls are made one by one by a process that all ranks share."""

    def __init__(self, rank, process):
        self._rank = rank
        self._process = process

    async def send_order(self, order):
        if not await self._process.wait_turn():
            return OrderResult.UNANSWERED
        return await self._rank.send_order(order)

    async def read_report(self):
        return (
            await self._rank.read_report() if await self._process.wait_turn() else None
        )


class SerialProcess:
    """Process that takes 2 ms for a call, and whose calls time out after 50 ms."""

    def __init__(self, clock):
        self._clock = clock
        self._idle_from_ms = 0.0

    async def wait_turn(self):
        self._idle_from_ms = max(self._idle_from_ms, self._clock.now_ms()) + 2.0
        waited_ms = self._idle_from_ms - self._clock.now_ms()
        await self._clock.sleep_ms(min(waited_ms, 50.0))
        return waited_ms <= 50.0


def test_slow_process_switches_large_group():
    """If all calls were made at once, they would queue here until they time out."""
    results = []
    loop = VirtualLoop()
    clock = VirtualClock(loop=loop)
    group = SimulatedRankGroup(clock=clock, random=random.Random(1), size=63)

    async def main():
        passes = asyncio.create_task(group.run())
        await clock.sleep_ms(1_000)
        process = SerialProcess(clock)
        ranks = [QueuedRank(rank, process) for rank in group.ranks]
        switch = make_switch(group, ranks=ranks)
        began_ms = clock.now_ms()
        results.append(await switch.run())
        results.append(clock.now_ms() - began_ms)
        await clock.sleep_ms(1_000)
        passes.cancel()

    run_virtual(main(), loop)
    assert results[0] is SwitchResult.SWITCHED
    assert results[1] < 1_500
    assert not group.mixed_passes


def test_undo_leaves_ranks_armed_by_another_coordinator():
    """That coordinator has confirmed them, and may release the pass at any moment."""

    async def scenario(group):
        for rank in group.ranks:
            rank.armed = ArmedSwitch(99, group.step + 10_000)
        parameters = SwitchParameters(undo_timeout_ms=1_500.0)
        switch = make_switch(group, parameters=parameters)
        await switch._undo([])
        assert all(rank.armed.version == 99 for rank in group.ranks)

    run_scenario(scenario)


@pytest.mark.parametrize("action", [OrderAction.PREPARE, OrderAction.ARM])
def test_a_coordinator_that_was_replaced_leaves_the_successors_switch_alone(action):
    """It wakes from a freeze, and its undo would replace the maps that are prepared."""
    results = []

    async def scenario(group):
        resumed = asyncio.Event()
        late_orders = []

        async def gate(order):
            if order.action is action:
                await resumed.wait()
            if resumed.is_set():
                late_orders.append(order.action)

        ranks = [GatedRank(rank, gate) for rank in group.ranks]
        switch = make_switch(group, ranks=ranks, is_superseded=resumed.is_set)
        first = asyncio.create_task(switch.run())
        await group.clock.sleep_ms(3_000)
        recovery = make_switch(group, version=1)
        await recovery.recover(await read_reports(group))
        await group.clock.sleep_ms(2 * REPORT_LAG_MS)
        for rank in group.ranks:
            rank.copy_ms = SLOW_COPY_MS
        successor = make_switch(
            group, version=200_001, version_remainder=1, copy_ms=SLOW_COPY_MS
        )
        loop = asyncio.get_running_loop()
        # While the ranks copy the successor's experts.
        loop.call_later(0.05, resumed.set)
        results.append(await successor.run())
        assert await asyncio.wait_for(first, 60) is SwitchResult.SUPERSEDED
        # Each rank may have had one order on its way.
        assert len(late_orders) <= len(group.ranks)
        assert not any(a is OrderAction.DISARM for a in late_orders)

    group = run_scenario(scenario)
    assert results == [SwitchResult.SWITCHED]
    assert not group.mixed_passes
    assert group.step > 150


@pytest.mark.parametrize("action", [OrderAction.PREPARE, OrderAction.HOLD])
@pytest.mark.parametrize("later_ms", [0.0, 40.0, 120.0, 200.0, 320.0])
def test_a_rank_that_crashes_in_a_switch_leaves_no_map_behind(action, later_ms):
    """A bad part of a prompt may crash a rank at any moment of a switch."""
    results = []

    async def scenario(group):
        crashes = []

        async def crash_later():
            await group.clock.sleep_ms(later_ms)
            await group.crash(4_600.0)

        async def gate(order):
            if order.action is action and not crashes:
                crashes.append(asyncio.create_task(crash_later()))

        ranks = [GatedRank(rank, gate) for rank in group.ranks]
        began_ms = group.clock.now_ms()
        results.append(await make_switch(group, ranks=ranks).run())
        assert group.clock.now_ms() - began_ms < 10_000.0
        await crashes[0]
        assert group.epoch == 2
        await group.clock.sleep_ms(1_000)
        results.append(await make_switch(group).run())

    group = run_scenario(scenario)
    assert results[-1] is SwitchResult.SWITCHED
    assert not group.mixed_passes
    assert group.versions_by_pass[-1] == [1, 1, 1, 1]
