"""Numbered orders from a member to its ranks, one at a time."""

import asyncio
from collections.abc import Awaitable, Callable

from returns.result import Result, Success

from carobroute.errors import ErrorKind, Fault
from carobroute.placement._map import MapVersion
from carobroute.placement._member_state import MemberState

REFUSAL_KINDS = frozenset({ErrorKind.STALE_FENCE, ErrorKind.CONFLICT})


class EngineOrderSender:
    """Sends a member's orders one at a time, each with retries until it succeeds.

    Parameters
    ----------
    member : MemberState
        Member whose ranks get the orders.

    Notes
    -----
    Retries end only when the member is retired or has left the order's epoch; the
    engine refuses orders of an old epoch anyway. A hold is sent once, without retries.
    """

    __slots__ = ("_lock", "_member", "_number")

    def __init__(self, *, member: MemberState):
        self._member = member
        self._lock = asyncio.Lock()
        self._number = 0

    @property
    def is_busy(self) -> bool:
        """Whether an order is being sent."""
        return self._lock.locked()

    async def hold_before(self, step: int, *, epoch: int) -> bool:
        """Keep the ranks from beginning `step`; return whether the hold is certain."""
        async with self._lock:
            number = self._next_number()
            result = await self._member.engine.hold_before(
                epoch=epoch, step=step, order=number
            )
        return isinstance(result, Success) and result.unwrap()

    async def set_map(self, version: MapVersion, *, epoch: int, step: int) -> bool:
        """Use a map from `step` on; return False if the epoch ended first."""
        engine = self._member.engine
        return await self._send_until_success(
            epoch,
            lambda number: engine.set_map(
                version, epoch=epoch, step=step, order=number
            ),
        )

    async def release_hold(self, *, epoch: int) -> bool:
        """Release any hold without a change of map; False if the epoch ended first."""
        engine = self._member.engine
        return await self._send_until_success(
            epoch, lambda number: engine.release_hold(epoch=epoch, order=number)
        )

    async def join(self, version: MapVersion, *, epoch: int) -> bool:
        """Join `epoch` with a map; return False if the epoch ended first."""
        engine = self._member.engine
        return await self._send_until_success(
            epoch, lambda number: engine.join(version, epoch=epoch, order=number)
        )

    async def _send_until_success(
        self, epoch: int, send: Callable[[int], Awaitable[Result[None, Fault]]]
    ) -> bool:
        async with self._lock:
            number = self._next_number()
            while self._member.epoch == epoch and not self._member.is_retired:
                result = await send(number)
                if isinstance(result, Success):
                    return True
                if result.failure().kind in REFUSAL_KINDS:
                    # A late unload may have freed the map's experts.
                    await self._member.engine.load(self._member.in_force)
                await self._member.clock.sleep_ms(self._member.parameters.retry_ms)
        return False

    def _next_number(self) -> int:
        self._number += 1
        return self._number
