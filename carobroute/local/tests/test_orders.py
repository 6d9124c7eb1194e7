"""Orders through the runner, checked against the order stand-in's own record."""

import asyncio

import pytest
from aiohttp.test_utils import TestServer
from returns.result import Success

from carobroute.engines import EngineCall, PlainEngine
from carobroute.errors import ErrorKind
from carobroute.local import LinkAsk, OrderDone, OrderElsewhere, OrderRunner
from carobroute.requests import ClaimQuery, ClaimState, Ledger, StoredAnswer
from carobroute.standins._orders import OrderStandIn
from carobroute.testing import FakeObjects, FakeTable, make_submit, wait_until
from carobroute.utils import Clock, ManualClock


class Desk:
    """An order service with one table; local processes are added beside it."""

    def __init__(self, *, honours_fencing):
        self.honours_fencing = honours_fencing
        self.clock = ManualClock()
        self.table = FakeTable(clock=self.clock)
        self.stand_in = OrderStandIn(honours_fencing=honours_fencing)
        self.server = TestServer(self.stand_in.application())
        self.runners = []
        self.engine = None

    async def start(self):
        await self.server.start_server()
        self.engine = PlainEngine(address=str(self.server.make_url("")))
        await self.engine.start()

    async def stop(self):
        for runner in self.runners:
            await runner.close(grace_ms=100)
        await self.engine.stop()
        await self.server.close()

    async def runner(self, name, *, target="orders-1"):
        ledger = Ledger(
            table=self.table,
            objects=FakeObjects(),
            clock=self.clock,
            target=target,
            incarnation=f"{name}~1",
            honours_fencing=lambda: self.honours_fencing,
        )
        runner = OrderRunner(
            ledger=ledger,
            clock=self.clock,
            retention_s=lambda service: 60,
            honours_fencing=lambda: self.honours_fencing,
        )
        runner.start()
        self.runners.append(runner)
        await wait_until(lambda: ledger.fence)
        return runner

    def forward(self, submit, *, before=None):
        async def forward(permit):
            if before is not None:
                await before()
            call = EngineCall(
                request_id=submit.request_id,
                method=submit.method,
                path=submit.path,
                headers=submit.headers,
                body=submit.body,
                fence=permit.fence,
                guard=permit.guard,
            )
            opened = await self.engine.open(call)
            if not isinstance(opened, Success):
                return opened
            answer = opened.unwrap()
            body = b"".join([piece async for piece in answer.chunks])
            return Success(StoredAnswer(status=answer.status, body=body))

        return forward

    async def submit(self, runner, submit, **options):
        return await runner.run(submit, self.forward(submit, **options))

    def runs(self, key="key-1"):
        return [run for run in self.stand_in.record.runs if run.key == key]


@pytest.fixture(params=[False, True], ids=["ignores-fences", "honours-fences"])
async def desk(request):
    desk = Desk(honours_fencing=request.param)
    await desk.start()
    yield desk
    await desk.stop()


async def test_duplicates_attach_and_resends_get_the_first_answer(desk):
    first = await desk.runner("a")
    second = await desk.runner("b", target="orders-2")
    desk.stand_in._behaviour.before_ms = 50
    together = await asyncio.gather(
        *[desk.submit(first, make_submit(request_id=f"r{n}")) for n in range(5)]
    )
    answers = [outcome.unwrap() for outcome in together]
    assert len({answer.answer.body for answer in answers}) == 1
    assert [answer.replayed for answer in answers] == [False] + [True] * 4
    await wait_until(lambda: not first.running)
    resent = (await desk.submit(second, make_submit(request_id="r9"))).unwrap()
    assert isinstance(resent, OrderDone) and resent.replayed
    assert resent.answer == answers[0].answer
    assert len(desk.runs()) == 1


async def test_another_body_under_the_same_key_is_refused(desk):
    runner = await desk.runner("a")
    desk.stand_in._behaviour.before_ms = 50
    other = make_submit(body=b"two bells")
    running = asyncio.create_task(desk.submit(runner, make_submit()))
    await wait_until(lambda: runner.running)
    refused = await desk.submit(runner, other)
    assert refused.failure().kind is ErrorKind.KEY_REUSED
    (await running).unwrap()
    await wait_until(lambda: not runner.running)
    refused = await desk.submit(runner, other)
    assert refused.failure().kind is ErrorKind.KEY_REUSED
    # Another team's key of the same name is another order.
    (await desk.submit(runner, make_submit(team="counter"))).unwrap()
    assert len(desk.runs()) == 2


async def test_process_that_wakes_after_its_lease_does_not_forward(desk):
    """The pause falls between the grant of the claim and the first byte."""
    runner = await desk.runner("a")

    async def pause():
        desk.clock.advance_ms(60_000)

    late = await desk.submit(runner, make_submit(), before=pause)
    assert late.failure().not_run
    assert desk.runs() == []
    await wait_until(lambda: not runner.running)
    resent = (await desk.submit(runner, make_submit(request_id="r2"))).unwrap()
    assert not resent.replayed and len(desk.runs()) == 1


async def test_answer_lost_after_the_run_stays_unknown(desk):
    runner = await desk.runner("a")
    other = await desk.runner("b", target="orders-2")
    desk.stand_in.faults.faults.lose_answer = 1.0
    lost = await desk.submit(runner, make_submit())
    assert lost.failure().kind is ErrorKind.OUTCOME_UNKNOWN
    desk.stand_in.faults.faults.lose_answer = 0.0
    await wait_until(lambda: not runner.running)
    for resent in (runner, other):
        outcome = await desk.submit(resent, make_submit(request_id="r2"))
        assert outcome.failure().kind is ErrorKind.OUTCOME_UNKNOWN
    assert len(desk.runs()) == 1


async def test_two_processes_of_one_target(desk):
    """The earlier one has claimed and pauses; the later one takes the target over."""
    earlier = await desk.runner("a")
    woken, paused = asyncio.Event(), asyncio.Event()

    async def pause():
        paused.set()
        await woken.wait()

    running = asyncio.create_task(
        desk.submit(earlier, make_submit(), before=pause),
    )
    await paused.wait()
    later = await desk.runner("a2")
    desk.clock.advance_ms(1_000)
    unknown = await desk.submit(later, make_submit(request_id="r2"))
    if desk.honours_fencing:
        # No wait, but the order's claim belongs to the earlier process.
        assert unknown.failure().kind is ErrorKind.OUTCOME_UNKNOWN
        (await desk.submit(later, make_submit("key-2"))).unwrap()
    else:
        assert unknown.failure().kind is ErrorKind.LEAVING
    woken.set()
    ended = await running
    refused = await desk.submit(earlier, make_submit("key-3"))
    assert refused.failure().kind is ErrorKind.LEAVING
    if desk.honours_fencing:
        assert ended.failure().not_run and desk.runs() == []
        assert [run.key for run in desk.stand_in.record.refused] == ["key-1"]
    else:
        assert not ended.unwrap().replayed and len(desk.runs()) == 1


async def test_outage_refuses_orders_at_once_and_runs_none(desk):
    runner = await desk.runner("a")
    desk.table.available = False
    for number in range(20):
        outcome = await desk.submit(runner, make_submit(f"key-{number}"))
        assert outcome.failure().kind is ErrorKind.STORE_UNAVAILABLE
    assert desk.stand_in.record.runs == []
    desk.table.available = True
    desk.clock.advance_ms(5_000)
    (await desk.submit(runner, make_submit("key-1"))).unwrap()
    assert len(desk.stand_in.record.runs) == 1


async def test_order_without_a_key_runs_once_for_its_request(desk):
    runner = await desk.runner("a")
    other = await desk.runner("b", target="orders-2")
    submit = make_submit("")
    done = (await desk.submit(runner, submit)).unwrap()
    await wait_until(lambda: not runner.running)
    again = (await desk.submit(other, submit)).unwrap()
    assert again.replayed and again.answer == done.answer
    assert len(desk.runs("")) == 1


async def test_held_claim_names_the_process_that_has_it(desk):
    runner = await desk.runner("a")
    other = await desk.runner("b", target="orders-2")
    desk.stand_in._behaviour.before_ms = 200
    running = asyncio.create_task(desk.submit(runner, make_submit()))
    await wait_until(lambda: desk.table.keys("orders"))
    held = (await desk.submit(other, make_submit(request_id="r2"))).unwrap()
    assert held == OrderElsewhere(target="orders-1", incarnation="a~1")
    (await running).unwrap()


async def test_processes_ask_each_other_over_links():
    from carobroute.links import Endpoint

    ends = []
    for name in ("a", "b"):
        end = Endpoint(
            name=name,
            role="local",
            data_centre="suva",
            incarnation=f"{name}~1",
            clock=Clock(),
        )
        await end.start()
        ends.append(end)
    clock = ManualClock()
    ledger = Ledger(
        table=FakeTable(clock=clock),
        objects=FakeObjects(),
        clock=clock,
        target="orders-1",
        incarnation="a~1",
    )
    runner = OrderRunner(ledger=ledger, clock=clock, retention_s=lambda service: 60)
    runner.start(ends[0])
    ask = LinkAsk(endpoint=ends[1])
    answer = await ask(ends[0].address, ClaimQuery(incarnation="a~1", claim_id="c"))
    assert answer.unwrap().state is ClaimState.UNKNOWN
    gone = LinkAsk(endpoint=ends[1], timeout_ms=50)
    await gone("tcp://127.0.0.1:9", ClaimQuery(incarnation="a~1", claim_id="c"))
    assert [peer.address for peer in ends[1].peers if peer.address] == [ends[0].address]
    await runner.close(grace_ms=100)
    for end in ends:
        await end.stop()
