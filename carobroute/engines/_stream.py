"""An event stream that survives its connections."""

import asyncio
from collections.abc import AsyncIterator
from typing import Protocol

import aiohttp
import msgspec
from returns.result import Failure, Result

from carobroute.engines._events import EventSplitter, is_done
from carobroute.engines._interface import EngineCall, EngineParameters
from carobroute.engines._watched import WatchedResponse
from carobroute.errors import ErrorKind, Fault, FaultError

MS_PER_S = 1_000


class ReconnectingEngine(Protocol):
    """Engine that opens further connections for a call."""

    @property
    def silence_ms(self) -> float:
        """Time without a byte after which a connection counts as silent."""

    async def connect(self, call: EngineCall) -> Result[WatchedResponse, Fault]:
        """Open a connection on which the call is answered."""


class ResumingStream:
    """The events of one answer, over as many connections as it takes.

    Parameters
    ----------
    engine : ReconnectingEngine
        Opens further connections.
    call : EngineCall
        The call that is answered.
    response : WatchedResponse
        The first connection's response.
    parameters : EngineParameters
        Times and bounds.
    """

    __slots__ = ("_call", "_closed", "_count", "_engine", "_parameters", "_response")

    def __init__(
        self,
        *,
        engine: ReconnectingEngine,
        call: EngineCall,
        response: WatchedResponse,
        parameters: EngineParameters,
    ):
        self._engine = engine
        self._call = call
        self._response = response
        self._parameters = parameters
        self._count = call.resume_from
        self._closed = False

    async def events(self) -> AsyncIterator[bytes]:
        """Yield whole events, each once and in order, to the end of the stream.

        Raises
        ------
        FaultError
            If the stream broke off and could not be resumed.
        """
        resumes_left = self._parameters.resumes
        try:
            while True:
                finished = False
                async for event in self._one_connection():
                    self._count += 1
                    finished = is_done(event)
                    yield event
                if finished or self._closed:
                    return
                if resumes_left == 0:
                    raise self._broken("too many connections were lost")
                resumes_left -= 1
                await self._reconnect()
        finally:
            self._response.close()

    async def close(self) -> None:
        """Drop the connection, which cancels the engine's work."""
        self._closed = True
        self._response.close()

    async def _one_connection(self) -> AsyncIterator[bytes]:
        splitter = EventSplitter(max_event_bytes=self._parameters.max_event_bytes)
        while True:
            try:
                async with asyncio.timeout(self._engine.silence_ms / MS_PER_S):
                    data = await self._response.content.readany()
            except (aiohttp.ClientError, TimeoutError, OSError):
                return
            if not data:
                return
            for event in splitter.feed(data):
                yield event

    async def _reconnect(self) -> None:
        self._response.close()
        call = msgspec.structs.replace(
            self._call,
            resume_from=self._count,
            deadline_ms=self._engine.silence_ms + self._parameters.connect_ms,
        )
        sent = await self._engine.connect(call)
        if isinstance(sent, Failure):
            raise self._broken(sent.failure().detail)
        self._response = sent.unwrap()

    def _broken(self, why: str) -> FaultError:
        return FaultError(
            Fault(
                kind=ErrorKind.STREAM_BROKEN,
                detail=f"the stream broke off after {self._count} events: {why}",
            )
        )
