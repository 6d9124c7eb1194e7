"""Many gateways that follow a few readers of the store, at bounded ages."""

import asyncio
import random

import pytest

from carobroute.gateway._shared_reads import DISTRUST_MS, StoreClock
from carobroute.testing.shared_reads_data import (
    REVOKE_MS,
    ReadingFleet,
    encode_configuration,
)
from carobroute.testing.virtual_time import VirtualClock, VirtualLoop, run_virtual
from carobroute.utils import ManualClock

DRAIN_MS = 4_000.0
CONFIGURATION_MS = 4_000.0
# Calls of all gateways to the store in a second of calm.
MAX_CALLS_PER_S = 30.0


def run_fleet(scenario, *, size=35):
    loop = VirtualLoop()
    clock = VirtualClock(loop=loop)
    fleet = ReadingFleet(
        clock=clock, random=random.Random(2), size=size, drain_ms=DRAIN_MS
    )

    async def main():
        running = asyncio.create_task(fleet.run())
        await clock.sleep_ms(3_000)
        await scenario(fleet)
        running.cancel()

    run_virtual(main(), loop)
    return fleet


def versions(fleet):
    return [gateway.configuration.table.version for gateway in fleet.gateways]


def readers(fleet):
    return [gateway for gateway in fleet.gateways if gateway.shared.is_reader]


@pytest.mark.parametrize("size", [5, 35])
def test_calls_to_the_store_do_not_grow_with_the_gateways(size):
    async def scenario(fleet):
        begin = fleet.store.calls
        for _ in range(200):
            await fleet.clock.sleep_ms(100)
            for gateway in fleet.gateways:
                assert gateway.configuration.accepts_keys
                assert gateway.directory.age_ms < DRAIN_MS - 1_000
        assert fleet.store.calls - begin <= 20 * min(MAX_CALLS_PER_S, 8.0)

    fleet = run_fleet(scenario, size=size)
    assert len(readers(fleet)) == 3


def test_a_configuration_is_in_force_everywhere_in_time():
    async def scenario(fleet):
        for version in (2, 5, 9):
            fleet.store.put("op", "config", encode_configuration(version))
            await fleet.clock.sleep_ms(CONFIGURATION_MS / 4)
            assert set(versions(fleet)) == {version}

    run_fleet(scenario)


def test_a_leaving_target_is_known_everywhere_in_time():
    async def scenario(fleet):
        fleet.store.remove("servers", "i-3")
        await fleet.clock.sleep_ms(DRAIN_MS - 1_000)
        assert all(g.directory.find("i-3") is None for g in fleet.gateways)

    run_fleet(scenario)


def test_others_read_when_the_readers_lose_the_store():
    async def scenario(fleet):
        cut = readers(fleet)
        for gateway in cut:
            gateway.store.is_cut = True
        fleet.store.put("op", "config", encode_configuration(7))
        fleet.store.remove("servers", "i-3")
        await fleet.clock.sleep_ms(DRAIN_MS)
        others = [gateway for gateway in fleet.gateways if gateway not in cut]
        assert all(g.configuration.table.version == 7 for g in others)
        assert all(g.directory.find("i-3") is None for g in others)
        assert all(g.configuration.accepts_keys for g in others)
        # Peers cannot vouch for a configuration that is not theirs any more.
        await fleet.clock.sleep_ms(REVOKE_MS - DRAIN_MS)
        assert not any(g.configuration.accepts_keys for g in cut)

    run_fleet(scenario)


def test_a_gateway_that_is_cut_from_the_store_goes_on_while_nothing_changes():
    async def scenario(fleet):
        fleet.gateways[0].store.is_cut = True
        await fleet.clock.sleep_ms(3 * REVOKE_MS)
        assert fleet.gateways[0].configuration.accepts_keys

    run_fleet(scenario)


def test_keys_are_refused_when_nobody_reaches_the_store():
    async def scenario(fleet):
        for gateway in fleet.gateways:
            gateway.store.is_cut = True
        await fleet.clock.sleep_ms(REVOKE_MS)
        assert not any(g.configuration.accepts_keys for g in fleet.gateways)

    run_fleet(scenario)


def test_a_follower_without_digests_reads_itself():
    async def scenario(fleet):
        fleet.silent.update(gateway.name for gateway in readers(fleet))
        fleet.store.put("op", "config", encode_configuration(7))
        await fleet.clock.sleep_ms(CONFIGURATION_MS)
        assert set(versions(fleet)) == {7}
        assert all(g.configuration.accepts_keys for g in fleet.gateways)

    run_fleet(scenario)


def test_a_proof_from_the_future_of_the_store_is_not_believed():
    async def scenario(fleet):
        for gateway in fleet.gateways:
            gateway.store.is_cut = True
        liar, others = fleet.gateways[0], fleet.gateways[1:]
        future_ms = fleet.clock.now_ms() + 60_000
        liar.configuration.confirm_current(future_ms, future_ms)
        await fleet.clock.sleep_ms(REVOKE_MS)
        assert not any(g.configuration.accepts_keys for g in others)

    run_fleet(scenario)


def answer(store_clock, clock, store_offset_ms, *, took_ms=4.0):
    """Note an answer of a store whose clock shows boot time minus an offset."""
    sent_ms = clock.boot_time_ms()
    clock.advance_ms(took_ms)
    store_clock.note_answer(
        sent_ms=sent_ms, store_ms=clock.boot_time_ms() - store_offset_ms
    )


@pytest.mark.parametrize("step_ms", [3_000.0, -3_000.0, 90.0, -90.0])
def test_no_date_is_taken_for_younger_after_the_stores_clock_was_set(step_ms):
    """A revoked key would be accepted on a proof that looks younger than it is."""
    clock = ManualClock(start_ms=100_000.0)
    store_clock = StoreClock(clock=clock)
    answer(store_clock, clock, 50_000.0)
    dates = []
    for _ in range(100):
        # A peer's confirmations: their true boot time, and the store's time.
        dates.append((clock.boot_time_ms(), clock.boot_time_ms() - 50_000.0))
        clock.advance_ms(50.0)
    offset_ms = 50_000.0 - step_ms
    for _ in range(60):
        answer(store_clock, clock, offset_ms)
        dates.append((clock.boot_time_ms(), clock.boot_time_ms() - offset_ms))
        for true_ms, store_ms in dates:
            converted_ms = store_clock.to_boot_ms(store_ms)
            is_old = clock.boot_time_ms() - true_ms > DISTRUST_MS
            assert is_old or converted_ms is None or converted_ms <= true_ms + 0.1
        clock.advance_ms(250.0)
    # Peers are believed again.
    assert store_clock.to_boot_ms(dates[-1][1]) is not None


def test_dates_are_not_younger_when_the_stores_clock_is_faster():
    clock = ManualClock(start_ms=100_000.0)
    store_clock = StoreClock(clock=clock)
    for number in range(2_000):
        offset_ms = 50_000.0 - 0.1 * number
        answer(store_clock, clock, offset_ms)
        true_ms = clock.boot_time_ms()
        clock.advance_ms(1_000.0)
        converted_ms = store_clock.to_boot_ms(true_ms - offset_ms)
        assert converted_ms is not None
        assert true_ms - 10.0 <= converted_ms <= true_ms + 0.1
