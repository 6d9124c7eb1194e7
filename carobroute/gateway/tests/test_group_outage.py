"""A rank is lost: its whole group refuses calls until it has formed again."""

import random

from carobroute.errors import ErrorKind
from carobroute.gateway import Demand, Dispatcher, TargetDirectory
from carobroute.gateway._circuit_breaker import GroupGate
from carobroute.testing.gateway_data import (
    make_engine,
    make_service,
    make_target_entry,
)
from carobroute.utils import ManualClock


def _group(clock, *, is_open=True, size=3):
    directory = TargetDirectory(clock=clock, outage_ms=1_500.0, lapsed_ms=2_200.0)
    directory.update(
        [
            make_target_entry(
                incarnation=f"i-{rank}",
                service="model",
                group="g",
                rank=rank,
                group_open=is_open,
            )
            for rank in range(size)
        ]
    )
    dispatcher = Dispatcher(
        clock=clock, random=random.Random(1), data_centre="a", directory=directory
    )
    return directory, dispatcher


def _demand():
    return Demand(
        request_id="r",
        service=make_service(name="model", engine=make_engine()),
        rank=1,
        latency_target_ms=400.0,
        left_ms=8_000.0,
    )


async def test_refusals_of_several_ranks_keep_further_calls_back():
    clock = ManualClock()
    directory, dispatcher = _group(clock)
    for target in directory.targets("model"):
        dispatcher.gate(target).note_refused()
    probe = await dispatcher.acquire(_demand())
    assert probe.unwrap()
    refused = (await dispatcher.acquire(_demand())).failure()
    assert refused.kind is ErrorKind.NO_TARGET
    assert refused.retry_after_ms == 4_000
    clock.advance_ms(250)
    assert (await dispatcher.acquire(_demand())).unwrap()


async def test_an_event_opens_the_group_again():
    directory, dispatcher = _group(ManualClock())
    gate = dispatcher.gate(directory.targets("model")[0])
    for _ in range(3):
        gate.note_refused()
    gate.note_event()
    for _ in range(5):
        assert (await dispatcher.acquire(_demand())).unwrap()


async def test_a_group_that_is_listed_as_broken_is_refused_with_its_usual_outage():
    clock = ManualClock()
    _, dispatcher = _group(clock, is_open=False)
    assert (await dispatcher.acquire(_demand())).failure().retry_after_ms == 4_000
    clock.advance_ms(1_500)
    assert (await dispatcher.acquire(_demand())).failure().retry_after_ms == 2_500


def test_a_full_rank_does_not_close_a_group_that_has_events():
    gate = GroupGate(clock=ManualClock())
    for _ in range(10):
        gate.note_refused()
        gate.note_refused()
        gate.note_event()
    assert not gate.is_down


def test_the_length_of_outages_is_learned():
    clock = ManualClock()
    gate = GroupGate(clock=clock)
    for _ in range(6):
        gate.note_down()
        clock.advance_ms(1_000)
        gate.note_event()
    gate.note_down()
    assert 1_000 <= gate.retry_after_ms < 1_100
