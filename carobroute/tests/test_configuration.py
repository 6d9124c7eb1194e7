"""A ticket is in force everywhere within seconds and never reverts."""

import asyncio

import pytest

from carobroute.domain import ServiceKind
from carobroute.testing import wait_until

pytestmark = [
    pytest.mark.asyncio(loop_scope="module"),
    pytest.mark.xdist_group("configuration"),
]
FLEET = {"models": 3, "plains": 1}
IN_FORCE_S = 7.0


async def number(fleet, child):
    dump = await fleet.read_json(child.address, "/operator/dump")
    return dump["configuration"]["number"]


async def highest(fleet):
    running = [entry for entry in fleet.entries if entry.running]
    return max([await number(fleet, entry) for entry in running])


def running(fleet):
    return [
        child
        for child in fleet.group.children
        if child.running and "operator" in child.ready
    ]


async def in_force(fleet, wanted):
    numbers = [await number(fleet, child) for child in running(fleet)]
    return all(found >= wanted for found in numbers)


def ticket(fleet, name, state, based_on, token):
    target = fleet.target(name)
    return {
        "author": "mere",
        "reason": "test",
        "based_on": based_on,
        "token": token,
        "objects": [{**target.fields, "state": state}],
    }


async def set_state(fleet, name, state, entry=0):
    """File a ticket that sets the state of a target, and return its number."""
    before = await number(fleet, fleet.entries[entry])
    fields = ticket(fleet, name, state, before, f"{name}-{state}-{before}")
    await fleet.file_ticket(fleet.entries[entry], fields)
    return before + 1


def models(fleet):
    return fleet.targets_of(ServiceKind.MODEL)


async def runs_of(fleet, target):
    record = await fleet.read_json(target.stand_in.address, "/_record")
    return len(record["runs"])


async def test_ticket_is_in_force_everywhere_within_seconds(fleet, witness):
    filed = await set_state(fleet, models(fleet)[0].name, "serving")
    await wait_until(
        lambda: in_force(fleet, filed), what="all have it", timeout_s=IN_FORCE_S
    )


async def test_paused_process_catches_up_and_does_not_revert(fleet, witness):
    paused = fleet.entries[1]
    paused.pause()
    await set_state(fleet, models(fleet)[1].name, "serving")
    filed = await set_state(fleet, models(fleet)[1].name, "serving")
    paused.resume()
    await wait_until(
        lambda: in_force(fleet, filed), what="it has caught up", timeout_s=IN_FORCE_S
    )


async def test_draining_target_gets_no_new_work_though_an_entry_lost_the_store(
    fleet, witness
):
    """The local process refuses what an entry that has not heard still sends."""
    target = models(fleet)[0]
    fleet.platform_port_of("entry-1").faults.silent_up = True
    fleet.platform_port_of("entry-1").faults.silent_down = True
    filed = await set_state(fleet, target.name, "draining")
    await wait_until(
        lambda: in_force(fleet, filed), what="all have it", timeout_s=IN_FORCE_S
    )
    before = await runs_of(fleet, target)
    answers = await asyncio.gather(*[witness.stream(1, tokens=5) for _ in range(12)])
    assert {answer.told for answer in answers} == {"whole"}
    assert await runs_of(fleet, target) == before
    fleet.heal()
    await set_state(fleet, target.name, "serving")


async def test_new_process_takes_the_highest_of_its_peers_in_an_outage(fleet, witness):
    filed = await set_state(fleet, models(fleet)[0].name, "serving")
    await wait_until(lambda: in_force(fleet, filed), what="all have it")
    await fleet.entries[1].kill()
    for port in fleet.platform_ports:
        port.faults.drop_answers = 1_000
    started = asyncio.create_task(fleet.start_entry(1))
    done, _ = await asyncio.wait([started], timeout=2.0)
    if done:
        assert await number(fleet, fleet.entries[1]) >= filed
    fleet.heal()
    await started
    assert await number(fleet, fleet.entries[1]) >= filed
    await fleet.wait_known(fleet.entries[1])


async def test_of_two_racing_tickets_one_wins_and_the_other_is_told(fleet, witness):
    before = await highest(fleet)
    name = models(fleet)[2].name
    filings = [
        fleet.file_ticket(
            fleet.entries[n], ticket(fleet, name, "serving", before, f"race-{n}")
        )
        for n in range(2)
    ]
    results = await asyncio.gather(*filings, return_exceptions=True)
    refused = [result for result in results if isinstance(result, Exception)]
    assert len(refused) == 1
    assert f"target/{name}" in str(refused[0])
    assert await highest(fleet) == before + 1


async def test_lost_answers_to_a_filing_make_one_ticket(fleet, witness):
    """Whatever is lost, filing the same ticket again ends in one acceptance."""
    before = await highest(fleet)
    fields = ticket(fleet, models(fleet)[1].name, "serving", before, "lost-answers")
    fleet.platform_port_of("entry-0").faults.drop_answers = 4

    async def filed():
        try:
            return await fleet.file_ticket(fleet.entries[0], fields)
        except RuntimeError as error:
            assert "store_unavailable" in str(error)
            return ""

    await wait_until(filed, what="the ticket is accepted")
    assert await fleet.file_ticket(fleet.entries[1], fields)
    await wait_until(lambda: in_force(fleet, before + 1), what="all have it")
    assert await highest(fleet) == before + 1


async def test_store_outage_stops_tickets_and_nothing_else(fleet, witness):
    for port in fleet.platform_ports:
        port.faults.refuse = True
        port.cut()
    with pytest.raises(RuntimeError):
        await set_state(fleet, models(fleet)[1].name, "serving")
    answers = await asyncio.gather(*[witness.stream(n % 2, tokens=5) for n in range(6)])
    assert {answer.told for answer in answers} == {"whole"}
