"""How fast a rank group makes its passes, seen from the streams."""

from carobroute.utils import Clock

# Part of the estimate that one pass replaces.
SMOOTHING = 0.25


class GroupPace:
    """Time of a group's passes, from the gaps between events of its streams.

    Every pass makes one event of each stream, so all streams show the same gaps.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "_event_ms", "_pass_ms", "calls")

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._pass_ms = 0.0
        self._event_ms = clock.now_ms()
        # Calls at the group's ranks, with or without an event so far.
        self.calls = 0

    @property
    def pass_ms(self) -> float:
        """Smoothed time of a pass; 0 before there is any."""
        return self._pass_ms

    @property
    def silent_ms(self) -> float:
        """Time without an event while there are calls; 0 without any."""
        return self._clock.now_ms() - self._event_ms if self.calls else 0.0

    def note_begin(self) -> None:
        """Count a call that is sent to one of the group's ranks."""
        if not self.calls:
            self._event_ms = self._clock.now_ms()
        self.calls += 1

    def note_first(self) -> None:
        """Take the first event of a stream."""
        self._event_ms = self._clock.now_ms()

    def note_event(self, gap_ms: float) -> None:
        """Take the time between two events of a stream."""
        self._event_ms = self._clock.now_ms()
        weight = SMOOTHING / max(1, self.calls)
        if not self._pass_ms:
            self._pass_ms = gap_ms
        self._pass_ms += weight * (gap_ms - self._pass_ms)

    def note_end(self) -> None:
        """Count a call that has ended."""
        self.calls -= 1
