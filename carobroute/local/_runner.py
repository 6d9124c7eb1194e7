"""Carrying calls out at the target."""

import asyncio
from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from carobroute.domain import CallClass
from carobroute.engines import Engine, EngineAnswer, EngineCall
from carobroute.errors import ErrorKind, Fault, FaultError
from carobroute.links import Submit
from carobroute.local._answers import Answer, AnswerHead
from carobroute.local._crashes import CrashWatch
from carobroute.local._orders import OrderElsewhere, OrderPermit, OrderRunner
from carobroute.requests import FairQueue, StoredAnswer, request_fingerprint
from carobroute.telemetry import EventLog
from carobroute.tickets import Configuration
from carobroute.utils import Clock

DEFAULT_WEIGHT = 1.0
MAX_ORDER_ANSWER_BYTES = 8 * 1024 * 1024
TEAM_HEADER = "X-Carobroute-Team"
MOVED = Fault(kind=ErrorKind.LEAVING, detail="the stream moves to another target")


class CallRunner:
    """Runs calls: waits for a slot, forwards, and fills the answer.

    Parameters
    ----------
    engine : Engine
        The target.
    queue : FairQueue
        Slots of the target, shared fairly between teams.
    crashes : CrashWatch
        Tells a crash of the target from a lost connection.
    orders : OrderRunner or None
        Runs non-idempotent calls at most once; None where the target has none.
    configuration : callable
        Returns the configuration in force.
    clock : Clock
        Source of time.
    events : EventLog
        Where events are logged.
    on_trial : callable or None, default=None
        Called with the fingerprint of a call that is about to run alone, and with
        an empty one when it has ended.
    """

    __slots__ = (
        "_clock",
        "_configuration",
        "_crashes",
        "_engine",
        "_events",
        "_exports",
        "_on_trial",
        "_orders",
        "_queue",
        "step_ms",
        "tokens_queued",
    )

    def __init__(
        self,
        *,
        engine: Engine,
        queue: FairQueue,
        crashes: CrashWatch,
        orders: OrderRunner | None,
        configuration: Callable[[], Configuration],
        clock: Clock,
        events: EventLog,
        on_trial: Callable[[str], None] | None = None,
    ):
        self._on_trial = on_trial or (lambda fingerprint: None)
        self._engine = engine
        self._queue = queue
        self._crashes = crashes
        self._orders = orders
        self._configuration = configuration
        self._clock = clock
        self._events = events
        self._exports: dict[str, asyncio.Future] = {}
        self.step_ms = 0.0
        self.tokens_queued = 0

    @property
    def running(self) -> int:
        """Calls that hold a slot."""
        return self._queue.running

    @property
    def queued(self) -> int:
        """Calls that wait for a slot."""
        return self._queue.queued

    @property
    def crashes(self) -> int:
        """Crashes of the target seen."""
        return self._crashes.count

    @property
    def concurrency(self) -> int:
        """Slots of the target."""
        return self._queue.concurrency

    def drain_queue(self) -> None:
        """Answer "not run" to every call that waits for a slot, and to later ones."""
        self._queue.drain()

    def reopen_queue(self) -> None:
        """Take calls again after `drain_queue`."""
        self._queue.reopen()

    async def run(self, submit: Submit, answer: Answer) -> None:
        """Carry out one call and close its answer, whatever happens."""
        try:
            await self._run(submit, answer)
        except FaultError as error:
            await self._close_failed(submit, answer, error.fault)
        except Exception as error:
            self._events.event(
                "call_failed",
                level="error",
                request=submit.request_id,
                error=repr(error),
            )
            answer.close(Fault(kind=ErrorKind.INTERNAL, detail="the call failed"))
        finally:
            answer.close(Fault(kind=ErrorKind.CANCELLED, detail="the call was cut"))

    async def export(self, request_id: str, answer: Answer) -> bool:
        """End a running stream with the state from which another target goes on.

        Returns
        -------
        moved : bool
            Whether the target exported the stream; if not, it runs on.
        """
        # The target ends the stream as it exports it, so the end must wait for the
        # exported state to be here.
        exporting = asyncio.ensure_future(self._engine.export_kv(request_id))
        self._exports[request_id] = exporting
        try:
            exported = await exporting
        finally:
            del self._exports[request_id]
        if isinstance(exported, Failure):
            return False
        answer.close(MOVED, resume_state=exported.unwrap().data)
        return True

    async def _close_failed(self, submit: Submit, answer: Answer, fault: Fault) -> None:
        exporting = self._exports.get(submit.request_id)
        if exporting is not None:
            exported = await exporting
            if not isinstance(exported, Failure):
                answer.close(MOVED, resume_state=exported.unwrap().data)
                return
        answer.close(fault, crash=await self._crashes.find(fault))

    async def _run(self, submit: Submit, answer: Answer) -> None:
        deadline_ms = self._clock.now_ms() + submit.deadline_ms
        team = self._configuration().team(submit.team)
        acquired = await self._queue.acquire(
            team=submit.team,
            weight=team.weight if team else DEFAULT_WEIGHT,
            priority=submit.priority,
            cost=1.0 + len(submit.prompt_blocks),
            deadline_ms=submit.deadline_ms,
            alone=submit.alone,
        )
        if isinstance(acquired, Failure):
            answer.close(acquired.failure())
            return
        slot = acquired.unwrap()
        submit = msgspec.structs.replace(submit, priority=slot.engine_priority)
        try:
            if submit.alone:
                self._on_trial(_suspect_id(submit))
            if submit.call_class is CallClass.NON_IDEMPOTENT:
                await self._run_order(submit, answer)
            else:
                await self._run_stream(submit, answer, deadline_ms)
        finally:
            if submit.alone:
                self._on_trial("")
            slot.release()

    async def _run_stream(
        self, submit: Submit, answer: Answer, deadline_ms: float
    ) -> None:
        call = self._engine_call(submit, submit.headers, deadline_ms)
        if submit.resume_from:
            opened = await self._resume(call, submit.resume_from)
        else:
            opened = await self._engine.open(call)
        if isinstance(opened, Failure):
            raise FaultError(opened.failure())
        self._crashes.note_alive()
        source = opened.unwrap()
        try:
            answer.start(AnswerHead(status=source.status, headers=source.headers))
            async for chunk in source.chunks:
                await answer.append(chunk)
            await self._check_end(source)
            answer.close()
        finally:
            await source.close()

    async def _check_end(self, source: EngineAnswer) -> None:
        """Make sure that an answer that its connection ended is whole.

        Raises
        ------
        FaultError
            If its target has crashed, whose connections are closed in order, too.
        """
        if source.shows_end:
            return
        if await self._crashes.has_crashed_at_end():
            detail = "the target has crashed and ended its answer"
            raise FaultError(Fault(kind=ErrorKind.STREAM_BROKEN, detail=detail))

    async def _resume(
        self, call: EngineCall, chunks_sent: int
    ) -> Result[EngineAnswer, Fault]:
        if self._engine.can_resume:
            return await self._engine.resume(call, chunks_sent)
        return Failure(
            Fault(
                kind=ErrorKind.STREAM_BROKEN,
                detail="the target cannot continue an answer",
            )
        )

    async def _run_order(self, submit: Submit, answer: Answer) -> None:
        if self._orders is None:
            answer.close(
                Fault(
                    kind=ErrorKind.FORBIDDEN,
                    detail="this target takes no non-idempotent calls",
                )
            )
            return

        async def forward(permit: OrderPermit) -> Result[StoredAnswer, Fault]:
            return await self._forward_order(submit, permit)

        result = await self._orders.run(submit, forward)
        if isinstance(result, Failure):
            raise FaultError(result.failure())
        outcome = result.unwrap()
        if isinstance(outcome, OrderElsewhere):
            answer.close(
                Fault(
                    kind=ErrorKind.OUTCOME_UNKNOWN,
                    detail=f"the order is held beside target {outcome.target!r}",
                ),
                redirect=outcome.target,
            )
            return
        stored = outcome.answer
        answer.start(AnswerHead(status=stored.status, headers=stored.headers))
        await answer.append(stored.body)
        answer.close()

    async def _forward_order(
        self, submit: Submit, permit: OrderPermit
    ) -> Result[StoredAnswer, Fault]:
        """Send the order to the target once and read its whole answer."""
        call = msgspec.structs.replace(
            self._engine_call(submit, submit.headers, 0.0),
            fence=permit.fence,
            guard=permit.guard,
        )
        opened = await self._engine.open(call)
        if isinstance(opened, Failure):
            return opened
        source = opened.unwrap()
        try:
            body = bytearray()
            async for chunk in source.chunks:
                body += chunk
                if len(body) > MAX_ORDER_ANSWER_BYTES:
                    return Failure(
                        Fault(
                            kind=ErrorKind.OUTCOME_UNKNOWN,
                            detail="the answer is larger than"
                            f" {MAX_ORDER_ANSWER_BYTES} bytes",
                        )
                    )
            await self._check_end(source)
            return Success(
                StoredAnswer(
                    status=source.status, headers=source.headers, body=bytes(body)
                )
            )
        except FaultError as error:
            return Failure(error.fault)
        finally:
            await source.close()

    def _engine_call(
        self, submit: Submit, headers: dict[str, str], deadline_ms: float
    ) -> EngineCall:
        left_ms = max(1.0, deadline_ms - self._clock.now_ms()) if deadline_ms else 0.0
        return EngineCall(
            request_id=submit.request_id,
            method=submit.method,
            path=submit.path,
            # Two teams may use the same idempotency key; a target that keeps keys of
            # its own needs the team to tell them apart.
            headers={**headers, TEAM_HEADER: submit.team},
            body=submit.body,
            call_class=submit.call_class,
            priority=submit.priority,
            deadline_ms=left_ms,
            resume_from=submit.resume_from,
            resume_state=submit.resume_state,
        )


def _suspect_id(submit: Submit) -> str:
    return request_fingerprint(submit.service, submit.method, submit.path, submit.body)
