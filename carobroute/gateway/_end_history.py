"""What a gateway knows of the ends of one target's streams."""

from carobroute.engines import Framing

# Ends of a target's streams without a length or chunks, proven complete one after the
# other, after which further ones may be taken for complete.
MIN_PROVEN_ENDS = 6


class StreamEndHistory:
    """Framing of a target's streams, and proofs of their ends by other answers.

    Examples
    --------
    >>> history = StreamEndHistory()
    >>> for _ in range(MIN_PROVEN_ENDS):
    ...     history.note_proof(found_events=False)
    >>> history.is_proven
    True
    >>> history.note_proof(found_events=True)
    >>> history.is_proven
    False
    >>> history.has_broken_off
    True
    """

    __slots__ = (
        "_has_broken_off",
        "_is_resumption_unframed",
        "_proven_count",
        "framing",
    )

    def __init__(self) -> None:
        self._has_broken_off = False
        self._proven_count = 0
        self._is_resumption_unframed = False
        # Framing of the last stream; None before the first.
        self.framing: Framing | None = None

    @property
    def is_proven(self) -> bool:
        """Whether its last streams without a framing were proven complete."""
        return self._proven_count >= MIN_PROVEN_ENDS

    @property
    def has_broken_off(self) -> bool:
        """Whether a stream that it ended in order was found to lack events."""
        return self._has_broken_off

    @property
    def is_resumption_unframed(self) -> bool:
        """Whether its last resumed stream had neither a length nor chunks."""
        return self._is_resumption_unframed

    def note_framing(self, framing: Framing, *, is_resumption: bool) -> None:
        """Note the framing of a stream, which may be a resumed one."""
        self.framing = framing
        if is_resumption:
            self._is_resumption_unframed = framing is Framing.CONNECTION

    def note_proof(self, *, found_events: bool) -> None:
        """Note that a further answer has shown whether a stream was complete.

        Parameters
        ----------
        found_events : bool
            Whether the answer brought events, so that the stream had broken off.
        """
        self._proven_count = 0 if found_events else self._proven_count + 1
        self._has_broken_off = self._has_broken_off or found_events
