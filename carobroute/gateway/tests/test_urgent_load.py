"""Urgent and patient calls for more room than a rank group has.

Urgent calls are to be in time while their own load fits, whatever the patient ones do.
The others get the rest, and none of them starves.
"""

import random

import pytest

from carobroute.testing.gateway_data import make_engine, make_service
from carobroute.testing.gateway_fleet_data import PASS_MS, CallKind, GatewayFleet
from carobroute.testing.virtual_time import VirtualClock, VirtualLoop, run_virtual

RUN_MS = 1_500.0
URGENT = CallKind(priority=0, latency_target_ms=500.0)
USUAL = CallKind(priority=1, latency_target_ms=500.0)
PATIENT = CallKind(priority=2, latency_target_ms=1_000.0)
BURST_MS = (4_000.0, 10_000.0)
END_MS = 14_000.0
# The users' target for urgent calls whose own load fits.
MIN_IN_TIME = 0.95
# Part of the streams that may run, of all places.
STREAMS_SHARE = 0.6
# Gateways, ranks, slots of each rank, and the interval of digests at that size.
FLEETS = [
    (3, 12, 6, 24.0),
    (13, 24, 5, 144.0),
    (22, 63, 5, 252.0),
    (35, 129, 3, 300.0),
]

KNOWN_RED = pytest.mark.xfail(strict=True, reason="KNOWN-RED.txt: issue 54")


def play(fleet, *, urgent, usual, patient, silent=0):
    """Play a fleet; loads in and out of the burst are parts of its capacity."""
    gateways, ranks, slots, digest_interval_ms = fleet
    streams = STREAMS_SHARE * ranks * slots
    capacity = streams / RUN_MS * 1_000
    rng = random.Random(7)
    loop = VirtualLoop()
    clock = VirtualClock(loop=loop)
    fleets = []

    def loads(elapsed_ms):
        is_burst = BURST_MS[0] <= elapsed_ms < BURST_MS[1]
        return [load[is_burst] for load in (urgent, usual, patient)]

    def draw_kind(elapsed_ms):
        return rng.choices([URGENT, USUAL, PATIENT], loads(elapsed_ms))[0]

    async def main():
        simulated = GatewayFleet(
            clock=clock,
            random=random.Random(3),
            service=make_service(name="model", engine=make_engine(slots=slots)),
            gateways=gateways,
            ranks=ranks,
            slots=slots,
            digest_interval_ms=digest_interval_ms,
            run_ms=RUN_MS,
            streams=streams,
        )
        for gateway in simulated.gateways[:silent]:
            gateway.is_silent = True
        fleets.append(simulated)
        await simulated.run(
            END_MS, lambda elapsed_ms: capacity * sum(loads(elapsed_ms)), draw_kind
        )

    run_virtual(main(), loop)
    return fleets[0].outcomes


def share_in_time(outcomes, kind, window_ms=BURST_MS):
    arrived = [
        outcome
        for outcome in outcomes
        if outcome.priority == kind.priority
        and window_ms[0] <= outcome.began_ms < window_ms[1]
    ]
    longest_ms = kind.latency_target_ms - 2.5 * PASS_MS
    in_time = [
        outcome
        for outcome in arrived
        if outcome.waited_ms is not None and outcome.waited_ms <= longest_ms
    ]
    return len(in_time) / len(arrived)


@pytest.mark.parametrize("fleet", FLEETS, ids=str)
@pytest.mark.parametrize("factor", [1.5, 2.0, 3.0])
def test_urgent_calls_are_in_time_in_a_burst_of_patient_ones(fleet, factor):
    outcomes = play(
        fleet, urgent=(0.3, 0.3), usual=(0.2, 0.2), patient=(0.2, factor - 0.5)
    )
    assert share_in_time(outcomes, URGENT) >= MIN_IN_TIME


@pytest.mark.parametrize(
    "fleet", [pytest.param(FLEETS[0], marks=KNOWN_RED), *FLEETS[1:]], ids=str
)
def test_urgent_calls_are_in_time_in_a_burst_of_their_own_that_fits(fleet):
    outcomes = play(fleet, urgent=(0.3, 0.8), usual=(0.3, 0.3), patient=(0.2, 0.4))
    assert share_in_time(outcomes, URGENT) >= MIN_IN_TIME


@pytest.mark.parametrize("fleet", FLEETS, ids=str)
def test_all_calls_are_in_time_again_two_seconds_after_a_burst(fleet):
    outcomes = play(fleet, urgent=(0.3, 0.5), usual=(0.2, 0.6), patient=(0.1, 0.9))
    window_ms = (BURST_MS[1] + 2_000.0, END_MS)
    for kind in (URGENT, USUAL, PATIENT):
        assert share_in_time(outcomes, kind, window_ms) >= MIN_IN_TIME


@pytest.mark.parametrize("fleet", FLEETS, ids=str)
def test_the_most_urgent_calls_are_served_best(fleet):
    outcomes = play(fleet, urgent=(0.3, 0.6), usual=(0.2, 0.7), patient=(0.1, 0.7))
    shares = [share_in_time(outcomes, kind) for kind in (URGENT, USUAL, PATIENT)]
    assert shares[0] >= max(shares[1:])
