"""Request bodies that leave at most once, and not after their time."""

from collections.abc import Callable

from aiohttp import payload
from aiohttp.abc import AbstractStreamWriter

from carobroute.errors import ErrorKind, Fault, FaultError

Guard = Callable[[], Fault | None]


class OnceBody(payload.BytesPayload):
    """Body whose first byte is the first byte of the request to leave.

    The HTTP client holds the request's head back until the body is written, so no
    byte has left while `started` is False. Between the guard and the first write
    there is no await. A second write is refused: the client would otherwise repeat
    some methods by itself when a connection ends without an answer.

    Parameters
    ----------
    value : bytes
        The body.
    guard : callable
        Returns why the request must not leave any more, or None.
    """

    def __init__(self, value: bytes, *, guard: Guard):
        super().__init__(value)
        self._guard = guard
        self._is_withdrawn = False
        self.started = False
        self.refusal: Fault | None = None

    def withdraw(self) -> None:
        """Refuse every later write."""
        self._is_withdrawn = True

    async def write(self, writer: AbstractStreamWriter) -> None:
        """Write the body if it may still leave."""
        await self.write_with_length(writer, None)

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Write the body if it may still leave."""
        if self.started or self._is_withdrawn:
            raise FaultError(
                Fault(
                    kind=ErrorKind.TARGET_FAILED,
                    detail="the request has left or was withdrawn; it is not sent",
                )
            )
        self.refusal = self._guard()
        if self.refusal is not None:
            raise FaultError(self.refusal)
        self.started = True
        await super().write_with_length(writer, content_length)
