"""Fakes of a rank group, its engines and a lossy network, for tests of the switch."""

import asyncio
import random as random_module
from collections.abc import Sequence
from typing import Any

import msgspec
from returns.result import Result, Success

from carobroute.errors import ErrorKind, Fault, fail
from carobroute.links import Message, Nack
from carobroute.placement import (
    EngineStatus,
    ExpertMap,
    GroupMember,
    GroupPeers,
    MapVersion,
    PopularityReport,
    RankEngine,
    RankMember,
    make_map,
)
from carobroute.placement._service import dispatch
from carobroute.standins._rank_state import GroupState, RankState
from carobroute.utils import Clock

GROUP = "bell"
LOST = "lost"


class InjectedFaults(msgspec.Struct, kw_only=True):
    """Faults of the fake network and engines, as probabilities and a mean delay."""

    message_loss: float = 0.0
    message_duplication: float = 0.0
    mean_delay_ms: float = 1.0
    order_loss: float = 0.0


def make_expert_map(*, ranks: int, revision: int, experts: int = 4) -> ExpertMap:
    """Return a map with one layer that differs for each revision."""
    layer = [[(expert + revision) % ranks] for expert in range(experts)]
    return make_map([layer], ticket=1, revision=revision)


class FakeRankGroup:
    """Runs the steps of a `GroupState` by a clock."""

    def __init__(self, *, state: GroupState, clock: Clock):
        self.state = state
        self.clock = clock

    async def run(self) -> None:
        """Run steps until cancelled."""
        state = self.state
        ended_ms = self.clock.now_ms()
        while True:
            if not state.begin(self.clock.now_ms()):
                await self.clock.sleep_ms(1)
                continue
            epoch = state.epoch
            waited_ms = self.clock.now_ms() - ended_ms
            await self.clock.sleep_ms(state.step_ms)
            ended_ms = self.clock.now_ms()
            if state.epoch == epoch:
                state.end(waited_ms=waited_ms, work_ms=[state.step_ms])


class FakeRankEngine(RankEngine):
    """Engine of a `FakeRankGroup` that loses some orders or their replies."""

    def __init__(
        self,
        *,
        group: FakeRankGroup,
        ranks: Sequence[int],
        owner: str,
        faults: InjectedFaults,
        random: random_module.Random,
        load_ms: float = 20.0,
    ):
        self._group = group
        self._ranks = list(ranks)
        self._owner = owner
        self._faults = faults
        self._random = random
        self._load_ms = load_ms
        self.loads = 0
        self.reports: list[PopularityReport] = []

    @property
    def _state(self) -> GroupState:
        return self._group.state

    async def status(self) -> Result[EngineStatus, Fault]:
        """Return the state of the member's ranks."""
        if await self._is_lost():
            return self._lost_fault()
        own_states = [self._state.ranks[rank] for rank in self._ranks]
        return Success(
            EngineStatus(
                epoch=self._state.epoch,
                step=self._state.step,
                step_ms=self._state.step_ms,
                roster=self._state.roster,
                joined=all(s.joined_epoch == self._state.epoch for s in own_states),
                held=any(s.hold is not None for s in own_states),
                work_ms={s.rank: s.work_ms for s in own_states},
            )
        )

    async def popularity(self, after: int) -> Result[list[PopularityReport], Fault]:
        """Return the reports set by the test."""
        return Success([r for r in self.reports if r.sequence > after])

    async def attach(self) -> Result[int, Fault]:
        """Replace the ranks, and return the new epoch."""
        return Success(self._state.attach(self._ranks, self._owner))

    async def load(self, expert_map: ExpertMap) -> Result[None, Fault]:
        """Load the map's experts after a delay."""
        self.loads += 1
        await self._group.clock.sleep_ms(self._load_ms)
        experts = [
            [list(p) for p in sorted(expert_map.experts_of(r))] for r in self._ranks
        ]
        refusal = self._state.load(
            self._own(), version_key(expert_map.version), experts
        )
        return fail(ErrorKind.CONFLICT, refusal) if refusal else Success(None)

    async def unload(self, kept: Sequence[MapVersion]) -> Result[None, Fault]:
        """Free the experts that no map in `kept` needs."""
        self._state.unload(self._own(), [version_key(v) for v in kept])
        return Success(None)

    async def hold_before(
        self, *, epoch: int, step: int, order: int
    ) -> Result[bool, Fault]:
        """Hold the ranks before `step`."""
        if await self._is_lost() or not self._is_current_order(epoch, order):
            return self._lost_fault()
        held = self._state.hold_before(self._own(), step, order)
        return self._lost_fault() if await self._is_lost() else Success(held)

    async def set_map(
        self, version: MapVersion, *, epoch: int, step: int, order: int
    ) -> Result[None, Fault]:
        """Use the map from `step` on."""
        if await self._is_lost() or not self._is_current_order(epoch, order):
            return self._lost_fault()
        done = self._state.set_map(self._own(), version_key(version), step, order)
        return self._lost_fault() if await self._is_lost() else _refused_unless(done)

    async def release_hold(self, *, epoch: int, order: int) -> Result[None, Fault]:
        """Release any hold."""
        if await self._is_lost() or not self._is_current_order(epoch, order):
            return self._lost_fault()
        self._state.release(self._own(), order)
        return self._lost_fault() if await self._is_lost() else Success(None)

    async def join(
        self, version: MapVersion, *, epoch: int, order: int
    ) -> Result[None, Fault]:
        """Join `epoch` with the map."""
        if await self._is_lost() or not self._is_current_order(epoch, order):
            return self._lost_fault()
        done = self._state.join(self._own(), version_key(version), order)
        return self._lost_fault() if await self._is_lost() else _refused_unless(done)

    def _own(self) -> list[RankState]:
        return self._state.owned(self._ranks, self._owner)

    def _is_current_order(self, epoch: int, order: int) -> bool:
        return self._state.fresh_order(self._own(), epoch, order)

    async def _is_lost(self) -> bool:
        await self._group.clock.sleep_ms(self._random.uniform(0, 1))
        return self._random.random() < self._faults.order_loss

    def _lost_fault(self) -> Result[Any, Fault]:
        return fail(ErrorKind.PEER_LOST, LOST)


def _refused_unless(done: bool) -> Result[None, Fault]:
    return Success(None) if done else fail(ErrorKind.CONFLICT, "not loaded")


def version_key(version: MapVersion) -> tuple[int, int, str]:
    """Return `version` in the form that a rank group records."""
    return (version.ticket, version.revision, version.digest)


class FakeNetwork(GroupPeers):
    """Calls between members that may be lost, delayed, duplicated or reordered.

    A member in `paused` gets its messages once it is removed from the set.
    """

    def __init__(
        self, *, faults: InjectedFaults, clock: Clock, random: random_module.Random
    ):
        self.faults = faults
        self.paused: set[str] = set()
        self._clock = clock
        self._random = random
        self._members: dict[str, RankMember] = {}
        self._tasks: set[asyncio.Task] = set()

    def register(self, member: RankMember) -> None:
        """Deliver calls to `member` in place of any other member with its name."""
        self._members[member.name] = member

    def members(self) -> list[GroupMember]:
        """Return all members of the group."""
        return [
            GroupMember(name=name, address=name, ranks=member.ranks)
            for name, member in sorted(self._members.items())
        ]

    async def call(
        self, member: GroupMember, request: Message, *, timeout_ms: float
    ) -> Result[Any, Fault]:
        """Deliver `request` and its reply, each subject to the injected faults."""
        future: asyncio.Future = asyncio.get_running_loop().create_future()
        copies = 1 + (self._random.random() < self.faults.message_duplication)
        for _ in range(copies):
            task = asyncio.create_task(self._deliver(member.name, request, future))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                reply = await future
        except TimeoutError:
            return fail(ErrorKind.PEER_LOST, LOST)
        if isinstance(reply, Nack):
            return fail(reply.fault.kind, reply.fault.detail)
        return Success(reply)

    async def _deliver(
        self, name: str, request: Message, reply: asyncio.Future
    ) -> None:
        if not await self._is_delivered():
            return
        while name in self.paused:
            await self._clock.sleep_ms(1)
        answer = dispatch(self._members[name], request)
        if asyncio.iscoroutine(answer):
            answer = await answer
        if await self._is_delivered() and not reply.done():
            reply.set_result(answer)

    async def _is_delivered(self) -> bool:
        await self._clock.sleep_ms(
            self._random.uniform(0, 2 * self.faults.mean_delay_ms)
        )
        return self._random.random() >= self.faults.message_loss
