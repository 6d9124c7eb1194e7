"""Bytes of HTTP messages that bring no content."""

# Bytes that bring neither the end of a head nor content: header lines, trailers, sizes
# and extensions of chunks. Each byte of content allows for more of them, so that the
# smallest chunks may have extensions such as signatures.
MAX_OVERHEAD_BYTES = 256 * 1024
OVERHEAD_PER_CONTENT_BYTE = 128


class OverheadMeter:
    """Weighs the bytes of a message that were parsed against its content.

    Examples
    --------
    >>> meter = OverheadMeter()
    >>> meter.note_parsed(MAX_OVERHEAD_BYTES, content_bytes=0)
    >>> meter.is_exceeded
    False
    >>> meter.note_parsed(1_000, content_bytes=20)
    >>> meter.is_exceeded
    False
    >>> meter.note_parsed(3_000, content_bytes=20)
    >>> meter.is_exceeded
    True
    """

    __slots__ = ("_content_bytes", "_overhead_bytes")

    def __init__(self) -> None:
        self.reset()

    @property
    def is_exceeded(self) -> bool:
        """Whether more has come than the content allows for."""
        return self._overhead_bytes > MAX_OVERHEAD_BYTES

    def reset(self) -> None:
        """Begin with another message."""
        self._content_bytes = 0
        self._overhead_bytes = 0

    def note_parsed(self, size: int, *, content_bytes: int) -> None:
        """Add bytes that were parsed.

        Parameters
        ----------
        size : int
            Number of bytes.
        content_bytes : int
            Content of the message so far.
        """
        new_bytes = content_bytes - self._content_bytes
        self._content_bytes = content_bytes
        allowed_bytes = OVERHEAD_PER_CONTENT_BYTE * new_bytes
        self._overhead_bytes = max(0, self._overhead_bytes + size - allowed_bytes)
