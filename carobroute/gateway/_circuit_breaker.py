"""Circuit breaker of a rank group, driven by the answers of its ranks."""

from carobroute.utils import Clock

# Consecutive refusals, without an event in between, after which a group counts as
# down. A rank with a full queue refuses too, but then other ranks still have events.
DOWN_AFTER_REFUSALS = 3
# While a group is down, one call per interval is let through as a probe.
PROBE_INTERVAL_MS = 250.0
# A crashed rank restarts within seconds, and then its group has to form again.
INITIAL_OUTAGE_MS = 4_000.0
MIN_EXPECTED_RECOVERY_MS = 400.0
SMOOTHING = 0.5


class GroupCircuitBreaker:
    """Blocks calls to a group that is down, and estimates the length of its outages.

    While the group is down, one call per `PROBE_INTERVAL_MS` passes as a probe. An
    event from any rank ends the outage, whose length updates the estimate.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Examples
    --------
    >>> from carobroute.utils import ManualClock
    >>> clock = ManualClock()
    >>> breaker = GroupCircuitBreaker(clock=clock)
    >>> for _ in range(3):
    ...     breaker.note_refusal()
    >>> breaker.is_down, breaker.admit_call(), breaker.admit_call()
    (True, True, False)
    >>> clock.advance_ms(3_000)
    >>> breaker.retry_after_ms
    1000.0
    >>> breaker.note_event()
    >>> breaker.is_down, breaker.admit_call()
    (False, True)
    """

    __slots__ = (
        "_clock",
        "_down_since_ms",
        "_mean_outage_ms",
        "_next_probe_ms",
        "_refusals",
    )

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._refusals = 0
        self._down_since_ms: float | None = None
        self._next_probe_ms = 0.0
        self._mean_outage_ms = INITIAL_OUTAGE_MS

    @property
    def is_down(self) -> bool:
        """Whether the group counts as down."""
        return self._down_since_ms is not None

    @property
    def retry_after_ms(self) -> float:
        """Expected time until the group takes calls again; 0 unless it is down."""
        if self._down_since_ms is None:
            return 0.0
        remaining_ms = self._down_since_ms + self._mean_outage_ms - self._clock.now_ms()
        return max(MIN_EXPECTED_RECOVERY_MS, remaining_ms)

    def admit_call(self) -> bool:
        """Return whether a call may be sent; while down, only probes may."""
        if self._down_since_ms is None:
            return True
        now_ms = self._clock.now_ms()
        if now_ms < self._next_probe_ms:
            return False
        self._next_probe_ms = now_ms + PROBE_INTERVAL_MS
        return True

    def note_refusal(self) -> None:
        """Count an answer in which a rank says that it did not run a call."""
        self._refusals += 1
        if self._refusals >= DOWN_AFTER_REFUSALS:
            self.note_outage()

    def note_outage(self) -> None:
        """Mark the group as down."""
        if self._down_since_ms is None:
            self._down_since_ms = self._clock.now_ms()
            self._next_probe_ms = 0.0

    def note_event(self) -> None:
        """Mark the group as up, because one of its streams had an event."""
        self._refusals = 0
        if self._down_since_ms is not None:
            outage_ms = self._clock.now_ms() - self._down_since_ms
            self._mean_outage_ms += SMOOTHING * (outage_ms - self._mean_outage_ms)
            self._down_since_ms = None
