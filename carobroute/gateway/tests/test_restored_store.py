"""A store that comes back from an older copy, at the parts of a gateway that use it.

Versions of its rows go back and are given out again, and what was written after the
copy is gone until it is written again.
"""

import asyncio
import io
import random

import pytest

from carobroute.gateway._store_watch import FIRST_DIGESTS_MS, REWRITE_MS
from carobroute.gateway._stored_duty import DUTY_TERM_MS, StoredDuty
from carobroute.telemetry import EventLog
from carobroute.testing.row_store_data import MemoryRowStore
from carobroute.testing.shared_reads_data import (
    REVOKE_MS,
    ReadingFleet,
    StoreScenario,
    encode_configuration,
    encode_entry,
)
from carobroute.testing.virtual_time import VirtualClock, VirtualLoop, run_virtual

PROOF_MS = 4_600.0
EXPIRY_MS = 5_000.0


@pytest.fixture
def scenario():
    return StoreScenario()


def configure(scenario, version):
    scenario.store.put("op", "config", encode_configuration(version))


async def poll_for(scenario, duration_ms):
    """Watch the configuration for a time."""
    end_ms = scenario.clock.now_ms() + duration_ms
    while scenario.clock.now_ms() < end_ms:
        scenario.clock.advance_ms(await scenario.watcher.poll_once() + 1)


# Guards against a watch that goes on from a version of the store's past.
async def test_a_watch_misses_no_change_when_versions_are_given_out_again(scenario):
    configure(scenario, 4)
    copy = scenario.store.copy()
    for _ in range(5):
        scenario.store.put("other", "row", b"")
    await scenario.watcher.poll_once()
    scenario.store.restore(copy)
    configure(scenario, 9)
    for _ in range(5):
        scenario.store.put("other", "row", b"")
    for _ in range(2):
        await scenario.watcher.poll_once()
    assert scenario.active.version == 9


# Guards against keys that were taken away by a configuration that the store has lost.
async def test_an_older_configuration_proves_nothing(scenario):
    configure(scenario, 4)
    copy = scenario.store.copy()
    configure(scenario, 9)
    await poll_for(scenario, 1_000)
    scenario.store.restore(copy)
    await poll_for(scenario, PROOF_MS + 200)
    assert scenario.active.version == 9
    assert not scenario.active.accepts_keys
    configure(scenario, 9)
    await poll_for(scenario, 100)
    assert scenario.active.accepts_keys


async def test_a_store_without_a_configuration_proves_nothing(scenario):
    copy = scenario.store.copy()
    configure(scenario, 9)
    await poll_for(scenario, 1_000)
    scenario.store.restore(copy)
    await poll_for(scenario, PROOF_MS + 200)
    assert not scenario.active.accepts_keys


# A newer one may have been acknowledged after the last proof, and be lost as well.
async def test_the_configuration_of_the_copy_proves_nothing_at_first(scenario):
    configure(scenario, 4)
    await poll_for(scenario, 2_000)
    copy = scenario.store.copy()
    scenario.store.is_unavailable = True
    await poll_for(scenario, PROOF_MS + 1_000)
    assert not scenario.active.accepts_keys
    scenario.store.is_unavailable = False
    scenario.store.restore(copy)
    await poll_for(scenario, REWRITE_MS - 200)
    assert not scenario.active.accepts_keys
    # The watch that begins before the time is over is waited for.
    await poll_for(scenario, 4_000)
    assert scenario.active.accepts_keys


# Guards against seconds in which all keyed calls are refused, though nothing was lost.
async def test_keys_are_accepted_all_the_time_if_the_copy_is_current(scenario):
    configure(scenario, 4)
    await poll_for(scenario, 2_000)
    scenario.store.restore(scenario.store.copy())
    for _ in range(40):
        await scenario.watcher.poll_once()
        assert scenario.active.accepts_keys


async def test_a_configuration_that_was_written_again_is_a_proof_at_once(scenario):
    configure(scenario, 4)
    await poll_for(scenario, 2_000)
    copy = scenario.store.copy()
    scenario.store.is_unavailable = True
    await poll_for(scenario, PROOF_MS + 1_000)
    scenario.store.is_unavailable = False
    scenario.store.restore(copy)
    configure(scenario, 4)
    await poll_for(scenario, 600)
    assert scenario.active.accepts_keys


def run_fleet(scenario, size=3):
    loop = VirtualLoop()
    clock = VirtualClock(loop=loop)
    fleet = ReadingFleet(
        clock=clock, random=random.Random(4), size=size, drain_ms=4_000.0
    )

    async def main():
        running = asyncio.create_task(fleet.run())
        await clock.sleep_ms(3_000)
        await scenario(fleet)
        running.cancel()

    run_virtual(main(), loop)


# Guards against seconds in which a whole fleet refuses keyed calls after a restore.
@pytest.mark.parametrize("size", [3, 14])
@pytest.mark.parametrize("restored_after_ms", [3_000.0, 3_450.0, 3_900.0])
def test_a_fleet_accepts_keys_all_the_time_if_the_copy_is_current(
    size, restored_after_ms
):
    refusing = []

    async def scenario(fleet):
        await fleet.clock.sleep_ms(restored_after_ms)
        fleet.store.restore(fleet.store.copy())
        for _ in range(200):
            await fleet.clock.sleep_ms(50.0)
            refusing.extend(
                gateway.name
                for gateway in fleet.gateways
                if not gateway.configuration.accepts_keys
            )

    run_fleet(scenario, size=size)
    assert refusing == []


# Guards against a new gateway that serves what the store of its peers had replaced.
@pytest.mark.parametrize("hears_peers", [True, False])
def test_a_gateway_that_starts_takes_no_configuration_older_than_its_peers(hears_peers):
    async def scenario(fleet):
        copy = fleet.store.copy()
        fleet.store.put("op", "config", encode_configuration(7))
        await fleet.clock.sleep_ms(2_000)
        fleet.store.restore(copy)
        late = fleet.add_gateway("gateway-late", is_silent=not hears_peers)
        await fleet.clock.sleep_ms(FIRST_DIGESTS_MS + 500)
        for _ in range(20):
            await fleet.clock.sleep_ms(100)
            assert late.configuration.version == (-1 if hears_peers else 1)
        if not hears_peers:
            fleet.silent.clear()
            await fleet.clock.sleep_ms(REVOKE_MS / 2)
            assert not late.configuration.accepts_keys
        fleet.store.put("op", "config", encode_configuration(7))
        await fleet.clock.sleep_ms(2_000)
        assert late.configuration.version == 7
        assert late.configuration.accepts_keys

    run_fleet(scenario)


def test_a_gateway_that_starts_after_a_restore_is_ready_soon():
    async def scenario(fleet):
        fleet.store.restore(fleet.store.copy())
        await fleet.clock.sleep_ms(1_000)
        late = fleet.add_gateway("gateway-late")
        await fleet.clock.sleep_ms(1_200)
        assert late.configuration.version == 1

    run_fleet(scenario)


def test_a_gateway_that_starts_alone_after_a_restore_is_ready_soon():
    async def scenario(fleet):
        fleet.store.restore(fleet.store.copy())
        await fleet.clock.sleep_ms(1_200)
        assert fleet.gateways[0].configuration.version == 1

    run_fleet(scenario, size=1)


# Targets.


async def poll_targets(scenario, duration_ms=100):
    end_ms = scenario.clock.now_ms() + duration_ms
    while True:
        wait_ms = await scenario.poller.poll_once()
        scenario.clock.advance_ms(wait_ms)
        if scenario.clock.now_ms() >= end_ms:
            return


def list_target(scenario, name, **changes):
    scenario.store.put("servers", name, encode_entry(**changes))


def find_usable(scenario):
    targets = scenario.directory.targets("one")
    return {target.incarnation for target in targets if target.is_usable}


# Guards against calls to a target that said that it leaves.
async def test_a_target_that_leaves_is_not_taken_back(scenario):
    list_target(scenario, "i-1", born=5)
    copy = scenario.store.copy()
    list_target(scenario, "i-1", born=5, state="draining")
    await poll_targets(scenario)
    scenario.store.restore(copy)
    await poll_targets(scenario, 4_000)
    assert find_usable(scenario) == set()
    list_target(scenario, "i-1", born=9)
    await poll_targets(scenario)
    assert find_usable(scenario) == {"i-1"}


# Guards against calls to a target that is gone, at whose address another one may be.
async def test_a_target_that_is_gone_is_taken_back_only_if_it_stays_listed(scenario):
    for name in ("i-1", "i-2"):
        list_target(scenario, name, born=5)
    await poll_targets(scenario)
    copy = scenario.store.copy()
    for name in ("i-1", "i-2"):
        scenario.store.remove("servers", name)
    await poll_targets(scenario)
    scenario.store.restore(copy)
    await poll_targets(scenario, EXPIRY_MS - 1_000)
    assert find_usable(scenario) == set()
    # The store removes the entry of one that writes nothing.
    scenario.store.remove("servers", "i-1")
    await poll_targets(scenario, 2_000)
    assert find_usable(scenario) == {"i-2"}


async def test_a_target_whose_entry_had_lapsed_is_back_at_once(scenario):
    list_target(scenario, "i-1", born=5)
    await poll_targets(scenario)
    scenario.store.remove("servers", "i-1")
    await poll_targets(scenario)
    list_target(scenario, "i-1", born=5)
    await poll_targets(scenario)
    assert find_usable(scenario) == {"i-1"}


# Guards against the loss of all targets that are younger than the copy.
async def test_a_target_that_the_copy_does_not_have_gets_time_to_write_again(scenario):
    list_target(scenario, "i-1", born=5)
    copy = scenario.store.copy()
    list_target(scenario, "i-2", born=6)
    await poll_targets(scenario)
    scenario.store.restore(copy)
    await poll_targets(scenario, REWRITE_MS / 2)
    assert find_usable(scenario) == {"i-1", "i-2"}
    await poll_targets(scenario, REWRITE_MS)
    assert find_usable(scenario) == {"i-1"}


# Duties.


def make_duty(holder, store, clock):
    return StoredDuty(
        name="experts/g",
        holder=holder,
        store=store,
        events=EventLog(name=holder, stream=io.StringIO(), clock=clock),
        clock=clock,
        is_gone=lambda holder: False,
    )


@pytest.fixture
def duties(scenario):
    names = ("a", "b")
    return [make_duty(name, scenario.store, scenario.clock) for name in names]


# Guards against two coordinators of a group, whose maps then differ between ranks.
async def test_nobody_takes_a_lost_duty_while_its_holder_is_in_its_term(
    scenario, duties
):
    first, second = duties
    copy = scenario.store.copy()
    assert await first.acquire()
    scenario.clock.advance_ms(500)
    scenario.store.restore(copy)
    for _ in range(5):
        assert not await second.acquire()
        scenario.clock.advance_ms(400)
        assert first.is_held
    # The row is written again as soon as the holder looks.
    assert await first.acquire()
    scenario.clock.advance_ms(1_400)
    assert first.is_held
    assert not await second.acquire()


async def test_a_lost_duty_is_taken_once_its_holder_is_out_of_its_term(
    scenario, duties
):
    first, second = duties
    copy = scenario.store.copy()
    assert await first.acquire()
    scenario.store.restore(copy)
    assert not await second.acquire()
    scenario.clock.advance_ms(DUTY_TERM_MS)
    assert not first.is_held
    assert await second.acquire()


async def test_a_release_leaves_the_row_of_another_holder_alone(scenario, duties):
    first, second = duties
    scenario.store.put("other", "row", b"")
    copy = scenario.store.copy()
    assert await first.acquire()
    scenario.store.restore(copy)
    assert not await second.acquire()
    scenario.clock.advance_ms(DUTY_TERM_MS)
    # The version of the first holder's row is given out again.
    assert await second.acquire()
    await first.release()
    third = make_duty("c", scenario.store, scenario.clock)
    scenario.clock.advance_ms(1_000)
    assert not await third.acquire()
    assert second.is_held


class RestoringStore(MemoryRowStore):
    """Store that comes back from a copy, with another holder's row, after a read."""

    async def read(self, table, **options):
        answer = await super().read(table, **options)
        self.restore(self.copy_before)
        self.put("duties", "experts/g", b'{"holder": "c", "until_ms": 1e9}')
        return answer


async def test_a_write_that_met_another_era_gives_no_duty(scenario):
    store = RestoringStore(clock=scenario.clock)
    store.put("other", "row", b"")
    store.copy_before = store.copy()
    store.put("duties", "experts/g", b'{"holder": "b", "until_ms": 0}')
    duty = make_duty("a", store, scenario.clock)
    assert not await duty.acquire()
    assert not duty.is_held
