"""A member's view of its engine: ranks attached, status read, memory tidied."""

from typing import TYPE_CHECKING

from returns.result import Success

from carobroute.placement._engine_orders import EngineOrders
from carobroute.placement._interface import EngineStatus
from carobroute.placement._loads import MapLoads

if TYPE_CHECKING:
    from carobroute.placement._member import RankMember


class EngineWatch:
    """Attaches a member's ranks and follows their status.

    Parameters
    ----------
    member : RankMember
        Member that hears of each status.
    loads : MapLoads
        Maps loaded, of which those that nobody needs are freed.
    orders : EngineOrders
        Orders to the ranks.
    """

    __slots__ = ("_loads", "_member", "_orders", "attached")

    def __init__(self, *, member: "RankMember", loads: MapLoads, orders: EngineOrders):
        self._member = member
        self._loads = loads
        self._orders = orders
        self.attached = False

    async def run(self) -> None:
        """Attach the ranks, and follow them until another incarnation owns them."""
        member = self._member
        await self.attach()
        while not member.retired:
            await member.clock.sleep_ms(member.parameters.poll_ms)
            status = await self.read_status()
            if status is not None and member.joined:
                await self._tidy(status)

    async def attach(self) -> None:
        """Make the member the owner of its ranks, which begins a new epoch."""
        member = self._member
        delay_ms = member.parameters.retry_ms
        while True:
            epoch = await member.engine.attach()
            if isinstance(epoch, Success):
                self.attached = True
                member.notice_epoch(epoch.unwrap())
                return
            await member.clock.sleep_ms(delay_ms)
            delay_ms = min(2 * delay_ms, member.parameters.poll_ms)

    async def read_status(self) -> EngineStatus | None:
        """Read the engine's status, and have the member take it in."""
        result = await self._member.engine.status()
        if not isinstance(result, Success):
            return None
        self._member.notice_status(result.unwrap())
        return result.unwrap()

    async def _tidy(self, status: EngineStatus) -> None:
        """Release a stray hold, and free experts that no map needs any more."""
        member = self._member
        if status.held and member.promise is None and not self._orders.busy:
            await self._orders.release_hold(epoch=member.epoch)
        if status.step < member.in_force_step or member.promise is not None:
            return
        kept = self._loads.prune(member.in_force.version)
        if kept:
            await member.engine.unload(kept)
