"""Entries and local processes whose standard error nobody reads."""

import asyncio
import itertools

import pytest

from carobroute.domain import ServiceKind
from carobroute.testing import wait_until
from carobroute.testing.full_pipe import open_full_pipe
from carobroute.utils import split_host_port

MALFORMED = b"GET /orders/1 HTTP/1.1\r\nkey-of-a-caller\r\nHost: shop.example\r\n\r\n"
# The HTTP library logs each; 128 of them stopped a gateway whose pipe was empty before.
MALFORMED_COUNT = 200
pytestmark = [
    pytest.mark.asyncio(loop_scope="module"),
    pytest.mark.xdist_group("full-pipes"),
]


@pytest.fixture
def full_pipe():
    with open_full_pipe() as writer:
        yield writer


async def send_malformed(entry):
    host, port = split_host_port(entry.ready["http"])
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(MALFORMED)
    answer = await asyncio.wait_for(reader.read(), 20)
    writer.close()
    return answer


# Guards against calls that end without an answer or a line in the log (LOST), because
# an entry waits for a reader of its standard error until it is killed.
async def test_a_full_pipe_of_standard_error_stops_no_entry(fleet, witness, full_pipe):
    await fleet.entries[0].stop()
    entry = await fleet.start_entry(0, stderr=full_pipe)
    await fleet.wait_known(entry)
    for _ in range(MALFORMED_COUNT):
        assert b" 400 " in await send_malformed(entry)
    assert (await witness.order(0)).status == 200
    assert await entry.stop() == 0
    await fleet.wait_known(await fleet.start_entry(0))


async def test_a_full_pipe_of_standard_error_stops_no_local_process(
    fleet, witness, full_pipe
):
    targets = list(fleet.targets_of(ServiceKind.PLAIN))
    for target in targets:
        await target.local.stop()
        await fleet.start_local(target, stderr=full_pipe)
    for entry in fleet.entries:
        await fleet.wait_known(entry)
    entries = itertools.cycle(range(len(fleet.entries)))

    async def is_served():
        # Until the entries have heard of the new processes, they refuse.
        return (await witness.order(next(entries))).status == 200

    await wait_until(is_served, what="a local process runs an order")
    for target in targets:
        assert await target.local.stop() == 0
        await fleet.start_local(target)
