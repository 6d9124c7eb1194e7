"""Printing of results as JSON or as tables."""

from collections.abc import Mapping, Sequence
from typing import Any

import msgspec
import typer
from rich.console import Console
from rich.table import Table

from carobroute.cli._ticket import Output as OutputFormat

TABLE_WIDTH = 160


def print_result(
    value: Any, *, output: OutputFormat, columns: Sequence[str] = ()
) -> None:
    """Print `value` as JSON, or as a table if it is a list of rows.

    Parameters
    ----------
    value : object
        Plain data.
    output : OutputFormat
        How to print it.
    columns : sequence of str, default=()
        Columns of the table; by default the keys of the first row.
    """
    if output is OutputFormat.JSON:
        typer.echo(msgspec.json.format(msgspec.json.encode(value)).decode())
    elif isinstance(value, Mapping):
        _print_table([{"field": k, "value": v} for k, v in value.items()], ())
    elif isinstance(value, Sequence) and not isinstance(value, str):
        _print_table(value, columns)
    else:
        typer.echo(value)


def _print_table(rows: Sequence[Mapping[str, Any]], columns: Sequence[str]) -> None:
    if not rows:
        typer.echo("(none)")
        return
    names = list(columns or rows[0])
    table = Table(*names, box=None, header_style="bold")
    for row in rows:
        table.add_row(*[_cell(row.get(name, "")) for name in names])
    console = Console(width=None if Console().is_terminal else TABLE_WIDTH)
    console.print(table)


def _cell(value: Any) -> str:
    if isinstance(value, Mapping | list):
        return msgspec.json.encode(value).decode()
    return str(value)
