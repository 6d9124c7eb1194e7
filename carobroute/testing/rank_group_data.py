"""A simulated rank group that carries out orders as the platform's ranks do."""

import asyncio
import random
from collections import deque

import msgspec

from carobroute.domain import ExpertProfile
from carobroute.experts import (
    ExpertLayout,
    ExpertRankHandle,
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

REPORT_LAG_MS = 200.0
ANSWER_DELAY_MS = 2.0
ORDER_TIMEOUT_MS = 150.0
LATE_ORDER_DELAY_MS = (2_000.0, 12_000.0)
EXPERT_COPY_MS = 150.0


class OrderFaults(msgspec.Struct, frozen=True, kw_only=True):
    """Faults of the network between a coordinator and the ranks.

    Parameters
    ----------
    late_share : float
        Fraction of orders that get no answer and are carried out seconds later.
    lost_answer_share : float
        Fraction of orders that are carried out at once but get no answer.
    """

    late_share: float = 0.0
    lost_answer_share: float = 0.0


class SimulatedRank(ExpertRankHandle):
    """State machine of one rank: its maps, its hold and the orders that it accepts.

    Parameters
    ----------
    group : SimulatedRankGroup
        Group of the rank.
    faults : OrderFaults
        Faults that orders to the rank meet.
    """

    __slots__ = (
        "_faults",
        "_group",
        "_highest_version",
        "_reports",
        "armed",
        "copy_ms",
        "held_step",
        "order_count",
        "prepared",
        "preparing",
        "version",
    )

    def __init__(self, *, group: "SimulatedRankGroup", faults: OrderFaults):
        self._group = group
        self._faults = faults
        self._highest_version = 0
        self._reports: deque[tuple[float, RankReport]] = deque()
        self.version = 0
        self.prepared: int | None = None
        self.preparing: tuple[int, float] | None = None
        self.armed: ArmedSwitch | None = None
        self.held_step: int | None = None
        self.order_count = 0
        self.copy_ms = EXPERT_COPY_MS

    async def send_order(self, order: RankOrder) -> OrderResult:
        """Carry out an order, late or without an answer if the faults say so."""
        if self._group.is_forming:
            await self._group.clock.sleep_ms(ANSWER_DELAY_MS)
            return OrderResult.UNSENT
        draw = self._group.random.random()
        if draw < self._faults.late_share:
            delay_ms = self._group.random.uniform(*LATE_ORDER_DELAY_MS)
            loop = asyncio.get_running_loop()
            loop.call_later(delay_ms / 1_000, self.carry_out, order)
            await self._group.clock.sleep_ms(ORDER_TIMEOUT_MS)
            return OrderResult.UNANSWERED
        await self._group.clock.sleep_ms(ANSWER_DELAY_MS)
        result = self.carry_out(order)
        if draw < self._faults.late_share + self._faults.lost_answer_share:
            await self._group.clock.sleep_ms(ORDER_TIMEOUT_MS)
            return OrderResult.UNANSWERED
        return result

    def forget(self) -> None:
        """Forget all maps, orders and reports, as after a restart."""
        self._highest_version = 0
        self._reports.clear()
        self.version = 0
        self.prepared = self.preparing = self.armed = self.held_step = None
        self.order_count = 0

    async def read_report(self) -> RankReport | None:
        """Return the rank's state as of `REPORT_LAG_MS` ago."""
        await self._group.clock.sleep_ms(ANSWER_DELAY_MS)
        if self._group.is_forming:
            return None
        self.record_report()
        limit_ms = self._group.clock.now_ms() - REPORT_LAG_MS
        while len(self._reports) > 1 and self._reports[1][0] <= limit_ms:
            self._reports.popleft()
        return self._reports[0][1]

    async def read_counts(self) -> ExpertCounts:
        """Return counts in which every choice fell on expert 0 of the first set."""
        await self._group.clock.sleep_ms(ANSWER_DELAY_MS)
        chosen = [0] * (2 * len(self._group.ranks))
        chosen[0] = self._group.step
        return ExpertCounts(
            epoch=self._group.epoch, step=self._group.step, counts=chosen
        )

    async def read_held_experts(self) -> HeldExperts:
        """Return the experts that the rank holds in the initial layout."""
        await self._group.clock.sleep_ms(ANSWER_DELAY_MS)
        rank = self._group.ranks.index(self)
        return HeldExperts(
            epoch=self._group.epoch,
            version=self.version,
            experts_by_set=[experts[rank] for experts in self._group.layout],
        )

    def record_report(self) -> None:
        """Record the current state for later reports."""
        self._finish_copy()
        report = RankReport(
            epoch=self._group.epoch,
            is_group_open=True,
            slowdown=1.0,
            order_count=self.order_count,
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
        """Carry out an order, or refuse it if the rank's state does not allow it."""
        self._finish_copy()
        if order.epoch != self._group.epoch:
            return OrderResult.REFUSED
        if order.expected_orders not in (None, self.order_count):
            return OrderResult.REFUSED
        result = {
            OrderAction.PREPARE: self._prepare,
            OrderAction.ARM: self._arm,
            OrderAction.DISARM: self._disarm,
            OrderAction.HOLD: self._hold,
            OrderAction.RELEASE: self._release,
        }[order.action](order)
        self.record_report()
        return result

    def begin_pass(self, step: int) -> int:
        """Make an armed switch that is due; return the version used in pass `step`."""
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
            return OrderResult.IN_EFFECT
        if version <= self._highest_version or self.armed is not None:
            return OrderResult.REFUSED
        self._highest_version = version
        self.order_count += 1
        self.prepared = None
        self.preparing = (version, self._group.clock.now_ms() + self.copy_ms)
        return OrderResult.BEGUN

    def _arm(self, order: RankOrder) -> OrderResult:
        requested = ArmedSwitch(order.version or 0, order.step or 0)
        if self.armed == requested:
            return OrderResult.IN_EFFECT
        if self.prepared != requested.version or requested.step <= self._group.step:
            return OrderResult.REFUSED
        self.armed = requested
        return OrderResult.IN_EFFECT

    def _disarm(self, order: RankOrder) -> OrderResult:
        if self.version == order.version:
            return OrderResult.REFUSED
        if self.armed is not None and self.armed.version == order.version:
            self.armed = None
        return OrderResult.IN_EFFECT

    def _hold(self, order: RankOrder) -> OrderResult:
        step = order.step or 0
        if step <= self._group.step or self.held_step not in (None, step):
            return OrderResult.REFUSED
        self.held_step = step
        return OrderResult.IN_EFFECT

    def _release(self, order: RankOrder) -> OrderResult:
        if self.held_step == order.step:
            self.held_step = None
        return OrderResult.IN_EFFECT


class SimulatedRankGroup:
    """Ranks that make passes together, and a record of the versions that they used.

    Parameters
    ----------
    clock : Clock
        Source of time.
    random : random.Random
        Random number generator for faults and delays.
    size : int, default=4
        Number of ranks.
    pass_ms : float, default=70.0
        Time of a pass.
    faults : OrderFaults, default=None
        Faults that orders meet; None for no faults.
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
        self.is_forming = False
        self.step = 0
        self.versions_by_pass: list[list[int]] = []
        self.ranks = [
            SimulatedRank(group=self, faults=faults or OrderFaults())
            for _ in range(size)
        ]

    @property
    def layout(self) -> ExpertLayout:
        """Initial layout of one layer set, with two experts per rank."""
        size = len(self.ranks)
        return initial_layout(sets=1, experts=2 * size, ranks=size)

    @property
    def rank_group(self) -> RankGroup:
        """The group as the rebalancer gets it."""
        size = len(self.ranks)
        experts = ExpertProfile(
            layer_sets=1,
            experts_per_set=2 * size,
            max_experts_per_rank=4,
            max_received_per_rank=2,
            expert_mb=1.0,
            link_mbps=1_000.0,
            work_share=0.8,
        )
        return RankGroup(
            name="g",
            epoch=self.epoch,
            ranks=list(self.ranks),
            experts=experts,
            slots=6,
            report_lag_ms=REPORT_LAG_MS,
            gap_target_ms=120.0,
        )

    @property
    def mixed_passes(self) -> list[list[int]]:
        """Versions by rank of every pass in which ranks used different maps."""
        return [
            versions for versions in self.versions_by_pass if len(set(versions)) > 1
        ]

    async def crash(self, down_ms: float) -> None:
        """Lose a rank; the group forms again after `down_ms`, with the initial map."""
        self.is_forming = True
        await self.clock.sleep_ms(down_ms)
        for rank in self.ranks:
            rank.forget()
        self.epoch += 1
        self.is_forming = False

    async def run(self) -> None:
        """Make passes, unless a rank holds the group back, until cancelled."""
        while True:
            if not self.is_forming:
                self.begin_pass()
            await self.clock.sleep_ms(self.pass_ms)

    def begin_pass(self) -> bool:
        """Begin the next pass; return False if a rank holds the group back."""
        is_held = any(rank.held_step == self.step + 1 for rank in self.ranks)
        if not is_held:
            self.step += 1
            self.versions_by_pass.append([r.begin_pass(self.step) for r in self.ranks])
        for rank in self.ranks:
            rank.record_report()
        return not is_held
