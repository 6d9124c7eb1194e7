"""Announces this instance in the platform's list and polls the list."""

import asyncio
import random as random_module
from collections.abc import Callable

import msgspec
from returns.result import Failure

from carobroute.membership._directory import Directory
from carobroute.tables import InstanceListClient
from carobroute.utils import Clock, TaskSet

ENTRY_BYTES = 225


class ListPollerParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Intervals and budget of polling the instance list.

    Parameters
    ----------
    interval_ms : float
        Shortest mean interval between two polls.
    bytes_per_s : float
        Bytes a second that polling may cost; a longer list is polled more rarely,
        since changes come from peers meanwhile.
    announce_ms : float
        Mean interval of announcing this instance again, so that the platform does
        not take it for gone.
    retry_ms, retry_most_ms : float
        First and longest delay after a failure.
    jitter : float
        Share by which each delay varies either way.
    """

    interval_ms: float = 1_500.0
    bytes_per_s: float = 2_048.0
    announce_ms: float = 4_000.0
    retry_ms: float = 500.0
    retry_most_ms: float = 3_000.0
    jitter: float = 0.3


class ListPoller:
    """Keeps this instance in the platform's list and a directory up to date.

    Parameters
    ----------
    instances : InstanceListClient
        The platform's list.
    directory : Directory
        Directory to fill.
    clock : Clock
        Source of time.
    random : random.Random
        Source of jitter.
    parameters : ListPollerParameters, default=None
        Intervals and budget.
    on_event : callable, default=None
        Called with an event name and fields.
    """

    __slots__ = (
        "_clock",
        "_directory",
        "_failures",
        "_instances",
        "_length",
        "_on_event",
        "_parameters",
        "_polled",
        "_random",
        "_tasks",
    )

    def __init__(
        self,
        *,
        instances: InstanceListClient,
        directory: Directory,
        clock: Clock,
        random: random_module.Random,
        parameters: ListPollerParameters | None = None,
        on_event: Callable[..., None] | None = None,
    ):
        self._instances = instances
        self._directory = directory
        self._clock = clock
        self._random = random
        self._parameters = parameters or ListPollerParameters()
        self._on_event = on_event or (lambda *args, **fields: None)
        self._failures = 0
        self._length = 0
        self._polled = asyncio.Event()
        self._tasks = TaskSet(on_failure=self._task_failed)

    async def start(self) -> None:
        """Announce this instance and begin to poll."""
        self._tasks.spawn(self._keep_announced(), name="instance-announce")
        self._tasks.spawn(self._poll(), name="instance-list")

    async def stop(self, *, withdraw: bool = True) -> None:
        """End polling, and take this instance out of the list."""
        await self._tasks.close()
        if withdraw:
            await self._instances.withdraw(self._directory.own)

    async def wait_polled(self, timeout_ms: float) -> bool:
        """Wait until the list was read once; False if that took too long."""
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                await self._polled.wait()
        except TimeoutError:
            return False
        return True

    async def announce(self) -> bool:
        """Enter this instance as it is now; False if the list did not answer."""
        result = await self._instances.announce(self._directory.own)
        return not isinstance(result, Failure)

    def delay_ms(self) -> float:
        """Return the delay before the next poll, in milliseconds."""
        parameters = self._parameters
        mean_ms = parameters.interval_ms
        if self._failures:
            mean_ms = min(
                parameters.retry_ms * 2 ** min(self._failures - 1, 16),
                parameters.retry_most_ms,
            )
        # The budget grows with the fleet, so that the processes of a large one do not
        # fall upon a list that has just come back, and those of a small one need not
        # wait for it.
        budget_ms = self._length * ENTRY_BYTES / parameters.bytes_per_s * 1_000
        return self._jittered(max(mean_ms, budget_ms))

    async def poll_once(self) -> bool:
        """Read the list once; False if it did not answer."""
        found = await self._instances.fetch()
        if isinstance(found, Failure):
            self._failures += 1
            if self._failures == 1:
                self._on_event("instance_list_unavailable", level="warning")
            return False
        listed = found.unwrap()
        self._failures = 0
        self._length = len(listed)
        self._directory.update_from_list(listed)
        self._polled.set()
        return True

    async def _poll(self) -> None:
        while True:
            await self.poll_once()
            await self._clock.sleep_ms(self.delay_ms())

    async def _keep_announced(self) -> None:
        while True:
            await self.announce()
            await self._clock.sleep_ms(self._jittered(self._parameters.announce_ms))

    def _jittered(self, mean_ms: float) -> float:
        spread = self._parameters.jitter * (2 * self._random.random() - 1)
        return mean_ms * (1 + spread)

    def _task_failed(self, name: str, error: BaseException) -> None:
        self._on_event("task_failed", level="error", task=name, error=repr(error))
