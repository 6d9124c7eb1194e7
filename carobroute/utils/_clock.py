"""A clock in milliseconds."""

import asyncio
import time

MS_PER_S = 1_000


class Clock:
    """Monotonic clock in milliseconds.

    Times of different processes are never compared; only durations travel
    between processes.

    Examples
    --------
    >>> clock = Clock()
    >>> start_ms = clock.now_ms()
    >>> clock.now_ms() >= start_ms
    True
    """

    __slots__ = ()

    def now_ms(self) -> float:
        """Return the monotonic time in milliseconds."""
        return time.monotonic() * MS_PER_S

    def boot_time_ms(self) -> float:
        """Return a monotonic time in milliseconds that counts time asleep, too.

        The monotonic clock stands still while the machine is suspended. What a process
        knew before can be older than that clock says.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME) * MS_PER_S

    def wall_ms(self) -> float:
        """Return the wall-clock time in milliseconds, for logs and records only."""
        return time.time() * MS_PER_S

    async def sleep_ms(self, duration_ms: float) -> None:
        """Suspend the calling task for `duration_ms` milliseconds."""
        await asyncio.sleep(max(0.0, duration_ms) / MS_PER_S)


class ManualClock(Clock):
    """Clock that moves only when told to, for tests and simulations.

    Parameters
    ----------
    start_ms : float, default=0.0
        Time that the clock shows at first, in milliseconds.

    Examples
    --------
    >>> clock = ManualClock(start_ms=5.0)
    >>> clock.advance_ms(10)
    >>> clock.now_ms()
    15.0
    """

    __slots__ = ("_time_ms",)

    def __init__(self, *, start_ms: float = 0.0):
        self._time_ms = start_ms

    def now_ms(self) -> float:
        """Return the time set so far, in milliseconds."""
        return self._time_ms

    def boot_time_ms(self) -> float:
        """Return the time set so far, in milliseconds."""
        return self._time_ms

    def wall_ms(self) -> float:
        """Return the time set so far, in milliseconds."""
        return self._time_ms

    def advance_ms(self, duration_ms: float) -> None:
        """Move the clock forward by `duration_ms` milliseconds."""
        if duration_ms < 0:
            raise ValueError(f"duration_ms must be at least 0, got {duration_ms!r}")
        self._time_ms += duration_ms

    async def sleep_ms(self, duration_ms: float) -> None:
        """Advance the clock by `duration_ms` and yield once to other tasks."""
        self._time_ms += max(0.0, duration_ms)
        await asyncio.sleep(0)
