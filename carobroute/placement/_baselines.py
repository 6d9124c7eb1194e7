"""Planners that the product's own is measured against."""

import numpy as np

from carobroute.placement._planning import (
    EMPTY,
    FloatArray,
    IntArray,
    Planner,
    PlanningInput,
    planners,
    repair,
)


@planners.register("static")
class StaticPlanner(Planner):
    """Keeps the placement, but for experts that no rank holds any more."""

    def plan(self, given: PlanningInput) -> IntArray:
        """Return the slots wanted."""
        return repair(given)


@planners.register("full_replan")
class FullReplanPlanner(Planner):
    """Places every copy anew, the heaviest first, with replicas of hot experts.

    References
    ----------
    R. L. Graham, "Bounds on Multiprocessing Timing Anomalies", SIAM Journal on Applied
    Mathematics 17(2), 1969.
    """

    def plan(self, given: PlanningInput) -> IntArray:
        """Return the slots wanted."""
        present = given.speeds > 0
        _, ranks, slots_each = given.slots.shape
        room = int(present.sum()) * slots_each
        copies = self._copies(given.shares, room, int(present.sum()))
        slots = np.full_like(given.slots, EMPTY)
        load = np.zeros((len(slots), ranks))
        used = np.zeros((len(slots), ranks), dtype=np.int64)
        layer = np.arange(len(slots))
        speeds = np.where(present, given.speeds, 1.0)
        experts, weights = self._in_order(given.shares, copies, room)
        for turn in range(room):
            expert, weight = experts[:, turn], weights[:, turn]
            time = (load + weight[:, None]) / speeds
            blocked = (used >= slots_each) | ~present
            blocked |= (slots == expert[:, None, None]).any(axis=2)
            time = np.where(blocked, np.inf, time)
            rank = time.argmin(axis=1)
            fits = np.isfinite(time[layer, rank]) & (weight >= 0)
            rows, chosen = layer[fits], rank[fits]
            slots[rows, chosen, used[rows, chosen]] = expert[fits]
            load[rows, chosen] += weight[fits]
            used[rows, chosen] += 1
        return repair(
            PlanningInput(slots=slots, shares=given.shares, speeds=given.speeds)
        )

    def _copies(self, shares: FloatArray, room: int, present: int) -> IntArray:
        """Give each spare slot to the expert with the most tokens a copy."""
        copies = np.ones(shares.shape, dtype=np.int64)
        layer = np.arange(len(shares))
        for _ in range(room - shares.shape[1]):
            each = np.where(copies < present, shares / copies, -1.0)
            copies[layer, each.argmax(axis=1)] += 1
        return copies

    def _in_order(
        self, shares: FloatArray, copies: IntArray, room: int
    ) -> tuple[IntArray, FloatArray]:
        """Return the expert and the load of each copy, the heaviest first."""
        layers, experts = shares.shape
        each = shares / copies
        names = np.zeros((layers, room), dtype=np.int64)
        for layer in range(layers):
            names[layer] = np.repeat(np.arange(experts), copies[layer])[:room]
        weights = np.take_along_axis(each, names, axis=1)
        order = np.argsort(-weights, axis=1, kind="stable")
        return (
            np.take_along_axis(names, order, axis=1),
            np.take_along_axis(weights, order, axis=1),
        )
