"""A layout for the choices seen, within what ranks can take in at a time."""

from collections.abc import Sequence

import msgspec

from carobroute.experts._layout import Layout, rank_loads

MOST_CHANGES = 80
# Experts below this part of a mean rank's load are not worth a look.
LEAST_LOAD = 0.05
# A swap loads two experts where a copy loads one.
SWAP_WEIGHT = 0.6


class PlanBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of a plan.

    Parameters
    ----------
    places : int
        Experts of a set that a rank holds at most.
    spare : int
        Experts of a set that a rank takes in at most.
    least_gain : float
        Fall of a set's largest load, in mean loads, that a change must bring.
    partners : int
        Least loaded ranks that are looked at as partners of the most loaded one.
    """

    places: int
    spare: int
    least_gain: float = 0.12
    partners: int = 6


class _Change(msgspec.Struct, frozen=True):
    """Gives a copy of an expert to a rank, or moves it there, in place of another."""

    gain: float
    expert: int
    rank: int
    dropped: int | None
    moves: bool


def plan_layout(
    layout: Layout,
    shares: Sequence[Sequence[float]],
    bounds: PlanBounds,
    paces: Sequence[float] | None = None,
) -> Layout:
    """Return a layout in which the slowest rank of each set takes less time.

    All ranks wait for the slowest one, set by set, so only its time counts. It is taken
    down change by change: a copy of one of its experts goes to a quicker rank, or one
    of its experts changes places with another.

    Parameters
    ----------
    layout : Layout
        Layout in use.
    shares : sequence of sequence of float
        Each expert's share of its set's tokens.
    bounds : PlanBounds
        What ranks can hold and take in.
    paces : sequence of float, default=None
        How much slower than published each rank is; None if none is.

    Examples
    --------
    >>> bounds = PlanBounds(places=2, spare=1)
    >>> plan_layout([[[0], [1]]], [[0.75, 0.25]], bounds)
    [[[0, 1], [0, 1]]]
    """
    return [
        _SetPlan(held, share, bounds, paces or [1.0] * len(held)).run()
        for held, share in zip(layout, shares, strict=True)
    ]


class _SetPlan:
    """Search over the changes of one set of layers."""

    __slots__ = (
        "_bounds",
        "_copies",
        "_held",
        "_holders",
        "_original",
        "_paces",
        "_shares",
        "_taken",
        "_times",
    )

    def __init__(
        self,
        held: list[list[int]],
        shares: Sequence[float],
        bounds: PlanBounds,
        paces: Sequence[float],
    ):
        self._paces = paces
        self._bounds = bounds
        self._shares = shares
        self._original = [frozenset(experts) for experts in held]
        self._held = [set(experts) for experts in held]
        self._taken = [0] * len(held)
        self._holders: list[set[int]] = [set() for _ in shares]
        for rank, experts in enumerate(held):
            for expert in experts:
                self._holders[expert].add(rank)
        self._copies = [len(holders) for holders in self._holders]
        self._measure()

    def run(self) -> list[list[int]]:
        """Return the experts of each rank after all changes that are worth it."""
        least = self._bounds.least_gain / len(self._held)
        for _ in range(MOST_CHANGES):
            change = self._best_change()
            if change is None or change.gain < least:
                break
            self._apply(change)
        return [sorted(experts) for experts in self._held]

    def _measure(self) -> None:
        loads = rank_loads([list(experts) for experts in self._held], self._shares)
        self._times = [p * load for p, load in zip(self._paces, loads, strict=True)]

    def _best_change(self) -> _Change | None:
        hot = max(range(len(self._times)), key=self._times.__getitem__)
        order = sorted(range(len(self._times)), key=self._times.__getitem__)
        partners = [r for r in order[: self._bounds.partners] if r != hot]
        least = LEAST_LOAD / len(self._held)
        best: _Change | None = None
        for expert in self._held[hot]:
            if self._part(expert) < least:
                continue
            for rank in partners:
                if expert in self._held[rank] or not self._can_take(rank, expert):
                    continue
                for change in self._changes(hot, expert, rank):
                    if best is None or change.gain > best.gain:
                        best = change
        return best

    def _changes(self, hot: int, expert: int, rank: int) -> list[_Change]:
        full = len(self._held[rank]) >= self._bounds.places
        changes = []
        for dropped in self._held[rank] if full else {None}:
            if dropped is None or self._copies[dropped] > 1:
                gain = self._times[hot] - self._after_copy(hot, expert, rank, dropped)
                changes.append(_Change(gain, expert, rank, dropped, False))
        for swapped in [*self._held[rank], *([] if full else [None])]:
            if swapped is not None and (
                swapped in self._held[hot] or not self._can_take(hot, swapped)
            ):
                continue
            moved = self._part(expert) - (
                0.0 if swapped is None else self._part(swapped)
            )
            after = max(
                self._times[rank] + self._paces[rank] * moved,
                self._times[hot] - self._paces[hot] * moved,
            )
            gain = SWAP_WEIGHT * (self._times[hot] - after)
            changes.append(_Change(gain, expert, rank, swapped, True))
        return changes

    def _after_copy(
        self, hot: int, expert: int, rank: int, dropped: int | None
    ) -> float:
        """Return the longest time that a further copy leaves to ranks it touches."""
        copies = self._copies[expert]
        fall = self._part(expert) - self._shares[expert] / (copies + 1)
        added = self._shares[expert] / (copies + 1)
        most = self._times[hot] - self._paces[hot] * fall
        if dropped is None:
            return max(most, self._times[rank] + self._paces[rank] * added)
        part = self._part(dropped)
        rise = self._shares[dropped] / (self._copies[dropped] - 1) - part
        most = max(most, self._times[rank] + self._paces[rank] * (added - part))
        for other in self._holders[dropped]:
            if other != rank:
                relief = fall if other in self._holders[expert] else 0.0
                change = self._paces[other] * (rise - relief)
                most = max(most, self._times[other] + change)
        return most

    def _part(self, expert: int) -> float:
        return self._shares[expert] / self._copies[expert]

    def _can_take(self, rank: int, expert: int) -> bool:
        new = expert not in self._original[rank]
        return not new or self._taken[rank] < self._bounds.spare

    def _apply(self, change: _Change) -> None:
        hot = max(range(len(self._times)), key=self._times.__getitem__)
        if change.dropped is not None:
            self._drop(change.rank, change.dropped)
        if change.moves:
            self._drop(hot, change.expert)
            if change.dropped is not None:
                self._add(hot, change.dropped)
        self._add(change.rank, change.expert)
        self._measure()

    def _add(self, rank: int, expert: int) -> None:
        self._held[rank].add(expert)
        self._holders[expert].add(rank)
        self._copies[expert] += 1
        self._taken[rank] += expert not in self._original[rank]

    def _drop(self, rank: int, expert: int) -> None:
        self._held[rank].discard(expert)
        self._holders[expert].discard(rank)
        self._copies[expert] -= 1
        self._taken[rank] -= expert not in self._original[rank]
