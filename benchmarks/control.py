"""Cost of control for each node, and what it comes to at 1,250 nodes.

Real processes that run the product's links, membership, tickets and duties hold a
configuration of the letter's size. Processor time, private memory and bytes are read
from the kernel, reads and writes of the table from the platform stand-in. Tickets are
filed at twelve times the letter's rate. A straight line is fitted through the sizes
measured and read off at 1,250 nodes; bridges, which do more, are fitted apart.
"""

import argparse
import asyncio
import random
import time

import msgspec
import numpy as np

from benchmarks._control_fleet import ControlFleet, ControlProcess
from benchmarks._process_costs import read_costs
from benchmarks.tickets import Operators
from carobroute.testing import make_service, make_target, make_team, make_ticket

NODES = 1_250
DATA_CENTRES = 11
BRIDGES_PER_DATA_CENTRE = 2
GROUPS = 116
TEAMS = 4_900
TARGETS = 920
TEAMS_PER_TICKET = 1_000
TICKET_INTERVAL_S = 10.0

CPU_TARGET = 0.016
BYTES_TARGET = 13_000.0
MEMORY_TARGET = 32e6
READS_TARGET = 2_000.0
WRITES_TARGET = 300.0

# Planning duties: each is renewed by its holder and watched by one more process.
LEASE_TEND_S = 4.0
DUTY_WRITES = GROUPS / LEASE_TEND_S
DUTY_READS = GROUPS / LEASE_TEND_S


class Shape(msgspec.Struct, frozen=True, kw_only=True):
    """Sizes and times of one run."""

    sizes: list[int]
    warm_up_s: float
    window_s: float


FULL = Shape(sizes=[20, 40, 80, 160], warm_up_s=10.0, window_s=15.0)
QUICK = Shape(sizes=[12, 40], warm_up_s=3.0, window_s=7.0)


class Sample(msgspec.Struct, frozen=True, kw_only=True):
    """Means of one size over one window."""

    nodes: int
    cpu: float
    bytes_per_s: float
    memory: float
    bridge_cpu: float
    bridge_bytes_per_s: float
    reads_per_s: float
    writes_per_s: float


async def load_configuration(operators: Operators) -> None:
    """File a configuration of the letter's size."""
    targets = [make_target(f"runner-{i}") for i in range(TARGETS)]
    assert await operators.file(make_ticket(make_service(), *targets))
    digest = "ab" * 32
    for start in range(0, TEAMS, TEAMS_PER_TICKET):
        names = range(start, min(TEAMS, start + TEAMS_PER_TICKET))
        teams = [make_team(f"team-{i}", key_hashes=[digest]) for i in names]
        assert await operators.file(make_ticket(*teams, based_on=1))


async def measure(count: int, seed: int, shape: Shape) -> Sample:
    """Run `count` processes and measure them for a while."""
    async with ControlFleet(seed=seed) as fleet:
        await fleet.start_many(count, operators=3, proxied=0)
        operators = Operators(fleet=fleet, random=random.Random(seed))
        await load_configuration(operators)
        await asyncio.sleep(shape.warm_up_s)
        runs = fleet.living
        pids = [run.child.pid for run in runs]
        before, table_before = read_costs(pids), await fleet.record("counts")
        start_s = time.monotonic()
        while (left_s := shape.window_s - (time.monotonic() - start_s)) > 0:
            await operators.change_one()
            await asyncio.sleep(min(TICKET_INTERVAL_S, left_s))
        after, table_after = read_costs(pids), await fleet.record("counts")
        took_s = time.monotonic() - start_s
        counts = [await fleet.counts(run) for run in runs]
        bridges = [bool(entry["bridge"]) for entry in counts]
        cpu = [(after[p].cpu_s - before[p].cpu_s) / took_s for p in pids]
        net = [after[p].network_since(before[p]) / took_s for p in pids]
        memory = [after[p].memory_bytes for p in pids]
        return Sample(
            nodes=count,
            cpu=_mean(cpu, bridges, False),
            bytes_per_s=_mean(net, bridges, False),
            memory=float(np.mean(memory)),
            bridge_cpu=_mean(cpu, bridges, True),
            bridge_bytes_per_s=_mean(net, bridges, True),
            reads_per_s=(table_after["reads"] - table_before["reads"]) / took_s,
            writes_per_s=(table_after["writes"] - table_before["writes"]) / took_s,
        )


async def bare_memory(seed: int) -> float:
    """Return the private memory of one process alone, without a configuration."""
    async with ControlFleet(seed=seed) as fleet:
        run: ControlProcess = await fleet.start_one("node-0")
        return float(read_costs([run.child.pid])[run.child.pid].memory_bytes)


def _mean(values: list[float], bridges: list[bool], wanted: bool) -> float:
    picked = [v for v, b in zip(values, bridges, strict=True) if b is wanted]
    return float(np.mean(picked)) if picked else float(np.mean(values))


def at_size(samples: list[Sample], field: str) -> tuple[float, float]:
    """Return the slope by node, and the fitted value at `NODES`."""
    sizes = [sample.nodes for sample in samples]
    values = [getattr(sample, field) for sample in samples]
    slope, offset = np.polyfit(sizes, values, 1)
    return float(slope), float(slope * NODES + offset)


async def run(shape: Shape, seed: int) -> bool:
    """Measure all sizes, print the table, and return whether all targets are met."""
    bare = await bare_memory(seed)
    samples = []
    print(
        f"{'nodes':>6}{'cpu %':>8}{'B/s':>8}{'MB':>7}{'bridge cpu %':>14}"
        f"{'bridge B/s':>12}{'reads/s':>9}{'writes/s':>10}"
    )
    for count in shape.sizes:
        sample = await measure(count, seed, shape)
        samples.append(sample)
        print(
            f"{count:6}{100 * sample.cpu:8.2f}{sample.bytes_per_s:8.0f}"
            f"{sample.memory / 1e6:7.1f}{100 * sample.bridge_cpu:14.2f}"
            f"{sample.bridge_bytes_per_s:12.0f}{sample.reads_per_s:9.1f}"
            f"{sample.writes_per_s:10.2f}",
            flush=True,
        )
    return report(samples, bare)


def report(samples: list[Sample], bare: float) -> bool:
    """Print the fits and return whether all targets are met."""
    bridges = BRIDGES_PER_DATA_CENTRE * (DATA_CENTRES - 3)
    rows = [
        ("cpu, share of a core", "cpu", CPU_TARGET, 0.0),
        ("cpu of a bridge", "bridge_cpu", CPU_TARGET, 0.0),
        ("bytes a second", "bytes_per_s", BYTES_TARGET, 0.0),
        ("bytes a second of a bridge", "bridge_bytes_per_s", BYTES_TARGET, 0.0),
        ("memory beyond a bare process", "memory", MEMORY_TARGET, -bare),
        ("table reads a second", "reads_per_s", READS_TARGET, bridges + DUTY_READS),
        ("table writes a second", "writes_per_s", WRITES_TARGET, DUTY_WRITES),
    ]
    print(f"bare process {bare / 1e6:.1f} MB")
    all_met = True
    for label, field, target, more in rows:
        slope, value = at_size(samples, field)
        value += more
        all_met &= value <= target
        print(
            f"{label:30} slope {slope:12.6g} a node, at {NODES} nodes"
            f" {value:12.6g}, target {target:g}"
        )
    return all_met


def main() -> None:
    """Run the benchmark and print its result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quick", action="store_true")
    arguments = parser.parse_args()
    shape = QUICK if arguments.quick else FULL
    met = asyncio.run(run(shape, arguments.seed))
    print(f"RESULT name=control value={int(met)} target=1 met={'yes' if met else 'no'}")


if __name__ == "__main__":
    main()
