"""Rates of events over a recent window."""

from collections import deque
from typing import Generic, TypeVar

from carobroute.utils import Clock

Key = TypeVar("Key")


class EventRates(Generic[Key]):
    """Rates of events by a key, over a window.

    Parameters
    ----------
    clock : Clock
        Source of time.
    window_ms : float
        Length of the window.

    Examples
    --------
    >>> from carobroute.utils import ManualClock
    >>> clock = ManualClock()
    >>> rates = EventRates(clock=clock, window_ms=2_000.0)
    >>> rates.note("a"), rates.note("a")
    (None, None)
    >>> rates.per_ms("a"), rates.per_ms("b"), rates.keys
    (0.001, 0.0, ['a'])
    >>> clock.advance_ms(2_001)
    >>> rates.per_ms("a")
    0.0
    """

    __slots__ = ("_clock", "_times_ms", "_window_ms")

    def __init__(self, *, clock: Clock, window_ms: float):
        self._clock = clock
        self._window_ms = window_ms
        self._times_ms: dict[Key, deque[float]] = {}

    @property
    def keys(self) -> list[Key]:
        """Keys of all events so far."""
        return list(self._times_ms)

    def note(self, key: Key) -> None:
        """Count an event now."""
        self._times_ms.setdefault(key, deque()).append(self._clock.now_ms())

    def per_ms(self, key: Key) -> float:
        """Return the rate of the events of a key."""
        times_ms = self._times_ms.get(key)
        if not times_ms:
            return 0.0
        oldest_ms = self._clock.now_ms() - self._window_ms
        while times_ms and times_ms[0] < oldest_ms:
            times_ms.popleft()
        return len(times_ms) / self._window_ms
