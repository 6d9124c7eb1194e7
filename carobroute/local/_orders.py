"""Runs calls that may not be repeated: claimed first, forwarded at most once.

How the local process uses it::

    ask = LinkAsk(endpoint=endpoint)
    ledger = Ledger(table=..., objects=..., clock=clock, target=target.name,
                    incarnation=incarnation, address=endpoint.address,
                    honours_fencing=lambda: target.honours_fencing,
                    send_claim_query=ask)
    runner = OrderRunner(ledger=ledger, clock=clock, honours_fencing=...,
                         retention_s=lambda service: ..., on_event=...)
    runner.start(endpoint)              # takes the fence, answers ClaimQuery

    async def forward(permit):          # called once, or not at all
        call = EngineCall(..., fence=permit.fence, guard=permit.guard)
        ...                             # the whole answer as a StoredAnswer

    outcome = await runner.run(submit, forward)

Every non-idempotent call goes through `run`, with a key or without. `Success` holds
`OrderDone` (send the answer) or `OrderElsewhere` (send `End` with `redirect` set to its
target and a fault of kind OUTCOME_UNKNOWN; the entry submits once to that target and
passes the fault on if there is none or if it redirects again). A fault goes to the
caller as it is. The caller's leaving must not cancel `run`.
"""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from carobroute.errors import ErrorKind, Fault, fail
from carobroute.links import Endpoint, Submit
from carobroute.requests import (
    ClaimElsewhere,
    ClaimFinished,
    ClaimGranted,
    ClaimQuery,
    ClaimStatus,
    Ledger,
    OrderRequest,
    StoredAnswer,
    order_fingerprint,
)
from carobroute.utils import Clock, TaskSet

KEYLESS_RETENTION_MS = 600_000.0
ASK_TIMEOUT_MS = 1_000.0
MS_PER_S = 1_000
STALE_FENCE_STATUS = 412


class OrderDone(msgspec.Struct, frozen=True, kw_only=True):
    """The order has run once; `replayed` tells that this submission did not run it."""

    answer: StoredAnswer
    replayed: bool


class OrderElsewhere(msgspec.Struct, frozen=True, kw_only=True):
    """The local process of `target` has claimed the order."""

    target: str
    incarnation: str


OrderOutcome = OrderDone | OrderElsewhere


class OrderPermit:
    """Right to forward one order once, for a limited time.

    Parameters
    ----------
    claim : ClaimGranted
        The claim.
    clock : Clock
        Source of time.
    """

    __slots__ = ("_claim", "_clock")

    def __init__(self, *, claim: ClaimGranted, clock: Clock):
        self._claim = claim
        self._clock = clock

    @property
    def fence(self) -> int:
        """Fencing number to send with the call."""
        return self._claim.fence

    def guard(self) -> Fault | None:
        """Return why the order must not be forwarded any more, or None.

        To be asked after the last await before the first byte leaves.
        """
        late_ms = self._clock.now_ms() - self._claim.forward_before_ms
        if late_ms < 0:
            return None
        return Fault(
            kind=ErrorKind.DEADLINE,
            detail=f"the claim's lease or deadline passed {late_ms:.0f} ms ago",
        )


Forward = Callable[[OrderPermit], Awaitable[Result[StoredAnswer, Fault]]]


class OrderParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of the order runner.

    Parameters
    ----------
    max_running : int
        Orders that run, or whose ending is not recorded yet.
    max_held_bytes : int
        Answers that are not recorded yet, in bytes.
    """

    max_running: int = 1_000
    max_held_bytes: int = 256 * 1024 * 1024


class _Running:
    """An order on its way, and what a submission of the same key attaches to."""

    __slots__ = ("fingerprint", "task")

    def __init__(self, *, fingerprint: str, task: "asyncio.Task[_Ending]"):
        self.fingerprint = fingerprint
        self.task = task


_Ending = Result[OrderOutcome, Fault]
Recording = Callable[[], Awaitable[None]]


class OrderRunner:
    """Runs orders of one local process.

    Parameters
    ----------
    ledger : Ledger
        Claims.
    clock : Clock
        Source of time.
    retention_s : callable
        Returns how long a service's answers are kept, in seconds.
    honours_fencing : callable, default=None
        Tells whether the target refuses old fencing numbers, with status 412.
    parameters : OrderParameters, default=None
        Bounds.
    on_event : callable, default=None
        Called with an event name and fields, for the log.
    """

    def __init__(
        self,
        *,
        ledger: Ledger,
        clock: Clock,
        retention_s: Callable[[str], float],
        honours_fencing: Callable[[], bool] | None = None,
        parameters: OrderParameters | None = None,
        on_event: Callable[..., None] | None = None,
    ):
        self._ledger = ledger
        self._clock = clock
        self._retention_s = retention_s
        self._honours_fencing = honours_fencing or (lambda: False)
        self._parameters = parameters or OrderParameters()
        self._on_event = on_event or (lambda *args, **fields: None)
        self._running: dict[str, _Running] = {}
        self._held_bytes = 0
        self._tasks = TaskSet(on_failure=self._task_failed)
        self.counts: Counter[str] = Counter()

    @property
    def running(self) -> int:
        """Orders that run, or whose ending is not recorded yet."""
        return len(self._running)

    def dump(self) -> dict[str, Any]:
        """Return the state for the operators' dump."""
        return {
            "fence": self._ledger.fence,
            "ready": self._ledger.can_claim,
            "superseded": self._ledger.is_superseded,
            "running": len(self._running),
            "unsettled": self._ledger.unsettled_writes,
            "transactions": self._ledger.transactions,
            "ended": dict(self.counts),
        }

    def start(self, endpoint: Endpoint | None = None) -> None:
        """Start the ledger and, with `endpoint`, answer `ClaimQuery`."""
        self._ledger.start()
        if endpoint is not None:
            endpoint.handle(
                ClaimQuery, lambda peer, ask: self._ledger.claim_status(ask)
            )

    async def close(self, *, grace_ms: float = 5_000.0) -> None:
        """Stop once no call is under way; endings are recorded within `grace_ms`."""
        await self._ledger.close(grace_ms=grace_ms)
        await self._tasks.close()

    async def run(self, submit: Submit, forward: Forward) -> _Ending:
        """Run an order, or return what an earlier submission of it came to.

        Parameters
        ----------
        submit : Submit
            The submission; its key and team are the order's identity, or its request
            identifier where it has no key.
        forward : callable
            Performs the call once; see the module's own text.

        Returns
        -------
        outcome : Result
            `OrderDone`, `OrderElsewhere`, or a fault: of a not-run kind if this
            submission did not and will not run, else of kind `OUTCOME_UNKNOWN`.
        """
        order = self._describe(submit)
        known = self._running.get(order.row_key)
        if known is None:
            refusal = self._refusal()
            if refusal is not None:
                return Failure(refusal)
            known = self._begin(order, forward)
            outcome = await asyncio.shield(known.task)
            self._count(outcome)
            return outcome
        if known.fingerprint != order.fingerprint:
            return fail(
                ErrorKind.KEY_REUSED,
                f"key {order.key!r} is in use with another request",
            )
        self.counts["attached"] += 1
        return _replayed(await asyncio.shield(known.task))

    def _describe(self, submit: Submit) -> OrderRequest:
        retention_ms = KEYLESS_RETENTION_MS
        if submit.idempotency_key:
            retention_ms = self._retention_s(submit.service) * MS_PER_S
        deadline_ms = float("inf")
        if submit.deadline_ms:
            deadline_ms = self._clock.now_ms() + submit.deadline_ms
        return OrderRequest(
            team=submit.team,
            key=submit.idempotency_key,
            request_id=submit.request_id,
            fingerprint=order_fingerprint(
                submit.service, submit.method, submit.path, submit.body
            ),
            service=submit.service,
            retention_ms=retention_ms,
            deadline_ms=deadline_ms,
        )

    def _refusal(self) -> Fault | None:
        full = len(self._running) >= self._parameters.max_running
        if not full and self._held_bytes < self._parameters.max_held_bytes:
            return None
        return Fault(
            kind=ErrorKind.OVERLOADED,
            detail=f"{len(self._running)} orders with {self._held_bytes} bytes of"
            " answers are under way or not recorded yet",
            retry_after_ms=MS_PER_S,
        )

    def _begin(self, order: OrderRequest, forward: Forward) -> _Running:
        task = self._tasks.spawn(
            self._run_once(order, forward), name=f"order {order.row_key}"
        )
        running = _Running(fingerprint=order.fingerprint, task=task)
        self._running[order.row_key] = running
        return running

    async def _run_once(self, order: OrderRequest, forward: Forward) -> _Ending:
        recording: Recording | None = None
        held_bytes = 0
        try:
            claimed = await self._ledger.claim(order)
            if isinstance(claimed, Failure):
                return claimed
            claim = claimed.unwrap()
            if isinstance(claim, ClaimFinished):
                return Success(OrderDone(answer=claim.answer, replayed=True))
            if isinstance(claim, ClaimElsewhere):
                elsewhere = OrderElsewhere(
                    target=claim.target, incarnation=claim.incarnation
                )
                return Success(elsewhere)
            result = await self._forward(claim, forward)
            if isinstance(result, Success):
                answer = result.unwrap()
                held_bytes = len(answer.body)
                recording = partial(self._ledger.finish, claim, answer)
                return Success(OrderDone(answer=answer, replayed=False))
            fault = result.failure()
            if fault.not_run:
                recording = partial(self._ledger.release, claim)
            else:
                recording = partial(self._ledger.mark_unknown, claim, fault.detail)
            return Failure(fault)
        finally:
            self._end(order, recording, held_bytes)

    async def _forward(
        self, claim: ClaimGranted, forward: Forward
    ) -> Result[StoredAnswer, Fault]:
        """Have the call made; every ending but an answer is not run or unknown."""
        permit = OrderPermit(claim=claim, clock=self._clock)
        refusal = permit.guard()
        if refusal is not None:
            return Failure(refusal)
        longest_ms = self._ledger.parameters.longest_call_ms
        try:
            async with asyncio.timeout(longest_ms / MS_PER_S):
                result = await forward(permit)
        except TimeoutError:
            return _unknown(f"the target gave no answer within {longest_ms:.0f} ms")
        except Exception as error:
            return _unknown(f"the call failed: {error!r}")
        if isinstance(result, Failure):
            fault = result.failure()
            return result if fault.not_run else _unknown(str(fault))
        if result.unwrap().status == STALE_FENCE_STATUS and self._honours_fencing():
            detail = "the target has a later fencing number and refused the order"
            return fail(ErrorKind.LEAVING, detail)
        return result

    def _end(
        self, order: OrderRequest, recording: Recording | None, held_bytes: int
    ) -> None:
        """Keep the ending for later submissions until the ledger has it."""
        if recording is None:
            self._running.pop(order.row_key, None)
            return
        self._held_bytes += held_bytes
        self._tasks.spawn(
            self._record(order, recording, held_bytes), name=f"record {order.row_key}"
        )

    async def _record(
        self, order: OrderRequest, recording: Recording, held_bytes: int
    ) -> None:
        try:
            await recording()
        finally:
            self._held_bytes -= held_bytes
            self._running.pop(order.row_key, None)

    def _count(self, outcome: _Ending) -> None:
        if isinstance(outcome, Failure):
            self.counts["not_run" if outcome.failure().not_run else "unknown"] += 1
            return
        ended = outcome.unwrap()
        if isinstance(ended, OrderElsewhere):
            self.counts["elsewhere"] += 1
        else:
            self.counts["replayed" if ended.replayed else "done"] += 1

    def _task_failed(self, name: str, error: BaseException) -> None:
        self._on_event("task_failed", level="error", task=name, error=repr(error))


class LinkAsk:
    """Sends `ClaimQuery` to the link address that stands in a claim's row.

    Parameters
    ----------
    endpoint : Endpoint
        This process's links.
    timeout_ms : float, default=1000.0
        Longest wait for the answer.
    """

    __slots__ = ("_endpoint", "_timeout_ms")

    def __init__(self, *, endpoint: Endpoint, timeout_ms: float = ASK_TIMEOUT_MS):
        self._endpoint = endpoint
        self._timeout_ms = timeout_ms

    async def __call__(
        self, address: str, ask: ClaimQuery
    ) -> Result[ClaimStatus, Fault]:
        """Return what the process at `address` knows of a claim."""
        known = any(peer.address == address for peer in self._endpoint.peers)
        peer = self._endpoint.peer(address)
        reply = await peer.call(ask, timeout_ms=self._timeout_ms)
        if isinstance(reply, Failure) and not known:
            # The address may be gone for good; nothing else uses the link.
            self._endpoint.forget(address)
        return reply


def _unknown(detail: str) -> Result[StoredAnswer, Fault]:
    return fail(ErrorKind.OUTCOME_UNKNOWN, detail)


def _replayed(outcome: _Ending) -> _Ending:
    if isinstance(outcome, Success) and isinstance(outcome.unwrap(), OrderDone):
        done = outcome.unwrap()
        return Success(msgspec.structs.replace(done, replayed=True))
    return outcome
