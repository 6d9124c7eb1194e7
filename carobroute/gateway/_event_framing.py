"""Event streams, cut into whole events without a change to their bytes."""

import re

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_ID = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")


class EventCutter:
    """Holds back the bytes of an event until it is whole.

    Examples
    --------
    >>> cutter = EventCutter()
    >>> cutter.feed(b"id: 7\\ndata: a\\n\\nid: 8\\nda")
    b'id: 7\\ndata: a\\n\\n'
    >>> cutter.last_id, cutter.rest
    ('7', b'id: 8\\nda')
    """

    __slots__ = ("_buffer", "last_id")

    def __init__(self) -> None:
        self._buffer = b""
        self.last_id = ""

    @property
    def rest(self) -> bytes:
        """Bytes of an event that is not whole."""
        return self._buffer

    def feed(self, data: bytes) -> bytes:
        """Take `data`, and return the bytes of the events that are whole now."""
        buffer = self._buffer + data if self._buffer else data
        if buffer.endswith(b"\n\n"):
            end = len(buffer)
        else:
            end = 0
            for match in _EVENT_END.finditer(buffer):
                end = match.end()
        whole, self._buffer = buffer[:end], buffer[end:]
        ids = _EVENT_ID.findall(whole)
        if ids:
            self.last_id = ids[-1].decode("latin-1")
        return whole

    def drop_rest(self) -> None:
        """Forget an event that broke off."""
        self._buffer = b""
