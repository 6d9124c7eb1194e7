"""Faults that a soak run causes in a fleet, alone and in pairs, from a seed."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from carobroute.testing._faulty_fleet import FaultyFleet
from carobroute.utils import Registry

SHORT_S = 2.0
STOP_S = 5.0

Fault = Callable[[FaultyFleet, random.Random], Awaitable[None]]

random_faults: Registry[Fault] = Registry(kind="random fault")
"""Faults by name; each causes its fault, waits a while and takes it back."""


def _target(fleet: FaultyFleet, generator: random.Random):
    return generator.choice(fleet.targets)


@random_faults.register("link_silent")
async def _link_silent(fleet: FaultyFleet, generator: random.Random) -> None:
    name = f"local-{_target(fleet, generator).name}"
    up = generator.random() < 0.7
    fleet.link_port(name).silence(up=up, down=not up or generator.random() < 0.5)


@random_faults.register("link_cut")
async def _link_cut(fleet: FaultyFleet, generator: random.Random) -> None:
    fleet.link_port(f"local-{_target(fleet, generator).name}").cut()


@random_faults.register("link_slow")
async def _link_slow(fleet: FaultyFleet, generator: random.Random) -> None:
    faults = fleet.link_port(f"local-{_target(fleet, generator).name}").faults
    faults.delay_ms, faults.jitter_ms = 30.0, 200.0
    await asyncio.sleep(SHORT_S)
    faults.delay_ms, faults.jitter_ms = 0.0, 0.0


@random_faults.register("store_down")
async def _store_down(fleet: FaultyFleet, generator: random.Random) -> None:
    for port in fleet.platform_ports:
        port.faults.refuse = True
        port.cut()
    await asyncio.sleep(SHORT_S)
    for port in fleet.platform_ports:
        port.faults.refuse = False


@random_faults.register("store_answers_lost")
async def _store_answers_lost(fleet: FaultyFleet, generator: random.Random) -> None:
    for port in fleet.platform_ports:
        port.faults.drop_answers = generator.randint(1, 4)


@random_faults.register("store_slow")
async def _store_slow(fleet: FaultyFleet, generator: random.Random) -> None:
    for port in fleet.platform_ports:
        port.faults.delay_ms = 400.0
    await asyncio.sleep(SHORT_S)
    for port in fleet.platform_ports:
        port.faults.delay_ms = 0.0


@random_faults.register("target_answer_lost")
async def _target_answer_lost(fleet: FaultyFleet, generator: random.Random) -> None:
    fleet.target_port(_target(fleet, generator).name).faults.drop_answers = 1


@random_faults.register("target_cut")
async def _target_cut(fleet: FaultyFleet, generator: random.Random) -> None:
    fleet.target_port(_target(fleet, generator).name).cut()


@random_faults.register("local_paused")
async def _local_paused(fleet: FaultyFleet, generator: random.Random) -> None:
    local = _target(fleet, generator).local
    if not local.running:
        return
    local.pause()
    await asyncio.sleep(generator.uniform(0.5, 4.0))
    if local.running:
        local.resume()


@random_faults.register("local_killed")
async def _local_killed(fleet: FaultyFleet, generator: random.Random) -> None:
    target = _target(fleet, generator)
    await target.local.kill()
    await fleet.start_local(target)


@random_faults.register("local_restarted")
async def _local_restarted(fleet: FaultyFleet, generator: random.Random) -> None:
    target = _target(fleet, generator)
    await target.local.stop(timeout_s=STOP_S)
    await fleet.start_local(target)


@random_faults.register("entry_killed")
async def _entry_killed(fleet: FaultyFleet, generator: random.Random) -> None:
    number = generator.randrange(len(fleet.entries))
    await fleet.entries[number].kill()
    await fleet.start_entry(number)


async def cause_pair(fleet: FaultyFleet, generator: random.Random) -> list[str]:
    """Cause two random faults together and return their names."""
    names = generator.sample(sorted(random_faults), 2)
    # Each has a generator of its own, so that their interleaving changes nothing.
    faults = [
        random_faults.get(name)(fleet, random.Random(generator.random()))
        for name in names
    ]
    await asyncio.gather(*faults)
    return names
