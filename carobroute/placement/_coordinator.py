"""Coordinator of a group's switches to new expert maps.

States and transitions have the names that they have in `spec/expert_map.py`.
"""

import asyncio
import itertools
import math
from collections.abc import Callable
from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

from carobroute.errors import ErrorKind, Fault, fail
from carobroute.links import Message
from carobroute.placement._interface import GroupMember, GroupPeers
from carobroute.placement._map import Attempt, ExpertMap
from carobroute.placement._messages import (
    Decide,
    LoadMap,
    LoadReply,
    Prepare,
    PrepareReply,
    Probe,
    ProbeReply,
)
from carobroute.utils import Clock, TaskSet

R = TypeVar("R")

_coordinator_numbers = itertools.count(1)


class CoordinatorParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Timeouts and intervals of a coordinator.

    Parameters
    ----------
    call_timeout_ms : float
        Timeout of one call to a member.
    retry_ms : float
        Delay before a call is retried.
    probe_ms : float
        Timeout for reading the state of all members.
    load_ms : float
        Timeout for all members to load a map.
    promise_ms : float
        Timeout for gathering all promises.
    lead_ms : float
        Time between the start of the promise phase and the switch step. It is longer
        than gathering the promises and a settlement take, so that ranks seldom wait for
        an outcome.
    decide_ms : float
        Timeout for sending a decision to all members. Members that it does not reach
        find the outcome by settlement.
    """

    call_timeout_ms: float = 60.0
    retry_ms: float = 10.0
    probe_ms: float = 2_000.0
    load_ms: float = 60_000.0
    promise_ms: float = 150.0
    lead_ms: float = 300.0
    decide_ms: float = 1_000.0


class SwitchReport(msgspec.Struct, frozen=True, kw_only=True):
    """Report of an attempt that was decided as a switch.

    Parameters
    ----------
    attempt : Attempt
        The attempt.
    step : int
        First step with the new map.
    promise_ms : float
        Time from the first request for a promise to the last promise.
    """

    attempt: Attempt
    step: int
    promise_ms: float


class SwitchCoordinator:
    """Switches one group to new expert maps.

    Parameters
    ----------
    group : str
        Name of the group.
    incarnation : str
        Incarnation of this process.
    fence : callable
        Returns the fencing number of the coordinator's lease.
    is_lease_held : callable
        Returns whether the coordinator holds its lease now.
    peers : GroupPeers
        Calls to the members.
    clock : Clock
        Source of time.
    parameters : CoordinatorParameters, default=None
        Timeouts and intervals.
    on_event : callable, default=None
        Called with an event name and fields, for the log.

    Notes
    -----
    Safety does not depend on the lease: any number of coordinators may run at once. The
    lease only avoids competing attempts, of which the members refuse all but one.
    """

    def __init__(
        self,
        *,
        group: str,
        incarnation: str,
        fence: Callable[[], int],
        is_lease_held: Callable[[], bool],
        peers: GroupPeers,
        clock: Clock,
        parameters: CoordinatorParameters | None = None,
        on_event: Callable[..., None] | None = None,
    ):
        self._group = group
        # Attempts of two coordinators in one process must differ.
        self._identity = f"{incarnation}#{next(_coordinator_numbers)}"
        self._fence = fence
        self._is_lease_held = is_lease_held
        self._peers = peers
        self._clock = clock
        self._parameters = parameters or CoordinatorParameters()
        self._on_event = on_event or (lambda *args, **fields: None)
        self._number = 0
        self._tasks = TaskSet(on_failure=self._task_failed)

    async def stop(self) -> None:
        """Cancel the sending of decisions."""
        await self._tasks.close()

    async def probe(self) -> Result[list[ProbeReply], Fault]:
        """Return the state of all members; a fault unless all joined one epoch."""
        deadline_ms = self._clock.now_ms() + self._parameters.probe_ms
        replies = await self._ask_all(
            lambda: Probe(group=self._group), ProbeReply, deadline_ms
        )
        if isinstance(replies, Failure):
            return replies
        states = replies.unwrap()
        epochs = sorted({state.epoch for state in states})
        if len(epochs) != 1 or not all(state.joined for state in states):
            return fail(
                ErrorKind.CONFLICT, f"not all members have joined epoch {epochs[-1]}"
            )
        return replies

    async def switch(self, expert_map: ExpertMap) -> Result[SwitchReport, Fault]:
        """Load a map at all members, then switch all of them to it at the same step.

        Returns
        -------
        report : Result
            A fault if the attempt was not made or was aborted; the old map stays in
            force.
        """
        states = await self.probe()
        if isinstance(states, Failure):
            return states
        epoch = states.unwrap()[0].epoch
        load_replies = await self._load(expert_map, epoch)
        if isinstance(load_replies, Failure):
            return load_replies
        if not self._is_lease_held():
            return fail(
                ErrorKind.STALE_FENCE, f"lease is not held for group {self._group!r}"
            )
        attempt = self._next_attempt(states.unwrap())
        step = self._switch_step(load_replies.unwrap())
        start_ms = self._clock.now_ms()
        refusal = await self._gather_promises(expert_map, epoch, attempt, step)
        elapsed_ms = self._clock.now_ms() - start_ms
        self._tasks.spawn(
            self._send_decision(epoch, attempt, not refusal), name="send decision"
        )
        self._on_event(
            "map_decision", group=self._group, step=step, refusal=refusal or "none"
        )
        if refusal:
            return fail(ErrorKind.CONFLICT, f"aborted: {refusal}")
        return Success(SwitchReport(attempt=attempt, step=step, promise_ms=elapsed_ms))

    def _next_attempt(self, states: list[ProbeReply]) -> Attempt:
        fence = self._fence()
        highest_attempt = max(state.high_water for state in states)
        if highest_attempt.fence == fence:
            self._number = max(self._number, highest_attempt.number)
        self._number += 1
        return Attempt(fence, self._number, self._identity)

    def _switch_step(self, replies: list[LoadReply]) -> int:
        """Return the switch step, `lead_ms` after the highest step begun.

        No rank is to begin it before the promises are gathered.
        """
        step_ms = max(1.0, min(reply.step_ms for reply in replies))
        lead_steps = math.ceil(self._parameters.lead_ms / step_ms)
        return max(reply.step for reply in replies) + lead_steps + 1

    async def _load(
        self, expert_map: ExpertMap, epoch: int
    ) -> Result[list[LoadReply], Fault]:
        deadline_ms = self._clock.now_ms() + self._parameters.load_ms
        while True:
            replies = await self._ask_all(
                lambda: LoadMap(group=self._group, epoch=epoch, expert_map=expert_map),
                LoadReply,
                deadline_ms,
            )
            if isinstance(replies, Failure):
                return replies
            for reply in replies.unwrap():
                if reply.refusal:
                    detail = f"{reply.incarnation}: {reply.refusal}"
                    return fail(ErrorKind.CONFLICT, detail)
            if all(reply.loaded for reply in replies.unwrap()):
                return replies
            if self._clock.now_ms() >= deadline_ms:
                return fail(
                    ErrorKind.DEADLINE,
                    "not all members have loaded the map by the deadline",
                )
            await self._clock.sleep_ms(self._parameters.retry_ms)

    async def _gather_promises(
        self, expert_map: ExpertMap, epoch: int, attempt: Attempt, step: int
    ) -> str:
        """Return why the attempt must be aborted, or an empty string."""
        replies = await self._ask_all(
            lambda: Prepare(
                group=self._group,
                epoch=epoch,
                attempt=attempt,
                version=expert_map.version,
                step=step,
            ),
            PrepareReply,
            self._clock.now_ms() + self._parameters.promise_ms,
        )
        if isinstance(replies, Failure):
            return str(replies.failure())
        for reply in replies.unwrap():
            if not reply.promised or reply.attempt != attempt or reply.epoch != epoch:
                return f"{reply.incarnation}: {reply.refusal}"
        return ""

    async def _send_decision(self, epoch: int, attempt: Attempt, switch: bool) -> None:
        await self._ask_all(
            lambda: Decide(
                group=self._group, epoch=epoch, attempt=attempt, switch=switch
            ),
            Message,
            self._clock.now_ms() + self._parameters.decide_ms,
        )

    async def _ask_all(
        self,
        make_request: Callable[[], Message],
        reply_type: type[R],
        deadline_ms: float,
    ) -> Result[list[R], Fault]:
        """Call every member, with retries until all have replied or the deadline."""
        results = await asyncio.gather(
            *(
                self._ask(member, make_request, reply_type, deadline_ms)
                for member in self._peers.members()
            )
        )
        for result in results:
            if isinstance(result, Failure):
                return result
        return Success([result.unwrap() for result in results])

    async def _ask(
        self,
        member: GroupMember,
        make_request: Callable[[], Message],
        reply_type: type[R],
        deadline_ms: float,
    ) -> Result[R, Fault]:
        while True:
            left_ms = deadline_ms - self._clock.now_ms()
            if left_ms <= 0:
                return fail(
                    ErrorKind.DEADLINE, f"no reply from {member.name} by the deadline"
                )
            result = await self._peers.call(
                member,
                make_request(),
                timeout_ms=min(left_ms, self._parameters.call_timeout_ms),
            )
            if isinstance(result, Success) and isinstance(result.unwrap(), reply_type):
                return result
            await self._clock.sleep_ms(self._parameters.retry_ms)

    def _task_failed(self, name: str, error: BaseException) -> None:
        self._on_event("task_failed", level="error", task=name, error=repr(error))
