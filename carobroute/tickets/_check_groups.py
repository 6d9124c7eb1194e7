"""Validation of groups: ranks, slots for experts, pinned placements and hosts."""

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
    for name in sorted(_affected_groups(ticket, before)):
        group = after.group(name)
        if group is None:
            continue
        faults = [
            *_check_capacity(group),
            *_check_pinned_placement(group),
            *_check_hosts(group, after),
        ]
        yield from faults[:MAX_FAULTS_PER_GROUP]


def _affected_groups(ticket: Ticket, before: Configuration) -> set[str]:
    affected: set[str] = set()
    for entry in ticket.objects:
        if isinstance(entry, GroupObject):
            affected.add(entry.name)
        if isinstance(entry, TargetObject) and entry.group:
            affected.add(entry.group)
    for key in [object_key(entry) for entry in ticket.objects] + ticket.removed:
        previous = before.objects.get(key)
        if previous is not None and isinstance(previous.entry, TargetObject):
            affected.add(previous.entry.group)
    return affected - {""}


def _check_capacity(group: GroupObject) -> Iterator[TicketFault]:
    slots = group.ranks * group.slots_per_rank
    if slots < group.experts:
        yield TicketFault(
            path=f"objects[group/{group.name}].slots_per_rank",
            got=f"{slots} slots in a layer",
            expected=f"at least one for each of {group.experts} experts",
        )


def _check_pinned_placement(group: GroupObject) -> Iterator[TicketFault]:
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
        yield from _check_layer(group, f"{path}[{index}]", layer)


def _check_layer(
    group: GroupObject, path: str, layer: list[list[int]]
) -> Iterator[TicketFault]:
    if len(layer) != group.experts:
        yield TicketFault(
            path=path, got=f"{len(layer)} experts", expected=f"{group.experts}"
        )
    copies_by_rank: dict[int, int] = {}
    for expert, ranks in enumerate(layer):
        expert_path = f"{path}[{expert}]"
        if not ranks:
            yield TicketFault(
                path=expert_path,
                got="no rank",
                expected="at least one rank for the expert",
            )
        if len(set(ranks)) != len(ranks):
            yield TicketFault(
                path=expert_path, got=str(ranks), expected="each rank once"
            )
        for rank in sorted(set(ranks)):
            if 0 <= rank < group.ranks:
                copies_by_rank[rank] = copies_by_rank.get(rank, 0) + 1
            else:
                yield TicketFault(
                    path=expert_path,
                    got=f"rank {rank}",
                    expected=f"0 to {group.ranks - 1}",
                )
    for rank, copies in sorted(copies_by_rank.items()):
        if copies > group.slots_per_rank:
            yield TicketFault(
                path=path,
                got=f"{copies} experts on rank {rank}",
                expected=f"at most {group.slots_per_rank} (slots_per_rank)",
            )


def _check_hosts(group: GroupObject, after: Configuration) -> Iterator[TicketFault]:
    """Check the targets that host the group's ranks.

    Either no rank has a target yet, or each rank is on exactly one target.
    """
    target_by_rank: dict[int, str] = {}
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
            elif rank in target_by_rank:
                yield TicketFault(
                    path=path,
                    got=f"rank {rank}, also on target {target_by_rank[rank]}",
                    expected="each rank on one target",
                )
            else:
                target_by_rank[rank] = target.name
    missing = sorted(set(range(group.ranks)) - set(target_by_rank))
    if target_by_rank and missing:
        yield TicketFault(
            path=f"group/{group.name}.ranks",
            got="no target for ranks " + ", ".join(map(str, missing[:10])),
            expected=f"a target for each of {group.ranks} ranks",
        )
