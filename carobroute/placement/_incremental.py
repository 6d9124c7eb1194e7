"""The product's planner: moves are bought while the skew they save is worth it."""

import msgspec
import numpy as np
from numpy.typing import NDArray

from carobroute.placement._planning import (
    EMPTY,
    FloatArray,
    IntArray,
    Planner,
    PlanningInput,
    copies_of,
    planners,
    repair,
    slot_loads,
    sum_by_expert,
)

SWAP_MOVES = 2.0
REPLICA_MOVES = 1.0
MOST_ROUNDS = 300


class Weights(msgspec.Struct, frozen=True, kw_only=True):
    """How a setting weighs skew against moves.

    Parameters
    ----------
    begin_skew, end_skew : float
        A layer is worked on once its skew is above the first, until it is below the
        second: hysteresis between estimates that only wobble.
    price : float
        Fall of a layer's squared deviation, in squared mean rank times, that one moved
        copy must bring.
    drift : float
        Squared relative change of an expert's popularity to be ready for. An expert
        that is spread over more copies then disturbs each rank less.
    """

    begin_skew: float
    end_skew: float
    price: float
    drift: float


SETTINGS = {
    "skew": Weights(begin_skew=0.02, end_skew=0.0, price=0.00001, drift=4.0),
    "cost": Weights(begin_skew=0.5, end_skew=0.3, price=0.02, drift=1.0),
}


class Offers(msgspec.Struct, kw_only=True):
    """The best change found for each layer.

    Parameters
    ----------
    gain : ndarray of shape (layers,)
        Fall of the squared deviation a moved copy.
    moves : ndarray of shape (layers,)
        Copies that the change moves.
    swap : ndarray of shape (layers,)
        Whether it swaps two copies; otherwise it adds a replica.
    rank, slot, other_rank, other_slot : ndarray of shape (layers,)
        The copy taken, and the slot that it goes to.
    """

    gain: FloatArray
    moves: FloatArray
    swap: NDArray[np.bool_]
    rank: IntArray
    slot: IntArray
    other_rank: IntArray
    other_slot: IntArray


@planners.register("incremental")
class IncrementalPlanner(Planner):
    """Improves the placement in force by the changes that pay most.

    Each layer's slowest (or fastest) rank is offered every swap with, and every replica
    on, another rank. The change with the largest fall of the squared deviation of rank
    times a moved copy is bought, while it is above the setting's price and the budget
    lasts. Rank times count the speed of each rank, so a straggler is given less.

    Parameters
    ----------
    weigh : str, default="skew"
        Name of the setting.
    weights : Weights, default=None
        Overrides the setting.
    """

    def __init__(self, *, weigh: str = "skew", weights: Weights | None = None):
        super().__init__(weigh=weigh)
        self._weights = weights or SETTINGS[weigh]

    def plan(self, given: PlanningInput) -> IntArray:
        """Return the slots wanted."""
        wanted = repair(given)
        search = _Search(wanted, given.shares, given.speeds, self._weights.drift)
        search.keep(search.skew() > self._weights.begin_skew)
        left = given.budget_moves
        for turn in range(MOST_ROUNDS):
            if not search.layers or left < REPLICA_MOVES:
                break
            offers = search.offers(from_slowest=turn % 2 == 0)
            worth = offers.gain >= self._weights.price
            bought = _within(worth, offers, left)
            made = search.apply(offers, bought)
            left -= offers.moves[made].sum()
            wanted[search.rows] = search.slots
            search.note_idle(~made)
            search.keep((search.idle < 2) & (search.skew() > self._weights.end_skew))
        return wanted


def _within(worth: NDArray[np.bool_], offers: Offers, left: float) -> NDArray[np.bool_]:
    """Return the offers that the budget allows, the best first."""
    bought = np.zeros_like(worth)
    for layer in np.argsort(-offers.gain, kind="stable"):
        if worth[layer] and offers.moves[layer] <= left:
            bought[layer] = True
            left -= offers.moves[layer]
    return bought


class _Search:
    """Local search over all layers at once; finished layers are left out."""

    def __init__(
        self, slots: IntArray, shares: FloatArray, speeds: FloatArray, drift: float
    ):
        self._drift = drift
        self.rows = np.arange(len(slots))
        self.slots = slots.copy()
        self.idle = np.zeros(len(slots), dtype=np.int64)
        self._shares = shares
        self._present = speeds > 0
        self._speeds = np.where(self._present, speeds, 1.0)
        self._inverse = np.where(self._present, 1.0 / self._speeds, 0.0)
        self._measure()

    @property
    def layers(self) -> int:
        """Number of layers still worked on."""
        return len(self.rows)

    def keep(self, kept: NDArray[np.bool_]) -> None:
        """Go on with some of the layers."""
        if not kept.all():
            self.rows, self.slots = self.rows[kept], self.slots[kept]
            self.idle, self._shares = self.idle[kept], self._shares[kept]
            self._measure()

    def note_idle(self, idle: NDArray[np.bool_]) -> None:
        """Count the turns in a row in which a layer had no offer worth its price."""
        self.idle = np.where(idle, self.idle + 1, 0)

    def skew(self) -> FloatArray:
        """Return the spread of rank times in each layer, in mean rank times."""
        times = self._times[:, self._present]
        return (times.max(axis=1) - times.min(axis=1)) / self._mean

    def offers(self, *, from_slowest: bool) -> Offers:
        """Return the best change of each layer's slowest, or fastest, rank."""
        if from_slowest:
            pivot = np.where(self._present, self._times, -np.inf).argmax(axis=1)
        else:
            pivot = np.where(self._present, self._times, np.inf).argmin(axis=1)
        swap = self._swap_gains(pivot)
        replica = self._replica_gains(pivot, to_pivot=not from_slowest)
        return self._best(pivot, swap, replica, to_pivot=not from_slowest)

    def apply(self, offers: Offers, bought: NDArray[np.bool_]) -> NDArray[np.bool_]:
        """Make the changes of the layers that are `bought`.

        A gain leaves out that a third rank may hold both experts concerned; a change
        that turns out to make the layer worse is taken back.

        Returns
        -------
        made : ndarray of shape (layers,)
            Layers that were changed.
        """
        if not bought.any():
            return bought
        before, deviation = self.slots.copy(), self._deviation()
        rows = self._layer[bought]
        rank, slot = offers.rank[rows], offers.slot[rows]
        other, place = offers.other_rank[rows], offers.other_slot[rows]
        taken = self.slots[rows, rank, slot].copy()
        replaced = self.slots[rows, other, place].copy()
        self.slots[rows, other, place] = taken
        swapped = offers.swap[rows]
        self.slots[rows[swapped], rank[swapped], slot[swapped]] = replaced[swapped]
        self._measure()
        worse = bought & (self._deviation() >= deviation)
        if worse.any():
            self.slots[worse] = before[worse]
            self._measure()
        return bought & ~worse

    def _deviation(self) -> FloatArray:
        shares = self._shares
        lumps = (shares**2 / np.maximum(self._copies, 1)).sum(axis=1)
        times = self._times[:, self._present]
        return (times**2 * self._speeds[self._present]).sum(axis=1) + (
            self._drift * lumps
        )

    def _measure(self) -> None:
        experts = self._shares.shape[1]
        layers, ranks, _ = self.slots.shape
        self._layer = np.arange(layers)
        self._copies = copies_of(self.slots, experts, self._present)
        self._loads = slot_loads(self.slots, self._shares, self._present)
        self._times = self._loads.sum(axis=2) / self._speeds
        self._mean = self._times[:, self._present].mean(axis=1)
        self._held = np.zeros((layers, ranks, experts + 1), dtype=bool)
        rank = np.arange(ranks)[None, :, None]
        self._held[self._layer[:, None, None], rank, self.slots] = True
        self._held[:, :, EMPTY] = False
        counted = np.where(self._present, self._times, 0.0)
        time = np.broadcast_to(counted[:, :, None], self.slots.shape)
        slowness = np.broadcast_to(self._inverse[None, :, None], self.slots.shape)
        self._time_sums = sum_by_expert(self.slots, experts, time)
        self._slowness_sums = sum_by_expert(self.slots, experts, slowness)

    def _swap_gains(self, pivot: IntArray) -> FloatArray:
        """Return gains by (layer, pivot's slot, other rank, other slot)."""
        rows = self._layer
        mine = self.slots[rows, pivot]
        delta = self._loads[rows, pivot][:, :, None, None] - self._loads[:, None]
        own_time = self._times[rows, pivot][:, None, None, None]
        times = self._times[:, None, :, None]
        own_speed = self._speeds[pivot][:, None, None, None]
        speeds = self._speeds[None, None, :, None]
        change = own_speed * ((own_time - delta / own_speed) ** 2 - own_time**2)
        change = change + speeds * ((times + delta / speeds) ** 2 - times**2)
        blocked = self._held[rows[:, None], :, mine].copy()
        blocked |= ~self._present[None, None, :]
        blocked[rows, :, pivot] = True
        theirs_here = self._held[rows, pivot][rows[:, None, None], self.slots]
        blocked4 = blocked[:, :, :, None] | theirs_here[:, None]
        both_empty = (mine == EMPTY)[:, :, None, None] & (self.slots == EMPTY)[:, None]
        return np.where(blocked4 | both_empty, -np.inf, -change)

    def _replica_gains(self, pivot: IntArray, *, to_pivot: bool) -> FloatArray:
        """Return gains of a copy of one rank's expert over the other's replica.

        The copy is taken from the pivot, or, with `to_pivot`, from the other rank.
        """
        rows = self._layer
        mine = self.slots[rows, pivot][:, :, None, None]
        other = self.slots[:, None]
        source, target = (other, mine) if to_pivot else (mine, other)
        shape = np.broadcast_shapes(source.shape, target.shape)
        source = np.broadcast_to(source, shape)
        target = np.broadcast_to(target, shape)
        pivot_rank = np.broadcast_to(pivot[:, None, None, None], shape)
        other_rank = np.broadcast_to(
            np.arange(self.slots.shape[1])[None, None, :, None], shape
        )
        target_rank = other_rank if not to_pivot else pivot_rank
        layer = np.broadcast_to(rows[:, None, None, None], shape)
        count = self._copies[layer, source]
        share = self._shares[layer, source]
        fall = share / np.maximum(count, 1) - share / (count + 1)
        change = -2 * fall * self._time_sums[layer, source]
        change = change + fall**2 * self._slowness_sums[layer, source]
        evicted = target != EMPTY
        lost_count = np.where(evicted, self._copies[layer, target], 2.0)
        lost_share = np.where(evicted, self._shares[layer, target], 0.0)
        lost = lost_share / np.maximum(lost_count, 1)
        rise = lost_share / np.maximum(lost_count - 1, 1) - lost
        slowness = self._inverse[target_rank]
        time = self._times[layer, target_rank]
        others = self._time_sums[layer, target] - time
        rest = self._slowness_sums[layer, target] - slowness
        change = change + np.where(evicted, 2 * rise * others + rise**2 * rest, 0.0)
        added = share / (count + 1) - lost
        change = change + 2 * added * time + added**2 * slowness
        thinner = share * fall - np.where(evicted, lost_share * rise, 0.0)
        change = change - self._drift * thinner
        blocked = (source == EMPTY) | (lost_count < 2) | ~self._present[target_rank]
        blocked |= self._held[layer, target_rank, source] | (other_rank == pivot_rank)
        blocked |= ~self._present[other_rank]
        return np.where(blocked, -np.inf, -change)

    def _best(
        self,
        pivot: IntArray,
        swap: FloatArray,
        replica: FloatArray,
        *,
        to_pivot: bool,
    ) -> Offers:
        layers, ranks, each = self.slots.shape
        rows = self._layer
        empty = (self.slots[rows, pivot] == EMPTY)[:, :, None, None] | (
            self.slots == EMPTY
        )[:, None]
        moves = np.where(empty, REPLICA_MOVES, SWAP_MOVES)
        scale = self._mean[:, None] ** 2
        by_swap = (swap / moves).reshape(layers, -1) / scale
        by_replica = replica.reshape(layers, -1) / scale
        best_swap, best_replica = by_swap.argmax(axis=1), by_replica.argmax(axis=1)
        is_swap = by_swap[rows, best_swap] > by_replica[rows, best_replica]
        best = np.where(is_swap, best_swap, best_replica)
        slot = best // (ranks * each)
        other_rank, other_slot = best // each % ranks, best % each
        gain = np.where(is_swap, by_swap[rows, best], by_replica[rows, best])
        cost = np.where(is_swap, moves.reshape(layers, -1)[rows, best], REPLICA_MOVES)
        turned = ~is_swap & to_pivot
        return Offers(
            gain=gain,
            moves=cost,
            swap=is_swap,
            rank=np.where(turned, other_rank, pivot),
            slot=np.where(turned, other_slot, slot),
            other_rank=np.where(turned, pivot, other_rank),
            other_slot=np.where(turned, slot, other_slot),
        )
