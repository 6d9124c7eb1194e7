"""Entry into a new epoch of a rank group."""

import asyncio
from typing import TYPE_CHECKING

from returns.result import Success

from carobroute.placement._interface import EngineStatus, GroupMember
from carobroute.placement._map import ExpertMap, MapVersion
from carobroute.placement._messages import AskJoin, FetchMap, JoinReply, MapReply
from carobroute.placement._settlement import speaks_for

if TYPE_CHECKING:
    from carobroute.placement._member import RankMember


class EpochJoin:
    """Finds the one map with which all members enter an epoch.

    Parameters
    ----------
    member : RankMember
        Member that enters.
    epoch : int
        Epoch that it enters.

    Notes
    -----
    Each member reports the map that it had in force on entering, and by entering it
    has stopped to follow decisions of earlier epochs. All members wait for the same
    reports and adopt the highest, so they agree without a coordinator. Once adopted, a
    map is reported in place of the first, which leaves the highest as it is.
    """

    __slots__ = ("_epoch", "_member", "_reports")

    def __init__(self, *, member: "RankMember", epoch: int):
        self._member = member
        self._epoch = epoch
        self._reports: dict[str, MapVersion] = {}

    async def adopt(self) -> ExpertMap | None:
        """Return the map to join with, loaded, or None if the epoch ended first."""
        while self._current():
            status = await self._read_status()
            if status is not None and await self._collect(status):
                break
            await self._pause()
        highest = max(
            [*self._reports.values(), self._member.in_force.version],
        )
        while self._current():
            expert_map = await self._content(highest)
            if expert_map is not None and await self._load(expert_map):
                return expert_map
            await self._pause()
        return None

    def _current(self) -> bool:
        return self._member.epoch == self._epoch and not self._member.retired

    async def _pause(self) -> None:
        await self._member.clock.sleep_ms(self._member.parameters.retry_ms)

    async def _read_status(self) -> EngineStatus | None:
        result = await self._member.engine.status()
        if not isinstance(result, Success):
            return None
        status = result.unwrap()
        self._member.notice_status(status)
        return status if status.epoch == self._epoch else None

    async def _collect(self, status: EngineStatus) -> bool:
        """Ask those that have not reported; return whether all have."""
        members = self._member.peers.members()
        others = [m for m in members if m.name != self._member.name]
        left = [m for m in others if m.name not in self._reports]
        await asyncio.gather(*(self._ask(m, status.roster) for m in left))
        covered = {rank for m in members for rank in m.ranks}
        if not self._current() or covered != set(status.roster):
            return False
        return all(m.name in self._reports for m in others)

    async def _ask(self, other: GroupMember, roster: dict[int, str]) -> None:
        question = AskJoin(group=self._member.group, epoch=self._epoch)
        result = await self._member.peers.call(
            other, question, timeout_ms=self._member.parameters.call_ms
        )
        if not isinstance(result, Success):
            return
        reply = result.unwrap()
        if not isinstance(reply, JoinReply) or reply.epoch != self._epoch:
            return
        if not speaks_for(other, reply.incarnation, roster):
            return
        self._reports[other.name] = reply.version
        if reply.version > self._member.in_force.version:
            await self._learn(reply.version)

    async def _learn(self, version: MapVersion) -> None:
        """Report a higher map from now on, in case its holders are replaced too."""
        expert_map = await self._content(version)
        if expert_map is not None and self._current():
            self._member.learn(expert_map)

    async def _content(self, version: MapVersion) -> ExpertMap | None:
        known = self._member.known_map(version)
        if known is not None:
            return known
        for other in self._member.peers.members():
            if self._reports.get(other.name) != version:
                continue
            question = FetchMap(group=self._member.group, version=version)
            result = await self._member.peers.call(
                other, question, timeout_ms=self._member.parameters.call_ms
            )
            reply = result.value_or(None)
            if isinstance(reply, MapReply) and reply.expert_map is not None:
                return reply.expert_map
        return None

    async def _load(self, expert_map: ExpertMap) -> bool:
        return isinstance(await self._member.engine.load(expert_map), Success)
