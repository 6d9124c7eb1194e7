"""Faults of the order benchmark, each held for one phase of the run."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec

from carobroute.testing import Child, FaultyFleet, FleetShape, FleetTarget
from carobroute.utils import Registry

DESK = Path("examples/vatukoula")
PAUSE_S = 4.0
SETTLE_S = 1.0
ORDER_CALL_MS = 3_000.0


def make_order_fleet(directory: Path, seed: int) -> FaultyFleet:
    """Return the plain services of one desk behind the fault proxy, not started."""
    shape = FleetShape(
        entries=3,
        models=0,
        seed=seed,
        team_fields={"requests_per_s": 0},
        settings={
            "log": {"level": "error"},
            "local": {"longest_call_ms": ORDER_CALL_MS},
        },
    )
    return FaultyFleet(desk=DESK, directory=directory, shape=shape, seed=seed)


class FaultPhase(msgspec.Struct, frozen=True, kw_only=True):
    """What a fault needs to act.

    Parameters
    ----------
    fleet : FaultyFleet
        The processes.
    generator : random.Random
        Chooses victims and times.
    """

    fleet: FaultyFleet
    generator: random.Random

    @property
    def target(self) -> FleetTarget:
        """A target chosen at random."""
        return self.generator.choice(self.fleet.targets)

    async def set_store(self, **faults: Any) -> None:
        """Set the faults of the platform's stand-in."""
        url = f"{self.fleet.platform.address}/_admin/faults"
        async with self.fleet.session.post(url, json=faults) as response:
            response.raise_for_status()

    async def wait(self, least_s: float, most_s: float) -> None:
        """Wait for a random time."""
        await asyncio.sleep(self.generator.uniform(least_s, most_s))


Fault = Callable[[FaultPhase], Awaitable[None]]

order_faults: Registry[Fault] = Registry(kind="fault of the order benchmark")
"""Each acts until it is cancelled, and then takes back what it did."""


@order_faults.register("none")
async def no_fault(phase: FaultPhase) -> None:
    """Leave everything as it is."""
    await asyncio.Event().wait()


@order_faults.register("local killed")
async def kill_local(phase: FaultPhase) -> None:
    """Kill local processes and start others in their place."""
    while True:
        await phase.wait(0.3, 1.0)
        target = phase.target
        await target.local.kill()
        await asyncio.shield(phase.fleet.start_local(target))
        await phase.wait(2.0, 4.0)


@order_faults.register("entry killed")
async def kill_entry(phase: FaultPhase) -> None:
    """Kill entries and start others in their place."""
    while True:
        await phase.wait(0.3, 1.0)
        number = phase.generator.randrange(len(phase.fleet.entries))
        await phase.fleet.entries[number].kill()
        await asyncio.shield(phase.fleet.start_entry(number))


async def _pause(phase: FaultPhase, child: Child) -> None:
    child.pause()
    try:
        await phase.wait(0.5, PAUSE_S)
    finally:
        child.resume()


@order_faults.register("local paused")
async def pause_local(phase: FaultPhase) -> None:
    """Stop local processes with SIGSTOP, also beyond the lease of a claim."""
    while True:
        await phase.wait(0.2, 0.8)
        await _pause(phase, phase.target.local)


@order_faults.register("local paused and replaced")
async def replace_paused_local(phase: FaultPhase) -> None:
    """Start a second local process beside a target while the first is stopped."""
    while True:
        await phase.wait(0.2, 0.8)
        target = phase.target
        earlier = target.local
        earlier.pause()
        # The second one is reached at the same link address, as a replacement may be.
        try:
            await asyncio.shield(phase.fleet.start_local(target))
            await phase.wait(0.5, 2.0)
        finally:
            earlier.resume()
        await phase.wait(1.0, 2.0)
        await earlier.kill()


@order_faults.register("entry paused")
async def pause_entry(phase: FaultPhase) -> None:
    """Stop entries with SIGSTOP."""
    while True:
        await phase.wait(0.2, 0.8)
        await _pause(phase, phase.generator.choice(phase.fleet.entries))


@order_faults.register("links silent")
async def silence_links(phase: FaultPhase) -> None:
    """Silence open connections between entries and local processes for good."""
    while True:
        await phase.wait(1.0, 3.0)
        phase.fleet.link_port(f"local-{phase.target.name}").silence()


@order_faults.register("target calls silent")
async def silence_calls(phase: FaultPhase) -> None:
    """Silence open connections between local processes and targets, either way."""
    fleet = phase.fleet
    ports = [fleet.target_port(target.name) for target in fleet.targets]
    for port in ports:
        port.faults.delay_ms = 20.0
    try:
        while True:
            await phase.wait(0.05, 0.3)
            one_way = phase.generator.random() < 0.5
            phase.generator.choice(ports).silence(up=one_way, down=not one_way)
    finally:
        for port in ports:
            port.heal()


@order_faults.register("store answers lost")
async def lose_store_answers(phase: FaultPhase) -> None:
    """Cut connections to the store after a write took effect, and before."""
    try:
        await phase.set_store(lose_answer=0.25, lose_call=0.1)
        await asyncio.Event().wait()
    finally:
        await phase.set_store()


@order_faults.register("store silent and slow")
async def slow_store(phase: FaultPhase) -> None:
    """Silence open connections to the store, which is slow besides."""
    try:
        await phase.set_store(delay_ms=20, jitter_ms=200)
        while True:
            await phase.wait(0.5, 1.5)
            for port in phase.fleet.platform_ports:
                port.silence()
    finally:
        await phase.set_store()


@order_faults.register("store outage")
async def outage(phase: FaultPhase) -> None:
    """Let the store refuse everything, or answer nothing, for seconds."""
    try:
        while True:
            await phase.wait(0.3, 1.0)
            silent = phase.generator.random() < 0.5
            await phase.set_store(outage=not silent, silent=silent)
            await phase.wait(1.0, 4.0)
            await end_outage(phase)
    finally:
        await end_outage(phase)


async def end_outage(phase: FaultPhase) -> None:
    """Let the store answer again, on new connections."""
    await phase.set_store()
    for port in phase.fleet.platform_ports:
        port.cut()


@order_faults.register("several together")
async def several(phase: FaultPhase) -> None:
    """Kill, pause, silence and lose answers at the same time."""
    parts = (kill_local, pause_entry, silence_links, lose_store_answers)
    tasks = [asyncio.create_task(part(phase)) for part in parts]
    try:
        await asyncio.gather(*tasks)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
