"""What libraries log, as events."""

import logging

from carobroute.telemetry._events import LEVELS, EventLog


class LibraryLogHandler(logging.Handler):
    """Handler that writes what libraries log as events.

    Without a handler it goes to standard error, and a pipe there that nobody reads
    stops the event loop once it is full. What callers have sent may be in the arguments
    of a message and in the text of an exception, so neither is written.

    Parameters
    ----------
    events : EventLog
        Log of the process.

    Examples
    --------
    >>> import io
    >>> from carobroute.utils import ManualClock
    >>> out = io.StringIO()
    >>> events = EventLog(name="e", stream=out, clock=ManualClock())
    >>> logger = logging.getLogger("library")
    >>> handler = LibraryLogHandler(events=events)
    >>> logger.addHandler(handler)
    >>> logger.warning("cannot read %s", "a caller's text")
    >>> logger.removeHandler(handler)
    >>> out.getvalue()
    'time=1970-01-01T00:00:00.000Z level=warning process=e event=library_logged
    logger=library what="cannot read %s" error=""\\n'
    """

    def __init__(self, *, events: EventLog):
        super().__init__(level=logging.WARNING)
        self._events = events

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record as an event."""
        level = record.levelname.lower()
        error = record.exc_info[0] if record.exc_info else None
        self._events.event(
            "library_logged",
            level=level if level in LEVELS else "error",
            logger=record.name,
            what=str(record.msg).partition("\n")[0],
            error=error.__name__ if error is not None else "",
        )
