"""Validation of groups: ranks, experts, and the capacity that a placement needs."""

from collections.abc import Iterator

from carobroute.tickets._check import TicketFault, ticket_checks
from carobroute.tickets._schema import (
    Configuration,
    GroupObject,
    TargetObject,
    Ticket,
    object_key,
)

MAX_FAULTS_PER_GROUP = 20


@ticket_checks.register("groups")
def _check_groups(
    ticket: Ticket, before: Configuration, after: Configuration
) -> Iterator[TicketFault]:
    for name in sorted(_touched_groups(ticket, before)):
        group = after.group(name)
        if group is None:
            continue
        faults = [*_capacity(group), *_placement(group), *_hosts(group, after)]
        yield from faults[:MAX_FAULTS_PER_GROUP]


def _touched_groups(ticket: Ticket, before: Configuration) -> set[str]:
    touched: set[str] = set()
    for entry in ticket.objects:
        if isinstance(entry, GroupObject):
            touched.add(entry.name)
        if isinstance(entry, TargetObject) and entry.group:
            touched.add(entry.group)
    for key in [object_key(entry) for entry in ticket.objects] + ticket.removed:
        known = before.objects.get(key)
        if known is not None and isinstance(known.entry, TargetObject):
            touched.add(known.entry.group)
    return touched - {""}


def _capacity(group: GroupObject) -> Iterator[TicketFault]:
    slots = group.ranks * group.slots_per_rank
    if slots < group.experts:
        yield TicketFault(
            path=f"objects[group/{group.name}].slots_per_rank",
            got=f"{slots} slots in a layer",
            expected=f"at least one for each of {group.experts} experts",
        )


def _placement(group: GroupObject) -> Iterator[TicketFault]:
    if group.pinned is None:
        return
    path = f"objects[group/{group.name}].pinned.layers"
    if len(group.pinned.layers) != group.layers:
        yield TicketFault(
            path=path,
            got=f"{len(group.pinned.layers)} layers",
            expected=f"{group.layers}",
        )
    for index, layer in enumerate(group.pinned.layers):
        yield from _layer(group, f"{path}[{index}]", layer)


def _layer(
    group: GroupObject, path: str, layer: list[list[int]]
) -> Iterator[TicketFault]:
    if len(layer) != group.experts:
        yield TicketFault(
            path=path, got=f"{len(layer)} experts", expected=f"{group.experts}"
        )
    used: dict[int, int] = {}
    for expert, ranks in enumerate(layer):
        where = f"{path}[{expert}]"
        if not ranks:
            yield TicketFault(
                path=where, got="no rank", expected="at least one rank for the expert"
            )
        if len(set(ranks)) != len(ranks):
            yield TicketFault(path=where, got=str(ranks), expected="each rank once")
        for rank in sorted(set(ranks)):
            if 0 <= rank < group.ranks:
                used[rank] = used.get(rank, 0) + 1
            else:
                yield TicketFault(
                    path=where,
                    got=f"rank {rank}",
                    expected=f"0 to {group.ranks - 1}",
                )
    for rank, copies in sorted(used.items()):
        if copies > group.slots_per_rank:
            yield TicketFault(
                path=path,
                got=f"{copies} experts on rank {rank}",
                expected=f"at most {group.slots_per_rank} (slots_per_rank)",
            )


def _hosts(group: GroupObject, after: Configuration) -> Iterator[TicketFault]:
    """Every rank that a target hosts is a rank of the group, and on one target."""
    host: dict[int, str] = {}
    for target in after.targets():
        if target.group != group.name:
            continue
        if target.service != group.service:
            yield TicketFault(
                path=f"objects[target/{target.name}].group",
                got=f"group {group.name!r} of service {group.service!r}",
                expected=f"a group of service {target.service!r}",
            )
        for rank in target.ranks:
            path = f"objects[target/{target.name}].ranks"
            if not 0 <= rank < group.ranks:
                yield TicketFault(
                    path=path, got=f"rank {rank}", expected=f"0 to {group.ranks - 1}"
                )
            elif rank in host:
                yield TicketFault(
                    path=path,
                    got=f"rank {rank}, also on target {host[rank]}",
                    expected="each rank on one target",
                )
            else:
                host[rank] = target.name
    missing = sorted(set(range(group.ranks)) - set(host))
    if host and missing:
        yield TicketFault(
            path=f"group/{group.name}.ranks",
            got="no target for ranks " + ", ".join(map(str, missing[:10])),
            expected=f"a target for each of {group.ranks} ranks",
        )
