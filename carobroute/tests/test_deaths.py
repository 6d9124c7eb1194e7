"""Processes die or shut down under load: nobody is left without a word."""

import asyncio

import pytest

from carobroute.domain import ServiceKind
from carobroute.testing import wait_until
from carobroute.tests.test_answers import models, run_streams

pytestmark = [
    pytest.mark.asyncio(loop_scope="module"),
    pytest.mark.xdist_group("deaths"),
]


async def test_shutdown_of_an_entry_cuts_no_stream(fleet, witness):
    entry = fleet.entries[0]

    async def shut_down():
        entry.terminate()

    answers = await run_streams(witness, shut_down)
    assert {answer.told for answer in answers} == {"whole"}
    assert await entry.wait() == 0
    await fleet.wait_known(await fleet.start_entry(0))


async def test_second_signal_cuts_no_stream_either(fleet, witness):
    entry = fleet.entries[0]

    async def shut_down_twice():
        entry.terminate()
        await wait_until(
            lambda: any("process_stopping" in line for line in entry.errors),
            what="the entry stops",
        )
        entry.terminate()

    answers = await run_streams(witness, shut_down_twice)
    assert {answer.told for answer in answers} == {"whole"}
    assert await entry.wait() == 0
    await fleet.wait_known(await fleet.start_entry(0))


async def test_shutdown_of_a_local_process_cuts_no_stream(fleet, witness):
    target = models(fleet)[0]
    local = target.local

    async def shut_down():
        local.terminate()

    answers = await run_streams(witness, shut_down)
    assert {answer.told for answer in answers} == {"whole"}
    assert await local.wait() == 0
    await fleet.start_local(target)


async def test_death_of_an_engine_ends_no_stream_without_a_word(fleet, witness):
    target = models(fleet)[0]

    async def kill():
        await target.stand_in.kill()

    answers = await run_streams(witness, kill)
    assert sum(answer.ended for answer in answers) >= 1
    assert not [a.told for a in answers if not a.ended and not a.error]
    await fleet.start_stand_in(target)


async def test_death_of_a_local_process_ends_no_stream_without_a_word(fleet, witness):
    target = models(fleet)[0]

    async def kill():
        await target.local.kill()

    answers = await run_streams(witness, kill)
    assert not [a.told for a in answers if not a.ended and not a.error]
    await fleet.start_local(target)


async def test_death_of_an_entry_is_seen_and_the_other_goes_on(fleet, witness):
    async def kill():
        await fleet.entries[0].kill()

    answers = await run_streams(witness, kill)
    assert all(answer.ended or answer.broken for answer in answers)
    assert sum(answer.ended for answer in answers) >= 4
    await fleet.wait_known(await fleet.start_entry(0))


async def test_all_targets_gone_is_told_as_not_run(fleet, witness):
    """Refused promptly and truthfully, and served again when one is back."""
    plains = fleet.targets_of(ServiceKind.PLAIN)
    for target in plains:
        await target.local.kill()
    names = {f"local-{target.name}" for target in plains}

    async def seen():
        # An order sent on a link that still looks open has an unknown outcome.
        for entry in fleet.entries:
            dump = await fleet.read_json(entry.address, "/operator/dump")
            if any(p["up"] for p in dump["peers"] if p["name"] in names):
                return False
        return True

    await wait_until(seen, what="the entries see that the links have ended")
    answers = await asyncio.gather(*[witness.order(n % 2) for n in range(4)])
    assert {answer.told for answer in answers} == {"not_run: no_target"}
    for target in plains:
        await fleet.start_local(target)

    async def served():
        return (await witness.order(0)).status == 200

    await wait_until(served, what="orders are taken again")
