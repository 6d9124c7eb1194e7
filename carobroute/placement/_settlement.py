"""Cooperative termination: members find an attempt's outcome among themselves."""

import asyncio
from typing import TYPE_CHECKING

from returns.result import Success

from carobroute.placement._interface import GroupMember
from carobroute.placement._map import Attempt
from carobroute.placement._messages import AskOutcome, OutcomeReply, SwitchOutcome

if TYPE_CHECKING:
    from carobroute.placement._member import RankMember


def speaks_for(member: GroupMember, incarnation: str, roster: dict[int, str]) -> bool:
    """Return whether `incarnation` owns the member's ranks in the roster's epoch.

    A process that was paused and replaced may still answer at its old address.
    """
    return all(roster.get(rank) == incarnation for rank in member.ranks)


class Settlement:
    """Asks the other members about one attempt.

    Parameters
    ----------
    member : RankMember
        Member that has promised, and no longer obeys an abort of its coordinator.
    attempt : Attempt
        Attempt to settle.
    roster : dict of int to str
        Owner of each rank in the epoch.

    References
    ----------
    P. A. Bernstein, V. Hadzilacos and N. Goodman, "Concurrency Control and Recovery in
    Database Systems", section 7.4 (cooperative termination), 1987.
    """

    __slots__ = ("_attempt", "_member", "_promised", "_roster")

    def __init__(
        self, *, member: "RankMember", attempt: Attempt, roster: dict[int, str]
    ):
        self._member = member
        self._attempt = attempt
        self._roster = roster
        self._promised: set[str] = set()

    async def ask_all(self) -> SwitchOutcome:
        """Ask once each member that has not answered, and return what follows.

        Any member that has switched or aborted settles it. If every member has
        promised, and so has stopped to obey an abort, the outcome is the switch.
        """
        members = self._member.peers.members()
        others = [m for m in members if m.name != self._member.name]
        left = [m for m in others if m.name not in self._promised]
        outcomes = await asyncio.gather(*(self._ask(m) for m in left))
        for outcome in (SwitchOutcome.SWITCHED, SwitchOutcome.ABORTED):
            if outcome in outcomes:
                return outcome
        covered = {rank for m in members for rank in m.ranks}
        complete = covered == set(self._roster)
        if complete and all(m.name in self._promised for m in others):
            return SwitchOutcome.SWITCHED
        return SwitchOutcome.UNKNOWN

    async def _ask(self, other: GroupMember) -> SwitchOutcome:
        epoch = self._member.epoch
        question = AskOutcome(
            group=self._member.group, epoch=epoch, attempt=self._attempt
        )
        result = await self._member.peers.call(
            other, question, timeout_ms=self._member.parameters.call_ms
        )
        if not isinstance(result, Success):
            return SwitchOutcome.UNKNOWN
        reply = result.unwrap()
        if not isinstance(reply, OutcomeReply) or reply.epoch != epoch:
            return SwitchOutcome.UNKNOWN
        if not speaks_for(other, reply.incarnation, self._roster):
            return SwitchOutcome.UNKNOWN
        if reply.outcome is SwitchOutcome.PROMISED:
            self._promised.add(other.name)
        return reply.outcome
