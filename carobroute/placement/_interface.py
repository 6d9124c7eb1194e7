"""Interfaces of the expert map switch to engines and to the other members."""

import abc
from collections.abc import Sequence
from typing import Any

import msgspec
from returns.result import Result

from carobroute.errors import Fault
from carobroute.links import Message
from carobroute.placement._map import ExpertMap, MapVersion


class GroupMember(msgspec.Struct, frozen=True, kw_only=True):
    """Member of a group: a local process that hosts ranks of it.

    Parameters
    ----------
    name : str
        Name of the member, which stays when its process is replaced.
    address : str
        Current link address of the process, or an empty string.
    ranks : tuple of int
        Ranks that it hosts.
    """

    name: str
    address: str
    ranks: tuple[int, ...]


class EngineStatus(msgspec.Struct, frozen=True, kw_only=True):
    """State of a rank group as reported by one member's engine.

    Parameters
    ----------
    epoch : int
        Number that grows by one whenever ranks are attached; a step runs with all ranks
        of one epoch.
    step : int
        Highest step begun by the member's ranks.
    step_ms : float
        Duration of a recent step.
    roster : dict of int to str
        For each rank, the incarnation of the member that attached it.
    joined : bool
        Whether the member's ranks have joined the epoch.
    held : bool
        Whether a hold keeps one of the member's ranks from beginning a step.
    work_ms : dict of int to float
        For each rank of the member, its work time in a recent step.
    """

    epoch: int
    step: int
    step_ms: float
    roster: dict[int, str]
    joined: bool = False
    held: bool = False
    work_ms: dict[int, float] = {}


class PopularityReport(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens routed to each expert since the previous report.

    Parameters
    ----------
    sequence : int
        Sequence number; a gap means that reports were lost.
    tokens : list of list of float
        Number of tokens for each layer and expert.
    """

    sequence: int
    tokens: list[list[float]]


class RankEngine(abc.ABC):
    """Engine that runs the ranks of one member.

    Every order carries the member's incarnation and an order number that grows by one,
    so that an engine that honours fencing refuses late and repeated orders. After a
    fault it is unknown whether the order took effect; the same order may be sent again.
    """

    __slots__ = ()

    @abc.abstractmethod
    async def status(self) -> Result[EngineStatus, Fault]:
        """Return the state of the member's ranks."""

    @abc.abstractmethod
    async def popularity(self, after: int) -> Result[list[PopularityReport], Fault]:
        """Return the available reports with a sequence number above `after`."""

    @abc.abstractmethod
    async def attach(self) -> Result[int, Fault]:
        """Make the member the owner of its ranks, and return the new epoch."""

    @abc.abstractmethod
    async def load(self, expert_map: ExpertMap) -> Result[None, Fault]:
        """Load the map's experts in addition to those in use.

        Returns a fault if memory is short.
        """

    @abc.abstractmethod
    async def unload(self, kept: Sequence[MapVersion]) -> Result[None, Fault]:
        """Free the experts that no map in `kept` needs."""

    @abc.abstractmethod
    async def hold_before(
        self, *, epoch: int, step: int, order: int
    ) -> Result[bool, Fault]:
        """Keep the ranks from beginning `step`; return False if they have begun it.

        The hold lasts until the next order or attachment.
        """

    @abc.abstractmethod
    async def set_map(
        self, version: MapVersion, *, epoch: int, step: int, order: int
    ) -> Result[None, Fault]:
        """Use the map from `step` on, and release any hold."""

    @abc.abstractmethod
    async def release_hold(self, *, epoch: int, order: int) -> Result[None, Fault]:
        """Release any hold without a change of map."""

    @abc.abstractmethod
    async def join(
        self, version: MapVersion, *, epoch: int, order: int
    ) -> Result[None, Fault]:
        """Join `epoch` with the map."""


class GroupPeers(abc.ABC):
    """Calls to the other members of a group."""

    __slots__ = ()

    @abc.abstractmethod
    def members(self) -> list[GroupMember]:
        """Return all members of the group, including the one of this process."""

    @abc.abstractmethod
    async def call(
        self, member: GroupMember, request: Message, *, timeout_ms: float
    ) -> Result[Any, Fault]:
        """Send `request` to `member` and return its reply."""
