import asyncio
import random

import pytest

from carobroute.errors import ErrorKind
from carobroute.leases import (
    Duties,
    DutyParameters,
    FenceGate,
    LeaseKeeper,
    LeaseParameters,
)
from carobroute.testing import FakeTable, wait_until
from carobroute.utils import Clock, ManualClock, rendezvous_order

DURATION_MS = 1_000.0
TAKER_WAIT_MS = 1_050.0
PARAMETERS = LeaseParameters(duration_ms=DURATION_MS, settle_ms=500)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def table(clock):
    return FakeTable(clock=clock)


def keeper_of(table, clock, name):
    return LeaseKeeper(
        table=table, clock=clock, incarnation=name, parameters=PARAMETERS
    )


async def test_second_process_waits_the_lease_out(table, clock):
    first, second = keeper_of(table, clock, "a"), keeper_of(table, clock, "b")
    lease = (await first.acquire("plan")).unwrap()
    clock.advance_ms(900)
    refused = (await second.acquire("plan")).failure()
    assert refused.kind is ErrorKind.CONFLICT
    assert "held by a with fence 1" in refused.detail
    # The taker counts from when it first saw the row, not from when it was written.
    clock.advance_ms(TAKER_WAIT_MS - 1)
    assert not lease.held
    assert (await second.acquire("plan")).failure().retry_after_ms == pytest.approx(1)
    clock.advance_ms(1)
    assert (await second.acquire("plan")).unwrap().fence == 2


async def test_renewal_restarts_the_takers_wait(table, clock):
    first, second = keeper_of(table, clock, "a"), keeper_of(table, clock, "b")
    lease = (await first.acquire("plan")).unwrap()
    await second.acquire("plan")
    clock.advance_ms(600)
    (await first.renew(lease)).unwrap()
    clock.advance_ms(600)
    assert (await second.acquire("plan")).failure().kind is ErrorKind.CONFLICT
    assert lease.guard().unwrap() == 1


async def test_holder_counts_from_before_its_write(table, clock):
    """The table is slow: the lease runs from when the write was sent."""
    table.before_transact = lambda transaction: clock.advance_ms(400)
    lease = (await keeper_of(table, clock, "a").acquire("plan")).unwrap()
    assert lease.left_ms == pytest.approx(600)


async def test_paused_holder_may_not_act_and_cannot_renew(table, clock):
    first, second = keeper_of(table, clock, "a"), keeper_of(table, clock, "b")
    lease = (await first.acquire("plan")).unwrap()
    await second.acquire("plan")
    clock.advance_ms(TAKER_WAIT_MS)
    (await second.acquire("plan")).unwrap()
    assert lease.guard().failure().kind is ErrorKind.STALE_FENCE
    assert (await first.renew(lease)).failure().kind is ErrorKind.STALE_FENCE


async def test_lapsed_lease_is_not_revived_by_a_late_renewal(table, clock):
    """The pause falls into the renewal: its answer comes after the lease lapsed."""
    first, second = keeper_of(table, clock, "a"), keeper_of(table, clock, "b")
    lease = (await first.acquire("plan")).unwrap()
    await second.acquire("plan")
    renewal = asyncio.ensure_future(first.renew(lease))
    await asyncio.sleep(0)
    clock.advance_ms(TAKER_WAIT_MS)
    await renewal
    assert lease.guard().failure().kind is ErrorKind.STALE_FENCE
    # The write took effect, so the taker's wait began anew.
    assert (await second.acquire("plan")).failure().kind is ErrorKind.CONFLICT
    clock.advance_ms(TAKER_WAIT_MS)
    assert (await second.acquire("plan")).unwrap().fence == 2


async def test_lost_answer_to_a_renewal_keeps_the_lease(table, clock):
    first = keeper_of(table, clock, "a")
    lease = (await first.acquire("plan")).unwrap()
    table.lose_answers = 2
    (await first.renew(lease)).unwrap()
    assert lease.guard().unwrap() == 1
    (await first.renew(lease)).unwrap()


async def test_take_over_with_unknown_outcome_is_taken_again(table, clock):
    first = keeper_of(table, clock, "a")
    table.lose_answers = 10_000
    unknown = await first.acquire("plan")
    assert unknown.failure().kind is ErrorKind.STORE_UNAVAILABLE
    table.lose_answers = 0
    assert (await first.acquire("plan")).unwrap().fence == 2


async def test_released_lease_is_taken_at_once(table, clock):
    first, second = keeper_of(table, clock, "a"), keeper_of(table, clock, "b")
    lease = (await first.acquire("plan")).unwrap()
    (await first.release(lease)).unwrap()
    assert not lease.held
    assert (await second.acquire("plan")).unwrap().fence == 2


async def test_gate_refuses_until_recovered_and_then_older_fences(table, clock):
    keeper = keeper_of(table, clock, "a")
    lease = (await keeper.acquire("plan")).unwrap()
    (await keeper.release(lease)).unwrap()
    (await keeper.acquire("plan")).unwrap()
    gate = FenceGate(table=table)
    assert gate.admit("plan", 2).failure().kind is ErrorKind.STORE_UNAVAILABLE
    assert (await gate.recover("plan")).unwrap() == 2
    assert gate.admit("plan", 1).failure().kind is ErrorKind.STALE_FENCE
    assert gate.admit("plan", 3).unwrap() == 3
    assert gate.admit("plan", 2).failure().kind is ErrorKind.STALE_FENCE


FAST = DutyParameters(tend_ms=20, hold_ms=50, retry_ms=60)


class Member:
    """One process that takes part in duties."""

    def __init__(self, name, table, live):
        self.name, self.runs = name, []
        keeper = LeaseKeeper(
            table=table,
            clock=Clock(),
            incarnation=f"{name}~1",
            parameters=LeaseParameters(duration_ms=200, settle_ms=100),
        )
        self.duties = Duties(
            leases=keeper,
            name=name,
            clock=Clock(),
            random=random.Random(name),
            parameters=FAST,
        )
        self.duties.add("plan", self.run, lambda: live)

    async def run(self, lease):
        self.runs.append(lease.fence)
        await asyncio.Event().wait()


@pytest.fixture
async def members():
    table = FakeTable(clock=Clock())
    live = rendezvous_order("plan", ["a", "b", "c"])
    entries = [Member(name, table, live) for name in live]
    for entry in entries:
        await entry.duties.start()
    yield live, entries
    for entry in entries:
        await entry.duties.stop()


async def test_duty_falls_to_the_first_and_moves_with_the_members(members):
    live, (first, second, third) = members
    await wait_until(lambda: first.duties.held)
    assert not third.runs
    live.remove(first.name)
    await wait_until(lambda: second.duties.held and not first.duties.held)
    assert second.runs[-1] > first.runs[-1]


async def test_duty_is_taken_over_from_a_process_that_died(members):
    live, (first, second, _) = members
    await wait_until(lambda: first.duties.held)
    await first.duties._tasks.close()
    await wait_until(lambda: second.duties.held)
    assert second.runs[-1] == first.runs[-1] + 1
    assert not first.duties.held


async def test_work_that_fails_gives_the_duty_up_and_is_tried_again():
    failures = []
    table = FakeTable(clock=Clock())

    async def fail_work(lease):
        raise RuntimeError(f"broken with fence {lease.fence}")

    duties = Duties(
        leases=LeaseKeeper(table=table, clock=Clock(), incarnation="a~1"),
        name="a",
        clock=Clock(),
        random=random.Random(1),
        parameters=FAST,
        on_event=lambda name, **fields: failures.append((name, fields)),
    )
    duties.add("plan", fail_work, lambda: ["a"])
    await duties.start()
    await wait_until(
        lambda: (
            "RuntimeError('broken with fence 2')"
            in [fields.get("error") for _, fields in failures]
        )
    )
    await duties.stop()
    ended = [fields for name, fields in failures if name == "duty_ended"]
    assert ended[0]["reason"] == "its work ended"
    assert not duties.held


async def test_work_is_cancelled_when_the_lease_lapses_in_an_outage():
    table = FakeTable(clock=Clock())
    member = Member("a", table, ["a"])
    await member.duties.start()
    await wait_until(lambda: member.duties.held)
    table.available = False
    await wait_until(lambda: not member.duties.held)
    table.available = True
    await wait_until(lambda: member.runs == [1, 2])
    assert member.duties.held == {"plan": 2}
    await member.duties.stop()
