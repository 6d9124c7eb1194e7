"""Adapter to a plain service: HTTP passed through."""

from collections.abc import AsyncIterator

import aiohttp
from returns.result import Failure, Result, Success

from carobroute.domain import CallClass
from carobroute.engines._answer_errors import describe_error
from carobroute.engines._events import EventSplitter
from carobroute.engines._http import PIECE_BYTES, HttpTransport, end_to_end
from carobroute.engines._interface import (
    Engine,
    EngineAnswer,
    EngineCall,
    EngineParameters,
    default_clock,
    engine_adapters,
)
from carobroute.engines._watched import Framing, WatchedResponse
from carobroute.errors import ErrorKind, Fault, FaultError
from carobroute.utils import Clock

EVENT_STREAM_TYPE = "text/event-stream"
FENCE_HEADER = "X-Carobroute-Fence"
REQUEST_HEADER = "X-Carobroute-Request"


@engine_adapters.register("plain")
class PlainEngine(Engine):
    """Passes calls on to a plain HTTP service.

    Parameters
    ----------
    address : str
        Base URL of the service.
    clock : Clock, default=None
        Source of time.
    parameters : EngineParameters, default=None
        Times and bounds.

    Notes
    -----
    A call that may not be repeated goes on a new connection, so that one that went
    silent while it was kept open cannot swallow it.
    """

    __slots__ = ("_clock", "_parameters", "_transport")

    def __init__(
        self,
        *,
        address: str,
        clock: Clock | None = None,
        parameters: EngineParameters | None = None,
    ):
        self._clock = default_clock(clock)
        self._parameters = parameters or EngineParameters()
        self._transport = HttpTransport(address=address, parameters=self._parameters)

    async def start(self) -> None:
        """Open the sessions."""
        await self._transport.start()

    async def stop(self) -> None:
        """Close the sessions."""
        await self._transport.stop()

    async def open(self, call: EngineCall) -> Result[EngineAnswer, Fault]:
        """Send `call` and return the answer once it has begun."""
        headers = dict(end_to_end(call.headers))
        headers[REQUEST_HEADER] = call.request_id
        if call.fence:
            headers[FENCE_HEADER] = str(call.fence)
        sent = await self._transport.send(
            call.method,
            call.path,
            headers=headers,
            body=call.body,
            first_byte_ms=call.deadline_ms or self._parameters.first_byte_ms,
            new_connection=call.call_class is CallClass.NON_IDEMPOTENT,
            find_send_obstacle=call.guard,
        )
        if isinstance(sent, Failure):
            return sent
        response = sent.unwrap()
        shows_end = response.framing is not Framing.CONNECTION
        chunks = read_pieces(response)
        if not shows_end and response.content_type == EVENT_STREAM_TYPE:
            chunks = self._check_events(chunks)

        async def close() -> None:
            response.close()

        return Success(
            EngineAnswer(
                status=response.status,
                headers=dict(end_to_end(response.headers)),
                chunks=chunks,
                streaming=False,
                close=close,
                shows_end=shows_end,
            )
        )

    async def _check_events(self, chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
        """Yield the pieces of an event stream whose framing does not show its end.

        Raises
        ------
        FaultError
            If it ends inside an event.
        """
        splitter = EventSplitter(max_event_bytes=self._parameters.max_event_bytes)
        async for chunk in chunks:
            splitter.feed(chunk)
            yield chunk
        if splitter.partial:
            detail = "the stream ended inside an event"
            raise FaultError(Fault(kind=ErrorKind.STREAM_BROKEN, detail=detail))

    async def refuses_connections(self) -> bool:
        """Return whether no process listens at the service's address."""
        return await self._transport.refuses_connections()

    async def probe(self) -> Result[None, Fault]:
        """Tell on a new connection whether the service answers."""
        sent = await self._transport.send(
            "HEAD",
            "/",
            first_byte_ms=self._parameters.side_call_ms,
            new_connection=True,
        )
        if isinstance(sent, Failure):
            return sent
        sent.unwrap().close()
        return Success(None)


async def read_pieces(response: WatchedResponse) -> AsyncIterator[bytes]:
    """Yield the body of `response` in bounded pieces.

    Raises
    ------
    FaultError
        If the body breaks off or stays silent beyond the read limit.
    """
    try:
        async for piece in response.content.iter_chunked(PIECE_BYTES):
            yield piece
        response.check_end()
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        raise FaultError(
            Fault(
                kind=ErrorKind.STREAM_BROKEN,
                detail=f"the answer's body broke off: {describe_error(error)}",
            )
        ) from error
    finally:
        response.release()
