"""Registries that decorators fill."""

import difflib
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

T = TypeVar("T")


class Registry(Generic[T]):
    """Named alternatives of one behaviour.

    Parameters
    ----------
    kind : str
        What the registry holds, used in error messages.

    Examples
    --------
    >>> policies = Registry(kind="routing policy")
    >>> @policies.register("random")
    ... class RandomPolicy:
    ...     pass
    >>> policies.get("random") is RandomPolicy
    True
    >>> sorted(policies)
    ['random']
    """

    __slots__ = ("_entries", "_kind")

    def __init__(self, *, kind: str):
        self._kind = kind
        self._entries: dict[str, T] = {}

    def __iter__(self) -> Iterator[str]:
        return iter(self._entries)

    def __contains__(self, name: object) -> bool:
        return name in self._entries

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that stores its argument under `name`."""

        def decorate(entry: T) -> T:
            if name in self._entries:
                raise ValueError(f"{self._kind} {name!r} is registered twice")
            self._entries[name] = entry
            return entry

        return decorate

    def get(self, name: str) -> T:
        """Return the entry called `name`.

        Raises
        ------
        KeyError
            If nothing is registered under `name`.
        """
        if name in self._entries:
            return self._entries[name]
        expected = ", ".join(sorted(self._entries))
        close = difflib.get_close_matches(name, self._entries, n=1)
        hint = f"; did you mean {close[0]!r}?" if close else ""
        raise KeyError(
            f"unknown {self._kind} {name!r}, expected one of {expected}{hint}"
        )
