"""Asks every process whether a ticket is in force, over a tree built per request.

Nothing is sent without a request. The requesting process lists all members; each
process answers for itself and splits the rest among a few delegates. If a delegate does
not answer, the members of its share are asked individually, so that only processes that
do not answer themselves count as laggards.
"""

import asyncio

from returns.result import Success

from carobroute.links import Endpoint, Peer
from carobroute.membership import Directory
from carobroute.tickets._applied import AppliedConfiguration
from carobroute.tickets._messages import Laggard, StatusAnswer, StatusAsk, StatusMember

OWNER = "ticket status"
FAN_OUT = 8
MAX_MEMBERS = 20_000
# A delegate, and then the members of its share, are asked within one timeout.
ATTEMPT_TIME_FRACTION = 0.45
MAX_LAGGARDS = 500


class StatusCollector:
    """Collects from all processes whether a ticket is in force.

    Parameters
    ----------
    applied : AppliedConfiguration
        Configuration in force here.
    endpoint : Endpoint
        This process's links.
    directory : Directory
        Known instances.
    explain : callable
        Returns why this process may be behind.
    """

    __slots__ = ("_applied", "_directory", "_endpoint", "_explain")

    def __init__(
        self,
        *,
        applied: AppliedConfiguration,
        endpoint: Endpoint,
        directory: Directory,
        explain,
    ):
        self._applied = applied
        self._endpoint = endpoint
        self._directory = directory
        self._explain = explain

    def register(self) -> None:
        """Register the handler of status messages."""
        self._endpoint.handle(StatusAsk, self._on_ask)

    async def collect(self, number: int, timeout_ms: float) -> StatusAnswer:
        """Ask all known processes; those that do not answer are listed as laggards."""
        by_data_centre: dict[str, list[StatusMember]] = {}
        for entry in self._directory.instances():
            if entry.name != self._directory.own.name:
                member = StatusMember(name=entry.name, address=entry.address)
                by_data_centre.setdefault(entry.data_centre, []).append(member)
        return await self._gather(number, list(by_data_centre.values()), timeout_ms)

    async def _on_ask(self, peer: Peer, entry: StatusAsk) -> StatusAnswer:
        members = entry.members[:MAX_MEMBERS]
        shares = [members[i::FAN_OUT] for i in range(min(FAN_OUT, len(members)))]
        return await self._gather(entry.number, shares, entry.timeout_ms)

    async def _gather(
        self, number: int, shares: list[list[StatusMember]], timeout_ms: float
    ) -> StatusAnswer:
        answers = await asyncio.gather(
            *(self._ask_share(number, share, timeout_ms) for share in shares)
        )
        return merge_answers([self._own_answer(number), *answers])

    def _own_answer(self, number: int) -> StatusAnswer:
        name = self._directory.own.name
        if self._applied.number < number:
            laggard = Laggard(
                name=name, number=self._applied.number, reason=self._explain()
            )
            return StatusAnswer(in_force=0, laggards=[laggard])
        entry = self._applied.history.find(number)
        if entry is None or not entry.filed_ms or not entry.in_force_ms:
            return StatusAnswer(in_force=1, laggards=[])
        took_ms = max(0.0, entry.in_force_ms - entry.filed_ms)
        return StatusAnswer(in_force=1, laggards=[], slowest_ms=took_ms, slowest=name)

    async def _ask_share(
        self, number: int, share: list[StatusMember], timeout_ms: float
    ) -> StatusAnswer:
        first, rest = share[0], share[1:]
        attempt_ms = timeout_ms * ATTEMPT_TIME_FRACTION
        answer = await self._ask(number, first, rest, attempt_ms)
        if answer is not None:
            return answer
        answers = await asyncio.gather(
            *(self._ask(number, member, [], attempt_ms) for member in rest)
        )
        collected = [_no_answer(first)]
        for member, member_answer in zip(rest, answers, strict=True):
            collected.append(
                member_answer if member_answer is not None else _no_answer(member)
            )
        return merge_answers(collected)

    async def _ask(
        self,
        number: int,
        member: StatusMember,
        rest: list[StatusMember],
        timeout_ms: float,
    ) -> StatusAnswer | None:
        peer = self._endpoint.peer(member.address, OWNER)
        ask = StatusAsk(number=number, members=rest, timeout_ms=timeout_ms * (1 - 0.1))
        try:
            reply = await peer.call(ask, timeout_ms=timeout_ms)
        finally:
            self._endpoint.forget(member.address, OWNER)
        return reply.unwrap() if isinstance(reply, Success) else None


def merge_answers(answers: list[StatusAnswer]) -> StatusAnswer:
    """Return one answer that combines `answers`.

    Examples
    --------
    >>> one = StatusAnswer(in_force=1, laggards=[], slowest_ms=5.0, slowest="a")
    >>> two = StatusAnswer(in_force=1, laggards=[], slowest_ms=9.0, slowest="b")
    >>> merged = merge_answers([one, two])
    >>> merged.in_force, merged.slowest
    (2, 'b')
    """
    slowest = max(answers, key=lambda answer: answer.slowest_ms)
    laggards = [laggard for answer in answers for laggard in answer.laggards]
    return StatusAnswer(
        in_force=sum(answer.in_force for answer in answers),
        laggards=sorted(laggards, key=lambda entry: entry.name)[:MAX_LAGGARDS],
        slowest_ms=slowest.slowest_ms,
        slowest=slowest.slowest,
    )


def _no_answer(member: StatusMember) -> StatusAnswer:
    laggard = Laggard(name=member.name, number=-1, reason="no answer")
    return StatusAnswer(in_force=0, laggards=[laggard])
