"""Layouts of experts over the ranks of a group, and the load that follows from them."""

from collections.abc import Sequence

# Experts of each rank, by layer set: layout[layer_set][rank] lists experts.
ExpertLayout = list[list[list[int]]]


def initial_layout(*, sets: int, experts: int, ranks: int) -> ExpertLayout:
    """Return the round-robin layout that a newly formed group uses.

    Parameters
    ----------
    sets, experts : int
        Number of layer sets, and of experts in each.
    ranks : int
        Number of ranks in the group.

    Examples
    --------
    >>> initial_layout(sets=1, experts=5, ranks=2)
    [[[0, 2, 4], [1, 3]]]
    """
    return [
        [list(range(rank, experts, ranks)) for rank in range(ranks)]
        for _ in range(sets)
    ]


def compute_rank_loads(
    experts_by_rank: Sequence[Sequence[int]], shares: Sequence[float]
) -> list[float]:
    """Return the share of a layer set's tokens that each rank processes.

    The ranks that hold a copy of an expert share its tokens evenly.

    Parameters
    ----------
    experts_by_rank : sequence of sequence of int
        Experts of the set that each rank holds.
    shares : sequence of float
        Each expert's share of the set's tokens.

    Examples
    --------
    >>> compute_rank_loads([[0], [0, 1]], [0.5, 0.5])
    [0.25, 0.75]
    """
    copies = [0] * len(shares)
    for experts in experts_by_rank:
        for expert in experts:
            copies[expert] += 1
    return [sum(shares[e] / copies[e] for e in experts) for experts in experts_by_rank]


def compute_imbalance(
    layout: ExpertLayout,
    shares: Sequence[Sequence[float]],
    slowdowns: Sequence[float] | None = None,
) -> float:
    """Return the slowest rank's time relative to an even load, averaged over the sets.

    The unit is the time that a rank of published speed needs for the mean load.

    Parameters
    ----------
    layout : ExpertLayout
        Experts of each rank, by layer set.
    shares : sequence of sequence of float
        Each expert's share of its layer set's tokens.
    slowdowns : sequence of float, default=None
        Each rank's step time divided by the published one; None if all are 1.

    Examples
    --------
    >>> compute_imbalance([[[0], [1]]], [[0.75, 0.25]])
    1.5
    >>> compute_imbalance([[[0], [1]]], [[0.5, 0.5]], [1.0, 4.0])
    4.0
    """
    peaks = []
    for experts_by_rank, set_shares in zip(layout, shares, strict=True):
        factors = slowdowns or [1.0] * len(experts_by_rank)
        loads = compute_rank_loads(experts_by_rank, set_shares)
        times = [factor * load for factor, load in zip(factors, loads, strict=True)]
        peaks.append(max(times) * len(experts_by_rank))
    return sum(peaks) / len(peaks)


def compute_expert_shares(
    counts: Sequence[int], *, sets: int, experts: int
) -> list[list[float]]:
    """Return each expert's share of the tokens routed in its layer set.

    If no token was routed in a set, its experts get equal shares.

    Parameters
    ----------
    counts : sequence of int
        How often each expert was chosen: all experts of the first layer set, then
        those of the next.
    sets, experts : int
        Number of layer sets, and of experts in each.

    Examples
    --------
    >>> compute_expert_shares([1, 3, 0, 0], sets=2, experts=2)
    [[0.25, 0.75], [0.5, 0.5]]
    """
    shares = []
    for index in range(sets):
        set_counts = counts[index * experts : (index + 1) * experts]
        total = sum(set_counts)
        shares.append(
            [count / total for count in set_counts]
            if total
            else [1 / experts] * experts
        )
    return shares
