"""What each role costs at the size that the product is designed for.

Slopes are measured here on the product's own objects and read off at that size; the
cost of control comes from `benchmarks.control`. Writes docs/CAPACITY.md with its
figures and docs/img/capacity.png.
"""

import argparse
import asyncio
import re
import subprocess
import sys
from pathlib import Path

import matplotlib
import msgspec
import numpy as np

from benchmarks import _slopes
from benchmarks._report import print_result, print_table
from carobroute.links import LinkParameters
from carobroute.requests._router import SUBSET_SIZE

matplotlib.use("Agg")

ENTRIES, RUNNERS, TEAMS, CENTRES = 330, 920, 4_900, 11
NODES = ENTRIES + RUNNERS
REQUESTS_PER_S, TOKENS_PER_S, TICKETS_PER_DAY = 5_900, 2_200_000, 680
MOST_CPU, MOST_MEMORY_MB, MOST_BYTES_PER_S = 0.016, 32.0, 13_000
S_PER_DAY = 86_400
MS_PER_S = 1_000
MB = 1e6
DOCS = Path("docs")
PAGE = DOCS / "CAPACITY.md"
BEGIN, END = "<!-- figures begin -->", "<!-- figures end -->"
CONTROL_LINE = re.compile(
    r"^(?P<name>.+?)\s+slope\s+(?P<slope>\S+) a node, at 1250 nodes\s+(?P<at>\S+),"
)


class Row(msgspec.Struct, kw_only=True):
    """One cost at size.

    Parameters
    ----------
    role, cost, mechanism : str
        Whose cost, of what, and the mechanism that carries it.
    formula : str
        How it comes from measured figures.
    value, budget : float
        Cost at size, and the most that it may be; 0 for no budget.
    unit : str
        Unit of both.
    """

    role: str
    cost: str
    mechanism: str
    formula: str
    value: float
    unit: str
    budget: float = 0.0

    @property
    def met(self) -> str:
        """Whether the budget is kept."""
        if not self.budget:
            return "-"
        return "yes" if self.value <= self.budget else "MISSED"

    @property
    def cells(self) -> list[str]:
        """Cells of the row in a table."""
        budget = f"{self.budget:,.4g}" if self.budget else "-"
        value = f"{self.value:,.4g}"
        return [
            self.role, self.cost, self.mechanism, self.formula,
            f"{value} {self.unit}", budget, self.met,
        ]  # fmt: skip


HEADER = ["role", "cost", "carried by", "from", "at size", "budget", "met"]


def entry_rows(
    slopes: dict[str, _slopes.Slope], ping: tuple[float, float]
) -> list[Row]:
    """Return the costs of an entry."""
    ping_bytes, ping_us = ping
    per_s = MS_PER_S / LinkParameters().ping_idle_ms
    share = REQUESTS_PER_S / ENTRIES
    tokens = TOKENS_PER_S / ENTRIES
    chunk_us = _slopes.chunk_us()
    ticket_us = slopes["ticket"].values[-1] + slopes["follow"].values[-1]
    return [
        Row(
            role="entry",
            cost="memory of the configuration",
            mechanism="tickets",
            formula=f"{TEAMS} teams x {slopes['team'].per_one:.0f} B"
            f" + {RUNNERS} targets x {slopes['target'].per_one:.0f} B",
            value=(TEAMS * slopes["team"].per_one + RUNNERS * slopes["target"].per_one)
            / MB,
            unit="MB",
            budget=MOST_MEMORY_MB,
        ),
        Row(
            role="every node",
            cost="memory of the instance list",
            mechanism="membership",
            formula=f"{NODES} x {slopes['instance'].per_one:.0f} B",
            value=NODES * slopes["instance"].per_one / MB,
            unit="MB",
            budget=MOST_MEMORY_MB,
        ),
        Row(
            role="entry",
            cost="bytes of idle links",
            mechanism="links to a subset",
            formula=f"{SUBSET_SIZE} links x {ping_bytes:.0f} B x {per_s:.1f}/s",
            value=SUBSET_SIZE * ping_bytes * per_s,
            unit="B/s",
            budget=MOST_BYTES_PER_S,
        ),
        Row(
            role="entry",
            cost="the same with links to all (not built)",
            mechanism="-",
            formula=f"{RUNNERS} links x {ping_bytes:.0f} B x {per_s:.1f}/s",
            value=RUNNERS * ping_bytes * per_s,
            unit="B/s",
            budget=MOST_BYTES_PER_S,
        ),
        Row(
            role="entry",
            cost="processor of idle links",
            mechanism="links to a subset",
            formula=f"{SUBSET_SIZE} x {ping_us:.0f} us x {per_s:.1f}/s",
            value=SUBSET_SIZE * ping_us * per_s / 1e6,
            unit="core",
            budget=MOST_CPU,
        ),
        Row(
            role="entry",
            cost="processor of following tickets",
            mechanism="tickets, router",
            formula=f"{TICKETS_PER_DAY}/day x {ticket_us / 1e3:.1f} ms",
            value=TICKETS_PER_DAY / S_PER_DAY * ticket_us / 1e6,
            unit="core",
            budget=MOST_CPU,
        ),
        Row(
            role="entry",
            cost="processor of routing (data path)",
            mechanism="router",
            formula=f"{share:.1f} requests/s x {slopes['choice'].values[-1]:.0f} us",
            value=share * slopes["choice"].values[-1] / 1e6,
            unit="core",
        ),
        Row(
            role="entry",
            cost="processor of chunk codecs (data path)",
            mechanism="links",
            formula=f"{tokens:.0f} tokens/s x {chunk_us:.1f} us, one a frame",
            value=tokens * chunk_us / 1e6,
            unit="core",
            budget=1.0,
        ),
    ]


def local_rows(ping: tuple[float, float]) -> list[Row]:
    """Return the costs of a local process."""
    links = ENTRIES * SUBSET_SIZE / RUNNERS
    per_s = MS_PER_S / LinkParameters().ping_idle_ms
    return [
        Row(
            role="local",
            cost="bytes of idle links from entries",
            mechanism="links to a subset",
            formula=f"{links:.1f} entries x {ping[0]:.0f} B x {per_s:.1f}/s",
            value=links * ping[0] * per_s,
            unit="B/s",
            budget=MOST_BYTES_PER_S,
        ),
        Row(
            role="local",
            cost="bytes of load reports at one a second",
            mechanism="load reports",
            formula=f"{links:.1f} entries x {_slopes.report_bytes()} B x 1/s",
            value=links * _slopes.report_bytes(),
            unit="B/s",
            budget=MOST_BYTES_PER_S,
        ),
    ]


def run_control() -> str:
    """Return what `benchmarks.control` prints in full; it takes some minutes."""
    command = [sys.executable, "-m", "benchmarks.control", "--seed", "1"]
    return subprocess.run(command, capture_output=True, text=True).stdout


def control_rows(output: str) -> list[Row]:
    """Return the cost of control for a node, from what the benchmark printed."""
    budgets = {
        "cpu": ("core", MOST_CPU, 1.0),
        "bytes": ("B/s", MOST_BYTES_PER_S, 1.0),
        "memory": ("MB", MOST_MEMORY_MB, MB),
        "table reads": ("reads/s", 2_000, 1.0),
        "table writes": ("writes/s", 300, 1.0),
    }
    rows = []
    for line in output.splitlines():
        found = CONTROL_LINE.match(line)
        if found is None:
            continue
        name = found["name"]
        key = next(key for key in budgets if name.startswith(key))
        unit, budget, scale = budgets[key]
        rows.append(
            Row(
                role="platform" if key.startswith("table") else "every node",
                cost=f"control: {name}",
                mechanism="tickets, membership, leases",
                formula=f"control benchmark, {float(found['slope']):.3g} a node",
                value=float(found["at"]) / scale,
                unit=unit,
                budget=budget,
            )
        )
    return rows


def plot(slopes: dict[str, _slopes.Slope]) -> None:
    """Draw the measured points and the lines through them."""
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(2, 3, figsize=(11, 6))
    for axis, slope in zip(axes.flat, slopes.values(), strict=False):
        axis.plot(slope.sizes, slope.values, "o")
        line = np.poly1d(np.polyfit(slope.sizes, slope.values, 1))
        axis.plot(slope.sizes, line(slope.sizes), "-", linewidth=1)
        axis.set_title(f"{slope.name}: {slope.per_one:.3g} {slope.unit} each")
        axis.set_xlabel("number")
        axis.set_ylabel(slope.unit)
    figure.tight_layout()
    (DOCS / "img").mkdir(parents=True, exist_ok=True)
    figure.savefig(DOCS / "img" / "capacity.png", dpi=80)
    pyplot.close(figure)


def write_page(rows: list[Row]) -> None:
    """Replace the figures between the marks of docs/CAPACITY.md."""
    lines = ["| " + " | ".join(HEADER) + " |", "|" + "---|" * len(HEADER)]
    lines += ["| " + " | ".join(row.cells) + " |" for row in rows]
    text = PAGE.read_text()
    head, rest = text.split(BEGIN)
    tail = rest.split(END)[1]
    table = "\n".join(lines)
    PAGE.write_text(f"{head}{BEGIN}\n{table}\n{END}{tail}")


def main() -> None:
    """Measure, print and write the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quick", action="store_true", help="without the control runs")
    parser.add_argument("--control", type=Path, help="output of an earlier control run")
    options = parser.parse_args()
    measured = [
        *_slopes.configuration_memory(),
        _slopes.ticket_time(),
        *_slopes.routing_time(),
    ]
    slopes = {slope.name: slope for slope in measured}
    ping = asyncio.run(_slopes.idle_link())
    rows = entry_rows(slopes, ping) + local_rows(ping)
    if not options.quick:
        output = options.control.read_text() if options.control else run_control()
        rows += control_rows(output)
        plot(slopes)
        write_page(rows)
    print_table(HEADER, [row.cells for row in rows])
    built = [row for row in rows if "not built" not in row.cost]
    missed = sum(row.met == "MISSED" for row in built)
    print_result("capacity", value=missed, target=0, met=missed == 0)


if __name__ == "__main__":
    main()
