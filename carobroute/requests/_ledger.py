"""Order ledger: claims on orders, their outcomes and stored answers."""

from collections.abc import Callable

from returns.result import Failure, Result, Success

from carobroute.errors import ErrorKind, Fault, fail
from carobroute.requests._group_commit import GroupCommit
from carobroute.requests._ledger_claimer import Claimer, SendClaimQuery
from carobroute.requests._ledger_clock import LedgerClock
from carobroute.requests._ledger_fence import TargetFence
from carobroute.requests._ledger_messages import ClaimQuery, ClaimStatus
from carobroute.requests._ledger_outcomes import OutcomeWriter
from carobroute.requests._ledger_own_claims import OwnClaims
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

FENCE_RETRY_MS = 500.0


class Ledger:
    """Claims orders for one local process, so that each order runs at most once.

    A claim is a conditional write of the order's row. It also requires the versions
    of the target's fence row (no later local process has taken over the target) and
    of the ledger's clock row (no clean-up has happened since).

    Parameters
    ----------
    table : TableClient
        The table service.
    objects : ObjectStoreClient
        Object store for large answers.
    clock : Clock
        Source of time.
    target, incarnation, address : str
        Name of the target, and incarnation and link address of this process; the
        address receives `ClaimQuery`.
    parameters : LedgerParameters, default=None
        Parameters of the ledger.
    honours_fencing : callable, default=None
        Returns whether the target refuses old fencing numbers; by default it does
        not.
    send_claim_query : callable, default=None
        Sends an `ClaimQuery` to a link address; without it no claim of another process
        is taken over.
    on_event : callable, default=None
        Called with an event name and fields, for the log.

    Notes
    -----
    Call `start` once and `close` at the end. Until the fence is taken and the calls of
    an earlier holder have ended, claims are refused with faults of not-run kinds.
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
        send_claim_query: SendClaimQuery | None = None,
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
        self._ledger_clock = LedgerClock(clock=clock)
        self._own_claims = OwnClaims(
            incarnation=incarnation,
            max_abandoned_claims=parameters.max_abandoned_claims,
        )
        self._fence = TargetFence(
            table=table,
            clock=clock,
            target=target,
            incarnation=incarnation,
            honours_fencing=honours_fencing or (lambda: False),
            settled_ms=parameters.lease_ms + parameters.longest_call_ms,
        )
        self._claim_commit = self._group_commit(retry_until_definite=False)
        self._outcomes = OutcomeWriter(
            table=table,
            objects=objects,
            commit=self._group_commit(retry_until_definite=True),
            ledger_clock=self._ledger_clock,
            parameters=parameters,
            tasks=self._tasks,
            clock=clock,
            on_event=self._on_event,
        )
        self._claimer = Claimer(
            commit=self._claim_commit,
            outcomes=self._outcomes,
            objects=objects,
            clock=clock,
            ledger_clock=self._ledger_clock,
            fence=self._fence,
            own_claims=self._own_claims,
            parameters=parameters,
            target=target,
            send_claim_query=send_claim_query,
            on_event=self._on_event,
        )

    @property
    def parameters(self) -> LedgerParameters:
        """Parameters of the ledger."""
        return self._parameters

    @property
    def fence(self) -> int:
        """Fencing number of this process; 0 before it has taken the fence."""
        return self._fence.fence

    @property
    def is_superseded(self) -> bool:
        """Whether a later process has taken over the target, or this one closed."""
        return self._fence.is_superseded

    @property
    def can_claim(self) -> bool:
        """Whether claims can be made."""
        return self._fence.refusal() is None

    @property
    def unsettled_writes(self) -> int:
        """Number of writes without a definite outcome."""
        return self._outcomes.unsettled_writes

    @property
    def transactions(self) -> int:
        """Number of transactions sent so far."""
        return self._claim_commit.transactions + self._outcomes.transactions

    def start(self) -> None:
        """Start the group commits, and take the fence in the background."""
        self._claim_commit.start("claims")
        self._outcomes.start()
        self._tasks.spawn(self._take_fence(), name="fence")

    async def close(self, *, grace_ms: float = 5_000.0) -> None:
        """Wait for writes without a definite outcome, close the fence and stop.

        Must be called when no call is in progress any more.
        """
        settled = await self._outcomes.drain(grace_ms)
        if settled and not len(self._own_claims):
            await self._fence.close()
        await self._tasks.close()

    async def claim(self, order: OrderRequest) -> Result[ClaimOutcome, Fault]:
        """Claim an order for this process.

        Returns
        -------
        outcome : Result
            `ClaimGranted`, after which the caller must forward the order once and
            pass the claim to `finish`, `release` or `mark_unknown`; `ClaimFinished`
            with the answer of the first run; `ClaimElsewhere` if another process may
            hold the order. A fault of a not-run kind guarantees that the order is
            never run under this claim; `OUTCOME_UNKNOWN` means that the order may
            have run and its answer is not available.
        """
        if len(order.key.encode()) > MAX_KEY_BYTES:
            detail = (
                f"the key has {len(order.key)} characters, which take more bytes than"
                f" the maximum of {MAX_KEY_BYTES}"
            )
            return fail(ErrorKind.BAD_REQUEST, detail)
        refusal = self._claimer.refusal(order)
        if refusal is not None:
            return Failure(refusal)
        row = self._new_row(order)
        self._own_claims.hold(row.claim_id)
        granted = False
        try:
            outcome = await self._claimer.claim(order, row)
            granted = isinstance(outcome.value_or(None), ClaimGranted)
            return outcome
        finally:
            if not granted:
                self._own_claims.abandon(row.claim_id)

    async def finish(self, claim: ClaimGranted, answer: StoredAnswer) -> None:
        """Store the answer with the order; return when the write is definite."""
        await self._outcomes.finish(claim, answer)
        self._own_claims.end(claim.row.claim_id)

    async def mark_unknown(self, claim: ClaimGranted, detail: str) -> None:
        """Record that the order may have run, so that it is never run again."""
        await self._outcomes.mark_unknown(claim, detail)
        self._own_claims.end(claim.row.claim_id)

    async def release(self, claim: ClaimGranted) -> None:
        """Record that the order did not run and never will under this claim.

        This is guaranteed from the start of the call; the call returns when the row
        has been written.
        """
        self._own_claims.abandon(claim.row.claim_id)
        await self._outcomes.release(claim.row, claim.version, claim.clock_version)

    async def read(self, team: str, key: str) -> Result[OrderRow | None, Fault]:
        """Return the row of an order, for operators."""
        return await read_order(self._table, team, key)

    def claim_status(self, query: ClaimQuery) -> ClaimStatus:
        """Return the state of a claim made by this process."""
        state = self._own_claims.state(query)
        return ClaimStatus(incarnation=self._incarnation, state=state)

    def _group_commit(self, *, retry_until_definite: bool) -> GroupCommit:
        parameters = self._parameters
        return GroupCommit(
            table=self._table,
            clock=self._clock,
            tasks=self._tasks,
            max_batch=parameters.max_batch,
            max_queued=parameters.max_unsettled
            if retry_until_definite
            else parameters.max_queued,
            max_parallel_transactions=parameters.max_parallel_transactions,
            min_interval_ms=parameters.min_interval_ms,
            timeout_ms=(
                parameters.outcome_timeout_ms
                if retry_until_definite
                else parameters.claim_timeout_ms
            ),
            retry_until_definite=retry_until_definite,
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
            taken: Result = await self._ledger_clock.fetch(self._table)
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
            await self._clock.sleep_ms(FENCE_RETRY_MS)

    def _task_failed(self, name: str, error: BaseException) -> None:
        self._on_event("task_failed", level="error", task=name, error=repr(error))


async def read_order(
    table: TableClient, team: str, key: str
) -> Result[OrderRow | None, Fault]:
    """Return the row of the order of `team` under `key`, or None."""
    found = await table.read(ORDERS_TABLE, order_row_key(team, key))
    return found.map(lambda row: order_row_decoder.decode(row.value) if row else None)
