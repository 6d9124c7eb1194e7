"""Settlement (cooperative termination): the members find an attempt's outcome."""

import asyncio

from returns.result import Success

from carobroute.placement._interface import GroupMember
from carobroute.placement._map import Attempt
from carobroute.placement._member_state import MemberState
from carobroute.placement._messages import AskOutcome, OutcomeReply, SwitchOutcome


def owns_ranks(member: GroupMember, incarnation: str, roster: dict[int, str]) -> bool:
    """Return whether `incarnation` owns all of the member's ranks by the roster.

    A paused and replaced process may still reply at its old address.
    """
    return all(roster.get(rank) == incarnation for rank in member.ranks)


class Settlement:
    """Finds the outcome of an attempt from the other members.

    Parameters
    ----------
    member : MemberState
        Member with an open promise, which now ignores an abort by the coordinator.
    attempt : Attempt
        Attempt to settle.
    roster : dict of int to str
        Incarnation that owns each rank in the epoch.

    References
    ----------
    P. A. Bernstein, V. Hadzilacos and N. Goodman, "Concurrency Control and Recovery in
    Database Systems", section 7.4 (cooperative termination), 1987.
    """

    __slots__ = ("_attempt", "_member", "_promised", "_roster")

    def __init__(
        self, *, member: MemberState, attempt: Attempt, roster: dict[int, str]
    ):
        self._member = member
        self._attempt = attempt
        self._roster = roster
        self._promised: set[str] = set()

    async def ask_members(self) -> SwitchOutcome:
        """Ask each member that is not known to have promised, and return the outcome.

        A member that has switched or aborted determines the outcome. If all members
        have promised, all of them ignore an abort by the coordinator, so the outcome is
        the switch.
        """
        members = self._member.peers.members()
        others = [m for m in members if m.name != self._member.name]
        pending = [m for m in others if m.name not in self._promised]
        outcomes = await asyncio.gather(*(self._ask(m) for m in pending))
        for outcome in (SwitchOutcome.SWITCHED, SwitchOutcome.ABORTED):
            if outcome in outcomes:
                return outcome
        known_ranks = {rank for m in members for rank in m.ranks}
        is_complete = known_ranks == set(self._roster)
        if is_complete and all(m.name in self._promised for m in others):
            return SwitchOutcome.SWITCHED
        return SwitchOutcome.UNKNOWN

    async def _ask(self, other: GroupMember) -> SwitchOutcome:
        epoch = self._member.epoch
        request = AskOutcome(
            group=self._member.group, epoch=epoch, attempt=self._attempt
        )
        result = await self._member.peers.call(
            other, request, timeout_ms=self._member.parameters.call_timeout_ms
        )
        if not isinstance(result, Success):
            return SwitchOutcome.UNKNOWN
        reply = result.unwrap()
        if not isinstance(reply, OutcomeReply) or reply.epoch != epoch:
            return SwitchOutcome.UNKNOWN
        if not owns_ranks(other, reply.incarnation, self._roster):
            return SwitchOutcome.UNKNOWN
        if reply.outcome is SwitchOutcome.PROMISED:
            self._promised.add(other.name)
        return reply.outcome
