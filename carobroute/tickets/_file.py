"""Reading and writing of ticket files in YAML."""

from pathlib import Path
from typing import Any

import msgspec
import yaml
from returns.result import Result, Success

from carobroute.errors import ErrorKind, Fault, fail
from carobroute.tickets._schema import Ticket

MAX_FILE_BYTES = 8 * 1024 * 1024


def load_ticket_file(path: str | Path) -> Result[Ticket, Fault]:
    """Return the ticket in a YAML file.

    Parameters
    ----------
    path : str or Path
        YAML file with the fields of `Ticket`.

    Returns
    -------
    ticket : Result
        An `INVALID_TICKET` fault names the invalid field.
    """
    try:
        with open(path, "rb") as stream:
            data = stream.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        return fail(ErrorKind.NOT_FOUND, f"cannot read {path}: {error.strerror}")
    if len(data) > MAX_FILE_BYTES:
        return fail(
            ErrorKind.TOO_LARGE, f"{path}: expected at most {MAX_FILE_BYTES} bytes"
        )
    return parse_ticket(data, name=str(path))


def parse_ticket(data: bytes, *, name: str = "ticket") -> Result[Ticket, Fault]:
    """Return the ticket in YAML text.

    Examples
    --------
    >>> parse_ticket(b"{based_on: 1, token: t, author: mere}").failure().detail
    'ticket: Object missing required field `objects`'
    """
    try:
        loaded: Any = yaml.safe_load(data)
    except yaml.YAMLError as error:
        return fail(ErrorKind.INVALID_TICKET, f"{name}: not YAML: {error}")
    try:
        return Success(msgspec.convert(loaded, Ticket))
    except msgspec.ValidationError as error:
        return fail(ErrorKind.INVALID_TICKET, f"{name}: {error}")


def dump_ticket(ticket: Ticket) -> str:
    """Return the YAML text of a ticket, without the fields that acceptance assigns."""
    fields = explicit_fields(ticket)
    for assigned_on_acceptance in ("number", "filed_ms", "chain"):
        fields.pop(assigned_on_acceptance, None)
    order = ["author", "reason", "based_on", "token", "objects", "removed"]
    ordered = {key: fields[key] for key in order if key in fields}
    return yaml.safe_dump(ordered, sort_keys=False, allow_unicode=True)


def explicit_fields(value: Any) -> Any:
    """Return `value` as plain data with all fields, including those at defaults.

    Examples
    --------
    >>> from carobroute.tickets import ExpertPlacement
    >>> explicit_fields(ExpertPlacement(layers=[[[0]]]))
    {'layers': [[[0]]]}
    """
    if isinstance(value, msgspec.Struct):
        tag = type(value).__struct_config__.tag
        fields = {"type": tag} if tag is not None else {}
        for name in value.__struct_fields__:
            fields[name] = explicit_fields(getattr(value, name))
        return fields
    if isinstance(value, list):
        return [explicit_fields(entry) for entry in value]
    return msgspec.to_builtins(value)
