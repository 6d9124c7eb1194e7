import numpy as np
import pytest

from carobroute.placement import (
    EMPTY_SLOT,
    PlanningInput,
    count_moved_copies,
    initial_slots,
    layers_from_slots,
    planners,
    slots_from_layers,
    step_skew,
)

LAYERS, EXPERTS, RANKS, SLOTS = 3, 16, 8, 3


def make_input(*, seed=1, speeds=None, budget=float("inf")):
    generator = np.random.default_rng(seed)
    return PlanningInput(
        slots=initial_slots(
            layers=LAYERS, experts=EXPERTS, ranks=RANKS, slots_per_rank=SLOTS
        ),
        shares=generator.dirichlet(np.ones(EXPERTS), size=LAYERS),
        speeds=np.ones(RANKS) if speeds is None else np.asarray(speeds, float),
        budget_moves=budget,
    )


def plan(name, state, objective="skew"):
    return planners.get(name)(objective=objective).plan(state)


def assert_valid(slots, state):
    """Check that each expert is on an active rank, and on no rank twice."""
    slots = slots[:, state.speeds > 0]
    for layer in slots:
        experts = layer[layer != EMPTY_SLOT]
        assert set(experts.tolist()) == set(range(EXPERTS))
        for rank in layer:
            rank_experts = rank[rank != EMPTY_SLOT].tolist()
            assert len(set(rank_experts)) == len(rank_experts)


@pytest.mark.parametrize("name", sorted(planners))
@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("speeds", [None, [1, 1, 0, 1, 0.4, 1, 1, 1]])
def test_plan_places_each_expert_on_active_ranks(name, seed, speeds):
    state = make_input(seed=seed, speeds=speeds)
    assert_valid(plan(name, state), state)


@pytest.mark.parametrize("objective", ["skew", "cost"])
def test_incremental_plan_lowers_skew_within_the_budget(objective):
    state = make_input(budget=7)
    after = plan("incremental", state, objective)
    assert count_moved_copies(state.slots, after, EXPERTS).sum() <= 7
    before_skew = step_skew(state.slots, state.shares, state.speeds)
    assert step_skew(after, state.shares, state.speeds) < 0.8 * before_skew


def test_cost_objective_moves_fewer_copies_than_skew():
    state = make_input()
    move_counts = {
        objective: count_moved_copies(
            state.slots, plan("incremental", state, objective), EXPERTS
        ).sum()
        for objective in ("skew", "cost")
    }
    assert move_counts["cost"] < move_counts["skew"]


def test_noise_in_the_estimate_moves_no_copy_under_cost():
    state = make_input()
    planned = plan("incremental", state, "cost")
    noisy_shares = state.shares * np.random.default_rng(2).uniform(
        0.98, 1.02, (LAYERS, 1)
    )
    next_state = PlanningInput(slots=planned, shares=noisy_shares, speeds=state.speeds)
    assert np.array_equal(plan("incremental", next_state, "cost"), planned)


def test_straggler_gets_less_load():
    speeds = np.ones(RANKS)
    speeds[2] = 0.5
    state = make_input(speeds=speeds)
    after = plan("incremental", state)
    unaware = plan("incremental", make_input())
    assert step_skew(after, state.shares, speeds) < 0.5 * step_skew(
        unaware, state.shares, speeds
    )


def test_hot_expert_is_replicated():
    state = make_input()
    state.shares[:] = 0.2 / (EXPERTS - 1)
    state.shares[:, 3] = 0.8
    after = plan("incremental", state)
    copies = layers_from_slots(after, experts=EXPERTS)[0][3]
    assert len(copies) >= RANKS // 2


def test_slots_survive_conversion_to_layers_and_back():
    state = make_input()
    after = plan("full_replan", state)
    layers = layers_from_slots(after, experts=EXPERTS)
    slots = slots_from_layers(layers, ranks=RANKS, slots_per_rank=SLOTS)
    assert count_moved_copies(after, slots, EXPERTS).sum() == 0
