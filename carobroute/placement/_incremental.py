"""Incremental planner: a local search that trades lower skew against moved copies."""

import msgspec
import numpy as np
from numpy.typing import NDArray

from carobroute.placement._planning import (
    EMPTY_SLOT,
    FloatArray,
    IntArray,
    Planner,
    PlanningInput,
    count_copies,
    place_missing_experts,
    planners,
    slot_loads,
    sum_by_expert,
)

SWAP_MOVES = 2.0
REPLICA_MOVES = 1.0
MAX_ROUNDS = 300


class SearchSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Thresholds of the search for one objective.

    Parameters
    ----------
    start_skew, stop_skew : float
        The search changes a layer whose skew is above `start_skew`, and stops once the
        skew is at most `stop_skew`. The hysteresis avoids moves that only follow noise
        in the estimates.
    min_gain : float
        Minimum decrease of a layer's squared deviation for each moved copy, in squared
        mean rank times.
    popularity_variance : float
        Expected squared relative change of an expert's popularity. The more copies an
        expert has, the less a change of its popularity affects each rank.
    """

    start_skew: float
    stop_skew: float
    min_gain: float
    popularity_variance: float


SEARCH_SETTINGS = {
    "skew": SearchSettings(
        start_skew=0.02, stop_skew=0.0, min_gain=0.00001, popularity_variance=4.0
    ),
    "cost": SearchSettings(
        start_skew=0.5, stop_skew=0.3, min_gain=0.02, popularity_variance=1.0
    ),
}


class CandidateChanges(msgspec.Struct, kw_only=True):
    """The best change found for each layer.

    Parameters
    ----------
    gain : ndarray of shape (layers,)
        Decrease of the squared deviation for each moved copy.
    moves : ndarray of shape (layers,)
        Number of copies that the change moves.
    is_swap : ndarray of shape (layers,)
        Whether the change swaps two copies; otherwise it adds a replica.
    source_rank, source_slot : ndarray of shape (layers,)
        Slot of the copy that is moved or replicated.
    destination_rank, destination_slot : ndarray of shape (layers,)
        Slot in which it is placed.
    """

    gain: FloatArray
    moves: FloatArray
    is_swap: NDArray[np.bool_]
    source_rank: IntArray
    source_slot: IntArray
    destination_rank: IntArray
    destination_slot: IntArray


@planners.register("incremental")
class IncrementalPlanner(Planner):
    """Improves the placement in force by local search, best changes first.

    Each round looks at one rank of every layer, the slowest and the fastest rank in
    alternate rounds. It evaluates every swap with another rank, and every replica on
    another rank (for the fastest rank, every replica of another rank's expert). It
    applies the change with the largest decrease of the squared deviation of rank times
    for each moved copy, if this decrease is at least `min_gain` and the move budget
    allows it. Rank times take each rank's speed into account, so a straggler gets less
    load.

    Parameters
    ----------
    objective : str, default="skew"
        Objective, a key of `SEARCH_SETTINGS`.
    settings : SearchSettings, default=None
        Replaces the settings of the objective.
    """

    def __init__(
        self, *, objective: str = "skew", settings: SearchSettings | None = None
    ):
        super().__init__(objective=objective)
        self._settings = settings or SEARCH_SETTINGS[objective]

    def plan(self, state: PlanningInput) -> IntArray:
        """Return the slots of the planned placement."""
        wanted = place_missing_experts(state)
        search = _LocalSearch(
            wanted, state.shares, state.speeds, self._settings.popularity_variance
        )
        search.keep_layers(search.skew() > self._settings.start_skew)
        moves_left = state.budget_moves
        for round_index in range(MAX_ROUNDS):
            if not search.layers or moves_left < REPLICA_MOVES:
                break
            changes = search.best_changes(from_slowest=round_index % 2 == 0)
            worthwhile = changes.gain >= self._settings.min_gain
            selected = _select_within_budget(worthwhile, changes, moves_left)
            applied = search.apply(changes, selected)
            moves_left -= changes.moves[applied].sum()
            wanted[search.kept_layers] = search.slots
            search.count_idle_rounds(~applied)
            search.keep_layers(
                (search.idle_rounds < 2) & (search.skew() > self._settings.stop_skew)
            )
        return wanted


def _select_within_budget(
    worthwhile: NDArray[np.bool_], changes: CandidateChanges, moves_left: float
) -> NDArray[np.bool_]:
    """Return for which layers the budget allows the change, by decreasing gain."""
    selected = np.zeros_like(worthwhile)
    for layer in np.argsort(-changes.gain, kind="stable"):
        if worthwhile[layer] and changes.moves[layer] <= moves_left:
            selected[layer] = True
            moves_left -= changes.moves[layer]
    return selected


class _LocalSearch:
    """Local search over all layers at once, without those that are finished.

    The pivot of a layer is its slowest or fastest rank. A round evaluates the swaps and
    replicas between the pivot and each other rank.
    """

    def __init__(
        self,
        slots: IntArray,
        shares: FloatArray,
        speeds: FloatArray,
        popularity_variance: float,
    ):
        self._popularity_variance = popularity_variance
        self.kept_layers = np.arange(len(slots))
        self.slots = slots.copy()
        self.idle_rounds = np.zeros(len(slots), dtype=np.int64)
        self._shares = shares
        self._active = speeds > 0
        self._speeds = np.where(self._active, speeds, 1.0)
        self._slowness = np.where(self._active, 1.0 / self._speeds, 0.0)
        self._update_measures()

    @property
    def layers(self) -> int:
        """Number of layers that the search still changes."""
        return len(self.kept_layers)

    def keep_layers(self, kept: NDArray[np.bool_]) -> None:
        """Drop the layers that are not in the mask `kept`."""
        if not kept.all():
            self.kept_layers, self.slots = self.kept_layers[kept], self.slots[kept]
            self.idle_rounds, self._shares = self.idle_rounds[kept], self._shares[kept]
            self._update_measures()

    def count_idle_rounds(self, idle: NDArray[np.bool_]) -> None:
        """Count the consecutive rounds in which a layer was not changed."""
        self.idle_rounds = np.where(idle, self.idle_rounds + 1, 0)

    def skew(self) -> FloatArray:
        """Return each layer's range of rank times, in units of the mean rank time."""
        times = self._times[:, self._active]
        return (times.max(axis=1) - times.min(axis=1)) / self._mean_times

    def best_changes(self, *, from_slowest: bool) -> CandidateChanges:
        """Return the best change for each layer's slowest (or else fastest) rank."""
        if from_slowest:
            pivot = np.where(self._active, self._times, -np.inf).argmax(axis=1)
        else:
            pivot = np.where(self._active, self._times, np.inf).argmin(axis=1)
        swap_gains = self._swap_gains(pivot)
        replica_gains = self._replica_gains(pivot, to_pivot=not from_slowest)
        return self._select_best(
            pivot, swap_gains, replica_gains, to_pivot=not from_slowest
        )

    def apply(
        self, changes: CandidateChanges, selected: NDArray[np.bool_]
    ) -> NDArray[np.bool_]:
        """Apply the changes of the `selected` layers.

        The gains ignore that a third rank may hold both experts of a change, so a
        change that does not reduce the layer's squared deviation is undone.

        Returns
        -------
        applied : ndarray of shape (layers,)
            Whether the layer was changed.
        """
        if not selected.any():
            return selected
        before, deviation = self.slots.copy(), self._squared_deviation()
        layer_index = self._layer_index[selected]
        rank, slot = changes.source_rank[layer_index], changes.source_slot[layer_index]
        destination_rank, destination_slot = (
            changes.destination_rank[layer_index],
            changes.destination_slot[layer_index],
        )
        moved = self.slots[layer_index, rank, slot].copy()
        replaced = self.slots[layer_index, destination_rank, destination_slot].copy()
        self.slots[layer_index, destination_rank, destination_slot] = moved
        is_swap = changes.is_swap[layer_index]
        self.slots[layer_index[is_swap], rank[is_swap], slot[is_swap]] = replaced[
            is_swap
        ]
        self._update_measures()
        worse = selected & (self._squared_deviation() >= deviation)
        if worse.any():
            self.slots[worse] = before[worse]
            self._update_measures()
        return selected & ~worse

    def _squared_deviation(self) -> FloatArray:
        shares = self._shares
        squared_shares = (shares**2 / np.maximum(self._copies, 1)).sum(axis=1)
        times = self._times[:, self._active]
        return (times**2 * self._speeds[self._active]).sum(axis=1) + (
            self._popularity_variance * squared_shares
        )

    def _update_measures(self) -> None:
        experts = self._shares.shape[1]
        layers, ranks, _ = self.slots.shape
        self._layer_index = np.arange(layers)
        self._copies = count_copies(self.slots, experts, self._active)
        self._loads = slot_loads(self.slots, self._shares, self._active)
        self._times = self._loads.sum(axis=2) / self._speeds
        self._mean_times = self._times[:, self._active].mean(axis=1)
        self._holds = np.zeros((layers, ranks, experts + 1), dtype=bool)
        rank = np.arange(ranks)[None, :, None]
        self._holds[self._layer_index[:, None, None], rank, self.slots] = True
        self._holds[:, :, EMPTY_SLOT] = False
        active_times = np.where(self._active, self._times, 0.0)
        time = np.broadcast_to(active_times[:, :, None], self.slots.shape)
        slowness = np.broadcast_to(self._slowness[None, :, None], self.slots.shape)
        self._time_sums = sum_by_expert(self.slots, experts, time)
        self._slowness_sums = sum_by_expert(self.slots, experts, slowness)

    def _swap_gains(self, pivot: IntArray) -> FloatArray:
        """Return the gain of each swap, by layer, pivot's slot, other rank and slot."""
        layer_index = self._layer_index
        pivot_experts = self.slots[layer_index, pivot]
        load_change = (
            self._loads[layer_index, pivot][:, :, None, None] - self._loads[:, None]
        )
        pivot_times = self._times[layer_index, pivot][:, None, None, None]
        times = self._times[:, None, :, None]
        pivot_speeds = self._speeds[pivot][:, None, None, None]
        speeds = self._speeds[None, None, :, None]
        change = pivot_speeds * (
            (pivot_times - load_change / pivot_speeds) ** 2 - pivot_times**2
        )
        change = change + speeds * ((times + load_change / speeds) ** 2 - times**2)
        blocked = self._holds[layer_index[:, None], :, pivot_experts].copy()
        blocked |= ~self._active[None, None, :]
        blocked[layer_index, :, pivot] = True
        held_by_pivot = self._holds[layer_index, pivot][
            layer_index[:, None, None], self.slots
        ]
        blocked_slots = blocked[:, :, :, None] | held_by_pivot[:, None]
        both_empty = (pivot_experts == EMPTY_SLOT)[:, :, None, None] & (
            self.slots == EMPTY_SLOT
        )[:, None]
        return np.where(blocked_slots | both_empty, -np.inf, -change)

    def _replica_gains(self, pivot: IntArray, *, to_pivot: bool) -> FloatArray:
        """Return the gain of each replica that one rank can take from another.

        The new replica uses an empty slot or evicts an expert that has other copies.
        It is a copy of an expert of the pivot, or, with `to_pivot`, of the other rank.
        """
        layer_index = self._layer_index
        pivot_experts = self.slots[layer_index, pivot][:, :, None, None]
        other = self.slots[:, None]
        source, target = (other, pivot_experts) if to_pivot else (pivot_experts, other)
        shape = np.broadcast_shapes(source.shape, target.shape)
        source = np.broadcast_to(source, shape)
        target = np.broadcast_to(target, shape)
        pivot_rank = np.broadcast_to(pivot[:, None, None, None], shape)
        other_rank = np.broadcast_to(
            np.arange(self.slots.shape[1])[None, None, :, None], shape
        )
        destination_rank = other_rank if not to_pivot else pivot_rank
        layer = np.broadcast_to(layer_index[:, None, None, None], shape)
        count = self._copies[layer, source]
        share = self._shares[layer, source]
        load_drop = share / np.maximum(count, 1) - share / (count + 1)
        change = -2 * load_drop * self._time_sums[layer, source]
        change = change + load_drop**2 * self._slowness_sums[layer, source]
        evicts = target != EMPTY_SLOT
        evicted_count = np.where(evicts, self._copies[layer, target], 2.0)
        evicted_share = np.where(evicts, self._shares[layer, target], 0.0)
        evicted_load = evicted_share / np.maximum(evicted_count, 1)
        load_rise = evicted_share / np.maximum(evicted_count - 1, 1) - evicted_load
        slowness = self._slowness[destination_rank]
        time = self._times[layer, destination_rank]
        other_times = self._time_sums[layer, target] - time
        other_slowness = self._slowness_sums[layer, target] - slowness
        change = change + np.where(
            evicts, 2 * load_rise * other_times + load_rise**2 * other_slowness, 0.0
        )
        added = share / (count + 1) - evicted_load
        change = change + 2 * added * time + added**2 * slowness
        squared_share_drop = share * load_drop - np.where(
            evicts, evicted_share * load_rise, 0.0
        )
        change = change - self._popularity_variance * squared_share_drop
        blocked = (
            (source == EMPTY_SLOT)
            | (evicted_count < 2)
            | ~self._active[destination_rank]
        )
        blocked |= self._holds[layer, destination_rank, source] | (
            other_rank == pivot_rank
        )
        blocked |= ~self._active[other_rank]
        return np.where(blocked, -np.inf, -change)

    def _select_best(
        self,
        pivot: IntArray,
        swap_gains: FloatArray,
        replica_gains: FloatArray,
        *,
        to_pivot: bool,
    ) -> CandidateChanges:
        layers, ranks, slots_per_rank = self.slots.shape
        layer_index = self._layer_index
        has_empty_slot = (self.slots[layer_index, pivot] == EMPTY_SLOT)[
            :, :, None, None
        ] | (self.slots == EMPTY_SLOT)[:, None]
        swap_moves = np.where(has_empty_slot, REPLICA_MOVES, SWAP_MOVES)
        scale = self._mean_times[:, None] ** 2
        by_swap = (swap_gains / swap_moves).reshape(layers, -1) / scale
        by_replica = replica_gains.reshape(layers, -1) / scale
        best_swap, best_replica = by_swap.argmax(axis=1), by_replica.argmax(axis=1)
        is_swap = (
            by_swap[layer_index, best_swap] > by_replica[layer_index, best_replica]
        )
        best = np.where(is_swap, best_swap, best_replica)
        slot = best // (ranks * slots_per_rank)
        other_rank, other_slot = best // slots_per_rank % ranks, best % slots_per_rank
        gain = np.where(
            is_swap, by_swap[layer_index, best], by_replica[layer_index, best]
        )
        moves = np.where(
            is_swap, swap_moves.reshape(layers, -1)[layer_index, best], REPLICA_MOVES
        )
        is_reversed = ~is_swap & to_pivot
        return CandidateChanges(
            gain=gain,
            moves=moves,
            is_swap=is_swap,
            source_rank=np.where(is_reversed, other_rank, pivot),
            source_slot=np.where(is_reversed, other_slot, slot),
            destination_rank=np.where(is_reversed, pivot, other_rank),
            destination_slot=np.where(is_reversed, slot, other_slot),
        )
