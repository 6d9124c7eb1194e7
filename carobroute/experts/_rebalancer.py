"""Rebalancing of a rank group's experts when its passes are too slow."""

import asyncio
import random
import zlib
from collections.abc import Sequence

import msgspec

from carobroute.experts._layout import (
    ExpertLayout,
    compute_imbalance,
    initial_layout,
)
from carobroute.experts._pass_time import PassTimeEstimator
from carobroute.experts._plan import LayoutPlanner, PlanBounds
from carobroute.experts._rank_group import CoordinatorDuty, RankGroup
from carobroute.experts._sampling import CountSampler
from carobroute.experts._switch import (
    VERSION_STRIDE,
    MapSwitch,
    SwitchParameters,
    SwitchResult,
    next_version,
)
from carobroute.platform import RankReport
from carobroute.telemetry import EventLog
from carobroute.utils import Clock, gather_few

# Reads from ranks in flight; more would queue in this process and on its link.
MAX_CONCURRENT_READS = 8
# Longest time for which planning keeps other work of this process waiting.
MAX_PLAN_TURN_MS = 5.0
# Reports may be somewhat older than the configuration says.
REPORT_LAG_MARGIN_MS = 60.0


class RebalanceParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Thresholds and intervals of rebalancing.

    Parameters
    ----------
    slow_pass_share : float
        Fraction of the gap target from which on passes count as too slow. With faster
        passes callers have their answers in time, and copies of experts, counts and
        orders would cost without a benefit.
    slowdown_ratio : float
        Increase of the pass time, relative to the shortest one since the last plan,
        that indicates other demand for experts.
    urgent_pass_share : float
        Fraction of the gap target from which on small reductions count as well.
    min_imbalance_reduction, min_urgent_reduction : float
        Smallest relative reduction of the imbalance for which a plan is carried out,
        and the same while passes are close to the gap target.
    max_prediction_error : float
        Relative excess of the measured imbalance of a map over the planned one up to
        which the map is left as it is.
    sample_calls : int
        Number of calls whose choices are counted, if all slots are taken.
    sample_ms : float
        Shortest time over which choices are counted.
    copy_budget_ms : float
        Time that a rank may take to copy the experts of one plan. The first copies
        gain most, and the next plan adds others.
    retry_interval_ms : float
        Delay after a cycle that could not be completed.
    recheck_interval_ms : float
        Longest time to the next sample after a plan that reduced the imbalance too
        little. The layout is then not the cause of the slow passes, and counts cost.
    settle_timeout_ms : float
        Longest time until the reports of all ranks show the map of a switch; older
        maps are the result of another coordinator.
    pending_check_interval_ms : float
        Interval between two checks of whether an armed map is in use.
    stall_silence_ms : float
        Time without an event on any stream, after which the group is checked for a
        hold of a lost coordinator.
    """

    slow_pass_share: float = 0.5
    slowdown_ratio: float = 1.15
    urgent_pass_share: float = 0.75
    min_imbalance_reduction: float = 0.2
    min_urgent_reduction: float = 0.12
    max_prediction_error: float = 0.25
    sample_calls: int = 12
    sample_ms: float = 160.0
    copy_budget_ms: float = 250.0
    retry_interval_ms: float = 400.0
    recheck_interval_ms: float = 1_500.0
    settle_timeout_ms: float = 1_500.0
    pending_check_interval_ms: float = 150.0
    stall_silence_ms: float = 600.0


class MapInUse(msgspec.Struct, kw_only=True):
    """Map to which this process has switched a group.

    Parameters
    ----------
    epoch, version : int
        Formation of the group, and version of the map.
    layout : ExpertLayout
        Layout of the map.
    planned_imbalance : float
        Imbalance for which the map was planned.
    switched_ms : float
        Time of the switch.
    is_verified : bool
        Whether its imbalance has been measured since the switch.
    """

    epoch: int
    version: int
    layout: ExpertLayout
    planned_imbalance: float
    switched_ms: float
    is_verified: bool = False


class GroupRebalancer:
    """Rebalances the experts of one group while its passes are too slow.

    It also frees a group that a lost coordinator has left held.

    Parameters
    ----------
    duty : CoordinatorDuty
        Lease on the coordination of the group.
    coordinator : str
        Identifier of this process.
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
        "_events",
        "_fastest_pass_ms",
        "_highest_version",
        "_highest_version_epoch",
        "_map_in_use",
        "_next_action_ms",
        "_parameters",
        "_pass_time_estimator",
        "_sampler",
        "_slowdowns",
        "_switch_parameters",
        "_version_remainder",
    )

    def __init__(
        self,
        *,
        duty: CoordinatorDuty,
        coordinator: str,
        pass_time_estimator: PassTimeEstimator,
        events: EventLog,
        clock: Clock,
        random: random.Random,
        parameters: RebalanceParameters | None = None,
        switch: SwitchParameters | None = None,
    ):
        self._duty = duty
        self._version_remainder = zlib.crc32(coordinator.encode()) % VERSION_STRIDE
        self._pass_time_estimator = pass_time_estimator
        self._events = events
        self._clock = clock
        self._parameters = parameters or RebalanceParameters()
        self._switch_parameters = switch
        self._sampler = CountSampler(
            clock=clock,
            random=random,
            min_calls=self._parameters.sample_calls,
            min_duration_ms=self._parameters.sample_ms,
        )
        self._next_action_ms = 0.0
        # Shortest pass time since the last cycle.
        self._fastest_pass_ms = 0.0
        # Last formation of the group that was checked and found without a hold.
        self._checked_epoch = -1
        # Highest version that this process has used, and the formation it was for.
        self._highest_version = 0
        self._highest_version_epoch = -1
        self._map_in_use: MapInUse | None = None
        # Slowdown of each rank in the last reports.
        self._slowdowns: list[float] | None = None

    @property
    def _has_slowed_down(self) -> bool:
        """Whether passes have become slower since a verified map was left as it is."""
        if self._map_in_use is None or not self._map_in_use.is_verified:
            return False
        limit_ms = self._parameters.slowdown_ratio * self._fastest_pass_ms
        return self._pass_time_estimator.pass_ms > limit_ms

    async def check_group(self, group: RankGroup) -> None:
        """Check the group once, and free or rebalance it if necessary."""
        pass_ms = self._pass_time_estimator.pass_ms
        self._fastest_pass_ms = min(self._fastest_pass_ms or pass_ms, pass_ms)
        if self._has_slowed_down:
            self._sampler.reset()
        elif self._clock.now_ms() < self._next_action_ms:
            return
        is_stalled = (
            self._pass_time_estimator.silent_ms > self._parameters.stall_silence_ms
        )
        slow_pass_ms = self._parameters.slow_pass_share * group.gap_target_ms
        if is_stalled or self._checked_epoch != group.epoch:
            await self._check_for_hold(group)
            delay_ms = self._parameters.retry_interval_ms
        elif slow_pass_ms and pass_ms >= slow_pass_ms:
            delay_ms = await self._handle_slow_passes(group)
        else:
            return
        self._fastest_pass_ms = self._pass_time_estimator.pass_ms
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
        is_formed_anew = self._checked_epoch not in (-1, group.epoch)
        self._checked_epoch = group.epoch
        if not any(report.held_step is not None for report in reports):
            if is_formed_anew:
                await self._restore_layout(group, reports)
            return
        # The group stays unchecked until it is found without a hold.
        self._checked_epoch = -1
        # A live coordinator renews its lease, and releases the group itself.
        if await self._duty.acquire():
            await self._recover(group, reports)

    async def _restore_layout(
        self, group: RankGroup, reports: list[RankReport]
    ) -> None:
        """Plan for the demand before the loss of a rank, without counting it again.

        A group that forms anew has the initial map. Only the process that coordinated
        the group knows the demand. If that has changed, the next count corrects it.
        """
        demand = self._sampler.demand
        is_initial = all(
            report.version == 0 and report.armed is None for report in reports
        )
        if not demand or not is_initial or not await self._duty.acquire():
            return
        layout = await self._read_layout(group, reports)
        if layout is not None:
            self._slowdowns = [report.slowdown for report in reports]
            await self._rebalance(group, reports, layout, demand)

    async def _handle_slow_passes(self, group: RankGroup) -> float:
        """Free or rebalance a slow group; return the time to the next check, in ms."""
        if not await self._duty.acquire():
            return self._parameters.retry_interval_ms
        known = self._find_map_in_use(group)
        if known is not None and not known.is_verified:
            # The map has just come into use: reports would not show it yet.
            shares = await self._sample_shares(group)
            if shares is None:
                return self._parameters.retry_interval_ms
            if self._verify(group, known, shares):
                return self._parameters.recheck_interval_ms
            await self._wait_for_reports(group, known)
            reports = await self._read_reports(group)
        else:
            reports, shares = await asyncio.gather(
                self._read_reports(group), self._sample_shares(group)
            )
        if reports is None:
            return self._parameters.retry_interval_ms
        self._slowdowns = [report.slowdown for report in reports]
        if any(report.held_step is not None for report in reports):
            await self._recover(group, reports)
            return self._parameters.retry_interval_ms
        if any(report.armed is not None for report in reports):
            return self._parameters.pending_check_interval_ms
        layout = await self._find_layout(group, reports)
        if layout is None or shares is None:
            self._events.event(
                "layout_not_planned",
                group=group.name,
                is_layout_known=layout is not None,
                is_demand_known=shares is not None,
            )
            return self._parameters.retry_interval_ms
        return await self._rebalance(group, reports, layout, shares)

    async def _sample_shares(self, group: RankGroup) -> list[list[float]] | None:
        pass_ms = self._pass_time_estimator.pass_ms
        return await self._sampler.sample_shares(group, pass_ms)

    def _find_map_in_use(self, group: RankGroup) -> MapInUse | None:
        known = self._map_in_use
        return known if known is not None and known.epoch == group.epoch else None

    async def _wait_for_reports(self, group: RankGroup, known: MapInUse) -> None:
        """Wait until reports no longer show the hold and the arming of a switch."""
        ready_ms = known.switched_ms + group.report_lag_ms + REPORT_LAG_MARGIN_MS
        await self._clock.sleep_ms(max(0.0, ready_ms - self._clock.now_ms()))

    def _verify(
        self, group: RankGroup, known: MapInUse, shares: list[list[float]]
    ) -> bool:
        """Compare the measured imbalance of a map in use with the planned one."""
        known.is_verified = True
        measured = compute_imbalance(known.layout, shares, self._slowdowns)
        limit = (1 + self._parameters.max_prediction_error) * known.planned_imbalance
        self._events.event(
            "map_verified",
            group=group.name,
            epoch=group.epoch,
            version=known.version,
            planned=round(known.planned_imbalance, 2),
            measured=round(measured, 2),
            distance=round(self._sampler.last_distance, 2),
            pass_ms=round(self._pass_time_estimator.pass_ms, 1),
        )
        return measured <= limit

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
        layout = await self._read_layout(group, reports)
        if layout is None:
            return
        self._map_in_use = None
        # Undoing needs the version that is armed.
        version = max(self._list_versions(group, reports))
        switch = self._create_switch(group, version, layout, layout)
        result = await switch.recover(reports)
        self._note_version(group, version)
        self._events.event(
            "held_group_recovered",
            group=group.name,
            epoch=group.epoch,
            outcome=result.value,
        )

    async def _rebalance(
        self,
        group: RankGroup,
        reports: list[RankReport],
        layout: ExpertLayout,
        shares: list[list[float]],
    ) -> float:
        """Plan a layout and switch to it; return the time to the next check, in ms."""
        before = compute_imbalance(layout, shares, self._slowdowns)
        planned = await self._plan(group, layout, shares)
        after = compute_imbalance(planned, shares, self._slowdowns)
        is_accepted = after <= (1 - self._min_reduction(group)) * before
        copies = _list_received_counts(layout, planned)
        self._events.event(
            "layout_planned",
            group=group.name,
            epoch=group.epoch,
            pass_ms=round(self._pass_time_estimator.pass_ms, 1),
            slowest_rank=max(report.slowdown for report in reports),
            imbalance=round(before, 2),
            planned=round(after, 2),
            samples=self._sampler.sample_count,
            distance=round(self._sampler.last_distance, 2),
            copies=sum(copies),
            bought=is_accepted,
        )
        if not is_accepted:
            if self._map_in_use is not None:
                self._map_in_use.is_verified = True
            return self._parameters.recheck_interval_ms
        began_ms = self._clock.now_ms()
        version = self._next_version(group, reports)
        copy_ms = max(copies) * group.experts.copy_ms
        switch = self._create_switch(group, version, planned, layout, copy_ms)
        self._note_version(group, version)
        self._map_in_use = None
        result = await switch.run()
        now_ms = self._clock.now_ms()
        if result is SwitchResult.SWITCHED:
            self._map_in_use = MapInUse(
                epoch=group.epoch,
                version=version,
                layout=planned,
                planned_imbalance=after,
                switched_ms=now_ms,
            )
        self._events.event(
            "map_switch_ended",
            group=group.name,
            epoch=group.epoch,
            version=version,
            outcome=result.value,
            copy_ms=round(copy_ms),
            took_ms=round(now_ms - began_ms),
        )
        return 0.0

    def _min_reduction(self, group: RankGroup) -> float:
        urgent_ms = self._parameters.urgent_pass_share * group.gap_target_ms
        if self._pass_time_estimator.pass_ms >= urgent_ms:
            return self._parameters.min_urgent_reduction
        return self._parameters.min_imbalance_reduction

    async def _plan(
        self, group: RankGroup, layout: ExpertLayout, shares: list[list[float]]
    ) -> ExpertLayout:
        """Plan a layout in turns, between which other tasks run."""
        experts = group.experts
        copy_ms = max(1.0, experts.copy_ms)
        bounds = PlanBounds(
            max_experts=experts.max_experts_per_rank,
            max_received=experts.max_received_per_rank,
            max_copies=max(1, int(self._parameters.copy_budget_ms / copy_ms)),
        )
        planner = LayoutPlanner(
            layout=layout, shares=shares, bounds=bounds, slowdowns=self._slowdowns
        )
        turn_began_ms = self._clock.now_ms()
        for _ in planner.steps():
            if self._clock.now_ms() - turn_began_ms > MAX_PLAN_TURN_MS:
                await asyncio.sleep(0)
                turn_began_ms = self._clock.now_ms()
        return planner.layout

    # Versions of maps.

    def _list_versions(
        self, group: RankGroup, reports: Sequence[RankReport]
    ) -> list[int]:
        is_same_epoch = self._highest_version_epoch == group.epoch
        versions = [self._highest_version if is_same_epoch else 0]
        for report in reports:
            versions += [report.version, report.prepared or 0]
            versions += [report.armed.version if report.armed else 0]
        return versions

    def _next_version(self, group: RankGroup, reports: Sequence[RankReport]) -> int:
        """Return the lowest of this process's versions that the ranks have not had."""
        highest = max(self._list_versions(group, reports))
        return next_version(highest, self._version_remainder)

    def _note_version(self, group: RankGroup, version: int) -> None:
        self._highest_version, self._highest_version_epoch = version, group.epoch

    def _create_switch(
        self,
        group: RankGroup,
        version: int,
        layout: ExpertLayout,
        current: ExpertLayout,
        copy_ms: float = 0.0,
    ) -> MapSwitch:
        return MapSwitch(
            ranks=group.ranks,
            epoch=group.epoch,
            version=version,
            version_remainder=self._version_remainder,
            layout=layout,
            current=current,
            pass_ms=self._pass_time_estimator.pass_ms,
            copy_ms=copy_ms,
            report_lag_ms=group.report_lag_ms,
            clock=self._clock,
            parameters=self._switch_parameters,
            is_superseded=lambda: self._duty.is_superseded,
        )

    # The layout in use.

    async def _find_layout(
        self, group: RankGroup, reports: Sequence[RankReport]
    ) -> ExpertLayout | None:
        """Return the layout in use, or None if it is not known yet.

        Reports lag, so for a while after a switch they may show the map before it. If
        they still do later, another coordinator has undone the switch.
        """
        known = self._find_map_in_use(group)
        if known is None:
            return await self._read_layout(group, reports)
        versions = {report.version for report in reports}
        age_ms = self._clock.now_ms() - known.switched_ms
        is_settling = age_ms < self._parameters.settle_timeout_ms
        if versions == {known.version}:
            return known.layout
        if is_settling and max(versions) <= known.version:
            return known.layout
        self._events.event(
            "map_replaced",
            level="warning",
            group=group.name,
            version=known.version,
            reported=max(versions),
        )
        self._map_in_use = None
        return await self._read_layout(group, reports)

    async def _read_layout(
        self, group: RankGroup, reports: Sequence[RankReport]
    ) -> ExpertLayout | None:
        """Return the layout that the ranks use, or None if they do not agree on it."""
        experts = group.experts
        if {report.version for report in reports} == {0}:
            return initial_layout(
                sets=experts.layer_sets,
                experts=experts.experts_per_set,
                ranks=len(group.ranks),
            )
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


def _list_received_counts(before: ExpertLayout, after: ExpertLayout) -> list[int]:
    """Return the number of experts that each rank has to receive."""
    counts = [0] * len(before[0])
    for old_set, new_set in zip(before, after, strict=True):
        for rank, (old, new) in enumerate(zip(old_set, new_set, strict=True)):
            counts[rank] += len(set(new) - set(old))
    return counts
