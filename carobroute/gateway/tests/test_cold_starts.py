"""Targets that come back cold while the calls for them have doubled.

A cold target stands few calls a second and crashes at more. The bound holds for the sum
of all gateways, in touch or not.
"""

import random

import pytest

from carobroute.gateway import Dispatcher, DispatchRequest, TargetDirectory
from carobroute.gateway._cold_starts import (
    MAX_COLD_MS,
    ColdProfile,
    ColdStarts,
)
from carobroute.gateway._digests import RECENT_GATEWAYS_MS, Digest, PeerState
from carobroute.testing.gateway_data import (
    make_cold_starts,
    make_service,
    make_target_entry,
)
from carobroute.testing.limited_fleet_data import LimitedFleet
from carobroute.testing.virtual_time import VirtualClock, VirtualLoop, run_virtual
from carobroute.utils import ManualClock

PLAIN = make_service(name="orders")
# The users' bound: calls of any second at a cold target.
MAX_RATIO = 1.5
MAX_EXTRA_CALLS = 5
WINDOW_MS = 1_000.0
COLD_FROM_MS = 4_000.0
COLD_MS = 5_000.0
LIST_MS = 1_200.0
GATEWAYS = [3, 13, 35]
COLD_TARGETS = ("i-3", "i-4", "i-5")


def play(*, gateways, per_s, calls_per_s=240.0, disturb=None, loses=None, seed=1):
    """Play a fleet of six targets, half of which come back cold, and return it."""
    loop = VirtualLoop()
    clock = VirtualClock(loop=loop)
    fleets = []
    cold = [make_target_entry(incarnation=name, started_ms=2) for name in COLD_TARGETS]

    async def come_back(fleet):
        await clock.sleep_ms(COLD_FROM_MS)
        await fleet.return_cold(cold, COLD_MS, LIST_MS)

    async def main():
        fleet = LimitedFleet(
            clock=clock,
            random=random.Random(seed),
            service=PLAIN,
            gateways=gateways,
            targets=3,
            slots=6,
            digest_ms=300.0,
            run_ms=45.0,
            limit_of=lambda target, now_ms: None,
            loses=loses,
            cold_profile=ColdProfile(COLD_MS, per_s),
        )
        fleets.append(fleet)
        loop.create_task(come_back(fleet))
        if disturb is not None:
            loop.create_task(disturb(fleet))
        await fleet.run(
            COLD_FROM_MS + COLD_MS,
            lambda now_ms: calls_per_s / (2 if now_ms < COLD_FROM_MS else 1),
        )

    run_virtual(main(), loop)
    return fleets[0]


def busiest_second(fleet):
    """Return the largest number of calls of any second at a cold target."""
    most = 0
    for target in COLD_TARGETS:
        times = sorted(call.sent_ms for call in fleet.calls if call.target == target)
        for number, began_ms in enumerate(times):
            window = [t for t in times[number:] if t < began_ms + WINDOW_MS]
            most = max(most, len(window))
    return most


def count_cold_calls(fleet):
    return sum(call.target in COLD_TARGETS for call in fleet.calls)


@pytest.mark.parametrize("gateways", GATEWAYS)
@pytest.mark.parametrize("per_s", [2.0, 10.0, 34.0])
def test_a_data_centre_that_comes_back_cold_into_twice_the_load(gateways, per_s):
    fleet = play(gateways=gateways, per_s=per_s)
    assert busiest_second(fleet) <= MAX_RATIO * per_s + MAX_EXTRA_CALLS
    # The warm targets have room for all of it.
    assert all(call.target for call in fleet.calls)


@pytest.mark.parametrize("gateways", GATEWAYS)
def test_what_cold_targets_stand_is_used(gateways):
    fleet = play(gateways=gateways, per_s=10.0)
    assert count_cold_calls(fleet) >= 0.4 * 3 * 10.0 * COLD_MS / 1_000


def test_the_load_is_enough_to_break_the_bound():
    fleet = play(gateways=13, per_s=0.0)
    assert busiest_second(fleet) > MAX_RATIO * 10.0 + MAX_EXTRA_CALLS


@pytest.mark.parametrize("gateways", GATEWAYS)
@pytest.mark.parametrize("share", [0.0, 0.34])
def test_gateways_that_are_cut_off_from_their_peers_keep_to_the_bound(gateways, share):
    cut = {f"g-{number}" for number in range(max(1, round(share * gateways)))}
    is_cut = []

    async def cut_off(fleet):
        # They have known each other before.
        await fleet.clock.sleep_ms(3_000.0)
        is_cut.append(True)

    fleet = play(
        gateways=gateways,
        per_s=10.0,
        loses=lambda one, other: bool(is_cut) and (one in cut) != (other in cut),
        disturb=cut_off,
    )
    assert busiest_second(fleet) <= MAX_RATIO * 10.0 + MAX_EXTRA_CALLS


@pytest.mark.parametrize("gateways", GATEWAYS)
def test_gateways_that_freeze_and_wake_keep_to_the_bound(gateways):
    async def freeze(fleet):
        await fleet.clock.sleep_ms(COLD_FROM_MS + 800.0)
        for gateway in fleet.gateways[: max(1, gateways // 3)]:
            gateway.frozen_until_ms = fleet.clock.now_ms() + 1_500.0

    fleet = play(gateways=gateways, per_s=10.0, disturb=freeze)
    assert busiest_second(fleet) <= MAX_RATIO * 10.0 + MAX_EXTRA_CALLS


@pytest.mark.parametrize("gateways", GATEWAYS)
def test_gateways_that_restart_keep_to_the_bound(gateways):
    async def restart(fleet):
        await fleet.clock.sleep_ms(COLD_FROM_MS + LIST_MS + 300.0)
        for index in range(max(1, gateways // 3)):
            fleet.restart(index)
            for name in COLD_TARGETS:
                fleet.gateways[index].cold.note(f"{name}@2", 3_000.0, "list")
            await fleet.clock.sleep_ms(100.0)

    fleet = play(gateways=gateways, per_s=10.0, disturb=restart)
    assert busiest_second(fleet) <= MAX_RATIO * 10.0 + MAX_EXTRA_CALLS


# What is known.


def test_the_latest_end_of_any_source_counts_and_ends_by_itself():
    clock = ManualClock()
    cold = make_cold_starts(clock, ColdProfile(3_000.0, 10.0))
    cold.note("i-1@1", 3_000.0, "list")
    cold.merge({"i-1@1": 1_000.0})
    assert cold.remaining_ms("i-1@1") == 3_000.0
    cold.note("i-1@1", 5_000.0, "answer")
    assert cold.remaining_ms("i-1@1") == 5_000.0
    clock.advance_ms(5_000)
    assert cold.is_empty
    assert not cold.report()


@pytest.mark.parametrize("remaining_ms", [-1.0, 0.0, 1e308])
def test_an_odd_time_has_no_odd_effect(remaining_ms):
    cold = make_cold_starts(ManualClock(), ColdProfile(3_000.0, 10.0))
    cold.note("i-1@1", remaining_ms, "list")
    assert 0.0 <= cold.remaining_ms("i-1@1") <= MAX_COLD_MS


def test_a_gateway_without_news_lets_its_share_through():
    cold = make_cold_starts(ManualClock(), ColdProfile(3_000.0, 26.0), 1 / 13)
    cold.note("i-1@1", 3_000.0, "list")
    assert cold.limit("i-1@1") == pytest.approx(2.0)


def test_the_share_counts_gateways_that_were_heard_lately():
    clock = ManualClock()
    peers = PeerState(clock=clock, calls_expiry_ms=1_200.0, gone_after_ms=1_200.0)
    for number in range(4):
        peers.update(Digest(f"g-{number}", f"10.0.0.{number}:1", 1, {}, {}))
    assert peers.heard_share() == 1.0
    clock.advance_ms(1_300)
    peers.drop_silent()
    assert peers.heard_share() == pytest.approx(1 / 5)
    clock.advance_ms(RECENT_GATEWAYS_MS)
    assert peers.heard_share() == 1.0
    # One that has just started is not alone.
    assert peers.heard_share(3) == pytest.approx(1 / 3)


def test_digests_carry_what_is_new_and_from_time_to_time_all():
    clock = ManualClock()
    cold = make_cold_starts(clock, ColdProfile(3_000.0, 10.0))
    for number in range(25):
        cold.note(f"i-{number}@1", 5_000.0, "list")
    assert len(cold.report()) == 25
    clock.advance_ms(700)
    assert cold.report() == {}
    clock.advance_ms(400)
    assert len(cold.report()) == 25


# Guards against a target that is sent as much as before while it is slow.
async def test_a_cold_target_gets_fewer_calls_than_a_warm_one():
    clock = ManualClock()
    directory = TargetDirectory(
        clock=clock, store_outage_ms=1_500.0, lapsed_grace_ms=2_200.0
    )
    directory.update([make_target_entry(incarnation=f"i-{n}") for n in range(2)])
    cold = ColdStarts(clock=clock, find_profile=lambda run: ColdProfile(3_000.0))
    cold.note("i-0@1", 3_000.0, "list")
    dispatcher = Dispatcher(
        clock=clock,
        random=random.Random(1),
        data_centre="a",
        directory=directory,
        cold=cold,
    )
    request = DispatchRequest(
        request_id="r",
        service=PLAIN,
        priority=1,
        latency_target_ms=200.0,
        remaining_ms=1_000.0,
    )
    granted = [(await dispatcher.acquire(request)).unwrap() for _ in range(8)]
    names = [grant.target.incarnation for grant in granted]
    assert 0 < names.count("i-0") < names.count("i-1") / 2
