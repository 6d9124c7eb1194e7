"""Supervision of a member's engine: attachment, status polling and clean-up."""

from returns.result import Success

from carobroute.placement._engine_orders import EngineOrderSender
from carobroute.placement._interface import EngineStatus
from carobroute.placement._map_loader import MapLoader
from carobroute.placement._member_state import MemberState


class EngineMonitor:
    """Attaches a member's ranks and polls their status.

    Parameters
    ----------
    member : MemberState
        Member that is updated with each status.
    map_loader : MapLoader
        Loaded maps; the experts of unneeded maps are freed.
    order_sender : EngineOrderSender
        Sends orders to the ranks.
    """

    __slots__ = ("_map_loader", "_member", "_order_sender", "is_attached")

    def __init__(
        self,
        *,
        member: MemberState,
        map_loader: MapLoader,
        order_sender: EngineOrderSender,
    ):
        self._member = member
        self._map_loader = map_loader
        self._order_sender = order_sender
        self.is_attached = False

    async def run(self) -> None:
        """Attach the ranks, and poll them until another incarnation owns them."""
        member = self._member
        await self.attach()
        while not member.is_retired:
            await member.clock.sleep_ms(member.parameters.poll_ms)
            status = await self.read_status()
            if status is not None and member.is_joined:
                await self._clean_up(status)

    async def attach(self) -> None:
        """Make the member the owner of its ranks, which begins a new epoch.

        Failed attempts are retried with increasing delays up to the poll interval.
        """
        member = self._member
        delay_ms = member.parameters.retry_ms
        while True:
            epoch = await member.engine.attach()
            if isinstance(epoch, Success):
                self.is_attached = True
                member.enter_newer_epoch(epoch.unwrap())
                return
            await member.clock.sleep_ms(delay_ms)
            delay_ms = min(2 * delay_ms, member.parameters.poll_ms)

    async def read_status(self) -> EngineStatus | None:
        """Read the engine's status and update the member with it."""
        result = await self._member.engine.status()
        if not isinstance(result, Success):
            return None
        self._member.update_status(result.unwrap())
        return result.unwrap()

    async def _clean_up(self, status: EngineStatus) -> None:
        """Release a hold without a promise, and free experts that no map needs."""
        member = self._member
        if status.held and member.promise is None and not self._order_sender.is_busy:
            await self._order_sender.release_hold(epoch=member.epoch)
        if status.step < member.in_force_step or member.promise is not None:
            return
        kept = self._map_loader.prune(member.in_force.version)
        if kept:
            await member.engine.unload(kept)
