"""A stream through entry and local process beside the same stream straight through.

Two measures in one run: the time that the system adds to the first token, and the
tokens that an entry carries in one second of processor time.
"""

import asyncio
import os
import random
import tempfile
import time
from pathlib import Path

import msgspec

from benchmarks._report import (
    parse_arguments,
    percentile,
    print_result,
    print_table,
)
from carobroute.domain import ServiceKind
from carobroute.testing import Child, Fleet, FleetShape

DESK = Path("examples/klangbjallra")
MODELS = 4
CONCURRENCY = 64
STEP_MS = 20.0
FIRST_TOKEN_STEP_MS = 1.0
ADDED_TARGET_MS = 5.0
TOKENS_TARGET_PER_S = 20_000
MS_PER_S = 1_000
PACED_LOOPS = 4


class StreamTimes(msgspec.Struct, kw_only=True):
    """What one caller saw of one stream."""

    first_ms: float
    tokens: int


async def stream(fleet: Fleet, url: str, prompt: str, tokens: int) -> StreamTimes:
    """Send one streaming request and read its answer."""
    body = {
        "model": "klang-model",
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": prompt}],
    }
    headers = fleet.headers("head-office")
    began_s = time.monotonic()
    first_ms, events = 0.0, 0
    async with fleet.session.post(
        f"{url}/v1/chat/completions", data=msgspec.json.encode(body), headers=headers
    ) as response:
        assert response.status == 200, await response.text()
        async for piece in response.content.iter_any():
            if not events:
                first_ms = (time.monotonic() - began_s) * MS_PER_S
            events += piece.count(b"data: ")
    # The events with the finish reason and with the end of the stream are no tokens.
    assert events == tokens + 2, f"{events - 2} tokens, expected {tokens}"
    return StreamTimes(first_ms=first_ms, tokens=tokens)


def cpu_s(child: Child) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{child.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def measure_first_token(
    fleet: Fleet, rounds: int, rng: random.Random
) -> tuple[list[float], list[float]]:
    """Return first-token times straight and through, taken in turns."""
    direct: list[float] = []
    through: list[float] = []
    targets = fleet.targets_of(ServiceKind.MODEL)

    async def loop(number: int) -> None:
        straight_url = targets[number % len(targets)].stand_in.address
        for turn in range(rounds):
            prompt = f"ring {number} {turn} {rng.random()}"
            for url, times in (
                (straight_url, direct),
                (fleet.entry_url(0), through),
            ):
                times.append((await stream(fleet, url, prompt, 4)).first_ms)

    await asyncio.gather(*[loop(number) for number in range(PACED_LOOPS)])
    return direct, through


async def measure_tokens(fleet: Fleet, duration_s: float, streams: int) -> list[float]:
    """Return tokens, wall seconds, and the entry's and a local's processor seconds."""
    entry = fleet.entries[0]
    local = fleet.targets_of(ServiceKind.MODEL)[0].local
    tokens = int(duration_s * MS_PER_S / STEP_MS)
    entry_before, local_before = cpu_s(entry), cpu_s(local)
    began_s = time.monotonic()
    answers = await asyncio.gather(
        *[
            stream(fleet, fleet.entry_url(0), f"toll {n}", tokens)
            for n in range(streams)
        ]
    )
    return [
        sum(answer.tokens for answer in answers),
        time.monotonic() - began_s,
        cpu_s(entry) - entry_before,
        cpu_s(local) - local_before,
    ]


async def set_step(fleet: Fleet, step_ms: float) -> None:
    """Set the step time of every model stand-in."""
    body = msgspec.json.encode({"step_ms": step_ms})
    for target in fleet.targets_of(ServiceKind.MODEL):
        url = f"{target.stand_in.address}/_faults"
        async with fleet.session.post(url, data=body) as response:
            response.raise_for_status()


async def run(directory: Path, *, quick: bool, seed: int) -> bool:
    """Measure, print, and return whether both targets are met."""
    shape = FleetShape(
        entries=1,
        models=MODELS,
        plains=1,
        seed=seed,
        target_fields={"concurrency": CONCURRENCY},
        team_fields={"requests_per_s": 0.0},
        engine_options=[
            *("--concurrency", str(CONCURRENCY)),
            *("--step-ms", str(STEP_MS)),
        ],
    )
    rng = random.Random(seed)
    async with Fleet(desk=DESK, directory=directory, shape=shape) as fleet:
        # Steps of 1 ms, so that waiting for a step does not hide what is added.
        await set_step(fleet, FIRST_TOKEN_STEP_MS)
        await measure_first_token(fleet, 5, rng)
        rounds = 60 if quick else 250
        direct, through = await measure_first_token(fleet, rounds, rng)
        await set_step(fleet, STEP_MS)
        streams = MODELS * CONCURRENCY * 3 // 4
        carried = await measure_tokens(fleet, 6.0 if quick else 20.0, streams)
    tokens, wall_s, entry_s, local_s = carried
    added_ms = percentile(through, 95) - percentile(direct, 95)
    per_core = tokens / entry_s
    print_table(
        ["first token", "p50 ms", "p95 ms", "p99 ms", "calls"],
        [
            [name, *(f"{percentile(v, q):.2f}" for q in (50, 95, 99)), len(v)]
            for name, v in (("straight", direct), ("through", through))
        ],
    )
    print_table(
        ["streams", "tokens/s", "entry core share", "tokens/s a core", "local share"],
        [
            [
                streams,
                f"{tokens / wall_s:.0f}",
                f"{entry_s / wall_s:.2f}",
                f"{per_core:.0f}",
                f"{local_s / wall_s:.2f}",
            ]
        ],
    )
    met = added_ms <= ADDED_TARGET_MS and per_core >= TOKENS_TARGET_PER_S
    print_result(
        "overhead",
        value=f"{added_ms:.2f}ms,{per_core:.0f}tokens/s",
        target=f"{ADDED_TARGET_MS:g}ms,{TOKENS_TARGET_PER_S}tokens/s",
        met=met,
    )
    return met


def main() -> None:
    """Run the benchmark."""
    arguments = parse_arguments(__doc__)
    with tempfile.TemporaryDirectory() as directory:
        asyncio.run(run(Path(directory), quick=arguments.quick, seed=arguments.seed))


if __name__ == "__main__":
    main()
