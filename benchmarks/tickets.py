"""Time until accepted tickets are in force in every process, under faults.

Real processes in three data centres; two operators race with each ticket, while
processes are killed and replaced or paused, links go silent, and the table service is
away for a while and loses answers. Acceptance is the time at which the platform's
stand-in recorded the write.
"""

import argparse
import asyncio
import random

import aiohttp
import msgspec

from benchmarks._control_fleet import ControlFleet, ControlProcess, wall_ms
from carobroute.testing import make_service, make_target, make_team, make_ticket
from carobroute.tickets import Ticket

TARGET_MS = 7_000.0
RACE_INTERVAL_S = 0.8
FAULT_INTERVAL_S = 1.0
SETTLE_S = 10.0
GRACE_MS = 500.0
RETURN_SECONDS = 5


class Shape(msgspec.Struct, frozen=True, kw_only=True):
    """Sizes of one run."""

    processes: int
    seconds: float
    outage_s: float


FULL = Shape(processes=156, seconds=75.0, outage_s=12.0)
QUICK = Shape(processes=24, seconds=16.0, outage_s=4.0)


class Race(msgspec.Struct, kw_only=True):
    """Two filings against the same state, and their definite answers."""

    tokens: list[str]
    numbers: list[int]


class Operators:
    """Two operators who race with tickets for the same object.

    Parameters
    ----------
    fleet : ControlFleet
        Processes to file with.
    random : random.Random
        Source of choices.
    """

    def __init__(self, *, fleet: ControlFleet, random: random.Random):
        self._fleet = fleet
        self._random = random
        self._last = 1
        self.races: list[Race] = []

    async def file_first(self) -> None:
        """File the ticket that the races build on."""
        ticket = make_ticket(
            make_service(), make_target(), make_target("runner-2"), make_team("till")
        )
        assert await self.file(ticket)

    async def race(self) -> None:
        """File two tickets against the same state and wait for both answers."""
        based_on = await self._read_number(at_least=self._last)
        tickets = [
            make_ticket(
                make_team("till", weight=1.0 + self._random.random()),
                based_on=based_on,
                author=author,
            )
            for author in ("mere", "jone")
        ]
        race = Race(tokens=[ticket.token for ticket in tickets], numbers=[])
        self.races.append(race)
        answers = await asyncio.gather(*map(self.file, tickets))
        race.numbers = [number for number in answers if number]
        self._last = max([self._last, *race.numbers])

    async def change_one(self) -> None:
        """File one ticket of one object."""
        based_on = await self._read_number(at_least=self._last)
        weight = 1.0 + self._random.random()
        team = make_team("till", weight=weight)
        self._last = await self.file(make_ticket(team, based_on=based_on))

    async def _read_number(self, *, at_least: int) -> int:
        """Read the number in force at some entry that is not behind."""
        while True:
            status, body = await self._call("GET", "/operator/configuration?objects=0")
            number = msgspec.json.decode(body)["number"] if status == 200 else 0
            if number >= at_least:
                return number
            await asyncio.sleep(0.05)

    async def file(self, ticket: Ticket) -> int:
        """File until the answer is definite; return the number, or 0 if refused."""
        data = msgspec.json.encode(ticket)
        while True:
            status, body = await self._call("POST", "/operator/tickets", data)
            answer = msgspec.json.decode(body) if body else {}
            if status == 200:
                return answer["number"]
            if answer.get("error") in ("conflict", "invalid_ticket"):
                return 0
            # Unreachable, overloaded or unknown: the same token, another entry.
            await asyncio.sleep(0.2)

    async def _call(self, method: str, path: str, data: bytes = b""):
        entries = [run for run in self._fleet.living if run.operator]
        address = self._random.choice(entries).child.address
        try:
            async with self._fleet.session.request(
                method, address + path, data=data or None
            ) as answer:
                return answer.status, await answer.read()
        except (OSError, TimeoutError, aiohttp.ClientError):
            return 0, b""


class Faults:
    """Kills, pauses and cuts processes while the races go on."""

    def __init__(self, *, fleet: ControlFleet, random: random.Random):
        self._fleet = fleet
        self._random = random
        self._tasks: list[asyncio.Task] = []
        self.counts = {"killed": 0, "paused": 0, "cut": 0, "outages": 0}
        # Table reads in each second after the store came back.
        self.reads_after: list[int] = []

    async def run(self, shape: Shape) -> None:
        """Cause faults until the time is up, then wait for their ends."""
        outage = asyncio.create_task(self._outage(shape))
        end_ms = wall_ms() + shape.seconds * 1_000
        while wall_ms() < end_ms:
            fault = self._random.choice([self._kill, self._pause, self._cut])
            self._tasks.append(asyncio.create_task(fault()))
            await asyncio.sleep(FAULT_INTERVAL_S)
        await asyncio.gather(outage, *self._tasks)

    async def _outage(self, shape: Shape) -> None:
        await self._fleet.set_faults(lose_answer=0.1)
        await asyncio.sleep(shape.seconds / 3)
        self.counts["outages"] += 1
        await self._fleet.set_faults(outage=True)
        await asyncio.sleep(shape.outage_s)
        await self._fleet.set_faults(lose_answer=0.3)
        await self._count_reads()
        await asyncio.sleep(shape.seconds / 3)
        await self._fleet.set_faults(lose_answer=0.0)

    async def _count_reads(self) -> None:
        before = (await self._fleet.record("counts"))["reads"]
        for _ in range(RETURN_SECONDS):
            await asyncio.sleep(1.0)
            now = (await self._fleet.record("counts"))["reads"]
            self.reads_after.append(now - before)
            before = now

    async def _kill(self) -> None:
        self.counts["killed"] += 1
        run = self._random.choice(self._fleet.living)
        await self._fleet.replace(run)

    async def _pause(self) -> None:
        run = self._random.choice(self._fleet.living)
        self.counts["paused"] += 1
        begin_ms = wall_ms()
        run.away.append((begin_ms, float("inf")))
        run.child.pause()
        await asyncio.sleep(self._random.uniform(1.0, 6.0))
        if run.ended_ms == float("inf"):
            run.child.resume()
        run.away[-1] = (begin_ms, wall_ms() + GRACE_MS)

    async def _cut(self) -> None:
        """No frame passes to or from a process on the links that others opened."""
        proxied = [run for run in self._fleet.living if run.proxy is not None]
        run = self._random.choice(proxied)
        self.counts["cut"] += 1
        run.proxy.silence()
        await asyncio.sleep(self._random.uniform(0.5, 3.0))
        run.proxy.heal()


class Report(msgspec.Struct, kw_only=True):
    """What was seen."""

    accepted: int = 0
    delays_ms: list[float] = []
    steps_back: int = 0
    behind_at_end: list[str] = []
    lost: int = 0
    wrong_races: int = 0
    races: int = 0
    errors: list[str] = []


async def read_acceptances(fleet: ControlFleet) -> dict[int, tuple[str, float]]:
    """Return token and time of each accepted ticket, from the stand-in's record."""
    found = {}
    for write in await fleet.record("writes"):
        keys = [key for key in write["keys"] if key.startswith("tickets/n/")]
        tokens = [key for key in write["keys"] if key.startswith("tickets/t/")]
        if write["committed"] and keys and tokens:
            number = int(keys[0].rpartition("/")[2])
            found[number] = (tokens[0].rpartition("/")[2], write["wall_ms"])
    return found


def judge(
    fleet: ControlFleet, operators: Operators, accepted: dict[int, tuple[str, float]]
) -> Report:
    """Compare what the processes printed with the stand-in's record."""
    report = Report(accepted=len(accepted), races=len(operators.races))
    head = max(accepted)
    report.lost = head - len(accepted)
    for run in fleet.runs:
        _judge_run(run, accepted, report)
    report.steps_back += _backward_restarts(fleet.runs)
    for run in fleet.living:
        sights = run.sights
        last = sights[-1].number if sights else run.ready_number
        if last != head:
            report.behind_at_end.append(f"{run.name} at {last}")
    number_of = {token: number for number, (token, _) in accepted.items()}
    for race in operators.races:
        won = [number_of[token] for token in race.tokens if token in number_of]
        if len(won) != 1 or won != race.numbers:
            report.wrong_races += 1
    return report


def _judge_run(
    run: ControlProcess, accepted: dict[int, tuple[str, float]], report: Report
) -> None:
    sights = run.sights
    report.errors += run.errors
    for before, after in zip(sights, sights[1:], strict=False):
        report.steps_back += after.number <= before.number
    for number, (_, accepted_ms) in accepted.items():
        seen = next((sight for sight in sights if sight.number >= number), None)
        if seen is not None and run.was_here(accepted_ms, seen.wall_ms):
            report.delays_ms.append(max(0.0, seen.wall_ms - accepted_ms))
        elif seen is None and run.was_here(accepted_ms, accepted_ms + TARGET_MS):
            report.delays_ms.append(float("inf"))


def _backward_restarts(runs: list[ControlProcess]) -> int:
    """Count new incarnations that began below what the one before had in force."""
    last: dict[str, int] = {}
    back = 0
    for run in sorted(runs, key=lambda entry: entry.ready_ms):
        back += run.ready_number < last.get(run.name, 0)
        sights = run.sights
        last[run.name] = sights[-1].number if sights else run.ready_number
    return back


def percentile(values: list[float], share: float) -> float:
    """Return the value below which `share` of the sorted `values` lie."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


async def run(shape: Shape, seed: int) -> Report:
    """Run the processes, the races and the faults."""
    choices = random.Random(seed)
    async with ControlFleet(seed=seed) as fleet:
        operators_count = max(3, shape.processes // 10)
        await fleet.start_many(
            shape.processes, operators=operators_count, proxied=shape.processes // 6
        )
        operators = Operators(fleet=fleet, random=choices)
        await operators.file_first()
        faults = Faults(fleet=fleet, random=random.Random(seed + 1))
        trouble = asyncio.create_task(faults.run(shape))
        while not trouble.done():
            await operators.race()
            await asyncio.sleep(RACE_INTERVAL_S)
        await trouble
        await asyncio.sleep(SETTLE_S)
        report = judge(fleet, operators, await read_acceptances(fleet))
        print(f"table reads a second after the outage {faults.reads_after}")
        print(f"faults {faults.counts}, processes {len(fleet.living)} at the end")
        return report


def main() -> None:
    """Run the benchmark and print its result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quick", action="store_true")
    arguments = parser.parse_args()
    shape = QUICK if arguments.quick else FULL
    report = asyncio.run(run(shape, arguments.seed))
    worst = max(report.delays_ms)
    print(f"tickets accepted       {report.accepted}")
    print(f"observations           {len(report.delays_ms)}")
    print(f"time to in force p50   {percentile(report.delays_ms, 0.5):9.0f} ms")
    print(f"time to in force p99   {percentile(report.delays_ms, 0.99):9.0f} ms")
    print(f"time to in force max   {worst:9.0f} ms")
    print(f"steps back             {report.steps_back}")
    print(f"accepted tickets lost  {report.lost}")
    print(f"behind at the end      {report.behind_at_end}")
    print(f"races                  {report.races}, wrong {report.wrong_races}")
    for line in report.errors[:10]:
        print(f"error                  {line}")
    safe = not (report.steps_back or report.lost or report.wrong_races)
    met = safe and worst <= TARGET_MS and not report.behind_at_end
    print(
        f"RESULT name=tickets value={worst:.0f} target={TARGET_MS:.0f}"
        f" met={'yes' if met else 'no'}"
    )


if __name__ == "__main__":
    main()
