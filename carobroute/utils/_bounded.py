"""A dictionary that does not grow without bound."""

from collections.abc import Mapping
from typing import Generic, TypeVar

K = TypeVar("K")
V = TypeVar("V")


class BoundedDict(dict[K, V], Generic[K, V]):
    """Dictionary that forgets its oldest key when it is full.

    Parameters
    ----------
    most : int
        Number of keys held.

    Examples
    --------
    >>> names = BoundedDict(most=2)
    >>> for name in "abc":
    ...     names[name] = 1
    >>> list(names)
    ['b', 'c']
    >>> names.update({"d": 1, "e": 1})
    >>> list(names)
    ['d', 'e']
    """

    __slots__ = ("_most",)

    def __init__(self, *, most: int):
        super().__init__()
        self._most = most

    def __setitem__(self, key: K, value: V) -> None:
        """Set a key, forgetting the oldest one if there are too many."""
        super().__setitem__(key, value)
        if len(self) > self._most:
            del self[next(iter(self))]

    def update(self, other: Mapping[K, V]) -> None:  # type: ignore[override]
        """Set all keys of another mapping."""
        for key, value in other.items():
            # The inherited method would not look at the bound.
            self[key] = value

    def setdefault(self, key: K, default: V) -> V:  # type: ignore[override]
        """Return the value of `key`, set to `default` if it is missing."""
        if key not in self:
            self[key] = default
        return self[key]
