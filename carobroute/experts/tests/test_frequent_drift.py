"""Demand for experts that changes every few seconds, at all sizes of groups.

Between two changes, a group must get a map that serves the new demand. What takes the
time are the copies of experts, and waiting for reports that lag.
"""

import asyncio
import io
import random
import statistics

import pytest

from carobroute.domain import ExpertProfile
from carobroute.experts import (
    GroupRebalancer,
    PassTimeEstimator,
    PlanBounds,
    compute_imbalance,
    initial_layout,
    plan_layout,
)
from carobroute.experts.tests.test_rebalancer import AlwaysGrantedDuty
from carobroute.telemetry import EventLog
from carobroute.testing.drifting_group_data import (
    DriftingRankGroup,
    make_zipf_shares,
)
from carobroute.testing.virtual_time import VirtualClock, VirtualLoop, run_virtual

GAP_TARGET_MS = 120.0
DRIFT_INTERVAL_MS = 2_800.0
# Half of the drifts are served by a new map this long after the first slow pass, and
# nine tenths within the second bound.
MEDIAN_SERVED_MS = 1_200.0
MAX_SERVED_MS = 3_000.0


def make_experts(*, sets, experts, places, received, expert_mb, link_mbps):
    return ExpertProfile(
        layer_sets=sets,
        experts_per_set=experts,
        max_experts_per_rank=places,
        max_received_per_rank=received,
        expert_mb=expert_mb,
        link_mbps=link_mbps,
        work_share=0.85,
    )


# Group size, experts, and exponent of their popularity.
GROUPS = {
    "12 ranks, large experts": (
        12,
        make_experts(
            sets=3, experts=96, places=11, received=4, expert_mb=2_200.0, link_mbps=44e3
        ),
        1.0,
    ),
    "24 ranks, few places": (
        24,
        make_experts(
            sets=16, experts=96, places=5, received=2, expert_mb=420.0, link_mbps=44e3
        ),
        0.8,
    ),
    "63 ranks": (
        63,
        make_experts(
            sets=8, experts=252, places=5, received=2, expert_mb=110.0, link_mbps=180e3
        ),
        0.6,
    ),
    "129 ranks": (
        129,
        make_experts(
            sets=16, experts=258, places=3, received=2, expert_mb=54.0, link_mbps=180e3
        ),
        0.35,
    ),
}


@pytest.mark.parametrize("name", list(GROUPS))
def test_new_demand_is_served_before_it_changes_again(name):
    size, experts, exponent = GROUPS[name]
    loop = VirtualLoop()
    clock = VirtualClock(loop=loop)
    estimator = PassTimeEstimator(clock=clock)
    group = DriftingRankGroup(
        clock=clock,
        random=random.Random(5),
        size=size,
        experts=experts,
        exponent=exponent,
        drift_interval_ms=DRIFT_INTERVAL_MS,
        pass_time_estimator=estimator,
    )
    rebalancer = GroupRebalancer(
        duty=AlwaysGrantedDuty(),
        coordinator="gateway-1",
        pass_time_estimator=estimator,
        events=EventLog(name="test", stream=io.StringIO(), clock=clock),
        clock=clock,
        random=random.Random(1),
    )

    async def main():
        passes = asyncio.create_task(group.run())
        while clock.now_ms() < 9 * DRIFT_INTERVAL_MS:
            await rebalancer.check_group(group.rank_group)
            await clock.sleep_ms(50)
        passes.cancel()

    run_virtual(main(), loop)
    assert not group.simulated.mixed_passes
    served_ms = [
        measure_time_to_serve(group.passes, begin_ms, begin_ms + DRIFT_INTERVAL_MS)
        for begin_ms in group.drifts_ms[:8]
    ]
    assert statistics.median(served_ms) <= MEDIAN_SERVED_MS
    assert sorted(served_ms)[int(0.9 * len(served_ms))] <= MAX_SERVED_MS


def measure_time_to_serve(passes, begin_ms, end_ms):
    """Return the time from the first slow pass to passes well within the gap target."""
    slow_ms = None
    for start_ms, pass_ms in passes:
        if begin_ms <= start_ms < end_ms:
            if slow_ms is None and pass_ms > 0.8 * GAP_TARGET_MS:
                slow_ms = start_ms
            if slow_ms is not None and pass_ms <= 0.8 * GAP_TARGET_MS:
                return start_ms - slow_ms
    return 0.0 if slow_ms is None else end_ms - begin_ms


def test_first_copies_are_spread_over_ranks_and_sets():
    """A rank copies one expert after the other, and the group waits for the slowest."""
    size, experts, exponent = GROUPS["24 ranks, few places"]
    sets, per_set = experts.layer_sets, experts.experts_per_set
    shares = make_zipf_shares(
        random.Random(3), sets=sets, experts=per_set, exponent=exponent
    )
    layout = initial_layout(sets=sets, experts=per_set, ranks=size)
    bounds = PlanBounds(max_experts=5, max_received=2, max_copies=3)
    planned = plan_layout(layout, shares, bounds)
    received = [
        sum(
            len(set(new[rank]) - set(old[rank]))
            for old, new in zip(layout, planned, strict=True)
        )
        for rank in range(size)
    ]
    assert max(received) <= 3
    before = compute_imbalance(layout, shares)
    assert compute_imbalance(planned, shares) - 1 <= 0.3 * (before - 1)
