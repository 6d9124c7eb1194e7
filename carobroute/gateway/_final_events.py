"""Lines that tell the last event of a service's streams from all others."""

# Complete streams in a row, with the same lines in their last events, after which these
# show the end of a stream.
MIN_FINAL_EVENTS = 6
# The same, after which an end without them is taken for an early one.
MIN_CERTAIN_EVENTS = 3 * MIN_FINAL_EVENTS


class FinalEventLines:
    """Learns which lines only the last events of a service's streams have.

    Some services end their streams with a fixed event, or at a fixed number of events.
    Lines count if they were in the last events of all complete streams of late, and in
    no earlier event. A whole stream may still end elsewhere, so more streams have to
    end with them until that speaks against an end, and twice as many after each end
    without them.

    Examples
    --------
    >>> lines = FinalEventLines()
    >>> for number in range(MIN_FINAL_EVENTS):
    ...     lines.note_passed(b"id: 1\\ndata: a\\n\\n")
    ...     lines.note_final(b"id: %d\\ndata: [DONE]\\n\\n" % number)
    >>> lines.is_known
    True
    >>> lines.is_final(b"id: 9\\ndata: [DONE]\\n\\n"), lines.is_final(b"data: b\\n\\n")
    (True, False)
    >>> lines.note_passed(b"id: 8\\ndata: [DONE]\\n\\n")
    >>> lines.is_known
    False
    """

    __slots__ = ("_certain_count", "_count", "_lines")

    def __init__(self) -> None:
        self._lines: frozenset[bytes] = frozenset()
        # Complete streams in a row that ended with these lines, and number of them from
        # which on an end without the lines is taken for an early one.
        self._count = 0
        self._certain_count = MIN_CERTAIN_EVENTS

    @property
    def is_known(self) -> bool:
        """Whether the last event can be told from the others."""
        return self._count >= MIN_FINAL_EVENTS

    @property
    def is_certain(self) -> bool:
        """Whether a stream that ends without these lines has ended early."""
        return self._count >= self._certain_count

    def is_final(self, event: bytes) -> bool:
        """Return whether an event is known to be the last one of its stream."""
        return self.is_known and self._lines.issubset(event.splitlines())

    def note_passed(self, events: bytes) -> None:
        """Note events that were not the last ones of their stream."""
        if not self._lines:
            return
        self._lines -= frozenset(events.splitlines())
        if not self._lines:
            self._count = 0

    def note_exception(self) -> None:
        """Note an end without the lines that may be that of a whole stream."""
        if self.is_certain:
            self._certain_count *= 2
        self._count = 0

    def note_final(self, event: bytes) -> None:
        """Note the last event of a stream that is complete."""
        lines = frozenset(line for line in event.splitlines() if line)
        if not lines:
            return
        common = self._lines & lines
        if not common and self._count:
            self.note_exception()
        self._count += 1
        self._lines = common or lines
