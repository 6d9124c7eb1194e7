"""What a gateway knows of the ends of one target's streams."""

from carobroute.engines import Framing
from carobroute.utils import Clock

# Ends of a target's streams without a length or chunks, proven complete one after the
# other, after which further ones may be taken for complete.
MIN_PROVEN_ENDS = 6
# Time after which a stream that a target broke off is in the past, even if none of its
# ends could be confirmed.
DOUBT_MS = 10_000.0


class StreamEndHistory:
    """Framing of a target's streams, and proofs of their ends by other answers.

    A target that has broken off a stream in order is doubted for a time, or until
    `MIN_PROVEN_ENDS` of its ends have been confirmed.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Examples
    --------
    >>> from carobroute.utils import ManualClock
    >>> history = StreamEndHistory(clock=ManualClock())
    >>> history.note_proof(found_events=True)
    >>> history.is_doubted
    True
    >>> for _ in range(MIN_PROVEN_ENDS):
    ...     history.note_proof(found_events=False)
    >>> history.is_proven, history.is_doubted
    (True, False)
    """

    __slots__ = (
        "_clock",
        "_doubted_ends",
        "_doubted_until_ms",
        "_proven_count",
        "framing",
    )

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._proven_count = 0
        # Ends to be confirmed until the target is not doubted any more.
        self._doubted_ends = 0
        self._doubted_until_ms = 0.0
        # Framing of the last stream; None before the first.
        self.framing: Framing | None = None

    @property
    def is_proven(self) -> bool:
        """Whether its last streams without a framing were proven complete."""
        return self._proven_count >= MIN_PROVEN_ENDS

    @property
    def is_doubted(self) -> bool:
        """Whether it has broken off a stream in order, of late."""
        return self._doubted_ends > 0 and self._clock.now_ms() < self._doubted_until_ms

    def note_proof(self, *, found_events: bool) -> None:
        """Note that a further answer has shown whether a stream was complete.

        Parameters
        ----------
        found_events : bool
            Whether the answer brought events, so that the stream had broken off.
        """
        if found_events:
            self._proven_count = 0
            self._doubted_ends = MIN_PROVEN_ENDS
            self._doubted_until_ms = self._clock.now_ms() + DOUBT_MS
            return
        self._proven_count += 1
        self.note_confirmation()

    def note_confirmation(self) -> None:
        """Note that one of its streams is complete by all that is known of its end."""
        self._doubted_ends = max(0, self._doubted_ends - 1)
