"""Control duties, taken by live processes by rendezvous hash."""

import asyncio
import random as random_module
from collections.abc import Awaitable, Callable

import msgspec
from returns.result import Failure

from carobroute.leases._lease import Lease, LeaseKeeper
from carobroute.utils import Clock, TaskSet, rendezvous_order

Run = Callable[[Lease], Awaitable[None]]
Candidates = Callable[[], list[str]]


class DutyParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Intervals of duties.

    Parameters
    ----------
    tend_ms : float
        Mean interval of renewing what is held and of looking at what is not.
    watchers : int
        Processes, in rendezvous order, that watch a duty and take it when it lapses.
    hold_ms : float
        Shortest tenure of a holder that is not the first in order.
    retry_ms : float
        Longest delay after a failed attempt to take a duty.
    """

    tend_ms: float = 4_000.0
    watchers: int = 2
    hold_ms: float = 60_000.0
    retry_ms: float = 10_000.0


class Duty:
    """One duty and its state in this process."""

    __slots__ = (
        "candidates",
        "lease",
        "name",
        "not_before_ms",
        "run",
        "since_ms",
        "task",
        "watched_ms",
    )

    def __init__(self, *, name: str, run: Run, candidates: Candidates):
        self.name = name
        self.run = run
        self.candidates = candidates
        self.lease: Lease | None = None
        self.task: asyncio.Task | None = None
        self.since_ms = 0.0
        self.not_before_ms = 0.0
        self.watched_ms: float | None = None


class Duties:
    """Takes duties that fall to this process, and runs them while they are held.

    Parameters
    ----------
    leases : LeaseKeeper
        Takes and renews the leases.
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
        leases: LeaseKeeper,
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
        """Fences of the duties that this process may act on now, by name."""
        return {
            duty.name: duty.lease.fence
            for duty in self._duties.values()
            if duty.lease is not None and duty.lease.held
        }

    def add(self, name: str, run: Run, candidates: Candidates) -> None:
        """Take part in a duty.

        Parameters
        ----------
        name : str
            Name of the duty, one for all processes.
        run : callable
            Coroutine function that does the duty's work with the lease; cancelled
            when the lease is lost. It checks `lease.guard()` before each effect.
        candidates : callable
            Returns the names of the processes that could take the duty.
        """
        if name not in self._duties:
            self._duties[name] = Duty(name=name, run=run, candidates=candidates)

    async def remove(self, name: str) -> None:
        """Take no part in a duty any more, and release it."""
        duty = self._duties.pop(name, None)
        if duty is not None:
            await self._end(duty, "removed")

    async def start(self) -> None:
        """Begin to take duties."""
        self._tasks.spawn(self._tend(), name="duties")

    async def stop(self) -> None:
        """Release what is held."""
        await self._tasks.close()
        for duty in list(self._duties.values()):
            await self._end(duty, "shutting down")

    async def _tend(self) -> None:
        while True:
            jitter = 0.75 + 0.5 * self._random.random()
            await self._clock.sleep_ms(self._parameters.tend_ms * jitter)
            # Together, so that one slow answer does not cost the other leases.
            await asyncio.gather(*map(self._tend_safely, list(self._duties.values())))

    async def _tend_safely(self, duty: Duty) -> None:
        try:
            await self._tend_one(duty)
        except Exception as error:
            # A damaged row of one duty must not cost the leases of the others.
            self._task_failed(f"duty {duty.name}", error)

    async def _tend_one(self, duty: Duty) -> None:
        order = rendezvous_order(duty.name, duty.candidates())
        place = order.index(self._name) if self._name in order else len(order)
        if duty.lease is not None:
            await self._keep(duty, place)
        elif place < self._parameters.watchers and self._may_take(duty, place):
            await self._try_take(duty)

    def _may_take(self, duty: Duty, place: int) -> bool:
        """Whether those before this process have had the time to take the duty."""
        now_ms = self._clock.now_ms()
        if place == 0 or duty.watched_ms is None:
            duty.watched_ms = now_ms
        waited_ms = now_ms - duty.watched_ms
        return place == 0 or waited_ms >= place * self._parameters.retry_ms

    async def _keep(self, duty: Duty, place: int) -> None:
        lease = duty.lease
        assert lease is not None
        held_ms = self._clock.now_ms() - duty.since_ms
        if duty.task is not None and duty.task.done():
            await self._end(duty, "its work ended")
            duty.not_before_ms = self._clock.now_ms() + self._parameters.retry_ms
            return
        if place > 0 and held_ms >= self._parameters.hold_ms:
            await self._end(duty, "another process is first in order")
            # Leaves the one that is first the time to take it.
            duty.not_before_ms = self._clock.now_ms() + self._parameters.retry_ms
            return
        await self._leases.renew(lease)
        if not lease.held:
            await self._end(duty, str(lease.guard().failure().detail))

    async def _try_take(self, duty: Duty) -> None:
        if self._clock.now_ms() < duty.not_before_ms:
            return
        taken = await self._leases.acquire(duty.name)
        now_ms = self._clock.now_ms()
        if isinstance(taken, Failure):
            wait_ms = taken.failure().retry_after_ms or self._parameters.retry_ms
            wait_ms = min(wait_ms, self._parameters.retry_ms)
            duty.not_before_ms = now_ms + wait_ms * (0.5 + 0.5 * self._random.random())
            return
        duty.lease, duty.since_ms = taken.unwrap(), now_ms
        self._on_event("duty_taken", duty=duty.name, fence=duty.lease.fence)
        duty.task = self._tasks.spawn(self._run(duty), name=f"duty {duty.name}")

    async def _run(self, duty: Duty) -> None:
        """Run the duty's work; a lease that lapses ends it even without a renewal."""
        lease = duty.lease
        assert lease is not None
        work = asyncio.ensure_future(duty.run(lease))
        try:
            while lease.held and not work.done():
                await asyncio.wait([work], timeout=lease.left_ms / 1_000)
            if work.done():
                work.result()
        finally:
            work.cancel()
            await asyncio.gather(work, return_exceptions=True)

    async def _end(self, duty: Duty, reason: str) -> None:
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
