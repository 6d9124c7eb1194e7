"""Many gateways that choose among the same ranks, knowing each other's calls late.

If each chose the rank with the lowest known load, all would choose the same ranks:
calls would queue there while slots stand empty elsewhere.
"""

import random

import pytest

from carobroute.testing.gateway_data import make_engine, make_service
from carobroute.testing.gateway_fleet_data import GatewayFleet
from carobroute.testing.virtual_time import VirtualClock, VirtualLoop, run_virtual

# Share of calls that may wait noticeably in a rank's queue on a calm day.
MAX_LATE_SHARE = 0.03
NOTICEABLE_WAIT_MS = 150.0


def play(*, gateways, ranks, slots, calls_per_s, digest_interval_ms, run_ms=1_200.0):
    loop = VirtualLoop()
    clock = VirtualClock(loop=loop)
    fleets = []

    async def main():
        fleet = GatewayFleet(
            clock=clock,
            random=random.Random(3),
            service=make_service(name="model", engine=make_engine(slots=slots)),
            gateways=gateways,
            ranks=ranks,
            slots=slots,
            digest_interval_ms=digest_interval_ms,
            run_ms=run_ms,
        )
        fleets.append(fleet)
        await fleet.run(8_000.0, calls_per_s)

    run_virtual(main(), loop)
    return fleets[0].outcomes


@pytest.mark.parametrize(
    ("gateways", "ranks", "slots", "calls_per_s", "digest_interval_ms"),
    [(35, 129, 3, 157.0, 408.0), (16, 72, 5, 150.0, 180.0), (3, 12, 6, 28.0, 24.0)],
)
def test_calls_find_free_slots_while_there_are_some(
    gateways, ranks, slots, calls_per_s, digest_interval_ms
):
    outcomes = play(
        gateways=gateways,
        ranks=ranks,
        slots=slots,
        calls_per_s=calls_per_s,
        digest_interval_ms=digest_interval_ms,
    )
    late = [o for o in outcomes if o.rank_wait_ms > NOTICEABLE_WAIT_MS]
    refused = [o for o in outcomes if o.waited_ms is None]
    assert len(late) + len(refused) <= MAX_LATE_SHARE * len(outcomes)
