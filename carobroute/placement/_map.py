"""Expert maps, their versions, and attempts to switch to them."""

import msgspec

from carobroute.tickets import GroupObject
from carobroute.utils import content_hash


class MapVersion(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Version of an expert map; a group never switches to a lower version.

    Parameters
    ----------
    ticket : int
        Number of the ticket in force when the map was made.
    revision : int
        Number of the map under that ticket.
    digest : str
        Content hash of the map, so that maps of different content differ in version.
    """

    ticket: int
    revision: int
    digest: str = ""


class Attempt(msgspec.Struct, frozen=True, order=True, array_like=True):
    """One attempt of one coordinator to switch a group to a map.

    Parameters
    ----------
    fence : int
        Fencing number of the coordinator's lease.
    number : int
        Number of the attempt under that fence.
    coordinator : str
        Identity of the coordinator, which is never reused.
    """

    fence: int
    number: int
    coordinator: str = ""


NO_ATTEMPT = Attempt(0, 0)


class ExpertMap(msgspec.Struct, frozen=True, kw_only=True):
    """Assignment of experts to the ranks that hold a copy of them.

    Parameters
    ----------
    version : MapVersion
        Version of the map.
    layers : list of list of list of int
        For each layer and expert, the ranks that hold a copy.
    """

    version: MapVersion
    layers: list[list[list[int]]]

    def experts_of(self, rank: int) -> set[tuple[int, int]]:
        """Return the (layer, expert) pairs of which `rank` holds a copy."""
        return {
            (layer, expert)
            for layer, experts in enumerate(self.layers)
            for expert, ranks in enumerate(experts)
            if rank in ranks
        }


def make_map(layers: list[list[list[int]]], *, ticket: int, revision: int) -> ExpertMap:
    """Return an expert map of `layers` with its version.

    Examples
    --------
    >>> first = make_map([[[0], [1]]], ticket=3, revision=0)
    >>> second = make_map([[[1], [0]]], ticket=3, revision=1)
    >>> first.version < second.version
    True
    """
    digest = content_hash(msgspec.msgpack.encode(layers))
    return ExpertMap(version=MapVersion(ticket, revision, digest), layers=layers)


def initial_map(group: GroupObject, *, ticket: int) -> ExpertMap:
    """Return the expert map of a group that has never switched.

    It is the placement pinned by the ticket, or else a round-robin assignment of the
    experts to the ranks. All processes with the same ticket compute the same map.

    Examples
    --------
    >>> group = GroupObject(name="g", service="s", ranks=2, layers=1, experts=4)
    >>> initial_map(group, ticket=1).layers
    [[[0], [1], [0], [1]]]
    """
    if group.pinned is not None:
        return make_map(group.pinned.layers, ticket=ticket, revision=0)
    layer = [[expert % group.ranks] for expert in range(group.experts)]
    layers = [[list(ranks) for ranks in layer] for _ in range(group.layers)]
    return make_map(layers, ticket=ticket, revision=0)


def map_error(layers: list[list[list[int]]], group: GroupObject) -> str:
    """Return why `layers` is not a valid map of `group`, or an empty string."""
    if len(layers) != group.layers:
        return f"got {len(layers)} layers, expected {group.layers}"
    for layer, experts in enumerate(layers):
        if len(experts) != group.experts:
            return (
                f"layer {layer}: got {len(experts)} experts, expected {group.experts}"
            )
        copies = [0] * group.ranks
        for expert, ranks in enumerate(experts):
            if not ranks or len(set(ranks)) != len(ranks):
                return (
                    f"layer {layer} expert {expert}: need distinct ranks, got {ranks}"
                )
            for rank in ranks:
                if not 0 <= rank < group.ranks:
                    return (
                        f"layer {layer} expert {expert}: the group has no rank {rank}"
                    )
                copies[rank] += 1
        if max(copies) > group.slots_per_rank:
            return (
                f"layer {layer}: got {max(copies)} experts on one rank,"
                f" which has {group.slots_per_rank} slots"
            )
    return ""
