"""A data centre loses its links to the others for a while."""

import asyncio

import pytest

from carobroute.testing import wait_until

pytestmark = [
    pytest.mark.asyncio(loop_scope="module"),
    pytest.mark.xdist_group("cut-off"),
]
CUT_OFF = "svea-b"  # entry-1 and one order target; the models stand in svea-a
TOKENS = 60


async def served(witness, entry):
    return (await witness.stream(entry, tokens=5)).told == "whole"


async def test_each_side_serves_what_it_has(fleet, witness):
    assert fleet.centre_of("entry-1") == CUT_OFF
    fleet.cut_off(CUT_OFF)
    answers = await asyncio.gather(*[witness.stream(0, tokens=5) for _ in range(4)])
    assert {answer.told for answer in answers} == {"whole"}
    beyond = await witness.stream(1, tokens=5)
    assert beyond.told != "whole" and not beyond.broken
    orders = await asyncio.gather(*[witness.order(n % 2) for n in range(4)])
    assert not [order.told for order in orders if order.broken]
    fleet.heal()
    await wait_until(lambda: served(witness, 1), what="the model is in reach again")
    resent = [witness.order(0, key=o.key, body=o.body) for o in orders]
    assert {order.told for order in await asyncio.gather(*resent)} == {"whole"}


async def test_streams_across_a_short_cut_arrive_whole(fleet, witness):
    await wait_until(lambda: served(witness, 1), what="entry-1 reaches a model")
    streams = [asyncio.create_task(witness.stream(1, tokens=TOKENS)) for _ in range(4)]
    await wait_until(
        lambda: sum(bool(a.data) for a in witness.streams[-4:]) == 4,
        what="every stream has begun",
    )
    fleet.cut_off(CUT_OFF)
    await asyncio.sleep(1.5)  # the cut itself, longer than the silence limit
    fleet.heal()
    answers = await asyncio.gather(*streams)
    assert {answer.told for answer in answers} == {"whole"}
