"""Data centres that operators empty: what gateways know, and where calls go.

The operators' rows reach a few gateways by a watch and the others by digests. What is
known holds while the store is away, and after it has come back from an older copy.
"""

import asyncio
import random

import pytest
from returns.result import Failure, Success

from carobroute.errors import ErrorKind
from carobroute.gateway import Dispatcher, DispatchRequest, TargetDirectory
from carobroute.gateway._evacuations import (
    REWRITE_MS,
    EvacuationReport,
    Evacuations,
)
from carobroute.gateway._slot_shares import SlotShares
from carobroute.testing.gateway_data import (
    make_engine,
    make_service,
    make_target_entry,
)
from carobroute.testing.shared_reads_data import (
    ReadingFleet,
    StoreScenario,
    encode_configuration,
)
from carobroute.testing.virtual_time import VirtualClock, VirtualLoop, run_virtual
from carobroute.utils import ManualClock

MODEL = make_service(name="model", engine=make_engine())
# Time from the store's acknowledgement until no call may arrive there any more.
EVACUATE_MS = 5_000.0


@pytest.fixture
def scenario():
    scenario = StoreScenario()
    scenario.store.put("op", "config", encode_configuration(4))
    return scenario


async def poll_for(scenario, duration_ms):
    end_ms = scenario.clock.now_ms() + duration_ms
    while scenario.clock.now_ms() < end_ms:
        scenario.clock.advance_ms(await scenario.watcher.poll_once() + 1)


async def count_calls(scenario, duration_ms):
    before = scenario.store.calls
    await poll_for(scenario, duration_ms)
    return scenario.store.calls - before


# The watch of the operators' table.


# Guards against a store that is called without a pause: each watch began at the
# version of the last configuration, and so ended at once.
@pytest.mark.parametrize("key", ["evacuate/a", "note"])
async def test_another_row_of_the_operators_costs_no_further_calls(scenario, key):
    await poll_for(scenario, 2_000)
    calm = await count_calls(scenario, 60_000)
    scenario.store.put("op", key, b"{}")
    assert await count_calls(scenario, 60_000) <= calm + 3
    scenario.store.remove("op", key)
    assert await count_calls(scenario, 60_000) <= calm + 3


# Guards against a change that a watch was not told, lost behind a later one.
async def test_a_withheld_configuration_is_found_behind_a_change_of_another_row(
    scenario,
):
    await poll_for(scenario, 2_000)
    scenario.store.put("op", "config", encode_configuration(9))
    scenario.store.withheld_versions.add(scenario.store.version)
    scenario.store.put("op", "note", b"{}")
    await poll_for(scenario, 2_000)
    assert scenario.active.version == 9


async def test_evacuations_are_known_with_the_first_configuration():
    scenario = StoreScenario()
    scenario.store.put("op", "evacuate/b", b"{}")
    scenario.store.put("op", "config", encode_configuration(4))
    await scenario.watcher.poll_once()
    assert scenario.active.version == 4
    assert scenario.evacuations.data_centres == {"b"}


async def test_a_data_centre_is_emptied_taken_back_and_emptied_within_a_second(
    scenario,
):
    await poll_for(scenario, 2_000)
    for is_evacuated in (True, False, True):
        if is_evacuated:
            scenario.store.put("op", "evacuate/a", b"{}")
        else:
            scenario.store.remove("op", "evacuate/a")
        await poll_for(scenario, 300)
        assert ("a" in scenario.evacuations.data_centres) is is_evacuated


# The store goes away, or comes back without its last writes.


async def test_an_evacuation_holds_while_the_store_is_away(scenario):
    scenario.store.put("op", "evacuate/a", b"{}")
    await poll_for(scenario, 1_000)
    scenario.store.is_unavailable = True
    await poll_for(scenario, 20_000)
    assert scenario.evacuations.data_centres == {"a"}


async def test_an_evacuation_that_the_store_has_lost_holds_until_it_is_asked_again(
    scenario,
):
    await poll_for(scenario, 1_000)
    copy = scenario.store.copy()
    scenario.store.put("op", "evacuate/a", b"{}")
    await poll_for(scenario, 1_000)
    scenario.store.restore(copy)
    await poll_for(scenario, REWRITE_MS - 200)
    assert scenario.evacuations.data_centres == {"a"}
    scenario.store.put("op", "evacuate/a", b"{}")
    await poll_for(scenario, 2 * REWRITE_MS)
    assert scenario.evacuations.data_centres == {"a"}


async def test_an_evacuation_ends_if_nobody_asks_for_it_again(scenario):
    await poll_for(scenario, 1_000)
    copy = scenario.store.copy()
    scenario.store.put("op", "evacuate/a", b"{}")
    await poll_for(scenario, 1_000)
    scenario.store.restore(copy)
    await poll_for(scenario, 2 * REWRITE_MS)
    assert not scenario.evacuations.data_centres


def test_a_late_answer_changes_nothing():
    evacuations = Evacuations(clock=ManualClock())
    evacuations.apply_reading(1, 7, {"a"})
    evacuations.apply_reading(1, 5, set())
    evacuations.apply_change(6, "a", is_evacuated=False)
    evacuations.merge(EvacuationReport(1, True, 7, ["b"]))
    assert evacuations.data_centres == {"a"}


# A gateway that has missed the evacuation must not end it at its peers.
def test_a_peer_without_the_evacuation_does_not_end_it_in_a_new_era():
    clock = ManualClock()
    told, untold = Evacuations(clock=clock), Evacuations(clock=clock)
    told.apply_reading(1, 7, {"a"})
    untold.apply_reading(1, 5, set())
    for gateway in (untold, told):
        gateway.apply_reading(2, 5, set())
    told.merge(untold.report())
    untold.merge(told.report())
    assert told.data_centres == untold.data_centres == {"a"}
    clock.advance_ms(REWRITE_MS)
    untold.apply_reading(2, 6, set())
    told.merge(untold.report())
    assert not told.data_centres


# Guards against an evacuation that ends as a peer settled before it was asked again.
def test_a_settled_peer_that_is_older_does_not_end_an_evacuation():
    clock = ManualClock()
    reading, settled = Evacuations(clock=clock), Evacuations(clock=clock)
    for gateway in (reading, settled):
        gateway.apply_reading(1, 7, set())
        gateway.apply_reading(2, 5, set())
    clock.advance_ms(REWRITE_MS)
    settled.apply_reading(2, 8, set())
    reading.apply_change(9, "a", is_evacuated=True)
    reading.merge(settled.report())
    assert reading.data_centres == {"a"}
    settled.merge(reading.report())
    settled.apply_reading(2, 9, {"a"})
    reading.merge(settled.report())
    assert reading.data_centres == settled.data_centres == {"a"}


# Many gateways.


def run_fleet(play, *, size, era=1):
    loop = VirtualLoop()
    clock = VirtualClock(loop=loop)
    fleet = ReadingFleet(
        clock=clock, random=random.Random(3), size=size, drain_ms=3_000.0
    )

    fleet.store.set_era(era)

    async def main():
        running = asyncio.create_task(fleet.run())
        await clock.sleep_ms(3_000)
        await play(fleet)
        running.cancel()

    run_virtual(main(), loop)


def known_by(fleet):
    return [gateway.evacuations.data_centres for gateway in fleet.gateways]


@pytest.mark.parametrize("size", [3, 22, 35])
@pytest.mark.parametrize("era", [0, 1])
def test_all_gateways_know_in_a_fifth_of_the_time(size, era):
    # A store that names no eras answers with era 0.
    async def play(fleet):
        calls = fleet.store.calls
        fleet.store.put("op", "evacuate/a", b"{}")
        fleet.store.put("op", "evacuate/b", b"{}")
        await fleet.clock.sleep_ms(EVACUATE_MS / 5)
        assert known_by(fleet) == [{"a", "b"}] * size
        # The watches of the readers end twice; the others read nothing.
        assert fleet.store.calls - calls <= 20
        fleet.store.remove("op", "evacuate/a")
        await fleet.clock.sleep_ms(EVACUATE_MS / 5)
        assert known_by(fleet) == [{"b"}] * size

    run_fleet(play, size=size, era=era)


def test_rows_that_change_often_cost_a_bounded_number_of_calls():
    async def play(fleet):
        calls = fleet.store.calls
        await fleet.clock.sleep_ms(20_000)
        calm, calls = fleet.store.calls - calls, fleet.store.calls
        for number in range(200):
            fleet.store.put("op", "note", str(number).encode())
            await fleet.clock.sleep_ms(100)
        # Each of the three readers watches and reads twice a second at most.
        assert fleet.store.calls - calls <= calm + 3 * 2 * 2 * 20 + 6

    run_fleet(play, size=22)


@pytest.mark.parametrize("size", [3, 22, 35])
def test_gateways_that_are_cut_from_the_store_learn_it_from_peers(size):
    async def play(fleet):
        for gateway in fleet.gateways[: max(1, size // 3)]:
            gateway.store.is_cut = True
        await fleet.clock.sleep_ms(2_000)
        fleet.store.put("op", "evacuate/a", b"{}")
        await fleet.clock.sleep_ms(EVACUATE_MS / 2)
        assert known_by(fleet) == [{"a"}] * size

    run_fleet(play, size=size)


def test_a_gateway_that_starts_in_the_middle_knows_it_before_it_serves():
    async def play(fleet):
        fleet.store.put("op", "evacuate/a", b"{}")
        await fleet.clock.sleep_ms(1_000)
        starting = fleet.add_gateway("late", is_silent=True)
        while starting.configuration.table is None:
            await fleet.clock.sleep_ms(10)
        assert starting.evacuations.data_centres == {"a"}

    run_fleet(play, size=3)


# Where calls go.


def make_dispatcher(clock, *, slots=1):
    directory = TargetDirectory(
        clock=clock, store_outage_ms=1_500.0, lapsed_grace_ms=2_200.0
    )
    directory.update(
        [
            make_target_entry(
                incarnation=f"i-{name}", service="model", data_centre=name, slots=slots
            )
            for name in ("a", "b")
        ]
    )
    dispatcher = Dispatcher(
        clock=clock, random=random.Random(1), data_centre="a", directory=directory
    )
    return directory, dispatcher


def make_request(**changes):
    fields = {
        "request_id": "r",
        "service": MODEL,
        "priority": 1,
        "latency_target_ms": 400.0,
        "remaining_ms": 8_000.0,
    }
    return DispatchRequest(**{**fields, **changes})


async def test_calls_go_to_the_other_data_centre_only_and_come_back():
    directory, dispatcher = make_dispatcher(ManualClock(), slots=4)
    directory.set_evacuated(frozenset("a"))
    granted = [(await dispatcher.acquire(make_request())).unwrap() for _ in range(4)]
    assert {grant.target.incarnation for grant in granted} == {"i-b"}
    directory.set_evacuated(frozenset())
    again = await dispatcher.acquire(make_request())
    assert again.unwrap().target.incarnation == "i-a"


async def test_a_call_whose_place_was_granted_is_not_sent_there():
    directory, dispatcher = make_dispatcher(ManualClock())
    grant = (await dispatcher.acquire(make_request())).unwrap()
    directory.set_evacuated(frozenset({grant.target.entry.data_centre}))
    # It is asked right before the first byte leaves (`Exchange._send_obstacle`).
    assert not grant.target.is_usable


async def test_a_target_that_joins_an_evacuated_data_centre_gets_no_calls():
    directory, _ = make_dispatcher(ManualClock())
    directory.set_evacuated(frozenset("a"))
    late = make_target_entry(incarnation="i-late", service="model", data_centre="a")
    directory.update([late])
    assert not directory.find("i-late").is_usable


async def test_shares_of_slots_are_of_those_that_may_be_used():
    clock = ManualClock()
    directory, _ = make_dispatcher(clock, slots=4)
    shares = SlotShares(
        clock=clock,
        data_centre="a",
        name="g",
        directory=directory,
        calls_per_s=lambda: {("a", "g"): 1.0},
    )
    directory.set_evacuated(frozenset("a"))
    assert shares.own_slots("model") == {"i-b": 4}


# Guards against callers that wait for their deadline although nothing can serve them.
def test_calls_are_refused_at_once_when_all_data_centres_are_evacuated():
    loop = VirtualLoop()
    clock = VirtualClock(loop=loop)

    async def main():
        directory, dispatcher = make_dispatcher(clock)
        for _ in range(2):
            await dispatcher.acquire(make_request())
        waiting = [
            asyncio.create_task(dispatcher.acquire(make_request(may_have_run=may)))
            for may in (False, True)
        ]
        await clock.sleep_ms(10)
        began_ms = clock.now_ms()
        directory.set_evacuated(frozenset("ab"))
        dispatcher.refuse_unservable()
        answers = [await task for task in waiting]
        answers.append(await dispatcher.acquire(make_request()))
        assert clock.now_ms() - began_ms < 10
        for answer in answers:
            assert isinstance(answer, Failure)
            assert answer.failure().kind is ErrorKind.NO_TARGET
            assert answer.failure().retry_after_ms > 0

    run_virtual(main(), loop)


# A group that is down blocks calls, whatever one that is evacuated does.
async def test_an_evacuated_group_does_not_hide_the_outage_of_the_other():
    directory, dispatcher = make_dispatcher(ManualClock(), slots=4)
    directory.set_evacuated(frozenset("a"))
    dispatcher.circuit_breaker(directory.find("i-b")).note_outage()
    answers = [await dispatcher.acquire(make_request()) for _ in range(3)]
    refused = [answer for answer in answers if not isinstance(answer, Success)]
    assert len(refused) >= 2
