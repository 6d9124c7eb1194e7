"""Targets that say in their answers that they leave, before the list does.

A call that was sent later than the drain time after a gateway has passed on such an
answer must not reach that target from that gateway.
"""

import asyncio

import pytest

from carobroute.domain import ListedTargetState
from carobroute.gateway.tests.gateway_harness import GatewayHarness
from carobroute.testing import wait_until
from carobroute.testing.gateway_data import make_target_entry


@pytest.fixture
async def gateway():
    harness = GatewayHarness()
    yield harness
    await harness.stop()


class LeavingTarget:
    """Script that answers with a header, from a first call on or only then."""

    def __init__(self, value="1", *, answers=1_000, status=200, **fields):
        self._value = value
        self._left = answers
        self._status = status
        self._fields = fields

    async def __call__(self, call):
        fields = dict(self._fields)
        if self._left > 0:
            fields["Server_Leaving"] = self._value
        self._left -= 1
        await call.answer(self._status, **fields)


async def stay(call):
    await call.answer()


async def call_often(gateway, count=12):
    for number in range(count):
        await gateway.call(Request_Id=f"r-{number}")


def usable(gateway):
    targets = gateway.directory.all_targets()
    return {target.incarnation for target in targets if target.is_usable}


@pytest.mark.parametrize("answers", [1, 1_000], ids=["once", "in each answer"])
async def test_a_target_that_says_that_it_leaves_gets_no_new_call(gateway, answers):
    leaving, staying = await gateway.start(LeavingTarget(answers=answers), stay)
    await call_often(gateway)
    assert len(leaving.calls) == 1
    assert len(staying.calls) == 11
    assert "target_leaving" in gateway.log.getvalue()


async def test_a_refusal_says_so_too(gateway):
    script = LeavingTarget(status=503, Not_Run="1")
    leaving, _ = await gateway.start(script, stay)
    await call_often(gateway)
    assert len(leaving.calls) == 1


async def test_a_stream_says_so_in_its_head_and_goes_on(gateway):
    async def stream(call):
        await call.answer(Server_Leaving="1", Content_Type="text/event-stream")

    await gateway.start(stream)
    assert (await gateway.call())[0] == 200
    assert usable(gateway) == set()


@pytest.mark.parametrize("value", ["0", "yes", "11", " ", "true"])
async def test_another_value_is_logged_and_changes_nothing(gateway, value):
    await gateway.start(LeavingTarget(value))
    await call_often(gateway, 3)
    assert usable(gateway) == {"i-0"}
    if value.strip():
        assert "leaving_unreadable" in gateway.log.getvalue()


async def test_another_server_at_the_address_says_nothing_of_the_target(gateway):
    await gateway.start(LeavingTarget(status=421))
    await gateway.call()
    assert "target_leaving" not in gateway.log.getvalue()


async def test_no_list_takes_it_back_for_the_same_start(gateway):
    (target,) = await gateway.start(LeavingTarget())
    await gateway.call()
    ready = make_target_entry(incarnation="i-0", address=target.address)
    gateway.directory.update([ready])
    assert usable(gateway) == set()
    # Its entry lapses and comes back.
    gateway.directory.update([])
    gateway.directory.update([ready])
    assert usable(gateway) == set()


async def test_a_new_start_under_the_same_name_takes_calls(gateway):
    (target,) = await gateway.start(LeavingTarget())
    await gateway.call()
    again = make_target_entry(
        incarnation="i-0", address=target.address, started_ms=99_000
    )
    gateway.directory.update([again])
    assert usable(gateway) == {"i-0"}


async def test_a_list_that_said_so_before_changes_nothing(gateway):
    (target,) = await gateway.start(LeavingTarget())
    entry = make_target_entry(
        incarnation="i-0",
        address=target.address,
        condition=ListedTargetState.LEAVING,
    )
    gateway.directory.update([entry])
    assert gateway.directory.note_leaving("i-0@1") is None
    assert usable(gateway) == set()


async def test_a_call_that_waits_is_not_sent_there(gateway):
    """It is checked when it is sent, and not only when its target is chosen."""
    answered = asyncio.Event()

    async def answer_late(call):
        await answered.wait()
        await call.answer(Server_Leaving="1")

    (target,) = await gateway.start(answer_late, slots=1)
    calls = [
        asyncio.create_task(gateway.call(Request_Id=f"r-{number}"))
        for number in range(4)
    ]
    await wait_until(lambda: target.calls, what="a call has reached the target")
    await asyncio.sleep(0.05)
    reached = len(target.calls)
    answered.set()
    statuses = sorted([(await call)[0] for call in calls])
    assert len(target.calls) == reached
    assert statuses == [200] * reached + [503] * (4 - reached)
