"""Asks every process whether a ticket is in force, along a tree made for the question.

Nothing is sent while nobody asks. The asker names all members; each process answers
for itself and splits the rest among a few delegates. Where a delegate does not answer,
its share is asked one by one, so that only the silent ones count as laggards.
"""

import asyncio

from returns.result import Success

from carobroute.links import Endpoint, Peer
from carobroute.membership import Directory
from carobroute.tickets._forward import ForwardConfiguration
from carobroute.tickets._messages import Laggard, StatusAnswer, StatusAsk, StatusMember

OWNER = "ticket status"
FAN_OUT = 8
MAX_MEMBERS = 20_000
SHARE_OF_TIME = 0.45
MAX_LAGGARDS = 500


class StatusCollector:
    """Answers whether a ticket is in force everywhere.

    Parameters
    ----------
    forward : ForwardConfiguration
        What is in force here.
    endpoint : Endpoint
        This process's links.
    directory : Directory
        Known instances.
    explain : callable
        Returns why this process may be behind.
    """

    __slots__ = ("_directory", "_endpoint", "_explain", "_forward")

    def __init__(
        self,
        *,
        forward: ForwardConfiguration,
        endpoint: Endpoint,
        directory: Directory,
        explain,
    ):
        self._forward = forward
        self._endpoint = endpoint
        self._directory = directory
        self._explain = explain

    def register(self) -> None:
        """Handle the messages of this subject."""
        self._endpoint.handle(StatusAsk, self._on_ask)

    async def collect(self, number: int, timeout_ms: float) -> StatusAnswer:
        """Ask all known processes; the silent ones are named as laggards."""
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
        if self._forward.number < number:
            laggard = Laggard(
                name=name, number=self._forward.number, reason=self._explain()
            )
            return StatusAnswer(in_force=0, laggards=[laggard])
        entry = self._forward.history.find(number)
        if entry is None or not entry.filed_ms or not entry.in_force_ms:
            return StatusAnswer(in_force=1, laggards=[])
        took_ms = max(0.0, entry.in_force_ms - entry.filed_ms)
        return StatusAnswer(in_force=1, laggards=[], slowest_ms=took_ms, slowest=name)

    async def _ask_share(
        self, number: int, share: list[StatusMember], timeout_ms: float
    ) -> StatusAnswer:
        first, rest = share[0], share[1:]
        part_ms = timeout_ms * SHARE_OF_TIME
        answer = await self._ask(number, first, rest, part_ms)
        if answer is not None:
            return answer
        answers = await asyncio.gather(
            *(self._ask(number, member, [], part_ms) for member in rest)
        )
        found = [_silent(first)]
        for member, one in zip(rest, answers, strict=True):
            found.append(one if one is not None else _silent(member))
        return merge_answers(found)

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
    """Return one answer for all members of `answers`.

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


def _silent(member: StatusMember) -> StatusAnswer:
    laggard = Laggard(name=member.name, number=-1, reason="no answer")
    return StatusAnswer(in_force=0, laggards=[laggard])
