"""Rebalancing of a rank group's experts when its passes are too slow."""

import abc
import asyncio
import random
from collections.abc import Sequence

import msgspec

from carobroute.domain import ExpertProfile
from carobroute.experts._layout import (
    ExpertLayout,
    compute_expert_shares,
    compute_imbalance,
    initial_layout,
)
from carobroute.experts._pass_time import PassTimeEstimator
from carobroute.experts._plan import PlanBounds, plan_layout
from carobroute.experts._switch import (
    MapSwitch,
    RankHandle,
    SwitchParameters,
    SwitchResult,
)
from carobroute.platform import ExpertCounts, HeldExperts, RankReport
from carobroute.telemetry import EventLog
from carobroute.utils import Clock, gather_few

# Reads from ranks in flight; more would queue in this process and on its link.
MAX_CONCURRENT_READS = 8


class ExpertRankHandle(RankHandle):
    """Handle of a rank that also reads its expert counts and the experts it holds."""

    __slots__ = ()

    @abc.abstractmethod
    async def read_counts(self) -> ExpertCounts | None:
        """Return how often each expert was chosen, or None if there is no answer."""

    @abc.abstractmethod
    async def read_held_experts(self) -> HeldExperts | None:
        """Return the experts that the rank holds, or None if there is no answer."""


class CoordinatorDuty(abc.ABC):
    """Lease on the coordination of a group, which one process holds at a time.

    After a pause, a process may act on a lease that another process holds by then.
    Everything done under the lease must be safe in that case too.
    """

    __slots__ = ()

    @abc.abstractmethod
    async def acquire(self) -> bool:
        """Acquire or renew the lease; return whether this process holds it."""

    @abc.abstractmethod
    async def release(self) -> None:
        """Release the lease, if this process holds it."""


class RankGroup(msgspec.Struct, frozen=True, kw_only=True):
    """A rank group of which every rank is known.

    Parameters
    ----------
    name : str
        Name of the group.
    epoch : int
        Number of times that the group has formed.
    ranks : list of ExpertRankHandle
        Handles of all ranks, in rank order.
    experts : ExpertProfile
        Number, size and limits of the group's experts.
    gap_target_ms : float
        Longest time between two events of a stream that is on time; 0 for no target.
    """

    name: str
    epoch: int
    ranks: list[ExpertRankHandle]
    experts: ExpertProfile
    gap_target_ms: float


class RebalanceParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Thresholds and intervals of rebalancing.

    Parameters
    ----------
    check_interval_ms : float
        Interval between two checks of the group's pass time.
    slow_pass_share : float
        Fraction of the gap target from which on passes count as too slow. With faster
        passes callers have their answers in time, and copies of experts, counts and
        orders would cost without a benefit.
    min_imbalance_reduction : float
        Smallest relative reduction of the imbalance for which a plan is carried out.
    sample_ranks : int
        Number of ranks whose counts are read. The counts of each rank are a sample of
        the same traffic.
    sample_ms : float
        Time over which choices are counted: several passes.
    plan_interval_ms : float
        Shortest time between two plans.
    rejected_plan_interval_ms : float
        Shortest time to the next plan after one that reduced the imbalance too little.
        The layout is then not the cause of the slow passes, and counts cost.
    pending_check_interval_ms : float
        Interval between two checks of whether the map of the last switch is in use.
    stall_silence_ms : float
        Time without an event on any stream, after which the group is checked for a
        hold of a lost coordinator.
    """

    check_interval_ms: float = 50.0
    slow_pass_share: float = 0.5
    min_imbalance_reduction: float = 0.12
    sample_ranks: int = 2
    sample_ms: float = 250.0
    plan_interval_ms: float = 400.0
    rejected_plan_interval_ms: float = 1_500.0
    pending_check_interval_ms: float = 150.0
    stall_silence_ms: float = 600.0


class GroupRebalancer:
    """Rebalances the experts of one group while its passes are too slow.

    It also frees a group that a lost coordinator has left held.

    Parameters
    ----------
    duty : CoordinatorDuty
        Lease on the coordination of the group.
    pass_time_estimator : PassTimeEstimator
        Estimate of the group's pass time.
    events : EventLog
        Log of decisions.
    clock : Clock
        Source of time.
    random : random.Random
        Random number generator that selects the sampled ranks.
    parameters : RebalanceParameters, default=None
        Thresholds and intervals of rebalancing; None for the defaults.
    switch : SwitchParameters, default=None
        Times and limits of a switch; None for the defaults.
    """

    __slots__ = (
        "_checked_epoch",
        "_clock",
        "_duty",
        "_epoch",
        "_events",
        "_layout",
        "_next_action_ms",
        "_parameters",
        "_pass_time_estimator",
        "_random",
        "_switch_parameters",
        "_switched_version",
        "_version",
    )

    def __init__(
        self,
        *,
        duty: CoordinatorDuty,
        pass_time_estimator: PassTimeEstimator,
        events: EventLog,
        clock: Clock,
        random: random.Random,
        parameters: RebalanceParameters | None = None,
        switch: SwitchParameters | None = None,
    ):
        self._duty = duty
        self._pass_time_estimator = pass_time_estimator
        self._events = events
        self._clock = clock
        self._random = random
        self._parameters = parameters or RebalanceParameters()
        self._switch_parameters = switch
        self._next_action_ms = 0.0
        # Formation of the group at the last switch attempt.
        self._epoch = -1
        # Last formation of the group that was checked and found without a hold.
        self._checked_epoch = -1
        # Version of the last switch or recovery that this process began.
        self._version = 0
        # Version of the last map to which this process has switched the group.
        self._switched_version = 0
        self._layout: ExpertLayout | None = None

    async def check_group(self, group: RankGroup) -> None:
        """Check the group once, and free or rebalance it if necessary."""
        if self._clock.now_ms() < self._next_action_ms:
            return
        is_stalled = (
            self._pass_time_estimator.silent_ms > self._parameters.stall_silence_ms
        )
        slow_pass_ms = self._parameters.slow_pass_share * group.gap_target_ms
        if is_stalled or self._checked_epoch != group.epoch:
            await self._check_for_hold(group)
            delay_ms = self._parameters.plan_interval_ms
        elif slow_pass_ms and self._pass_time_estimator.pass_ms >= slow_pass_ms:
            delay_ms = await self._handle_slow_passes(group)
        else:
            return
        self._next_action_ms = self._clock.now_ms() + delay_ms

    async def release(self) -> None:
        """Release the lease, so that another process can coordinate the group."""
        await self._duty.release()

    async def _check_for_hold(self, group: RankGroup) -> None:
        """Free a group that a lost coordinator has left held.

        Silent streams are the only sign of this. A process that has just started has
        no streams yet, so it checks each formation of the group once.
        """
        reports = await self._read_reports(group)
        if reports is None:
            return
        self._checked_epoch = group.epoch
        if not any(report.held_step is not None for report in reports):
            return
        # The group stays unchecked until it is found without a hold.
        self._checked_epoch = -1
        # A live coordinator renews its lease, and releases the group itself.
        if await self._duty.acquire():
            await self._recover(group, reports)

    async def _handle_slow_passes(self, group: RankGroup) -> float:
        """Free or rebalance a slow group; return the time to the next check, in ms."""
        delay_ms = self._parameters.plan_interval_ms
        if not await self._duty.acquire():
            return delay_ms
        reports = await self._read_reports(group)
        if reports is None:
            return delay_ms
        if any(report.held_step is not None for report in reports):
            await self._recover(group, reports)
        elif self._is_switch_pending(group, reports):
            return self._parameters.pending_check_interval_ms
        elif not await self._rebalance(group, reports):
            return self._parameters.rejected_plan_interval_ms
        return delay_ms

    def _is_switch_pending(
        self, group: RankGroup, reports: Sequence[RankReport]
    ) -> bool:
        """Return whether reports still show the map from before the last switch.

        The new map waits for its pass, or has been in use for less time than reports
        lag. A plan would start from the previous map.
        """
        switched_version = self._switched_version if self._epoch == group.epoch else 0
        return any(
            report.armed is not None or report.version < switched_version
            for report in reports
        )

    async def _read_reports(self, group: RankGroup) -> list[RankReport] | None:
        answered = await gather_few(
            [r.read_report for r in group.ranks], MAX_CONCURRENT_READS
        )
        reports = [report for report in answered if report is not None]
        is_complete = len(reports) == len(group.ranks) and all(
            report.epoch == group.epoch and report.is_group_open for report in reports
        )
        if not is_complete:
            self._events.event(
                "group_not_whole", group=group.name, reports=len(reports)
            )
            return None
        return reports

    async def _recover(self, group: RankGroup, reports: list[RankReport]) -> None:
        layout = await self._read_current_layout(group, reports)
        if layout is None:
            return
        result = await self._create_switch(group, reports, layout, layout).recover(
            reports
        )
        self._events.event(
            "held_group_recovered",
            group=group.name,
            epoch=group.epoch,
            outcome=result.value,
        )

    async def _rebalance(self, group: RankGroup, reports: list[RankReport]) -> bool:
        """Plan a layout and switch to it; return False if the plan is rejected.

        Returns True as well if the layout or the counts could not be read.
        """
        experts = group.experts
        layout = await self._read_current_layout(group, reports)
        counts = await self._sample_counts(group)
        if layout is None or counts is None:
            return True
        shares = compute_expert_shares(
            counts, sets=experts.layer_sets, experts=experts.experts_per_set
        )
        bounds = PlanBounds(
            max_experts=experts.max_experts_per_rank,
            max_received=experts.max_received_per_rank,
        )
        slowdowns = [report.slowdown for report in reports]
        planned = plan_layout(layout, shares, bounds, slowdowns)
        before = compute_imbalance(layout, shares, slowdowns)
        after = compute_imbalance(planned, shares, slowdowns)
        is_accepted = after <= (1 - self._parameters.min_imbalance_reduction) * before
        self._events.event(
            "layout_planned",
            group=group.name,
            epoch=group.epoch,
            pass_ms=round(self._pass_time_estimator.pass_ms, 1),
            choices=sum(counts),
            slowest_rank=max(slowdowns),
            imbalance=round(before, 2),
            planned=round(after, 2),
            copies=_count_received_experts(layout, planned),
            bought=is_accepted,
        )
        if not is_accepted:
            return False
        switch = self._create_switch(group, reports, planned, layout)
        began_ms = self._clock.now_ms()
        result = await switch.run(reports)
        if result is SwitchResult.SWITCHED:
            self._layout = planned
            self._switched_version = self._version
        else:
            self._layout = None
        self._events.event(
            "map_switch_ended",
            group=group.name,
            epoch=group.epoch,
            version=self._version,
            outcome=result.value,
            took_ms=round(self._clock.now_ms() - began_ms),
        )
        return True

    def _create_switch(
        self,
        group: RankGroup,
        reports: Sequence[RankReport],
        layout: ExpertLayout,
        current: ExpertLayout,
    ) -> MapSwitch:
        versions = [self._version if self._epoch == group.epoch else 0]
        for report in reports:
            versions += [report.version, report.prepared or 0]
            versions += [report.armed.version if report.armed else 0]
        is_held = any(report.held_step is not None for report in reports)
        # Undoing needs the version that is armed; a new map needs a higher one.
        self._version = max(versions) if is_held else max(versions) + 1
        if self._epoch != group.epoch:
            self._epoch, self._switched_version = group.epoch, 0
        return MapSwitch(
            ranks=group.ranks,
            epoch=group.epoch,
            version=self._version,
            layout=layout,
            current=current,
            pass_ms=self._pass_time_estimator.pass_ms,
            clock=self._clock,
            parameters=self._switch_parameters,
        )

    async def _sample_counts(self, group: RankGroup) -> list[int] | None:
        """Return how often each expert was chosen within the sampling time.

        Returns None if no choices were counted or a counter was reset.
        """
        rank_count = min(self._parameters.sample_ranks, len(group.ranks))
        ranks = self._random.sample(group.ranks, rank_count)
        before = await asyncio.gather(*(rank.read_counts() for rank in ranks))
        await self._clock.sleep_ms(self._parameters.sample_ms)
        after = await asyncio.gather(*(rank.read_counts() for rank in ranks))
        totals = [0] * (group.experts.layer_sets * group.experts.experts_per_set)
        for first, last in zip(before, after, strict=True):
            if first is None or last is None or first.epoch != last.epoch:
                continue
            if len(last.counts) != len(totals) or len(first.counts) != len(totals):
                continue
            pairs = zip(first.counts, last.counts, strict=True)
            chosen = [new - old for old, new in pairs]
            totals = [sum(pair) for pair in zip(totals, chosen, strict=True)]
        return totals if sum(totals) > 0 and min(totals) >= 0 else None

    async def _read_current_layout(
        self, group: RankGroup, reports: Sequence[RankReport]
    ) -> ExpertLayout | None:
        """Return the layout in use, or None if the ranks do not agree on it.

        It is read from the ranks only if it cannot be known from their versions.
        """
        versions = {report.version for report in reports}
        experts = group.experts
        if versions == {0}:
            return initial_layout(
                sets=experts.layer_sets,
                experts=experts.experts_per_set,
                ranks=len(group.ranks),
            )
        is_known = self._epoch == group.epoch and versions == {self._version}
        if is_known and self._layout is not None:
            return self._layout
        answered = await gather_few(
            [r.read_held_experts for r in group.ranks], MAX_CONCURRENT_READS
        )
        answers = [answer for answer in answered if answer is not None]
        maps = {(answer.epoch, answer.version) for answer in answers}
        if len(answers) < len(group.ranks) or len(maps) != 1:
            return None
        return [
            [answer.experts_by_set[index] for answer in answers]
            for index in range(experts.layer_sets)
        ]


def _count_received_experts(before: ExpertLayout, after: ExpertLayout) -> int:
    """Return the number of experts that ranks have to receive, over all layer sets."""
    return sum(
        len(set(new) - set(old))
        for old_set, new_set in zip(before, after, strict=True)
        for old, new in zip(old_set, new_set, strict=True)
    )
