"""Planning of a layout for the observed load, within the ranks' capacity."""

import heapq
from collections.abc import Iterable, Iterator, Sequence

import msgspec

from carobroute.experts._layout import ExpertLayout

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
    max_copies : int or None
        Largest number of experts of all layer sets that a rank can receive in one
        plan; None for no limit. A rank copies one expert after the other, and all
        ranks wait for the last one.
    min_gain : float
        Smallest reduction of a layer set's longest rank time that justifies a change,
        as a fraction of the mean load.
    max_partners : int
        Number of ranks with the shortest times that are considered for an exchange
        with the slowest one.
    """

    max_experts: int
    max_received: int
    max_copies: int | None = None
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
    source : int
        The slowest rank.
    is_move : bool
        Whether the slowest rank gives `expert` up and receives `displaced`, if any. If
        not, `expert` is copied, and `displaced` remains on other ranks only.
    """

    gain: float
    expert: int
    rank: int
    displaced: int | None
    source: int
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
    planner = LayoutPlanner(
        layout=layout, shares=shares, bounds=bounds, slowdowns=slowdowns
    )
    for _ in planner.steps():
        pass
    return planner.layout


class LayoutPlanner:
    """Search for a layout, in steps between which the caller may do other work.

    The layer sets compete for the copies that a rank can receive: each step makes the
    change with the largest gain in any set.

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
    """

    __slots__ = ("_changes_by_set", "_copies_left", "_min_gain", "_set_planners")

    def __init__(
        self,
        *,
        layout: ExpertLayout,
        shares: Sequence[Sequence[float]],
        bounds: PlanBounds,
        slowdowns: Sequence[float] | None = None,
    ):
        rank_count = len(layout[0])
        max_copies = bounds.max_copies
        if max_copies is None:
            max_copies = bounds.max_received * len(layout)
        self._copies_left = [max_copies] * rank_count
        self._min_gain = bounds.min_gain / rank_count
        self._set_planners = [
            _LayerSetPlanner(
                experts_by_rank,
                set_shares,
                bounds,
                slowdowns or [1.0] * rank_count,
                self._copies_left,
            )
            for experts_by_rank, set_shares in zip(layout, shares, strict=True)
        ]
        self._changes_by_set = [0] * len(layout)

    @property
    def layout(self) -> ExpertLayout:
        """Layout after the steps so far, with sorted experts of each rank."""
        return [planner.experts_by_rank for planner in self._set_planners]

    def steps(self) -> Iterator[None]:
        """Make changes while they gain enough, one in each step."""
        heap: list[tuple[float, int, _Change]] = []
        for index in range(len(self._set_planners)):
            self._push_best_change(heap, index)
            yield
        while heap:
            _, index, change = heapq.heappop(heap)
            planner = self._set_planners[index]
            # Changes in other sets may have used up the copies of these ranks.
            if planner.is_possible(change):
                planner.apply(change)
                self._changes_by_set[index] += 1
            if self._changes_by_set[index] < MAX_CHANGES_PER_SET:
                self._push_best_change(heap, index)
            yield

    def _push_best_change(
        self, heap: list[tuple[float, int, "_Change"]], index: int
    ) -> None:
        change = self._set_planners[index].find_best_change()
        if change is not None and change.gain >= self._min_gain:
            heapq.heappush(heap, (-change.gain, index, change))


class _LayerSetPlanner:
    """Greedy search for changes to the layout of one layer set.

    `copies_left` holds the copies that each rank can still receive, and is shared with
    the planners of the other sets.
    """

    __slots__ = (
        "_bounds",
        "_copies",
        "_copies_left",
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
        copies_left: list[int],
    ):
        self._slowdowns = slowdowns
        self._bounds = bounds
        self._shares = shares
        self._copies_left = copies_left
        self._initial_experts = [frozenset(experts) for experts in experts_by_rank]
        self._experts = [set(experts) for experts in experts_by_rank]
        self._received = [0] * len(experts_by_rank)
        self._holders: list[set[int]] = [set() for _ in shares]
        for rank, experts in enumerate(experts_by_rank):
            for expert in experts:
                self._holders[expert].add(rank)
        self._copies = [len(holders) for holders in self._holders]
        self._times = [0.0] * len(experts_by_rank)
        self._update_times(range(len(experts_by_rank)))

    @property
    def experts_by_rank(self) -> list[list[int]]:
        """Experts of each rank, in ascending order."""
        return [sorted(experts) for experts in self._experts]

    def _update_times(self, ranks: Iterable[int]) -> None:
        for rank in ranks:
            load = sum(self._load_per_copy(expert) for expert in self._experts[rank])
            self._times[rank] = self._slowdowns[rank] * load

    def find_best_change(self) -> _Change | None:
        """Return the change that shortens the slowest rank's time most, or None."""
        slowest = max(range(len(self._times)), key=self._times.__getitem__)
        receivers = (
            rank
            for rank, left in enumerate(self._copies_left)
            if left and rank != slowest
        )
        partners = heapq.nsmallest(
            self._bounds.max_partners, receivers, key=self._times.__getitem__
        )
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

    def is_possible(self, change: _Change) -> bool:
        """Return whether the ranks can still receive what the change gives them."""
        if not self._can_receive(change.rank, change.expert):
            return False
        if not change.is_move or change.displaced is None:
            return True
        return self._can_receive(change.source, change.displaced)

    def _list_changes(self, slowest: int, expert: int, rank: int) -> list[_Change]:
        is_full = len(self._experts[rank]) >= self._bounds.max_experts
        changes = []
        for displaced in self._experts[rank] if is_full else {None}:
            if displaced is None or self._copies[displaced] > 1:
                gain = self._times[slowest] - self._max_time_after_copy(
                    slowest, expert, rank, displaced
                )
                changes.append(_Change(gain, expert, rank, displaced, slowest, False))
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
            changes.append(_Change(gain, expert, rank, swapped, slowest, True))
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
        if expert in self._initial_experts[rank]:
            return True
        has_room = self._received[rank] < self._bounds.max_received
        return has_room and self._copies_left[rank] > 0

    def apply(self, change: _Change) -> None:
        """Make a change."""
        if change.displaced is not None:
            self._drop(change.rank, change.displaced)
        if change.is_move:
            self._drop(change.source, change.expert)
            if change.displaced is not None:
                self._add(change.source, change.displaced)
        self._add(change.rank, change.expert)
        affected = {change.rank, change.source, *self._holders[change.expert]}
        if change.displaced is not None:
            affected |= self._holders[change.displaced]
        self._update_times(affected)

    def _add(self, rank: int, expert: int) -> None:
        self._experts[rank].add(expert)
        self._holders[expert].add(rank)
        self._copies[expert] += 1
        self._count_received(rank, expert, 1)

    def _drop(self, rank: int, expert: int) -> None:
        self._experts[rank].discard(expert)
        self._holders[expert].discard(rank)
        self._copies[expert] -= 1
        self._count_received(rank, expert, -1)

    def _count_received(self, rank: int, expert: int, change: int) -> None:
        if expert not in self._initial_experts[rank]:
            self._received[rank] += change
            self._copies_left[rank] -= change
