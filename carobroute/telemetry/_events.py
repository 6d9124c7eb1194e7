"""Events as one line of key=value pairs each, through eliot."""

import json
import sys
from collections.abc import Mapping
from datetime import UTC, datetime
from typing import Any, TextIO

import eliot
import msgspec

from carobroute.utils import Clock

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}
MAX_VALUE_CHARACTERS = 300
MAX_EVENT_NAMES = 1_000
WINDOW_MS = 1_000.0

# Fields that could hold a caller's text or a key; their values never leave.
WITHHELD = frozenset(
    {
        "api_key",
        "authorization",
        "body",
        "data",
        "idempotency_key",
        "key",
        "password",
        "prompt",
        "secret",
        "text",
        "token",
    }
)
_ELIOT_FIELDS = frozenset({"timestamp", "task_uuid", "task_level", "message_type"})
_PLAIN = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_.:/@~*+,;-[]{}()#%"
)


def format_event(fields: Mapping[str, Any]) -> str:
    """Return `fields` as one line of key=value pairs.

    A value is quoted when it holds anything that would make the line ambiguous.

    Examples
    --------
    >>> format_event({"event": "drained", "took_ms": 12.5, "why": 'too "hot"'})
    'event=drained took_ms=12.5 why="too \\\\"hot\\\\""'
    """
    return " ".join(f"{_quote_key(k)}={_quote(k, v)}" for k, v in fields.items())


def _quote_key(key: str) -> str:
    return "".join(c if c.isalnum() or c == "_" else "_" for c in key)


def _quote(key: str, value: Any) -> str:
    if key in WITHHELD:
        return "withheld"
    if isinstance(value, bytes):
        return f"{len(value)}_bytes"
    if value is None or isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if len(text) > MAX_VALUE_CHARACTERS:
        text = text[:MAX_VALUE_CHARACTERS] + "..."
    if text and _PLAIN.issuperset(text):
        return text
    return json.dumps(text, ensure_ascii=not text.isprintable())


class EventLog:
    """Writes events of one process.

    Parameters
    ----------
    name : str
        Name of the process, part of each line.
    incarnation : str, default=""
        Run of the process.
    level : {'debug', 'info', 'warning', 'error'}, default='info'
        Lowest level written.
    most_per_s : float, default=20.0
        Events of one name written a second. The next one written tells how many
        were left out since.
    stream : file or None, default=None
        Where lines go; None for standard error.
    clock : Clock or None, default=None
        Source of time.

    Examples
    --------
    >>> import io
    >>> from carobroute.utils import ManualClock
    >>> out = io.StringIO()
    >>> log = EventLog(name="entry-1", stream=out, clock=ManualClock())
    >>> log.event("ticket_in_force", number=7)
    >>> out.getvalue()
    'time=1970-01-01T00:00:00.000Z level=info process=entry-1
    event=ticket_in_force number=7\\n'
    """

    __slots__ = (
        "_clock",
        "_incarnation",
        "_level",
        "_most_per_s",
        "_name",
        "_stream",
        "_windows",
    )

    def __init__(
        self,
        *,
        name: str,
        incarnation: str = "",
        level: str = "info",
        most_per_s: float = 20.0,
        stream: TextIO | None = None,
        clock: Clock | None = None,
    ):
        self._name = name
        self._incarnation = incarnation
        self._level = level
        self._most_per_s = most_per_s
        self._stream = stream
        self._clock = clock or Clock()
        self._windows: dict[str, _Window] = {}

    def event(self, name: str, /, *, level: str = "info", **fields: Any) -> None:
        """Write the event `name` with `fields`, unless its rate is too high."""
        if LEVELS.get(level, LEVELS["error"]) < LEVELS[self._level]:
            return
        suppressed = self._admit(name)
        if suppressed is None:
            return
        if suppressed:
            fields["left_out"] = suppressed
        self._write(level, name, fields)

    def __call__(self, name: str, /, *, level: str = "info", **fields: Any) -> None:
        """Write an event; the log itself can stand where a callback is expected."""
        self.event(name, level=level, **fields)

    def _admit(self, name: str) -> int | None:
        """Return how many were left out before this event, None to leave it out."""
        now_ms = self._clock.now_ms()
        window = self._windows.get(name)
        if window is None:
            if len(self._windows) >= MAX_EVENT_NAMES:
                self._windows.clear()
            window = self._windows[name] = _Window(start_ms=now_ms)
        if now_ms - window.start_ms >= WINDOW_MS:
            window.start_ms, window.written = now_ms, 0
        if window.written >= self._most_per_s:
            window.left_out += 1
            return None
        window.written += 1
        suppressed, window.left_out = window.left_out, 0
        return suppressed

    def _write(self, level: str, name: str, fields: dict[str, Any]) -> None:
        head = {"time": _timestamp(self._clock.wall_ms()), "level": level}
        head["process"] = self._incarnation or self._name
        writer = _LineWriter(stream=self._stream or sys.stderr, head=head)
        eliot.log_message(name, __eliot_logger__=writer, **fields)


class _LineWriter:
    """eliot logger that writes each message as one line."""

    __slots__ = ("_head", "_stream")

    def __init__(self, *, stream: TextIO, head: dict[str, str]):
        self._stream = stream
        self._head = head

    def write(self, dictionary: Mapping[str, Any], serializer: Any = None) -> None:
        fields = {k: v for k, v in dictionary.items() if k not in _ELIOT_FIELDS}
        event = {"event": dictionary.get("message_type", "")}
        self._stream.write(format_event({**self._head, **event, **fields}) + "\n")
        self._stream.flush()


class _Window(msgspec.Struct):
    start_ms: float
    written: int = 0
    left_out: int = 0


def _timestamp(wall_ms: float) -> str:
    moment = datetime.fromtimestamp(wall_ms / 1_000, tz=UTC)
    return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")
