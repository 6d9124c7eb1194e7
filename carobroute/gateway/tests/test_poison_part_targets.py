"""A prompt part that crashes targets, through a gateway to targets on real sockets."""

import asyncio

import aiohttp
import pytest

from carobroute.domain import ServiceShare
from carobroute.gateway._operations import OperationsInterface
from carobroute.gateway.tests.gateway_harness import GatewayHarness
from carobroute.standins._crashing_target import CrashingTarget
from carobroute.telemetry import EventLog, Metrics
from carobroute.testing import wait_until
from carobroute.testing.gateway_data import (
    make_configuration,
    make_engine,
    make_route,
    make_service,
)
from carobroute.web import WebSite

MODEL = make_route(
    streaming=True,
    resumable=True,
    timeout_ms=8_000.0,
    latency_target_ms=400.0,
    shares=[ServiceShare(service="model", weight=1.0)],
)
RESTART_S = 60.0


@pytest.fixture
async def fleet():
    harness = GatewayHarness(
        configuration=make_configuration(
            routes=[MODEL], services=[make_service(name="model", engine=make_engine())]
        )
    )
    await harness.start()
    targets = [
        CrashingTarget(incarnation=f"i-{n}", bad_part="bad", restart_s=RESTART_S)
        for n in range(6)
    ]
    for target in targets:
        await target.start()
    harness.directory.update([target.entry for target in targets])
    yield harness, targets
    for target in targets:
        await target.stop()
    await harness.stop()


def call(harness, number, *parts):
    prefix = ",".join(f"{part}:10" for part in (*parts, f"own-{number}"))
    return harness.call(
        "POST",
        body=b"prompt",
        Deadline_Ms="8000",
        Request_Id=f"r-{number}",
        Prompt_Prefix=prefix,
    )


def crash_count(targets):
    return sum(len(target.crash_times) for target in targets)


async def test_a_part_is_refused_after_the_crash_of_its_trial(fleet):
    harness, targets = fleet
    assert (await call(harness, 0, "first", "session"))[0] == 200
    # Its first attempt crashes a target, and the second one, the trial, another.
    assert (await call(harness, 1, "first", "bad"))[0] == 502
    assert crash_count(targets) == 2
    status, _, headers = await call(harness, 2, "first", "bad")
    assert status == 503
    assert float(headers["Retry-After"]) > 10.0
    status, _, _ = await call(harness, 3, "other", "session", "bad")
    assert status == 503
    assert crash_count(targets) == 2
    assert "parts_refused" in harness.log.getvalue()
    assert "prompt part bad has crashed 2 targets" in harness.log.getvalue()


async def test_sound_calls_that_share_the_other_parts_go_on(fleet):
    harness, targets = fleet
    await call(harness, 0, "first", "session")
    await call(harness, 1, "first", "session", "bad")
    statuses = [
        (await call(harness, number, "first", "session"))[0] for number in range(2, 6)
    ]
    assert statuses == [200] * 4
    assert crash_count(targets) == 2


async def test_a_broken_answer_of_a_live_target_is_no_crash(fleet):
    """A connection alone breaks, and the target answers when it is asked."""
    harness, targets = fleet

    async def break_connections():
        await wait_until(lambda: any(t.reset_connections() for t in targets))

    breaker = asyncio.create_task(break_connections())
    status, _, _ = await call(harness, 1, "new-part")
    await breaker
    assert status == 200
    assert harness.context.quarantine.verdicts() == {}


async def test_a_lifted_part_is_served_again(fleet):
    harness, targets = fleet
    await call(harness, 0, "first")
    await call(harness, 1, "first", "bad")
    assert (await call(harness, 2, "bad"))[0] == 503
    for target in targets:
        target.bad_part = "none"
    assert harness.context.quarantine.lift("model", "bad")
    assert not harness.context.quarantine.lift("model", "unknown")
    assert (await call(harness, 3, "bad"))[0] == 200


async def test_operators_list_and_lift_refused_parts(fleet):
    harness, targets = fleet
    await call(harness, 0, "first")
    await call(harness, 1, "first", "bad")
    interface = OperationsInterface(
        metrics=Metrics(),
        quarantine=harness.context.quarantine,
        events=EventLog(name="test", stream=harness.log),
        describe_state=dict,
    )
    site = WebSite(application=interface.application(), bind="127.0.0.1:0")
    url = f"http://{await site.start()}/quarantine"
    try:
        async with aiohttp.ClientSession() as session:
            async with session.get(url) as answer:
                (listed,) = await answer.json()
            assert (listed["service"], listed["parts"]) == ("model", "bad")
            assert listed["crashes"].count("seen by") == 2
            async with session.delete(f"{url}/model/nothing") as answer:
                assert answer.status == 404
            async with session.delete(f"{url}/model/bad") as answer:
                assert answer.status == 204
            async with session.get(url) as answer:
                assert await answer.json() == []
    finally:
        await site.stop()
    assert "prompt_part_lifted" in harness.log.getvalue()


async def test_a_suspected_part_does_not_keep_a_group_down(fleet):
    """If all calls have it, one of them has to be the probe that ends the outage."""
    harness, targets = fleet
    quarantine = harness.context.quarantine
    quarantine.note_interrupted("model", "i-9@1", ("first",))
    quarantine.note_target_lost("i-9@1")
    for target in harness.directory.all_targets():
        harness.context.dispatcher.circuit_breaker(target).note_outage()
    statuses = []
    async with asyncio.timeout(10.0):
        while 200 not in statuses:
            statuses.append((await call(harness, len(statuses), "first"))[0])
            await asyncio.sleep(0.05)
    assert set(statuses) <= {200, 503}
    assert quarantine.verdicts() == {}
