"""Targets of the gateway soak, which spoil their answers, and what they have run."""

import asyncio
import random as random_module
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec

from carobroute.domain import ListedTargetState, TargetEntry
from carobroute.testing.gateway_data import make_target_entry
from carobroute.testing.scripted_target import ScriptedTarget, TargetCall

EVENTS = 8
EVENT_GAP_S = 0.01
# Part of the streams that are slow, and the gaps of their events.
SLOW_RATIO = 0.25
MIN_SLOW_GAP_S, MAX_SLOW_GAP_S = 0.05, 0.2
WORK_S = 0.01
# Sizes for callers that read slowly.
LARGE_EVENT_BYTES = 300_000
LARGE_BODY_BYTES = 900_000
LARGE_PATH = "large"

Spoil = Callable[["SoakTarget", TargetCall], Awaitable[None]]


class AnyTarget(Protocol):
    """Target in this process or in one of its own."""

    service: str

    @property
    def incarnation(self) -> str:
        """Name of the running incarnation."""


SPOILED_ANSWERS: dict[str, Spoil] = {}


def event(number: int, request_id: str, *, is_large: bool = False) -> bytes:
    """Return an event of a request's stream."""
    padding = b"." * LARGE_EVENT_BYTES if is_large else b""
    return b"id: %d\ndata: %s %d%s\n\n" % (
        number,
        request_id.encode(),
        number,
        padding,
    )


def plain_body(request_id: str, *, is_large: bool = False) -> bytes:
    """Return the body of a request's plain answer."""
    body = request_id.encode()
    return body.ljust(LARGE_BODY_BYTES, b".") if is_large else body


def data_centre_of(incarnation: str) -> str:
    """Return the data centre of a target: they stand in two by turns.

    Examples
    --------
    >>> data_centre_of("orders-0-3"), data_centre_of("model-1-1")
    ('a', 'b')
    """
    return "ab"[int(incarnation.split("-")[-2]) % 2]


def make_soak_entry(
    target: "AnyTarget", incarnations: int, address: str, *, is_leaving: bool
) -> TargetEntry:
    """Return the entry of an incarnation in the list of targets."""
    state = ListedTargetState.LEAVING if is_leaving else ListedTargetState.READY
    return make_target_entry(
        incarnation=target.incarnation,
        started_ms=incarnations,
        service=target.service,
        slots=8,
        address=address,
        data_centre=data_centre_of(target.incarnation),
        condition=state,
    )


def _is_large(call: TargetCall) -> bool:
    return call.line.split()[1].endswith(LARGE_PATH)


class Framings(msgspec.Struct, frozen=True, kw_only=True):
    """Which whole answers have neither a length nor chunks.

    Parameters
    ----------
    by : str
        Whether this is drawn for each `call`, `attempt` or `target`.
    ratio : float
        Part of them; 1 for all answers.
    """

    by: str = "call"
    ratio: float = 0.0

    def are_unframed(self, target: str, request_id: str) -> bool:
        """Return whether a target's answer to a request ends with the connection."""
        subject = {
            "call": request_id,
            "target": target,
            "attempt": f"{target} {request_id}",
        }[self.by]
        return random_module.Random(subject).random() < self.ratio


class TargetRecord:
    """What targets have seen and done of each request."""

    def __init__(self) -> None:
        # How often targets have begun to run it.
        self.runs: Counter[str] = Counter()
        # Requests that have reached a target.
        self.arrived: set[str] = set()
        # Monotonic time, data centre and request of each arrival at a target that is
        # not a process of its own.
        self.arrivals: list[tuple[float, str, str]] = []
        # Requests whose answer a target has broken off.
        self.broken: set[str] = set()
        # Monotonic time at which a target was last at work on it, in seconds; infinite
        # while one is.
        self.worked_until_s: dict[str, float] = {}

    def note(self, what: str, request_id: str) -> None:
        """Note that a request has `arrived`, `run`, `broken` off or `ended`."""
        if what == "arrived":
            self.arrived.add(request_id)
            self.worked_until_s[request_id] = float("inf")
        elif what == "run":
            self.runs[request_id] += 1
        elif what == "broken":
            self.broken.add(request_id)
        else:
            self.worked_until_s[request_id] = time.monotonic()


class SoakTarget:
    """Target whose answers can be spoiled.

    Parameters
    ----------
    name, service : str
        Name of the target, which its incarnations begin with, and its service.
    record : TargetRecord
        What all targets have seen.
    framings : Framings
        Framings of its whole answers.
    """

    def __init__(
        self, *, name: str, service: str, record: TargetRecord, framings: Framings
    ):
        self.service = service
        self._spoil = ""
        self._name = name
        self._record = record
        self._framings = framings
        self._incarnations = 0
        # One for each incarnation, the running one last. The ports of all stay held, so
        # that no incarnation is reached at the address of an earlier one.
        self._targets: list[ScriptedTarget] = []
        # Last refusal or answer of each connection, to be sent once more.
        self.last: dict[asyncio.StreamWriter, TargetCall] = {}

    @property
    def incarnation(self) -> str:
        """Name of the running incarnation."""
        return f"{self._name}-{self._incarnations}"

    @property
    def address(self) -> str:
        """Where it listens."""
        return self._targets[-1].address

    async def start(self) -> None:
        """Listen at a new address, as a new incarnation."""
        self._incarnations += 1
        self._targets.append(ScriptedTarget(self._answer))
        await self._targets[-1].start()

    async def stop(self) -> None:
        """Stop listening; calls in hand go on."""
        await self._targets[-1].stop()

    async def close(self) -> None:
        """Stop listening, and cut what is open."""
        for target in self._targets:
            await target.close()

    def spoil(self, how: str) -> None:
        """Spoil its answers in a way; none if empty."""
        self._spoil = how

    def entry(self, *, is_leaving: bool = False) -> TargetEntry:
        """Return the entry of the list."""
        return make_soak_entry(
            self, self._incarnations, self.address, is_leaving=is_leaving
        )

    def note_run(self, call: TargetCall) -> None:
        """Record that a request has begun to run."""
        self._record.note("run", call.headers["request-id"])

    def note_broken(self, call: TargetCall) -> None:
        """Record that a request has no whole answer from this target."""
        self._record.note("broken", call.headers["request-id"])

    async def _answer(self, call: TargetCall) -> None:
        request_id = call.headers["request-id"]
        self._record.note("arrived", request_id)
        self._record.arrivals.append(
            (time.monotonic(), data_centre_of(self.incarnation), request_id)
        )
        # What has been written is in the kernel, which a kill does not take away.
        call.writer.transport.set_write_buffer_limits(high=0)
        try:
            if self._spoil:
                await SPOILED_ANSWERS[self._spoil](self, call)
            else:
                await self.answer_whole(call)
        finally:
            self._record.note("ended", request_id)
        self.last[call.writer] = call

    async def answer_whole(self, call: TargetCall) -> None:
        """Run the request, and answer it completely."""
        request_id = call.headers["request-id"]
        is_unframed = self._framings.are_unframed(self.incarnation, request_id)
        await self.answer_in(call, "none" if is_unframed else "chunks")

    async def answer_in(self, call: TargetCall, framing: str) -> None:
        """Run the request, and answer it completely in a framing."""
        self.note_run(call)
        if self.service == "model":
            await self.stream(call, framing, EVENTS)
            if framing == "chunks":
                await call.end_stream()
        else:
            await asyncio.sleep(WORK_S)
            request_id = call.headers["request-id"]
            body = plain_body(request_id, is_large=_is_large(call))
            if framing == "none":
                await call.begin(200, {"Request-Id": request_id, "Server-Seal": "seal"})
                call.writer.write(body)
                await call.writer.drain()
            else:
                await call.answer(body=body)
        if framing == "none":
            call.disconnect()

    async def stream(self, call: TargetCall, framing: str, end: int) -> None:
        """Begin a stream, and send its events up to a number."""
        request_id, is_large = call.headers["request-id"], _is_large(call)
        begin = int(call.headers.get("last-event-id", "-1")) + 1
        fields = {
            "Request-Id": request_id,
            "Server-Seal": "seal",
            "Content-Type": "text/event-stream",
        }
        if framing == "chunks":
            fields["Transfer-Encoding"] = "chunked"
        elif framing == "length":
            events = (
                event(number, request_id, is_large=is_large)
                for number in range(begin, EVENTS)
            )
            fields["Content-Length"] = str(sum(map(len, events)))
        await call.begin(200, fields)
        drawn = random_module.Random(request_id)
        gap_s = EVENT_GAP_S
        if drawn.random() < SLOW_RATIO:
            gap_s = drawn.uniform(MIN_SLOW_GAP_S, MAX_SLOW_GAP_S)
        for number in range(begin, end):
            data = event(number, request_id, is_large=is_large)
            if framing == "chunks":
                await call.send(data)
            else:
                call.writer.write(data)
                await call.writer.drain()
            await asyncio.sleep(gap_s)


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
        target.note_broken(call)
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
            call.reset()
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
    target.note_broken(call)
    call.writer.write(b"HTTP/1.1 200 OK\r\nServer-Seal: seal\r\nContent-Le")
    await call.writer.drain()
    call.disconnect()


@_spoiled_answer("whole without framing")
async def _without_framing(target: SoakTarget, call: TargetCall) -> None:
    await target.answer_in(call, "none")


@_spoiled_answer("answer repeated")
async def _repeat_answer(target: SoakTarget, call: TargetCall) -> None:
    last = target.last.get(call.writer)
    if last is not None:
        target.note_broken(call)
        await last.answer(body=last.headers["request-id"].encode())
    await target.answer_whole(call)


@_spoiled_answer("refusal repeated")
async def _repeat_refusal(target: SoakTarget, call: TargetCall) -> None:
    target.note_broken(call)
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
    target.note_broken(call)
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
