"""Baseline planners, for comparison with the incremental planner."""

import numpy as np

from carobroute.placement._planning import (
    EMPTY_SLOT,
    FloatArray,
    IntArray,
    Planner,
    PlanningInput,
    place_missing_experts,
    planners,
)


@planners.register("static")
class StaticPlanner(Planner):
    """Keeps the placement; places again only the experts that have lost all copies."""

    def plan(self, state: PlanningInput) -> IntArray:
        """Return the slots of the planned placement."""
        return place_missing_experts(state)


@planners.register("full_replan")
class FullReplanPlanner(Planner):
    """Plans from scratch: replicates hot experts and places the heaviest copy first.

    References
    ----------
    R. L. Graham, "Bounds on Multiprocessing Timing Anomalies", SIAM Journal on Applied
    Mathematics 17(2), 1969.
    """

    def plan(self, state: PlanningInput) -> IntArray:
        """Return the slots of the planned placement."""
        active = state.speeds > 0
        _, ranks, slots_per_rank = state.slots.shape
        copy_count = int(active.sum()) * slots_per_rank
        copies = self._plan_copies(state.shares, copy_count, int(active.sum()))
        slots = np.full_like(state.slots, EMPTY_SLOT)
        loads = np.zeros((len(slots), ranks))
        used = np.zeros((len(slots), ranks), dtype=np.int64)
        layer = np.arange(len(slots))
        speeds = np.where(active, state.speeds, 1.0)
        copy_experts, copy_loads = self._sort_copies(state.shares, copies, copy_count)
        for position in range(copy_count):
            expert, load = copy_experts[:, position], copy_loads[:, position]
            times = (loads + load[:, None]) / speeds
            blocked = (used >= slots_per_rank) | ~active
            blocked |= (slots == expert[:, None, None]).any(axis=2)
            times = np.where(blocked, np.inf, times)
            rank = times.argmin(axis=1)
            fits = np.isfinite(times[layer, rank]) & (load >= 0)
            rows, chosen = layer[fits], rank[fits]
            slots[rows, chosen, used[rows, chosen]] = expert[fits]
            loads[rows, chosen] += load[fits]
            used[rows, chosen] += 1
        return place_missing_experts(
            PlanningInput(slots=slots, shares=state.shares, speeds=state.speeds)
        )

    def _plan_copies(
        self, shares: FloatArray, copy_count: int, max_copies: int
    ) -> IntArray:
        """Return the number of copies of each expert.

        Each spare slot goes to the expert with the highest load per copy.
        """
        copies = np.ones(shares.shape, dtype=np.int64)
        layer = np.arange(len(shares))
        for _ in range(copy_count - shares.shape[1]):
            share_per_copy = np.where(copies < max_copies, shares / copies, -1.0)
            copies[layer, share_per_copy.argmax(axis=1)] += 1
        return copies

    def _sort_copies(
        self, shares: FloatArray, copies: IntArray, copy_count: int
    ) -> tuple[IntArray, FloatArray]:
        """Return the expert and load of each copy, by decreasing load."""
        layers, experts = shares.shape
        share_per_copy = shares / copies
        copy_experts = np.zeros((layers, copy_count), dtype=np.int64)
        for layer in range(layers):
            copy_experts[layer] = np.repeat(np.arange(experts), copies[layer])[
                :copy_count
            ]
        copy_loads = np.take_along_axis(share_per_copy, copy_experts, axis=1)
        order = np.argsort(-copy_loads, axis=1, kind="stable")
        return (
            np.take_along_axis(copy_experts, order, axis=1),
            np.take_along_axis(copy_loads, order, axis=1),
        )
