"""Validation of a ticket against the configuration that it would change."""

import math
from collections.abc import Callable, Iterator

import msgspec

from carobroute.domain import ServiceKind, TargetState
from carobroute.tickets._schema import (
    CallRule,
    Configuration,
    GroupObject,
    ServiceObject,
    TargetObject,
    TeamObject,
    Ticket,
    TicketObject,
    object_key,
)
from carobroute.utils import Registry

MAX_NAME_LENGTH = 120
HIGHEST_PRIORITY = 9
KEY_HASH_DIGITS = 64
MAX_RANKS = 1_024
MAX_LAYERS = 512
MAX_EXPERTS = 4_096


class TicketFault(msgspec.Struct, frozen=True, kw_only=True):
    """One validation fault of a ticket.

    Parameters
    ----------
    path : str
        Path of the invalid field, such as `objects[target/runner-1].state`.
    got, expected : str
        Value found, and a description of the valid values.
    """

    path: str
    got: str
    expected: str

    def __str__(self) -> str:
        return f"{self.path}: got {self.got}, expected {self.expected}"


Check = Callable[[Ticket, Configuration, Configuration], Iterator[TicketFault]]

ticket_checks: Registry[Check] = Registry(kind="ticket check")


def check_ticket(ticket: Ticket, configuration: Configuration) -> list[TicketFault]:
    """Return all faults of `ticket` when applied to `configuration`.

    Parameters
    ----------
    ticket : Ticket
        Ticket to check; it may already be accepted.
    configuration : Configuration
        Configuration in force before the ticket.

    Returns
    -------
    faults : list of TicketFault
        Empty if the ticket is valid.

    Examples
    --------
    >>> target = TargetObject(name="runner-1", service="klang", data_centre="svea-a")
    >>> ticket = Ticket(based_on=0, token="t", author="a", objects=[target])
    >>> print(check_ticket(ticket, Configuration())[0])
    objects[target/runner-1].service: got 'klang', expected a service that exists
    """
    number = max(ticket.number, configuration.number + 1)
    after = configuration.with_ticket(msgspec.structs.replace(ticket, number=number))
    faults: list[TicketFault] = []
    for name in ticket_checks:
        faults.extend(ticket_checks.get(name)(ticket, configuration, after))
    return faults


def describe_faults(faults: list[TicketFault]) -> str:
    """Return all faults joined into one line."""
    return "; ".join(str(fault) for fault in faults)


def _field_fault(
    entry: TicketObject, field: str, got: object, expected: str
) -> TicketFault:
    return TicketFault(
        path=f"objects[{object_key(entry)}].{field}", got=repr(got), expected=expected
    )


@ticket_checks.register("shape")
def _check_shape(
    ticket: Ticket, before: Configuration, after: Configuration
) -> Iterator[TicketFault]:
    if not ticket.objects and not ticket.removed:
        yield TicketFault(
            path="objects", got="nothing", expected="at least one object or removal"
        )
    if ticket.based_on < 0:
        yield TicketFault(
            path="based_on", got=str(ticket.based_on), expected="0 or more"
        )
    if not ticket.author:
        yield TicketFault(path="author", got="''", expected="the operator's name")
    seen: set[str] = set()
    for key in [object_key(entry) for entry in ticket.objects] + ticket.removed:
        if key in seen:
            yield TicketFault(path=key, got="twice", expected="once in a ticket")
        seen.add(key)
    for key in ticket.removed:
        if key not in before.objects:
            yield TicketFault(
                path="removed", got=repr(key), expected="an object that exists"
            )


@ticket_checks.register("values")
def _check_values(
    ticket: Ticket, before: Configuration, after: Configuration
) -> Iterator[TicketFault]:
    for entry in ticket.objects:
        if not _is_name(entry.name):
            yield _field_fault(
                entry,
                "name",
                entry.name,
                f"1 to {MAX_NAME_LENGTH} printable characters without / or space",
            )
        if isinstance(entry, ServiceObject):
            yield from _check_service(entry)
        elif isinstance(entry, TargetObject):
            yield from _check_target(entry)
        elif isinstance(entry, TeamObject):
            yield from _check_team(entry)
        elif isinstance(entry, GroupObject):
            yield from _check_group(entry)


def _is_name(name: str) -> bool:
    has_valid_characters = name.isprintable() and "/" not in name and " " not in name
    return has_valid_characters and 0 < len(name) <= MAX_NAME_LENGTH


def _is_positive(value: float) -> bool:
    return math.isfinite(value) and value > 0


def _is_non_negative(value: float) -> bool:
    return math.isfinite(value) and value >= 0


def _check_service(entry: ServiceObject) -> Iterator[TicketFault]:
    if entry.kind is ServiceKind.MODEL and not entry.models:
        yield _field_fault(entry, "models", entry.models, "at least one model name")
    if entry.kind is ServiceKind.PLAIN and entry.models:
        yield _field_fault(entry, "models", entry.models, "none for a plain service")
    for field in ("first_token_ms", "between_tokens_ms"):
        value = getattr(entry, field)
        if not _is_positive(value):
            yield _field_fault(entry, field, value, "more than 0")
    if entry.retention_s <= 0:
        yield _field_fault(entry, "retention_s", entry.retention_s, "more than 0")
    for index, rule in enumerate(entry.calls):
        yield from _check_call_rule(entry, index, rule)


def _check_call_rule(
    entry: ServiceObject, index: int, rule: CallRule
) -> Iterator[TicketFault]:
    if rule.method != "*" and not (rule.method.isalpha() and rule.method.isupper()):
        yield _field_fault(
            entry, f"calls[{index}].method", rule.method, "* or a method in capitals"
        )
    if not rule.path.startswith("/"):
        yield _field_fault(
            entry, f"calls[{index}].path", rule.path, "a path that begins with /"
        )


def _check_target(entry: TargetObject) -> Iterator[TicketFault]:
    if not _is_name(entry.data_centre):
        yield _field_fault(
            entry, "data_centre", entry.data_centre, "a data centre's name"
        )
    if entry.concurrency < 1:
        yield _field_fault(entry, "concurrency", entry.concurrency, "at least 1")
    if not _is_non_negative(entry.leave_within_s):
        yield _field_fault(entry, "leave_within_s", entry.leave_within_s, "0 or more")
    if entry.ranks and not entry.group:
        yield _field_fault(
            entry, "group", entry.group, "the group that the ranks belong to"
        )
    if len(set(entry.ranks)) != len(entry.ranks):
        yield _field_fault(entry, "ranks", entry.ranks, "each rank once")


def _check_team(entry: TeamObject) -> Iterator[TicketFault]:
    if not _is_positive(entry.weight):
        yield _field_fault(entry, "weight", entry.weight, "more than 0")
    if not _is_non_negative(entry.requests_per_s):
        yield _field_fault(entry, "requests_per_s", entry.requests_per_s, "0 or more")
    if not 0 <= entry.priority <= HIGHEST_PRIORITY:
        yield _field_fault(
            entry, "priority", entry.priority, f"0 to {HIGHEST_PRIORITY}"
        )
    for index, digest in enumerate(entry.key_hashes):
        if len(digest) != KEY_HASH_DIGITS or not set(digest) <= set("0123456789abcdef"):
            yield _field_fault(
                entry,
                f"key_hashes[{index}]",
                digest,
                f"{KEY_HASH_DIGITS} hexadecimal digits of a SHA-256",
            )


def _check_group(entry: GroupObject) -> Iterator[TicketFault]:
    for field, maximum in (
        ("ranks", MAX_RANKS),
        ("layers", MAX_LAYERS),
        ("experts", MAX_EXPERTS),
        ("slots_per_rank", MAX_EXPERTS),
    ):
        value = getattr(entry, field)
        if not 1 <= value <= maximum:
            yield _field_fault(entry, field, value, f"1 to {maximum}")
    if entry.weigh not in ("skew", "cost"):
        yield _field_fault(entry, "weigh", entry.weigh, "skew or cost")


@ticket_checks.register("references")
def _check_references(
    ticket: Ticket, before: Configuration, after: Configuration
) -> Iterator[TicketFault]:
    for entry in ticket.objects:
        service = getattr(entry, "service", None)
        if service is not None and after.service(service) is None:
            yield _field_fault(entry, "service", service, "a service that exists")
        if isinstance(entry, TargetObject) and entry.group:
            group = after.group(entry.group)
            if group is None:
                yield _field_fault(entry, "group", entry.group, "a group that exists")
        if isinstance(entry, TeamObject):
            for name in entry.services:
                if after.service(name) is None:
                    yield _field_fault(entry, "services", name, "services that exist")
    yield from _check_dangling_references(ticket, after)


def _check_dangling_references(
    ticket: Ticket, after: Configuration
) -> Iterator[TicketFault]:
    """Yield a fault for each reference from a remaining object to a removed one."""
    removed = set(ticket.removed)
    if not any(key.startswith(("service/", "group/")) for key in removed):
        return
    for key, in_force in after.objects.items():
        entry = in_force.entry
        if isinstance(entry, TeamObject):
            missing = [s for s in entry.services if f"service/{s}" in removed]
        elif isinstance(entry, TargetObject):
            missing = [entry.service] if f"service/{entry.service}" in removed else []
            missing += [entry.group] if f"group/{entry.group}" in removed else []
        elif isinstance(entry, GroupObject):
            missing = [entry.service] if f"service/{entry.service}" in removed else []
        else:
            missing = []
        for name in missing:
            yield TicketFault(
                path="removed",
                got=repr(name),
                expected=f"an object that {key} no longer refers to",
            )


@ticket_checks.register("last target")
def _check_last_target(
    ticket: Ticket, before: Configuration, after: Configuration
) -> Iterator[TicketFault]:
    for name in sorted(_affected_services(ticket, before)):
        if after.service(name) is None:
            continue
        serving_before = _serving_targets(before, name)
        if serving_before and not _serving_targets(after, name):
            yield TicketFault(
                path=f"service/{name}",
                got="no serving target after this ticket",
                expected="at least one of "
                + ", ".join(t.name for t in serving_before[:5]),
            )


def _serving_targets(configuration: Configuration, service: str) -> list[TargetObject]:
    targets = configuration.targets(service)
    return [target for target in targets if target.state is TargetState.SERVING]


def _affected_services(ticket: Ticket, before: Configuration) -> set[str]:
    affected = {e.service for e in ticket.objects if isinstance(e, TargetObject)}
    keys = [object_key(entry) for entry in ticket.objects] + ticket.removed
    for key in keys:
        previous = before.objects.get(key)
        if previous is not None and isinstance(previous.entry, TargetObject):
            affected.add(previous.entry.service)
    return affected
