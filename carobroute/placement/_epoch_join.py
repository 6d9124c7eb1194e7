"""Agreement of all members on the map with which a new epoch begins."""

import asyncio

from returns.result import Success

from carobroute.placement._interface import EngineStatus, GroupMember
from carobroute.placement._map import ExpertMap, MapVersion
from carobroute.placement._member_state import MemberState
from carobroute.placement._messages import AskJoin, FetchMap, JoinReply, MapReply
from carobroute.placement._settlement import owns_ranks


class EpochJoin:
    """Finds the map with which a member joins an epoch, the same for all members.

    Parameters
    ----------
    member : MemberState
        Member that joins.
    epoch : int
        Epoch to join.

    Notes
    -----
    Each member reports the version that it had in force when it entered the epoch; from
    then on it ignores decisions of earlier epochs. All members wait for the reports of
    all members and adopt the highest version, so they agree without a coordinator. A
    member that has adopted a map reports that map instead, which does not change the
    highest version.
    """

    __slots__ = ("_epoch", "_member", "_reports")

    def __init__(self, *, member: MemberState, epoch: int):
        self._member = member
        self._epoch = epoch
        self._reports: dict[str, MapVersion] = {}

    async def load_agreed_map(self) -> ExpertMap | None:
        """Load and return the highest map in force; None if the epoch ended first."""
        while self._is_current():
            status = await self._read_status()
            if status is not None and await self._collect_reports(status):
                break
            await self._wait_to_retry()
        highest = max(
            [*self._reports.values(), self._member.in_force.version],
        )
        while self._is_current():
            expert_map = await self._find_map(highest)
            if expert_map is not None and await self._load(expert_map):
                return expert_map
            await self._wait_to_retry()
        return None

    def _is_current(self) -> bool:
        return self._member.epoch == self._epoch and not self._member.is_retired

    async def _wait_to_retry(self) -> None:
        await self._member.clock.sleep_ms(self._member.parameters.retry_ms)

    async def _read_status(self) -> EngineStatus | None:
        result = await self._member.engine.status()
        if not isinstance(result, Success):
            return None
        status = result.unwrap()
        self._member.update_status(status)
        return status if status.epoch == self._epoch else None

    async def _collect_reports(self, status: EngineStatus) -> bool:
        """Ask the members without a report; return whether all have reported."""
        members = self._member.peers.members()
        others = [m for m in members if m.name != self._member.name]
        pending = [m for m in others if m.name not in self._reports]
        await asyncio.gather(*(self._ask(m, status.roster) for m in pending))
        known_ranks = {rank for m in members for rank in m.ranks}
        if not self._is_current() or known_ranks != set(status.roster):
            return False
        return all(m.name in self._reports for m in others)

    async def _ask(self, other: GroupMember, roster: dict[int, str]) -> None:
        request = AskJoin(group=self._member.group, epoch=self._epoch)
        result = await self._member.peers.call(
            other, request, timeout_ms=self._member.parameters.call_timeout_ms
        )
        if not isinstance(result, Success):
            return
        reply = result.unwrap()
        if not isinstance(reply, JoinReply) or reply.epoch != self._epoch:
            return
        if not owns_ranks(other, reply.incarnation, roster):
            return
        self._reports[other.name] = reply.version
        if reply.version > self._member.in_force.version:
            await self._adopt_and_report(reply.version)

    async def _adopt_and_report(self, version: MapVersion) -> None:
        """Adopt a higher map and report it, in case its holders are also replaced."""
        expert_map = await self._find_map(version)
        if expert_map is not None and self._is_current():
            self._member.adopt_map(expert_map)

    async def _find_map(self, version: MapVersion) -> ExpertMap | None:
        known = self._member.known_map(version)
        if known is not None:
            return known
        for other in self._member.peers.members():
            if self._reports.get(other.name) != version:
                continue
            request = FetchMap(group=self._member.group, version=version)
            result = await self._member.peers.call(
                other, request, timeout_ms=self._member.parameters.call_timeout_ms
            )
            reply = result.value_or(None)
            if isinstance(reply, MapReply) and reply.expert_map is not None:
                return reply.expert_map
        return None

    async def _load(self, expert_map: ExpertMap) -> bool:
        return isinstance(await self._member.engine.load(expert_map), Success)
