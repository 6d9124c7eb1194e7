"""Order ledger: which orders have been claimed, by whom, and their answers."""

from collections.abc import Callable

from returns.result import Failure, Result, Success

from carobroute.errors import ErrorKind, Fault, fail
from carobroute.requests._ledger_batch import GroupCommit
from carobroute.requests._ledger_claims import Ask, Claimer
from carobroute.requests._ledger_clock import LedgerClock
from carobroute.requests._ledger_effects import EffectWriter
from carobroute.requests._ledger_fence import TargetFence
from carobroute.requests._ledger_memory import ClaimMemory
from carobroute.requests._ledger_messages import AskClaim, ClaimStatus
from carobroute.requests._ledger_types import (
    MAX_KEY_BYTES,
    ORDERS_TABLE,
    ClaimGranted,
    ClaimOutcome,
    LedgerParameters,
    OrderRequest,
    OrderRow,
    OrderState,
    StoredAnswer,
    order_row_decoder,
    order_row_key,
)
from carobroute.tables import ObjectStoreClient, TableClient
from carobroute.utils import Clock, TaskSet, new_token

START_RETRY_MS = 500.0


class Ledger:
    """Claims of one local process on orders; each order is run at most once.

    A claim is a conditional write of the order's row. It also requires the versions
    of the target's fence row (no later local process has taken the target over) and
    of the ledger's clock row (no clean-up came between).

    Parameters
    ----------
    table : TableClient
        The table service.
    objects : ObjectStoreClient
        Keeps large answers.
    clock : Clock
        Source of time.
    target, incarnation, address : str
        Target, this process, and its link address for `AskClaim`.
    parameters : LedgerParameters, default=None
        Times and bounds.
    honours_fencing : callable, default=None
        Tells whether the target refuses old fencing numbers; never by default.
    ask : callable, default=None
        Sends an `AskClaim` to an address; without it no claim is ever taken over.
    on_event : callable, default=None
        Called with an event name and fields, for the log.

    Notes
    -----
    Call `start` once, `close` at the end. Until the fence is taken, and an earlier
    holder of the target waited out, claims are refused as not run.
    """

    def __init__(
        self,
        *,
        table: TableClient,
        objects: ObjectStoreClient,
        clock: Clock,
        target: str,
        incarnation: str,
        address: str = "",
        parameters: LedgerParameters | None = None,
        honours_fencing: Callable[[], bool] | None = None,
        ask: Ask | None = None,
        on_event: Callable[..., None] | None = None,
    ):
        self._table = table
        self._clock = clock
        self._target = target
        self._incarnation = incarnation
        self._address = address
        self._parameters = parameters = parameters or LedgerParameters()
        self._on_event = on_event or (lambda *args, **fields: None)
        self._tasks = TaskSet(on_failure=self._task_failed)
        self._time = LedgerClock(clock=clock)
        self._memory = ClaimMemory(
            incarnation=incarnation, max_remembered=parameters.max_remembered
        )
        self._fence = TargetFence(
            table=table,
            clock=clock,
            target=target,
            incarnation=incarnation,
            honours_fencing=honours_fencing or (lambda: False),
            settled_ms=parameters.lease_ms + parameters.longest_call_ms,
        )
        self._claims = self._group_commit(patient=False)
        self._effects = EffectWriter(
            table=table,
            objects=objects,
            commit=self._group_commit(patient=True),
            time=self._time,
            parameters=parameters,
            tasks=self._tasks,
            clock=clock,
            on_event=self._on_event,
        )
        self._claimer = Claimer(
            commit=self._claims,
            effects=self._effects,
            objects=objects,
            clock=clock,
            time=self._time,
            fence=self._fence,
            memory=self._memory,
            parameters=parameters,
            target=target,
            ask=ask,
            on_event=self._on_event,
        )

    @property
    def parameters(self) -> LedgerParameters:
        """Times and bounds."""
        return self._parameters

    @property
    def fence(self) -> int:
        """Fencing number of this process on its target; 0 before it has one."""
        return self._fence.fence

    @property
    def superseded(self) -> bool:
        """Whether a later local process holds the target."""
        return self._fence.superseded

    @property
    def ready(self) -> bool:
        """Whether claims can be made."""
        return self._fence.check() is None

    @property
    def unsettled(self) -> int:
        """Writes that are kept until they are definite."""
        return self._effects.unsettled

    @property
    def transactions(self) -> int:
        """Transactions sent so far."""
        return self._claims.transactions + self._effects.transactions

    def start(self) -> None:
        """Start writing, and take the fence in the background."""
        self._claims.start("claims")
        self._effects.start()
        self._tasks.spawn(self._take_fence(), name="fence")

    async def close(self, *, grace_ms: float = 5_000.0) -> None:
        """Wait for writes that are not definite, close the fence and stop.

        To be called when no call is under way any more.
        """
        settled = await self._effects.drain(grace_ms)
        if settled and not len(self._memory):
            await self._fence.close()
        await self._tasks.close()

    async def claim(self, order: OrderRequest) -> Result[ClaimOutcome, Fault]:
        """Claim an order for this process.

        Returns
        -------
        outcome : Result
            `ClaimGranted`, on which the order is to be forwarded once and then passed
            to `finish`, `release` or `mark_unknown`; `ClaimFinished` with the answer
            of the first run; `ClaimElsewhere` when another process may hold it. A
            fault of a not-run kind promises that this claim is never run;
            `OUTCOME_UNKNOWN` stands for a claim whose process does not answer.
        """
        if len(order.key.encode()) > MAX_KEY_BYTES:
            detail = f"the key has {len(order.key)} characters, over {MAX_KEY_BYTES}"
            return fail(ErrorKind.BAD_REQUEST, detail)
        refusal = self._claimer.refusal(order)
        if refusal is not None:
            return Failure(refusal)
        row = self._new_row(order)
        self._memory.hold(row.claim_id)
        granted = False
        try:
            outcome = await self._claimer.claim(order, row)
            granted = isinstance(outcome.value_or(None), ClaimGranted)
            return outcome
        finally:
            if not granted:
                self._memory.give_up(row.claim_id)

    async def finish(self, claim: ClaimGranted, answer: StoredAnswer) -> None:
        """Keep the answer with the order; returns when that is definite."""
        await self._effects.finish(claim, answer)
        self._memory.end(claim.row.claim_id)

    async def mark_unknown(self, claim: ClaimGranted, detail: str) -> None:
        """Record that the order may have run; it is never run again."""
        await self._effects.mark_unknown(claim, detail)
        self._memory.end(claim.row.claim_id)

    async def release(self, claim: ClaimGranted) -> None:
        """Record that the order did not run and never will under this claim.

        The promise holds from the call on; it returns when the row says so too.
        """
        self._memory.give_up(claim.row.claim_id)
        await self._effects.release(claim.row, claim.version, claim.clock_version)

    async def read(self, team: str, key: str) -> Result[OrderRow | None, Fault]:
        """Return the record of an order, for operators."""
        return await read_order(self._table, team, key)

    def answer_ask(self, ask: AskClaim) -> ClaimStatus:
        """Tell what became of a claim of this process."""
        state = self._memory.state(ask)
        return ClaimStatus(incarnation=self._incarnation, state=state)

    def _group_commit(self, *, patient: bool) -> GroupCommit:
        parameters = self._parameters
        return GroupCommit(
            table=self._table,
            clock=self._clock,
            tasks=self._tasks,
            max_batch=parameters.max_batch,
            max_queued=parameters.max_unsettled if patient else parameters.max_queued,
            workers=parameters.workers,
            pause_ms=parameters.pause_ms,
            timeout_ms=(
                parameters.effect_timeout_ms if patient else parameters.claim_timeout_ms
            ),
            patient=patient,
        )

    def _new_row(self, order: OrderRequest) -> OrderRow:
        return OrderRow(
            team=order.team,
            key=order.key,
            request_id=order.request_id,
            fingerprint=order.fingerprint,
            service=order.service,
            target=self._target,
            incarnation=self._incarnation,
            address=self._address,
            claim_id=new_token(),
            state=OrderState.CLAIMED,
            claimed_wall_ms=self._clock.wall_ms(),
        )

    async def _take_fence(self) -> None:
        while True:
            taken: Result = await self._time.fetch(self._table)
            if isinstance(taken, Success):
                taken = await self._fence.acquire()
            if isinstance(taken, Success):
                self._on_event("fence_taken", target=self._target, fence=self.fence)
                return
            self._on_event(
                "fence_not_taken",
                level="warning",
                target=self._target,
                reason=str(taken.failure()),
            )
            await self._clock.sleep_ms(START_RETRY_MS)

    def _task_failed(self, name: str, error: BaseException) -> None:
        self._on_event("task_failed", level="error", task=name, error=repr(error))


async def read_order(
    table: TableClient, team: str, key: str
) -> Result[OrderRow | None, Fault]:
    """Return the record of the order of `team` under `key`, or None."""
    found = await table.read(ORDERS_TABLE, order_row_key(team, key))
    return found.map(lambda row: order_row_decoder.decode(row.value) if row else None)
