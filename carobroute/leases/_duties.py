"""Duties that one process at a time does for all, assigned by rendezvous hashing."""

import asyncio
import random as random_module
from collections.abc import Awaitable, Callable

import msgspec
from returns.result import Failure

from carobroute.leases._lease import Lease, LeaseManager
from carobroute.utils import Clock, TaskSet, rendezvous_order

DutyWork = Callable[[Lease], Awaitable[None]]
Candidates = Callable[[], list[str]]


class DutyParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Intervals of duties.

    Parameters
    ----------
    check_interval_ms : float
        Mean interval at which held leases are renewed and the other duties are checked.
    watchers : int
        Number of processes, first in rendezvous order, that may take a duty.
    min_tenure_ms : float
        Minimum tenure of a holder that is not the first in rendezvous order.
    retry_ms : float
        Maximum delay after a failed attempt to take a duty.
    """

    check_interval_ms: float = 4_000.0
    watchers: int = 2
    min_tenure_ms: float = 60_000.0
    retry_ms: float = 10_000.0


class Duty:
    """State of one duty in this process."""

    __slots__ = (
        "candidates",
        "lease",
        "name",
        "next_attempt_ms",
        "taken_ms",
        "task",
        "watching_since_ms",
        "work",
    )

    def __init__(self, *, name: str, work: DutyWork, candidates: Candidates):
        self.name = name
        self.work = work
        self.candidates = candidates
        self.lease: Lease | None = None
        self.task: asyncio.Task | None = None
        self.taken_ms = 0.0
        self.next_attempt_ms = 0.0
        self.watching_since_ms: float | None = None


class DutyScheduler:
    """Takes the duties assigned to this process, and does them while it holds them.

    Parameters
    ----------
    leases : LeaseManager
        Acquires and renews the leases.
    name : str
        Name of this process among the candidates.
    clock : Clock
        Source of time.
    random : random.Random
        Source of jitter.
    parameters : DutyParameters, default=None
        Intervals.
    on_event : callable, default=None
        Called with an event name and fields.
    """

    __slots__ = (
        "_clock",
        "_duties",
        "_leases",
        "_name",
        "_on_event",
        "_parameters",
        "_random",
        "_tasks",
    )

    def __init__(
        self,
        *,
        leases: LeaseManager,
        name: str,
        clock: Clock,
        random: random_module.Random,
        parameters: DutyParameters | None = None,
        on_event: Callable[..., None] | None = None,
    ):
        self._leases = leases
        self._name = name
        self._clock = clock
        self._random = random
        self._parameters = parameters or DutyParameters()
        self._on_event = on_event or (lambda *args, **fields: None)
        self._duties: dict[str, Duty] = {}
        self._tasks = TaskSet(on_failure=self._task_failed)

    @property
    def held(self) -> dict[str, int]:
        """Fencing numbers of the duties that this process holds now, by name."""
        return {
            duty.name: duty.lease.fence
            for duty in self._duties.values()
            if duty.lease is not None and duty.lease.is_held
        }

    def add(self, name: str, work: DutyWork, candidates: Candidates) -> None:
        """Make this process a candidate for a duty.

        Parameters
        ----------
        name : str
            Name of the duty, the same in all processes.
        work : callable
            Coroutine function that does the duty's work under the lease. It is
            cancelled when the lease is lost, and calls `lease.fence_if_held()` right
            before each effect.
        candidates : callable
            Returns the names of all candidates for the duty.
        """
        if name not in self._duties:
            self._duties[name] = Duty(name=name, work=work, candidates=candidates)

    async def remove(self, name: str) -> None:
        """Withdraw this process from a duty, and release its lease."""
        duty = self._duties.pop(name, None)
        if duty is not None:
            await self._end_tenure(duty, "removed")

    async def start(self) -> None:
        """Start to take duties."""
        self._tasks.spawn(self._run_loop(), name="duties")

    async def stop(self) -> None:
        """Stop all work and release all leases."""
        await self._tasks.close()
        for duty in list(self._duties.values()):
            await self._end_tenure(duty, "shutting down")

    async def _run_loop(self) -> None:
        while True:
            jitter_factor = 0.75 + 0.5 * self._random.random()
            await self._clock.sleep_ms(
                self._parameters.check_interval_ms * jitter_factor
            )
            # Concurrently, so that a slow reply for one duty does not delay renewals.
            await asyncio.gather(*map(self._check_safely, list(self._duties.values())))

    async def _check_safely(self, duty: Duty) -> None:
        try:
            await self._check(duty)
        except Exception as error:
            # A malformed row of one duty must not end the leases of the others.
            self._task_failed(f"duty {duty.name}", error)

    async def _check(self, duty: Duty) -> None:
        order = rendezvous_order(duty.name, duty.candidates())
        position = order.index(self._name) if self._name in order else len(order)
        if duty.lease is not None:
            await self._maintain(duty, position)
        elif position < self._parameters.watchers and self._can_take(duty, position):
            await self._try_take(duty)

    def _can_take(self, duty: Duty, position: int) -> bool:
        """Return whether the processes before this one have had time to take it."""
        now_ms = self._clock.now_ms()
        if position == 0 or duty.watching_since_ms is None:
            duty.watching_since_ms = now_ms
        watching_ms = now_ms - duty.watching_since_ms
        return position == 0 or watching_ms >= position * self._parameters.retry_ms

    async def _maintain(self, duty: Duty, position: int) -> None:
        lease = duty.lease
        assert lease is not None
        held_ms = self._clock.now_ms() - duty.taken_ms
        if duty.task is not None and duty.task.done():
            await self._end_tenure(duty, "its work ended")
            duty.next_attempt_ms = self._clock.now_ms() + self._parameters.retry_ms
            return
        if position > 0 and held_ms >= self._parameters.min_tenure_ms:
            await self._end_tenure(duty, "another process is first in order")
            # Gives the first process in order time to take the duty.
            duty.next_attempt_ms = self._clock.now_ms() + self._parameters.retry_ms
            return
        await self._leases.renew(lease)
        if not lease.is_held:
            await self._end_tenure(duty, str(lease.fence_if_held().failure().detail))

    async def _try_take(self, duty: Duty) -> None:
        if self._clock.now_ms() < duty.next_attempt_ms:
            return
        taken = await self._leases.acquire(duty.name)
        now_ms = self._clock.now_ms()
        if isinstance(taken, Failure):
            wait_ms = taken.failure().retry_after_ms or self._parameters.retry_ms
            wait_ms = min(wait_ms, self._parameters.retry_ms)
            duty.next_attempt_ms = now_ms + wait_ms * (
                0.5 + 0.5 * self._random.random()
            )
            return
        duty.lease, duty.taken_ms = taken.unwrap(), now_ms
        self._on_event("duty_taken", duty=duty.name, fence=duty.lease.fence)
        duty.task = self._tasks.spawn(self._run(duty), name=f"duty {duty.name}")

    async def _run(self, duty: Duty) -> None:
        """Do the duty's work; cancel it if the lease lapses, even during a renewal."""
        lease = duty.lease
        assert lease is not None
        work = asyncio.ensure_future(duty.work(lease))
        try:
            while lease.is_held and not work.done():
                await asyncio.wait([work], timeout=lease.remaining_ms / 1_000)
            if work.done():
                work.result()
        finally:
            work.cancel()
            await asyncio.gather(work, return_exceptions=True)

    async def _end_tenure(self, duty: Duty, reason: str) -> None:
        lease, task = duty.lease, duty.task
        duty.lease, duty.task = None, None
        if lease is None:
            return
        if task is not None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        self._on_event("duty_ended", duty=duty.name, fence=lease.fence, reason=reason)
        await self._leases.release(lease)

    def _task_failed(self, name: str, error: BaseException) -> None:
        self._on_event("task_failed", level="error", task=name, error=repr(error))
