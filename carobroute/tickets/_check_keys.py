"""Validation of key rings: well-formed keys, and an overlap with the old ring."""

from collections.abc import Iterator

from carobroute.tickets._check import TicketFault, ticket_checks
from carobroute.tickets._schema import Configuration, KeyRingObject, Ticket
from carobroute.utils import is_public_key

RING_KEY = "key_ring/links"
MAX_KEYS = 10_000


@ticket_checks.register("key rings")
def _check_key_rings(
    ticket: Ticket, before: Configuration, after: Configuration
) -> Iterator[TicketFault]:
    if RING_KEY in ticket.removed:
        yield TicketFault(
            path="removed", got=repr(RING_KEY), expected="a ring that replaces it"
        )
    in_force = before.key_ring()
    for entry in ticket.objects:
        if not isinstance(entry, KeyRingObject):
            continue
        if entry.name != "links":
            yield TicketFault(
                path=f"objects[key_ring/{entry.name}].name",
                got=repr(entry.name),
                expected="'links'",
            )
        old_accepted = in_force.accepted if in_force else []
        old_servers = in_force.servers if in_force else []
        yield from _check_key_list("accepted", entry.accepted, old_accepted)
        yield from _check_key_list("servers", entry.servers, old_servers)


def _check_key_list(
    field: str, keys: list[str], before: list[str]
) -> Iterator[TicketFault]:
    path = f"objects[{RING_KEY}].{field}"
    if not 1 <= len(keys) <= MAX_KEYS:
        yield TicketFault(
            path=path, got=f"{len(keys)} keys", expected=f"1 to {MAX_KEYS}"
        )
    if len(set(keys)) != len(keys):
        yield TicketFault(path=path, got="a key twice", expected="each key once")
    for index, key in enumerate(keys):
        if not is_public_key(key):
            yield TicketFault(
                path=f"{path}[{index}]", got=repr(key[:50]), expected="40 digits of Z85"
            )
    if before and not set(before) & set(keys):
        # A process one ticket behind knows the old keys only; it would be locked out.
        yield TicketFault(
            path=path, got="only new keys", expected="one of the keys in force as well"
        )
