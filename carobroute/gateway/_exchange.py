"""One caller's request, from its headers to the last byte of its answer."""

import asyncio
import enum
from collections.abc import Coroutine
from typing import Any

import aiohttp
import msgspec
from aiohttp import web
from multidict import CIMultiDict
from returns.result import Failure, Result, Success

from carobroute.engines import WatchedResponse, end_to_end
from carobroute.errors import ErrorKind, Fault, fail
from carobroute.gateway._answers import refuse
from carobroute.gateway._configuration import RoutingTable, choose_service
from carobroute.gateway._dispatch import Demand, Grant
from carobroute.gateway._events import EventCutter
from carobroute.gateway._records import CallRecord
from carobroute.gateway._services import GatewayServices
from carobroute.gateway._suspects import fingerprint
from carobroute.gateway._targets import Target
from carobroute.platform import (
    AnswerHead,
    CallHead,
    call_headers,
    decode_answer,
    decode_call,
    is_own_header,
)
from carobroute.world import Route, ServiceProfile

MS_PER_S = 1_000
MISDIRECTED_STATUS = 421
UNREADY_RETRY_MS = 500.0
MOST_URGENCY = 9
# A caller that has not read an event by then has gone silent.
WRITE_TIMEOUT_MS = 5_000.0


# Time between two looks at a rank that has not answered.
STUCK_CHECK_MS = 200.0

Sending = Result[WatchedResponse, Fault]

# Faults of an attempt that say nothing of the target.
OWN_FAULTS = frozenset({ErrorKind.STORE_UNAVAILABLE, ErrorKind.LEAVING})


class AttemptEnd(enum.StrEnum):
    """How one sending of a call to a target ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Attempt(msgspec.Struct, frozen=True, kw_only=True):
    """One sending of a call to a target.

    Parameters
    ----------
    end : AttemptEnd
        How it ended.
    response : web.StreamResponse or None
        The caller's answer: whole for `ANSWERED`, the target's error for `FAILED`.
    fault : Fault or None
        What went wrong.
    """

    end: AttemptEnd
    response: web.StreamResponse | None = None
    fault: Fault | None = None


class CallerLostError(Exception):
    """The caller does not take the answer any more."""


class Exchange:
    """Answers one request.

    Parameters
    ----------
    services : GatewayServices
        What all exchanges share.
    request : web.Request
        The caller's request.
    """

    __slots__ = (
        "_body",
        "_caller_priority",
        "_cutter",
        "_event_ms",
        "_excluded",
        "_expires_ms",
        "_fingerprint",
        "_head",
        "_keyed",
        "_may_have_run",
        "_out",
        "_record",
        "_request",
        "_route",
        "_sent",
        "_services",
        "_table",
        "_target_service",
    )

    _route: Route
    _table: RoutingTable
    _target_service: ServiceProfile

    def __init__(self, *, services: GatewayServices, request: web.Request):
        self._services = services
        self._request = request
        self._head: CallHead = decode_call(request.headers)
        self._record = CallRecord(
            clock=services.clock, request_id=self._head.request_id
        )
        self._body = b""
        self._caller_priority: int | None = None
        self._keyed = False
        self._fingerprint = ""
        self._sent = 0
        self._may_have_run = False
        self._excluded: set[str] = set()
        self._expires_ms = float("inf")
        self._cutter = EventCutter()
        # When this attempt last had an event; 0 before its first.
        self._event_ms = 0.0
        self._out: web.StreamResponse | None = None

    async def answer(self) -> web.StreamResponse:
        """Serve the request, and return the answer that was or will be sent."""
        outcome = "cancelled"
        status = 499
        try:
            response, outcome = await self._serve()
            status = response.status
        finally:
            self._services.recorder.ended(self._record, status=status, outcome=outcome)
        if self._services.closes_connections and not response.prepared:
            response.force_close()
        return response

    async def _serve(self) -> tuple[web.StreamResponse, str]:
        ready = await self._prepare()
        if isinstance(ready, Failure):
            return self._refuse(ready.failure())
        try:
            async with asyncio.timeout(self._left_ms / MS_PER_S):
                return await self._run()
        except TimeoutError:
            return self._give_up()
        except CallerLostError as error:
            fault = Fault(kind=ErrorKind.CANCELLED, detail=str(error))
            return self._break_off(fault)

    # What the request asks for, and whether it may.

    async def _prepare(self) -> Result[None, Fault]:
        table = self._services.configuration.table
        if table is None:
            return fail(
                ErrorKind.STORE_UNAVAILABLE,
                "no configuration is known yet",
                retry_after_ms=UNREADY_RETRY_MS,
            )
        self._table = table
        authorized = self._authorize(table)
        if isinstance(authorized, Failure):
            return authorized
        service = table.find_service(choose_service(self._route, self._services.random))
        if service is None:
            detail = f"route {self._route.name!r} names an unknown service"
            return fail(ErrorKind.NO_TARGET, detail, retry_after_ms=UNREADY_RETRY_MS)
        self._target_service = service
        self._record.service = service.name
        self._set_expiry()
        read = await self._read_body(table.bounds.body_bytes)
        if isinstance(read, Failure):
            return read
        self._services.retries.note_call(service.name)
        self._fingerprint = fingerprint(
            self._route.host, self._request.raw_path, self._record.team, self._body
        )
        if self._services.suspects.refuses(self._fingerprint):
            return fail(
                ErrorKind.NO_TARGET,
                f"request {self._fingerprint} was in flight at crashes of targets",
                retry_after_ms=self._left_ms,
            )
        return Success(None)

    def _authorize(self, table: RoutingTable) -> Result[None, Fault]:
        host = self._request.headers.get("Host", "").rpartition(":")
        name = (host[0] if host[1] and host[2].isdigit() else "".join(host)).lower()
        route = table.find_route(name, self._request.raw_path)
        if route is None:
            detail = f"no route in configuration {table.version}"
            return fail(ErrorKind.UNKNOWN_SERVICE, detail)
        self._route = route
        self._record.route = route.name
        if route.anonymous or not table.needs_keys:
            return Success(None)
        self._keyed = True
        caller = table.find_caller(self._head.key)
        if not self._services.configuration.keys_proved:
            return Failure(self._stale_proof())
        if caller is None:
            detail = f"the key is not in configuration {table.version}"
            return fail(ErrorKind.UNAUTHENTICATED, detail)
        self._record.team = caller.team
        self._caller_priority = caller.priority
        return Success(None)

    def _stale_proof(self) -> Fault:
        configuration = self._services.configuration
        return Fault(
            kind=ErrorKind.STORE_UNAVAILABLE,
            detail=(
                f"the configuration was last proved {configuration.proof_age_ms:.0f} ms"
                f" ago, expected below {configuration.proof_limit_ms:.0f} ms"
            ),
            retry_after_ms=UNREADY_RETRY_MS,
        )

    def _set_expiry(self) -> None:
        left_ms = self._route.timeout_ms
        if self._head.patience_ms is not None:
            left_ms = min(left_ms, self._head.patience_ms)
        self._expires_ms = self._record.received_ms + left_ms

    async def _read_body(self, most_bytes: int) -> Result[None, Fault]:
        pieces, size = [], 0
        try:
            async with asyncio.timeout(max(0.0, self._left_ms) / MS_PER_S):
                async for piece in self._request.content.iter_any():
                    size += len(piece)
                    if size > most_bytes:
                        detail = f"the body is larger than {most_bytes} bytes"
                        return fail(ErrorKind.TOO_LARGE, detail)
                    pieces.append(piece)
        except TimeoutError:
            return fail(ErrorKind.BAD_REQUEST, "the body did not arrive in time")
        except web.RequestPayloadError as error:
            return fail(ErrorKind.BAD_REQUEST, f"the body cannot be read: {error}")
        self._body = b"".join(pieces)
        return Success(None)

    @property
    def _left_ms(self) -> float:
        return self._expires_ms - self._services.clock.now_ms()

    # Attempts.

    async def _run(self) -> tuple[web.StreamResponse, str]:
        kept: web.StreamResponse | None = None
        while True:
            granted = await self._acquire()
            if isinstance(granted, Failure):
                if self._out is not None:
                    return self._break_off(granted.failure())
                if kept is not None:
                    return kept, "target_error"
                return self._refuse(granted.failure())
            grant = granted.unwrap()
            attempt = await self._attempt(grant)
            if attempt.end is AttemptEnd.ANSWERED:
                assert attempt.response is not None
                return attempt.response, "done"
            kept = attempt.response or kept
            if not self._may_repeat(attempt):
                return self._fail(attempt, kept)

    async def _acquire(self) -> Result[Grant, Fault]:
        demand = Demand(
            request_id=self._record.request_id,
            service=self._target_service,
            rank=self._rank,
            latency_target_ms=self._route.latency_target_ms,
            left_ms=self._left_ms - self._services.parameters.least_left_ms,
            excluded=frozenset(self._excluded),
            begun=self._may_have_run,
        )
        granted = await self._services.dispatcher.acquire(demand)
        if isinstance(granted, Success):
            grant = granted.unwrap()
            self._services.recorder.waited(self._target_service.name, grant.waited_ms)
            self._record.note(
                "target_chosen",
                target=grant.target.name,
                load=round(grant.load, 1),
                usable=grant.usable,
                listed=grant.listed,
                waited_ms=round(grant.waited_ms, 1),
                list_age_ms=round(grant.list_age_ms),
                configuration=self._table.version,
                proof_age_ms=round(self._services.configuration.proof_age_ms),
            )
        return granted

    @property
    def _rank(self) -> int:
        if self._caller_priority is not None:
            return self._caller_priority
        return self._route.priority

    async def _attempt(self, grant: Grant) -> Attempt:
        attempt: Attempt | None = None
        ran_before, self._may_have_run = self._may_have_run, True
        pace = self._services.paces.of(grant.target.group)
        pace.note_begin()
        try:
            attempt = await self._send(grant)
        finally:
            pace.note_end()
            self._services.dispatcher.release(grant)
            self._note_attempt(grant, attempt)
        if attempt.end in (AttemptEnd.NOT_SENT, AttemptEnd.NOT_RUN):
            self._may_have_run = ran_before
        return attempt

    def _note_attempt(self, grant: Grant, attempt: Attempt | None) -> None:
        target = grant.target
        end = attempt.end.value if attempt else "cancelled"
        self._services.recorder.attempted(self._target_service.name, end)
        if attempt is None:
            return
        fault = attempt.fault
        self._record.note(
            "attempt_ended",
            target=target.name,
            outcome=end,
            fault=fault.kind.value if fault else "",
            detail=fault.detail if fault else "",
            last_event=self._cutter.last_id,
        )
        if attempt.end is AttemptEnd.ANSWERED:
            target.health.note_ok()
            self._services.suspects.cleared(self._fingerprint)
            return
        if attempt.end is not AttemptEnd.NOT_SENT:
            self._sent += 1
        self._excluded.add(target.name)
        if attempt.end is AttemptEnd.UNKNOWN:
            self._services.suspects.broke_off(self._fingerprint, target.name)
        blameless = attempt.end is AttemptEnd.NOT_RUN or (
            fault is not None and fault.kind in OWN_FAULTS
        )
        if not blameless and target.health.note_failure():
            target.health.eject()

    async def _send(self, grant: Grant) -> Attempt:
        target = grant.target
        transport = await self._services.pool.transport(target)
        headers = self._headers(target.name)
        sent = await self._unless_stuck(
            target,
            transport.send(
                self._request.method,
                self._request.raw_path,
                headers=headers,
                body=self._body,
                first_byte_ms=self._first_byte_ms(target),
                fresh=not self._route.repeatable,
                guard=lambda: self._objection(grant),
            ),
        )
        if isinstance(sent, Failure):
            fault = sent.failure()
            not_sent = fault.not_run
            end = AttemptEnd.NOT_SENT if not_sent else AttemptEnd.UNKNOWN
            return Attempt(end=end, fault=fault)
        response = sent.unwrap()
        try:
            return await self._judge(grant, response)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            detail = f"the answer of {target.name} broke off: {error!r}"
            fault = Fault(kind=ErrorKind.TARGET_FAILED, detail=detail)
            return Attempt(end=AttemptEnd.UNKNOWN, fault=fault)
        finally:
            # Closes a connection whose answer has not come to its end, which cancels
            # the target's work; one that has is back in its pool.
            response.close()

    def _headers(self, incarnation: str) -> CIMultiDict[str]:
        headers = end_to_end(self._request.headers)
        for name in list(headers):
            if is_own_header(name):
                headers.popall(name, None)
        headers["Host"] = self._request.headers.get("Host", "")
        added = call_headers(
            deadline_ms=self._left_ms,
            incarnation=incarnation,
            team=self._record.team,
            last_event=self._cutter.last_id,
            urgency=min(MOST_URGENCY, self._rank),
        )
        for name, value in added:
            headers[name] = value
        return headers

    def _objection(self, grant: Grant) -> Fault | None:
        """Return why the call must not leave any more, right before it would."""
        target = grant.target
        if self._keyed and not self._services.configuration.keys_proved:
            return self._stale_proof()
        if not target.usable:
            detail = f"target {target.name} is leaving"
            return Fault(kind=ErrorKind.LEAVING, detail=detail)
        return None

    @property
    def _may_move(self) -> bool:
        """Whether the call may go on at another target, even if it has run."""
        return self._route.repeatable and self._sent + 1 < self._route.max_attempts

    def _first_byte_ms(self, target: Target) -> float:
        """Return how long to wait for the first byte while a repeat is possible."""
        left_ms = max(1.0, self._left_ms)
        if not self._may_move or (self._route.streaming and target.entry.group):
            return left_ms
        parameters = self._services.parameters
        if self._route.streaming:
            return min(left_ms, parameters.first_event_ms)
        return left_ms * parameters.answer_ms_share

    def _is_stuck(self, target: Target, since_ms: float) -> bool:
        """Return whether a rank is silent while its group makes passes.

        A rank that has no free slot is not stuck, nor one whose whole group stands
        still: another rank would not be quicker.
        """
        stuck_ms = self._services.parameters.stuck_ms
        now_ms = self._services.clock.now_ms()
        if now_ms - max(since_ms, target.event_ms) < stuck_ms:
            return False
        return self._services.paces.of(target.group).silent_ms < stuck_ms / 2

    async def _unless_stuck(
        self, target: Target, sending: Coroutine[Any, Any, Sending]
    ) -> Sending:
        """Wait for the first byte, unless the rank is found to be stuck."""
        if not (self._may_move and self._route.streaming and target.entry.group):
            return await sending
        since_ms = self._services.clock.now_ms()
        task = asyncio.ensure_future(sending)
        try:
            while not task.done():
                await asyncio.wait({task}, timeout=STUCK_CHECK_MS / MS_PER_S)
                if not task.done() and self._is_stuck(target, since_ms):
                    detail = f"{target.name} is silent while its group goes on"
                    return fail(ErrorKind.PEER_LOST, detail)
            return task.result()
        finally:
            task.cancel()

    # Answers.

    async def _judge(self, grant: Grant, response: WatchedResponse) -> Attempt:
        head = decode_answer(response.headers)
        if head.load is not None:
            grant.target.note_reading(head.load)
        spoiled = self._spoiled(head, response)
        if spoiled:
            fault = Fault(kind=ErrorKind.TARGET_FAILED, detail=spoiled)
            return Attempt(end=AttemptEnd.UNKNOWN, fault=fault)
        if response.status == MISDIRECTED_STATUS or head.not_run:
            return self._not_run(grant, response)
        if self._route.streaming and response.status < 300:
            return await self._stream(grant, response)
        return await self._whole(grant, response)

    def _spoiled(self, head: AnswerHead, response: WatchedResponse) -> str:
        if head.not_run or response.status == MISDIRECTED_STATUS:
            return ""
        if head.request_id != self._head.request_id:
            return f"the answer belongs to request {head.request_id!r}"
        if not head.sealed:
            return f"an answer with status {response.status} is no target's own"
        if head.encoded:
            return "the answer was re-coded on its way"
        return ""

    def _not_run(self, grant: Grant, response: WatchedResponse) -> Attempt:
        target = grant.target
        if response.status == MISDIRECTED_STATUS:
            target.gone = True
        elif target.entry.group:
            self._services.dispatcher.gate(target).note_refused()
        detail = f"target {target.name} answered {response.status}: not run"
        expected_ms = self._services.dispatcher.expected_wait_ms(target.entry.service)
        fault = Fault(
            kind=ErrorKind.OVERLOADED, detail=detail, retry_after_ms=expected_ms
        )
        return Attempt(end=AttemptEnd.NOT_RUN, fault=fault)

    async def _whole(self, grant: Grant, response: WatchedResponse) -> Attempt:
        body = await response.read()
        response.check_end()
        self._services.recorder.first_byte(self._record)
        self._services.dispatcher.gate(grant.target).note_event()
        answer = web.Response(
            status=response.status, body=body, headers=end_to_end(response.headers)
        )
        if response.status < 500:
            return Attempt(end=AttemptEnd.ANSWERED, response=answer)
        fault = Fault(kind=ErrorKind.TARGET_FAILED, detail=f"status {response.status}")
        return Attempt(end=AttemptEnd.FAILED, response=answer, fault=fault)

    async def _stream(self, grant: Grant, response: WatchedResponse) -> Attempt:
        self._cutter.drop_rest()
        watch = asyncio.create_task(self._close_if_stuck(grant.target, response))
        try:
            await self._pass_on(grant.target, response)
        finally:
            watch.cancel()
        response.check_end()
        if self._cutter.rest:
            await self._write(self._cutter.rest, response)
        out = self._out or await self._begin(response)
        await out.write_eof()
        return Attempt(end=AttemptEnd.ANSWERED, response=out)

    async def _pass_on(self, target: Target, response: WatchedResponse) -> None:
        """Pass whole events on as they come, to the end of the answer."""
        pace = self._services.paces.of(target.group)
        gate = self._services.dispatcher.gate(target)
        self._event_ms = 0.0
        while data := await response.content.readany():
            events = self._cutter.feed(data)
            if not events:
                continue
            now_ms = self._services.clock.now_ms()
            if self._event_ms:
                pace.note_event(now_ms - self._event_ms)
                self._record.note_gap(now_ms - self._event_ms)
            else:
                pace.note_first()
            self._event_ms = target.event_ms = now_ms
            gate.note_event()
            await self._write(events, response)

    async def _close_if_stuck(self, target: Target, response: WatchedResponse) -> None:
        """Break off a stream that is silent while others of its group go on.

        Each pass makes an event of every stream, so its connection or its rank is
        lost, and it goes on at another rank.
        """
        clock, stuck_ms = self._services.clock, self._services.parameters.stuck_ms
        pace = self._services.paces.of(target.group)
        while self._may_move and target.entry.group:
            await clock.sleep_ms(STUCK_CHECK_MS)
            silent_ms = clock.now_ms() - self._event_ms if self._event_ms else 0.0
            if silent_ms > stuck_ms and pace.silent_ms < stuck_ms / 2:
                self._record.note("stream_stuck", silent_ms=round(silent_ms))
                response.close()
                return

    async def _begin(self, response: WatchedResponse) -> web.StreamResponse:
        out = web.StreamResponse(
            status=response.status, headers=end_to_end(response.headers)
        )
        if self._services.closes_connections:
            out.force_close()
        self._out = out
        self._services.recorder.first_byte(self._record)
        await out.prepare(self._request)
        return out

    async def _write(self, data: bytes, response: WatchedResponse) -> None:
        out = self._out or await self._begin(response)
        transport = self._request.transport
        try:
            if transport is not None and not transport.get_write_buffer_size():
                await out.write(data)
                return
            async with asyncio.timeout(WRITE_TIMEOUT_MS / MS_PER_S):
                await out.write(data)
        except (ConnectionError, TimeoutError) as error:
            raise CallerLostError(f"the caller takes no more: {error!r}") from error

    # Ends.

    def _may_repeat(self, attempt: Attempt) -> bool:
        unsent = attempt.end is AttemptEnd.NOT_SENT
        harmless = unsent or attempt.end is AttemptEnd.NOT_RUN
        if not (harmless or self._route.repeatable):
            return self._note_repeat(False, "outcome_unknown")
        if self._out is not None and not self._route.resumable:
            return self._note_repeat(False, "stream_begun")
        if self._sent >= self._route.max_attempts:
            return self._note_repeat(False, "attempts")
        if self._left_ms < self._services.parameters.least_left_ms:
            return self._note_repeat(False, "deadline")
        if attempt.fault and attempt.fault.kind is ErrorKind.STORE_UNAVAILABLE:
            return self._note_repeat(False, "proof")
        if not unsent and not self._services.retries.take(self._target_service.name):
            return self._note_repeat(False, "budget")
        return self._note_repeat(True, attempt.end.value)

    def _note_repeat(self, allowed: bool, reason: str) -> bool:
        window = self._services.retries
        self._record.note(
            "repeat_decided",
            repeat=allowed,
            reason=reason,
            sent=self._sent,
            allowance=round(window.allowed(self._target_service.name), 1),
        )
        return allowed

    def _fail(
        self, attempt: Attempt, kept: web.StreamResponse | None
    ) -> tuple[web.StreamResponse, str]:
        fault = attempt.fault or Fault(
            kind=ErrorKind.TARGET_FAILED, detail="the target failed"
        )
        if self._out is not None:
            return self._break_off(fault)
        if kept is not None:
            return kept, "target_error"
        if attempt.end is AttemptEnd.NOT_SENT and fault.retry_after_ms <= 0:
            fault = msgspec.structs.replace(fault, retry_after_ms=UNREADY_RETRY_MS)
        return self._refuse(fault)

    def _give_up(self) -> tuple[web.StreamResponse, str]:
        if self._out is not None:
            fault = Fault(kind=ErrorKind.TIMEOUT, detail="the time for it has passed")
            return self._break_off(fault)
        kind = ErrorKind.TIMEOUT if self._may_have_run else ErrorKind.DEADLINE
        return self._refuse(Fault(kind=kind, detail="no answer in time"))

    def _refuse(self, fault: Fault) -> tuple[web.StreamResponse, str]:
        if self._may_have_run and fault.not_run:
            # An earlier attempt may have run, whatever became of this one.
            detail = f"an earlier attempt may have run; since then: {fault.detail}"
            fault = Fault(kind=ErrorKind.TARGET_FAILED, detail=detail)
        self._record.note("call_refused", kind=fault.kind.value, detail=fault.detail)
        return refuse(fault, self._head.request_id), fault.kind.value

    def _break_off(self, fault: Fault) -> tuple[web.StreamResponse, str]:
        """End a begun answer so that it cannot pass for a whole one."""
        self._record.note("stream_cut", kind=fault.kind.value, detail=fault.detail)
        if self._request.transport is not None:
            self._request.transport.abort()
        return self._out or refuse(fault, self._head.request_id), fault.kind.value
