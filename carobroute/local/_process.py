"""The local process: the only one that talks to its target."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
from returns.result import Failure

from carobroute.domain import CallClass
from carobroute.engines import Engine, EngineLoad
from carobroute.errors import ErrorKind, Fault
from carobroute.links import Ack, Attach, Cancel, Endpoint, Peer, Submit
from carobroute.local._answers import Answer, Delivery
from carobroute.local._attempts import Attempt, AttemptKey, AttemptTable
from carobroute.local._held import HeldAnswers
from carobroute.local._load_reports import LoadReporter
from carobroute.local._runner import CallRunner
from carobroute.requests import Isolation, Quarantine
from carobroute.telemetry import EventLog
from carobroute.tickets import Configuration
from carobroute.utils import Clock, TaskSet

PULL_FIRST_MS = 500.0
DRAIN_CHECK_MS = 50.0
HEARD_MS = 2_000.0
SHUTDOWN = "shutdown"
SHUTDOWN_ORPHAN_MS = 8_000.0


class LocalParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds and times of a local process.

    Parameters
    ----------
    target, service : str
        Target that the process stands beside, and its service.
    window_bytes : int
        Bytes of one answer held for a slow entry before the target has to wait.
    retain_bytes : int
        Size up to which an answer with an idempotency key is kept whole.
    retain_ms : float
        How long such an answer is kept after its end.
    orphan_ms : float
        How long an answer waits for an entry that is not heard from.
    report_busy_ms, report_idle_ms : float
        Intervals of load reports to entries, with work in hand and without.
    max_attempts : int
        Attempts held at a time, running and waiting.
    """

    target: str
    service: str
    window_bytes: int = 256 * 1024
    retain_bytes: int = 1024 * 1024
    retain_ms: float = 60_000.0
    orphan_ms: float = 30_000.0
    report_busy_ms: float = 500.0
    report_idle_ms: float = 5_000.0
    max_attempts: int = 10_000


class LocalProcess:
    """Runs calls at its target, buffers their answers and delivers them.

    Parameters
    ----------
    parameters : LocalParameters
        Bounds and times.
    endpoint : Endpoint
        Links of this process.
    engine : Engine
        The target.
    runner : CallRunner
        Carries calls out.
    quarantine : Quarantine
        Knows requests that crash targets.
    configuration : callable
        Returns the configuration in force.
    wait_until_in_force : callable
        Waits until a ticket is in force here, for at most some milliseconds.
    clock : Clock
        Source of time.
    events : EventLog
        Where events are logged.
    """

    __slots__ = (
        "_attempts",
        "_clock",
        "_configuration",
        "_endpoint",
        "_engine",
        "_events",
        "_held",
        "_leaving",
        "_parameters",
        "_quarantine",
        "_reporter",
        "_runner",
        "_tasks",
        "_wait_until_in_force",
    )

    def __init__(
        self,
        *,
        parameters: LocalParameters,
        endpoint: Endpoint,
        engine: Engine,
        runner: CallRunner,
        quarantine: Quarantine,
        configuration: Callable[[], Configuration],
        wait_until_in_force: Callable[[int, float], Awaitable[bool]],
        clock: Clock,
        events: EventLog,
    ):
        self._parameters = parameters
        self._endpoint = endpoint
        self._engine = engine
        self._runner = runner
        self._quarantine = quarantine
        self._configuration = configuration
        self._wait_until_in_force = wait_until_in_force
        self._clock = clock
        self._events = events
        self._attempts = AttemptTable(clock=clock)
        self._held = HeldAnswers(
            clock=clock, retain_ms=parameters.retain_ms, retain_most=1_000
        )
        self._leaving: set[str] = set()
        self._tasks = TaskSet(on_failure=self._task_failed)
        self._reporter = LoadReporter(
            target=parameters.target,
            endpoint=endpoint,
            runner=runner,
            attempts=self._attempts,
            leaving=lambda: self.leaving,
            clock=clock,
            busy_ms=parameters.report_busy_ms,
            idle_ms=parameters.report_idle_ms,
        )

    @property
    def leaving(self) -> bool:
        """Whether the target takes no new work."""
        return bool(self._leaving)

    @property
    def reasons(self) -> frozenset[str]:
        """Why the target is leaving; empty while it serves."""
        return frozenset(self._leaving)

    @property
    def running(self) -> int:
        """Calls that run in the target."""
        return self._runner.running

    @property
    def queued(self) -> int:
        """Calls that wait for the target."""
        return self._runner.queued

    @property
    def crashes(self) -> int:
        """Crashes of the target seen."""
        return self._runner.crashes

    @property
    def in_flight(self) -> int:
        """Attempts that are running, waiting or not yet delivered."""
        return len(self._attempts)

    def start(self) -> None:
        """Register the handlers and start upkeep."""
        self._endpoint.handle(Submit, self._on_submit, replace=True)
        self._endpoint.handle(Attach, self._on_attach, replace=True)
        self._endpoint.handle(Cancel, self._on_cancel)
        self._endpoint.handle(Ack, self._on_ack)
        self._tasks.spawn(self._upkeep(), name="local-upkeep")
        self._tasks.spawn(self._reporter.run(), name="local-report")

    async def stop(self) -> None:
        """Stop at once; see `drain` for a graceful end."""
        await self._tasks.close()

    def note_load(self, load: EngineLoad) -> None:
        """Take the target's own report of its load."""
        self._runner.step_ms = load.step_ms
        self._runner.tokens_queued = load.tokens_queued

    def leave(self, reason: str) -> None:
        """Take no new work: queued calls are answered "not run".

        Parameters
        ----------
        reason : str
            `ticket`, `list` or `shutdown`; each is withdrawn on its own.
        """
        if reason in self._leaving:
            return
        self._leaving.add(reason)
        self._events.event(
            "target_leaving", target=self._parameters.target, reason=reason
        )
        self._runner.drain_queue()
        self._reporter.wake()

    def return_to_service(self, reason: str) -> None:
        """Withdraw one reason for leaving."""
        if reason in self._leaving:
            self._leaving.discard(reason)
            if not self._leaving:
                self._runner.reopen_queue()
            self._events.event("target_serving", target=self._parameters.target)
            self._reporter.wake()

    async def drain(self, end_ms: float = float("inf")) -> bool:
        """Wait until every attempt has ended and been delivered.

        Parameters
        ----------
        end_ms : float, default=infinity
            Monotonic time at which the wait ends, in milliseconds.

        Returns
        -------
        is_drained : bool
            Whether none is left.
        """
        while self._attempts and self._clock.now_ms() < end_ms:
            await self._clock.sleep_ms(DRAIN_CHECK_MS)
        return not self._attempts

    def end_calls(self, detail: str) -> None:
        """End the answers of all attempts, because this process ends."""
        fault = Fault(kind=ErrorKind.TARGET_FAILED, detail=detail)
        running = [entry for entry in self._attempts if not entry.answer.closed]
        for attempt in running:
            attempt.answer.close(fault)
        self._events.event(
            "calls_ended",
            level="warning",
            target=self._parameters.target,
            count=len(running),
        )

    async def move_streams(self) -> None:
        """Hand every running stream that can be exported to another target."""
        running = [entry for entry in self._attempts if not entry.answer.closed]
        exports = [
            self._runner.export(entry.key.request_id, entry.answer) for entry in running
        ]
        moved = await asyncio.gather(*exports)
        self._events.event(
            "streams_moved", target=self._parameters.target, moved=sum(moved)
        )

    def dump(self) -> dict[str, object]:
        """Return the state for a dump, in plain data."""
        return {
            "target": self._parameters.target,
            "leaving": sorted(self._leaving),
            "running": self._runner.running,
            "queued": self._runner.queued,
            "held_answers": len(self._held),
            "attempts": [self._dump_attempt(attempt) for attempt in self._attempts],
        }

    def _dump_attempt(self, attempt: Attempt) -> dict[str, object]:
        answer = attempt.answer
        return {
            "request_id": attempt.key.request_id,
            "attempt": attempt.key.attempt,
            "entry": attempt.entry,
            "age_ms": round(self._clock.now_ms() - attempt.since_ms),
            "started": answer.head is not None,
            "closed": answer.closed,
            "fault": str(answer.fault) if answer.fault else "",
            "chunks": answer.end,
            "sent": attempt.delivery.next_index,
            "acknowledged": attempt.delivery.acknowledged,
            "held_bytes": answer.size_bytes,
        }

    # Messages from entries.

    def _on_submit(self, peer: Peer, submit: Submit, *, pulled: bool = False) -> None:
        key = AttemptKey(submit.request_id, submit.attempt)
        if self._attempts.find(key) or self._attempts.is_closed(key):
            return
        if peer.ticket_number > self._configuration().number and not pulled:
            self._tasks.spawn(self._pull_first(peer, submit), name="pull-first")
            return
        fault = self._refusal(submit) or self._judge(submit)
        if fault is not None:
            self._add_refused(peer, key, fault)
            return
        shared = self._held.find(submit)
        if isinstance(shared, Failure):
            self._add_refused(peer, key, shared.failure())
            return
        answer = shared.unwrap()
        if answer is None:
            answer = self._begin(submit)
        self._add(peer, key, answer, first_index=submit.resume_from)

    async def _pull_first(self, peer: Peer, submit: Submit) -> None:
        """Take up the tickets that the entry has, so that none is acted against.

        Without them in time the call is taken on what is in force here.
        """
        await self._wait_until_in_force(peer.ticket_number, PULL_FIRST_MS)
        self._on_submit(peer, submit, pulled=True)

    def _begin(self, submit: Submit) -> Answer:
        keyed = bool(submit.idempotency_key)
        answer = Answer(
            window_bytes=self._parameters.window_bytes,
            retain_bytes=self._parameters.retain_bytes if keyed else 0,
            first_index=submit.resume_from,
        )
        if keyed and submit.call_class is CallClass.IDEMPOTENT:
            self._held.add(submit, answer)
        task = self._tasks.spawn(
            self._runner.run(submit, answer), name=f"call {submit.request_id}"
        )
        if submit.call_class is CallClass.IDEMPOTENT:
            # An order that has begun is never cut: its outcome would be unknown.
            answer.on_abandon(task.cancel)
        return answer

    def _refusal(self, submit: Submit) -> Fault | None:
        own = self._endpoint.incarnation
        if submit.target != self._parameters.target:
            return Fault(
                kind=ErrorKind.STALE_CONFIGURATION,
                detail=f"call for target {submit.target!r} reached"
                f" {self._parameters.target!r}",
            )
        if submit.incarnation and submit.incarnation != own:
            return Fault(
                kind=ErrorKind.STALE_CONFIGURATION,
                detail=f"call for {submit.incarnation!r} reached {own!r}",
            )
        if self._leaving:
            return Fault(
                kind=ErrorKind.LEAVING,
                detail=f"target {self._parameters.target!r} is leaving",
            )
        if len(self._attempts) >= self._parameters.max_attempts:
            return Fault(
                kind=ErrorKind.OVERLOADED,
                detail=f"{len(self._attempts)} attempts are in hand, expected fewer"
                f" than {self._parameters.max_attempts}",
                retry_after_ms=1_000,
            )
        return None

    def _judge(self, submit: Submit) -> Fault | None:
        """Refuse a request that is held to crash targets; run a suspect alone.

        What is known of it may have reached this process before the entry.
        """
        checked = self._quarantine.check(submit.suspect_id)
        if isinstance(checked, Failure):
            return checked.failure()
        if checked.unwrap() is Isolation.ALONE:
            submit.alone = True
        return None

    def _add_refused(self, peer: Peer, key: AttemptKey, fault: Fault) -> None:
        answer = Answer(window_bytes=self._parameters.window_bytes)
        answer.close(fault)
        self._add(peer, key, answer)

    def _add(
        self, peer: Peer, key: AttemptKey, answer: Answer, *, first_index: int = 0
    ) -> None:
        delivery = Delivery(
            request_id=key.request_id, attempt=key.attempt, send=peer.send
        )
        delivery.next_index = first_index
        delivery.acknowledged = first_index
        self._attempts.add(
            Attempt(
                key=key,
                entry=peer.incarnation,
                delivery=delivery,
                answer=answer,
                since_ms=self._clock.now_ms(),
            )
        )
        answer.attach(delivery)
        self._reporter.wake()

    def _on_attach(self, peer: Peer, attach: Attach) -> None:
        key = AttemptKey(attach.request_id, attach.attempt)
        attempt = self._attempts.find(key)
        if attempt is None:
            self._add_refused(peer, key, self._missing(key, attach))
            return
        if attach.index < attempt.answer.base:
            self._close(attempt)
            fault = Fault(
                kind=ErrorKind.STREAM_BROKEN,
                detail=f"chunk {attach.index} is no longer held",
            )
            self._add_refused(peer, key, fault)
            return
        attempt.orphan_since_ms = 0.0
        attempt.delivery.rewind(
            index=attach.index, started=attach.started, send=peer.send
        )
        attempt.answer.attach(attempt.delivery)

    def _missing(self, key: AttemptKey, attach: Attach) -> Fault:
        same_run = attach.incarnation == self._endpoint.incarnation
        if same_run and self._attempts.never_arrived(key, age_ms=attach.age_ms):
            return Fault(
                kind=ErrorKind.NO_TARGET,
                detail=f"the call never reached {self._parameters.target!r}",
            )
        return Fault(
            kind=ErrorKind.PEER_LOST,
            detail=f"{self._endpoint.incarnation} does not know the call any more",
        )

    def _on_cancel(self, peer: Peer, cancel: Cancel) -> None:
        key = AttemptKey(cancel.request_id, cancel.attempt)
        attempt = self._attempts.find(key)
        if attempt is not None:
            self._close(attempt)
        else:
            self._attempts.close(key)

    def _on_ack(self, peer: Peer, ack: Ack) -> None:
        attempt = self._attempts.find(AttemptKey(ack.request_id, ack.attempt))
        if attempt is None:
            return
        attempt.answer.acknowledge(attempt.delivery, ack.index)
        if attempt.delivery.finished:
            self._close(attempt)

    def _close(self, attempt: Attempt) -> None:
        self._attempts.close(attempt.key)
        attempt.answer.detach(attempt.delivery)
        if not attempt.answer.deliveries and not attempt.answer.kept:
            attempt.answer.abandon()
        self._reporter.wake()

    # Upkeep.

    async def _upkeep(self) -> None:
        while True:
            await self._clock.sleep_ms(500)
            now_ms = self._clock.now_ms()
            for attempt in self._attempts:
                attempt.answer.pump()
                self._expire_orphan(attempt, now_ms)
            for answer in self._held.expire():
                if not answer.deliveries:
                    answer.abandon()

    def _expire_orphan(self, attempt: Attempt, now_ms: float) -> None:
        """Drop an answer whose entry has not been heard for a while.

        The entry's link pings often while the answer is on its way, so that a short
        silence already begins the while.
        """
        if self._endpoint.heard(attempt.entry, within_ms=HEARD_MS):
            attempt.orphan_since_ms = 0.0
        elif not attempt.orphan_since_ms:
            attempt.orphan_since_ms = now_ms
        elif now_ms - attempt.orphan_since_ms > self._orphan_ms:
            self._events.event(
                "answer_orphaned",
                level="warning",
                request=attempt.key.request_id,
                entry=attempt.entry,
            )
            self._close(attempt)

    @property
    def _orphan_ms(self) -> float:
        if SHUTDOWN in self._leaving:
            return min(self._parameters.orphan_ms, SHUTDOWN_ORPHAN_MS)
        return self._parameters.orphan_ms

    def _task_failed(self, name: str, error: BaseException) -> None:
        self._events.event(
            "task_failed", level="error", task=name.split()[0], error=repr(error)
        )
