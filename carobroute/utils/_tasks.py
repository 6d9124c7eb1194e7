"""Tracking of background tasks."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from typing import Any, TypeVar

from carobroute.utils._backoff import Backoff
from carobroute.utils._clock import Clock

T = TypeVar("T")


async def gather_few(
    calls: Iterable[Callable[[], Awaitable[T]]], width: int
) -> list[T]:
    """Make calls with at most `width` under way at a time; return their results.

    Examples
    --------
    >>> async def double(number):
    ...     return 2 * number
    >>> calls = [lambda n=n: double(n) for n in range(3)]
    >>> asyncio.run(gather_few(calls, 2))
    [0, 2, 4]
    """
    slots = asyncio.Semaphore(width)

    async def limited(call: Callable[[], Awaitable[T]]) -> T:
        async with slots:
            return await call()

    return list(await asyncio.gather(*(limited(call) for call in calls)))


class TaskSet:
    """Background tasks of one object, whose failures are always reported.

    Parameters
    ----------
    on_failure : callable
        Called with the task's name and its exception when a task fails.
    """

    __slots__ = ("_on_failure", "_tasks")

    def __init__(self, *, on_failure: Callable[[str, BaseException], None]):
        self._on_failure = on_failure
        self._tasks: set[asyncio.Task] = set()

    def __len__(self) -> int:
        return len(self._tasks)

    def spawn(self, coroutine: Coroutine[Any, Any, Any], *, name: str) -> asyncio.Task:
        """Start `coroutine` as a task that is kept until it ends."""
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    def keep_running(
        self,
        run: Callable[[], Coroutine[Any, Any, Any]],
        *,
        name: str,
        backoff: Backoff,
        clock: Clock,
    ) -> asyncio.Task:
        """Run a task that the process can't do without, again after each failure.

        Parameters
        ----------
        run : callable
            Returns the coroutine to run; the task ends once one returns.
        name : str
            Name of the task.
        backoff : Backoff
            Delays between a failure and the next run.
        clock : Clock
            Source of time.
        """
        return self.spawn(self._run_again(run, name, backoff, clock), name=name)

    async def _run_again(
        self,
        run: Callable[[], Coroutine[Any, Any, Any]],
        name: str,
        backoff: Backoff,
        clock: Clock,
    ) -> None:
        while True:
            began_ms = clock.now_ms()
            try:
                await run()
            except Exception as error:
                self._on_failure(name, error)
            else:
                return
            if clock.now_ms() - began_ms > backoff.max_ms:
                backoff.reset()
            await clock.sleep_ms(backoff.next_ms())

    async def close(self) -> None:
        """Cancel what still runs and wait for it to end."""
        current = asyncio.current_task()
        pending = [task for task in self._tasks if task is not current]
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)

    def _finish(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self._on_failure(task.get_name(), error)
