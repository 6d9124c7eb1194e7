"""What a placement planner is given, and measures of a placement."""

import abc

import msgspec
import numpy as np
from numpy.typing import NDArray

from carobroute.utils import Registry

FloatArray = NDArray[np.float64]
IntArray = NDArray[np.int64]
EMPTY = -1

planners: "Registry[type[Planner]]" = Registry(kind="placement planner")
"""Placement planners by name."""


class PlanningInput(msgspec.Struct, frozen=True, kw_only=True):
    """State on which a plan is made.

    Parameters
    ----------
    slots : ndarray of shape (layers, ranks, slots)
        Expert in each slot now, or `EMPTY`.
    shares : ndarray of shape (layers, experts)
        Share of a layer's tokens that each expert gets.
    speeds : ndarray of shape (ranks,)
        Relative speed of each rank; 0 for a rank that takes no part.
    budget_moves : float
        Expert copies that may be moved now; infinite for no bound.
    """

    slots: IntArray
    shares: FloatArray
    speeds: FloatArray
    budget_moves: float = float("inf")


class Planner(abc.ABC):
    """Plans a group's placement.

    Parameters
    ----------
    weigh : str
        `skew` or `cost`: what the group's users mind more.
    """

    def __init__(self, *, weigh: str = "skew"):
        self.weigh = weigh

    @abc.abstractmethod
    def plan(self, given: PlanningInput) -> IntArray:
        """Return the slots wanted; equal to `given.slots` for no change."""


def initial_slots(*, layers: int, experts: int, ranks: int, slots: int) -> IntArray:
    """Return each expert on one rank in turn.

    Examples
    --------
    >>> initial_slots(layers=1, experts=3, ranks=2, slots=2).tolist()
    [[[0, 2], [1, -1]]]
    """
    filled = np.full((layers, ranks, slots), EMPTY, dtype=np.int64)
    for expert in range(experts):
        filled[:, expert % ranks, expert // ranks] = expert
    return filled


def slots_of(layers: list[list[list[int]]], *, ranks: int, slots: int) -> IntArray:
    """Return the slots of a map given as the ranks of each layer and expert."""
    filled = np.full((len(layers), ranks, slots), EMPTY, dtype=np.int64)
    for layer, experts in enumerate(layers):
        used = [0] * ranks
        for expert, holders in enumerate(experts):
            for rank in holders:
                filled[layer, rank, used[rank]] = expert
                used[rank] += 1
    return filled


def layers_of(slots: IntArray, *, experts: int) -> list[list[list[int]]]:
    """Return the ranks of each layer and expert.

    Examples
    --------
    >>> layers_of(np.array([[[0, 1], [1, -1]]]), experts=2)
    [[[0], [0, 1]]]
    """
    found: list[list[list[int]]] = [
        [[] for _ in range(experts)] for _ in range(len(slots))
    ]
    for layer, rank, slot in zip(*np.nonzero(slots != EMPTY), strict=True):
        found[layer][slots[layer, rank, slot]].append(int(rank))
    return found


def copies_of(slots: IntArray, experts: int, present: NDArray[np.bool_]) -> FloatArray:
    """Return the number of copies of each expert on ranks that take part."""
    used = np.broadcast_to(present[None, :, None], slots.shape)
    return sum_by_expert(slots, experts, used.astype(np.float64))


def sum_by_expert(slots: IntArray, experts: int, values: FloatArray) -> FloatArray:
    """Return the sum of the slots' `values` for each layer and expert."""
    layers = len(slots)
    wide = experts + 1
    layer = np.arange(layers)[:, None, None]
    cell = np.where(slots == EMPTY, experts, slots) + layer * wide
    sums = np.bincount(cell.ravel(), weights=values.ravel(), minlength=layers * wide)
    return np.asarray(sums, dtype=np.float64).reshape(layers, wide)[:, :experts]


def slot_loads(
    slots: IntArray, shares: FloatArray, present: NDArray[np.bool_]
) -> FloatArray:
    """Return the share of tokens that each slot's copy gets."""
    copies = copies_of(slots, shares.shape[1], present)
    each = shares / np.maximum(copies, 1.0)
    layer = np.arange(slots.shape[0])[:, None, None]
    loads = each[layer, np.maximum(slots, 0)]
    return np.where((slots != EMPTY) & present[None, :, None], loads, 0.0)


def rank_times(slots: IntArray, shares: FloatArray, speeds: FloatArray) -> FloatArray:
    """Return the relative time of each layer and rank that takes part."""
    present = speeds > 0
    loads = slot_loads(slots, shares, present).sum(axis=2)
    return loads[:, present] / speeds[present]


def step_skew(slots: IntArray, shares: FloatArray, speeds: FloatArray) -> float:
    """Return the spread between the fastest and slowest rank, in mean rank times.

    Ranks wait for each other in every layer, so the spreads of all layers add up.

    Examples
    --------
    >>> even = np.array([[[0], [1]]])
    >>> round(step_skew(even, np.array([[0.75, 0.25]]), np.ones(2)), 2)
    1.0
    """
    times = rank_times(slots, shares, speeds)
    spread = times.max(axis=1) - times.min(axis=1)
    return float(spread.sum() / times.mean(axis=1).sum())


def moved_copies(before: IntArray, after: IntArray, experts: int) -> IntArray:
    """Return how many copies each rank has to load to pass to another placement.

    Examples
    --------
    >>> moved_copies(np.array([[[0, 1]]]), np.array([[[1, 2]]]), 3).tolist()
    [1]
    """
    held = _held(before, experts)
    wanted = _held(after, experts)
    return (wanted & ~held).sum(axis=(0, 2))


def missing_experts(
    slots: IntArray, experts: int, present: NDArray[np.bool_]
) -> list[tuple[int, int]]:
    """Return the (layer, expert) pairs without a copy on a rank that takes part."""
    copies = copies_of(slots, experts, present)
    return [(int(la), int(ex)) for la, ex in zip(*np.nonzero(copies == 0), strict=True)]


def repair(given: PlanningInput) -> IntArray:
    """Return the slots with a copy of each expert that had none.

    A lost expert takes an empty slot, or else that of the replica with the least load,
    on the rank with the least load that does not hold it.
    """
    experts = given.shares.shape[1]
    present = given.speeds > 0
    slots = given.slots.copy()
    slots[:, ~present, :] = EMPTY
    for layer, expert in missing_experts(slots, experts, present):
        view = slots[layer : layer + 1]
        shares = given.shares[layer : layer + 1]
        loads = slot_loads(view, shares, present)[0]
        copies = copies_of(view, experts, present)[0]
        free = (view[0] == EMPTY) | (copies[np.maximum(view[0], 0)] > 1)
        free &= present[:, None]
        speeds = np.where(present, given.speeds, 1.0)
        cost = loads.sum(axis=1)[:, None] / speeds[:, None]
        cost = np.where(free, cost + np.where(view[0] == EMPTY, 0.0, loads), np.inf)
        rank, slot = np.unravel_index(int(np.argmin(cost)), cost.shape)
        slots[layer, rank, slot] = expert
    return slots


def _held(slots: IntArray, experts: int) -> NDArray[np.bool_]:
    layers, ranks, _ = slots.shape
    held = np.zeros((layers, ranks, experts + 1), dtype=bool)
    layer = np.arange(layers)[:, None, None]
    rank = np.arange(ranks)[None, :, None]
    held[layer, rank, np.where(slots == EMPTY, experts, slots)] = True
    return held[:, :, :experts]
