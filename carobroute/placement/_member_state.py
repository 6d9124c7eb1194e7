"""What the parts of a group member see of it."""

from collections.abc import Callable
from typing import Protocol

from carobroute.placement._interface import EngineStatus, GroupPeers, RankEngine
from carobroute.placement._map import ExpertMap, MapVersion
from carobroute.placement._promise import MemberParameters, Promise
from carobroute.utils import Clock


class MemberState(Protocol):
    """State of a group member, and the changes that its parts make to it."""

    group: str
    name: str
    incarnation: str
    ranks: tuple[int, ...]
    engine: RankEngine
    peers: GroupPeers
    clock: Clock
    parameters: MemberParameters
    on_event: Callable[..., None]

    @property
    def epoch(self) -> int:
        """Epoch of the rank group that the member is in."""

    @property
    def is_joined(self) -> bool:
        """Whether the member has joined its epoch."""

    @property
    def is_retired(self) -> bool:
        """Whether another incarnation owns the ranks."""

    @property
    def in_force(self) -> ExpertMap:
        """Map in force at the member."""

    @property
    def in_force_step(self) -> int:
        """First step of the map in force."""

    @property
    def promise(self) -> Promise | None:
        """Open promise, or None."""

    def enter_newer_epoch(self, epoch: int) -> None:
        """Enter an epoch, unless the member is in it or in a newer one."""

    def update_status(self, status: EngineStatus) -> None:
        """Apply a status read from the engine."""

    def adopt_map(self, expert_map: ExpertMap) -> None:
        """Put a map in force with which an epoch begins."""

    def known_map(self, version: MapVersion) -> ExpertMap | None:
        """Return a map that the member has, or None."""
