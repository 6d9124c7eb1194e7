"""Targets whose answers never end."""

import asyncio

from carobroute.testing.scripted_target import TargetCall


class EndlessTarget:
    """Script that sends a beginning, and then the same piece until it is stopped.

    Parameters
    ----------
    beginning : bytes
        What it sends first, with the request's id for `%s`.
    piece : bytes
        What it sends again and again.
    max_bytes : int, default=1073741824
        Size after which it closes the connection, lest a reader without bounds fill
        the machine's memory.
    """

    def __init__(self, beginning: bytes, piece: bytes, *, max_bytes: int = 1 << 30):
        self._beginning = beginning
        self._piece = piece
        self._max_bytes = max_bytes
        self.sent_bytes = 0
        self.has_ended = False

    async def __call__(self, call: TargetCall) -> None:
        """Answer one request."""
        request_id = call.headers.get("request-id", "").encode()
        call.writer.write(self._beginning.replace(b"%s", request_id))
        try:
            while self.sent_bytes < self._max_bytes:
                call.writer.write(self._piece)
                self.sent_bytes += len(self._piece)
                await call.writer.drain()
                await asyncio.sleep(0)
        except (ConnectionError, OSError):
            pass
        finally:
            self.has_ended = True
            call.disconnect()
