"""Expert maps of groups: the switch from map to map, popularity and planners."""

from carobroute.placement._coordinator import (
    CoordinatorParameters,
    SwitchCoordinator,
    SwitchReport,
)
from carobroute.placement._interface import (
    EngineStatus,
    GroupMember,
    GroupPeers,
    RankEngine,
)
from carobroute.placement._map import (
    Attempt,
    ExpertMap,
    MapVersion,
    initial_map,
    make_map,
    map_error,
)
from carobroute.placement._member import MemberParameters, RankMember
from carobroute.placement._service import LinkPeers, SwitchService

__all__ = [
    "Attempt",
    "CoordinatorParameters",
    "EngineStatus",
    "ExpertMap",
    "GroupMember",
    "GroupPeers",
    "LinkPeers",
    "MapVersion",
    "MemberParameters",
    "RankEngine",
    "RankMember",
    "SwitchCoordinator",
    "SwitchReport",
    "SwitchService",
    "initial_map",
    "make_map",
    "map_error",
]
