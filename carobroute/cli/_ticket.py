"""`carobroute ticket`: draft, check, file and follow change tickets.

Exit status: 0 done; 1 refused or failed; 3 the ticket lost against another one;
4 the outcome is unknown, file the same file again; 5 the entry cannot be reached;
6 the ticket is not in force everywhere.
"""

import enum
import getpass
import time
from pathlib import Path
from typing import Annotated, Any, NoReturn

import msgspec
import typer
from returns.result import Failure, Result

from carobroute.cli._operator_client import OperatorClient
from carobroute.cli._ticket_text import (
    configuration_of,
    diff_ticket,
    draft_ticket,
    drained,
    format_table,
    restore_ticket,
)
from carobroute.errors import ErrorKind, Fault
from carobroute.tickets import (
    Configuration,
    Ticket,
    check_ticket,
    dump_ticket,
    load_ticket_file,
)
from carobroute.tickets._operator_api import (
    CheckView,
    ConfigurationView,
    StatusView,
    TicketPage,
)

EXIT_REFUSED = 1
EXIT_CONFLICT = 3
EXIT_UNKNOWN = 4
EXIT_UNREACHABLE = 5
EXIT_NOT_IN_FORCE = 6
EXIT_BY_KIND = {
    ErrorKind.CONFLICT: EXIT_CONFLICT,
    ErrorKind.OUTCOME_UNKNOWN: EXIT_UNKNOWN,
    ErrorKind.PEER_LOST: EXIT_UNREACHABLE,
}
STATUS_INTERVAL_S = 0.5

ticket_app = typer.Typer(
    name="ticket", help="Draft, check, file and follow change tickets."
)


class Output(enum.StrEnum):
    """How answers are printed."""

    TABLE = "table"
    JSON = "json"


Address = Annotated[
    str,
    typer.Option(
        envvar="CAROBROUTE_ADDRESS", help="An entry's operator address (http://…)."
    ),
]
TokenFile = Annotated[
    Path | None,
    typer.Option(
        envvar="CAROBROUTE_TOKEN_FILE", help="File with the operator's token."
    ),
]
Format = Annotated[Output, typer.Option("--output", "-o", help="table or json.")]
File = Annotated[Path, typer.Argument(help="Ticket file (YAML).")]


@ticket_app.command("new")
def new(
    address: Address,
    token_file: TokenFile = None,
    object_keys: Annotated[
        list[str] | None,
        typer.Option("--object", help="Key to start from, as target/runner-1."),
    ] = None,
    drain: Annotated[
        list[str] | None, typer.Option(help="Name of a target to drain.")
    ] = None,
    leave_within_s: Annotated[
        float, typer.Option(help="Time that drained targets have, in seconds.")
    ] = 0.0,
    remove: Annotated[
        list[str] | None, typer.Option(help="Key of an object to remove.")
    ] = None,
    from_number: Annotated[
        int | None,
        typer.Option("--from", help="Take everything back to its state at a ticket."),
    ] = None,
    author: Annotated[str, typer.Option(help="Who files it.")] = "",
    reason: Annotated[str, typer.Option(help="Why.")] = "",
    file: Annotated[
        Path | None, typer.Option(help="Where to write; standard output without.")
    ] = None,
) -> None:
    """Draft a ticket from the configuration in force."""
    client = OperatorClient(address=address, token_file=token_file)
    current = _configuration(client)
    author = author or getpass.getuser()
    if from_number is not None:
        past = _configuration(client, at=from_number)
        reason = reason or f"back to ticket {from_number}"
        ticket = restore_ticket(current, past, author=author, reason=reason)
    else:
        objects = [_entry(current, key) for key in object_keys or []]
        for name in drain or []:
            entry = _entry(current, f"target/{name}")
            objects.append(drained(entry, leave_within_s))
        ticket = draft_ticket(
            current,
            author=author,
            reason=reason,
            objects=objects,
            removed=remove or [],
        )
    text = dump_ticket(ticket)
    if file is None:
        typer.echo(text, nl=False)
    else:
        file.write_text(text)
        typer.echo(f"wrote {file}, based on ticket {ticket.based_on}")


@ticket_app.command("check")
def check(
    path: File,
    address: Annotated[str, typer.Option(envvar="CAROBROUTE_ADDRESS")] = "",
    token_file: TokenFile = None,
    configuration: Annotated[
        Path | None,
        typer.Option(help="Check offline against a dump (`ticket show --all`)."),
    ] = None,
    output: Format = Output.TABLE,
) -> None:
    """Say everything that is wrong with a ticket, without filing it."""
    ticket = _load(path)
    if address:
        client = OperatorClient(address=address, token_file=token_file)
        view = _value(client.post("/operator/tickets/check", CheckView, ticket))
    else:
        base = _load_configuration(configuration)
        view = CheckView(number=base.number, faults=check_ticket(ticket, base))
    rows = [[fault.path, fault.got, fault.expected] for fault in view.faults]
    _print(view, output, ["path", "got", "expected"], rows)
    if view.faults:
        raise typer.Exit(EXIT_REFUSED)
    if output is Output.TABLE:
        typer.echo(f"no fault on top of ticket {view.number}")


@ticket_app.command("diff")
def diff(
    path: File,
    address: Address,
    token_file: TokenFile = None,
    output: Format = Output.TABLE,
) -> None:
    """Show what a ticket would change, field by field."""
    ticket = _load(path)
    client = OperatorClient(address=address, token_file=token_file)
    changes = diff_ticket(ticket, _configuration(client))
    rows = [[c.object, c.field, c.before, c.after] for c in changes]
    _print(changes, output, ["object", "field", "in force", "ticket"], rows)


@ticket_app.command("file")
def file_ticket(
    path: File,
    address: Address,
    token_file: TokenFile = None,
    wait_s: Annotated[
        float, typer.Option(help="Wait until it is in force everywhere, in seconds.")
    ] = 0.0,
    output: Format = Output.TABLE,
) -> None:
    """File a ticket. Filing the same file again is always safe."""
    ticket = _load(path)
    client = OperatorClient(address=address, token_file=token_file)
    accepted = _value(client.post("/operator/tickets", Ticket, ticket))
    if output is Output.TABLE:
        typer.echo(f"accepted as ticket {accepted.number}")
    if wait_s > 0:
        _follow(client, accepted.number, wait_s, output)
    elif output is Output.JSON:
        typer.echo(msgspec.json.encode(accepted).decode())


@ticket_app.command("status")
def status(
    address: Address,
    number: Annotated[
        int | None, typer.Argument(help="Number; the last ticket without.")
    ] = None,
    token_file: TokenFile = None,
    wait_s: Annotated[
        float, typer.Option(help="Wait until it is in force everywhere, in seconds.")
    ] = 0.0,
    output: Format = Output.TABLE,
) -> None:
    """Say where a ticket is in force, and name the processes that are behind."""
    client = OperatorClient(address=address, token_file=token_file)
    if number is None:
        number = _view(client).number
    _follow(client, number, wait_s, output)


@ticket_app.command("log")
def log(
    address: Address,
    after: Annotated[int, typer.Option(help="Show tickets above this number.")] = -1,
    limit: Annotated[int, typer.Option(help="Most tickets shown.")] = 20,
    token_file: TokenFile = None,
    output: Format = Output.TABLE,
) -> None:
    """List accepted tickets; the last ones without `--after`."""
    client = OperatorClient(address=address, token_file=token_file)
    if after < 0:
        after = max(0, _view(client).number - limit)
    page = _value(client.get("/operator/tickets", TicketPage, after=after, limit=limit))
    rows = [
        [str(t.number), _when(t), t.author, str(t.based_on), _touched(t), t.reason]
        for t in page.tickets
    ]
    header = ["number", "filed", "author", "based on", "touches", "reason"]
    _print(page, output, header, rows)


@ticket_app.command("show")
def show(
    address: Address,
    number: Annotated[
        int | None, typer.Argument(help="Number of a ticket; with --all not needed.")
    ] = None,
    whole: Annotated[
        bool, typer.Option("--all", help="The whole configuration, as JSON.")
    ] = False,
    token_file: TokenFile = None,
) -> None:
    """Print one ticket as YAML, or the whole configuration."""
    client = OperatorClient(address=address, token_file=token_file)
    if whole or number is None:
        query = {} if number is None else {"at": number}
        view = _value(client.get("/operator/configuration", ConfigurationView, **query))
        typer.echo(msgspec.json.format(msgspec.json.encode(view)).decode())
        return
    ticket = _value(client.get(f"/operator/tickets/{number}", Ticket))
    typer.echo(f"# ticket {ticket.number}, filed {_when(ticket)}")
    typer.echo(dump_ticket(ticket), nl=False)


def _follow(client: OperatorClient, number: int, wait_s: float, output: Output) -> None:
    until_s = time.monotonic() + wait_s
    while True:
        view = _value(client.get(f"/operator/tickets/{number}/status", StatusView))
        if view.everywhere or time.monotonic() >= until_s:
            break
        time.sleep(STATUS_INTERVAL_S)
    if output is Output.JSON:
        typer.echo(msgspec.json.encode(view).decode())
    else:
        typer.echo(f"ticket {number} is in force at {view.in_force} of {view.asked}")
        if view.slowest_ms >= 0:
            typer.echo(f"slowest {view.slowest} after {view.slowest_ms:.0f} ms")
        rows = [[e.name, _at(e.number), e.reason] for e in view.laggards]
        if rows:
            typer.echo(format_table(["behind", "at ticket", "why"], rows))
    if not view.everywhere:
        raise typer.Exit(EXIT_NOT_IN_FORCE)


def _at(number: int) -> str:
    return str(number) if number >= 0 else "?"


def _when(ticket: Ticket) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(ticket.filed_ms / 1_000))


def _touched(ticket: Ticket) -> str:
    count = len(ticket.objects) + len(ticket.removed)
    return f"{count} object" + ("s" if count != 1 else "")


def _view(client: OperatorClient) -> ConfigurationView:
    """Return the state of the entry's configuration without its objects."""
    path = "/operator/configuration"
    return _value(client.get(path, ConfigurationView, objects=0))


def _configuration(client: OperatorClient, **query: Any) -> Configuration:
    view = _value(client.get("/operator/configuration", ConfigurationView, **query))
    return configuration_of(view.number, view.objects)


def _load_configuration(path: Path | None) -> Configuration:
    if path is None:
        return Configuration()
    try:
        view = msgspec.json.decode(path.read_bytes(), type=ConfigurationView)
    except (OSError, msgspec.MsgspecError) as error:
        exit_with(Fault(kind=ErrorKind.BAD_REQUEST, detail=f"{path}: {error}"))
    return configuration_of(view.number, view.objects)


def _entry(configuration: Configuration, key: str):
    known = configuration.objects.get(key)
    if known is None:
        close = ", ".join(sorted(configuration.objects)[:5])
        exit_with(
            Fault(
                kind=ErrorKind.NOT_FOUND,
                detail=f"got {key!r}, expected an object in force such as {close}",
            )
        )
    return known.entry


def _load(path: Path) -> Ticket:
    return _value(load_ticket_file(path))


def _value(result: Result[Any, Fault]) -> Any:
    if isinstance(result, Failure):
        exit_with(result.failure())
    return result.unwrap()


def exit_with(fault: Fault) -> NoReturn:
    typer.echo(f"carobroute: {fault}", err=True)
    raise typer.Exit(EXIT_BY_KIND.get(fault.kind, EXIT_REFUSED))


def _print(view: Any, output: Output, header: list[str], rows: list) -> None:
    if output is Output.JSON:
        typer.echo(msgspec.json.encode(view).decode())
    elif rows:
        typer.echo(format_table(header, rows))
