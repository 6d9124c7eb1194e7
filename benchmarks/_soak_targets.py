"""Targets of the gateway soak, which spoil their answers, and what they have run."""

import asyncio
import socket
import struct
from collections import Counter
from collections.abc import Awaitable, Callable

from carobroute.testing.scripted_target import ScriptedTarget, TargetCall

EVENTS = 8
EVENT_GAP_S = 0.01
WORK_S = 0.01

Spoil = Callable[["SoakTarget", TargetCall], Awaitable[None]]
SPOILED_ANSWERS: dict[str, Spoil] = {}


def event(number: int, request_id: str) -> bytes:
    """Return an event of a request's stream."""
    return b"id: %d\ndata: %s %d\n\n" % (number, request_id.encode(), number)


class TargetRecord:
    """How often targets have begun to run each request."""

    def __init__(self) -> None:
        self.runs: Counter[str] = Counter()


class SoakTarget:
    """Target whose answers can be spoiled.

    Parameters
    ----------
    name, service : str
        Incarnation and service of the target.
    record : TargetRecord
        What all targets have run.
    """

    def __init__(self, *, name: str, service: str, record: TargetRecord):
        self.name = name
        self.service = service
        self.spoil: Spoil | None = None
        self._record = record
        self._target = ScriptedTarget(self._answer)
        # Last refusal or answer of each connection, to be sent once more.
        self.last: dict[asyncio.StreamWriter, TargetCall] = {}

    async def start(self) -> str:
        """Listen, and return the address."""
        return await self._target.start()

    async def stop(self) -> None:
        """Stop listening."""
        await self._target.stop()

    def note_run(self, call: TargetCall) -> None:
        """Record that a request has begun to run."""
        self._record.runs[call.headers["request-id"]] += 1

    async def _answer(self, call: TargetCall) -> None:
        if self.spoil is not None:
            await self.spoil(self, call)
        else:
            await self.answer_whole(call)
        self.last[call.writer] = call

    async def answer_whole(self, call: TargetCall) -> None:
        """Run the request, and answer it completely."""
        self.note_run(call)
        if self.service == "model":
            await self.stream(call, "chunks", EVENTS)
            await call.end_stream()
            return
        await asyncio.sleep(WORK_S)
        await call.answer(body=call.headers["request-id"].encode())

    async def stream(self, call: TargetCall, framing: str, end: int) -> None:
        """Begin a stream, and send its events up to a number."""
        request_id = call.headers["request-id"]
        begin = int(call.headers.get("last-event-id", "-1")) + 1
        fields = {
            "Request-Id": request_id,
            "Server-Seal": "seal",
            "Content-Type": "text/event-stream",
        }
        if framing == "chunks":
            fields["Transfer-Encoding"] = "chunked"
        elif framing == "length":
            events = (event(number, request_id) for number in range(begin, EVENTS))
            fields["Content-Length"] = str(sum(map(len, events)))
        await call.begin(200, fields)
        for number in range(begin, end):
            data = event(number, request_id)
            if framing == "chunks":
                await call.send(data)
            else:
                call.writer.write(data)
                await call.writer.drain()
            await asyncio.sleep(EVENT_GAP_S)


def _reset(call: TargetCall) -> None:
    connection = call.writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    call.writer.transport.abort()


def _register_cuts() -> None:
    """Register a cut in each framing, before, between and inside events."""
    for framing in ("length", "chunks", "none"):
        for events in (0, 3):
            for has_part in (False, True):
                for way in ("close", "reset"):
                    place = f"{'in' if has_part else 'before'} {events}"
                    SPOILED_ANSWERS[f"cut {framing} {place} {way}"] = _make_cut(
                        framing, events, has_part, way
                    )


def _make_cut(framing: str, events: int, has_part: bool, way: str) -> Spoil:
    async def cut(target: SoakTarget, call: TargetCall) -> None:
        target.note_run(call)
        if target.service == "model":
            begin = int(call.headers.get("last-event-id", "-1")) + 1
            await target.stream(call, framing, min(EVENTS, begin + events))
            if has_part:
                part = event(events, call.headers["request-id"])[:7]
                if framing == "chunks":
                    await call.send(part)
                else:
                    call.writer.write(part)
                    await call.writer.drain()
        else:
            fields = {"Request-Id": call.headers["request-id"], "Server-Seal": "seal"}
            if framing == "length":
                fields["Content-Length"] = "99"
            elif framing == "chunks":
                fields["Transfer-Encoding"] = "chunked"
            await call.begin(200, fields)
        if way == "reset":
            await asyncio.sleep(EVENT_GAP_S)
            _reset(call)
        else:
            call.disconnect()

    return cut


_register_cuts()


def _spoiled_answer(name: str) -> Callable[[Spoil], Spoil]:
    def register(spoil: Spoil) -> Spoil:
        SPOILED_ANSWERS[name] = spoil
        return spoil

    return register


@_spoiled_answer("half a head")
async def _half_a_head(target: SoakTarget, call: TargetCall) -> None:
    target.note_run(call)
    call.writer.write(b"HTTP/1.1 200 OK\r\nServer-Seal: seal\r\nContent-Le")
    await call.writer.drain()
    call.disconnect()


@_spoiled_answer("whole without framing")
async def _without_framing(target: SoakTarget, call: TargetCall) -> None:
    target.note_run(call)
    if target.service == "model":
        await target.stream(call, "none", EVENTS)
    else:
        fields = {"Request-Id": call.headers["request-id"], "Server-Seal": "seal"}
        await call.begin(200, fields)
        call.writer.write(call.headers["request-id"].encode())
        await call.writer.drain()
    call.disconnect()


@_spoiled_answer("answer repeated")
async def _repeat_answer(target: SoakTarget, call: TargetCall) -> None:
    last = target.last.get(call.writer)
    if last is not None:
        await last.answer(body=last.headers["request-id"].encode())
    await target.answer_whole(call)


@_spoiled_answer("refusal repeated")
async def _repeat_refusal(target: SoakTarget, call: TargetCall) -> None:
    last = target.last.get(call.writer)
    refused = last or call
    fields = {"Not-Run": "1", "Content-Length": "0"}
    fields["Request-Id"] = refused.headers["request-id"]
    await call.begin(503, fields)
    if last is not None:
        await target.answer_whole(call)


@_spoiled_answer("refusal of another request")
async def _refuse_another(target: SoakTarget, call: TargetCall) -> None:
    target.note_run(call)
    fields = {"Not-Run": "1", "Content-Length": "0", "Request-Id": "r-other"}
    await call.begin(503, fields)


@_spoiled_answer("error to a resumption")
async def _error_to_resumption(target: SoakTarget, call: TargetCall) -> None:
    if "last-event-id" in call.headers:
        await call.answer(404, b"no such event")
        return
    await SPOILED_ANSWERS["cut chunks before 3 close"](target, call)


@_spoiled_answer("resumption from the beginning")
async def _resume_from_beginning(target: SoakTarget, call: TargetCall) -> None:
    if call.headers.pop("last-event-id", None) is None:
        await SPOILED_ANSWERS["cut chunks in 3 reset"](target, call)
    else:
        await target.answer_whole(call)


@_spoiled_answer("pause")
async def _ask_for_pause(target: SoakTarget, call: TargetCall) -> None:
    await call.answer(503, b"", Not_Run="1", Retry_After="0.5")


@_spoiled_answer("error")
async def _fail(target: SoakTarget, call: TargetCall) -> None:
    target.note_run(call)
    await call.answer(500, b"failed")
