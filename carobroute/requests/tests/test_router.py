import itertools
import random

import pytest

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
from carobroute.world import TargetState


@pytest.fixture
def clock():
    return ManualClock(start_ms=100_000)


def make_three(clock, **fields):
    return make_router(clock, [make_view(f"runner-{n}", **fields) for n in range(3)])


@pytest.mark.parametrize("policy", sorted(routing_policies))
def test_leaving_target_gets_no_work_until_it_is_replaced(clock, policy):
    router = make_three(clock)
    router.set_policy(SERVICE, policy)
    router.note_leaving("runner-1")
    # A report from before the mark, a repeated view and an old ticket change nothing.
    router.note_report(make_report("runner-1", 1, leaving=False))
    router.update_targets([make_view(f"runner-{n}") for n in range(3)])
    assert "runner-1" not in count_choices(router, 60)
    router.update_targets(
        [make_view(f"runner-{n}", incarnation=f"runner-{n}~2") for n in range(3)]
    )
    assert "runner-1" in count_choices(router, 300)


def test_later_ticket_ends_a_mark_and_an_earlier_one_does_not(clock):
    router = make_router(clock, [make_view("runner-0", ticket=5)])
    router.note_leaving("runner-0")
    router.update_targets([make_view("runner-0", ticket=5)])
    fault = router.choose(make_query()).failure()
    assert fault.kind is ErrorKind.NO_TARGET and fault.not_run
    router.update_targets([make_view("runner-0", ticket=6)])
    assert router.choose(make_query()).unwrap().target == "runner-0"


def test_draining_target_is_not_chosen_and_excluded_ones_neither(clock):
    views = [make_view("runner-0", state=TargetState.DRAINING), make_view("runner-1")]
    router = make_router(clock, views)
    assert count_choices(router, 20) == {"runner-1": 20}
    refused = router.choose(make_query(excluded=frozenset({"runner-1"})))
    assert refused.failure().kind is ErrorKind.NO_TARGET


def test_own_sends_count_before_the_next_report_and_late_reports_do_not(clock):
    router = make_router(clock, [make_view("runner-0")])
    record = router.records[0]
    assert router.note_report(make_report("runner-0", 2, running=5, known=2))
    sent = [router.note_sent("runner-0", make_query()) for _ in range(4)]
    assert record.load == 3 + 4
    assert not router.note_report(make_report("runner-0", 1, running=90))
    # The next report counts all four own calls, so that they are not counted twice.
    assert router.note_report(make_report("runner-0", 3, running=7, known=4))
    assert record.load == 7
    router.note_end(sent[0], True)
    assert record.load == 6


def test_report_of_a_replaced_process_that_wakes_changes_nothing(clock):
    router = make_router(clock, [make_view("runner-0")])
    woken = make_report("runner-0", 900, running=8, leaving=True)
    router.update_targets([make_view("runner-0", incarnation="runner-0~2")])
    assert not router.note_report(woken, "runner-0~1")
    assert router.note_report(make_report("runner-0", 1, running=1), "runner-0~2")
    assert router.records[0].load == 1
    assert router.choose(make_query()).unwrap().target == "runner-0"


def test_refused_call_leaves_no_belief_about_the_cache(clock):
    router = make_router(clock, [make_view("runner-0")])
    refused, run = (
        router.note_sent("runner-0", make_query(prompt_blocks=blocks, tokens=32))
        for blocks in ([1, 2], [3, 4])
    )
    router.note_end(refused, False)
    router.note_first_byte(run, 50.0)
    assert router.prefixes.count_cached("runner-0", [1, 2]) == 0
    assert router.prefixes.count_cached("runner-0", [3, 4]) == 2


def test_a_burst_between_reports_does_not_go_to_one_target(clock):
    router = make_three(clock)
    for name, running in (("runner-0", 0), ("runner-1", 2), ("runner-2", 2)):
        router.note_report(make_report(name, 1, running=running))
    sent = {}
    for _ in range(24):
        target = router.choose(make_query()).unwrap().target
        router.note_sent(target, make_query())
        sent[target] = sent.get(target, 0) + 1
    assert max(sent.values()) <= 12


def test_slowest_rank_paces_its_whole_group(clock):
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


def test_prefix_draws_calls_until_its_holder_is_loaded(clock):
    router = make_three(clock)
    for n in range(3):
        router.note_report(make_report(f"runner-{n}", 1))
    blocks = list(range(100, 140))
    events = CacheEvents(incarnation="a", events=[CacheEvent(seq=1, stored=blocks)])
    router.note_cache_events("runner-2", events)
    query = {"prompt_blocks": blocks, "tokens": 700}
    assert count_choices(router, 30, **query) == {"runner-2": 30}
    router.note_report(make_report("runner-2", 2, running=8, queued=6))
    assert "runner-2" not in count_choices(router, 30, **query)


def test_gap_in_cache_events_forgets_what_is_old_and_a_restart_forgets_all(clock):
    router = make_router(clock, [make_view("runner-0")])
    index = router.prefixes

    def publish(seq, incarnation="a", **fields):
        event = CacheEvent(seq=seq, **fields)
        router.note_cache_events(
            "runner-0", CacheEvents(incarnation=incarnation, events=[event])
        )

    publish(1, stored=[1, 2])
    clock.advance_ms(60_000)
    publish(2, stored=[7])
    publish(2, removed=[7])  # repeated, so ignored
    assert (
        index.count_cached("runner-0", [1, 2]) == 2
        and index.count_cached("runner-0", [7]) == 1
    )
    publish(5, stored=[8])
    assert index.count_cached("runner-0", [1, 2]) == 0 and index.gaps == 1
    assert index.count_cached("runner-0", [7, 8]) == 2
    publish(1, incarnation="b", stored=[9])
    assert (
        index.count_cached("runner-0", [7]) == 0
        and index.count_cached("runner-0", [9]) == 1
    )


def test_other_data_centre_is_chosen_only_where_it_helps(clock):
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
    # Less full, but too full to make the first-token target.
    report(20, 8)
    assert count_choices(router, 20, team="large") == {"near": 20}


def test_burst_of_long_calls_does_not_queue_beside_a_free_target(clock):
    """Stays learned from short calls made the queue of the near target look cheap."""
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


def test_failures_eject_a_bounded_share_and_return_by_degrees(clock):
    router = make_three(clock)
    for name in ("runner-0", "runner-1", "runner-2"):
        for _ in range(5):
            router.note_failure(name)
    assert [r.health.ejected for r in router.records] == [True, False, False]
    assert "runner-0" not in count_choices(router, 30)
    clock.advance_ms(2_500)
    record = router.records[0]
    assert not record.health.ejected and record.health.share < 0.2
    assert router.note_failure("runner-0") and record.health.ejected
    clock.advance_ms(60_000)
    assert record.health.share == 1.0


def test_returning_instance_starts_slowly(clock):
    router = make_three(clock)
    views = [make_view(f"runner-{n}") for n in range(2)]
    router.update_targets([*views, make_view("runner-2", incarnation="runner-2~2")])
    early = count_choices(router, 300).get("runner-2", 0)
    clock.advance_ms(30_000)
    late = count_choices(router, 300)["runner-2"]
    assert early < late / 2


def test_flooding_team_keeps_to_few_groups_and_others_roam(clock):
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


def test_choice_carries_the_inputs_that_explain_it(clock):
    router = make_three(clock)
    router.note_report(make_report("runner-0", 1, running=4))
    choice = router.choose(make_query()).unwrap()
    inputs = {c.target: c for c in choice.candidates}
    assert inputs[choice.target].cost_ms == min(c.cost_ms for c in choice.candidates)
    assert inputs["runner-0"].load == 4 and choice.policy == "carob"


def test_subsets_cover_targets_evenly_and_move_little():
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
    moved = [len(after[e] - before[e]) for e in entries]
    assert sum(moved) / len(moved) <= 3
