"""Rank groups among the targets, and the loop that rebalances their experts."""

import asyncio
import random
from collections.abc import Callable
from typing import TypeVar

from returns.result import Result, Success

from carobroute.errors import Fault
from carobroute.experts import (
    ExpertRankHandle,
    GroupRebalancer,
    PassTimeEstimator,
    RankGroup,
)
from carobroute.gateway._configuration import ActiveConfiguration
from carobroute.gateway._group_members import find_members
from carobroute.gateway._stored_duty import StoredDuty
from carobroute.gateway._target_pool import TargetPool
from carobroute.gateway._targets import Target, TargetDirectory
from carobroute.platform import (
    ExpertCounts,
    HeldExperts,
    OrderResult,
    RankClient,
    RankOrder,
    RankReport,
    RowStore,
)
from carobroute.telemetry import EventLog
from carobroute.utils import Clock, TaskSet

GROUP_CHECK_INTERVAL_MS = 50.0

T = TypeVar("T")


class PassTimeEstimators:
    """Pass time of each rank group, estimated from the streams of this gateway.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "_pass_time_estimators")

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._pass_time_estimators: dict[str, PassTimeEstimator] = {}

    def get(self, group: str) -> PassTimeEstimator:
        """Return the estimator of a group, or of a target without a group."""
        pass_time_estimator = self._pass_time_estimators.get(group)
        if pass_time_estimator is None:
            pass_time_estimator = self._pass_time_estimators[group] = PassTimeEstimator(
                clock=self._clock
            )
        return pass_time_estimator

    def discard(self, group: str) -> None:
        """Drop the estimator of a group, or of a target without a group."""
        self._pass_time_estimators.pop(group, None)


class TargetRank(ExpertRankHandle):
    """Rank of a group, addressed through its target.

    Parameters
    ----------
    target : Target
        Target of the rank.
    pool : TargetPool
        Connections to targets.
    client : RankClient
        Client of the ranks' interface.
    events : EventLog
        Log of failed requests.
    """

    __slots__ = ("_client", "_events", "_pool", "_target")

    def __init__(
        self,
        *,
        target: Target,
        pool: TargetPool,
        client: RankClient,
        events: EventLog,
    ):
        self._target = target
        self._pool = pool
        self._client = client
        self._events = events

    async def send_order(self, order: RankOrder) -> OrderResult:
        """Send an order to the rank, without retries."""
        transport = await self._pool.own_transport(self._target)
        return await self._client.send_order(transport, self._target.incarnation, order)

    async def read_report(self) -> RankReport | None:
        """Return the rank's report, or None without an answer."""
        transport = await self._pool.own_transport(self._target)
        report = self._unwrap_or_log(
            await self._client.read_report(transport), "report"
        )
        if report is None or self._target.accept_report(report):
            return report
        self._note_unknown("report", f"older than before: step {report.step}")
        return None

    async def read_counts(self) -> ExpertCounts | None:
        """Return how often each expert was chosen, or None without an answer."""
        transport = await self._pool.own_transport(self._target)
        return self._unwrap_or_log(await self._client.read_counts(transport), "counts")

    async def read_held_experts(self) -> HeldExperts | None:
        """Return the experts that the rank holds, or None without an answer."""
        transport = await self._pool.own_transport(self._target)
        return self._unwrap_or_log(
            await self._client.read_held_experts(transport), "held"
        )

    def _unwrap_or_log(self, answer: Result[T, Fault], operation: str) -> T | None:
        if isinstance(answer, Success):
            return answer.unwrap()
        self._note_unknown(operation, answer.failure().detail)
        return None

    def _note_unknown(self, operation: str, why: str) -> None:
        self._events.event(
            "rank_not_known",
            level="warning",
            target=self._target.incarnation,
            read=operation,
            why=why,
        )


class RebalancingLoop:
    """Periodic rebalancing of each group that is complete, open and configured.

    Parameters
    ----------
    holder : str
        Incarnation of this process, as the holder of duties.
    store : RowStore
        Store of the duties.
    configuration : ActiveConfiguration
        Configuration with the experts of each service.
    directory : TargetDirectory
        Known targets, among them the ranks.
    pool : TargetPool
        Connections to targets.
    client : RankClient
        Client of the ranks' interface.
    pass_time_estimators : PassTimeEstimators
        Estimators of the groups' pass times.
    events : EventLog
        Log of decisions.
    clock : Clock
        Source of time.
    random : random.Random
        Random number generator.
    is_gone : callable
        Returns whether a gateway incarnation is known to have ended.
    find_holder : callable
        Returns the live gateway that says that it holds a duty, or an empty string.
    count_stronger : callable
        Returns the number of live gateways that should take a duty rather than this.
    is_stopping : callable
        Returns whether this process is stopping; no switch begins then.
    tasks : TaskSet
        Background tasks.
    """

    __slots__ = (
        "_checked_groups",
        "_client",
        "_clock",
        "_configuration",
        "_count_stronger",
        "_directory",
        "_duties",
        "_events",
        "_find_holder",
        "_holder",
        "_is_gone",
        "_is_stopping",
        "_pass_time_estimators",
        "_pool",
        "_random",
        "_rebalancers",
        "_store",
        "_tasks",
    )

    def __init__(
        self,
        *,
        holder: str,
        store: RowStore,
        configuration: ActiveConfiguration,
        directory: TargetDirectory,
        pool: TargetPool,
        client: RankClient,
        pass_time_estimators: PassTimeEstimators,
        events: EventLog,
        clock: Clock,
        random: random.Random,
        is_gone: Callable[[str], bool],
        find_holder: Callable[[str], str],
        count_stronger: Callable[[], int],
        is_stopping: Callable[[], bool],
        tasks: TaskSet,
    ):
        self._holder = holder
        self._store = store
        self._configuration = configuration
        self._directory = directory
        self._pool = pool
        self._pass_time_estimators = pass_time_estimators
        self._events = events
        self._clock = clock
        self._random = random
        self._is_gone = is_gone
        self._find_holder = find_holder
        self._count_stronger = count_stronger
        self._is_stopping = is_stopping
        self._tasks = tasks
        # Groups with a check under way.
        self._checked_groups: set[str] = set()
        self._client = client
        self._rebalancers: dict[str, GroupRebalancer] = {}
        self._duties: dict[str, StoredDuty] = {}

    @property
    def held_duties(self) -> list[str]:
        """Names of the duties that this process holds."""
        return [duty.name for duty in self._duties.values() if duty.is_held]

    async def run(self) -> None:
        """Rebalance groups until the process stops, then release their duties."""
        while True:
            await self._clock.sleep_ms(GROUP_CHECK_INTERVAL_MS)
            if self._is_stopping():
                await self._release_duties()
                return
            for group in self._find_eligible_groups():
                if group.name not in self._checked_groups:
                    self._checked_groups.add(group.name)
                    self._tasks.spawn(
                        self._check_group(group), name=f"check group {group.name}"
                    )

    async def _release_duties(self) -> None:
        """Release all duties, once the switches under way have ended."""
        while self._checked_groups:
            await self._clock.sleep_ms(GROUP_CHECK_INTERVAL_MS)
        await asyncio.gather(
            *(rebalancer.release() for rebalancer in self._rebalancers.values())
        )

    async def _check_group(self, group: RankGroup) -> None:
        """Check a group; groups do not wait for each other's switches."""
        try:
            await self._rebalancer(group.name).check_group(group)
        finally:
            self._checked_groups.discard(group.name)

    def _rebalancer(self, group: str) -> GroupRebalancer:
        rebalancer = self._rebalancers.get(group)
        if rebalancer is None:
            duty = StoredDuty(
                name=f"experts/{group}",
                holder=self._holder,
                store=self._store,
                events=self._events,
                clock=self._clock,
                is_gone=self._is_gone,
                find_holder=self._find_holder,
                count_stronger=self._count_stronger,
            )
            self._duties[group] = duty
            rebalancer = self._rebalancers[group] = GroupRebalancer(
                duty=duty,
                coordinator=self._holder,
                pass_time_estimator=self._pass_time_estimators.get(group),
                events=self._events,
                clock=self._clock,
                random=self._random,
            )
        return rebalancer

    def _find_eligible_groups(self) -> list[RankGroup]:
        """Return the groups that can be rebalanced."""
        targets_by_group: dict[str, list[Target]] = {}
        for target in self._directory.all_targets():
            if target.entry.group and not target.is_gone:
                targets_by_group.setdefault(target.entry.group, []).append(target)
        groups = [
            self._build_eligible_group(name, targets)
            for name, targets in targets_by_group.items()
        ]
        return [group for group in groups if group is not None]

    def _build_eligible_group(
        self, name: str, targets: list[Target]
    ) -> RankGroup | None:
        """Return a group, or None if it cannot be rebalanced.

        All its ranks must be listed with the same epoch and be open, and the
        configuration must describe the experts of its service.
        """
        table = self._configuration.table
        # A target that has answered calls under its identifier is the rank that its
        # entry names; another program's entry may be older.
        known_first = sorted(targets, key=lambda target: not target.last_event_ms)
        members = find_members(target.entry for target in known_first)
        if table is None or not members:
            return None
        entry = members[0]
        service = table.find_service(entry.service)
        if service is None or service.engine is None:
            return None
        experts = service.engine.experts
        is_open = all(member.is_group_open for member in members)
        if experts is None or not is_open:
            return None
        by_incarnation = {target.incarnation: target for target in targets}
        # A group that gets no calls needs no other map, but may have to be freed.
        is_evacuated = all(target.is_evacuated for target in targets)
        return RankGroup(
            name=name,
            epoch=entry.group_epoch,
            ranks=[
                TargetRank(
                    target=by_incarnation[member.incarnation],
                    pool=self._pool,
                    client=self._client,
                    events=self._events,
                )
                for member in members
            ],
            slots=max(1, entry.slots),
            experts=experts,
            report_lag_ms=service.engine.report_lag_ms,
            gap_target_ms=(0.0 if is_evacuated else table.gap_target_ms(entry.service)),
        )
