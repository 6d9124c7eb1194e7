import asyncio

import pytest

from carobroute.domain import CallClass
from carobroute.entry import CallRun, ExchangeTable
from carobroute.errors import ErrorKind, Fault
from carobroute.links import Chunk, End, Start, Submit
from carobroute.testing import (
    FakeEndpoint,
    FakePeer,
    FakeRouter,
    FakeWriter,
    make_call,
    make_relay_services,
    wait_until,
)
from carobroute.utils import ManualClock, TaskSet


class Bench:
    """One entry's call, with two fake local processes."""

    def __init__(self):
        self.clock = ManualClock(start_ms=1_000)
        self.peers = [
            FakePeer(address=f"tcp://runner-{n}", incarnation=f"local-{n}~1")
            for n in (1, 2)
        ]
        self.endpoint = FakeEndpoint(self.peers)
        self.tasks = TaskSet(on_failure=lambda name, error: None)
        exchanges = ExchangeTable(
            endpoint=self.endpoint, clock=self.clock, tasks=self.tasks
        )
        self.endpoint.handle(Start, exchanges._on_answer)
        self.endpoint.handle(Chunk, exchanges._on_answer)
        self.endpoint.handle(End, exchanges._on_answer)
        self.exchanges = exchanges
        self.router = FakeRouter(["runner-1", "runner-2"])
        self.services = make_relay_services(
            endpoint=self.endpoint,
            exchanges=exchanges,
            router=self.router,
            clock=self.clock,
        )
        self.writer = FakeWriter()

    def begin(self, **fields):
        call = make_call(self.clock, **fields)
        run = CallRun(services=self.services, call=call, writer=self.writer)
        return asyncio.ensure_future(run.answer())

    async def submitted(self, number):
        """Return the submission that reached peer `number`."""
        peer = self.peers[number]
        await wait_until(lambda: peer.of_kind(Submit))
        return peer.of_kind(Submit)[-1]

    def answer(self, number, submit, *, chunks=(), fault=None, ended=True, **fields):
        """Have peer `number` answer a submission."""
        peer = self.peers[number]
        names = {"request_id": submit.request_id, "attempt": submit.attempt}
        index = submit.resume_from
        if chunks:
            self.endpoint.deliver(peer, Start(status=200, headers={}, **names))
        for data in chunks:
            self.endpoint.deliver(peer, Chunk(index=index, data=data, **names))
            index += 1
        if ended:
            end = End(chunks=index, fault=fault, **names, **fields)
            self.endpoint.deliver(peer, end)


@pytest.fixture
def bench():
    return Bench()


def fault(kind):
    return Fault(kind=kind, detail="made up by the test")


async def test_whole_answer_is_passed_on(bench):
    run = bench.begin()
    bench.answer(0, await bench.submitted(0), chunks=[b"a", b"b"])
    assert await run == "finished"
    assert b"".join(bench.writer.written) == b"ab"


@pytest.mark.parametrize("call_class", list(CallClass))
async def test_call_that_did_not_run_goes_to_another_target(bench, call_class):
    run = bench.begin(call_class=call_class)
    first = await bench.submitted(0)
    bench.answer(0, first, fault=fault(ErrorKind.LEAVING))
    second = await bench.submitted(1)
    assert (first.attempt, second.attempt) == (1, 2)
    bench.answer(1, second, chunks=[b"a"])
    assert await run == "finished"


async def test_order_with_unknown_outcome_is_never_sent_again(bench):
    run = bench.begin(call_class=CallClass.NON_IDEMPOTENT)
    bench.answer(0, await bench.submitted(0), fault=fault(ErrorKind.OUTCOME_UNKNOWN))
    assert await run == "failed"
    assert bench.writer.fault.kind is ErrorKind.OUTCOME_UNKNOWN
    assert bench.peers[1].of_kind(Submit) == []


async def test_broken_stream_is_continued_where_it_stopped(bench):
    run = bench.begin()
    first = await bench.submitted(0)
    bench.answer(0, first, chunks=[b"a", b"b"], fault=fault(ErrorKind.STREAM_BROKEN))
    second = await bench.submitted(1)
    assert second.resume_from == 2
    bench.answer(1, second, chunks=[b"c"])
    assert await run == "finished"
    assert b"".join(bench.writer.written) == b"abc"


async def test_moved_stream_takes_its_state_along(bench):
    run = bench.begin()
    bench.answer(
        0,
        await bench.submitted(0),
        chunks=[b"a"],
        fault=fault(ErrorKind.LEAVING),
        resume_state=b"kv",
    )
    second = await bench.submitted(1)
    assert (second.resume_from, second.resume_state) == (1, b"kv")
    bench.answer(1, second, chunks=[b"b"])
    assert await run == "finished"


async def test_late_answer_of_a_closed_attempt_is_dropped(bench):
    run = bench.begin()
    first = await bench.submitted(0)
    bench.answer(0, first, fault=fault(ErrorKind.OVERLOADED))
    second = await bench.submitted(1)
    bench.answer(0, first, chunks=[b"late"])
    bench.answer(1, second, chunks=[b"right"])
    assert await run == "finished"
    assert bench.writer.written == [b"right"]
    assert bench.exchanges.counts["late"] == 3


async def test_redirect_goes_to_the_target_that_holds_the_order(bench):
    run = bench.begin(call_class=CallClass.NON_IDEMPOTENT, idempotency_key="k")
    bench.answer(
        0,
        await bench.submitted(0),
        fault=fault(ErrorKind.OUTCOME_UNKNOWN),
        redirect="runner-2",
    )
    bench.answer(1, await bench.submitted(1), chunks=[b"held"])
    assert await run == "finished"
    assert bench.writer.written == [b"held"]


async def test_redirects_in_a_ring_end(bench):
    run = bench.begin(call_class=CallClass.NON_IDEMPOTENT, idempotency_key="k")
    for turn in range(4):
        number = turn % 2
        seen = turn // 2 + 1
        peer = bench.peers[number]
        await wait_until(lambda p=peer, n=seen: len(p.of_kind(Submit)) >= n)
        bench.answer(
            number,
            peer.of_kind(Submit)[-1],
            fault=fault(ErrorKind.OUTCOME_UNKNOWN),
            redirect=f"runner-{2 - number}",
        )
    assert await run == "failed"
    assert bench.writer.fault.kind is ErrorKind.OUTCOME_UNKNOWN


async def test_request_that_crashed_two_targets_is_refused(bench):
    run = bench.begin()
    bench.answer(
        0,
        await bench.submitted(0),
        fault=fault(ErrorKind.STREAM_BROKEN),
        crash="local-1~1#1",
    )

    def trials():
        return [
            (number, submit)
            for number, peer in enumerate(bench.peers)
            for submit in peer.of_kind(Submit)
            if submit.alone
        ]

    await wait_until(trials, what="the suspect runs alone")
    trial = trials()[0]
    bench.answer(*trial, fault=fault(ErrorKind.STREAM_BROKEN), crash="local-2~1#1")
    assert await run == "failed"
    assert bench.writer.fault.kind is ErrorKind.QUARANTINED


async def test_call_comes_back_to_a_target_when_all_were_tried(bench):
    """Links of two targets failed in turn, and the call was refused with time left."""
    run = bench.begin()
    bench.answer(0, await bench.submitted(0), fault=fault(ErrorKind.NO_TARGET))
    bench.answer(1, await bench.submitted(1), fault=fault(ErrorKind.NO_TARGET))
    await wait_until(lambda: len(bench.peers[0].of_kind(Submit)) == 2)
    bench.answer(0, await bench.submitted(0), chunks=[b"a"])
    assert await run == "finished"
