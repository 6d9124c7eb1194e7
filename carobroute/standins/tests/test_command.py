import asyncio
import sys

import aiohttp
import msgspec
from aiohttp.test_utils import TestClient, TestServer

from carobroute.standins._orders import OrderRecord, OrderStandIn


async def test_command_serves_on_a_free_port_and_ends_on_sigterm():
    process = await asyncio.create_subprocess_exec(
        *[sys.executable, "-m", "carobroute.standins", "platform", "--port", "0"],
        stdout=asyncio.subprocess.PIPE,
    )
    line = (await process.stdout.readline()).decode()
    assert line.startswith("READY address=http://127.0.0.1:")
    address = line.strip().partition("=")[2]
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"{address}/_record/counts") as response,
    ):
        assert response.status == 200
    process.terminate()
    assert await process.wait() == 0


async def test_orders_are_recorded_and_old_fences_refused():
    stand_in = OrderStandIn(honours_fencing=True)
    async with TestClient(TestServer(stand_in.application())) as client:
        for fence, status in ((2, 200), (1, 412), (2, 200)):
            headers = {"X-Carobroute-Fence": str(fence), "Idempotency-Key": f"k{fence}"}
            answer = await client.post("/orders", data=b"bell", headers=headers)
            assert answer.status == status
        response = await client.get("/_record")
        record = msgspec.json.decode(await response.read(), type=OrderRecord)
    assert [run.key for run in record.runs] == ["k2", "k2"]
    assert [run.key for run in record.refused] == ["k1"]
