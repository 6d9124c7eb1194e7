"""An order that another process has claimed, and that cannot be reached there."""

import asyncio

import pytest

from carobroute.testing import wait_until

pytestmark = [
    pytest.mark.asyncio(loop_scope="module"),
    pytest.mark.xdist_group("orders"),
]
FLEET = {"order_options": ["--latency-ms", "50"], "models": 0}
RESENDS = 2


async def runner_of(fleet, key):
    """Return the target that has run the order with `key`, or None."""
    for target in fleet.targets:
        record = await fleet.read_json(target.stand_in.address, "/_record")
        if any(run["key"] == key for run in record["runs"]):
            return target
    return None


async def test_claim_of_a_lost_process_is_never_told_as_not_run(fleet, witness):
    for target in fleet.targets:
        url = f"{target.stand_in.address}/_admin/behaviour"
        async with fleet.session.post(url, json={"after_ms": 1_500}) as response:
            response.raise_for_status()
    first = asyncio.create_task(witness.order(0, key="held", body=b"{}"))
    target = await wait_until(lambda: runner_of(fleet, "held"), what="it has run")
    await target.local.kill()
    assert (await first).outcome == "unknown"
    for _ in range(RESENDS):
        again = await witness.order(1, key="held", body=b"{}")
        assert again.outcome == "unknown"
