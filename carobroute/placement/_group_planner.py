"""Planning for one group: its estimates, its move budget and its next expert map."""

from collections.abc import Sequence

import numpy as np

from carobroute.placement._interface import PopularityReport
from carobroute.placement._map import ExpertMap, make_map, map_error
from carobroute.placement._planning import (
    PlanningInput,
    count_moved_copies,
    layers_from_slots,
    planners,
    rank_times,
    slots_from_layers,
    step_skew,
)
from carobroute.placement._popularity import PopularityEstimator
from carobroute.placement._stragglers import (
    RankHealth,
    StragglerDetector,
    StragglerParameters,
)
from carobroute.tickets import GroupObject

MS_PER_S = 1_000


class GroupPlanner:
    """Estimates the state of one group and plans its next expert map.

    Parameters
    ----------
    group : GroupObject
        The group as defined by its ticket.
    moves_per_s : float
        Rate at which the move budget grows, in expert copies a second.
    max_move_budget : float
        Maximum of the move budget, in expert copies.
    stragglers : StragglerParameters
        Thresholds of the straggler detection.
    """

    def __init__(
        self,
        *,
        group: GroupObject,
        moves_per_s: float,
        max_move_budget: float,
        stragglers: StragglerParameters,
    ):
        self.group = group
        self._moves_per_s = moves_per_s
        self._max_move_budget = max_move_budget
        self._move_budget = 0.0
        self._planner = planners.get(group.planner)(objective=group.weigh)
        self._popularity = PopularityEstimator(
            layers=group.layers, experts=group.experts
        )
        self._straggler_detector = StragglerDetector(
            ranks=group.ranks, parameters=stragglers
        )
        self._last_sequence = 0
        self._last_decision: dict[str, object] = {}

    @property
    def last_sequence(self) -> int:
        """Sequence number of the last popularity report observed."""
        return self._last_sequence

    @property
    def health(self) -> list[RankHealth]:
        """Health of each rank."""
        return self._straggler_detector.health()

    def last_decision(self) -> dict[str, object]:
        """Return the last decision and its inputs, for the log."""
        return dict(self._last_decision)

    def dump(self) -> dict[str, object]:
        """Return the state for an operator's dump."""
        return {
            "moves": round(self._move_budget, 1),
            "speeds": self._straggler_detector.speeds().round(3).tolist(),
            "health": [health.value for health in self.health],
            "lost_reports": self._popularity.lost_reports,
            "sharp_changes": self._popularity.sharp_changes,
            **self._last_decision,
        }

    def refill_move_budget(self, elapsed_ms: float) -> float:
        """Add the budget of `elapsed_ms` and return the moves that may be made now."""
        added_moves = self._moves_per_s * elapsed_ms / MS_PER_S
        self._move_budget = min(self._max_move_budget, self._move_budget + added_moves)
        return self._move_budget

    def observe_popularity(self, report: PopularityReport, now_ms: float) -> None:
        """Update the popularity estimate with a report."""
        self._last_sequence = max(self._last_sequence, report.sequence)
        self._popularity.observe(
            report.tokens, sequence=report.sequence, until_ms=now_ms
        )

    def observe_work_times(
        self, in_force: ExpertMap, work_ms: dict[int, float], now_ms: float
    ) -> None:
        """Update the straggler detection with work times under the map in force."""
        if map_error(in_force.layers, self.group):
            return
        full_speeds = np.ones(self.group.ranks)
        loads = rank_times(
            self._slots(in_force), self._popularity.shares(), full_speeds
        )
        self._straggler_detector.observe(
            work_ms=[work_ms.get(rank, 0.0) for rank in range(self.group.ranks)],
            loads=loads.sum(axis=0).tolist(),
            now_ms=now_ms,
        )

    def reset_ranks(self, ranks: Sequence[int]) -> None:
        """Discard the estimates of ranks that are being replaced."""
        for rank in ranks:
            self._straggler_detector.reset_rank(rank)

    def next_map(
        self, in_force: ExpertMap, *, ticket: int, budget_moves: float
    ) -> ExpertMap | None:
        """Return the map to switch to, or None to keep the one in force.

        A placement pinned by the ticket overrides the planner and the budget.
        """
        group = self.group
        if group.pinned is not None:
            pinned = make_map(group.pinned.layers, ticket=ticket, revision=0)
            error = map_error(pinned.layers, group)
            self._last_decision = {"decision": error or "pinned by the ticket"}
            is_newer = pinned.version > in_force.version
            return pinned if is_newer and not error else None
        before = self._slots(in_force)
        shares, speeds = (
            self._popularity.shares(),
            self._straggler_detector.planning_speeds(),
        )
        after = self._planner.plan(
            PlanningInput(
                slots=before, shares=shares, speeds=speeds, budget_moves=budget_moves
            )
        )
        moves = int(count_moved_copies(before, after, group.experts).sum())
        self._last_decision = {
            "decision": "moved" if moves else "kept",
            "moves": moves,
            "skew_before": round(step_skew(before, shares, speeds), 3),
            "skew_after": round(step_skew(after, shares, speeds), 3),
            "stragglers": int((speeds < 1).sum()),
        }
        layers = layers_from_slots(after, experts=group.experts)
        fits = not map_error(in_force.layers, group)
        if (fits and not moves) or map_error(layers, group):
            return None
        current = in_force.version
        if current.ticket >= ticket:
            ticket, revision = current.ticket, current.revision + 1
        else:
            revision = 1
        return make_map(layers, ticket=ticket, revision=revision)

    def charge_switch(self, before: ExpertMap, after: ExpertMap) -> None:
        """Deduct the moves of a decided switch from the budget."""
        if map_error(before.layers, self.group):
            return
        old, new = self._slots(before), self._slots(after)
        moves = int(count_moved_copies(old, new, self.group.experts).sum())
        self._move_budget = max(0.0, self._move_budget - moves)

    def _slots(self, expert_map: ExpertMap):
        """Return the map's slots, or round-robin slots if it does not fit the group."""
        layers = expert_map.layers
        if map_error(layers, self.group):
            layer = [[e % self.group.ranks] for e in range(self.group.experts)]
            layers = [layer for _ in range(self.group.layers)]
        return slots_from_layers(
            layers, ranks=self.group.ranks, slots_per_rank=self.group.slots_per_rank
        )
