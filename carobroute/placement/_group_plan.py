"""What the planning duty knows about one group, and the next map that follows."""

from collections.abc import Sequence

import numpy as np

from carobroute.placement._interface import PopularityReport
from carobroute.placement._map import ExpertMap, make_map, map_error
from carobroute.placement._planning import (
    PlanningInput,
    layers_from_slots,
    moved_copies,
    planners,
    rank_times,
    slots_from_layers,
    step_skew,
)
from carobroute.placement._popularity import Popularity
from carobroute.placement._stragglers import (
    RankHealth,
    StragglerParameters,
    StragglerWatch,
)
from carobroute.tickets import GroupObject

MS_PER_S = 1_000


class GroupPlan:
    """Estimates for one group and the decisions made from them.

    Parameters
    ----------
    group : GroupObject
        The group as its ticket describes it.
    moves_per_s : float
        Expert copies a second that the group may load, on average.
    most_moves : float
        Expert copies that may be saved up.
    stragglers : StragglerParameters
        When a rank is shed and replaced.
    """

    def __init__(
        self,
        *,
        group: GroupObject,
        moves_per_s: float,
        most_moves: float,
        stragglers: StragglerParameters,
    ):
        self.group = group
        self._moves_per_s = moves_per_s
        self._most_moves = most_moves
        self._moves = 0.0
        self._planner = planners.get(group.planner)(weigh=group.weigh)
        self._popularity = Popularity(layers=group.layers, experts=group.experts)
        self._watch = StragglerWatch(ranks=group.ranks, parameters=stragglers)
        self._sequence = 0
        self._reasons: dict[str, object] = {}

    @property
    def sequence(self) -> int:
        """Number of the last popularity report taken in."""
        return self._sequence

    @property
    def health(self) -> list[RankHealth]:
        """What to do about each rank."""
        return self._watch.health()

    def reasons(self) -> dict[str, object]:
        """Return the inputs of the last decision, for the log."""
        return dict(self._reasons)

    def dump(self) -> dict[str, object]:
        """Return the state for an operator's dump."""
        return {
            "moves": round(self._moves, 1),
            "speeds": self._watch.speeds().round(3).tolist(),
            "health": [health.value for health in self.health],
            "lost_reports": self._popularity.lost_reports,
            "sharp_changes": self._popularity.sharp_changes,
            **self._reasons,
        }

    def earn(self, elapsed_ms: float) -> float:
        """Return the moves that may be spent now."""
        earned = self._moves_per_s * elapsed_ms / MS_PER_S
        self._moves = min(self._most_moves, self._moves + earned)
        return self._moves

    def observe_popularity(self, report: PopularityReport, now_ms: float) -> None:
        """Take in a report."""
        self._sequence = max(self._sequence, report.sequence)
        self._popularity.observe(
            report.tokens, sequence=report.sequence, until_ms=now_ms
        )

    def observe_work(
        self, in_force: ExpertMap, work_ms: dict[int, float], now_ms: float
    ) -> None:
        """Take in the ranks' work times under the map in force."""
        if map_error(in_force.layers, self.group):
            return
        every = np.ones(self.group.ranks)
        loads = rank_times(self._slots(in_force), self._popularity.shares(), every)
        self._watch.observe(
            work_ms=[work_ms.get(rank, 0.0) for rank in range(self.group.ranks)],
            loads=loads.sum(axis=0).tolist(),
            now_ms=now_ms,
        )

    def forget_ranks(self, ranks: Sequence[int]) -> None:
        """Begin anew with ranks that are being replaced."""
        for rank in ranks:
            self._watch.forget(rank)

    def next_map(
        self, in_force: ExpertMap, *, ticket: int, budget_moves: float
    ) -> ExpertMap | None:
        """Return the map to switch to, or None to keep the one in force.

        A pinned placement outranks the planner's, and the budget.
        """
        group = self.group
        if group.pinned is not None:
            pinned = make_map(group.pinned.layers, ticket=ticket, revision=0)
            wrong = map_error(pinned.layers, group)
            self._reasons = {"decision": wrong or "pinned by the ticket"}
            newer = pinned.version > in_force.version
            return pinned if newer and not wrong else None
        before = self._slots(in_force)
        shares, speeds = self._popularity.shares(), self._watch.planned_speeds()
        after = self._planner.plan(
            PlanningInput(
                slots=before, shares=shares, speeds=speeds, budget_moves=budget_moves
            )
        )
        moves = int(moved_copies(before, after, group.experts).sum())
        self._reasons = {
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
        known = in_force.version
        if known.ticket >= ticket:
            ticket, revision = known.ticket, known.revision + 1
        else:
            revision = 1
        return make_map(layers, ticket=ticket, revision=revision)

    def note_switch(self, before: ExpertMap, after: ExpertMap) -> None:
        """Spend the moves of a switch that was decided."""
        if map_error(before.layers, self.group):
            return
        old, new = self._slots(before), self._slots(after)
        moves = int(moved_copies(old, new, self.group.experts).sum())
        self._moves = max(0.0, self._moves - moves)

    def _slots(self, expert_map: ExpertMap):
        """Return the map's slots; the ticket's initial map if it does not fit."""
        layers = expert_map.layers
        if map_error(layers, self.group):
            layer = [[e % self.group.ranks] for e in range(self.group.experts)]
            layers = [layer for _ in range(self.group.layers)]
        return slots_from_layers(
            layers, ranks=self.group.ranks, slots=self.group.slots_per_rank
        )
