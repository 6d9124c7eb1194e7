import random

from aiohttp import ClientSession, web
from returns.result import Success

from carobroute.links import Endpoint
from carobroute.placement import (
    HttpRankEngine,
    HttpWeightSource,
    PeerWeightSource,
    TrafficBudget,
    WeightMover,
    WeightObject,
    make_map,
    serve_weights,
)
from carobroute.standins._rank_group import RankGroupStandIn
from carobroute.standins._rank_state import GroupState
from carobroute.utils import Clock, content_hash

DATA = bytes(range(256)) * 8_000
WEIGHT = WeightObject(key="expert", size_bytes=len(DATA), digest=content_hash(DATA))
RATE = 1e9


class Engine:
    """A rank group of one rank behind HTTP."""

    def __init__(self, *, memory_experts=4):
        draw = random.Random(1)
        self.state = GroupState(
            ranks=1, step_ms=5.0, memory_experts=memory_experts, random=draw
        )
        stand_in = RankGroupStandIn(
            state=self.state, clock=Clock(), random=draw, load_ms=1.0
        )
        self.runner = web.AppRunner(stand_in.application(), shutdown_timeout=0.1)

    async def __aenter__(self):
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        self.url = f"http://127.0.0.1:{self.runner.addresses[0][1]}"
        return self

    async def __aexit__(self, *exc_info):
        await self.runner.cleanup()


def make_endpoint(name):
    return Endpoint(
        name=name,
        role="local",
        data_centre="suva",
        incarnation=f"{name}~1",
        clock=Clock(),
    )


async def run_load(*, memory_experts):
    """Load a map on one engine whose weights only a peer's engine holds."""
    holder, taker = make_endpoint("holder"), make_endpoint("taker")
    address = await holder.start()
    await taker.start()
    async with (
        Engine() as full,
        Engine(memory_experts=memory_experts) as empty,
        ClientSession() as session,
    ):
        own = HttpRankEngine(address=full.url, ranks=[0], owner="h")
        await own.store_weight("expert", DATA)
        source = HttpWeightSource(address=full.url, session=lambda: session)
        serve_weights(holder, source)
        mover = WeightMover(
            catalogue=lambda layer, expert: WEIGHT,
            sources=lambda: [
                PeerWeightSource(peer=lambda: taker.peer(address), name="holder")
            ],
            budget=TrafficBudget(clock=Clock(), bytes_per_s=RATE, sharers=lambda: 1),
            has=lambda key: engine.has_weight(key),
            store=lambda key, data: engine.store_weight(key, data),
        )
        engine = HttpRankEngine(address=empty.url, ranks=[0], owner="t", mover=mover)
        await engine.attach()
        result = await engine.load(make_map([[[0], [0]]], ticket=1, revision=1))
        held = await engine.has_weight("expert")
        await own.close()
        await engine.close()
    await holder.stop()
    await taker.stop()
    return result, held, mover.moved_bytes


async def test_weights_pass_from_a_peer_over_links_to_the_engine():
    result, held, moved = await run_load(memory_experts=4)
    assert isinstance(result, Success)
    assert held
    assert moved == len(DATA)


async def test_short_memory_is_found_before_any_weight_is_moved():
    result, held, moved = await run_load(memory_experts=1)
    assert "do not fit" in result.failure().detail
    assert not held
    assert moved == 0
