"""One call's way through the entry, attempt after attempt."""

import asyncio
import math

from aiohttp import web
from returns.result import Failure, Result, Success

from carobroute.entry._call import Call
from carobroute.entry._exchange import Exchange
from carobroute.entry._services import RelayServices
from carobroute.entry._writer import CallerWriter
from carobroute.errors import ErrorKind, Fault, fail
from carobroute.links import Chunk, End, Start
from carobroute.requests import Isolation, RouteQuery, SentCall

MAX_REDIRECTS = 3
CRASH_KINDS = frozenset(
    {ErrorKind.TARGET_FAILED, ErrorKind.STREAM_BROKEN, ErrorKind.PEER_LOST}
)
# A target that this entry cannot reach gets no more of its calls for a while either.
UNHEALTHY_KINDS = CRASH_KINDS | {ErrorKind.NO_TARGET}


class CallRun:
    """Carries one call to targets until there is one whole answer or one error.

    Parameters
    ----------
    services : RelayServices
        What the entry's calls share.
    call : Call
        The call.
    writer : CallerWriter
        The way back to the caller.
    """

    __slots__ = (
        "_alone",
        "_attempt",
        "_call",
        "_excluded",
        "_expected",
        "_redirect",
        "_redirects",
        "_resume_state",
        "_services",
        "_writer",
        "fault",
    )

    def __init__(self, *, services: RelayServices, call: Call, writer: CallerWriter):
        self._services = services
        self._call = call
        self._writer = writer
        self._alone = False
        self._attempt = 0
        self._excluded: set[str] = set()
        self._expected = 0
        self._redirect = ""
        self._redirects = 0
        self._resume_state = b""
        self.fault: Fault | None = None

    async def answer(self) -> web.StreamResponse:
        """Return the response that the caller has been given."""
        while True:
            placed = self._place()
            if isinstance(placed, Failure):
                return await self._fail(placed.failure())
            exchange = placed.unwrap()
            end = await self._follow(exchange)
            if end.fault is None:
                self._services.retries.note_success(self._call.team)
                return await self._writer.finish()
            if not self._go_on(exchange, end, end.fault):
                return await self._fail(end.fault)

    def _place(self) -> Result[Exchange, Fault]:
        """Choose a target and open an exchange with its local process."""
        target = self._choose()
        if isinstance(target, Failure):
            return target
        name = target.unwrap()
        instance = self._services.directory.by_target(name)
        if instance is None:
            return fail(ErrorKind.NO_TARGET, f"no local process beside {name!r}")
        self._attempt += 1
        exchange = Exchange(
            call=self._call,
            attempt=self._attempt,
            target=name,
            peer=self._services.endpoint.peer(instance.address),
            clock=self._services.clock,
            parameters=self._services.parameters.exchange,
            first_index=self._expected,
        )
        return Success(exchange)

    def _choose(self) -> Result[str, Fault]:
        if self._redirect:
            target, self._redirect = self._redirect, ""
            return Success(target)
        checked = self._services.quarantine.check(self._call.suspect_id)
        if isinstance(checked, Failure):
            return checked
        self._alone = checked.unwrap() is Isolation.ALONE
        if self._alone:
            return self._choose_for_trial()
        choice = self._services.router.choose(self._query())
        if isinstance(choice, Failure) and self._excluded:
            # Every target was tried. A link that failed may be back by now, and the
            # retry policy bounds the attempts.
            self._excluded.clear()
            choice = self._services.router.choose(self._query())
        if isinstance(choice, Failure):
            return choice
        chosen = choice.unwrap()
        self._services.decisions.record(
            "target_chosen",
            request_id=self._call.request_id,
            target=chosen.target,
            attempt=self._attempt + 1,
            policy=chosen.policy,
            reason=chosen.reason,
            candidates=chosen.candidates,
        )
        return Success(chosen.target)

    def _choose_for_trial(self) -> Result[str, Fault]:
        """Return the target where every entry runs this suspect, on its own."""
        service = self._call.service
        serving = self._services.router.serving_targets(service)
        target = self._services.quarantine.trial_target(
            self._call.suspect_id,
            [name for name in serving if name not in self._excluded],
        )
        if target is None:
            return fail(ErrorKind.NO_TARGET, f"no target of {service!r} takes a trial")
        self._services.decisions.record(
            "trial_target_chosen",
            request_id=self._call.request_id,
            target=target,
            suspect=self._call.suspect_id,
        )
        return Success(target)

    def _query(self) -> RouteQuery:
        call = self._call
        return RouteQuery(
            service=call.service,
            team=call.team,
            priority=call.priority,
            prompt_blocks=call.prompt_blocks,
            tokens=call.tokens,
            data_centre=self._services.parameters.data_centre,
            excluded=frozenset(self._excluded),
            deadline_ms=call.deadline_ms - self._services.clock.now_ms(),
            idempotency_key=call.idempotency_key,
        )

    async def _follow(self, exchange: Exchange) -> End:
        """Pass the answer of one attempt on; return how the attempt ended."""
        services, target = self._services, exchange.target
        begun = services.quarantine.begin(self._call.suspect_id, target)
        if isinstance(begun, Failure):
            return self._refused(begun.failure())
        services.exchanges.add(exchange)
        sent = services.router.note_sent(target, self._query())
        began_ms = services.clock.now_ms()
        ok = False
        try:
            exchange.submit(alone=self._alone, resume_state=self._resume_state)
            end = await self._pass_on(exchange, sent, began_ms)
            exchange.finish(end)
            ok = end.fault is None
            self._judge(exchange, end)
            return end
        except (ConnectionError, asyncio.CancelledError):
            exchange.cancel()
            services.decisions.record(
                "caller_left", request_id=self._call.request_id, target=target
            )
            raise
        finally:
            self._expected = exchange.taken
            services.exchanges.remove(exchange)
            services.quarantine.end(self._call.suspect_id, target)
            took_ms = services.clock.now_ms() - began_ms
            services.router.note_end(sent, ok, took_ms)

    def _judge(self, exchange: Exchange, end: End) -> None:
        """Clear the request if it survived, or blame what a crash took with it."""
        services, suspect = self._services, self._call.suspect_id
        if end.fault is None:
            news = services.quarantine.end_completed(suspect, exchange.target)
        elif crash := self._crash_of(exchange, end):
            # A local process that is gone cannot say which of its calls was running.
            alone = suspect if self._alone else ""
            if not end.crash:
                alone = services.quarantine.trial_fingerprint(crash)
            news = services.quarantine.note_crash(exchange.target, crash, alone=alone)
        else:
            return
        if news is not None:
            services.blames.broadcast(news)

    @staticmethod
    def _crash_of(exchange: Exchange, end: End) -> str:
        """Return the identity of the crash that ended an attempt, or nothing."""
        if end.crash:
            return end.crash
        lost = end.fault is not None and end.fault.kind is ErrorKind.PEER_LOST
        return exchange.incarnation if lost else ""

    def _refused(self, fault: Fault) -> End:
        return End(
            request_id=self._call.request_id,
            attempt=self._attempt,
            chunks=self._expected,
            fault=fault,
        )

    async def _pass_on(
        self, exchange: Exchange, sent: SentCall, began_ms: float
    ) -> End:
        begun = False
        while True:
            entry = await exchange.next()
            if isinstance(entry, End):
                return entry
            if isinstance(entry, Start):
                if not self._writer.started:
                    await self._writer.start(entry.status, entry.headers)
            elif isinstance(entry, Chunk):
                if not begun:
                    # Headers may come long before the first token does.
                    begun = True
                    elapsed_ms = self._services.clock.now_ms() - began_ms
                    self._services.router.note_first_byte(sent, elapsed_ms)
                data = exchange.join_ready(entry)
                await self._writer.write(data)
                exchange.acknowledge(len(data))

    def _go_on(self, exchange: Exchange, end: End, fault: Fault) -> bool:
        """Whether another attempt follows a failed one."""
        if self._services.exchanges.has_ended:
            return False
        if end.redirect and self._redirects < MAX_REDIRECTS:
            self._redirects += 1
            self._redirect = end.redirect
            return True
        self._excluded.add(exchange.target)
        if fault.kind in UNHEALTHY_KINDS:
            self._services.router.note_failure(exchange.target)
        self._resume_state = end.resume_state
        decision = self._services.retries.decide(
            fault,
            self._call.call_class,
            self._attempt,
            self._time_left_ms(),
            self._call.team,
        )
        self._services.decisions.record(
            "attempt_failed",
            request_id=self._call.request_id,
            target=exchange.target,
            attempt=self._attempt,
            kind=fault.kind.value,
            detail=fault.detail,
            retry=decision.retry,
            reason=decision.reason,
        )
        return decision.retry

    def _time_left_ms(self) -> float:
        if self._writer.started:
            # The deadline is that of the first byte; a begun answer is completed.
            return math.inf
        return self._call.deadline_ms - self._services.clock.now_ms()

    async def _fail(self, fault: Fault) -> web.StreamResponse:
        if self._redirects and fault.not_run:
            # A target that said who holds the order knows that it may have run.
            fault = Fault(
                kind=ErrorKind.OUTCOME_UNKNOWN,
                detail=f"the order is held elsewhere: {fault.detail}",
            )
        self._services.decisions.record(
            "call_failed",
            level="info",
            request_id=self._call.request_id,
            kind=fault.kind.value,
            detail=fault.detail,
            attempts=self._attempt,
            chunks=self._expected,
        )
        self.fault = fault
        return await self._writer.fail(fault)
