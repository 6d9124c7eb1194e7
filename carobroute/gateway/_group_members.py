"""Entries of the list that belong together to one rank group."""

from collections.abc import Iterable

from carobroute.domain import TargetEntry


def find_members(entries: Iterable[TargetEntry]) -> list[TargetEntry]:
    """Return the entries of a complete group in rank order, or none.

    Other programs may write entries with the name of a group. Members agree on the
    service, the size and the epoch, and there is one for each rank. An entry that
    disagrees with a complete group is not a member of it, nor is a second one for a
    rank. The largest complete group counts; of two that are as large, none does.

    Parameters
    ----------
    entries : iterable of TargetEntry
        Entries with the name of one group; of two for a rank, the first one counts.

    Examples
    --------
    >>> from carobroute.testing.gateway_data import make_target_entry
    >>> def rank(number, size=2):
    ...     return make_target_entry(group="g", rank=number, group_size=size)
    >>> ranks, odd = [rank(1), rank(0)], rank(0, size=7)
    >>> [entry.rank for entry in find_members([*ranks, odd])]
    [0, 1]
    >>> find_members(ranks[:1])
    []
    """
    candidates: dict[tuple[str, int, int], dict[int, TargetEntry]] = {}
    for entry in entries:
        if not 0 <= entry.rank < entry.group_size:
            continue
        key = (entry.service, entry.group_size, entry.group_epoch)
        candidates.setdefault(key, {}).setdefault(entry.rank, entry)
    complete = [
        [members[rank] for rank in sorted(members)]
        for (_, size, _), members in candidates.items()
        if len(members) == size
    ]
    largest = max((len(members) for members in complete), default=0)
    found = [members for members in complete if len(members) == largest]
    return found[0] if len(found) == 1 else []
