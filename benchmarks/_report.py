"""What every benchmark prints, and its command line."""

import argparse
from collections.abc import Sequence

import numpy as np


def parse_arguments(description: str | None) -> argparse.Namespace:
    """Return the arguments that every benchmark takes: `seed` and `quick`."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quick", action="store_true", help="under 50 s")
    return parser.parse_args()


def percentile(values: Sequence[float], q: float) -> float:
    """Return the `q`-th percentile of `values`; NaN without values."""
    return float(np.percentile(values, q)) if len(values) else float("nan")


def print_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print rows in aligned columns."""
    cells = [[str(cell) for cell in row] for row in [header, *rows]]
    widths = [max(len(row[n]) for row in cells) for n in range(len(header))]
    for row in cells:
        padded = [cell.rjust(width) for cell, width in zip(row, widths, strict=True)]
        print("  ".join(padded), flush=True)


def print_result(name: str, *, value: object, target: object, met: bool) -> None:
    """Print the last line of a benchmark."""
    print(
        f"RESULT name={name} value={value} target={target}"
        f" met={'yes' if met else 'no'}",
        flush=True,
    )
