"""Both desks under random pairs of faults: promises broken, from the targets' records.

Callers stream, place orders and send them again through other entries while faults
come in pairs. What callers were told is compared with what the stand-ins recorded.
"""

import argparse
import asyncio
import random
import tempfile
from collections import Counter
from pathlib import Path

from benchmarks._report import print_result, print_table
from carobroute.testing import FaultyFleet, FleetShape, Witness, cause_pair

DESKS = ("klangbjallra", "vatukoula")
QUICK_S = 25.0
DEFAULT_S = 600.0
CALLERS = 6
PAUSE_S = 0.02
SETTLE_S = 10.0
LINKS = {
    "ping_busy_ms": 200,
    "ping_idle_ms": 500,
    "silence_ms": 800,
    "reopen_ms": 20,
    "reopen_most_ms": 500,
}


def make_fleet(desk: str, directory: Path, seed: int) -> FaultyFleet:
    """Return the fleet of one desk, with two entries and five targets."""
    shape = FleetShape(
        entries=2,
        models=3,
        plains=2,
        engine_options=["--step-ms", "15"],
        order_options=["--latency-ms", "30"],
        settings={"links": LINKS, "platform": {"timeout_ms": 1_000}},
        team_fields={"requests_per_s": 0},
        seed=seed,
    )
    return FaultyFleet(
        desk=Path("examples") / desk, directory=directory, shape=shape, seed=seed
    )


async def call_for_ever(
    witness: Witness, generator: random.Random, stopped: asyncio.Event
) -> None:
    """Be one caller: streams, orders, resends, lookups, one after the other."""
    while not stopped.is_set():
        entry = generator.randrange(2)
        kind = generator.random()
        if kind < 0.4:
            await witness.stream(entry, tokens=generator.randint(5, 40))
        elif kind < 0.8:
            order = await witness.order(entry)
            if order.told != "whole" or generator.random() < 0.3:
                await witness.order(1 - entry, key=order.key, body=order.body)
        else:
            await witness.lookup(entry)
        await asyncio.sleep(PAUSE_S)


async def soak(desk: str, seconds: float, seed: int) -> tuple[Witness, list[str], int]:
    """Run one desk and return its witness, its violations and the pairs caused."""
    generator = random.Random(f"{desk} {seed}")
    with tempfile.TemporaryDirectory() as directory:
        async with make_fleet(desk, Path(directory), seed) as fleet:
            witness = Witness(fleet=fleet, timeout_s=45)
            stopped = asyncio.Event()
            callers = [
                asyncio.create_task(
                    call_for_ever(witness, random.Random(generator.random()), stopped)
                )
                for _ in range(CALLERS)
            ]
            pairs: Counter[str] = Counter()
            end_s = asyncio.get_running_loop().time() + seconds
            while asyncio.get_running_loop().time() < end_s:
                pairs["+".join(sorted(await cause_pair(fleet, generator)))] += 1
                await asyncio.sleep(generator.uniform(0.2, 1.5))
            fleet.heal()
            stopped.set()
            await asyncio.wait(callers, timeout=SETTLE_S + witness.timeout_s)
            violations = await witness.violations()
            return witness, violations, sum(pairs.values())


def summary(witness: Witness) -> list[list[object]]:
    """Return how many calls of each kind were told what."""
    groups = {
        "streams": witness.streams,
        "orders": witness.orders,
        "lookups": witness.lookups,
    }
    rows: list[list[object]] = []
    for name, answers in groups.items():
        told = Counter(
            "broken connection" if answer.broken else answer.told for answer in answers
        )
        rows += [[name, what, count] for what, count in told.most_common()]
    return rows


async def run(seconds: float, seed: int) -> int:
    """Run both desks side by side and return the violations."""
    results = await asyncio.gather(*[soak(desk, seconds, seed) for desk in DESKS])
    total = 0
    for desk, (witness, violations, pairs) in zip(DESKS, results, strict=True):
        print(f"{desk}: {pairs} pairs of faults")
        print_table(["calls", "told", "count"], summary(witness))
        for violation in violations:
            print(f"VIOLATION {desk}: {violation}")
        total += len(violations)
    return total


def main() -> None:
    """Run the soak."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quick", action="store_true", help="under 50 s")
    parser.add_argument("--seconds", type=float, default=DEFAULT_S)
    options = parser.parse_args()
    seconds = QUICK_S if options.quick else options.seconds
    violations = asyncio.run(run(seconds, options.seed))
    print_result("soak", value=violations, target=0, met=violations == 0)


if __name__ == "__main__":
    main()
