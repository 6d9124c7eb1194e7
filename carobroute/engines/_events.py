"""Splitting of an event stream into whole events."""

from carobroute.errors import ErrorKind, Fault, FaultError

DONE_EVENT = b"data: [DONE]"


class EventSplitter:
    """Cuts the bytes of an event stream into whole events.

    Comment lines, with which some servers keep a connection alive, are dropped: they
    are no part of the answer and would shift the offsets.

    Parameters
    ----------
    max_event_bytes : int
        Largest event accepted.

    Examples
    --------
    >>> splitter = EventSplitter(max_event_bytes=100)
    >>> splitter.feed(b"data: a\\n\\n: alive\\n\\ndata: ")
    [b'data: a\\n\\n']
    >>> splitter.feed(b"b\\r\\n\\r\\n"), splitter.partial
    ([b'data: b\\n\\n'], False)
    """

    __slots__ = ("_buffer", "_held", "_max_event_bytes")

    def __init__(self, *, max_event_bytes: int):
        self._max_event_bytes = max_event_bytes
        # The partial event, with LF for CRLF.
        self._buffer = bytearray()
        # A CR at the end of the data: a pair of CR and LF may be cut in two.
        self._held = b""

    @property
    def partial(self) -> bool:
        """Whether an event has begun and not ended; comments are none."""
        lines = (self._buffer + self._held).splitlines()
        return any(line[:1] not in (b"", b":") for line in lines)

    def feed(self, data: bytes) -> list[bytes]:
        """Take `data` and return the events that it completes.

        Raises
        ------
        FaultError
            If an event grows beyond the bound.
        """
        data = self._held + data
        self._held = b"\r" if data.endswith(b"\r") else b""
        buffer = self._buffer
        # What was searched before has no event end, but perhaps the LF of one.
        start = max(0, len(buffer) - 1)
        buffer += data[: len(data) - len(self._held)].replace(b"\r\n", b"\n")
        whole: list[bytes] = []
        if buffer.find(b"\n\n", start) >= 0:
            *whole, rest = bytes(buffer).split(b"\n\n")
            buffer[:] = rest
        if len(buffer) + len(self._held) > self._max_event_bytes:
            raise FaultError(
                Fault(
                    kind=ErrorKind.STREAM_BROKEN,
                    detail=f"an event is longer than {self._max_event_bytes} bytes",
                )
            )
        events = []
        for block in whole:
            lines = [ln for ln in block.split(b"\n") if ln and not ln.startswith(b":")]
            if lines:
                events.append(b"\n".join(lines) + b"\n\n")
        return events


def is_done(event: bytes) -> bool:
    """Return whether `event` ends an OpenAI-shaped stream."""
    return event.startswith(DONE_EVENT)
