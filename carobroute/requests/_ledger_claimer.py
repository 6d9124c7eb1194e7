"""Claiming of orders by conditional writes, repeated until one is definite."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
from returns.result import Failure, Result, Success

from carobroute.errors import ErrorKind, Fault, fail
from carobroute.requests._group_commit import GroupCommit, RowWrite
from carobroute.requests._ledger_clock import LedgerClock
from carobroute.requests._ledger_fence import TargetFence
from carobroute.requests._ledger_messages import ClaimQuery, ClaimState, ClaimStatus
from carobroute.requests._ledger_outcomes import OutcomeWriter
from carobroute.requests._ledger_own_claims import OwnClaims
from carobroute.requests._ledger_types import (
    CLOCK_TABLE,
    FENCES_TABLE,
    MIN_RETENTION_MS,
    ORDERS_TABLE,
    ClaimElsewhere,
    ClaimFinished,
    ClaimGranted,
    ClaimOutcome,
    LedgerParameters,
    OrderRequest,
    OrderRow,
    OrderState,
    encode_row,
    order_row_decoder,
)
from carobroute.tables import Condition, ObjectStoreClient, Put, Row
from carobroute.utils import Clock

MAX_CLAIM_ROUNDS = 8

SendClaimQuery = Callable[[str, ClaimQuery], Awaitable[Result[ClaimStatus, Fault]]]


class Claimer:
    """Claims orders for one local process.

    Parameters
    ----------
    commit : GroupCommit
        Group commit of claims, with a timeout.
    outcomes : OutcomeWriter
        Releases abandoned claims.
    objects : ObjectStoreClient
        Object store that holds large answers.
    clock : Clock
        Source of time.
    ledger_clock : LedgerClock
        Clock row, on whose version each claim depends.
    fence : TargetFence
        Fence row, on whose version each claim depends.
    own_claims : OwnClaims
        State of the claims made by this process.
    parameters : LedgerParameters
        Parameters of the ledger.
    target : str
        Target of this process.
    send_claim_query : callable or None
        Sends an `ClaimQuery` to a link address and returns the reply.
    on_event : callable
        Called with an event name and fields.
    """

    __slots__ = (
        "_clock",
        "_commit",
        "_fence",
        "_ledger_clock",
        "_objects",
        "_on_event",
        "_outcomes",
        "_own_claims",
        "_parameters",
        "_refuse_until_ms",
        "_send_claim_query",
        "_target",
    )

    def __init__(
        self,
        *,
        commit: GroupCommit,
        outcomes: OutcomeWriter,
        objects: ObjectStoreClient,
        clock: Clock,
        ledger_clock: LedgerClock,
        fence: TargetFence,
        own_claims: OwnClaims,
        parameters: LedgerParameters,
        target: str,
        send_claim_query: SendClaimQuery | None,
        on_event: Callable[..., None],
    ):
        self._commit = commit
        self._outcomes = outcomes
        self._objects = objects
        self._clock = clock
        self._ledger_clock = ledger_clock
        self._fence = fence
        self._own_claims = own_claims
        self._parameters = parameters
        self._target = target
        self._send_claim_query = send_claim_query
        self._on_event = on_event
        self._refuse_until_ms = 0.0

    def refusal(self, order: OrderRequest) -> Fault | None:
        """Return the fault for which no claim can be made now, or None."""
        now_ms = self._clock.now_ms()
        if order.deadline_ms <= now_ms:
            detail = "the deadline passed before the order was claimed"
            return Fault(kind=ErrorKind.DEADLINE, detail=detail)
        if now_ms < self._refuse_until_ms:
            return self._store_fault(
                "the table service failed a claim; others are refused for a time"
            )
        return self._fence.refusal()

    async def claim(
        self, order: OrderRequest, row: OrderRow
    ) -> Result[ClaimOutcome, Fault]:
        """Write `row` as the claim on `order`, unless an earlier claim forbids it.

        An order that was claimed, run or released before has a row already. Each round
        uses the versions of the conflicting rows that the previous round returned.
        """
        version = 0
        started_ms, ledger_started_ms = (
            self._clock.now_ms(),
            self._ledger_clock.now_ms(),
        )
        for _ in range(MAX_CLAIM_ROUNDS):
            clock_version = self._ledger_clock.version
            write = self._claim_write(row, order, version)
            attempt = await self._try_claim(write, order, row, version, clock_version)
            if isinstance(attempt, Failure):
                return attempt
            conflicts = attempt.unwrap()
            if not conflicts:
                return Success(self._grant(order, row, version, clock_version, write))
            found = self._apply_conflicts(conflicts)
            refusal = self._fence.refusal() or self._check_duration(
                started_ms, ledger_started_ms
            )
            if refusal is not None:
                return Failure(refusal)
            if found is None:
                continue
            outcome = await self._existing_outcome(order, found)
            if outcome is not None:
                return outcome
            version = found.version
        return fail(
            ErrorKind.OVERLOADED,
            f"the order's row changed in each of {MAX_CLAIM_ROUNDS} claim rounds",
            retry_after_ms=self._parameters.refuse_after_failure_ms,
        )

    def _check_duration(
        self, started_ms: float, ledger_started_ms: float
    ) -> Fault | None:
        """Return a fault if the claim has taken too long for a further round.

        A claim that is delayed until the order's record has expired would find no
        record and run the order again. The ledger's clock is compared as well, because
        the monotonic clock stops while the machine is suspended.
        """
        elapsed_ms = max(
            self._clock.now_ms() - started_ms,
            self._ledger_clock.now_ms() - ledger_started_ms,
        )
        if elapsed_ms < MIN_RETENTION_MS / 2:
            return None
        return self._store_fault(f"the claim was abandoned after {elapsed_ms:.0f} ms")

    def _claim_write(
        self, row: OrderRow, order: OrderRequest, version: int
    ) -> RowWrite:
        key = order.row_key
        return RowWrite(
            conditions=[
                self._fence.condition,
                self._ledger_clock.condition,
                Condition(table=ORDERS_TABLE, key=key, version=version),
            ],
            puts=[Put(table=ORDERS_TABLE, key=key, value=encode_row(row))],
        )

    async def _try_claim(
        self,
        write: RowWrite,
        order: OrderRequest,
        row: OrderRow,
        version: int,
        clock_version: int,
    ) -> Result[list[Row], Fault]:
        """Write the claim once.

        After a fault the claim may still be stored later, but its order is never run
        under it.
        """
        if not self._commit.submit(write):
            return fail(
                ErrorKind.OVERLOADED,
                f"{self._commit.queued} claims wait for the table service",
                retry_after_ms=self._parameters.refuse_after_failure_ms,
            )
        time_left_ms = order.deadline_ms - self._clock.now_ms()
        timeout_ms = min(self._parameters.claim_timeout_ms, time_left_ms)
        try:
            await asyncio.wait({write.future}, timeout=max(0.0, timeout_ms) / 1_000)
        finally:
            # A result that arrives after this point is ignored.
            write.future.cancel()
            is_definite = not write.future.cancelled() and isinstance(
                write.future.result(), Success
            )
            if write.was_sent and not is_definite:
                self._outcomes.release_in_background(row, version, clock_version)
        if is_definite:
            return write.future.result()
        if timeout_ms == time_left_ms:
            detail = (
                f"the claim had no definite result within the {time_left_ms:.0f} ms"
                " left to the deadline"
            )
            return fail(ErrorKind.DEADLINE, detail)
        self._refuse_until_ms = (
            self._clock.now_ms() + self._parameters.refuse_after_failure_ms
        )
        return Failure(
            self._store_fault(
                f"the claim had no definite result within {timeout_ms:.0f} ms"
            )
        )

    def _store_fault(self, detail: str) -> Fault:
        return Fault(
            kind=ErrorKind.STORE_UNAVAILABLE,
            detail=detail,
            retry_after_ms=self._parameters.refuse_after_failure_ms,
        )

    def _grant(
        self,
        order: OrderRequest,
        row: OrderRow,
        version: int,
        clock_version: int,
        write: RowWrite,
    ) -> ClaimGranted:
        # The lease counts from the time before the write was sent, because no later
        # process had taken the fence at that time.
        lease_end_ms = write.sent_ms + self._parameters.lease_ms
        return ClaimGranted(
            row=row,
            version=version + 1,
            clock_version=clock_version,
            fence=self._fence.fence,
            forward_before_ms=min(lease_end_ms, order.deadline_ms),
            retention_ms=max(order.retention_ms, MIN_RETENTION_MS),
        )

    def _apply_conflicts(self, conflicts: list[Row]) -> Row | None:
        """Update clock and fence from conflicting rows; return the order's own row."""
        found = None
        for row in conflicts:
            if row.table == CLOCK_TABLE:
                self._ledger_clock.update_from_row(row)
            elif row.table == FENCES_TABLE:
                self._fence.update_from_row(row)
            else:
                found = row
        return found

    async def _existing_outcome(
        self, order: OrderRequest, found: Row
    ) -> Result[ClaimOutcome, Fault] | None:
        """Return the outcome given by the order's row; None if it may be claimed."""
        if not found.value:
            return None
        row = order_row_decoder.decode(found.value)
        if row.state is OrderState.RELEASED:
            return None
        if row.fingerprint != order.fingerprint:
            detail = f"key {order.key!r} was used before with another request"
            return fail(ErrorKind.KEY_REUSED, detail)
        if row.state is OrderState.UNKNOWN:
            return fail(ErrorKind.OUTCOME_UNKNOWN, row.detail)
        if row.state is OrderState.DONE:
            return await self._stored_answer(row)
        return await self._claimed_outcome(row)

    async def _claimed_outcome(
        self, row: OrderRow
    ) -> Result[ClaimOutcome, Fault] | None:
        state = await self._claim_state(row)
        if state is ClaimState.NEVER_RUN:
            self._on_event("claim_taken_over", team=row.team, key=row.key)
            return None
        if row.target == self._target:
            detail = f"{row.incarnation} claimed the order and has not stored an answer"
            return fail(ErrorKind.OUTCOME_UNKNOWN, detail)
        return Success(ClaimElsewhere(target=row.target, incarnation=row.incarnation))

    async def _claim_state(self, row: OrderRow) -> ClaimState:
        """Query the process that made the claim; without a reply it is unknown."""
        query = ClaimQuery(incarnation=row.incarnation, claim_id=row.claim_id)
        own_state = self._own_claims.state(query)
        if (
            own_state is not ClaimState.UNKNOWN
            or self._send_claim_query is None
            or not row.address
        ):
            return own_state
        reply = await self._send_claim_query(row.address, query)
        if isinstance(reply, Failure):
            return ClaimState.UNKNOWN
        status = reply.unwrap()
        # The address may have been reused by another incarnation.
        if status.incarnation != row.incarnation:
            return ClaimState.UNKNOWN
        return status.state

    async def _stored_answer(self, row: OrderRow) -> Result[ClaimOutcome, Fault]:
        assert row.answer is not None
        if not row.body_object:
            return Success(ClaimFinished(answer=row.answer))
        fetched = await self._objects.get(row.body_object)
        body = fetched.value_or(None)
        if body is None:
            # The order has run, so the fault must not be of a not-run kind.
            detail = "the order is done, but its stored answer could not be read"
            return fail(ErrorKind.OUTCOME_UNKNOWN, detail)
        answer = msgspec.structs.replace(row.answer, body=body)
        return Success(ClaimFinished(answer=answer))
