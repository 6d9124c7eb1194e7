"""Which target a call goes to, which calls wait, and which are refused."""

import asyncio
import heapq
import random
from collections import deque
from collections.abc import Callable, Iterable

import msgspec
from returns.result import Failure, Result, Success

from carobroute.errors import ErrorKind, Fault, fail
from carobroute.gateway._circuit_breaker import GroupGate
from carobroute.gateway._targets import Target, TargetDirectory
from carobroute.utils import Clock
from carobroute.world import ServiceProfile


class DispatchParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Weights and times of the dispatcher.

    Parameters
    ----------
    plain_queue : float
        Calls that a plain target may have waiting, as a share of its slots.
    near_bonus : float
        Load that a target of another data centre must be below a near one to be
        chosen, as a share of its slots. Bytes between data centres are charged for.
    rate_window_ms : float
        Time over which the rate of ended calls is taken.
    wait_share : float
        Part of the latency target that a call may wait for a slot. The rest is for
        reading its prompt and the first event.
    least_wait_ms : float
        Wait that is always granted, to bridge the lag between gateways.
    check_ms : float
        Time between two looks at a queue when no call ends here.
    broken_retry_ms : float
        Advised wait while a service has no target that takes calls.
    """

    plain_queue: float = 1.0
    near_bonus: float = 0.1
    rate_window_ms: float = 2_000.0
    wait_share: float = 0.5
    least_wait_ms: float = 60.0
    check_ms: float = 25.0
    broken_retry_ms: float = 1_000.0


class Demand(msgspec.Struct, frozen=True, kw_only=True):
    """A call that needs a target.

    Parameters
    ----------
    request_id : str
        The call.
    service : ServiceProfile
        Service that is called.
    rank : int
        Rank among waiting calls; 0 comes first.
    latency_target_ms : float
        Time to the first byte that is aimed at, in milliseconds.
    left_ms : float
        Time until the call is given up, in milliseconds.
    excluded : frozenset of str
        Runs of targets that were tried before.
    begun : bool
        Whether an attempt of the call may have run, so that refusing it is no longer
        harmless.
    """

    request_id: str
    service: ServiceProfile
    rank: int
    latency_target_ms: float
    left_ms: float
    excluded: frozenset[str] = frozenset()
    begun: bool = False


class Grant(msgspec.Struct, frozen=True, kw_only=True):
    """A target for a call, with the inputs that decided.

    Parameters
    ----------
    target : Target
        Where the call goes. A call in flight is counted there until it is released.
    load : float
        Calls there before, own ones and an estimate of the others.
    usable, listed : int
        Targets of the service that take calls, and all of them.
    waited_ms : float
        Time in the queue.
    list_age_ms : float
        Age of the list of targets.
    """

    target: Target
    load: float
    usable: int
    listed: int
    waited_ms: float
    list_age_ms: float


class _Waiter:
    """A call in the queue; those with the lower rank come first, then the older."""

    __slots__ = ("demand", "future", "number", "since_ms")

    def __init__(self, *, demand: Demand, number: int, since_ms: float):
        self.demand = demand
        self.number = number
        self.since_ms = since_ms
        self.future: asyncio.Future[Grant] = asyncio.get_running_loop().create_future()

    def __lt__(self, other: "_Waiter") -> bool:
        mine = (self.demand.rank, self.number)
        return mine < (other.demand.rank, other.number)


class Dispatcher:
    """Gives calls to targets with a free slot, and queues what must wait.

    The queue is kept here and not at the targets, so that a call goes to whichever
    target has the next free slot. A call that would wait longer than its latency
    target allows is refused at once.

    Parameters
    ----------
    clock : Clock
        Source of time.
    random : random.Random
        Source of chance, for ties.
    data_centre : str
        Data centre of this gateway.
    directory : TargetDirectory
        Targets.
    parameters : DispatchParameters, default=None
        Weights and times.
    on_change : callable, default=None
        Told when a call begins or ends at a target.
    """

    __slots__ = (
        "_clock",
        "_data_centre",
        "_directory",
        "_ended",
        "_gates",
        "_number",
        "_on_change",
        "_parameters",
        "_queues",
        "_random",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        random: random.Random,
        data_centre: str,
        directory: TargetDirectory,
        parameters: DispatchParameters | None = None,
        on_change: Callable[[], None] | None = None,
    ):
        self._on_change = on_change or (lambda: None)
        self._clock = clock
        self._random = random
        self._data_centre = data_centre
        self._directory = directory
        self._parameters = parameters or DispatchParameters()
        self._queues: dict[str, list[_Waiter]] = {}
        self._ended: dict[str, deque[float]] = {}
        self._gates: dict[str, GroupGate] = {}
        self._number = 0

    @property
    def check_ms(self) -> float:
        """Time between two looks at the queues when no call ends here."""
        return self._parameters.check_ms

    def waiting(self, service: str) -> int:
        """Return how many calls wait for a target of `service`."""
        return len(self._queues.get(service, ()))

    async def acquire(self, demand: Demand) -> Result[Grant, Fault]:
        """Return a target with a free slot, waiting for one as long as it pays.

        Returns
        -------
        grant : Result
            A `NO_TARGET` fault if no target takes calls, an `OVERLOADED` fault if the
            wait would be too long; both with the time at which to come back.
        """
        service = demand.service.name
        closed = self._closed_gate(service)
        if closed is not None:
            return fail(
                ErrorKind.NO_TARGET,
                f"the rank group of service {service!r} is down",
                retry_after_ms=closed.retry_after_ms,
            )
        if not self._queues.get(service):
            target = self._choose(demand)
            if target is not None:
                return Success(self._grant(target, waited_ms=0.0))
        refusal = self._refuse(demand)
        if refusal is not None:
            return Failure(refusal)
        return await self._wait(demand)

    def gate(self, target: Target) -> GroupGate:
        """Return the gate of a target's rank group."""
        gate = self._gates.get(target.group)
        if gate is None:
            gate = self._gates[target.group] = GroupGate(clock=self._clock)
        return gate

    def forget(self, group: str) -> None:
        """Drop the gate of a group or target that is gone."""
        self._gates.pop(group, None)

    def _closed_gate(self, service: str) -> GroupGate | None:
        """Return the gate that keeps a call back; None if one is open."""
        targets = self._directory.targets(service)
        gates = {target.group: self.gate(target) for target in targets}
        if not gates or any(not gate.is_down for gate in gates.values()):
            return None
        if any(gate.admits() for gate in gates.values()):
            return None
        return min(gates.values(), key=lambda gate: gate.retry_after_ms)

    def release(self, grant: Grant) -> None:
        """Note that a granted call has ended."""
        target = grant.target
        target.in_flight -= 1
        self._on_change()
        service = target.entry.service
        self._ended.setdefault(service, deque()).append(self._clock.now_ms())
        self.pump(service)

    def pump(self, service: str) -> None:
        """Give waiting calls of a service to targets that have room."""
        queue = self._queues.get(service)
        while queue:
            waiter = queue[0]
            if waiter.future.done():
                heapq.heappop(queue)
                continue
            target = self._choose(waiter.demand)
            if target is None:
                return
            heapq.heappop(queue)
            waited_ms = self._clock.now_ms() - waiter.since_ms
            waiter.future.set_result(self._grant(target, waited_ms=waited_ms))

    def pump_all(self) -> None:
        """Give waiting calls of all services to targets that have room."""
        for service in list(self._queues):
            self.pump(service)

    def expected_wait_ms(self, service: str) -> float:
        """Return how long a call that joins the queue now is expected to wait."""
        ahead = self.waiting(service) + 1
        rate = self._rate_per_ms(service)
        return ahead / rate if rate else self._parameters.broken_retry_ms

    def _rate_per_ms(self, service: str) -> float:
        ended = self._ended.get(service)
        if not ended:
            return 0.0
        window_ms = self._parameters.rate_window_ms
        oldest_ms = self._clock.now_ms() - window_ms
        while ended and ended[0] < oldest_ms:
            ended.popleft()
        return len(ended) / window_ms

    def _refuse(self, demand: Demand) -> Fault | None:
        service = demand.service.name
        if not self._candidates(demand):
            return Fault(
                kind=ErrorKind.NO_TARGET,
                detail=f"service {service!r} has no target that takes calls",
                retry_after_ms=self._back_ms(service),
            )
        if not self._rate_per_ms(service):
            # Nothing has ended here lately, so nothing is known of the wait.
            return None
        expected_ms = self.expected_wait_ms(service)
        if expected_ms <= self._longest_wait_ms(demand):
            return None
        return Fault(
            kind=ErrorKind.OVERLOADED,
            detail=f"{self.waiting(service)} calls of {service!r} wait already",
            retry_after_ms=expected_ms,
        )

    def _back_ms(self, service: str) -> float:
        """Return when a service without a target is expected to have one again."""
        known_ms = []
        for target in self._directory.targets(service):
            gate = self.gate(target)
            if not target.entry.group_open:
                gate.note_down()
            if gate.is_down:
                known_ms.append(gate.retry_after_ms)
        return min(known_ms, default=self._parameters.broken_retry_ms)

    def _longest_wait_ms(self, demand: Demand) -> float:
        if demand.begun:
            return demand.left_ms
        share_ms = demand.latency_target_ms * self._parameters.wait_share
        wait_ms = max(self._parameters.least_wait_ms, share_ms)
        return min(wait_ms, demand.left_ms)

    async def _wait(self, demand: Demand) -> Result[Grant, Fault]:
        service = demand.service.name
        queue = self._queues.setdefault(service, [])
        self._number += 1
        waiter = _Waiter(
            demand=demand, number=self._number, since_ms=self._clock.now_ms()
        )
        heapq.heappush(queue, waiter)
        limit_ms = self._longest_wait_ms(demand)
        try:
            async with asyncio.timeout(limit_ms / 1_000):
                return Success(await waiter.future)
        except TimeoutError:
            return fail(
                ErrorKind.OVERLOADED,
                f"no slot of {service!r} within {limit_ms:.0f} ms",
                retry_after_ms=self.expected_wait_ms(service),
            )
        except asyncio.CancelledError:
            if waiter.future.done() and not waiter.future.cancelled():
                self.release(waiter.future.result())
            raise
        finally:
            waiter.future.cancel()
            if waiter in queue:
                queue.remove(waiter)
                heapq.heapify(queue)

    def _grant(self, target: Target, *, waited_ms: float) -> Grant:
        listed = self._directory.targets(target.entry.service)
        grant = Grant(
            target=target,
            load=target.load,
            usable=sum(other.usable for other in listed),
            listed=len(listed),
            waited_ms=waited_ms,
            list_age_ms=self._directory.age_ms,
        )
        target.in_flight += 1
        self._on_change()
        return grant

    def _choose(self, demand: Demand) -> Target | None:
        """Return the usable target with the least load that has room, if any."""
        targets = self._candidates(demand)
        healthy = [target for target in targets if not target.health.ejected]
        best, least = None, float("inf")
        for target in self._shuffled(healthy or targets):
            load = self._relative_load(target)
            if target.load + 1 <= self._room(target, demand.service) and load < least:
                best, least = target, load
        return best

    def _candidates(self, demand: Demand) -> list[Target]:
        return [
            target
            for target in self._directory.targets(demand.service.name)
            if target.usable and target.name not in demand.excluded
        ]

    def _shuffled(self, targets: Iterable[Target]) -> list[Target]:
        shuffled = list(targets)
        self._random.shuffle(shuffled)
        return shuffled

    def _room(self, target: Target, service: ServiceProfile) -> float:
        if service.engine is not None:
            return target.entry.slots
        return target.entry.slots * (1 + self._parameters.plain_queue)

    def _relative_load(self, target: Target) -> float:
        load = (target.load + 1) / (target.entry.slots * target.health.share)
        if target.entry.data_centre != self._data_centre:
            load += self._parameters.near_bonus
        return load
