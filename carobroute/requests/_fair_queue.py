"""Fair queueing between teams in front of one target."""

import asyncio
import math
import random

import msgspec
from returns.result import Failure, Result, Success

from carobroute.errors import ErrorKind, Fault
from carobroute.requests._flows import Flow, QueuedCall, expected_calls_ahead
from carobroute.requests._retry_after import jittered_retry_after_ms
from carobroute.utils import Clock

MS_PER_S = 1_000
MAX_PRIORITY = 9
WITHIN_SHARE_BOOST = 2


class FairQueueParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of a fair queue.

    Parameters
    ----------
    max_queued : int
        Maximum number of calls that wait.
    spare_slots : int
        Slots that a flooding team (see `Flow.is_flooding`) must leave free in addition
        to the recent peak of the slots held by other teams.
    peak_half_life_ms : float
        Half-life of that peak.
    active_window_ms : float
        Time for which a team counts as active after its last call.
    initial_hold_ms : float
        Initial value of the mean time that a call holds a slot.
    smoothing : float
        Weight of a new sample in the mean hold time.
    """

    max_queued: int = 256
    spare_slots: int = 1
    peak_half_life_ms: float = 5_000.0
    active_window_ms: float = 10_000.0
    initial_hold_ms: float = 1_000.0
    smoothing: float = 0.05


class Slot:
    """Permission to run one call; `release` must be called when the call has ended.

    Parameters
    ----------
    queue : FairQueue
        Queue that granted the slot.
    call : QueuedCall
        Call that holds the slot.
    started_ms : float
        Time at which the slot was granted.
    engine_priority : int
        Priority to pass to the engine.
    """

    __slots__ = ("_call", "_engine_priority", "_is_held", "_queue", "_started_ms")

    def __init__(
        self,
        *,
        queue: "FairQueue",
        call: QueuedCall,
        started_ms: float,
        engine_priority: int,
    ):
        self._engine_priority = engine_priority
        self._queue = queue
        self._call = call
        self._started_ms = started_ms
        self._is_held = True

    @property
    def engine_priority(self) -> int:
        """Priority to pass to the engine; raised for a team within its fair share."""
        return self._engine_priority

    @property
    def waited_ms(self) -> float:
        """Time that the call waited for the slot."""
        return self._started_ms - self._call.queued_ms

    def release(self) -> None:
        """Return the slot to the queue; further calls have no effect."""
        if self._is_held:
            self._is_held = False
            self._queue._release(self._call, self._started_ms)


class FairQueue:
    """Shares a target's slots among teams by weight.

    Teams share the slots by start-time fair queueing; the calls of one team are served
    in priority order. The priority also scales the cost charged for a call, so that it
    has an effect between teams without starving any of them. A call whose expected
    wait exceeds its deadline is refused at once, with a fault that guarantees that it
    did not run.

    Parameters
    ----------
    concurrency : int
        Number of slots.
    clock : Clock
        Source of time.
    random : random.Random
        Random number generator for the jitter of retry delays.
    parameters : FairQueueParameters, default=None
        Parameters of the queue.

    References
    ----------
    P. Goyal, H. M. Vin and H. Cheng, "Start-time Fair Queueing", IEEE/ACM
    Transactions on Networking 5(5), 1997.
    """

    __slots__ = (
        "_clock",
        "_concurrency",
        "_drain_fault",
        "_flows",
        "_is_running_alone",
        "_mean_hold_ms",
        "_parameters",
        "_peak_slots",
        "_peak_updated_ms",
        "_queued",
        "_random",
        "_running",
        "_sequence",
        "_virtual_time",
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
        self._peak_updated_ms = clock.now_ms()
        self._peak_slots = 0.0
        self._queued = 0
        self._running = 0
        self._is_running_alone = False
        self._sequence = 0
        self._virtual_time = 0.0
        self._mean_hold_ms = self._parameters.initial_hold_ms
        self._drain_fault: Fault | None = None

    @property
    def running(self) -> int:
        """Number of calls that hold a slot."""
        return self._running

    @property
    def queued(self) -> int:
        """Number of calls that wait for a slot."""
        return self._queued

    @property
    def queued_cost(self) -> float:
        """Total cost of the calls that wait for a slot."""
        return sum(call.cost for flow in self._flows.values() for call in flow.calls)

    @property
    def concurrency(self) -> int:
        """Number of slots."""
        return self._concurrency

    def resize(self, concurrency: int) -> None:
        """Change the number of slots; running calls keep their slots."""
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
        """Wait for a slot to run one call.

        Parameters
        ----------
        team : str
            Team that the call is charged to.
        weight : float
            Weight of the team, relative to other teams.
        priority : int
            0 (lowest) to 9.
        cost : float
            Cost charged for the call, in any unit common to all calls.
        deadline_ms : float
            Maximum wait in milliseconds; 0 for no limit.
        alone : bool
            Whether no other call may run at the same time.

        Returns
        -------
        slot : Result
            The slot, or a fault, which guarantees that the call did not run.
        """
        if self._drain_fault is not None:
            return Failure(self._drain_fault)
        flow = self._flow(team, weight)
        call = QueuedCall(
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
        refusal = self._check_expected_wait(flow, call) or self._make_room(flow, call)
        if refusal is not None:
            return Failure(refusal)
        flow.add(call, self._virtual_time)
        self._queued += 1
        self._dispatch()
        return await self._wait(call)

    def drain(self, kind: ErrorKind = ErrorKind.LEAVING) -> int:
        """Refuse all queued and new calls; return the number of queued calls."""
        self._drain_fault = Fault(kind=kind, detail="the target takes no new work")
        count = 0
        for flow in self._flows.values():
            for call in list(flow.calls):
                self._refuse(flow, call, self._drain_fault)
                count += 1
        return count

    def reopen(self) -> None:
        """Accept calls again after `drain`."""
        self._drain_fault = None

    async def _wait(self, call: QueuedCall) -> Result[Slot, Fault]:
        timeout_s = call.deadline_ms / MS_PER_S if call.deadline_ms else None
        try:
            async with asyncio.timeout(timeout_s):
                return await call.future
        except TimeoutError:
            self._abandon(call)
            return Failure(_deadline_fault(call))
        except asyncio.CancelledError:
            self._abandon(call)
            raise

    def _abandon(self, call: QueuedCall) -> None:
        """Withdraw a call whose caller stopped waiting, and release its slot if any."""
        future = call.future
        if future.cancelled() or not future.done():
            # Cancelling the waiting task cancels its future; the call may still be
            # queued.
            flow = self._flows[call.team]
            self._refuse(flow, call, _deadline_fault(call))
            # The call may have blocked others, as a call that must run alone does.
            self._dispatch()
        elif isinstance(future.result(), Success):
            future.result().unwrap().release()

    def _dispatch(self) -> None:
        while self._running < self._concurrency and not self._is_running_alone:
            flow = self._next_flow()
            if flow is None:
                return
            call = flow.first()
            if call.future.done() or self._has_expired(call):
                self._refuse(flow, call, _deadline_fault(call))
                continue
            if call.alone and self._running:
                return
            self._start(flow, call)

    def _start(self, flow: Flow, call: QueuedCall) -> None:
        self._virtual_time = max(self._virtual_time, flow.start_tag)
        flow.charge(call)
        flow.running += 1
        self._update_peak_slots()
        self._queued -= 1
        self._running += 1
        self._is_running_alone = call.alone
        now_ms = self._clock.now_ms()
        slot = Slot(
            queue=self,
            call=call,
            started_ms=now_ms,
            engine_priority=self._engine_priority(flow, call),
        )
        call.future.set_result(Success(slot))

    def _release(self, call: QueuedCall, started_ms: float) -> None:
        now_ms = self._clock.now_ms()
        self._update_peak_slots()
        self._running -= 1
        flow = self._flows[call.team]
        flow.running -= 1
        flow.last_call_ms = now_ms
        if call.alone:
            self._is_running_alone = False
        held_ms = now_ms - started_ms
        self._mean_hold_ms += self._parameters.smoothing * (
            held_ms - self._mean_hold_ms
        )
        self._dispatch()

    def _next_flow(self) -> Flow | None:
        """Return the flow with the lowest start tag among those below their maximum."""
        next_flow = None
        for flow in self._flows.values():
            if (
                flow.calls
                and flow.precedes(next_flow)
                and flow.running < self._max_slots(flow)
            ):
                next_flow = flow
        return next_flow

    def _max_slots(self, flow: Flow) -> int:
        """Return the maximum number of slots that a team may hold.

        A flooding team must leave free the recent peak of the slots held by other
        teams plus `spare_slots`, so that their calls start without waiting for one of
        its calls to end.
        """
        if not flow.is_flooding:
            return self._concurrency
        reserved = math.ceil(self._peak_slots) + self._parameters.spare_slots
        return max(1, int(self._fair_slots(flow)), self._concurrency - reserved)

    def _update_peak_slots(self) -> None:
        """Update the decaying peak of the slots held by teams that are not flooding."""
        now_ms = self._clock.now_ms()
        elapsed_ms = now_ms - self._peak_updated_ms
        self._peak_updated_ms = now_ms
        slots_held = sum(f.running for f in self._flows.values() if not f.is_flooding)
        decayed_peak = self._peak_slots * 0.5 ** (
            elapsed_ms / self._parameters.peak_half_life_ms
        )
        self._peak_slots = max(slots_held, decayed_peak)

    def _fair_slots(self, flow: Flow) -> float:
        """Return a team's fair share of the slots among the recently active teams."""
        since_ms = self._clock.now_ms() - self._parameters.active_window_ms
        flows = self._flows.values()
        weights = sum(f.weight for f in flows if f.was_active_since(since_ms))
        return self._concurrency * flow.weight / weights

    def _engine_priority(self, flow: Flow, call: QueuedCall) -> int:
        """Return the engine priority, raised for a team within its fair share of slots.

        The engine then prefills these calls first, so that they do not wait for the
        prefill of calls of a team above its share.
        """
        is_within_share = flow.running <= max(1.0, self._fair_slots(flow))
        return min(
            MAX_PRIORITY, call.priority + (WITHIN_SHARE_BOOST if is_within_share else 0)
        )

    def _check_expected_wait(self, flow: Flow, call: QueuedCall) -> Fault | None:
        if not call.deadline_ms:
            return None
        wait_ms = self.expected_wait_ms(flow, call)
        if wait_ms <= call.deadline_ms:
            return None
        return Fault(
            kind=ErrorKind.OVERLOADED,
            detail=f"expected wait of {wait_ms:.0f} ms exceeds the"
            f" {call.deadline_ms:.0f} ms left, with {self._queued} calls queued",
            retry_after_ms=jittered_retry_after_ms(self._random, wait_ms),
        )

    def expected_wait_ms(self, flow: Flow, call: QueuedCall) -> float:
        """Return the expected wait of a call that arrives now."""
        free = self._concurrency - self._running
        ahead = expected_calls_ahead(
            self._flows.values(), flow, call, self._virtual_time
        )
        if (
            free > ahead
            and flow.running < self._max_slots(flow)
            and not self._is_running_alone
        ):
            return 0.0
        return (max(0, ahead - free) + 1) * self._mean_hold_ms / self._concurrency

    def _make_room(self, flow: Flow, call: QueuedCall) -> Fault | None:
        """If the queue is full, refuse the last call of the flow longest by weight.

        The returned fault, if any, is the refusal of `call` itself.
        """
        if self._queued < self._parameters.max_queued:
            return None
        longest = max(self._flows.values(), key=lambda f: f.weighted_length(f is flow))
        fault = Fault(
            kind=ErrorKind.OVERLOADED,
            detail=f"{self._queued} calls wait, the maximum of the queue is"
            f" {self._parameters.max_queued}",
            retry_after_ms=jittered_retry_after_ms(self._random, self._mean_hold_ms),
        )
        last = longest.last()
        if longest is flow and last.priority >= call.priority:
            return fault
        self._refuse(longest, last, fault)
        return None

    def _refuse(self, flow: Flow, call: QueuedCall, fault: Fault) -> None:
        if not flow.discard(call):
            return
        self._queued -= 1
        if not call.future.done():
            call.future.set_result(Failure(fault))

    def _has_expired(self, call: QueuedCall) -> bool:
        waited_ms = self._clock.now_ms() - call.queued_ms
        return bool(call.deadline_ms) and waited_ms > call.deadline_ms

    def _flow(self, team: str, weight: float) -> Flow:
        flow = self._flows.get(team)
        if flow is None:
            self._forget_idle()
            flow = self._flows[team] = Flow(team=team)
        flow.weight = weight
        flow.last_call_ms = self._clock.now_ms()
        flow.note_arrival(flow.last_call_ms)
        return flow

    def _forget_idle(self) -> None:
        """Drop the flows of teams that are not active any more."""
        since_ms = self._clock.now_ms() - self._parameters.active_window_ms
        flows = self._flows.values()
        for team in [f.team for f in flows if not f.was_active_since(since_ms)]:
            del self._flows[team]


def _deadline_fault(call: QueuedCall) -> Fault:
    return Fault(
        kind=ErrorKind.DEADLINE,
        detail=f"no slot became free within {call.deadline_ms:.0f} ms",
    )
