"""Planning of a layout for the observed load, within the ranks' capacity."""

from collections.abc import Sequence

import msgspec

from carobroute.experts._layout import ExpertLayout, compute_rank_loads

MAX_CHANGES_PER_SET = 80
# Fraction of a rank's mean load; experts with a smaller load per copy are neither
# copied nor moved from the slowest rank.
MIN_EXPERT_LOAD = 0.05
# A swap transfers two experts where a copy transfers one, so its gain counts less.
SWAP_GAIN_FACTOR = 0.6


class PlanBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of a plan.

    Parameters
    ----------
    max_experts : int
        Largest number of experts of one layer set that a rank can hold.
    max_received : int
        Largest number of experts of one layer set that a rank can receive in one plan.
    min_gain : float
        Smallest reduction of a layer set's longest rank time that justifies a change,
        as a fraction of the mean load.
    max_partners : int
        Number of ranks with the shortest times that are considered for an exchange
        with the slowest one.
    """

    max_experts: int
    max_received: int
    min_gain: float = 0.12
    max_partners: int = 6


class _Change(msgspec.Struct, frozen=True):
    """A change of a layout that takes load from the slowest rank.

    Parameters
    ----------
    gain : float
        Reduction of the longest time among the affected ranks, times
        `SWAP_GAIN_FACTOR` for a move.
    expert : int
        Expert of the slowest rank that `rank` receives.
    rank : int
        Rank that receives the expert.
    displaced : int or None
        Expert that `rank` gives up in return, if any.
    is_move : bool
        Whether the slowest rank gives `expert` up and receives `displaced`, if any. If
        not, `expert` is copied, and `displaced` remains on other ranks only.
    """

    gain: float
    expert: int
    rank: int
    displaced: int | None
    is_move: bool


def plan_layout(
    layout: ExpertLayout,
    shares: Sequence[Sequence[float]],
    bounds: PlanBounds,
    slowdowns: Sequence[float] | None = None,
) -> ExpertLayout:
    """Return a layout that shortens the time of the slowest rank of each layer set.

    All ranks wait for the slowest one in each layer set, so only its time matters. A
    greedy search shortens it change by change: one of its experts is copied to a
    faster rank, moved there, or swapped with one of that rank's experts.

    Parameters
    ----------
    layout : ExpertLayout
        Layout in use.
    shares : sequence of sequence of float
        Each expert's share of its layer set's tokens.
    bounds : PlanBounds
        Limits on what ranks can hold and receive.
    slowdowns : sequence of float, default=None
        Each rank's step time divided by the published one; None if all are 1.

    Returns
    -------
    layout : ExpertLayout
        The planned layout, with the experts of each rank in ascending order.

    Examples
    --------
    >>> bounds = PlanBounds(max_experts=2, max_received=1)
    >>> plan_layout([[[0], [1]]], [[0.75, 0.25]], bounds)
    [[[0, 1], [0, 1]]]
    """
    return [
        _LayerSetPlanner(
            experts_by_rank,
            set_shares,
            bounds,
            slowdowns or [1.0] * len(experts_by_rank),
        ).run()
        for experts_by_rank, set_shares in zip(layout, shares, strict=True)
    ]


class _LayerSetPlanner:
    """Greedy search for changes to the layout of one layer set."""

    __slots__ = (
        "_bounds",
        "_copies",
        "_experts",
        "_holders",
        "_initial_experts",
        "_received",
        "_shares",
        "_slowdowns",
        "_times",
    )

    def __init__(
        self,
        experts_by_rank: list[list[int]],
        shares: Sequence[float],
        bounds: PlanBounds,
        slowdowns: Sequence[float],
    ):
        self._slowdowns = slowdowns
        self._bounds = bounds
        self._shares = shares
        self._initial_experts = [frozenset(experts) for experts in experts_by_rank]
        self._experts = [set(experts) for experts in experts_by_rank]
        self._received = [0] * len(experts_by_rank)
        self._holders: list[set[int]] = [set() for _ in shares]
        for rank, experts in enumerate(experts_by_rank):
            for expert in experts:
                self._holders[expert].add(rank)
        self._copies = [len(holders) for holders in self._holders]
        self._update_times()

    def run(self) -> list[list[int]]:
        """Apply changes while they gain enough; return the experts of each rank."""
        min_gain = self._bounds.min_gain / len(self._experts)
        for _ in range(MAX_CHANGES_PER_SET):
            change = self._find_best_change()
            if change is None or change.gain < min_gain:
                break
            self._apply(change)
        return [sorted(experts) for experts in self._experts]

    def _update_times(self) -> None:
        loads = compute_rank_loads(
            [list(experts) for experts in self._experts], self._shares
        )
        self._times = [
            factor * load for factor, load in zip(self._slowdowns, loads, strict=True)
        ]

    def _find_best_change(self) -> _Change | None:
        slowest = max(range(len(self._times)), key=self._times.__getitem__)
        ranks_by_time = sorted(range(len(self._times)), key=self._times.__getitem__)
        partners = [
            r for r in ranks_by_time[: self._bounds.max_partners] if r != slowest
        ]
        min_load = MIN_EXPERT_LOAD / len(self._experts)
        best: _Change | None = None
        for expert in self._experts[slowest]:
            if self._load_per_copy(expert) < min_load:
                continue
            for rank in partners:
                if expert in self._experts[rank] or not self._can_receive(rank, expert):
                    continue
                for change in self._list_changes(slowest, expert, rank):
                    if best is None or change.gain > best.gain:
                        best = change
        return best

    def _list_changes(self, slowest: int, expert: int, rank: int) -> list[_Change]:
        is_full = len(self._experts[rank]) >= self._bounds.max_experts
        changes = []
        for displaced in self._experts[rank] if is_full else {None}:
            if displaced is None or self._copies[displaced] > 1:
                gain = self._times[slowest] - self._max_time_after_copy(
                    slowest, expert, rank, displaced
                )
                changes.append(_Change(gain, expert, rank, displaced, False))
        for swapped in [*self._experts[rank], *([] if is_full else [None])]:
            if swapped is not None and (
                swapped in self._experts[slowest]
                or not self._can_receive(slowest, swapped)
            ):
                continue
            moved = self._load_per_copy(expert) - (
                0.0 if swapped is None else self._load_per_copy(swapped)
            )
            time_after = max(
                self._times[rank] + self._slowdowns[rank] * moved,
                self._times[slowest] - self._slowdowns[slowest] * moved,
            )
            gain = SWAP_GAIN_FACTOR * (self._times[slowest] - time_after)
            changes.append(_Change(gain, expert, rank, swapped, True))
        return changes

    def _max_time_after_copy(
        self, slowest: int, expert: int, rank: int, displaced: int | None
    ) -> float:
        """Return the longest time among the affected ranks after a copy to `rank`.

        The other ranks that hold the displaced expert take over its tokens.
        """
        copies = self._copies[expert]
        reduction = self._load_per_copy(expert) - self._shares[expert] / (copies + 1)
        added = self._shares[expert] / (copies + 1)
        max_time = self._times[slowest] - self._slowdowns[slowest] * reduction
        if displaced is None:
            return max(max_time, self._times[rank] + self._slowdowns[rank] * added)
        removed = self._load_per_copy(displaced)
        rise = self._shares[displaced] / (self._copies[displaced] - 1) - removed
        max_time = max(
            max_time, self._times[rank] + self._slowdowns[rank] * (added - removed)
        )
        for other in self._holders[displaced]:
            if other != rank:
                offset = reduction if other in self._holders[expert] else 0.0
                change = self._slowdowns[other] * (rise - offset)
                max_time = max(max_time, self._times[other] + change)
        return max_time

    def _load_per_copy(self, expert: int) -> float:
        return self._shares[expert] / self._copies[expert]

    def _can_receive(self, rank: int, expert: int) -> bool:
        is_new = expert not in self._initial_experts[rank]
        return not is_new or self._received[rank] < self._bounds.max_received

    def _apply(self, change: _Change) -> None:
        slowest = max(range(len(self._times)), key=self._times.__getitem__)
        if change.displaced is not None:
            self._drop(change.rank, change.displaced)
        if change.is_move:
            self._drop(slowest, change.expert)
            if change.displaced is not None:
                self._add(slowest, change.displaced)
        self._add(change.rank, change.expert)
        self._update_times()

    def _add(self, rank: int, expert: int) -> None:
        self._experts[rank].add(expert)
        self._holders[expert].add(rank)
        self._copies[expert] += 1
        self._received[rank] += expert not in self._initial_experts[rank]

    def _drop(self, rank: int, expert: int) -> None:
        self._experts[rank].discard(expert)
        self._holders[expert].discard(rank)
        self._copies[expert] -= 1
        self._received[rank] -= expert not in self._initial_experts[rank]
