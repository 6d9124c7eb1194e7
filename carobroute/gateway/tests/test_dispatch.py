"""Overload: calls wait for the next free slot anywhere, or are refused at once."""

import asyncio
import random

import pytest
from returns.result import Failure, Success

from carobroute.errors import ErrorKind
from carobroute.gateway import Demand, Dispatcher, TargetDirectory
from carobroute.testing.gateway_data import (
    make_engine,
    make_service,
    make_target_entry,
)
from carobroute.utils import ManualClock

MODEL = make_service(name="model", engine=make_engine())


def _dispatcher(clock, *, targets=2, slots=2, service="model"):
    directory = TargetDirectory(clock=clock, outage_ms=1_500.0, lapsed_ms=2_200.0)
    directory.update(
        [
            make_target_entry(incarnation=f"i-{n}", service=service, slots=slots)
            for n in range(targets)
        ]
    )
    return Dispatcher(
        clock=clock, random=random.Random(1), data_centre="a", directory=directory
    )


def _demand(**changes):
    fields = {
        "request_id": "r",
        "service": MODEL,
        "rank": 1,
        "latency_target_ms": 400.0,
        "left_ms": 8_000.0,
    }
    return Demand(**{**fields, **changes})


async def _fill(dispatcher, count):
    return [(await dispatcher.acquire(_demand())).unwrap() for _ in range(count)]


async def _fill_busily(dispatcher):
    """Take all slots after calls have ended often enough to let one wait."""
    for _ in range(10):
        for grant in await _fill(dispatcher, 4):
            dispatcher.release(grant)
    return await _fill(dispatcher, 4)


async def test_calls_spread_over_the_targets_with_the_least_load():
    dispatcher = _dispatcher(ManualClock())
    granted = await _fill(dispatcher, 4)
    names = sorted(grant.target.name for grant in granted)
    assert names == ["i-0", "i-0", "i-1", "i-1"]


async def test_a_waiting_call_gets_the_slot_that_is_free_first():
    clock = ManualClock()
    dispatcher = _dispatcher(clock)
    granted = await _fill_busily(dispatcher)
    waiting = asyncio.create_task(dispatcher.acquire(_demand()))
    await asyncio.sleep(0)
    assert dispatcher.waiting("model") == 1
    dispatcher.release(granted[2])
    grant = (await waiting).unwrap()
    assert grant.target is granted[2].target
    assert dispatcher.waiting("model") == 0


async def test_the_more_urgent_call_goes_first():
    dispatcher = _dispatcher(ManualClock())
    granted = await _fill_busily(dispatcher)
    later = asyncio.create_task(dispatcher.acquire(_demand(rank=2)))
    await asyncio.sleep(0)
    sooner = asyncio.create_task(dispatcher.acquire(_demand(rank=0)))
    await asyncio.sleep(0)
    dispatcher.release(granted[0])
    assert isinstance(await sooner, Success)
    assert not later.done()
    later.cancel()


async def test_a_call_that_would_wait_too_long_is_refused_at_once():
    dispatcher = _dispatcher(ManualClock())
    # Four calls have ended in two seconds: the next slot is half a second away.
    for grant in await _fill(dispatcher, 4):
        dispatcher.release(grant)
    await _fill(dispatcher, 4)
    refused = await dispatcher.acquire(_demand())
    assert isinstance(refused, Failure)
    fault = refused.failure()
    assert fault.kind is ErrorKind.OVERLOADED
    assert fault.not_run
    assert fault.retry_after_ms > 0
    assert dispatcher.waiting("model") == 0


async def test_a_caller_that_leaves_the_queue_gives_up_no_slot_of_others():
    dispatcher = _dispatcher(ManualClock())
    granted = await _fill_busily(dispatcher)
    waiting = asyncio.create_task(dispatcher.acquire(_demand()))
    await asyncio.sleep(0)
    dispatcher.release(granted[0])
    waiting.cancel()
    with pytest.raises(asyncio.CancelledError):
        await waiting
    assert granted[0].target.in_flight == 1


async def test_a_call_waits_for_a_while_if_nothing_is_known_of_the_wait():
    """A gateway that has just started sees slots taken by others' calls."""
    dispatcher = _dispatcher(ManualClock())
    granted = await _fill(dispatcher, 4)
    waiting = asyncio.create_task(dispatcher.acquire(_demand()))
    await asyncio.sleep(0)
    dispatcher.release(granted[0])
    assert (await waiting).unwrap().target is granted[0].target


async def test_a_call_that_may_have_run_is_not_refused_for_a_long_wait():
    dispatcher = _dispatcher(ManualClock())
    for grant in await _fill(dispatcher, 4):
        dispatcher.release(grant)
    granted = await _fill(dispatcher, 4)
    waiting = asyncio.create_task(dispatcher.acquire(_demand(begun=True)))
    await asyncio.sleep(0)
    dispatcher.release(granted[0])
    assert (await waiting).unwrap()


async def test_a_service_without_targets_is_refused_at_once():
    dispatcher = _dispatcher(ManualClock(), service="other")
    refused = await dispatcher.acquire(_demand())
    assert refused.failure().kind is ErrorKind.NO_TARGET


async def test_targets_that_were_tried_are_not_tried_again():
    dispatcher = _dispatcher(ManualClock(), targets=2)
    demand = _demand(excluded=frozenset({"i-0"}))
    assert (await dispatcher.acquire(demand)).unwrap().target.name == "i-1"
    demand = _demand(excluded=frozenset({"i-0", "i-1"}))
    assert (await dispatcher.acquire(demand)).failure().kind is ErrorKind.NO_TARGET


async def test_an_ejected_target_gets_calls_only_if_there_is_no_other():
    dispatcher = _dispatcher(ManualClock(), targets=2, slots=4)
    (grant,) = await _fill(dispatcher, 1)
    grant.target.health.eject()
    others = await _fill(dispatcher, 4)
    assert grant.target.name not in {other.target.name for other in others}
