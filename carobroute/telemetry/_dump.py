"""Dump of a process's state on request."""

from collections.abc import Callable
from typing import Any

import msgspec

Section = Callable[[], Any]


class StateDump:
    """Named sections, each with a function that returns plain data.

    Examples
    --------
    >>> dump = StateDump()
    >>> dump.register("leases", lambda: {"held": 1})
    >>> dump.render()
    b'{"leases":{"held":1}}'
    """

    __slots__ = ("_sections",)

    def __init__(self) -> None:
        self._sections: dict[str, Section] = {}

    def register(self, name: str, section: Section) -> None:
        """Have `section` called for the part called `name`."""
        if name in self._sections:
            raise ValueError(f"dump section {name!r} is registered twice")
        self._sections[name] = section

    def collect(self) -> dict[str, Any]:
        """Return all sections; one that fails tells its error instead."""
        return {name: self._section(name) for name in self._sections}

    def render(self) -> bytes:
        """Return all sections as JSON."""
        return msgspec.json.encode(self.collect(), enc_hook=repr)

    def _section(self, name: str) -> Any:
        try:
            return msgspec.to_builtins(
                self._sections[name](), enc_hook=repr, str_keys=True
            )
        except Exception as error:
            # A dump must come out most of all when something is broken.
            return {"dump_error": f"{type(error).__name__}: {error}"}
