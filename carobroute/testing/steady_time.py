"""An event loop whose time stands still while the machine does not run the process.

On a shared machine a process may wait seconds for a core. By the machine's time, a
deadline and the event that it waits for are then found due together, and a time limit
of a test is exceeded by a program that has done nothing wrong.
"""

import asyncio
import selectors
import time
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from carobroute.utils import Clock

MS_PER_S = 1_000
# Longest time that counts of a wait that an event ends. The events come from the same
# process, so they are there at once.
MAX_EVENT_WAIT_S = 0.01

T = TypeVar("T")


class _WatchedSelector(selectors.DefaultSelector):
    """Selector that adds up its waits, without the time for which they are overdue."""

    def __init__(self):
        super().__init__()
        self.waited_s = 0.0

    def select(self, timeout=None):
        start_s = time.monotonic()
        events = super().select(timeout)
        limit_s = MAX_EVENT_WAIT_S if events or timeout is None else timeout
        self.waited_s += max(0.0, min(time.monotonic() - start_s, limit_s))
        return events


class SteadyLoop(asyncio.SelectorEventLoop):
    """Event loop whose time is what the process has computed, and waited on purpose.

    It is for tests in which all parties run on this loop. What other processes do takes
    no time.
    """

    def __init__(self):
        self._watched_selector = _WatchedSelector()
        super().__init__(self._watched_selector)

    def time(self) -> float:
        """Return the time in seconds."""
        return time.process_time() + self._watched_selector.waited_s


class SteadyClock(Clock):
    """Clock that shows a steady loop's time.

    Parameters
    ----------
    loop : SteadyLoop
        The loop.
    """

    __slots__ = ("_loop",)

    def __init__(self, *, loop: SteadyLoop):
        self._loop = loop

    def now_ms(self) -> float:
        """Return the loop's time in milliseconds."""
        return self._loop.time() * MS_PER_S

    def boot_time_ms(self) -> float:
        """Return the loop's time in milliseconds."""
        return self.now_ms()


def run_steady(main: Callable[[Clock], Coroutine[Any, Any, T]]) -> T:
    """Run `main`, which is given a clock, to its end on a steady loop.

    Examples
    --------
    >>> async def measure(clock):
    ...     start_ms = clock.now_ms()
    ...     time.sleep(0.2)
    ...     return clock.now_ms() - start_ms < 100
    >>> run_steady(measure)
    True
    """
    with asyncio.Runner(loop_factory=SteadyLoop) as runner:
        loop = runner.get_loop()
        assert isinstance(loop, SteadyLoop)
        return runner.run(main(SteadyClock(loop=loop)))
