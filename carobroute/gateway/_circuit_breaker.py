"""Whether a rank group takes calls, as its ranks' own answers show."""

from carobroute.utils import Clock

# Refusals in a row, without an event between, that show a group to be down. A rank
# whose queue is full refuses as well, but others have events meanwhile.
REFUSALS_DOWN = 3
# While a group is down, one call in this time is let through to see whether it is back.
PROBE_MS = 250.0
# A rank that crashed is back after some seconds, and its group forms anew.
FIRST_OUTAGE_MS = 4_000.0
LEAST_RETRY_MS = 400.0
SMOOTHING = 0.5


class GroupGate:
    """Keeps calls from a group that is down, and learns how long that takes.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Examples
    --------
    >>> from carobroute.utils import ManualClock
    >>> clock = ManualClock()
    >>> gate = GroupGate(clock=clock)
    >>> for _ in range(3):
    ...     gate.note_refused()
    >>> gate.is_down, gate.admits(), gate.admits()
    (True, True, False)
    >>> clock.advance_ms(3_000)
    >>> gate.retry_after_ms
    1000.0
    >>> gate.note_event()
    >>> gate.is_down, gate.admits()
    (False, True)
    """

    __slots__ = ("_clock", "_down_ms", "_outage_ms", "_probe_ms", "_refusals")

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._refusals = 0
        self._down_ms: float | None = None
        self._probe_ms = 0.0
        self._outage_ms = FIRST_OUTAGE_MS

    @property
    def is_down(self) -> bool:
        """Whether the group is held to take no calls."""
        return self._down_ms is not None

    @property
    def retry_after_ms(self) -> float:
        """Time after which the group is expected to be back."""
        if self._down_ms is None:
            return 0.0
        left_ms = self._down_ms + self._outage_ms - self._clock.now_ms()
        return max(LEAST_RETRY_MS, left_ms)

    def admits(self) -> bool:
        """Return whether a call may be sent; while down, one now and then may."""
        if self._down_ms is None:
            return True
        now_ms = self._clock.now_ms()
        if now_ms < self._probe_ms:
            return False
        self._probe_ms = now_ms + PROBE_MS
        return True

    def note_refused(self) -> None:
        """Take a rank's word that it did not run a call."""
        self._refusals += 1
        if self._refusals >= REFUSALS_DOWN:
            self.note_down()

    def note_down(self) -> None:
        """Take the news that the group takes no calls."""
        if self._down_ms is None:
            self._down_ms = self._clock.now_ms()
            self._probe_ms = 0.0

    def note_event(self) -> None:
        """Take an event of any of the group's streams."""
        self._refusals = 0
        if self._down_ms is not None:
            took_ms = self._clock.now_ms() - self._down_ms
            self._outage_ms += SMOOTHING * (took_ms - self._outage_ms)
            self._down_ms = None
