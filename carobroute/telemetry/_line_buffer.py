"""Log lines that never hold up the event loop."""

import asyncio
import os
import select
from typing import TextIO, cast

from carobroute.utils import Clock

MAX_BYTES = 256 * 1024
FLUSH_MS = 100.0
MS_PER_S = 1_000


class LineBuffer:
    """Text stream that keeps lines until the reader takes them, up to a bound.

    Parameters
    ----------
    descriptor : int
        File descriptor that lines are written to.
    max_bytes : int, default=262144
        Bytes kept for a reader that does not read; further lines are dropped and
        counted.
    flush_ms : float, default=100.0
        Longest time that a line is kept back to be written with others.
    clock : Clock, default=None
        Source of time.

    Examples
    --------
    >>> reader, writer = os.pipe()
    >>> lines = LineBuffer(descriptor=writer, max_bytes=8)
    >>> lines.write("first\\n"), lines.write("second\\n")
    (6, 0)
    >>> lines.close()
    >>> os.read(reader, 100)
    b'first\\nevent=lines_dropped count=1\\n'
    """

    def __init__(
        self,
        *,
        descriptor: int,
        max_bytes: int = MAX_BYTES,
        flush_ms: float = FLUSH_MS,
        clock: Clock | None = None,
    ):
        self._descriptor = descriptor
        self._max_bytes = max_bytes
        self._flush_ms = flush_ms
        self._clock = clock or Clock()
        self._pending = bytearray()
        self._dropped = 0
        self._dropped_count = 0
        self._is_hasty = False
        self._loop: asyncio.AbstractEventLoop | None = None
        self._timer: asyncio.TimerHandle | None = None
        os.set_blocking(descriptor, False)

    @property
    def dropped_count(self) -> int:
        """Number of lines that were dropped since the start."""
        return self._dropped_count

    def as_stream(self) -> TextIO:
        """Return the buffer as what log writers expect."""
        return cast(TextIO, self)

    def start(self, loop: asyncio.AbstractEventLoop) -> None:
        """Write lines from now on, on the timers of `loop`."""
        self._loop = loop
        self._schedule()

    def write(self, text: str) -> int:
        """Keep `text` to be written; return 0 if there is no room for it."""
        data = text.encode(errors="replace")
        if len(self._pending) + len(data) > self._max_bytes:
            self._dropped += 1
            self._dropped_count += 1
            return 0
        self._pending += data
        if self._is_hasty:
            self._write_pending()
        self._schedule()
        return len(text)

    def flush(self) -> None:
        """Leave the lines to the timer: writing each by itself would cost a call."""

    def hasten(self) -> None:
        """Write each line at once from now on, since the process may be killed."""
        self._is_hasty = True
        self._write_pending()

    def close(self, wait_ms: float = 0.0) -> None:
        """Write what the reader takes, and stop.

        Parameters
        ----------
        wait_ms : float, default=0.0
            Longest time that the process waits for a slow reader, in milliseconds.
        """
        if self._timer is not None:
            self._timer.cancel()
        self._loop = None
        end_ms = self._clock.now_ms() + wait_ms
        self._write_pending()
        poll = select.poll()
        poll.register(self._descriptor, select.POLLOUT)
        while self._pending and (left_ms := end_ms - self._clock.now_ms()) > 0:
            poll.poll(left_ms)
            self._write_pending()

    def _schedule(self) -> None:
        if self._loop is None or self._timer is not None or not self._pending:
            return
        self._timer = self._loop.call_later(self._flush_ms / MS_PER_S, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._write_pending()
        self._schedule()

    def _write_pending(self) -> None:
        if self._dropped:
            self._pending += f"event=lines_dropped count={self._dropped}\n".encode()
            self._dropped = 0
        try:
            while self._pending:
                written = os.write(self._descriptor, self._pending)
                del self._pending[:written]
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more, so there is nobody to tell.
            self._pending.clear()
