"""Gateway processes under random faults, judged by what callers and targets see.

The targets spoil their answers in ways that the users' bench does not play: they cut
them in each framing, repeat earlier ones, answer errors to resumptions, leave and ask
for pauses. Whole answers come without a length or chunks as well. One target of each
service is a process, which is killed and suspended. Gateways are stopped in turn, told
of new settings and configurations, killed and suspended, also several of it at once,
and the store is away, or comes back from an older copy. Callers use kept connections
until they are closed, speak HTTP/1.0, or read slowly. The seed draws everything.
"""

import argparse
import asyncio
import contextlib
import random as random_module
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec

from benchmarks._soak_callers import DEADLINE_MS, CallerRecord, SoakCaller
from benchmarks._soak_losses import LossJudge, PlannedWork, find_evacuated
from benchmarks._soak_target_process import TargetProcess
from benchmarks._soak_targets import (
    SPOILED_ANSWERS,
    Framings,
    SoakTarget,
    TargetRecord,
)
from carobroute.domain import CallClass, ServiceShare
from carobroute.platform import TARGET_TABLE
from carobroute.standins._faults import Faults
from carobroute.standins._platform import PlatformStandIn
from carobroute.testing import GatewayRun
from carobroute.testing.gateway_data import (
    make_configuration,
    make_route,
    make_service,
)
from carobroute.utils import Clock

GATEWAYS = 3
CALLERS = 12
# Time after the last fault in which service must be whole again, and in which it is
# then judged.
RECOVERY_S = 8.0
CALM_S = 3.0
MIN_FAULT_GAP_S = 0.3
MAX_FAULT_GAP_S = 1.5
# Time from the stop signal to the kill, and for which a target serves after it has
# reported that it leaves; from the users' sheets.
GRACE_S = 8.0
DRAIN_S = 2.0
# Kinds of faults that are drawn, by the kind of the run: all of them, or planned work
# beside targets alone.
PLANNED_KINDS = (
    ["planned stop"] * 4
    + ["stops in turn"]
    + ["configuration", "hangup", "leave", "answers"] * 3
)
ALL_KINDS = (
    ["answers"] * 6
    + ["planned stop", "configuration", "hangup", "leave"] * 2
    + ["kill", "stop", "suspend", "store away", "store older", "stops in turn"]
)
# Kinds that are drawn beside these, and what several faults at once are made of.
FURTHER_KINDS = ("several", "several", "target kill", "target suspend")
SEVERAL_PLANNED = ("planned stop", "planned stop", "hangup", "configuration")
SEVERAL_OF_ALL = (*SEVERAL_PLANNED, "suspend", "suspend", "kill")
# Part of the runs in which a data centre is evacuated, for longer than until the last
# call may arrive there.
EVACUATION_RATIO = 0.5
MIN_EVACUATION_S, MAX_EVACUATION_S = 6.0, 9.0
MIN_FURTHER_GAP_S, MAX_FURTHER_GAP_S = 1.0, 4.0
# Cuts that look complete where no retry is left for a confirmation: the limits named in
# docs/design/stream-ends.md.
UNPROVEN_CUTS = "cut none "
NO_RETRIES_RATIO = 1 / 3
NO_RETRIES = {"retry_share": 0.0, "retry_slack": 0.0}
FRAMING_RATIOS = (0.0, 0.05, 0.2, 0.3, 0.6, 1.0)
CLOSE_S = 0.1
# Violations and lines of a run of which the log lines are told.
MAX_EXPLAINED = 20
MAX_STORM = 6
# Gateways of a large fleet that are stopped one after the other.
MAX_IN_TURN = 4
MAX_STORM_GAP_S = 0.3
# Processes that start at once: each needs 0.7 s of processor time to be ready, which
# fifty at once did not get in time on a busy machine.
MAX_STARTING = 4
# Exit statuses of processes that were stopped or killed.
PLANNED_STATUSES = (0, -signal.SIGKILL)
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
    name="lookup",
    path_prefix="/stock/",
    max_attempts=3,
    timeout_ms=DEADLINE_MS,
    allows_anonymous=True,
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


class SoakPlan(msgspec.Struct, frozen=True, kw_only=True):
    """What a run plays.

    Parameters
    ----------
    framings : Framings
        Framings of whole answers.
    stream_attempts : int
        Targets to which a stream may be sent.
    has_retries : bool
        Whether the retry budget holds any.
    faults : list of PlannedFault
        Faults, in the order of their beginning.
    """

    framings: Framings
    stream_attempts: int = 3
    has_retries: bool = True
    faults: list[PlannedFault]

    def __str__(self) -> str:
        lines = [
            f"{self.framings.ratio:.0%} of whole answers without framing, by"
            f" {self.framings.by}; streams have {self.stream_attempts} attempts"
            f"{'' if self.has_retries else '; no retries'}"
        ]
        lines += [
            f"{fault.number:3} {fault.at_s:6.2f} s {fault.kind} {fault.how}"
            f" {fault.which} for {fault.for_s} s"
            for fault in self.faults
        ]
        return "\n".join(lines)


def make_plan(seed: int, seconds: float, *, has_further: bool = True) -> SoakPlan:
    """Return what a seed plays.

    Parameters
    ----------
    seed : int
        Seed of the run.
    seconds : float
        Time in which faults begin.
    has_further : bool, default=True
        Whether it has several faults at once, those of target processes, and runs
        without retries. Seeds that failed before there were these are played without.
    """
    rng = random_module.Random(seed)
    kinds = rng.choice([PLANNED_KINDS, ALL_KINDS])
    framings = Framings(
        by=rng.choice(["call", "attempt", "target"]), ratio=rng.choice(FRAMING_RATIOS)
    )
    attempts = rng.choice([2, 3])
    faults: list[PlannedFault] = []
    at_s = 1.0
    while at_s < seconds:
        kind = rng.choice(kinds)
        faults.append(
            PlannedFault(
                number=len(faults),
                at_s=round(at_s, 2),
                for_s=round(rng.uniform(0.3, 2.5), 2),
                kind=kind,
                which=rng.randrange(1_000),
                how=rng.choice(sorted(SPOILED_ANSWERS)) if kind == "answers" else "",
            )
        )
        at_s += rng.uniform(MIN_FAULT_GAP_S, MAX_FAULT_GAP_S)
    if not has_further:
        return SoakPlan(framings=framings, stream_attempts=attempts, faults=faults)
    # Drawn apart, so that the faults above are those that a seed always had.
    further = random_module.Random(f"{seed} further")
    has_retries = further.random() >= NO_RETRIES_RATIO
    at_s = further.uniform(MIN_FURTHER_GAP_S, MAX_FURTHER_GAP_S)
    while at_s < seconds:
        faults.append(
            PlannedFault(
                number=len(faults),
                at_s=round(at_s, 2),
                for_s=round(further.uniform(0.3, 2.5), 2),
                kind=further.choice(FURTHER_KINDS),
                which=further.randrange(1_000),
                how="planned" if kinds is PLANNED_KINDS else "all",
            )
        )
        at_s += further.uniform(MIN_FURTHER_GAP_S, MAX_FURTHER_GAP_S)
    evacuation = random_module.Random(f"{seed} evacuation")
    if evacuation.random() < EVACUATION_RATIO:
        faults.append(
            PlannedFault(
                number=len(faults),
                at_s=round(evacuation.uniform(0.5, max(1.0, seconds / 3)), 2),
                for_s=round(evacuation.uniform(MIN_EVACUATION_S, MAX_EVACUATION_S), 2),
                kind="evacuate",
                which=evacuation.randrange(1_000),
            )
        )
    if not has_retries:
        faults = [fault for fault in faults if not fault.how.startswith(UNPROVEN_CUTS)]
    return SoakPlan(
        framings=framings,
        stream_attempts=attempts,
        has_retries=has_retries,
        faults=faults,
    )


class GatewaySoak:
    """One run of the soak.

    Parameters
    ----------
    directory : Path
        Where the processes' settings are written.
    seed : int
        Seed of the plan and of the load.
    plan : SoakPlan
        What is played.
    mistake : str, default=""
        Code that the gateways run before they start, to seed a mistake.
    recovery_s : float, default=RECOVERY_S
        Time after the last fault in which service must be whole again.
    gateways, callers : int
        Numbers of processes and of callers.
    way : str, default=""
        How all callers call; each in its own way if empty.
    """

    def __init__(
        self,
        *,
        directory: Path,
        seed: int,
        plan: SoakPlan,
        mistake: str = "",
        recovery_s: float = RECOVERY_S,
        gateways: int = GATEWAYS,
        callers: int = CALLERS,
        way: str = "",
    ):
        self._plan = plan
        self._recovery_s = recovery_s
        self._random = random_module.Random(seed + 1)
        self._record = TargetRecord()
        self._work = PlannedWork()
        self._judge = LossJudge(work=self._work, record=self._record)
        self._platform = PlatformStandIn(clock=Clock())
        streams = msgspec.structs.replace(
            STREAM_ROUTE, max_attempts=plan.stream_attempts
        )
        self._routes = [ORDER_ROUTE, LOOKUP_ROUTE, streams]
        self._configuration = make_configuration(
            routes=self._routes, services=[make_service(), make_service(name="model")]
        )
        self._runs = [
            GatewayRun(
                directory=directory,
                configuration=self._configuration,
                name=f"gateway-{number}",
                platform=self._platform,
                stop_ms=GRACE_S * 1_000,
                patch=mistake,
                **({} if plan.has_retries else NO_RETRIES),
            )
            for number in range(gateways)
        ]
        # The first of each service is a process.
        self._targets: list[SoakTarget | TargetProcess] = [
            (SoakTarget if number else TargetProcess)(
                name=f"{service}-{number}",
                service=service,
                record=self._record,
                framings=plan.framings,
            )
            for service, count in (("orders", 3), ("model", 4))
            for number in range(count)
        ]
        self._calls: list[CallerRecord] = []
        self._callers = [
            SoakCaller(
                number=number,
                runs=self._runs,
                random=random_module.Random(f"{seed} {number}"),
                on_call=self._calls.append,
                way=way,
            )
            for number in range(callers)
        ]
        self._faults: dict[str, Callable[[PlannedFault], Awaitable[None]]] = {
            "answers": self._spoil_answers,
            "planned stop": self._stop_as_planned,
            "stops in turn": self._stop_in_turn,
            "configuration": self._change_configuration,
            "hangup": self._hang_up,
            "leave": self._leave,
            "kill": self._kill,
            "stop": self._stop,
            "suspend": self._suspend,
            "store away": self._lose_store,
            "store older": self._restore_store,
            "several": self._play_several,
            "target kill": self._kill_target,
            "target suspend": self._suspend_target,
            "evacuate": self._evacuate,
        }
        # Gateways that are down or about to be, those that are not ready yet, targets
        # that leave, and incarnations that have left.
        self._ending: set[int] = set()
        self._starting: set[int] = set()
        self._leaving: set[int] = set()
        self._left: list[str] = []
        # Data centres that are to get nothing new.
        self._evacuated: set[str] = set()
        # Processes that ended by themselves.
        self._ended: list[str] = []
        self._began_s = 0.0
        self._calm_from_s = float("inf")
        self._lost: dict[str, str] = {}

    async def run(self) -> list[str]:
        """Play the plan, and return the violations."""
        for target in self._targets:
            await target.start()
            self._runs[0].list_target(target.entry())
        tasks: list[asyncio.Task[None]] = []
        try:
            for begin in range(0, len(self._runs), MAX_STARTING):
                batch = self._runs[begin : begin + MAX_STARTING]
                await asyncio.gather(*(run.start() for run in batch))
            began_s = self._began_s = time.monotonic()
            tasks += [asyncio.create_task(caller.run()) for caller in self._callers]
            faults = [
                asyncio.create_task(self._play(fault, began_s))
                for fault in self._plan.faults
            ]
            tasks += faults
            await asyncio.gather(*faults)
            await asyncio.sleep(self._recovery_s)
            self._calm_from_s = time.monotonic()
            await asyncio.sleep(CALM_S)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for number, run in enumerate(self._runs):
                if not run.is_running:
                    self._ended.append(f"ENDED gateway-{number} by itself")
                await run.stop()
            for target in self._targets:
                await target.close()
            await asyncio.sleep(CLOSE_S)
        return self._find_violations()

    def summary(self) -> str:
        """Return how many calls ended in which way, and both errors of their ends."""
        counts = Counter((call.kind, call.status) for call in self._calls)
        ends = " ".join(
            f"{kind}/{status}={count}"
            for (kind, status), count in sorted(counts.items())
        )
        record = self._record
        arrived = [call for call in self._calls if call.request_id in record.arrived]
        broken = [call for call in arrived if call.request_id in record.broken]
        cut = sum(self._judge.is_cut(call) for call in arrived)
        short = sum(call.is_short for call in arrived)
        around = Counter(self._lost.values())
        lost = ", ".join(f"{around[name]} {name}" for name in sorted(around)) or "0"
        return (
            f"{ends}\n"
            f"whole at their targets: {len(arrived) - len(broken)}, of them cut at any"
            f" time: {cut}, LOST: {lost}\n"
            f"broken off by targets: {len(broken)}; complete in looks and short"
            f" (ORDER, MIXED): {short}"
        )

    def find_cut(self) -> list[str]:
        """Return whole answers that were cut at any time, and late failures."""
        _, failed = self._find_calm()
        cut = [call for call in self._calls if self._judge.is_cut(call)]
        return [f"cut {call.request_id} {self._tell(call)}" for call in cut] + [
            f"failed {call.request_id} {self._tell(call)}" for call in failed
        ]

    def lines_of(self, request_id: str) -> list[str]:
        """Return the log lines of gateways that name a request."""
        return [
            line
            for run in self._runs
            for line in run.lines
            if f"request={request_id} " in line
        ]

    # Faults.

    def _signal(self, run: GatewayRun, number: int) -> None:
        """Send a signal to a process, whose end may not have been noticed yet."""
        with contextlib.suppress(ProcessLookupError):
            run.signal(number)

    async def _play(self, fault: PlannedFault, began_s: float) -> None:
        await asyncio.sleep(max(0.0, began_s + fault.at_s - time.monotonic()))
        await self._faults[fault.kind](fault)

    async def _spoil_answers(self, fault: PlannedFault) -> None:
        target = self._targets[fault.which % len(self._targets)]
        target.spoil(fault.how)
        await asyncio.sleep(fault.for_s)
        target.spoil("")

    async def _stop_as_planned(self, fault: PlannedFault) -> None:
        await self._replace(fault.which % len(self._runs))

    async def _stop_in_turn(self, fault: PlannedFault) -> None:
        for number in range(min(MAX_IN_TURN, len(self._runs))):
            await self._replace((fault.which + number) % len(self._runs))

    async def _replace(self, gateway: int) -> None:
        """Stop a process as the platform does, and start the next one at once.

        One that stops already gets a second signal.
        """
        run = self._runs[gateway]
        if not run.is_running or gateway in self._starting:
            return
        if gateway in self._ending:
            self._signal(run, signal.SIGTERM)
            return
        self._ending.add(gateway)
        self._signal(run, signal.SIGTERM)
        self._work.stops[gateway].append((time.monotonic(), GRACE_S))
        try:
            async with asyncio.timeout(GRACE_S):
                await run.wait_ended()
        except TimeoutError:
            self._signal(run, signal.SIGKILL)
        await self._start_again(gateway)

    async def _start_again(self, gateway: int) -> None:
        status = await self._runs[gateway].wait_ended()
        if status not in PLANNED_STATUSES:
            self._ended.append(f"ENDED gateway-{gateway} with status {status}")
        self._starting.add(gateway)
        await self._runs[gateway].restart()
        self._starting.discard(gateway)
        self._ending.discard(gateway)

    async def _change_configuration(self, fault: PlannedFault) -> None:
        """Write a number of versions, which add routes and take them away again."""
        rng = random_module.Random(fault.which)
        for _ in range(rng.randint(1, MAX_STORM)):
            version = self._configuration.version + rng.randint(1, 3)
            added = make_route(name=f"probe-{version}", path_prefix=f"/p{version}/")
            self._configuration = msgspec.structs.replace(
                self._configuration,
                version=version,
                routes=[*self._routes, added],
            )
            self._configure()
            await asyncio.sleep(rng.uniform(0.0, MAX_STORM_GAP_S))

    def _configure(self) -> None:
        self._runs[0].configure(self._configuration)
        self._work.configurations.append(time.monotonic())

    async def _hang_up(self, fault: PlannedFault) -> None:
        gateway = fault.which % len(self._runs)
        run = self._runs[gateway]
        if run.is_running and gateway not in self._starting:
            self._signal(run, signal.SIGHUP)
            self._work.hangups[gateway].append(time.monotonic())

    async def _leave(self, fault: PlannedFault) -> None:
        """Have a target leave the list, close its listener, and start anew."""
        number = fault.which % len(self._targets)
        if number in self._leaving:
            return
        self._leaving.add(number)
        target, left = self._targets[number], self._targets[number].incarnation
        self._left.append(left)
        if fault.which % 2:
            self._runs[0].list_target(target.entry(is_leaving=True))
        else:
            self._platform.write(TARGET_TABLE, left, None)
        await asyncio.sleep(DRAIN_S)
        await target.stop()
        await self._start_target(fault, number)

    async def _start_target(self, fault: PlannedFault, number: int) -> None:
        """Start a target that has left, whose entry may still be there."""
        target, left = self._targets[number], self._targets[number].incarnation
        await asyncio.sleep(fault.for_s)
        self._platform.write(TARGET_TABLE, left, None)
        await target.start()
        self._runs[0].list_target(target.entry())
        self._leaving.discard(number)

    def _find_process(self, fault: PlannedFault) -> tuple[int, TargetProcess]:
        """Return the target with a process of its own that a fault meets."""
        processes = [
            (number, target)
            for number, target in enumerate(self._targets)
            if isinstance(target, TargetProcess)
        ]
        return processes[fault.which % len(processes)]

    async def _kill_target(self, fault: PlannedFault) -> None:
        """Kill a target's process, whose entry stays until it has started anew."""
        number, target = self._find_process(fault)
        if number in self._leaving:
            target.signal(signal.SIGKILL)
            return
        self._leaving.add(number)
        self._left.append(target.incarnation)
        target.signal(signal.SIGKILL)
        await self._start_target(fault, number)

    async def _suspend_target(self, fault: PlannedFault) -> None:
        _, target = self._find_process(fault)
        target.signal(signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        target.signal(signal.SIGCONT)

    async def _play_several(self, fault: PlannedFault) -> None:
        """Play several faults at once, at a gateway and the next one."""
        rng = random_module.Random(fault.which)
        kinds = SEVERAL_PLANNED if fault.how == "planned" else SEVERAL_OF_ALL
        await asyncio.gather(
            *(
                self._play(
                    msgspec.structs.replace(
                        fault,
                        at_s=fault.at_s + rng.uniform(0.0, fault.for_s),
                        for_s=rng.uniform(0.1, fault.for_s),
                        kind=rng.choice(kinds),
                        which=fault.which + rng.randint(0, 1),
                    ),
                    self._began_s,
                )
                for _ in range(rng.randint(2, MAX_STORM))
            )
        )

    async def _kill(self, fault: PlannedFault) -> None:
        await self._restart(fault, signal.SIGKILL)

    async def _stop(self, fault: PlannedFault) -> None:
        await self._restart(fault, signal.SIGTERM)

    async def _restart(self, fault: PlannedFault, number: int) -> None:
        gateway = fault.which % len(self._runs)
        run = self._runs[gateway]
        if not run.is_running or gateway in self._starting:
            return
        began_s = time.monotonic()
        if gateway in self._ending:
            self._signal(run, number)
            if number == signal.SIGKILL:
                await run.wait_ended()
                self._work.disruptions[gateway].append((began_s, time.monotonic()))
            return
        self._ending.add(gateway)
        self._signal(run, number)
        if number == signal.SIGTERM:
            self._work.stops[gateway].append((began_s, GRACE_S))
        await run.wait_ended()
        await asyncio.sleep(fault.for_s)
        await self._start_again(gateway)
        if number == signal.SIGKILL:
            self._work.disruptions[gateway].append((began_s, time.monotonic()))

    async def _suspend(self, fault: PlannedFault) -> None:
        gateway = fault.which % len(self._runs)
        run = self._runs[gateway]
        if not run.is_running or gateway in self._starting:
            return
        pid, began_s = run.pid, time.monotonic()
        self._signal(run, signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        if run.is_running and run.pid == pid:
            self._signal(run, signal.SIGCONT)
        self._work.disruptions[gateway].append((began_s, time.monotonic()))

    async def _lose_store(self, fault: PlannedFault) -> None:
        began_s = time.monotonic()
        self._platform.faults.faults = Faults(outage=True)
        await asyncio.sleep(fault.for_s)
        self._platform.faults.faults = Faults()
        self._work.store_disruptions.append((began_s, time.monotonic()))

    async def _evacuate(self, fault: PlannedFault) -> None:
        """Ask that a data centre gets nothing new, and take that back later."""
        data_centre = "ab"[fault.which % 2]
        began_s = time.monotonic()
        self._evacuated.add(data_centre)
        self._runs[0].evacuate(data_centre)
        await asyncio.sleep(fault.for_s)
        self._evacuated.discard(data_centre)
        self._work.evacuations[data_centre].append((began_s, time.monotonic()))
        self._runs[0].evacuate(data_centre, is_over=True)

    async def _restore_store(self, fault: PlannedFault) -> None:
        """Have the store come back older, and its writers write what they know."""
        copy = self._platform.rows.copy()
        await asyncio.sleep(fault.for_s)
        began_s = time.monotonic()
        self._platform.restore(copy)
        self._configure()
        for data_centre in "ab":
            is_over = data_centre not in self._evacuated
            self._runs[0].evacuate(data_centre, is_over=is_over)
        for left in self._left:
            self._platform.write(TARGET_TABLE, left, None)
        for number, target in enumerate(self._targets):
            if number not in self._leaving:
                self._runs[0].list_target(target.entry())
        self._work.store_disruptions.append((began_s, time.monotonic()))

    # Checks.

    def _find_violations(self) -> list[str]:
        found = self._ended.copy()
        self._lost = self._judge.find_lost(self._calls)
        for call in self._calls:
            rules = self._find_broken(call)
            if call.request_id in self._lost:
                rules.append("LOST")
            found += [f"{rule} {call.request_id} {self._tell(call)}" for rule in rules]
        found += [
            f"EVAC {request_id}"
            for request_id in find_evacuated(self._calls, self._work, self._record)
        ]
        calm, failed = self._find_calm()
        if failed or not calm:
            found.append(f"RECOVER {len(failed)} of {len(calm)} calls after the faults")
        return found

    def _find_calm(self) -> tuple[list[CallerRecord], list[CallerRecord]]:
        """Return the calls after the faults, and those of them that failed."""
        calm = [call for call in self._calls if call.sent_s >= self._calm_from_s]
        failed = [call for call in calm if call.status != 200 or not call.is_complete]
        return calm, failed

    def _tell(self, call: CallerRecord) -> str:
        """Return what was seen of a call, in a few words."""
        begin_s, end_s = (at_s - self._began_s for at_s in (call.sent_s, call.ended_s))
        words = [
            f"{call.kind} {call.way} gateway-{call.gateway}",
            f"{begin_s:.2f} to {end_s:.2f} s status {call.status}",
            f"{call.size} of {len(call.whole_body)} bytes",
            "complete" if call.is_complete else "cut",
            *(["reset"] if call.is_reset else []),
            *(["kept"] if call.is_kept else []),
            f"runs {self._record.runs[call.request_id]}",
            *(["broken off"] if call.request_id in self._record.broken else []),
        ]
        if call.request_id in self._lost:
            words.append(f"around {self._lost[call.request_id]}")
        return ", ".join(words)

    def _find_broken(self, call: CallerRecord) -> list[str]:
        """Return the rules that are broken by what a caller saw, and its targets."""
        runs = self._record.runs[call.request_id]
        broken = []
        if call.kind == "drafts":
            if call.status == 200 and not call.is_prefix:
                broken.append("MIXED")
            elif call.is_short:
                broken.append("ORDER")
        elif call.status == 200 and call.is_complete and not call.is_whole:
            broken.append("MIXED")
        if call.kind == "orders":
            if runs > 1:
                broken.append("TWICE")
            if call.status in PROMISES and runs:
                broken.append("REFUSED")
        return broken


class SoakResult(msgspec.Struct, frozen=True, kw_only=True):
    """What a run has shown.

    Parameters
    ----------
    violations : list of str
        Broken rules, each with its request.
    summary : str
        How the calls ended.
    lines : list of str
        Whole answers that were cut at any time, calls that failed after the faults,
        and log lines of the first of them and of the first violations.
    """

    violations: list[str]
    summary: str
    lines: list[str]


async def play(
    seed: int,
    seconds: float,
    numbers: set[int] | None = None,
    mistake: str = "",
    *,
    gateways: int = GATEWAYS,
    callers: int = CALLERS,
    has_further: bool = True,
) -> SoakResult:
    """Play a seed, and return what it has shown.

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
    gateways, callers : int
        Numbers of processes and of callers.
    has_further : bool, default=True
        Whether the plan has what was added to seeds later.
    """
    plan = make_plan(seed, seconds, has_further=has_further)
    if numbers is not None:
        faults = [fault for fault in plan.faults if fault.number in numbers]
        plan = msgspec.structs.replace(plan, faults=faults)
    with tempfile.TemporaryDirectory() as directory:
        soak = GatewaySoak(
            directory=Path(directory),
            seed=seed,
            plan=plan,
            mistake=mistake,
            gateways=gateways,
            callers=callers,
        )
        violations = await soak.run()
        cut = soak.find_cut()
        told = [*violations[:MAX_EXPLAINED], *cut[:MAX_EXPLAINED]]
        requests = sorted({line.split()[1] for line in told})
        lines = cut + [line for request in requests for line in soak.lines_of(request)]
        return SoakResult(violations=violations, summary=soak.summary(), lines=lines)


def main() -> None:
    """Run the soak."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--only", type=int, nargs="*", help="numbers of faults")
    parser.add_argument("--without", type=int, nargs="*", default=[])
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--gateways", type=int, default=GATEWAYS)
    parser.add_argument("--callers", type=int, default=CALLERS)
    parser.add_argument("--logs", action="store_true", help="lines of broken calls")
    parser.add_argument(
        "--plain", action="store_true", help="without what was added to seeds later"
    )
    options = parser.parse_args()
    seconds = 15.0 if options.quick else options.seconds
    plan = make_plan(options.seed, seconds, has_further=not options.plain)
    numbers = {fault.number for fault in plan.faults}
    if options.only is not None:
        numbers &= set(options.only)
    numbers -= set(options.without)
    faults = [fault for fault in plan.faults if fault.number in numbers]
    print(msgspec.structs.replace(plan, faults=faults))
    result = asyncio.run(
        play(
            options.seed,
            seconds,
            numbers,
            gateways=options.gateways,
            callers=options.callers,
            has_further=not options.plain,
        )
    )
    print(result.summary)
    for line in [*result.violations, *(result.lines if options.logs else [])]:
        print(line)
    count = len(result.violations)
    met = "no" if count else "yes"
    print(f"RESULT name=gateway-soak value={count} target=0 met={met}")
    sys.exit(1 if count else 0)


if __name__ == "__main__":
    main()
