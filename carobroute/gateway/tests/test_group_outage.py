"""Outage of a rank group: one lost rank stops the group until it has formed again."""

import random

from carobroute.errors import ErrorKind
from carobroute.gateway import Dispatcher, DispatchRequest, TargetDirectory
from carobroute.gateway._circuit_breaker import GroupCircuitBreaker
from carobroute.testing.gateway_data import (
    make_engine,
    make_service,
    make_target_entry,
)
from carobroute.utils import ManualClock


def _group(clock, *, is_open=True, size=3):
    directory = TargetDirectory(
        clock=clock, store_outage_ms=1_500.0, lapsed_grace_ms=2_200.0
    )
    directory.update(
        [
            make_target_entry(
                incarnation=f"i-{rank}",
                service="model",
                group="g",
                rank=rank,
                is_group_open=is_open,
            )
            for rank in range(size)
        ]
    )
    dispatcher = Dispatcher(
        clock=clock, random=random.Random(1), data_centre="a", directory=directory
    )
    return directory, dispatcher


def _request():
    return DispatchRequest(
        request_id="r",
        service=make_service(name="model", engine=make_engine()),
        priority=1,
        latency_target_ms=400.0,
        remaining_ms=8_000.0,
    )


async def test_three_refusals_of_a_group_block_calls_except_probes():
    clock = ManualClock()
    directory, dispatcher = _group(clock)
    for target in directory.targets("model"):
        dispatcher.circuit_breaker(target).note_refusal()
    probe = await dispatcher.acquire(_request())
    assert probe.unwrap()
    refused = (await dispatcher.acquire(_request())).failure()
    assert refused.kind is ErrorKind.NO_TARGET
    assert refused.retry_after_ms == 4_000
    clock.advance_ms(250)
    assert (await dispatcher.acquire(_request())).unwrap()


async def test_an_event_ends_the_outage_of_a_group():
    directory, dispatcher = _group(ManualClock())
    breaker = dispatcher.circuit_breaker(directory.targets("model")[0])
    for _ in range(3):
        breaker.note_refusal()
    breaker.note_event()
    for _ in range(5):
        assert (await dispatcher.acquire(_request())).unwrap()


async def test_a_call_to_a_group_listed_as_closed_is_refused_with_its_expected_outage():
    clock = ManualClock()
    _, dispatcher = _group(clock, is_open=False)
    assert (await dispatcher.acquire(_request())).failure().retry_after_ms == 4_000
    clock.advance_ms(1_500)
    assert (await dispatcher.acquire(_request())).failure().retry_after_ms == 2_500


def test_refusals_of_a_full_rank_do_not_block_a_group_that_has_events():
    breaker = GroupCircuitBreaker(clock=ManualClock())
    for _ in range(10):
        breaker.note_refusal()
        breaker.note_refusal()
        breaker.note_event()
    assert not breaker.is_down


def test_the_expected_outage_approaches_the_length_of_past_outages():
    clock = ManualClock()
    breaker = GroupCircuitBreaker(clock=clock)
    for _ in range(6):
        breaker.note_outage()
        clock.advance_ms(1_000)
        breaker.note_event()
    breaker.note_outage()
    assert 1_000 <= breaker.retry_after_ms < 1_100
