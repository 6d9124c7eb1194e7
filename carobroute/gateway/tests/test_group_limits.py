"""Limits on the streams of rank groups: what they follow, and what they leave alone.

More streams than a group can run in time make all its streams pause. The imbalance of
experts that passes show decides how many that are.
"""

import random

import pytest

from carobroute.domain import ServiceShare
from carobroute.gateway import (
    ActiveConfiguration,
    Dispatcher,
    DispatchRequest,
    TargetDirectory,
)
from carobroute.gateway._group_limits import (
    MAX_IMBALANCE,
    UPDATE_INTERVAL_MS,
    GroupLimits,
)
from carobroute.gateway._rank_groups import PassTimeEstimators
from carobroute.testing.gateway_data import (
    make_configuration,
    make_engine,
    make_experts,
    make_route,
    make_service,
    make_target_entry,
)
from carobroute.utils import ManualClock

MODEL = make_service(
    name="model",
    engine=make_engine(
        slots=5,
        step_ms=4.55,
        sequence_ms=2.18,
        usual_prompt_tokens=868.0,
        usual_output_tokens=96.0,
        experts=make_experts(),
    ),
)


class Group:
    """One gateway with a rank group, whose calls and passes a test sets."""

    def __init__(self, *, ranks=24, gap_target_ms=150.0, peers=(), heard_share=1.0):
        self.clock = ManualClock(start_ms=1_000.0)
        self.peers = list(peers)
        self.heard_share = heard_share
        self.changes = []
        self.directory = TargetDirectory(
            clock=self.clock, store_outage_ms=1e9, lapsed_grace_ms=2_200.0
        )
        self.ranks = ranks
        self.list_ranks()
        configuration = ActiveConfiguration(
            clock=self.clock, revoke_ms=0.0, margin_ms=0.0
        )
        route = make_route(
            shares=[ServiceShare(service="model", weight=1.0)],
            gap_target_ms=gap_target_ms,
        )
        configuration.apply(make_configuration(routes=[route], services=[MODEL]))
        self.passes = PassTimeEstimators(clock=self.clock)
        self.limits = GroupLimits(
            clock=self.clock,
            directory=self.directory,
            configuration=configuration,
            pass_time_estimators=self.passes,
            peer_imbalances=lambda group: self.peers,
            heard_share=lambda: self.heard_share,
            on_change=self.changes.append,
        )
        self.waiting = []
        self.dispatcher = Dispatcher(
            clock=self.clock,
            random=random.Random(1),
            data_centre="a",
            directory=self.directory,
            group_limits=self.limits,
            peer_waiting=lambda: self.waiting,
        )

    def list_ranks(self, *, epoch=1, is_open=True):
        self.directory.update(
            [
                make_target_entry(
                    incarnation=f"i-{rank}",
                    service="model",
                    slots=5,
                    group="g",
                    rank=rank,
                    group_epoch=epoch,
                    group_size=self.ranks,
                    is_group_open=is_open,
                )
                for rank in range(self.ranks)
            ]
        )

    def play(self, *, pass_ms, streams, duration_ms=5_000.0):
        """Let each rank run some streams, whose passes last a time."""
        for target in self.directory.all_targets():
            target.in_flight = streams
        for _ in range(int(duration_ms / UPDATE_INTERVAL_MS)):
            for _ in range(8 if pass_ms else 0):
                self.passes.get("g").note_event_gap(pass_ms)
            self.clock.advance_ms(UPDATE_INTERVAL_MS)
            self.limits.update()
        return self.limits.limit("g")


def make_request(**changes):
    fields = {
        "request_id": "r",
        "service": MODEL,
        "priority": 0,
        "latency_target_ms": 500.0,
        "remaining_ms": 8_000.0,
    }
    return DispatchRequest(**{**fields, **changes})


# Guards against streams that all pause while each rank still has a free place.
@pytest.mark.parametrize("ranks", [12, 24, 63, 129])
def test_a_group_whose_passes_are_too_long_runs_fewer_streams(ranks):
    group = Group(ranks=ranks)
    limit = group.play(pass_ms=180.0, streams=4)
    assert limit.is_binding
    assert limit.streams < 4 * ranks
    assert group.changes[-1].group == "g"


def test_all_places_are_used_in_calm():
    limit = Group().play(pass_ms=60.0, streams=2)
    assert not limit.is_binding


def test_the_limit_lets_go_after_the_cause():
    group = Group()
    assert group.play(pass_ms=180.0, streams=4).is_binding
    limit = group.play(pass_ms=70.0, streams=3, duration_ms=20_000.0)
    assert not limit.is_binding


# What fewer streams do not mend teaches nothing.
@pytest.mark.parametrize("cause", ["closed", "stalled", "slow_rank", "no_streams"])
def test_nothing_is_learned_from_another_cause(cause):
    group = Group()
    before = group.play(pass_ms=70.0, streams=3).streams
    if cause == "closed":
        group.list_ranks(is_open=False)
    if cause == "slow_rank":
        group.directory.find("i-0").note_slowdown(8.0)
    pass_ms = {"stalled": 1_500.0, "no_streams": 0.0}.get(cause, 180.0)
    limit = group.play(pass_ms=pass_ms, streams=3, duration_ms=1_500.0)
    assert limit.cause == cause
    assert limit.streams >= before


def test_a_group_that_forms_anew_starts_from_the_usual_imbalance():
    group = Group()
    low = group.play(pass_ms=180.0, streams=4).streams
    group.list_ranks(epoch=2)
    assert group.play(pass_ms=0.0, streams=0, duration_ms=250.0).streams > low


def test_gateways_agree_on_the_imbalance_that_most_of_them_see():
    group = Group(peers=[2.5] * 10 + [9.0])
    assert group.play(pass_ms=0.0, streams=0).imbalance == 2.5
    group.peers = [50.0]
    assert group.play(pass_ms=0.0, streams=0).imbalance == MAX_IMBALANCE


def test_a_service_without_a_gap_target_has_no_limit():
    assert Group(gap_target_ms=0.0).play(pass_ms=300.0, streams=5) is None


# Which calls get the room.


async def grant_until_refused(group, request):
    count = 0
    while group.dispatcher._select_target(request) is not None:
        group.dispatcher._grant(group.dispatcher._select_target(request), waited_ms=0.0)
        count += 1
    return count


async def test_all_gateways_together_stay_below_the_limit():
    group = Group(peers=[3.0] * 4)
    limit = group.play(pass_ms=0.0, streams=0)
    assert await grant_until_refused(group, make_request()) <= limit.streams


async def test_a_gateway_that_is_cut_off_keeps_to_its_share():
    group = Group(heard_share=1 / 13)
    group.peers = [3.0]
    limit = group.play(pass_ms=0.0, streams=0)
    count = await grant_until_refused(group, make_request())
    assert 0 < count <= limit.streams / 13 + 1


async def test_patient_calls_leave_room_for_urgent_ones_that_wait_elsewhere():
    group = Group(peers=[3.0] * 4)
    limit = group.play(pass_ms=0.0, streams=0)
    group.waiting = [{0: 10}]
    patient = await grant_until_refused(group, make_request(priority=2))
    assert patient <= limit.streams - 10
    assert await grant_until_refused(group, make_request(priority=0)) >= 9


async def test_the_rest_of_a_stream_is_not_held_back():
    group = Group(peers=[3.0] * 4)
    group.play(pass_ms=0.0, streams=0)
    await grant_until_refused(group, make_request())
    assert group.dispatcher._select_target(make_request()) is None
    assert group.dispatcher._select_target(make_request(may_have_run=True))
