"""Bounded subset of a service's targets that one entry sends to."""

from collections.abc import Sequence

import xxhash

from carobroute.requests._views import TargetView

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

    Targets stand on a circle at hashed positions, which do not depend on each other.
    Entries, in hashed order, take arcs that begin at equal distances, so that every
    target is covered by nearly the same number of entries. A target that comes or
    goes changes one place of each arc that covers it; an entry that is replaced under
    its own name changes nothing.

    Parameters
    ----------
    views : sequence of TargetView
        The service's targets.
    entry : str
        Name of this entry.
    entries : sequence of str
        Names of the entries of this data centre, `entry` among them or not.
    data_centre : str
        Own data centre, whose targets fill most of the subset.
    size : int
        Largest number of targets returned.

    Notes
    -----
    An entry holds `size` links for each service, and a target is linked from
    `entries * size / targets` entries. A link that idles costs two frames of some
    60 bytes for each idle ping: `2 * 60 * size / ping_idle_s` bytes a second.

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
    near = [view.name for view in views if view.data_centre == data_centre]
    far = [view.name for view in views if view.data_centre != data_centre]
    far_size = max(size - len(near), round(size * REMOTE_SHARE) if far else 0)
    near_size = size - min(far_size, len(far))
    chosen = _arc(near, entry, entries, near_size, data_centre)
    return chosen + _arc(far, entry, entries, far_size, data_centre)


def _arc(
    names: Sequence[str], entry: str, entries: Sequence[str], size: int, salt: str
) -> list[str]:
    if size <= 0 or not names:
        return []
    # Each data centre has a circle of its own, or all would begin at the same targets.
    circle = sorted(names, key=lambda name: _position(salt, name))
    order = sorted({*entries, entry}, key=lambda name: _position(salt, name))
    start = order.index(entry) * len(circle) // len(order)
    return [circle[(start + n) % len(circle)] for n in range(min(size, len(circle)))]


def _position(salt: str, name: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{salt}\0{name}".encode()), name
