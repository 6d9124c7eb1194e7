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
    """Table service that fails and records writes of orders on request."""

    def __init__(self, *, clock):
        super().__init__(clock=clock)
        self.blocks_writes = False
        self.held = []
        self.blocked_state = ""
        self.is_open = asyncio.Event()
        self.is_open.set()

    async def transact(self, transaction):
        await self.is_open.wait()
        if self.blocks_writes and any(
            self.is_blocked_put(put) for put in transaction.puts
        ):
            if transaction not in self.held:
                self.held.append(transaction)
            await asyncio.sleep(0)
            return fail(ErrorKind.STORE_UNAVAILABLE, "held back")
        return await super().transact(transaction)

    def is_blocked_put(self, put):
        return put.table == "orders" and self.blocked_state.encode() in (
            put.value or b""
        )


class LedgerWorld:
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
            ask=self.ask,
            on_event=lambda event, **fields: self.events.append(event),
            **options,
        )
        self.ledgers[f"tcp://{name}"] = ledger
        ledger.start()
        await wait_until(lambda: ledger.fence)
        return ledger

    async def ask(self, address, ask):
        await asyncio.sleep(0)
        ledger = self.ledgers.get(address)
        if ledger is None:
            return Failure("no process there")
        return Success(ledger.answer_ask(ask))

    def cleaner(self):
        return LedgerCleaner(
            table=self.table,
            objects=self.objects,
            clock=self.clock,
            is_mine=lambda: True,
        )

    def kill(self, name):
        """Stop a process as SIGKILL does: it sends and answers nothing any more."""
        ledger = self.ledgers.pop(f"tcp://{name}")
        for task in ledger._tasks._tasks:
            task.cancel()

    async def row(self, key="key-1"):
        return (await read_order(self.table, "till", key)).unwrap()


@pytest.fixture
async def world():
    world = LedgerWorld()
    yield world
    for name in list(world.ledgers):
        world.kill(name.removeprefix("tcp://"))


def fault_kind(result):
    return result.failure().kind


async def test_stored_answer_is_returned_by_every_target(world):
    first, second = await world.start("a"), await world.start("b")
    claim = (await first.claim(make_order())).unwrap()
    assert isinstance(claim, ClaimGranted)
    held = (await second.claim(make_order())).unwrap()
    assert held == ClaimElsewhere(target="a", incarnation="a~1")
    await first.finish(claim, ANSWER)
    for ledger in (first, second):
        assert (await ledger.claim(make_order())).unwrap() == ClaimFinished(
            answer=ANSWER
        )
    other = await second.claim(make_order(body=b"two bells"))
    assert fault_kind(other) is ErrorKind.KEY_REUSED


async def test_large_answer_is_stored_in_the_object_store(world):
    ledger = await world.start("a")
    claim = (await ledger.claim(make_order())).unwrap()
    large = StoredAnswer(status=200, body=b"x" * 50_000)
    await ledger.finish(claim, large)
    assert len(world.table.row("orders", "till/k/key-1").value) < 1_000
    assert (await ledger.claim(make_order())).unwrap().answer == large
    world.objects.available = False
    # The order has run, so the fault must not be of a not-run kind.
    assert fault_kind(await ledger.claim(make_order())) is ErrorKind.OUTCOME_UNKNOWN


async def test_claim_and_finish_survive_lost_replies_of_the_store(world):
    ledger = await world.start("a")
    world.table.lose_answers = 3
    claim = (await ledger.claim(make_order())).unwrap()
    assert isinstance(claim, ClaimGranted)
    world.table.lose_answers = 3
    await ledger.finish(claim, ANSWER)
    assert (await world.row()).state is OrderState.DONE


async def test_claims_share_transactions_and_conflict_individually(world):
    ledger, other = await world.start("a"), await world.start("b")
    (await other.claim(make_order("key-7"))).unwrap()
    before = ledger.transactions
    orders = [make_order(f"key-{number}") for number in range(60)]
    outcomes = await asyncio.gather(*[ledger.claim(order) for order in orders])
    kinds = [type(outcome.unwrap()) for outcome in outcomes]
    assert kinds.pop(7) is ClaimElsewhere
    assert set(kinds) == {ClaimGranted}
    assert ledger.transactions - before <= 4


async def claim_with_lost_reply(world, ledger, order):
    """Make a claim that the store applies, with the reply lost in an outage."""

    def lose_reply(transaction):
        if any(put.table == "orders" for put in transaction.puts):
            world.table.lose_answers = 1
            world.table.available = False

    world.table.before_transact = lose_reply
    outcome = await ledger.claim(order)
    world.table.before_transact = None
    assert fault_kind(outcome) is ErrorKind.STORE_UNAVAILABLE
    assert (world.table.row("orders", order.row_key)) is not None
    return outcome


async def test_claim_interrupted_by_outage_is_not_run_and_can_be_taken_over(world):
    first, second = await world.start("a"), await world.start("b")
    await claim_with_lost_reply(world, first, make_order())
    refused = await first.claim(make_order("key-2"))
    assert fault_kind(refused) is ErrorKind.STORE_UNAVAILABLE
    world.table.available = True
    second_claim = (await second.claim(make_order())).unwrap()
    assert isinstance(second_claim, ClaimGranted)
    await second.finish(second_claim, ANSWER)
    await wait_until(lambda: not first.unsettled)
    assert (await world.row()).state is OrderState.DONE


async def test_abandoned_claim_is_released_when_the_store_returns(world):
    first, second = await world.start("a"), await world.start("b")
    await claim_with_lost_reply(world, first, make_order())
    world.table.available = True
    await wait_until(lambda: not first.unsettled)
    assert (await world.row()).state is OrderState.RELEASED
    world.kill("a")
    assert isinstance((await second.claim(make_order())).unwrap(), ClaimGranted)


async def test_order_claimed_by_a_killed_process_is_never_run(world):
    first, second = await world.start("a"), await world.start("b")
    await claim_with_lost_reply(world, first, make_order())
    world.kill("a")
    world.table.available = True
    assert isinstance((await second.claim(make_order())).unwrap(), ClaimElsewhere)
    successor = await world.start("a2", target="a", honours_fencing=lambda: True)
    for _ in range(3):
        outcome = await successor.claim(make_order())
        assert fault_kind(outcome) is ErrorKind.OUTCOME_UNKNOWN


async def test_claim_applied_after_its_release_is_never_run(world):
    """The write of an abandoned claim arrives after the write of its release."""
    ledger, other = await world.start("a"), await world.start("b")
    world.table.blocks_writes = True
    outcome = await ledger.claim(make_order())
    assert fault_kind(outcome) is ErrorKind.STORE_UNAVAILABLE
    world.table.blocks_writes = False
    delayed = world.table.held[0]
    await wait_until(lambda: not ledger.unsettled)
    assert not (await world.table.transact(delayed)).unwrap().committed
    assert isinstance((await other.claim(make_order())).unwrap(), ClaimGranted)


async def test_claim_applied_after_the_deadline_is_released(world):
    ledger, other = await world.start("a"), await world.start("b")
    world.table.is_open.clear()
    delayed = await ledger.claim(make_order(deadline_ms=world.clock.now_ms() + 20))
    assert fault_kind(delayed) is ErrorKind.DEADLINE
    world.table.is_open.set()
    await wait_until(lambda: not ledger.unsettled)
    assert (await world.row()).state is OrderState.RELEASED
    assert isinstance((await other.claim(make_order())).unwrap(), ClaimGranted)


async def test_abandoned_claim_applied_before_its_release_is_never_run(world):
    ledger, other = await world.start("a"), await world.start("b")
    world.table.blocks_writes = True
    assert isinstance(await ledger.claim(make_order()), Failure)
    delayed = world.table.held[0]
    assert (await FakeTable.transact(world.table, delayed)).unwrap().committed
    assert isinstance((await other.claim(make_order("key-2"))), Failure)
    world.table.blocks_writes = False
    world.clock.advance_ms(10_000)
    granted = (await other.claim(make_order())).unwrap()
    assert isinstance(granted, ClaimGranted)
    await wait_until(lambda: not ledger.unsettled)
    row = await world.row()
    assert row.claim_id == granted.row.claim_id and row.state is OrderState.CLAIMED


async def test_claim_delayed_across_a_clean_up_fails(world):
    """Removal restarts row versions, but the version of the clock row only grows."""
    first, second = await world.start("a"), await world.start("b")
    cleaner = world.cleaner()
    await cleaner.clean_once()
    (await second.claim(make_order("key-0"))).unwrap()
    world.table.blocks_writes = True
    assert isinstance(await second.claim(make_order()), Failure)
    world.kill("b")
    world.table.blocks_writes = False
    claim = (await first.claim(make_order())).unwrap()
    await first.finish(claim, ANSWER)
    world.clock.advance_ms(4_000_000)
    assert (await cleaner.clean_once()).unwrap() == 1
    assert await world.row() is None
    assert world.table.held
    for held in world.table.held:
        assert not (await world.table.transact(held)).unwrap().committed


async def test_release_delayed_across_a_clean_up_does_not_overwrite_other_claims(world):
    """Removal restarts row versions, so a late release could match a new claim."""
    first, second = await world.start("a"), await world.start("b")
    cleaner = world.cleaner()
    await cleaner.clean_once()
    claim = (await first.claim(make_order())).unwrap()
    world.table.blocks_writes, world.table.blocked_state = True, "a~1"
    releasing = asyncio.create_task(first.release(claim))
    await wait_until(lambda: world.table.held)
    second_claim = (await second.claim(make_order())).unwrap()
    assert isinstance(second_claim, ClaimGranted)
    await second.release(second_claim)
    world.clock.advance_ms(4_000_000)
    assert (await cleaner.clean_once()).unwrap() == 1
    third_claim = (await second.claim(make_order())).unwrap()
    assert third_claim.version == claim.version
    world.table.blocks_writes = False
    await releasing
    row = await world.row()
    assert row.claim_id == third_claim.row.claim_id and row.state is OrderState.CLAIMED


async def test_claim_delayed_beyond_the_retention_is_not_retried(world):
    ledger = await world.start("a")
    cleaner = world.cleaner()
    await cleaner.clean_once()

    def suspend(transaction):
        world.table.before_transact = None
        world.clock.advance_ms(120_000)
        row = world.table.row("order_clock", "clock")
        put = Put(table="order_clock", key="clock", value=row.value)
        world.table._write(Transaction(token="t", conditions=[], puts=[put]))

    world.table.before_transact = suspend
    delayed = await ledger.claim(make_order())
    assert (
        fault_kind(delayed) is ErrorKind.STORE_UNAVAILABLE and delayed.failure().not_run
    )
    assert await world.row() is None


async def test_released_order_can_be_claimed_by_another_process(world):
    first, second = await world.start("a"), await world.start("b")
    claim = (await first.claim(make_order())).unwrap()
    await first.release(claim)
    assert isinstance((await second.claim(make_order())).unwrap(), ClaimGranted)


async def test_later_process_of_a_target_supersedes_and_waits_for_old_calls(world):
    first = await world.start("a")
    (await first.claim(make_order("key-0"))).unwrap()
    second = await world.start("a2", target="a")
    assert second.fence == first.fence + 1
    refused = await first.claim(make_order())
    assert fault_kind(refused) is ErrorKind.LEAVING and first.superseded
    refused = await second.claim(make_order())
    assert fault_kind(refused) is ErrorKind.LEAVING and not second.ready
    assert refused.failure().retry_after_ms > 10_000
    world.clock.advance_ms(refused.failure().retry_after_ms)
    assert isinstance((await second.claim(make_order())).unwrap(), ClaimGranted)


@pytest.mark.parametrize("honours_fencing", [True, False])
async def test_take_over_needs_no_wait_after_close_or_with_honoured_fencing(
    world, honours_fencing
):
    first = await world.start("a")
    if not honours_fencing:
        await first.close()
    second = await world.start(
        "a2", target="a", honours_fencing=lambda: honours_fencing
    )
    assert isinstance((await second.claim(make_order())).unwrap(), ClaimGranted)


async def test_clean_up_removes_only_expired_records(world):
    ledger = await world.start("a", parameters=LedgerParameters(max_inline_bytes=4))
    cleaner = world.cleaner()
    await cleaner.clean_once()
    for key, retention_ms in (("short", 1_000), ("long", 10_000_000)):
        order = make_order(key, retention_ms=retention_ms)
        claim = (await ledger.claim(order)).unwrap()
        await ledger.finish(claim, StoredAnswer(status=200, body=b"12345"))
    claimed = (await ledger.claim(make_order("unfinished"))).unwrap()
    assert len(world.objects.data) == 2
    world.clock.advance_ms(30_000)
    assert (await cleaner.clean_once()).unwrap() == 0
    world.clock.advance_ms(40_000)
    assert (await cleaner.clean_once()).unwrap() == 1
    assert await world.row("short") is None
    assert (await world.row("long")).state is OrderState.DONE
    assert len(world.objects.data) == 1
    world.clock.advance_ms(1e9)
    await cleaner.clean_once()
    assert await world.row("long") is None
    assert (await world.row("unfinished")).claim_id == claimed.row.claim_id
    assert world.table.keys("order_expiry") == []


async def test_read_returns_an_order_with_unknown_outcome(world):
    ledger = await world.start("a")
    claim = (await ledger.claim(make_order())).unwrap()
    await ledger.mark_unknown(claim, "connection reset after the call was sent")
    row = (await ledger.read("till", "key-1")).unwrap()
    assert (row.state, row.target) == (OrderState.UNKNOWN, "a")
    assert "reset" in row.detail
    assert fault_kind(await ledger.claim(make_order())) is ErrorKind.OUTCOME_UNKNOWN
