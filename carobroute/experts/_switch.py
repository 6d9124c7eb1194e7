"""Passing a rank group from one expert map to another between two passes."""

import abc
import enum
import functools
from collections.abc import Awaitable, Callable, Sequence

import msgspec

from carobroute.experts._layout import Layout
from carobroute.platform import (
    OrderAction,
    OrderResult,
    RankOrder,
    RankReport,
)
from carobroute.utils import Clock, gather_few

DEFINITE = frozenset({OrderResult.BEGUN, OrderResult.HOLDS_ALREADY})


class SwitchEnd(enum.StrEnum):
    """How an attempt to switch a group ended."""

    SWITCHED = "switched"
    NOT_PREPARED = "not_prepared"
    NOT_HELD = "not_held"
    UNDONE = "undone"
    STUCK = "stuck"


class SwitchParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Times of a switch.

    Parameters
    ----------
    lead_ms : float
        Time from the last report to the pass that is held. Reports lag by some hundred
        milliseconds; in what is left, three rounds of orders
        fit even if the first two get no answers.
    least_passes : int
        Least lead in passes: a report that comes at another point of a pass than the
        one before it is one pass off, and the next pass may be a short one.
    resend_ms : float
        Wait before an order without an answer is sent again.
    prepare_ms : float
        Longest time for all ranks to be prepared.
    arm_ms : float
        Longest time for all ranks to be armed, before the attempt is undone.
    undo_ms : float
        Longest time for which undoing is tried.
    report_ms : float
        Wait between two readings of reports.
    width : int
        Calls to ranks that are under way at a time. More would wait for this process
        and its link, and be taken for lost.
    rank_ms : float
        Further lead for each rank of the group: the time that one order takes here.
    """

    lead_ms: float = 400.0
    least_passes: int = 2
    resend_ms: float = 5.0
    prepare_ms: float = 2_500.0
    arm_ms: float = 1_500.0
    undo_ms: float = 20_000.0
    report_ms: float = 60.0
    width: int = 8
    rank_ms: float = 2.0


class HeldRank(msgspec.Struct, frozen=True, kw_only=True):
    """A rank that holds its group back from a pass."""

    rank: int
    step: int


class RankPort(abc.ABC):
    """Ways to one rank of a group."""

    __slots__ = ()

    @abc.abstractmethod
    async def order(self, order: RankOrder) -> OrderResult:
        """Send an order once."""

    @abc.abstractmethod
    async def report(self) -> RankReport | None:
        """Return the rank's report, or None without an answer."""


class MapSwitch:
    """One attempt to have all ranks use a new map from the same pass on.

    Parameters
    ----------
    ranks : sequence of RankPort
        All ranks of the group, in their order.
    epoch : int
        Formation of the group; its orders reach no other.
    version : int
        Version of the new map, higher than all that the ranks have had.
    layout : Layout
        The new map.
    current : Layout
        The map in use, which ranks are told to prepare again when an attempt is
        undone.
    pass_ms : float
        Time that the group takes for a pass now.
    clock : Clock
        Source of time.
    parameters : SwitchParameters, default=None
        Times.

    Notes
    -----
    Two ranks must never be on different maps in one pass. All ranks are prepared
    first. Then one rank holds the group back from a pass to come, all ranks are armed
    for that pass, and only when each has confirmed that is the pass released.

    An order without an answer may be carried out seconds later. Arming names its pass,
    so it has no effect once that pass has begun, and the pass does not begin before
    all have confirmed. Where they do not, each rank is disarmed and told to prepare
    the old map under a higher version; a late order to arm then names a version that
    is not prepared, and is refused. Only after that is the pass released.

    A successor that finds the group held does the same under a hold of its own on
    another rank, so a coordinator that wakes up in the middle can release its own
    hold, but not the group.
    """

    __slots__ = (
        "_clock",
        "_current",
        "_epoch",
        "_holder",
        "_layout",
        "_parameters",
        "_pass_ms",
        "_ranks",
        "_step",
        "_version",
    )

    def __init__(
        self,
        *,
        ranks: Sequence[RankPort],
        epoch: int,
        version: int,
        layout: Layout,
        current: Layout,
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
        self._holder = 0
        self._step = 0

    async def run(self, reports: Sequence[RankReport]) -> SwitchEnd:
        """Prepare and switch the group, or leave it as it was.

        Parameters
        ----------
        reports : sequence of RankReport
            The ranks' reports from before the attempt.
        """
        began_ms = self._clock.now_ms()
        if not await self._prepare():
            return SwitchEnd.NOT_PREPARED
        latest = await self._wait_prepared()
        if latest is None:
            return SwitchEnd.NOT_PREPARED
        self._measure_passes(reports, latest, self._clock.now_ms() - began_ms)
        if not await self._hold(latest):
            return SwitchEnd.NOT_HELD
        own = [HeldRank(rank=self._holder, step=self._step)]
        if await self._arm():
            return SwitchEnd.SWITCHED if await self._release(own) else SwitchEnd.STUCK
        return await self._undo(own)

    async def recover(self, reports: Sequence[RankReport]) -> SwitchEnd:
        """Undo an attempt whose coordinator is gone, if the group is held.

        The version given to the attempt must be the highest that is prepared or armed
        anywhere.

        Parameters
        ----------
        reports : sequence of RankReport
            The ranks' reports.
        """
        held = [
            HeldRank(rank=rank, step=report.held_step)
            for rank, report in enumerate(reports)
            if report.held_step is not None
        ]
        free = set(range(len(reports))) - {found.rank for found in held}
        if not held or not free:
            return SwitchEnd.STUCK if held else SwitchEnd.NOT_HELD
        # A coordinator that wakes up may release its own hold, but not this one.
        own = HeldRank(rank=max(free), step=min(found.step for found in held))
        hold = RankOrder(action=OrderAction.HOLD, epoch=self._epoch, step=own.step)
        if not await self._insist(own.rank, hold, self._parameters.arm_ms):
            return SwitchEnd.NOT_HELD
        return await self._undo([*held, own])

    async def _undo(self, held: Sequence[HeldRank]) -> SwitchEnd:
        """Have no rank armed, and release the ranks that hold the group back."""
        if not await self._all(self._disarm):
            return SwitchEnd.STUCK
        return SwitchEnd.UNDONE if await self._release(held) else SwitchEnd.STUCK

    # Steps of an attempt.

    async def _prepare(self) -> bool:
        order = RankOrder(
            action=OrderAction.PREPARE,
            epoch=self._epoch,
            version=self._version,
            layout=self._layout,
        )
        return await self._all(
            lambda index: self._insist(index, order, self._parameters.prepare_ms)
        )

    async def _wait_prepared(self) -> list[RankReport] | None:
        """Return the ranks' reports once all are prepared; None if that fails."""
        limit_ms = self._clock.now_ms() + self._parameters.prepare_ms
        known: dict[int, RankReport] = {}
        while self._clock.now_ms() < limit_ms:
            waiting = [i for i in range(len(self._ranks)) if i not in known]
            reports = await gather_few(
                [self._ranks[index].report for index in waiting],
                self._parameters.width,
            )
            for index, report in zip(waiting, reports, strict=True):
                if report is not None and report.epoch != self._epoch:
                    return None
                if report is not None and report.prepared == self._version:
                    known[index] = report
            if len(known) == len(self._ranks):
                return list(known.values())
            await self._clock.sleep_ms(self._parameters.report_ms)
        return None

    def _measure_passes(
        self, before: Sequence[RankReport], after: Sequence[RankReport], took_ms: float
    ) -> None:
        """Take the time of a pass from the reports if it has become shorter.

        The smoothed time lags behind a slow rank that has recovered.
        """
        first = max(report.step for report in before)
        passes = max(report.step for report in after) - first
        if passes > 0:
            self._pass_ms = min(self._pass_ms, took_ms / passes)

    async def _hold(self, reports: Sequence[RankReport]) -> bool:
        """Hold the group back from a pass that is far enough ahead."""
        if any(report.armed or report.held_step is not None for report in reports):
            return False
        lead_ms = self._parameters.lead_ms
        lead_ms += self._parameters.rank_ms * len(self._ranks)
        passes = int(lead_ms / max(1.0, self._pass_ms))
        lead = 1 + max(self._parameters.least_passes, passes)
        self._step = max(report.step for report in reports) + lead
        order = RankOrder(action=OrderAction.HOLD, epoch=self._epoch, step=self._step)
        held = await self._insist(self._holder, order, self._parameters.arm_ms)
        if not held:
            # The order may still be carried out; nothing is armed, so release it.
            await self._release([HeldRank(rank=self._holder, step=self._step)])
        return held

    async def _arm(self) -> bool:
        order = RankOrder(
            action=OrderAction.ARM,
            epoch=self._epoch,
            version=self._version,
            step=self._step,
        )
        return await self._all(
            lambda index: self._insist(index, order, self._parameters.arm_ms)
        )

    async def _disarm(self, index: int) -> bool:
        """Disarm a rank, and have late orders to arm it refused."""
        limit_ms = self._clock.now_ms() + self._parameters.undo_ms
        disarm = RankOrder(
            action=OrderAction.DISARM, epoch=self._epoch, version=self._version
        )
        version = self._version + 1
        while self._clock.now_ms() < limit_ms:
            left_ms = limit_ms - self._clock.now_ms()
            if not await self._insist(index, disarm, left_ms):
                return False
            seal = RankOrder(
                action=OrderAction.PREPARE,
                epoch=self._epoch,
                version=version,
                layout=self._current,
            )
            result = await self._send(index, seal, left_ms)
            if result in DEFINITE:
                return True
            # It was armed again in between, or has had a higher version.
            version += 1
            await self._clock.sleep_ms(self._parameters.resend_ms)
        return False

    async def _release(self, held: Sequence[HeldRank]) -> bool:
        limit_ms = self._parameters.undo_ms
        released = True
        for found in held:
            order = RankOrder(
                action=OrderAction.RELEASE, epoch=self._epoch, step=found.step
            )
            released &= await self._insist(found.rank, order, limit_ms)
        return released

    # Orders.

    async def _all(self, act: Callable[[int], Awaitable[bool]]) -> bool:
        calls = [functools.partial(act, index) for index in range(len(self._ranks))]
        return all(await gather_few(calls, self._parameters.width))

    async def _insist(self, index: int, order: RankOrder, limit_ms: float) -> bool:
        """Send an order until it is answered; return whether it was accepted."""
        return await self._send(index, order, limit_ms) in DEFINITE

    async def _send(self, index: int, order: RankOrder, limit_ms: float) -> OrderResult:
        until_ms = self._clock.now_ms() + limit_ms
        while True:
            result = await self._ranks[index].order(order)
            if result in DEFINITE or result is OrderResult.REFUSED:
                return result
            if self._clock.now_ms() >= until_ms:
                return result
            await self._clock.sleep_ms(self._parameters.resend_ms)
