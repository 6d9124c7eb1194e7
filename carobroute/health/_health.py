"""Health of a target from the traffic itself: ejection, trial and slow start."""

import msgspec

from carobroute.utils import Clock


class HealthParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Times and bounds of ejection and slow start.

    Parameters
    ----------
    failures : int
        Failures in a row at which a target is ejected.
    eject_ms, eject_most_ms : float
        First and longest ejection; it doubles each time.
    ramp_ms : float
        Time over which a returning target regains its full share.
    ramp_least : float
        Share that it begins with.
    ejected_share : float
        Largest share of a service's targets ejected at a time.
    """

    failures: int = 3
    eject_ms: float = 2_000.0
    eject_most_ms: float = 30_000.0
    ramp_ms: float = 10_000.0
    ramp_least: float = 0.1
    ejected_share: float = 0.34


class Health:
    """Health of one target.

    Parameters
    ----------
    clock : Clock
        Source of time.
    parameters : HealthParameters
        Times and bounds.

    Examples
    --------
    >>> from carobroute.utils import ManualClock
    >>> clock = ManualClock()
    >>> health = Health(clock=clock, parameters=HealthParameters(failures=2))
    >>> health.note_failure(), health.note_failure()
    (False, True)
    >>> health.eject()
    >>> health.ejected
    True
    >>> clock.advance_ms(2_000)
    >>> health.ejected, health.share
    (False, 0.1)
    """

    __slots__ = (
        "_clock",
        "_eject_ms",
        "_ejected_until_ms",
        "_failures",
        "_parameters",
        "_ramp_from_ms",
    )

    def __init__(self, *, clock: Clock, parameters: HealthParameters):
        self._clock = clock
        self._parameters = parameters
        self._failures = 0
        self._eject_ms = parameters.eject_ms
        self._ejected_until_ms = 0.0
        self._ramp_from_ms = -parameters.ramp_ms

    @property
    def ejected(self) -> bool:
        """Whether the target is kept out for now."""
        return self._clock.now_ms() < self._ejected_until_ms

    @property
    def share(self) -> float:
        """Share of its full weight that the target gets, at most 1."""
        elapsed_ms = self._clock.now_ms() - self._ramp_from_ms
        least = self._parameters.ramp_least
        return min(1.0, least + (1.0 - least) * elapsed_ms / self._parameters.ramp_ms)

    def note_ok(self) -> None:
        """Take a success."""
        self._failures = 0
        if self.share >= 1.0:
            self._eject_ms = self._parameters.eject_ms

    def note_failure(self) -> bool:
        """Take a failure; return whether there are enough in a row to eject."""
        self._failures += 1
        return self._failures >= self._parameters.failures

    def eject(self) -> None:
        """Keep the target out, then let it return by degrees."""
        now_ms = self._clock.now_ms()
        self._ejected_until_ms = now_ms + self._eject_ms
        self._ramp_from_ms = self._ejected_until_ms
        self._eject_ms = min(2 * self._eject_ms, self._parameters.eject_most_ms)
        # A target that returns is out again at its first failure.
        self._failures = self._parameters.failures - 1

    def note_returned(self) -> None:
        """Begin a slow start, because the target was replaced."""
        self._failures = 0
        self._ejected_until_ms = 0.0
        self._ramp_from_ms = self._clock.now_ms()
