"""Interfaces that the expert map switch needs from outside."""

import abc
from collections.abc import Sequence
from typing import Any

import msgspec
from returns.result import Result

from carobroute.errors import Fault
from carobroute.links import Message
from carobroute.placement._map import ExpertMap, MapVersion


class GroupMember(msgspec.Struct, frozen=True, kw_only=True):
    """One local process that hosts ranks of a group.

    Parameters
    ----------
    name : str
        Stable name of the slot.
    address : str
        Link address of its process now.
    ranks : tuple of int
        Ranks that it hosts.
    """

    name: str
    address: str
    ranks: tuple[int, ...]


class EngineStatus(msgspec.Struct, frozen=True, kw_only=True):
    """State of a rank group as one member's engine knows it.

    Parameters
    ----------
    epoch : int
        Grows by one whenever a rank joins or is replaced; a step takes all ranks of
        one epoch.
    step : int
        Highest step begun by the ranks hosted here.
    step_ms : float
        Recent time of a step, in milliseconds.
    roster : dict of int to str
        For each rank, the incarnation of the member that attached it.
    joined : bool
        Whether the ranks hosted here take part in the epoch.
    held : bool
        Whether a hold is set.
    work_ms : dict of int to float
        For each rank hosted here, the time that it worked in a recent step.
    """

    epoch: int
    step: int
    step_ms: float
    roster: dict[int, str]
    joined: bool = False
    held: bool = False
    work_ms: dict[int, float] = {}


class PopularityReport(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens routed to each expert of each layer since the report before.

    Parameters
    ----------
    sequence : int
        Number of the report; a gap means that reports were lost.
    tokens : list of list of float
        For each layer and expert.
    """

    sequence: int
    tokens: list[list[float]]


class RankEngine(abc.ABC):
    """The ranks hosted beside one member.

    Every order names the member's incarnation and a number that grows with each
    order, so that an engine which honours fencing refuses a late or repeated one.
    A fault leaves open whether the order took effect; the same order may be sent
    again.
    """

    __slots__ = ()

    @abc.abstractmethod
    async def status(self) -> Result[EngineStatus, Fault]:
        """Return the state of the ranks hosted here."""

    @abc.abstractmethod
    async def popularity(self, after: int) -> Result[list[PopularityReport], Fault]:
        """Return the reports known with a sequence number above `after`."""

    @abc.abstractmethod
    async def attach(self) -> Result[int, Fault]:
        """Make this member the owner of its ranks and return the new epoch."""

    @abc.abstractmethod
    async def load(self, expert_map: ExpertMap) -> Result[None, Fault]:
        """Load the map's experts beside those in use; faults if memory is short."""

    @abc.abstractmethod
    async def unload(self, kept: Sequence[MapVersion]) -> Result[None, Fault]:
        """Free experts that none of the maps `kept` needs."""

    @abc.abstractmethod
    async def hold_before(
        self, *, epoch: int, step: int, order: int
    ) -> Result[bool, Fault]:
        """Keep the ranks from beginning `step`; False if they have begun it."""

    @abc.abstractmethod
    async def set_map(
        self, version: MapVersion, *, epoch: int, step: int, order: int
    ) -> Result[None, Fault]:
        """Use the map from `step` on and release any hold."""

    @abc.abstractmethod
    async def release_hold(self, *, epoch: int, order: int) -> Result[None, Fault]:
        """Release a hold and keep the map."""

    @abc.abstractmethod
    async def join(
        self, version: MapVersion, *, epoch: int, order: int
    ) -> Result[None, Fault]:
        """Take part in `epoch` with the map."""


class GroupPeers(abc.ABC):
    """Calls to the other members of a group."""

    __slots__ = ()

    @abc.abstractmethod
    def members(self) -> list[GroupMember]:
        """Return all members of the group, this process's own included."""

    @abc.abstractmethod
    async def call(
        self, member: GroupMember, entry: Message, *, timeout_ms: float
    ) -> Result[Any, Fault]:
        """Send `entry` to `member` and return its reply."""
