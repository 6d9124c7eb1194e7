import asyncio
import random

import pytest
from aiohttp import web

from carobroute.links import Endpoint
from carobroute.placement import (
    GroupRunner,
    HttpRankEngine,
    RunnerParameters,
    StragglerParameters,
    SwitchService,
    make_map,
)
from carobroute.standins._rank_group import RankGroupStandIn, popularity_weights
from carobroute.standins._rank_state import GroupState
from carobroute.testing import wait_until
from carobroute.testing._placement_data import version_key
from carobroute.tickets import (
    Configuration,
    ExpertPlacement,
    GroupObject,
    TargetObject,
    Ticket,
)
from carobroute.utils import Clock

RANKS, EXPERTS = 4, 4
FAST_DETECTION = StragglerParameters(shed_after_ms=200, half_life_ms=200)
PINNED = [[[3], [2], [1], [0]]]


def make_group_ticket(number, **group):
    targets = [
        TargetObject(
            name=f"r{index}",
            service="model",
            data_centre="suva",
            group="bell",
            ranks=[2 * index, 2 * index + 1],
        )
        for index in range(2)
    ]
    group_object = GroupObject(
        name="bell", service="model", ranks=RANKS, layers=1, experts=EXPERTS, **group
    )
    return Ticket(
        based_on=number - 1,
        token=f"t{number}",
        author="a",
        objects=[*targets, group_object] if number == 1 else [group_object],
        number=number,
    )


class HeldLease:
    """Lease that never expires."""

    fence = 1
    is_held = True


class RunnerGroup:
    """Two group runners and a stand-in rank group, all in the test's process."""

    def __init__(self):
        self.configuration = Configuration().with_ticket(make_group_ticket(1))
        self.state = GroupState(
            ranks=RANKS,
            step_ms=5.0,
            memory_experts=20,
            random=random.Random(1),
            weights=popularity_weights(EXPERTS),
        )
        self.stand_in = RankGroupStandIn(
            state=self.state,
            clock=Clock(),
            random=random.Random(1),
            load_ms=5.0,
            experts=EXPERTS,
        )
        self.addresses = {}
        self.runners = []
        self.endpoints = []
        self.engines = []

    async def start(self):
        self.web = web.AppRunner(self.stand_in.application(), shutdown_timeout=0.1)
        await self.web.setup()
        site = web.TCPSite(self.web, "127.0.0.1", 0)
        await site.start()
        url = f"http://127.0.0.1:{self.web.addresses[0][1]}"
        for name in ("r0", "r1"):
            await self._start_runner(name, url)
        for runner in self.runners:
            runner.start()

    async def _start_runner(self, name, url):
        incarnation = f"{name}~1"
        endpoint = Endpoint(
            name=name,
            role="local",
            data_centre="suva",
            incarnation=incarnation,
            clock=Clock(),
        )
        self.addresses[name] = await endpoint.start()
        ranks = self.configuration.target(name).ranks
        engine = HttpRankEngine(address=url, ranks=ranks, owner=incarnation)
        self.endpoints.append(endpoint)
        self.engines.append(engine)
        self.runners.append(
            GroupRunner(
                group="bell",
                target=name,
                service=SwitchService(endpoint=endpoint),
                endpoint=endpoint,
                engine=engine,
                configuration=lambda: self.configuration,
                link_address_of=self.addresses.__getitem__,
                incarnation=incarnation,
                clock=Clock(),
                parameters=RunnerParameters(
                    observe_ms=50, plan_ms=400, stragglers=FAST_DETECTION
                ),
            )
        )

    def apply_ticket(self, ticket):
        self.configuration = self.configuration.with_ticket(ticket)
        for runner in self.runners:
            runner.follow_ticket()

    def versions_in_force(self):
        return self.state.record[-1].versions if self.state.record else []

    async def stop(self):
        for runner in self.runners:
            await runner.stop()
        for endpoint in self.endpoints:
            await endpoint.stop()
        for engine in self.engines:
            await engine.close()
        await self.web.cleanup()


@pytest.fixture
async def group():
    group = RunnerGroup()
    await group.start()
    duty = asyncio.create_task(group.runners[0].run_duty(HeldLease()))
    yield group
    duty.cancel()
    await asyncio.gather(duty, return_exceptions=True)
    await group.stop()
    assert group.state.mixed == []


async def test_pinned_placement_overrides_the_planner(group):
    await wait_until(lambda: group.state.step > 3)
    pinned = ExpertPlacement(layers=PINNED)
    group.apply_ticket(make_group_ticket(2, pinned=pinned, slots_per_rank=2))
    wanted = [version_key(make_map(PINNED, ticket=2, revision=0).version)]
    await wait_until(lambda: group.versions_in_force() == wanted)
    step = group.state.step
    await wait_until(lambda: group.state.step > step + 150)
    assert group.versions_in_force() == wanted


async def test_planner_switches_to_a_newer_map_for_skewed_popularity(group):
    """The stand-in routes by far the most tokens to its first expert."""
    await wait_until(lambda: group.state.step > 3)
    initial = group.versions_in_force()
    await wait_until(lambda: group.versions_in_force() > initial)
    assert group.runners[0].member.in_force.version.ticket == 1


async def test_straggler_is_replaced_and_joins_with_the_map_in_force(group):
    await wait_until(lambda: group.state.step > 3)
    epoch = group.state.epoch
    attached = group.state.counts["attached"]
    group.state.ranks[3].slowness = 8.0
    await wait_until(lambda: group.state.epoch > epoch)
    step = group.state.step
    await wait_until(lambda: group.state.step > step + 5)
    assert group.state.ranks[3].slowness == 1.0
    assert group.state.counts["attached"] == attached + 1
