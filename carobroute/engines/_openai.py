"""Adapter to a model engine with OpenAI-shaped calls."""

from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

from carobroute.engines._http import HttpTransport, end_to_end
from carobroute.engines._interface import (
    CacheEvents,
    Engine,
    EngineAnswer,
    EngineCall,
    EngineLoad,
    EngineOrder,
    EngineParameters,
    KvHandle,
    default_clock,
    engine_adapters,
)
from carobroute.engines._plain import FENCE_HEADER, read_pieces
from carobroute.engines._stream import ResumingStream
from carobroute.engines._watched import Framing, WatchedResponse
from carobroute.errors import ErrorKind, Fault, fail
from carobroute.utils import Clock, decode_foreign

PRIORITY_HEADER = "X-Priority"
REQUEST_ID_HEADER = "X-Request-Id"
RESUME_HEADER = "X-Resume-From"
KV_HEADER = "X-Kv-Handle"
EVENT_STREAM = "text/event-stream"

T = TypeVar("T")


@engine_adapters.register("openai")
class OpenAiEngine(Engine):
    """Calls a model engine, and keeps a stream whole when its connection is lost.

    Parameters
    ----------
    address : str
        Base URL of the engine.
    clock : Clock, default=None
        Source of time.
    parameters : EngineParameters, default=None
        Times and bounds.

    Notes
    -----
    The engine echoes the resume header when it continues a stream. Without the echo
    the answer is a second beginning, which is never spliced on to the first.
    """

    __slots__ = ("_clock", "_parameters", "_step_ms", "_transport")

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
        self._step_ms = 0.0

    @property
    def can_resume(self) -> bool:
        """Whether an interrupted stream can be continued."""
        return True

    @property
    def silence_ms(self) -> float:
        """Time without a byte after which a stream's connection counts as silent."""
        return max(
            self._parameters.silence_least_ms,
            self._parameters.silence_steps * self._step_ms,
        )

    async def start(self) -> None:
        """Open the sessions."""
        await self._transport.start()

    async def stop(self) -> None:
        """Close the sessions."""
        await self._transport.stop()

    async def open(self, call: EngineCall) -> Result[EngineAnswer, Fault]:
        """Send `call` and return the answer once it has begun."""
        sent = await self.connect(call)
        if isinstance(sent, Failure):
            return sent
        response = sent.unwrap()
        if not _is_stream(response):

            async def close() -> None:
                response.close()

            return Success(
                EngineAnswer(
                    status=response.status,
                    headers=dict(end_to_end(response.headers)),
                    chunks=read_pieces(response),
                    streaming=False,
                    close=close,
                    shows_end=response.framing is not Framing.CONNECTION,
                )
            )
        stream = ResumingStream(
            engine=self, call=call, response=response, parameters=self._parameters
        )
        return Success(
            EngineAnswer(
                status=response.status,
                headers=dict(end_to_end(response.headers)),
                chunks=stream.events(),
                streaming=True,
                close=stream.close,
            )
        )

    async def resume(
        self, call: EngineCall, chunks_sent: int
    ) -> Result[EngineAnswer, Fault]:
        """Continue the answer to `call` after the first `chunks_sent` chunks."""
        return await self.open(msgspec.structs.replace(call, resume_from=chunks_sent))

    async def connect(self, call: EngineCall) -> Result[WatchedResponse, Fault]:
        """Send `call` on a new connection and check that a resumption is one."""
        headers = dict(end_to_end(call.headers))
        headers[PRIORITY_HEADER] = str(call.priority)
        headers[REQUEST_ID_HEADER] = call.request_id
        if call.resume_from:
            headers[RESUME_HEADER] = str(call.resume_from)
        if call.resume_state:
            headers[KV_HEADER] = call.resume_state.decode("ascii")
        sent = await self._transport.send(
            call.method,
            call.path,
            headers=headers,
            body=call.body,
            first_byte_ms=call.deadline_ms or self._parameters.first_byte_ms,
            new_connection=True,
        )
        if isinstance(sent, Failure) or not call.resume_from:
            return sent
        response = sent.unwrap()
        echoed = response.headers.get(RESUME_HEADER)
        if response.status == 200 and echoed == str(call.resume_from):
            return sent
        response.close()
        return fail(
            ErrorKind.STREAM_BROKEN,
            f"the engine did not resume at chunk {call.resume_from}: it answered"
            f" {response.status} with {RESUME_HEADER}={echoed!r}",
        )

    async def refuses_connections(self) -> bool:
        """Return whether no process listens at the engine's address."""
        return await self._transport.refuses_connections()

    async def probe(self) -> Result[None, Fault]:
        """Tell on a new connection whether the engine answers."""
        answer = await self.load()
        return answer.map(lambda _: None)

    async def cancel(self, request_id: str) -> Result[None, Fault]:
        """Stop the call's work, even where its connection is lost."""
        answer = await self._transport.side_call("POST", f"/cancel/{request_id}")
        return answer.map(lambda _: None)

    async def load(self) -> Result[EngineLoad, Fault]:
        """Return the engine's latest load report."""
        answer = await self._transport.side_call("GET", "/load")
        report = _decoded(answer, EngineLoad)
        if isinstance(report, Success):
            self._step_ms = report.unwrap().step_ms
        return report

    async def cache_events(self, after: int) -> Result[CacheEvents, Fault]:
        """Return the cache events after sequence number `after`."""
        answer = await self._transport.side_call("GET", f"/events?after={after}")
        return _decoded(answer, CacheEvents)

    async def export_kv(self, request_id: str) -> Result[KvHandle, Fault]:
        """Stop a running stream and return its state."""
        answer = await self._transport.side_call("POST", f"/kv/export/{request_id}")
        return _decoded(answer, KvHandle)

    async def import_kv(self, handle: KvHandle) -> Result[None, Fault]:
        """Take over the state of a stream that another engine exported."""
        answer = await self._transport.side_call(
            "POST", "/kv/import", body=msgspec.json.encode(handle)
        )
        return answer.map(lambda _: None)

    async def order(self, order: EngineOrder) -> Result[None, Fault]:
        """Have the engine carry out a fenced order."""
        answer = await self._transport.side_call(
            "POST",
            "/orders",
            headers={FENCE_HEADER: str(order.fence)},
            body=msgspec.json.encode(order),
        )
        return answer.map(lambda _: None)


def _is_stream(response: WatchedResponse) -> bool:
    return response.status == 200 and response.content_type == EVENT_STREAM


def _decoded(answer: Result[bytes, Fault], kind: type[T]) -> Result[T, Fault]:
    if isinstance(answer, Failure):
        return answer
    return decode_foreign(
        lambda data: msgspec.json.decode(data, type=kind),
        answer.unwrap(),
        kind=ErrorKind.TARGET_FAILED,
        what=kind.__name__,
    )
