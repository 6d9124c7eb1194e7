import asyncio

import pytest

from carobroute.errors import ErrorKind
from carobroute.testing import (
    FakeTable,
    make_service,
    make_target,
    make_team,
    make_ticket,
)
from carobroute.tickets import TicketCompactor, TicketLog
from carobroute.utils import ManualClock
from carobroute.world import TargetState

LATE_MS = 1_000_000.0


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def table(clock):
    return FakeTable(clock=clock)


@pytest.fixture
def log(table, clock):
    return TicketLog(table=table, clock=clock)


async def file_start(log):
    """File ticket 1: a service with two serving targets."""
    ticket = make_ticket(make_service(), make_target(), make_target("runner-2"))
    return (await log.file(ticket, LATE_MS)).unwrap()


async def test_tickets_are_numbered_and_chained(log):
    first = await file_start(log)
    second = (await log.file(make_ticket(make_team(), based_on=1), LATE_MS)).unwrap()
    assert (first.number, second.number) == (1, 2)
    assert first.chain and second.chain != first.chain
    assert (await log.head()).unwrap() == 2
    assert [t.number for t in (await log.read(0, 10)).unwrap()] == [1, 2]


async def test_untouched_objects_are_rebased(log):
    await file_start(log)
    (await log.file(make_ticket(make_team("a"), based_on=1), LATE_MS)).unwrap()
    late = await log.file(make_ticket(make_team("b"), based_on=1), LATE_MS)
    assert late.unwrap().number == 3


async def test_loser_learns_ticket_and_objects(log):
    await file_start(log)
    one = make_ticket(make_team("till", weight=2.0), based_on=1, author="mere")
    two = make_ticket(make_team("till", weight=3.0), based_on=1, author="jone")
    results = await asyncio.gather(log.file(one, LATE_MS), log.file(two, LATE_MS))
    lost = [r.failure() for r in results if r.value_or(None) is None]
    assert len(lost) == 1
    assert lost[0].kind is ErrorKind.CONFLICT
    assert lost[0].detail == "changed since ticket 1: team/till by ticket 2"


async def test_two_right_tickets_cannot_be_wrong_together(log):
    """Each drains one of the last two targets; no object is touched by both."""
    await file_start(log)
    drains = [
        make_ticket(make_target(name, state=TargetState.DRAINING), based_on=1)
        for name in ("runner-1", "runner-2")
    ]
    results = await asyncio.gather(*(log.file(t, LATE_MS) for t in drains))
    lost = [r.failure() for r in results if r.value_or(None) is None]
    assert [f.kind for f in lost] == [ErrorKind.INVALID_TICKET]
    assert "no serving target after this ticket" in lost[0].detail


async def test_lost_answer_is_settled_by_the_client(log, table):
    await file_start(log)
    table.lose_answers = 3
    ticket = make_ticket(make_team(), based_on=1)
    assert (await log.file(ticket, LATE_MS)).unwrap().number == 2
    assert (await log.head()).unwrap() == 2


async def test_lost_answer_is_settled_by_a_restarted_client(log, table, clock):
    await file_start(log)
    ticket = make_ticket(make_team(), based_on=1)
    table.lose_answers = 10_000
    unknown = await log.file(ticket, clock.now_ms() + 50)
    assert unknown.failure().kind is ErrorKind.OUTCOME_UNKNOWN
    table.lose_answers = 0
    (await log.file(make_ticket(make_team(), based_on=2), LATE_MS)).unwrap()
    restarted = TicketLog(table=table, clock=clock)
    assert (await restarted.file(ticket, LATE_MS)).unwrap().number == 2
    assert (await restarted.head()).unwrap() == 3


async def test_same_filing_through_two_processes_is_accepted_once(log, table, clock):
    await file_start(log)
    other = TicketLog(table=table, clock=clock)
    ticket = make_ticket(make_team(), based_on=1)
    results = await asyncio.gather(
        log.file(ticket, LATE_MS), other.file(ticket, LATE_MS)
    )
    assert results[0].unwrap() == results[1].unwrap()
    assert (await log.head()).unwrap() == 2


async def test_token_of_another_content_is_refused(log):
    await file_start(log)
    token = "ab" * 16
    (await log.file(make_ticket(make_team("a"), token=token), LATE_MS)).unwrap()
    other = await log.file(make_ticket(make_team("b"), token=token), LATE_MS)
    assert other.failure().kind is ErrorKind.KEY_REUSED


async def test_unreachable_table_refuses_before_anything_was_sent(log, table):
    table.available = False
    result = await log.file(make_ticket(make_team()), 0.0)
    assert result.failure().kind is ErrorKind.STORE_UNAVAILABLE
    assert result.failure().not_run


async def test_removed_object_does_not_return_with_an_older_ticket(log):
    await file_start(log)
    added = (await log.file(make_ticket(make_team(), based_on=1), LATE_MS)).unwrap()
    gone = make_ticket(based_on=2, removed=["team/counter"])
    (await log.file(gone, LATE_MS)).unwrap()
    configuration = (await log.load_configuration()).unwrap()
    assert configuration.with_ticket(added).team("counter") is None


def compactor_of(log, clock, **fields):
    return TicketCompactor(log=log, clock=clock, keep=2, above=3, **fields)


async def file_teams(log, names):
    for name in names:
        based_on = (await log.head()).unwrap()
        (
            await log.file(make_ticket(make_team(name), based_on=based_on), LATE_MS)
        ).unwrap()


async def test_compacted_log_loads_to_the_same_configuration(log, table, clock):
    await file_start(log)
    await file_teams(log, "abcdef")
    before = (await log.load_configuration()).unwrap()
    assert (await compactor_of(log, clock).compact(LATE_MS)).unwrap() == 5
    fresh = TicketLog(table=table, clock=clock)
    after = (await fresh.load_configuration()).unwrap()
    assert (after.number, after.chain) == (before.number, before.chain)
    assert after.objects == before.objects
    assert [k for k in table.keys("tickets") if k[:2] == "n/"] == [
        "n/000000000006",
        "n/000000000007",
    ]
    assert (await fresh.read(3)).failure().kind is ErrorKind.NOT_FOUND


async def test_filing_older_than_the_log_is_refused(log, clock):
    """Its token row may be gone, so nobody can tell whether it was accepted."""
    await file_start(log)
    lost = make_ticket(make_team("lost"), based_on=1)
    (await log.file(lost, LATE_MS)).unwrap()
    await file_teams(log, "abcdef")
    (await compactor_of(log, clock).compact(LATE_MS)).unwrap()
    again = await log.file(lost, LATE_MS)
    assert again.failure().kind is ErrorKind.CONFLICT
    assert (await log.head()).unwrap() == 8


async def test_compactor_that_lost_its_duty_writes_nothing(log, table, clock):
    await file_start(log)
    await file_teams(log, "abcdef")
    keys = table.keys("tickets")
    stale = compactor_of(log, clock, guard=lambda: False)
    assert (await stale.compact(LATE_MS)).failure().kind is ErrorKind.STALE_FENCE
    assert table.keys("tickets") == keys


async def test_second_compactor_does_not_break_the_first(log, table, clock):
    """Another compaction finishes between the first one's rows and its head."""
    await file_start(log)
    await file_teams(log, "abcdef")
    other = TicketLog(table=table, clock=clock)
    results = await asyncio.gather(
        compactor_of(log, clock).compact(LATE_MS),
        compactor_of(other, clock).compact(LATE_MS),
    )
    assert any(result.value_or(0) == 5 for result in results)
    fresh = TicketLog(table=table, clock=clock)
    assert (await fresh.load_configuration()).unwrap().number == 7


async def test_configuration_at_an_earlier_ticket(log):
    await file_start(log)
    await file_teams(log, "ab")
    at = (await log.configuration_at(2)).unwrap()
    assert at.team("a") is not None and at.team("b") is None
    assert (await log.configuration_at(9)).failure().kind is ErrorKind.NOT_FOUND


async def test_rows_stay_small_with_as_many_teams_as_expected(log, table, clock):
    """4,900 teams with two keys each, filed in parts and then compacted."""
    hashes = ["ab" * 32, "cd" * 32]
    await file_start(log)
    for start in range(0, 4_900, 1_400):
        names = range(start, min(start + 1_400, 4_900))
        teams = [make_team(f"team-{i}", key_hashes=hashes) for i in names]
        (await log.file(make_ticket(*teams, based_on=1), LATE_MS)).unwrap()
    (await compactor_of(log, clock).compact(LATE_MS)).unwrap()
    sizes = [len(table.row("tickets", key).value) for key in table.keys("tickets")]
    assert max(sizes) <= 512 * 1024
    snapshots = [k for k in table.keys("tickets") if k.startswith("s/")]
    assert all(len(table.row("tickets", k).value) <= 128 * 1024 for k in snapshots)
    fresh = TicketLog(table=table, clock=clock)
    assert len((await fresh.load_configuration()).unwrap().teams()) == 4_900


async def test_too_large_ticket_is_refused(log):
    await file_start(log)
    teams = [make_team(f"team-{i}", key_hashes=["ab" * 32] * 2) for i in range(4_900)]
    refused = await log.file(make_ticket(*teams, based_on=1), LATE_MS)
    assert refused.failure().kind is ErrorKind.TOO_LARGE
