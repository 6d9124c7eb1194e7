import asyncio
import random

import pytest
from returns.result import Failure, Success

from carobroute.errors import ErrorKind
from carobroute.requests import FairQueueParameters
from carobroute.testing.request_data import make_queue
from carobroute.testing.virtual_time import VirtualClock, VirtualLoop, run_virtual
from carobroute.utils import ManualClock


async def fill_slots(queue, team="early"):
    count = queue.concurrency - queue.running
    return [(await queue.acquire(team=team)).unwrap() for _ in range(count)]


async def run_pending_tasks():
    for _ in range(5):
        await asyncio.sleep(0)


def start_waiting(queue, started, team, **fields):
    """Start a task that waits for a slot, and append its team to `started` then."""

    async def wait():
        result = await queue.acquire(team=team, **fields)
        if isinstance(result, Success):
            started.append(team)
        return result

    return asyncio.create_task(wait())


async def release_until_done(queue, tasks):
    """Release the granted slots until all tasks are done."""
    while not all(task.done() for task in tasks):
        await run_pending_tasks()
        for task in tasks:
            if task.done() and isinstance(task.result(), Success):
                task.result().unwrap().release()
    await run_pending_tasks()


@pytest.fixture
def clock():
    return ManualClock()


async def test_teams_share_slots_by_weight(clock):
    queue = make_queue(clock, concurrency=1)
    (first,) = await fill_slots(queue)
    started = []
    tasks = [start_waiting(queue, started, "large", weight=3.0) for _ in range(30)]
    tasks += [start_waiting(queue, started, "small") for _ in range(30)]
    await run_pending_tasks()
    first.release()
    await release_until_done(queue, tasks)
    assert started[:16].count("large") in range(11, 14)


async def test_priority_orders_calls_of_a_team_and_scales_between_teams(clock):
    queue = make_queue(clock, concurrency=1)
    (first,) = await fill_slots(queue)
    started = []
    tasks = [start_waiting(queue, started, "a", priority=2) for _ in range(8)]
    urgent = start_waiting(queue, started, "a", priority=9)
    tasks += [start_waiting(queue, started, "b", priority=9) for _ in range(8)]
    await run_pending_tasks()
    first.release()
    await run_pending_tasks()
    assert urgent.done()
    await release_until_done(queue, [*tasks, urgent])
    assert started[:10].count("b") > 6
    assert "a" in started[:16]


async def test_flooding_team_leaves_slots_for_other_teams(clock):
    queue = make_queue(clock, concurrency=4)
    other = (await queue.acquire(team="small")).unwrap()
    started = []
    flood = [start_waiting(queue, started, "flood") for _ in range(40)]
    await run_pending_tasks()
    other.release()
    for task in flood[:3]:
        task.result().unwrap().release()
    await run_pending_tasks()
    # The slot that the small team held recently stays free, and one more.
    assert queue.queued > 20 and queue.running == 2
    result = await asyncio.wait_for(queue.acquire(team="small"), 1)
    assert isinstance(result, Success)
    assert result.unwrap().engine_priority > flood[2].result().unwrap().engine_priority
    for task in flood:
        task.cancel()


async def test_call_with_expected_wait_beyond_deadline_is_refused_at_once(clock):
    queue = make_queue(clock, concurrency=2)
    await fill_slots(queue)
    tasks = [start_waiting(queue, [], "a") for _ in range(6)]
    await run_pending_tasks()
    refused = (await queue.acquire(team="a", deadline_ms=500)).failure()
    assert refused.kind is ErrorKind.OVERLOADED and refused.not_run
    assert 1_000 <= refused.retry_after_ms <= 10_000
    # A call of another team is served before most of these, so it is not refused.
    other_team_call = start_waiting(queue, [], "b", deadline_ms=1_500)
    await run_pending_tasks()
    assert not other_team_call.done()
    for task in [*tasks, other_team_call]:
        task.cancel()


def test_call_does_not_start_after_its_deadline():
    loop = VirtualLoop()
    clock = VirtualClock(loop=loop)

    async def main():
        queue = make_queue(
            clock, concurrency=1, parameters=FairQueueParameters(initial_hold_ms=10)
        )
        (slot,) = await fill_slots(queue)
        refused = await queue.acquire(team="a", deadline_ms=200)
        assert refused.failure().kind is ErrorKind.DEADLINE
        slot.release()
        assert queue.queued == 0 and queue.running == 0

    run_virtual(main(), loop)


async def test_full_queue_refuses_last_call_of_longest_queue(clock):
    queue = make_queue(
        clock, concurrency=1, parameters=FairQueueParameters(max_queued=5)
    )
    await fill_slots(queue)
    flood = [start_waiting(queue, [], "flood") for _ in range(5)]
    await run_pending_tasks()
    small = start_waiting(queue, [], "small")
    await run_pending_tasks()
    assert queue.queued == 5 and not small.done()
    dropped = [task.result() for task in flood if task.done()]
    assert [r.failure().kind for r in dropped] == [ErrorKind.OVERLOADED]
    one_more = await queue.acquire(team="flood")
    assert one_more.failure().kind is ErrorKind.OVERLOADED
    for task in [*flood, small]:
        task.cancel()


async def test_drain_refuses_queued_and_new_calls_as_not_run(clock):
    queue = make_queue(clock, concurrency=1)
    (running,) = await fill_slots(queue)
    tasks = [start_waiting(queue, [], "a") for _ in range(3)]
    await run_pending_tasks()
    assert queue.drain() == 3
    faults = [(await task).failure() for task in tasks]
    faults.append((await queue.acquire(team="a")).failure())
    assert {f.kind for f in faults} == {ErrorKind.LEAVING}
    assert all(f.not_run for f in faults)
    assert queue.running == 1
    running.release()
    running.release()
    assert queue.running == 0


async def test_call_that_runs_alone_waits_for_running_calls_and_blocks_later_ones(
    clock,
):
    queue = make_queue(clock, concurrency=4)
    running_call = (await queue.acquire(team="a")).unwrap()
    lone_call = start_waiting(queue, [], "b", alone=True)
    await run_pending_tasks()
    assert not lone_call.done()
    later_call = start_waiting(queue, [], "a")
    await run_pending_tasks()
    assert not later_call.done()
    running_call.release()
    await run_pending_tasks()
    assert lone_call.done() and not later_call.done() and queue.running == 1
    lone_call.result().unwrap().release()
    await run_pending_tasks()
    assert later_call.done()


def test_no_slot_leaks_on_cancel_timeout_or_completion():
    """Calls are cancelled, time out and complete at random; all slots are released."""
    loop = VirtualLoop()
    clock = VirtualClock(loop=loop)
    source = random.Random(5)

    async def caller(queue, number):
        await clock.sleep_ms(source.uniform(0, 2_000))
        result = await queue.acquire(
            team=f"team-{number % 7}",
            priority=number % 10,
            deadline_ms=source.choice([0, 30, 400]),
            alone=number % 31 == 0,
        )
        if isinstance(result, Failure):
            assert result.failure().not_run
            return
        try:
            assert queue.running <= queue.concurrency
            await clock.sleep_ms(source.uniform(1, 60))
        finally:
            result.unwrap().release()

    async def main():
        queue = make_queue(clock, concurrency=3)
        tasks = [asyncio.create_task(caller(queue, n)) for n in range(400)]
        for task in source.sample(tasks, 120):
            loop.call_later(source.uniform(0, 3), task.cancel)
        results = await asyncio.gather(*tasks, return_exceptions=True)
        assert not [r for r in results if isinstance(r, AssertionError)]
        assert queue.running == 0 and queue.queued == 0

    run_virtual(main(), loop)
