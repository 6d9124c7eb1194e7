"""Interface of placement planners, and measures of a placement."""

import abc

import msgspec
import numpy as np
from numpy.typing import NDArray

from carobroute.utils import Registry

FloatArray = NDArray[np.float64]
IntArray = NDArray[np.int64]
EMPTY_SLOT = -1

planners: "Registry[type[Planner]]" = Registry(kind="placement planner")
"""Placement planners by name."""


class PlanningInput(msgspec.Struct, frozen=True, kw_only=True):
    """Input of a planner.

    Parameters
    ----------
    slots : ndarray of shape (layers, ranks, slots)
        Expert in each slot of the current placement, or `EMPTY_SLOT`.
    shares : ndarray of shape (layers, experts)
        Fraction of a layer's tokens that is routed to each expert.
    speeds : ndarray of shape (ranks,)
        Relative speed of each rank; 0 for an inactive rank.
    budget_moves : float
        Maximum number of expert copies to move; infinite for no limit.
    """

    slots: IntArray
    shares: FloatArray
    speeds: FloatArray
    budget_moves: float = float("inf")


class Planner(abc.ABC):
    """Plans a group's placement.

    Parameters
    ----------
    objective : str, default="skew"
        Objective: `skew` for the lowest skew, `cost` for fewer moved copies.
    """

    def __init__(self, *, objective: str = "skew"):
        self.objective = objective

    @abc.abstractmethod
    def plan(self, state: PlanningInput) -> IntArray:
        """Return the slots of the planned placement.

        They equal `state.slots` if nothing is to change.
        """


def initial_slots(
    *, layers: int, experts: int, ranks: int, slots_per_rank: int
) -> IntArray:
    """Return slots with one copy of each expert, assigned to the ranks round-robin.

    Examples
    --------
    >>> initial_slots(layers=1, experts=3, ranks=2, slots_per_rank=2).tolist()
    [[[0, 2], [1, -1]]]
    """
    filled = np.full((layers, ranks, slots_per_rank), EMPTY_SLOT, dtype=np.int64)
    for expert in range(experts):
        filled[:, expert % ranks, expert // ranks] = expert
    return filled


def slots_from_layers(
    layers: list[list[list[int]]], *, ranks: int, slots_per_rank: int
) -> IntArray:
    """Return the slots of an expert map's `layers`.

    Parameters
    ----------
    layers : list of list of list of int
        For each layer and expert, the ranks that hold a copy.
    ranks, slots_per_rank : int
        Number of ranks, and of slots for each layer on each rank.
    """
    filled = np.full((len(layers), ranks, slots_per_rank), EMPTY_SLOT, dtype=np.int64)
    for layer, experts in enumerate(layers):
        used = [0] * ranks
        for expert, holders in enumerate(experts):
            for rank in holders:
                filled[layer, rank, used[rank]] = expert
                used[rank] += 1
    return filled


def layers_from_slots(slots: IntArray, *, experts: int) -> list[list[list[int]]]:
    """Return the expert map layers of `slots`: the ranks of each layer and expert.

    Examples
    --------
    >>> layers_from_slots(np.array([[[0, 1], [1, -1]]]), experts=2)
    [[[0], [0, 1]]]
    """
    layers_found: list[list[list[int]]] = [
        [[] for _ in range(experts)] for _ in range(len(slots))
    ]
    for layer, rank, slot in zip(*np.nonzero(slots != EMPTY_SLOT), strict=True):
        layers_found[layer][slots[layer, rank, slot]].append(int(rank))
    return layers_found


def count_copies(
    slots: IntArray, experts: int, active: NDArray[np.bool_]
) -> FloatArray:
    """Return the number of copies of each layer and expert on active ranks."""
    used = np.broadcast_to(active[None, :, None], slots.shape)
    return sum_by_expert(slots, experts, used.astype(np.float64))


def sum_by_expert(slots: IntArray, experts: int, values: FloatArray) -> FloatArray:
    """Return the sum of the slots' `values` for each layer and expert."""
    layers = len(slots)
    bins_per_layer = experts + 1
    layer = np.arange(layers)[:, None, None]
    bin_index = np.where(slots == EMPTY_SLOT, experts, slots) + layer * bins_per_layer
    sums = np.bincount(
        bin_index.ravel(), weights=values.ravel(), minlength=layers * bins_per_layer
    )
    return np.asarray(sums, dtype=np.float64).reshape(layers, bins_per_layer)[
        :, :experts
    ]


def slot_loads(
    slots: IntArray, shares: FloatArray, active: NDArray[np.bool_]
) -> FloatArray:
    """Return the fraction of the layer's tokens that each slot's copy gets."""
    copies = count_copies(slots, shares.shape[1], active)
    share_per_copy = shares / np.maximum(copies, 1.0)
    layer = np.arange(slots.shape[0])[:, None, None]
    loads = share_per_copy[layer, np.maximum(slots, 0)]
    return np.where((slots != EMPTY_SLOT) & active[None, :, None], loads, 0.0)


def rank_times(slots: IntArray, shares: FloatArray, speeds: FloatArray) -> FloatArray:
    """Return the relative time that each active rank needs for each layer."""
    active = speeds > 0
    loads = slot_loads(slots, shares, active).sum(axis=2)
    return loads[:, active] / speeds[active]


def step_skew(slots: IntArray, shares: FloatArray, speeds: FloatArray) -> float:
    """Return the range of rank times over a step, relative to the mean rank time.

    The ranks wait for the slowest one in every layer, so the ranges of all layers add
    up.

    Examples
    --------
    >>> even = np.array([[[0], [1]]])
    >>> round(step_skew(even, np.array([[0.75, 0.25]]), np.ones(2)), 2)
    1.0
    """
    times = rank_times(slots, shares, speeds)
    spread = times.max(axis=1) - times.min(axis=1)
    return float(spread.sum() / times.mean(axis=1).sum())


def count_moved_copies(before: IntArray, after: IntArray, experts: int) -> IntArray:
    """Return how many copies each rank has to load for the placement `after`.

    Examples
    --------
    >>> count_moved_copies(np.array([[[0, 1]]]), np.array([[[1, 2]]]), 3).tolist()
    [1]
    """
    held = _held_experts(before, experts)
    wanted = _held_experts(after, experts)
    return (wanted & ~held).sum(axis=(0, 2))


def missing_experts(
    slots: IntArray, experts: int, active: NDArray[np.bool_]
) -> list[tuple[int, int]]:
    """Return the (layer, expert) pairs that have no copy on an active rank."""
    copies = count_copies(slots, experts, active)
    return [(int(la), int(ex)) for la, ex in zip(*np.nonzero(copies == 0), strict=True)]


def place_missing_experts(state: PlanningInput) -> IntArray:
    """Return the slots, with a copy added for each expert that had none.

    The copy goes to an empty slot or replaces a copy of an expert that has others. The
    slot with the lowest sum of the rank's time and of the replaced load is chosen.
    """
    experts = state.shares.shape[1]
    active = state.speeds > 0
    slots = state.slots.copy()
    slots[:, ~active, :] = EMPTY_SLOT
    for layer, expert in missing_experts(slots, experts, active):
        layer_slots = slots[layer : layer + 1]
        shares = state.shares[layer : layer + 1]
        loads = slot_loads(layer_slots, shares, active)[0]
        copies = count_copies(layer_slots, experts, active)[0]
        usable = (layer_slots[0] == EMPTY_SLOT) | (
            copies[np.maximum(layer_slots[0], 0)] > 1
        )
        usable &= active[:, None]
        speeds = np.where(active, state.speeds, 1.0)
        cost = loads.sum(axis=1)[:, None] / speeds[:, None]
        cost = np.where(
            usable, cost + np.where(layer_slots[0] == EMPTY_SLOT, 0.0, loads), np.inf
        )
        rank, slot = np.unravel_index(int(np.argmin(cost)), cost.shape)
        slots[layer, rank, slot] = expert
    return slots


def _held_experts(slots: IntArray, experts: int) -> NDArray[np.bool_]:
    layers, ranks, _ = slots.shape
    held = np.zeros((layers, ranks, experts + 1), dtype=bool)
    layer = np.arange(layers)[:, None, None]
    rank = np.arange(ranks)[None, :, None]
    held[layer, rank, np.where(slots == EMPTY_SLOT, experts, slots)] = True
    return held[:, :, :experts]
