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
from carobroute.telemetry import LogLine, explain_request, format_event

EXIT_NOT_FOUND = 1

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
        list[str] | None,
        typer.Option("--address", help="operators' interface; may be repeated"),
    ] = None,
    log: Annotated[
        list[Path] | None,
        typer.Option("--log", help="log file to read instead; may be repeated"),
    ] = None,
    token_file: TokenFile = None,
    output: Output = OutputFormat.TABLE,
) -> None:
    """Print every decision about a request, ticket, target or duty, with its inputs.

    With a log, a request is explained from what its process wrote.
    """
    if log:
        _explain_from_logs(subject, log)
        return
    if not address:
        raise typer.BadParameter("either --address or --log is needed")
    rows: list[dict[str, Any]] = []
    for one in address:
        found = _read(one, f"/operator/explain/{quote(subject, safe='')}", token_file)
        rows += [{"process": one, **_decision_row(row)} for row in found]
    rows.sort(key=lambda row: row["wall_ms"])
    print_result(rows, output=output)


def _explain_from_logs(request_id: str, logs: list[Path]) -> None:
    lines: list[str] = []
    for path in logs:
        try:
            lines += path.read_text(errors="replace").splitlines()
        except OSError as error:
            raise typer.BadParameter(f"{path} cannot be read: {error}") from error
    explanation = explain_request(lines, request_id)
    if explanation is None:
        typer.echo(f"no line of the log names request {request_id}", err=True)
        raise typer.Exit(EXIT_NOT_FOUND)
    typer.echo(f"request {request_id} at {explanation.steps[-1].process}")
    typer.echo("what the process believed before:")
    for event in explanation.context:
        typer.echo(f"  {event.time} {event.event} {_fields(event)}")
    typer.echo("what was decided:")
    for event in explanation.steps:
        typer.echo(
            f"  {event.fields.get('at_ms', ''):>8} {event.event} {_fields(event)}"
        )
    typer.echo(f"cause: {explanation.cause}")


def _fields(event: LogLine) -> str:
    left_out = {"request", "at_ms", "level"}
    shown = {name: v for name, v in event.fields.items() if name not in left_out}
    return format_event(shown)


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
