"""Rank groups as seen by a coordinator, and the lease on coordinating one."""

import abc

import msgspec

from carobroute.domain import ExpertProfile
from carobroute.experts._switch import RankHandle
from carobroute.platform import ExpertCounts, HeldExperts


class ExpertRankHandle(RankHandle):
    """Handle of a rank that also reads its expert counts and the experts it holds."""

    __slots__ = ()

    @abc.abstractmethod
    async def read_counts(self) -> ExpertCounts | None:
        """Return how often each expert was chosen, or None if there is no answer."""

    @abc.abstractmethod
    async def read_held_experts(self) -> HeldExperts | None:
        """Return the experts that the rank holds, or None if there is no answer."""


class CoordinatorDuty(abc.ABC):
    """Lease on the coordination of a group, which one process holds at a time.

    After a pause, a process may act on a lease that another process holds by then.
    Everything done under the lease must be safe in that case too.
    """

    __slots__ = ()

    @property
    @abc.abstractmethod
    def is_superseded(self) -> bool:
        """Whether another process is known to hold the lease by now."""

    @abc.abstractmethod
    async def acquire(self) -> bool:
        """Acquire or renew the lease; return whether this process holds it."""

    @abc.abstractmethod
    async def release(self) -> None:
        """Release the lease, if this process holds it."""


class RankGroup(msgspec.Struct, frozen=True, kw_only=True):
    """A rank group of which every rank is known.

    Parameters
    ----------
    name : str
        Name of the group.
    epoch : int
        Number of times that the group has formed.
    ranks : list of ExpertRankHandle
        Handles of all ranks, in rank order.
    slots : int
        Largest number of calls that a rank runs at a time.
    experts : ExpertProfile
        Number, size and limits of the group's experts.
    report_lag_ms : float
        Age of the state that a rank's report shows.
    gap_target_ms : float
        Longest time between two events of a stream that is on time; 0 for no target.
    """

    name: str
    epoch: int
    ranks: list[ExpertRankHandle]
    slots: int
    experts: ExpertProfile
    report_lag_ms: float
    gap_target_ms: float
