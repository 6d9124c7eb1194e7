"""Framing of server-sent events, without a change to their bytes."""

import re
import zlib
from array import array

# A line ends with CRLF, LF or CR. A CR at the end of the data after a CRLF is part of
# another CRLF, the rest of which has not arrived.
_EVENT_END = re.compile(rb"\n\r?\n|\r\n\r?\n|\r\r")
MAX_EVENT_END_BYTES = 4
# Fields of lines. The name comes before the condition that it begins the line, since a
# search is fast for what begins with fixed bytes. The line ending before it may come
# before the place where a search begins.
_EVENT_DATA = re.compile(rb"data(?<![^\r\n]data)")
_EVENT_ID = re.compile(rb"id:(?<![^\r\n]id:) ?([^\r\n]*)")
_LINE_ENDS = (b"\n", b"\r")
# Identifiers of a stream that are known besides its first one, if they are no numbers.
# A stream keeps up to twice as many, of 4 bytes each: 20 MB for 5,000 long streams.
KNOWN_ID_COUNT = 512
# A line that is neither blank nor a comment.
_FIELD_LINE = re.compile(rb"(?:\A|[\r\n])[^:\r\n]")


def count_events(events: bytes) -> int:
    """Return the number of complete events.

    Examples
    --------
    >>> count_events(b"id: 1\\ndata: a\\n\\nid: 2\\ndata: b\\n\\n")
    2
    """
    return events.count(b"\n\n") + events.count(b"\r\n\r\n")


class EventFramer:
    """Splits a byte stream into complete events, and buffers a partial one.

    Examples
    --------
    >>> framer = EventFramer()
    >>> framer.feed(b"id: 7\\ndata: a\\n\\nid: 8\\nda")
    b'id: 7\\ndata: a\\n\\n'
    >>> framer.last_event_id, framer.partial_event, framer.has_event
    ('7', b'id: 8\\nda', True)
    >>> framer.can_resume, framer.has_begun_event
    (True, True)
    >>> framer.feed(b"ta: b\\r\\n\\r")
    b''
    >>> framer.feed(b"\\nid: 9\\rdata: c\\r\\r")
    b'id: 8\\ndata: b\\r\\n\\r\\nid: 9\\rdata: c\\r\\r'
    >>> framer.last_event
    b'id: 9\\rdata: c\\r\\r'
    >>> framer.feed(b": a comment\\n")
    b''
    >>> framer.has_begun_event, framer.has_begun_line
    (False, False)

    A resumption must not begin with an event that was relayed:

    >>> framer = EventFramer()
    >>> _ = framer.feed(b"id: a\\ndata: 1\\n\\nid: b\\ndata: 2\\n\\n")
    >>> framer.begin_stream()
    >>> _ = framer.feed(b"id: a\\ndata: 1\\n\\n")
    >>> framer.repeats_events
    True
    """

    __slots__ = (
        "_buffer",
        "_can_resume",
        "_first_id_digest",
        "_has_event",
        "_identified_events",
        "_known_id_digests",
        "_last_id_offset",
        "_repeats_events",
        "_resumed_id",
        "last_event_id",
    )

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._can_resume = True
        self._has_event = False
        # The last data that has an identifier.
        self._identified_events = b""
        self._last_id_offset = 0
        # Digests of relayed identifiers: of the first one, and of the last ones that
        # are no numbers, which have no order.
        self._first_id_digest: int | None = None
        self._known_id_digests = array("I")
        self._repeats_events = False
        # Event after which the current stream should go on, until its first one.
        self._resumed_id = ""
        self.last_event_id = ""

    @property
    def partial_event(self) -> bytes:
        """Bytes behind the last complete event."""
        return bytes(self._buffer)

    @property
    def partial_size(self) -> int:
        """Number of bytes behind the last complete event."""
        return len(self._buffer)

    @property
    def has_begun_event(self) -> bool:
        """Whether those bytes have a field, and are not comments and blank lines."""
        return _FIELD_LINE.search(self._buffer) is not None

    @property
    def has_begun_line(self) -> bool:
        """Whether those bytes end inside a line."""
        return bool(self._buffer) and not self._buffer.endswith(_LINE_ENDS)

    @property
    def has_event(self) -> bool:
        """Whether the current stream has had an event, and not comments alone."""
        return self._has_event

    @property
    def identified_events(self) -> bytes:
        """Events that were completed at once, the last ones with an identifier."""
        return self._identified_events

    @property
    def last_event(self) -> bytes:
        """Bytes of the last event with an identifier, and of all after it."""
        return self._identified_events[self._last_event_offset :]

    @property
    def events_before_last(self) -> bytes:
        """Those of `identified_events` that come before `last_event`."""
        return self._identified_events[: self._last_event_offset]

    @property
    def _last_event_offset(self) -> int:
        events, offset = self._identified_events, 0
        for match in _EVENT_END.finditer(events, 0, self._last_id_offset):
            offset = match.end()
        return offset

    @property
    def can_resume(self) -> bool:
        """Whether another stream can go on after the last event, by its identifier."""
        return self._can_resume

    @property
    def repeats_events(self) -> bool:
        """Whether the current stream began with an event of the one before."""
        return self._repeats_events

    def feed(self, data: bytes) -> bytes:
        """Add `data`, and return the bytes of all events that it completes."""
        events = self._take_events(data)
        if not events:
            return b""
        if not self._has_event and _EVENT_DATA.search(events):
            self._has_event = True
        ids = list(_EVENT_ID.finditer(events))
        if ids:
            self._note_identifiers(events, ids)
        elif _EVENT_DATA.search(events):
            self._can_resume = False
        return events

    def _take_events(self, data: bytes) -> bytes:
        """Add `data` to the partial event, and remove complete events from there.

        The partial event has no event end, so one that `data` completes has at most
        its first bytes there. Only these are searched again, which keeps the work for
        an event proportional to its size if it comes in many reads.
        """
        buffer = self._buffer
        if not buffer:
            end = _find_last_end(data, 0)
            buffer += data[end:]
            return data[:end]
        start = max(0, len(buffer) - (MAX_EVENT_END_BYTES - 1))
        buffer += data
        end = _find_last_end(buffer, start)
        events = bytes(buffer[:end])
        del buffer[:end]
        return events

    def _note_identifiers(self, events: bytes, ids: list[re.Match[bytes]]) -> None:
        if self._resumed_id:
            self._repeats_events = self._was_relayed(ids[0][1])
            self._resumed_id = ""
            if self._repeats_events:
                # None of them is relayed, so another stream goes on where it would.
                return
        self._note_known(ids)
        self.last_event_id = ids[-1][1].decode("latin-1")
        self._identified_events = events
        self._last_id_offset = ids[-1].start(1)
        end = _EVENT_END.search(events, ids[-1].end())
        self._can_resume = end is None or not _EVENT_DATA.search(events, end.end())

    def _was_relayed(self, event_id: bytes) -> bool:
        """Return whether the stream that is resumed had an event, as far as is known.

        Numbers are taken to rise from event to event.
        """
        last_id = self._resumed_id.encode("latin-1")
        if event_id.isdigit() and last_id.isdigit():
            return _number_key(event_id) <= _number_key(last_id)
        digest = zlib.crc32(event_id)
        return (
            event_id == last_id
            or digest == self._first_id_digest
            or digest in self._known_id_digests
        )

    def _note_known(self, ids: list[re.Match[bytes]]) -> None:
        if self._first_id_digest is None:
            self._first_id_digest = zlib.crc32(ids[0][1])
        known = self._known_id_digests
        for match in ids:
            if not match[1].isdigit():
                known.append(zlib.crc32(match[1]))
        if len(known) >= 2 * KNOWN_ID_COUNT:
            del known[:-KNOWN_ID_COUNT]

    def begin_stream(self) -> None:
        """Begin with another stream, and discard the bytes of an incomplete event."""
        self._buffer.clear()
        self._has_event = False
        self._repeats_events = False
        self._resumed_id = self.last_event_id


def _find_last_end(data: bytes | bytearray, start: int) -> int:
    """Return where the last event that ends behind `start` ends; 0 for none."""
    if data.endswith(b"\n\n"):
        return len(data)
    end = 0
    for match in _EVENT_END.finditer(data, start):
        end = match.end()
    return end


def _number_key(digits: bytes) -> tuple[int, bytes]:
    """Return what sorts like a decimal number, of which `int` bounds the length."""
    significant = digits.lstrip(b"0")
    return len(significant), significant
