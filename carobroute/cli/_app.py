"""The command `carobroute`."""

from pathlib import Path
from typing import Annotated, Any
from urllib.parse import quote

import typer
from returns.result import Failure

from carobroute import __version__
from carobroute.cli._operator_client import OperatorClient
from carobroute.cli._output import print_result
from carobroute.cli._ticket import Output as OutputFormat
from carobroute.cli._ticket import exit_with, ticket_app

app = typer.Typer(
    name="carobroute",
    help="Drive and read a carobroute fleet: file tickets, read state, ask why.",
    no_args_is_help=True,
)
app.add_typer(ticket_app, name="ticket")

Address = Annotated[
    str, typer.Argument(help="host:port of a process's operators' interface")
]
TokenFile = Annotated[
    Path | None,
    typer.Option("--token-file", help="file with the operator's token", exists=True),
]
Output = Annotated[OutputFormat, typer.Option("--output", help="json or table")]


def main() -> None:
    """Run the command line."""
    app()


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(__version__)


@app.command()
def dump(
    address: Address,
    token_file: TokenFile = None,
    output: Output = OutputFormat.JSON,
) -> None:
    """Print the whole state of one process."""
    print_result(_read(address, "/operator/dump", token_file), output=output)


@app.command()
def status(
    address: Address,
    token_file: TokenFile = None,
    output: Output = OutputFormat.TABLE,
) -> None:
    """Print in short how one process and the fleet that it sees are doing."""
    state = _read(address, "/operator/dump", token_file)
    print_result(_summary(state), output=output)


@app.command()
def explain(
    subject: Annotated[
        str, typer.Argument(help="request id, ticket number, target or duty")
    ],
    address: Annotated[
        list[str],
        typer.Option("--address", help="operators' interface; may be repeated"),
    ],
    token_file: TokenFile = None,
    output: Output = OutputFormat.TABLE,
) -> None:
    """Print every decision about a request, ticket, target or duty, with its inputs."""
    rows: list[dict[str, Any]] = []
    for one in address:
        found = _read(one, f"/operator/explain/{quote(subject, safe='')}", token_file)
        rows += [{"process": one, **_decision_row(row)} for row in found]
    rows.sort(key=lambda row: row["wall_ms"])
    print_result(rows, output=output)


@app.command()
def order(
    team: Annotated[str, typer.Argument(help="team that placed the order")],
    key: Annotated[str, typer.Argument(help="its idempotency key")],
    address: Annotated[
        str, typer.Option("--address", help="operators' interface of an entry")
    ],
    token_file: TokenFile = None,
    output: Output = OutputFormat.TABLE,
) -> None:
    """Print the record of one order."""
    path = f"/operator/orders/{quote(team, safe='')}/{quote(key, safe='')}"
    print_result(_read(address, path, token_file), output=output)


def _read(address: str, path: str, token_file: Path | None) -> Any:
    client = OperatorClient(address=address, token_file=token_file)
    result = client.get(path, object)
    if isinstance(result, Failure):
        exit_with(result.failure())
    return result.unwrap()


def _decision_row(row: dict[str, Any]) -> dict[str, Any]:
    return {
        "wall_ms": row["wall_ms"],
        "event": row["event"],
        "about": row["subjects"],
        "inputs": row["inputs"],
    }


def _summary(state: dict[str, Any]) -> dict[str, Any]:
    process = state.get("process", {})
    return {
        "name": process.get("name", ""),
        "role": process.get("role", ""),
        "data centre": process.get("data_centre", ""),
        "ticket in force": process.get("ticket", 0),
        "ready": process.get("ready", False),
        "in flight": process.get("in_flight", 0),
        "peers up": sum(1 for peer in state.get("peers", []) if peer.get("up")),
        "peers": len(state.get("peers", [])),
    }
