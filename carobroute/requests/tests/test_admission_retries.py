import random

import pytest
from returns.result import Failure, Success

from carobroute.domain import CallClass
from carobroute.errors import ErrorKind, Fault
from carobroute.requests import Admission, RetryParameters, RetryPolicy
from carobroute.tickets import TeamObject
from carobroute.utils import ManualClock


@pytest.fixture
def clock():
    return ManualClock(start_ms=1_000)


def make_entries(clock, count, limit):
    names = [f"entry-{n}" for n in range(count)]
    entries = {}
    for number, name in enumerate(names):
        entry = Admission(clock=clock, random=random.Random(number), name=name)
        entry.update_entries(names)
        entry.update_teams(
            [TeamObject(name="shops", key_hashes=[], requests_per_s=limit)]
        )
        entries[name] = entry
    return entries


def exchange_demand(entries):
    for entry in entries.values():
        for aggregator, demand in entry.demand().items():
            entry.note_totals(entries[aggregator].note_demand(demand))


def admitted_per_s(entries, clock, rates, seconds):
    """Return the number of calls per second that all entries admit."""
    count = 0
    for _ in range(10 * seconds):
        clock.advance_ms(100)
        for name, rate in rates.items():
            for _ in range(rate // 10):
                count += isinstance(entries[name].admit("shops"), Success)
        if clock.now_ms() % 1_000 == 0:
            exchange_demand(entries)
    return count / seconds


@pytest.mark.parametrize(
    "rates",
    [
        {"entry-0": 100, "entry-1": 100, "entry-2": 100},
        {"entry-0": 300, "entry-1": 0, "entry-2": 0},
        {"entry-0": 200, "entry-1": 20, "entry-2": 0},
    ],
)
def test_limit_holds_over_all_entries_for_any_distribution_of_demand(clock, rates):
    entries = make_entries(clock, 3, limit=60)
    admitted_per_s(entries, clock, rates, 10)
    steady_per_s = admitted_per_s(entries, clock, rates, 20)
    assert 0.85 * 60 <= steady_per_s <= 1.1 * 60


def test_entry_without_totals_admits_an_equal_share(clock):
    entries = make_entries(clock, 3, limit=60)
    alone = {"entry-0": entries["entry-0"]}
    admitted_per_s(entries, clock, {"entry-0": 300}, 5)
    clock.advance_ms(10_000)
    count = 0
    for _ in range(100):
        clock.advance_ms(100)
        for _ in range(30):
            count += isinstance(alone["entry-0"].admit("shops"), Success)
    assert count / 10 <= 1.2 * 20


def test_retry_delays_of_refused_callers_have_jitter(clock):
    entry = make_entries(clock, 1, limit=1)["entry-0"]
    waits = []
    for _ in range(50):
        result = entry.admit("shops")
        if isinstance(result, Failure):
            fault = result.failure()
            assert fault.kind is ErrorKind.TEAM_LIMIT and fault.not_run
            waits.append(fault.retry_after_ms)
    assert len(waits) == 49 and min(waits) >= 1_000
    assert max(waits) - min(waits) > 500
    assert isinstance(entry.admit("unlimited"), Success)


MAY_HAVE_RUN_KINDS = [
    kind for kind in ErrorKind if not Fault(kind=kind, detail="").not_run
]


@pytest.mark.parametrize("kind", MAY_HAVE_RUN_KINDS)
def test_non_idempotent_call_is_not_retried_when_outcome_is_unknown(clock, kind):
    policy = RetryPolicy(clock=clock)
    fault = Fault(kind=kind, detail="")
    decision = policy.decide(fault, CallClass.NON_IDEMPOTENT, 1, 10_000)
    assert not decision.retry


def test_retry_budget_follows_successes_of_each_team(clock):
    policy = RetryPolicy(clock=clock, parameters=RetryParameters(initial_retries=2.0))
    fault = Fault(kind=ErrorKind.OVERLOADED, detail="")

    def retries(count, team):
        decide = policy.decide
        return sum(
            decide(fault, CallClass.IDEMPOTENT, 1, 1_000, team).retry
            for _ in range(count)
        )

    assert retries(1_000, "flood") == 2
    assert retries(1, "small") == 1
    for _ in range(100):
        policy.note_success("flood")
    assert retries(1_000, "flood") in (9, 10)  # 0.1 is not exact in binary


def test_lost_attempts_have_a_separate_budget(clock):
    """With one budget, most calls in flight at a lost target were not retried."""
    policy = RetryPolicy(clock=clock)
    lost = Fault(kind=ErrorKind.STREAM_BROKEN, detail="")
    overloaded = Fault(kind=ErrorKind.OVERLOADED, detail="")
    decide = policy.decide
    idempotent = CallClass.IDEMPOTENT
    assert sum(decide(lost, idempotent, 1, 1_000, "t").retry for _ in range(50)) == 20
    assert (
        sum(decide(overloaded, idempotent, 1, 1_000, "t").retry for _ in range(50)) == 2
    )


def test_retry_stops_at_deadline_and_maximum_attempts(clock):
    policy = RetryPolicy(clock=clock)
    leaving = Fault(kind=ErrorKind.LEAVING, detail="")
    failed = Fault(kind=ErrorKind.TARGET_FAILED, detail="")
    refused = Fault(kind=ErrorKind.QUARANTINED, detail="")
    idempotent = CallClass.IDEMPOTENT
    assert policy.decide(leaving, CallClass.NON_IDEMPOTENT, 4, 1_000).retry
    assert not policy.decide(leaving, CallClass.NON_IDEMPOTENT, 6, 1_000).retry
    assert not policy.decide(failed, idempotent, 3, 1_000).retry
    assert not policy.decide(failed, idempotent, 1, 5).retry
    assert not policy.decide(refused, idempotent, 1, 1_000).retry
