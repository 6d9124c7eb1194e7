"""Passive health checks of a target: ejection after failures, and slow start."""

import msgspec

from carobroute.utils import Clock


class HealthParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Times and limits of ejection and slow start.

    Parameters
    ----------
    failure_threshold : int
        Number of consecutive failures at which a target is ejected.
    eject_ms, max_eject_ms : float
        Duration of the first ejection, which doubles with each further one, and its
        upper limit.
    slow_start_ms : float
        Duration of the slow start, at whose end a target has its full share.
    initial_share : float
        Share of its full weight with which a target begins the slow start.
    max_ejected_share : float
        Largest fraction of a service's targets that may be ejected at a time.
    """

    failure_threshold: int = 3
    eject_ms: float = 2_000.0
    max_eject_ms: float = 30_000.0
    slow_start_ms: float = 10_000.0
    initial_share: float = 0.1
    max_ejected_share: float = 0.34


class TargetHealth:
    """Ejection and slow start of one target, driven by the results of its calls.

    Parameters
    ----------
    clock : Clock
        Source of time.
    parameters : HealthParameters
        Times and limits of ejection and slow start.

    Examples
    --------
    >>> from carobroute.utils import ManualClock
    >>> clock = ManualClock()
    >>> parameters = HealthParameters(failure_threshold=2)
    >>> health = TargetHealth(clock=clock, parameters=parameters)
    >>> health.note_failure(), health.note_failure()
    (False, True)
    >>> health.eject()
    >>> health.is_ejected
    True
    >>> clock.advance_ms(2_000)
    >>> health.is_ejected, health.weight_share
    (False, 0.1)
    """

    __slots__ = (
        "_clock",
        "_consecutive_failures",
        "_eject_ms",
        "_ejected_until_ms",
        "_parameters",
        "_slow_start_from_ms",
    )

    def __init__(self, *, clock: Clock, parameters: HealthParameters):
        self._clock = clock
        self._parameters = parameters
        self._consecutive_failures = 0
        self._eject_ms = parameters.eject_ms
        self._ejected_until_ms = 0.0
        self._slow_start_from_ms = -parameters.slow_start_ms

    @property
    def is_ejected(self) -> bool:
        """Whether the target is ejected now."""
        return self._clock.now_ms() < self._ejected_until_ms

    @property
    def weight_share(self) -> float:
        """Fraction of its full weight that the target has now, at most 1."""
        elapsed_ms = self._clock.now_ms() - self._slow_start_from_ms
        initial_share = self._parameters.initial_share
        return min(
            1.0,
            initial_share
            + (1.0 - initial_share) * elapsed_ms / self._parameters.slow_start_ms,
        )

    def note_success(self) -> None:
        """Record a successful call.

        The duration of ejections is reset only after a complete slow start.
        """
        self._consecutive_failures = 0
        if self.weight_share >= 1.0:
            self._eject_ms = self._parameters.eject_ms

    def note_failure(self) -> bool:
        """Record a failed call; return whether the target should be ejected."""
        self._consecutive_failures += 1
        return self._consecutive_failures >= self._parameters.failure_threshold

    def eject(self) -> None:
        """Eject the target; a slow start follows the ejection."""
        now_ms = self._clock.now_ms()
        self._ejected_until_ms = now_ms + self._eject_ms
        self._slow_start_from_ms = self._ejected_until_ms
        self._eject_ms = min(2 * self._eject_ms, self._parameters.max_eject_ms)
        # After its return, a failure before any success ejects the target again.
        self._consecutive_failures = self._parameters.failure_threshold - 1

    def note_replaced(self) -> None:
        """Begin a slow start after the target was replaced."""
        self._consecutive_failures = 0
        self._ejected_until_ms = 0.0
        self._slow_start_from_ms = self._clock.now_ms()
