"""A rank group in virtual time, which takes orders as the platform's ranks do."""

import asyncio
import random
from collections import deque

import msgspec

from carobroute.experts import (
    CountingPort,
    Layout,
    RankGroup,
    initial_layout,
)
from carobroute.platform import (
    ArmedSwitch,
    ExpertCounts,
    HeldExperts,
    OrderAction,
    OrderResult,
    RankOrder,
    RankReport,
)
from carobroute.utils import Clock
from carobroute.world import ExpertProfile

REPORT_LAG_MS = 200.0
ANSWER_MS = 2.0
NO_ANSWER_MS = 150.0
LATE_MS = (2_000.0, 12_000.0)
COPY_MS = 150.0


class OrderFaults(msgspec.Struct, frozen=True, kw_only=True):
    """What happens to orders on their way.

    Parameters
    ----------
    late : float
        Part of the orders that get no answer and are carried out seconds later.
    answer_lost : float
        Part of the orders that are carried out and get no answer.
    """

    late: float = 0.0
    answer_lost: float = 0.0


class StandInRank(CountingPort):
    """One rank: its maps, and the orders that it accepts.

    Parameters
    ----------
    group : StandInGroup
        Group of the rank.
    faults : OrderFaults
        What happens to orders.
    """

    __slots__ = (
        "_faults",
        "_group",
        "_highest",
        "_reports",
        "armed",
        "held_step",
        "orders",
        "prepared",
        "preparing",
        "version",
    )

    def __init__(self, *, group: "StandInGroup", faults: OrderFaults):
        self._group = group
        self._faults = faults
        self._highest = 0
        self._reports: deque[tuple[float, RankReport]] = deque()
        self.version = 0
        self.prepared: int | None = None
        self.preparing: tuple[int, float] | None = None
        self.armed: ArmedSwitch | None = None
        self.held_step: int | None = None
        self.orders = 0

    async def order(self, order: RankOrder) -> OrderResult:
        """Carry an order out now, later, or without an answer."""
        chance = self._group.random.random()
        if chance < self._faults.late:
            delay_ms = self._group.random.uniform(*LATE_MS)
            loop = asyncio.get_running_loop()
            loop.call_later(delay_ms / 1_000, self.carry_out, order)
            await self._group.clock.sleep_ms(NO_ANSWER_MS)
            return OrderResult.UNANSWERED
        await self._group.clock.sleep_ms(ANSWER_MS)
        result = self.carry_out(order)
        if chance < self._faults.late + self._faults.answer_lost:
            await self._group.clock.sleep_ms(NO_ANSWER_MS)
            return OrderResult.UNANSWERED
        return result

    async def report(self) -> RankReport | None:
        """Return the state of some time ago."""
        await self._group.clock.sleep_ms(ANSWER_MS)
        self.remember()
        limit_ms = self._group.clock.now_ms() - REPORT_LAG_MS
        while len(self._reports) > 1 and self._reports[1][0] <= limit_ms:
            self._reports.popleft()
        return self._reports[0][1]

    async def counts(self) -> ExpertCounts:
        """Return choices that have all fallen on one expert."""
        await self._group.clock.sleep_ms(ANSWER_MS)
        chosen = [0] * (2 * len(self._group.ranks))
        chosen[0] = self._group.step
        return ExpertCounts(
            epoch=self._group.epoch, step=self._group.step, counts=chosen
        )

    async def held(self) -> HeldExperts:
        """Return the experts of map 0."""
        await self._group.clock.sleep_ms(ANSWER_MS)
        rank = self._group.ranks.index(self)
        return HeldExperts(
            epoch=self._group.epoch,
            version=self.version,
            sets=[experts[rank] for experts in self._group.layout],
        )

    def remember(self) -> None:
        """Keep the present state for later reports."""
        self._finish_copy()
        report = RankReport(
            epoch=self._group.epoch,
            group_open=True,
            pace=1.0,
            orders=self.orders,
            running=1,
            queued=0,
            step=self._group.step,
            version=self.version,
            prepared=self.prepared,
            armed=self.armed,
            held_step=self.held_step,
        )
        self._reports.append((self._group.clock.now_ms(), report))

    def carry_out(self, order: RankOrder) -> OrderResult:
        """Do what an order says, if it fits."""
        self._finish_copy()
        if order.epoch != self._group.epoch:
            return OrderResult.REFUSED
        if order.expected_orders not in (None, self.orders):
            return OrderResult.REFUSED
        result = {
            OrderAction.PREPARE: self._prepare,
            OrderAction.ARM: self._arm,
            OrderAction.DISARM: self._disarm,
            OrderAction.HOLD: self._hold,
            OrderAction.RELEASE: self._release,
        }[order.action](order)
        self.remember()
        return result

    def begin_pass(self, step: int) -> int:
        """Return the version that the rank uses in a pass that begins."""
        if self.armed is not None and self.armed.step <= step:
            self.version, self.armed, self.prepared = self.armed.version, None, None
        return self.version

    def _finish_copy(self) -> None:
        if self.preparing and self._group.clock.now_ms() >= self.preparing[1]:
            self.prepared, self.preparing = self.preparing[0], None

    def _prepare(self, order: RankOrder) -> OrderResult:
        version = order.version or 0
        if self.prepared == version or (
            self.preparing and self.preparing[0] == version
        ):
            return OrderResult.HOLDS_ALREADY
        if version <= self._highest or self.armed is not None:
            return OrderResult.REFUSED
        self._highest = version
        self.orders += 1
        self.prepared = None
        self.preparing = (version, self._group.clock.now_ms() + COPY_MS)
        return OrderResult.BEGUN

    def _arm(self, order: RankOrder) -> OrderResult:
        wanted = ArmedSwitch(order.version or 0, order.step or 0)
        if self.armed == wanted:
            return OrderResult.HOLDS_ALREADY
        if self.prepared != wanted.version or wanted.step <= self._group.step:
            return OrderResult.REFUSED
        self.armed = wanted
        return OrderResult.HOLDS_ALREADY

    def _disarm(self, order: RankOrder) -> OrderResult:
        if self.version == order.version:
            return OrderResult.REFUSED
        if self.armed is not None and self.armed.version == order.version:
            self.armed = None
        return OrderResult.HOLDS_ALREADY

    def _hold(self, order: RankOrder) -> OrderResult:
        step = order.step or 0
        if step <= self._group.step or self.held_step not in (None, step):
            return OrderResult.REFUSED
        self.held_step = step
        return OrderResult.HOLDS_ALREADY

    def _release(self, order: RankOrder) -> OrderResult:
        if self.held_step == order.step:
            self.held_step = None
        return OrderResult.HOLDS_ALREADY


class StandInGroup:
    """Ranks that make passes together, and a record of the maps that they used.

    Parameters
    ----------
    clock : Clock
        Source of time.
    random : random.Random
        Source of chance.
    size : int, default=4
        Ranks.
    pass_ms : float, default=70.0
        Time of a pass.
    faults : OrderFaults, default=None
        What happens to orders.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        random: random.Random,
        size: int = 4,
        pass_ms: float = 70.0,
        faults: OrderFaults | None = None,
    ):
        self.clock = clock
        self.random = random
        self.pass_ms = pass_ms
        self.epoch = 1
        self.step = 0
        self.passes: list[list[int]] = []
        self.ranks = [
            StandInRank(group=self, faults=faults or OrderFaults()) for _ in range(size)
        ]

    @property
    def layout(self) -> Layout:
        """Map 0 of one set with two experts a rank."""
        size = len(self.ranks)
        return initial_layout(sets=1, experts=2 * size, ranks=size)

    @property
    def view(self) -> RankGroup:
        """The group as a rebalancer sees it."""
        size = len(self.ranks)
        experts = ExpertProfile(
            sets=1,
            experts=2 * size,
            places=4,
            spare=2,
            expert_mb=1.0,
            link_mbps=1_000.0,
            share=0.8,
        )
        return RankGroup(
            name="g",
            epoch=self.epoch,
            ranks=list(self.ranks),
            experts=experts,
            gap_target_ms=120.0,
        )

    @property
    def mixed(self) -> list[list[int]]:
        """Passes that began with two maps."""
        return [versions for versions in self.passes if len(set(versions)) > 1]

    async def run(self) -> None:
        """Make passes until cancelled."""
        while True:
            if not any(rank.held_step == self.step + 1 for rank in self.ranks):
                self.step += 1
                self.passes.append([r.begin_pass(self.step) for r in self.ranks])
            for rank in self.ranks:
                rank.remember()
            await self.clock.sleep_ms(self.pass_ms)
