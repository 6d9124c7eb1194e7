"""Promise of a member, and the member's timeouts."""

import asyncio

import msgspec

from carobroute.placement._map import Attempt, MapVersion
from carobroute.placement._messages import Prepare


class MemberParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Timeouts and intervals of a member.

    Parameters
    ----------
    poll_ms : float
        Interval at which the engine's status is read. A member learns of a new epoch
        sooner, from the messages of the member that joins it.
    call_timeout_ms : float
        Timeout of a call to another member.
    settle_after_ms : float
        Time that a promise waits for the coordinator's decision before settlement.
    retry_ms : float
        Delay before a call or an order is retried.
    """

    poll_ms: float = 500.0
    call_timeout_ms: float = 150.0
    settle_after_ms: float = 180.0
    retry_ms: float = 20.0


class Promise:
    """Promise not to begin `step` before the attempt's outcome is known.

    Parameters
    ----------
    attempt : Attempt
        Attempt to switch.
    version : MapVersion
        Version to switch to.
    step : int
        First step with the new map.

    Attributes
    ----------
    is_given : bool
        Whether the ranks are held, so that the promise binds the member.
    is_settling : bool
        Whether the member asks the other members for the outcome and ignores an abort
        by the coordinator.
    """

    __slots__ = ("attempt", "is_given", "is_settling", "settlement", "step", "version")

    def __init__(self, *, attempt: Attempt, version: MapVersion, step: int):
        self.attempt = attempt
        self.version = version
        self.step = step
        self.is_given = False
        self.is_settling = False
        self.settlement: asyncio.Task | None = None

    def matches(self, request: Prepare) -> bool:
        """Return whether `request` repeats the request for this promise."""
        return (self.attempt, self.version, self.step) == (
            request.attempt,
            request.version,
            request.step,
        )
