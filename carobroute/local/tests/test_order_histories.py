"""Whole histories of requests against the ledger, drawn by hypothesis."""

import asyncio
import enum

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from carobroute.errors import ErrorKind, Outcome, fail
from carobroute.local import OrderDone, OrderElsewhere, OrderRunner
from carobroute.requests import Ledger, LedgerCleaner, LedgerParameters, StoredAnswer
from carobroute.testing import FakeObjects, FakeTable, make_submit
from carobroute.utils import ManualClock

PROCESSES = 3
RETENTION_S = 1e6
KEYS = ("k1", "k2")
BODIES = (b"one bell", b"one bell", b"two bells")
PARAMETERS = LedgerParameters(
    lease_ms=1e9, longest_call_ms=1_000, refuse_after_failure_ms=50
)


class Step(enum.Enum):
    SUBMIT = "submit"
    LOSE = "lose"
    OUTAGE = "outage"
    RETURN = "return"
    HOLD = "hold"
    REPLACE = "replace"
    REPLACE_DURING = "replace_during"
    PASS = "pass"
    LAND = "land"
    CLEAN = "clean"


class Action(msgspec.Struct, frozen=True, kw_only=True):
    step: Step
    process: int = 0
    key: str = ""
    body: bytes = b""
    ending: str = "answer"
    before: int = 0
    after: int = 0
    count: int = 1


actions = st.one_of(
    st.builds(
        Action,
        step=st.just(Step.SUBMIT),
        process=st.integers(0, PROCESSES - 1),
        key=st.sampled_from(KEYS),
        body=st.sampled_from(BODIES),
        before=st.sampled_from([0, 1, 40]),
        after=st.sampled_from([0, 1, 40]),
        ending=st.sampled_from(["answer", "answer", "refused", "lost", "crash"]),
    ),
    st.builds(
        Action,
        step=st.just(Step.REPLACE_DURING),
        process=st.integers(0, PROCESSES - 1),
        key=st.sampled_from(KEYS),
        body=st.just(BODIES[0]),
        after=st.just(40),
        count=st.integers(5, 40),
    ),
    st.builds(Action, step=st.just(Step.PASS), count=st.sampled_from([1, 5, 20, 60])),
    st.builds(Action, step=st.just(Step.LOSE), count=st.integers(1, 4)),
    st.builds(
        Action, step=st.just(Step.REPLACE), process=st.integers(0, PROCESSES - 1)
    ),
    st.builds(
        Action, step=st.sampled_from([Step.OUTAGE, Step.RETURN, Step.HOLD, Step.CLEAN])
    ),
    st.builds(Action, step=st.just(Step.LAND), count=st.integers(0, 5)),
)


class HeldTable(FakeTable):
    """Table service whose network can hold writes back and deliver them late."""

    def __init__(self, *, clock):
        super().__init__(clock=clock)
        self.holding = False
        self.held = []

    async def transact(self, transaction):
        if not self.holding:
            return await super().transact(transaction)
        self.held.append(transaction)
        del self.held[:-50]
        await asyncio.sleep(0)
        return fail(ErrorKind.STORE_UNAVAILABLE, "held back")


class History:
    """Processes beside one target, all their submissions, and the target's record."""

    def __init__(self):
        self.clock = ManualClock()
        self.table = HeldTable(clock=self.clock)
        self.objects = FakeObjects()
        self.runs = []
        self.ended = []
        self.tasks = []
        self.ledgers = {}
        self.numbers = iter(range(1_000))
        self.slots = [self.process(slot) for slot in range(PROCESSES)]

    def process(self, slot):
        address = f"tcp://{next(self.numbers)}"
        ledger = Ledger(
            table=self.table,
            objects=self.objects,
            clock=self.clock,
            target=f"orders-{slot}",
            incarnation=address,
            address=address,
            parameters=PARAMETERS,
            honours_fencing=lambda: True,
            send_claim_query=self.ask,
        )
        runner = OrderRunner(
            ledger=ledger, clock=self.clock, retention_s=lambda service: RETENTION_S
        )
        runner.start()
        self.ledgers[address] = ledger
        return address, ledger, runner

    async def ask(self, address, ask):
        await asyncio.sleep(0)
        ledger = self.ledgers.get(address)
        return Success(ledger.claim_status(ask)) if ledger else Failure("gone")

    def replace(self, slot):
        address, ledger, runner = self.slots[slot]
        del self.ledgers[address]
        for tasks in (runner._tasks, ledger._tasks):
            for task in list(tasks._tasks):
                task.cancel()
        self.slots[slot] = self.process(slot)

    async def submit(self, action):
        runner = self.slots[action.process][2]
        submit = make_submit(
            action.key, body=action.body, request_id=f"r{next(self.numbers)}"
        )

        async def forward(permit):
            await self.let_pass(action.before)
            if action.ending == "refused":
                return fail(ErrorKind.NO_TARGET, "connection refused")
            refusal = permit.guard()
            if refusal is not None:
                return Failure(refusal)
            self.runs.append(submit)
            await self.let_pass(action.after)
            if action.ending == "crash":
                raise ConnectionResetError("the target crashed")
            if action.ending == "lost":
                return fail(ErrorKind.TARGET_FAILED, "answer lost")
            body = f"{submit.team}/{submit.idempotency_key}".encode() + submit.body
            return Success(StoredAnswer(status=200, body=body))

        self.ended.append((submit, await runner.run(submit, forward)))

    async def play(self, history):
        for action in history:
            await self.step(action)
        self.table.available = True
        self.table.holding = False
        for task in self.tasks:
            await asyncio.wait({task}, timeout=20)
            assert task.done()
        for transaction in self.table.held:
            await self.table.transact(transaction)
        for slot in range(PROCESSES):
            self.replace(slot)
        await self.let_pass(300)
        for slot in range(PROCESSES):
            for key in KEYS:
                action = Action(step=Step.SUBMIT, process=slot, key=key, body=BODIES[0])
                await asyncio.wait_for(self.submit(action), 20)

    async def step(self, action):
        if action.step is Step.SUBMIT:
            self.tasks.append(asyncio.create_task(self.submit(action)))
        elif action.step is Step.REPLACE_DURING:
            self.tasks.append(asyncio.create_task(self.submit(action)))
            await self.let_pass(action.count)
            self.replace(action.process)
        elif action.step is Step.LOSE:
            self.table.lose_answers = action.count
        elif action.step is Step.REPLACE:
            self.replace(action.process)
        elif action.step is Step.LAND:
            for transaction in self.table.held[: action.count]:
                await FakeTable.transact(self.table, transaction)
        elif action.step is Step.CLEAN:
            await self.clean()
        elif action.step is not Step.PASS:
            self.table.available = action.step is not Step.OUTAGE
            self.table.holding = action.step is Step.HOLD
        await self.let_pass(action.count)

    async def clean(self):
        """Remove what expired; retention is kept longer than any history lasts."""
        cleaner = LedgerCleaner(
            table=self.table,
            objects=self.objects,
            clock=self.clock,
            has_duty=lambda: True,
        )
        task = asyncio.create_task(cleaner.clean_once())
        self.tasks.append(task)

    async def let_pass(self, turns):
        for _ in range(turns):
            await asyncio.sleep(0)

    def check(self):
        orders = [(submit.team, submit.idempotency_key) for submit in self.runs]
        assert len(orders) == len(set(orders)), "an order has run twice"
        ran = {submit.request_id for submit in self.runs}
        for submit, outcome in self.ended:
            if isinstance(outcome, Failure):
                if outcome.failure().answer.outcome is Outcome.NOT_RUN:
                    assert submit.request_id not in ran, "a false 'not run'"
                continue
            done = outcome.unwrap()
            assert isinstance(done, OrderDone | OrderElsewhere)
            if isinstance(done, OrderDone):
                mine = f"{submit.team}/{submit.idempotency_key}".encode() + submit.body
                assert done.answer.body == mine, "another caller's answer"


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(actions, min_size=5, max_size=30))
def test_no_history_runs_an_order_twice(history):
    async def run():
        played = History()
        try:
            await played.play(history)
        finally:
            for slot in range(PROCESSES):
                played.replace(slot)
        played.check()

    asyncio.run(run())
