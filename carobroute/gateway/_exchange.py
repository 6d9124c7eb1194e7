"""Exchange of one caller's request for an answer, with retries and failover."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import aiohttp
from aiohttp import web
from multidict import CIMultiDict
from returns.result import Failure, Result, Success

from carobroute.domain import ListedTargetState
from carobroute.engines import (
    COSTLY_LIMITS,
    AnswerLimit,
    BrokenAnswerError,
    Framing,
    WatchedResponse,
    describe_error,
    end_to_end,
    exceeded_limit,
)
from carobroute.errors import ErrorKind, Fault, fail
from carobroute.gateway._answer_inspector import MISDIRECTED_STATUS, AnswerInspector
from carobroute.gateway._attempt import Attempt, AttemptOutcome
from carobroute.gateway._call import (
    Call,
    CallReader,
    stale_proof_fault,
)
from carobroute.gateway._call_parts import CallParts
from carobroute.gateway._call_records import CallRecord
from carobroute.gateway._context import GatewayContext
from carobroute.gateway._crash_detector import crash_name
from carobroute.gateway._dispatch_types import DispatchRequest, Grant
from carobroute.gateway._end_confirmation import EndConfirmation
from carobroute.gateway._final_answers import FinalAnswer, FinalAnswers
from carobroute.gateway._relay import (
    STUCK_CHECK_INTERVAL_MS,
    CallerLostError,
    StreamRelay,
)
from carobroute.gateway._retry_budget import RetryPurpose
from carobroute.gateway._send_window import SendWindow
from carobroute.gateway._stream_ends import EndVerdict
from carobroute.gateway._targets import Target
from carobroute.health import AnswerQuality
from carobroute.platform import (
    build_call_headers,
    decode_answer_headers,
    decode_call_headers,
    is_replaced_header,
)

MS_PER_S = 1_000
# Time after the end of a stream in which a target that is asked for the rest has to
# send an event, or to end: the caller, who may have the whole stream, waits for it.
CONFIRM_TIMEOUT_MS = 1_000.0
# The same where something speaks against the end. Callers leave after a gap of 2 s.
DOUBT_TIMEOUT_MS = 1_800.0
# Time after a call's deadline in which the end of its stream is judged.
LAST_CHECK_TIMEOUT_MS = 100.0
# Part of the retry budget that confirmations of believed empty answers leave for
# failures.
EMPTY_RESERVE_RATIO = 0.5
# Largest value of the Request-Urgency header; 0 comes first.
MAX_URGENCY = 9
# Multiple of the route's latency target from which on a first byte is slow.
SLOW_FIRST_BYTE_RATIO = 2.0

SendResult = Result[WatchedResponse, Fault]

# Faults of an attempt that do not count against the target's health.
HEALTH_NEUTRAL_FAULTS = frozenset(
    {ErrorKind.STORE_UNAVAILABLE, ErrorKind.LEAVING, ErrorKind.SHUTTING_DOWN}
)
FAILURE_QUALITIES = {
    AttemptOutcome.FAILED: AnswerQuality.ERROR,
    AttemptOutcome.NOT_RUN: AnswerQuality.REFUSED,
    AttemptOutcome.NOT_SENT: AnswerQuality.UNREACHABLE,
    AttemptOutcome.UNKNOWN: AnswerQuality.INTERRUPTED,
}


class Exchange:
    """Sends one caller's request to targets until one answers, and relays the answer.

    Parameters
    ----------
    context : GatewayContext
        Shared parts of the gateway.
    request : web.Request
        The caller's request.
    """

    __slots__ = (
        "_call",
        "_confirm_limit",
        "_context",
        "_empty_answer",
        "_empty_target",
        "_ends",
        "_expects_version",
        "_excluded_targets",
        "_finals",
        "_first_byte_limit_ms",
        "_first_byte_ms",
        "_inspector",
        "_is_empty_pending",
        "_may_have_run",
        "_parts",
        "_record",
        "_relay",
        "_request",
        "_resumed_event_id",
        "_sent_count",
        "_sent_ms",
        "_unproven_since_ms",
        "_unused_retry",
        "_window",
    )

    # Set once the request has been read and authorized.
    _call: Call
    _parts: CallParts
    _window: SendWindow
    _ends: EndConfirmation

    def __init__(self, *, context: GatewayContext, request: web.Request):
        self._context = context
        self._request = request
        self._record = CallRecord(clock=context.clock)
        self._relay = StreamRelay(context=context, request=request, record=self._record)
        self._inspector = AnswerInspector(context=context, record=self._record)
        self._finals = FinalAnswers(
            context=context, request=request, record=self._record, relay=self._relay
        )
        # Attempts that were sent, and targets that are not tried again.
        self._sent_count = 0
        # Monotonic times at which the last attempt was sent and its answer began.
        self._sent_ms = self._first_byte_ms = 0.0
        # Timeout of its first byte.
        self._first_byte_limit_ms = 0.0
        self._excluded_targets: set[str] = set()
        self._may_have_run = False
        # Time in which a target that is asked for the rest of a stream has to begin.
        self._confirm_limit: asyncio.Timeout | None = None
        # Monotonic time at which the stream ended whose end is not confirmed yet.
        self._unproven_since_ms = 0.0
        # Purpose of a retry that was taken from the budget and not used yet.
        self._unused_retry: RetryPurpose | None = None
        # Target whose answer ended in order before its body; None for none.
        self._empty_target: Target | None = None
        # Whether that says nothing of its health yet.
        self._is_empty_pending = False
        # That answer, if it is believed unless another target refutes it.
        self._empty_answer: web.Response | None = None
        # Event after which the caller resumes a stream of an earlier call.
        self._resumed_event_id = ""
        self._expects_version = False

    async def answer(self) -> web.StreamResponse:
        """Serve the request, and return the response, which may be sent already."""
        outcome = "cancelled"
        status = 499
        try:
            response, outcome = await self._serve()
            status = response.status
        except asyncio.CancelledError:
            self._finals.note_cancelled()
            raise
        except Exception as error:
            response, outcome = self._finals.answer_unexpected(
                error, may_have_run=self._may_have_run
            )
            status = response.status
        finally:
            self._context.recorder.finish_call(
                self._record, status=status, outcome=outcome
            )
        if not response.prepared and self._context.should_end_connection(self._request):
            response.force_close()
        return await self._finals.deliver(response)

    async def _serve(self) -> FinalAnswer:
        head = decode_call_headers(self._request.headers)
        self._record.request_id = head.request_id
        self._resumed_event_id = head.last_event_id
        self._expects_version = head.expects_version
        reader = CallReader(
            context=self._context,
            request=self._request,
            head=head,
            record=self._record,
        )
        read = await reader.read()
        if isinstance(read, Failure):
            return self._finals.refuse(read.failure(), may_have_run=False)
        self._call = read.unwrap()
        self._parts = CallParts(
            quarantine=self._context.quarantine,
            detector=self._context.crash_detector,
            record=self._record,
            service=self._call.service.name,
            parts=head.shared_parts,
        )
        self._window = SendWindow(
            context=self._context,
            call=self._call,
            record=self._record,
            relay=self._relay,
        )
        self._ends = EndConfirmation(
            context=self._context,
            call=self._call,
            record=self._record,
            relay=self._relay,
            parts=self._parts,
        )
        shutdown, expires_ms = self._context.shutdown, self._call.expires_ms
        try:
            try:
                async with shutdown.timeout(lambda: shutdown.deadline_ms(expires_ms)):
                    return await self._run_attempts()
            except TimeoutError:
                return await self._time_out()
        except CallerLostError as error:
            fault = Fault(kind=ErrorKind.CANCELLED, detail=str(error))
            return self._finals.abort_stream(fault)
        finally:
            self._parts.end_attempt()
            self._give_back_retry()

    async def _time_out(self) -> FinalAnswer:
        """End a call at its deadline, or at the end of calls in a stop.

        The caller may have a whole stream whose end was about to be confirmed.
        """
        believed = await self._believe_end(check_ms=LAST_CHECK_TIMEOUT_MS)
        if believed is not None:
            return believed, "done"
        return self._finals.time_out(self._call, may_have_run=self._may_have_run)

    async def _believe_end(
        self, *, check_ms: float | None = None
    ) -> web.StreamResponse | None:
        """Return an answer that is believed although nothing has confirmed it."""
        if self._empty_answer is None:
            return await self._ends.believe_end(check_ms=check_ms)
        assert self._empty_target is not None
        self._note_empty_believed(self._empty_target)
        return self._empty_answer

    # Attempts.

    async def _run_attempts(self) -> FinalAnswer:
        """Try targets until one answers, and return the response and its outcome."""
        target_error: web.StreamResponse | None = None
        while True:
            granted = await self._acquire_target_in_time()
            if isinstance(granted, Failure):
                believed = await self._believe_end()
                if believed is not None:
                    return believed, "done"
                if self._relay.caller_response is not None:
                    return self._finals.abort_stream(granted.failure())
                if target_error is not None:
                    return target_error, "target_error"
                return self._finals.refuse(
                    granted.failure(), may_have_run=self._may_have_run
                )
            grant = granted.unwrap()
            attempt = await self._run_attempt(grant)
            if attempt.outcome is AttemptOutcome.ANSWERED:
                assert attempt.response is not None
                return attempt.response, "done"
            target_error = attempt.response or target_error
            if not self._should_retry(attempt):
                believed = await self._believe_end()
                if believed is not None:
                    return believed, "done"
                return self._finals.fail(
                    attempt, target_error, may_have_run=self._may_have_run
                )

    async def _acquire_target_in_time(self) -> Result[Grant, Fault]:
        """Acquire a target, unless the call could not end before this gateway stops."""
        if self._window.is_too_late:
            return Failure(self._window.note_stopping())
        shutdown = self._context.shutdown
        try:
            async with shutdown.timeout(self._window.latest_send_ms) as limit:
                return await self._acquire_target()
        except TimeoutError:
            if not limit.expired():
                raise
            return Failure(self._window.note_stopping())

    async def _acquire_target(self) -> Result[Grant, Fault]:
        service, dispatcher = self._call.service.name, self._context.dispatcher
        parameters = self._context.parameters
        refusal = await self._parts.admit(
            self._window.remaining_ms, lambda: dispatcher.has_target(service)
        )
        if refusal is not None:
            return Failure(refusal)
        remaining_ms = self._window.remaining_ms - parameters.min_remaining_ms
        if self._is_confirming or self._ends.is_pending:
            remaining_ms = min(remaining_ms, self._confirm_time_ms)
        request = DispatchRequest(
            request_id=self._record.request_id,
            service=self._call.service,
            priority=self._call.priority,
            latency_target_ms=self._call.route.latency_target_ms,
            remaining_ms=remaining_ms,
            excluded_targets=frozenset(self._excluded_targets),
            may_have_run=self._may_have_run,
            may_try=self._may_try,
        )
        granted = await dispatcher.acquire(request)
        if isinstance(granted, Success):
            grant = granted.unwrap()
            self._context.recorder.observe_wait(
                self._call.service.name, grant.waited_ms
            )
            self._record.note(
                "target_chosen",
                target=grant.target.incarnation,
                load=round(grant.load, 1),
                usable=grant.usable_count,
                listed=grant.listed_count,
                limit_per_s=grant.limit_per_s,
                is_trial=grant.is_trial,
                waited_ms=round(grant.waited_ms, 1),
                list_age_ms=round(grant.list_age_ms),
                configuration=self._call.configuration_version,
                proof_age_ms=round(self._context.configuration.proof_age_ms),
            )
        return granted

    async def _run_attempt(self, grant: Grant) -> Attempt:
        attempt: Attempt | None = None
        may_have_run_before, self._may_have_run = self._may_have_run, True
        pass_time_estimator = self._context.pass_time_estimators.get(grant.target.group)
        pass_time_estimator.note_call_begin()
        is_confirmation = self._is_confirming
        try:
            if is_confirmation or self._ends.is_pending:
                attempt = await self._send_to_confirm(grant)
            else:
                attempt = await self._send(grant)
            if attempt is None:
                attempt = self._silent(grant)
            elif attempt.outcome is AttemptOutcome.UNPROVEN:
                attempt = await self._confirm_end(grant, attempt)
        finally:
            pass_time_estimator.note_call_end()
            self._context.dispatcher.release(grant)
            self._note_attempt(grant, attempt, is_confirmation=is_confirmation)
        if attempt.outcome is AttemptOutcome.UNKNOWN:
            await self._check_crash(grant.target, attempt)
        self._parts.end_attempt()
        if attempt.outcome in (AttemptOutcome.NOT_SENT, AttemptOutcome.NOT_RUN):
            self._may_have_run = may_have_run_before
        return attempt

    async def _confirm_end(self, grant: Grant, unproven: Attempt) -> Attempt:
        """Ask the target of a stream whose end is not proven for the rest.

        It has just freed the place of the call, and is no further target of it. Another
        one that has a free place is a better witness, though: it does not share the
        faults that may have ended the stream early.
        """
        others = self._find_other_targets(grant.target)
        if any(other.load < other.entry.slots for other in others):
            self._excluded_targets |= self._find_unframed()
            return unproven
        if not self._can_repeat(unproven):
            return unproven
        attempt = await self._send_to_confirm(grant)
        if attempt is None:
            return unproven
        is_answered = attempt.outcome is AttemptOutcome.ANSWERED
        if not is_answered:
            self._excluded_targets |= self._find_unframed()
        return attempt if is_answered else unproven

    async def _send_to_confirm(self, grant: Grant) -> Attempt | None:
        """Ask a target for the rest of a stream; return None if it is silent."""
        try:
            async with asyncio.timeout(self._confirm_time_ms / MS_PER_S) as limit:
                self._confirm_limit = limit
                return await self._send(grant)
        except TimeoutError:
            if not limit.expired():
                raise
            self._ends.note_silence()
            return None
        finally:
            self._confirm_limit = None

    def _silent(self, grant: Grant) -> Attempt:
        detail = f"{grant.target.incarnation} was silent when asked for the rest"
        fault = Fault(kind=ErrorKind.TARGET_FAILED, detail=detail)
        return Attempt(outcome=AttemptOutcome.UNPROVEN, fault=fault)

    @property
    def _is_confirming(self) -> bool:
        """Whether the caller's answer is there, and is believed unless refuted."""
        return self._ends.is_believable or self._empty_answer is not None

    @property
    def _confirm_time_ms(self) -> float:
        """Time for a confirmation; its caller needs the end before the deadline."""
        left_ms = self._window.remaining_ms - self._context.parameters.min_remaining_ms
        limit_ms = DOUBT_TIMEOUT_MS if self._ends.is_doubtful else CONFIRM_TIMEOUT_MS
        if self._ends.is_pending:
            limit_ms -= self._context.clock.now_ms() - self._unproven_since_ms
        return max(0.0, min(limit_ms, left_ms))

    def _find_unframed(self) -> set[str]:
        """Return targets that can't prove an end, if another one may be asked."""
        if not self._can_fail_over:
            return set()
        targets = self._context.directory.targets(self._call.service.name)
        return self._context.stream_ends.find_unframed(
            target
            for target in targets
            if target.incarnation not in self._excluded_targets
        )

    async def _check_crash(self, target: Target, attempt: Attempt) -> None:
        """Find out whether a target crashed, before the call is retried.

        A target from which nothing comes may be cut off; the list of targets shows
        later whether it has crashed.
        """
        is_silent = attempt.fault is not None and (
            attempt.fault.kind is ErrorKind.PEER_LOST
        )
        if not is_silent:
            await self._parts.check_crash(target)

    def _note_attempt(
        self, grant: Grant, attempt: Attempt | None, *, is_confirmation: bool
    ) -> None:
        target = grant.target
        outcome = attempt.outcome.value if attempt else "cancelled"
        self._context.recorder.count_attempt(self._call.service.name, outcome)
        # A stream that may be whole has been run by another target without a crash.
        is_interrupted = not is_confirmation and (
            attempt is None or attempt.outcome is AttemptOutcome.UNKNOWN
        )
        if is_interrupted:
            self._parts.note_interrupted(target)
        if attempt is None:
            return
        fault = attempt.fault
        if fault is not None:
            self._context.recorder.note_broken_off(self._record, target.run_id, fault)
        self._record.note(
            "attempt_ended",
            target=target.incarnation,
            outcome=outcome,
            fault=fault.kind.value if fault else "",
            detail=fault.detail if fault else "",
            last_event=self._relay.last_event_id,
        )
        if attempt.outcome is AttemptOutcome.ANSWERED:
            self._note_quality(
                target,
                AnswerQuality.SLOW if self._is_slow(grant) else AnswerQuality.SERVED,
            )
            self._context.suspects.clear(self._call.fingerprint)
            return
        if attempt.outcome is not AttemptOutcome.NOT_SENT:
            self._sent_count += 1
        elif fault is not None and fault.kind is ErrorKind.OVERLOADED:
            # The call was withheld for its prompt; another attempt may use the target.
            return
        self._excluded_targets.add(target.incarnation)
        if is_interrupted:
            self._context.suspects.note_interrupted(
                self._call.fingerprint, crash_name(target)
            )
        quality = self._failure_quality(grant, attempt)
        has_nothing_to_add = is_confirmation and attempt.outcome in (
            AttemptOutcome.FAILED,
            AttemptOutcome.NOT_RUN,
        )
        if quality is not None and not has_nothing_to_add:
            self._note_quality(target, quality)

    def _failure_quality(self, grant: Grant, attempt: Attempt) -> AnswerQuality | None:
        """Return what a failed attempt tells of its target; None for nothing."""
        target, fault = grant.target, attempt.fault
        kind = fault.kind if fault else None
        if kind in HEALTH_NEUTRAL_FAULTS or target.is_gone:
            return None
        if attempt.is_refused_for_call:
            return None
        if fault is not None and fault.exceeded in COSTLY_LIMITS:
            return AnswerQuality.EXCESSIVE
        if fault is not None and fault.defect:
            return AnswerQuality.MALFORMED
        if attempt.outcome is AttemptOutcome.FAILED and self._ends.is_believable:
            # It need not answer a request for what comes after the last event.
            return None
        if attempt.outcome is AttemptOutcome.NOT_RUN:
            if target.entry.condition is not ListedTargetState.READY:
                return None
            if target.load >= target.entry.slots:
                return AnswerQuality.REFUSED_FULL
        if attempt.outcome is AttemptOutcome.UNKNOWN:
            if self._parts.has_suspected:
                return None
            is_silent = kind is ErrorKind.PEER_LOST
            if is_silent and self._first_byte_limit_ms < self._slow_after_ms:
                # The caller left too little time.
                return None
        return FAILURE_QUALITIES.get(attempt.outcome)

    def _note_quality(self, target: Target, quality: AnswerQuality) -> None:
        self._context.note_answer(
            target,
            quality,
            sent_ms=self._sent_ms,
            fingerprint=self._call.fingerprint,
        )

    @property
    def _slow_after_ms(self) -> float:
        """Time after which a first byte is slow."""
        return SLOW_FIRST_BYTE_RATIO * self._call.route.latency_target_ms

    def _is_slow(self, grant: Grant) -> bool:
        """Whether a target that had free slots was slow to answer."""
        first_byte_ms = self._first_byte_ms - self._sent_ms
        has_target = self._call.route.latency_target_ms > 0
        is_full = grant.load + 1 >= grant.target.entry.slots
        return has_target and not is_full and first_byte_ms > self._slow_after_ms

    @property
    def _may_try(self) -> bool:
        """Whether the call may be a trial of a target that has answered badly."""
        service = self._call.service.name
        return (
            self._call.route.is_repeatable
            and self._sent_count + 1 < self._call.route.max_attempts
            and not self._parts.has_suspected
            and self._context.retry_budget.remaining(service) >= 1.0
        )

    async def _send(self, grant: Grant) -> Attempt:
        target = grant.target
        transport = await self._context.pool.transport(target)
        headers = self._headers(target.incarnation)
        # What is cancelled while it is sent may have arrived.
        retry, self._unused_retry = self._unused_retry, None
        self._sent_ms = self._context.clock.now_ms()
        self._first_byte_limit_ms = self._first_byte_timeout_ms(target)
        sent = await self._send_unless_stuck(
            target,
            transport.send(
                self._request.method,
                self._request.raw_path,
                headers=headers,
                body=self._call.body,
                first_byte_ms=self._first_byte_limit_ms,
                new_connection=not self._call.route.is_repeatable,
                find_send_obstacle=lambda: self._send_obstacle(grant),
            ),
        )
        if isinstance(sent, Failure):
            fault = sent.failure()
            is_unsent = fault.not_run
            outcome = AttemptOutcome.NOT_SENT if is_unsent else AttemptOutcome.UNKNOWN
            if is_unsent:
                self._unused_retry = retry
            return Attempt(outcome=outcome, fault=fault)
        response = sent.unwrap()
        end = "broken"
        try:
            attempt = await self._handle_response(grant, response)
            end = attempt.outcome.value
            return attempt
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            if self._relay.caller_response is not None:
                self._ends.note_broken()
            detail = (
                f"the answer of {target.incarnation} broke off: {describe_error(error)}"
            )
            fault = Fault(
                kind=ErrorKind.TARGET_FAILED,
                detail=detail,
                exceeded=exceeded_limit(error),
            )
            return Attempt(outcome=AttemptOutcome.UNKNOWN, fault=fault)
        except CallerLostError:
            raise
        except Exception as error:
            if self._relay.caller_response is not None:
                raise
            self._finals.note_exception(error)
            reason = describe_error(error)
            detail = f"the answer of {target.incarnation} cannot be handled: {reason}"
            fault = Fault(kind=ErrorKind.TARGET_FAILED, detail=detail)
            return Attempt(outcome=AttemptOutcome.UNKNOWN, fault=fault)
        finally:
            self._note_answer_end(target, response, end)
            # If the answer is incomplete, this closes the connection, which cancels
            # the target's work. Otherwise the connection is back in its pool already.
            response.close()

    def _note_answer_end(
        self, target: Target, response: WatchedResponse, end: str
    ) -> None:
        framing = response.framing.value
        self._context.recorder.count_answer(self._call.service.name, framing, end)
        self._record.note(
            "answer_ended",
            target=target.incarnation,
            status=response.status,
            framing=framing,
            end=end,
            closed_in_order=response.has_closed_in_order,
            partial_bytes=self._relay.partial_event_bytes,
        )

    def _headers(self, incarnation: str) -> CIMultiDict[str]:
        headers = end_to_end(self._request.headers)
        for name in list(headers):
            if is_replaced_header(name):
                headers.popall(name, None)
        headers["Host"] = self._request.headers.get("Host", "")
        added = build_call_headers(
            deadline_ms=self._window.remaining_ms,
            incarnation=incarnation,
            team=self._call.team,
            last_event_id=self._relay.last_event_id,
            urgency=min(MAX_URGENCY, self._call.priority),
        )
        for name, value in added:
            headers[name] = value
        return headers

    def _send_obstacle(self, grant: Grant) -> Fault | None:
        """Return the reason that the call must not be sent, or None if it may.

        It is checked right before the call is sent, since a key may have been revoked
        or the target may have begun to leave in the meantime.
        """
        target = grant.target
        stale = stale_proof_fault(self._context) if self._call.uses_key else None
        if stale is not None:
            return stale
        if not target.is_usable:
            detail = f"target {target.incarnation} is leaving or takes no calls now"
            return Fault(kind=ErrorKind.LEAVING, detail=detail)
        if self._window.is_too_late:
            return self._window.note_stopping()
        obstacle = self._parts.find_obstacle()
        if obstacle is None:
            self._record.note_passed_on(target.incarnation)
        return obstacle

    @property
    def _can_fail_over(self) -> bool:
        """Whether the call may be sent to another target, even if it has run."""
        return (
            self._call.route.is_repeatable
            and self._sent_count + 1 < self._call.route.max_attempts
        )

    @property
    def _can_resume(self) -> bool:
        """Whether a target may be asked for the rest of the stream."""
        return self._call.route.resumable and self._relay.can_resume

    def _first_byte_timeout_ms(self, target: Target) -> float:
        """Return the first-byte timeout, shorter while a retry is possible.

        Streams from rank groups have no shorter one, because `_send_unless_stuck`
        detects a stuck rank.
        """
        remaining_ms = max(1.0, self._window.remaining_ms)
        if not self._can_fail_over or (
            self._call.route.streaming and target.entry.group
        ):
            return remaining_ms
        parameters = self._context.parameters
        if self._call.route.streaming:
            return min(remaining_ms, parameters.first_event_timeout_ms)
        return remaining_ms * parameters.attempt_time_ratio

    async def _is_stuck(self, target: Target, since_ms: float) -> bool:
        """Return whether a call sent to a rank at `since_ms` is lost there."""
        now_ms = self._context.clock.now_ms()
        return await self._context.stuck_calls.is_stuck(
            target,
            self._call.service.engine,
            self._context.pass_time_estimators.get(target.group),
            now_ms - max(since_ms, target.last_event_ms),
        )

    async def _send_unless_stuck(
        self, target: Target, send: Coroutine[Any, Any, SendResult]
    ) -> SendResult:
        """Wait for the first byte, but fail early if the rank is stuck."""
        if not (
            self._can_fail_over and self._call.route.streaming and target.entry.group
        ):
            return await send
        since_ms = self._context.clock.now_ms()
        task = asyncio.ensure_future(send)
        try:
            while not task.done():
                await asyncio.wait({task}, timeout=STUCK_CHECK_INTERVAL_MS / MS_PER_S)
                if not task.done() and await self._is_stuck(target, since_ms):
                    detail = f"{target.incarnation} neither runs nor queues the call"
                    return fail(ErrorKind.PEER_LOST, detail)
            return task.result()
        finally:
            task.cancel()

    # Answers of targets.

    async def _handle_response(
        self, grant: Grant, response: WatchedResponse
    ) -> Attempt:
        self._first_byte_ms = self._context.clock.now_ms()
        head = decode_answer_headers(response.headers)
        if head.load is not None:
            grant.target.note_load(head.load)
        defect = self._inspector.find_defect(head, response)
        if defect:
            response.drop_connection()
            fault = Fault(kind=ErrorKind.TARGET_FAILED, detail=defect)
            return Attempt(outcome=AttemptOutcome.UNKNOWN, fault=fault)
        self._inspector.note_statements(grant.target, head, response)
        if response.status == MISDIRECTED_STATUS or head.not_run:
            return self._handle_not_run(grant, response)
        if self._relay.caller_response is not None and not self._relay.can_continue(
            response
        ):
            detail = f"no resumption: {response.status} {response.content_type}"
            fault = Fault(kind=ErrorKind.TARGET_FAILED, detail=detail)
            return Attempt(outcome=AttemptOutcome.FAILED, fault=fault)
        if self._call.route.streaming and response.status < 300:
            if grant.is_trial:
                grant.target.health.note_trial_begun()
            return await self._relay_stream(grant, response)
        return await self._buffer_response(grant, response)

    def _handle_not_run(self, grant: Grant, response: WatchedResponse) -> Attempt:
        target = grant.target
        is_misdirected = response.status == MISDIRECTED_STATUS
        # The target may be another one than the call is meant for, or have other
        # weights; calls without a condition tell which.
        is_refused_for_call = is_misdirected and self._expects_version
        if is_refused_for_call:
            self._record.note("condition_refused", target=target.incarnation)
        elif is_misdirected:
            target.is_gone = True
        elif target.entry.group and self._confirm_limit is None:
            self._context.dispatcher.circuit_breaker(target).note_refusal()
        detail = f"target {target.incarnation} answered {response.status}: not run"
        expected_ms = self._context.dispatcher.expected_wait_ms(target.entry.service)
        fault = Fault(
            kind=ErrorKind.OVERLOADED, detail=detail, retry_after_ms=expected_ms
        )
        return Attempt(
            outcome=AttemptOutcome.NOT_RUN,
            fault=fault,
            is_refused_for_call=is_refused_for_call,
        )

    async def _buffer_response(
        self, grant: Grant, response: WatchedResponse
    ) -> Attempt:
        body = await self._read_body(grant.target, response)
        response.check_end()
        is_success = response.status < 300
        is_framed = response.framing is not Framing.CONNECTION
        if not is_framed:
            await self._check_unframed_end(grant.target)
        answer = web.Response(
            status=response.status, body=body, headers=end_to_end(response.headers)
        )
        # An error may have no body.
        if is_success and not body:
            empty = self._judge_empty_answer(grant.target, answer, is_framed=is_framed)
            if empty is not None:
                return empty
        self._context.recorder.observe_first_byte(self._record)
        self._context.dispatcher.circuit_breaker(grant.target).note_event()
        if response.status < 300:
            self._parts.note_answered()
            service = self._call.service.name
            self._context.plain_durations.note(service, self._record.age_ms)
        if response.status < 500:
            return Attempt(outcome=AttemptOutcome.ANSWERED, response=answer)
        fault = Fault(kind=ErrorKind.TARGET_FAILED, detail=f"status {response.status}")
        return Attempt(outcome=AttemptOutcome.FAILED, response=answer, fault=fault)

    async def _check_unframed_end(self, target: Target) -> None:
        """Make sure that the target of an answer that its connection ended lives.

        Raises
        ------
        BrokenAnswerError
            If its target has crashed.
        """
        # A process that crashes has its connections closed in order, too.
        if await self._context.crash_detector.has_crashed_at_end(
            target, request_id=self._record.request_id
        ):
            raise BrokenAnswerError("the target has crashed")

    def _judge_empty_answer(
        self, target: Target, answer: web.Response, *, is_framed: bool
    ) -> Attempt | None:
        """Return None if a plain answer without a body is whole.

        Parameters
        ----------
        target : Target
            Target that answered.
        answer : web.Response
            Its answer.
        is_framed : bool
            Whether a length or chunks show its end.

        Raises
        ------
        BrokenAnswerError
            If nothing shows that it is whole.
        """
        answers, service = self._context.empty_answers, self._call.service.name
        if self._empty_target is not None:
            answers.note_confirmed(service)
            if is_framed or answers.is_witness_believed(service):
                self._empty_target.health.note_success()
                self._note_empty_judged(target.incarnation, is_whole=True)
                return None
            raise BrokenAnswerError("the connection ended before the body")
        if is_framed:
            return None
        is_believed = answers.is_believed(service)
        if is_believed and not self._should_confirm_empty(target):
            self._note_empty_believed(target)
            return None
        self._empty_target = target
        if not answers.has_confirmed(service):
            raise BrokenAnswerError("the connection ended before the body")
        self._is_empty_pending = True
        if is_believed:
            self._empty_answer = answer
        detail = f"the answer of {target.incarnation} ended before its body"
        fault = Fault(kind=ErrorKind.TARGET_FAILED, detail=detail)
        return Attempt(outcome=AttemptOutcome.EMPTY, fault=fault)

    def _should_confirm_empty(self, target: Target) -> bool:
        """Whether a second target is asked for an answer that is believed."""
        context, service = self._context, self._call.service.name
        reserve = EMPTY_RESERVE_RATIO * context.retry_budget.limit(service)
        return (
            context.empty_answers.is_check_due(service)
            and bool(self._find_other_targets(target))
            and context.dispatcher.queue_length(service) == 0
            and context.retry_budget.has_spare(service, reserve=reserve)
        )

    def _note_empty_believed(self, target: Target) -> None:
        """Note that an answer without a body is taken for whole by the record alone."""
        self._context.empty_answers.note_believed(self._call.service.name)
        self._empty_target = target
        target.health.note_success()
        self._parts.note_answered()
        self._note_empty_judged("", is_whole=True)

    def _note_empty_refuted(self, witness: Target) -> None:
        """Note that an earlier answer without a body has been broken off."""
        first = self._empty_target
        if first is None:
            return
        self._context.empty_answers.note_refuted(self._call.service.name)
        if self._is_empty_pending:
            self._context.note_answer(
                first,
                AnswerQuality.INTERRUPTED,
                sent_ms=self._record.received_ms,
                fingerprint=self._call.fingerprint,
            )
        self._note_empty_judged(witness.incarnation, is_whole=False)
        self._empty_target = self._empty_answer = None
        self._is_empty_pending = False
        if self._confirm_limit is not None:
            # The call needs this answer now.
            self._confirm_limit.reschedule(None)

    def _note_empty_judged(self, witness: str, *, is_whole: bool) -> None:
        assert self._empty_target is not None
        self._record.note(
            "empty_answer_judged",
            target=self._empty_target.incarnation,
            witness=witness,
            whole=is_whole,
        )

    async def _read_body(self, target: Target, response: WatchedResponse) -> bytes:
        """Return the whole body.

        One that has begun, or that a length announces, refutes an earlier answer
        without one, even if it breaks off.

        Raises
        ------
        BrokenAnswerError
            If it broke off, or is longer than this gateway buffers.
        """
        max_bytes = self._context.parameters.body_buffer_bytes
        body = bytearray()
        is_success = response.status < 300
        if is_success and response.headers.get("Content-Length", "0").strip("0"):
            self._note_empty_refuted(target)
        async for data in response.content.iter_any():
            if is_success and data:
                self._note_empty_refuted(target)
            body += data
            if len(body) > max_bytes:
                raise response.limit_error(AnswerLimit.BODY_SIZE, max_bytes)
        return bytes(body)

    async def _relay_stream(self, grant: Grant, response: WatchedResponse) -> Attempt:
        target = grant.target
        is_resumption = bool(self._relay.last_event_id or self._resumed_event_id)
        self._context.stream_ends.note_framing(target.entry.service, response.framing)
        target.stream_ends.framing = response.framing
        await self._relay.relay(
            target,
            response,
            can_fail_over=self._can_fail_over,
            is_resumption=is_resumption,
            on_events=self._note_events,
        )
        self._ends.note_end(target, response)
        verdict = await self._context.stream_ends.judge(
            target,
            response.framing,
            is_resumable=response.framing is Framing.CONNECTION
            and self._can_resume
            and self._ends.should_confirm(
                target,
                is_resumption=is_resumption,
                has_other_target=bool(self._find_other_targets(target)),
            ),
        )
        if verdict is EndVerdict.BROKEN:
            raise BrokenAnswerError("the target has crashed")
        if verdict is EndVerdict.UNPROVEN:
            detail = f"nothing proves that the stream of {target.incarnation} is whole"
            fault = Fault(kind=ErrorKind.TARGET_FAILED, detail=detail)
            if self._relay.has_events or not self._unproven_since_ms:
                self._unproven_since_ms = self._context.clock.now_ms()
            self._ends.note_unproven(target, response)
            return Attempt(outcome=AttemptOutcome.UNPROVEN, fault=fault)
        self._parts.note_answered()
        self._context.stream_paces.note(
            target.entry.service,
            first_ms=self._record.first_byte_ms,
            gap_sum_ms=self._record.gap_sum_ms,
            gap_count=self._record.gap_count,
        )
        caller_response = await self._relay.finish(response)
        return Attempt(outcome=AttemptOutcome.ANSWERED, response=caller_response)

    def _note_events(self) -> None:
        self._parts.note_events()
        if self._confirm_limit is not None and self._relay.has_events:
            # The stream goes on, and has all the time that is left.
            self._confirm_limit.reschedule(None)

    def _find_other_targets(self, target: Target) -> list[Target]:
        """Return the targets other than `target` that may be asked for the rest."""
        if not self._can_fail_over:
            return []
        return [
            other
            for other in self._context.directory.targets(target.entry.service)
            if other.is_usable
            and other is not target
            and other.incarnation not in self._excluded_targets
        ]

    # Retries.

    def _should_retry(self, attempt: Attempt) -> bool:
        """Decide whether a failed attempt is retried, and log the decision.

        A retry is taken from the retry budget, unless the call was not sent.
        """
        is_unsent = attempt.outcome is AttemptOutcome.NOT_SENT
        is_known_not_run = is_unsent or attempt.outcome is AttemptOutcome.NOT_RUN
        if not (is_known_not_run or self._call.route.is_repeatable):
            return self._note_retry_decision(False, "outcome_unknown")
        if self._relay.caller_response is not None and not self._can_resume:
            return self._note_retry_decision(False, "stream_begun")
        if self._sent_count >= self._call.route.max_attempts:
            return self._note_retry_decision(False, "attempts")
        if self._empty_answer is not None and attempt.outcome is not (
            AttemptOutcome.EMPTY
        ):
            return self._note_retry_decision(False, "believed")
        is_unproven = attempt.outcome is AttemptOutcome.UNPROVEN
        if is_unproven and self._ends.is_pending and not self._confirm_time_ms:
            return self._note_retry_decision(False, "late")
        if is_unproven and not (self._ends.is_doubtful or self._ends.has_spare_retry):
            return self._note_retry_decision(False, "no_spare")
        return self._can_repeat(attempt)

    def _can_repeat(self, attempt: Attempt) -> bool:
        """Whether time and the retry budget allow that the call is sent again."""
        is_unsent = attempt.outcome is AttemptOutcome.NOT_SENT
        if self._window.remaining_ms < self._context.parameters.min_remaining_ms:
            return self._note_retry_decision(False, "deadline")
        if self._window.is_too_late:
            return self._note_retry_decision(False, "stopping")
        if attempt.fault and attempt.fault.kind is ErrorKind.STORE_UNAVAILABLE:
            return self._note_retry_decision(False, "proof")
        if not (is_unsent or self._unused_retry or self._spend_retry(attempt)):
            return self._note_retry_decision(False, "budget")
        return self._note_retry_decision(True, attempt.outcome.value)

    def _spend_retry(self, attempt: Attempt) -> bool:
        """Take a retry after an attempt from the budget, or return False."""
        is_unproven = attempt.outcome is AttemptOutcome.UNPROVEN
        is_confirmation = is_unproven and not self._ends.is_doubtful
        if not self._context.retry_budget.try_spend(
            self._call.service.name, is_confirmation=is_confirmation
        ):
            return False
        self._unused_retry = (
            RetryPurpose.CONFIRMATION if is_confirmation else RetryPurpose.FAILURE
        )
        return True

    def _give_back_retry(self) -> None:
        """Give back a retry for which no target was sent the call."""
        if self._unused_retry is not None:
            self._context.retry_budget.give_back(
                self._call.service.name,
                is_confirmation=self._unused_retry is RetryPurpose.CONFIRMATION,
            )
            self._unused_retry = None

    def _note_retry_decision(self, allowed: bool, reason: str) -> bool:
        retry_budget = self._context.retry_budget
        self._record.note(
            "repeat_decided",
            repeat=allowed,
            reason=reason,
            sent=self._sent_count,
            allowance=round(retry_budget.remaining(self._call.service.name), 1),
        )
        return allowed
