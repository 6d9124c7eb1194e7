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
    Weather,
    key,
    make_expert_map,
)
from carobroute.testing.virtual_time import VirtualClock, VirtualLoop, run_virtual

MEMBERS = 3
RANKS_EACH = 2
RANKS = MEMBERS * RANKS_EACH
STEP_MS = 20.0
LIMIT_S = 60
MOST_RETRIES = 5


class World:
    """A group with its members, a network and what a test does to them."""

    def __init__(self, *, loop, seed=1, **weather):
        self.random = random.Random(seed)
        self.clock = VirtualClock(loop=loop)
        self.weather = Weather(**weather)
        self.state = GroupState(
            ranks=RANKS, step_ms=STEP_MS, memory_experts=40, random=self.random
        )
        self.group = FakeRankGroup(state=self.state, clock=self.clock)
        self.network = FakeNetwork(
            weather=self.weather, clock=self.clock, random=self.random
        )
        self.members = {}
        self.old = []
        self.events = []
        self.stepping = None

    async def begin(self):
        for index in range(MEMBERS):
            self.place(index)
        self.stepping = asyncio.create_task(self.group.run())
        await self.steps(3)

    def place(self, index, run=0):
        """Start a new incarnation of a member; the one before stays as it was."""
        name = f"m{index}"
        ranks = range(index * RANKS_EACH, (index + 1) * RANKS_EACH)
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
                weather=self.weather,
                random=self.random,
            ),
            peers=self.network,
            clock=self.clock,
            initial=lambda: make_expert_map(ranks=RANKS, revision=0),
            on_event=lambda name, **fields: self.events.append(name),
        )
        if name in self.members:
            self.old.append(self.members[name])
        self.members[name] = member
        self.network.place(member)
        member.start()
        return member

    def coordinator(self, *, fence=1, network=None):
        return SwitchCoordinator(
            group=GROUP,
            incarnation=f"c{fence}",
            fence=lambda: fence,
            may_act=lambda: True,
            peers=network or self.network,
            clock=self.clock,
            parameters=CoordinatorParameters(load_ms=2_000.0, probe_ms=500.0),
        )

    async def steps(self, count):
        """Wait until the group has run `count` more steps."""
        target = self.state.counts["steps"] + count
        await self.until(lambda: self.state.counts["steps"] >= target)

    async def until(self, condition):
        async with asyncio.timeout(LIMIT_S):
            while not condition():
                await self.clock.sleep_ms(1)

    def versions(self):
        return [entry.versions[0] for entry in self.state.record]


def run(scenario, **options):
    loop = VirtualLoop()
    world = World(loop=loop, **options)

    async def main():
        await world.begin()
        await scenario(world)

    run_virtual(main(), loop)
    assert world.state.mixed == []
    assert world.versions() == sorted(world.versions())
    return world


def test_switch_takes_effect_in_one_step_without_a_stall():
    async def scenario(world):
        wanted = make_expert_map(ranks=RANKS, revision=1)
        report = (await world.coordinator().switch(wanted)).unwrap()
        await world.until(lambda: world.state.step > report.step)
        record = {entry.step: entry for entry in world.state.record}
        assert record[report.step].versions == [key(wanted.version)]
        assert record[report.step - 1].versions != [key(wanted.version)]
        assert record[report.step].waited_ms < STEP_MS

    run(scenario)


def test_refusal_of_one_member_aborts():
    async def scenario(world):
        world.state.memory_experts = 1
        wanted = make_expert_map(ranks=RANKS, revision=1)
        result = await world.coordinator().switch(wanted)
        assert "do not fit" in result.failure().detail
        await world.steps(30)
        assert set(world.versions()) == {world.versions()[0]}

    run(scenario)


def test_refused_loads_leave_nothing_behind():
    async def scenario(world):
        world.state.memory_experts = 1
        for revision in range(1, 20):
            wanted = make_expert_map(ranks=RANKS, revision=revision)
            await world.coordinator().switch(wanted)
        await world.steps(60)
        assert all(len(m._map_loader._maps) <= 2 for m in world.members.values())

    run(scenario)


def test_members_settle_when_the_coordinator_dies_after_the_promises():
    async def scenario(world):
        coordinator = world.coordinator()
        wanted = make_expert_map(ranks=RANKS, revision=1)
        task = asyncio.create_task(coordinator.switch(wanted))
        members = world.members.values()
        await world.until(
            lambda: all(m.promise and m.promise.is_given for m in members)
        )
        task.cancel()
        await world.steps(40)
        assert world.versions()[-1] == key(wanted.version)
        assert "map_settlement" in world.events

    run(scenario)


def test_abort_sent_before_the_coordinator_died_binds_no_settling_member():
    """An abort that arrives late must not split the members."""

    async def scenario(world):
        coordinator = world.coordinator()
        wanted = make_expert_map(ranks=RANKS, revision=1)
        task = asyncio.create_task(coordinator.switch(wanted))
        members = list(world.members.values())
        await world.until(
            lambda: all(m.promise and m.promise.is_given for m in members)
        )
        task.cancel()
        abort = Decide(
            group=GROUP,
            epoch=members[0].epoch,
            attempt=members[0].promise.attempt,
            switch=False,
        )
        await world.until(lambda: any(m.promise is None for m in members))
        for member in members:
            member.on_decide(abort)
        await world.steps(40)
        assert world.versions()[-1] == key(wanted.version)

    run(scenario, delay_ms=8.0)


def test_old_map_stays_when_one_never_promised_and_the_coordinator_dies():
    async def scenario(world):
        coordinator = world.coordinator()
        members = list(world.members.values())
        refusal_reason = members[2]._prepare_refusal
        members[2]._prepare_refusal = lambda entry: "not now"
        wanted = make_expert_map(ranks=RANKS, revision=1)
        task = asyncio.create_task(coordinator.switch(wanted))
        await world.until(lambda: members[0].promise and members[1].promise)
        task.cancel()
        members[2]._prepare_refusal = refusal_reason
        await world.steps(40)
        assert world.versions()[-1] != key(wanted.version)

    run(scenario)


def test_replaced_member_follows_a_decision_it_never_heard():
    async def scenario(world):
        wanted = make_expert_map(ranks=RANKS, revision=1)
        (await world.coordinator().switch(wanted)).unwrap()
        await world.until(
            lambda: any(
                m.in_force.version == wanted.version for m in world.members.values()
            )
        )
        world.place(2, run=1)
        await world.steps(40)
        assert world.versions()[-1] == key(wanted.version)
        assert world.old[0].is_retired

    run(scenario)


def test_experts_freed_by_a_late_unload_are_loaded_again():
    async def scenario(world):
        wanted = make_expert_map(ranks=RANKS, revision=1)
        task = asyncio.create_task(world.coordinator().switch(wanted))
        members = world.members.values()
        await world.until(
            lambda: all(m.promise and m.promise.is_given for m in members)
        )
        for rank in world.state.ranks[:RANKS_EACH]:
            del rank.loaded[key(wanted.version)]
        report = (await task).unwrap()
        await world.until(lambda: world.state.step > report.step + 1)
        assert world.versions()[-1] == key(wanted.version)

    run(scenario)


def test_lower_version_is_refused():
    async def scenario(world):
        newer = make_expert_map(ranks=RANKS, revision=5)
        report = (await world.coordinator().switch(newer)).unwrap()
        await world.until(lambda: world.state.step > report.step + 1)
        older = make_expert_map(ranks=RANKS, revision=4)
        assert "not above" in (await world.coordinator().switch(older)).failure().detail

    run(scenario)


def test_higher_version_stops_a_load_under_way():
    async def scenario(world):
        for member in world.members.values():
            member.engine._load_ms = 5_000.0
        first = make_expert_map(ranks=RANKS, revision=1)
        task = asyncio.create_task(world.coordinator().switch(first))
        await world.steps(10)
        for member in world.members.values():
            member.engine._load_ms = 20.0
        ticket = make_expert_map(ranks=RANKS, revision=9)
        report = await world.coordinator(fence=2).switch(ticket)
        assert report.unwrap().step
        assert "is being loaded" in (await task).failure().detail or task.done()

    run(scenario)


def test_ticket_stops_a_load_and_no_coordinator_begins_it_again():
    async def scenario(world):
        for member in world.members.values():
            member.engine._load_ms = 5_000.0
        first = make_expert_map(ranks=RANKS, revision=1)
        task = asyncio.create_task(world.coordinator().switch(first))
        await world.steps(5)
        began = world.clock.now_ms()
        for member in world.members.values():
            member.cancel_loads_below(MapVersion(2, 0))
        assert "overridden by ticket 2" in (await task).failure().detail
        assert world.clock.now_ms() - began < 1_000
        await world.steps(300)
        assert set(world.versions()) == {world.versions()[0]}

    run(scenario)


@pytest.mark.parametrize("seed", [*range(8), 60, 219, 334])
def test_one_map_and_no_hang_under_random_faults(seed):
    """Loss, delay, duplicates, pauses, replacements and lost coordinators."""

    async def scenario(world):
        choose = world.random
        revision = runs = 0
        coordinators = []
        for _ in range(12):
            for fence in (1, 2):
                revision += 1
                wanted = make_expert_map(ranks=RANKS, revision=revision)
                coordinator = world.coordinator(fence=fence)
                coordinators.append(coordinator)
                task = asyncio.create_task(coordinator.switch(wanted))
                if choose.random() < 0.4:
                    delay_s = choose.uniform(0, 0.5)
                    loop = asyncio.get_running_loop()
                    loop.call_later(delay_s, task.cancel)
            await world.clock.sleep_ms(choose.uniform(0, 300))
            name = f"m{choose.randrange(MEMBERS)}"
            fault = choose.random()
            if fault < 0.3:
                world.network.paused.add(name)
                await world.clock.sleep_ms(choose.uniform(0, 500))
                world.network.paused.discard(name)
            elif fault < 0.6:
                runs += 1
                world.place(int(name[1:]), run=runs)
            await world.clock.sleep_ms(choose.uniform(0, 400))
        for coordinator in coordinators:
            await coordinator.stop()
        world.network.paused.clear()
        await world.steps(50)
        world.weather.loss = world.weather.order_loss = 0.0
        final = make_expert_map(ranks=RANKS, revision=revision + 1)
        coordinator = world.coordinator(fence=3)
        for _ in range(MOST_RETRIES):
            report = await coordinator.switch(final)
            if isinstance(report, Success):
                break
            await world.steps(10)
        await world.until(lambda: world.state.step > report.unwrap().step + 1)
        assert world.versions()[-1] == key(final.version)

    run(
        scenario,
        seed=seed,
        loss=0.1,
        duplicates=0.1,
        delay_ms=6.0,
        order_loss=0.05,
    )


def test_version_orders_by_ticket_then_revision():
    assert MapVersion(2, 0) > MapVersion(1, 9)
    assert MapVersion(2, 1) > MapVersion(2, 0)
