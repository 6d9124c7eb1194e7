"""Drafts of tickets, differences between configurations, and tables for operators."""

from collections.abc import Iterable

import msgspec

from carobroute.domain import TargetState
from carobroute.tickets import Configuration, ObjectInForce, Ticket, object_key
from carobroute.tickets._file import explicit_fields
from carobroute.tickets._schema import TicketObject
from carobroute.utils import new_token


class FieldChange(msgspec.Struct, frozen=True, kw_only=True):
    """One field that differs between two states of an object."""

    object: str
    field: str
    before: str
    after: str


def diff_ticket(ticket: Ticket, before: Configuration) -> list[FieldChange]:
    """Return what `ticket` would change, field by field.

    Examples
    --------
    >>> from carobroute.testing import make_target, make_ticket
    >>> change = diff_ticket(make_ticket(make_target()), Configuration())[0]
    >>> change.object, change.field, change.after
    ('target/runner-1', 'concurrency', '8')
    """
    changes: list[FieldChange] = []
    for entry in ticket.objects:
        key = object_key(entry)
        known = before.objects.get(key)
        changes.extend(_diff_object(key, known.entry if known else None, entry))
    for key in ticket.removed:
        known = before.objects.get(key)
        changes.extend(_diff_object(key, known.entry if known else None, None))
    return changes


def _diff_object(
    key: str, before: TicketObject | None, after: TicketObject | None
) -> list[FieldChange]:
    old, new = _fields(before), _fields(after)
    return [
        FieldChange(
            object=key, field=name, before=old.get(name, "-"), after=new.get(name, "-")
        )
        for name in sorted(old.keys() | new.keys())
        if old.get(name) != new.get(name)
    ]


def _fields(entry: TicketObject | None) -> dict[str, str]:
    if entry is None:
        return {}
    fields = explicit_fields(entry)
    return {name: str(value) for name, value in fields.items() if name != "type"}


def draft_ticket(
    current: Configuration,
    *,
    author: str,
    reason: str,
    objects: Iterable[TicketObject] = (),
    removed: Iterable[str] = (),
) -> Ticket:
    """Return a ticket to be filed on top of `current`, with a token of its own."""
    return Ticket(
        based_on=current.number,
        token=new_token(),
        author=author,
        reason=reason,
        objects=list(objects),
        removed=list(removed),
    )


def restore_ticket(
    current: Configuration, past: Configuration, *, author: str, reason: str
) -> Ticket:
    """Return a ticket that takes every object back to its state in `past`.

    Filed as the next ticket, it undoes what came after without going back in number.
    """
    objects = [
        known.entry
        for key, known in sorted(past.objects.items())
        if _entry_of(current, key) != known.entry
    ]
    removed = sorted(set(current.objects) - set(past.objects))
    return draft_ticket(
        current, author=author, reason=reason, objects=objects, removed=removed
    )


def drained(entry: TicketObject, leave_within_s: float) -> TicketObject:
    """Return a target's state with its draining begun."""
    return msgspec.structs.replace(
        entry, state=TargetState.DRAINING, leave_within_s=leave_within_s
    )


def configuration_of(number: int, objects: dict[str, ObjectInForce]) -> Configuration:
    """Return the configuration that an entry showed."""
    return Configuration(number=number, objects=objects)


def _entry_of(configuration: Configuration, key: str) -> TicketObject | None:
    known = configuration.objects.get(key)
    return known.entry if known else None


def format_table(header: list[str], rows: list[list[str]]) -> str:
    """Return aligned columns.

    Examples
    --------
    >>> print(format_table(["n", "author"], [["1", "mere"], ["12", "jone"]]))
    n   author
    1   mere
    12  jone
    """
    lines = [header, *rows]
    widths = [max(len(line[i]) for line in lines) for i in range(len(header))]
    return "\n".join(
        "  ".join(cell.ljust(widths[i]) for i, cell in enumerate(line)).rstrip()
        for line in lines
    )
