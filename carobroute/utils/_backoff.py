"""Delays between attempts."""

import random as random_module


class Backoff:
    """Exponential backoff with jitter.

    Parameters
    ----------
    random : random.Random
        Random number generator.
    min_ms, max_ms : float
        First and longest delay, before jitter.
    """

    __slots__ = ("_max_ms", "_min_ms", "_random", "_wait_ms")

    def __init__(self, *, random: random_module.Random, min_ms: float, max_ms: float):
        self._random = random
        self._min_ms = min_ms
        self._max_ms = max_ms
        self._wait_ms = min_ms

    @property
    def max_ms(self) -> float:
        """Longest delay."""
        return self._max_ms

    def next_ms(self) -> float:
        """Return the next delay, at random from half to all of the current one."""
        wait_ms = self._wait_ms * self._random.uniform(0.5, 1.0)
        self._wait_ms = min(self._max_ms, 2 * self._wait_ms)
        return wait_ms

    def reset(self) -> None:
        """Return to the first delay, after a success."""
        self._wait_ms = self._min_ms
