"""A member's promise, and its times."""

import asyncio

import msgspec

from carobroute.placement._map import Attempt, MapVersion
from carobroute.placement._messages import Prepare


class MemberParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Times of a member.

    Parameters
    ----------
    poll_ms : float
        Interval at which the engine's status is read. A new epoch is heard of sooner,
        from the member that joins it.
    call_ms : float
        Longest wait for another member's reply.
    settle_after_ms : float
        Time that a promise waits for its coordinator before the members settle.
    retry_ms : float
        Pause before a call or an order is sent again.
    """

    poll_ms: float = 500.0
    call_ms: float = 150.0
    settle_after_ms: float = 180.0
    retry_ms: float = 20.0


class Promise:
    """An open promise not to pass `step` before the attempt's outcome is known."""

    __slots__ = ("attempt", "given", "settlement", "settling", "step", "version")

    def __init__(self, *, attempt: Attempt, version: MapVersion, step: int):
        self.attempt = attempt
        self.version = version
        self.step = step
        self.given = False
        self.settling = False
        self.settlement: asyncio.Task | None = None

    def answers(self, entry: Prepare) -> bool:
        """Return whether `entry` asks again for this promise."""
        return (self.attempt, self.version, self.step) == (
            entry.attempt,
            entry.version,
            entry.step,
        )
