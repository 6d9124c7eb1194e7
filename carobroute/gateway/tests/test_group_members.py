"""Odd entries with the name of a real rank group do not stop its map changes."""

import io
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carobroute.domain import ExpertProfile
from carobroute.gateway._configuration import ActiveConfiguration
from carobroute.gateway._group_members import find_members
from carobroute.gateway._rank_groups import PassTimeEstimators, RebalancingLoop
from carobroute.gateway._targets import TargetDirectory
from carobroute.telemetry import EventLog
from carobroute.testing.gateway_data import (
    make_configuration,
    make_engine,
    make_service,
    make_target_entry,
)
from carobroute.utils import ManualClock, TaskSet


def make_rank(rank, **changes):
    fields = {"service": "model", "group": "g", "group_size": 4, "group_epoch": 2}
    return make_target_entry(
        **{"incarnation": f"i-{rank}", "rank": rank, **fields, **changes}
    )


GROUP = [make_rank(rank) for rank in range(4)]


@pytest.mark.parametrize(
    "changes",
    [
        {"group_size": 65_536},
        {"group_size": 0},
        {"group_size": 1},
        {"rank": -1},
        {"rank": 4},
        {"group_epoch": 1 << 50},
        {"group_epoch": 1},
        {"service": "unheard"},
        {"service": "unheard", "group_size": 1},
        {},
        {"is_group_open": False},
    ],
    ids=str,
)
def test_an_odd_entry_leaves_the_group_complete(changes):
    """Each of these stopped the changes of the group's map, or could take a rank."""
    odd = make_rank(**{"rank": 0, "incarnation": "odd", **changes})
    assert find_members([*GROUP, odd]) == GROUP


@pytest.mark.parametrize("missing", range(4))
def test_a_group_without_one_of_its_ranks_is_none(missing):
    members = [entry for entry in GROUP if entry.rank != missing]
    assert find_members(members) == []


def test_a_group_that_forms_anew_is_none_until_all_ranks_say_so():
    ranks = [make_rank(rank, group_epoch=2 + rank // 3) for rank in range(4)]
    assert find_members(ranks) == []


def test_of_two_complete_groups_that_are_as_large_none_counts():
    others = [
        make_rank(rank, group_epoch=3, incarnation=f"o-{rank}") for rank in range(4)
    ]
    assert find_members([*GROUP, *others]) == []


@given(
    st.lists(
        st.tuples(st.integers(-1, 9), st.integers(0, 3), st.integers(0, 9)), max_size=3
    ),
    st.integers(0, 99),
)
def test_a_few_entries_never_take_the_place_of_a_larger_group(odd, seed):
    entries = GROUP + [
        make_rank(rank, group_size=size, group_epoch=epoch, incarnation=f"o-{number}")
        for number, (rank, size, epoch) in enumerate(odd)
    ]
    random.Random(seed).shuffle(entries)
    assert find_members(entries) == GROUP


def find_ranks(entries, *, answering=()):
    """Return the incarnations of the group's ranks that the loop finds.

    Parameters
    ----------
    entries : list of TargetEntry
        The list of targets.
    answering : list of str
        Incarnations of targets that have streamed events.
    """
    clock = ManualClock()
    experts = ExpertProfile(
        layer_sets=1,
        experts_per_set=8,
        max_experts_per_rank=4,
        max_received_per_rank=1,
        expert_mb=1.0,
        link_mbps=100.0,
        work_share=0.5,
    )
    service = make_service(name="model", engine=make_engine(experts=experts))
    configuration = ActiveConfiguration(clock=clock, revoke_ms=0.0, margin_ms=400.0)
    configuration.apply(make_configuration(services=[service]))
    directory = TargetDirectory(
        clock=clock, store_outage_ms=1_500.0, lapsed_grace_ms=2_200.0
    )
    directory.update(entries)
    for incarnation in answering:
        directory.find(incarnation).last_event_ms = 1.0
    loop = RebalancingLoop(
        holder="a",
        store=None,
        configuration=configuration,
        directory=directory,
        pool=None,
        client=None,
        pass_time_estimators=PassTimeEstimators(clock=clock),
        events=EventLog(name="a", stream=io.StringIO(), clock=clock),
        clock=clock,
        random=random.Random(1),
        is_gone=lambda name: False,
        find_holder=lambda duty: "",
        count_stronger=lambda: 0,
        is_stopping=lambda: False,
        tasks=TaskSet(on_failure=lambda name, error: None),
    )
    (group,) = loop._find_eligible_groups()
    assert (group.name, group.epoch) == ("g", 2)
    return [rank._target.incarnation for rank in group.ranks]


RANKS = [entry.incarnation for entry in GROUP]


@pytest.mark.parametrize(
    "changes",
    [{"group_size": 65_536}, {"group_epoch": 1 << 50}, {"service": "unheard"}, {}],
    ids=str,
)
@pytest.mark.parametrize("is_first", [False, True])
def test_the_loop_finds_the_group_beside_an_odd_entry(changes, is_first):
    """Such a group was not found, so that its map was never changed."""
    odd = make_rank(**{"rank": 0, "incarnation": "odd", **changes})
    entries = [odd, *GROUP] if is_first and changes else [*GROUP, odd]
    assert find_ranks(entries) == RANKS


# Guards against a group whose map stays as it is while another program's entry, listed
# first when a gateway starts, takes the place of a rank.
@pytest.mark.parametrize("rank", range(4))
def test_a_rank_that_answers_calls_keeps_its_place_beside_an_earlier_entry(rank):
    odd = make_rank(rank, incarnation="a-odd")
    assert find_ranks([odd, *GROUP], answering=RANKS) == RANKS
    assert find_ranks([odd, *GROUP], answering=[f"i-{rank}"]) == RANKS
