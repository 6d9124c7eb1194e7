"""Processor time and memory of a gateway for each streamed request.

One gateway process reads its configuration from a platform stand-in; callers and
targets are in this process. The time of the gateway alone is counted, by the kernel,
once it is warm.
"""

import asyncio
import os
import tempfile
from pathlib import Path

from benchmarks._process_costs import read_costs
from benchmarks._report import parse_arguments, print_result, print_table
from carobroute.domain import CallClass, ServiceShare
from carobroute.testing import GatewayRun
from carobroute.testing.gateway_data import (
    make_configuration,
    make_route,
    make_service,
    make_target_entry,
)
from carobroute.testing.scripted_target import ScriptedTarget, TargetCall

EVENTS = 28
GAP_S = 0.02
IN_FLIGHT = 20
TARGETS = 4
TARGET_MS = 1.0
WARM_UP = 100
REQUESTS, QUICK_REQUESTS = 3_000, 600

ROUTE = make_route(
    call_class=CallClass.NON_IDEMPOTENT,
    streaming=True,
    timeout_ms=20_000.0,
    shares=[ServiceShare(service="model", weight=1.0)],
)


async def stream(call: TargetCall) -> None:
    """Send events at the pace of an engine."""
    await call.begin_stream()
    for number in range(EVENTS):
        await asyncio.sleep(GAP_S)
        await call.send(b"id: %d\ndata: six tokens of text\n\n" % number)
    await call.end_stream()


async def call_once(run: GatewayRun) -> None:
    """Read one whole stream."""
    headers = {
        "Host": "shop.example",
        "Request-Id": os.urandom(8).hex(),
        "Deadline-Ms": "20000",
        "X-Api-Key": "key-1",
    }
    url = f"{run.url}/orders/1"
    async with run.session.post(url, headers=headers, data=b"prompt") as answer:
        body = await answer.read()
        assert answer.status == 200 and body.count(b"data:") == EVENTS, answer.status


async def call_many(run: GatewayRun, count: int) -> None:
    """Make calls, a bounded number at a time."""
    left = iter(range(count))

    async def work() -> None:
        for _ in left:
            await call_once(run)

    await asyncio.gather(*(work() for _ in range(IN_FLIGHT)))


async def measure(directory: Path, count: int) -> tuple[float, float, float]:
    """Return start's and each request's processor time in ms, and memory in MB."""
    configuration = make_configuration(
        routes=[ROUTE], services=[make_service(name="model")]
    )
    run = GatewayRun(directory=directory, configuration=configuration)
    targets = [ScriptedTarget(stream) for _ in range(TARGETS)]
    for number, target in enumerate(targets):
        entry = make_target_entry(
            incarnation=f"i-{number}",
            service="model",
            slots=IN_FLIGHT,
            address=await target.start(),
        )
        run.list_target(entry)
    await run.start()
    try:
        started = read_costs([run.pid])[run.pid]
        await call_many(run, WARM_UP)
        before = read_costs([run.pid])[run.pid]
        await call_many(run, count)
        after = read_costs([run.pid])[run.pid]
    finally:
        await run.stop()
        for target in targets:
            await target.close()
    each_ms = 1_000 * (after.cpu_s - before.cpu_s) / count
    return 1_000 * started.cpu_s, each_ms, after.memory_bytes / 1e6


def main() -> None:
    """Run the benchmark."""
    arguments = parse_arguments(__doc__)
    count = QUICK_REQUESTS if arguments.quick else REQUESTS
    with tempfile.TemporaryDirectory() as directory:
        start_ms, each_ms, memory = asyncio.run(measure(Path(directory), count))
    print_table(
        ["streams", "events each", "start ms", "ms a stream", "private MB"],
        [[count, EVENTS, f"{start_ms:.0f}", f"{each_ms:.2f}", f"{memory:.1f}"]],
    )
    met = each_ms <= TARGET_MS
    print_result("gateway", value=f"{each_ms:.2f}ms", target=f"{TARGET_MS}ms", met=met)


if __name__ == "__main__":
    main()
