"""An event loop whose time jumps to the next timer, for models and tests.

Sleeps and timeouts take no real time, and a run is the same each time.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

from carobroute.utils import Clock

MS_PER_S = 1_000

T = TypeVar("T")


class _JumpingSelector(selectors.SelectSelector):
    """Selector that advances the loop's time in place of waiting."""

    def __init__(self):
        super().__init__()
        self.loop: VirtualLoop | None = None

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("every task waits and no timer is set: a deadlock")
        if self.loop is not None:
            self.loop.jump(timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop in virtual time."""

    def __init__(self):
        selector = _JumpingSelector()
        super().__init__(selector)
        self._virtual_s = 0.0
        selector.loop = self

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_s

    def jump(self, duration_s: float) -> None:
        """Advance the virtual time."""
        self._virtual_s += max(0.0, duration_s)


class VirtualClock(Clock):
    """Clock that shows a virtual loop's time.

    Parameters
    ----------
    loop : VirtualLoop
        The loop.
    """

    __slots__ = ("_loop",)

    def __init__(self, *, loop: VirtualLoop):
        self._loop = loop

    def now_ms(self) -> float:
        """Return the virtual time in milliseconds."""
        return self._loop.time() * MS_PER_S

    def boot_time_ms(self) -> float:
        """Return the virtual time in milliseconds."""
        return self.now_ms()

    def wall_ms(self) -> float:
        """Return the virtual time in milliseconds."""
        return self.now_ms()


def run_virtual(main: Coroutine[Any, Any, T], loop: VirtualLoop) -> T:
    """Run `main` to its end on `loop`, then close the loop.

    Examples
    --------
    >>> loop = VirtualLoop()
    >>> run_virtual(asyncio.sleep(3_600, "an hour later"), loop)
    'an hour later'
    """
    try:
        return loop.run_until_complete(main)
    finally:
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        gathered = asyncio.gather(*tasks, return_exceptions=True) if tasks else None
        if gathered is not None:
            loop.run_until_complete(gathered)
        loop.close()
