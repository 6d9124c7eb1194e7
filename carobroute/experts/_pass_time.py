"""Estimate of a rank group's pass time from the events of its streams."""

from carobroute.utils import Clock

# Weight that one pass has in the exponential moving average of the pass time.
PASS_WEIGHT = 0.25
# Gaps below which their mean tells little of the passes.
MIN_GAPS = 4


class PassTimeEstimator:
    """Estimates the time of a group's passes from the gaps between stream events.

    Every pass makes one event of each stream, so all streams show the same gaps.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = (
        "_calls",
        "_clock",
        "_gap_count",
        "_gap_sum_ms",
        "_last_event_ms",
        "_pass_ms",
    )

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._pass_ms = 0.0
        # Sum and number of the gaps since the mean was taken.
        self._gap_sum_ms, self._gap_count = 0.0, 0
        self._last_event_ms = clock.now_ms()
        # Calls in flight at the group's ranks, with or without an event so far.
        self._calls = 0

    @property
    def pass_ms(self) -> float:
        """Smoothed time of a pass; 0 before the first gap is seen."""
        return self._pass_ms

    @property
    def silent_ms(self) -> float:
        """Time since the last event while calls are in flight; 0 without calls."""
        return self._clock.now_ms() - self._last_event_ms if self._calls else 0.0

    def note_call_begin(self) -> None:
        """Count a call that is sent to one of the group's ranks."""
        if not self._calls:
            self._last_event_ms = self._clock.now_ms()
        self._calls += 1

    def note_first_event(self) -> None:
        """Record the first event of a stream, which has no gap before it."""
        self._last_event_ms = self._clock.now_ms()

    def note_event_gap(self, gap_ms: float, *, events: int = 1) -> None:
        """Update the pass time with the gap between two events of a stream.

        Parameters
        ----------
        gap_ms : float
            Time since the event before.
        events : int, default=1
            Events that have arrived together, as they do at a busy process.
        """
        self._last_event_ms = self._clock.now_ms()
        gap_ms /= events
        self._gap_sum_ms += gap_ms * events
        self._gap_count += events
        # A pass gives one gap for each call, so the calls share its weight.
        weight = PASS_WEIGHT / max(1, self._calls)
        if not self._pass_ms:
            self._pass_ms = gap_ms
        self._pass_ms += weight * (gap_ms - self._pass_ms)

    def take_recent_ms(self) -> float | None:
        """Return the mean gap since the last time that it was taken; None if unknown.

        Gaps that are too few to tell are kept for the next time.
        """
        if self._gap_count < MIN_GAPS:
            return None
        mean_ms = self._gap_sum_ms / self._gap_count
        self._gap_sum_ms, self._gap_count = 0.0, 0
        return mean_ms

    def note_call_end(self) -> None:
        """Count down a call that has ended."""
        self._calls -= 1
