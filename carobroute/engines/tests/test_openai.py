"""Streams of a model engine stay whole over lost connections."""

import random

import aiohttp
import msgspec
import pytest
from aiohttp.test_utils import TestServer

from carobroute.engines import (
    EngineCall,
    EngineOrder,
    EngineParameters,
    OpenAiEngine,
    OrderAction,
    block_hashes,
)
from carobroute.engines._events import EventSplitter
from carobroute.errors import ErrorKind, FaultError
from carobroute.standins._engine import EngineServer
from carobroute.standins._engine_batch import Settings, answer_token
from carobroute.testing import ProcessGroup, wait_until

TOKENS = 20
PROMPT = "a bell for Floda church"


def make_call(prompt=PROMPT, *, tokens=TOKENS, request_id="r1", **fields):
    turns = [{"role": "user", "content": prompt}]
    body = {"messages": turns, "max_tokens": tokens, "stream": True}
    return EngineCall(
        request_id=request_id,
        method="POST",
        path="/v1/chat/completions",
        headers={"Content-Type": "application/json"},
        body=msgspec.json.encode(body),
        **fields,
    )


def text_of(events):
    words = [
        msgspec.json.decode(event[6:])["choices"][0]["delta"]["content"]
        for event in events
        if event != b"data: [DONE]\n\n"
    ]
    return "".join(words)


def expected_text(prompt=PROMPT, tokens=TOKENS):
    return "".join(answer_token(f"user: {prompt}\n", n) for n in range(tokens))


async def read(answer):
    return [event async for event in answer.chunks]


class Bench:
    """One stand-in engine and an adapter to it."""

    def __init__(self):
        self.settings = Settings(step_ms=1.0, load_lag_ms=10.0, event_lag_ms=0.0)
        self.server = EngineServer(name="e", settings=self.settings, seed=1)

    async def __aenter__(self):
        self.http = TestServer(self.server.app())
        await self.http.start_server()
        parameters = EngineParameters(silence_least_ms=250.0, silence_steps=1)
        self.engine = OpenAiEngine(
            address=str(self.http.make_url("")), parameters=parameters
        )
        await self.engine.start()
        return self

    async def __aexit__(self, *exc_info):
        await self.engine.stop()
        await self.http.close()


@pytest.fixture
async def bench():
    async with Bench() as made:
        yield made


@pytest.mark.parametrize("fault", ["drop_after", "silent_after"])
@pytest.mark.parametrize("events", [1, 7, TOKENS])
async def test_lost_connection_neither_doubles_nor_drops_an_event(bench, fault, events):
    setattr(bench.settings, fault, events)
    answer = (await bench.engine.open(make_call())).unwrap()
    got = await read(answer)
    assert text_of(got) == expected_text()
    assert got[-1] == b"data: [DONE]\n\n" and len(got) == TOKENS + 2
    resumed = [run.resumed_from for run in bench.server.record]
    assert resumed == [0, events]


async def test_second_beginning_is_never_joined_to_the_first(bench):
    bench.settings.resume = False
    bench.settings.drop_after = 5
    answer = (await bench.engine.open(make_call())).unwrap()
    got = []
    with pytest.raises(FaultError) as raised:
        async for event in answer.chunks:
            got.append(event)
    assert raised.value.fault.kind is ErrorKind.STREAM_BROKEN
    assert text_of(got) == expected_text(tokens=5)


async def test_connections_for_one_answer_are_bounded(bench):
    async def lose_again():
        async for _ in answer.chunks:
            bench.settings.drop_after = 1

    bench.settings.drop_after = 1
    answer = (await bench.engine.open(make_call())).unwrap()
    with pytest.raises(FaultError, match="too many connections"):
        await lose_again()
    assert len(bench.server.record) == 1 + EngineParameters().resumes


async def test_stream_moves_to_another_engine_by_kv_export(bench):
    answer = (await bench.engine.open(make_call(tokens=200))).unwrap()
    before = []
    async for event in answer.chunks:
        before.append(event)
        if len(before) == 10:
            break
    handle = (await bench.engine.export_kv("r1")).unwrap()
    await answer.close()
    async with Bench() as other:
        await other.engine.import_kv(handle)
        call = make_call(tokens=200, resume_state=handle.data)
        moved = (await other.engine.resume(call, len(before))).unwrap()
        after = await read(moved)
    assert text_of([*before, *after]) == expected_text(tokens=200)


async def test_closing_an_answer_cancels_the_work(bench):
    answer = (await bench.engine.open(make_call(tokens=5_000))).unwrap()
    await anext(aiter(answer.chunks))
    await answer.close()
    await wait_until(
        lambda: bench.server.record[0].ended == "cancelled", what="the run is cancelled"
    )
    await wait_until(lambda: not bench.server.batch.running, what="the batch is empty")


async def test_refused_connection_is_not_run_and_a_lost_one_is_not(bench):
    closed = OpenAiEngine(address="http://127.0.0.1:1")
    await closed.start()
    assert (await closed.open(make_call())).failure().not_run
    await closed.stop()
    bench.settings.stalled = True
    late = await bench.engine.open(make_call(deadline_ms=150.0))
    # Headers come before the first token here, so the silence shows in the stream.
    with pytest.raises(FaultError) as raised:
        await read(late.unwrap())
    assert not raised.value.fault.not_run


async def test_cache_events_and_load_come_back_typed(bench):
    prompt = "long enough to fill blocks " * 20
    await read((await bench.engine.open(make_call(prompt))).unwrap())
    events = (await bench.engine.cache_events(0)).unwrap()
    stored = [block for event in events.events for block in event.stored]
    assert stored == block_hashes(f"user: {prompt}\n") and events.incarnation
    assert (await bench.engine.load()).unwrap().step_ms > 0


@pytest.mark.parametrize("honours", [True, False])
async def test_orders_with_an_old_fence(bench, honours):
    bench.settings.honours_fencing = honours

    async def order(fence):
        given = EngineOrder(action=OrderAction.LOAD_MODEL, value="m", fence=fence)
        return await bench.engine.order(given)

    assert (await order(3)).unwrap() is None
    old = await order(2)
    if honours:
        assert old.failure().kind is ErrorKind.STALE_FENCE
    assert len(bench.server.orders) == (1 if honours else 2)


async def test_crash_ends_the_stream_with_a_fault():
    async with ProcessGroup() as group:
        child = await group.start(
            "engine", "-m", "carobroute.standins", "engine", "--crash-on", "crack"
        )
        engine = OpenAiEngine(address=child.address)
        await engine.start()
        answer = (await engine.open(make_call(tokens=5_000))).unwrap()
        await anext(aiter(answer.chunks))
        crashing = await engine.open(make_call("crack", request_id="r2"))
        assert crashing.failure().kind is ErrorKind.TARGET_FAILED
        with pytest.raises(FaultError) as raised:
            await read(answer)
        assert raised.value.fault.kind is ErrorKind.STREAM_BROKEN
        assert (await engine.probe()).failure().kind is ErrorKind.NO_TARGET
        await engine.stop()


def test_events_survive_any_cut_of_the_bytes():
    events = [f"data: {n}\n\n".encode() for n in range(30)]
    whole = b": alive\r\n\r\n" + b"".join(events).replace(b"\n", b"\r\n")
    source = random.Random(3)
    for _ in range(50):
        splitter = EventSplitter(max_event_bytes=100)
        got, rest = [], whole
        while rest:
            size = source.randint(1, 9)
            got += splitter.feed(rest[:size])
            rest = rest[size:]
        assert got == events
    with pytest.raises(FaultError):
        EventSplitter(max_event_bytes=100).feed(b"data: " + b"x" * 200)


async def test_unreachable_target_is_told_from_a_wrong_path(bench):
    async with aiohttp.ClientSession() as session:
        url = bench.http.make_url("/nothing")
        async with session.get(url) as response:
            assert response.status == 404
    assert (await bench.engine.cancel("unknown")).unwrap() is None
