"""Expert maps of groups: the switch from map to map, popularity and planners."""

from carobroute.placement._coordinator import (
    CoordinatorParameters,
    SwitchCoordinator,
    SwitchReport,
)
from carobroute.placement._http_engine import HttpRankEngine
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
from carobroute.placement._weights import (
    HttpWeightSource,
    PeerWeightSource,
    ReadWeight,
    TrafficBudget,
    WeightMover,
    WeightObject,
    WeightPiece,
    WeightSource,
    answer_read,
)

__all__ = [
    "Attempt",
    "CoordinatorParameters",
    "EngineStatus",
    "ExpertMap",
    "GroupMember",
    "GroupPeers",
    "HttpRankEngine",
    "HttpWeightSource",
    "LinkPeers",
    "MapVersion",
    "MemberParameters",
    "PeerWeightSource",
    "RankEngine",
    "RankMember",
    "ReadWeight",
    "SwitchCoordinator",
    "SwitchReport",
    "SwitchService",
    "TrafficBudget",
    "WeightMover",
    "WeightObject",
    "WeightPiece",
    "WeightSource",
    "answer_read",
    "initial_map",
    "make_map",
    "map_error",
]
