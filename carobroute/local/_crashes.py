"""Telling a crash of the target from a planned end and a lost connection."""

from collections.abc import Callable

from returns.result import Failure

from carobroute.engines import Engine
from carobroute.errors import ErrorKind, Fault

CRASH_KINDS = frozenset({ErrorKind.TARGET_FAILED, ErrorKind.STREAM_BROKEN})


class CrashWatch:
    """Names the crashes of one target.

    A target that leaves may close its listener while it completes the calls in hand,
    so a refused connection is no crash then.

    Parameters
    ----------
    engine : Engine
        The target.
    incarnation : str
        Incarnation of the local process, the first part of each name.
    is_leaving : callable
        Returns whether the target is known to leave.
    """

    __slots__ = ("_count", "_down", "_engine", "_incarnation", "_is_leaving")

    def __init__(
        self, *, engine: Engine, incarnation: str, is_leaving: Callable[[], bool]
    ):
        self._engine = engine
        self._is_leaving = is_leaving
        self._incarnation = incarnation
        self._count = 0
        self._down = False

    @property
    def count(self) -> int:
        """Crashes seen."""
        return self._count

    def note_alive(self) -> None:
        """Note that the target has answered a call."""
        self._down = False

    async def has_crashed_at_end(self) -> bool:
        """Return whether the target has crashed, whose connection ended an answer."""
        return not self._is_leaving() and await self._engine.refuses_connections()

    async def find(self, fault: Fault) -> str:
        """Return the name of the crash behind `fault`, or nothing.

        All calls that one crash cut get the same name.
        """
        if fault.kind not in CRASH_KINDS:
            return ""
        probed = await self._engine.probe()
        if not isinstance(probed, Failure):
            self._down = False
            return ""
        if self._is_leaving() and await self._engine.refuses_connections():
            return ""
        if not self._down:
            self._down = True
            self._count += 1
        return f"{self._incarnation}#{self._count}"
