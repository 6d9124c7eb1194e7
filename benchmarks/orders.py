"""Orders with resends through other entries, under faults; what ran and what was told.

Real processes: the platform's stand-in, order services, local processes and entries,
with the fault proxy on every path. Judged by the order services' own record.
"""

import argparse
import asyncio
import random
import tempfile
import time
from pathlib import Path

import aiohttp

from benchmarks._order_faults import FaultPhase, make_order_fleet, order_faults
from benchmarks._order_record import (
    DONE,
    NO_ANSWER,
    UNKNOWN,
    Order,
    Submission,
    judge,
    print_kinds,
    print_table,
)
from carobroute.testing import FaultyFleet
from carobroute.utils import content_hash

ORDERS = 10_400
QUICK_ORDERS = 600
QUICK_FAULTS = (
    "none",
    "local killed",
    "local paused and replaced",
    "links silent",
    "store answers lost",
    "store outage",
)
CALLERS = 96
ORDERS_PER_S = 80.0
MAX_SUBMISSIONS = 8
MAX_UNKNOWN = 2
ANSWER_TIMEOUT_S = 5.0
PATIENCE_S = 12.0
DUPLICATE_SHARE = 0.1
CHECK_SHARE = 0.15
SETTLE_S = 2.0
TEAM = "wholesale-north"
PATH = "/order-desk/holds"
MS_PER_S = 1_000


class Callers:
    """Callers who place orders and resend them through other entries.

    Parameters
    ----------
    fleet : FaultyFleet
        The processes.
    generator : random.Random
        Chooses entries, duplicates and waits.
    """

    def __init__(self, *, fleet: FaultyFleet, generator: random.Random):
        self._fleet = fleet
        self._generator = generator
        self.orders: list[Order] = []

    async def place(self, phase: str, count: int) -> None:
        """Place `count` orders, some at a time."""
        left = iter(range(count))
        await asyncio.gather(*[self._call(phase, left) for _ in range(CALLERS)])

    async def ask_again(self) -> int:
        """Resend what is unknown now that all is well; return how many are left."""
        asked = [order for order in self.orders if order.told in (UNKNOWN, NO_ANSWER)]
        gate = asyncio.Semaphore(CALLERS)
        await asyncio.gather(*[self._ask(order, gate) for order in asked])
        return sum(order.told != DONE for order in asked)

    async def _ask(self, order: Order, gate: asyncio.Semaphore) -> None:
        async with gate:
            await self._submit(order, self._entry())

    async def _call(self, phase: str, left) -> None:
        most_wait_s = 2 * CALLERS / ORDERS_PER_S
        for _ in left:
            await asyncio.sleep(self._generator.uniform(0, most_wait_s))
            key = f"{phase}-{self._generator.getrandbits(64):016x}".replace(" ", "-")
            order = Order(key=key, phase=phase, body_hash=content_hash(_body(key)))
            self.orders.append(order)
            start_s = time.monotonic()
            await self._place_one(order)
            order.took_ms = (time.monotonic() - start_s) * MS_PER_S
            order.first_told = order.told
            if self._generator.random() < CHECK_SHARE:
                await self._submit(order, self._entry())

    async def _place_one(self, order: Order) -> None:
        """Send an order until it is done, or unknown several times."""
        entry = self._entry()
        if self._generator.random() < DUPLICATE_SHARE:
            both = (self._submit(order, entry), self._submit(order, self._entry()))
            await asyncio.gather(*both)
        end_s = time.monotonic() + PATIENCE_S
        for _ in range(MAX_SUBMISSIONS):
            told = [submission.told for submission in order.submissions]
            if DONE in told or told.count(UNKNOWN) >= MAX_UNKNOWN:
                return
            if time.monotonic() > end_s:
                return
            if told:
                await asyncio.sleep(self._generator.uniform(0.05, 0.4))
            await self._submit(order, entry)
            entry = (entry + 1) % len(self._fleet.entries)

    def _entry(self) -> int:
        return self._generator.randrange(len(self._fleet.entries))

    async def _submit(self, order: Order, entry: int) -> None:
        submission = Submission(entry=entry, told=NO_ANSWER)
        order.submissions.append(submission)
        headers = {
            "Idempotency-Key": order.key,
            "Content-Type": "application/json",
            **self._fleet.headers(TEAM),
        }
        try:
            async with (
                asyncio.timeout(ANSWER_TIMEOUT_S),
                self._fleet.session.post(
                    self._fleet.entry_url(entry) + PATH,
                    data=_body(order.key),
                    headers=headers,
                ) as response,
            ):
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            submission.kind = type(error).__name__
            return
        submission.request_id = response.headers.get("X-Request-Id", "")
        if response.status < 300:
            submission.told = DONE
            submission.body = body
            return
        error_body = await response.json()
        submission.told = error_body["error"]["outcome"]
        submission.kind = error_body["error"]["type"]
        submission.detail = error_body["error"]["message"]


async def run(seed: int, orders: int, phases: list[str], directory: Path) -> int:
    """Run every phase, print the table and return the number of broken promises."""
    generator = random.Random(seed)
    async with make_order_fleet(directory, seed) as fleet:
        callers = Callers(fleet=fleet, generator=generator)
        start_s = time.monotonic()
        for name in phases:
            phase_s = time.monotonic()
            await run_phase(fleet, callers, name, orders // len(phases), generator)
            print(f"{name}: {time.monotonic() - phase_s:.0f} s", flush=True)
        took_s = time.monotonic() - start_s
        left = await callers.ask_again()
        runs = await read_runs(fleet)
        writes = await fleet.read_json(fleet.platform.address, "/_record/counts")
    verdicts = judge(callers.orders, runs)
    print()
    print_table(callers.orders, verdicts)
    print("answers to submissions:")
    print_kinds(callers.orders)
    print(
        f"runs recorded by the targets: {len(runs)}; still unknown when asked again"
        f" after all faults: {left}; table writes: {writes['writes']},"
        f" seconds: {took_s:.0f}"
    )
    for name in ("twice", "false_not_run", "false_done", "wrong_answer"):
        keys = getattr(verdicts, name)
        print(f"{name}: {len(keys)} {' '.join(sorted(set(keys))[:5])}")
    return verdicts.broken


async def run_phase(
    fleet: FaultyFleet,
    callers: Callers,
    name: str,
    count: int,
    generator: random.Random,
) -> None:
    """Place orders while one fault acts."""
    phase = FaultPhase(fleet=fleet, generator=generator)
    fault = asyncio.create_task(order_faults.get(name)(phase))
    placing = asyncio.create_task(callers.place(name, count))
    await asyncio.wait({fault, placing}, return_when=asyncio.FIRST_COMPLETED)
    if not placing.done():
        placing.cancel()
        await fault
    fault.cancel()
    await asyncio.gather(fault, return_exceptions=True)
    for target in fleet.targets:
        if not target.local.running:
            await fleet.start_local(target)
    for number, entry in enumerate(fleet.entries):
        if not entry.running:
            await fleet.start_entry(number)
    await asyncio.sleep(SETTLE_S)


async def read_runs(fleet: FaultyFleet) -> list[dict]:
    """Return the runs that the order services recorded."""
    runs = []
    for target in fleet.targets:
        record = await fleet.read_json(target.stand_in.address, "/_record")
        runs += record["runs"]
    return runs


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--only", choices=list(order_faults), help="one fault only")
    options = parser.parse_args()
    phases = list(QUICK_FAULTS) if options.quick else list(order_faults)
    phases = [options.only] if options.only else phases
    orders = QUICK_ORDERS if options.quick else ORDERS
    with tempfile.TemporaryDirectory() as directory:
        broken = asyncio.run(run(options.seed, orders, phases, Path(directory)))
    met = "yes" if not broken else "no"
    print(f"RESULT name=orders value={broken} target=0 met={met}")


def _body(key: str) -> bytes:
    return b'{"sku": "spike-steel-15", "crates": 1, "for": "' + key.encode() + b'"}'


if __name__ == "__main__":
    main()
