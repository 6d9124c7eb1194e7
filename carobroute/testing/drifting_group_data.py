"""A simulated rank group in which the demand for experts changes again and again."""

import random

from carobroute.domain import ExpertProfile
from carobroute.experts import (
    ExpertRankHandle,
    PassTimeEstimator,
    RankGroup,
    compute_imbalance,
    initial_layout,
)
from carobroute.platform import (
    ExpertCounts,
    HeldExperts,
    OrderAction,
    OrderResult,
    RankOrder,
    RankReport,
)
from carobroute.testing.rank_group_data import (
    ANSWER_DELAY_MS,
    REPORT_LAG_MS,
    SimulatedRank,
    SimulatedRankGroup,
)
from carobroute.utils import Clock


def make_zipf_shares(
    random: random.Random, *, sets: int, experts: int, exponent: float
) -> list[list[float]]:
    """Return Zipf-distributed shares of the experts, shuffled in each layer set."""
    weights = [rank**-exponent for rank in range(1, experts + 1)]
    total = sum(weights)
    shares = []
    for _ in range(sets):
        random.shuffle(weights)
        shares.append([weight / total for weight in weights])
    return shares


class DriftingRankGroup:
    """Rank group whose passes are as slow as its layout is uneven for the demand.

    The demand for experts changes at fixed intervals, and ranks take their time to
    copy experts.

    Parameters
    ----------
    clock : Clock
        Source of time.
    random : random.Random
        Random number generator for the demand.
    size : int
        Number of ranks.
    experts : ExpertProfile
        Number, size and limits of the experts.
    exponent : float
        Exponent of the Zipf distribution of the demand.
    drift_interval_ms : float
        Time between two changes of the demand.
    pass_time_estimator : PassTimeEstimator
        Estimator that is told of each pass.
    """

    TOKENS_PER_PASS = 2_000
    FIXED_PASS_MS = 35.0
    EVEN_PASS_MS = 27.0

    def __init__(
        self,
        *,
        clock: Clock,
        random: random.Random,
        size: int,
        experts: ExpertProfile,
        exponent: float,
        drift_interval_ms: float,
        pass_time_estimator: PassTimeEstimator,
    ):
        self._group = SimulatedRankGroup(clock=clock, random=random, size=size)
        self._experts = experts
        self._exponent = exponent
        self._drift_interval_ms = drift_interval_ms
        self._estimator = pass_time_estimator
        self._layouts = {
            0: initial_layout(
                sets=experts.layer_sets, experts=experts.experts_per_set, ranks=size
            )
        }
        self._counts = [0.0] * (experts.layer_sets * experts.experts_per_set)
        self._ranks = [DriftingRank(group=self, rank=rank) for rank in range(size)]
        # Start and time of each pass, and the times at which the demand changed.
        self.passes: list[tuple[float, float]] = []
        self.drifts_ms: list[float] = []

    @property
    def rank_group(self) -> RankGroup:
        """The group as the rebalancer gets it."""
        return RankGroup(
            name="g",
            epoch=1,
            ranks=list(self._ranks),
            experts=self._experts,
            slots=6,
            report_lag_ms=REPORT_LAG_MS,
            gap_target_ms=120.0,
        )

    @property
    def simulated(self) -> SimulatedRankGroup:
        """Ranks that carry out the orders."""
        return self._group

    @property
    def counts(self) -> list[int]:
        """Choices of each expert by one rank's calls, over all sets."""
        return [int(count) for count in self._counts]

    def copy_ms(self, order: RankOrder, rank: int) -> float:
        """Return how long a rank copies the experts of an order to prepare."""
        version, layout = order.version or 0, order.layout or []
        self._layouts.setdefault(version, layout)
        current = self._layouts[self._group.ranks[rank].version]
        received = sum(
            len(set(new[rank]) - set(old[rank]))
            for old, new in zip(current, layout, strict=True)
        )
        return received * self._experts.copy_ms

    async def run(self) -> None:
        """Make passes until cancelled."""
        clock, next_drift_ms = self._group.clock, 0.0
        shares: list[list[float]] = []
        self._estimator.note_call_begin()
        while True:
            if clock.now_ms() >= next_drift_ms:
                next_drift_ms = clock.now_ms() + self._drift_interval_ms
                self.drifts_ms.append(clock.now_ms())
                shares = make_zipf_shares(
                    self._group.random,
                    sets=self._experts.layer_sets,
                    experts=self._experts.experts_per_set,
                    exponent=self._exponent,
                )
            if not self._group.begin_pass():
                await clock.sleep_ms(1.0)
                continue
            layout = self._layouts[self._group.versions_by_pass[-1][0]]
            imbalance = compute_imbalance(layout, shares)
            pass_ms = self.FIXED_PASS_MS + self.EVEN_PASS_MS * imbalance
            self.passes.append((clock.now_ms(), pass_ms))
            await clock.sleep_ms(pass_ms)
            flat = [share for set_shares in shares for share in set_shares]
            self._counts = [
                count + self.TOKENS_PER_PASS * share
                for count, share in zip(self._counts, flat, strict=True)
            ]
            self._estimator.note_event_gap(pass_ms)


class DriftingRank(ExpertRankHandle):
    """Rank of a `DriftingRankGroup`.

    Parameters
    ----------
    group : DriftingRankGroup
        Group of the rank.
    rank : int
        Number of the rank.
    """

    __slots__ = ("_group", "_rank")

    def __init__(self, *, group: DriftingRankGroup, rank: int):
        self._group = group
        self._rank = rank

    @property
    def _simulated(self) -> SimulatedRank:
        return self._group.simulated.ranks[self._rank]

    async def send_order(self, order: RankOrder) -> OrderResult:
        """Carry out an order, after the copies that it requires."""
        if order.action is OrderAction.PREPARE:
            self._simulated.copy_ms = self._group.copy_ms(order, self._rank)
        return await self._simulated.send_order(order)

    async def read_report(self) -> RankReport | None:
        """Return the rank's state as of `REPORT_LAG_MS` ago."""
        return await self._simulated.read_report()

    async def read_counts(self) -> ExpertCounts:
        """Return the choices of the rank's calls, which are like those of the group."""
        await self._group.simulated.clock.sleep_ms(ANSWER_DELAY_MS)
        return ExpertCounts(
            epoch=1, step=self._group.simulated.step, counts=self._group.counts
        )

    async def read_held_experts(self) -> HeldExperts | None:
        """Not known: the rebalancer knows the maps that it has switched to."""
        return None
