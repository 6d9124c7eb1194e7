"""Ends of streams without a length or chunks: whole ones cut, broken ones complete.

A gateway process has targets whose streams end with their connection in some calls, and
that break a share of these off between two events, in order. Callers use kept
connections until the process is gone: before a planned stop, during it, and at the next
process. Both errors are counted side by side, by what targets and callers have seen.
"""

import argparse
import asyncio
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import msgspec

from benchmarks._report import print_result, print_table
from carobroute.domain import ServiceShare
from carobroute.testing import GatewayRun
from carobroute.testing.gateway_data import (
    make_configuration,
    make_route,
    make_service,
    make_target_entry,
)
from carobroute.testing.raw_caller import RawCaller, request_bytes
from carobroute.testing.scripted_target import ScriptedTarget, TargetCall

TARGETS = 6
MIN_EVENTS, MAX_EVENTS = 8, 37
EVENT_GAP_S = 0.01
SLOW_GAP_S = 0.05
DEADLINE_MS = 8_000
PHASE_S = 6.0
# Of the users' deployments: repeats in 10 s, by call and for three gateways together.
RETRY_SHARE, RETRY_SLACK = 0.2, 88.0 / 3
STREAM_ROUTE = make_route(
    name="stream",
    path_prefix="/drafts/",
    streaming=True,
    resumable=True,
    max_attempts=2,
    timeout_ms=DEADLINE_MS,
    shares=[ServiceShare(service="model", weight=1.0)],
)
LOOKUP_ROUTE = make_route(name="lookup", path_prefix="/orders/", timeout_ms=DEADLINE_MS)
CONFIGURATION = make_configuration(
    routes=[STREAM_ROUTE, LOOKUP_ROUTE],
    services=[make_service(), make_service(name="model")],
)
PHASES = ["before", "stop", "next"]


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """One combination of framings, callers and early ends.

    Parameters
    ----------
    name : str
        Name in the table.
    unframed : float
        Share of calls, targets or attempts without a framing.
    by : {'call', 'target', 'attempt'}
        What the framing depends on.
    callers : int
        Number of callers.
    early : float
        Share of their unframed streams that some targets break off.
    early_targets : int
        Number of these targets.
    gap_s : float
        Time between two events, in seconds.
    """

    name: str
    unframed: float
    by: str = "call"
    callers: int = 10
    early: float = 0.0
    early_targets: int = 2
    gap_s: float = EVENT_GAP_S


ROWS = [
    Row(name="all-1", unframed=1.0, callers=1),
    Row(name="all-6", unframed=1.0, callers=6),
    Row(name="all-20", unframed=1.0, callers=20),
    Row(name="0.3-6", unframed=0.3, callers=6),
    Row(name="0.2-10", unframed=0.2),
    Row(name="0.6-10", unframed=0.6),
    Row(name="0.05-10", unframed=0.05),
    Row(name="attempt-0.3", unframed=0.3, by="attempt"),
    Row(name="target-0.5", unframed=0.5, by="target"),
    Row(name="none", unframed=0.0),
    Row(name="all-20-early", unframed=1.0, callers=20, early=0.1),
    Row(name="all-6-early", unframed=1.0, callers=6, early=0.1),
    Row(name="0.4-10-early", unframed=0.4, early=0.2),
    Row(name="0.05-10-early", unframed=0.05, early=0.5),
    Row(name="target-0.5-early", unframed=0.5, by="target", early=0.1),
    # Streams at the pace of the users' deployments.
    Row(name="0.3-slow", unframed=0.3, gap_s=SLOW_GAP_S, early=0.1),
    Row(name="all-slow", unframed=1.0, gap_s=SLOW_GAP_S, early=0.1),
    Row(name="target-0.5-slow", unframed=0.5, by="target", gap_s=SLOW_GAP_S, early=0.1),
    Row(name="all-6-all-early", unframed=1.0, callers=6, early=0.05, early_targets=6),
]


def event(number: int, request_id: str) -> bytes:
    """Return an event of a request's stream."""
    return b"id: %d\ndata: %s\n\n" % (number, request_id.encode())


class Outcome(msgspec.Struct, kw_only=True):
    """What a caller has got for one request."""

    request_id: str
    phase: str
    status: int = 0
    events: int = 0
    is_complete: bool = False


class Scene:
    """A gateway process, its targets, and what they and the callers have seen.

    Parameters
    ----------
    row : Row
        What is played.
    seed : int
        Seed of lengths, framings and early ends.
    directory : Path
        Where the settings are written.
    """

    def __init__(self, *, row: Row, seed: int, directory: Path):
        self._row = row
        self._random = random.Random(f"{seed} {row.name}")
        self.run = GatewayRun(
            directory=directory,
            configuration=CONFIGURATION,
            retry_share=RETRY_SHARE,
            retry_slack=RETRY_SLACK,
        )
        self._targets: list[ScriptedTarget] = []
        self.outcomes: list[Outcome] = []
        # Requests of which a run broke off, and the arrivals of each.
        self.broken: set[str] = set()
        self.arrivals: Counter[str] = Counter()
        self._phase = "before"
        self._has_ended = False

    async def play(self) -> None:
        """Play the phases."""
        for number in range(TARGETS):
            target = ScriptedTarget(self._make_script(number))
            self._targets.append(target)
            self.run.list_target(
                make_target_entry(
                    incarnation=f"i-{number}",
                    service="model",
                    address=await target.start(),
                    slots=32,
                )
            )
        await self.run.start()
        try:
            callers = [
                asyncio.create_task(self._use(number))
                for number in range(self._row.callers)
            ]
            await asyncio.sleep(PHASE_S)
            self._phase = "stop"
            self.run.signal(signal.SIGTERM)
            killer = asyncio.get_running_loop().call_later(8.0, self._kill)
            await self.run.wait_ended()
            killer.cancel()
            self._phase = "next"
            await self.run.restart()
            await asyncio.sleep(PHASE_S)
            self._has_ended = True
            await asyncio.gather(*callers)
        finally:
            await self.run.stop()
            for target in self._targets:
                await target.close()

    def _kill(self) -> None:
        if self.run.is_running:
            self.run.signal(signal.SIGKILL)

    def _make_script(self, target: int) -> Callable:
        row = self._row

        async def answer(call: TargetCall) -> None:
            request_id = call.headers["request-id"]
            first = int(call.headers.get("last-event-id", "0"))
            self.arrivals[request_id] += 1
            drawn = random.Random(request_id)
            count = drawn.randint(MIN_EVENTS, MAX_EVENTS)
            is_unframed = {
                "call": drawn.random() < row.unframed,
                "target": target < row.unframed * TARGETS,
                "attempt": self._random.random() < row.unframed,
            }[row.by]
            fields = {
                "Request-Id": request_id,
                "Server-Seal": "seal",
                "Content-Type": "text/event-stream",
                "Connection": "close" if is_unframed else "",
                "Transfer-Encoding": "" if is_unframed else "chunked",
            }
            last = count
            is_early = target < row.early_targets and drawn.random() < row.early
            if is_early and is_unframed and not first:
                last = count // 2
                self.broken.add(request_id)
            await call.begin(200, fields)
            for number in range(first + 1, last + 1):
                await asyncio.sleep(row.gap_s)
                data = event(number, request_id)
                if is_unframed:
                    call.writer.write(data)
                    await call.writer.drain()
                else:
                    await call.send(data)
            if is_unframed:
                call.disconnect()
            else:
                await call.end_stream()

        return answer

    async def _use(self, caller: int) -> None:
        """Send one request after the other, on kept connections."""
        number = 0
        while not self._has_ended:
            try:
                async with RawCaller(self.run.url) as connection:
                    while not self._has_ended:
                        number += 1
                        request_id = f"r-{caller}-{number}-{self._random.random():.9f}"
                        can_go_on = await self._call(connection, request_id)
                        await asyncio.sleep(0.02 if can_go_on else 0.1)
                        if not can_go_on:
                            break
            except OSError:
                await asyncio.sleep(0.05)

    async def _call(self, connection: RawCaller, request_id: str) -> bool:
        """Send a request; return whether the connection can be used again."""
        outcome = Outcome(request_id=request_id, phase=self._phase)
        body = b""
        try:
            await connection.write(
                request_bytes(
                    request_id,
                    "/drafts/1",
                    deadline_ms=DEADLINE_MS,
                    Token_Counts=f"10,{MAX_EVENTS}",
                )
            )
            outcome.status, fields = await connection.read_head()
            headers = dict(fields)
            if "content-length" in headers:
                await connection.read_exactly(int(headers["content-length"]))
            else:
                async for chunk in connection.chunks():
                    body += chunk
            outcome.is_complete = True
        except (EOFError, OSError, TimeoutError):
            if not outcome.status:
                # The connection crossed its close, or the process has refused it.
                outcome.phase += ", no answer"
            headers = {"connection": "close"}
        outcome.events = body.count(b"id: ")
        self.outcomes.append(outcome)
        return headers.get("connection", "").lower() != "close"

    def count(self) -> dict[str, int]:
        """Return the numbers of errors and calls."""
        found: Counter[str] = Counter()
        logged = {
            word.removeprefix("request=")
            for line in self.run.lines
            for word in line.split()
            if word.startswith("request=")
        }
        for outcome in self.outcomes:
            request_id = outcome.request_id
            found["calls"] += 1
            total = random.Random(request_id).randint(MIN_EVENTS, MAX_EVENTS)
            is_broken = request_id in self.broken
            if outcome.status == 200 and outcome.is_complete:
                found["short"] += outcome.events < total
                found["resumed"] += is_broken and outcome.events == total
                continue
            if outcome.status == 200 or (
                not outcome.status and self.arrivals[request_id]
            ):
                kind = "broken_cut" if is_broken else f"cut {outcome.phase}"
                found[kind] += 1
                if not is_broken:
                    found["unlogged"] += request_id not in logged
            else:
                found[f"refused {outcome.status}"] += 1
        found["broken"] = len(self.broken)
        found["extra"] = sum(self.arrivals.values()) - len(self.arrivals)
        return found


async def play_row(row: Row, seed: int) -> dict[str, int]:
    """Play one row, and return its numbers."""
    with tempfile.TemporaryDirectory() as directory:
        scene = Scene(row=row, seed=seed, directory=Path(directory))
        await scene.play()
        return scene.count()


async def main() -> int:
    """Play rows and print their numbers side by side."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quick", action="store_true", help="four rows")
    parser.add_argument("--rows", default="", help="names, separated by commas")
    arguments = parser.parse_args()
    names = arguments.rows.split(",") if arguments.rows else []
    rows = [row for row in ROWS if not names or row.name in names]
    if arguments.quick:
        rows = [row for row in rows if row.name in ("all-6", "0.3-6", "0.4-10-early")]
    limit = asyncio.Semaphore(4)

    async def play_one(row: Row) -> dict[str, int]:
        async with limit:
            return await play_row(row, arguments.seed)

    began_s = time.monotonic()
    results = await asyncio.gather(*(play_one(row) for row in rows))
    header = ["row", "calls", *(f"cut {phase}" for phase in PHASES)]
    header += ["unlogged", "broken", "short", "broken_cut", "resumed", "extra"]
    print_table(
        header,
        [
            [row.name, *(found[name] for name in header[1:])]
            for row, found in zip(rows, results, strict=True)
        ],
    )
    others = {
        f"{row.name}: {name}": number
        for row, found in zip(rows, results, strict=True)
        for name, number in found.items()
        if name not in header and number
    }
    print(others, f"{time.monotonic() - began_s:.0f} s")
    cut = sum(found[f"cut {phase}"] for found in results for phase in PHASES)
    short = sum(found["short"] for found in results)
    print_result(
        "stream_ends",
        value=f"{cut}_cut_{short}_short",
        target="0_cut_0_short",
        met=not cut and not short,
    )
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
