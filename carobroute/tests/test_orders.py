"""An order runs at most once, and 'not run' means that it did not run."""

import asyncio

import msgspec
import pytest

from carobroute.domain import ServiceKind
from carobroute.testing import wait_until

pytestmark = [
    pytest.mark.asyncio(loop_scope="module"),
    pytest.mark.xdist_group("orders"),
]
FLEET = {"order_options": ["--latency-ms", "150"], "models": 0}


def plains(fleet):
    return fleet.targets_of(ServiceKind.PLAIN)


async def place(witness, count, fault):
    """Place orders, cause `fault` while they run, and return all answers."""
    tasks = [asyncio.create_task(witness.order(n % 2)) for n in range(count)]
    await wait_until(lambda: len(witness.orders) == count, what="orders are sent")
    await fault()
    return await asyncio.gather(*tasks)


async def resend(witness, answers):
    """Send every order again through the other entry, with the same key."""
    again = [
        witness.order((number + 1) % 2, key=answer.key, body=answer.body)
        for number, answer in enumerate(answers)
    ]
    return await asyncio.gather(*again)


async def claimed(fleet, before):
    """Whether the order target has begun to run more than `before` calls."""
    return len(await fleet_runs(fleet)) > before


async def fleet_runs(fleet):
    runs = []
    for target in plains(fleet):
        record = await fleet.read_json(target.stand_in.address, "/_record")
        runs += record["runs"]
    return runs


def target_runs(record):
    return record["runs"]


async def set_behaviour(fleet, **behaviour):
    """Set the delays of every order target."""
    for target in plains(fleet):
        url = target.stand_in.address + "/_admin/behaviour"
        async with fleet.session.post(url, json=behaviour) as response:
            response.raise_for_status()


async def has_link(fleet, entry, target):
    """Whether an entry's link to the local process beside `target` is up."""
    dump = await fleet.read_json(fleet.entries[entry].address, "/operator/dump")
    own = f"tcp://{fleet.link_port(f'local-{target.name}').address}"
    return any(peer["address"] == own and peer["up"] for peer in dump["peers"])


async def nothing():
    pass


async def test_resend_gets_the_first_answer(fleet, witness):
    first = await place(witness, 6, nothing)
    again = await resend(witness, first)
    assert [a.data for a in again] == [a.data for a in first]
    assert all(answer.status == 200 for answer in first)


async def test_same_key_with_another_body_is_refused(fleet, witness):
    first = await witness.order(0)
    other = await witness.order(1, key=first.key, body=msgspec.json.encode({"x": 1}))
    assert other.status == 422
    assert other.error == "key_reused"


async def test_lost_answers_of_the_store_double_nothing(fleet, witness):
    async def lose():
        for port in fleet.platform_ports:
            port.faults.drop_answers = 6

    await lose()
    answers = await place(witness, 8, lose)
    again = await resend(witness, answers)
    assert {answer.told for answer in again} == {"whole"}


async def test_lost_answers_of_the_target_are_told_as_unknown(fleet, witness):
    for target in plains(fleet):
        fleet.target_port(target.name).faults.drop_answers = 1
    answers = await place(witness, 4, nothing)
    again = await resend(witness, answers)
    unknown = [a for a in answers if a.outcome == "unknown"]
    assert unknown
    for answer, later in zip(answers, again, strict=True):
        assert later.outcome == answer.outcome


async def test_store_down_refuses_orders_and_goes_on_with_lookups(fleet, witness):
    for port in fleet.platform_ports:
        port.faults.refuse = True
        port.cut()
    order, lookup = await asyncio.gather(witness.order(0), witness.lookup(1))
    assert order.outcome == "not_run"
    assert order.error == "store_unavailable"
    assert lookup.status == 200
    fleet.heal()

    async def served():
        again = await witness.order(1, key=order.key, body=order.body)
        return again.status == 200

    await wait_until(served, what="the order is taken once the store is back")


async def test_silent_store_refuses_orders_in_time(fleet, witness):
    for port in fleet.platform_ports:
        port.faults.silent_up = True
    order = await witness.order(0)
    assert order.outcome == "not_run"
    fleet.heal()
    for port in fleet.platform_ports:
        port.cut()

    async def served():
        return (await witness.order(0, key=order.key, body=order.body)).status == 200

    await wait_until(served, what="the order is taken once the store answers")


async def test_silent_links_during_orders_double_nothing(fleet, witness):
    async def silence():
        for target in plains(fleet):
            fleet.link_port(f"local-{target.name}").silence()

    answers = await place(witness, 8, silence)
    again = await resend(witness, answers)
    assert {answer.told for answer in again} == {"whole"}


async def test_death_of_an_entry_during_orders_doubles_nothing(fleet, witness):
    before = len(await fleet_runs(fleet))

    async def kill():
        await wait_until(lambda: claimed(fleet, before), what="orders run")
        await fleet.entries[0].kill()

    answers = await place(witness, 8, kill)
    await fleet.start_entry(0)
    again = await resend(witness, answers)
    assert not [answer.told for answer in again if answer.broken]


async def test_death_of_a_local_process_leaves_orders_unknown(fleet, witness):
    """What it had forwarded is never run again, and its links come back."""
    target = plains(fleet)[0]
    await set_behaviour(fleet, after_ms=800)
    before = len(
        target_runs(await fleet.read_json(target.stand_in.address, "/_record"))
    )

    async def has_effect():
        record = await fleet.read_json(target.stand_in.address, "/_record")
        return len(target_runs(record)) > before

    async def kill():
        await wait_until(has_effect, what="an order has taken effect")
        await target.local.kill()

    answers = await place(witness, 8, kill)
    assert {answer.outcome for answer in answers} <= {"done", "unknown", "not_run"}
    assert "unknown" in {answer.outcome for answer in answers}
    await fleet.start_local(target)
    for number in range(2):
        await wait_until(
            lambda n=number: has_link(fleet, n, target), what="each entry has its link"
        )
    again = await resend(witness, answers)
    assert not [answer.told for answer in again if answer.broken]
    await set_behaviour(fleet, before_ms=150)


async def test_paused_local_process_with_a_lost_store_answer(fleet, witness):
    """It wakes after its callers have given up and sent again elsewhere."""
    target = plains(fleet)[0]
    fleet.platform_port_of(f"local-{target.name}").faults.drop_answers = 3

    async def pause():
        target.local.pause()
        await asyncio.sleep(2.0)  # the pause itself
        target.local.resume()

    answers = await place(witness, 8, pause)
    again = await resend(witness, answers)
    assert not [answer.told for answer in again if answer.broken]


async def test_store_outage_and_silent_links_together(fleet, witness):
    async def both():
        for port in fleet.platform_ports:
            port.faults.refuse = True
            port.cut()
        for target in plains(fleet):
            fleet.link_port(f"local-{target.name}").silence()

    answers = await place(witness, 8, both)
    fleet.heal()
    again = await resend(witness, answers)
    assert not [answer.told for answer in again if answer.broken]
