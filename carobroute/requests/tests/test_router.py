import itertools
import random

import pytest

from carobroute.domain import TargetState
from carobroute.engines import CacheEvent, CacheEvents
from carobroute.errors import ErrorKind
from carobroute.requests import choose_subset, routing_policies
from carobroute.testing.request_data import (
    DATA_CENTRES,
    SERVICE,
    count_choices,
    make_query,
    make_report,
    make_router,
    make_view,
)
from carobroute.utils import ManualClock


@pytest.fixture
def clock():
    return ManualClock(start_ms=100_000)


def make_three_target_router(clock, **fields):
    return make_router(clock, [make_view(f"runner-{n}", **fields) for n in range(3)])


@pytest.mark.parametrize("policy", sorted(routing_policies))
def test_leaving_target_is_not_chosen_until_it_is_replaced(clock, policy):
    router = make_three_target_router(clock)
    router.set_policy(SERVICE, policy)
    router.note_leaving("runner-1")
    # An earlier report, a repeated view and an old ticket do not end the mark.
    router.note_report(make_report("runner-1", 1, leaving=False))
    router.update_targets([make_view(f"runner-{n}") for n in range(3)])
    assert "runner-1" not in count_choices(router, 60)
    router.update_targets(
        [make_view(f"runner-{n}", incarnation=f"runner-{n}~2") for n in range(3)]
    )
    assert "runner-1" in count_choices(router, 300)


def test_only_a_later_ticket_ends_the_leaving_mark(clock):
    router = make_router(clock, [make_view("runner-0", ticket=5)])
    router.note_leaving("runner-0")
    router.update_targets([make_view("runner-0", ticket=5)])
    fault = router.choose(make_query()).failure()
    assert fault.kind is ErrorKind.NO_TARGET and fault.not_run
    router.update_targets([make_view("runner-0", ticket=6)])
    assert router.choose(make_query()).unwrap().target == "runner-0"


def test_draining_and_excluded_targets_are_not_chosen(clock):
    views = [make_view("runner-0", state=TargetState.DRAINING), make_view("runner-1")]
    router = make_router(clock, views)
    assert count_choices(router, 20) == {"runner-1": 20}
    refused = router.choose(make_query(excluded=frozenset({"runner-1"})))
    assert refused.failure().kind is ErrorKind.NO_TARGET


def test_load_includes_own_calls_once_and_ignores_late_reports(clock):
    router = make_router(clock, [make_view("runner-0")])
    record = router.records[0]
    assert router.note_report(make_report("runner-0", 2, running=5, known=2))
    sent = [router.note_sent("runner-0", make_query()) for _ in range(4)]
    assert record.load == 3 + 4
    assert not router.note_report(make_report("runner-0", 1, running=90))
    # The next report includes all four own calls; they must not be counted twice.
    assert router.note_report(make_report("runner-0", 3, running=7, known=4))
    assert record.load == 7
    router.note_end(sent[0], True)
    assert record.load == 6


def test_report_of_a_replaced_incarnation_is_ignored(clock):
    router = make_router(clock, [make_view("runner-0")])
    stale_report = make_report("runner-0", 900, running=8, leaving=True)
    router.update_targets([make_view("runner-0", incarnation="runner-0~2")])
    assert not router.note_report(stale_report, "runner-0~1")
    assert router.note_report(make_report("runner-0", 1, running=1), "runner-0~2")
    assert router.records[0].load == 1
    assert router.choose(make_query()).unwrap().target == "runner-0"


def test_refused_call_is_not_added_to_the_prefix_index(clock):
    router = make_router(clock, [make_view("runner-0")])
    refused, completed = (
        router.note_sent("runner-0", make_query(prompt_blocks=blocks, tokens=32))
        for blocks in ([1, 2], [3, 4])
    )
    router.note_end(refused, False)
    router.note_first_byte(completed, 50.0)
    assert router.prefixes.count_cached("runner-0", [1, 2]) == 0
    assert router.prefixes.count_cached("runner-0", [3, 4]) == 2


def test_burst_between_reports_is_spread_over_targets(clock):
    router = make_three_target_router(clock)
    for name, running in (("runner-0", 0), ("runner-1", 2), ("runner-2", 2)):
        router.note_report(make_report(name, 1, running=running))
    sent = {}
    for _ in range(24):
        target = router.choose(make_query()).unwrap().target
        router.note_sent(target, make_query())
        sent[target] = sent.get(target, 0) + 1
    assert max(sent.values()) <= 12


def test_slowest_rank_determines_step_time_of_its_group(clock):
    views = [
        make_view("runner-0", group="north"),
        make_view("runner-1", group="north"),
        make_view("runner-2", group="south"),
        make_view("runner-3", group="south"),
    ]
    router = make_router(clock, views)
    for name, step_ms in zip(
        ("runner-0", "runner-1", "runner-2", "runner-3"), (25, 180, 25, 25), strict=True
    ):
        router.note_report(make_report(name, 1, step_ms=step_ms))
    chosen = count_choices(router, 100)
    assert set(chosen) == {"runner-2", "runner-3"}


def test_cached_prefix_attracts_calls_until_the_target_is_loaded(clock):
    router = make_three_target_router(clock)
    for n in range(3):
        router.note_report(make_report(f"runner-{n}", 1))
    blocks = list(range(100, 140))
    events = CacheEvents(incarnation="a", events=[CacheEvent(seq=1, stored=blocks)])
    router.note_cache_events("runner-2", events)
    query = {"prompt_blocks": blocks, "tokens": 700}
    assert count_choices(router, 30, **query) == {"runner-2": 30}
    router.note_report(make_report("runner-2", 2, running=8, queued=6))
    assert "runner-2" not in count_choices(router, 30, **query)


def test_gap_in_cache_events_drops_old_blocks_and_restart_drops_all(clock):
    router = make_router(clock, [make_view("runner-0")])
    index = router.prefixes

    def publish_event(seq, incarnation="a", **fields):
        event = CacheEvent(seq=seq, **fields)
        router.note_cache_events(
            "runner-0", CacheEvents(incarnation=incarnation, events=[event])
        )

    publish_event(1, stored=[1, 2])
    clock.advance_ms(60_000)
    publish_event(2, stored=[7])
    publish_event(2, removed=[7])  # repeated, so ignored
    assert (
        index.count_cached("runner-0", [1, 2]) == 2
        and index.count_cached("runner-0", [7]) == 1
    )
    publish_event(5, stored=[8])
    assert index.count_cached("runner-0", [1, 2]) == 0 and index.gaps == 1
    assert index.count_cached("runner-0", [7, 8]) == 2
    publish_event(1, incarnation="b", stored=[9])
    assert (
        index.count_cached("runner-0", [7]) == 0
        and index.count_cached("runner-0", [9]) == 1
    )


def test_other_data_centre_is_chosen_only_if_it_meets_the_latency_target(clock):
    views = [make_view("near"), make_view("far", data_centre=DATA_CENTRES[1])]
    router = make_router(clock, views)
    for team, count in (("large", 30), ("small", 2)):
        for _ in range(count):
            router.note_end(router.note_sent("near", make_query(team=team)), True)

    numbers = itertools.count(1)

    def report(near, far):
        for name, queued in (("near", near), ("far", far)):
            running = 8 if queued else 3
            router.note_report(
                make_report(name, next(numbers), running=running, queued=queued)
            )

    report(0, 0)
    assert count_choices(router, 20, team="large") == {"near": 20}
    report(20, 0)
    assert router.choose(make_query(team="large")).unwrap().reason == "spill"
    # The far target has less load, but too much to meet the first-token target.
    report(20, 8)
    assert count_choices(router, 20, team="large") == {"near": 20}


def test_burst_of_long_calls_does_not_queue_while_another_target_is_free(clock):
    """Durations learned from short calls made the wait at the near target too low."""
    views = [make_view("near"), make_view("far", data_centre=DATA_CENTRES[1])]
    router = make_router(clock, views)
    for _ in range(200):
        router.note_end(router.note_sent("near", make_query()), True, 5.0)
    counts = {"near": 0, "far": 0}
    for _ in range(16):
        target = router.choose(make_query()).unwrap().target
        router.note_sent(target, make_query())
        counts[target] += 1
    assert counts == {"near": 8, "far": 8}


def test_ejection_is_bounded_and_followed_by_slow_start(clock):
    router = make_three_target_router(clock)
    for name in ("runner-0", "runner-1", "runner-2"):
        for _ in range(5):
            router.note_failure(name)
    assert [r.health.is_ejected for r in router.records] == [True, False, False]
    assert "runner-0" not in count_choices(router, 30)
    clock.advance_ms(2_500)
    record = router.records[0]
    assert not record.health.is_ejected and record.health.weight_share < 0.2
    assert router.note_failure("runner-0") and record.health.is_ejected
    clock.advance_ms(60_000)
    assert record.health.weight_share == 1.0


def test_replaced_target_has_a_slow_start(clock):
    router = make_three_target_router(clock)
    views = [make_view(f"runner-{n}") for n in range(2)]
    router.update_targets([*views, make_view("runner-2", incarnation="runner-2~2")])
    early = count_choices(router, 300).get("runner-2", 0)
    clock.advance_ms(30_000)
    late = count_choices(router, 300)["runner-2"]
    assert early < late / 2


def test_flooding_team_is_limited_to_few_groups_and_other_teams_are_not(clock):
    views = [make_view(f"runner-{n}", group=f"group-{n % 4}") for n in range(12)]
    routers = [make_router(clock, views, random=random.Random(n)) for n in range(2)]
    reached = []
    for router in routers:
        for _ in range(3):
            router.note_sent("runner-0", make_query(team="small"))
        for _ in range(40):
            call = router.note_sent("runner-0", make_query(team="flood"))
            router.note_end(call, False)
        chosen = count_choices(router, 200, team="flood")
        reached.append({int(name.split("-")[1]) % 4 for name in chosen})
        others = count_choices(router, 200, team="small")
        assert len({int(name.split("-")[1]) % 4 for name in others}) == 4
    assert reached[0] == reached[1] and len(reached[0]) == 2
    clock.advance_ms(60_000)
    assert len(count_choices(routers[0], 200, team="flood")) > 6


def test_choice_includes_the_inputs_of_all_candidates(clock):
    router = make_three_target_router(clock)
    router.note_report(make_report("runner-0", 1, running=4))
    choice = router.choose(make_query()).unwrap()
    inputs = {c.target: c for c in choice.candidates}
    assert inputs[choice.target].cost_ms == min(c.cost_ms for c in choice.candidates)
    assert inputs["runner-0"].load == 4 and choice.policy == "carob"


def test_subsets_cover_targets_evenly_and_change_little():
    views = [
        make_view(f"runner-{n}", data_centre=DATA_CENTRES[n % 3]) for n in range(240)
    ]
    entries = [f"entry-{n}" for n in range(30)]

    def subsets(views, entries):
        return {
            e: set(
                choose_subset(
                    views, entry=e, entries=entries, data_centre="svea-a", size=24
                )
            )
            for e in entries
        }

    before = subsets(views, entries)
    assert {len(s) for s in before.values()} == {24}
    near = {v.name for v in views if v.data_centre == "svea-a"}
    counts = [sum(name in s for s in before.values()) for name in near]
    assert max(counts) - min(counts) <= 2
    gone = random.Random(1).sample(views, 8)
    after = subsets([v for v in views if v not in gone], entries)
    added = [len(after[e] - before[e]) for e in entries]
    assert sum(added) / len(added) <= 3
