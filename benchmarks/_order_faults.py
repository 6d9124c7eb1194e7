"""Faults of the order benchmark, each held for one phase of the run."""

import asyncio
import random
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec

from carobroute.testing import (
    Child,
    FaultProxy,
    Fleet,
    FleetShape,
    FleetTarget,
    ProxiedPort,
)
from carobroute.utils import Registry

DESK = Path("examples/vatukoula")
PAUSE_S = 4.0
SETTLE_S = 1.0
ORDER_CALL_MS = 3_000.0


class ProxiedFleet(Fleet):
    """Plain services of one desk; every connection to a server passes the proxy.

    Parameters
    ----------
    proxy : FaultProxy
        The proxy.
    directory : Path
        Where settings files are written.
    seed : int
        Seed of the stand-ins.
    """

    def __init__(self, *, proxy: FaultProxy, directory: Path, seed: int):
        shape = FleetShape(
            entries=3,
            models=0,
            seed=seed,
            team_fields={"requests_per_s": 0},
            settings={"log": {"level": "error"}},
        )
        super().__init__(desk=DESK, directory=directory, shape=shape)
        self.proxy = proxy
        self.links: dict[str, ProxiedPort] = {}
        self.calls: dict[str, ProxiedPort] = {}
        self.store: ProxiedPort
        self.store_url = ""
        self._link_ports: dict[str, int] = {}

    async def start_local(self, target: FleetTarget, *, url: str = "") -> None:
        """Start or replace the local process beside a target."""
        name = target.name
        if name not in self.links:
            self._link_ports[name] = _free_port()
            self.links[name] = await self.proxy.port(
                f"127.0.0.1:{self._link_ports[name]}"
            )
            self.calls[name] = await self.proxy.port(target.stand_in.address)
        await super().start_local(target, url=f"http://{self.calls[name].address}")

    async def set_store(self, **faults: Any) -> None:
        """Set the faults of the platform's stand-in."""
        url = f"{self.store_url}/_admin/faults"
        async with self.session.post(url, json=faults) as response:
            response.raise_for_status()

    async def _stand_in(self, kind: str, *options: str, port: int = 0) -> Child:
        child = await super()._stand_in(kind, *options, port=port)
        if kind == "platform":
            self.store_url = child.address
            self.store = await self.proxy.port(child.address)
            child.ready["address"] = f"http://{self.store.address}"
        return child

    def _write_settings(self, name: str, sections: dict[str, Any]) -> Path:
        target = name.removeprefix("local-")
        if target in self.links:
            sections = {
                **sections,
                "local": {**sections["local"], "longest_call_ms": ORDER_CALL_MS},
                "links": {
                    "bind": f"tcp://127.0.0.1:{self._link_ports[target]}",
                    "announce": f"tcp://{self.links[target].address}",
                },
            }
        return super()._write_settings(name, sections)


class FaultPhase(msgspec.Struct, frozen=True, kw_only=True):
    """What a fault needs to act.

    Parameters
    ----------
    fleet : ProxiedFleet
        The processes.
    generator : random.Random
        Chooses victims and times.
    """

    fleet: ProxiedFleet
    generator: random.Random

    @property
    def target(self) -> FleetTarget:
        """A target chosen at random."""
        return self.generator.choice(self.fleet.targets)

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
        # The second one takes the same link address, as a replacement would.
        try:
            await asyncio.shield(_replace(phase.fleet, target))
            await phase.wait(0.5, 2.0)
        finally:
            earlier.resume()
        await phase.wait(1.0, 2.0)
        await earlier.kill()


async def _replace(fleet: ProxiedFleet, target: FleetTarget) -> None:
    port = fleet._link_ports[target.name] = _free_port()
    fleet.links[target.name].forward_to(f"127.0.0.1:{port}")
    await fleet.start_local(target)


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
        phase.fleet.links[phase.target.name].silence(up=True, down=True)


@order_faults.register("target calls silent")
async def silence_calls(phase: FaultPhase) -> None:
    """Silence open connections between local processes and targets, either way."""
    ports = list(phase.fleet.calls.values())
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
        await phase.fleet.set_store(lose_answer=0.25, lose_call=0.1)
        await asyncio.Event().wait()
    finally:
        await phase.fleet.set_store()


@order_faults.register("store silent and slow")
async def slow_store(phase: FaultPhase) -> None:
    """Silence open connections to the store, which is slow besides."""
    try:
        await phase.fleet.set_store(delay_ms=20, jitter_ms=200)
        while True:
            await phase.wait(0.5, 1.5)
            phase.fleet.store.silence()
    finally:
        await phase.fleet.set_store()


@order_faults.register("store outage")
async def outage(phase: FaultPhase) -> None:
    """Let the store refuse everything, or answer nothing, for seconds."""
    try:
        while True:
            await phase.wait(0.3, 1.0)
            silent = phase.generator.random() < 0.5
            await phase.fleet.set_store(outage=not silent, silent=silent)
            await phase.wait(1.0, 4.0)
            await phase.fleet.set_store()
            phase.fleet.store.cut()
    finally:
        await phase.fleet.set_store()
        phase.fleet.store.cut()


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


def _free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return listener.getsockname()[1]
