import asyncio
import random

import pytest
from returns.result import Success

from carobroute.placement import (
    CoordinatorParameters,
    MapVersion,
    RankMember,
    SwitchCoordinator,
)
from carobroute.placement._messages import Decide
from carobroute.standins._rank_state import GroupState
from carobroute.testing._placement_data import (
    GROUP,
    FakeNetwork,
    FakeRankEngine,
    FakeRankGroup,
    InjectedFaults,
    make_expert_map,
    version_key,
)
from carobroute.testing.virtual_time import VirtualClock, VirtualLoop, run_virtual

MEMBER_COUNT = 3
RANKS_PER_MEMBER = 2
RANKS = MEMBER_COUNT * RANKS_PER_MEMBER
STEP_MS = 20.0
TIMEOUT_S = 60
MAX_SWITCH_ATTEMPTS = 5


class GroupSimulation:
    """Members of a group over a simulated network, rank group and clock."""

    def __init__(self, *, loop, seed=1, **faults):
        self.random = random.Random(seed)
        self.clock = VirtualClock(loop=loop)
        self.faults = InjectedFaults(**faults)
        self.state = GroupState(
            ranks=RANKS, step_ms=STEP_MS, memory_experts=40, random=self.random
        )
        self.group = FakeRankGroup(state=self.state, clock=self.clock)
        self.network = FakeNetwork(
            faults=self.faults, clock=self.clock, random=self.random
        )
        self.members = {}
        self.replaced_members = []
        self.events = []
        self.step_task = None

    async def start(self):
        for index in range(MEMBER_COUNT):
            self.start_member(index)
        self.step_task = asyncio.create_task(self.group.run())
        await self.steps(3)

    def start_member(self, index, run=0):
        """Start a new incarnation of a member; the replaced one keeps running."""
        name = f"m{index}"
        ranks = range(index * RANKS_PER_MEMBER, (index + 1) * RANKS_PER_MEMBER)
        incarnation = f"{name}~{run}"
        member = RankMember(
            group=GROUP,
            name=name,
            incarnation=incarnation,
            ranks=ranks,
            engine=FakeRankEngine(
                group=self.group,
                ranks=ranks,
                owner=incarnation,
                faults=self.faults,
                random=self.random,
            ),
            peers=self.network,
            clock=self.clock,
            initial_map=lambda: make_expert_map(ranks=RANKS, revision=0),
            on_event=lambda name, **fields: self.events.append(name),
        )
        if name in self.members:
            self.replaced_members.append(self.members[name])
        self.members[name] = member
        self.network.register(member)
        member.start()
        return member

    def coordinator(self, *, fence=1, network=None):
        return SwitchCoordinator(
            group=GROUP,
            incarnation=f"c{fence}",
            fence=lambda: fence,
            is_lease_held=lambda: True,
            peers=network or self.network,
            clock=self.clock,
            parameters=CoordinatorParameters(load_ms=2_000.0, probe_ms=500.0),
        )

    async def steps(self, count):
        """Wait until the rank group has run `count` more steps."""
        target = self.state.counts["steps"] + count
        await self.until(lambda: self.state.counts["steps"] >= target)

    async def until(self, condition):
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                await self.clock.sleep_ms(1)

    def versions(self):
        return [entry.versions[0] for entry in self.state.record]


def run(scenario, **options):
    loop = VirtualLoop()
    simulation = GroupSimulation(loop=loop, **options)

    async def main():
        await simulation.start()
        await scenario(simulation)

    run_virtual(main(), loop)
    assert simulation.state.mixed == []
    assert simulation.versions() == sorted(simulation.versions())
    return simulation


def test_switch_takes_effect_in_one_step_without_a_stall():
    async def scenario(simulation):
        new_map = make_expert_map(ranks=RANKS, revision=1)
        report = (await simulation.coordinator().switch(new_map)).unwrap()
        await simulation.until(lambda: simulation.state.step > report.step)
        record = {entry.step: entry for entry in simulation.state.record}
        assert record[report.step].versions == [version_key(new_map.version)]
        assert record[report.step - 1].versions != [version_key(new_map.version)]
        assert record[report.step].waited_ms < STEP_MS

    run(scenario)


def test_old_map_stays_if_the_new_one_does_not_fit_in_memory():
    async def scenario(simulation):
        simulation.state.memory_experts = 1
        new_map = make_expert_map(ranks=RANKS, revision=1)
        result = await simulation.coordinator().switch(new_map)
        assert "do not fit" in result.failure().detail
        await simulation.steps(30)
        assert set(simulation.versions()) == {simulation.versions()[0]}

    run(scenario)


def test_maps_of_refused_loads_are_forgotten():
    async def scenario(simulation):
        simulation.state.memory_experts = 1
        for revision in range(1, 20):
            new_map = make_expert_map(ranks=RANKS, revision=revision)
            await simulation.coordinator().switch(new_map)
        await simulation.steps(60)
        assert all(len(m._map_loader._maps) <= 2 for m in simulation.members.values())

    run(scenario)


def test_members_switch_if_the_coordinator_dies_after_all_promises():
    async def scenario(simulation):
        coordinator = simulation.coordinator()
        new_map = make_expert_map(ranks=RANKS, revision=1)
        task = asyncio.create_task(coordinator.switch(new_map))
        members = simulation.members.values()
        await simulation.until(
            lambda: all(m.promise and m.promise.is_given for m in members)
        )
        task.cancel()
        await simulation.steps(40)
        assert simulation.versions()[-1] == version_key(new_map.version)
        assert "map_settlement" in simulation.events

    run(scenario)


def test_late_abort_does_not_split_settling_members():
    """After the coordinator died, its abort reaches members that are settling.

    One of them has already switched, so the others must ignore the abort.
    """

    async def scenario(simulation):
        coordinator = simulation.coordinator()
        new_map = make_expert_map(ranks=RANKS, revision=1)
        task = asyncio.create_task(coordinator.switch(new_map))
        members = list(simulation.members.values())
        await simulation.until(
            lambda: all(m.promise and m.promise.is_given for m in members)
        )
        task.cancel()
        abort = Decide(
            group=GROUP,
            epoch=members[0].epoch,
            attempt=members[0].promise.attempt,
            switch=False,
        )
        await simulation.until(lambda: any(m.promise is None for m in members))
        for member in members:
            member.on_decide(abort)
        await simulation.steps(40)
        assert simulation.versions()[-1] == version_key(new_map.version)

    run(scenario, mean_delay_ms=8.0)


def test_old_map_stays_if_the_coordinator_dies_before_all_promises():
    async def scenario(simulation):
        coordinator = simulation.coordinator()
        members = list(simulation.members.values())
        prepare_refusal = members[2]._prepare_refusal
        members[2]._prepare_refusal = lambda request: "not now"
        new_map = make_expert_map(ranks=RANKS, revision=1)
        task = asyncio.create_task(coordinator.switch(new_map))
        await simulation.until(lambda: members[0].promise and members[1].promise)
        task.cancel()
        members[2]._prepare_refusal = prepare_refusal
        await simulation.steps(40)
        assert simulation.versions()[-1] != version_key(new_map.version)

    run(scenario)


def test_replaced_member_adopts_a_switch_decided_before_it_started():
    async def scenario(simulation):
        new_map = make_expert_map(ranks=RANKS, revision=1)
        (await simulation.coordinator().switch(new_map)).unwrap()
        await simulation.until(
            lambda: any(
                m.in_force.version == new_map.version
                for m in simulation.members.values()
            )
        )
        simulation.start_member(2, run=1)
        await simulation.steps(40)
        assert simulation.versions()[-1] == version_key(new_map.version)
        assert simulation.replaced_members[0].is_retired

    run(scenario)


def test_experts_freed_by_a_late_unload_are_loaded_again():
    async def scenario(simulation):
        new_map = make_expert_map(ranks=RANKS, revision=1)
        task = asyncio.create_task(simulation.coordinator().switch(new_map))
        members = simulation.members.values()
        await simulation.until(
            lambda: all(m.promise and m.promise.is_given for m in members)
        )
        for rank in simulation.state.ranks[:RANKS_PER_MEMBER]:
            del rank.loaded[version_key(new_map.version)]
        report = (await task).unwrap()
        await simulation.until(lambda: simulation.state.step > report.step + 1)
        assert simulation.versions()[-1] == version_key(new_map.version)

    run(scenario)


def test_switch_to_a_lower_version_is_refused():
    async def scenario(simulation):
        newer = make_expert_map(ranks=RANKS, revision=5)
        report = (await simulation.coordinator().switch(newer)).unwrap()
        await simulation.until(lambda: simulation.state.step > report.step + 1)
        older = make_expert_map(ranks=RANKS, revision=4)
        assert (
            "not above"
            in (await simulation.coordinator().switch(older)).failure().detail
        )

    run(scenario)


def test_higher_version_cancels_a_load_under_way():
    async def scenario(simulation):
        for member in simulation.members.values():
            member.engine._load_ms = 5_000.0
        lower = make_expert_map(ranks=RANKS, revision=1)
        task = asyncio.create_task(simulation.coordinator().switch(lower))
        await simulation.steps(10)
        for member in simulation.members.values():
            member.engine._load_ms = 20.0
        higher = make_expert_map(ranks=RANKS, revision=9)
        report = await simulation.coordinator(fence=2).switch(higher)
        assert report.unwrap().step
        assert "is being loaded" in (await task).failure().detail or task.done()

    run(scenario)


def test_load_overridden_by_a_ticket_is_cancelled_for_good():
    async def scenario(simulation):
        for member in simulation.members.values():
            member.engine._load_ms = 5_000.0
        lower = make_expert_map(ranks=RANKS, revision=1)
        task = asyncio.create_task(simulation.coordinator().switch(lower))
        await simulation.steps(5)
        cancelled_ms = simulation.clock.now_ms()
        for member in simulation.members.values():
            member.cancel_loads_below(MapVersion(2, 0))
        assert "overridden by ticket 2" in (await task).failure().detail
        assert simulation.clock.now_ms() - cancelled_ms < 1_000
        await simulation.steps(300)
        assert set(simulation.versions()) == {simulation.versions()[0]}

    run(scenario)


@pytest.mark.parametrize("seed", [*range(8), 60, 219, 334])
def test_ranks_agree_on_the_map_and_make_progress_under_random_faults(seed):
    """Lost, late and duplicate messages, pauses, replacements and cancellations."""

    async def scenario(simulation):
        choices = simulation.random
        revision = runs = 0
        coordinators = []
        for _ in range(12):
            for fence in (1, 2):
                revision += 1
                new_map = make_expert_map(ranks=RANKS, revision=revision)
                coordinator = simulation.coordinator(fence=fence)
                coordinators.append(coordinator)
                task = asyncio.create_task(coordinator.switch(new_map))
                if choices.random() < 0.4:
                    delay_s = choices.uniform(0, 0.5)
                    loop = asyncio.get_running_loop()
                    loop.call_later(delay_s, task.cancel)
            await simulation.clock.sleep_ms(choices.uniform(0, 300))
            name = f"m{choices.randrange(MEMBER_COUNT)}"
            fault = choices.random()
            if fault < 0.3:
                simulation.network.paused.add(name)
                await simulation.clock.sleep_ms(choices.uniform(0, 500))
                simulation.network.paused.discard(name)
            elif fault < 0.6:
                runs += 1
                simulation.start_member(int(name[1:]), run=runs)
            await simulation.clock.sleep_ms(choices.uniform(0, 400))
        for coordinator in coordinators:
            await coordinator.stop()
        simulation.network.paused.clear()
        await simulation.steps(50)
        simulation.faults.message_loss = simulation.faults.order_loss = 0.0
        final = make_expert_map(ranks=RANKS, revision=revision + 1)
        coordinator = simulation.coordinator(fence=3)
        for _ in range(MAX_SWITCH_ATTEMPTS):
            report = await coordinator.switch(final)
            if isinstance(report, Success):
                break
            await simulation.steps(10)
        await simulation.until(lambda: simulation.state.step > report.unwrap().step + 1)
        assert simulation.versions()[-1] == version_key(final.version)

    run(
        scenario,
        seed=seed,
        message_loss=0.1,
        message_duplication=0.1,
        mean_delay_ms=6.0,
        order_loss=0.05,
    )


def test_version_orders_by_ticket_then_revision():
    assert MapVersion(2, 0) > MapVersion(1, 9)
    assert MapVersion(2, 1) > MapVersion(2, 0)
