"""Subsetting: the bounded set of a service's targets that one entry sends to."""

from collections.abc import Sequence

import xxhash

from carobroute.requests._routing_types import TargetView

REMOTE_SHARE = 0.25


def choose_subset(
    views: Sequence[TargetView],
    *,
    entry: str,
    entries: Sequence[str],
    data_centre: str,
    size: int,
) -> list[str]:
    """Return the names of the targets that `entry` sends to.

    Targets are placed on a ring at independent hashed positions. Entries, in hashed
    order, take segments that begin at equal distances, so that every target is covered
    by nearly the same number of entries. Adding or removing a target changes one place
    of each segment that covers it; an entry that is replaced under the same name
    changes nothing.

    Parameters
    ----------
    views : sequence of TargetView
        The service's targets.
    entry : str
        Name of this entry.
    entries : sequence of str
        Names of the entries of this data centre; `entry` is added if missing.
    data_centre : str
        Data centre of this entry, whose targets fill most of the subset.
    size : int
        Maximum number of targets returned.

    Notes
    -----
    An entry holds `size` links for each service, and a target has links from
    `entries * size / targets` entries. An idle link costs two frames of about
    60 bytes for each idle ping: `2 * 60 * size * 1000 / ping_idle_ms` bytes a second.

    Examples
    --------
    >>> views = [TargetView(name=f"t{n}", service="s", data_centre="svea-a")
    ...          for n in range(40)]
    >>> chosen = choose_subset(views, entry="e1", entries=["e1", "e2"],
    ...                        data_centre="svea-a", size=10)
    >>> len(chosen)
    10
    """
    if len(views) <= size:
        return sorted(view.name for view in views)
    local = [view.name for view in views if view.data_centre == data_centre]
    remote = [view.name for view in views if view.data_centre != data_centre]
    remote_size = max(size - len(local), round(size * REMOTE_SHARE) if remote else 0)
    local_size = size - min(remote_size, len(remote))
    chosen = _ring_segment(local, entry, entries, local_size, data_centre)
    return chosen + _ring_segment(remote, entry, entries, remote_size, data_centre)


def _ring_segment(
    names: Sequence[str], entry: str, entries: Sequence[str], size: int, salt: str
) -> list[str]:
    if size <= 0 or not names:
        return []
    # A ring for each data centre, salted with its name; otherwise the entries of all
    # data centres would begin at the same targets.
    ring = sorted(names, key=lambda name: _ring_position(salt, name))
    entry_order = sorted({*entries, entry}, key=lambda name: _ring_position(salt, name))
    start = entry_order.index(entry) * len(ring) // len(entry_order)
    return [ring[(start + n) % len(ring)] for n in range(min(size, len(ring)))]


def _ring_position(salt: str, name: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{salt}\0{name}".encode()), name
