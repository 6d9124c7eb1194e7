"""Requests that crash each target that runs them, resent through every entry.

Real processes: engines exit when they run such a prompt, and are replaced a moment
later; for every second prompt the local process dies with its engine. Innocent calls
run all the while and are sent again when they fail. Counted are the engine processes
that ended and the status codes that callers got.
"""

import asyncio
import random
import tempfile
import time
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from benchmarks._callers import send_example
from carobroute.domain import ServiceKind
from carobroute.testing import Fleet, FleetShape, FleetTarget

DESK = Path("examples/klangbjallra")
POISON = "toll the cracked bell"
ENTRIES = 3
TARGETS = 6
MOST_LOST = 2
MOST_SENDS = 9
INNOCENTS = 16
REPLACE_AFTER_S = 0.3
RESEND_AFTER_S = 0.05
QUARANTINED_STATUS = 422


class Counts(msgspec.Struct, kw_only=True):
    """What was seen of the targets and the innocent callers."""

    lost: int = 0
    answered: int = 0
    failed: int = 0
    refused: int = 0
    unanswered: int = 0


class Trial:
    """One fleet, its watcher and its callers.

    Parameters
    ----------
    fleet : Fleet
        The processes.
    seed : int
        Seed of all chance.
    """

    def __init__(self, *, fleet: Fleet, seed: int):
        self.fleet = fleet
        self.counts = Counts()
        self.local_dies = False
        self.stopping = False
        self._random = random.Random(seed)

    async def watch(self) -> None:
        """Replace each engine that ends, and count it."""
        targets = self.fleet.targets_of(ServiceKind.MODEL)
        await asyncio.gather(*[self._watch_one(target) for target in targets])

    async def _watch_one(self, target: FleetTarget) -> None:
        port = int(target.stand_in.address.rsplit(":", 1)[1])
        while True:
            await target.stand_in.wait()
            if self.stopping:
                return
            self.counts.lost += 1
            if self.local_dies:
                await target.local.kill()
            await asyncio.sleep(REPLACE_AFTER_S)
            await self.fleet.start_stand_in(target, port=port)
            if self.local_dies:
                await self.fleet.start_local(target)

    async def innocent(self, number: int) -> None:
        """Send calls that harm nobody until told to stop."""
        turn = 0
        while not self.stopping:
            turn += 1
            await self.one_innocent(f"Bell {number}, order {turn // 4}")

    async def one_innocent(self, prompt: str) -> None:
        """Send one call until it is answered."""
        for _ in range(MOST_SENDS):
            status = await self._send(self._random.randrange(ENTRIES), prompt)
            if status == 200:
                self.counts.answered += 1
                return
            if status == QUARANTINED_STATUS:
                self.counts.refused += 1
            else:
                self.counts.failed += 1
            await asyncio.sleep(RESEND_AFTER_S)
        self.counts.unanswered += 1

    async def poison(self, number: int) -> list[int]:
        """Send one poison until every entry refuses it; return the status codes."""
        statuses: list[int] = []
        while len(statuses) < MOST_SENDS:
            entry = (number + len(statuses)) % ENTRIES
            statuses.append(await self._send(entry, f"{POISON}, number {number}"))
            if statuses[-ENTRIES:] == [QUARANTINED_STATUS] * ENTRIES:
                break
            await asyncio.sleep(RESEND_AFTER_S)
        return statuses

    async def _send(self, entry: int, prompt: str) -> int:
        body = {
            "model": "klang-model",
            "stream": True,
            "max_tokens": 24,
            "messages": [{"role": "user", "content": prompt}],
        }
        request = {
            "team": "lund",
            "method": "POST",
            "path": "/v1/chat/completions",
            "body": body,
        }
        answer = await send_example(self.fleet, entry, request)
        # A begun stream that broke off has status 200 and an error event.
        return answer.status if answer.status != 200 or answer.is_whole_stream else 502


async def run(directory: Path, poisons: int, seed: int) -> tuple[int, Counts]:
    """Return the most targets that one poison took, and the counts."""
    shape = FleetShape(
        entries=ENTRIES,
        models=TARGETS,
        plains=0,
        engine_options=["--crash-on", POISON],
        team_fields={"requests_per_s": 0.0},
        seed=seed,
    )
    most = 0
    async with Fleet(desk=DESK, directory=directory, shape=shape) as fleet:
        trial = Trial(fleet=fleet, seed=seed)
        watcher = asyncio.create_task(trial.watch())
        innocents = [
            asyncio.create_task(trial.innocent(number)) for number in range(INNOCENTS)
        ]
        await asyncio.sleep(1)
        for number in range(poisons):
            trial.local_dies = number % 2 == 1
            before = trial.counts.lost
            began = time.monotonic()
            statuses = await trial.poison(number)
            await asyncio.sleep(4 * REPLACE_AFTER_S)
            lost = trial.counts.lost - before
            most = max(most, lost)
            print(
                f"poison {number}{' with local process' if trial.local_dies else '':20}"
                f" lost {lost}, answers {statuses},"
                f" {time.monotonic() - began:.1f} s",
                flush=True,
            )
            await asyncio.sleep(2)
        trial.stopping = True
        await asyncio.gather(*innocents)
        for number in range(INNOCENTS):
            await trial.one_innocent(f"Bell {number}, order 0")
        watcher.cancel()
        await asyncio.gather(watcher, return_exceptions=True)
    return most, trial.counts


def main(
    seed: Annotated[int, typer.Option()] = 1,
    quick: Annotated[bool, typer.Option()] = False,
) -> None:
    """Count the targets that poison requests take down."""
    poisons = 2 if quick else 8
    with tempfile.TemporaryDirectory() as directory:
        most, counts = asyncio.run(run(Path(directory), poisons, seed))
    print(
        f"innocents: {counts.answered} answered, {counts.failed} failed and resent,"
        f" {counts.refused} refused as crashing, {counts.unanswered} never answered;"
        f" targets lost in all: {counts.lost}"
    )
    met = most <= MOST_LOST and counts.refused == 0 and counts.unanswered == 0
    print(
        f"RESULT name=poison value=lost:{most},innocents_refused:{counts.refused}"
        f" target=lost:{MOST_LOST},innocents_refused:0 met={'yes' if met else 'no'}"
    )


if __name__ == "__main__":
    typer.run(main)
