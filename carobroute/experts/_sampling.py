"""Sampling of how often a group's calls choose each expert."""

import asyncio
import math
import random
from collections.abc import Sequence

from carobroute.experts._layout import compute_expert_shares
from carobroute.experts._rank_group import ExpertRankHandle, RankGroup
from carobroute.platform import ExpertCounts
from carobroute.utils import Clock

# L1 distance of two samples, averaged over the layer sets, from which on they show
# different demand. It is at most 2.
MAX_SAMPLE_DISTANCE = 0.3
# Longest time for which a sample waits for the end of a pass, and the margin for passes
# of unlike length.
MAX_DURATION_MS = 1_500.0
PASS_TIME_MARGIN = 1.3
# Samples that are averaged; older ones lose weight.
MAX_SAMPLES = 4


class CountSampler:
    """Estimates the demand for experts from the counts of a few ranks.

    Each rank counts the choices of its own calls, which are a sample of the group's.
    Samples are averaged until one differs so much that the demand must have changed.

    Parameters
    ----------
    clock : Clock
        Source of time.
    random : random.Random
        Random number generator that selects the ranks.
    min_calls : int
        Number of calls that a sample must cover if all slots of the ranks are taken. A
        group pauses for each rank that is read.
    min_duration_ms : float
        Shortest time over which choices are counted. A sample covers a whole pass.
    """

    __slots__ = (
        "_clock",
        "_demand",
        "_last_distance",
        "_min_calls",
        "_min_duration_ms",
        "_random",
        "_sample_count",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        random: random.Random,
        min_calls: int,
        min_duration_ms: float,
    ):
        self._clock = clock
        self._random = random
        self._min_calls = min_calls
        self._min_duration_ms = min_duration_ms
        # Mean of the samples since the last change of the demand, and their number.
        self._demand: list[list[float]] = []
        self._sample_count = 0
        self._last_distance = 0.0

    @property
    def demand(self) -> list[list[float]]:
        """Latest estimate of each expert's share, by layer set; empty for none."""
        return self._demand

    @property
    def sample_count(self) -> int:
        """Number of samples in the estimate, a measure of how sure it is."""
        return self._sample_count

    @property
    def last_distance(self) -> float:
        """Distance of the last sample from the estimate before it."""
        return self._last_distance

    def reset(self) -> None:
        """Forget earlier samples, because the demand has probably changed."""
        self._demand, self._sample_count = [], 0

    async def sample_shares(
        self, group: RankGroup, pass_ms: float
    ) -> list[list[float]] | None:
        """Return each expert's estimated share of the tokens of its layer set.

        Parameters
        ----------
        group : RankGroup
            Group whose ranks are read.
        pass_ms : float
            Current time of one of its passes.

        Returns None if no choices were counted or a counter was reset.
        """
        sample = await self._take_sample(group, pass_ms)
        if sample is None:
            return None
        is_first = not self._demand
        self._last_distance = 0.0 if is_first else distance(self._demand, sample)
        is_same = not is_first and self._last_distance < MAX_SAMPLE_DISTANCE
        self._sample_count = min(self._sample_count, MAX_SAMPLES - 1) if is_same else 0
        self._sample_count += 1
        if not is_same:
            self._demand = sample
            return sample
        weight = 1.0 / self._sample_count
        self._demand = [
            [old + weight * (new - old) for old, new in zip(*sets, strict=True)]
            for sets in zip(self._demand, sample, strict=True)
        ]
        return self._demand

    async def _take_sample(
        self, group: RankGroup, pass_ms: float
    ) -> list[list[float]] | None:
        rank_count = min(
            len(group.ranks), max(2, math.ceil(self._min_calls / group.slots))
        )
        ranks = self._random.sample(group.ranks, rank_count)
        before = await self._read(ranks)
        began_ms = self._clock.now_ms()
        # Choices are counted when a pass ends, and passes vary in length.
        wait_ms = max(self._min_duration_ms, PASS_TIME_MARGIN * pass_ms)
        while self._clock.now_ms() - began_ms < MAX_DURATION_MS:
            await self._clock.sleep_ms(min(wait_ms, MAX_DURATION_MS))
            shares = _compare_counts(group, before, await self._read(ranks))
            if shares is not None:
                return shares
            wait_ms = self._min_duration_ms
        return None

    async def _read(
        self, ranks: Sequence[ExpertRankHandle]
    ) -> list[ExpertCounts | None]:
        return list(await asyncio.gather(*(rank.read_counts() for rank in ranks)))


def _compare_counts(
    group: RankGroup,
    before: Sequence[ExpertCounts | None],
    after: Sequence[ExpertCounts | None],
) -> list[list[float]] | None:
    """Return each expert's share of the choices between two readings of some ranks.

    Returns None if no choices were counted or a counter was reset.
    """
    sets, experts = group.experts.layer_sets, group.experts.experts_per_set
    totals = [0] * (sets * experts)
    for first, last in zip(before, after, strict=True):
        if first is None or last is None or first.epoch != last.epoch:
            continue
        if len(last.counts) != len(totals) or len(first.counts) != len(totals):
            continue
        triples = zip(totals, first.counts, last.counts, strict=True)
        totals = [total + new - old for total, old, new in triples]
    if sum(totals) <= 0 or min(totals) < 0:
        return None
    return compute_expert_shares(totals, sets=sets, experts=experts)


def distance(first: list[list[float]], second: list[list[float]]) -> float:
    """Return the L1 distance of two demands, averaged over the layer sets.

    Examples
    --------
    >>> distance([[1.0, 0.0], [0.5, 0.5]], [[0.0, 1.0], [0.5, 0.5]])
    1.0
    """
    distances = [
        sum(abs(one - other) for one, other in zip(*sets, strict=True))
        for sets in zip(first, second, strict=True)
    ]
    return sum(distances) / len(distances)
