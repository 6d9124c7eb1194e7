"""Sampling of how often a group's calls choose each expert."""

import asyncio
import random
from collections.abc import Sequence

from carobroute.experts._layout import compute_expert_shares
from carobroute.experts._rank_group import ExpertRankHandle, RankGroup
from carobroute.platform import ExpertCounts
from carobroute.utils import Clock


class CountSampler:
    """Reads the counts of a few ranks twice, and returns the difference.

    Each rank counts the choices of its own calls, which are a sample of the group's.

    Parameters
    ----------
    clock : Clock
        Source of time.
    random : random.Random
        Random number generator that selects the ranks.
    rank_count : int
        Number of ranks whose counts are read. A group pauses for each reading.
    duration_ms : float
        Time over which choices are counted.
    """

    __slots__ = ("_clock", "_duration_ms", "_random", "_rank_count")

    def __init__(
        self,
        *,
        clock: Clock,
        random: random.Random,
        rank_count: int,
        duration_ms: float,
    ):
        self._clock = clock
        self._random = random
        self._rank_count = rank_count
        self._duration_ms = duration_ms

    async def sample_shares(self, group: RankGroup) -> list[list[float]] | None:
        """Return each expert's share of the tokens of its layer set.

        Returns None if no choices were counted or a counter was reset.
        """
        rank_count = min(self._rank_count, len(group.ranks))
        ranks = self._random.sample(group.ranks, rank_count)
        before = await self._read(ranks)
        await self._clock.sleep_ms(self._duration_ms)
        after = await self._read(ranks)
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

    async def _read(
        self, ranks: Sequence[ExpertRankHandle]
    ) -> list[ExpertCounts | None]:
        return list(await asyncio.gather(*(rank.read_counts() for rank in ranks)))
