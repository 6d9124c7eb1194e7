"""Rank groups among the targets, and the rebalancing of their experts."""

import asyncio
import random
from collections.abc import Callable
from typing import TypeVar

from returns.result import Result, Success

from carobroute.errors import Fault
from carobroute.experts import (
    CountingPort,
    GroupPace,
    GroupRebalancer,
    RankGroup,
)
from carobroute.gateway._configuration import ConfigurationInForce
from carobroute.gateway._stored_duty import RowDuty
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
from carobroute.utils import Clock

CHECK_MS = 50.0

T = TypeVar("T")


class GroupPaces:
    """Paces of all groups that this gateway has streams of.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "_paces")

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._paces: dict[str, GroupPace] = {}

    def of(self, group: str) -> GroupPace:
        """Return the pace of a group, or of a target without one by its name."""
        pace = self._paces.get(group)
        if pace is None:
            pace = self._paces[group] = GroupPace(clock=self._clock)
        return pace

    def forget(self, group: str) -> None:
        """Drop the pace of a group or target that is gone."""
        self._paces.pop(group, None)


class TargetRank(CountingPort):
    """A rank, reached as a target.

    Parameters
    ----------
    target : Target
        The rank's run.
    pool : TargetPool
        Connections to targets.
    client : RankClient
        Calls to ranks.
    events : EventLog
        Where calls that fail are logged.
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

    async def order(self, order: RankOrder) -> OrderResult:
        """Send an order once."""
        transport = await self._pool.transport(self._target)
        return await self._client.order(transport, self._target.name, order)

    async def report(self) -> RankReport | None:
        """Return the rank's report, or None without an answer."""
        transport = await self._pool.transport(self._target)
        return self._known(await self._client.report(transport), "report")

    async def counts(self) -> ExpertCounts | None:
        """Return how often experts were chosen, or None without an answer."""
        transport = await self._pool.transport(self._target)
        return self._known(await self._client.counts(transport), "counts")

    async def held(self) -> HeldExperts | None:
        """Return which experts the rank holds, or None without an answer."""
        transport = await self._pool.transport(self._target)
        return self._known(await self._client.held(transport), "held")

    def _known(self, answered: Result[T, Fault], what: str) -> T | None:
        if isinstance(answered, Success):
            return answered.unwrap()
        self._events.event(
            "rank_not_known",
            level="warning",
            target=self._target.name,
            read=what,
            why=answered.failure().detail,
        )
        return None


class GroupKeeper:
    """Rebalances each group that is whole, open and known from the configuration.

    Parameters
    ----------
    holder : str
        Identity of this process, for duties.
    store : RowStore
        Where duties are kept.
    configuration : ConfigurationInForce
        Shape of the groups' experts.
    directory : TargetDirectory
        Ranks.
    pool : TargetPool
        Connections to them.
    paces : GroupPaces
        Times of their passes.
    events : EventLog
        Where decisions are logged.
    clock : Clock
        Source of time.
    random : random.Random
        Source of chance.
    is_gone : callable
        Tells whether a gateway is known to be gone.
    stopping : callable
        Tells whether the process is about to end; no switch begins then.
    """

    __slots__ = (
        "_client",
        "_clock",
        "_configuration",
        "_directory",
        "_events",
        "_holder",
        "_is_gone",
        "_paces",
        "_pool",
        "_random",
        "_rebalancers",
        "_stopping",
        "_store",
    )

    def __init__(
        self,
        *,
        holder: str,
        store: RowStore,
        configuration: ConfigurationInForce,
        directory: TargetDirectory,
        pool: TargetPool,
        paces: GroupPaces,
        events: EventLog,
        clock: Clock,
        random: random.Random,
        is_gone: Callable[[str], bool],
        stopping: Callable[[], bool],
    ):
        self._holder = holder
        self._store = store
        self._configuration = configuration
        self._directory = directory
        self._pool = pool
        self._paces = paces
        self._events = events
        self._clock = clock
        self._random = random
        self._is_gone = is_gone
        self._stopping = stopping
        self._client = RankClient()
        self._rebalancers: dict[str, GroupRebalancer] = {}

    async def run(self) -> None:
        """Look at the groups until the process is about to end."""
        while True:
            await self._clock.sleep_ms(CHECK_MS)
            if self._stopping():
                await asyncio.gather(
                    *(rebalancer.release() for rebalancer in self._rebalancers.values())
                )
                return
            groups = self._groups()
            await asyncio.gather(
                *(self._rebalancer(group.name).step(group) for group in groups)
            )

    def _rebalancer(self, group: str) -> GroupRebalancer:
        rebalancer = self._rebalancers.get(group)
        if rebalancer is None:
            duty = RowDuty(
                name=f"experts/{group}",
                holder=self._holder,
                store=self._store,
                events=self._events,
                clock=self._clock,
                is_gone=self._is_gone,
            )
            rebalancer = self._rebalancers[group] = GroupRebalancer(
                duty=duty,
                pace=self._paces.of(group),
                events=self._events,
                clock=self._clock,
                random=self._random,
            )
        return rebalancer

    def _groups(self) -> list[RankGroup]:
        found: dict[str, list[Target]] = {}
        for target in self._directory.everyone():
            if target.entry.group and not target.gone:
                found.setdefault(target.entry.group, []).append(target)
        groups = [self._group(name, targets) for name, targets in found.items()]
        return [group for group in groups if group is not None]

    def _group(self, name: str, targets: list[Target]) -> RankGroup | None:
        table = self._configuration.table
        entry = targets[0].entry
        service = table.find_service(entry.service) if table else None
        if table is None or service is None or service.engine is None:
            return None
        experts = service.engine.experts
        ranks = {target.entry.rank: target for target in targets}
        epochs = {target.entry.group_epoch for target in targets}
        whole = sorted(ranks) == list(range(entry.group_size)) and len(epochs) == 1
        is_open = all(target.entry.group_open for target in targets)
        if experts is None or not whole or not is_open:
            return None
        return RankGroup(
            name=name,
            epoch=entry.group_epoch,
            ranks=[
                TargetRank(
                    target=ranks[rank],
                    pool=self._pool,
                    client=self._client,
                    events=self._events,
                )
                for rank in range(entry.group_size)
            ],
            experts=experts,
            gap_target_ms=table.gap_target_ms(entry.service),
        )
