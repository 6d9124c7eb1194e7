import asyncio
import random

import pytest
from returns.result import Failure, Success

from carobroute.errors import ErrorKind
from carobroute.requests import FairQueueParameters
from carobroute.testing.request_data import make_queue
from carobroute.testing.virtual_time import VirtualClock, VirtualLoop, run_virtual
from carobroute.utils import ManualClock


async def hold_all(queue, team="early"):
    count = queue.concurrency - queue.running
    return [(await queue.acquire(team=team)).unwrap() for _ in range(count)]


async def settle():
    for _ in range(5):
        await asyncio.sleep(0)


def waiting(queue, started, team, **fields):
    """Start a task that waits for a slot and notes when it got it."""

    async def wait():
        got = await queue.acquire(team=team, **fields)
        if isinstance(got, Success):
            started.append(team)
        return got

    return asyncio.create_task(wait())


async def drive(queue, tasks):
    """Let the queue run dry, one slot's release at a time."""
    while not all(task.done() for task in tasks):
        await settle()
        for task in tasks:
            if task.done() and isinstance(task.result(), Success):
                task.result().unwrap().release()
    await settle()


@pytest.fixture
def clock():
    return ManualClock()


async def test_slots_go_to_teams_by_weight(clock):
    queue = make_queue(clock, concurrency=1)
    (first,) = await hold_all(queue)
    started = []
    tasks = [waiting(queue, started, "large", weight=3.0) for _ in range(30)]
    tasks += [waiting(queue, started, "small") for _ in range(30)]
    await settle()
    first.release()
    await drive(queue, tasks)
    assert started[:16].count("large") in range(11, 14)


async def test_priority_orders_a_team_and_scales_between_teams(clock):
    queue = make_queue(clock, concurrency=1)
    (first,) = await hold_all(queue)
    started = []
    tasks = [waiting(queue, started, "a", priority=2) for _ in range(8)]
    urgent = waiting(queue, started, "a", priority=9)
    tasks += [waiting(queue, started, "b", priority=9) for _ in range(8)]
    await settle()
    first.release()
    await settle()
    assert urgent.done()
    await drive(queue, [*tasks, urgent])
    assert started[:10].count("b") > 6
    assert "a" in started[:16]


async def test_flood_leaves_slots_for_other_teams(clock):
    queue = make_queue(clock, concurrency=4)
    other = (await queue.acquire(team="small")).unwrap()
    started = []
    flood = [waiting(queue, started, "flood") for _ in range(40)]
    await settle()
    other.release()
    for task in flood[:3]:
        task.result().unwrap().release()
    await settle()
    # What the small team held lately stays free for it, and one more.
    assert queue.queued > 20 and queue.running == 2
    got = await asyncio.wait_for(queue.acquire(team="small"), 1)
    assert isinstance(got, Success)
    assert got.unwrap().engine_priority > flood[2].result().unwrap().engine_priority
    for task in flood:
        task.cancel()


async def test_call_that_would_wait_too_long_is_refused_at_once(clock):
    queue = make_queue(clock, concurrency=2)
    await hold_all(queue)
    tasks = [waiting(queue, [], "a") for _ in range(6)]
    await settle()
    refused = (await queue.acquire(team="a", deadline_ms=500)).failure()
    assert refused.kind is ErrorKind.OVERLOADED and refused.not_run
    assert 1_000 <= refused.retry_after_ms <= 10_000
    # Another team's call is served before most of these, and so is not refused.
    fair = waiting(queue, [], "b", deadline_ms=1_500)
    await settle()
    assert not fair.done()
    for task in [*tasks, fair]:
        task.cancel()


def test_call_whose_time_is_up_never_starts():
    loop = VirtualLoop()
    clock = VirtualClock(loop=loop)

    async def main():
        queue = make_queue(
            clock, concurrency=1, parameters=FairQueueParameters(initial_hold_ms=10)
        )
        (slot,) = await hold_all(queue)
        refused = await queue.acquire(team="a", deadline_ms=200)
        assert refused.failure().kind is ErrorKind.DEADLINE
        slot.release()
        assert queue.queued == 0 and queue.running == 0

    run_virtual(main(), loop)


async def test_full_queue_drops_the_longest_backlog(clock):
    queue = make_queue(
        clock, concurrency=1, parameters=FairQueueParameters(max_queued=5)
    )
    await hold_all(queue)
    flood = [waiting(queue, [], "flood") for _ in range(5)]
    await settle()
    small = waiting(queue, [], "small")
    await settle()
    assert queue.queued == 5 and not small.done()
    dropped = [task.result() for task in flood if task.done()]
    assert [r.failure().kind for r in dropped] == [ErrorKind.OVERLOADED]
    one_more = await queue.acquire(team="flood")
    assert one_more.failure().kind is ErrorKind.OVERLOADED
    for task in [*flood, small]:
        task.cancel()


async def test_drain_returns_what_waits_as_not_run(clock):
    queue = make_queue(clock, concurrency=1)
    (running,) = await hold_all(queue)
    tasks = [waiting(queue, [], "a") for _ in range(3)]
    await settle()
    assert queue.drain() == 3
    faults = [(await task).failure() for task in tasks]
    faults.append((await queue.acquire(team="a")).failure())
    assert {f.kind for f in faults} == {ErrorKind.LEAVING}
    assert all(f.not_run for f in faults)
    assert queue.running == 1
    running.release()
    running.release()
    assert queue.running == 0


async def test_alone_waits_for_the_others_and_keeps_them_out(clock):
    queue = make_queue(clock, concurrency=4)
    before = (await queue.acquire(team="a")).unwrap()
    suspect = waiting(queue, [], "b", alone=True)
    await settle()
    assert not suspect.done()
    after = waiting(queue, [], "a")
    await settle()
    assert not after.done()
    before.release()
    await settle()
    assert suspect.done() and not after.done() and queue.running == 1
    suspect.result().unwrap().release()
    await settle()
    assert after.done()


def test_no_slot_is_lost_however_waiters_go():
    """Calls are cancelled, late and finished at random; every slot comes back."""
    loop = VirtualLoop()
    clock = VirtualClock(loop=loop)
    source = random.Random(5)

    async def caller(queue, number):
        await clock.sleep_ms(source.uniform(0, 2_000))
        got = await queue.acquire(
            team=f"team-{number % 7}",
            priority=number % 10,
            deadline_ms=source.choice([0, 30, 400]),
            alone=number % 31 == 0,
        )
        if isinstance(got, Failure):
            assert got.failure().not_run
            return
        try:
            assert queue.running <= queue.concurrency
            await clock.sleep_ms(source.uniform(1, 60))
        finally:
            got.unwrap().release()

    async def main():
        queue = make_queue(clock, concurrency=3)
        tasks = [asyncio.create_task(caller(queue, n)) for n in range(400)]
        for task in source.sample(tasks, 120):
            loop.call_later(source.uniform(0, 3), task.cancel)
        results = await asyncio.gather(*tasks, return_exceptions=True)
        assert not [r for r in results if isinstance(r, AssertionError)]
        assert queue.running == 0 and queue.queued == 0

    run_virtual(main(), loop)
