"""Gateway processes under random faults, judged by what callers and targets see.

The targets spoil their answers in ways that the users' bench does not play: they cut
them in each framing, repeat earlier ones, answer errors to resumptions, leave and ask
for pauses. Gateways are killed, stopped and suspended, and the store is away, or comes
back from an older copy. Everything is drawn from the seed.
"""

import argparse
import asyncio
import random as random_module
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

import aiohttp
import msgspec

from benchmarks._soak_targets import (
    EVENTS,
    SPOILED_ANSWERS,
    SoakTarget,
    TargetRecord,
    event,
)
from carobroute.domain import CallClass, ServiceShare
from carobroute.standins._faults import Faults
from carobroute.standins._platform import PlatformStandIn
from carobroute.testing import GatewayRun
from carobroute.testing.gateway_data import (
    make_configuration,
    make_route,
    make_service,
    make_target_entry,
)
from carobroute.utils import Clock

GATEWAYS = 3
CALLERS = 9
DEADLINE_MS = 3_000
# Calls of a caller on one session, most of them on a kept connection.
CALLS_PER_SESSION = 20
# Time after the last fault in which service must be whole again, and in which it is
# then judged.
RECOVERY_S = 8.0
CALM_S = 3.0
MIN_FAULT_GAP_S = 0.3
MAX_FAULT_GAP_S = 1.5
# Answers that promise that the request has not run and never will.
PROMISES = frozenset({408, 421, 429, 503})
ORDER_ROUTE = make_route(
    name="order",
    path_prefix="/orders/",
    call_class=CallClass.NON_IDEMPOTENT,
    max_attempts=2,
    timeout_ms=DEADLINE_MS,
)
LOOKUP_ROUTE = make_route(
    name="lookup", path_prefix="/stock/", max_attempts=3, timeout_ms=DEADLINE_MS
)
STREAM_ROUTE = make_route(
    name="stream",
    path_prefix="/drafts/",
    streaming=True,
    resumable=True,
    max_attempts=3,
    timeout_ms=DEADLINE_MS,
    shares=[ServiceShare(service="model", weight=1.0)],
)
CONFIGURATION = make_configuration(
    routes=[ORDER_ROUTE, LOOKUP_ROUTE, STREAM_ROUTE],
    services=[make_service(), make_service(name="model")],
)


class PlannedFault(msgspec.Struct, frozen=True, kw_only=True):
    """One fault of a plan.

    Parameters
    ----------
    number : int
        Number in the plan, by which it can be played alone or left out.
    at_s, for_s : float
        When it begins after the start of the load, and how long it lasts.
    kind : str
        Kind of fault.
    which : int
        Number of the gateway or target that it meets.
    how : str
        Spoiled answer, or signal.
    """

    number: int
    at_s: float
    for_s: float
    kind: str
    which: int
    how: str = ""


def make_plan(seed: int, seconds: float) -> list[PlannedFault]:
    """Return the faults of a seed, in the order of their beginning."""
    rng = random_module.Random(seed)
    kinds = ["answers"] * 6 + ["kill", "stop", "suspend", "store away", "store older"]
    plan: list[PlannedFault] = []
    at_s = 1.0
    while at_s < seconds:
        kind = rng.choice(kinds)
        plan.append(
            PlannedFault(
                number=len(plan),
                at_s=round(at_s, 2),
                for_s=round(rng.uniform(0.3, 2.5), 2),
                kind=kind,
                which=rng.randrange(1_000),
                how=rng.choice(sorted(SPOILED_ANSWERS)) if kind == "answers" else "",
            )
        )
        at_s += rng.uniform(MIN_FAULT_GAP_S, MAX_FAULT_GAP_S)
    return plan


class CallerRecord(msgspec.Struct, kw_only=True):
    """What a caller has seen of one request."""

    request_id: str
    kind: str
    sent_s: float
    status: int = 0
    body: bytes = b""
    is_complete: bool = False


class GatewaySoak:
    """One run of the soak.

    Parameters
    ----------
    directory : Path
        Where the processes' settings are written.
    seed : int
        Seed of the plan and of the load.
    plan : list of PlannedFault
        Faults to play.
    mistake : str, default=""
        Code that the gateways run before they start, to seed a mistake.
    recovery_s : float, default=RECOVERY_S
        Time after the last fault in which service must be whole again.
    """

    def __init__(
        self,
        *,
        directory: Path,
        seed: int,
        plan: list[PlannedFault],
        mistake: str = "",
        recovery_s: float = RECOVERY_S,
    ):
        self._plan = plan
        self._recovery_s = recovery_s
        self._random = random_module.Random(seed + 1)
        self._record = TargetRecord()
        self._platform = PlatformStandIn(clock=Clock())
        self._runs = [
            GatewayRun(
                directory=directory,
                configuration=CONFIGURATION,
                name=f"gateway-{number}",
                platform=self._platform,
                patch=mistake,
            )
            for number in range(GATEWAYS)
        ]
        self._targets = [
            SoakTarget(name=f"{service}-{number}", service=service, record=self._record)
            for service, count in (("orders", 3), ("model", 4))
            for number in range(count)
        ]
        self._callers: list[CallerRecord] = []
        self._faults: dict[str, Callable[[PlannedFault], Awaitable[None]]] = {
            "answers": self._spoil_answers,
            "kill": self._kill,
            "stop": self._stop,
            "suspend": self._suspend,
            "store away": self._lose_store,
            "store older": self._restore_store,
        }
        self._calm_from_s = float("inf")

    async def run(self) -> list[str]:
        """Play the plan, and return the violations."""
        for target in self._targets:
            entry = make_target_entry(
                incarnation=target.name,
                service=target.service,
                slots=8,
                address=await target.start(),
            )
            self._runs[0].list_target(entry)
        for run in self._runs:
            await run.start()
        began_s = time.monotonic()
        callers = [
            asyncio.create_task(self._call_on(number)) for number in range(CALLERS)
        ]
        faults = [
            asyncio.create_task(self._play(fault, began_s)) for fault in self._plan
        ]
        try:
            await asyncio.gather(*faults)
            await asyncio.sleep(self._recovery_s)
            self._calm_from_s = time.monotonic()
            await asyncio.sleep(CALM_S)
        finally:
            for caller in callers:
                caller.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
            for run in self._runs:
                await run.stop()
            for target in self._targets:
                await target.stop()
        return self._find_violations()

    def summary(self) -> str:
        """Return how many calls ended in which way."""
        counts = Counter((call.kind, call.status) for call in self._callers)
        return " ".join(
            f"{kind}/{status}={count}"
            for (kind, status), count in sorted(counts.items())
        )

    # Faults.

    async def _play(self, fault: PlannedFault, began_s: float) -> None:
        await asyncio.sleep(max(0.0, began_s + fault.at_s - time.monotonic()))
        await self._faults[fault.kind](fault)

    async def _spoil_answers(self, fault: PlannedFault) -> None:
        target = self._targets[fault.which % len(self._targets)]
        target.spoil = SPOILED_ANSWERS[fault.how]
        await asyncio.sleep(fault.for_s)
        target.spoil = None

    def _run_of(self, fault: PlannedFault) -> GatewayRun:
        return self._runs[fault.which % GATEWAYS]

    async def _kill(self, fault: PlannedFault) -> None:
        await self._restart(fault, signal.SIGKILL)

    async def _stop(self, fault: PlannedFault) -> None:
        await self._restart(fault, signal.SIGTERM)

    async def _restart(self, fault: PlannedFault, number: int) -> None:
        run = self._run_of(fault)
        if not run.is_running:
            return
        run.signal(number)
        await run.wait_ended()
        await asyncio.sleep(fault.for_s)
        if not run.is_running:
            await run.restart()

    async def _suspend(self, fault: PlannedFault) -> None:
        run = self._run_of(fault)
        if not run.is_running:
            return
        pid = run.pid
        run.signal(signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        if run.is_running and run.pid == pid:
            run.signal(signal.SIGCONT)

    async def _lose_store(self, fault: PlannedFault) -> None:
        self._platform.faults.faults = Faults(outage=True)
        await asyncio.sleep(fault.for_s)
        self._platform.faults.faults = Faults()

    async def _restore_store(self, fault: PlannedFault) -> None:
        copy = self._platform.rows.copy()
        await asyncio.sleep(fault.for_s)
        self._platform.restore(copy)

    # Callers.

    async def _call_on(self, caller: int) -> None:
        number = 0
        while True:
            async with aiohttp.ClientSession(auto_decompress=False) as session:
                for _ in range(CALLS_PER_SESSION):
                    run = self._runs[self._random.randrange(GATEWAYS)]
                    kind = self._random.choice(["orders", "stock", "drafts", "drafts"])
                    call = CallerRecord(
                        request_id=f"r-{caller}-{number}",
                        kind=kind,
                        sent_s=time.monotonic(),
                    )
                    number += 1
                    await self._send(session, run.url, call)
                    self._callers.append(call)
                    await asyncio.sleep(self._random.uniform(0.0, 0.05))

    async def _send(
        self, session: aiohttp.ClientSession, url: str, call: CallerRecord
    ) -> None:
        headers = {
            "Host": "shop.example",
            "Request-Id": call.request_id,
            "Deadline-Ms": str(DEADLINE_MS),
            "X-Api-Key": "key-1",
        }
        timeout = aiohttp.ClientTimeout(total=2 * DEADLINE_MS / 1_000)
        try:
            # The client would send a GET again by itself.
            async with session.post(
                f"{url}/{call.kind}/1", headers=headers, timeout=timeout
            ) as answer:
                call.status = answer.status
                async for piece in answer.content.iter_any():
                    call.body += piece
                call.is_complete = True
        except (aiohttp.ClientError, TimeoutError, OSError):
            return

    # Checks.

    def _find_violations(self) -> list[str]:
        found: list[str] = []
        for call in self._callers:
            found += [f"{rule} {call.request_id}" for rule in self._judge(call)]
        calm = [call for call in self._callers if call.sent_s >= self._calm_from_s]
        failed = [call for call in calm if call.status != 200 or not call.is_complete]
        if failed or not calm:
            found.append(f"RECOVER {len(failed)} of {len(calm)} calls after the faults")
        return found

    def _judge(self, call: CallerRecord) -> list[str]:
        """Return the rules that are broken by what a caller saw, and its targets."""
        runs = self._record.runs[call.request_id]
        broken = []
        if call.kind == "drafts":
            whole = b"".join(event(number, call.request_id) for number in range(EVENTS))
            if call.status == 200 and not whole.startswith(call.body):
                broken.append("MIXED")
            elif call.status == 200 and call.is_complete and call.body != whole:
                broken.append("ORDER")
        elif (
            call.status == 200
            and call.is_complete
            and call.body != call.request_id.encode()
        ):
            broken.append("MIXED")
        if call.kind == "orders":
            if runs > 1:
                broken.append("TWICE")
            if call.status in PROMISES and runs:
                broken.append("REFUSED")
        return broken


async def play(
    seed: int, seconds: float, numbers: set[int] | None = None, mistake: str = ""
) -> tuple[list[str], str]:
    """Play a seed, and return the violations and a summary of the calls.

    Parameters
    ----------
    seed : int
        Seed of the run.
    seconds : float
        Time in which faults begin.
    numbers : set of int, default=None
        Faults of the plan that are played; None for all.
    mistake : str, default=""
        Code that the gateways run before they start.
    """
    plan = make_plan(seed, seconds)
    if numbers is not None:
        plan = [fault for fault in plan if fault.number in numbers]
    with tempfile.TemporaryDirectory() as directory:
        soak = GatewaySoak(
            directory=Path(directory), seed=seed, plan=plan, mistake=mistake
        )
        return await soak.run(), soak.summary()


def main() -> None:
    """Run the soak."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--only", type=int, nargs="*", help="numbers of faults")
    parser.add_argument("--without", type=int, nargs="*", default=[])
    parser.add_argument("--quick", action="store_true")
    options = parser.parse_args()
    seconds = 15.0 if options.quick else options.seconds
    numbers = {fault.number for fault in make_plan(options.seed, seconds)}
    if options.only is not None:
        numbers &= set(options.only)
    numbers -= set(options.without)
    for fault in make_plan(options.seed, seconds):
        if fault.number in numbers:
            print(
                f"{fault.number:3} {fault.at_s:6.2f} s {fault.kind} {fault.how}"
                f" {fault.which} for {fault.for_s} s"
            )
    violations, summary = asyncio.run(play(options.seed, seconds, numbers))
    print(summary)
    for violation in violations:
        print(violation)
    met = "no" if violations else "yes"
    print(f"RESULT name=gateway-soak value={len(violations)} target=0 met={met}")
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
