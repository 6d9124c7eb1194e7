import numpy as np
import pytest

from carobroute.placement import (
    EMPTY,
    PlanningInput,
    initial_slots,
    layers_of,
    moved_copies,
    planners,
    slots_of,
    step_skew,
)

LAYERS, EXPERTS, RANKS, SLOTS = 3, 16, 8, 3


def make_input(*, seed=1, speeds=None, budget=float("inf")):
    draw = np.random.default_rng(seed)
    return PlanningInput(
        slots=initial_slots(layers=LAYERS, experts=EXPERTS, ranks=RANKS, slots=SLOTS),
        shares=draw.dirichlet(np.ones(EXPERTS), size=LAYERS),
        speeds=np.ones(RANKS) if speeds is None else np.asarray(speeds, float),
        budget_moves=budget,
    )


def plan(name, given, weigh="skew"):
    return planners.get(name)(weigh=weigh).plan(given)


def assert_valid(slots, given):
    """Each expert is held by a rank that takes part, and by no rank twice."""
    slots = slots[:, given.speeds > 0]
    for layer in slots:
        held = layer[layer != EMPTY]
        assert set(held.tolist()) == set(range(EXPERTS))
        for rank in layer:
            kept = rank[rank != EMPTY].tolist()
            assert len(set(kept)) == len(kept)


@pytest.mark.parametrize("name", sorted(planners))
@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("speeds", [None, [1, 1, 0, 1, 0.4, 1, 1, 1]])
def test_every_plan_holds_every_expert(name, seed, speeds):
    given = make_input(seed=seed, speeds=speeds)
    assert_valid(plan(name, given), given)


@pytest.mark.parametrize("weigh", ["skew", "cost"])
def test_incremental_lowers_skew_within_its_budget(weigh):
    given = make_input(budget=7)
    after = plan("incremental", given, weigh)
    assert moved_copies(given.slots, after, EXPERTS).sum() <= 7
    before_skew = step_skew(given.slots, given.shares, given.speeds)
    assert step_skew(after, given.shares, given.speeds) < 0.8 * before_skew


def test_cost_moves_less_than_skew():
    given = make_input()
    moved = {
        weigh: moved_copies(
            given.slots, plan("incremental", given, weigh), EXPERTS
        ).sum()
        for weigh in ("skew", "cost")
    }
    assert moved["cost"] < moved["skew"]


def test_a_wobble_of_the_estimate_moves_nothing_under_cost():
    given = make_input()
    settled = plan("incremental", given, "cost")
    wobble = given.shares * np.random.default_rng(2).uniform(0.98, 1.02, (LAYERS, 1))
    again = PlanningInput(slots=settled, shares=wobble, speeds=given.speeds)
    assert np.array_equal(plan("incremental", again, "cost"), settled)


def test_a_straggler_is_given_less():
    speeds = np.ones(RANKS)
    speeds[2] = 0.5
    given = make_input(speeds=speeds)
    after = plan("incremental", given)
    blind = plan("incremental", make_input())
    assert step_skew(after, given.shares, speeds) < 0.5 * step_skew(
        blind, given.shares, speeds
    )


def test_hot_expert_gets_replicas():
    given = make_input()
    given.shares[:] = 0.2 / (EXPERTS - 1)
    given.shares[:, 3] = 0.8
    after = plan("incremental", given)
    copies = layers_of(after, experts=EXPERTS)[0][3]
    assert len(copies) >= RANKS // 2


def test_map_and_slots_agree():
    given = make_input()
    after = plan("full_replan", given)
    layers = layers_of(after, experts=EXPERTS)
    back = slots_of(layers, ranks=RANKS, slots=SLOTS)
    assert moved_copies(after, back, EXPERTS).sum() == 0
