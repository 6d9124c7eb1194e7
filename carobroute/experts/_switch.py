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

# Each coordinator uses the versions with its own remainder, so that two coordinators
# never prepare different maps under one version.
VERSION_STRIDE = 1 << 16

# Longest delay before a refused order is sent again.
MAX_RESEND_DELAY_MS = 400.0

ACCEPTED_RESULTS = frozenset({OrderResult.BEGUN, OrderResult.IN_EFFECT})


def next_version(version: int, remainder: int) -> int:
    """Return the lowest version above `version` with a coordinator's remainder.

    Examples
    --------
    >>> next_version(0, 7), next_version(7, 7), next_version(65_544, 7)
    (7, 65543, 131079)
    """
    base = version - version % VERSION_STRIDE + remainder
    return base if base > version else base + VERSION_STRIDE


class SwitchResult(enum.StrEnum):
    """Result of an attempt to switch a group.

    Only `SWITCHED` puts the new map in use. After `NOT_HELD`, the order to hold was not
    sent or not confirmed, or a recovery found no hold. After `STUCK`, an order to
    disarm or to release a rank was not confirmed, or a recovery found holds on all
    ranks; the group may stay held. After `SUPERSEDED`, the rest is left to the
    coordinator that has taken over.
    """

    SWITCHED = "switched"
    NOT_PREPARED = "not_prepared"
    NOT_HELD = "not_held"
    UNDONE = "undone"
    STUCK = "stuck"
    SUPERSEDED = "superseded"


class SwitchParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Times and limits of a switch.

    Parameters
    ----------
    lead_ms : float
        Time from the order to hold to the pass that is held back, for the order itself
        and the first orders to arm.
    min_lead_passes : int
        Smallest lead in passes. The current pass is estimated, so its number may be one
        too low, and the next pass may be short.
    max_hold_attempts : int
        Number of passes that are tried for a hold. One that has already begun is
        refused.
    resend_delay_ms : float
        Delay before an unanswered order is sent again.
    rearm_delay_ms : float
        Delay before a refused order to arm is sent again: the rank still copies
        experts. It doubles each time.
    prepare_timeout_ms : float
        Longest time until all ranks accept the order to prepare.
    arm_timeout_ms : float
        Longest time until the hold is confirmed, and then until all ranks are armed;
        an attempt that fails to arm them is undone.
    undo_timeout_ms : float
        Longest time for undoing an attempt.
    max_concurrent_calls : int
        Largest number of calls to ranks in flight. Further calls would queue in this
        process and on its link until they time out.
    lead_per_rank_ms : float
        Added to the lead for each rank of the group: the time that this process takes
        for one order.
    """

    lead_ms: float = 60.0
    min_lead_passes: int = 2
    max_hold_attempts: int = 6
    resend_delay_ms: float = 5.0
    rearm_delay_ms: float = 25.0
    prepare_timeout_ms: float = 2_500.0
    arm_timeout_ms: float = 1_500.0
    undo_timeout_ms: float = 20_000.0
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
    version_remainder : int
        Remainder of the versions that this coordinator may use.
    layout : ExpertLayout
        Layout of the new map.
    current : ExpertLayout
        Layout of the map in use, which ranks prepare again when an attempt is undone.
    pass_ms : float
        Current time of one of the group's passes.
    copy_ms : float
        Expected time in which the ranks copy the experts that are new to them.
    report_lag_ms : float
        Age of the state in a rank's report.
    clock : Clock
        Source of time.
    parameters : SwitchParameters, default=None
        Times and limits; None for the defaults.
    is_superseded : callable, optional
        Returns whether another process coordinates the group by now.

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

    Reports lag, so the switch does not wait until they show that all ranks are
    prepared. It waits for the expected time of the copies, and repeats orders to arm
    that are refused: while the pass is held, a rank refuses only because it is not
    prepared yet.

    A successor that finds the group held undoes the attempt in the same way, after it
    has placed a hold of its own on another rank. The previous coordinator, if it
    resumes, can release only its own hold, and the group stays held.

    A coordinator that learns that it has been replaced sends no further orders, as if
    it had crashed: its undo would replace the maps that its successor has prepared.
    """

    __slots__ = (
        "_clock",
        "_copy_ms",
        "_current",
        "_due_ms",
        "_epoch",
        "_held_step",
        "_holding_rank",
        "_is_superseded",
        "_layout",
        "_parameters",
        "_pass_ms",
        "_ranks",
        "_report_lag_ms",
        "_version",
        "_version_remainder",
    )

    def __init__(
        self,
        *,
        ranks: Sequence[RankHandle],
        epoch: int,
        version: int,
        version_remainder: int,
        layout: ExpertLayout,
        current: ExpertLayout,
        pass_ms: float,
        copy_ms: float,
        report_lag_ms: float,
        clock: Clock,
        parameters: SwitchParameters | None = None,
        is_superseded: Callable[[], bool] = lambda: False,
    ):
        self._ranks = ranks
        self._epoch = epoch
        self._version = version
        self._version_remainder = version_remainder
        self._layout = layout
        self._current = current
        self._pass_ms = pass_ms
        self._copy_ms = copy_ms
        self._report_lag_ms = report_lag_ms
        self._clock = clock
        self._parameters = parameters or SwitchParameters()
        self._is_superseded = is_superseded
        self._holding_rank = 0
        # Time at which the held pass is expected to be due.
        self._due_ms = 0.0
        self._held_step = 0

    @property
    def _lead_ms(self) -> float:
        return self._parameters.lead_ms + self._parameters.lead_per_rank_ms * len(
            self._ranks
        )

    async def run(self) -> SwitchResult:
        """Switch the group to the new map, or undo the attempt."""
        result = await self._run()
        return SwitchResult.SUPERSEDED if self._is_superseded() else result

    async def _run(self) -> SwitchResult:
        if not await self._prepare():
            return SwitchResult.NOT_PREPARED
        prepared_ms = self._clock.now_ms() + self._copy_ms
        latest = await self._read_reports()
        if not latest or any(report.epoch != self._epoch for report in latest):
            return SwitchResult.NOT_PREPARED
        if any(report.armed or report.held_step is not None for report in latest):
            return SwitchResult.NOT_HELD
        hold_ms = prepared_ms - self._lead_ms
        await self._clock.sleep_ms(max(0.0, hold_ms - self._clock.now_ms()))
        if not await self._hold():
            return SwitchResult.NOT_HELD
        await self._clock.sleep_ms(max(0.0, prepared_ms - self._clock.now_ms()))
        own_holds = [RankHold(rank=self._holding_rank, step=self._held_step)]
        if not await self._arm():
            return await self._undo(own_holds)
        if not await self._release(own_holds):
            return SwitchResult.STUCK
        await self._clock.sleep_ms(max(0.0, self._due_ms - self._clock.now_ms()))
        return SwitchResult.SWITCHED

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

    async def _read_reports(self) -> list[RankReport]:
        """Return the reports of all ranks, or nothing if one is missing."""
        answered = await gather_few(
            [rank.read_report for rank in self._ranks],
            self._parameters.max_concurrent_calls,
        )
        reports = [report for report in answered if report is not None]
        return reports if len(reports) == len(self._ranks) else []

    async def _hold(self) -> bool:
        """Hold the group back from a pass that is at least the lead away.

        The pass must not be far away either: a hold that is carried out seconds later
        is harmless only because its pass has begun by then.
        """
        for _ in range(self._parameters.max_hold_attempts):
            report = await self._ranks[self._holding_rank].read_report()
            if report is None or report.epoch != self._epoch:
                return False
            pass_ms = max(1.0, self._pass_ms)
            lead = max(self._parameters.min_lead_passes, int(self._lead_ms / pass_ms))
            passes = 1 + int(self._report_lag_ms / pass_ms) + lead
            self._held_step = report.step + passes
            self._due_ms = self._clock.now_ms() + lead * pass_ms
            order = RankOrder(
                action=OrderAction.HOLD, epoch=self._epoch, step=self._held_step
            )
            result = await self._retry_order(
                self._holding_rank, order, self._parameters.arm_timeout_ms
            )
            if result in ACCEPTED_RESULTS:
                return True
            if result is not OrderResult.REFUSED:
                # The rank may still carry out the order. No rank is armed: release it.
                await self._release(
                    [RankHold(rank=self._holding_rank, step=self._held_step)]
                )
                return False
            # The pass has begun already. The smoothed pass time stays too long for a
            # while after a slow rank has recovered.
            self._pass_ms /= 2
        return False

    async def _arm(self) -> bool:
        return await self._on_all_ranks(self._arm_rank)

    async def _arm_rank(self, rank: int) -> bool:
        """Arm a rank for the held pass, once it has copied its experts."""
        deadline_ms = self._clock.now_ms() + self._parameters.arm_timeout_ms
        delay_ms = self._parameters.rearm_delay_ms
        order = RankOrder(
            action=OrderAction.ARM,
            epoch=self._epoch,
            version=self._version,
            step=self._held_step,
        )
        while True:
            remaining_ms = deadline_ms - self._clock.now_ms()
            result = await self._retry_order(rank, order, remaining_ms)
            if result in ACCEPTED_RESULTS:
                return True
            is_late = self._clock.now_ms() + delay_ms >= deadline_ms
            if result is not OrderResult.REFUSED or is_late:
                return False
            await self._clock.sleep_ms(delay_ms)
            delay_ms = min(MAX_RESEND_DELAY_MS, 2 * delay_ms)

    async def _disarm(self, rank: int) -> bool:
        """Disarm a rank, and make it refuse late orders to arm.

        A rank that refuses to prepare the current layout has had a higher version,
        which its report may tell, or is armed by another coordinator. That one may
        have confirmed the rank already, so the rank stays armed.
        """
        deadline_ms = self._clock.now_ms() + self._parameters.undo_timeout_ms
        delay_ms = self._parameters.rearm_delay_ms
        version = next_version(self._version, self._version_remainder)
        while self._clock.now_ms() < deadline_ms:
            remaining_ms = deadline_ms - self._clock.now_ms()
            disarm = RankOrder(
                action=OrderAction.DISARM, epoch=self._epoch, version=self._version
            )
            prepare_current = RankOrder(
                action=OrderAction.PREPARE,
                epoch=self._epoch,
                version=version,
                layout=self._current,
            )
            if not await self._confirm_order(rank, disarm, remaining_ms):
                return False
            result = await self._retry_order(rank, prepare_current, remaining_ms)
            if result in ACCEPTED_RESULTS:
                return True
            await self._clock.sleep_ms(delay_ms)
            delay_ms = min(MAX_RESEND_DELAY_MS, 2 * delay_ms)
            report = await self._ranks[rank].read_report()
            if report is not None and report.epoch != self._epoch:
                return False
            known = max(version, (report and report.prepared) or 0)
            version = next_version(known, self._version_remainder)
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
            if self._is_superseded():
                return OrderResult.UNSENT
            result = await self._ranks[rank].send_order(order)
            if result in ACCEPTED_RESULTS or result is OrderResult.REFUSED:
                return result
            if self._clock.now_ms() >= deadline_ms:
                return result
            await self._clock.sleep_ms(self._parameters.resend_delay_ms)
