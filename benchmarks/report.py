"""Runs every benchmark with --quick and writes one page with what each one said.

The page compares each figure with the one committed before. Benchmarks run one after
the other, so that none disturbs another.
"""

import argparse
import re
import subprocess
import sys
import time
from pathlib import Path

import matplotlib
import msgspec

from benchmarks._report import print_result, print_table

matplotlib.use("Agg")

PAGE = Path("docs/REPORT.md")
FIGURES = Path("docs/report.json")
PLOT = Path("docs/img/report.png")
LONGEST_S = 120
LEFT_OUT = frozenset({"report"})
RESULT = re.compile(r"^RESULT name=(?P<name>\S+)(?P<rest>.*)$")
PAIR = re.compile(r"(\w+)=(\S+)")


class Outcome(msgspec.Struct, kw_only=True):
    """What one benchmark said.

    Parameters
    ----------
    name : str
        Benchmark.
    value, target : str
        Figures of its last line.
    met : str
        `yes`, `no`, or why there is no verdict.
    took_s : float
        Time that it ran.
    output : str
        Everything that it printed.
    """

    name: str
    value: str = "-"
    target: str = "-"
    met: str = "no verdict"
    took_s: float = 0.0
    output: str = ""


def names() -> list[str]:
    """Return the benchmarks of this directory, in order."""
    files = sorted(Path(__file__).parent.glob("[a-z]*.py"))
    return [file.stem for file in files if file.stem not in LEFT_OUT]


def run_one(name: str, seed: int) -> Outcome:
    """Run one benchmark and return what it said."""
    command = [sys.executable, "-m", f"benchmarks.{name}", "--quick"]
    started = time.monotonic()
    try:
        done = subprocess.run(
            [*command, "--seed", str(seed)],
            capture_output=True,
            text=True,
            timeout=LONGEST_S,
        )
    except subprocess.TimeoutExpired:
        return Outcome(name=name, met=f"not ended in {LONGEST_S} s", took_s=LONGEST_S)
    outcome = Outcome(name=name, took_s=time.monotonic() - started, output=done.stdout)
    if done.returncode:
        outcome.met = f"ended with {done.returncode}"
        outcome.output += done.stderr[-2_000:]
        return outcome
    for line in reversed(done.stdout.splitlines()):
        found = RESULT.match(line)
        if found is not None:
            said = dict(PAIR.findall(found["rest"]))
            outcome.value = said.get("value", "-")
            outcome.target = said.get("target", "-")
            outcome.met = said.get("met", "no verdict")
            break
    return outcome


def read_before() -> dict[str, Outcome]:
    """Return the outcomes committed last, by name."""
    if not FIGURES.exists():
        return {}
    outcomes = msgspec.json.decode(FIGURES.read_bytes(), type=list[Outcome])
    return {outcome.name: outcome for outcome in outcomes}


def rows(outcomes: list[Outcome], before: dict[str, Outcome]) -> list[list[str]]:
    """Return the rows of the page's table."""
    table = []
    for outcome in outcomes:
        old = before.get(outcome.name)
        was = f"{old.value} ({old.met})" if old else "-"
        table.append(
            [
                outcome.name,
                outcome.value,
                outcome.target,
                outcome.met,
                was,
                f"{outcome.took_s:.0f} s",
            ]
        )
    return table


def plot(outcomes: list[Outcome]) -> None:
    """Draw how long each benchmark took, coloured by its verdict."""
    from matplotlib import pyplot

    colours = {"yes": "tab:green", "no": "tab:red"}
    figure, axis = pyplot.subplots(figsize=(7, 0.35 * len(outcomes) + 1))
    axis.barh(
        [outcome.name for outcome in outcomes],
        [outcome.took_s for outcome in outcomes],
        color=[colours.get(outcome.met, "tab:gray") for outcome in outcomes],
    )
    axis.set_xlabel("seconds; green: target met, red: not, gray: no verdict")
    axis.invert_yaxis()
    figure.tight_layout()
    PLOT.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(PLOT, dpi=80)
    pyplot.close(figure)


def write_page(outcomes: list[Outcome], table: list[list[str]], seed: int) -> None:
    """Write the page, its plot and the figures that the next run compares with."""
    header = ["benchmark", "value", "target", "met", "before", "took"]
    lines = [
        "# Report",
        "",
        f"Every benchmark with `--quick --seed {seed}`, as `make report` ran it. Quick"
        " runs are short; the full ones decide.",
        "",
        "| " + " | ".join(header) + " |",
        "|" + "---|" * len(header),
        *["| " + " | ".join(row) + " |" for row in table],
        "",
        "![time and verdict of each benchmark](img/report.png)",
    ]
    for outcome in outcomes:
        text = outcome.output.strip() or "(nothing printed)"
        lines += ["", f"## {outcome.name}", "", "```", text, "```"]
    PAGE.write_text("\n".join(lines) + "\n")
    kept = [msgspec.structs.replace(outcome, output="") for outcome in outcomes]
    FIGURES.write_bytes(msgspec.json.format(msgspec.json.encode(kept)) + b"\n")
    plot(outcomes)


def main() -> None:
    """Run all, print the table and write the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quick", action="store_true", help="changes nothing here")
    parser.add_argument("--only", default="", help="names with commas between them")
    options = parser.parse_args()
    chosen = options.only.split(",") if options.only else names()
    before = read_before()
    outcomes = []
    for name in chosen:
        outcome = run_one(name, options.seed)
        print(f"{name}: value={outcome.value} met={outcome.met}", flush=True)
        outcomes.append(outcome)
    table = rows(outcomes, before)
    print_table(["benchmark", "value", "target", "met", "before", "took"], table)
    if not options.only:
        write_page(outcomes, table, options.seed)
    met = sum(outcome.met == "yes" for outcome in outcomes)
    print_result("report", value=met, target=len(outcomes), met=met == len(outcomes))


if __name__ == "__main__":
    main()
