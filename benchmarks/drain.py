"""Targets and entries that leave under load, marked by each source in turn.

Counts, by the stand-ins' own records, work that begins on a target later than 3 s
after it was marked, and streams that callers did not get whole and exact.
"""

import asyncio
import itertools
import random
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

import aiohttp
import msgspec

from benchmarks._callers import expected_text, send_example, streamed_text
from benchmarks._report import parse_arguments, print_result, print_table
from carobroute.domain import InstanceState, ServiceKind
from carobroute.platform import RowStore
from carobroute.tables import StoreInstances
from carobroute.testing import Child, Fleet, FleetShape, FleetTarget, wait_until
from carobroute.utils import Clock

DESK = Path("examples/klangbjallra")
MODELS = 6
ENTRIES = 3
LOOPS = 18
TOKENS = 40
STEP_MS = 10.0
MARK_LIMIT_S = 3.0


class Pace(msgspec.Struct, frozen=True, kw_only=True):
    """Times of the scenarios; the limit itself is the same in a quick run.

    Parameters
    ----------
    watch_s : float
        Time for which late work is counted, from the limit on.
    list_lag_ms : float
        Lag of the instance list.
    leave_within_s : float
        Time that a hot target has left.
    long_tokens : int
        Length of the streams that a hot target cannot end in that time.
    """

    watch_s: float = 3.0
    list_lag_ms: float = 4_000.0
    leave_within_s: float = 5.0
    long_tokens: int = 900


QUICK = Pace(watch_s=1.0, list_lag_ms=2_000.0, leave_within_s=3.5, long_tokens=500)


class Load:
    """Callers that send one stream after the other and check every answer."""

    def __init__(self, *, fleet: Fleet, rng: random.Random):
        self._fleet = fleet
        self._rng = rng
        self._numbers = itertools.count()
        self._stopped = False
        self.entries = list(range(ENTRIES))
        self.whole = 0
        self.cut: list[str] = []
        self.refused: Counter[str] = Counter()

    async def run(self, loops: int) -> None:
        """Run `loops` callers until `stop`."""
        await asyncio.gather(*[self._loop() for _ in range(loops)])

    def stop(self) -> None:
        """Let each caller finish the stream that it has begun."""
        self._stopped = True

    async def send(self, tokens: int) -> None:
        """Send one stream and judge its answer."""
        number = next(self._numbers)
        request = {
            "method": "POST",
            "path": "/v1/chat/completions",
            "team": "head-office",
            "body": {
                "model": "klang-model",
                "stream": True,
                "max_tokens": tokens,
                "messages": [{"role": "user", "content": f"peal {number}"}],
            },
        }
        entry = self._rng.choice(self.entries)
        try:
            answer = await send_example(self._fleet, entry, request)
        except aiohttp.ClientError as error:
            self.cut.append(f"entry {entry}: {error!r}")
            return
        if answer.status != 200:
            outcome = answer.headers.get("x-carobroute-outcome", "")
            self.refused[f"{answer.status} {outcome}"] += 1
        elif streamed_text(answer) != expected_text(request, tokens):
            self.cut.append(f"entry {entry}: {answer.body[-200:]!r}")
        else:
            self.whole += 1

    async def _loop(self) -> None:
        while not self._stopped:
            await self.send(TOKENS)


class Outcome(msgspec.Struct, kw_only=True):
    """What one scenario showed."""

    scenario: str
    late_work: int
    whole: int
    cut: int
    refused: int
    seconds: float


async def runs(fleet: Fleet, target: FleetTarget) -> int:
    """Return how many calls a target's stand-in has begun, by its own record."""
    record = await fleet.read_json(target.stand_in.address, "/_record")
    return len(record["runs"])


async def watch(
    fleet: Fleet, target: FleetTarget, mark: Callable[[], Awaitable], watch_s: float
) -> int:
    """Mark a target and return the work that began there after the limit."""
    await mark()
    await asyncio.sleep(MARK_LIMIT_S)
    before = await runs(fleet, target)
    await asyncio.sleep(watch_s)
    return await runs(fleet, target) - before


def ticket(target: FleetTarget, number: int, **fields) -> dict:
    """Return a ticket that sets fields of one target."""
    return {
        "author": "elsa",
        "reason": "drain bench",
        "based_on": 1,
        "token": f"drain-bench-{number}",
        "objects": [{**target.fields, **fields}],
    }


class Scenarios:
    """The ways in which an instance leaves."""

    def __init__(self, *, fleet: Fleet, load: Load, pace: Pace):
        self._fleet = fleet
        self._load = load
        self._pace = pace
        self._targets = iter(fleet.targets_of(ServiceKind.MODEL))
        self._tickets = itertools.count(1)

    async def by_ticket(self) -> int:
        """A ticket drains the target."""
        target = next(self._targets)
        return await self._drain_by_ticket(target, state="draining")

    async def by_ticket_with_store_down(self) -> int:
        """The table goes away right after it accepted the ticket."""
        target = next(self._targets)

        async def mark() -> None:
            await self._file(target, state="draining")
            await set_platform_faults(self._fleet, outage=True)

        late = await self._watch(target, mark)
        await set_platform_faults(self._fleet, outage=False)
        return late

    async def by_list(self) -> int:
        """The platform lists the instance as leaving; the list lags by 4 s."""
        target = next(self._targets)

        async def mark() -> None:
            dump = await self._fleet.read_json(target.local.address, "/operator/dump")
            incarnation = dump["process"]["incarnation"]
            await list_as_leaving(self._fleet.platform.address, incarnation)
            # The mark is out once the list shows it to anybody.
            await asyncio.sleep(self._pace.list_lag_ms / 1_000)

        return await self._watch(target, mark)

    async def by_signal(self) -> int:
        """SIGTERM reaches the local process; the list still calls it live."""
        target = next(self._targets)

        async def mark() -> None:
            target.local.terminate()

        late = await self._watch(target, mark)
        await wait_until(lambda: not target.local.running, what="the process ends")
        return late

    async def by_heat(self) -> int:
        """Streams longer than the time left are moved to other targets."""
        target = next(self._targets)
        long_streams = [
            asyncio.create_task(self._load.send(self._pace.long_tokens))
            for _ in range(MODELS * 3)
        ]
        await wait_until(
            lambda: self._long_running(target), what="long streams run there"
        )
        late = await self._drain_by_ticket(
            target, state="draining", leave_within_s=self._pace.leave_within_s
        )
        await wait_until(lambda: self._is_empty(target), what="the target is empty")
        target.stand_in.terminate()
        await asyncio.gather(*long_streams)
        return late

    async def entry_by_signal(self) -> int:
        """SIGTERM reaches an entry; the balancer stops sending there after 200 ms."""
        leaving = ENTRIES - 1
        child: Child = self._fleet.entries[leaving]
        child.terminate()
        child.terminate()
        await asyncio.sleep(0.15)
        self._load.entries.remove(leaving)
        await wait_until(lambda: not child.running, what="the entry ends")
        return 0

    async def _drain_by_ticket(self, target: FleetTarget, **fields) -> int:
        return await self._watch(target, lambda: self._file(target, **fields))

    async def _watch(self, target: FleetTarget, mark: Callable[[], Awaitable]) -> int:
        return await watch(self._fleet, target, mark, self._pace.watch_s)

    async def _file(self, target: FleetTarget, **fields) -> None:
        made = ticket(target, next(self._tickets), **fields)
        await self._fleet.file_ticket(self._fleet.entries[0], made)

    async def _long_running(self, target: FleetTarget) -> bool:
        state = await self._fleet.read_json(target.local.address, "/operator/dump")
        return any(entry["chunks"] > TOKENS + 5 for entry in state["local"]["attempts"])

    async def _is_empty(self, target: FleetTarget) -> bool:
        state = await self._fleet.read_json(target.local.address, "/operator/dump")
        return not state["local"]["attempts"]


async def list_as_leaving(address: str, incarnation: str) -> None:
    """Mark an instance as leaving in the platform's list."""
    instances = StoreInstances(store=RowStore(base_url=address), clock=Clock())
    listed = (await instances.fetch()).unwrap()
    found = next(entry for entry in listed if entry.incarnation == incarnation)
    leaving = msgspec.structs.replace(found, state=InstanceState.LEAVING)
    (await instances.announce(leaving)).unwrap()
    await instances.close()


async def set_platform_faults(fleet: Fleet, **faults) -> None:
    """Set faults of the platform stand-in."""
    url = f"{fleet.platform.address}/_admin/faults"
    async with fleet.session.post(url, data=msgspec.json.encode(faults)) as response:
        response.raise_for_status()


async def run(directory: Path, *, seed: int, pace: Pace) -> list[Outcome]:
    """Run all scenarios on one fleet under load."""
    shape = FleetShape(
        entries=ENTRIES,
        models=MODELS,
        plains=1,
        seed=seed,
        target_fields={"concurrency": 16},
        team_fields={"requests_per_s": 0.0},
        engine_options=["--concurrency", "16", "--step-ms", str(STEP_MS)],
        platform_options=["--list-lag-ms", str(pace.list_lag_ms)],
    )
    outcomes = []
    async with Fleet(desk=DESK, directory=directory, shape=shape) as fleet:
        load = Load(fleet=fleet, rng=random.Random(seed))
        loops = asyncio.create_task(load.run(LOOPS))
        scenarios = Scenarios(fleet=fleet, load=load, pace=pace)
        for scenario in (
            scenarios.by_ticket,
            scenarios.by_ticket_with_store_down,
            scenarios.by_list,
            scenarios.by_signal,
            scenarios.by_heat,
            scenarios.entry_by_signal,
        ):
            whole, cut, refused = load.whole, len(load.cut), load.refused.total()
            began_s = time.monotonic()
            late = await scenario()
            outcomes.append(
                Outcome(
                    scenario=scenario.__name__,
                    late_work=late,
                    whole=load.whole - whole,
                    cut=len(load.cut) - cut,
                    refused=load.refused.total() - refused,
                    seconds=time.monotonic() - began_s,
                )
            )
        load.stop()
        await loops
    for line in load.cut[:10]:
        print("cut:", line)
    if load.refused:
        print("refused:", dict(load.refused))
    return outcomes


def main() -> None:
    """Run the benchmark."""
    arguments = parse_arguments(__doc__)
    with tempfile.TemporaryDirectory() as directory:
        pace = QUICK if arguments.quick else Pace()
        outcomes = asyncio.run(run(Path(directory), seed=arguments.seed, pace=pace))
    print_table(
        ["scenario", "new work after 3 s", "whole", "cut", "refused", "seconds"],
        [
            [o.scenario, o.late_work, o.whole, o.cut, o.refused, f"{o.seconds:.1f}"]
            for o in outcomes
        ],
    )
    late = sum(o.late_work for o in outcomes)
    cut = sum(o.cut for o in outcomes)
    print_result(
        "drain",
        value=f"late={late},cut={cut}",
        target="late=0,cut=0",
        met=late + cut == 0,
    )


if __name__ == "__main__":
    main()
