"""Fair queue by team in front of one target."""

import asyncio
import math
import random

import msgspec
from returns.result import Failure, Result, Success

from carobroute.errors import ErrorKind, Fault
from carobroute.requests._flows import Flow, Waiting, expected_ahead
from carobroute.requests._retry_after import jittered_retry_after_ms
from carobroute.utils import Clock

MS_PER_S = 1_000
HIGHEST_PRIORITY = 9
SHARE_BOOST = 2


class FairQueueParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of a fair queue.

    Parameters
    ----------
    max_queued : int
        Calls that may wait.
    spare_slots : int
        Slots that a flooding team leaves free beyond what the others needed lately.
    peak_ms : float
        Time in which that need is halved.
    active_ms : float
        How long a team counts as active after its last call.
    stay_ms : float
        Expected time that a call holds a slot, before any was measured.
    smoothing : float
        Weight of a new measurement.
    """

    max_queued: int = 256
    spare_slots: int = 1
    peak_ms: float = 5_000.0
    active_ms: float = 10_000.0
    stay_ms: float = 1_000.0
    smoothing: float = 0.05


class Slot:
    """Leave to run one call; `release` must be called once it has ended.

    Parameters
    ----------
    queue : FairQueue
        Queue that gave it.
    waiting : Waiting
        Call that holds it.
    started_ms : float
        When it was given.
    engine_priority : int
        Priority that the engine is given.
    """

    __slots__ = ("_engine_priority", "_held", "_queue", "_started_ms", "_waiting")

    def __init__(
        self,
        *,
        queue: "FairQueue",
        waiting: Waiting,
        started_ms: float,
        engine_priority: int,
    ):
        self._engine_priority = engine_priority
        self._queue = queue
        self._waiting = waiting
        self._started_ms = started_ms
        self._held = True

    @property
    def engine_priority(self) -> int:
        """Priority to give the engine: higher for a team within its share."""
        return self._engine_priority

    @property
    def waited_ms(self) -> float:
        """How long the call waited for the slot."""
        return self._started_ms - self._waiting.queued_ms

    def release(self) -> None:
        """Give the slot back; a second call does nothing."""
        if self._held:
            self._held = False
            self._queue._release(self._waiting, self._started_ms)


class FairQueue:
    """Shares a target's slots among teams by weight.

    Start-time fair queueing between teams, priority order within a team. A priority
    also scales what a call is charged, so that it matters between teams without
    letting one of them starve the rest. A call whose wait is expected to outlast its
    deadline is refused at once, which promises that it did not run.

    Parameters
    ----------
    concurrency : int
        Slots.
    clock : Clock
        Source of time.
    random : random.Random
        Source of chance, to spread returns.
    parameters : FairQueueParameters, default=None
        Bounds.

    References
    ----------
    P. Goyal, H. M. Vin and H. Cheng, "Start-time Fair Queueing", IEEE/ACM
    Transactions on Networking 5(5), 1997.
    """

    __slots__ = (
        "_alone",
        "_clock",
        "_concurrency",
        "_drained",
        "_flows",
        "_modest_ms",
        "_modest_peak",
        "_parameters",
        "_queued",
        "_random",
        "_running",
        "_sequence",
        "_stay_ms",
        "_virtual",
    )

    def __init__(
        self,
        *,
        concurrency: int,
        clock: Clock,
        random: random.Random,
        parameters: FairQueueParameters | None = None,
    ):
        self._concurrency = concurrency
        self._clock = clock
        self._random = random
        self._parameters = parameters or FairQueueParameters()
        self._flows: dict[str, Flow] = {}
        self._modest_ms = clock.now_ms()
        self._modest_peak = 0.0
        self._queued = 0
        self._running = 0
        self._alone = False
        self._sequence = 0
        self._virtual = 0.0
        self._stay_ms = self._parameters.stay_ms
        self._drained: Fault | None = None

    @property
    def running(self) -> int:
        """Calls that hold a slot."""
        return self._running

    @property
    def queued(self) -> int:
        """Calls that wait."""
        return self._queued

    @property
    def cost_queued(self) -> float:
        """Sum of the costs of the calls that wait."""
        return sum(w.cost for flow in self._flows.values() for w in flow.waiting)

    @property
    def concurrency(self) -> int:
        """Slots."""
        return self._concurrency

    def resize(self, concurrency: int) -> None:
        """Change the number of slots; running calls keep theirs."""
        self._concurrency = concurrency
        self._dispatch()

    async def acquire(
        self,
        *,
        team: str,
        weight: float = 1.0,
        priority: int = 5,
        cost: float = 1.0,
        deadline_ms: float = 0.0,
        alone: bool = False,
    ) -> Result[Slot, Fault]:
        """Wait for a slot.

        Parameters
        ----------
        team : str
            Team that the slot is charged to.
        weight : float
            Share of the team, relative to others.
        priority : int
            0 (lowest) to 9.
        cost : float
            What the call is charged, in any unit common to all calls.
        deadline_ms : float
            Longest wait; 0 for no limit.
        alone : bool
            Whether nothing else may run meanwhile.

        Returns
        -------
        slot : Result
            Every fault promises that the call did not run.
        """
        if self._drained is not None:
            return Failure(self._drained)
        flow = self._flow(team, weight)
        waiting = Waiting(
            team=team,
            priority=priority,
            cost=cost,
            alone=alone,
            sequence=self._sequence,
            queued_ms=self._clock.now_ms(),
            deadline_ms=deadline_ms,
            future=asyncio.get_running_loop().create_future(),
        )
        self._sequence += 1
        refusal = self._refuse_early(flow, waiting) or self._make_room(flow, waiting)
        if refusal is not None:
            return Failure(refusal)
        flow.add(waiting, self._virtual)
        self._queued += 1
        self._dispatch()
        return await self._wait(waiting)

    def drain(self, kind: ErrorKind = ErrorKind.LEAVING) -> int:
        """Refuse all that waits and all that comes; return how many were waiting."""
        self._drained = Fault(kind=kind, detail="the target takes no new work")
        count = 0
        for flow in self._flows.values():
            for waiting in list(flow.waiting):
                self._refuse(flow, waiting, self._drained)
                count += 1
        return count

    def reopen(self) -> None:
        """Take calls again after `drain`."""
        self._drained = None

    async def _wait(self, waiting: Waiting) -> Result[Slot, Fault]:
        limit_s = waiting.deadline_ms / MS_PER_S if waiting.deadline_ms else None
        try:
            async with asyncio.timeout(limit_s):
                return await waiting.future
        except TimeoutError:
            self._abandon(waiting)
            return Failure(_too_late(waiting))
        except asyncio.CancelledError:
            self._abandon(waiting)
            raise

    def _abandon(self, waiting: Waiting) -> None:
        """Take back a call whose waiter has gone, with the slot it may have got."""
        future = waiting.future
        if future.cancelled() or not future.done():
            # Cancelling a waiter cancels its future; the call may still be queued.
            flow = self._flows[waiting.team]
            self._refuse(flow, waiting, _too_late(waiting))
            # It may have held others back, as a call that is to run alone does.
            self._dispatch()
        elif isinstance(future.result(), Success):
            future.result().unwrap().release()

    def _dispatch(self) -> None:
        while self._running < self._concurrency and not self._alone:
            flow = self._next_flow()
            if flow is None:
                return
            waiting = flow.first()
            if waiting.future.done() or self._expired(waiting):
                self._refuse(flow, waiting, _too_late(waiting))
                continue
            if waiting.alone and self._running:
                return
            self._start(flow, waiting)

    def _start(self, flow: Flow, waiting: Waiting) -> None:
        self._virtual = max(self._virtual, flow.tag)
        flow.charge(waiting)
        flow.running += 1
        self._note_modest()
        self._queued -= 1
        self._running += 1
        self._alone = waiting.alone
        now_ms = self._clock.now_ms()
        slot = Slot(
            queue=self,
            waiting=waiting,
            started_ms=now_ms,
            engine_priority=self._engine_priority(flow, waiting),
        )
        waiting.future.set_result(Success(slot))

    def _release(self, waiting: Waiting, started_ms: float) -> None:
        now_ms = self._clock.now_ms()
        self._note_modest()
        self._running -= 1
        flow = self._flows[waiting.team]
        flow.running -= 1
        flow.active_ms = now_ms
        if waiting.alone:
            self._alone = False
        held_ms = now_ms - started_ms
        self._stay_ms += self._parameters.smoothing * (held_ms - self._stay_ms)
        self._dispatch()

    def _next_flow(self) -> Flow | None:
        """Return the flow to serve next: the least tag among those below their cap."""
        best = None
        for flow in self._flows.values():
            if flow.waiting and flow.before(best) and flow.running < self._cap(flow):
                best = flow
        return best

    def _cap(self, flow: Flow) -> int:
        """Return the slots that a team may hold.

        A team that asks for much more than it gets leaves free what the others needed
        at most lately, and one more, so that their calls start without waiting for
        the end of one of its own.
        """
        if not flow.flooding:
            return self._concurrency
        reserved = math.ceil(self._modest_peak) + self._parameters.spare_slots
        return max(1, int(self._share(flow)), self._concurrency - reserved)

    def _note_modest(self) -> None:
        """Keep the greatest number of slots that teams held lately without flooding."""
        now_ms = self._clock.now_ms()
        elapsed_ms = now_ms - self._modest_ms
        self._modest_ms = now_ms
        held = sum(f.running for f in self._flows.values() if not f.flooding)
        faded = self._modest_peak * 0.5 ** (elapsed_ms / self._parameters.peak_ms)
        self._modest_peak = max(held, faded)

    def _share(self, flow: Flow) -> float:
        """Return a team's fair part of the slots among the teams active lately."""
        limit_ms = self._clock.now_ms() - self._parameters.active_ms
        flows = self._flows.values()
        weights = sum(f.weight for f in flows if f.active_since(limit_ms))
        return self._concurrency * flow.weight / weights

    def _engine_priority(self, flow: Flow, waiting: Waiting) -> int:
        """Raise the calls of a team that holds no more than its share of slots.

        The engine then prefills them first, so that they wait for none of the work
        that a team beyond its share has piled up there.
        """
        within = flow.running <= max(1.0, self._share(flow))
        return min(HIGHEST_PRIORITY, waiting.priority + (SHARE_BOOST if within else 0))

    def _refuse_early(self, flow: Flow, waiting: Waiting) -> Fault | None:
        if not waiting.deadline_ms:
            return None
        wait_ms = self.expected_wait_ms(flow, waiting)
        if wait_ms <= waiting.deadline_ms:
            return None
        return Fault(
            kind=ErrorKind.OVERLOADED,
            detail=f"expected to wait {wait_ms:.0f} ms, with {waiting.deadline_ms:.0f}"
            f" ms left and {self._queued} calls queued",
            retry_after_ms=jittered_retry_after_ms(self._random, wait_ms),
        )

    def expected_wait_ms(self, flow: Flow, waiting: Waiting) -> float:
        """Return how long a call that arrives now is expected to wait."""
        free = self._concurrency - self._running
        ahead = expected_ahead(self._flows.values(), flow, waiting, self._virtual)
        if free > ahead and flow.running < self._cap(flow) and not self._alone:
            return 0.0
        return (max(0, ahead - free) + 1) * self._stay_ms / self._concurrency

    def _make_room(self, flow: Flow, waiting: Waiting) -> Fault | None:
        """Refuse the last call of the longest queue if there is no room."""
        if self._queued < self._parameters.max_queued:
            return None
        longest = max(self._flows.values(), key=lambda f: f.backlog(f is flow))
        fault = Fault(
            kind=ErrorKind.OVERLOADED,
            detail=f"{self._queued} calls wait, expected at most"
            f" {self._parameters.max_queued}",
            retry_after_ms=jittered_retry_after_ms(self._random, self._stay_ms),
        )
        last = longest.last()
        if longest is flow and last.priority >= waiting.priority:
            return fault
        self._refuse(longest, last, fault)
        return None

    def _refuse(self, flow: Flow, waiting: Waiting, fault: Fault) -> None:
        if not flow.discard(waiting):
            return
        self._queued -= 1
        if not waiting.future.done():
            waiting.future.set_result(Failure(fault))

    def _expired(self, waiting: Waiting) -> bool:
        waited_ms = self._clock.now_ms() - waiting.queued_ms
        return bool(waiting.deadline_ms) and waited_ms > waiting.deadline_ms

    def _flow(self, team: str, weight: float) -> Flow:
        flow = self._flows.get(team)
        if flow is None:
            self._forget_idle()
            flow = self._flows[team] = Flow(team=team)
        flow.weight = weight
        flow.active_ms = self._clock.now_ms()
        flow.note_asked(flow.active_ms)
        return flow

    def _forget_idle(self) -> None:
        """Forget teams that have had no call for a while."""
        limit_ms = self._clock.now_ms() - self._parameters.active_ms
        flows = self._flows.values()
        for team in [f.team for f in flows if not f.active_since(limit_ms)]:
            del self._flows[team]


def _too_late(waiting: Waiting) -> Fault:
    return Fault(
        kind=ErrorKind.DEADLINE,
        detail=f"no slot within {waiting.deadline_ms:.0f} ms",
    )
