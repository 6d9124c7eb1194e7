import asyncio

import pytest
from returns.result import Success

from carobroute.errors import ErrorKind, fail
from carobroute.placement import (
    TrafficBudget,
    WeightFetcher,
    WeightObject,
    WeightSource,
)
from carobroute.placement._weights import PIECE_BYTES
from carobroute.testing.virtual_time import VirtualClock, VirtualLoop, run_virtual
from carobroute.utils import content_hash

DATA = bytes(range(256)) * (5 * PIECE_BYTES // 512)
WEIGHT = WeightObject(key="w", size_bytes=len(DATA), digest=content_hash(DATA))
BYTES_PER_S = 4.0 * PIECE_BYTES


class FakeSource(WeightSource):
    """Serves `data`, and fails after `fail_at` pieces."""

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


def make_fetcher(clock, sources, *, process_count=1):
    stored = {}

    async def has_weight(key):
        return key in stored

    async def store_weight(key, data):
        stored[key] = data
        return Success(None)

    weight_fetcher = WeightFetcher(
        catalogue=lambda layer, expert: WEIGHT,
        sources=lambda: sources,
        budget=TrafficBudget(
            clock=clock, bytes_per_s=BYTES_PER_S, process_count=lambda: process_count
        ),
        has_weight=has_weight,
        store_weight=store_weight,
    )
    return weight_fetcher, stored


def run(scenario):
    loop = VirtualLoop()
    return run_virtual(scenario(VirtualClock(loop=loop)), loop)


def test_next_source_resumes_where_the_cheapest_failed():
    async def scenario(clock):
        peer = FakeSource(name="peer", cost=1, fail_at=1)
        store = FakeSource(name="store", cost=10)
        weight_fetcher, stored = make_fetcher(clock, [store, peer])
        assert isinstance(await weight_fetcher.fetch([(0, 0)]), Success)
        assert peer.reads == [0]
        assert store.reads == [PIECE_BYTES, 2 * PIECE_BYTES]
        assert stored["w"] == DATA
        await weight_fetcher.fetch([(0, 0)])
        assert weight_fetcher.fetched_bytes == len(DATA)

    run(scenario)


def test_weights_with_a_wrong_hash_are_not_stored():
    async def scenario(clock):
        damaged = FakeSource(name="peer", cost=1, data=DATA[:-1] + b"x")
        weight_fetcher, stored = make_fetcher(clock, [damaged])
        assert "hash" in (await weight_fetcher.fetch([(0, 0)])).failure().detail
        assert stored == {}
        intact = FakeSource(name="store", cost=10)
        weight_fetcher, stored = make_fetcher(clock, [damaged, intact])
        assert isinstance(await weight_fetcher.fetch([(0, 0)]), Success)
        assert stored["w"] == DATA

    run(scenario)


def test_cancelled_fetch_is_resumed_by_a_later_one():
    async def scenario(clock):
        source = FakeSource(name="store", cost=1)
        weight_fetcher, stored = make_fetcher(clock, [source])
        task = asyncio.create_task(weight_fetcher.fetch([(0, 0)]))
        while not source.reads:
            await clock.sleep_ms(1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert source.reads == [0] and stored == {}
        await weight_fetcher.fetch([(0, 0)])
        assert source.reads == [0, PIECE_BYTES, 2 * PIECE_BYTES]

    run(scenario)


@pytest.mark.parametrize("process_count", [1, 4])
def test_traffic_stays_within_the_share_of_the_rate_limit(process_count):
    async def scenario(clock):
        weight_fetcher, _ = make_fetcher(
            clock, [FakeSource(name="store", cost=1)], process_count=process_count
        )
        await weight_fetcher.fetch([(0, 0)])
        return clock.now_ms()

    elapsed_ms = run(scenario)
    total_ms = 1_000 * len(DATA) / (BYTES_PER_S / process_count)
    piece_ms = 1_000 * PIECE_BYTES / (BYTES_PER_S / process_count)
    assert total_ms - piece_ms <= elapsed_ms <= total_ms + piece_ms
