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
from carobroute.gateway._call import (
    UNREADY_RETRY_MS,
    Call,
    CallReader,
    stale_proof,
)
from carobroute.gateway._call_records import CallRecord
from carobroute.gateway._context import GatewayContext
from carobroute.gateway._dispatch import DispatchRequest, Grant
from carobroute.gateway._error_responses import refuse
from carobroute.gateway._relay import STUCK_CHECK_MS, CallerLostError, StreamRelay
from carobroute.gateway._targets import Target
from carobroute.platform import (
    AnswerHead,
    call_headers,
    decode_answer,
    decode_call,
    is_own_header,
)

MS_PER_S = 1_000
MISDIRECTED_STATUS = 421
MOST_URGENCY = 9

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


class Exchange:
    """Answers one request.

    Parameters
    ----------
    context : GatewayContext
        What all exchanges share.
    request : web.Request
        The caller's request.
    """

    __slots__ = (
        "_call",
        "_context",
        "_excluded",
        "_may_have_run",
        "_record",
        "_relay",
        "_request",
        "_sent",
    )

    # Set once the request has been read and found to be allowed.
    _call: Call

    def __init__(self, *, context: GatewayContext, request: web.Request):
        self._context = context
        self._request = request
        self._record = CallRecord(clock=context.clock)
        self._relay = StreamRelay(context=context, request=request, record=self._record)
        # Targets that have had the call, and those that are not to have it again.
        self._sent = 0
        self._excluded: set[str] = set()
        self._may_have_run = False

    async def answer(self) -> web.StreamResponse:
        """Serve the request, and return the answer that was or will be sent."""
        outcome = "cancelled"
        status = 499
        try:
            response, outcome = await self._serve()
            status = response.status
        finally:
            self._context.recorder.ended(self._record, status=status, outcome=outcome)
        if self._context.should_close_connections and not response.prepared:
            response.force_close()
        return response

    async def _serve(self) -> tuple[web.StreamResponse, str]:
        head = decode_call(self._request.headers)
        self._record.request_id = head.request_id
        reader = CallReader(
            context=self._context,
            request=self._request,
            head=head,
            record=self._record,
        )
        read = await reader.read()
        if isinstance(read, Failure):
            return self._refuse(read.failure())
        self._call = read.unwrap()
        try:
            async with asyncio.timeout(self._remaining_ms / MS_PER_S):
                return await self._run()
        except TimeoutError:
            return self._give_up()
        except CallerLostError as error:
            fault = Fault(kind=ErrorKind.CANCELLED, detail=str(error))
            return self._break_off(fault)

    @property
    def _remaining_ms(self) -> float:
        return self._call.remaining_ms(self._context.clock)

    # Attempts.

    async def _run(self) -> tuple[web.StreamResponse, str]:
        kept: web.StreamResponse | None = None
        while True:
            granted = await self._acquire()
            if isinstance(granted, Failure):
                if self._relay.begun is not None:
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
        request = DispatchRequest(
            request_id=self._record.request_id,
            service=self._call.service,
            priority=self._call.rank,
            latency_target_ms=self._call.route.latency_target_ms,
            remaining_ms=self._remaining_ms - self._context.parameters.min_remaining_ms,
            excluded_targets=frozenset(self._excluded),
            may_have_run=self._may_have_run,
        )
        granted = await self._context.dispatcher.acquire(request)
        if isinstance(granted, Success):
            grant = granted.unwrap()
            self._context.recorder.waited(self._call.service.name, grant.waited_ms)
            self._record.note(
                "target_chosen",
                target=grant.target.incarnation,
                load=round(grant.load, 1),
                usable=grant.usable_count,
                listed=grant.listed_count,
                waited_ms=round(grant.waited_ms, 1),
                list_age_ms=round(grant.list_age_ms),
                configuration=self._call.configuration,
                proof_age_ms=round(self._context.configuration.proof_age_ms),
            )
        return granted

    async def _attempt(self, grant: Grant) -> Attempt:
        attempt: Attempt | None = None
        ran_before, self._may_have_run = self._may_have_run, True
        pace = self._context.paces.get(grant.target.group)
        pace.note_begin()
        try:
            attempt = await self._send(grant)
        finally:
            pace.note_end()
            self._context.dispatcher.release(grant)
            self._note_attempt(grant, attempt)
        if attempt.end in (AttemptEnd.NOT_SENT, AttemptEnd.NOT_RUN):
            self._may_have_run = ran_before
        return attempt

    def _note_attempt(self, grant: Grant, attempt: Attempt | None) -> None:
        target = grant.target
        end = attempt.end.value if attempt else "cancelled"
        self._context.recorder.attempted(self._call.service.name, end)
        if attempt is None:
            return
        fault = attempt.fault
        self._record.note(
            "attempt_ended",
            target=target.incarnation,
            outcome=end,
            fault=fault.kind.value if fault else "",
            detail=fault.detail if fault else "",
            last_event=self._relay.last_event,
        )
        if attempt.end is AttemptEnd.ANSWERED:
            target.health.note_ok()
            self._context.suspects.clear(self._call.fingerprint)
            return
        if attempt.end is not AttemptEnd.NOT_SENT:
            self._sent += 1
        self._excluded.add(target.incarnation)
        if attempt.end is AttemptEnd.UNKNOWN:
            self._context.suspects.note_interrupted(
                self._call.fingerprint, target.incarnation
            )
        blameless = attempt.end is AttemptEnd.NOT_RUN or (
            fault is not None and fault.kind in OWN_FAULTS
        )
        if not blameless and target.health.note_failure():
            target.health.eject()

    async def _send(self, grant: Grant) -> Attempt:
        target = grant.target
        transport = await self._context.pool.transport(target)
        headers = self._headers(target.incarnation)
        sent = await self._unless_stuck(
            target,
            transport.send(
                self._request.method,
                self._request.raw_path,
                headers=headers,
                body=self._call.body,
                first_byte_ms=self._first_byte_ms(target),
                fresh=not self._call.route.repeatable,
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
            detail = f"the answer of {target.incarnation} broke off: {error!r}"
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
            deadline_ms=self._remaining_ms,
            incarnation=incarnation,
            team=self._call.team,
            last_event=self._relay.last_event,
            urgency=min(MOST_URGENCY, self._call.rank),
        )
        for name, value in added:
            headers[name] = value
        return headers

    def _objection(self, grant: Grant) -> Fault | None:
        """Return why the call must not leave any more, right before it would."""
        target = grant.target
        stale = stale_proof(self._context) if self._call.keyed else None
        if stale is not None:
            return stale
        if not target.is_usable:
            detail = f"target {target.incarnation} is leaving"
            return Fault(kind=ErrorKind.LEAVING, detail=detail)
        return None

    @property
    def _may_move(self) -> bool:
        """Whether the call may go on at another target, even if it has run."""
        return (
            self._call.route.repeatable
            and self._sent + 1 < self._call.route.max_attempts
        )

    def _first_byte_ms(self, target: Target) -> float:
        """Return how long to wait for the first byte while a repeat is possible."""
        remaining_ms = max(1.0, self._remaining_ms)
        if not self._may_move or (self._call.route.streaming and target.entry.group):
            return remaining_ms
        parameters = self._context.parameters
        if self._call.route.streaming:
            return min(remaining_ms, parameters.first_event_ms)
        return remaining_ms * parameters.answer_ms_share

    def _is_stuck(self, target: Target, since_ms: float) -> bool:
        """Return whether a rank is silent while its group makes passes.

        A rank that has no free slot is not stuck, nor one whose whole group stands
        still: another rank would not be quicker.
        """
        stuck_ms = self._context.parameters.stuck_ms
        now_ms = self._context.clock.now_ms()
        if now_ms - max(since_ms, target.last_event_ms) < stuck_ms:
            return False
        return self._context.paces.get(target.group).silent_ms < stuck_ms / 2

    async def _unless_stuck(
        self, target: Target, sending: Coroutine[Any, Any, Sending]
    ) -> Sending:
        """Wait for the first byte, unless the rank is found to be stuck."""
        if not (self._may_move and self._call.route.streaming and target.entry.group):
            return await sending
        since_ms = self._context.clock.now_ms()
        task = asyncio.ensure_future(sending)
        try:
            while not task.done():
                await asyncio.wait({task}, timeout=STUCK_CHECK_MS / MS_PER_S)
                if not task.done() and self._is_stuck(target, since_ms):
                    detail = f"{target.incarnation} is silent while its group goes on"
                    return fail(ErrorKind.PEER_LOST, detail)
            return task.result()
        finally:
            task.cancel()

    # Answers.

    async def _judge(self, grant: Grant, response: WatchedResponse) -> Attempt:
        head = decode_answer(response.headers)
        if head.load is not None:
            grant.target.note_load(head.load)
        spoiled = self._spoiled(head, response)
        if spoiled:
            fault = Fault(kind=ErrorKind.TARGET_FAILED, detail=spoiled)
            return Attempt(end=AttemptEnd.UNKNOWN, fault=fault)
        if response.status == MISDIRECTED_STATUS or head.not_run:
            return self._not_run(grant, response)
        if self._call.route.streaming and response.status < 300:
            return await self._stream(grant, response)
        return await self._whole(grant, response)

    def _spoiled(self, head: AnswerHead, response: WatchedResponse) -> str:
        if head.not_run or response.status == MISDIRECTED_STATUS:
            return ""
        if head.request_id != self._record.request_id:
            return f"the answer belongs to request {head.request_id!r}"
        if not head.sealed:
            return f"an answer with status {response.status} is no target's own"
        if head.encoded:
            return "the answer was re-coded on its way"
        return ""

    def _not_run(self, grant: Grant, response: WatchedResponse) -> Attempt:
        target = grant.target
        if response.status == MISDIRECTED_STATUS:
            target.is_gone = True
        elif target.entry.group:
            self._context.dispatcher.circuit_breaker(target).note_refusal()
        detail = f"target {target.incarnation} answered {response.status}: not run"
        expected_ms = self._context.dispatcher.expected_wait_ms(target.entry.service)
        fault = Fault(
            kind=ErrorKind.OVERLOADED, detail=detail, retry_after_ms=expected_ms
        )
        return Attempt(end=AttemptEnd.NOT_RUN, fault=fault)

    async def _whole(self, grant: Grant, response: WatchedResponse) -> Attempt:
        body = await response.read()
        response.check_end()
        self._context.recorder.first_byte(self._record)
        self._context.dispatcher.circuit_breaker(grant.target).note_event()
        answer = web.Response(
            status=response.status, body=body, headers=end_to_end(response.headers)
        )
        if response.status < 500:
            return Attempt(end=AttemptEnd.ANSWERED, response=answer)
        fault = Fault(kind=ErrorKind.TARGET_FAILED, detail=f"status {response.status}")
        return Attempt(end=AttemptEnd.FAILED, response=answer, fault=fault)

    async def _stream(self, grant: Grant, response: WatchedResponse) -> Attempt:
        out = await self._relay.run(grant.target, response, may_move=self._may_move)
        return Attempt(end=AttemptEnd.ANSWERED, response=out)

    # Ends.

    def _may_repeat(self, attempt: Attempt) -> bool:
        unsent = attempt.end is AttemptEnd.NOT_SENT
        harmless = unsent or attempt.end is AttemptEnd.NOT_RUN
        if not (harmless or self._call.route.repeatable):
            return self._note_repeat(False, "outcome_unknown")
        if self._relay.begun is not None and not self._call.route.resumable:
            return self._note_repeat(False, "stream_begun")
        if self._sent >= self._call.route.max_attempts:
            return self._note_repeat(False, "attempts")
        if self._remaining_ms < self._context.parameters.min_remaining_ms:
            return self._note_repeat(False, "deadline")
        if attempt.fault and attempt.fault.kind is ErrorKind.STORE_UNAVAILABLE:
            return self._note_repeat(False, "proof")
        if not unsent and not self._context.retries.take(self._call.service.name):
            return self._note_repeat(False, "budget")
        return self._note_repeat(True, attempt.end.value)

    def _note_repeat(self, allowed: bool, reason: str) -> bool:
        window = self._context.retries
        self._record.note(
            "repeat_decided",
            repeat=allowed,
            reason=reason,
            sent=self._sent,
            allowance=round(window.allowed(self._call.service.name), 1),
        )
        return allowed

    def _fail(
        self, attempt: Attempt, kept: web.StreamResponse | None
    ) -> tuple[web.StreamResponse, str]:
        fault = attempt.fault or Fault(
            kind=ErrorKind.TARGET_FAILED, detail="the target failed"
        )
        if self._relay.begun is not None:
            return self._break_off(fault)
        if kept is not None:
            return kept, "target_error"
        if attempt.end is AttemptEnd.NOT_SENT and fault.retry_after_ms <= 0:
            fault = msgspec.structs.replace(fault, retry_after_ms=UNREADY_RETRY_MS)
        return self._refuse(fault)

    def _give_up(self) -> tuple[web.StreamResponse, str]:
        if self._relay.begun is not None:
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
        return refuse(fault, self._record.request_id), fault.kind.value

    def _break_off(self, fault: Fault) -> tuple[web.StreamResponse, str]:
        """End a begun answer so that it cannot pass for a whole one."""
        self._record.note("stream_cut", kind=fault.kind.value, detail=fault.detail)
        self._relay.cut()
        response = self._relay.begun or refuse(fault, self._record.request_id)
        return response, fault.kind.value
