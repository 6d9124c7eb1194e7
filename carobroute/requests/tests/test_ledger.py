import asyncio

import pytest
from returns.result import Failure, Success

from carobroute.errors import ErrorKind, fail
from carobroute.requests import (
    ClaimElsewhere,
    ClaimFinished,
    ClaimGranted,
    Ledger,
    LedgerCleaner,
    LedgerParameters,
    OrderState,
    StoredAnswer,
    read_order,
)
from carobroute.tables import Put, Transaction
from carobroute.testing import FakeObjects, FakeTable, make_order, wait_until
from carobroute.utils import ManualClock

ANSWER = StoredAnswer(status=201, headers={"X": "y"}, body=b"done")


class BlockingTable(FakeTable):
    """Table service that blocks and keeps writes of orders on request."""

    def __init__(self, *, clock):
        super().__init__(clock=clock)
        self.blocks_writes = False
        self.blocked_transactions = []
        self.blocked_state = ""
        self.accepts_writes = asyncio.Event()
        self.accepts_writes.set()

    async def transact(self, transaction):
        await self.accepts_writes.wait()
        if self.blocks_writes and any(
            self.is_blocked_put(put) for put in transaction.puts
        ):
            if transaction not in self.blocked_transactions:
                self.blocked_transactions.append(transaction)
            await asyncio.sleep(0)
            return fail(ErrorKind.STORE_UNAVAILABLE, "held back")
        return await super().transact(transaction)

    def is_blocked_put(self, put):
        return put.table == "orders" and self.blocked_state.encode() in (
            put.value or b""
        )


class LedgerCluster:
    """One table, and ledgers that can query each other's claims."""

    def __init__(self):
        self.clock = ManualClock()
        self.table = BlockingTable(clock=self.clock)
        self.objects = FakeObjects()
        self.ledgers = {}
        self.events = []

    async def start(self, name, *, target="", **options):
        ledger = Ledger(
            table=self.table,
            objects=self.objects,
            clock=self.clock,
            target=target or name,
            incarnation=f"{name}~1",
            address=f"tcp://{name}",
            send_claim_query=self.ask,
            on_event=lambda event, **fields: self.events.append(event),
            **options,
        )
        self.ledgers[f"tcp://{name}"] = ledger
        ledger.start()
        await wait_until(lambda: ledger.fence)
        return ledger

    async def ask(self, address, query):
        await asyncio.sleep(0)
        ledger = self.ledgers.get(address)
        if ledger is None:
            return Failure("no process at this address")
        return Success(ledger.claim_status(query))

    def cleaner(self):
        return LedgerCleaner(
            table=self.table,
            objects=self.objects,
            clock=self.clock,
            has_duty=lambda: True,
        )

    def kill(self, name):
        """Stop a process as SIGKILL does: it sends and answers nothing any more."""
        ledger = self.ledgers.pop(f"tcp://{name}")
        for task in ledger._tasks._tasks:
            task.cancel()

    async def row(self, key="key-1"):
        return (await read_order(self.table, "till", key)).unwrap()


@pytest.fixture
async def cluster():
    cluster = LedgerCluster()
    yield cluster
    for name in list(cluster.ledgers):
        cluster.kill(name.removeprefix("tcp://"))


def fault_kind(result):
    return result.failure().kind


async def test_stored_answer_is_returned_by_every_target(cluster):
    first, second = await cluster.start("a"), await cluster.start("b")
    claim = (await first.claim(make_order())).unwrap()
    assert isinstance(claim, ClaimGranted)
    elsewhere = (await second.claim(make_order())).unwrap()
    assert elsewhere == ClaimElsewhere(target="a", incarnation="a~1")
    await first.finish(claim, ANSWER)
    for ledger in (first, second):
        assert (await ledger.claim(make_order())).unwrap() == ClaimFinished(
            answer=ANSWER
        )
    other = await second.claim(make_order(body=b"two bells"))
    assert fault_kind(other) is ErrorKind.KEY_REUSED


async def test_large_answer_is_stored_in_the_object_store(cluster):
    ledger = await cluster.start("a")
    claim = (await ledger.claim(make_order())).unwrap()
    large = StoredAnswer(status=200, body=b"x" * 50_000)
    await ledger.finish(claim, large)
    assert len(cluster.table.row("orders", "till/k/key-1").value) < 1_000
    assert (await ledger.claim(make_order())).unwrap().answer == large
    cluster.objects.available = False
    # The order has run, so the fault must not be of a not-run kind.
    assert fault_kind(await ledger.claim(make_order())) is ErrorKind.OUTCOME_UNKNOWN


async def test_claim_and_finish_survive_lost_replies_of_the_store(cluster):
    ledger = await cluster.start("a")
    cluster.table.lose_answers = 3
    claim = (await ledger.claim(make_order())).unwrap()
    assert isinstance(claim, ClaimGranted)
    cluster.table.lose_answers = 3
    await ledger.finish(claim, ANSWER)
    assert (await cluster.row()).state is OrderState.DONE


async def test_claims_share_transactions_and_conflict_individually(cluster):
    ledger, other = await cluster.start("a"), await cluster.start("b")
    (await other.claim(make_order("key-7"))).unwrap()
    before = ledger.transactions
    orders = [make_order(f"key-{number}") for number in range(60)]
    outcomes = await asyncio.gather(*[ledger.claim(order) for order in orders])
    kinds = [type(outcome.unwrap()) for outcome in outcomes]
    assert kinds.pop(7) is ClaimElsewhere
    assert set(kinds) == {ClaimGranted}
    assert ledger.transactions - before <= 4


async def claim_with_lost_reply(cluster, ledger, order):
    """Make a claim that the store applies, with the reply lost in an outage."""

    def lose_reply(transaction):
        if any(put.table == "orders" for put in transaction.puts):
            cluster.table.lose_answers = 1
            cluster.table.available = False

    cluster.table.before_transact = lose_reply
    outcome = await ledger.claim(order)
    cluster.table.before_transact = None
    assert fault_kind(outcome) is ErrorKind.STORE_UNAVAILABLE
    assert (cluster.table.row("orders", order.row_key)) is not None
    return outcome


async def test_claim_interrupted_by_outage_is_not_run_and_can_be_taken_over(cluster):
    first, second = await cluster.start("a"), await cluster.start("b")
    await claim_with_lost_reply(cluster, first, make_order())
    refused = await first.claim(make_order("key-2"))
    assert fault_kind(refused) is ErrorKind.STORE_UNAVAILABLE
    cluster.table.available = True
    second_claim = (await second.claim(make_order())).unwrap()
    assert isinstance(second_claim, ClaimGranted)
    await second.finish(second_claim, ANSWER)
    await wait_until(lambda: not first.unsettled_writes)
    assert (await cluster.row()).state is OrderState.DONE


async def test_abandoned_claim_is_released_when_the_store_returns(cluster):
    first, second = await cluster.start("a"), await cluster.start("b")
    await claim_with_lost_reply(cluster, first, make_order())
    cluster.table.available = True
    await wait_until(lambda: not first.unsettled_writes)
    assert (await cluster.row()).state is OrderState.RELEASED
    cluster.kill("a")
    assert isinstance((await second.claim(make_order())).unwrap(), ClaimGranted)


async def test_order_claimed_by_a_killed_process_is_never_run(cluster):
    first, second = await cluster.start("a"), await cluster.start("b")
    await claim_with_lost_reply(cluster, first, make_order())
    cluster.kill("a")
    cluster.table.available = True
    assert isinstance((await second.claim(make_order())).unwrap(), ClaimElsewhere)
    successor = await cluster.start("a2", target="a", honours_fencing=lambda: True)
    for _ in range(3):
        outcome = await successor.claim(make_order())
        assert fault_kind(outcome) is ErrorKind.OUTCOME_UNKNOWN


async def test_claim_applied_after_its_release_is_never_run(cluster):
    """The write of an abandoned claim arrives after the write of its release."""
    ledger, other = await cluster.start("a"), await cluster.start("b")
    cluster.table.blocks_writes = True
    outcome = await ledger.claim(make_order())
    assert fault_kind(outcome) is ErrorKind.STORE_UNAVAILABLE
    cluster.table.blocks_writes = False
    delayed = cluster.table.blocked_transactions[0]
    await wait_until(lambda: not ledger.unsettled_writes)
    assert not (await cluster.table.transact(delayed)).unwrap().committed
    assert isinstance((await other.claim(make_order())).unwrap(), ClaimGranted)


async def test_claim_applied_after_the_deadline_is_released(cluster):
    ledger, other = await cluster.start("a"), await cluster.start("b")
    cluster.table.accepts_writes.clear()
    delayed = await ledger.claim(make_order(deadline_ms=cluster.clock.now_ms() + 20))
    assert fault_kind(delayed) is ErrorKind.DEADLINE
    cluster.table.accepts_writes.set()
    await wait_until(lambda: not ledger.unsettled_writes)
    assert (await cluster.row()).state is OrderState.RELEASED
    assert isinstance((await other.claim(make_order())).unwrap(), ClaimGranted)


async def test_abandoned_claim_applied_before_its_release_is_never_run(cluster):
    ledger, other = await cluster.start("a"), await cluster.start("b")
    cluster.table.blocks_writes = True
    assert isinstance(await ledger.claim(make_order()), Failure)
    delayed = cluster.table.blocked_transactions[0]
    assert (await FakeTable.transact(cluster.table, delayed)).unwrap().committed
    assert isinstance((await other.claim(make_order("key-2"))), Failure)
    cluster.table.blocks_writes = False
    cluster.clock.advance_ms(10_000)
    granted = (await other.claim(make_order())).unwrap()
    assert isinstance(granted, ClaimGranted)
    await wait_until(lambda: not ledger.unsettled_writes)
    row = await cluster.row()
    assert row.claim_id == granted.row.claim_id and row.state is OrderState.CLAIMED


async def test_claim_delayed_across_a_clean_up_fails(cluster):
    """Removal restarts row versions, but the version of the clock row only grows."""
    first, second = await cluster.start("a"), await cluster.start("b")
    cleaner = cluster.cleaner()
    await cleaner.clean_once()
    (await second.claim(make_order("key-0"))).unwrap()
    cluster.table.blocks_writes = True
    assert isinstance(await second.claim(make_order()), Failure)
    cluster.kill("b")
    cluster.table.blocks_writes = False
    claim = (await first.claim(make_order())).unwrap()
    await first.finish(claim, ANSWER)
    cluster.clock.advance_ms(4_000_000)
    assert (await cleaner.clean_once()).unwrap() == 1
    assert await cluster.row() is None
    assert cluster.table.blocked_transactions
    for blocked in cluster.table.blocked_transactions:
        assert not (await cluster.table.transact(blocked)).unwrap().committed


async def test_release_delayed_across_a_clean_up_does_not_overwrite_other_claims(
    cluster,
):
    """Removal restarts row versions, so a late release could match a new claim."""
    first, second = await cluster.start("a"), await cluster.start("b")
    cleaner = cluster.cleaner()
    await cleaner.clean_once()
    claim = (await first.claim(make_order())).unwrap()
    cluster.table.blocks_writes, cluster.table.blocked_state = True, "a~1"
    releasing = asyncio.create_task(first.release(claim))
    await wait_until(lambda: cluster.table.blocked_transactions)
    second_claim = (await second.claim(make_order())).unwrap()
    assert isinstance(second_claim, ClaimGranted)
    await second.release(second_claim)
    cluster.clock.advance_ms(4_000_000)
    assert (await cleaner.clean_once()).unwrap() == 1
    third_claim = (await second.claim(make_order())).unwrap()
    assert third_claim.version == claim.version
    cluster.table.blocks_writes = False
    await releasing
    row = await cluster.row()
    assert row.claim_id == third_claim.row.claim_id and row.state is OrderState.CLAIMED


async def test_claim_delayed_beyond_the_retention_is_not_retried(cluster):
    ledger = await cluster.start("a")
    cleaner = cluster.cleaner()
    await cleaner.clean_once()

    def suspend(transaction):
        cluster.table.before_transact = None
        cluster.clock.advance_ms(120_000)
        row = cluster.table.row("order_clock", "clock")
        put = Put(table="order_clock", key="clock", value=row.value)
        cluster.table._write(Transaction(token="t", conditions=[], puts=[put]))

    cluster.table.before_transact = suspend
    delayed = await ledger.claim(make_order())
    assert (
        fault_kind(delayed) is ErrorKind.STORE_UNAVAILABLE and delayed.failure().not_run
    )
    assert await cluster.row() is None


async def test_released_order_can_be_claimed_by_another_process(cluster):
    first, second = await cluster.start("a"), await cluster.start("b")
    claim = (await first.claim(make_order())).unwrap()
    await first.release(claim)
    assert isinstance((await second.claim(make_order())).unwrap(), ClaimGranted)


async def test_later_process_of_a_target_supersedes_and_waits_for_old_calls(cluster):
    first = await cluster.start("a")
    (await first.claim(make_order("key-0"))).unwrap()
    second = await cluster.start("a2", target="a")
    assert second.fence == first.fence + 1
    refused = await first.claim(make_order())
    assert fault_kind(refused) is ErrorKind.LEAVING and first.is_superseded
    refused = await second.claim(make_order())
    assert fault_kind(refused) is ErrorKind.LEAVING and not second.can_claim
    assert refused.failure().retry_after_ms > 10_000
    cluster.clock.advance_ms(refused.failure().retry_after_ms)
    assert isinstance((await second.claim(make_order())).unwrap(), ClaimGranted)


@pytest.mark.parametrize("honours_fencing", [True, False])
async def test_take_over_needs_no_wait_after_close_or_with_honoured_fencing(
    cluster, honours_fencing
):
    first = await cluster.start("a")
    if not honours_fencing:
        await first.close()
    second = await cluster.start(
        "a2", target="a", honours_fencing=lambda: honours_fencing
    )
    assert isinstance((await second.claim(make_order())).unwrap(), ClaimGranted)


async def test_clean_up_removes_only_expired_records(cluster):
    ledger = await cluster.start("a", parameters=LedgerParameters(max_inline_bytes=4))
    cleaner = cluster.cleaner()
    await cleaner.clean_once()
    for key, retention_ms in (("short", 1_000), ("long", 10_000_000)):
        order = make_order(key, retention_ms=retention_ms)
        claim = (await ledger.claim(order)).unwrap()
        await ledger.finish(claim, StoredAnswer(status=200, body=b"12345"))
    claimed = (await ledger.claim(make_order("unfinished"))).unwrap()
    assert len(cluster.objects.data) == 2
    cluster.clock.advance_ms(30_000)
    assert (await cleaner.clean_once()).unwrap() == 0
    cluster.clock.advance_ms(40_000)
    assert (await cleaner.clean_once()).unwrap() == 1
    assert await cluster.row("short") is None
    assert (await cluster.row("long")).state is OrderState.DONE
    assert len(cluster.objects.data) == 1
    cluster.clock.advance_ms(1e9)
    await cleaner.clean_once()
    assert await cluster.row("long") is None
    assert (await cluster.row("unfinished")).claim_id == claimed.row.claim_id
    assert cluster.table.keys("order_expiry") == []


async def test_read_returns_an_order_with_unknown_outcome(cluster):
    ledger = await cluster.start("a")
    claim = (await ledger.claim(make_order())).unwrap()
    await ledger.mark_unknown(claim, "connection reset after the call was sent")
    row = (await ledger.read("till", "key-1")).unwrap()
    assert (row.state, row.target) == (OrderState.UNKNOWN, "a")
    assert "reset" in row.detail
    assert fault_kind(await ledger.claim(make_order())) is ErrorKind.OUTCOME_UNKNOWN
