"""Planned layouts for skewed expert load and for slow ranks."""

import random

import pytest

from carobroute.experts import (
    PlanBounds,
    compute_imbalance,
    initial_layout,
    plan_layout,
)
from carobroute.experts._layout import compute_rank_loads

RANKS, EXPERTS, SETS = 12, 72, 4
BOUNDS = PlanBounds(max_experts=8, max_received=3)


def make_shares(seed):
    """Return Zipf-distributed shares, with the experts shuffled in each layer set."""
    rng = random.Random(seed)
    shares = []
    for _ in range(SETS):
        weights = [1.0 / rank**1.3 for rank in range(1, EXPERTS + 1)]
        rng.shuffle(weights)
        total = sum(weights)
        shares.append([weight / total for weight in weights])
    return shares


def make_initial_layout():
    return initial_layout(sets=SETS, experts=EXPERTS, ranks=RANKS)


def count_received_experts(before, after):
    return [
        len(set(new) - set(old))
        for old_set, new_set in zip(before, after, strict=True)
        for old, new in zip(old_set, new_set, strict=True)
    ]


@pytest.mark.parametrize("seed", range(10))
def test_plans_follow_changing_expert_load_within_limits(seed):
    """The popular experts change between plans; each plan starts from the previous."""
    layout = make_initial_layout()
    for step in range(5):
        shares = make_shares(100 * seed + step)
        planned = plan_layout(layout, shares, BOUNDS)
        assert compute_imbalance(planned, shares) <= 1.5
        assert compute_imbalance(planned, shares) < compute_imbalance(layout, shares)
        assert max(count_received_experts(layout, planned)) <= BOUNDS.max_received
        for experts_by_rank in planned:
            assert {e for held in experts_by_rank for e in held} == set(range(EXPERTS))
            assert max(map(len, experts_by_rank)) <= BOUNDS.max_experts
        layout = planned


def mean_rank_share(layout, shares, rank):
    """Return a rank's share of the tokens, averaged over the layer sets."""
    loads = [
        compute_rank_loads(h, s)[rank] for h, s in zip(layout, shares, strict=True)
    ]
    return sum(loads) / len(loads)


def test_even_load_leaves_layout_unchanged():
    shares = [[1 / EXPERTS] * EXPERTS for _ in range(SETS)]
    assert plan_layout(make_initial_layout(), shares, BOUNDS) == make_initial_layout()


@pytest.mark.parametrize("slowdown", [1.6, 5.0, 12.0])
def test_slow_rank_gets_fewer_tokens(slowdown):
    slowdowns = [1.0] * RANKS
    slowdowns[3] = slowdown
    shares = make_shares(1)
    layout = make_initial_layout()
    # One plan moves few experts, since each rank can receive at most three of a set.
    for _ in range(3):
        layout = plan_layout(layout, shares, BOUNDS, slowdowns)
    unaware = plan_layout(make_initial_layout(), shares, BOUNDS)
    assert compute_imbalance(layout, shares, slowdowns) < compute_imbalance(
        unaware, shares, slowdowns
    )
    assert mean_rank_share(layout, shares, 3) < mean_rank_share(unaware, shares, 3)
