import asyncio

import pytest

from carobroute.domain import TargetState
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

DEADLINE_MS = 1_000_000.0


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def table(clock):
    return FakeTable(clock=clock)


@pytest.fixture
def log(table, clock):
    return TicketLog(table=table, clock=clock)


async def file_first_ticket(log):
    """File ticket 1: a service with two serving targets."""
    ticket = make_ticket(make_service(), make_target(), make_target("runner-2"))
    return (await log.file(ticket, DEADLINE_MS)).unwrap()


async def test_tickets_are_numbered_and_chained(log):
    first = await file_first_ticket(log)
    second = (
        await log.file(make_ticket(make_team(), based_on=1), DEADLINE_MS)
    ).unwrap()
    assert (first.number, second.number) == (1, 2)
    assert first.chain and second.chain != first.chain
    assert (await log.head_number()).unwrap() == 2
    assert [t.number for t in (await log.read(0, 10)).unwrap()] == [1, 2]


async def test_stale_based_on_is_accepted_for_unchanged_objects(log):
    await file_first_ticket(log)
    (await log.file(make_ticket(make_team("a"), based_on=1), DEADLINE_MS)).unwrap()
    late = await log.file(make_ticket(make_team("b"), based_on=1), DEADLINE_MS)
    assert late.unwrap().number == 3


async def test_conflict_names_the_ticket_and_the_objects(log):
    await file_first_ticket(log)
    one = make_ticket(make_team("till", weight=2.0), based_on=1, author="mere")
    two = make_ticket(make_team("till", weight=3.0), based_on=1, author="jone")
    results = await asyncio.gather(
        log.file(one, DEADLINE_MS), log.file(two, DEADLINE_MS)
    )
    failures = [r.failure() for r in results if r.value_or(None) is None]
    assert len(failures) == 1
    assert failures[0].kind is ErrorKind.CONFLICT
    assert failures[0].detail == "changed since ticket 1: team/till by ticket 2"


async def test_concurrent_valid_tickets_cannot_be_invalid_together(log):
    """Each drains one of the last two targets; they change different objects."""
    await file_first_ticket(log)
    drains = [
        make_ticket(make_target(name, state=TargetState.DRAINING), based_on=1)
        for name in ("runner-1", "runner-2")
    ]
    results = await asyncio.gather(*(log.file(t, DEADLINE_MS) for t in drains))
    failures = [r.failure() for r in results if r.value_or(None) is None]
    assert [f.kind for f in failures] == [ErrorKind.INVALID_TICKET]
    assert "no serving target after this ticket" in failures[0].detail


async def test_lost_answer_is_settled_by_the_client(log, table):
    await file_first_ticket(log)
    table.lose_answers = 3
    ticket = make_ticket(make_team(), based_on=1)
    assert (await log.file(ticket, DEADLINE_MS)).unwrap().number == 2
    assert (await log.head_number()).unwrap() == 2


async def test_lost_answer_is_settled_by_a_restarted_client(log, table, clock):
    await file_first_ticket(log)
    ticket = make_ticket(make_team(), based_on=1)
    table.lose_answers = 10_000
    unknown = await log.file(ticket, clock.now_ms() + 50)
    assert unknown.failure().kind is ErrorKind.OUTCOME_UNKNOWN
    table.lose_answers = 0
    (await log.file(make_ticket(make_team(), based_on=2), DEADLINE_MS)).unwrap()
    restarted = TicketLog(table=table, clock=clock)
    assert (await restarted.file(ticket, DEADLINE_MS)).unwrap().number == 2
    assert (await restarted.head_number()).unwrap() == 3


async def test_same_filing_through_two_processes_is_accepted_once(log, table, clock):
    await file_first_ticket(log)
    other = TicketLog(table=table, clock=clock)
    ticket = make_ticket(make_team(), based_on=1)
    results = await asyncio.gather(
        log.file(ticket, DEADLINE_MS), other.file(ticket, DEADLINE_MS)
    )
    assert results[0].unwrap() == results[1].unwrap()
    assert (await log.head_number()).unwrap() == 2


async def test_token_reused_for_another_content_is_rejected(log):
    await file_first_ticket(log)
    token = "ab" * 16
    (await log.file(make_ticket(make_team("a"), token=token), DEADLINE_MS)).unwrap()
    other = await log.file(make_ticket(make_team("b"), token=token), DEADLINE_MS)
    assert other.failure().kind is ErrorKind.KEY_REUSED


async def test_filing_fails_as_not_run_when_the_table_is_unreachable(log, table):
    table.available = False
    result = await log.file(make_ticket(make_team()), 0.0)
    assert result.failure().kind is ErrorKind.STORE_UNAVAILABLE
    assert result.failure().not_run


async def test_older_ticket_does_not_restore_a_removed_object(log):
    await file_first_ticket(log)
    added = (await log.file(make_ticket(make_team(), based_on=1), DEADLINE_MS)).unwrap()
    removal = make_ticket(based_on=2, removed=["team/counter"])
    (await log.file(removal, DEADLINE_MS)).unwrap()
    configuration = (await log.load_configuration()).unwrap()
    assert configuration.with_ticket(added).team("counter") is None


def make_compactor(log, clock, **fields):
    return TicketCompactor(
        log=log, clock=clock, keep_tickets=2, compact_above=3, **fields
    )


async def file_teams(log, names):
    for name in names:
        based_on = (await log.head_number()).unwrap()
        (
            await log.file(make_ticket(make_team(name), based_on=based_on), DEADLINE_MS)
        ).unwrap()


async def test_compacted_log_loads_to_the_same_configuration(log, table, clock):
    await file_first_ticket(log)
    await file_teams(log, "abcdef")
    before = (await log.load_configuration()).unwrap()
    assert (await make_compactor(log, clock).compact(DEADLINE_MS)).unwrap() == 5
    fresh = TicketLog(table=table, clock=clock)
    after = (await fresh.load_configuration()).unwrap()
    assert (after.number, after.chain) == (before.number, before.chain)
    assert after.objects == before.objects
    assert [k for k in table.keys("tickets") if k[:2] == "n/"] == [
        "n/000000000006",
        "n/000000000007",
    ]
    assert (await fresh.read(3)).failure().kind is ErrorKind.NOT_FOUND


async def test_filing_based_on_a_compacted_ticket_is_rejected(log, clock):
    """Its token row may be deleted, so whether it was accepted cannot be told."""
    await file_first_ticket(log)
    lost = make_ticket(make_team("lost"), based_on=1)
    (await log.file(lost, DEADLINE_MS)).unwrap()
    await file_teams(log, "abcdef")
    (await make_compactor(log, clock).compact(DEADLINE_MS)).unwrap()
    again = await log.file(lost, DEADLINE_MS)
    assert again.failure().kind is ErrorKind.CONFLICT
    assert (await log.head_number()).unwrap() == 8


async def test_compactor_that_lost_its_duty_writes_nothing(log, table, clock):
    await file_first_ticket(log)
    await file_teams(log, "abcdef")
    keys = table.keys("tickets")
    stale = make_compactor(log, clock, guard=lambda: False)
    assert (await stale.compact(DEADLINE_MS)).failure().kind is ErrorKind.STALE_FENCE
    assert table.keys("tickets") == keys


async def test_second_compactor_does_not_break_the_first(log, table, clock):
    """One compaction finishes after the other's row writes, before its head write."""
    await file_first_ticket(log)
    await file_teams(log, "abcdef")
    other = TicketLog(table=table, clock=clock)
    results = await asyncio.gather(
        make_compactor(log, clock).compact(DEADLINE_MS),
        make_compactor(other, clock).compact(DEADLINE_MS),
    )
    assert any(result.value_or(0) == 5 for result in results)
    fresh = TicketLog(table=table, clock=clock)
    assert (await fresh.load_configuration()).unwrap().number == 7


async def test_configuration_at_an_earlier_ticket(log):
    await file_first_ticket(log)
    await file_teams(log, "ab")
    at = (await log.configuration_at(2)).unwrap()
    assert at.team("a") is not None and at.team("b") is None
    assert (await log.configuration_at(9)).failure().kind is ErrorKind.NOT_FOUND


async def test_rows_stay_within_the_size_limit_with_4900_teams(log, table, clock):
    """4,900 teams with two keys each, filed in parts and then compacted."""
    hashes = ["ab" * 32, "cd" * 32]
    await file_first_ticket(log)
    for start in range(0, 4_900, 1_400):
        names = range(start, min(start + 1_400, 4_900))
        teams = [make_team(f"team-{i}", key_hashes=hashes) for i in names]
        (await log.file(make_ticket(*teams, based_on=1), DEADLINE_MS)).unwrap()
    (await make_compactor(log, clock).compact(DEADLINE_MS)).unwrap()
    sizes = [len(table.row("tickets", key).value) for key in table.keys("tickets")]
    assert max(sizes) <= 512 * 1024
    snapshots = [k for k in table.keys("tickets") if k.startswith("s/")]
    assert all(len(table.row("tickets", k).value) <= 128 * 1024 for k in snapshots)
    fresh = TicketLog(table=table, clock=clock)
    assert len((await fresh.load_configuration()).unwrap().teams()) == 4_900


async def test_too_large_ticket_is_rejected(log):
    await file_first_ticket(log)
    teams = [make_team(f"team-{i}", key_hashes=["ab" * 32] * 2) for i in range(4_900)]
    refused = await log.file(make_ticket(*teams, based_on=1), DEADLINE_MS)
    assert refused.failure().kind is ErrorKind.TOO_LARGE
