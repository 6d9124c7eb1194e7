"""Claims: the rounds of conditional writes that end in one definite answer."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
from returns.result import Failure, Result, Success

from carobroute.errors import ErrorKind, Fault, fail
from carobroute.requests._ledger_batch import GroupCommit, RowWrite
from carobroute.requests._ledger_clock import LedgerClock
from carobroute.requests._ledger_effects import EffectWriter
from carobroute.requests._ledger_fence import TargetFence
from carobroute.requests._ledger_memory import ClaimMemory
from carobroute.requests._ledger_messages import AskClaim, ClaimState, ClaimStatus
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

Ask = Callable[[str, AskClaim], Awaitable[Result[ClaimStatus, Fault]]]


class Claimer:
    """Claims orders for one local process.

    Parameters
    ----------
    commit : GroupCommit
        Writes claims.
    effects : EffectWriter
        Releases claims that were given up.
    objects : ObjectStoreClient
        Keeps large answers.
    clock : Clock
        Source of time.
    time : LedgerClock
        Clock row, on whose version each claim depends.
    fence : TargetFence
        Fence row, on whose version each claim depends.
    memory : ClaimMemory
        This process's own claims.
    parameters : LedgerParameters
        Times and bounds.
    target : str
        Target of this process.
    ask : callable or None
        Sends an `AskClaim` to an address.
    on_event : callable
        Called with an event name and fields.
    """

    __slots__ = (
        "_ask",
        "_clock",
        "_commit",
        "_effects",
        "_fence",
        "_memory",
        "_objects",
        "_on_event",
        "_parameters",
        "_refuse_until_ms",
        "_target",
        "_time",
    )

    def __init__(
        self,
        *,
        commit: GroupCommit,
        effects: EffectWriter,
        objects: ObjectStoreClient,
        clock: Clock,
        time: LedgerClock,
        fence: TargetFence,
        memory: ClaimMemory,
        parameters: LedgerParameters,
        target: str,
        ask: Ask | None,
        on_event: Callable[..., None],
    ):
        self._commit = commit
        self._effects = effects
        self._objects = objects
        self._clock = clock
        self._time = time
        self._fence = fence
        self._memory = memory
        self._parameters = parameters
        self._target = target
        self._ask = ask
        self._on_event = on_event
        self._refuse_until_ms = 0.0

    def refusal(self, order: OrderRequest) -> Fault | None:
        """Return why no claim can be made now, or None."""
        now_ms = self._clock.now_ms()
        if order.deadline_ms <= now_ms:
            detail = "the deadline passed before the order was claimed"
            return Fault(kind=ErrorKind.DEADLINE, detail=detail)
        if now_ms < self._refuse_until_ms:
            return self._store_fault("the table service has just failed a claim")
        return self._fence.check()

    async def claim(
        self, order: OrderRequest, row: OrderRow
    ) -> Result[ClaimOutcome, Fault]:
        """Write `row` as the claim on `order`, over what stands there if it may be.

        An order that others claimed, ran or released stands as a row already. Each
        round takes in what the round before has shown.
        """
        version = 0
        began_ms, ledger_began_ms = self._clock.now_ms(), self._time.now_ms()
        for _ in range(MAX_CLAIM_ROUNDS):
            clock_version = self._time.version
            write = self._claim_write(row, order, version)
            tried = await self._try_claim(write, order, row, version, clock_version)
            if isinstance(tried, Failure):
                return tried
            against = tried.unwrap()
            if not against:
                return Success(self._grant(order, row, version, clock_version, write))
            found = self._learn(against)
            refusal = self._fence.check() or self._overdue(began_ms, ledger_began_ms)
            if refusal is not None:
                return Failure(refusal)
            if found is None:
                continue
            decided = await self._judge(order, found)
            if decided is not None:
                return decided
            version = found.version
        return fail(
            ErrorKind.OVERLOADED,
            f"the order's row changed in each of {MAX_CLAIM_ROUNDS} rounds",
            retry_after_ms=self._parameters.refuse_ms,
        )

    def _overdue(self, began_ms: float, ledger_began_ms: float) -> Fault | None:
        """Return a fault if the claim has taken so long that no other round is safe.

        A claim that was held up while an order's record expired would find no record
        and run the order again. The ledger's time also shows a suspension of the
        machine, during which the monotonic clock stands still.
        """
        took_ms = max(
            self._clock.now_ms() - began_ms, self._time.now_ms() - ledger_began_ms
        )
        if took_ms < MIN_RETENTION_MS / 2:
            return None
        return self._store_fault(f"the claim was held up for {took_ms:.0f} ms")

    def _claim_write(
        self, row: OrderRow, order: OrderRequest, version: int
    ) -> RowWrite:
        key = order.row_key
        return RowWrite(
            conditions=[
                self._fence.condition,
                self._time.condition,
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
        """Write the claim once; after a fault it may yet land, but is never run."""
        if not self._commit.submit(write):
            return fail(
                ErrorKind.OVERLOADED,
                f"{self._commit.queued} claims wait for the table service",
                retry_after_ms=self._parameters.refuse_ms,
            )
        left_ms = order.deadline_ms - self._clock.now_ms()
        limit_ms = min(self._parameters.claim_timeout_ms, left_ms)
        try:
            await asyncio.wait({write.future}, timeout=max(0.0, limit_ms) / 1_000)
        finally:
            # From here on a result that has not arrived is not taken any more.
            write.future.cancel()
            definite = not write.future.cancelled() and isinstance(
                write.future.result(), Success
            )
            if write.sent and not definite:
                self._effects.resolve(row, version, clock_version)
        if definite:
            return write.future.result()
        if limit_ms == left_ms:
            detail = f"the order was not claimed within its {left_ms:.0f} ms"
            return fail(ErrorKind.DEADLINE, detail)
        self._refuse_until_ms = self._clock.now_ms() + self._parameters.refuse_ms
        return Failure(self._store_fault(f"no definite claim in {limit_ms:.0f} ms"))

    def _store_fault(self, detail: str) -> Fault:
        return Fault(
            kind=ErrorKind.STORE_UNAVAILABLE,
            detail=detail,
            retry_after_ms=self._parameters.refuse_ms,
        )

    def _grant(
        self,
        order: OrderRequest,
        row: OrderRow,
        version: int,
        clock_version: int,
        write: RowWrite,
    ) -> ClaimGranted:
        # The lease counts from before the write was sent: at that time no later
        # process had taken the fence.
        lease_end_ms = write.sent_ms + self._parameters.lease_ms
        return ClaimGranted(
            row=row,
            version=version + 1,
            clock_version=clock_version,
            fence=self._fence.fence,
            forward_before_ms=min(lease_end_ms, order.deadline_ms),
            retention_ms=max(order.retention_ms, MIN_RETENTION_MS),
        )

    def _learn(self, against: list[Row]) -> Row | None:
        """Take in the rows that stood against a claim; return the order's own."""
        found = None
        for row in against:
            if row.table == CLOCK_TABLE:
                self._time.learn(row)
            elif row.table == FENCES_TABLE:
                self._fence.learn(row)
            else:
                found = row
        return found

    async def _judge(
        self, order: OrderRequest, found: Row
    ) -> Result[ClaimOutcome, Fault] | None:
        """Return the answer that the order's row gives; None if it may be claimed."""
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
        return await self._judge_claimed(row)

    async def _judge_claimed(self, row: OrderRow) -> Result[ClaimOutcome, Fault] | None:
        state = await self._claim_state(row)
        if state is ClaimState.NEVER:
            self._on_event("claim_taken_over", team=row.team, key=row.key)
            return None
        if row.target == self._target:
            detail = f"{row.incarnation} claimed the order; its answer is not here"
            return fail(ErrorKind.OUTCOME_UNKNOWN, detail)
        return Success(ClaimElsewhere(target=row.target, incarnation=row.incarnation))

    async def _claim_state(self, row: OrderRow) -> ClaimState:
        """Ask the process that made the claim; its silence leaves it unknown."""
        ask = AskClaim(incarnation=row.incarnation, claim_id=row.claim_id)
        own = self._memory.state(ask)
        if own is not ClaimState.UNKNOWN or self._ask is None or not row.address:
            return own
        reply = await self._ask(row.address, ask)
        if isinstance(reply, Failure):
            return ClaimState.UNKNOWN
        status = reply.unwrap()
        # A recycled address may answer for another incarnation.
        if status.incarnation != row.incarnation:
            return ClaimState.UNKNOWN
        return status.state

    async def _stored_answer(self, row: OrderRow) -> Result[ClaimOutcome, Fault]:
        assert row.answer is not None
        if not row.body_object:
            return Success(ClaimFinished(answer=row.answer))
        stored = await self._objects.get(row.body_object)
        body = stored.value_or(None)
        if body is None:
            # The order has run, so this must not be one of the not-run kinds.
            detail = "the order is done, but its answer cannot be read now"
            return fail(ErrorKind.OUTCOME_UNKNOWN, detail)
        answer = msgspec.structs.replace(row.answer, body=body)
        return Success(ClaimFinished(answer=answer))
