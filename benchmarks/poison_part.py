"""A prompt part that crashes targets, before three gateway processes under load.

The targets run in this process: each closes all its connections when it begins an
answer on the bad part, and comes back some seconds later. Callers send sound prompts,
and from some time on prompts with the bad part, no two alike.
"""

import asyncio
import random
import tempfile
from pathlib import Path

import aiohttp
import msgspec

from benchmarks._report import parse_arguments, print_result, print_table
from carobroute.domain import ServiceShare
from carobroute.standins._crashing_target import CrashingTarget
from carobroute.testing import GatewayRun
from carobroute.testing.gateway_data import (
    make_configuration,
    make_engine,
    make_route,
    make_service,
)

GATEWAYS = 3
TARGETS = 12
RESTART_S = 4.0
CALLS_PER_S = 40.0
BAD_SHARE = 0.2
BAD_FROM_S = 8.0
RUN_S, QUICK_RUN_S = 60.0, 25.0
WARM_UP_S = 2.0
DEADLINE_MS = 8_000
# Bounds of the users: calls that reach targets later than this after the fifth crash,
# and sound first attempts that begin then, against those before the first one.
CONTACT_S = 3.0
BOUND_CRASHES = 5
MAX_LATE_CALLS = 3
MIN_BEGUN_RATIO = 0.95


class SentCall(msgspec.Struct, kw_only=True):
    """Call of a caller, with its answer.

    Parameters
    ----------
    sent_s : float
        Time by the loop's clock.
    is_bad : bool
        Whether its prompt has the bad part.
    status : int
        Status of the answer; 0 for none.
    """

    sent_s: float
    is_bad: bool
    status: int


async def send_call(
    session: aiohttp.ClientSession, url: str, number: int, rng: random.Random, bad: bool
) -> SentCall:
    """Send one call, and return it with its status."""
    parts = [rng.choice(["f0", "f0", "f1"]), f"s{rng.randrange(30)}"]
    if bad:
        parts.insert(1, "bad")
    headers = {
        "Host": "shop.example",
        "Request-Id": f"{number:016x}",
        "Deadline-Ms": str(DEADLINE_MS),
        "X-Api-Key": "key-1",
        "Prompt-Prefix": ",".join(f"{part}:40" for part in [*parts, f"u{number}"]),
    }
    sent_s = asyncio.get_running_loop().time()
    try:
        async with session.post(url, headers=headers, data=b"p%d" % number) as answer:
            await answer.read()
            status = answer.status
    except aiohttp.ClientError:
        status = 0
    return SentCall(sent_s=sent_s, is_bad=bad, status=status)


async def send_calls(
    runs: list[GatewayRun], rng: random.Random, run_s: float
) -> list[SentCall]:
    """Send calls at random times for `run_s` seconds."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    calls = []
    while (elapsed_s := loop.time() - began_s) < run_s:
        await asyncio.sleep(rng.expovariate(CALLS_PER_S))
        bad = elapsed_s > BAD_FROM_S and rng.random() < BAD_SHARE
        run = rng.choice(runs)
        call = send_call(run.session, f"{run.url}/orders/1", len(calls), rng, bad)
        calls.append(asyncio.create_task(call))
    return await asyncio.gather(*calls)


async def play(
    directory: Path, seed: int, run_s: float
) -> tuple[list[SentCall], list[CrashingTarget]]:
    """Run gateways and targets under load; return the calls and the targets."""
    route = make_route(
        streaming=True,
        resumable=True,
        timeout_ms=float(DEADLINE_MS),
        latency_target_ms=400.0,
        shares=[ServiceShare(service="model", weight=1.0)],
    )
    configuration = make_configuration(
        routes=[route], services=[make_service(name="model", engine=make_engine())]
    )
    first = GatewayRun(directory=directory, configuration=configuration)
    runs = [first] + [
        GatewayRun(
            directory=directory,
            configuration=configuration,
            name=f"gateway-{number}",
            platform=first.platform,
        )
        for number in range(2, GATEWAYS + 1)
    ]
    targets = [
        CrashingTarget(
            incarnation=f"i-{number}",
            bad_part="bad",
            restart_s=RESTART_S,
            on_entry=first.list_target,
        )
        for number in range(TARGETS)
    ]
    for target in targets:
        await target.start()
    for run in runs:
        await run.start()
    try:
        await asyncio.sleep(WARM_UP_S)
        calls = await send_calls(runs, random.Random(seed), run_s)
    finally:
        for run in runs:
            await run.stop()
        for target in targets:
            await target.stop()
    return calls, targets


def begun_share(calls: list[SentCall]) -> float:
    """Return the share of calls that were answered."""
    return sum(call.status == 200 for call in calls) / max(1, len(calls))


def main() -> None:
    """Run the benchmark."""
    arguments = parse_arguments(__doc__)
    run_s = QUICK_RUN_S if arguments.quick else RUN_S
    with tempfile.TemporaryDirectory() as directory:
        calls, targets = asyncio.run(play(Path(directory), arguments.seed, run_s))
    crashes = sorted(time for target in targets for time in target.crash_times)
    bad_calls = [time for target in targets for time in target.bad_call_times]
    sound = [call for call in calls if not call.is_bad]
    began_s = min(call.sent_s for call in calls)
    before = [call for call in sound if WARM_UP_S < call.sent_s - began_s < BAD_FROM_S]
    bound_s = crashes[min(BOUND_CRASHES, len(crashes)) - 1] if crashes else began_s
    late = [time for time in bad_calls if time > bound_s + CONTACT_S]
    after = [call for call in sound if call.sent_s > bound_s + 2 * CONTACT_S]
    refused = sum(call.status == 503 for call in sound)
    ratio = begun_share(after) / max(1e-9, begun_share(before))
    print_table(
        ["crashes", "bad calls", "late", "sound calls", "refused", "before", "after"],
        [
            [
                len(crashes),
                sum(call.is_bad for call in calls),
                len(late),
                len(sound),
                refused,
                f"{begun_share(before):.3f}",
                f"{begun_share(after):.3f}",
            ]
        ],
    )
    met = bool(crashes) and len(late) <= MAX_LATE_CALLS and ratio >= MIN_BEGUN_RATIO
    print_result(
        "poison_part",
        value=f"{len(crashes)}_crashes,{len(late)}_late,{ratio:.3f}_begun",
        target=f"{MAX_LATE_CALLS}_late,{MIN_BEGUN_RATIO}_begun",
        met=met,
    )


if __name__ == "__main__":
    main()
