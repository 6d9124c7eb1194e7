"""Entries and local processes end by themselves before they would be killed.

Calls take longer than the time of a stop, as a hanging target's do.
"""

import asyncio

import pytest

from carobroute.domain import ServiceKind
from carobroute.testing import wait_until
from carobroute.tests.conftest import QUICK_LINKS

STOP_MS = 4_000.0
FLEET = {
    "order_options": ["--latency-ms", "12000"],
    "engine_options": ["--step-ms", "300"],
    # After a process that may have left calls behind, the next one has to wait.
    "target_fields": {"honours_fencing": False},
    "settings": {
        "links": QUICK_LINKS,
        "platform": {"timeout_ms": 1_000},
        "instance": {"stop_timeout_ms": STOP_MS},
    },
}
TOKENS = 40
pytestmark = [
    pytest.mark.asyncio(loop_scope="module"),
    pytest.mark.xdist_group("daemon-stop"),
]


async def stop_or_kill(child):
    """Stop a process as a platform does; return its exit status."""
    child.terminate()
    try:
        return await asyncio.wait_for(child.wait(), STOP_MS / 1_000)
    except TimeoutError:
        await child.kill()
        return child.returncode


# Guards against an entry that waits for its calls until it is killed, so that their
# callers get no answer, not even that the outcome is not known (LOST).
async def test_an_entry_tells_callers_of_long_calls_and_ends(fleet, witness):
    entry = fleet.entries[0]
    calls = [
        asyncio.create_task(witness.order(0)),
        asyncio.create_task(witness.stream(0, tokens=TOKENS)),
    ]
    await wait_until(
        lambda: any(answer.data for answer in witness.streams),
        what="the stream has begun",
    )
    assert await stop_or_kill(entry) == 0
    order, stream = await asyncio.gather(*calls)
    assert order.status == 504
    assert stream.status == 200 and stream.told != "whole"
    assert any("event=calls_ended" in line for line in entry.errors)
    await fleet.wait_known(await fleet.start_entry(0))


# Guards against a local process that waits for its calls until it is killed, so that
# their entry learns of the end from its silence alone.
async def test_a_local_process_ends_long_calls_and_itself(fleet, witness):
    target = next(iter(fleet.targets_of(ServiceKind.PLAIN)))
    others = [other for other in fleet.targets_of(ServiceKind.PLAIN) if other != target]
    for other in others:
        await other.local.kill()
    call = asyncio.create_task(witness.order(1))

    async def has_begun():
        dump = await fleet.read_json(target.local.address, "/operator/dump")
        return bool(dump["local"]["attempts"])

    await wait_until(has_begun, what="the order is at the target")
    assert await stop_or_kill(target.local) == 0
    answer = await call
    assert answer.status in (502, 504)
    assert any("event=calls_ended" in line for line in target.local.errors)
    # The target may still run the order, so the next process takes none yet.
    await fleet.start_local(target)
    later = await witness.order(1)
    assert later.status == 503
    assert len(await witness.order_runs()) <= 2
    for other in others:
        await fleet.start_local(other)
