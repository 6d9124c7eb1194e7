"""Orders from a member to its ranks, one at a time and numbered."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from returns.result import Result, Success

from carobroute.errors import ErrorKind, Fault
from carobroute.placement._map import MapVersion

if TYPE_CHECKING:
    from carobroute.placement._member import RankMember

REFUSED = frozenset({ErrorKind.STALE_FENCE, ErrorKind.CONFLICT})


class EngineOrders:
    """Sends a member's orders in turn, each until its result is definite.

    Parameters
    ----------
    member : RankMember
        Member whose ranks get the orders.

    Notes
    -----
    An order is given up only when the member has left the order's epoch, in which
    the engine refuses it anyway.
    """

    __slots__ = ("_lock", "_member", "_number")

    def __init__(self, *, member: "RankMember"):
        self._member = member
        self._lock = asyncio.Lock()
        self._number = 0

    @property
    def busy(self) -> bool:
        """Whether an order is under way."""
        return self._lock.locked()

    async def hold_before(self, step: int, *, epoch: int) -> bool:
        """Return whether the ranks will not begin `step` until told."""
        async with self._lock:
            number = self._next()
            held = await self._member.engine.hold_before(
                epoch=epoch, step=step, order=number
            )
        return isinstance(held, Success) and held.unwrap()

    async def set_map(self, version: MapVersion, *, epoch: int, step: int) -> bool:
        """Use a map from `step` on; False if the epoch ended first."""
        engine = self._member.engine
        return await self._settle(
            epoch,
            lambda number: engine.set_map(
                version, epoch=epoch, step=step, order=number
            ),
        )

    async def release_hold(self, *, epoch: int) -> bool:
        """Release a hold and keep the map; False if the epoch ended first."""
        engine = self._member.engine
        return await self._settle(
            epoch, lambda number: engine.release_hold(epoch=epoch, order=number)
        )

    async def join(self, version: MapVersion, *, epoch: int) -> bool:
        """Take part in `epoch` with a map; False if the epoch ended first."""
        engine = self._member.engine
        return await self._settle(
            epoch, lambda number: engine.join(version, epoch=epoch, order=number)
        )

    async def _settle(
        self, epoch: int, send: Callable[[int], Awaitable[Result[None, Fault]]]
    ) -> bool:
        async with self._lock:
            number = self._next()
            while self._member.epoch == epoch and not self._member.retired:
                result = await send(number)
                if isinstance(result, Success):
                    return True
                if result.failure().kind in REFUSED:
                    # A late unload may have freed the map's experts.
                    await self._member.engine.load(self._member.in_force)
                await self._member.clock.sleep_ms(self._member.parameters.retry_ms)
        return False

    def _next(self) -> int:
        self._number += 1
        return self._number
