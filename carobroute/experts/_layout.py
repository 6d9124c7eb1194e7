"""Which ranks hold which experts, and what load follows from it."""

from collections.abc import Sequence

# Experts by set of layers and rank.
Layout = list[list[list[int]]]


def initial_layout(*, sets: int, experts: int, ranks: int) -> Layout:
    """Return the layout that a group begins with: experts in turn.

    Examples
    --------
    >>> initial_layout(sets=1, experts=5, ranks=2)
    [[[0, 2, 4], [1, 3]]]
    """
    return [
        [list(range(rank, experts, ranks)) for rank in range(ranks)]
        for _ in range(sets)
    ]


def rank_loads(held: Sequence[Sequence[int]], shares: Sequence[float]) -> list[float]:
    """Return the share of a set's tokens that each rank gets.

    The ranks that hold an expert share its tokens evenly.

    Examples
    --------
    >>> rank_loads([[0], [0, 1]], [0.5, 0.5])
    [0.25, 0.75]
    """
    copies = [0] * len(shares)
    for experts in held:
        for expert in experts:
            copies[expert] += 1
    return [sum(shares[e] / copies[e] for e in experts) for experts in held]


def imbalance(
    layout: Layout,
    shares: Sequence[Sequence[float]],
    paces: Sequence[float] | None = None,
) -> float:
    """Return the slowest rank's time in mean loads, averaged over the sets.

    Parameters
    ----------
    layout : Layout
        Which ranks hold which experts.
    shares : sequence of sequence of float
        Each expert's share of its set's tokens.
    paces : sequence of float, default=None
        How much slower than published each rank is; None if none is.

    Examples
    --------
    >>> imbalance([[[0], [1]]], [[0.75, 0.25]])
    1.5
    >>> imbalance([[[0], [1]]], [[0.5, 0.5]], [1.0, 4.0])
    4.0
    """
    peaks = []
    for held, share in zip(layout, shares, strict=True):
        slow = paces or [1.0] * len(held)
        loads = rank_loads(held, share)
        times = [pace * load for pace, load in zip(slow, loads, strict=True)]
        peaks.append(max(times) * len(held))
    return sum(peaks) / len(peaks)


def shares_of(counts: Sequence[int], *, sets: int, experts: int) -> list[list[float]]:
    """Return each expert's share of its set's choices.

    Without any choice in a set, all experts count alike.

    Examples
    --------
    >>> shares_of([1, 3, 0, 0], sets=2, experts=2)
    [[0.25, 0.75], [0.5, 0.5]]
    """
    shares = []
    for index in range(sets):
        chosen = counts[index * experts : (index + 1) * experts]
        total = sum(chosen)
        shares.append(
            [count / total for count in chosen] if total else [1 / experts] * experts
        )
    return shares
