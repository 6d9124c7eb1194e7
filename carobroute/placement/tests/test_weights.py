import asyncio

import pytest
from returns.result import Success

from carobroute.errors import ErrorKind, fail
from carobroute.placement import (
    TrafficBudget,
    WeightMover,
    WeightObject,
    WeightSource,
)
from carobroute.placement._weights import PIECE_BYTES
from carobroute.testing.virtual_time import VirtualClock, VirtualLoop, run_virtual
from carobroute.utils import content_hash

DATA = bytes(range(256)) * (5 * PIECE_BYTES // 512)
WEIGHT = WeightObject(key="w", size_bytes=len(DATA), digest=content_hash(DATA))
RATE = 4.0 * PIECE_BYTES


class FakeSource(WeightSource):
    """Serves `data`, and fails once `fail_at` pieces were read."""

    def __init__(self, *, data=DATA, fail_at=None, **options):
        super().__init__(**options)
        self.data = data
        self.fail_at = fail_at
        self.reads = []

    async def read(self, key, offset, length):
        if self.fail_at is not None and len(self.reads) >= self.fail_at:
            return fail(ErrorKind.STORE_UNAVAILABLE, "gone")
        self.reads.append(offset)
        return Success(self.data[offset : offset + length])


def make_mover(clock, sources, *, sharers=1):
    stored = {}

    async def has(key):
        return key in stored

    async def store(key, data):
        stored[key] = data
        return Success(None)

    mover = WeightMover(
        catalogue=lambda layer, expert: WEIGHT,
        sources=lambda: sources,
        budget=TrafficBudget(clock=clock, bytes_per_s=RATE, sharers=lambda: sharers),
        has=has,
        store=store,
    )
    return mover, stored


def run(scenario):
    loop = VirtualLoop()
    return run_virtual(scenario(VirtualClock(loop=loop)), loop)


def test_cheapest_source_first_and_the_next_goes_on_where_it_stopped():
    async def scenario(clock):
        peer = FakeSource(name="peer", cost=1, fail_at=1)
        store = FakeSource(name="store", cost=10)
        mover, stored = make_mover(clock, [store, peer])
        assert isinstance(await mover.fetch([(0, 0)]), Success)
        assert peer.reads == [0]
        assert store.reads == [PIECE_BYTES, 2 * PIECE_BYTES]
        assert stored["w"] == DATA
        await mover.fetch([(0, 0)])
        assert mover.moved_bytes == len(DATA)

    run(scenario)


def test_damaged_weights_are_never_stored():
    async def scenario(clock):
        bad = FakeSource(name="peer", cost=1, data=DATA[:-1] + b"x")
        mover, stored = make_mover(clock, [bad])
        assert "hash" in (await mover.fetch([(0, 0)])).failure().detail
        assert stored == {}
        good = FakeSource(name="store", cost=10)
        mover, stored = make_mover(clock, [bad, good])
        assert isinstance(await mover.fetch([(0, 0)]), Success)
        assert stored["w"] == DATA

    run(scenario)


def test_a_cancelled_fetch_stops_and_a_later_one_resumes():
    async def scenario(clock):
        source = FakeSource(name="store", cost=1)
        mover, stored = make_mover(clock, [source])
        task = asyncio.create_task(mover.fetch([(0, 0)]))
        while not source.reads:
            await clock.sleep_ms(1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert source.reads == [0] and stored == {}
        await mover.fetch([(0, 0)])
        assert source.reads == [0, PIECE_BYTES, 2 * PIECE_BYTES]

    run(scenario)


@pytest.mark.parametrize("sharers", [1, 4])
def test_traffic_keeps_to_the_share_of_the_budget(sharers):
    async def scenario(clock):
        mover, _ = make_mover(
            clock, [FakeSource(name="store", cost=1)], sharers=sharers
        )
        await mover.fetch([(0, 0)])
        return clock.now_ms()

    took_ms = run(scenario)
    whole_ms = 1_000 * len(DATA) / (RATE / sharers)
    piece_ms = 1_000 * PIECE_BYTES / (RATE / sharers)
    assert whole_ms - piece_ms <= took_ms <= whole_ms + piece_ms
