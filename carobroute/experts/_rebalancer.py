"""When a rank group gets another expert map, and which."""

import abc
import asyncio
import random
from collections.abc import Sequence

import msgspec

from carobroute.experts._layout import (
    Layout,
    imbalance,
    initial_layout,
    shares_of,
)
from carobroute.experts._pace import GroupPace
from carobroute.experts._plan import PlanBounds, plan_layout
from carobroute.experts._switch import (
    MapSwitch,
    RankPort,
    SwitchEnd,
    SwitchParameters,
)
from carobroute.platform import ExpertCounts, HeldExperts, RankReport
from carobroute.telemetry import EventLog
from carobroute.utils import Clock, gather_few
from carobroute.world import ExpertProfile

# Reports that are read at a time; more would wait for this process and its link.
READ_WIDTH = 8


class CountingPort(RankPort):
    """A rank that also tells which experts its calls chose, and which it holds."""

    __slots__ = ()

    @abc.abstractmethod
    async def counts(self) -> ExpertCounts | None:
        """Return how often experts were chosen, or None without an answer."""

    @abc.abstractmethod
    async def held(self) -> HeldExperts | None:
        """Return which experts the rank holds, or None without an answer."""


class Duty(abc.ABC):
    """The right to act for a group, which one process has at a time.

    Two processes may both believe to have it for a moment, when one of them was
    paused; what they do must be safe all the same.
    """

    __slots__ = ()

    @abc.abstractmethod
    async def acquire(self) -> bool:
        """Take or keep the duty, and return whether this process has it."""

    @abc.abstractmethod
    async def release(self) -> None:
        """Give the duty up, if this process has it."""


class RankGroup(msgspec.Struct, frozen=True, kw_only=True):
    """A group whose ranks are all known.

    Parameters
    ----------
    name : str
        Name of the group.
    epoch : int
        Times that it has formed.
    ranks : list of CountingPort
        Ways to its ranks, in their order.
    experts : ExpertProfile
        Shape of its experts.
    gap_target_ms : float
        Time between two events that callers accept.
    """

    name: str
    epoch: int
    ranks: list[CountingPort]
    experts: ExpertProfile
    gap_target_ms: float


class RebalanceParameters(msgspec.Struct, frozen=True, kw_only=True):
    """When rebalancing pays.

    Parameters
    ----------
    check_ms : float
        Time between two looks at the group's pace.
    busy_share : float
        Part of the gap target above which passes are too slow. Below it, callers
        have their answers in time anyway, and copies, counts and orders cost.
    least_fall : float
        Part of the imbalance that a plan must take away.
    sample_ranks : int
        Ranks whose counts are read. Each is a sample of the same content.
    sample_ms : float
        Time over which choices are counted: several passes.
    rest_ms : float
        Time between two plans.
    unbought_ms : float
        The same after a plan that took too little away: what slows the group is not
        where its experts sit, and counts cost.
    pending_ms : float
        Time between two looks at whether a map that was switched to is in force.
    stalled_ms : float
        Silence of all streams after which the group may be held by a coordinator
        that is gone.
    """

    check_ms: float = 50.0
    busy_share: float = 0.5
    least_fall: float = 0.12
    sample_ranks: int = 2
    sample_ms: float = 250.0
    rest_ms: float = 400.0
    unbought_ms: float = 1_500.0
    pending_ms: float = 150.0
    stalled_ms: float = 600.0


class GroupRebalancer:
    """Keeps the experts of one group where the load wants them.

    Parameters
    ----------
    duty : Duty
        Right to act for the group.
    pace : GroupPace
        Time of the group's passes.
    events : EventLog
        Where decisions are logged.
    clock : Clock
        Source of time.
    random : random.Random
        Source of chance.
    parameters : RebalanceParameters, default=None
        When rebalancing pays.
    switch : SwitchParameters, default=None
        Times of a switch.
    """

    __slots__ = (
        "_awaited",
        "_clock",
        "_duty",
        "_epoch",
        "_events",
        "_layout",
        "_looked_epoch",
        "_pace",
        "_parameters",
        "_random",
        "_rest_until_ms",
        "_switch",
        "_version",
    )

    def __init__(
        self,
        *,
        duty: Duty,
        pace: GroupPace,
        events: EventLog,
        clock: Clock,
        random: random.Random,
        parameters: RebalanceParameters | None = None,
        switch: SwitchParameters | None = None,
    ):
        self._duty = duty
        self._pace = pace
        self._events = events
        self._clock = clock
        self._random = random
        self._parameters = parameters or RebalanceParameters()
        self._switch = switch
        self._rest_until_ms = 0.0
        self._epoch = -1
        # Formation of the group in which it was last found free.
        self._looked_epoch = -1
        self._version = 0
        # Version of the last map that this process has switched the group to.
        self._awaited = 0
        self._layout: Layout | None = None

    async def step(self, group: RankGroup) -> None:
        """Look at the group once, and act if it needs it."""
        if self._clock.now_ms() < self._rest_until_ms:
            return
        stalled = self._pace.silent_ms > self._parameters.stalled_ms
        limit_ms = self._parameters.busy_share * group.gap_target_ms
        if stalled or self._looked_epoch != group.epoch:
            await self._look_for_hold(group)
            rest_ms = self._parameters.rest_ms
        elif limit_ms and self._pace.pass_ms >= limit_ms:
            rest_ms = await self._relieve(group)
        else:
            return
        self._rest_until_ms = self._clock.now_ms() + rest_ms

    async def release(self) -> None:
        """Leave the group to another process."""
        await self._duty.release()

    async def _look_for_hold(self, group: RankGroup) -> None:
        """Free a group that a coordinator held before it was lost.

        Nothing shows this but silence, and to a process that has just started not
        even that, so it looks once by itself.
        """
        reports = await self._reports(group)
        if reports is None:
            return
        self._looked_epoch = group.epoch
        if not any(report.held_step is not None for report in reports):
            return
        # A coordinator that is at work keeps its duty, and frees the group itself.
        self._looked_epoch = -1
        if await self._duty.acquire():
            await self._recover(group, reports)

    async def _relieve(self, group: RankGroup) -> float:
        """Act on slow passes; return how long to rest, in milliseconds."""
        rest_ms = self._parameters.rest_ms
        if not await self._duty.acquire():
            return rest_ms
        reports = await self._reports(group)
        if reports is None:
            return rest_ms
        if any(report.held_step is not None for report in reports):
            await self._recover(group, reports)
        elif self._is_pending(group, reports):
            return self._parameters.pending_ms
        elif not await self._rebalance(group, reports):
            return self._parameters.unbought_ms
        return rest_ms

    def _is_pending(self, group: RankGroup, reports: Sequence[RankReport]) -> bool:
        """Return whether a map waits for its pass, or has been in force so shortly
        that reports do not show it: a plan would start from the map before.
        """
        awaited = self._awaited if self._epoch == group.epoch else 0
        return any(
            report.armed is not None or report.version < awaited for report in reports
        )

    async def _reports(self, group: RankGroup) -> list[RankReport] | None:
        answered = await gather_few([r.report for r in group.ranks], READ_WIDTH)
        reports = [report for report in answered if report is not None]
        whole = len(reports) == len(group.ranks) and all(
            report.epoch == group.epoch and report.group_open for report in reports
        )
        if not whole:
            self._events.event(
                "group_not_whole", group=group.name, reports=len(reports)
            )
            return None
        return reports

    async def _recover(self, group: RankGroup, reports: list[RankReport]) -> None:
        layout = await self._current_layout(group, reports)
        if layout is None:
            return
        end = await self._attempt(group, reports, layout, layout).recover(reports)
        self._events.event(
            "held_group_recovered",
            group=group.name,
            epoch=group.epoch,
            outcome=end.value,
        )

    async def _rebalance(self, group: RankGroup, reports: list[RankReport]) -> bool:
        """Plan a layout, and switch to it; return False if it is not worth it."""
        experts = group.experts
        layout = await self._current_layout(group, reports)
        counts = await self._sample(group)
        if layout is None or counts is None:
            return True
        shares = shares_of(counts, sets=experts.sets, experts=experts.experts)
        bounds = PlanBounds(places=experts.places, spare=experts.spare)
        paces = [report.pace for report in reports]
        planned = plan_layout(layout, shares, bounds, paces)
        before = imbalance(layout, shares, paces)
        after = imbalance(planned, shares, paces)
        bought = after <= (1 - self._parameters.least_fall) * before
        self._events.event(
            "layout_planned",
            group=group.name,
            epoch=group.epoch,
            pass_ms=round(self._pace.pass_ms, 1),
            choices=sum(counts),
            slowest_rank=max(paces),
            imbalance=round(before, 2),
            planned=round(after, 2),
            copies=_copies(layout, planned),
            bought=bought,
        )
        if not bought:
            return False
        attempt = self._attempt(group, reports, planned, layout)
        began_ms = self._clock.now_ms()
        end = await attempt.run(reports)
        if end is SwitchEnd.SWITCHED:
            self._layout = planned
            self._awaited = self._version
        else:
            self._layout = None
        self._events.event(
            "map_switch_ended",
            group=group.name,
            epoch=group.epoch,
            version=self._version,
            outcome=end.value,
            took_ms=round(self._clock.now_ms() - began_ms),
        )
        return True

    def _attempt(
        self,
        group: RankGroup,
        reports: Sequence[RankReport],
        layout: Layout,
        current: Layout,
    ) -> MapSwitch:
        known = [self._version if self._epoch == group.epoch else 0]
        for report in reports:
            known += [report.version, report.prepared or 0]
            known += [report.armed.version if report.armed else 0]
        held = any(report.held_step is not None for report in reports)
        # What is armed is undone under its own version; a new map needs a higher one.
        self._version = max(known) if held else max(known) + 1
        if self._epoch != group.epoch:
            self._epoch, self._awaited = group.epoch, 0
        return MapSwitch(
            ranks=group.ranks,
            epoch=group.epoch,
            version=self._version,
            layout=layout,
            current=current,
            pass_ms=self._pace.pass_ms,
            clock=self._clock,
            parameters=self._switch,
        )

    async def _sample(self, group: RankGroup) -> list[int] | None:
        """Return how often each expert was chosen while this looked."""
        count = min(self._parameters.sample_ranks, len(group.ranks))
        ranks = self._random.sample(group.ranks, count)
        before = await asyncio.gather(*(rank.counts() for rank in ranks))
        await self._clock.sleep_ms(self._parameters.sample_ms)
        after = await asyncio.gather(*(rank.counts() for rank in ranks))
        totals = [0] * (group.experts.sets * group.experts.experts)
        for first, last in zip(before, after, strict=True):
            if first is None or last is None or first.epoch != last.epoch:
                continue
            if len(last.counts) != len(totals) or len(first.counts) != len(totals):
                continue
            pairs = zip(first.counts, last.counts, strict=True)
            chosen = [new - old for old, new in pairs]
            totals = [sum(pair) for pair in zip(totals, chosen, strict=True)]
        return totals if sum(totals) > 0 and min(totals) >= 0 else None

    async def _current_layout(
        self, group: RankGroup, reports: Sequence[RankReport]
    ) -> Layout | None:
        """Return the map in use, from memory where it is known to be the same."""
        versions = {report.version for report in reports}
        experts = group.experts
        if versions == {0}:
            return initial_layout(
                sets=experts.sets, experts=experts.experts, ranks=len(group.ranks)
            )
        known = self._epoch == group.epoch and versions == {self._version}
        if known and self._layout is not None:
            return self._layout
        answered = await gather_few([r.held for r in group.ranks], READ_WIDTH)
        held = [held for held in answered if held is not None]
        agree = {(found.epoch, found.version) for found in held}
        if len(held) < len(group.ranks) or len(agree) != 1:
            return None
        return [[found.sets[index] for found in held] for index in range(experts.sets)]


def _copies(before: Layout, after: Layout) -> int:
    """Return how many experts ranks have to take in."""
    return sum(
        len(set(new) - set(old))
        for old_set, new_set in zip(before, after, strict=True)
        for old, new in zip(old_set, new_set, strict=True)
    )
