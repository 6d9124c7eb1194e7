import asyncio
import random

import pytest

from carobroute.errors import ErrorKind
from carobroute.leases import (
    DutyParameters,
    DutyScheduler,
    FenceGate,
    LeaseManager,
    LeaseParameters,
)
from carobroute.testing import FakeTable, wait_until
from carobroute.utils import Clock, ManualClock, rendezvous_order

DURATION_MS = 1_000.0
TAKEOVER_WAIT_MS = 1_050.0
PARAMETERS = LeaseParameters(duration_ms=DURATION_MS, settle_ms=500)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def table(clock):
    return FakeTable(clock=clock)


def make_keeper(table, clock, name):
    return LeaseManager(
        table=table, clock=clock, incarnation=name, parameters=PARAMETERS
    )


async def test_second_process_waits_until_the_lease_has_lapsed(table, clock):
    first, second = make_keeper(table, clock, "a"), make_keeper(table, clock, "b")
    lease = (await first.acquire("plan")).unwrap()
    clock.advance_ms(900)
    refused = (await second.acquire("plan")).failure()
    assert refused.kind is ErrorKind.CONFLICT
    assert "held by a with fence 1" in refused.detail
    # The wait counts from when the second process first read the row.
    clock.advance_ms(TAKEOVER_WAIT_MS - 1)
    assert not lease.is_held
    assert (await second.acquire("plan")).failure().retry_after_ms == pytest.approx(1)
    clock.advance_ms(1)
    assert (await second.acquire("plan")).unwrap().fence == 2


async def test_renewal_restarts_the_wait_of_another_process(table, clock):
    first, second = make_keeper(table, clock, "a"), make_keeper(table, clock, "b")
    lease = (await first.acquire("plan")).unwrap()
    await second.acquire("plan")
    clock.advance_ms(600)
    (await first.renew(lease)).unwrap()
    clock.advance_ms(600)
    assert (await second.acquire("plan")).failure().kind is ErrorKind.CONFLICT
    assert lease.fence_if_held().unwrap() == 1


async def test_lease_duration_counts_from_before_the_write(table, clock):
    """With a slow table, the lease must count from when the write was sent."""
    table.before_transact = lambda transaction: clock.advance_ms(400)
    lease = (await make_keeper(table, clock, "a").acquire("plan")).unwrap()
    assert lease.remaining_ms == pytest.approx(600)


async def test_paused_holder_can_neither_act_nor_renew(table, clock):
    first, second = make_keeper(table, clock, "a"), make_keeper(table, clock, "b")
    lease = (await first.acquire("plan")).unwrap()
    await second.acquire("plan")
    clock.advance_ms(TAKEOVER_WAIT_MS)
    (await second.acquire("plan")).unwrap()
    assert lease.fence_if_held().failure().kind is ErrorKind.STALE_FENCE
    assert (await first.renew(lease)).failure().kind is ErrorKind.STALE_FENCE


async def test_late_renewal_does_not_restore_a_lapsed_lease(table, clock):
    """The holder is paused in a renewal, whose reply comes after the lease lapsed."""
    first, second = make_keeper(table, clock, "a"), make_keeper(table, clock, "b")
    lease = (await first.acquire("plan")).unwrap()
    await second.acquire("plan")
    renewal = asyncio.ensure_future(first.renew(lease))
    await asyncio.sleep(0)
    clock.advance_ms(TAKEOVER_WAIT_MS)
    await renewal
    assert lease.fence_if_held().failure().kind is ErrorKind.STALE_FENCE
    # The write took effect, so the wait of the second process starts again.
    assert (await second.acquire("plan")).failure().kind is ErrorKind.CONFLICT
    clock.advance_ms(TAKEOVER_WAIT_MS)
    assert (await second.acquire("plan")).unwrap().fence == 2


async def test_renewal_with_a_lost_reply_keeps_the_lease(table, clock):
    first = make_keeper(table, clock, "a")
    lease = (await first.acquire("plan")).unwrap()
    table.lose_answers = 2
    (await first.renew(lease)).unwrap()
    assert lease.fence_if_held().unwrap() == 1
    (await first.renew(lease)).unwrap()


async def test_duty_is_acquired_again_after_an_unknown_outcome(table, clock):
    first = make_keeper(table, clock, "a")
    table.lose_answers = 10_000
    result = await first.acquire("plan")
    assert result.failure().kind is ErrorKind.STORE_UNAVAILABLE
    table.lose_answers = 0
    assert (await first.acquire("plan")).unwrap().fence == 2


async def test_released_duty_is_acquired_at_once(table, clock):
    first, second = make_keeper(table, clock, "a"), make_keeper(table, clock, "b")
    lease = (await first.acquire("plan")).unwrap()
    (await first.release(lease)).unwrap()
    assert not lease.is_held
    assert (await second.acquire("plan")).unwrap().fence == 2


async def test_gate_refuses_older_fences_and_all_before_recovery(table, clock):
    keeper = make_keeper(table, clock, "a")
    lease = (await keeper.acquire("plan")).unwrap()
    (await keeper.release(lease)).unwrap()
    (await keeper.acquire("plan")).unwrap()
    gate = FenceGate(table=table)
    assert gate.check_fence("plan", 2).failure().kind is ErrorKind.STORE_UNAVAILABLE
    assert (await gate.load_fence("plan")).unwrap() == 2
    assert gate.check_fence("plan", 1).failure().kind is ErrorKind.STALE_FENCE
    assert gate.check_fence("plan", 3).unwrap() == 3
    assert gate.check_fence("plan", 2).failure().kind is ErrorKind.STALE_FENCE


FAST_PARAMETERS = DutyParameters(check_interval_ms=20, min_tenure_ms=50, retry_ms=60)


class DutyProcess:
    """Candidate for the duty `plan`; records the fence of each tenure."""

    def __init__(self, name, table, candidates):
        self.name, self.fences = name, []
        keeper = LeaseManager(
            table=table,
            clock=Clock(),
            incarnation=f"{name}~1",
            parameters=LeaseParameters(duration_ms=200, settle_ms=100),
        )
        self.duties = DutyScheduler(
            leases=keeper,
            name=name,
            clock=Clock(),
            random=random.Random(name),
            parameters=FAST_PARAMETERS,
        )
        self.duties.add("plan", self.run, lambda: candidates)

    async def run(self, lease):
        self.fences.append(lease.fence)
        await asyncio.Event().wait()


@pytest.fixture
async def processes():
    table = FakeTable(clock=Clock())
    candidates = rendezvous_order("plan", ["a", "b", "c"])
    processes = [DutyProcess(name, table, candidates) for name in candidates]
    for process in processes:
        await process.duties.start()
    yield candidates, processes
    for process in processes:
        await process.duties.stop()


async def test_duty_follows_the_first_candidate_in_order(processes):
    candidates, (first, second, third) = processes
    # The work notes its fence a moment after the duty is held.
    await wait_until(lambda: first.duties.held and first.fences)
    assert not third.fences
    candidates.remove(first.name)
    await wait_until(
        lambda: second.duties.held and second.fences and not first.duties.held
    )
    assert second.fences[-1] > first.fences[-1]


async def test_duty_of_a_dead_process_is_taken_over(processes):
    candidates, (first, second, _) = processes
    await wait_until(lambda: first.duties.held and first.fences)
    await first.duties._tasks.close()
    await wait_until(lambda: second.duties.held and second.fences)
    assert second.fences[-1] == first.fences[-1] + 1
    assert not first.duties.held


async def test_failed_work_releases_the_duty_and_is_retried():
    events = []
    table = FakeTable(clock=Clock())

    async def fail_work(lease):
        raise RuntimeError(f"broken with fence {lease.fence}")

    duties = DutyScheduler(
        leases=LeaseManager(table=table, clock=Clock(), incarnation="a~1"),
        name="a",
        clock=Clock(),
        random=random.Random(1),
        parameters=FAST_PARAMETERS,
        on_event=lambda name, **fields: events.append((name, fields)),
    )
    duties.add("plan", fail_work, lambda: ["a"])
    await duties.start()
    await wait_until(
        lambda: (
            "RuntimeError('broken with fence 2')"
            in [fields.get("error") for _, fields in events]
        )
    )
    await duties.stop()
    ended = [fields for name, fields in events if name == "duty_ended"]
    assert ended[0]["reason"] == "its work ended"
    assert not duties.held


async def test_work_is_cancelled_if_the_lease_lapses_in_an_outage():
    table = FakeTable(clock=Clock())
    process = DutyProcess("a", table, ["a"])
    await process.duties.start()
    await wait_until(lambda: process.duties.held)
    table.available = False
    await wait_until(lambda: not process.duties.held)
    table.available = True
    await wait_until(lambda: process.fences == [1, 2])
    assert process.duties.held == {"plan": 2}
    await process.duties.stop()
