"""Switching of a rank group to another expert map between two passes."""

import abc
import enum
import functools
from collections.abc import Awaitable, Callable, Sequence

import msgspec

from carobroute.experts._layout import ExpertLayout
from carobroute.platform import (
    OrderAction,
    OrderResult,
    RankOrder,
    RankReport,
)
from carobroute.utils import Clock, gather_few

ACCEPTED_RESULTS = frozenset({OrderResult.BEGUN, OrderResult.IN_EFFECT})


class SwitchResult(enum.StrEnum):
    """Result of an attempt to switch a group.

    Only `SWITCHED` puts the new map in use. After `NOT_HELD`, the order to hold was not
    sent or not confirmed, or a recovery found no hold. After `STUCK`, an order to
    disarm or to release a rank was not confirmed, or a recovery found holds on all
    ranks; the group may stay held.
    """

    SWITCHED = "switched"
    NOT_PREPARED = "not_prepared"
    NOT_HELD = "not_held"
    UNDONE = "undone"
    STUCK = "stuck"


class SwitchParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Times and limits of a switch.

    Parameters
    ----------
    lead_ms : float
        Shortest time from the latest report to the pass that is held back. Reports lag
        by some hundred milliseconds; the rest has room for three rounds of orders, of
        which the first two may get no answers.
    min_lead_passes : int
        Smallest lead in passes. Two reports may come from different points of a pass,
        so a pass number may be one too low, and the next pass may be short.
    resend_delay_ms : float
        Delay before an unanswered order is sent again.
    prepare_timeout_ms : float
        Longest time until all ranks accept the order to prepare, and then until all
        report that they are prepared.
    arm_timeout_ms : float
        Longest time until the hold is confirmed, and then until all ranks are armed;
        an attempt that fails to arm them is undone.
    undo_timeout_ms : float
        Longest time for undoing an attempt.
    report_interval_ms : float
        Interval between two readings of the ranks' reports.
    max_concurrent_calls : int
        Largest number of calls to ranks in flight. Further calls would queue in this
        process and on its link until they time out.
    lead_per_rank_ms : float
        Added to the lead for each rank of the group: the time that this process takes
        for one order.
    """

    lead_ms: float = 400.0
    min_lead_passes: int = 2
    resend_delay_ms: float = 5.0
    prepare_timeout_ms: float = 2_500.0
    arm_timeout_ms: float = 1_500.0
    undo_timeout_ms: float = 20_000.0
    report_interval_ms: float = 60.0
    max_concurrent_calls: int = 8
    lead_per_rank_ms: float = 2.0


class RankHold(msgspec.Struct, frozen=True, kw_only=True):
    """A rank's hold on its group, which does not begin pass `step` until released."""

    rank: int
    step: int


class RankHandle(abc.ABC):
    """Handle of one rank of a group, for orders and reports."""

    __slots__ = ()

    @abc.abstractmethod
    async def send_order(self, order: RankOrder) -> OrderResult:
        """Send an order once, without a retry."""

    @abc.abstractmethod
    async def read_report(self) -> RankReport | None:
        """Return the rank's report, or None if there is no answer."""


class MapSwitch:
    """One attempt to switch all ranks to a new map from the same pass on.

    Parameters
    ----------
    ranks : sequence of RankHandle
        All ranks of the group, in rank order.
    epoch : int
        Formation of the group; ranks of another formation refuse the orders.
    version : int
        Version of the new map, higher than every version that the ranks have had.
    layout : ExpertLayout
        Layout of the new map.
    current : ExpertLayout
        Layout of the map in use, which ranks prepare again when an attempt is undone.
    pass_ms : float
        Current time of one of the group's passes.
    clock : Clock
        Source of time.
    parameters : SwitchParameters, default=None
        Times and limits; None for the defaults.

    Notes
    -----
    Invariant: all ranks use the same map in a pass. The switch prepares the new map on
    all ranks, has one rank hold the group back from a later pass, and arms all ranks
    for that pass. The pass is released only after every rank has confirmed that it is
    armed.

    A rank may carry out an unanswered order seconds later. An order to arm names its
    pass and has no effect once that pass has begun, and the pass does not begin before
    every rank has confirmed. If some ranks do not confirm, the attempt is undone: each
    rank is disarmed and prepares the current layout under a higher version. A late
    order to arm then names a version that is not prepared, and is refused. Only then is
    the pass released.

    A successor that finds the group held undoes the attempt in the same way, after it
    has placed a hold of its own on another rank. The previous coordinator, if it
    resumes, can release only its own hold, and the group stays held.
    """

    __slots__ = (
        "_clock",
        "_current",
        "_epoch",
        "_holding_rank",
        "_held_step",
        "_layout",
        "_parameters",
        "_pass_ms",
        "_ranks",
        "_version",
    )

    def __init__(
        self,
        *,
        ranks: Sequence[RankHandle],
        epoch: int,
        version: int,
        layout: ExpertLayout,
        current: ExpertLayout,
        pass_ms: float,
        clock: Clock,
        parameters: SwitchParameters | None = None,
    ):
        self._ranks = ranks
        self._epoch = epoch
        self._version = version
        self._layout = layout
        self._current = current
        self._pass_ms = pass_ms
        self._clock = clock
        self._parameters = parameters or SwitchParameters()
        self._holding_rank = 0
        self._held_step = 0

    async def run(self, reports: Sequence[RankReport]) -> SwitchResult:
        """Switch the group to the new map, or undo the attempt.

        Parameters
        ----------
        reports : sequence of RankReport
            The ranks' reports from before the attempt.
        """
        began_ms = self._clock.now_ms()
        if not await self._prepare():
            return SwitchResult.NOT_PREPARED
        latest = await self._wait_prepared()
        if latest is None:
            return SwitchResult.NOT_PREPARED
        self._update_pass_time(reports, latest, self._clock.now_ms() - began_ms)
        if not await self._hold(latest):
            return SwitchResult.NOT_HELD
        own_holds = [RankHold(rank=self._holding_rank, step=self._held_step)]
        if await self._arm():
            return (
                SwitchResult.SWITCHED
                if await self._release(own_holds)
                else SwitchResult.STUCK
            )
        return await self._undo(own_holds)

    async def recover(self, reports: Sequence[RankReport]) -> SwitchResult:
        """Undo the attempt of a lost coordinator, if the group is held.

        This object's version must be the highest that any rank has prepared or armed.

        Parameters
        ----------
        reports : sequence of RankReport
            The ranks' current reports.
        """
        holds = [
            RankHold(rank=rank, step=report.held_step)
            for rank, report in enumerate(reports)
            if report.held_step is not None
        ]
        other_ranks = set(range(len(reports))) - {hold.rank for hold in holds}
        if not holds or not other_ranks:
            return SwitchResult.STUCK if holds else SwitchResult.NOT_HELD
        # If the previous coordinator resumes, it can release only its own hold.
        own_hold = RankHold(
            rank=max(other_ranks), step=min(hold.step for hold in holds)
        )
        order = RankOrder(
            action=OrderAction.HOLD, epoch=self._epoch, step=own_hold.step
        )
        if not await self._confirm_order(
            own_hold.rank, order, self._parameters.arm_timeout_ms
        ):
            return SwitchResult.NOT_HELD
        return await self._undo([*holds, own_hold])

    async def _undo(self, holds: Sequence[RankHold]) -> SwitchResult:
        """Disarm all ranks, then release the holds on the group."""
        if not await self._on_all_ranks(self._disarm):
            return SwitchResult.STUCK
        return SwitchResult.UNDONE if await self._release(holds) else SwitchResult.STUCK

    # Steps of an attempt.

    async def _prepare(self) -> bool:
        order = RankOrder(
            action=OrderAction.PREPARE,
            epoch=self._epoch,
            version=self._version,
            layout=self._layout,
        )
        return await self._on_all_ranks(
            lambda rank: self._confirm_order(
                rank, order, self._parameters.prepare_timeout_ms
            )
        )

    async def _wait_prepared(self) -> list[RankReport] | None:
        """Return the reports once all ranks are prepared.

        Returns None after the timeout, or if the group has formed again.
        """
        deadline_ms = self._clock.now_ms() + self._parameters.prepare_timeout_ms
        prepared: dict[int, RankReport] = {}
        while self._clock.now_ms() < deadline_ms:
            unprepared = [r for r in range(len(self._ranks)) if r not in prepared]
            reports = await gather_few(
                [self._ranks[rank].read_report for rank in unprepared],
                self._parameters.max_concurrent_calls,
            )
            for rank, report in zip(unprepared, reports, strict=True):
                if report is not None and report.epoch != self._epoch:
                    return None
                if report is not None and report.prepared == self._version:
                    prepared[rank] = report
            if len(prepared) == len(self._ranks):
                return list(prepared.values())
            await self._clock.sleep_ms(self._parameters.report_interval_ms)
        return None

    def _update_pass_time(
        self, before: Sequence[RankReport], after: Sequence[RankReport], took_ms: float
    ) -> None:
        """Lower the pass time to the one that the reports show, if that is shorter.

        The smoothed pass time stays too long for a while after a slow rank recovers.
        """
        first_step = max(report.step for report in before)
        passes = max(report.step for report in after) - first_step
        if passes > 0:
            self._pass_ms = min(self._pass_ms, took_ms / passes)

    async def _hold(self, reports: Sequence[RankReport]) -> bool:
        """Hold the group back from a pass that is at least the lead away."""
        if any(report.armed or report.held_step is not None for report in reports):
            return False
        lead_ms = self._parameters.lead_ms
        lead_ms += self._parameters.lead_per_rank_ms * len(self._ranks)
        lead_passes = int(lead_ms / max(1.0, self._pass_ms))
        lead = 1 + max(self._parameters.min_lead_passes, lead_passes)
        self._held_step = max(report.step for report in reports) + lead
        order = RankOrder(
            action=OrderAction.HOLD, epoch=self._epoch, step=self._held_step
        )
        is_held = await self._confirm_order(
            self._holding_rank, order, self._parameters.arm_timeout_ms
        )
        if not is_held:
            # The rank may still carry out the order. No rank is armed: release it.
            await self._release(
                [RankHold(rank=self._holding_rank, step=self._held_step)]
            )
        return is_held

    async def _arm(self) -> bool:
        order = RankOrder(
            action=OrderAction.ARM,
            epoch=self._epoch,
            version=self._version,
            step=self._held_step,
        )
        return await self._on_all_ranks(
            lambda rank: self._confirm_order(
                rank, order, self._parameters.arm_timeout_ms
            )
        )

    async def _disarm(self, rank: int) -> bool:
        """Disarm a rank, and make it refuse late orders to arm."""
        deadline_ms = self._clock.now_ms() + self._parameters.undo_timeout_ms
        disarm = RankOrder(
            action=OrderAction.DISARM, epoch=self._epoch, version=self._version
        )
        version = self._version + 1
        while self._clock.now_ms() < deadline_ms:
            remaining_ms = deadline_ms - self._clock.now_ms()
            if not await self._confirm_order(rank, disarm, remaining_ms):
                return False
            prepare_current = RankOrder(
                action=OrderAction.PREPARE,
                epoch=self._epoch,
                version=version,
                layout=self._current,
            )
            result = await self._retry_order(rank, prepare_current, remaining_ms)
            if result in ACCEPTED_RESULTS:
                return True
            # A late order has armed the rank again, or the rank has had a higher
            # version.
            version += 1
            await self._clock.sleep_ms(self._parameters.resend_delay_ms)
        return False

    async def _release(self, holds: Sequence[RankHold]) -> bool:
        timeout_ms = self._parameters.undo_timeout_ms
        released = True
        for hold in holds:
            order = RankOrder(
                action=OrderAction.RELEASE, epoch=self._epoch, step=hold.step
            )
            released &= await self._confirm_order(hold.rank, order, timeout_ms)
        return released

    # Orders.

    async def _on_all_ranks(self, act: Callable[[int], Awaitable[bool]]) -> bool:
        calls = [functools.partial(act, rank) for rank in range(len(self._ranks))]
        return all(await gather_few(calls, self._parameters.max_concurrent_calls))

    async def _confirm_order(
        self, rank: int, order: RankOrder, timeout_ms: float
    ) -> bool:
        """Send an order until it is answered; return whether the rank accepted it."""
        return await self._retry_order(rank, order, timeout_ms) in ACCEPTED_RESULTS

    async def _retry_order(
        self, rank: int, order: RankOrder, timeout_ms: float
    ) -> OrderResult:
        deadline_ms = self._clock.now_ms() + timeout_ms
        while True:
            result = await self._ranks[rank].send_order(order)
            if result in ACCEPTED_RESULTS or result is OrderResult.REFUSED:
                return result
            if self._clock.now_ms() >= deadline_ms:
                return result
            await self._clock.sleep_ms(self._parameters.resend_delay_ms)
